"""Measure what relaying costs an entry host, without sockets.

Prints the microseconds that a log line, a relayed stream, a forwarded event and a host
heartbeat take, and the cost of all heartbeats to one host by the number of hosts::

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

#: Streams of one round, events of a long stream, and rounds; the fastest round counts.
N_STREAMS = 300
N_EVENTS = 27
N_ROUNDS = 5

#: Heartbeats and log lines of one round.
N_HEARTBEATS = 500
N_LINES = 5000

#: Group heads whose load a heartbeat reports: one for each group of a zone.
N_HEADS = 18

#: Number of hosts, of hosts in the measured host's zone, and of zones.
FLEETS = ((8, 3, 3), (87, 29, 3), (390, 35, 11))


def _best(measurement: Callable[[], float]) -> float:
    return min(measurement() for _ in range(N_ROUNDS))


def stream_time(n_events: int) -> float:
    """Return the processor time of one stream from arrival to end, in seconds."""
    relaying = Relaying(n_servers=40, slots=50)
    event = b"id: 7\ndata: " + b"x" * 50 + b"\n\n"
    start = time.process_time()
    for number in range(1, N_STREAMS + 1):
        relaying.arrive(RouteKind.STREAM, number=number)
        attempt = relaying.sent[-1]
        relaying.requests.answer_head(attempt.id, head(f"r{number}"), now=0.1)
        splitter = RawEventSplitter()
        for index in range(n_events):
            for _, data in splitter.feed(event):
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


def encoding_time() -> float:
    """Return the processor time to encode one heartbeat, in seconds."""
    start = time.process_time()
    for sequence in range(N_HEARTBEATS):
        encode_heartbeat(_heartbeat(1, sequence))
    return (time.process_time() - start) / N_HEARTBEATS


def _received_heartbeats(n_in_zone: int, n_zones: int) -> HostHeartbeats:
    """Return the heartbeats of a host's own zone and of one host of each other zone."""
    heartbeats = HostHeartbeats(host="front-0", zone="z")
    for host in range(1, n_in_zone):
        heartbeats.record(_heartbeat(host, 1), address="10.0.0.1:7000", now=0.0)
    for zone in range(1, n_zones):
        heartbeat = replace(
            _heartbeat(n_in_zone + zone, 1), availability_zone=f"z{zone}", for_zone=True
        )
        heartbeats.record(heartbeat, address="10.0.0.1:7000", now=0.0)
    return heartbeats


def heartbeats_per_second(n_in_zone: int, n_zones: int) -> float:
    """Return the heartbeats a second that a host receives.

    The host neither reads the store nor represents its zone.
    """
    heartbeats = _received_heartbeats(n_in_zone, n_zones)
    seldom_interval = HEARTBEAT_INTERVAL * heartbeats.ticks_between_heartbeats(now=0.0)
    n_frequent = min(READERS_PER_ZONE, n_in_zone - 1)
    near = (
        n_frequent / HEARTBEAT_INTERVAL + (n_in_zone - 1 - n_frequent) / seldom_interval
    )
    return near + (n_zones - 1) / (TICKS_PER_ZONE_HEARTBEAT * HEARTBEAT_INTERVAL)


def handling_time(n_in_zone: int, n_zones: int) -> float:
    """Return the processor time to handle one received heartbeat, in seconds.

    The time depends on the number of hosts and zones that send heartbeats.
    """
    heartbeats = _received_heartbeats(n_in_zone, n_zones)
    data = [
        encode_heartbeat(_heartbeat(1 + index % (n_in_zone - 1), 2 + index))
        for index in range(N_HEARTBEATS)
    ]
    start = time.process_time()
    for datagram in data:
        heartbeats.record(
            decode_datagram(datagram, peer="front"), address="front", now=0.1
        )
        heartbeats.in_flight(now=0.1)
    return (time.process_time() - start) / N_HEARTBEATS


def log_line_time() -> float:
    """Return the processor time to log the end of one request, in seconds.

    The time includes the writer's limits on the number of log lines.
    """
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
            # A busy host writes a hundred lines a second.
            record.created = number / 100
            writer.emit(record)
        return (time.process_time() - start) / N_LINES


def main() -> None:
    """Print the costs of log lines, streams, events and heartbeats."""
    print(f"a log line:            {_best(log_line_time) * 1e6:.0f} us")
    one = _best(lambda: stream_time(1))
    long = _best(lambda: stream_time(N_EVENTS))
    event = (long - one) / (N_EVENTS - 1)
    print(f"a stream of one event: {one * 1e6:.0f} us")
    print(f"each further event:    {event * 1e6:.1f} us")
    encoding = _best(encoding_time)
    n_bytes = len(encode_heartbeat(_heartbeat(1, 1)))
    print(f"a heartbeat: {encoding * 1e6:.0f} us to encode, {n_bytes} bytes")
    for n_hosts, n_in_zone, n_zones in FLEETS:
        rate = heartbeats_per_second(n_in_zone, n_zones)
        handling = _best(lambda own=n_in_zone, zones=n_zones: handling_time(own, zones))
        share = (rate * handling + encoding / HEARTBEAT_INTERVAL) * 100
        print(
            f"{n_hosts} hosts: {handling * 1e6:.0f} us to handle a heartbeat,"
            f" {rate:.0f} heartbeats a second, {share:.1f}% of a core,"
            f" {rate * n_bytes / 1000:.1f} KB received a second"
        )


if __name__ == "__main__":
    main()
