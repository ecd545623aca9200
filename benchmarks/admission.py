"""Compare fair admission with one first-in first-out queue of the same capacity.

Both policies serve the same arrivals in simulated time, without sockets.  Three large
and seven small accounts share the slots, and one large account sends a burst.  Run:
``python -m benchmarks.admission``
"""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import defopt

from ryelever.coordination.actions import Arrival, ChatWork
from ryelever.coordination.admission.admission import Admitted, Queued, Refused
from ryelever.coordination.admission.capacity import FixedCapacity
from ryelever.coordination.admission.fair_admission import FairAdmission
from ryelever.coordination.limits.limits import AccountLimits
from ryelever.state.configuration import ClientAccount
from ryelever.state.observations import DemandRow

if TYPE_CHECKING:
    from ryelever.coordination.admission.admission import Admission

#: Seconds between two ticks, as in the entry host.
TICK = 0.05

#: Share of the capacity and priority of each client account.
LARGE = {"large-1": (0.3, 0), "large-2": (0.2, 1), "large-3": (0.2, 0)}
SMALL = {f"small-{index}": (0.04, 1 if index == 1 else 0) for index in range(1, 8)}


class FifoAdmission:
    """Admit in order of arrival, from one queue for all accounts."""

    def __init__(self, *, n_slots: int) -> None:
        self._n_slots = n_slots
        self._held: set[str] = set()
        self._waiting: deque[Arrival] = deque()

    def admit(self, arrival: Arrival, account: ClientAccount, *, now: float):
        """Admit if a slot is free and no request is queued; queue otherwise."""
        if not self._waiting and len(self._held) < self._n_slots:
            self._held.add(arrival.request_id)
            return Admitted()
        self._waiting.append(arrival)
        return Queued()

    def release(self, request_id: str, *, now: float) -> None:
        """Free the slot of a request that has ended."""
        self._held.discard(request_id)

    def ready(self, *, now: float) -> list[str]:
        """Grant free slots in order of arrival; return the granted request ids."""
        granted = []
        while self._waiting and len(self._held) < self._n_slots:
            arrival = self._waiting.popleft()
            self._held.add(arrival.request_id)
            granted.append(arrival.request_id)
        return granted

    def expired(self, *, now: float) -> list[tuple[str, Refused]]:
        """Refuse and return the queued requests whose deadline has passed."""
        ended = [arrival for arrival in self._waiting if arrival.deadline < now]
        for arrival in ended:
            self._waiting.remove(arrival)
        return [
            (arrival.request_id, Refused(reason="late", retry_after=1.0))
            for arrival in ended
        ]


@dataclass(slots=True, kw_only=True)
class PolicyResult:
    """Waits, refusals and costs of one run under one policy; times in seconds.

    The lender is account large-2, whose slots other accounts use until it returns.

    Attributes
    ----------
    idle : float
        Slot-seconds that were free while requests were queued.
    slot_seconds : float
        Slot-seconds of the run in total, free or not.
    regained_after : float or None
        Seconds from the lender's return until the lender holds 95% of its share.
    lender_slots : list of tuple of float and int
        Time, and slots that the returning lender holds then.
    """

    waits_by_account: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    refused_by_account: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    retry_afters: list[float] = field(default_factory=list)
    processor_time: float = 0.0
    idle: float = 0.0
    slot_seconds: float = 0.0
    regained_after: float | None = None
    lender_slots: list[tuple[float, int]] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class Load:
    """Capacity, load and burst of one run; times in seconds.

    Attributes
    ----------
    burst_factor : float
        Load of account large-1 during the burst, as a multiple of its usual load.
    lender_returns : float
        Time until which account large-2 sends nothing and afterwards three times its
        usual load; 0 for its usual load throughout.
    deadline : float
        Time from a request's arrival to its deadline.
    mean_service : float
        Mean service time of a request.
    """

    n_slots: int = 64
    seconds: float = 180.0
    burst_from: float = 60.0
    burst_until: float = 90.0
    burst_factor: float = 10.0
    lender_returns: float = 0.0
    deadline: float = 30.0
    mean_service: float = 2.0


def arrivals(load: Load, seed: int) -> list[tuple[Arrival, float]]:
    """Return arrivals in order of time, each with its service time in seconds."""
    rng = random.Random(seed)
    drawn = []
    per_second = load.n_slots / load.mean_service
    for name, (share, priority) in (LARGE | SMALL).items():
        usual = 0.8 * share if name in LARGE else 0.5 * share
        now = 0.0
        while now < load.seconds:
            factor = 1.0
            if name == "large-1" and load.burst_from <= now < load.burst_until:
                factor = load.burst_factor
            if name == "large-2" and load.lender_returns:
                factor = 0.0 if now < load.lender_returns else 3.0
            if not factor:
                now += 0.25
                continue
            now += rng.expovariate(usual * per_second * factor)
            # The service time differs from the announced length by up to a half.
            tokens = max(8, int(rng.expovariate(1 / 200.0)))
            service = tokens / 200.0 * load.mean_service * rng.uniform(0.5, 1.5)
            work = ChatWork(model="m", messages=[], max_tokens=tokens, streamed=True)
            arrival = Arrival(
                request_id=f"{name}-{len(drawn)}",
                client_account=name,
                work=work,
                arrived_at=now,
                deadline=now + load.deadline,
                priority=priority,
            )
            drawn.append((arrival, service))
    drawn.sort(key=lambda pair: pair[0].arrived_at)
    return drawn


def accounts() -> dict[str, ClientAccount]:
    """Return the client accounts of the configuration by name."""
    return {
        name: ClientAccount(
            key_hash="", share=share, priority=priority, rate=1e6, concurrency=10**6
        )
        for name, (share, priority) in (LARGE | SMALL).items()
    }


def serve(
    admission: Admission, load: Load, offered: list, *, at_release: bool = False
) -> PolicyResult:
    """Serve all arrivals under one policy and return the result.

    Parameters
    ----------
    at_release : bool
        Grant freed slots whenever a request ends, as the entry host does, and not
        only at each tick.
    """
    result = PolicyResult()
    declared = accounts()
    by_id = {arrival.request_id: (arrival, service) for arrival, service in offered}
    ends: list[tuple[float, str]] = []
    waiting: set[str] = set()
    running: set[str] = set()
    upcoming = deque(offered)
    now = 0.0
    started = time.process_time()

    def start(request_id: str, now: float) -> None:
        arrival, service = by_id[request_id]
        waiting.discard(request_id)
        running.add(request_id)
        result.waits_by_account[arrival.client_account].append(now - arrival.arrived_at)
        heapq.heappush(ends, (now + service, request_id))

    def run_tick(now: float) -> None:
        for request_id, refused in admission.expired(now=now):
            waiting.discard(request_id)
            arrival = by_id[request_id][0]
            waited = now - arrival.arrived_at
            result.refused_by_account[arrival.client_account].append(waited)
            result.retry_afters.append(refused.retry_after)
        for request_id in admission.ready(now=now):
            start(request_id, now)

    while upcoming or running or waiting:
        until = now + TICK
        while True:
            next_arrival = upcoming[0][0].arrived_at if upcoming else float("inf")
            next_end = ends[0][0] if ends else float("inf")
            at = min(next_arrival, next_end)
            if at >= until:
                break
            spent = at - now
            result.idle += _idle(load, running, waiting) * spent
            result.slot_seconds += load.n_slots * spent
            now = at
            if next_end <= next_arrival:
                _, request_id = heapq.heappop(ends)
                running.discard(request_id)
                admission.release(request_id, now=now)
                for ready_id in admission.ready(now=now) if at_release else ():
                    start(ready_id, now)
                continue
            arrival, _ = upcoming.popleft()
            account = declared[arrival.client_account]
            decision = admission.admit(arrival, account, now=now)
            if isinstance(decision, Admitted):
                start(arrival.request_id, now)
            elif isinstance(decision, Queued):
                waiting.add(arrival.request_id)
            else:
                result.refused_by_account[arrival.client_account].append(0.0)
                result.retry_afters.append(decision.retry_after)
        result.idle += _idle(load, running, waiting) * (until - now)
        result.slot_seconds += load.n_slots * (until - now)
        now = until
        run_tick(now)
        if load.lender_returns and now >= load.lender_returns:
            held = sum(name.startswith("large-2-") for name in running)
            result.lender_slots.append((now, held))
            share = LARGE["large-2"][0] * load.n_slots
            if result.regained_after is None and held >= 0.95 * share:
                result.regained_after = now - load.lender_returns
    result.processor_time = time.process_time() - started
    return result


def _idle(load: Load, running: set[str], waiting: set[str]) -> int:
    return min(load.n_slots - len(running), len(waiting)) if waiting else 0


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile (0 to 100) of the values; 0 if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100.0))]


def policies(load: Load) -> dict[str, tuple[Admission, bool]]:
    """Return the policies by name, and whether each grants at every release."""

    def fair() -> FairAdmission:
        return FairAdmission(
            capacity=FixedCapacity(n_slots=load.n_slots),
            account=accounts().get,
        )

    return {
        "fifo": (FifoAdmission(n_slots=load.n_slots), False),
        "fair": (fair(), False),
        "fair, at release": (fair(), True),
    }


def main(
    *, seed: int = 5, parts: tuple[str, ...] = ("waits", "burst", "return", "cost")
):
    """Print the results of the chosen measurements.

    Parameters
    ----------
    seed : int
        Seed of arrivals and service times.
    parts : tuple[str, ...]
        Measurements to run: waits, burst (twelve seeds), return, cost.
    """
    print(f"seed {seed}")
    if "waits" in parts:
        _print_waits(seed)
    if "burst" in parts:
        _print_burst(seed)
    if "return" in parts:
        _print_return(seed)
    if "cost" in parts:
        _print_cost(seed)


def _print_waits(seed: int) -> None:
    load = Load()
    offered = arrivals(load, seed)
    print(
        f"{len(offered)} requests, {load.n_slots} slots, {load.mean_service} s each; "
        f"large-1 offers {load.burst_factor:g} times its usual load from "
        f"{load.burst_from:g} to {load.burst_until:g} s; deadline {load.deadline:g} s"
    )
    print(
        f"{'policy':18} {'account':8} {'prio':>4} {'served':>6} {'p50':>6} {'p95':>6} "
        f"{'p99':>6} {'refused':>7} {'ref. p95 s':>10}"
    )
    fifo_p99: dict[str, float] = {}
    for policy, (admission, at_release) in policies(load).items():
        result = serve(admission, load, offered, at_release=at_release)
        for name, (_, priority) in (LARGE | SMALL).items():
            waits = result.waits_by_account[name]
            refused = result.refused_by_account[name]
            p99 = percentile(waits, 99)
            if policy == "fifo":
                fifo_p99[name] = p99
            print(
                f"{policy:18} {name:8} {priority:4d} {len(waits):6d} "
                f"{percentile(waits, 50):6.2f} {percentile(waits, 95):6.2f} "
                f"{p99:6.2f} {len(refused):7d} {percentile(refused, 95):10.2f}"
                f"  p99 is {p99 / fifo_p99[name]:.3f} of fifo's"
            )
        small = [wait for name in SMALL for wait in result.waits_by_account[name]]
        print(
            f"{policy:18} all small: p50 {percentile(small, 50):.3f} "
            f"p95 {percentile(small, 95):.3f} p99 {percentile(small, 99):.3f} s; "
            f"slots idle while requests wait "
            f"{result.idle / result.slot_seconds:.2%}; "
            f"{len(set(result.retry_afters))} distinct values in "
            f"{len(result.retry_afters)} retry-afters; "
            f"{result.processor_time / len(offered) * 1e6:.0f} us a request"
        )


def _print_burst(seed: int, n_seeds: int = 12) -> None:
    print(f"waits of the small accounts, fair at release, seeds {seed} to ", end="")
    print(f"{seed + n_seeds - 1}: mean (largest)")
    for factor in (1.0, 10.0):
        load = Load(burst_factor=factor)
        by_percent: dict[int, list[float]] = {95: [], 99: [], 100: []}
        for offset in range(n_seeds):
            admission, at_release = policies(load)["fair, at release"]
            offered = arrivals(load, seed + offset)
            result = serve(admission, load, offered, at_release=at_release)
            small = [wait for name in SMALL for wait in result.waits_by_account[name]]
            for percent, values in by_percent.items():
                values.append(percentile(small, percent))
        figures = ", ".join(
            f"p{percent} {sum(values) / n_seeds:.3f} ({max(values):.3f}) s"
            for percent, values in by_percent.items()
        )
        print(f"burst of {factor:g} times the usual load: {figures}")


def _print_return(seed: int) -> None:
    load = Load(burst_from=0.0, burst_until=180.0, lender_returns=60.0)
    offered = arrivals(load, seed)
    print("large-1 overloads throughout; large-2 sends nothing until 60 s, then 3x")
    for policy, (admission, at_release) in policies(load).items():
        result = serve(admission, load, offered, at_release=at_release)
        later = [held for at, held in result.lender_slots if 70.0 <= at < 180.0]
        share = LARGE["large-2"][0] * load.n_slots
        back = (
            "never"
            if result.regained_after is None
            else f"{result.regained_after:.2f} s"
        )
        print(
            f"{policy:18} large-2 holds its share of {share:.1f} slots after {back}; "
            f"mean slots held from 70 s on {sum(later) / len(later):.1f}"
        )


def _print_cost(seed: int) -> None:
    print("processor time to admit, grant and release a request; limits of 8 hosts")
    for n_accounts, n_waiting in itertools.product((10, 100), (10, 100, 1000)):
        print(
            f"{n_accounts:4d} accounts {n_waiting:5d} waiting: "
            f"{_cost(n_accounts, n_waiting) * 1e6:7.1f} us a request; "
            f"a tick with nothing to do "
            f"{_idle_tick_cost(n_accounts, n_waiting) * 1e6:7.1f} us"
        )


def _busy_admission(
    n_accounts: int, n_waiting: int
) -> tuple[FairAdmission, dict, list[str]]:
    declared = {
        f"account-{index}": ClientAccount(
            key_hash="", share=1 / n_accounts, rate=1e6, concurrency=10**6
        )
        for index in range(n_accounts)
    }
    limits = AccountLimits(n_hosts=lambda: 8)
    for peer in range(7):
        for name in declared:
            row = DemandRow(client_account=name, rate=10.0, n_in_flight=5, n_waiting=0)
            limits.observed(row, peer=f"host-{peer}", observed_at=0.0, now=0.0)
    admission = FairAdmission(
        capacity=FixedCapacity(n_slots=64),
        account=declared.get,
        limits=limits,
        max_waiting=10_000,
        max_waiting_per_account=10_000,
    )
    running = []
    for index in range(64 + n_waiting):
        request_id, decision = _arrive(admission, declared, index, now=0.0)
        if isinstance(decision, Admitted):
            running.append(request_id)
    return admission, declared, running


def _arrive(admission: FairAdmission, declared: dict, index: int, *, now: float):
    name = f"account-{index % len(declared)}"
    work = ChatWork(model="m", messages=[], max_tokens=100, streamed=True)
    arrival = Arrival(
        request_id=f"request-{index}",
        client_account=name,
        work=work,
        arrived_at=now,
        deadline=now + 1e6,
    )
    return arrival.request_id, admission.admit(arrival, declared[name], now=now)


def _cost(n_accounts: int, n_waiting: int, n_rounds: int = 2000) -> float:
    admission, declared, running = _busy_admission(n_accounts, n_waiting)
    queue = deque(running)
    started = time.process_time()
    for index in range(n_rounds):
        now = 1.0 + index * 1e-3
        _arrive(admission, declared, 10**6 + index, now=now)
        admission.release(queue.popleft(), now=now)
        queue.extend(admission.ready(now=now))
    return (time.process_time() - started) / n_rounds


def _idle_tick_cost(n_accounts: int, n_waiting: int, n_rounds: int = 500) -> float:
    admission, _, _ = _busy_admission(n_accounts, n_waiting)
    started = time.process_time()
    for index in range(n_rounds):
        now = 1.0 + index * TICK
        admission.expired(now=now)
        admission.ready(now=now)
    return (time.process_time() - started) / n_rounds


if __name__ == "__main__":
    defopt.run(main)
