"""Plan one availability zone: form, repair, replace and dissolve replica groups."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..lease import PlannerLease
from .capacity import CapacityPlan
from .decisions import Decisions
from .formation import GroupFormation
from .group_repair import GroupRepair
from .health import HostHealth
from .host_allocator import HostAllocator
from .orders import Orders
from .outage import OutageRepair
from .planning_pass import PlanningPass
from .release import Release
from .retirement import GroupRetirement
from .view import PlannerLimits, PlannerView

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..actions import Action

__all__ = ["Planner", "PlannerLimits", "PlannerView"]


class Planner:
    """Decide which groups the hosts of one zone form, under a lease kept in the log.

    Every entry host of the zone runs a planner, and every planner observes the zone
    at each tick.  Only the planner that holds the lease makes decisions.

    Parameters
    ----------
    holder : str
        Name of this entry host together with its boot id.
    stream : str
        The zone's placement stream.
    new_id : callable
        Return a new unique id for a record or group.
    term : float
        Duration of one lease term in seconds.
    limits : PlannerLimits, optional
        Timeouts, intervals and bounds of the planner.
    """

    def __init__(
        self,
        *,
        holder: str,
        stream: str,
        new_id: Callable[[], str],
        term: float = 6.0,
        limits: PlannerLimits | None = None,
    ) -> None:
        limits = limits or PlannerLimits()
        self._new_id = new_id
        self.lease = PlannerLease(
            holder=holder, stream=stream, new_id=new_id, term=term
        )
        self._decisions = Decisions(
            stream=stream, new_id=new_id, timeout=limits.decision_timeout
        )
        self._orders = Orders(limits=limits)
        self._health = HostHealth(limits=limits)
        self._capacity = CapacityPlan(limits=limits)
        self._retirement = GroupRetirement(limits=limits, health=self._health)
        self._repair = GroupRepair(
            limits=limits,
            health=self._health,
            orders=self._orders,
            retirement=self._retirement,
        )
        self._formation = GroupFormation(
            capacity=self._capacity, retirement=self._retirement
        )
        self._outage = OutageRepair(health=self._health, orders=self._orders)
        self._release = Release(
            limits=limits,
            health=self._health,
            orders=self._orders,
            decisions=self._decisions,
        )

    def holds_lease(self, view: PlannerView, *, now: float) -> bool:
        """Return whether this planner holds a valid lease."""
        return self.lease.holds(view.placement, now=now)

    def release_lease(self, view: PlannerView, *, now: float) -> list[Action]:
        """Return the append that releases the lease for another entry host."""
        return self.lease.release(view.placement, now=now)

    def tick(self, view: PlannerView, *, now: float) -> list[Action]:
        """Return the appends and orders that are due.

        A planner without the lease only tries to take the lease.  During an outage of
        the log, it also repeats the orders to join that groups already had.
        """
        self._observe(view, now=now)
        sees_hosts = _sees_hosts(view, now=now)
        actions = self.lease.tick(view.placement, can_plan=sees_hosts, now=now)
        if not sees_hosts:
            return actions
        if not self.holds_lease(view, now=now):
            # A fold that lacks records sees no lease renewals, as if the log were
            # unavailable.  The groups of such a fold may have ended long ago, and a
            # restarted engine, which has lost its fencing token, would join one of
            # these ended groups again and again.
            if view.placement.complete and self.lease.is_log_unreachable(now=now):
                actions += self._outage.tick(view, now=now)
            return actions
        self._decisions.remove_confirmed(view.placement, now=now)
        planning_pass = self._new_planning_pass(view, now=now)
        self._repair.observe(planning_pass)
        actions += self._release.tick(
            view,
            taken=self._decisions.pending_hosts,
            held_since=self.lease.held_since,
            now=now,
        )
        actions += self._repair.tick(planning_pass)
        actions += self._formation.form_declared(planning_pass)
        actions += self._formation.drain(planning_pass)
        actions += self._formation.form_extra(planning_pass)
        return actions

    def _observe(self, view: PlannerView, *, now: float) -> None:
        self._health.observe(view, now=now)
        self._capacity.observe(view, now=now)
        self._retirement.observe(view, now=now)
        self._orders.forget_groups(set(view.placement.groups_by_name))

    def _new_planning_pass(self, view: PlannerView, *, now: float) -> PlanningPass:
        retirement_reason_by_group = {
            group.name: reason
            for group in view.live_groups
            if (reason := self._retirement.reason(group, view, now=now))
        }
        return PlanningPass(
            view=view,
            now=now,
            allocator=HostAllocator(
                view=view,
                health=self._health,
                orders=self._orders,
                taken=self._decisions.pending_hosts,
                held_since=self.lease.held_since,
                now=now,
            ),
            decisions=self._decisions,
            retirement_reason_by_group=retirement_reason_by_group,
            current=[
                group
                for group in view.live_groups
                if not group.draining and group.name not in retirement_reason_by_group
            ],
            new_id=self._new_id,
        )


def _sees_hosts(view: PlannerView, *, now: float) -> bool:
    """Return whether this process has a fresh report of at least one engine.

    A process without any fresh report is cut off from the hosts.  If this process
    made decisions, it would dissolve every group of the zone; instead it lets the
    lease expire, for a peer that receives reports.
    """
    return any(
        view.confirmations.fresh(host, now=now) is not None
        for host in view.hosts_by_name
    )
