"""Simulate entry hosts and engine groups whose capacity callers contend for."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from functools import partial

import pytest
from msgspec.structs import replace

from ryelever.coordination.relaying.actions import RelayAttempt, RelayRefusal
from ryelever.state.directory import BackendServer, GroupReport, GroupState
from ryelever.state.routes import RoutedService, RouteKind, RouteTable

from .limited_fleet import (
    LATENCY,
    MESSAGES,
    RECORD_READ_WITHIN,
    LimitedFleet,
    SimulatedClock,
    SimulatedHost,
)
from .test_coordination.test_groups.test_group_forming import ENGINE
from .test_coordination.test_relaying.relay_fakes import route_table

__all__ = ["N_GROUPS", "SLOTS", "ContendedFleet"]

N_HOSTS = 24
N_GROUPS = 12
SLOTS = 15

#: Seconds from the start of a request in a batch to each of its events. The last one
#: ends the request.
EVENTS_AT = (0.1, 0.38, 0.66, 0.95)

#: Requests a second that all groups together can run.
CAPACITY = N_GROUPS * SLOTS / EVENTS_AT[-1]

#: Seconds after which a caller gives up, counted from its first request.
CALLER_PATIENCE = 6.0


def _contended_table() -> RouteTable:
    """Return a configuration with stream routes of two priorities."""
    table = route_table()
    ((host, routes),) = table.routes_by_host.items()
    less_urgent = replace(
        next(route for route in routes if route.kind is RouteKind.STREAM),
        latency_objective=0.3,
    )
    urgent = replace(
        less_urgent, name="urgent", path_prefix="/stream/urgent/", priority=0
    )
    engine = replace(ENGINE, slots=SLOTS)
    service = RoutedService(name="engines", max_connections=0, engine=engine)
    return replace(
        table,
        routes_by_host={host: [urgent, less_urgent]},
        services_by_name={service.name: service},
    )


@dataclass(slots=True, kw_only=True)
class Caller:
    """One request of a caller, which is sent again when an entry host refuses it.

    Attributes
    ----------
    started_at : float or None
        Time at which the request first got a slot; None if it has not got any.
    """

    is_urgent: bool
    arrived_at: float
    started_at: float | None = None

    def had_slot_within(self, seconds: float) -> bool:
        """Return whether the request got a slot within a time from its arrival."""
        return (
            self.started_at is not None and self.started_at - self.arrived_at <= seconds
        )


@dataclass(slots=True, kw_only=True)
class Group:
    """The requests at an engine group, each given by its host and attempt.

    Attributes
    ----------
    sizes : list of (float, int)
        Times of arrivals, and how many requests the group held after each.
    rejected_at : list of float
        Times at which the group rejected a request.
    """

    running: set[tuple[str, str]] = field(default_factory=set)
    queue: deque[tuple[SimulatedHost, RelayAttempt]] = field(default_factory=deque)
    sizes: list[tuple[float, int]] = field(default_factory=list)
    rejected_at: list[float] = field(default_factory=list)

    @property
    def size(self) -> int:
        """Return how many requests the group holds."""
        return len(self.running) + len(self.queue)

    def max_size(self, start: float, end: float) -> int:
        """Return the largest number of requests held between two times."""
        return max((size for at, size in self.sizes if start <= at < end), default=0)


class ContendedFleet(LimitedFleet):
    """Run 24 hosts of one zone before engine groups that queue or reject requests.

    A group runs up to ``SLOTS`` requests at once, queues as many more, and rejects
    requests beyond that.  A refused caller returns after the time that the refusal
    states, at any host, until its time is over.

    Parameters
    ----------
    load : float
        New requests a second as a ratio of the capacity of all groups.
    n_open : int
        Number of groups that are open from the start.

    Attributes
    ----------
    callers : list of Caller
        All callers in the order of their first requests.
    groups_by_id : dict of str to Group
        Groups by the id of their heads.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        *,
        load: float,
        n_open: int = N_GROUPS,
        seed: int = 1,
    ) -> None:
        clock = SimulatedClock()
        monkeypatch.setattr("ryelever.host_exchange.time", clock)
        self.callers: list[Caller] = []
        self.groups_by_id: dict[str, Group] = {}
        self._callers_by_number: dict[int, Caller] = {}
        self._n_open = n_open
        super().__init__(
            clock=clock,
            n_hosts_by_zone={"z": N_HOSTS},
            n_servers_by_zone={"z": N_GROUPS},
            rate=load * CAPACITY,
            seed=seed,
        )
        table = _contended_table()
        assert table.is_contended("engines")
        for host in self.hosts.values():
            host.route_table = table

    def set_load(self, load: float) -> None:
        """Set the new requests a second as a ratio of the capacity of all groups."""
        rate = load * CAPACITY / len(self.hosts)
        self.rate_by_host = dict.fromkeys(self.hosts, rate)

    def open_group(self, server_id: str) -> None:
        """Open a group; hosts read its record at different times."""
        server = _open(self.servers[server_id].server)
        for host in self.hosts.values():
            delay = self._random.uniform(0.0, RECORD_READ_WITHIN)
            self.at(self.now + delay, partial(self._read_open, host, server))

    def max_size(self, start: float, end: float) -> int:
        """Return the most requests that one group held between two times."""
        return max(group.max_size(start, end) for group in self.groups_by_id.values())

    def share_with_slot(self, start: float, end: float, *, within: float) -> float:
        """Return the share of new requests that got a slot within a time.

        Parameters
        ----------
        start, end : float
            Times between which the counted requests arrived.
        """
        new = [caller for caller in self.callers if start <= caller.arrived_at < end]
        return sum(caller.had_slot_within(within) for caller in new) / len(new)

    def rejected_share(self, start: float, end: float) -> float:
        """Return the share of the requests at all groups that were rejected."""
        groups = self.groups_by_id.values()
        n_rejected = sum(start <= at < end for g in groups for at in g.rejected_at)
        n_held = sum(start <= at < end for g in groups for at, _ in g.sizes)
        return n_rejected / (n_rejected + n_held)

    # Callers

    def _send_new(self, host: SimulatedHost) -> None:
        caller = Caller(is_urgent=self._random.random() < 0.5, arrived_at=self.now)
        self.callers.append(caller)
        self._send(caller, host)

    def _send(self, caller: Caller, host: SimulatedHost) -> None:
        number = next(self._numbers)
        self._callers_by_number[number] = caller
        host.arrive(
            RouteKind.STREAM,
            number=number,
            now=self.now,
            path="urgent/1" if caller.is_urgent else "1",
            time_limit=caller.arrived_at + CALLER_PATIENCE - self.now,
        )

    def refused(self, host: SimulatedHost, number: int, refusal: RelayRefusal) -> None:
        super().refused(host, number, refusal)
        caller = self._callers_by_number[number]
        if refusal.retry_after is None:
            return
        returns_at = self.now + refusal.retry_after
        if returns_at < caller.arrived_at + CALLER_PATIENCE:
            other = self._random.choice(list(self.hosts.values()))
            self.at(returns_at, partial(self._send, caller, other))

    # Groups

    def _described(self, name: str, *, zone: str) -> BackendServer:
        server = replace(
            super()._described(name, zone=zone), service="engines", slots=SLOTS
        )
        is_open = len(self.groups_by_id) < self._n_open
        self.groups_by_id[name] = Group()
        return _open(server) if is_open else server

    def _read_open(self, host: SimulatedHost, server: BackendServer) -> None:
        self._read(host, server)
        host.requests.dispatch_waiting(now=self.now)

    def _arrive(self, host: SimulatedHost, attempt: RelayAttempt) -> None:
        group = self.groups_by_id[attempt.server_id]
        if group.size >= 2 * SLOTS:
            group.rejected_at.append(self.now)
            self._refuse(host, attempt)
            return
        group.queue.append((host, attempt))
        group.sizes.append((self.now, group.size))
        self._fill(group)

    def cancelled(self, host: SimulatedHost, attempt_id: str) -> None:
        self.at(self.now + LATENCY, partial(self._drop, host, attempt_id))

    def _drop(self, host: SimulatedHost, attempt_id: str) -> None:
        for group in self.groups_by_id.values():
            group.running.discard((host.name, attempt_id))
            for item in list(group.queue):
                if item[0] is host and item[1].id == attempt_id:
                    group.queue.remove(item)
            self._fill(group)

    def _fill(self, group: Group) -> None:
        """Start queued requests while the group has free slots."""
        while group.queue and len(group.running) < SLOTS:
            item = min(group.queue, key=lambda item: item[1].priority)
            group.queue.remove(item)
            host, attempt = item
            group.running.add((host.name, attempt.id))
            caller = self._callers_by_number[attempt.request_number]
            if caller.started_at is None:
                caller.started_at = self.now
            for event_id, seconds in enumerate(EVENTS_AT, start=1):
                action = partial(self._proceed, host, attempt, event_id)
                self.at(self.now + seconds, action)

    def _proceed(
        self, host: SimulatedHost, attempt: RelayAttempt, event_id: int
    ) -> None:
        """Send an event of a running request, and end the request after the last."""
        group = self.groups_by_id[attempt.server_id]
        if (host.name, attempt.id) not in group.running:
            return
        self.at(self.now + LATENCY, partial(self._receive, host, attempt, event_id))
        if event_id == len(EVENTS_AT):
            group.running.discard((host.name, attempt.id))
            self._fill(group)

    def _receive(
        self, host: SimulatedHost, attempt: RelayAttempt, event_id: int
    ) -> None:
        if event_id == 1:
            headers = [
                (b"request-id", f"r{attempt.request_number}".encode()),
                (b"response-seal", b"s"),
            ]
            answer = MESSAGES.decode_answer_head(200, headers)
            host.requests.answer_head(attempt.id, answer, now=self.now)
        host.events(attempt, event_id, now=self.now)
        if event_id == len(EVENTS_AT):
            host.requests.answer_end(attempt.id, cut=False, now=self.now)


def _open(server: BackendServer) -> BackendServer:
    """Return the record of a server that has become the head of an open group."""
    group = GroupReport(name=server.id, epoch=1, rank=0, state=GroupState.OPEN)
    return replace(server, models=frozenset({"large"}), group=group)
