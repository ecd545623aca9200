"""Test in simulated time that a host that was paused doesn't plan beside another."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from ryelever.coordination.host_heartbeats import (
    TAKEOVER_CHECK_TIME,
    HostAddress,
)
from ryelever.group_planning import MAX_TICK_GAP

from .planned_zone import STEP, ZONE, PlannedZone

#: Maximum seconds until all groups serve, and until a crash or a pause has no effects.
START_TIME = 20.0
SETTLING_TIME = 12.0

#: Steps with random faults, and the share of them that begins or ends one.
FAULTY_STEPS = 250
FAULT_RATE = 0.06

#: Seconds in which a planner repairs a group without weights to load.
REPAIR_TIME = 3.5


@pytest.fixture
def start(monkeypatch: pytest.MonkeyPatch) -> Callable[..., PlannedZone]:
    def start_hosts(*hosts: str) -> PlannedZone:
        zone = PlannedZone(monkeypatch, hosts=hosts)
        zone.run_until_whole(within=START_TIME)
        zone.run(1.0)
        assert zone.planners == [min(hosts)]
        return zone

    return start_hosts


def _head(zone: PlannedZone) -> str:
    return min(zone.open_groups().values())[0]


@pytest.mark.parametrize("is_counted", [True, False], ids=["process", "machine"])
@pytest.mark.parametrize("before_sending", [False, True], ids=["idle", "deciding"])
@pytest.mark.parametrize("seconds", [0.8, 1.7, 2.7, 3.3, 6.0])
@pytest.mark.parametrize("crashes_after", [-0.2, 0.0, 0.1, 0.6, 1.5])
def test_members_do_not_join_while_another_planner_opens_their_group(
    start: Callable[..., PlannedZone],
    crashes_after: float,
    seconds: float,
    before_sending: bool,
    is_counted: bool,
) -> None:
    """Guard against a server that joins a group while the head of its former is open.

    A head restarts while the planner is paused, or suspended with its machine, and
    another host opens the group again under the same epoch.  The first thing that the
    former planner reads when it goes on is that the head is in no group.
    """
    zone = start("e1", "e2", "e3")
    head = _head(zone)
    if crashes_after < 0.0:
        zone.crash(head)
        zone.run(-crashes_after)
    zone.host("e1").pause(seconds, is_counted=is_counted, before_sending=before_sending)
    if crashes_after >= 0.0:
        zone.run(crashes_after)
        zone.crash(head)
    zone.run(seconds + SETTLING_TIME)
    assert zone.faults == []
    assert len(zone.open_groups()) == 2
    assert len(zone.planners) == 1


@pytest.mark.parametrize("append_delay", [0.3, 1.5, 3.0])
def test_late_append_of_a_paused_planner_takes_no_members(
    start: Callable[..., PlannedZone], append_delay: float
) -> None:
    """Guard against an append from before a pause that its planner still acts on."""
    zone = start("e1", "e2", "e3")
    head = _head(zone)
    zone.append_delay = append_delay
    zone.crash(head)
    zone.run(0.5)
    zone.host("e1").pause(3.0)
    zone.run(3.0 + SETTLING_TIME)
    zone.append_delay = 0.0
    zone.run(SETTLING_TIME)
    assert zone.faults == []
    assert len(zone.open_groups()) == 2


@pytest.mark.parametrize("seconds", [2.7, 3.3])
def test_paused_planner_yields_to_the_one_that_took_over(
    start: Callable[..., PlannedZone], seconds: float
) -> None:
    """Guard against a group that is ended twice for one loss of its head.

    The planner that took over has repaired the group, and must not yield to a planner
    that doesn't know of the repair.
    """
    zone = start("e1", "e2", "e3")
    zone.run(0.2)
    zone.crash(_head(zone))
    zone.host("e1").pause(seconds)
    zone.run(seconds - STEP)
    assert zone.planners == ["e1", "e2"]
    n_left = zone.n_left
    zone.run(SETTLING_TIME)
    assert zone.planners == ["e2"]
    assert zone.n_left == n_left
    assert len(zone.open_groups()) == 2


def test_refused_order_is_not_sent_again_after_a_pause(
    start: Callable[..., PlannedZone],
) -> None:
    """Guard against an order from before a pause that another host is to confirm."""
    zone = start("e1", "e2")
    planner, head = zone.host("e1"), _head(zone)
    address = HostAddress(host="e2", address="e2:80", availability_zone=ZONE)
    planner.witnesses = [address]
    zone.stalled_heads, zone.refusing_ids = {head}, {head}
    planner.orders.clear()
    zone.run(STEP)
    assert head in [order.server_id for _, order in planner.orders]
    planner.pause(3.0)
    zone.run(3.0)
    resumed_at = zone.now
    zone.run(SETTLING_TIME)
    late = [at for at, _ in planner.orders if 0.0 <= at - resumed_at < 0.5]
    assert late == []


def test_planner_that_is_alone_goes_on_soon(start: Callable[..., PlannedZone]) -> None:
    """Guard against a zone without repairs after a pause of its only host."""
    zone = start("e1")
    zone.host("e1").pause(3.0)
    zone.run(1.0)
    zone.crash(_head(zone))
    zone.run(2.0)
    zone.run_until_whole(within=REPAIR_TIME + TAKEOVER_CHECK_TIME)


def test_all_hosts_go_on_soon_after_a_pause_of_all(
    start: Callable[..., PlannedZone],
) -> None:
    """Guard against hosts each of which waits for another one to plan."""
    zone = start("e1", "e2", "e3")
    for host in zone.hosts:
        host.pause(3.0)
    zone.crash(_head(zone))
    zone.run(3.0)
    zone.run_until_whole(within=REPAIR_TIME + TAKEOVER_CHECK_TIME)


def test_planner_goes_on_while_the_store_is_away(
    start: Callable[..., PlannedZone],
) -> None:
    """Guard against stalled groups that nobody ends after a pause in an outage.

    A new planner could not list the log before the store returns.
    """
    zone = start("e1", "e2")
    head, other = min(zone.open_groups().values())
    zone.store.is_away = True
    zone.run(1.0)
    zone.host("e1").pause(2.0)
    zone.crash(other)
    zone.stalled_heads = {head}
    zone.run(2.0 + TAKEOVER_CHECK_TIME + 1.0)
    assert zone.servers_by_id[head].entry.group is None
    zone.store.is_away = False
    zone.run_until_whole(within=REPAIR_TIME + TAKEOVER_CHECK_TIME)
    assert zone.faults == []


def test_short_delays_do_not_replace_the_planner(
    start: Callable[..., PlannedZone],
) -> None:
    """Guard against repairs that wait after each delay of the event loop."""
    zone = start("e1", "e2")
    planner = zone.host("e1").planning.planners_by_zone[ZONE]
    for _ in range(3):
        zone.host("e1").pause(MAX_TICK_GAP - 2 * STEP)
        zone.run(1.0)
    assert zone.host("e1").planning.planners_by_zone[ZONE] is planner
    assert zone.planners == ["e1"]


def _inject(zone: PlannedZone, generator: random.Random) -> None:
    """Begin or end one random fault."""
    fault = generator.choice(["pause", "crash", "crash", "cut", "store", "append"])
    host = generator.choice(zone.hosts)
    if fault == "pause" and not host.is_paused:
        host.pause(
            round(generator.uniform(0.3, 4.5), 1),
            is_counted=generator.random() < 0.7,
            before_sending=generator.random() < 0.4,
        )
    elif fault == "crash":
        zone.crash(generator.choice("abcd"))
    elif fault == "cut":
        host.is_cut_off = not host.is_cut_off
    elif fault == "store":
        zone.store.is_away = not zone.store.is_away
    elif fault == "append":
        zone.append_delay = generator.choice([0.0, 0.5, 1.5, 3.0])


@pytest.mark.parametrize("seed", [17, 48, 72, 87, *range(100, 112)])
def test_planners_beside_each_other_put_no_server_into_two_groups(
    start: Callable[..., PlannedZone], seed: int
) -> None:
    """Guard against hosts that plan at the same time and open or take one group.

    Hosts are paused and cut off from each other, and the store is away or late.
    """
    zone = start("e1", "e2", "e3")
    generator = random.Random(seed)
    for _ in range(FAULTY_STEPS):
        zone.run(STEP)
        if generator.random() < FAULT_RATE:
            _inject(zone, generator)
    for host in zone.hosts:
        host.is_cut_off = False
    zone.store.is_away = False
    zone.append_delay = 0.0
    zone.run(2 * SETTLING_TIME)
    assert zone.faults == []
    assert len(zone.open_groups()) == 2
    assert len(zone.planners) == 1
