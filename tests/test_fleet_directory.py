"""Test how entry hosts read records from the store and share them with each other."""

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
from ryelever.coordination.listing_schedule import (
    LISTING_INTERVAL,
    MAX_FIRST_LISTERS,
    UNLISTED_TIMEOUT,
)
from ryelever.coordination.removals import MIN_OUTAGE, RECORDS_RETURN_TIME
from ryelever.coordination.renewals import MAX_RENEWAL_WAIT
from ryelever.coordination.reported_records import REPORTED_PRECEDENCE
from ryelever.coordination.server_reading import MAX_UPDATE_SILENCE
from ryelever.coordination.topic import TopicUpdates
from ryelever.events import OutboundAnswer, OutboundRequest
from ryelever.fleet_directory import (
    LIST_STALE_AFTER,
    MAX_FETCHED_CONFIGURATION,
    MAX_LOGGED_CHANGES,
    MIN_SERVERS_READ_INTERVAL,
    FleetDirectory,
)
from ryelever.host_fetch import CHANGES_RETRY, FALLBACK_DELAY
from ryelever.platform.records import PlatformRecords
from ryelever.platform.store import StoreCalls
from ryelever.protocol.host_messages import (
    CONFIGURATION_PATH,
    SERVERS_PATH,
    decode_datagram,
    encode_servers,
    encode_updates,
    parse_changes_path,
)
from ryelever.protocol.keyed_log import HttpRequest
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
    """Return the settings of a host whose store address is unreachable."""
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
    """One host's directory, its forwarded updates and its requests."""

    def __init__(self, name: str, *, first_start: bool = True) -> None:
        settings = replace(settings_of(name), first_start=first_start)
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
        self.forwarded_updates: list[ServerUpdates] = []
        self.sent_requests: list[OutboundRequest] = []
        self.fleet.fire = self._record_event
        self.fleet.fetch.fire = self._record_event

    def _record_event(self, event: object, *channels: str) -> None:
        self.forwarded_updates += [
            item for item in event.args if isinstance(item, ServerUpdates)
        ]
        self.sent_requests += [
            item for item in event.args if isinstance(item, OutboundRequest)
        ]

    def apply_listing(self, *records: KeyedRecord, end: int) -> None:
        follower = self.fleet.servers
        follower.next_call(now=time.monotonic())
        follower.answered(200, b'{"items": [], "more": false, "end": %d}' % end, now=0)
        self.fleet._apply_server_updates(
            TopicUpdates(records=list(records), complete=True)
        )

    def apply_read(self, *records: KeyedRecord, end: int) -> ServerUpdates:
        """Apply records as if read from the store; return the forwarded updates."""
        start = self.fleet.servers.offset
        self.fleet.servers.offset = end
        self.fleet.servers.answered_at = time.monotonic()
        self.fleet._apply_server_updates(
            TopicUpdates(records=list(records), start=start)
        )
        return self.forwarded_updates[-1]


def _server_record(server_id: str, offset: int, **changes: object) -> KeyedRecord:
    entry = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 13,
        "state": "ready",
    }
    entry |= changes
    return KeyedRecord(key=server_id, value=json.dumps(entry).encode(), offset=offset)


def _removal_record(server_id: str, offset: int) -> KeyedRecord:
    return KeyedRecord(key=server_id, value=b"", offset=offset)


def test_host_that_does_not_read_the_store_receives_changes(clock: Clock) -> None:
    reader, other = Host("a"), Host("b")
    for host in (reader, other):
        host.apply_listing(_server_record("i1", 0), end=1)
    updates = reader.apply_read(
        _server_record("i1", 1, state="draining"), _server_record("i2", 2), end=3
    )
    other.fleet._on_forwarded_updates(updates)
    assert other.directory.by_id.keys() == {"i1", "i2"}
    assert other.directory.by_id["i1"].draining


def test_records_that_return_unchanged_are_forwarded(clock: Clock) -> None:
    """Guard against a host that has no backend servers left after a store outage.

    Records expire while the store is unavailable.  After the store returns, the reader
    forwards the removals, and the records return unchanged.  A reader that forwards
    only changed records would never cancel the other host's removals, which are
    delayed by two seconds.
    """
    reader, other = Host("a"), Host("b")
    for host in (reader, other):
        host.apply_listing(_server_record("i1", 0), end=1)
        host.fleet.servers.answered_at = clock.now
        host.fleet._on_tick()
        host.fleet.servers.failed_at = clock.now + 1.0
    clock.now += MIN_OUTAGE + 4.0
    other.fleet._on_forwarded_updates(
        reader.apply_read(_removal_record("i1", 1), end=2)
    )
    clock.now += 0.5
    other.fleet._on_forwarded_updates(reader.apply_read(_server_record("i1", 2), end=3))
    clock.now += RECORDS_RETURN_TIME + 1.0
    for host in (reader, other):
        host.fleet._on_tick()
        assert host.directory.by_id.keys() == {"i1"}


def _configuration(version: int) -> bytes:
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


def test_a_configuration_never_reverts(clock: Clock) -> None:
    """Guard against a revoked key that is accepted again.

    Another host may provide a version that is older than the version in force; it must
    not be applied because it arrives later.
    """
    host = Host("a")
    for version in (4, 7, 5, 7):
        host.fleet.apply_configuration(_configuration(version), peer="b")
    assert host.fleet.version == 7
    assert json.loads(host.fleet.document())["version"] == 7
    host.fleet.apply_configuration(b"no configuration", peer="b")
    assert host.fleet.version == 7


def _answer_of(provider: Host, request: OutboundRequest) -> OutboundAnswer:
    place = parse_changes_path(request.path)
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


def _heartbeat_from(host: str, **changes: object) -> HostHeartbeat:
    """Return the heartbeat of a host that knows all servers and reaches the store."""
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


def _receive(host: Host, *heartbeats: HostHeartbeat) -> None:
    for heartbeat in heartbeats:
        host.fleet._heartbeats.record(
            heartbeat, address="10.0.0.7:7000", now=time.monotonic()
        )


def test_host_that_missed_updates_fetches_them_from_another(clock: Clock) -> None:
    """Guard against hosts that read the store's whole topic after one lost datagram."""
    reader, other = Host("a"), Host("c")
    for host in (reader, other):
        host.apply_listing(_server_record("i1", 0), end=1)
    _receive(other, _heartbeat_from("a"), _heartbeat_from("b"))
    reader.apply_read(
        _server_record("i1", 1, state="draining"), _server_record("i2", 2), end=3
    )
    missed_one = reader.apply_read(_server_record("i3", 3), end=4)
    other.fleet._on_forwarded_updates(missed_one)
    assert other.directory.by_id.keys() == {"i1"}
    [request] = other.sent_requests
    other.fleet.fetch._on_answer(_answer_of(reader, request))
    assert other.directory.by_id.keys() == {"i1", "i2", "i3"}
    assert other.directory.by_id["i1"].draining
    assert other.fleet.servers.offset == 4
    # The host keeps the fetched changes and can provide them to others.
    assert other.fleet.changes_since(1, 0).records
    clock.now += MIN_SERVERS_READ_INTERVAL
    assert other.fleet.servers.next_call(now=clock.now) is None


def test_host_reads_the_store_if_no_peer_provides_missed_changes(clock: Clock) -> None:
    """Guard against changes that stay unknown until the next listing."""
    reader, other = Host("a"), Host("c")
    for host in (reader, other):
        host.apply_listing(_server_record("i1", 0), end=1)
    _receive(other, _heartbeat_from("a"), _heartbeat_from("b"))
    reader.apply_read(_server_record("i2", 1), end=2)
    call = None
    for offset in range(2, 8):
        other.fleet._on_forwarded_updates(
            reader.apply_read(_server_record("i3", offset), end=offset + 1)
        )
        call = call or other.fleet.servers.next_call(now=clock.now)
        clock.now += MIN_SERVERS_READ_INTERVAL
    assert call is not None and "&from=1" in call.path


def test_many_changes_at_once_are_fetched_from_their_announcer(clock: Clock) -> None:
    """Guard against a burst of datagrams that overloads a link and reaches no host."""
    reader, other = Host("a"), Host("c")
    for host in (reader, other):
        host.apply_listing(_server_record("i1", 0), end=1)
    updates = reader.apply_read(
        *(_server_record(f"i{n}", n) for n in range(1, 900)), end=900
    )
    [datagram] = encode_updates(updates)
    received = decode_datagram(datagram, peer="10.0.0.9:7000")
    other.fleet._on_forwarded_updates(replace(received, provider="10.0.0.9:7000"))
    [request] = other.sent_requests
    assert request.address == "10.0.0.9:7000"
    answer = _answer_of(reader, request)
    # A provider that doesn't have the changes itself yet is asked again.
    other.fleet.fetch._on_answer(replace(answer, status=404, body=b""))
    clock.now += CHANGES_RETRY
    other.fleet._on_tick()
    other.fleet.fetch._on_answer(_answer_of(reader, other.sent_requests[-1]))
    assert len(other.directory.by_id) == 899
    assert len(answer.body) < 900 * 100


def test_many_changes_at_once_are_logged_in_one_line(
    clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against hosts that are busy logging while a large fleet starts."""
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        fleet_directory,
        "log_event",
        lambda event, **fields: lines.append((event, fields)),
    )
    host = Host("a")
    host.apply_listing(
        *(_server_record(f"i{n}", n) for n in range(MAX_LOGGED_CHANGES)), end=900
    )
    assert [event for event, _ in lines] == ["server_found"] * MAX_LOGGED_CHANGES
    lines.clear()
    group = {"name": "g", "epoch": 3, "rank": 0, "state": "ready"}
    host.apply_read(
        *(_server_record(f"i{n}", 900 + n, group=group) for n in range(800)), end=1700
    )
    assert lines == [("servers_changed", {"n": 800, "n_by_state": {"ready": 800}})]


def test_hosts_that_missed_the_same_changes_read_the_store(clock: Clock) -> None:
    """Guard against hosts that wait for each other while they miss server changes."""
    reader, provider, other = Host("a"), Host("b"), Host("c")
    for host in (reader, provider, other):
        host.apply_listing(_server_record("i1", 0), end=1)
    _receive(other, _heartbeat_from("b"))
    for host in (provider, other):
        host.fleet._on_forwarded_updates(
            reader.apply_read(_server_record("i1", 1), end=2)
        )
    reader.apply_read(_server_record("i2", 2), end=3)
    call = None
    for offset in range(3, 9):
        other.fleet._on_forwarded_updates(
            reader.apply_read(_server_record("i3", offset), end=offset + 1)
        )
        for request in other.sent_requests:
            other.fleet.fetch._on_answer(_answer_of(provider, request))
        other.sent_requests.clear()
        call = call or other.fleet.servers.next_call(now=clock.now)
        clock.now += MIN_SERVERS_READ_INTERVAL
    assert call is not None and "&from=2" in call.path


def test_incomplete_history_is_not_served(clock: Clock) -> None:
    """Guard against a host that mistakes incomplete changes for all that it missed."""
    provider = Host("a")
    provider.apply_listing(_server_record("i1", 0), end=5)
    provider.apply_read(_server_record("i2", 5), end=6)
    assert provider.fleet.changes_since(4, 0) is None
    assert provider.fleet.changes_since(5, 1) is None
    assert provider.fleet.changes_since(6, 0) is None
    assert provider.fleet.changes_since(7, 0) is None
    provider.apply_listing(_server_record("i1", 0), end=9)
    changes = provider.fleet.changes_since(5, 0)
    assert changes is None or changes.end == 6


@pytest.mark.parametrize("is_reachable", [True, False])
def test_only_the_first_hosts_of_a_zone_read_server_records(
    clock: Clock, is_reachable: bool
) -> None:
    """Guard against all hosts of a zone reading the store when its reader is lost."""
    host = Host("c")
    host.apply_listing(_server_record("i1", 0), end=1)
    host.fleet._store._failing_since = None if is_reachable else 0.0
    host.fleet._store.forwarded_at = clock.now
    started_at = clock.now
    call = None
    while call is None and clock.now < started_at + 2 * MAX_UPDATE_SILENCE:
        clock.now += 0.1
        sequence = round(10 * clock.now)
        _receive(
            host, *(_heartbeat_from(name, sequence=sequence) for name in ("a", "b"))
        )
        host.fleet._suspend_or_read(now=clock.now)
        call = host.fleet.servers.next_call(now=clock.now)
    waited = clock.now - started_at
    assert (call is not None) is is_reachable
    assert not is_reachable or waited == pytest.approx(MAX_UPDATE_SILENCE, abs=0.21)


def _start_among_hosts(host: Host, others: list[str]) -> None:
    """Start a host that finds the addresses of other hosts in the store."""
    fleet = host.fleet
    fleet._on_started()
    for name in others:
        fleet._heartbeats.addresses_by_host[name] = HostAddress(
            host=name, address="10.0.0.7:7000", availability_zone="z"
        )
    fleet._on_announced(StoreAnswer(status=200))
    fleet.hosts.next_call(now=time.monotonic())
    fleet.hosts.answered(200, b'{"items": [], "more": false, "end": 9}', now=1001.0)
    fleet._apply_host_updates(TopicUpdates(records=[], complete=True))


def test_host_that_starts_among_many_does_not_list_the_store(clock: Clock) -> None:
    """Guard against hosts that start at once and saturate the store for seconds."""
    provider, other = Host("a"), Host("x")
    provider.apply_listing(_server_record("i1", 0), _server_record("i2", 1), end=2)
    provider.fleet.servers.answered_at = clock.now
    _start_among_hosts(other, [f"h{index}" for index in range(20)])
    assert other.fleet.servers.next_call(now=clock.now) is None
    _receive(other, _heartbeat_from("h3"))
    other.fleet._on_tick()
    [request] = [sent for sent in other.sent_requests if sent.path == SERVERS_PATH]
    # A host that is busy serving the list to others refuses; the next host is asked.
    busy = replace(_answer_of(provider, request), status=503, body=b"")
    other.fleet.fetch._on_answer(busy)
    clock.now += 0.1
    other.fleet._on_tick()
    request = [sent for sent in other.sent_requests if sent.path == SERVERS_PATH][-1]
    other.fleet.fetch._on_answer(_answer_of(provider, request))
    assert other.directory.by_id.keys() == {"i1", "i2"}
    # Later changes of the servers are applied at once.
    group = {"name": "g", "epoch": 3, "rank": 0, "state": "open"}
    other.fleet._on_forwarded_updates(
        provider.apply_read(_server_record("i2", 2, group=group), end=3)
    )
    assert other.directory.by_id["i2"].group is not None


def _listing_calls(
    host: Host, clock: Clock, *, seconds: float
) -> list[HttpRequest | None]:
    """Return, for each tick, the host's call to list the servers, or None."""
    calls = []
    for _ in range(round(10 * seconds)):
        host.fleet._on_tick()
        calls.append(host.fleet.servers.next_call(now=clock.now))
        clock.now += 0.1
    return calls


def test_host_lists_the_store_if_no_peer_provides_the_list(clock: Clock) -> None:
    """Guard against a host that waits for lost peers to list the store first."""
    host = Host("x")
    _start_among_hosts(host, [f"h{index}" for index in range(MAX_FIRST_LISTERS + 2)])
    calls = _listing_calls(host, clock, seconds=4 * LISTING_INTERVAL)
    assert calls[0] is None and any(calls)


def test_host_that_cannot_register_tries_to_list(clock: Clock) -> None:
    """Guard against a host that waits to be registered in an unavailable store."""
    host = Host("x")
    host.fleet._on_started()
    calls = _listing_calls(host, clock, seconds=UNLISTED_TIMEOUT + 0.2)
    assert calls[0] is None and any(calls)


def test_host_without_the_store_fetches_all_servers_from_another(clock: Clock) -> None:
    """Guard against a restarted host that refuses all callers until the store returns.

    Hosts are restarted in turn while the store is unavailable for eight seconds.  The
    restarted host must get the records that all its peers know from them, not only
    from the store.
    """
    provider, other = Host("a"), Host("b")
    provider.apply_listing(_server_record("i1", 0), _server_record("i2", 1), end=2)
    heartbeat = _heartbeat_from("a", reads_store=False, knows_servers=False)
    other.fleet._heartbeats.record(heartbeat, address="10.0.0.7:7000", now=clock.now)
    other.fleet._on_tick()
    assert [sent for sent in other.sent_requests if sent.path == SERVERS_PATH] == []
    clock.now += 0.5
    other.fleet.servers.next_call(now=clock.now)
    other.fleet._on_tick()
    [request] = [sent for sent in other.sent_requests if sent.path == SERVERS_PATH]
    assert request.address == "10.0.0.7:7000"
    other.fleet.fetch._on_answer(_answer_of(provider, request))
    assert other.directory.by_id.keys() == {"i1", "i2"}
    assert other.fleet.servers.is_current
    # The listing requested earlier is answered late, and doesn't contain i1.
    late = b'{"items": [], "more": false, "end": 1}'
    updates = other.fleet.servers.answered(200, late, now=clock.now).ok
    other.fleet._apply_server_updates(updates)
    assert other.directory.by_id.keys() == {"i1", "i2"}
    assert other.fleet.servers.offset == 2
    assert "&from=2" in other.fleet.servers.next_call(now=clock.now + 1).path


def test_records_superseded_by_a_long_listing_are_not_applied(clock: Clock) -> None:
    """Guard against servers that join another group while the head of theirs is open.

    While 925 servers are listed page by page, groups form, and a page shows a server
    as open.  Records appended since the first page are then read in several reads; the
    first read contains an older record of that server.  If an older record replaced
    the listed one, a planning pass between two reads would take the server for free.
    """
    host, other = Host("a"), Host("b")
    group = {"name": "g", "epoch": 3, "rank": 0, "state": "open"}
    joined = _server_record("i2", 12, group=group)
    for one in (host, other):
        one.apply_listing(
            _server_record("i1", 3),
            joined if one is host else _server_record("i2", 4),
            end=10,
        )
    before = host.apply_read(_server_record("i1", 10), _server_record("i2", 11), end=12)
    assert host.directory.by_id["i2"].group is not None
    since = host.apply_read(joined, end=13)
    assert host.directory.by_id["i2"].group is not None
    # A host that listed earlier receives all changes since its listing.
    for updates in (before, since):
        other.fleet._on_forwarded_updates(updates)
    assert other.directory.by_id["i2"].group is not None
    # Later records are applied as usual.
    host.apply_read(_server_record("i2", 14), end=15)
    assert host.directory.by_id["i2"].group is None


def test_host_with_a_listing_in_progress_requests_nothing_from_peers(
    clock: Clock,
) -> None:
    """Guard against starting hosts that saturate each other's links.

    195 hosts in five zones start at once and list 925 servers from the store, which
    takes seconds.  If each requested all servers from another host three times a
    second although the store was answering, the hosts would send each other 1.3 GB in
    the first half minute, fill links of 10 Mbit/s and refuse callers meanwhile.
    """
    host = Host("b")
    heartbeat = _heartbeat_from("a", knows_servers=False)
    follower = host.fleet.servers
    for number in range(20):
        clock.now += 0.4
        host.fleet._heartbeats.record(
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
    assert [sent for sent in host.sent_requests if sent.path == SERVERS_PATH] == []
    # Once the store stops answering, the host asks its peers.
    clock.now += 1.1
    host.fleet._heartbeats.record(
        replace(heartbeat, sequence=99), address="10.0.0.7:7000", now=clock.now
    )
    host.fleet._on_tick()
    assert [sent.path for sent in host.sent_requests if sent.path == SERVERS_PATH]


REPORT = b"""{"stage": "whole", "models": [{"name": "m"}], "domain": "d",
    "staged": ["n"],
    "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"}, "busy": false}"""


def test_reports_replace_the_list_during_an_outage(clock: Clock) -> None:
    """Guard against a serving group that gets no requests for five seconds.

    A head is ordered to open and the store becomes unavailable, so the head's record
    with the new state can't be written.  The planner that probes the head must
    announce the reported state to other hosts, as it isn't known from records.
    """
    planner, other = Host("a"), Host("b")
    for host in (planner, other):
        host.apply_listing(_server_record("i1", 0, slots=7), end=1)
        host.fleet.servers.answered_at = clock.now
    planner.fleet._on_reported("i1", REPORT)
    assert planner.directory.by_id["i1"].group is None
    clock.now += LIST_STALE_AFTER + 0.1
    planner.fleet._on_reported("i1", REPORT)
    updates = planner.forwarded_updates[-1]
    assert updates.reported
    other.fleet._on_forwarded_updates(updates)
    for host in (planner, other):
        found = host.directory.by_id["i1"]
        assert (found.group.state, found.slots) == (GroupState.OPEN, 7)
        assert found.models == {"m"}
        assert found.staged == {"n"}
    n_forwarded = len(planner.forwarded_updates)
    planner.fleet._on_reported("i1", REPORT)
    assert len(planner.forwarded_updates) == n_forwarded


def test_forwarded_reports_are_ignored_while_the_list_is_current(clock: Clock) -> None:
    reader, other = Host("a"), Host("b")
    for host in (reader, other):
        host.apply_listing(_server_record("i1", 0), end=1)
    reader.fleet.servers.answered_at = clock.now
    clock.now += LIST_STALE_AFTER + 0.1
    reader.fleet._on_reported("i1", REPORT)
    other.fleet.servers.answered_at = clock.now
    other.fleet._on_forwarded_updates(reader.forwarded_updates[-1])
    assert other.directory.by_id["i1"].group is None


@pytest.mark.parametrize("report", [b"", b"<html>", b"[]", b'{"group": 3}'])
def test_unreadable_reports_change_nothing(clock: Clock, report: bytes) -> None:
    host = Host("a")
    host.apply_listing(_server_record("i1", 0), end=1)
    clock.now += LIST_STALE_AFTER + 0.1
    host.fleet._on_reported("i1", report)
    host.fleet._on_reported("unknown", REPORT)
    assert host.directory.by_id["i1"].group is None
    assert host.directory.by_id.keys() == {"i1"}


def test_reports_take_precedence_over_records_from_before_an_outage(
    clock: Clock,
) -> None:
    """Guard against two servers that join another group while their head is open.

    A group is planned, the store becomes unavailable, the group's members are probed
    and its head opens.  The first records read after the store's return were written
    before the members joined.  If such an older record replaced the newer report, the
    head would seem to have left, and its members would seem free.
    """
    planner, other = Host("a"), Host("b")
    for host in (planner, other):
        host.apply_listing(_server_record("i1", 0), end=1)
    clock.now += LIST_STALE_AFTER + 0.1
    planner.fleet._on_reported("i1", REPORT)
    other.fleet._on_forwarded_updates(planner.forwarded_updates[-1])
    clock.now += 5.0
    stale = planner.apply_read(_server_record("i1", 1, state="draining"), end=2)
    other.fleet._on_forwarded_updates(stale)
    for host in (planner, other):
        found = host.directory.by_id["i1"]
        assert found.group.state is GroupState.OPEN
        # The record's draining state applies at once.
        assert found.draining
    clock.now += REPORTED_PRECEDENCE - 0.1
    planner.fleet._on_tick()
    assert planner.directory.by_id["i1"].group is not None
    clock.now += 0.2
    # By now the server has renewed its record, or is no longer in a group.
    for host in (planner, other):
        host.fleet._on_tick()
        assert host.directory.by_id["i1"].group is None


def test_record_of_a_restarted_server_replaces_its_report(
    clock: Clock,
) -> None:
    """Guard against requests to a restarted head for three seconds after an outage.

    A head reports that it is open while the store is unavailable.  It crashes and
    restarts under the same id, with a clock that has stepped back and without its
    group, and the store returns.  The report must take precedence over the record only
    if the record isn't of a later incarnation.
    """
    planner, other = Host("a"), Host("b")
    for host in (planner, other):
        host.apply_listing(_server_record("i1", 0, born=1000), end=1)
    clock.now += LIST_STALE_AFTER + 0.1
    report = REPORT.replace(b'"busy"', b'"born": 2000, "busy"')
    planner.fleet._on_reported("i1", report)
    other.fleet._on_forwarded_updates(planner.forwarded_updates[-1])
    # The record written before the outage is of the earlier start, so the report takes
    # precedence.
    clock.now += 5.0
    other.fleet._on_forwarded_updates(
        planner.apply_read(_server_record("i1", 1, born=1000), end=2)
    )
    for host in (planner, other):
        assert host.directory.by_id["i1"].started_at == 2000
    later = planner.apply_read(_server_record("i1", 2, born=1500, group=None), end=3)
    other.fleet._on_forwarded_updates(later)
    for host in (planner, other):
        found = host.directory.by_id["i1"]
        assert (found.started_at, found.group) == (1500, None)


def test_unreadable_record_of_another_writer_affects_no_other_server(
    clock: Clock, caplog: pytest.LogCaptureFixture
) -> None:
    """Guard against requests to a server whose record was overwritten.

    Another writer writes unreadable records under new ids, under the id of a live
    server and under the id of a server that no longer writes.  If unreadable records
    were only skipped, the previous record would stay valid.  An unreadable record must
    not be logged again at each renewal either.
    """
    reader, other = Host("a"), Host("b")
    for host in (reader, other):
        host.apply_listing(_server_record("i1", 0), _server_record("i2", 1), end=2)
    wrong = [
        _server_record(key, 2 + n, slots="x")
        for n, key in enumerate(("i1", "i2", "i9"))
    ]
    other.fleet._on_forwarded_updates(reader.apply_read(*wrong, end=5))
    other.fleet._on_forwarded_updates(
        reader.apply_read(_server_record("i9", 5, state="odd"), end=6)
    )
    assert caplog.messages.count("server_unreadable") == 2 * len(wrong)
    other.fleet._on_forwarded_updates(
        reader.apply_read(_server_record("i1", 6), _server_record("i3", 7), end=8)
    )
    clock.now += 2.5
    for host in (reader, other):
        host.fleet._on_tick()
        assert host.directory.by_id.keys() == {"i1", "i3"}


def test_server_removed_after_an_outage_is_removed(clock: Clock) -> None:
    host = Host("a")
    host.apply_listing(_server_record("i1", 0), end=1)
    clock.now += LIST_STALE_AFTER + 0.1
    host.fleet._on_reported("i1", REPORT)
    clock.now += MIN_OUTAGE + RECORDS_RETURN_TIME
    host.apply_read(_server_record("i1", 1), _removal_record("i1", 2), end=3)
    clock.now += RECORDS_RETURN_TIME + REPORTED_PRECEDENCE + 0.1
    host.fleet._on_tick()
    clock.now += 0.1
    host.fleet._on_tick()
    assert host.directory.by_id == {}


def _host_with_suspended_reading(name: str) -> Host:
    """Return a host whose reading of the configuration is suspended."""
    host = Host(name)
    follower = host.fleet.configuration
    follower.next_call(now=0.0)
    follower.answered(200, b'{"items": [], "more": false, "end": 0}', now=0.0)
    follower.suspended = True
    return host


def _newer_heartbeat(host: Host, *, zone: str = "z", size: int = 100) -> HostHeartbeat:
    """Return the heartbeat of a host that has a newer configuration."""
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
    ("zone", "size", "fetches_from_host", "reads_from_store"),
    [
        ("z", 100, True, False),
        ("z", MAX_FETCHED_CONFIGURATION + 1, False, True),
        ("y", 100, False, False),
    ],
    ids=["of its zone", "too long for one link", "of another zone"],
)
def test_host_with_suspended_reading_fetches_a_newer_configuration(
    clock: Clock, zone: str, size: int, fetches_from_host: bool, reads_from_store: bool
) -> None:
    host = _host_with_suspended_reading("b")
    host.fleet.check_peer_version(
        _newer_heartbeat(host, zone=zone, size=size), now=clock.now
    )
    assert [request.path for request in host.sent_requests] == [
        CONFIGURATION_PATH
    ] * fetches_from_host
    call = host.fleet.configuration.next_call(now=clock.now)
    assert (call is not None) is reads_from_store


def test_overdue_configuration_is_requested_from_all_sources(
    clock: Clock,
) -> None:
    """Guard against a host that applies a newer configuration late.

    A host with suspended reading learns of a newer version, and its connection to the
    host that announced the version goes silent.  It must then read the store as well.
    """
    host = _host_with_suspended_reading("b")
    heartbeat = _newer_heartbeat(host)
    host.fleet.check_peer_version(heartbeat, now=clock.now)
    host.fleet.check_peer_version(heartbeat, now=clock.now + FALLBACK_DELAY + 0.01)
    assert host.fleet.configuration.next_call(now=clock.now + 0.4) is not None


def test_starting_hosts_read_until_they_can_discover_each_other(clock: Clock) -> None:
    """Guard against two hosts that start at once and never exchange heartbeats.

    Both hosts list the hosts' records before either has written its own.  Neither may
    suspend reading before it has read past its own record.
    """
    host = _host_with_suspended_reading("c")
    for name in ("a", "b"):
        heartbeat = _newer_heartbeat(host)
        host.fleet._heartbeats.record(
            replace(heartbeat, host=name), address=name, now=clock.now
        )
    host.fleet._store.answered_at = clock.now
    host.fleet._store._failing_since = None
    follower = host.fleet.hosts
    follower.next_call(now=clock.now)
    follower.answered(200, b'{"items": [], "more": false, "end": 0}', now=clock.now)
    clock.now += 0.5
    host.fleet._on_announced(StoreAnswer(status=200))
    host.fleet._suspend_or_read(now=clock.now)
    assert not follower.suspended
    clock.now += 0.1
    assert follower.next_call(now=clock.now) is not None
    host.fleet._suspend_or_read(now=clock.now)
    assert follower.suspended


def _return_store(
    host: Host, *records: KeyedRecord, is_notified_first: bool = True, end: int
) -> None:
    """Simulate the store's return from an older copy, which the host then lists.

    Parameters
    ----------
    is_notified_first : bool
        Whether the host is notified of the return before it lists the copy.
    """
    store = host.fleet._store
    store.record_era(1, peer="store", now=time.monotonic())
    fired: list[object] = []
    store.fire = lambda event, *channels: fired.append(event)
    store.record_era(2, peer="store", now=time.monotonic())
    assert len(fired) == 1
    if is_notified_first:
        host.fleet._on_store_returned()
    host.apply_listing(*records, end=end)
    host.fleet.servers.era = 2
    if not is_notified_first:
        host.fleet._on_store_returned()


def test_older_copy_of_the_store_does_not_revert_known_servers(clock: Clock) -> None:
    """Guard against an older record that shows a draining server as ready.

    An older record could likewise show a member of a group as free.
    """
    host = Host("a")
    host.apply_listing(_server_record("i1", 0), end=1)
    host.apply_read(_server_record("i1", 1, state="draining"), end=2)
    _return_store(host, _server_record("i1", 0), _server_record("gone", 0), end=1)
    assert host.directory.by_id["i1"].draining
    assert "gone" not in host.directory.by_id
    clock.now += RECORDS_RETURN_TIME + 0.1
    host.fleet._on_tick()
    assert host.directory.by_id["i1"].draining
    # The server's renewed record is newer than the copy.
    host.apply_read(_server_record("i1", 1, slots=7), end=2)
    assert not host.directory.by_id["i1"].draining


@pytest.mark.parametrize("is_notified_first", [True, False])
def test_servers_missing_from_an_older_copy_are_kept_for_a_while(
    clock: Clock, is_notified_first: bool
) -> None:
    """Guard against groups that end because a copy doesn't show their members yet.

    The host may learn of the store's return only from the listing of the copy itself.
    """
    host = Host("a")
    host.apply_listing(_server_record("i1", 0), _server_record("i2", 1), end=2)
    _return_store(host, is_notified_first=is_notified_first, end=0)
    host.fleet._on_tick()
    assert host.directory.by_id.keys() == {"i1", "i2"}
    host.apply_read(_server_record("i1", 0), end=1)
    clock.now += RECORDS_RETURN_TIME + 0.1
    host.fleet._on_tick()
    assert host.directory.by_id.keys() == {"i1"}


def test_host_that_knows_no_servers_trusts_an_older_copy(clock: Clock) -> None:
    """Guard against a host that starts during the store's return and can't serve."""
    host = Host("a")
    _return_store(host, _server_record("i1", 0), end=1)
    assert host.directory.by_id.keys() == {"i1"}


@pytest.mark.parametrize(
    ("era", "first_start", "is_awaited"),
    [(0, False, False), (1, True, False), (1, False, True), (2, True, True)],
)
def test_host_that_starts_awaits_renewals_if_the_store_may_have_returned(
    clock: Clock, era: int, first_start: bool, is_awaited: bool
) -> None:
    """Guard against planners that take the records of an older copy for the present."""
    host = Host("a", first_start=first_start)
    host.fleet._store.record_era(era, peer="store", now=clock())
    host.apply_listing(_server_record("i1", 0), _server_record("i2", 1), end=2)
    assert host.fleet.may_be_outdated(now=clock()) is is_awaited
    host.apply_read(_server_record("i1", 2), end=3)
    assert host.fleet.may_be_outdated(now=clock()) is is_awaited
    host.apply_read(_server_record("i2", 3), end=4)
    assert not host.fleet.may_be_outdated(now=clock())


def test_host_that_starts_awaits_no_server_for_ever(clock: Clock) -> None:
    """Guard against zones without a planner while a server can't reach the store."""
    host = Host("a")
    host.fleet._store.record_era(2, peer="store", now=clock())
    host.apply_listing(_server_record("i1", 0), end=1)
    assert host.fleet.may_be_outdated(now=clock())
    assert not host.fleet.may_be_outdated(now=clock() + MAX_RENEWAL_WAIT)


def test_renewed_records_are_forwarded_unchanged_after_a_return(
    clock: Clock,
) -> None:
    """Guard against a host that started in the meantime and has listed the copy."""
    host = Host("a")
    host.apply_listing(_server_record("i1", 0), end=1)
    _return_store(host, end=0)
    updates = host.apply_read(_server_record("i1", 0), end=1)
    assert [record.key for record in updates.records] == ["i1"]
    assert updates.era == 2
    clock.now += MAX_RENEWAL_WAIT + 0.1
    assert host.apply_read(_server_record("i1", 1), end=2).records == []


def test_host_writes_its_address_again_after_the_store_returns(clock: Clock) -> None:
    """Guard against hosts whose address others can't find after the store's return."""
    host = Host("a")
    host.fleet._on_announced(StoreAnswer(status=200))
    appended: list[HttpRequest] = []
    host.fleet._store.call = lambda call, on_answer: appended.append(call)
    host.fleet._on_tick()
    assert appended == []
    _return_store(host, end=0)
    host.fleet._on_tick()
    [call] = appended
    assert call.method == "POST"


def _operator_record(key: str, value: bytes, offset: int) -> KeyedRecord:
    return KeyedRecord(key=key, value=value, offset=offset)


def test_requests_to_evacuate_zones_are_read(clock: Clock) -> None:
    host = Host("a")
    host.fleet.configuration.offset = 4
    listed = [_operator_record("evacuate/x", b"{}", 3)]
    host.fleet._apply_operator_updates(TopicUpdates(records=listed, complete=True))
    evacuations = host.fleet._evacuations
    assert evacuations.zones == {"x"}
    read = [
        _operator_record("evacuate/y", b"{}", 4),
        _operator_record("evacuate/x", b"", 5),
    ]
    host.fleet._apply_operator_updates(TopicUpdates(records=read, start=4))
    assert evacuations.zones == {"y"}
    # A record older than the known position is ignored.
    host.fleet._apply_operator_updates(TopicUpdates(records=read[:1], start=4))
    assert (evacuations.zones, evacuations.as_of.offset) == ({"y"}, 6)
