"""Test the component that plans at the OpenAI interface."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from ryelever import planning
from ryelever.coordination.lease import PlannerLease
from ryelever.planning import Planning
from ryelever.state.placement import PlacementFold

from .builders import new_entry

TERM = 6.0


@pytest.mark.parametrize("suspended", [0.0, 8.0])
def test_lease_expires_while_the_machine_is_suspended(
    monkeypatch: pytest.MonkeyPatch, suspended: float
) -> None:
    """Guard against two planners at the same time after a machine was suspended.

    The monotonic clock doesn't count the suspension, and the lease of a holder that
    goes on still looked valid by it.
    """
    now, lag = 0.0, 0.0
    monkeypatch.setattr(planning, "time", SimpleNamespace(monotonic=lambda: now))
    monkeypatch.setattr(planning, "boot_time", lambda: now + lag)
    placement = PlacementFold()
    lease = PlannerLease(holder="a", stream="s", new_id=lambda: "r1", term=TERM)
    planner = SimpleNamespace(
        lease=lease,
        tick=lambda view, now: lease.tick(placement, can_plan=True, now=now),
    )
    component = Planning(
        settings=SimpleNamespace(availability_zone="z"),
        planner=planner,
        configuration=SimpleNamespace(configuration=None, version=0),
        placement=placement,
        hosts_by_name={},
        confirmations=SimpleNamespace(),
        placements_by_zone={},
        demand=lambda: (),
    )
    appended = []
    monkeypatch.setattr(
        component, "fire", lambda event, channel: appended.append(event)
    )
    component._on_control_tick()
    action = appended.pop().args[0]
    placement.apply(new_entry(0, action.record, id=action.record_id))
    now = 0.5
    component._on_control_tick()
    assert lease.holds(placement, now=now)
    now, lag = 0.6, suspended
    component._on_control_tick()
    assert lease.holds(placement, now=now) is (suspended == 0.0)
