"""Simulate streams, and one that crashes servers, while servers are suspended."""

from __future__ import annotations

from functools import partial

import pytest
from msgspec.structs import replace

from ryelever.coordination.relaying.actions import RelayAttempt
from ryelever.state.directory import BackendServer, GroupReport, GroupState
from ryelever.state.routes import RouteKind

from .crashing_fleet import CALLER_PATIENCE, CRASH_DELAY, Caller, CrashingFleet
from .limited_fleet import LATENCY, SimulatedHost
from .test_coordination.test_relaying.relay_fakes import head

__all__ = ["SuspendedFleet"]

#: Events of a stream, and the seconds between them.
N_EVENTS = 9
EVENT_INTERVAL = 0.1

#: Attempts that the stream route allows.
MAX_ATTEMPTS = 3

#: Ranges of the seconds for which the servers of a zone are suspended, and of those
#: between two suspensions.
SUSPENDED_FOR = (1.0, 1.5)
RESUMED_FOR = (0.1, 1.0)


class SuspendedFleet(CrashingFleet):
    """Run hosts whose streams go on after their servers were suspended.

    A suspended server sends nothing, and goes on with all that it has received.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        *,
        load: float,
        n_servers: int = 3,
        seed: int = 1,
    ) -> None:
        self._suspended_until_by_id: dict[str, float] = {}
        super().__init__(monkeypatch, load=load, n_servers=n_servers, seed=seed)

    def start_suspensions(self, *, at: float) -> None:
        """Suspend the servers of one zone after the other from a time on."""
        self.at(at, self._suspend_zone)

    def _suspend_zone(self) -> None:
        zone = self._random.choice(["x", "y", "z"])
        resumed_at = self.now + self._random.uniform(*SUSPENDED_FOR)
        for name, item in self.servers.items():
            if item.server.availability_zone == zone:
                self._suspended_until_by_id[name] = resumed_at
        pause = self._random.uniform(*RESUMED_FOR)
        self.at(resumed_at + pause, self._suspend_zone)

    def _described(self, name: str, *, zone: str) -> BackendServer:
        return replace(
            super()._described(name, zone=zone),
            service="engines",
            models=frozenset({"large"}),
            group=GroupReport(name=name, epoch=1, rank=0, state=GroupState.OPEN),
        )

    def _add_host(self, name: str, *, zone: str) -> None:
        super()._add_host(name, zone=zone)
        table = self.hosts[name].route_table
        routes_by_host = {
            key: [replace(route, max_attempts=MAX_ATTEMPTS) for route in routes]
            for key, routes in table.routes_by_host.items()
        }
        self.hosts[name].route_table = replace(table, routes_by_host=routes_by_host)

    def _send(self, caller: Caller, host: SimulatedHost) -> None:
        number = next(self._numbers)
        self._callers_by_number[number] = caller
        host.arrive(
            RouteKind.STREAM,
            number=number,
            now=self.now,
            content=caller.content,
            time_limit=min(CALLER_PATIENCE, caller.gives_up_at - self.now),
            parts=caller.parts,
        )

    # Servers

    def _arrive(self, host: SimulatedHost, attempt: RelayAttempt) -> None:
        server_id = attempt.server_id
        if server_id in self._gone:
            self._fail(host, attempt.id, sent=False)
            return
        self._running_by_id.setdefault(server_id, set()).add((host.name, attempt.id))
        if self._callers_by_number[attempt.request_number].is_poison:
            self.poison_arrivals.append(self.now)
            begin = partial(self._begin_poison, server_id)
        else:
            next_event = int(attempt.last_event_id or "0") + 1
            begin = partial(self._run, host, attempt, next_event)
        self.at(self._resumed_at(server_id), begin)

    def _resumed_at(self, server_id: str) -> float:
        return max(self.now, self._suspended_until_by_id.get(server_id, 0.0))

    def _begin_poison(self, server_id: str) -> None:
        self.at(self.now + CRASH_DELAY, partial(self._crash_by_poison, server_id))

    def _crash_by_poison(self, server_id: str) -> None:
        resumed_at = self._resumed_at(server_id)
        if resumed_at > self.now:
            self.at(resumed_at, partial(self._crash_by_poison, server_id))
        else:
            super()._crash_by_poison(server_id)

    def _run(self, host: SimulatedHost, attempt: RelayAttempt, number: int) -> None:
        """Send the next event of a stream, or its end."""
        server_id = attempt.server_id
        running = self._running_by_id.get(server_id, set())
        if (host.name, attempt.id) not in running:
            return
        resumed_at = self._resumed_at(server_id)
        if resumed_at > self.now:
            self.at(resumed_at, partial(self._run, host, attempt, number))
            return
        self.at(self.now + LATENCY, partial(self._deliver, host, attempt, number))
        if number <= N_EVENTS:
            again = partial(self._run, host, attempt, number + 1)
            self.at(self.now + EVENT_INTERVAL, again)
        else:
            running.remove((host.name, attempt.id))

    def _deliver(self, host: SimulatedHost, attempt: RelayAttempt, number: int) -> None:
        requests = host.requests
        if not requests.is_streaming(attempt.id):
            found = head(f"r{attempt.request_number}")
            requests.answer_head(attempt.id, found, now=self.now)
        if number <= N_EVENTS:
            host.events(attempt, number, now=self.now)
        else:
            requests.answer_end(attempt.id, cut=False, now=self.now)

    def _replace(self, server_id: str) -> None:
        former = self.servers[server_id].server
        name = f"replacement-{next(self._server_numbers)}"
        self._add_server(name, zone=former.availability_zone)
        server = self.servers[name].server
        for host in self.hosts.values():
            self._read(host, server)
