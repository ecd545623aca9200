"""Run a short soak test of real processes with fixed seeds."""

from __future__ import annotations

from pathlib import Path

import pytest

from .soak.run import run_soak

#: Seeds of a run with contended services and of one without them.
CONTENDED_SEED = 14
PLAIN_SEED = 15


@pytest.mark.parametrize("seed", [CONTENDED_SEED, PLAIN_SEED])
def test_random_faults_break_no_promise(tmp_path: Path, seed: int) -> None:
    """Guard against faults that break a promise only in combination."""
    report = run_soak(directory=tmp_path, seed=seed, seconds=15.0, n_hosts=3)
    assert report.verdict.violations == [], "\n".join(report.lines)
    assert report.n_served > 0
    n_tested = report.verdict.n_tested_by_promise
    assert n_tested["at most once"] > 0
    assert n_tested["nothing is lost while servers are suspended"] > 0
    if seed == CONTENDED_SEED:
        assert n_tested["refused streams of contended services never run"] > 0
