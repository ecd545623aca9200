"""Test how waiting requests and urgent demand are sent between entry hosts."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from ryelever.coordination.host_heartbeats import (
    HOST_TIMEOUT,
    HostHeartbeat,
    HostHeartbeats,
)
from ryelever.coordination.zone_summary import zone_summary
from ryelever.protocol.host_messages import (
    HEARTBEAT,
    MAX_DATAGRAM,
    MAX_WAITING_ROWS,
    _schema,
    decode_datagram,
    encode_heartbeat,
)
from ryelever.state.observations import WaitingRow

#: ``HEARTBEAT_OF_A`` as the release before these fields encoded it.
FORMER_DATAGRAM = bytes.fromhex(
    "7310155001060101112d0e11310b113117310982010001ff101450060a0101050301010107000211"
    "2512112512112906112506112106111d06fc11110a1111063c0161017a11011a0369310103510401"
    "01083f110112016d"
)
HEARTBEAT_OF_A = HostHeartbeat(
    host="a",
    availability_zone="z",
    boot=1,
    sequence=1,
    reads_store=True,
    stopping=False,
    configuration_version=7,
    in_flight_by_server={"i1": 3},
    demand_by_model={"m": 0.5},
)
ROW = WaitingRow(service="s", model="m", rank=(1, 2), late=False, count=3)
LATE = replace(ROW, late=True, count=9)


def test_former_heartbeat_is_read_as_one_without_waiting_requests() -> None:
    """Guard against hosts of two releases that drop each other's heartbeats."""
    assert decode_datagram(FORMER_DATAGRAM, peer="a") == HEARTBEAT_OF_A
    assert len(encode_heartbeat(HEARTBEAT_OF_A)) <= len(FORMER_DATAGRAM) + 4


def test_largest_of_too_many_rows_are_sent_within_range() -> None:
    """Guard against a burst of many kinds that outgrows a datagram or its fields."""
    rows = [replace(ROW, model=f"m{count}", count=count) for count in range(40)]
    rows += [
        replace(ROW, model="x" * MAX_DATAGRAM, count=99),
        replace(ROW, model="full", rank=(-1, 300), count=10**6),
    ]
    sent = replace(HEARTBEAT_OF_A, waiting=tuple(rows))
    received = decode_datagram(encode_heartbeat(sent), peer="a").waiting
    assert received[0] == replace(ROW, model="full", rank=(0, 3), count=65_535)
    assert [row.count for row in received[1:]] == list(range(39, 24, -1))
    assert len(received) == MAX_WAITING_ROWS


@pytest.mark.parametrize(
    ("work", "count"),
    [(b"\xff m\xff", 4), (b"s", 4), (b" m", 4), (b"s ", 4), (b"", 4), (b"s m", 0)],
)
@pytest.mark.parametrize(
    ("urgent", "expected"),
    [(float("nan"), {}), (-1.0, {}), (float("inf"), {"m": 0.5}), (0.25, {"m": 0.25})],
)
def test_malformed_rows_are_dropped_and_the_heartbeat_is_read(
    work: bytes, count: int, urgent: float, expected: dict[str, float]
) -> None:
    """Guard against a faulty row that costs the loads of its host."""
    data = FORMER_DATAGRAM[1:]
    message = _schema.HostHeartbeat.from_bytes_packed(data).as_builder()
    message.demands[0].urgentGroups = urgent
    message.waiting = [
        {"work": work, "count": count},
        {"work": "s m", "accountPriority": 200, "late": True, "count": 9},
    ]
    received = decode_datagram(HEARTBEAT + message.to_bytes_packed(), peer="a")
    assert received == replace(
        HEARTBEAT_OF_A,
        waiting=(replace(LATE, rank=(3, 0)),),
        urgent_demand_by_model=expected,
    )


def test_waiting_requests_are_summed_and_end_with_their_host() -> None:
    """Guard against requests of a lost host for which others are refused forever."""
    heartbeats = HostHeartbeats(host="x", zone="z")
    first = replace(HEARTBEAT_OF_A, waiting=(ROW, LATE))
    second = replace(first, host="b", waiting=(ROW,), urgent_demand_by_model={"m": 0.5})
    heartbeats.record(first, address="a:1", now=0.0)
    heartbeats.record(second, address="b:1", now=0.5)
    assert heartbeats.waiting(now=0.6) == (LATE, replace(ROW, count=6))
    assert heartbeats.oldest_received_at(now=0.6) == 0.0
    heartbeats.record(replace(first, sequence=2, waiting=(ROW,)), address="a", now=0.7)
    assert heartbeats.waiting(now=0.8) == (replace(ROW, count=6),)
    assert heartbeats.waiting(now=0.6 + HOST_TIMEOUT) == (ROW,)
    assert heartbeats.waiting(now=9.0) == ()
    summary = zone_summary(first, [second])
    assert summary.waiting == (LATE, replace(ROW, count=6))
    assert summary.urgent_demand_by_model == {"m": 0.5}
