"""Run a short soak test of real processes with a fixed seed."""

from __future__ import annotations

from pathlib import Path

from .soak.run import run_soak


def test_random_faults_break_no_promise(tmp_path: Path) -> None:
    """Guard against faults that break a promise only in combination."""
    report = run_soak(directory=tmp_path, seed=14, seconds=15.0, n_hosts=3)
    assert report.verdict.violations == [], "\n".join(report.lines)
    assert report.n_served > 0
    n_tested = report.verdict.n_tested_by_promise
    assert n_tested["at most once"] > 0
    assert n_tested["refused streams of contended services never run"] > 0
