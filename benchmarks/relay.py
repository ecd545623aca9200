"""Measure what relaying costs an entry host, without sockets.

Prints microseconds a log line, a relayed stream, a passed event and a word between
hosts, and what words cost a host by the number of hosts.

    .venv/bin/python -m benchmarks.relay
"""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable
from pathlib import Path

from msgspec.structs import replace

from ryelever.coordination.host_heartbeats import (
    READERS_PER_ZONE,
    HostHeartbeat,
    HostHeartbeats,
)
from ryelever.host_exchange import HEARTBEAT_INTERVAL, TICKS_PER_ZONE_HEARTBEAT
from ryelever.log_stream import StreamWriter
from ryelever.logs import JsonFormatter
from ryelever.protocol.host_messages import decode_datagram, encode_heartbeat
from ryelever.protocol.sse import RawEventSplitter
from ryelever.state.routes import RouteKind
from tests.test_coordination.test_relaying.relay_fakes import Relaying, head

#: Streams of one round, events of a stream, and rounds, of which the best counts.
N_STREAMS = 300
N_EVENTS = 27
N_ROUNDS = 5

#: Words and log lines of one round.
N_HEARTBEATS = 500
N_LINES = 5000

#: Heads that a word tells the load of: the groups of a zone.
N_HEADS = 18

#: Hosts, how many of them are in a host's own zone, and zones.
FLEETS = ((8, 3, 3), (87, 29, 3), (390, 35, 11))


def _best(measured: Callable[[], float]) -> float:
    return min(measured() for _ in range(N_ROUNDS))


def stream_time(n_events: int) -> float:
    """Return the seconds of processor time for one stream from arrival to end."""
    relaying = Relaying(n_servers=40, slots=50)
    event = b"id: 7\ndata: " + b"x" * 50 + b"\n\n"
    start = time.process_time()
    for number in range(1, N_STREAMS + 1):
        relaying.arrive(RouteKind.STREAM, number=number)
        attempt = relaying.sent[-1]
        relaying.requests.answer_head(attempt.id, head(f"r{number}"), now=0.1)
        cutter = RawEventSplitter()
        for index in range(n_events):
            for _, data in cutter.feed(event):
                events = [(str(index + 1), data)]
                relaying.requests.answer_events(attempt.id, events, now=0.1)
        relaying.requests.answer_end(attempt.id, cut=False, now=0.2)
        relaying.out.clear()
    return (time.process_time() - start) / N_STREAMS


def _heartbeat(host: int, sequence: int) -> HostHeartbeat:
    return HostHeartbeat(
        host=f"front-{host}",
        availability_zone="z",
        boot=1,
        sequence=sequence,
        reads_store=True,
        stopping=False,
        configuration_version=7,
        in_flight_by_server={f"i-{index:08x}": 3 for index in range(N_HEADS)},
        demand_by_model={"large": 0.5, "small": 0.7},
    )


def write_time() -> float:
    """Return the seconds to write one word."""
    start = time.process_time()
    for sequence in range(N_HEARTBEATS):
        encode_heartbeat(_heartbeat(1, sequence))
    return (time.process_time() - start) / N_HEARTBEATS


def _heard(n_own: int, n_zones: int) -> HostHeartbeats:
    """Return what a host knows that hears its own zone and one host of each other."""
    heartbeats = HostHeartbeats(host="front-0", zone="z")
    for host in range(1, n_own):
        heartbeats.record(_heartbeat(host, 1), address="10.0.0.1:7000", now=0.0)
    for zone in range(1, n_zones):
        heartbeat = replace(
            _heartbeat(n_own + zone, 1), availability_zone=f"z{zone}", for_zone=True
        )
        heartbeats.record(heartbeat, address="10.0.0.1:7000", now=0.0)
    return heartbeats


def heartbeats_per_second(n_own: int, n_zones: int) -> float:
    """Return how many words a host hears that neither reads nor speaks."""
    heartbeats = _heard(n_own, n_zones)
    seldom = HEARTBEAT_INTERVAL * heartbeats.ticks_between_heartbeats(now=0.0)
    n_frequent = min(READERS_PER_ZONE, n_own - 1)
    near = n_frequent / HEARTBEAT_INTERVAL + (n_own - 1 - n_frequent) / seldom
    return near + (n_zones - 1) / (TICKS_PER_ZONE_HEARTBEAT * HEARTBEAT_INTERVAL)


def take_time(n_own: int, n_zones: int) -> float:
    """Return the seconds to take one word, where so many hosts are heard."""
    heartbeats = _heard(n_own, n_zones)
    data = [
        encode_heartbeat(_heartbeat(1 + index % (n_own - 1), 2 + index))
        for index in range(N_HEARTBEATS)
    ]
    start = time.process_time()
    for datagram in data:
        heartbeats.record(
            decode_datagram(datagram, peer="front"), address="front", now=0.1
        )
        heartbeats.in_flight(now=0.1)
    return (time.process_time() - start) / N_HEARTBEATS


def line_time() -> float:
    """Return the seconds to log the end of one request, with the bounds on lines."""
    with Path(os.devnull).open("wb") as sink:
        writer = StreamWriter(fd=sink.fileno())
        writer.setFormatter(JsonFormatter())
        fields = {
            "request": "21387051760d4c4c",
            "route": "r-x3rzpiv",
            "status": 200,
            "reason": "",
            "server": "i-6b38aa0086",
            "n_sent": 1,
            "version": 27,
            "ms": 1034,
        }
        start = time.process_time()
        for number in range(N_LINES):
            record = logging.makeLogRecord(
                {"msg": "answered", "levelno": logging.INFO, "levelname": "INFO"}
            )
            record.fields = fields
            # A hundred lines a second, as a busy host writes them.
            record.created = number / 100
            writer.emit(record)
        return (time.process_time() - start) / N_LINES


def main() -> None:
    """Print all figures."""
    print(f"a log line:            {_best(line_time) * 1e6:.0f} us")
    one = _best(lambda: stream_time(1))
    many = _best(lambda: stream_time(N_EVENTS))
    event = (many - one) / (N_EVENTS - 1)
    print(f"a stream of one event: {one * 1e6:.0f} us")
    print(f"each further event:    {event * 1e6:.1f} us")
    write = _best(write_time)
    n_bytes = len(encode_heartbeat(_heartbeat(1, 1)))
    print(f"a word: {write * 1e6:.0f} us to write, {n_bytes} bytes")
    for n_hosts, n_own, n_zones in FLEETS:
        rate = heartbeats_per_second(n_own, n_zones)
        take = _best(lambda own=n_own, zones=n_zones: take_time(own, zones))
        share = (rate * take + write / HEARTBEAT_INTERVAL) * 100
        print(
            f"{n_hosts} hosts: {take * 1e6:.0f} us to take a word,"
            f" {rate:.0f} words a second, {share:.1f}% of a core,"
            f" {rate * n_bytes / 1000:.1f} KB a second in"
        )


if __name__ == "__main__":
    main()
