"""Test how entry hosts on the platform use and encode each other's messages."""

from __future__ import annotations

import zlib

import pytest
from msgspec.structs import replace

from ryelever.coordination.evacuations import OperatorPosition
from ryelever.coordination.host_heartbeats import (
    HOST_TIMEOUT,
    MAX_HOSTS_AT_FULL_RATE,
    ORPHANED_ZONE_DELAY,
    READERS_PER_ZONE,
    TAKEOVER_CHECK_TIME,
    TIMEOUT_INTERVALS,
    ZONE_TIMEOUT,
    HostAddress,
    HostHeartbeat,
    HostHeartbeats,
)
from ryelever.coordination.zone_summary import zone_summary
from ryelever.errors import RyeleverError
from ryelever.protocol.host_messages import (
    COMPRESSED_UPDATES,
    HEARTBEAT,
    MAX_DATAGRAM,
    MAX_UPDATE_DATAGRAMS,
    _schema,
    decode_datagram,
    decode_servers,
    encode_heartbeat,
    encode_servers,
    encode_updates,
)
from ryelever.state.keyed_record import KeyedRecord, ServerUpdates
from ryelever.state.leaving import LeavingServerRow
from ryelever.state.observations import InvolvementRow, RateLimitRow, WaitingRow


def _heartbeat(
    host: str, *, sequence: int = 1, boot: int = 1, **changes: object
) -> HostHeartbeat:
    values = {
        "host": host,
        "availability_zone": "z",
        "boot": boot,
        "sequence": sequence,
        "reads_store": True,
        "stopping": False,
        "configuration_version": 7,
    }
    return HostHeartbeat(**(values | changes))


def _take(heartbeats: HostHeartbeats, heartbeat: HostHeartbeat, *, now: float) -> bool:
    return heartbeats.record(heartbeat, address="10.0.0.1:7000", now=now)


@pytest.fixture
def heartbeats() -> HostHeartbeats:
    return HostHeartbeats(host="b", zone="z")


def test_a_heartbeat_is_decoded_as_it_was_encoded() -> None:
    heartbeat = _heartbeat(
        "a",
        in_flight_by_server={"i1": 3},
        demand_by_model={"m": 0.5},
        arrival_rate=2.5,
        still=("i1",),
        plans=("z",),
        reshapes=("z",),
        moving=("i2",),
        address="10.0.0.1:7000",
        interval=0.5,
        for_zone=True,
        n_hosts=3,
        passed_on=True,
        configuration_size=4711,
        forwards=True,
        forwarders=("a", "c"),
        suspicions=(
            InvolvementRow(
                fingerprint="a/f", crashes=("i1", "i2"), refuted=("i3",), age=2
            ),
            InvolvementRow(fingerprint="a/g", refuted=("i3",)),
            InvolvementRow(fingerprint="5c1e07a2", crashes=("i1",), is_part=True),
            InvolvementRow(fingerprint="07", is_part=True, has_completed=True),
        ),
    )
    assert decode_datagram(encode_heartbeat(heartbeat), peer="a") == heartbeat


def test_a_heartbeat_with_many_crashes_fits_into_a_datagram() -> None:
    rows = tuple(
        InvolvementRow(
            fingerprint=f"account-{index:03}/{index:024x}",
            crashes=tuple(f"server-{index:03}-{crash:012x}" for crash in range(6)),
        )
        for index in range(100)
    )
    loads = {f"i-{index:010x}": 1 for index in range(160)}
    heartbeat = _heartbeat("a", suspicions=rows, in_flight_by_server=loads)
    data = encode_heartbeat(heartbeat)
    assert len(data) <= MAX_DATAGRAM
    found = decode_datagram(data, peer="a")
    assert found.suspicions == rows[: len(found.suspicions)]
    assert len(found.suspicions) >= 8
    assert found.in_flight_by_server == loads


def test_a_heartbeat_with_many_suspected_parts_fits_into_a_datagram() -> None:
    """Guard against a heartbeat that is not sent since a caller invents parts."""
    rows = [
        InvolvementRow(
            fingerprint=f"{index:064x}",
            crashes=tuple(f"server-{index:03}-{crash:012x}" for crash in range(6)),
            is_part=index >= 100,
        )
        for index in range(200)
    ]
    data = encode_heartbeat(_heartbeat("a", suspicions=tuple(rows)))
    assert len(data) <= MAX_DATAGRAM
    found = decode_datagram(data, peer="a").suspicions
    n_requests = sum(not row.is_part for row in found)
    assert list(found) == rows[:n_requests] + rows[100 : 100 + len(found) - n_requests]
    assert min(n_requests, len(found) - n_requests) >= 4


@pytest.mark.parametrize(
    "data", [b"", b"\x00", b"no word at all", b"w", b"n", b"w" + b"\xff" * 64]
)
def test_malformed_datagrams_are_errors(data: bytes) -> None:
    assert decode_datagram(data, peer="a").step == "read_host_word"


def test_updates_are_decoded_as_they_were_encoded() -> None:
    records = [
        KeyedRecord(key="i1", value=b"{}", offset=5),
        KeyedRecord(key="i2", value=b"", offset=6),
    ]
    updates = ServerUpdates(reader="a", start=4, end=9, records=records)
    [datagram] = encode_updates(updates)
    assert decode_datagram(datagram, peer="a") == updates
    [datagram] = encode_updates(replace(updates, records=[]))
    assert decode_datagram(datagram, peer="a").end == 9
    many = [KeyedRecord(key="i", value=b"x" * 100, offset=5)] * 100
    long = ServerUpdates(reader="a", start=4, end=9, records=many, reported=True)
    # Updates that are fetched over HTTP have no size limit.
    assert decode_servers(encode_servers(long), peer="a").ok == long


@pytest.mark.parametrize("reported", [False, True])
def test_long_updates_are_split_into_consecutive_parts(reported: bool) -> None:
    """Guard against long updates that are not forwarded.

    When a fabric domain fails, the records of dozens of servers change at once and
    don't fit into a datagram.  If they were not sent, all entry hosts of a large
    deployment would read the store at the same time, and each call is charged.
    """
    records = [
        KeyedRecord(key=f"i{offset}", value=b"x" * 500, offset=offset)
        for offset in range(10, 70, 2)
    ]
    updates = ServerUpdates(
        reader="a", start=9, end=75, records=records, reported=reported
    )
    datagrams = encode_updates(updates)
    assert len(datagrams) > 1
    assert max(map(len, datagrams)) <= MAX_DATAGRAM
    parts = [decode_datagram(item, peer="a") for item in datagrams]
    assert [record for part in parts for record in part.records] == records
    assert {part.reported for part in parts} == {reported}
    if not reported:
        bounds = [(part.start, part.end) for part in parts]
        assert bounds[0][0] == 9 and bounds[-1][1] == 75
        ends = [end for _, end in bounds[:-1]]
        assert [start for start, _ in bounds[1:]] == ends
        assert all(
            part.start <= record.offset < part.end
            for part in parts
            for record in part.records
        )


def test_updates_of_many_servers_fit_a_slow_link() -> None:
    """Guard against updates that exceed a slow link while groups form.

    925 servers join groups, a hundred of them in a third of a second, and the reader
    sends their records to 38 hosts of its zone over a link of 10 Mbit/s.  Records of
    450 bytes, which differ in a few bytes only, add up to 1.7 MB in that time if they
    are not compressed.  Hosts that missed updates would each read the store.
    """
    value = b'{"service": "engines", "zone": "z", "slots": 11, "state": "ready",' * 6
    records = [
        KeyedRecord(key=f"i{offset}", value=value + b"%d}" % offset, offset=offset)
        for offset in range(100)
    ]
    updates = ServerUpdates(reader="a", start=0, end=100, records=records)
    [datagram] = encode_updates(updates)
    assert decode_datagram(datagram, peer="a").to_fetch
    fetched = encode_servers(updates)
    assert decode_servers(fetched, peer="a").ok.records == records
    link_bytes = 10e6 / 8
    assert 38 * (len(datagram) + len(fetched)) < 0.3 * link_bytes


def test_updates_of_a_few_servers_are_consecutive() -> None:
    """Guard against records that are lost between two datagrams."""
    records = [
        KeyedRecord(key=f"i{offset}", value=b"e" * 450, offset=offset)
        for offset in range(3, 50)
    ]
    datagrams = encode_updates(
        ServerUpdates(reader="a", start=3, end=50, records=records)
    )
    parts = [decode_datagram(item, peer="a") for item in datagrams]
    assert [record for part in parts for record in part.records] == records
    assert [part.start for part in parts] == [3, *(part.end for part in parts[:-1])]
    assert 1 < len(parts) <= MAX_UPDATE_DATAGRAMS


def test_a_short_datagram_is_not_unpacked_beyond_its_limit() -> None:
    bomb = COMPRESSED_UPDATES + zlib.compress(bytes(64 << 20), 9)
    assert len(bomb) < 100_000
    assert isinstance(decode_datagram(bomb, peer="a"), RyeleverError)


@pytest.mark.parametrize("data", [b"no records", b"\xff" * 64])
def test_malformed_answers_are_errors(data: bytes) -> None:
    assert decode_servers(data, peer="a").error.step == "read_servers"


def test_a_heartbeat_fits_into_a_datagram() -> None:
    names = {f"i-{index:08x}": 13 for index in range(400)}
    limits = [RateLimitRow(server_id=name, rate=1 / 3, age=0.1) for name in names]
    heartbeat = _heartbeat(
        "a",
        in_flight_by_server=names,
        still=tuple(names),
        rate_limits=tuple(limits),
        wanted_servers=tuple(names),
        leaving_servers=tuple(
            LeavingServerRow(server_id=name, started_at=1_790_000_000_000)
            for name in names
        ),
        waiting=tuple(
            replace(ROW, service="s" * 30, model=name.rjust(33, "m")) for name in names
        ),
    )
    data = encode_heartbeat(heartbeat)
    assert len(data) <= MAX_DATAGRAM
    assert decode_datagram(data, peer="a").waiting


def test_old_heartbeats_are_dropped(heartbeats: HostHeartbeats) -> None:
    assert _take(heartbeats, _heartbeat("a", sequence=2), now=0.0)
    assert not _take(heartbeats, _heartbeat("a", sequence=1), now=0.1)
    # A restarted host starts again with its first sequence number.
    assert _take(heartbeats, _heartbeat("a", sequence=1, boot=2), now=0.2)
    assert not _take(heartbeats, _heartbeat("b"), now=0.3)


def test_loads_of_live_hosts_are_summed(heartbeats: HostHeartbeats) -> None:
    _take(heartbeats, _heartbeat("a", in_flight_by_server={"i1": 3}), now=0.0)
    _take(
        heartbeats,
        _heartbeat("c", in_flight_by_server={"i1": 2, "i2": 1}),
        now=0.5,
    )
    assert heartbeats.in_flight(now=0.6) == {"i1": 5, "i2": 1}
    assert heartbeats.in_flight(now=0.1 + HOST_TIMEOUT) == {"i1": 2, "i2": 1}


def test_zone_heartbeats_are_current_after_each_heartbeat_and_timeout(
    heartbeats: HostHeartbeats,
) -> None:
    """Compare the cached heartbeats with a fresh selection of live hosts."""
    newest: dict[str, float] = {}
    for step in range(200):
        now = step * 0.13
        host = "acdef"[step * 7 % 5] if step % 40 < 25 else "c"
        interval = 0.2 * (1 + step % 4)
        _take(heartbeats, _heartbeat(host, sequence=step, interval=interval), now=now)
        newest[host] = now + max(HOST_TIMEOUT, TIMEOUT_INTERVALS * interval)
        if step % 3:
            living = {host for host, timeout_at in newest.items() if timeout_at > now}
            assert {
                heartbeat.host for heartbeat in heartbeats.of_own_zone(now=now)
            } == living
            assert {
                heartbeat.host for heartbeat in heartbeats.live_heartbeats(now=now)
            } == living


def test_loads_are_current_after_each_heartbeat_and_timeout(
    heartbeats: HostHeartbeats,
) -> None:
    """Compare the incremental sum with a sum over the heartbeats of live hosts."""
    newest: dict[str, tuple[float, dict[str, int]]] = {}
    for step in range(200):
        now = step * 0.1
        host = "acdef"[step * 7 % 5] if step % 40 < 25 else "c"
        loads = {f"i{step % 3}": step % 4, f"i{3 + step % 2}": 1 + step % 5}
        _take(
            heartbeats,
            _heartbeat(host, sequence=step, in_flight_by_server=loads),
            now=now,
        )
        newest[host] = (now, loads)
        expected: dict[str, int] = {}
        for received_at, reported_loads in newest.values():
            if now - received_at <= HOST_TIMEOUT:
                for server_id, count in reported_loads.items():
                    expected[server_id] = expected.get(server_id, 0) + count
        found = heartbeats.in_flight(now=now)
        assert {key: found[key] for key in expected} == expected
        assert sum(found.values()) == sum(expected.values())


def _plans(
    heartbeats: HostHeartbeats, *, planning: bool = False, now: float = 0.0
) -> bool:
    return heartbeats.plans_for("z", planning=planning, reads_store=True, now=now)


def test_the_first_host_that_reaches_the_store_plans(
    heartbeats: HostHeartbeats,
) -> None:
    assert _plans(heartbeats)
    _take(heartbeats, _heartbeat("c"), now=0.0)
    assert _plans(heartbeats)
    _take(heartbeats, _heartbeat("a", reads_store=False), now=0.0)
    assert _plans(heartbeats)
    _take(heartbeats, _heartbeat("a", sequence=2), now=0.0)
    assert not _plans(heartbeats)
    assert _plans(heartbeats, now=0.1 + HOST_TIMEOUT)


def test_a_planner_continues_when_another_host_returns(
    heartbeats: HostHeartbeats,
) -> None:
    """Guard against a restarted host that takes planning over.

    The first host by name is killed, another host plans, and the first one returns.
    Each change of planner costs a second without repairs, since the new planner has
    to read and to settle first.
    """
    _take(heartbeats, _heartbeat("a"), now=0.0)
    assert _plans(heartbeats, planning=True)
    _take(heartbeats, _heartbeat("c", plans=("z",)), now=0.0)
    assert not _plans(heartbeats, planning=False)
    # Of two planners, the first by name continues.
    assert _plans(heartbeats, planning=True)
    _take(heartbeats, _heartbeat("a", sequence=2, plans=("z",)), now=0.0)
    assert not _plans(heartbeats, planning=True)


def test_a_paused_planner_yields_to_any_other(heartbeats: HostHeartbeats) -> None:
    """Guard against a planner that yields to one that was paused meanwhile.

    By their names the one that was paused would continue, without knowing what the
    other one has ordered.
    """

    def plans(now: float) -> bool:
        return heartbeats.plans_for(
            "z", planning=True, reads_store=True, now=now, resumed_at=5.0
        )

    assert plans(5.0)
    _take(heartbeats, _heartbeat("a"), now=5.1)
    assert plans(5.1)
    _take(heartbeats, _heartbeat("c", plans=("z",)), now=5.2)
    assert not plans(5.2)
    assert plans(5.0 + TAKEOVER_CHECK_TIME)


def test_a_paused_host_waits_before_it_starts_to_plan(
    heartbeats: HostHeartbeats,
) -> None:
    """Guard against a host that takes planning over because it heard nobody."""

    def plans(now: float) -> bool:
        return heartbeats.plans_for(
            "z", planning=False, reads_store=True, now=now, resumed_at=5.0
        )

    assert not plans(5.0)
    assert plans(5.0 + TAKEOVER_CHECK_TIME)
    _take(heartbeats, _heartbeat("c", plans=("z",)), now=5.6)
    assert not plans(5.0 + TAKEOVER_CHECK_TIME)


@pytest.mark.parametrize("planning", [False, True])
def test_a_zone_is_not_orphaned_because_this_host_was_paused(
    heartbeats: HostHeartbeats, planning: bool
) -> None:
    """Guard against a host that plans for another zone after its own pause."""

    def plans(now: float) -> bool:
        return heartbeats.plans_for(
            "y", planning=planning, reads_store=True, now=now, resumed_at=20.0
        )

    _take(heartbeats, _heartbeat("a", availability_zone="y"), now=0.0)
    assert plans(20.0 + TAKEOVER_CHECK_TIME) is planning
    assert plans(20.0 + ORPHANED_ZONE_DELAY)


def test_a_stopping_host_does_not_plan(heartbeats: HostHeartbeats) -> None:
    _take(heartbeats, _heartbeat("a", stopping=True, plans=("z",)), now=0.0)
    assert _plans(heartbeats)


def test_a_host_without_the_store_does_not_start_planning(
    heartbeats: HostHeartbeats,
) -> None:
    assert not heartbeats.plans_for("z", planning=False, reads_store=False, now=0.0)


def test_a_planner_continues_while_no_host_reaches_the_store(
    heartbeats: HostHeartbeats,
) -> None:
    """Guard against repairs that start a second after an outage of the store.

    The store is unreachable for eight seconds, and groups lose members.  If no host
    planned during the outage, a new planner would have to settle after it, and the
    groups that lost a member would not be ended meanwhile.
    """

    def plans(now: float) -> bool:
        return heartbeats.plans_for("z", planning=True, reads_store=False, now=now)

    _take(heartbeats, _heartbeat("a", reads_store=False), now=0.0)
    assert plans(0.0)
    _take(heartbeats, _heartbeat("c", sequence=2, plans=("z",)), now=0.1)
    assert not plans(0.1)


def test_a_planner_yields_only_to_another_planner(
    heartbeats: HostHeartbeats,
) -> None:
    """Guard against a zone without a planner while hosts lose the store one by one.

    The planner loses the store first.  Another host of the zone still reports that it
    reads the store, but loses the store before it starts to plan.  If the planner
    stopped because of that report, no host would plan for six seconds of the outage.
    """

    def plans(now: float) -> bool:
        return heartbeats.plans_for("z", planning=True, reads_store=False, now=now)

    _take(heartbeats, _heartbeat("a"), now=0.0)
    assert plans(0.0)
    _take(heartbeats, _heartbeat("a", sequence=2, reads_store=False), now=0.2)
    assert plans(0.2)


def test_hosts_of_other_zones_plan_for_a_zone_without_hosts(
    heartbeats: HostHeartbeats,
) -> None:
    def plans(now: float) -> bool:
        return heartbeats.plans_for("y", planning=False, reads_store=True, now=now)

    assert not plans(0.0)
    assert not plans(ORPHANED_ZONE_DELAY - 0.1)
    assert plans(ORPHANED_ZONE_DELAY)
    _take(heartbeats, _heartbeat("a", availability_zone="y"), now=ORPHANED_ZONE_DELAY)
    assert not plans(ORPHANED_ZONE_DELAY + 0.1)


def test_addresses_of_hosts_are_learned_from_heartbeats(
    heartbeats: HostHeartbeats,
) -> None:
    """Check that a restarted host finds the other hosts without the store."""
    heartbeats.record(_heartbeat("a"), address="10.0.0.7:7000", now=0.0)
    assert heartbeats.addresses_by_host["a"].address == "10.0.0.7:7000"
    heartbeats.record(_heartbeat("a", boot=2), address="10.0.0.8:7000", now=0.1)
    assert heartbeats.addresses_by_host["a"].address == "10.0.0.8:7000"


def test_a_zone_without_heartbeats_is_unreachable(heartbeats: HostHeartbeats) -> None:
    _take(heartbeats, _heartbeat("a", availability_zone="y"), now=0.0)
    _take(heartbeats, _heartbeat("c", availability_zone="y"), now=1.0)
    assert heartbeats.unreachable_zones(now=1.0 + ZONE_TIMEOUT) == set()
    assert heartbeats.unreachable_zones(now=1.1 + ZONE_TIMEOUT) == {"y"}
    _take(heartbeats, _heartbeat("a", sequence=2, availability_zone="y"), now=4.0)
    assert heartbeats.unreachable_zones(now=4.0) == set()


def test_reports_of_other_hosts_on_groups_and_zones_are_merged(
    heartbeats: HostHeartbeats,
) -> None:
    _take(heartbeats, _heartbeat("a", still=("h1", "h2"), reshapes=("x",)), now=0.0)
    _take(heartbeats, _heartbeat("c", moving=("h1",), reshapes=("y",)), now=0.5)
    assert heartbeats.still(now=0.6) == {"h1", "h2"}
    assert heartbeats.moving(now=0.6) == {"h1"}
    assert heartbeats.reshaped_zones(now=0.6) == {"x", "y"}
    assert heartbeats.reshaped_zones(now=0.1 + HOST_TIMEOUT) == {"y"}


@pytest.mark.parametrize(
    ("others", "reads_store", "reads"),
    [
        ([], True, True),
        ([("a", {})], True, True),
        ([("a", {}), ("a2", {})], True, False),
        ([("a", {}), ("a2", {"availability_zone": "y"})], True, True),
        ([("a", {}), ("a2", {"reads_store": False})], True, True),
        ([("a", {}), ("a2", {"stopping": True})], True, True),
        ([("c", {}), ("d", {})], True, True),
        ([("a", {}), ("a2", {})], False, True),
    ],
    ids=[
        "alone",
        "second",
        "third",
        "one in another zone",
        "one without the store",
        "one stopping",
        "first by name",
        "itself without the store",
    ],
)
def test_the_first_hosts_of_a_zone_read_for_it(
    heartbeats: HostHeartbeats,
    others: list[tuple[str, dict]],
    reads_store: bool,
    reads: bool,
) -> None:
    assert READERS_PER_ZONE == 2
    for host, changes in others:
        _take(heartbeats, _heartbeat(host, **changes), now=0.0)
    assert heartbeats.reads_for_zone(reads_store=reads_store, now=0.1) is reads


def test_the_next_host_reads_when_a_reader_times_out(
    heartbeats: HostHeartbeats,
) -> None:
    """Guard against configuration changes that become active late.

    One of the hosts that read the store for their zone is killed or cut off, and the
    other hosts don't read but wait for its updates.
    """
    for host in ("a", "a2"):
        _take(heartbeats, _heartbeat(host), now=0.0)
    _take(heartbeats, _heartbeat("a", sequence=2), now=HOST_TIMEOUT)
    assert not heartbeats.reads_for_zone(reads_store=True, now=HOST_TIMEOUT)
    assert heartbeats.reads_for_zone(reads_store=True, now=HOST_TIMEOUT + 0.01)


def test_a_host_with_a_long_interval_times_out_later(
    heartbeats: HostHeartbeats,
) -> None:
    _take(
        heartbeats,
        _heartbeat("a", interval=2.0, in_flight_by_server={"i1": 1}),
        now=0.0,
    )
    limit = 2.0 * TIMEOUT_INTERVALS
    assert heartbeats.in_flight(now=limit) == {"i1": 1}
    assert heartbeats.in_flight(now=limit + 0.01) == {}


def test_heartbeats_in_large_zones_are_less_frequent(
    heartbeats: HostHeartbeats,
) -> None:
    intervals = []
    for n_others in range(3 * MAX_HOSTS_AT_FULL_RATE):
        intervals.append(heartbeats.ticks_between_heartbeats(now=0.0))
        _take(heartbeats, _heartbeat(f"h{n_others}"), now=0.0)
    assert (
        intervals
        == [1] * MAX_HOSTS_AT_FULL_RATE
        + [2] * MAX_HOSTS_AT_FULL_RATE
        + [3] * MAX_HOSTS_AT_FULL_RATE
    )


@pytest.mark.parametrize(
    ("others", "planning", "represents_zone"),
    [
        ([], False, True),
        ([("a", ())], False, False),
        ([("c", ())], False, True),
        ([("a", ())], True, True),
        ([("a", ("z",))], True, False),
        ([("c", ("z",))], True, True),
        ([("c", ("z",))], False, False),
        ([("c", ("y",))], False, True),
    ],
    ids=[
        "alone",
        "second by name",
        "first by name",
        "plans",
        "second of two that plan",
        "first of two that plan",
        "another plans",
        "another plans for a zone without hosts",
    ],
)
def test_one_host_represents_a_zone(
    heartbeats: HostHeartbeats,
    others: list[tuple[str, tuple[str, ...]]],
    planning: bool,
    represents_zone: bool,
) -> None:
    for host, plans in others:
        _take(heartbeats, _heartbeat(host, plans=plans), now=0.0)
    assert heartbeats.represents_zone(planning=planning, now=0.1) is represents_zone


def test_only_the_newest_heartbeat_of_a_zone_counts(heartbeats: HostHeartbeats) -> None:
    """Guard against servers whose load is counted twice.

    A new representative sends the zone's heartbeat before the heartbeat of the former
    representative has timed out.  The sum of the loads must contain only the newer one.
    """
    far = {"availability_zone": "y", "for_zone": True, "n_hosts": 5}
    _take(heartbeats, _heartbeat("y1", in_flight_by_server={"i1": 3}, **far), now=0.0)
    _take(heartbeats, _heartbeat("y2", in_flight_by_server={"i1": 4}, **far), now=0.1)
    assert heartbeats.in_flight(now=0.2) == {"i1": 4}
    assert heartbeats.zone_representative("y") == "y2"
    # Hosts that have timed out may still serve.
    assert heartbeats.n_hosts(now=60.0) == 6


def test_hosts_have_reported_once_each_sent_a_later_heartbeat(
    heartbeats: HostHeartbeats,
) -> None:
    assert heartbeats.have_reported_since(5.0, now=5.0)
    _take(heartbeats, _heartbeat("a"), now=5.1)
    _take(heartbeats, _heartbeat("c"), now=5.8)
    assert not heartbeats.have_reported_since(5.0, now=5.8)
    _take(heartbeats, _heartbeat("a", sequence=2), now=5.9)
    assert heartbeats.have_reported_since(5.0, now=5.9)
    _take(heartbeats, _heartbeat("a", sequence=3), now=6.6)
    # The other host has timed out.
    assert heartbeats.have_reported_since(6.0, now=5.81 + HOST_TIMEOUT)


def test_a_zone_summary_merges_the_heartbeats_of_its_hosts() -> None:
    row = InvolvementRow(fingerprint="f", crashes=("i1", "i2"), age=1)
    own = _heartbeat(
        "a",
        in_flight_by_server={"i1": 1},
        still=("h1",),
        suspicions=(InvolvementRow(fingerprint="e", crashes=("i2",)), row),
    )
    other = _heartbeat(
        "b",
        in_flight_by_server={"i1": 2, "i2": 1},
        demand_by_model={"m": 0.5},
        still=("h1", "h2"),
        plans=("z",),
        suspicions=(replace(row, crashes=("i2", "i3"), refuted=("i1",), age=2),),
    )
    summary = zone_summary(own, [other])
    assert (summary.host, summary.n_hosts) == ("a", 2)
    assert summary.in_flight_by_server == {"i1": 3, "i2": 1}
    assert summary.demand_by_model == {"m": 0.5}
    assert summary.still == ("h1", "h2")
    assert summary.plans == ("z",)
    assert summary.suspicions == (
        InvolvementRow(fingerprint="f", crashes=("i2", "i3"), refuted=("i1",), age=1),
        InvolvementRow(fingerprint="e", crashes=("i2",)),
    )


def test_hosts_of_other_zones_that_forward_are_known(
    heartbeats: HostHeartbeats,
) -> None:
    """Guard against a zone whose hosts are all partitioned and know no way out."""
    summary = zone_summary(
        _heartbeat("y1", availability_zone="y"),
        [_heartbeat("y2", availability_zone="y", forwards=True)],
    )
    _take(heartbeats, replace(summary, for_zone=True), now=0.0)
    _take(heartbeats, _heartbeat("a"), now=0.0)
    _take(heartbeats, _heartbeat("c", forwards=True), now=0.0)
    # Addresses of other zones' hosts are read from the store.
    heartbeats.addresses_by_host["y2"] = HostAddress(
        host="y2", address="10.1.0.2:7000", availability_zone="y"
    )
    hosts = heartbeats.forwarding_hosts(now=0.1)
    assert [host.host for host in hosts.own_zone] == ["c"]
    assert [host.host for host in hosts.other_zones] == ["y2"]
    assert heartbeats.is_host_address("10.1.0.2")
    assert not heartbeats.is_host_address("10.1.0.3")


def test_limits_leaving_servers_and_evacuations_are_encoded() -> None:
    rows = (
        RateLimitRow(server_id="i1", rate=1.5, age=0.25, started_at=7),
        RateLimitRow(server_id="i2", rate=None, age=1.0),
    )
    heartbeat = replace(
        _heartbeat("a"),
        rate_limits=rows,
        wanted_servers=("i1",),
        leaving_servers=(
            LeavingServerRow(server_id="i3", started_at=7),
            LeavingServerRow(server_id="i4"),
        ),
        store_era=3,
        evacuated_zones=("x",),
        operator_position=OperatorPosition(3, 17),
    )
    assert decode_datagram(encode_heartbeat(heartbeat), peer="a") == heartbeat


#: ``HEARTBEAT_OF_A`` as the release before waiting requests encoded it.
FORMER_DATAGRAM = bytes.fromhex(
    "7310155001060101112d0e11310b113117310982010001ff101450060a0101050301010107000211"
    "2512112512112906112506112106111d06fc11110a1111063c0161017a11011a0369310103510401"
    "01083f110112016d"
)
HEARTBEAT_OF_A = _heartbeat(
    "a", in_flight_by_server={"i1": 3}, demand_by_model={"m": 0.5}
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
    rows.append(replace(ROW, model="x" * MAX_DATAGRAM, count=99))
    rows.append(replace(ROW, rank=(-1, 300), count=10**6))
    sent = replace(HEARTBEAT_OF_A, waiting=tuple(rows))
    received = decode_datagram(encode_heartbeat(sent), peer="a").waiting
    assert received[0] == replace(ROW, rank=(0, 3), count=65_535)
    assert [row.count for row in received[1:]] == list(range(39, 24, -1))


def test_malformed_values_are_dropped_and_the_heartbeat_is_read() -> None:
    """Guard against a faulty row that costs the loads of its host."""
    data = FORMER_DATAGRAM[1:]
    message = _schema.HostHeartbeat.from_bytes_packed(data).as_builder()
    urgent = {"a": float("nan"), "b": -1.0, "c": float("inf"), "d": 0.25}
    message.demands = [
        {"model": model, "groups": 0.5, "urgentGroups": groups}
        for model, groups in urgent.items()
    ]
    works = [b"\xff m\xff", b"s", b" m", b"s ", b""]
    rows = [{"work": work, "count": 4} for work in works]
    rows.append({"work": "s m", "accountPriority": 200, "late": True, "count": 9})
    message.waiting = [*rows, {"work": "s m", "count": 0}]
    received = decode_datagram(HEARTBEAT + message.to_bytes_packed(), peer="a")
    assert received.waiting == (replace(LATE, rank=(3, 0)),)
    assert received.urgent_demand_by_model == {"c": 0.5, "d": 0.25}
    assert received.in_flight_by_server == {"i1": 3}


def test_waiting_requests_are_summed_and_end_with_their_host(
    heartbeats: HostHeartbeats,
) -> None:
    """Guard against requests of a lost host for which others are refused forever."""
    first = replace(HEARTBEAT_OF_A, waiting=(ROW, LATE))
    second = replace(first, host="c", waiting=(ROW,))
    _take(heartbeats, first, now=0.0)
    _take(heartbeats, second, now=0.5)
    total = (LATE, replace(ROW, count=6))
    assert heartbeats.waiting(now=0.6) == zone_summary(first, [second]).waiting == total
    _take(heartbeats, replace(first, sequence=2, waiting=(ROW,)), now=0.7)
    assert heartbeats.waiting(now=0.8) == total[1:]
    assert heartbeats.oldest_received_at(now=0.8) == 0.5
    assert heartbeats.waiting(now=0.6 + HOST_TIMEOUT) == (ROW,)
