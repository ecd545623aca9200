"""Test what entry hosts that relay requests make of each other's words."""

from __future__ import annotations

import zlib

import pytest
from msgspec.structs import replace

from ryelever.coordination.evacuations import OperatorPosition
from ryelever.coordination.host_heartbeats import (
    FREQUENT_HOSTS,
    HOST_SILENCE,
    ORPHANED,
    READERS,
    SILENT_INTERVALS,
    ZONE_SILENCE,
    HostHeartbeat,
    HostHeartbeats,
)
from ryelever.coordination.zone_summary import zone_summary
from ryelever.errors import RyeleverError
from ryelever.protocol.host_messages import (
    COMPRESSED_UPDATES,
    MAX_DATAGRAM,
    MAX_UPDATE_DATAGRAMS,
    decode_datagram,
    decode_servers,
    encode_heartbeat,
    encode_servers,
    encode_updates,
)
from ryelever.state.keyed_record import KeyedRecord, ServerUpdates
from ryelever.state.observations import RateLimitRow, SuspicionRow


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
    return heartbeats.take(heartbeat, address="10.0.0.1:7000", now=now)


@pytest.fixture
def heartbeats() -> HostHeartbeats:
    return HostHeartbeats(host="b", zone="z")


def test_a_word_survives_its_way() -> None:
    heartbeat = _heartbeat(
        "a",
        in_flight_by_server={"i1": 3},
        demand_by_model={"m": 0.5},
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
        suspicions=(
            SuspicionRow(
                fingerprint="a/f", n_crashes=2, crash="i1", repeated=True, proved=True
            ),
        ),
    )
    assert decode_datagram(encode_heartbeat(heartbeat), peer="a") == heartbeat


@pytest.mark.parametrize(
    "data", [b"", b"\x00", b"no word at all", b"w", b"n", b"w" + b"\xff" * 64]
)
def test_other_datagrams_are_errors(data: bytes) -> None:
    assert decode_datagram(data, peer="a").step == "read_host_word"


def test_news_survive_their_way() -> None:
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
    # Over HTTP they have no bound.
    assert decode_servers(encode_servers(long), peer="a").ok == long


@pytest.mark.parametrize("reported", [False, True])
def test_long_news_come_in_parts_that_follow_each_other(reported: bool) -> None:
    """Let dozens of servers change at once.

    Symptom: all entry hosts of a large deployment read the store in the same moment,
    and each call is paid for.  Sequence: a fabric domain goes dark, and the records
    that one host reads don't fit into a datagram.  Cause: they were not passed on.
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


def test_news_of_many_servers_are_short() -> None:
    """See that what is told while groups form fits through a slow link.

    Symptom: hosts missed news of servers, and each read the store for them.
    Sequence: 925 servers join groups, a hundred in a third of a second; who reads
    them tells 38 hosts of its zone, over a link of 10 Mbit/s.
    Cause: records are 450 bytes each, alike in all but a few: 1.7 MB in that time.
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


def test_news_of_a_few_servers_follow_each_other() -> None:
    """Guard against records that fall between two datagrams."""
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


def test_a_short_datagram_unpacks_to_no_more_than_its_bound() -> None:
    bomb = COMPRESSED_UPDATES + zlib.compress(bytes(64 << 20), 9)
    assert len(bomb) < 100_000
    assert isinstance(decode_datagram(bomb, peer="a"), RyeleverError)


@pytest.mark.parametrize("data", [b"no records", b"\xff" * 64])
def test_other_answers_are_errors(data: bytes) -> None:
    assert decode_servers(data, peer="a").error.step == "read_servers"


def test_a_word_fits_into_a_datagram() -> None:
    names = {f"i-{index:08x}": 13 for index in range(400)}
    limits = [RateLimitRow(server_id=name, rate=1 / 3, age=0.1) for name in names]
    heartbeat = _heartbeat(
        "a",
        in_flight_by_server=names,
        still=tuple(names),
        rate_limits=tuple(limits),
        wanted_servers=tuple(names),
    )
    assert len(encode_heartbeat(heartbeat)) <= MAX_DATAGRAM


def test_old_words_are_dropped(heartbeats: HostHeartbeats) -> None:
    assert _take(heartbeats, _heartbeat("a", sequence=2), now=0.0)
    assert not _take(heartbeats, _heartbeat("a", sequence=1), now=0.1)
    # A host that was started anew counts from the start.
    assert _take(heartbeats, _heartbeat("a", sequence=1, boot=2), now=0.2)
    assert not _take(heartbeats, _heartbeat("b"), now=0.3)


def test_loads_of_living_hosts_add_up(heartbeats: HostHeartbeats) -> None:
    _take(heartbeats, _heartbeat("a", in_flight_by_server={"i1": 3}), now=0.0)
    _take(
        heartbeats,
        _heartbeat("c", in_flight_by_server={"i1": 2, "i2": 1}),
        now=0.5,
    )
    assert heartbeats.in_flight(now=0.6) == {"i1": 5, "i2": 1}
    assert heartbeats.in_flight(now=0.1 + HOST_SILENCE) == {"i1": 2, "i2": 1}


def test_words_of_the_zone_follow_each_word_and_each_silence(
    heartbeats: HostHeartbeats,
) -> None:
    """Compare the words that are kept with those of living hosts picked anew."""
    newest: dict[str, float] = {}
    for step in range(200):
        now = step * 0.13
        host = "acdef"[step * 7 % 5] if step % 40 < 25 else "c"
        interval = 0.2 * (1 + step % 4)
        _take(heartbeats, _heartbeat(host, sequence=step, interval=interval), now=now)
        newest[host] = now + max(HOST_SILENCE, SILENT_INTERVALS * interval)
        if step % 3:
            living = {host for host, lapses_at in newest.items() if lapses_at > now}
            assert {heartbeat.host for heartbeat in heartbeats.near(now=now)} == living
            assert {
                heartbeat.host for heartbeat in heartbeats.living(now=now)
            } == living


def test_loads_follow_each_word_and_each_silence(heartbeats: HostHeartbeats) -> None:
    """Compare the sum that is kept with one over the newest words of living hosts."""
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
        for heard_at, told in newest.values():
            if now - heard_at <= HOST_SILENCE:
                for server_id, count in told.items():
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
    assert _plans(heartbeats, now=0.1 + HOST_SILENCE)


def test_who_plans_goes_on_planning(heartbeats: HostHeartbeats) -> None:
    """Show that a host that comes back takes nothing over.

    Symptom: nothing is mended for a second after a host is back.
    Sequence: the first host by name is killed, another plans, the first is back.
    Cause: each change of planner costs the time to read and to settle.
    """
    _take(heartbeats, _heartbeat("a"), now=0.0)
    assert _plans(heartbeats, planning=True)
    _take(heartbeats, _heartbeat("c", plans=("z",)), now=0.0)
    assert not _plans(heartbeats, planning=False)
    # Of two that plan, the first by name goes on.
    assert _plans(heartbeats, planning=True)
    _take(heartbeats, _heartbeat("a", sequence=2, plans=("z",)), now=0.0)
    assert not _plans(heartbeats, planning=True)


def test_a_stopping_host_plans_no_more(heartbeats: HostHeartbeats) -> None:
    _take(heartbeats, _heartbeat("a", stopping=True, plans=("z",)), now=0.0)
    assert _plans(heartbeats)


def test_a_host_without_the_store_begins_no_planning(
    heartbeats: HostHeartbeats,
) -> None:
    assert not heartbeats.plans_for("z", planning=False, reads_store=False, now=0.0)


def test_who_plans_goes_on_while_nobody_reaches_the_store(
    heartbeats: HostHeartbeats,
) -> None:
    """Show that groups that lost a member are ended during an outage.

    Symptom: it takes a second after an outage to begin mending.
    Sequence: the store is away for eight seconds, and groups lose members.
    Cause: nobody planned meanwhile, and whoever began after it settled first.
    """

    def plans(now: float) -> bool:
        return heartbeats.plans_for("z", planning=True, reads_store=False, now=now)

    _take(heartbeats, _heartbeat("a", reads_store=False), now=0.0)
    assert plans(0.0)
    _take(heartbeats, _heartbeat("c", sequence=2, plans=("z",)), now=0.1)
    assert not plans(0.1)


def test_who_plans_hands_over_only_to_one_that_plans(
    heartbeats: HostHeartbeats,
) -> None:
    """Show that a zone keeps its planner when the store goes away bit by bit.

    Symptom: nobody plans for a zone through six seconds of an outage.
    Sequence: the planner loses the store; a host beside it still says that it reads
    there, and loses it before it has begun to plan.
    Cause: the planner ended at the word of a host that might have taken over.
    """

    def plans(now: float) -> bool:
        return heartbeats.plans_for("z", planning=True, reads_store=False, now=now)

    _take(heartbeats, _heartbeat("a"), now=0.0)
    assert plans(0.0)
    _take(heartbeats, _heartbeat("a", sequence=2, reads_store=False), now=0.2)
    assert plans(0.2)


def test_a_zone_without_hosts_is_planned_for_by_others(
    heartbeats: HostHeartbeats,
) -> None:
    def plans(now: float) -> bool:
        return heartbeats.plans_for("y", planning=False, reads_store=True, now=now)

    assert not plans(0.0)
    assert not plans(ORPHANED - 0.1)
    assert plans(ORPHANED)
    _take(heartbeats, _heartbeat("a", availability_zone="y"), now=ORPHANED)
    assert not plans(ORPHANED + 0.1)


def test_hosts_are_known_by_their_words(heartbeats: HostHeartbeats) -> None:
    """Show that a host that was started anew needs no store to find the others."""
    heartbeats.take(_heartbeat("a"), address="10.0.0.7:7000", now=0.0)
    assert heartbeats.addresses_by_host["a"].address == "10.0.0.7:7000"
    heartbeats.take(_heartbeat("a", boot=2), address="10.0.0.8:7000", now=0.1)
    assert heartbeats.addresses_by_host["a"].address == "10.0.0.8:7000"


def test_a_zone_none_of_whose_hosts_is_heard(heartbeats: HostHeartbeats) -> None:
    _take(heartbeats, _heartbeat("a", availability_zone="y"), now=0.0)
    _take(heartbeats, _heartbeat("c", availability_zone="y"), now=1.0)
    assert heartbeats.unreachable_zones(now=1.0 + ZONE_SILENCE) == set()
    assert heartbeats.unreachable_zones(now=1.1 + ZONE_SILENCE) == {"y"}
    _take(heartbeats, _heartbeat("a", sequence=2, availability_zone="y"), now=4.0)
    assert heartbeats.unreachable_zones(now=4.0) == set()


def test_what_other_hosts_say_of_groups_and_zones(heartbeats: HostHeartbeats) -> None:
    _take(heartbeats, _heartbeat("a", still=("h1", "h2"), reshapes=("x",)), now=0.0)
    _take(heartbeats, _heartbeat("c", moving=("h1",), reshapes=("y",)), now=0.5)
    assert heartbeats.still(now=0.6) == {"h1", "h2"}
    assert heartbeats.moving(now=0.6) == {"h1"}
    assert heartbeats.reshaping(now=0.6) == {"x", "y"}
    assert heartbeats.reshaping(now=0.1 + HOST_SILENCE) == {"y"}


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
        "one of another zone",
        "one that the store turns away",
        "one that stops",
        "first of all",
        "itself turned away",
    ],
)
def test_the_first_of_a_zone_read_for_it(
    heartbeats: HostHeartbeats,
    others: list[tuple[str, dict]],
    reads_store: bool,
    reads: bool,
) -> None:
    assert READERS == 2
    for host, changes in others:
        _take(heartbeats, _heartbeat(host, **changes), now=0.0)
    assert heartbeats.reads_for_zone(reads_store=reads_store, now=0.1) is reads


def test_the_next_host_reads_when_one_that_read_falls_silent(
    heartbeats: HostHeartbeats,
) -> None:
    """Lose one of the hosts that read the store for a zone.

    Symptom: a change of configuration is in force late.  Sequence: a host that reads
    for its zone is killed or cut off.  Cause: the others rest and wait for its word.
    """
    for host in ("a", "a2"):
        _take(heartbeats, _heartbeat(host), now=0.0)
    _take(heartbeats, _heartbeat("a", sequence=2), now=HOST_SILENCE)
    assert not heartbeats.reads_for_zone(reads_store=True, now=HOST_SILENCE)
    assert heartbeats.reads_for_zone(reads_store=True, now=HOST_SILENCE + 0.01)


def test_a_host_that_speaks_seldom_is_missed_later(heartbeats: HostHeartbeats) -> None:
    _take(
        heartbeats,
        _heartbeat("a", interval=2.0, in_flight_by_server={"i1": 1}),
        now=0.0,
    )
    limit = 2.0 * SILENT_INTERVALS
    assert heartbeats.in_flight(now=limit) == {"i1": 1}
    assert heartbeats.in_flight(now=limit + 0.01) == {}


def test_words_in_large_zones_are_less_frequent(heartbeats: HostHeartbeats) -> None:
    intervals = []
    for n_others in range(3 * FREQUENT_HOSTS):
        intervals.append(heartbeats.ticks_between_heartbeats(now=0.0))
        _take(heartbeats, _heartbeat(f"h{n_others}"), now=0.0)
    assert (
        intervals == [1] * FREQUENT_HOSTS + [2] * FREQUENT_HOSTS + [3] * FREQUENT_HOSTS
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
def test_one_host_speaks_for_a_zone(
    heartbeats: HostHeartbeats,
    others: list[tuple[str, tuple[str, ...]]],
    planning: bool,
    represents_zone: bool,
) -> None:
    for host, plans in others:
        _take(heartbeats, _heartbeat(host, plans=plans), now=0.0)
    assert heartbeats.represents_zone(planning=planning, now=0.1) is represents_zone


def test_the_newest_word_for_a_zone_counts_alone(heartbeats: HostHeartbeats) -> None:
    """Change the host that speaks for a zone.

    Symptom: servers of a zone look twice as loaded.  Sequence: another host speaks
    for the zone while the former one's word still counts.  Cause: both were added.
    """
    far = {"availability_zone": "y", "for_zone": True, "n_hosts": 5}
    _take(heartbeats, _heartbeat("y1", in_flight_by_server={"i1": 3}, **far), now=0.0)
    _take(heartbeats, _heartbeat("y2", in_flight_by_server={"i1": 4}, **far), now=0.1)
    assert heartbeats.in_flight(now=0.2) == {"i1": 4}
    assert heartbeats.zone_representative("y") == "y2"
    # Hosts that are not heard any more may still serve.
    assert heartbeats.n_hosts(now=60.0) == 6


def test_what_is_said_for_a_zone() -> None:
    row = SuspicionRow(fingerprint="f", n_crashes=1, crash="i1")
    own = _heartbeat(
        "a", in_flight_by_server={"i1": 1}, still=("h1",), suspicions=(row,)
    )
    other = _heartbeat(
        "b",
        in_flight_by_server={"i1": 2, "i2": 1},
        demand_by_model={"m": 0.5},
        still=("h1", "h2"),
        plans=("z",),
        suspicions=(replace(row, crash="i2"),),
    )
    summary = zone_summary(own, [other])
    assert (summary.host, summary.n_hosts) == ("a", 2)
    assert summary.in_flight_by_server == {"i1": 3, "i2": 1}
    assert summary.demand_by_model == {"m": 0.5}
    assert summary.still == ("h1", "h2")
    assert summary.plans == ("z",)
    assert [(item.n_crashes, item.crash) for item in summary.suspicions] == [(2, "i2")]


def test_rate_limits_and_evacuations_are_told() -> None:
    rows = (
        RateLimitRow(server_id="i1", rate=1.5, age=0.25, started_at=7),
        RateLimitRow(server_id="i2", rate=None, age=1.0),
    )
    heartbeat = replace(
        _heartbeat("a"),
        rate_limits=rows,
        wanted_servers=("i1",),
        store_era=3,
        evacuated_zones=("x",),
        operator_position=OperatorPosition(3, 17),
    )
    assert decode_datagram(encode_heartbeat(heartbeat), peer="a") == heartbeat
