"""Test the planner's lease: terms, pauses, races, return."""

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


class _Taker:
    """Read and append for one lease, with delays that the test sets."""

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

    def look(self, now: float, *, wanted: bool = True) -> None:
        self.unsent += self.lease.tick(self.fold, wanted=wanted, now=now)

    def send(self) -> None:
        for action in self.unsent:
            entry = new_entry(len(self.log), action.record, id=action.record_id)
            self.log.append(entry)
        self.unsent = []

    def take(self, now: float) -> None:
        self.read()
        self.look(now)
        self.send()
        self.read()
        self.look(now)

    def holds(self, now: float) -> bool:
        return self.lease.holds(self.fold, now=now)


@pytest.fixture
def log() -> list[Entry]:
    return []


@pytest.mark.parametrize(
    ("read_back_at", "asked_again"),
    [(0.1, False), (1.9, False), (5.0, False), (3.0, True), (7.0, False)],
)
def test_term_counts_from_before_the_question(
    log: list[Entry], read_back_at: float, asked_again: bool
) -> None:
    """Read the own lease back late.

    Symptom: two holders at once.  Sequence: the append takes effect, its record is
    read back seconds later.  Cause: a term that is counted from the reading goes on
    after others, who read it earlier, have counted it out.
    """
    taker = _Taker("a", log)
    taker.look(0.0)
    taker.send()
    if asked_again:
        taker.look(TERM / 3)
    taker.read()
    taker.look(read_back_at)
    assert taker.holds(read_back_at) is (read_back_at < TERM)
    assert not taker.holds(TERM)


def test_another_waits_longer_than_the_holder_may_act(log: list[Entry]) -> None:
    """Take the lease of a silent holder.

    Symptom: two holders at once.  Sequence: the holder stops; another one counts.
    Cause: their clocks differ in rate, and both count the same term.
    """
    holder, other = _Taker("a", log), _Taker("b", log)
    holder.take(0.0)
    other.read()
    other.look(0.0)
    other.look(TERM * 1.1)
    assert other.unsent == [] and not holder.holds(TERM * 1.1)
    other.take(TERM * 1.3)
    assert other.holds(TERM * 1.3)


def test_reader_that_starts_late_counts_from_its_own_reading(
    log: list[Entry],
) -> None:
    """Start an entry host next to a living holder.

    Symptom: the lease is taken from a living holder.  Sequence: the holder renews
    just after the new process has read.  Cause: the age of a record in the log says
    nothing on the reader's clock.
    """
    holder, other = _Taker("a", log), _Taker("b", log)
    holder.take(0.0)
    other.read()
    other.look(100.0)
    other.look(100.0 + TERM)
    assert other.unsent == []


def test_first_of_racing_takers_holds_alone(log: list[Entry]) -> None:
    """Let two take the free lease at once.

    Symptom: both plan.  Sequence: both read that nobody holds it, both append.
    Cause: each sees its own append succeed.
    """
    takers = [_Taker("a", log), _Taker("b", log)]
    for taker in takers:
        taker.look(0.0)
    for taker in takers:
        taker.send()
    for taker in takers:
        taker.read()
        taker.look(0.1)
    assert [taker.holds(0.1) for taker in takers] == [True, False]


def test_lost_answer_does_not_lose_the_lease(log: list[Entry]) -> None:
    """Ask twice before the first question is read back.

    Symptom: with a slow log nobody ever holds the lease.  Sequence: the second
    question is asked before the first is read back, and is ignored as stale.
    Cause: only the newest question was remembered.
    """
    taker = _Taker("a", log)
    for now in (0.0, 2.1, 4.2):
        taker.look(now)
    taker.send()
    taker.read()
    taker.look(4.3)
    assert taker.holds(4.3) and not taker.holds(6.0)


def test_returned_lease_is_taken_at_once(log: list[Entry]) -> None:
    """Stop the holder in good order.

    Symptom: a member dies during a planned restart and waits out a whole term.
    Sequence: graceful shutdown of the holder.  Cause: the lease was left to lapse.
    """
    holder, other = _Taker("a", log), _Taker("b", log)
    holder.take(0.0)
    other.read()
    other.look(0.0)
    holder.unsent = holder.lease.give_back(holder.fold, now=1.0)
    assert not holder.holds(1.0)
    holder.send()
    holder.read()
    holder.look(5.0)
    assert holder.unsent == []
    other.take(1.1)
    assert other.holds(1.1)


def test_unfit_process_does_not_renew(log: list[Entry]) -> None:
    """Leave the lease of a process that sees no host to a peer."""
    holder = _Taker("a", log)
    holder.take(0.0)
    holder.look(TERM / 2, wanted=False)
    assert holder.unsent == []


@pytest.fixture
def zone() -> Zone:
    return new_zone(a=6, n_planners=2, weights=Weights(), serves_within=20)


def test_holder_that_wakes_after_its_term_only_looks(zone: Zone) -> None:
    """Pause the holder beyond its term while a member dies.

    Symptom: a host is ordered by two planners.  Sequence: the holder is paused, the
    other one takes over and repairs, the first wakes before it has read anything.
    Cause: it acts on what it knew before the pause.
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
    zone.do(paused, actions)
    paused.paused = False
    zone.run(20)
    assert zone.groups() == repaired and "a-0" not in repaired[0]
    assert len(paused.sent) == n_sent
    kinds = {type(entry.record).__name__ for entry in zone.entries[n_entries:]}
    assert kinds <= {"LeaseTaken", "HostReleased"}
    assert other.planner.holds_lease(zone.view(other), now=zone.now)


def test_decision_under_an_old_lease_has_no_effect(zone: Zone) -> None:
    """Let a decision of a paused holder arrive after its lease is another's.

    Symptom: a whole group is dissolved for a fault of long ago.  Sequence: the
    holder decides, its append lingers, another takes the lease, the append arrives.
    Cause: the log takes any record.
    """
    paused, other = zone.planners
    lingering: list[AppendRecord] = []

    def fate(action: AppendRecord) -> tuple[float, ...]:
        if isinstance(action.record, LeaseTaken):
            return (0.0,)
        lingering.append(action)
        return (30.0,)

    zone.append_fate = fate
    zone.engines_by_host["a-0"].answers = False
    zone.run_until(lambda: lingering, at_most=10)
    paused.paused = True
    zone.engines_by_host["a-0"].answers = True
    zone.run(35)
    assert other.planner.holds_lease(zone.view(other), now=zone.now)
    assert zone.groups() == [("a-0", "a-1", "a-2", "a-3")]
    assert any("decided under lease" in row.reason for row in zone.truth.ignored)


def test_planner_that_is_cut_off_from_all_hosts_gives_way(zone: Zone) -> None:
    """Cut the holder off from every host, while a peer sees them.

    Symptom: every group of the zone is dissolved though all serve.  Sequence: the
    holder's own network fails towards the hosts, not towards the log.  Cause: it
    takes its own blindness for their death.
    """
    before = zone.groups()
    holder, other = zone.planners
    holder.cut_from_hosts = True
    zone.run(40)
    assert zone.groups() == before and zone.kinds() == ["formed"]
    assert other.planner.holds_lease(zone.view(other), now=zone.now)
