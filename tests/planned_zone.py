"""Simulate hosts that plan for one availability zone, with their store and servers.

Each host runs its planning component with a view of its own.  Only what crosses the
network is simulated: heartbeats, reads and appends of the store, and orders.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest
from expression import Error, Ok, Result
from msgspec.structs import replace

from ryelever import group_planning
from ryelever.coordination.groups import GroupOrder, OrderKind, OrderOutcome
from ryelever.coordination.groups.records import GroupRecord
from ryelever.coordination.groups.zone_planner import ZonePlanner
from ryelever.coordination.host_heartbeats import (
    HostAddress,
    HostHeartbeat,
    HostHeartbeats,
)
from ryelever.coordination.relaying.server_paths import ServerPaths
from ryelever.coordination.topic import TopicFollower, TopicUpdates
from ryelever.emulator.server import EmulatedServer
from ryelever.errors import Category, RyeleverError
from ryelever.events import OutboundAnswer, OutboundFailure, OutboundRequest
from ryelever.group_planning import GroupPlanning
from ryelever.protocol.keyed_log import (
    Appended,
    AppendRefused,
    NewestPage,
    RecordsPage,
)
from ryelever.state.directory import BackendServer, Directory
from ryelever.state.keyed_record import KeyedRecord
from ryelever.state.routes import RoutedService, RouteTable
from ryelever.store_client import StoreAnswer
from ryelever.transport.http_client import REFUSED

from .test_coordination.test_groups.group_fakes import STALL_TIME, server
from .test_coordination.test_groups.test_group_forming import ENGINE, SMALL

__all__ = ["STEP", "ZONE", "PlannedZone"]

ZONE = "z"

#: Length of one step in seconds, which is also the interval of the control ticks.
STEP = 0.1

#: Steps between two heartbeats of a host, and between its reads of the server list.
HEARTBEAT_STEPS = 2
LIST_READ_STEPS = 3

#: Steps for which a read of the server list waits at the store for a change.
LIST_WAIT_STEPS = 2

#: Seconds without an answered read after which the server list is stale.
LIST_STALE_AFTER = 1.0

#: Steps without an answer after which a request fails.
TIMEOUT_STEPS = 8


@dataclass(slots=True, kw_only=True)
class _Store:
    """The log of the zone's groups, and which hosts reach it."""

    records: list[KeyedRecord] = field(default_factory=list)
    is_away: bool = False

    @property
    def end(self) -> int:
        return len(self.records)

    def append(self, records: list[tuple[str, object]]) -> None:
        for key, value in records:
            self.records.append(KeyedRecord(key=key, value=value, offset=self.end))

    def newest(self) -> list[KeyedRecord]:
        by_key = {record.key: record for record in self.records}
        return [record for record in by_key.values() if record.value]


class _Log:
    """The calls of ``KeyedLogInterface``, whose bodies are the objects themselves."""

    def newest(self, topic: str, *, partition: int, after: str = "") -> object:
        return SimpleNamespace(kind="newest")

    def read(self, topic: str, *, partition: int, offset: int, wait_ms: int) -> object:
        return SimpleNamespace(kind="read", offset=offset)

    def append(
        self, topic: str, records: list, *, partition: int, at: int | None = None
    ) -> object:
        return SimpleNamespace(kind="append", records=records, at=at)

    def newest_page(self, status: int, body: NewestPage) -> Result:
        return Ok(body)

    def read_page(self, status: int, body: RecordsPage, *, offset: int) -> Result:
        return Ok(body)

    def appended(self, status: int, body: object) -> Result:
        if status:
            return Ok(body)
        return Error(RyeleverError("no answer", category=Category.TIMEOUT, step=""))


class _StoreClient:
    """The part of ``StoreClient`` that planning uses."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._followed: list[tuple[TopicFollower, Callable]] = []
        self.is_reachable = True

    def follow(self, follower: TopicFollower, on_updates: Callable) -> None:
        self._followed.append((follower, on_updates))

    def unfollow(self, follower: TopicFollower) -> None:
        self._followed = [item for item in self._followed if item[0] is not follower]

    def call(self, call: SimpleNamespace, on_answer: Callable) -> None:
        self._host.send_later(lambda: self._send_append(call, on_answer))

    def _send_append(self, call: SimpleNamespace, on_answer: Callable) -> None:
        delay = self._host.zone.append_delay
        if delay:
            self._host.zone.call_later(
                delay, lambda: self._append(call, lambda answer: None)
            )
            self._host.receive_later(lambda: on_answer(StoreAnswer()))
        else:
            self._append(call, on_answer)

    def tick(self) -> None:
        for follower, on_updates in self._followed:
            call = follower.next_call(now=self._host.now)
            if call is not None:
                self._send(call, follower, on_updates)

    def _send(
        self, call: SimpleNamespace, follower: TopicFollower, on_updates: Callable
    ) -> None:
        store = self._host.zone.store
        if store.is_away:
            self._host.receive_later(lambda: follower.failed(now=self._host.now))
            return
        if call.kind == "newest":
            body = NewestPage(records=store.newest(), more=False, end=store.end)
        else:
            body = RecordsPage(records=store.records[call.offset :], end=store.end)
        self._host.receive_later(lambda: self._answer(follower, on_updates, body))

    def _answer(
        self, follower: TopicFollower, on_updates: Callable, body: object
    ) -> None:
        outcome = follower.answered(200, body, now=self._host.now)
        if any(item[0] is follower for item in self._followed):
            updates: TopicUpdates = outcome.ok
            on_updates(updates)

    def _append(self, call: SimpleNamespace, on_answer: Callable) -> None:
        store = self._host.zone.store
        if store.is_away:
            self._host.receive_later(lambda: on_answer(StoreAnswer()))
            return
        if call.at == store.end:
            offset = store.end
            store.append(call.records)
            body = Appended(offset=offset, end=store.end)
        else:
            body = AppendRefused(end=store.end)
        answer = StoreAnswer(status=200, body=body)
        self._host.receive_later(lambda: on_answer(answer))


class Host:
    """One host: its views of the zone, and the component that plans.

    Attributes
    ----------
    paused_until : float
        Time until which the process is stopped.
    is_cut_off : bool
        True while no heartbeat passes between this host and the others.
    witnesses : list of HostAddress
        Hosts by way of which refused orders are sent again.
    orders : list of tuple of (float, GroupOrder)
        Orders that the host's planners have sent, each with its time.
    lag : float
        Seconds by which the host's monotonic clock is behind, because it didn't count
        suspensions of the machine.
    """

    def __init__(self, name: str, zone: PlannedZone) -> None:
        self.name = name
        self.zone = zone
        self.paused_until = 0.0
        self.is_cut_off = False
        self.is_dead = False
        self.lag = 0.0
        self._holds_back = False
        self.witnesses: list[HostAddress] = []
        self.orders: list[tuple[float, GroupOrder]] = []
        self.directory = Directory()
        self.heartbeats = HostHeartbeats(host=name, zone=ZONE)
        self._inbox: list[tuple[int, Callable[[], None]]] = []
        self._outbox: list[Callable[[], None]] = []
        self._list_asked_at: int | None = None
        self._list_sent: list[BackendServer] = []
        self._list_read_at = float("-inf")
        self._sequence = 0
        self.store = _StoreClient(self)
        self.planning = GroupPlanning(
            settings=SimpleNamespace(zones=(ZONE,), store_partitions=1),
            log=_Log(),
            documents=SimpleNamespace(
                groups_topic="groups",
                group=lambda key, value: value or None,
                group_record=lambda group: group,
            ),
            groups=SimpleNamespace(
                order=lambda order: SimpleNamespace(
                    method="POST", path="/", body=order
                ),
                order_headers=lambda order: (),
                outcome=lambda order, status, body: body,
            ),
            store=self.store,
            plans_for=self._plans_for,
            still=lambda: zone.stalled_heads,
            new_planner=self._new_planner,
            directory=self.directory,
            paths=ServerPaths(servers_by_id={}, log=lambda event, **fields: None),
            forwarders=SimpleNamespace(witnesses=lambda now: self.witnesses),
        )
        self.planning.fire = self._fire

    @property
    def now(self) -> float:
        """Return the host's monotonic time."""
        return round(self.zone.now - self.lag, 3)

    @property
    def is_paused(self) -> bool:
        """Return whether the process is stopped."""
        return self.zone.now < self.paused_until

    @property
    def plans(self) -> bool:
        """Return whether the host runs a planner."""
        return ZONE in self.planning.planners_by_zone and not self.is_dead

    def pause(
        self, seconds: float, *, is_counted: bool = True, before_sending: bool = False
    ) -> None:
        """Stop the process.

        Parameters
        ----------
        is_counted : bool
            False if the machine is suspended, and the monotonic clock with it.
        before_sending : bool
            True if the process is stopped before it has sent what it has decided.
        """
        self.paused_until = round(self.zone.now + seconds, 3)
        self.lag += 0.0 if is_counted else seconds
        self._holds_back = before_sending

    def receive_later(self, deliver: Callable[[], None], *, steps: int = 1) -> None:
        """Deliver something to the process, once it runs."""
        self._inbox.append((self.zone.step + steps, deliver))

    def send_later(self, send: Callable[[], None]) -> None:
        """Send something with the next step, even if the process is stopped then."""
        self._outbox.append(send)

    def flush(self) -> None:
        """Send what waits, and let the store answer reads of the server list."""
        if not (self._holds_back and self.is_paused):
            waiting, self._outbox = self._outbox, []
            for send in waiting:
                send()
        if self._list_asked_at is None or self.zone.store.is_away:
            return
        entries = [item.entry for item in self.zone.servers_by_id.values()]
        has_waited = self.zone.step >= self._list_asked_at + LIST_WAIT_STEPS
        if has_waited or entries != self._list_sent:
            self._list_asked_at = None
            self._list_sent = entries
            self.receive_later(lambda: self._apply_list(entries))

    def run(self) -> None:
        """Run the process for one step."""
        due = [deliver for step, deliver in self._inbox if step <= self.zone.step]
        self._inbox = [item for item in self._inbox if item[0] > self.zone.step]
        for deliver in due:
            deliver()
        self.store.is_reachable = not self.zone.store.is_away
        self.store.tick()
        self.planning._on_tick()
        if self.zone.step % LIST_READ_STEPS == 0 and self._list_asked_at is None:
            self._list_asked_at = self.zone.step
        if self.zone.step % HEARTBEAT_STEPS == 0:
            self._send_heartbeat()

    def list_is_stale(self) -> bool:
        """Return whether no read of the server list was answered for a while."""
        return self.now - self._list_read_at > LIST_STALE_AFTER

    def _apply_list(self, entries: list[BackendServer]) -> None:
        self._list_read_at = self.now
        for entry in entries:
            self.directory.put(entry, now=self.now)

    def _send_heartbeat(self) -> None:
        self._sequence += 1
        heartbeat = HostHeartbeat(
            host=self.name,
            availability_zone=ZONE,
            reads_store=self.store.is_reachable,
            stopping=False,
            configuration_version=1,
            sequence=self._sequence,
            plans=self.planning.announced_zones(),
            interval=HEARTBEAT_STEPS * STEP,
        )
        for other in self.zone.hosts:
            if other is not self and not (self.is_cut_off or other.is_cut_off):
                other.receive_later(lambda host=other: host._record(heartbeat))

    def _record(self, heartbeat: HostHeartbeat) -> None:
        self.heartbeats.record(heartbeat, address=heartbeat.host, now=self.now)

    def _plans_for(self, zone: str, planning: bool) -> bool:
        return self.heartbeats.plans_for(
            zone,
            planning=planning,
            reads_store=self.store.is_reachable,
            now=self.now,
            resumed_at=self.planning.resumed_at,
        )

    def _new_planner(self, zone: str) -> ZonePlanner:
        return ZonePlanner(
            zone=zone,
            n_zones=1,
            is_local=True,
            directory=self.directory,
            route_table=lambda: self.zone.route_table,
            demand=lambda: {"small": 2.0},
            other_reshaped_zones=set,
            observe=lambda phase, seconds: None,
            list_is_stale=self.list_is_stale,
            stall_time=STALL_TIME,
            since=self.now,
            log=lambda event, **fields: None,
        )

    def _fire(self, event: object, channel: str) -> None:
        request = event.args[0]
        if isinstance(request, OutboundRequest):
            self.orders.append((self.zone.now, request.body))
            self.send_later(lambda: self._send_order(request))

    def _send_order(self, request: OutboundRequest) -> None:
        if request.body.server_id in self.zone.refusing_ids:
            self.receive_later(lambda: self._fail(request, code=REFUSED))
            return
        outcome = self.zone.execute(request.body)
        if outcome is None:
            self.receive_later(lambda: self._fail(request), steps=TIMEOUT_STEPS)
            return
        answer = OutboundAnswer(
            id=request.id,
            status=204,
            headers={},
            body=outcome,
            address=request.address,
            sent_at=self.now,
        )
        self.receive_later(lambda: self.planning._on_answer(answer))

    def _fail(self, request: OutboundRequest, *, code: str = "") -> None:
        error = RyeleverError(
            "failed", category=Category.TIMEOUT, step="order", code=code
        )
        self.planning._on_failed(
            OutboundFailure(
                id=request.id, address=request.address, error=error, bytes_sent=True
            )
        )


class PlannedZone:
    """A zone of four servers, which form two groups, and its hosts.

    Attributes
    ----------
    faults : list of str
        Orders by which a server joined a group while its former head was open.
    n_left : int
        Orders to leave that members of open groups have executed.
    stalled_heads : set of str
        Heads of the groups that all hosts see stalled.
    refusing_ids : set of str
        Servers that refuse connections.
    append_delay : float
        Seconds until the store carries out an append, whose answer is lost.
    """

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, *, hosts: tuple[str, ...]
    ) -> None:
        self.step = 0
        self.faults: list[str] = []
        self.n_left = 0
        self.stalled_heads: set[str] = set()
        self.append_delay = 0.0
        self.refusing_ids: set[str] = set()
        self.store = _Store()
        self.engine = replace(ENGINE, models_by_name={"small": SMALL})
        self.route_table = RouteTable(
            version=1,
            routes_by_host={},
            services_by_name={
                "engines": RoutedService(
                    name="engines", max_connections=100, engine=self.engine
                )
            },
            account_by_key={},
            requires_keys=False,
        )
        self.servers_by_id = {
            name: EmulatedServer(entry=server(name, staged=frozenset({"small"})))
            for name in "abcd"
        }
        self._calls: list[tuple[float, Callable[[], None]]] = []
        self._current_host: Host | None = None
        clock = SimpleNamespace(monotonic=lambda: self._current_host.now)
        monkeypatch.setattr(group_planning, "time", clock)
        monkeypatch.setattr(group_planning, "boot_time", lambda: self.now)
        self.hosts = [Host(name, self) for name in hosts]

    @property
    def now(self) -> float:
        """Return the simulated time."""
        return round(self.step * STEP, 3)

    @property
    def planners(self) -> list[str]:
        """Return the names of the hosts that run a planner."""
        return [host.name for host in self.hosts if host.plans]

    def host(self, name: str) -> Host:
        """Return a host by its name."""
        return next(host for host in self.hosts if host.name == name)

    def open_groups(self) -> dict[str, tuple[str, ...]]:
        """Return the members of each group that is open and complete, by its name."""
        return {
            item.entry.group.name: members
            for item in self.servers_by_id.values()
            if item.is_open_head
            and len(members := self._members(item.entry.group.epoch)) == SMALL.size
        }

    def run(self, seconds: float) -> None:
        """Advance time."""
        for _ in range(round(seconds / STEP)):
            self._advance()

    def run_until_whole(self, *, within: float) -> float:
        """Advance time until two groups serve; return the seconds that it took."""
        began_at = self.now
        while len(self.open_groups()) < 2:
            assert self.now < began_at + within, "the groups are not repaired"
            self._advance()
        return self.now - began_at

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call something after a while."""
        self._calls.append((self.now + seconds, call))

    def crash(self, server_id: str) -> None:
        """Let a server end and start again at once, in no group."""
        item = self.servers_by_id[server_id]
        self.servers_by_id[server_id] = EmulatedServer(
            entry=server(server_id, staged=item.entry.staged | item.entry.models),
            newest_epoch=-1,
        )
        restarted = self.servers_by_id[server_id]
        restarted.entry = replace(restarted.entry, started_at=2 + self.step)

    def execute(self, order: GroupOrder) -> OrderOutcome | None:
        """Execute an order at a server; return None if it doesn't answer."""
        item = self.servers_by_id[order.server_id]
        report = item.entry.group
        if report is not None and order.kind is OrderKind.JOIN:
            head = self._open_head(report.epoch)
            if report.epoch != order.epoch and head is not None:
                self.faults.append(
                    f"{order.server_id} joins {order.group} at {self.now} while "
                    f"{head} is open in {report.name}"
                )
        is_open = report is not None and self._open_head(report.epoch) is not None
        outcome = item.execute(order, engine=self.engine, now=self.now)
        if order.kind is OrderKind.LEAVE and is_open and item.entry.group is None:
            self.n_left += 1
        return outcome

    def records(self) -> dict[str, GroupRecord]:
        """Return the group records in the store by name."""
        return {record.key: record.value for record in self.store.newest()}

    def _open_head(self, epoch: int) -> str | None:
        return next(
            (
                item.id
                for item in self.servers_by_id.values()
                if item.is_open_head and item.entry.group.epoch == epoch
            ),
            None,
        )

    def _members(self, epoch: int) -> tuple[str, ...]:
        return tuple(
            item.id
            for item in self.servers_by_id.values()
            if item.entry.group is not None and item.entry.group.epoch == epoch
        )

    def _advance(self) -> None:
        self.step += 1
        due = [call for at, call in self._calls if at <= self.now]
        self._calls = [item for item in self._calls if item[0] > self.now]
        for call in due:
            call()
        for item in self.servers_by_id.values():
            item.advance(seconds=STEP, load_speed=1.0, now=self.now)
        for host in self.hosts:
            if not host.is_dead:
                host.flush()
        for host in self.hosts:
            if not host.is_paused and not host.is_dead:
                self._current_host = host
                host.run()
