"""Test late, repeated and lost orders at engines of both kinds."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ryelever.coordination.actions import SendOrder

from ...zone import Engine, Zone, new_zone

JOIN = SendOrder(
    host="h",
    address="h",
    kind="join",
    group="old",
    fencing=10,
    members=("h",),
    expires_ms=1_003_000,
)
LEAVE = replace(JOIN, kind="leave", fencing=12, expires_ms=1_004_000)
NEXT = replace(JOIN, group="new", fencing=20, expires_ms=1_009_000)


#: Orders, each with the time of its delivery, and the groups that a checking and an
#: ignoring engine obey.  The engine's clock reads 1,000 s at time 0.
CASES = {
    "in order": ([(0, JOIN)], "old", "old"),
    "left and joined anew": ([(0, JOIN), (1, LEAVE), (6, NEXT)], "new", "new"),
    "old order after its deadline": (
        [(0, JOIN), (1, LEAVE), (6, NEXT), (7, JOIN)],
        "new",
        "new",
    ),
    # What the wait of the planner is for: see the test of the zone below.
    "old order before its deadline, new group formed too early": (
        [(0, JOIN), (1, LEAVE), (2, NEXT), (2.5, JOIN)],
        "new",
        "old",
    ),
    "old order after the host left": ([(0, JOIN), (1, LEAVE), (2, JOIN)], "", "old"),
    "old leave after the new join": (
        [(0, JOIN), (3, NEXT), (3.5, LEAVE)],
        "new",
        "new",
    ),
    "order repeated": ([(0, JOIN), (1, JOIN)], "old", "old"),
    "late from the start": ([(4, JOIN)], "", ""),
    "leave overtakes its join": ([(0, LEAVE), (1, JOIN)], "", "old"),
}


@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize(("orders", "checking", "ignoring"), CASES.values(), ids=CASES)
def test_engine_obeys(
    orders: list[tuple[float, SendOrder]],
    checking: str,
    ignoring: str,
    checks_fencing: bool,
) -> None:
    """State what engines of both kinds do, on which the planner builds."""
    engine = Engine(host="h", checks_fencing=checks_fencing)
    for at, order in orders:
        engine.obey(order, now=float(at))
    assert engine.group == (checking if checks_fencing else ignoring)


def _zone(checks_fencing: bool, *, n_planners: int = 1) -> Zone:
    return new_zone(a=5, checks_fencing=checks_fencing, n_planners=n_planners)


class _Watch:
    """Count the times that an engine left its present group for an older one."""

    def __init__(self, zone: Zone) -> None:
        self.zone = zone
        self.broken: list[str] = []
        zone.on_obey = self.obeyed

    def obeyed(self, engine: Engine, order: SendOrder, before: str) -> None:
        claimed_by = self.zone.group_of(engine.host)
        if order.kind == "join" and before == claimed_by != order.group:
            self.broken.append(f"{engine.host} left {before} for {order.group}")


@pytest.mark.parametrize("delay", [0.5, 1.0, 2.0, 2.8, 3.2, 5.0, 12.0])
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_late_order_never_breaks_a_new_group(
    checks_fencing: bool, delay: float
) -> None:
    """Repeat every order late, while a group is repaired twice in a row.

    Symptom: a whole group loses a member that is healthy.  Sequence: an order to
    join lingers on its way, its group ends, its host joins another, the order
    arrives.  Cause: the engine obeys whatever comes last.
    """
    zone = _zone(checks_fencing)
    watch = _Watch(zone)
    zone.order_fate = lambda order: (0.0, delay)
    zone.run_until(zone.groups, at_most=8)
    for host in zone.groups()[0]:
        zone.engines_by_host[host].state = "broken"
    zone.run(5.0)
    zone.engines_by_host["a-1"].refuses = True
    zone.run(25)
    assert len(zone.groups()) == 1 and "a-1" not in zone.groups()[0]
    assert watch.broken == []


@pytest.mark.parametrize("delay", [1.6, 1.8, 2.0, 2.2, 2.4])
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_next_holder_waits_out_the_orders_of_the_last(
    checks_fencing: bool, delay: float
) -> None:
    """Let an order of the former holder arrive after the next one has repaired.

    Symptom: as above, by two planners.  Sequence: the holder orders a group to
    join, gives the lease back, its orders linger; the next holder dissolves the
    group and forms another.  Cause: the next holder knows nothing of the orders.
    """
    zone = _zone(checks_fencing, n_planners=2)
    watch = _Watch(zone)
    first, _ = zone.planners
    zone.order_fate = lambda order: (0.0, delay) if order in first.sent else (0.0,)
    zone.run_until(lambda: first.sent, at_most=5)
    zone.run(0.2)
    zone.do(first, first.planner.give_back_lease(zone.view(first), now=zone.now))
    zone.run_until(zone.groups, at_most=2)
    zone.engines_by_host["a-0"].refuses = True
    first.paused = True
    zone.run(20)
    assert watch.broken == [] and len(zone.groups()) == 1


def test_order_deadline_is_on_the_engines_own_clock() -> None:
    """Order engines whose clocks differ by hours.

    Symptom: orders are refused, or obeyed hours late.  Sequence: hosts were booted
    at other times.  Cause: two clocks are compared.
    """
    zone = _zone(False)
    for number, engine in enumerate(zone.engines_by_host.values()):
        engine.clock_offset = 10_000.0 * number + 1
    zone.run_until(zone.groups, at_most=10)
    for order in zone.planners[0].sent:
        offset = zone.engines_by_host[order.host].clock_offset
        deadline = order.expires_ms / 1000 - offset
        assert 100 < deadline <= zone.now + 3.0
