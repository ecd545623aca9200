"""Test how one host reads the backend servers' records for others."""

from __future__ import annotations

import json
import time

import pytest
from msgspec.structs import replace

from ryelever import fleet_directory
from ryelever.coordination.evacuations import Evacuations
from ryelever.coordination.host_heartbeats import (
    HostAddress,
    HostHeartbeat,
    HostHeartbeats,
)
from ryelever.coordination.listing_schedule import LISTERS, TURN, UNANNOUNCED
from ryelever.coordination.removals import ENTRIES_BACK, OUTAGE
from ryelever.coordination.reported_records import REPORTED_FOR
from ryelever.coordination.server_reading import MAX_UPDATE_SILENCE
from ryelever.coordination.topic import TopicUpdates
from ryelever.events import OutboundAnswer, OutboundRequest
from ryelever.fleet_directory import (
    ENTRIES_WRITTEN_AGAIN,
    LIST_STALE_AFTER,
    MAX_FETCHED_CONFIGURATION,
    MAX_LOGGED,
    SERVERS_INTERVAL,
    FleetDirectory,
)
from ryelever.host_fetch import ASKED_FIRST, CHANGES_RETRY
from ryelever.platform.records import PlatformRecords
from ryelever.platform.store import StoreCalls
from ryelever.protocol.host_messages import (
    CONFIGURATION_PATH,
    SERVERS_PATH,
    decode_datagram,
    encode_servers,
    encode_updates,
    read_changes_path,
)
from ryelever.protocol.keyed_log import LogCall
from ryelever.relay_settings import RelaySettings
from ryelever.state.directory import Directory, GroupState
from ryelever.state.keyed_record import KeyedRecord, ServerUpdates
from ryelever.store_client import StoreAnswer, StoreClient


class Clock:
    """Stand in for the monotonic clock."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(time, "monotonic", clock)
    return clock


def settings_of(name: str, *, zone: str = "z") -> RelaySettings:
    """Return the settings of a host that reaches nothing."""
    return RelaySettings(
        host=name,
        ip="127.0.0.1",
        availability_zone=zone,
        callers_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        ports=(0, 0),
        store_address="127.0.0.1:1",
        store_partitions=1,
        heartbeat_interval=1.2,
        grace=8.0,
        stall_time=6.0,
        repeat_ratio=0.2,
        repeat_window=10.0,
        repeat_slack=100.0,
        zones=(zone,),
        last_bytes=0.5,
    )


class Host:
    """Hold one host's directory, and the news that it passes on."""

    def __init__(self, name: str) -> None:
        settings = settings_of(name)
        self.directory = Directory()
        self.fleet = FleetDirectory(
            settings=settings,
            log=StoreCalls(address="127.0.0.1:1"),
            documents=PlatformRecords(),
            store=StoreClient(address="127.0.0.1:1", era_of=lambda headers: None),
            directory=self.directory,
            heartbeats=HostHeartbeats(host=name, zone="z"),
            evacuations=Evacuations(log=lambda event, **fields: None),
            own_address="127.0.0.1:2",
        )
        self.passed_on: list[ServerUpdates] = []
        self.asked: list[OutboundRequest] = []
        self.fleet.fire = self._keep
        self.fleet.fetch.fire = self._keep

    def _keep(self, event: object, *channels: str) -> None:
        self.passed_on += [
            item for item in event.args if isinstance(item, ServerUpdates)
        ]
        self.asked += [item for item in event.args if isinstance(item, OutboundRequest)]

    def listed(self, *records: KeyedRecord, end: int) -> None:
        follower = self.fleet.servers
        follower.next_call(now=time.monotonic())
        follower.answered(200, b'{"items": [], "more": false, "end": %d}' % end, now=0)
        self.fleet._take_servers(TopicUpdates(records=list(records), complete=True))

    def read(self, *records: KeyedRecord, end: int) -> ServerUpdates:
        """Take what a read has brought; return what is passed on."""
        start = self.fleet.servers.offset
        self.fleet.servers.offset = end
        self.fleet.servers.answered_at = time.monotonic()
        self.fleet._take_servers(TopicUpdates(records=list(records), start=start))
        return self.passed_on[-1]


def _put(server_id: str, offset: int, **changes: object) -> KeyedRecord:
    entry = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 13,
        "state": "ready",
    }
    entry |= changes
    return KeyedRecord(key=server_id, value=json.dumps(entry).encode(), offset=offset)


def _gone(server_id: str, offset: int) -> KeyedRecord:
    return KeyedRecord(key=server_id, value=b"", offset=offset)


def test_changes_reach_a_host_that_reads_nothing(clock: Clock) -> None:
    reader, other = Host("a"), Host("b")
    for host in (reader, other):
        host.listed(_put("i1", 0), end=1)
    updates = reader.read(_put("i1", 1, state="draining"), _put("i2", 2), end=3)
    other.fleet._on_passed_on(updates)
    assert other.directory.by_id.keys() == {"i1", "i2"}
    assert other.directory.by_id["i1"].draining


def test_entries_that_come_back_unchanged_are_told(clock: Clock) -> None:
    """Show that a host that reads nothing doesn't lose servers after an outage.

    Symptom: after an outage one host has no backend servers left.
    Sequence: entries lapse while the store is away; it returns, the removals are read
    and passed on, and then the entries are back, the same as before.
    Cause: what says nothing new to the reader was not passed on, and for the other
    host the removals, which wait for two seconds, were never taken back.
    """
    reader, other = Host("a"), Host("b")
    for host in (reader, other):
        host.listed(_put("i1", 0), end=1)
        host.fleet.servers.answered_at = clock.now
        host.fleet._on_tick()
        host.fleet.servers.failed_at = clock.now + 1.0
    clock.now += OUTAGE + 4.0
    other.fleet._on_passed_on(reader.read(_gone("i1", 1), end=2))
    clock.now += 0.5
    other.fleet._on_passed_on(reader.read(_put("i1", 2), end=3))
    clock.now += ENTRIES_BACK + 1.0
    for host in (reader, other):
        host.fleet._on_tick()
        assert host.directory.by_id.keys() == {"i1"}


def _configuration(version: int) -> bytes:
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


def test_a_configuration_never_reverts(clock: Clock) -> None:
    """Show that an older version that comes late changes nothing.

    Symptom: a key that was taken away is accepted again.
    Sequence: a host has a version in force, and another host gives it an older one.
    Cause: whatever came last was taken.
    """
    host = Host("a")
    for version in (4, 7, 5, 7):
        host.fleet.take_configuration(_configuration(version), peer="b")
    assert host.fleet.version == 7
    assert json.loads(host.fleet.document())["version"] == 7
    host.fleet.take_configuration(b"no configuration", peer="b")
    assert host.fleet.version == 7


def _answer_of(provider: Host, request: OutboundRequest) -> OutboundAnswer:
    place = read_changes_path(request.path)
    fleet = provider.fleet
    updates = fleet.changes_since(*place) if place else fleet.all_servers()
    return OutboundAnswer(
        id=request.id,
        address=request.address,
        status=200 if updates else 404,
        headers={},
        body=encode_servers(updates) if updates else b"",
        sent_at=0.0,
    )


def _heartbeat_of(host: str, **changes: object) -> HostHeartbeat:
    """Return the word of a host that knows all and reaches the store."""
    heartbeat = HostHeartbeat(
        host=host,
        availability_zone="z",
        boot=1,
        sequence=1,
        reads_store=True,
        stopping=False,
        configuration_version=7,
        knows_servers=True,
    )
    return replace(heartbeat, **changes)


def _hear(host: Host, *heartbeats: HostHeartbeat) -> None:
    for heartbeat in heartbeats:
        host.fleet._heartbeats.take(
            heartbeat, address="10.0.0.7:7000", now=time.monotonic()
        )


def test_a_host_that_missed_news_gets_them_from_another(clock: Clock) -> None:
    """Guard against hosts that read all that the store has for one lost datagram."""
    reader, other = Host("a"), Host("c")
    for host in (reader, other):
        host.listed(_put("i1", 0), end=1)
    _hear(other, _heartbeat_of("a"), _heartbeat_of("b"))
    reader.read(_put("i1", 1, state="draining"), _put("i2", 2), end=3)
    missed_one = reader.read(_put("i3", 3), end=4)
    other.fleet._on_passed_on(missed_one)
    assert other.directory.by_id.keys() == {"i1"}
    [asked] = other.asked
    other.fleet.fetch._on_answer(_answer_of(reader, asked))
    assert other.directory.by_id.keys() == {"i1", "i2", "i3"}
    assert other.directory.by_id["i1"].draining
    assert other.fleet.servers.offset == 4
    # It keeps them in turn for others.
    assert other.fleet.changes_since(1, 0).records
    clock.now += SERVERS_INTERVAL
    assert other.fleet.servers.next_call(now=clock.now) is None


def test_a_host_that_nobody_gives_what_it_missed_reads_the_store(clock: Clock) -> None:
    """Guard against servers that are unknown until the next listing."""
    reader, other = Host("a"), Host("c")
    for host in (reader, other):
        host.listed(_put("i1", 0), end=1)
    _hear(other, _heartbeat_of("a"), _heartbeat_of("b"))
    reader.read(_put("i2", 1), end=2)
    call = None
    for offset in range(2, 8):
        other.fleet._on_passed_on(reader.read(_put("i3", offset), end=offset + 1))
        call = call or other.fleet.servers.next_call(now=clock.now)
        clock.now += SERVERS_INTERVAL
    assert call is not None and "&from=1" in call.path


def test_many_changes_at_once_are_fetched_from_who_tells_of_them(clock: Clock) -> None:
    """Guard against a burst of datagrams that a link drops, and all hosts miss."""
    reader, other = Host("a"), Host("c")
    for host in (reader, other):
        host.listed(_put("i1", 0), end=1)
    updates = reader.read(*(_put(f"i{n}", n) for n in range(1, 900)), end=900)
    [datagram] = encode_updates(updates)
    told = decode_datagram(datagram, peer="10.0.0.9:7000")
    other.fleet._on_passed_on(replace(told, provider="10.0.0.9:7000"))
    [asked] = other.asked
    assert asked.address == "10.0.0.9:7000"
    answer = _answer_of(reader, asked)
    # One that hasn't been given them itself yet is asked again.
    other.fleet.fetch._on_answer(replace(answer, status=404, body=b""))
    clock.now += CHANGES_RETRY
    other.fleet._on_tick()
    other.fleet.fetch._on_answer(_answer_of(reader, other.asked[-1]))
    assert len(other.directory.by_id) == 899
    assert len(answer.body) < 900 * 100


def test_many_changes_at_once_are_one_line(
    clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against hosts that are busy writing lines while a large fleet starts."""
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        fleet_directory,
        "log_event",
        lambda event, **fields: lines.append((event, fields)),
    )
    host = Host("a")
    host.listed(*(_put(f"i{n}", n) for n in range(MAX_LOGGED)), end=900)
    assert [event for event, _ in lines] == ["server_found"] * MAX_LOGGED
    lines.clear()
    group = {"name": "g", "epoch": 3, "rank": 0, "state": "ready"}
    host.read(*(_put(f"i{n}", 900 + n, group=group) for n in range(800)), end=1700)
    assert lines == [("servers_changed", {"n": 800, "n_by_state": {"ready": 800}})]


def test_hosts_that_missed_the_same_read_the_store(clock: Clock) -> None:
    """Guard against hosts that wait for each other while servers change unseen."""
    reader, provider, other = Host("a"), Host("b"), Host("c")
    for host in (reader, provider, other):
        host.listed(_put("i1", 0), end=1)
    _hear(other, _heartbeat_of("b"))
    for host in (provider, other):
        host.fleet._on_passed_on(reader.read(_put("i1", 1), end=2))
    reader.read(_put("i2", 2), end=3)
    call = None
    for offset in range(3, 9):
        other.fleet._on_passed_on(reader.read(_put("i3", offset), end=offset + 1))
        for asked in other.asked:
            other.fleet.fetch._on_answer(_answer_of(provider, asked))
        other.asked.clear()
        call = call or other.fleet.servers.next_call(now=clock.now)
        clock.now += SERVERS_INTERVAL
    assert call is not None and "&from=2" in call.path


def test_what_one_host_has_forgotten_is_not_given(clock: Clock) -> None:
    """Guard against a host that takes a part for all that it missed."""
    provider = Host("a")
    provider.listed(_put("i1", 0), end=5)
    provider.read(_put("i2", 5), end=6)
    assert provider.fleet.changes_since(4, 0) is None
    assert provider.fleet.changes_since(5, 1) is None
    assert provider.fleet.changes_since(6, 0) is None
    assert provider.fleet.changes_since(7, 0) is None
    provider.listed(_put("i1", 0), end=9)
    given = provider.fleet.changes_since(5, 0)
    assert given is None or given.end == 6


@pytest.mark.parametrize("is_reachable", [True, False])
def test_only_the_first_hosts_of_a_zone_read_what_servers_write(
    clock: Clock, is_reachable: bool
) -> None:
    """Guard against all hosts reading the store at once when its reader is lost."""
    host = Host("c")
    host.listed(_put("i1", 0), end=1)
    host.fleet._store._failing_since = None if is_reachable else 0.0
    host.fleet._store.passed_on_at = clock.now
    began = clock.now
    call = None
    while call is None and clock.now < began + 2 * MAX_UPDATE_SILENCE:
        clock.now += 0.1
        sequence = round(10 * clock.now)
        _hear(host, *(_heartbeat_of(name, sequence=sequence) for name in ("a", "b")))
        host.fleet._suspend_or_read(now=clock.now)
        call = host.fleet.servers.next_call(now=clock.now)
    waited = clock.now - began
    assert (call is not None) is is_reachable
    assert not is_reachable or waited == pytest.approx(MAX_UPDATE_SILENCE, abs=0.21)


def _start_among(host: Host, others: list[str]) -> None:
    """Start a host that finds others in the store."""
    fleet = host.fleet
    fleet._on_started()
    for name in others:
        fleet._heartbeats.addresses_by_host[name] = HostAddress(
            host=name, address="10.0.0.7:7000", availability_zone="z"
        )
    fleet._take_announced(StoreAnswer(status=200))
    fleet.hosts.next_call(now=time.monotonic())
    fleet.hosts.answered(200, b'{"items": [], "more": false, "end": 9}', now=1001.0)
    fleet._take_hosts(TopicUpdates(records=[], complete=True))


def test_a_host_that_starts_among_many_lists_nothing(clock: Clock) -> None:
    """Guard against a start of all hosts that fills the store's reads for seconds."""
    provider, other = Host("a"), Host("x")
    provider.listed(_put("i1", 0), _put("i2", 1), end=2)
    provider.fleet.servers.answered_at = clock.now
    _start_among(other, [f"h{index}" for index in range(20)])
    assert other.fleet.servers.next_call(now=clock.now) is None
    _hear(other, _heartbeat_of("h3"))
    other.fleet._on_tick()
    [asked] = [ask for ask in other.asked if ask.path == SERVERS_PATH]
    # One that gives the list to others refuses; the next one is asked.
    busy = replace(_answer_of(provider, asked), status=503, body=b"")
    other.fleet.fetch._on_answer(busy)
    clock.now += 0.1
    other.fleet._on_tick()
    asked = [ask for ask in other.asked if ask.path == SERVERS_PATH][-1]
    other.fleet.fetch._on_answer(_answer_of(provider, asked))
    assert other.directory.by_id.keys() == {"i1", "i2"}
    # What the servers write next counts at once.
    group = {"name": "g", "epoch": 3, "rank": 0, "state": "open"}
    other.fleet._on_passed_on(provider.read(_put("i2", 2, group=group), end=3))
    assert other.directory.by_id["i2"].group is not None


def _listing_calls(host: Host, clock: Clock, *, seconds: float) -> list[LogCall | None]:
    """Return the calls that a host makes to list the servers, tick after tick."""
    calls = []
    for _ in range(round(10 * seconds)):
        host.fleet._on_tick()
        calls.append(host.fleet.servers.next_call(now=clock.now))
        clock.now += 0.1
    return calls


def test_a_host_that_nobody_gives_the_list_gets_it_from_the_store(clock: Clock) -> None:
    """Guard against a host that waits for others that are lost."""
    host = Host("x")
    _start_among(host, [f"h{index}" for index in range(LISTERS + 2)])
    calls = _listing_calls(host, clock, seconds=4 * TURN)
    assert calls[0] is None and any(calls)


def test_a_host_that_starts_without_the_store_tries_to_list(clock: Clock) -> None:
    """Guard against a host that waits to be entered in a store that is away."""
    host = Host("x")
    host.fleet._on_started()
    calls = _listing_calls(host, clock, seconds=UNANNOUNCED + 0.2)
    assert calls[0] is None and any(calls)


def test_a_host_without_the_store_gets_all_servers_from_another(clock: Clock) -> None:
    """Show that a host that was started anew during an outage serves.

    Symptom: a host refuses all its callers from its start until the store is back.
    Sequence: hosts are restarted in turn while the store is away for eight seconds.
    Cause: what all others know could come from the store only.
    """
    provider, other = Host("a"), Host("b")
    provider.listed(_put("i1", 0), _put("i2", 1), end=2)
    heartbeat = _heartbeat_of("a", reads_store=False, knows_servers=False)
    other.fleet._heartbeats.take(heartbeat, address="10.0.0.7:7000", now=clock.now)
    other.fleet._on_tick()
    assert [ask for ask in other.asked if ask.path == SERVERS_PATH] == []
    clock.now += 0.5
    other.fleet.servers.next_call(now=clock.now)
    other.fleet._on_tick()
    [asked] = [ask for ask in other.asked if ask.path == SERVERS_PATH]
    assert asked.address == "10.0.0.7:7000"
    other.fleet.fetch._on_answer(_answer_of(provider, asked))
    assert other.directory.by_id.keys() == {"i1", "i2"}
    assert other.fleet.servers.is_current
    # The listing that was asked for before answers late, and says nothing of i1.
    late = b'{"items": [], "more": false, "end": 1}'
    updates = other.fleet.servers.answered(200, late, now=clock.now).ok
    other.fleet._take_servers(updates)
    assert other.directory.by_id.keys() == {"i1", "i2"}
    assert other.fleet.servers.offset == 2
    assert "&from=2" in other.fleet.servers.next_call(now=clock.now + 1).path


def test_what_a_long_listing_has_overtaken_is_not_taken_again(clock: Clock) -> None:
    """See that servers are not shown as they were before they were listed.

    Symptom: servers joined a group while the head of their former one was open.
    Sequence: 925 servers are listed page after page while groups form; a page shows a
    server that is open; what was appended since the first page is then read, in
    several reads, and the first of them holds what that server said before.
    Cause: each record that was read took the place of the listed one, newer or not, and
    a planner that looked between two reads took the server for a free one.
    """
    host, other = Host("a"), Host("b")
    group = {"name": "g", "epoch": 3, "rank": 0, "state": "open"}
    joined = _put("i2", 12, group=group)
    for one in (host, other):
        one.listed(_put("i1", 3), joined if one is host else _put("i2", 4), end=10)
    before = host.read(_put("i1", 10), _put("i2", 11), end=12)
    assert host.directory.by_id["i2"].group is not None
    since = host.read(joined, end=13)
    assert host.directory.by_id["i2"].group is not None
    # A host that listed earlier hears of all that has changed since then.
    for updates in (before, since):
        other.fleet._on_passed_on(updates)
    assert other.directory.by_id["i2"].group is not None
    # What comes later is taken as ever.
    host.read(_put("i2", 14), end=15)
    assert host.directory.by_id["i2"].group is None


def test_a_host_whose_listing_goes_on_asks_no_other(clock: Clock) -> None:
    """See that hosts which start while the store answers leave each other alone.

    Symptom: hosts of five zones sent each other 1.3 GB in the first half minute, and
    links of 10 Mbit/s were full of it; callers were refused meanwhile.
    Sequence: 195 hosts start at once and list 925 servers from the store, over
    seconds.
    Cause: each asked another host for all servers three times a second until it had
    them, though the store was giving them.
    """
    host = Host("b")
    heartbeat = _heartbeat_of("a", knows_servers=False)
    follower = host.fleet.servers
    for number in range(20):
        clock.now += 0.4
        host.fleet._heartbeats.take(
            replace(heartbeat, sequence=1 + number),
            address="10.0.0.7:7000",
            now=clock.now,
        )
        follower.next_call(now=clock.now)
        item = b'{"key": "i%d", "value": "e30=", "offset": 0}' % number
        page = b'{"items": [%s], "more": true, "end": 1}' % item
        follower.answered(200, page, now=clock.now)
        clock.now += 0.1
        host.fleet._on_tick()
    assert [ask for ask in host.asked if ask.path == SERVERS_PATH] == []
    # Once the store has fallen silent, the others are asked.
    clock.now += 1.1
    host.fleet._heartbeats.take(
        replace(heartbeat, sequence=99), address="10.0.0.7:7000", now=clock.now
    )
    host.fleet._on_tick()
    assert [ask.path for ask in host.asked if ask.path == SERVERS_PATH]


REPORT = b"""{"stage": "whole", "models": [{"name": "m"}], "domain": "d",
    "staged": ["n"],
    "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"}, "busy": false}"""


def test_reports_stand_in_for_the_list_during_an_outage(clock: Clock) -> None:
    """Show that a head that opens while the store is away gets requests.

    Symptom: a group that serves gets no request for five seconds.
    Sequence: its head is told to open, the store goes away, and the entry that says so
    can't be written.
    Cause: only entries told of states; the planner that asks the head keeps to itself
    what it hears.
    """
    planner, other = Host("a"), Host("b")
    for host in (planner, other):
        host.listed(_put("i1", 0, slots=7), end=1)
        host.fleet.servers.answered_at = clock.now
    planner.fleet._on_reported("i1", REPORT)
    assert planner.directory.by_id["i1"].group is None
    clock.now += LIST_STALE_AFTER + 0.1
    planner.fleet._on_reported("i1", REPORT)
    updates = planner.passed_on[-1]
    assert updates.reported
    other.fleet._on_passed_on(updates)
    for host in (planner, other):
        found = host.directory.by_id["i1"]
        assert (found.group.state, found.slots) == (GroupState.OPEN, 7)
        assert found.models == {"m"}
        assert found.staged == {"n"}
    n_passed_on = len(planner.passed_on)
    planner.fleet._on_reported("i1", REPORT)
    assert len(planner.passed_on) == n_passed_on


def test_what_another_was_told_changes_no_list_that_is_read(clock: Clock) -> None:
    reader, other = Host("a"), Host("b")
    for host in (reader, other):
        host.listed(_put("i1", 0), end=1)
    reader.fleet.servers.answered_at = clock.now
    clock.now += LIST_STALE_AFTER + 0.1
    reader.fleet._on_reported("i1", REPORT)
    other.fleet.servers.answered_at = clock.now
    other.fleet._on_passed_on(reader.passed_on[-1])
    assert other.directory.by_id["i1"].group is None


@pytest.mark.parametrize("report", [b"", b"<html>", b"[]", b'{"group": 3}'])
def test_reports_that_make_no_sense_change_nothing(clock: Clock, report: bytes) -> None:
    host = Host("a")
    host.listed(_put("i1", 0), end=1)
    clock.now += LIST_STALE_AFTER + 0.1
    host.fleet._on_reported("i1", report)
    host.fleet._on_reported("unknown", REPORT)
    assert host.directory.by_id["i1"].group is None
    assert host.directory.by_id.keys() == {"i1"}


def test_what_was_written_before_an_outage_goes_after_what_was_said_in_it(
    clock: Clock,
) -> None:
    """Show that a group that opened during an outage isn't taken for gone after it.

    Symptom: two servers are joined to a group while the head of theirs is open.
    Sequence: a group is decided on, the store goes away, its members are asked and its
    head opens; the store is back, and what is read first was written before its
    members had joined.
    Cause: the older record took the place of the newer word; the head seemed to have
    left, so its members seemed free.
    """
    planner, other = Host("a"), Host("b")
    for host in (planner, other):
        host.listed(_put("i1", 0), end=1)
    clock.now += LIST_STALE_AFTER + 0.1
    planner.fleet._on_reported("i1", REPORT)
    other.fleet._on_passed_on(planner.passed_on[-1])
    clock.now += 5.0
    stale = planner.read(_put("i1", 1, state="draining"), end=2)
    other.fleet._on_passed_on(stale)
    for host in (planner, other):
        found = host.directory.by_id["i1"]
        assert found.group.state is GroupState.OPEN
        # That it is leaving counts at once.
        assert found.draining
    clock.now += REPORTED_FOR - 0.1
    planner.fleet._on_tick()
    assert planner.directory.by_id["i1"].group is not None
    clock.now += 0.2
    # By now it has written anew, or is in no group any more.
    for host in (planner, other):
        host.fleet._on_tick()
        assert host.directory.by_id["i1"].group is None


def test_a_server_that_was_started_anew_since_it_was_asked_is_shown_so(
    clock: Clock,
) -> None:
    """Show that the list goes first where it tells of a later start.

    Symptom: for three seconds after an outage requests are sent to a head that has
    forgotten its group.
    Sequence: a head opens while the store is away and says so when it is asked; it
    crashes, starts again under its id, by a clock that has stepped back, and the store
    is back.
    Cause: its own word went before the list, whatever incarnation each was of.
    """
    planner, other = Host("a"), Host("b")
    for host in (planner, other):
        host.listed(_put("i1", 0, born=1000), end=1)
    clock.now += LIST_STALE_AFTER + 0.1
    said = REPORT.replace(b'"busy"', b'"born": 2000, "busy"')
    planner.fleet._on_reported("i1", said)
    other.fleet._on_passed_on(planner.passed_on[-1])
    # What was written before the outage is of the start before: it goes after.
    clock.now += 5.0
    other.fleet._on_passed_on(planner.read(_put("i1", 1, born=1000), end=2))
    for host in (planner, other):
        assert host.directory.by_id["i1"].started_at == 2000
    later = planner.read(_put("i1", 2, born=1500, group=None), end=3)
    other.fleet._on_passed_on(later)
    for host in (planner, other):
        found = host.directory.by_id["i1"]
        assert (found.started_at, found.group) == (1500, None)


def test_an_entry_of_another_writer_names_no_server(
    clock: Clock, caplog: pytest.LogCaptureFixture
) -> None:
    """Show that one entry that can't be read stays without effect on the others.

    Symptom: requests go on being sent to a server whose entry was written over, or
    one that is wrong is logged at each of its heartbeats.
    Sequence: another writer writes under ids of its own and under that of a server
    which lives, and of one which doesn't write any more.
    Cause: what can't be read was passed over, and the entry before held on.
    """
    reader, other = Host("a"), Host("b")
    for host in (reader, other):
        host.listed(_put("i1", 0), _put("i2", 1), end=2)
    wrong = [_put(key, 2 + n, slots="x") for n, key in enumerate(("i1", "i2", "i9"))]
    other.fleet._on_passed_on(reader.read(*wrong, end=5))
    other.fleet._on_passed_on(reader.read(_put("i9", 5, state="odd"), end=6))
    assert caplog.messages.count("server_unreadable") == 2 * len(wrong)
    other.fleet._on_passed_on(reader.read(_put("i1", 6), _put("i3", 7), end=8))
    clock.now += 2.5
    for host in (reader, other):
        host.fleet._on_tick()
        assert host.directory.by_id.keys() == {"i1", "i3"}


def test_a_server_that_is_gone_after_an_outage_is_gone(clock: Clock) -> None:
    host = Host("a")
    host.listed(_put("i1", 0), end=1)
    clock.now += LIST_STALE_AFTER + 0.1
    host.fleet._on_reported("i1", REPORT)
    clock.now += OUTAGE + ENTRIES_BACK
    host.read(_put("i1", 1), _gone("i1", 2), end=3)
    clock.now += ENTRIES_BACK + REPORTED_FOR + 0.1
    host.fleet._on_tick()
    clock.now += 0.1
    host.fleet._on_tick()
    assert host.directory.by_id == {}


def _resting(name: str) -> Host:
    """Return a host that leaves the reading of configurations to others."""
    host = Host(name)
    follower = host.fleet.configuration
    follower.next_call(now=0.0)
    follower.answered(200, b'{"items": [], "more": false, "end": 0}', now=0.0)
    follower.suspended = True
    return host


def _newer(host: Host, *, zone: str = "z", size: int = 100) -> HostHeartbeat:
    """Return the word of a host that has a newer configuration."""
    host.fleet._heartbeats.addresses_by_host["a"] = HostAddress(
        host="a", address="10.0.0.9:7000", availability_zone=zone
    )
    return HostHeartbeat(
        host="a",
        availability_zone=zone,
        boot=1,
        sequence=1,
        reads_store=True,
        stopping=False,
        configuration_version=4,
        configuration_size=size,
    )


@pytest.mark.parametrize(
    ("zone", "size", "asks_host", "asks_store"),
    [
        ("z", 100, True, False),
        ("z", MAX_FETCHED_CONFIGURATION + 1, False, True),
        ("y", 100, False, False),
    ],
    ids=["of its zone", "too long for one link", "of another zone"],
)
def test_a_host_that_rests_gets_a_newer_configuration(
    clock: Clock, zone: str, size: int, asks_host: bool, asks_store: bool
) -> None:
    host = _resting("b")
    host.fleet.note_version(_newer(host, zone=zone, size=size), now=clock.now)
    assert [request.path for request in host.asked] == [CONFIGURATION_PATH] * asks_host
    call = host.fleet.configuration.next_call(now=clock.now)
    assert (call is not None) is asks_store


def test_a_configuration_that_does_not_come_is_asked_for_everywhere(
    clock: Clock,
) -> None:
    """Let the host that has a newer configuration give none.

    Symptom: a configuration is in force late on one host.  Sequence: it rests, hears
    of a newer version, and the way to the host that has it goes silent.  Cause: only
    that one was asked.
    """
    host = _resting("b")
    heartbeat = _newer(host)
    host.fleet.note_version(heartbeat, now=clock.now)
    host.fleet.note_version(heartbeat, now=clock.now + ASKED_FIRST + 0.01)
    assert host.fleet.configuration.next_call(now=clock.now + 0.4) is not None


def test_a_host_reads_the_others_until_they_can_know_it(clock: Clock) -> None:
    """Start two hosts at once.

    Symptom: two hosts never hear each other.  Sequence: both list the hosts, then
    both write their own record.  Cause: each rested before it read what came after
    its own record.
    """
    host = _resting("c")
    for name in ("a", "b"):
        heartbeat = _newer(host)
        host.fleet._heartbeats.take(
            replace(heartbeat, host=name), address=name, now=clock.now
        )
    host.fleet._store.answered_at = clock.now
    host.fleet._store._failing_since = None
    follower = host.fleet.hosts
    follower.next_call(now=clock.now)
    follower.answered(200, b'{"items": [], "more": false, "end": 0}', now=clock.now)
    clock.now += 0.5
    host.fleet._take_announced(StoreAnswer(status=200))
    host.fleet._suspend_or_read(now=clock.now)
    assert not follower.suspended
    clock.now += 0.1
    assert follower.next_call(now=clock.now) is not None
    host.fleet._suspend_or_read(now=clock.now)
    assert follower.suspended


def _come_back(
    host: Host, *records: KeyedRecord, is_told_first: bool = True, end: int
) -> None:
    """Let the store come back from an older copy, and the host list it."""
    store = host.fleet._store
    store.note_era(1, peer="store", now=time.monotonic())
    told: list[object] = []
    store.fire = lambda event, *channels: told.append(event)
    store.note_era(2, peer="store", now=time.monotonic())
    assert len(told) == 1
    if is_told_first:
        host.fleet._on_store_returned()
    host.listed(*records, end=end)
    host.fleet.servers.era = 2
    if not is_told_first:
        host.fleet._on_store_returned()


def test_a_copy_of_the_store_takes_back_nothing_that_is_known(clock: Clock) -> None:
    """Guard against an older entry: a leaving server as ready, a member as free."""
    host = Host("a")
    host.listed(_put("i1", 0), end=1)
    host.read(_put("i1", 1, state="draining"), end=2)
    _come_back(host, _put("i1", 0), _put("gone", 0), end=1)
    assert host.directory.by_id["i1"].draining
    assert "gone" not in host.directory.by_id
    clock.now += ENTRIES_BACK + 0.1
    host.fleet._on_tick()
    assert host.directory.by_id["i1"].draining
    # What it writes again is newer than the copy.
    host.read(_put("i1", 1, slots=7), end=2)
    assert not host.directory.by_id["i1"].draining


@pytest.mark.parametrize("is_told_first", [True, False])
def test_servers_that_a_copy_lacks_are_waited_for(
    clock: Clock, is_told_first: bool
) -> None:
    """Guard against groups that end because a copy doesn't show their members yet.

    The listing of the copy may itself be what shows that the store has returned.
    """
    host = Host("a")
    host.listed(_put("i1", 0), _put("i2", 1), end=2)
    _come_back(host, is_told_first=is_told_first, end=0)
    host.fleet._on_tick()
    assert host.directory.by_id.keys() == {"i1", "i2"}
    host.read(_put("i1", 0), end=1)
    clock.now += ENTRIES_BACK + 0.1
    host.fleet._on_tick()
    assert host.directory.by_id.keys() == {"i1"}


def test_a_host_that_knows_no_server_takes_a_copy_for_the_truth(clock: Clock) -> None:
    """Guard against a host that is started in a return and serves nobody."""
    host = Host("a")
    _come_back(host, _put("i1", 0), end=1)
    assert host.directory.by_id.keys() == {"i1"}


def test_what_is_written_again_is_told_though_it_says_nothing_new(
    clock: Clock,
) -> None:
    """Guard against a host that was started in between and has listed the copy."""
    host = Host("a")
    host.listed(_put("i1", 0), end=1)
    _come_back(host, end=0)
    updates = host.read(_put("i1", 0), end=1)
    assert [record.key for record in updates.records] == ["i1"]
    assert updates.era == 2
    clock.now += ENTRIES_WRITTEN_AGAIN + 0.1
    assert host.read(_put("i1", 1), end=2).records == []


def test_a_host_whose_address_may_be_lost_writes_it_again(clock: Clock) -> None:
    """Guard against hosts that others don't find after the store's return."""
    host = Host("a")
    host.fleet._take_announced(StoreAnswer(status=200))
    appended: list[LogCall] = []
    host.fleet._store.call = lambda call, take: appended.append(call)
    host.fleet._on_tick()
    assert appended == []
    _come_back(host, end=0)
    host.fleet._on_tick()
    [call] = appended
    assert call.method == "POST"


def _operators(key: str, value: bytes, offset: int) -> KeyedRecord:
    return KeyedRecord(key=key, value=value, offset=offset)


def test_requests_to_evacuate_zones_are_read(clock: Clock) -> None:
    host = Host("a")
    host.fleet.configuration.offset = 4
    listed = [_operators("evacuate/x", b"{}", 3)]
    host.fleet._take_configuration(TopicUpdates(records=listed, complete=True))
    evacuations = host.fleet._evacuations
    assert evacuations.zones == {"x"}
    read = [_operators("evacuate/y", b"{}", 4), _operators("evacuate/x", b"", 5)]
    host.fleet._take_configuration(TopicUpdates(records=read, start=4))
    assert evacuations.zones == {"y"}
    # What another host has told of already comes late.
    host.fleet._take_configuration(TopicUpdates(records=read[:1], start=4))
    assert (evacuations.zones, evacuations.as_of.offset) == ({"y"}, 6)
