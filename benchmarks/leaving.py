"""Measure for how long a leaving backend server still gets new requests.

Runs real processes: two groups of four engines, three entry hosts that exchange soft
state, and a hosts list that lags by 5 s.  Streams are sent through all entry hosts the
whole time.  Run: ``python -m benchmarks.leaving``
"""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from pathlib import Path

import defopt

from tests.callers import Caller
from tests.processes import Fleet, running_fleet
from tests.test_system.test_leaving import (
    LIST_LAG,
    list_leaving,
    refuse_connections,
    report_leaving,
    start_two_groups,
)

#: Name, function that makes a server leave, rank of this server in its group, and
#: seconds until an entry host can observe that the server leaves.
CASES = (
    ("reports it", report_leaving, 0, 0.0),
    ("only listed", list_leaving, 0, LIST_LAG),
    ("refuses connections", refuse_connections, 1, 0.0),
)

#: Seconds between two requests at one entry host, and between two polls of the engine.
INTERVAL = 0.05


def main(*, n_runs: int = 3, window: float = 6.0) -> None:
    """Print when the last new request reached rank 0 of the leaving server's group.

    Parameters
    ----------
    n_runs : int
        Runs of each case.
    window : float
        Seconds of observation after entry hosts can see that the server leaves.
    """
    print(f"{'case':20} {'last request after, s':>24} {'errors':>7} {'load':>6}")
    for name, leave, rank, seen_after in CASES:
        for _ in range(n_runs):
            with (
                tempfile.TemporaryDirectory() as directory,
                running_fleet(Path(directory)) as fleet,
            ):
                members = start_two_groups(fleet)
                last_request_after, n_errors = asyncio.run(
                    _watch(
                        fleet,
                        lambda leave=leave, members=members, fleet=fleet, rank=rank: (
                            leave(fleet, members[rank])
                        ),
                        head_name=members[0],
                        seconds=seen_after + window,
                    )
                )
            shown = f"{last_request_after - seen_after:24.2f}"
            print(f"{name:20} {shown} {n_errors:7d} {os.getloadavg()[0]:6.1f}")


async def _watch(
    fleet: Fleet, leave: object, *, head_name: str, seconds: float
) -> tuple[float, int]:
    caller = Caller(fleet)
    answers = []
    ends_at = time.monotonic() + 2.0 + seconds

    async def call(entry: object, name: str) -> None:
        index = 0
        while time.monotonic() < ends_at:
            index += 1
            answers.append(await caller.stream(entry, f"{name} {index}", n_tokens=3))
            await asyncio.sleep(INTERVAL)

    calls = [
        asyncio.ensure_future(call(entry, name))
        for name, entry in fleet.entries_by_name.items()
    ]
    await asyncio.sleep(2.0)
    await asyncio.to_thread(leave)
    left_at = last_at = time.monotonic()
    known = 0
    while time.monotonic() < ends_at:
        counts = await asyncio.to_thread(fleet.counts, head_name)
        if counts["n_asked"] != known:
            known, last_at = counts["n_asked"], time.monotonic()
        await asyncio.sleep(INTERVAL)
    await asyncio.gather(*calls)
    return last_at - left_at, sum(not answer.is_complete for answer in answers)


if __name__ == "__main__":
    defopt.run(main)
