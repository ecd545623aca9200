"""Test late, repeated and lost orders to engines with and without fencing checks."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ryelever.coordination.actions import SendOrder

from ...zone import Engine, Zone, new_zone

OLD_JOIN = SendOrder(
    host="h",
    address="h",
    kind="join",
    group="old",
    fencing=10,
    members=("h",),
    expires_ms=1_003_000,
)
OLD_LEAVE = replace(OLD_JOIN, kind="leave", fencing=12, expires_ms=1_004_000)
NEW_JOIN = replace(OLD_JOIN, group="new", fencing=20, expires_ms=1_009_000)


#: Orders with their delivery times, the final group of an engine that checks fencing
#: tokens, and that of an engine that ignores them.  The engine's clock reads 1,000 s
#: at time 0.
CASES = {
    "in order": ([(0, OLD_JOIN)], "old", "old"),
    "left and joined anew": (
        [(0, OLD_JOIN), (1, OLD_LEAVE), (6, NEW_JOIN)],
        "new",
        "new",
    ),
    "old order after its deadline": (
        [(0, OLD_JOIN), (1, OLD_LEAVE), (6, NEW_JOIN), (7, OLD_JOIN)],
        "new",
        "new",
    ),
    # Because of this case the planner waits before it forms the new group.  The tests
    # with a zone below check that it waits.
    "old order before its deadline, new group formed too early": (
        [(0, OLD_JOIN), (1, OLD_LEAVE), (2, NEW_JOIN), (2.5, OLD_JOIN)],
        "new",
        "old",
    ),
    "old order after the host left": (
        [(0, OLD_JOIN), (1, OLD_LEAVE), (2, OLD_JOIN)],
        "",
        "old",
    ),
    "old leave after the new join": (
        [(0, OLD_JOIN), (3, NEW_JOIN), (3.5, OLD_LEAVE)],
        "new",
        "new",
    ),
    "order repeated": ([(0, OLD_JOIN), (1, OLD_JOIN)], "old", "old"),
    "late from the start": ([(4, OLD_JOIN)], "", ""),
    "leave overtakes its join": ([(0, OLD_LEAVE), (1, OLD_JOIN)], "", "old"),
}


@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize(("orders", "checking", "ignoring"), CASES.values(), ids=CASES)
def test_engine_obeys_orders(
    orders: list[tuple[float, SendOrder]],
    checking: str,
    ignoring: str,
    checks_fencing: bool,
) -> None:
    """Deliver each row's orders to an engine that checks or ignores fencing tokens.

    The planner relies on this behavior.
    """
    engine = Engine(host="h", checks_fencing=checks_fencing)
    for at, order in orders:
        engine.execute(order, now=float(at))
    assert engine.group == (checking if checks_fencing else ignoring)


def _make_zone(checks_fencing: bool, *, n_planners: int = 1) -> Zone:
    return new_zone(a=5, checks_fencing=checks_fencing, n_planners=n_planners)


class _ObeyWatch:
    """Record each order by which an engine left its current group for another one."""

    def __init__(self, zone: Zone) -> None:
        self.zone = zone
        self.violations: list[str] = []
        zone.on_execute = self.obeyed

    def obeyed(self, engine: Engine, order: SendOrder, before: str) -> None:
        claimed_by = self.zone.group_of(engine.host)
        if order.kind == "join" and before == claimed_by != order.group:
            self.violations.append(f"{engine.host} left {before} for {order.group}")


@pytest.mark.parametrize("delay", [0.5, 1.0, 2.0, 2.8, 3.2, 5.0, 12.0])
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_late_order_never_breaks_a_new_group(
    checks_fencing: bool, delay: float
) -> None:
    """Deliver every order a second time, late, while a group is repaired twice.

    Guards against a complete group losing a healthy member: an order to join is
    delayed, its group ends, its host joins another group, and the order arrives.  An
    engine that obeys the latest order to arrive leaves its new group.
    """
    zone = _make_zone(checks_fencing)
    obey_watch = _ObeyWatch(zone)
    zone.order_delays = lambda order: (0.0, delay)
    zone.run_until(zone.groups, at_most=8)
    for host in zone.groups()[0]:
        zone.engines_by_host[host].state = "broken"
    zone.run(5.0)
    zone.engines_by_host["a-1"].refuses = True
    zone.run(25)
    assert len(zone.groups()) == 1 and "a-1" not in zone.groups()[0]
    assert obey_watch.violations == []


@pytest.mark.parametrize("delay", [1.6, 1.8, 2.0, 2.2, 2.4])
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_next_lease_holder_waits_until_earlier_orders_expire(
    checks_fencing: bool, delay: float
) -> None:
    """Deliver orders of the former lease holder after the next one has repaired.

    Guards against a complete group losing a healthy member through two planners.  The
    lease holder orders a group to join and returns the lease, and its orders are
    delayed.  The next holder, which doesn't know of these orders, dissolves the group
    and forms another.
    """
    zone = _make_zone(checks_fencing, n_planners=2)
    obey_watch = _ObeyWatch(zone)
    first, _ = zone.planners
    zone.order_delays = lambda order: (0.0, delay) if order in first.sent else (0.0,)
    zone.run_until(lambda: first.sent, at_most=5)
    zone.run(0.2)
    zone.execute(first, first.planner.release_lease(zone.view(first), now=zone.now))
    zone.run_until(zone.groups, at_most=2)
    zone.engines_by_host["a-0"].refuses = True
    first.paused = True
    zone.run(20)
    assert obey_watch.violations == [] and len(zone.groups()) == 1


def test_order_deadline_is_on_the_engines_own_clock() -> None:
    """Send orders to engines whose clocks differ by hours.

    Guards against orders that are refused, or obeyed hours late, because clocks of
    hosts that were booted at different times are compared.
    """
    zone = _make_zone(False)
    for number, engine in enumerate(zone.engines_by_host.values()):
        engine.clock_offset = 10_000.0 * number + 1
    zone.run_until(zone.groups, at_most=10)
    for order in zone.planners[0].sent:
        offset = zone.engines_by_host[order.host].clock_offset
        deadline = order.expires_ms / 1000 - offset
        assert 100 < deadline <= zone.now + 3.0
