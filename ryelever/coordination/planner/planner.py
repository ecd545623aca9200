"""Plan one availability zone: form replica groups, order hosts, repair, change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..lease import PlannerLease
from .capacity import Capacity
from .decisions import Decisions
from .forming import Forming
from .health import HostHealth
from .hosts import HostChoice
from .orders import Orders
from .outage import OutageRepair
from .outgoing import Outgoing
from .planning_pass import PlanningPass
from .release import Release
from .repair import Repair
from .view import PlannerLimits, PlannerView

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..actions import Action

__all__ = ["Planner", "PlannerLimits", "PlannerView"]


class Planner:
    """Decide what one zone's hosts do, under a lease kept in the log.

    Every entry host of the zone has one, and each looks on at every tick; only the
    holder of the lease decides.

    Parameters
    ----------
    holder : str
        Name of this entry host together with its boot id.
    term : float
        Seconds of one lease.
    stream : str
        The zone's placement stream.
    limits : PlannerLimits, optional
        Times and bounds.
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
        self._capacity = Capacity(limits=limits)
        self._outgoing = Outgoing(limits=limits, health=self._health)
        self._repair = Repair(
            limits=limits,
            health=self._health,
            orders=self._orders,
            outgoing=self._outgoing,
        )
        self._forming = Forming(capacity=self._capacity, outgoing=self._outgoing)
        self._outage = OutageRepair(health=self._health, orders=self._orders)
        self._release = Release(
            limits=limits,
            health=self._health,
            orders=self._orders,
            decisions=self._decisions,
        )

    def holds_lease(self, view: PlannerView, *, now: float) -> bool:
        """Tell whether decisions made now are under a valid own lease."""
        return self.lease.holds(view.placement, now=now)

    def give_back_lease(self, view: PlannerView, *, now: float) -> list[Action]:
        """Return the append that lets another entry host plan at once."""
        return self.lease.give_back(view.placement, now=now)

    def tick(self, view: PlannerView, *, now: float) -> list[Action]:
        """Return what is to be done now; nothing but lease work without a lease."""
        self._observe(view, now=now)
        fit = _sees_hosts(view, now=now)
        actions = self.lease.tick(view.placement, wanted=fit, now=now)
        if not fit:
            return actions
        if not self.holds_lease(view, now=now):
            # A fold that lacks records sees no lease move, as if the log were away.
            # Its groups may have ended long ago, and a restarted engine, whose
            # number is lost, would join one of them again and again.
            if view.placement.complete and self.lease.log_is_away(now=now):
                actions += self._outage.tick(view, now=now)
            return actions
        self._decisions.settle(view.placement, now=now)
        planning_pass = self._look(view, now=now)
        self._repair.observe(planning_pass)
        actions += self._release.tick(
            view,
            taken=self._decisions.taken,
            held_since=self.lease.held_since,
            now=now,
        )
        actions += self._repair.tick(planning_pass)
        actions += self._forming.form_declared(planning_pass)
        actions += self._forming.drain(planning_pass)
        actions += self._forming.form_more(planning_pass)
        return actions

    def _observe(self, view: PlannerView, *, now: float) -> None:
        self._health.observe(view, now=now)
        self._capacity.observe(view, now=now)
        self._outgoing.observe(view, now=now)
        self._orders.forget_groups(set(view.placement.groups_by_name))

    def _look(self, view: PlannerView, *, now: float) -> PlanningPass:
        outgoing_by_name = {
            group.name: reason
            for group in view.live_groups
            if (reason := self._outgoing.reason(group, view, now=now))
        }
        return PlanningPass(
            view=view,
            now=now,
            choice=HostChoice(
                view=view,
                health=self._health,
                orders=self._orders,
                taken=self._decisions.taken,
                held_since=self.lease.held_since,
                now=now,
            ),
            decisions=self._decisions,
            outgoing_by_name=outgoing_by_name,
            current=[
                group
                for group in view.live_groups
                if not group.draining and group.name not in outgoing_by_name
            ],
            new_id=self._new_id,
        )


def _sees_hosts(view: PlannerView, *, now: float) -> bool:
    """Tell whether this process sees any engine at all.

    One that sees none is cut off itself.  Were it to decide, it would dissolve
    every group of the zone; it lets the lease run out for a peer that sees them.
    """
    return any(
        view.confirmations.fresh(host, now=now) is not None
        for host in view.hosts_by_name
    )
