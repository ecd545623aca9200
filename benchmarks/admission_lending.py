"""Measure how entry hosts share the capacity of the same engines under uneven load.

Runs in one process and in simulated time, with the decision code of an entry host:
``FairAdmission``, ``GroupCapacity`` and ``AccountLimits``.  Engine reports and demand
rows of other hosts arrive as late as at a real entry host.  The cases range from one
host with all the load to an even spread::

    .venv/bin/python -m benchmarks.admission_lending
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

import defopt

from ryelever.coordination.actions import Arrival, ChatWork, Target
from ryelever.coordination.admission.admission import Admitted, Refused
from ryelever.coordination.admission.capacity import GroupCapacity
from ryelever.coordination.admission.fair_admission import FairAdmission
from ryelever.coordination.confirmation import Confirmations
from ryelever.coordination.limits.limits import AccountLimits
from ryelever.state.configuration import ClientAccount
from ryelever.state.fleet import HostReport

from .admission import percentile

#: Seconds between two ticks.
TICK = 0.05

#: Seconds between two demand rows of a host, and seconds until a row arrives.
ROW_INTERVAL = 1.0
ROW_LAG = 1.0

#: Requests that one group runs at a time.
BATCH = 16

ACCOUNT = ClientAccount(key_hash="", share=1.0, rate=1e6, concurrency=10**6)


@dataclass(slots=True, kw_only=True)
class _Group:
    """Requests that a group runs, and requests in the engine's own queue."""

    running: set[str] = field(default_factory=set)
    queued: list[str] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class _Host:
    """Admission state of one entry host.

    ``others_by_group`` is the load that other hosts put on each group.
    """

    name: str
    limits: AccountLimits
    confirmations: Confirmations
    admission: FairAdmission
    n_in_flight_by_group: list[int]
    others_by_group: list[int]
    waiting: set[str] = field(default_factory=set)


@dataclass(slots=True, kw_only=True)
class _Request:
    """One request, its entry host and its group; ``service`` in seconds."""

    arrival: Arrival
    host: int
    service: float
    group: int = -1


@dataclass(slots=True, kw_only=True)
class _Phase:
    """Waits and totals of one phase.

    ``idle`` and ``in_engine_queues`` are integrals over time: slot-seconds free while
    requests wait at an entry host, and request-seconds in engine queues.
    """

    waits: list[float] = field(default_factory=list)
    n_refused: int = 0
    idle: float = 0.0
    in_engine_queues: float = 0.0
    seconds: float = 0.0


class Driver:
    """Simulate the entry hosts and the engines.

    Parameters
    ----------
    n_hosts, n_groups : int
        Entry hosts, and groups of backend servers behind them.
    report_interval : float
        Seconds between two polls of a group by one entry host.
    mean_service : float
        Mean seconds of a request.
    """

    def __init__(
        self,
        *,
        n_hosts: int,
        n_groups: int,
        report_interval: float,
        mean_service: float,
        seed: int,
    ) -> None:
        self.now = 0.0
        self._random = random.Random(seed)
        self._report_interval = report_interval
        self._mean_service = mean_service
        self._ids = itertools.count()
        self._requests: dict[str, _Request] = {}
        self._ends: list[tuple[float, str]] = []
        self._rows: list[tuple[float, int, int, int, list]] = []
        self._groups = [_Group() for _ in range(n_groups)]
        self._targets = [
            Target(name=f"g{index}", address="", hosts=(f"b{index}",))
            for index in range(n_groups)
        ]
        self._hosts = [self._host(index, n_hosts) for index in range(n_hosts)]
        self._poll_due_at = [
            self._random.uniform(0, report_interval) for _ in self._hosts
        ]
        self._row_due_at = [self._random.uniform(0, ROW_INTERVAL) for _ in self._hosts]
        for index in range(n_hosts):
            self._report(index)

    def _host(self, index: int, n_hosts: int) -> _Host:
        limits = AccountLimits(n_hosts=lambda: n_hosts)
        confirmations = Confirmations(max_age=1e9)
        capacity = GroupCapacity(
            targets=lambda arrival, now: self._targets,
            confirmations=confirmations,
            batch_size=lambda: BATCH,
            n_hosts=lambda: n_hosts,
            n_hosts_waiting=lambda now: limits.n_hosts_waiting(now=now),
        )
        return _Host(
            name=f"host-{index}",
            limits=limits,
            confirmations=confirmations,
            admission=FairAdmission(
                capacity=capacity, account={"a": ACCOUNT}.get, limits=limits
            ),
            n_in_flight_by_group=[0] * len(self._groups),
            others_by_group=[0] * len(self._groups),
        )

    def run(self, *, until: float, per_second: list[float]) -> _Phase:
        """Simulate until a time, given the arrivals a second at each host."""
        phase = _Phase(seconds=until - self.now)
        while self.now < until:
            self.now += TICK
            self._end_due(phase)
            self._exchange()
            for index, rate in enumerate(per_second):
                self._arrive(index, rate, phase)
            for index, host in enumerate(self._hosts):
                for request_id, _ in host.admission.expired(now=self.now):
                    host.waiting.discard(request_id)
                    phase.n_refused += 1
                self._send_granted(index, phase)
            self._count(phase)
        return phase

    def _count(self, phase: _Phase) -> None:
        n_free = sum(BATCH - len(group.running) for group in self._groups)
        n_waiting = sum(len(host.waiting) for host in self._hosts)
        phase.idle += min(n_free, n_waiting) * TICK
        phase.in_engine_queues += TICK * sum(
            len(group.queued) for group in self._groups
        )

    def _arrive(self, index: int, rate: float, phase: _Phase) -> None:
        passed = self._random.expovariate(rate) if rate else float("inf")
        while passed < TICK:
            work = ChatWork(model="m", messages=[], max_tokens=100, streamed=True)
            arrival = Arrival(
                request_id=f"r{next(self._ids)}",
                client_account="a",
                work=work,
                arrived_at=self.now,
                deadline=self.now + 30.0,
            )
            service = self._random.expovariate(1.0 / self._mean_service)
            self._requests[arrival.request_id] = _Request(
                arrival=arrival, host=index, service=service
            )
            host = self._hosts[index]
            decision = host.admission.admit(arrival, ACCOUNT, now=self.now)
            if isinstance(decision, Admitted):
                self._send(arrival.request_id, phase)
            elif isinstance(decision, Refused):
                phase.n_refused += 1
            else:
                host.waiting.add(arrival.request_id)
            passed += self._random.expovariate(rate)

    def _send_granted(self, index: int, phase: _Phase) -> None:
        host = self._hosts[index]
        for request_id in host.admission.ready(now=self.now):
            host.waiting.discard(request_id)
            self._send(request_id, phase)

    def _send(self, request_id: str, phase: _Phase) -> None:
        request = self._requests[request_id]
        host = self._hosts[request.host]
        request.group = self._least_loaded(host)
        host.n_in_flight_by_group[request.group] += 1
        group = self._groups[request.group]
        group.queued.append(request_id)
        phase.waits.append(self.now - request.arrival.arrived_at)
        self._fill(group)

    def _least_loaded(self, host: _Host) -> int:
        """Return the group with the lowest load: other hosts' plus the host's own."""
        own = host.n_in_flight_by_group
        indices = list(range(len(self._groups)))
        self._random.shuffle(indices)
        return min(indices, key=lambda index: host.others_by_group[index] + own[index])

    def _fill(self, group: _Group) -> None:
        while group.queued and len(group.running) < BATCH:
            request_id = group.queued.pop(0)
            group.running.add(request_id)
            service = self._requests[request_id].service
            heapq.heappush(self._ends, (self.now + service, request_id))

    def _end_due(self, phase: _Phase) -> None:
        while self._ends and self._ends[0][0] <= self.now:
            _, request_id = heapq.heappop(self._ends)
            request = self._requests.pop(request_id)
            group = self._groups[request.group]
            group.running.discard(request_id)
            self._fill(group)
            host = self._hosts[request.host]
            host.n_in_flight_by_group[request.group] -= 1
            host.admission.release(request_id, now=self.now)
            self._send_granted(request.host, phase)

    def _exchange(self) -> None:
        while self._rows and self._rows[0][0] <= self.now:
            _, _, sender, receiver, rows = heapq.heappop(self._rows)
            for row in rows:
                self._hosts[receiver].limits.observed(
                    row,
                    peer=f"host-{sender}",
                    observed_at=self.now - ROW_LAG,
                    now=self.now,
                )
        for index, host in enumerate(self._hosts):
            if self.now >= self._poll_due_at[index]:
                self._poll_due_at[index] += self._report_interval
                self._report(index)
            if self.now >= self._row_due_at[index]:
                self._row_due_at[index] += ROW_INTERVAL
                rows = host.limits.observations(now=self.now)
                for receiver in range(len(self._hosts)):
                    if receiver != index:
                        row = (
                            self.now + ROW_LAG,
                            next(self._ids),
                            index,
                            receiver,
                            rows,
                        )
                        heapq.heappush(self._rows, row)

    def _report(self, index: int) -> None:
        host = self._hosts[index]
        for number, group in enumerate(self._groups):
            report = HostReport(
                host=f"b{number}",
                boot="b",
                state="ready",
                running=len(group.running),
                waiting=len(group.queued),
            )
            host.confirmations.reported(report, requested_at=self.now)
            own = host.n_in_flight_by_group[number]
            host.others_by_group[number] = report.running + report.waiting - own


def main(
    *,
    n_hosts: int = 8,
    n_groups: int = 4,
    report_interval: float = 0.5,
    mean_service: float = 2.0,
    seeds: tuple[int, ...] = (5, 6, 7, 8),
) -> None:
    """Print waits, idle capacity and engine queues for each distribution of load.

    Parameters
    ----------
    n_hosts : int
        Entry hosts.
    n_groups : int
        Groups of backend servers behind them.
    report_interval : float
        Seconds between two reports of each group.
    mean_service : float
        Mean service time of a request in seconds.
    seeds : tuple[int, ...]
        Seeds, one run each.
    """
    n_slots = n_groups * BATCH
    max_load = n_slots / mean_service
    print(
        f"{n_hosts} hosts, {n_slots} slots, {mean_service:g} s each, reports every",
        end=" ",
    )
    print(f"{report_interval:g} s; load of a host as a share of the whole capacity")
    cases = {
        "one host, 0.8 in total": [0.8] + [0.0] * (n_hosts - 1),
        "one host, 1.5 in total": [1.5] + [0.0] * (n_hosts - 1),
        "even, 0.8 in total": [0.8 / n_hosts] * n_hosts,
        "one 1.5, others 0.05 each": [1.5] + [0.05] * (n_hosts - 1),
        "even, 1.5 in total": [1.5 / n_hosts] * n_hosts,
    }
    for seed in seeds:
        for case, parts in cases.items():
            driver = Driver(
                n_hosts=n_hosts,
                n_groups=n_groups,
                report_interval=report_interval,
                mean_service=mean_service,
                seed=seed,
            )
            per_second = [part * max_load for part in parts]
            driver.run(until=20.0, per_second=per_second)
            phase = driver.run(until=80.0, per_second=per_second)
            print(
                f"seed {seed} {case:26} wait p50 {percentile(phase.waits, 50):5.2f} "
                f"p95 {percentile(phase.waits, 95):5.2f} s; "
                f"served {len(phase.waits) / phase.seconds / max_load:.2f} of max; "
                f"idle while requests wait {phase.idle / phase.seconds / n_slots:.2%}; "
                f"in engine queues {phase.in_engine_queues / phase.seconds:.1f}"
            )


if __name__ == "__main__":
    defopt.run(main)
