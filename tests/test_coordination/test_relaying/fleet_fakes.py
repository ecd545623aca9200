"""Simulate the entry hosts of a zone that share groups of one model, for tests."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, deque

import msgspec

from ryelever.coordination.relaying.balance import Balancer
from ryelever.relay_settings import ContentionMode
from ryelever.state.observations import WaitingRow
from ryelever.state.routes import RouteKind

from .relay_fakes import Relaying, contended_table, head

__all__ = ["Fleet", "Outcome"]

#: Seconds between two steps, which are also the ticks.
STEP = 0.05

#: Seconds between two heartbeats of a host.
INTERVAL = 0.4

#: Seconds until a heartbeat is read.
TRANSIT_TIME = 0.1

#: Requests in flight by server, and requests that wait.
Report = tuple[dict[str, int], tuple[WaitingRow, ...]]


class Outcome(msgspec.Struct, kw_only=True):
    """What became of a request: the seconds until it was run, or until its refusal."""

    key: str
    arrived_at: float
    started_after: float | None = None
    refused_after: float | None = None
    retry_after: float | None = None


class Fleet:
    """Hosts that hear of each other's requests every ``INTERVAL`` seconds.

    A group runs as many requests as it has slots, each for ``duration`` seconds, and
    queues the others.

    Attributes
    ----------
    most_at_group : Counter
        Most requests that were ever at each group at once.
    n_idle : float
        Slot-seconds that groups were idle while requests waited at hosts.
    """

    def __init__(
        self,
        *,
        n_hosts: int,
        n_groups: int,
        slots: int = 10,
        duration: float = 1.0,
        contention: ContentionMode = ContentionMode.ON,
    ) -> None:
        self.now = 0.0
        self.slots = slots
        self.duration = duration
        self.hosts = [
            Relaying(n_servers=0, slots=slots, seed=seed, contention=contention)
            for seed in range(n_hosts)
        ]
        for host in self.hosts:
            host.route_table = contended_table()
        self.outcomes: list[Outcome] = []
        self.most_at_group: Counter[str] = Counter()
        self.n_idle = 0.0
        self._queues: dict[str, list[tuple[int, int, int, str, int]]] = {}
        self._running: dict[str, list[tuple[float, int, str]]] = {}
        self._order = itertools.count()
        self._n_taken = [0] * n_hosts
        self._n_seen = [0] * n_hosts
        self._in_transit: deque[tuple[float, int, Report]] = deque()
        self._reports_by_host: dict[int, Report] = {}
        for host in self.hosts:
            host.balancer.set_heartbeat_interval(
                interval=INTERVAL, n_zone_peers=n_hosts - 1, n_hosts=n_hosts
            )
        for _ in range(n_groups):
            self.open_group()

    def open_group(self) -> str:
        """Open a group, of which all hosts learn at once."""
        name = f"h{len(self._queues)}"
        self._queues[name] = []
        self._running[name] = []
        for host in self.hosts:
            host.directory.put(host.engine_head(name), now=self.now)
        return name

    def arrive(self, host: int, *, key: str = "key", time_limit: float = 6.0) -> int:
        """Deliver a request of a caller to a host, and return its number."""
        number = len(self.outcomes)
        self.outcomes.append(Outcome(key=key, arrived_at=self.now))
        self.hosts[host].arrive(
            RouteKind.STREAM,
            number=number,
            now=self.now,
            key=key,
            time_limit=time_limit,
        )
        return number

    @property
    def n_groups(self) -> int:
        """Return the number of open groups."""
        return len(self._queues)

    def n_waiting(self) -> int:
        """Return how many requests wait at all hosts."""
        rows = (row for host in self.hosts for row in host.requests.waiting_rows())
        return sum(row.count for row in rows)

    def step(self) -> None:
        """Take what the hosts sent, run the groups, and tick all hosts."""
        self._take_sent()
        self._run_groups()
        self.now += STEP
        self._exchange_heartbeats()
        for host in self.hosts:
            host.requests.tick(now=self.now)
        self._take_refusals()
        if self.n_waiting():
            n_free = (self.slots - len(running) for running in self._running.values())
            self.n_idle += STEP * sum(n_free)

    def _take_sent(self) -> None:
        for index, host in enumerate(self.hosts):
            for attempt in host.sent[self._n_taken[index] :]:
                number = attempt.request_number
                item = (attempt.priority, next(self._order), index, attempt.id, number)
                heapq.heappush(self._queues[attempt.server_id], item)
            self._n_taken[index] = len(host.sent)

    def _run_groups(self) -> None:
        for name, queue in self._queues.items():
            running = self._running[name]
            self.most_at_group[name] = max(
                self.most_at_group[name], len(queue) + len(running)
            )
            for item in list(running):
                ends_at, index, attempt_id = item
                host = self.hosts[index]
                if ends_at <= self.now:
                    host.requests.answer_end(attempt_id, cut=False, now=self.now)
                if ends_at <= self.now or attempt_id in host.cancelled:
                    running.remove(item)
                else:
                    self._write_event(host, attempt_id)
            while queue and len(running) < self.slots:
                *_, index, attempt_id, number = heapq.heappop(queue)
                if attempt_id not in self.hosts[index].cancelled:
                    self._start(self.hosts[index], attempt_id, number)
                    running.append((self.now + self.duration, index, attempt_id))

    def _start(self, host: Relaying, attempt_id: str, number: int) -> None:
        outcome = self.outcomes[number]
        outcome.started_after = self.now - outcome.arrived_at
        requests = host.requests
        requests.answer_head(attempt_id, head(f"r{number}"), now=self.now)
        self._write_event(host, attempt_id)

    def _write_event(self, host: Relaying, attempt_id: str) -> None:
        event = (str(round(self.now / STEP)), b"\n\n")
        host.requests.answer_events(attempt_id, [event], now=self.now)

    def _exchange_heartbeats(self) -> None:
        n_ticks = round(INTERVAL / STEP)
        for index, host in enumerate(self.hosts):
            if (round(self.now / STEP) + index) % n_ticks == 0:
                records = host.balancer.records_by_id
                loads = {name: record.in_flight for name, record in records.items()}
                report = (loads, host.requests.waiting_rows())
                self._in_transit.append((self.now + TRANSIT_TIME, index, report))
        while self._in_transit and self._in_transit[0][0] <= self.now:
            _, index, report = self._in_transit.popleft()
            self._reports_by_host[index] = report
        for index, host in enumerate(self.hosts):
            self._hear_peers(index, host.balancer)

    def _hear_peers(self, index: int, balancer: Balancer) -> None:
        loads: Counter[str] = Counter()
        rows: list[WaitingRow] = []
        for peer, (peer_loads, peer_rows) in self._reports_by_host.items():
            if peer != index:
                rows.extend(peer_rows)
                for name, in_flight in peer_loads.items():
                    loads[name] += in_flight
        balancer.peers_in_flight_by_id = loads
        balancer.peers_waiting = tuple(rows)

    def _take_refusals(self) -> None:
        for index, host in enumerate(self.hosts):
            for kind, number, *rest in host.out[self._n_seen[index] :]:
                if kind == "refuse":
                    outcome = self.outcomes[number]
                    outcome.refused_after = self.now - outcome.arrived_at
                    outcome.retry_after = rest[1]
            self._n_seen[index] = len(host.out)
