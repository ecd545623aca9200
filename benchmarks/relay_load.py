"""Measure what relayed streams cost an entry host, over real sockets.

Starts the stand-in of the platform and one entry host of each checkout, and keeps a
number of callers busy, first with streams of few events and then of many.  Prints the
processor time of one request and of one event, fitted through both measurements::

    .venv/bin/python -m benchmarks.relay_load --before ../earlier
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import pstats
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import httpx

from tests.relay_zone import HEADERS, RelayZone, running_relay_zone
from tests.standins.platform import MODELS

from .host_cost import N_LINES, SETTINGS, processor_seconds

#: Number of events of a short and of a long stream.
EVENTS = (2, 32)

#: Milliseconds between two events of a stream, as a backend server sends them.
EVENT_MS = 40.0

#: Concurrent callers: fewer than the groups of the stand-in have slots.
N_CALLERS = 12

#: Seconds of load before the measured window.
SETTLE = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Number of served requests, and their processor time in seconds."""

    n_requests: int
    spent: float


class Callers:
    """Send requests for streams, and count those that were answered with 200."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._ids = itertools.count(1)
        self.n_served = 0

    async def request_streams(self, session: aiohttp.ClientSession) -> None:
        """Request one stream after the other until cancelled."""
        model = MODELS[0]["name"]
        while True:
            headers = HEADERS | {
                "Request-Id": f"r{next(self._ids)}",
                "Model": model,
                "Token-Usage": "100,50",
            }
            async with session.post(
                f"http://{self._address}/chat/1", headers=headers, data=b"a body"
            ) as answer:
                await answer.read()
                if answer.status == 200:
                    self.n_served += 1
                else:
                    await asyncio.sleep(0.05)


async def load_host(
    tree: Path, zone: RelayZone, *, window: float, profile: bool
) -> Load:
    """Run one entry host of a checkout under load and return requests and cost."""
    with tempfile.TemporaryDirectory() as directory:
        settings = Path(directory) / "node.conf"
        settings.write_text(
            SETTINGS.format(
                name="host", zone="z", zones="zones.z=r", store=zone.addresses["store"]
            )
        )
        stats = Path(directory) / "profile"
        profiled = ["-m", "cProfile", "-o", str(stats)] if profile else []
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *profiled,
            "-m",
            "ryelever.relay_host",
            cwd=tree,
            env={"PATH": os.environ["PATH"], "RYELEVER_NODE_FILE": str(settings)},
            stdout=subprocess.PIPE,
            limit=1 << 20,
        )
        started = json.loads(await process.stdout.readline())
        drain = asyncio.create_task(process.stdout.read())
        try:
            ready = f"http://127.0.0.1:{started['ready_port']}/ready"
            async with httpx.AsyncClient() as client:
                while (await client.get(ready)).status_code != 200:
                    await asyncio.sleep(0.1)
            callers = Callers(address=f"127.0.0.1:{started['callers_port']}")
            async with aiohttp.ClientSession() as session:
                tasks = [
                    asyncio.create_task(callers.request_streams(session))
                    for _ in range(N_CALLERS)
                ]
                while not callers.n_served:
                    await asyncio.sleep(0.1)
                await asyncio.sleep(SETTLE)
                n_before = callers.n_served
                before = processor_seconds(process.pid)
                await asyncio.sleep(window)
                spent = processor_seconds(process.pid) - before
                n_requests = callers.n_served - n_before
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            process.send_signal(signal.SIGTERM if profile else signal.SIGKILL)
            await process.wait()
        await drain
        if profile:
            pstats.Stats(str(stats)).sort_stats("tottime").print_stats(N_LINES)
    return Load(n_requests=n_requests, spent=spent)


def measure(tree: Path, *, window: float, profile: bool) -> tuple[float, float]:
    """Return the processor time of one request and of one event, in seconds."""
    costs = []
    for n_events in EVENTS:
        with (
            tempfile.TemporaryDirectory() as directory,
            running_relay_zone(Path(directory)) as zone,
        ):
            zone.start_platform(n_engines=4, n_plain=1)
            zone.slow_engines(n_events=n_events, event_ms=EVENT_MS)
            load = asyncio.run(load_host(tree, zone, window=window, profile=profile))
            costs.append(load.spent / load.n_requests)
    short, long = costs
    event = (long - short) / (EVENTS[1] - EVENTS[0])
    return short - EVENTS[0] * event, event


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path, help="an earlier checkout")
    parser.add_argument("--window", type=float, default=6.0, help="seconds")
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    print("| checkout | us a request | us an event |")
    print("|---|---|---|")
    for tree in [Path.cwd(), *([arguments.before] if arguments.before else [])]:
        request, event = measure(
            tree, window=arguments.window, profile=arguments.profile
        )
        name = "this" if tree == Path.cwd() else "before"
        print(f"| {name} | {request * 1e6:.0f} | {event * 1e6:.0f} |", flush=True)


if __name__ == "__main__":
    main()
