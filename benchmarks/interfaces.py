"""Compare the cost of a request and of a forwarded event on both callers' interfaces.

Each interface has an entry host of its own with stand-ins behind it.  Both hosts are
driven through sockets, alternately in the same run.  Streams of one event give the
requests a second that a whole core can serve; long streams give the microseconds that
one forwarded event takes::

    .venv/bin/python -m benchmarks.interfaces
"""

from __future__ import annotations

import asyncio
import itertools
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import defopt

from tests.processes import running_fleet
from tests.relay_zone import HEADERS, RelayZone, running_relay_zone

from .speed import Load, processor_seconds, set_engines, start

#: Concurrent callers, each of which sends one request after the other.
N_CALLERS = 12

#: Number of events of a short and of a long stream.
SHORT, LONG = 1, 41

#: Milliseconds between two events.
STEP = 2.0

#: Seconds without data after which a stream has failed.
SILENCE = 15.0

SendRequest = Callable[[int], Awaitable[None]]


def _relay_sender(zone: RelayZone) -> SendRequest:
    host, _, port = zone.hosts_by_name["h1"].callers_address.rpartition(":")
    numbers = itertools.count(1)

    async def send_request(n_events: int) -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        names = HEADERS | {
            "Request-Id": f"q{next(numbers)}",
            "Model": "large",
            "Token-Usage": f"100,{n_events}",
            "Content-Length": "0",
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in names.items())
        writer.write(f"POST /chat/1 HTTP/1.1\r\n{lines}\r\n".encode())
        data = b""
        while not data.endswith(b"0\r\n\r\n"):
            chunk = await asyncio.wait_for(reader.read(1 << 16), SILENCE)
            if not chunk or not (data + chunk).startswith(b"HTTP/1.1 200"):
                raise ConnectionError(f"not answered: {data + chunk!r}")
            data += chunk
        writer.transport.abort()

    return send_request


def _openai_sender(load: Load) -> SendRequest:
    async def send_request(n_events: int) -> None:
        await load.stream(n_tokens=n_events)

    return send_request


async def _cost(
    send_request: SendRequest, pid: int, *, n_events: int, seconds: float
) -> float:
    """Return the processor time of one stream at an entry host, in seconds."""
    n_done = 0
    ends_at = time.monotonic() + seconds

    async def caller() -> None:
        nonlocal n_done
        while time.monotonic() < ends_at:
            await send_request(n_events)
            n_done += 1

    before = processor_seconds(pid)
    await asyncio.gather(*(caller() for _ in range(N_CALLERS)))
    return (processor_seconds(pid) - before) / n_done


def _report(name: str, costs_by_events: dict[int, list[float]]) -> None:
    short = statistics.median(costs_by_events[SHORT])
    long = statistics.median(costs_by_events[LONG])
    print(
        f"{name}: {1 / short:.0f} requests a second of a core "
        f"({short * 1e6:.0f} us each), "
        f"{(long - short) / (LONG - SHORT) * 1e6:.0f} us a forwarded event",
        flush=True,
    )


async def _compare(
    senders_by_name: dict[str, tuple[SendRequest, int]],
    set_events: Callable[[int], None],
    *,
    rounds: int,
    seconds: float,
) -> None:
    costs = {name: {SHORT: [], LONG: []} for name in senders_by_name}
    for _ in range(rounds):
        for n_events in (SHORT, LONG):
            await asyncio.to_thread(set_events, n_events)
            for name, (send_request, pid) in senders_by_name.items():
                await send_request(n_events)
                cost = await _cost(
                    send_request, pid, n_events=n_events, seconds=seconds
                )
                costs[name][n_events].append(cost)
    for name, costs_by_events in costs.items():
        _report(name, costs_by_events)


def main(*, rounds: int = 3, seconds: float = 4.0) -> None:
    """Measure both interfaces and print the costs of requests and events.

    Parameters
    ----------
    rounds : int
        Measurements of each interface and stream length; their median is printed.
    seconds : float
        Length of each measurement in seconds.
    """
    with (
        tempfile.TemporaryDirectory() as fleet_directory,
        tempfile.TemporaryDirectory() as zone_directory,
        running_fleet(Path(fleet_directory)) as fleet,
        running_relay_zone(Path(zone_directory)) as zone,
    ):
        load = start(fleet)
        zone.start_platform()
        relay_host = zone.start_host("h1")
        zone.head_of(2)

        def set_events(n_events: int) -> None:
            set_engines(load, "notes", step_ms=STEP, tokens_per_event=1)
            zone.slow_engines(n_events=n_events, event_ms=STEP)

        senders = {
            "OpenAI interface": (_openai_sender(load), load.entry.process.pid),
            "relay": (_relay_sender(zone), relay_host.process.pid),
        }
        asyncio.run(_compare(senders, set_events, rounds=rounds, seconds=seconds))


if __name__ == "__main__":
    defopt.run(main)
