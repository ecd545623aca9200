"""Simulate one availability zone in memory: engines, log and hosts list.

Used by tests of fault cases and by the benchmark over a day.  Time is a number that
the caller advances in steps; the simulation neither sleeps nor uses randomness.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ryelever.coordination.actions import Action, AppendRecord, SendOrder
from ryelever.coordination.confirmation import Confirmations
from ryelever.coordination.log_writer import LogWriter
from ryelever.coordination.planner.planner import Planner, PlannerLimits, PlannerView
from ryelever.coordination.planner.view import ModelDemand
from ryelever.state.configuration import Configuration, Model, Weights
from ryelever.state.fleet import HostReport, ListedHost
from ryelever.state.placement import PlacementFold
from ryelever.state.records import Entry

__all__ = ["Engine", "PlannerProcess", "Zone", "new_zone"]

#: Seconds between two report requests to one host.
REPORT_INTERVAL = 0.5

#: Only downtime has a weight, so that spare hosts stay idle and test cases short.
DOWNTIME_ONLY = Weights(group_downtime=1.0, stranded_accelerators=0.0)


@dataclass(slots=True, kw_only=True, eq=False)
class Engine:
    """Simulate an engine that follows orders as tests/standins/engine.py does.

    Attributes
    ----------
    answers : bool
        Whether the host is reachable and its process runs; otherwise requests get no
        answer.
    refuses : bool
        Whether the host is up without its process, so that connections are refused.
    """

    host: str
    checks_fencing: bool = True
    load_time: float = 0.5
    clock_offset: float = 1000.0
    answers: bool = True
    refuses: bool = False
    n_boots: int = 1
    state: str = "idle"
    group: str = ""
    fencing: int = -1
    members: tuple[str, ...] = ()
    ready_at: float = 0.0
    running: int = 0
    leaving: bool = False
    member_boots: dict[str, int] = field(default_factory=dict)

    @property
    def alive(self) -> bool:
        """Return whether the process runs, even if the host is unreachable."""
        return not self.refuses

    def execute(self, order: SendOrder, *, now: float) -> bool:
        """Execute an order unless it has expired or its fencing token is too old.

        Returns
        -------
        bool
            Whether the order was executed.
        """
        if 0 < order.expires_ms < self._clock_ms(now):
            return False
        if self.checks_fencing and order.fencing < self.fencing:
            return False
        if order.kind == "join":
            self._join(order, now=now)
        elif order.group == self.group:
            self._leave()
        self.fencing = max(self.fencing, order.fencing)
        return True

    def restart(self) -> None:
        """Restart as a new process without any state."""
        self.n_boots += 1
        self._leave()
        self.fencing = -1
        self.answers, self.refuses, self.leaving = True, False, False

    def report(self, *, now: float) -> HostReport:
        """Return a report of the current state."""
        state = "leaving" if self.leaving else self.state
        return HostReport(
            host=self.host,
            boot=f"{self.host}-{self.n_boots}",
            state=state,
            group=self.group,
            fencing=self.fencing,
            running=self.running,
            clock_ms=self._clock_ms(now),
        )

    def _clock_ms(self, now: float) -> int:
        return int((now + self.clock_offset) * 1000)

    def _join(self, order: SendOrder, *, now: float) -> None:
        same = order.group == self.group and order.fencing == self.fencing
        if same and self.state != "broken":
            return
        self._leave()
        self.group, self.fencing = order.group, order.fencing
        self.members = order.members
        self.state, self.ready_at = "loading", now + self.load_time

    def _leave(self) -> None:
        self.state, self.group, self.members = "idle", "", ()
        self.running = 0
        self.member_boots = {}


@dataclass(slots=True, kw_only=True, eq=False)
class PlannerProcess:
    """Planner of one entry host, with the records and reports that it has read.

    Attributes
    ----------
    paused, cut_from_log, cut_from_hosts : bool
        Whether the process is stopped, can't reach the log, or can't reach the hosts.
    """

    name: str
    planner: Planner
    fold: PlacementFold
    confirmations: Confirmations
    writer: LogWriter
    paused: bool = False
    cut_from_log: bool = False
    cut_from_hosts: bool = False
    next_report_at: float = 0.0
    last_report_at_by_host: dict[str, float] = field(default_factory=dict)
    sent: list[SendOrder] = field(default_factory=list)

    def fold_entries(self, entries: Sequence[Entry]) -> None:
        """Apply the log entries that the planner hasn't read yet."""
        for entry in entries[self.fold.next_offset :]:
            self.fold.apply(entry)
            self.writer.read_back(entry.id)


class Zone:
    """Run engines and planners against one log in steps of time.

    Parameters
    ----------
    domains : dict of str to int
        Number of hosts by fabric domain.

    Attributes
    ----------
    order_delays, append_delays : callable
        Return the delays in seconds after which an order or append arrives: an empty
        sequence if it is lost, several delays if it is duplicated.
    """

    def __init__(
        self,
        *,
        domains: dict[str, int],
        configuration: Configuration,
        limits: PlannerLimits | None = None,
        checks_fencing: bool = True,
        n_planners: int = 1,
        load_time: float = 0.5,
        step: float = 0.1,
        planner_class: Callable[..., Planner] = Planner,
    ) -> None:
        self.now = 100.0
        self.step = step
        self._planner_class = planner_class
        self.configuration = configuration
        self.demand: tuple[ModelDemand, ...] = ()
        self.entries: list[Entry] = []
        self.truth = PlacementFold()
        self.log_is_up = True
        self.n_appends = 0
        self.order_delays: Callable[[SendOrder], Sequence[float]] = lambda _: (0.0,)
        self.append_delays: Callable[[AppendRecord], Sequence[float]] = lambda _: (0.0,)
        self.on_execute: Callable[[Engine, SendOrder, str], None] = lambda *_: None
        self.on_entry: Callable[[Entry, str | None], None] = lambda *_: None
        self.engines_by_host: dict[str, Engine] = {}
        self.listed_by_host: dict[str, ListedHost] = {}
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        for domain, n_hosts in domains.items():
            for number in range(n_hosts):
                self.add_host(
                    f"{domain}-{number}", domain, checks_fencing, load_time=load_time
                )
        self.planners = [
            self._planner(f"e{number}", limits) for number in range(n_planners)
        ]

    def add_host(
        self, host: str, domain: str, checks_fencing: bool = True, **fields: float
    ) -> None:
        """Add a host with an engine to the zone and to the hosts list."""
        self.engines_by_host[host] = Engine(
            host=host, checks_fencing=checks_fencing, **fields
        )
        self.listed_by_host[host] = ListedHost(
            host=host,
            address=host,
            availability_zone="z",
            fabric_domain=domain,
            accelerators=8,
            checks_fencing=checks_fencing,
        )

    def _planner(self, name: str, limits: PlannerLimits | None) -> PlannerProcess:
        ids = itertools.count()
        planner = self._planner_class(
            holder=name,
            stream="placement-z",
            new_id=lambda: f"{name}.{next(ids)}",
            limits=limits,
        )
        return PlannerProcess(
            name=name,
            planner=planner,
            fold=PlacementFold(),
            confirmations=Confirmations(max_age=2.0),
            writer=LogWriter(),
        )

    # Time

    def run(self, seconds: float) -> None:
        """Advance time by some seconds."""
        for _ in range(round(seconds / self.step)):
            self.advance()

    def run_until(self, condition: Callable[[], object], *, at_most: float) -> float:
        """Advance time until a condition holds; return the seconds elapsed."""
        start = self.now
        while not condition():
            assert self.now - start < at_most, f"not within {at_most:g} s"
            self.advance()
        return self.now - start

    def seconds_down(self, seconds: float) -> float:
        """Advance time by some seconds; return the seconds without a serving group."""
        n_down = 0
        for _ in range(round(seconds / self.step)):
            self.advance()
            n_down += not self.groups()
        return n_down * self.step

    def advance(self) -> None:
        """Advance time by one step, and run all engines and planners."""
        self.now += self.step
        while self._due and self._due[0][0] <= self.now:
            heapq.heappop(self._due)[2]()
        for engine in self.engines_by_host.values():
            self._advance_engine(engine)
        for process in self.planners:
            if not process.paused:
                self.tick(process)

    def _advance_engine(self, engine: Engine) -> None:
        if engine.refuses or not engine.group:
            return
        boots = {
            member: self.engines_by_host[member].n_boots
            for member in engine.members
            if self.engines_by_host[member].alive
        }
        if engine.state == "loading" and self.now >= engine.ready_at:
            engine.state, engine.member_boots = "ready", boots
        elif engine.state == "ready" and boots != engine.member_boots:
            engine.state = "broken"

    # Planners

    def view(self, process: PlannerProcess) -> PlannerView:
        """Return the input of a planner's tick."""
        return PlannerView(
            configuration=self.configuration,
            configuration_version=0,
            placement=process.fold,
            hosts_by_name=dict(self.listed_by_host),
            confirmations=process.confirmations,
            demand=self.demand,
        )

    def tick(self, process: PlannerProcess) -> None:
        """Run one planner: read reports and log entries, plan, and act."""
        if self.now >= process.next_report_at:
            process.next_report_at = self.now + REPORT_INTERVAL
            self._request_reports(process)
        if self.log_is_up and not process.cut_from_log:
            process.fold_entries(self.entries)
        self.execute(process, process.planner.tick(self.view(process), now=self.now))
        self._append(process)

    def _request_reports(self, process: PlannerProcess) -> None:
        for host in self.listed_by_host:
            engine = self.engines_by_host[host]
            if process.cut_from_hosts:
                continue
            if engine.refuses:
                process.confirmations.record_unreachable(host)
            elif engine.answers:
                process.last_report_at_by_host[host] = self.now
                report = engine.report(now=self.now)
                process.confirmations.reported(report, requested_at=self.now)

    def execute(self, process: PlannerProcess, actions: list[Action]) -> None:
        """Execute a planner's actions."""
        for action in actions:
            if isinstance(action, SendOrder):
                process.sent.append(action)
                for delay in self.order_delays(action):
                    self.later(delay, lambda order=action: self._deliver(order))
            else:
                process.writer.add(
                    action.record, record_id=action.record_id, deadline=self.now + 10
                )

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay in seconds."""
        heapq.heappush(self._due, (self.now + delay, next(self._sequence), call))

    def _deliver(self, order: SendOrder) -> None:
        engine = self.engines_by_host[order.host]
        before = engine.group
        if (
            engine.answers
            and not engine.refuses
            and engine.execute(order, now=self.now)
        ):
            self.on_execute(engine, order, before)

    def _append(self, process: PlannerProcess) -> None:
        for pending in process.writer.due(now=self.now):
            action = AppendRecord(
                stream="placement-z",
                record=pending.record,
                record_id=pending.record_id,
            )
            if process.cut_from_log or not self.log_is_up:
                continue
            for delay in self.append_delays(action):
                self.later(delay, lambda append=action: self._append_entry(append))
        process.writer.answered()

    def _append_entry(self, action: AppendRecord) -> None:
        if not self.log_is_up:
            return
        self.n_appends += 1
        entry = Entry(
            offset=len(self.entries),
            time=self.now,
            id=action.record_id,
            record=action.record,
        )
        self.entries.append(entry)
        self.on_entry(entry, self.truth.apply(entry))

    # Observations for tests

    def groups(self, model: str = "m") -> list[tuple[str, ...]]:
        """Return the members of each serving group of a model."""
        return [
            group.members
            for group in self.truth.groups_by_name.values()
            if group.model == model and self.serves(group.name)
        ]

    def serves(self, name: str) -> bool:
        """Return whether a group is placed, not draining, and complete.

        The group must be complete according to every planner that runs and reaches
        the hosts.
        """
        group = self.truth.groups_by_name.get(name)
        return (
            group is not None
            and not group.draining
            and all(
                process.confirmations.is_complete(group, now=self.now)
                for process in self.planners
                if not process.paused and not process.cut_from_hosts
            )
        )

    def group_of(self, host: str) -> str:
        """Return the name of the group that a host is placed in, or an empty string."""
        return self.truth.group_by_host.get(host, "")

    def kinds(self) -> list[str]:
        """Return the kinds of the placement changes that took effect, in order."""
        return [change.kind for change in self.truth.changes]


def new_zone(
    *,
    n_groups: int = 1,
    hosts_per_group: int = 4,
    weights: Weights = DOWNTIME_ONLY,
    serves_within: float = 0.0,
    **fields: object,
) -> Zone:
    """Return a zone whose configuration has only the model "m".

    Parameters
    ----------
    serves_within : float
        Seconds within which every group must serve; 0 returns without waiting.
    **fields
        Parameters of ``Zone``, and the numbers of hosts of the fabric domains "a" to
        "d".
    """
    domains = {name: fields.pop(name) for name in "abcd" if name in fields}
    model = Model(version="v1", n_groups=n_groups, hosts_per_group=hosts_per_group)
    configuration = Configuration(models={"m": model}, weights=weights)
    zone = Zone(domains=domains, configuration=configuration, **fields)
    if serves_within:
        zone.run_until(lambda: len(zone.groups()) == n_groups, at_most=serves_within)
    return zone
