"""Restore groups during an outage of the log, by repeating their orders to join.

Without the log no host may change its group.  A group whose member was restarted
needs neither other hosts nor a new fencing token, only the order to join that its
members already had.  This order is the same whichever entry hosts send it, and
however often.

Only engines that check fencing tokens receive the order, because this process may be
the only one that is cut off from the log.  If the group was dissolved meanwhile, its
hosts have a higher fencing token, from their order to leave or from their next group,
and refuse.  A host that lost its fencing token in a restart may obey.  Such a host
then reports the dissolved group, is not counted as a member of any group, and is
ordered to leave by the holder of the lease.  Every engine is in at most one group at
any moment.
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
    """Order the members of a group to rejoin this same group."""

    def __init__(self, *, health: HostHealth, orders: Orders) -> None:
        self._health = health
        self._orders = orders

    def tick(self, view: PlannerView, *, now: float) -> list[Action]:
        """Return the orders to rejoin that are due while the log is unavailable."""
        actions: list[Action] = []
        for group in view.live_groups:
            if not group.draining and self._can_rejoin(group, view, now=now):
                actions += self._orders.join(group, view, now=now, include_broken=True)
        return actions

    def _can_rejoin(self, group: Group, view: PlannerView, *, now: float) -> bool:
        if not all(map(view.checks_fencing, group.members)):
            return False
        # A member without fresh reports cannot join, so the other members would load
        # weights in vain.  If this member is only paused, it may return to the group
        # in the state in which it was.
        faults = self._health.faults(group, view, now=now)
        return all(fault.fault in (Fault.BROKEN, Fault.LEFT) for fault in faults)
