"""Explore what orders that go astray do to members whose head falls silent.

Every run plays the same loss of a head, with one or two orders to its group that are
carried out late, or whose answers are lost.  A server may join another group only once
it has left the former one, or the head of that can't serve any more.
"""

from __future__ import annotations

from itertools import combinations, product

import pytest

from ryelever.coordination.groups.managed_group import MAX_ORDER_DELAY, GroupPhase
from ryelever.coordination.groups.manager import GroupManager
from ryelever.coordination.groups.orders import GroupOrder, OrderKind, OrderOutcome
from ryelever.emulator.server import EmulatedServer
from ryelever.state.directory import Directory, GroupState

from .group_fakes import STALL_TIME, record, server
from .test_group_forming import ENGINE

STEP = 0.2
END = 26.0

#: When the head is lost from sight, and when it shows again if it was only cut off.
CUT_AT, BACK_AT = 6.0, 17.0

#: Seconds after which the entry of a server that is cut off lapses.
LAPSE = 3.6

#: What may become of an order: its answer is lost, or it is carried out so much later.
FATES = (0.0, 2.0, 12.0)

FORMER = record(5, "a", "b", "c")
LATER = record(9, "b", "c", "d")


class Run:
    """Play one loss of a head.

    Parameters
    ----------
    fates : dict of int to float
        Seconds by which orders come late, by their number; their answers are lost.
    crashes : bool
        True where the head is lost for good, False where it is only cut off.
    """

    def __init__(self, *, fates: dict[int, float], crashes: bool) -> None:
        self._fates = fates
        self._crashes = crashes
        self.now = 0.0
        self.n_orders = 0
        self.faults: list[str] = []
        self.joined_at: float | None = None
        self._late: list[tuple[float, GroupOrder]] = []
        self.directory = Directory()
        self.servers = {
            name: EmulatedServer(entry=server(name, staged=frozenset({"large"})))
            for name in "abcd"
        }
        for item in self.servers.values():
            self.directory.put(item.entry, now=0.0)
        self.manager = GroupManager(
            directory=self.directory,
            stall_time=STALL_TIME,
            max_join_time=20.0,
            max_missing_time=0.0,
            list_is_stale=lambda: False,
            log=lambda event, **fields: None,
        )
        self.manager.put(FORMER, now=0.0, decided_here=True)

    def play(self) -> Run:
        """Play to the end."""
        while self.now < END:
            self.now = round(self.now + STEP, 3)
            self._advance()
            self.manager.suspect({"a"} if self.now > CUT_AT + 0.6 else set())
            free = not {"b", "c"} & self.manager.occupied_ids()
            ended = self.manager.phase_of(FORMER.name) is not GroupPhase.FORMING
            if self.now > CUT_AT and free and ended:
                self.manager.put(LATER, now=self.now, decided_here=True)
            for order in self.manager.due_orders(now=self.now):
                self._give(order)
        return self

    def _is_cut(self, name: str) -> bool:
        return name == "a" and self.now >= CUT_AT and not self._is_back()

    def _is_back(self) -> bool:
        return not self._crashes and self.now >= BACK_AT

    def _advance(self) -> None:
        for item in self.servers.values():
            item.advance(seconds=STEP, load_pace=1.0, now=self.now)
        self._stall()
        due = [order for at, order in self._late if at <= self.now]
        self._late = [item for item in self._late if item[0] > self.now]
        for order in due:
            self._carry_out(order)
        for name, item in self.servers.items():
            if not self._is_cut(name):
                self.directory.put(item.entry, now=self.now)
        if self._is_cut("a") and self.now >= CUT_AT + LAPSE:
            self.directory.remove("a", heard_at=CUT_AT)

    def _stall(self) -> None:
        """Break the head off once its group has stood still for long enough."""
        head = self.servers["a"]
        if not head.is_open_head:
            return
        whole = all(self._is_in_former(name) for name in "bc")
        head.whole_until = float("inf") if whole else min(head.whole_until, self.now)
        if self.now - head.whole_until >= STALL_TIME:
            head.break_off()

    def _is_in_former(self, name: str) -> bool:
        report = self.servers[name].entry.group
        return report is not None and report.epoch == FORMER.epoch

    def _give(self, order: GroupOrder) -> None:
        """Let an order go its way."""
        if order.kind is OrderKind.PROBE:
            fate = None
        else:
            fate = self._fates.get(self.n_orders)
            self.n_orders += 1
        if self._is_cut(order.server_id):
            self.manager.answered(order, OrderOutcome.UNKNOWN, now=self.now)
            return
        if fate is None:
            self.manager.answered(order, self._carry_out(order), now=self.now)
            return
        self.manager.answered(order, OrderOutcome.UNKNOWN, now=self.now)
        self._late.append((self.now + fate, order))

    def _carry_out(self, order: GroupOrder) -> OrderOutcome:
        if order.server_id == "a" and self._crashes and self.now >= CUT_AT:
            return OrderOutcome.UNKNOWN
        item = self.servers[order.server_id]
        report = item.entry.group
        outcome = item.obey(order, engine=ENGINE, now=self.now)
        if order.kind is OrderKind.JOIN and outcome is OrderOutcome.IN_PROGRESS:
            if order.epoch == LATER.epoch:
                self.joined_at = self.joined_at or self.now
            if report is not None and report.epoch != order.epoch:
                self._check(order)
        return outcome

    def _check(self, order: GroupOrder) -> None:
        """Note a join of a server whose former head may serve."""
        head = self.servers["a"]
        report = head.entry.group
        lives = not (self._crashes and self.now >= CUT_AT)
        serves = report is not None and report.epoch == FORMER.epoch
        serves = serves and report.state in (GroupState.OPEN, GroupState.CLOSING)
        if lives and serves:
            self.faults.append(f"{order.server_id} at {self.now}")


@pytest.mark.parametrize("crashes", [True, False], ids=["lost", "cut-off"])
def test_survivors_of_a_silent_head_are_used_at_once(crashes: bool) -> None:
    """Lose a head, with every order answered.

    Symptom: all members of a group serve nobody for five seconds.  Sequence: the head
    falls silent, and its group may stand still that long before it breaks off.
    Cause: members waited for the head, though they can leave by themselves.
    """
    run = Run(fates={}, crashes=crashes).play()
    assert run.faults == []
    assert run.joined_at is not None
    assert run.joined_at < CUT_AT + 0.6 + 2.0


@pytest.mark.parametrize("crashes", [True, False], ids=["lost", "cut-off"])
def test_no_two_orders_astray_put_a_server_into_two_groups(crashes: bool) -> None:
    """Let each pair of orders be carried out late, or without an answer.

    Symptom: a server is in two groups, one of which serves.  Sequence: a head is cut
    off from the planner and the store, and serves on with its members; once it has been
    silent for long, they are given to another group.  Cause: silence was taken for a
    sign that the group had broken off, though no member had left it.
    """
    assert max(FATES) < MAX_ORDER_DELAY
    n_orders = Run(fates={}, crashes=crashes).play().n_orders
    chosen = [dict([one]) for one in product(range(n_orders), FATES)]
    for first, second in combinations(range(n_orders), 2):
        chosen += [
            {first: former, second: latter}
            for former, latter in product(FATES, repeat=2)
        ]
    faults = {
        str(fates): found
        for fates in chosen
        if (found := Run(fates=fates, crashes=crashes).play().faults)
    }
    assert faults == {}
