"""Keep each replica group whole, or replace it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .health import Fault, cause_of

if TYPE_CHECKING:
    from ...state.placement import Group
    from ..actions import Action
    from .health import HostHealth, MemberFault
    from .orders import Orders
    from .outgoing import Outgoing
    from .planning_pass import PlanningPass
    from .view import PlannerLimits

__all__ = ["Repair"]


class Repair:
    """Decide what happens to one group: join, wait, replace or dissolve."""

    def __init__(
        self,
        *,
        limits: PlannerLimits,
        health: HostHealth,
        orders: Orders,
        outgoing: Outgoing,
    ) -> None:
        self._limits = limits
        self._health = health
        self._orders = orders
        self._outgoing = outgoing
        self._first_seen_at_by_group: dict[str, float] = {}
        self._was_complete: set[str] = set()

    def observe(self, planning_pass: PlanningPass) -> None:
        """Remember which groups were whole once, and since when each is known."""
        names = {group.name for group in planning_pass.view.live_groups}
        self._first_seen_at_by_group = {
            name: self._first_seen_at_by_group.get(name, planning_pass.now)
            for name in names
        }
        self._was_complete &= names
        self._was_complete |= {
            group.name
            for group in planning_pass.view.live_groups
            if planning_pass.is_complete(group)
        }

    def tick(self, planning_pass: PlanningPass) -> list[Action]:
        """Return what is due for all groups, those of important models first."""
        actions: list[Action] = []
        for group in planning_pass.groups_by_priority:
            if not planning_pass.decisions.is_replaced(group.name):
                actions += self._keep(group, planning_pass)
        return actions

    def _keep(self, group: Group, planning_pass: PlanningPass) -> list[Action]:
        faults = self._health.faults(group, planning_pass.view, now=planning_pass.now)
        lost = [
            fault for fault in faults if self._is_lost(fault, now=planning_pass.now)
        ]
        if lost:
            return self._repair(group, lost, cause_of(faults), planning_pass)
        if group.draining:
            return self._finish_drained(group, planning_pass)
        if group.name not in self._was_complete and self._is_late(
            group, now=planning_pass.now
        ):
            reason = f"was not whole within {self._limits.load_timeout:g} s"
            return planning_pass.dissolve(group, reason)
        return self._orders.join(group, planning_pass.view, now=planning_pass.now)

    def _is_lost(self, fault: MemberFault, *, now: float) -> bool:
        if fault.fault is not Fault.SILENT:
            return True
        silent_for = self._health.silent_for(fault.host, now=now)
        return silent_for >= self._limits.member_timeout

    def _is_late(self, group: Group, *, now: float) -> bool:
        since = self._first_seen_at_by_group[group.name]
        return now - since >= self._limits.load_timeout

    def _repair(
        self,
        group: Group,
        lost: list[MemberFault],
        reason: str,
        planning_pass: PlanningPass,
    ) -> list[Action]:
        replaced = planning_pass.replace(group, reason)
        if replaced:
            return replaced
        if planning_pass.choice.must_wait_for_orders(group):
            return []
        certain = self._is_certain(lost, now=planning_pass.now)
        if certain or planning_pass.choice.can_take(len(group.members)):
            return planning_pass.dissolve(group, reason)
        return []

    def _is_certain(self, lost: list[MemberFault], *, now: float) -> bool:
        # A paused member that returns makes its group whole again at once, while a
        # dissolved group must load anew: without a spare, waiting is cheaper.
        return any(
            fault.fault is not Fault.SILENT
            or self._health.silent_for(fault.host, now=now) >= self._limits.lost_timeout
            for fault in lost
        )

    def _finish_drained(
        self, group: Group, planning_pass: PlanningPass
    ) -> list[Action]:
        ended = self._outgoing.drained(group, planning_pass.view, now=planning_pass.now)
        if not ended:
            return []
        reason = f"{group.draining_reason}; {ended}"
        if planning_pass.is_short_above(group.model):
            return planning_pass.dissolve(group, reason)
        return planning_pass.replace(group, reason) or planning_pass.dissolve(
            group, reason
        )
