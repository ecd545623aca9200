"""Simulate entry hosts and backend servers that limit requests, without a network."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from msgspec.structs import replace

from ryelever.coordination.host_heartbeats import (
    HostAddress,
    HostHeartbeat,
    HostHeartbeats,
)
from ryelever.coordination.relaying.actions import RelayAttempt, RelayRefusal
from ryelever.events import Datagram
from ryelever.host_exchange import HEARTBEAT_INTERVAL, HostExchange
from ryelever.platform.messages import PlatformMessages
from ryelever.state.directory import BackendServer
from ryelever.state.routes import RouteKind

from .test_coordination.test_relaying.relay_fakes import Relaying
from .test_fleet_directory import settings_of

__all__ = [
    "COLD_RATE",
    "LATENCY",
    "LimitedFleet",
    "LimitedServer",
    "MESSAGES",
    "RECORD_READ_WITHIN",
    "SimulatedClock",
    "SimulatedHost",
    "fleet_of_three_zones",
    "max_within",
]

MESSAGES = PlatformMessages()

#: One-way latency in seconds from a host to a backend server or to another host.
LATENCY = 0.002

#: Requests a second that a cold server can handle.
COLD_RATE = 17.0

#: Seconds within which all hosts have read a server's record.
RECORD_READ_WITHIN = 0.4

#: Seconds between two passes of a host over its waiting requests.
TICK = 0.05


def max_within(times: list[float], *, window: float) -> int:
    """Return the maximum number of sorted times that lie within one window."""
    first = 0
    n_max = 0
    for index, at in enumerate(times):
        while times[first] < at - window:
            first += 1
        n_max = max(n_max, index - first + 1)
    return n_max


@dataclass(slots=True, kw_only=True)
class LimitedServer:
    """Backend server, and the requests that reached it.

    Attributes
    ----------
    seconds : float
        Time that the server takes for each request.
    limit : str or None
        Value of the rate limit header in the server's answers; None for no header.
    arrivals : list of (float, str)
        Arrival times of requests, and the hosts that sent them.
    limit_known_at_by_host : dict of str to float
        Time at which each host first received an answer that contains a limit.
    leaving : bool
        True if the server's answers state that it is leaving.
    leaving_known_at_by_host : dict of str to float
        Time at which each host first received such an answer.
    pause : str or None
        Pause that the server asks for when it refuses a request; None if the server
        accepts requests.
    pauses : list of (float, str, float)
        Times of the refusals, the hosts whose requests were refused, and the seconds
        for which the server asked them for a pause.
    """

    server: BackendServer
    seconds: float = 0.3
    limit: str | None = None
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    limit_known_at_by_host: dict[str, float] = field(default_factory=dict)
    leaving: bool = False
    leaving_known_at_by_host: dict[str, float] = field(default_factory=dict)
    pause: str | None = None
    pauses: list[tuple[float, str, float]] = field(default_factory=list)

    def arrivals_from_informed_hosts(self, *, after: float) -> list[float]:
        """Return arrival times of requests from hosts that had known a limit for 0.5 s.

        Parameters
        ----------
        after : float
            Time before which arrivals are left out.
        """
        never = float("inf")
        return [
            at
            for at, host in self.arrivals
            if at >= after and at >= self.limit_known_at_by_host.get(host, never) + 0.5
        ]

    def n_after_leaving(self, *, after: float) -> int:
        """Return how many requests came from hosts that knew that the server leaves.

        Parameters
        ----------
        after : float
            Seconds from the first such answer; earlier requests are left out.
        """
        never = float("inf")
        return sum(
            at > self.leaving_known_at_by_host.get(host, never) + after
            for at, host in self.arrivals
        )

    def max_during_pause(self, *, after: float) -> int:
        """Return the most requests that a host sent within one pause.

        Parameters
        ----------
        after : float
            Seconds from the start of a pause; earlier requests are left out.
        """
        return max(
            sum(
                start + after <= at <= start + seconds
                for at, sender in self.arrivals
                if sender == host
            )
            for start, host, seconds in self.pauses
        )

    def n_between(self, start: float, end: float) -> int:
        """Return the number of requests that arrived between two times."""
        return sum(start <= at < end for at, _ in self.arrivals)


class SimulatedClock:
    """Replace the module ``time`` with a simulated clock."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return self.now


class SimulatedHost(Relaying):
    """Simulate one entry host: its relaying decisions and its host exchange."""

    def __init__(self, *, fleet: LimitedFleet, name: str, zone: str, seed: int) -> None:
        heartbeats = HostHeartbeats(host=name, zone=zone)
        super().__init__(
            n_servers=0,
            slots=6,
            zone=zone,
            cold_rate=COLD_RATE,
            seed=seed,
            peers_reported_since=heartbeats.have_reported_since,
            turn=heartbeats.turn,
        )
        self.name = name
        self.zone = zone
        self._fleet = fleet
        self.exchange = HostExchange(
            settings=settings_of(name, zone=zone),
            heartbeats=heartbeats,
            balancer=self.balancer,
            stall_watch=self.stall_watch,
            crashes=self.crashes,
            describe=self._describe,
            on_heartbeat=lambda heartbeat: None,
            waiting_rows=self.requests.waiting_rows,
            arrival_rate=self.requests.arrival_rate,
        )
        self.exchange.fire = self._fired

    def _describe(self) -> HostHeartbeat:
        return HostHeartbeat(
            host=self.name,
            availability_zone=self.zone,
            address=self.name,
            reads_store=True,
            stopping=False,
            configuration_version=1,
            suspicions=self.crashes.announced(now=self._fleet.now),
        )

    def _fired(self, event: object, channel: str) -> None:
        if channel == "peers":
            for datagram in event.args[0]:
                self._fleet.deliver(self, datagram)

    def send(self, attempt: RelayAttempt) -> None:
        super().send(attempt)
        self._fleet.sent(self, attempt)

    def refuse(self, request_number: int, refusal: RelayRefusal) -> None:
        super().refuse(request_number, refusal)
        self._fleet.refused(self, request_number, refusal)

    def cancel(self, attempt_id: str) -> None:
        super().cancel(attempt_id)
        self._fleet.cancelled(self, attempt_id)


class LimitedFleet:
    """Run entry hosts, callers and backend servers on a simulated clock.

    Parameters
    ----------
    clock : SimulatedClock
        Clock that the hosts read.
    n_hosts_by_zone : dict of str to int
        Number of entry hosts by availability zone.
    n_servers_by_zone : dict of str to int
        Number of backend servers by availability zone.
    rate : float
        Requests a second of all hosts together.

    Attributes
    ----------
    lost : callable
        Return whether datagrams from one host to another are lost now.
    rate_by_host : dict of str to float
        Requests a second at each host.
    refusals : list of (float, str, RelayRefusal)
        Time, host and answer of each refused request.
    """

    def __init__(
        self,
        *,
        clock: SimulatedClock,
        n_hosts_by_zone: dict[str, int],
        n_servers_by_zone: dict[str, int],
        rate: float,
        seed: int = 1,
    ) -> None:
        self._clock = clock
        self.lost: Callable[[SimulatedHost, SimulatedHost], bool] = (
            lambda sender, receiver: False
        )
        self.refusals: list[tuple[float, str, RelayRefusal]] = []
        self.servers: dict[str, LimitedServer] = {}
        self.hosts: dict[str, SimulatedHost] = {}
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        for zone, count in n_servers_by_zone.items():
            for index in range(count):
                self._add_server(f"{zone}-server-{index}", zone=zone)
        for zone, count in n_hosts_by_zone.items():
            for index in range(count):
                self._add_host(f"{zone}-host-{index}", zone=zone)
        self.rate_by_host = dict.fromkeys(self.hosts, rate / len(self.hosts))

    @property
    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self._clock.now

    def run(self, until: float) -> None:
        """Carry out all actions that are due up to a time."""
        while self._due and self._due[0][0] <= until:
            self._clock.now, _, action = heapq.heappop(self._due)
            action()
        self._clock.now = until

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._due, (when, next(self._order), action))

    def return_cold(self, name: str, *, seconds: float) -> None:
        """Bring a lost server back as cold; hosts read its record at different times.

        Parameters
        ----------
        seconds : float
            Time for which the server stays cold.
        """
        cold = replace(self.servers[name].server, cold_for=seconds, started_at=1)
        warm = replace(cold, cold_for=0.0)
        for host in self.hosts.values():
            delay = self._random.uniform(0.0, RECORD_READ_WITHIN)
            self.at(self.now + delay, lambda host=host: self._read(host, cold))
            delay += seconds
            self.at(self.now + delay, lambda host=host: self._read(host, warm))

    def _read(self, host: SimulatedHost, server: BackendServer) -> None:
        host.directory.put(server, now=self.now)

    def renew(self, name: str) -> None:
        """Apply a renewed record of a server, not draining, on all hosts."""
        item = self.servers[name]
        item.server = replace(item.server, slots=item.server.slots + 1)
        for host in self.hosts.values():
            self._read(host, item.server)

    def lose(self, name: str) -> None:
        """Remove a server from the directories of all hosts."""
        for host in self.hosts.values():
            host.directory.remove(name, last_renewed_at=self.now)

    def deliver(self, sender: SimulatedHost, datagram: Datagram) -> None:
        """Deliver a datagram to another host, unless it is lost."""
        receiver = self.hosts[datagram.address]
        if self.lost(sender, receiver):
            return
        message = Datagram(address=sender.name, data=datagram.data)
        receive = receiver.exchange._on_received
        self.at(self.now + LATENCY, lambda: receive([message]))

    def refused(self, host: SimulatedHost, number: int, refusal: RelayRefusal) -> None:
        """Record a refusal that a host sends to a caller."""
        self.refusals.append((self.now, host.name, refusal))

    def cancelled(self, host: SimulatedHost, attempt_id: str) -> None:
        """Handle the end of an attempt whose answer a host no longer needs."""

    def sent(self, host: SimulatedHost, attempt: RelayAttempt) -> None:
        """Deliver a request to its backend server, which will answer the host."""
        self.at(self.now + LATENCY, lambda: self._arrive(host, attempt))

    def _add_server(self, name: str, *, zone: str) -> None:
        self.servers[name] = LimitedServer(server=self._described(name, zone=zone))

    def _described(self, name: str, *, zone: str) -> BackendServer:
        """Return the record of a server at the start."""
        return BackendServer(
            id=name,
            service="plain",
            address=f"{name}:80",
            availability_zone=zone,
            slots=6,
            draining=False,
        )

    def _add_host(self, name: str, *, zone: str) -> None:
        seed = len(self.hosts) + 1
        host = self.hosts[name] = SimulatedHost(
            fleet=self, name=name, zone=zone, seed=seed
        )
        for item in self.servers.values():
            host.directory.put(item.server, now=0.0)
        for other in self.hosts.values():
            _introduce(host, other)
            _introduce(other, host)
        self._every(HEARTBEAT_INTERVAL, host.exchange._on_tick)
        self._every(TICK, lambda: host.requests.tick(now=self.now))
        self.at(0.5, lambda: self._call(host))

    def _every(self, interval: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.at(self.now + interval, again)

        self.at(self._random.uniform(0.0, interval), again)

    def _call(self, host: SimulatedHost) -> None:
        """Send a caller's request to a host, and schedule the next request."""
        rate = self.rate_by_host[host.name]
        if rate:
            self._send_new(host)
        pause = self._random.expovariate(rate) if rate else 0.1
        self.at(self.now + pause, lambda: self._call(host))

    def _send_new(self, host: SimulatedHost) -> None:
        number = next(self._numbers)
        host.arrive(RouteKind.IDEMPOTENT, number=number, now=self.now)

    def _arrive(self, host: SimulatedHost, attempt: RelayAttempt) -> None:
        server = self.servers[attempt.server_id]
        server.arrivals.append((self.now, host.name))
        if server.pause is not None:
            server.pauses.append((self.now, host.name, float(server.pause)))
            self._refuse(host, attempt, pause=server.pause)
            return
        self.at(self.now + server.seconds, lambda: self._answer(host, attempt))

    def _refuse(
        self, host: SimulatedHost, attempt: RelayAttempt, *, pause: str | None = None
    ) -> None:
        headers = [
            (b"request-id", f"r{attempt.request_number}".encode()),
            (b"not-executed", b"1"),
        ]
        if pause is not None:
            headers.append((b"retry-after", pause.encode()))
        answer = MESSAGES.decode_answer_head(503, headers)
        self.at(
            self.now + LATENCY,
            lambda: host.requests.answer_head(attempt.id, answer, now=self.now),
        )

    def _answer(self, host: SimulatedHost, attempt: RelayAttempt) -> None:
        server = self.servers[attempt.server_id]
        headers = [
            (b"request-id", f"r{attempt.request_number}".encode()),
            (b"response-seal", b"s"),
        ]
        if server.limit is not None:
            headers.append((b"server-limit", server.limit.encode()))
        if server.leaving:
            headers.append((b"server-leaving", b"1"))
        self.at(
            self.now + LATENCY, lambda: self._deliver_answer(host, attempt, headers)
        )

    def _deliver_answer(
        self,
        host: SimulatedHost,
        attempt: RelayAttempt,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        server = self.servers[attempt.server_id]
        if server.limit is not None:
            server.limit_known_at_by_host.setdefault(host.name, self.now)
        if (b"server-leaving", b"1") in headers:
            server.leaving_known_at_by_host.setdefault(host.name, self.now)
        answer = MESSAGES.decode_answer_head(200, headers)
        host.requests.answer_head(attempt.id, answer, now=self.now)
        host.requests.answer_end(attempt.id, cut=False, now=self.now)


def fleet_of_three_zones(
    monkeypatch: pytest.MonkeyPatch, *, rate: float
) -> LimitedFleet:
    """Return seven hosts in three zones, with two servers in each zone.

    Parameters
    ----------
    rate : float
        Requests a second of all hosts together.
    """
    clock = SimulatedClock()
    monkeypatch.setattr("ryelever.host_exchange.time", clock)
    return LimitedFleet(
        clock=clock,
        n_hosts_by_zone={"x": 3, "y": 2, "z": 2},
        n_servers_by_zone={"x": 2, "y": 2, "z": 2},
        rate=rate,
    )


def _introduce(host: SimulatedHost, other: SimulatedHost) -> None:
    """Record another host's address at a host."""
    address = HostAddress(
        host=other.name, address=other.name, availability_zone=other.zone
    )
    host.exchange._heartbeats.addresses_by_host[other.name] = address
