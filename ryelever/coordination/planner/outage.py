"""Bring groups back while the log is away, without agreeing on anything new.

Without the log no host may change its group.  But a group whose member was restarted
needs no other hosts and no new number: all its members need is the order that they
had already.  Whichever entry hosts send it, and however often, it is the same order.

Only engines that check fencing numbers get it.  This process may be the only one that
is cut off from the log; hosts of a group that was dissolved meanwhile have a higher
number from their order to leave, or from their next group, and refuse.  A host that
lost its number in a restart may obey.  It then reports the dissolved group, counts
for nothing, and is ordered out by whoever holds the lease; every engine is in one
group at any moment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .health import Fault

if TYPE_CHECKING:
    from ...state.placement import Group
    from ..actions import Action
    from .health import HostHealth
    from .orders import Orders
    from .view import PlannerView

__all__ = ["OutageRepair"]


class OutageRepair:
    """Order the members of a group to join the very group that they were in."""

    def __init__(self, *, health: HostHealth, orders: Orders) -> None:
        self._health = health
        self._orders = orders

    def tick(self, view: PlannerView, *, now: float) -> list[Action]:
        """Return the orders that are due while nothing can be agreed."""
        actions: list[Action] = []
        for group in view.live_groups:
            if not group.draining and self._can_rejoin(group, view, now=now):
                actions += self._orders.join(group, view, now=now, again=True)
        return actions

    def _can_rejoin(self, group: Group, view: PlannerView, *, now: float) -> bool:
        if not all(map(view.checks_fencing, group.members)):
            return False
        # A member that does not report cannot join, and the others would load for
        # nothing; a paused one may come back as it was.
        faults = self._health.faults(group, view, now=now)
        return all(fault.fault in (Fault.BROKEN, Fault.LEFT) for fault in faults)
