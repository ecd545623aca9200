"""Test invariants of planner and placement under generated sequences of faults.

Hypothesis generates the sequences, derandomized: every run generates the same ones.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from ryelever.coordination.actions import SendOrder
from ryelever.state.configuration import Configuration, Model, Weights
from ryelever.state.records import (
    Entry,
    GroupDissolved,
    GroupDraining,
    GroupFormed,
    HostReleased,
    LeaseTaken,
)

from ...zone import Engine, PlannerProcess, Zone

STEP = 0.25
MAX_AGE = 2.0

#: Maximum seconds between the report that a decision is based on and the decision's
#: record in the log: the age of the report plus the delay of the append.
MAX_DECISION_AGE = 2 * MAX_AGE + 12.0

DELAYS = st.sampled_from([(0.0,), (), (0.0, 2.0), (2.5,), (0.0, 6.0), (12.0,)])

DEAD_AFTER = 10.0


@dataclass(slots=True, kw_only=True)
class Invariants:
    """Check a zone against a separate record of its engines and leases.

    Attributes
    ----------
    tenure : int
        Log offset at which the current lease tenure began.
    holder : str
        Entry host that holds the lease according to the log.
    in_group_at : dict of (str, str, int) to float
        Latest time at which a host was ready in a group, by group, host and fencing
        token.
    out_of_group_at : dict of (str, str) to float
        Latest time at which a host was not in a group, by group and host.
    """

    zone: Zone
    tenure: int = -1
    holder: str = ""
    in_group_at: dict[tuple[str, str, int], float] = field(default_factory=dict)
    out_of_group_at: dict[tuple[str, str], float] = field(default_factory=dict)

    def obeyed(self, engine: Engine, order: SendOrder, before: str) -> None:
        """Check that no engine leaves its current live group for another one."""
        claimed_by = self.zone.group_of(engine.host)
        group = self.zone.truth.groups_by_name.get(claimed_by)
        live = group is not None and not group.dissolved
        if live and order.kind == "join" and before == claimed_by:
            assert order.group == claimed_by, (
                f"{engine.host} left {before} for {order.group}"
            )

    def folded(self, entry: Entry, reason: str | None) -> None:
        """Check a record that took effect; pass over a record that was ignored."""
        record = entry.record
        if reason is not None:
            return
        if isinstance(record, LeaseTaken):
            if record.holder != self.holder:
                self.tenure, self.holder = entry.offset, record.holder
            return
        if isinstance(
            record, GroupFormed | GroupDissolved | GroupDraining | HostReleased
        ):
            assert record.lease == self.tenure, "a decision under an old lease"
        if isinstance(record, HostReleased):
            self._check_release(record)

    def _check_release(self, record: HostReleased) -> None:
        if record.evidence == "left":
            seen = self.out_of_group_at.get((record.group, record.host))
            assert seen is not None, f"{record.host} never left {record.group}"
            assert self.zone.now - seen <= MAX_DECISION_AGE
            return
        decider = next(
            process for process in self.zone.planners if process.name == self.holder
        )
        last_report_at = decider.last_report_at_by_host.get(record.host, 0.0)
        silent_for = self.zone.now - last_report_at
        assert silent_for >= DEAD_AFTER or record.host in self._answering_hosts()

    def _answering_hosts(self) -> set[str]:
        # The append of the decision may have been delayed while the host returned.
        return {
            host
            for host, engine in self.zone.engines_by_host.items()
            if engine.answers and not engine.refuses
        }

    def check(self) -> None:
        """Check the invariants that must hold at every step."""
        self._record_membership()
        self._check_one_group_per_host()
        holders = [
            process.name for process in self.zone.planners if self._holds(process)
        ]
        assert len(holders) <= 1, f"{holders} hold the lease at once"
        for process in self.zone.planners:
            if not process.paused:
                self._check_complete_groups(process)

    def _record_membership(self) -> None:
        now = self.zone.now
        for host, engine in self.zone.engines_by_host.items():
            if engine.alive and engine.state == "ready":
                self.in_group_at[(engine.group, host, engine.fencing)] = now
            for name in self.zone.truth.groups_by_name:
                if engine.group != name:
                    self.out_of_group_at[(name, host)] = now

    def _check_one_group_per_host(self) -> None:
        claims = [
            host
            for group in self.zone.truth.groups_by_name.values()
            for host in group.unreleased
        ]
        assert len(claims) == len(set(claims)), f"claimed twice: {sorted(claims)}"
        assert set(claims) == set(self.zone.truth.group_by_host)

    def _holds(self, process: PlannerProcess) -> bool:
        return process.planner.lease.holds(process.fold, now=self.zone.now)

    def _check_complete_groups(self, process: PlannerProcess) -> None:
        now = self.zone.now
        for group in process.fold.groups_by_name.values():
            if not process.confirmations.is_complete(group, now=now):
                continue
            for host in group.members:
                seen = self.in_group_at.get((group.name, host, group.fencing), 0.0)
                assert now - seen <= MAX_AGE + STEP, (
                    f"{group.name} counts as complete without {host}"
                )


# Hypothesis derives the generated sequences from the source of the machine classes
# below, without comments.  Any other edit of these classes changes the sequences.
class _Machine(RuleBasedStateMachine):
    checks_fencing = True

    def __init__(self) -> None:
        super().__init__()
        configuration = Configuration(
            models={"m": Model(version="v1", hosts_per_group=3)},
            weights=Weights(group_downtime=1.0, stranded_accelerators=0.0),
        )
        self.zone = Zone(
            domains={"a": 4, "b": 3},
            configuration=configuration,
            checks_fencing=self.checks_fencing,
            n_planners=2,
            step=STEP,
        )
        self.watch = Invariants(zone=self.zone)
        self.zone.on_execute = self.watch.obeyed
        self.zone.on_entry = self.watch.folded
        self._run(6.0)

    def _run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.zone.advance()
            self.watch.check()

    def _engine(self, number: int) -> Engine:
        engines = list(self.zone.engines_by_host.values())
        return engines[number % len(engines)]

    @rule(seconds=st.sampled_from([0.25, 1.0, 3.0, 12.0]))
    def pass_time(self, seconds: float) -> None:
        self._run(seconds)

    @rule(number=st.integers(0, 6))
    def kill(self, number: int) -> None:
        self._engine(number).refuses = True
        self._run(STEP)

    @rule(number=st.integers(0, 6))
    def cut_off(self, number: int) -> None:
        self._engine(number).answers = False
        self._run(STEP)

    @rule(number=st.integers(0, 6))
    def reconnect(self, number: int) -> None:
        self._engine(number).answers = True
        self._run(STEP)

    @rule(number=st.integers(0, 6))
    def restart(self, number: int) -> None:
        self._engine(number).restart()
        self._run(STEP)

    @rule(number=st.integers(0, 1), paused=st.booleans())
    def pause(self, number: int, paused: bool) -> None:
        self.zone.planners[number].paused = paused
        self._run(STEP)

    @rule(number=st.integers(0, 1), cut=st.booleans())
    def cut_from_log(self, number: int, cut: bool) -> None:
        self.zone.planners[number].cut_from_log = cut
        self._run(STEP)

    @rule(up=st.booleans())
    def turn_log(self, up: bool) -> None:
        self.zone.log_is_up = up
        self._run(STEP)

    @rule(delays=DELAYS)
    def delay_orders(self, delays: tuple[float, ...]) -> None:
        self.zone.order_delays = lambda _: delays
        self._run(STEP)

    @rule(delays=DELAYS)
    def delay_appends(self, delays: tuple[float, ...]) -> None:
        self.zone.append_delays = lambda _: delays
        self._run(STEP)

    @rule(version=st.sampled_from(["v1", "v2"]))
    def declare(self, version: str) -> None:
        models = {"m": Model(version=version, hosts_per_group=3)}
        self.zone.configuration = Configuration(
            models=models, weights=self.zone.configuration.weights
        )
        self._run(STEP)

    def teardown(self) -> None:
        """Heal everything; the declared group must serve again."""
        zone = self.zone
        zone.order_delays = zone.append_delays = lambda _: (0.0,)
        zone.log_is_up = True
        for process in zone.planners:
            process.paused = process.cut_from_log = False
        for engine in zone.engines_by_host.values():
            if engine.refuses:
                engine.restart()
            engine.answers = True
        self._run(60.0)
        version = zone.configuration.models["m"].version
        serving = [
            group.version
            for group in zone.truth.groups_by_name.values()
            if zone.serves(group.name)
        ]
        assert serving == [version], f"{serving} after everything has healed"


class _IgnoringMachine(_Machine):
    checks_fencing = False


@pytest.mark.parametrize("machine", [_Machine, _IgnoringMachine])
def test_invariants_hold_under_generated_faults(
    machine: type[RuleBasedStateMachine],
) -> None:
    """Generate kills, cuts, pauses, log outages, and lost, late or repeated messages.

    Guards against combinations of faults that no table of cases contains.  When an
    assertion above fails, hypothesis prints the shortest sequence that it finds.
    """
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=40,
            stateful_step_count=25,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
