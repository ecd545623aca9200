"""Test the planner lease: terms, pauses, races and the return of a lease."""

from __future__ import annotations

import itertools

import pytest

from ryelever.coordination.actions import AppendRecord
from ryelever.coordination.lease import PlannerLease
from ryelever.state.configuration import Weights
from ryelever.state.placement import PlacementFold
from ryelever.state.records import Entry, LeaseTaken

from ..builders import new_entry
from ..zone import Zone, new_zone

TERM = 6.0


class _Candidate:
    """A host that competes for the lease, with delays set by the test."""

    def __init__(self, name: str, log: list[Entry]) -> None:
        ids = itertools.count()
        self.log = log
        self.fold = PlacementFold()
        self.lease = PlannerLease(
            holder=name, stream="s", new_id=lambda: f"{name}{next(ids)}", term=TERM
        )
        self.unsent: list = []

    def read(self) -> None:
        for entry in self.log[self.fold.next_offset :]:
            self.fold.apply(entry)

    def tick(self, now: float, *, can_plan: bool = True) -> None:
        self.unsent += self.lease.tick(self.fold, can_plan=can_plan, now=now)

    def send(self) -> None:
        for action in self.unsent:
            entry = new_entry(len(self.log), action.record, id=action.record_id)
            self.log.append(entry)
        self.unsent = []

    def take(self, now: float) -> None:
        self.read()
        self.tick(now)
        self.send()
        self.read()
        self.tick(now)

    def holds(self, now: float) -> bool:
        return self.lease.holds(self.fold, now=now)


@pytest.fixture
def log() -> list[Entry]:
    return []


@pytest.mark.parametrize(
    ("read_back_at", "renewed"),
    [(0.1, False), (1.9, False), (5.0, False), (3.0, True), (7.0, False)],
)
def test_term_counts_from_before_the_append(
    log: list[Entry], read_back_at: float, renewed: bool
) -> None:
    """Guard against two holders at the same time.

    A holder's append takes effect, and the holder reads its record back seconds later.
    If the holder counted its term from that read, the term would end after other
    hosts, which read the record earlier, take the lease.
    """
    candidate = _Candidate("a", log)
    candidate.tick(0.0)
    candidate.send()
    if renewed:
        candidate.tick(TERM / 3)
    candidate.read()
    candidate.tick(read_back_at)
    assert candidate.holds(read_back_at) is (read_back_at < TERM)
    assert not candidate.holds(TERM)


@pytest.mark.parametrize("is_read_back", [True, False])
def test_term_counts_suspensions_of_the_machine(
    log: list[Entry], is_read_back: bool
) -> None:
    """Guard against two holders at the same time after a machine was suspended.

    The holder's clock stands still while other hosts wait for the end of its term.
    """
    holder = _Candidate("a", log)
    holder.tick(0.0)
    holder.send()
    if is_read_back:
        holder.read()
        holder.tick(0.1)
        assert holder.holds(0.1)
    holder.lease.record_suspension(TERM)
    holder.read()
    holder.tick(0.2)
    assert not holder.holds(0.2)
    holder.take(TERM)
    assert holder.holds(TERM + 0.1)


def test_other_hosts_wait_longer_than_the_term_of_the_holder(log: list[Entry]) -> None:
    """Guard against two holders at the same time when clocks differ in rate.

    A holder stops renewing, and another host waits for the end of the term.  If both
    waited the same time, the faster clock of the other host would end the term first.
    """
    holder, other = _Candidate("a", log), _Candidate("b", log)
    holder.take(0.0)
    other.read()
    other.tick(0.0)
    other.tick(TERM * 1.1)
    assert other.unsent == [] and not holder.holds(TERM * 1.1)
    other.take(TERM * 1.3)
    assert other.holds(TERM * 1.3)


def test_reader_that_starts_late_counts_from_its_own_read(
    log: list[Entry],
) -> None:
    """Guard against taking the lease from a live holder.

    An entry host starts, and the holder renews just after the new process has read.
    The age of a record in the log means nothing on the reader's clock.
    """
    holder, other = _Candidate("a", log), _Candidate("b", log)
    holder.take(0.0)
    other.read()
    other.tick(100.0)
    other.tick(100.0 + TERM)
    assert other.unsent == []


def test_first_of_competing_hosts_is_the_only_holder(log: list[Entry]) -> None:
    """Guard against two planners.

    Two hosts read that the lease is free, both append a record, and each sees its own
    append succeed.
    """
    candidates = [_Candidate("a", log), _Candidate("b", log)]
    for candidate in candidates:
        candidate.tick(0.0)
    for candidate in candidates:
        candidate.send()
    for candidate in candidates:
        candidate.read()
        candidate.tick(0.1)
    assert [candidate.holds(0.1) for candidate in candidates] == [True, False]


def test_lost_answer_does_not_lose_the_lease(log: list[Entry]) -> None:
    """Guard against a lease that no host holds while the log is slow.

    A host appends a second record before it reads its first one back, and the second
    is ignored as stale.  If the host remembered only the newest append, it would not
    recognize the first record as its own.
    """
    candidate = _Candidate("a", log)
    for now in (0.0, 2.1, 4.2):
        candidate.tick(now)
    candidate.send()
    candidate.read()
    candidate.tick(4.3)
    assert candidate.holds(4.3) and not candidate.holds(6.0)


def test_returned_lease_is_taken_immediately(log: list[Entry]) -> None:
    """Guard against a zone without a planner for a term after a planned restart.

    The holder shuts down gracefully and a member of a group dies.  If the lease were
    left to expire, the repair would wait for a whole term.
    """
    holder, other = _Candidate("a", log), _Candidate("b", log)
    holder.take(0.0)
    other.read()
    other.tick(0.0)
    holder.unsent = holder.lease.release(holder.fold, now=1.0)
    assert not holder.holds(1.0)
    holder.send()
    holder.read()
    holder.tick(5.0)
    assert holder.unsent == []
    other.take(1.1)
    assert other.holds(1.1)


def test_unfit_process_does_not_renew(log: list[Entry]) -> None:
    """Check that a process that reaches no host leaves the lease to another one."""
    holder = _Candidate("a", log)
    holder.take(0.0)
    holder.tick(TERM / 2, can_plan=False)
    assert holder.unsent == []


@pytest.fixture
def zone() -> Zone:
    return new_zone(a=6, n_planners=2, weights=Weights(), serves_within=20)


def test_holder_that_resumes_after_its_term_sends_no_orders(zone: Zone) -> None:
    """Guard against a host that receives orders from two planners.

    The holder is paused beyond its term while a member dies.  Another host takes the
    lease and repairs the group.  The first host resumes and, before it reads anything,
    acts on its state from before the pause.
    """
    paused, other = zone.planners
    paused.paused = True
    zone.engines_by_host["a-0"].refuses = True
    zone.run_until(lambda: "a-0" not in (zone.groups() or ["a-0"])[0], at_most=30)
    repaired = zone.groups()
    n_entries = len(zone.entries)
    n_sent = len(paused.sent)
    actions = paused.planner.tick(zone.view(paused), now=zone.now)
    assert not paused.planner.holds_lease(zone.view(paused), now=zone.now)
    zone.execute(paused, actions)
    paused.paused = False
    zone.run(20)
    assert zone.groups() == repaired and "a-0" not in repaired[0]
    assert len(paused.sent) == n_sent
    kinds = {type(entry.record).__name__ for entry in zone.entries[n_entries:]}
    assert kinds <= {"LeaseTaken", "HostReleased"}
    assert other.planner.holds_lease(zone.view(other), now=zone.now)


def test_decision_under_an_old_lease_has_no_effect(zone: Zone) -> None:
    """Guard against dissolving a complete group for a fault of long ago.

    The holder decides to dissolve a group, and its append is delayed until another
    host has taken the lease.  The log accepts the record in any case.
    """
    paused, other = zone.planners
    lingering: list[AppendRecord] = []

    def fate(action: AppendRecord) -> tuple[float, ...]:
        if isinstance(action.record, LeaseTaken):
            return (0.0,)
        lingering.append(action)
        return (30.0,)

    zone.append_delays = fate
    zone.engines_by_host["a-0"].answers = False
    zone.run_until(lambda: lingering, at_most=10)
    paused.paused = True
    zone.engines_by_host["a-0"].answers = True
    zone.run(35)
    assert other.planner.holds_lease(zone.view(other), now=zone.now)
    assert zone.groups() == [("a-0", "a-1", "a-2", "a-3")]
    assert any("decided under lease" in row.reason for row in zone.truth.ignored)


def test_planner_that_is_cut_off_from_all_hosts_loses_the_lease(zone: Zone) -> None:
    """Guard against dissolving all groups of a zone although all of them serve.

    The holder's network fails towards the hosts but not towards the log, while a peer
    reaches the hosts.  The holder must not conclude that all hosts are dead.
    """
    before = zone.groups()
    holder, other = zone.planners
    holder.cut_from_hosts = True
    zone.run(40)
    assert zone.groups() == before and zone.kinds() == ["formed"]
    assert other.planner.holds_lease(zone.view(other), now=zone.now)
