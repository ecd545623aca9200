"""Measure group downtime and stranded accelerators over a day of faults.

Runs the planner's own code against zones simulated in memory, through the faults of
``day_of_faults_table``.  Once a zone is quiet its state no longer changes, and the
simulation jumps to the next fault and adds the skipped time to the totals::

    .venv/bin/python -m benchmarks.day_of_faults
"""

from __future__ import annotations

import argparse
import concurrent.futures
import itertools
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from ryelever.coordination.planner.planner import Planner
from ryelever.protocol.log import append_request, encode_record
from ryelever.state.configuration import (
    ClientAccount,
    Configuration,
    Model,
    Weights,
)
from ryelever.state.records import LeaseTaken
from tests.zone import Zone

from .day_of_faults_baseline import Baseline
from .day_of_faults_table import (
    DAY,
    DOMAINS_BY_ZONE,
    LOG_OUTAGE,
    NOTICE,
    Fault,
    faults_of,
)

#: Models declared for each zone; a host has 8 accelerators.
MODELS = {
    "notes": Model(version="v1", n_groups=1, priority=2),
    "chat": Model(version="v1", n_groups=1, priority=1),
    "small": Model(version="v1", n_groups=1, hosts_per_group=1),
}
N_ACCELERATORS = 8

#: Seconds until the last request of a draining group has ended.
REQUEST_TIME = 20.0

#: Seconds to load weights, and seconds until an append can be read.
LOAD_TIME = 30.0
LOG_LATENCY = 0.02

#: Seconds without a decision after which nothing more happens until the next fault.
QUIET_TIME = 100.0

PAWROUTE = Weights(group_downtime=0.8, stranded_accelerators=0.2)
CONSORTIUM = Weights(group_downtime=0.2, stranded_accelerators=0.8)


@dataclass(slots=True, kw_only=True)
class ZoneTotals:
    """Totals of one zone over the day.

    Attributes
    ----------
    downtime : float
        Group-seconds in which declared groups did not serve.
    downtime_in_outage : float
        The part of ``downtime`` during the log outage.
    stranded : float
        Accelerator-seconds of live hosts that belong to no serving or draining group.
    spanning : float
        Group-seconds served by groups that span fabric domains, which is slow.
    n_decisions : int
        Records that planners appended, other than leases.
    n_bytes : int
        Bytes of all appended records.
    """

    downtime: float = 0.0
    downtime_in_outage: float = 0.0
    stranded: float = 0.0
    spanning: float = 0.0
    n_decisions: int = 0
    n_bytes: int = 0

    def add(self, other: ZoneTotals) -> None:
        """Add the totals of another zone."""
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


class ZoneDay:
    """Simulate one zone over the day and total its downtime and decisions.

    Attributes
    ----------
    time_of_day : float
        Seconds since midnight, including skipped quiet times.
    last_change_at : float
        Time of ``zone`` at the last event (fault, recovery, log outage) or decision.
    """

    def __init__(
        self, *, name: str, weights: Weights, planner: Callable, outage: bool
    ) -> None:
        accounts = {
            f"account-{number}": ClientAccount(key_hash="", share=0.1)
            for number in range(10)
        }
        configuration = Configuration(
            models=MODELS,
            client_accounts=accounts,
            weights=weights,
        )
        self.zone = Zone(
            domains=DOMAINS_BY_ZONE[name],
            configuration=configuration,
            load_time=LOAD_TIME,
            step=0.2,
            planner_class=planner,
        )
        self.zone.append_delays = lambda _: (LOG_LATENCY,)
        self.totals = ZoneTotals()
        self.time_of_day = 0.0
        self.last_change_at = 0.0
        self.n_counted = 0
        self.down_until: dict[str, float] = {}
        self.events = self._events(faults_of(name), outage=outage)

    def _events(
        self, faults: list[Fault], *, outage: bool
    ) -> list[tuple[float, Callable[[], None]]]:
        events: list[tuple[float, Callable[[], None]]] = []
        for fault in faults:
            lost_at = fault.at + (NOTICE if fault.kind == "leaves" else 0.0)
            events.append((fault.at, lambda fault=fault: self._announce(fault)))
            events.append((lost_at, lambda fault=fault: self._begin(fault)))
            events.append((fault.until, lambda fault=fault: self._end(fault)))
        if outage:
            start, end = LOG_OUTAGE
            events.append((start, lambda: setattr(self.zone, "log_is_up", False)))
            events.append((end, lambda: setattr(self.zone, "log_is_up", True)))
        return sorted(events, key=lambda event: event[0])

    def _announce(self, fault: Fault) -> None:
        if fault.kind == "leaves":
            self._set_listed_state(fault.hosts, "leaving")

    def _set_listed_state(self, hosts: tuple[str, ...], state: str) -> None:
        for host in hosts:
            row = self.zone.listed_by_host[host]
            self.zone.listed_by_host[host] = replace(row, state=state)

    def _begin(self, fault: Fault) -> None:
        for host in fault.hosts:
            engine = self.zone.engines_by_host[host]
            engine.answers = engine.answers and fault.kind == "restarts"
            engine.refuses = engine.refuses or fault.kind == "restarts"
            known = self.down_until.get(host, 0.0)
            self.down_until[host] = max(known, fault.until)

    def _end(self, fault: Fault) -> None:
        for host in fault.hosts:
            if self.down_until.get(host, 0.0) <= fault.until:
                self.down_until.pop(host, None)
                self.zone.engines_by_host[host].restart()
                self._set_listed_state((host,), "live")

    def run(self) -> ZoneTotals:
        """Simulate the whole day and return its totals."""
        self.zone.run(QUIET_TIME * 2)
        for at, call in [*self.events, (DAY, lambda: None)]:
            if at > DAY:
                continue
            while self.time_of_day < at:
                self._advance_once(at)
            call()
            self.last_change_at = self.zone.now
        return self.totals

    def _advance_once(self, until: float) -> None:
        if self.zone.now - self.last_change_at >= QUIET_TIME:
            self._add_time(until - self.time_of_day)
            self.time_of_day = until
            return
        self.zone.advance()
        self._run_requests()
        self._add_time(self.zone.step)
        self.time_of_day += self.zone.step
        new = self.zone.entries[self.n_counted :]
        self.n_counted = len(self.zone.entries)
        for entry in new:
            item = encode_record(entry.record, record_id="0" * 32)
            self.totals.n_bytes += len(append_request([item]))
            if not isinstance(entry.record, LeaseTaken):
                self.totals.n_decisions += 1
                self.last_change_at = self.zone.now

    def _run_requests(self) -> None:
        """Keep a request running in each group; it ends 20 s after draining began."""
        zone = self.zone
        for group in zone.truth.groups_by_name.values():
            drained_for = 0.0
            if group.draining:
                drained_for = zone.now - zone.entries[group.draining_since].time
            engine = zone.engines_by_host[group.members[0]]
            if engine.group == group.name:
                engine.running = int(drained_for < REQUEST_TIME)

    def _add_time(self, seconds: float) -> None:
        totals, zone = self.totals, self.zone
        serving_by_model = {name: zone.groups(name) for name in MODELS}
        serving = list(itertools.chain.from_iterable(serving_by_model.values()))
        down = seconds * sum(
            max(0, model.n_groups - len(serving_by_model[name]))
            for name, model in MODELS.items()
        )
        totals.downtime += down
        if LOG_OUTAGE[0] <= self.time_of_day < LOG_OUTAGE[1]:
            totals.downtime_in_outage += down
        n_alive = sum(
            engine.answers and not engine.refuses
            for engine in zone.engines_by_host.values()
        )
        n_at_work = sum(len(members) for members in serving) + sum(
            len(group.members)
            for group in zone.truth.groups_by_name.values()
            if group.draining and not group.dissolved
        )
        totals.stranded += max(0, n_alive - n_at_work) * N_ACCELERATORS * seconds
        totals.spanning += seconds * sum(
            len({host.partition("-")[0] for host in members}) > 1 for members in serving
        )


def _run_zone(
    name: str, weights: Weights, planner: Callable, outage: bool
) -> ZoneTotals:
    day = ZoneDay(name=name, weights=weights, planner=planner, outage=outage)
    return day.run()


def _measure_days(n_processes: int) -> None:
    days = {
        "baseline": (PAWROUTE, Baseline, True),
        "Pawroute": (PAWROUTE, Planner, True),
        "consortium": (CONSORTIUM, Planner, True),
        "baseline, no log outage": (PAWROUTE, Baseline, False),
        "Pawroute, no log outage": (PAWROUTE, Planner, False),
        "consortium, no log outage": (CONSORTIUM, Planner, False),
    }
    print(
        f"{'day':28}{'downtime':>10}{'in the 1 h':>12}{'stranded':>12}"
        f"{'spanning':>10}{'decisions':>11}{'bytes':>9}"
    )
    print(
        f"{'':28}{'group-s':>10}{'log outage':>12}{'accel.-h':>12}"
        f"{'group-h':>10}{'':>11}{'':>9}"
    )
    with concurrent.futures.ProcessPoolExecutor(n_processes) as pool:
        futures = {
            (day, zone): pool.submit(_run_zone, zone, *arguments)
            for day, arguments in days.items()
            for zone in DOMAINS_BY_ZONE
        }
        for day in days:
            total = ZoneTotals()
            for zone in DOMAINS_BY_ZONE:
                total.add(futures[day, zone].result())
            print(
                f"{day:28}{total.downtime:10.0f}{total.downtime_in_outage:12.0f}"
                f"{total.stranded / 3600:12.0f}{total.spanning / 3600:10.1f}"
                f"{total.n_decisions:11d}{total.n_bytes:9d}"
            )


# Phases of the repair of one group


@dataclass(slots=True, kw_only=True, frozen=True)
class _RepairTimes:
    detection: float
    agreement: float
    loading: float
    confirmation: float


def _time_repair(fault: str, planner: Callable, phase: float) -> _RepairTimes:
    configuration = Configuration(
        models={"m": Model(version="v1", n_groups=1)}, weights=Weights(group_downtime=1)
    )
    zone = Zone(
        domains={"a": 6},
        configuration=configuration,
        load_time=LOAD_TIME,
        step=0.02,
        planner_class=planner,
    )
    zone.append_delays = lambda _: (LOG_LATENCY,)
    zone.run_until(zone.groups, at_most=100)
    zone.run(20 + phase)
    engine = zone.engines_by_host[zone.groups()[0][3]]
    before = set(zone.truth.groups_by_name)
    n_known = len(zone.truth.changes)
    start = zone.now
    if fault == "killed":
        engine.refuses = True
    else:
        engine.answers = False
    pending = zone.planners[0].writer.pending_by_id
    zone.run_until(
        lambda: (
            len(zone.truth.changes) > n_known
            or any(not isinstance(row.record, LeaseTaken) for row in pending.values())
        ),
        at_most=60,
    )
    decided = zone.now
    zone.run_until(
        lambda: any(
            not group.dissolved and name not in before
            for name, group in zone.planners[0].fold.groups_by_name.items()
        ),
        at_most=60,
    )
    agreed = zone.now
    group = next(
        group
        for name, group in zone.truth.groups_by_name.items()
        if name not in before and not group.dissolved
    )
    zone.run_until(
        lambda: all(
            zone.engines_by_host[host].state == "ready"
            and zone.engines_by_host[host].group == group.name
            for host in group.members
        ),
        at_most=100,
    )
    loaded = zone.now
    zone.run_until(zone.groups, at_most=20)
    return _RepairTimes(
        detection=decided - start,
        agreement=agreed - decided,
        loading=loaded - agreed,
        confirmation=zone.now - loaded,
    )


def _measure_repairs() -> None:
    print(
        f"\n{'fault of a member, planner':28}{'detection':>12}{'agreement':>12}"
        f"{'loading':>12}{'confirmation':>14}   seconds, median (largest) of 20"
    )
    for planner, fault in itertools.product((Planner, Baseline), ("killed", "silent")):
        repairs = [_time_repair(fault, planner, 0.1 * phase) for phase in range(20)]
        cells = []
        for part in _RepairTimes.__slots__:
            values = [getattr(repair, part) for repair in repairs]
            cells.append(f"{statistics.median(values):.2f} ({max(values):.2f})")
        name = f"{fault}, {planner.__name__.lower()}"
        print(f"{name:28}" + "".join(f"{cell:>13}" for cell in cells))


# Processor time


def tick_times(n_hosts: int, n_ticks: int) -> list[float]:
    """Return the processor time of each planner tick of a zone, in ms."""
    configuration = Configuration(
        models={"m": Model(version="v1", n_groups=n_hosts // 4 - n_hosts // 40)}
    )
    domains = {f"d{number}": 8 for number in range(n_hosts // 8)}
    domains["rest"] = n_hosts % 8
    zone = Zone(domains=domains, configuration=configuration)
    zone.run(60)
    assert len(zone.groups()) == configuration.models["m"].n_groups
    process = zone.planners[0]
    times = []
    for _ in range(n_ticks):
        zone.advance()
        view = zone.view(process)
        start = time.process_time()
        process.planner.tick(view, now=zone.now)
        times.append((time.process_time() - start) * 1000)
    return times


def _measure_cost() -> None:
    print(f"\n{'hosts in a zone':18}{'ms a tick, median':>20}{'largest':>10}")
    for n_hosts in (16, 71, 260):
        times = tick_times(n_hosts, 300)
        print(f"{n_hosts:<18}{statistics.median(times):20.3f}{max(times):10.3f}")


def main() -> None:
    """Print the figures of docs/PLANNING.md."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--only", choices=("days", "split", "cost"))
    arguments = parser.parse_args()
    if arguments.only in (None, "days"):
        _measure_days(arguments.processes)
    if arguments.only in (None, "split"):
        _measure_repairs()
    if arguments.only in (None, "cost"):
        _measure_cost()


if __name__ == "__main__":
    main()
