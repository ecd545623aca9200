"""Run the soak test: ``python -m tests.soak --seed 1 --seconds 30``."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

import defopt

from .run import run_soak


def main(
    *, seed: int = 1, n_seeds: int = 1, seconds: float = 30.0, n_hosts: int = 3
) -> None:
    """Run entry hosts under random faults; exit with 1 if a promise was broken.

    Parameters
    ----------
    seed : int
        Seed of the first run; the same seed generates the same faults.
    n_seeds : int
        Number of runs; each uses the next seed.
    seconds : float
        Seconds for which faults are injected in each run.
    n_hosts : int
        Number of entry hosts.
    """
    failed_seeds = []
    for number in range(seed, seed + n_seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        started_at = time.monotonic()
        report = run_soak(
            directory=directory, seed=number, seconds=seconds, n_hosts=n_hosts
        )
        duration = time.monotonic() - started_at
        print(f"seed {number}: {duration:.0f} s, {report.summary()}", flush=True)
        if report.verdict.violations:
            failed_seeds.append(number)
            print("\n".join(report.verdict.violations[:20]))
            print("\n".join(report.lines))
            print(f"logs: {directory}", flush=True)
    print(
        f"{n_seeds - len(failed_seeds)} passed, "
        f"{len(failed_seeds)} failed {failed_seeds}"
    )
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    defopt.run(main)
