"""Release the hosts of dissolved groups, each only on evidence that it left or is dead.

Without a release, a host that never returns would stay claimed forever.  A host
counts as dead when it has had no fresh report for ``lost_timeout`` while this planner
has held the lease, and for longer than any order can still be obeyed.  Two conditions
keep a dead host that returns out of other groups.  A host is allocated only after a
later report that it is in no group, and a group serves only while each member reports
the group's fencing token.  A host that was only cut off still reports its old group
when it returns, and is ordered to leave.  Until it has left, this host counts neither
as free nor as a serving member.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.records import HostReleased

if TYPE_CHECKING:
    from ...state.placement import Group
    from ..actions import Action
    from .decisions import Decisions
    from .health import HostHealth
    from .orders import Orders
    from .view import PlannerLimits, PlannerView

__all__ = ["Release"]


class Release:
    """Order hosts to leave groups that have ended, and record their release.

    A host that reports a group although the log claims it for none is ordered to leave,
    too.
    """

    def __init__(
        self,
        *,
        limits: PlannerLimits,
        health: HostHealth,
        orders: Orders,
        decisions: Decisions,
    ) -> None:
        self._limits = limits
        self._health = health
        self._orders = orders
        self._decisions = decisions

    def tick(
        self, view: PlannerView, *, taken: set[str], held_since: float, now: float
    ) -> list[Action]:
        """Return the orders to leave and the release records that are due.

        Parameters
        ----------
        taken : set of str
            Hosts of groups whose append was not read back yet.
        held_since : float
            Monotonic time at which this planner first saw its current lease tenure.
        """
        actions: list[Action] = []
        for group in list(view.placement.groups_by_name.values()):
            if group.dissolved:
                for host in sorted(group.unreleased - taken):
                    actions += self._release(
                        group, host, view, held_since=held_since, now=now
                    )
        for host in sorted(view.hosts_by_name):
            if host not in taken and host not in view.placement.group_by_host:
                actions += self._order_unclaimed_host_to_leave(host, view, now=now)
        return actions

    def _release(
        self,
        group: Group,
        host: str,
        view: PlannerView,
        *,
        held_since: float,
        now: float,
    ) -> list[Action]:
        report = view.confirmations.fresh(host, now=now)
        if report is None:
            return self._release_dead_host(
                group, host, view, held_since=held_since, now=now
            )
        if report.group == group.name:
            # The fencing token of the dissolution is above that of the group, so an
            # engine that checks fencing tokens refuses any order for the group that
            # is still in flight.
            return self._orders.leave(report, view, fencing=group.dissolved_at, now=now)
        if not self._orders.joins_expired(host, view, held_since=held_since, now=now):
            return []
        return self._record_release(group, host, view, evidence="left", now=now)

    def _release_dead_host(
        self,
        group: Group,
        host: str,
        view: PlannerView,
        *,
        held_since: float,
        now: float,
    ) -> list[Action]:
        silent_for = min(self._health.silent_for(host, now=now), now - held_since)
        if silent_for < self._limits.dead_after:
            return []
        evidence = "dead" if host in view.hosts_by_name else "gone"
        return self._record_release(group, host, view, evidence=evidence, now=now)

    def _record_release(
        self, group: Group, host: str, view: PlannerView, *, evidence: str, now: float
    ) -> list[Action]:
        record = HostReleased(
            group=group.name,
            host=host,
            lease=view.placement.lease.tenure,
            evidence=evidence,
        )
        return self._decisions.append_once(
            record, key=f"release {group.name} {host}", now=now
        )

    def _order_unclaimed_host_to_leave(
        self, host: str, view: PlannerView, *, now: float
    ) -> list[Action]:
        report = view.confirmations.fresh(host, now=now)
        if report is None or not report.group:
            return []
        fencing = view.placement.lease.offset
        return self._orders.leave(report, view, fencing=fencing, now=now)
