"""Test late and unanswered orders to the members of a group whose head is lost.

Each run emulates the same loss of a head, with one or two orders to the head's group
that are executed late or whose answers are lost.  A server may join another group only
after it has left its former group, or after that group's head can't serve any more.
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

#: Length of one step and of the run, in seconds.
STEP = 0.2
RUN_LENGTH = 26.0

#: Time at which the head is lost or cut off, and time at which a head that was only cut
#: off is reachable again.
CUT_AT, RETURN_AT = 6.0, 17.0

#: Seconds after which the entry of a server that is cut off expires.
ENTRY_LIFETIME = 3.6

#: Seconds by which the execution of an order without an answer is delayed; 0 if only
#: the answer is lost.
ORDER_DELAYS = (0.0, 2.0, 12.0)

FORMER = record(5, "a", "b", "c")
LATER = record(9, "b", "c", "d")


class HeadLossRun:
    """Emulate one loss of a group's head.

    Parameters
    ----------
    delays : dict of int to float
        Seconds by which orders are executed late, by order number.  These orders get
        no answer.
    crashes : bool
        True if the head is lost for good, False if it is only cut off.
    """

    def __init__(self, *, delays: dict[int, float], crashes: bool) -> None:
        self._delays = delays
        self._crashes = crashes
        self.now = 0.0
        self.n_orders = 0
        self.faults: list[str] = []
        self.joined_at: float | None = None
        self._late_orders: list[tuple[float, GroupOrder]] = []
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

    def play(self) -> HeadLossRun:
        """Run until the end and return the run."""
        while self.now < RUN_LENGTH:
            self.now = round(self.now + STEP, 3)
            self._advance()
            self.manager.set_stalled_heads({"a"} if self.now > CUT_AT + 0.6 else set())
            free = not {"b", "c"} & self.manager.occupied_ids()
            ended = self.manager.phase_of(FORMER.name) is not GroupPhase.FORMING
            if self.now > CUT_AT and free and ended:
                self.manager.put(LATER, now=self.now, decided_here=True)
            for order in self.manager.due_orders(now=self.now):
                self._deliver(order)
        return self

    def _is_cut(self, name: str) -> bool:
        return name == "a" and self.now >= CUT_AT and not self._has_returned()

    def _has_returned(self) -> bool:
        return not self._crashes and self.now >= RETURN_AT

    def _advance(self) -> None:
        for item in self.servers.values():
            item.advance(seconds=STEP, load_speed=1.0, now=self.now)
        self._stall()
        due = [order for at, order in self._late_orders if at <= self.now]
        self._late_orders = [item for item in self._late_orders if item[0] > self.now]
        for order in due:
            self._execute_order(order)
        for name, item in self.servers.items():
            if not self._is_cut(name):
                self.directory.put(item.entry, now=self.now)
        if self._is_cut("a") and self.now >= CUT_AT + ENTRY_LIFETIME:
            self.directory.remove("a", last_renewed_at=CUT_AT)

    def _stall(self) -> None:
        """Mark the head as broken once its group has stalled for the stall time."""
        head = self.servers["a"]
        if not head.is_open_head:
            return
        is_complete = all(self._is_in_former(name) for name in "bc")
        head.stalled_since = (
            float("inf") if is_complete else min(head.stalled_since, self.now)
        )
        if self.now - head.stalled_since >= STALL_TIME:
            head.report_broken()

    def _is_in_former(self, name: str) -> bool:
        report = self.servers[name].entry.group
        return report is not None and report.epoch == FORMER.epoch

    def _deliver(self, order: GroupOrder) -> None:
        """Deliver an order now, or late and without an answer if it has a delay."""
        if order.kind is OrderKind.PROBE:
            delay = None
        else:
            delay = self._delays.get(self.n_orders)
            self.n_orders += 1
        if self._is_cut(order.server_id):
            self.manager.record_outcome(order, OrderOutcome.UNKNOWN, now=self.now)
            return
        if delay is None:
            self.manager.record_outcome(order, self._execute_order(order), now=self.now)
            return
        self.manager.record_outcome(order, OrderOutcome.UNKNOWN, now=self.now)
        self._late_orders.append((self.now + delay, order))

    def _execute_order(self, order: GroupOrder) -> OrderOutcome:
        if order.server_id == "a" and self._crashes and self.now >= CUT_AT:
            return OrderOutcome.UNKNOWN
        item = self.servers[order.server_id]
        report = item.entry.group
        outcome = item.execute(order, engine=ENGINE, now=self.now)
        if order.kind is OrderKind.JOIN and outcome is OrderOutcome.IN_PROGRESS:
            if order.epoch == LATER.epoch:
                self.joined_at = self.joined_at or self.now
            if report is not None and report.epoch != order.epoch:
                self._check_join(order)
        return outcome

    def _check_join(self, order: GroupOrder) -> None:
        """Record a fault if a server joins while its former head may serve."""
        head = self.servers["a"]
        report = head.entry.group
        is_alive = not (self._crashes and self.now >= CUT_AT)
        is_open = report is not None and report.epoch == FORMER.epoch
        is_open = is_open and report.state in (GroupState.OPEN, GroupState.CLOSING)
        if is_alive and is_open:
            self.faults.append(f"{order.server_id} at {self.now}")


@pytest.mark.parametrize("crashes", [True, False], ids=["lost", "cut-off"])
def test_survivors_of_a_silent_head_are_used_at_once(crashes: bool) -> None:
    """Guard against survivors that stay idle for five seconds after the head is lost.

    The group of a silent head may stall for that long before it is broken.  The members
    must not wait for that, because they can leave the group on their own.
    """
    run = HeadLossRun(delays={}, crashes=crashes).play()
    assert run.faults == []
    assert run.joined_at is not None
    assert run.joined_at < CUT_AT + 0.6 + 2.0


@pytest.mark.parametrize("crashes", [True, False], ids=["lost", "cut-off"])
def test_two_late_orders_never_put_a_server_into_two_groups(crashes: bool) -> None:
    """Guard against a server that is in two groups, one of which serves.

    A head that is cut off from the planner and the store continues to serve with its
    members.  A long silence of the head doesn't show that its group is broken as long
    as no member has left.  Each pair of orders is executed late or gets no answer.
    """
    assert max(ORDER_DELAYS) < MAX_ORDER_DELAY
    n_orders = HeadLossRun(delays={}, crashes=crashes).play().n_orders
    chosen = [dict([one]) for one in product(range(n_orders), ORDER_DELAYS)]
    for first, second in combinations(range(n_orders), 2):
        chosen += [
            {first: former, second: second_delay}
            for former, second_delay in product(ORDER_DELAYS, repeat=2)
        ]
    faults = {
        str(delays): found
        for delays in chosen
        if (found := HeadLossRun(delays=delays, crashes=crashes).play().faults)
    }
    assert faults == {}
