"""Keep each replica group complete, or replace it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .health import Fault, describe_causes

if TYPE_CHECKING:
    from ...state.placement import Group
    from ..actions import Action
    from .health import HostHealth, MemberFault
    from .orders import Orders
    from .planning_pass import PlanningPass
    from .retirement import GroupRetirement
    from .view import PlannerLimits

__all__ = ["GroupRepair"]


class GroupRepair:
    """Decide for each group whether to order joins, wait, replace or dissolve it."""

    def __init__(
        self,
        *,
        limits: PlannerLimits,
        health: HostHealth,
        orders: Orders,
        retirement: GroupRetirement,
    ) -> None:
        self._limits = limits
        self._health = health
        self._orders = orders
        self._retirement = retirement
        self._first_seen_at_by_group: dict[str, float] = {}
        self._was_complete: set[str] = set()

    def observe(self, planning_pass: PlanningPass) -> None:
        """Record which groups have been complete, and when each was first seen."""
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
        """Return the due actions for all groups, highest model priority first."""
        actions: list[Action] = []
        for group in planning_pass.groups_by_priority:
            if not planning_pass.decisions.is_replaced(group.name):
                actions += self._maintain(group, planning_pass)
        return actions

    def _maintain(self, group: Group, planning_pass: PlanningPass) -> list[Action]:
        faults = self._health.faults(group, planning_pass.view, now=planning_pass.now)
        lost = [
            fault for fault in faults if self._is_lost(fault, now=planning_pass.now)
        ]
        if lost:
            return self._repair(group, lost, describe_causes(faults), planning_pass)
        if group.draining:
            return self._end_drained_group(group, planning_pass)
        if group.name not in self._was_complete and self._load_timed_out(
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

    def _load_timed_out(self, group: Group, *, now: float) -> bool:
        since = self._first_seen_at_by_group[group.name]
        return now - since >= self._limits.load_timeout

    def _repair(
        self,
        group: Group,
        lost: list[MemberFault],
        reason: str,
        planning_pass: PlanningPass,
    ) -> list[Action]:
        replacement = planning_pass.replace(group, reason)
        if replacement:
            return replacement
        if planning_pass.allocator.has_outstanding_orders(group):
            return []
        loss_is_certain = self._is_loss_certain(lost, now=planning_pass.now)
        if loss_is_certain or planning_pass.allocator.can_allocate(len(group.members)):
            return planning_pass.dissolve(group, reason)
        return []

    def _is_loss_certain(self, lost: list[MemberFault], *, now: float) -> bool:
        # A paused member that returns makes its group complete again at once, while
        # the successor of a dissolved group must load weights.  Without a spare host,
        # waiting is therefore cheaper.
        return any(
            fault.fault is not Fault.SILENT
            or self._health.silent_for(fault.host, now=now) >= self._limits.lost_timeout
            for fault in lost
        )

    def _end_drained_group(
        self, group: Group, planning_pass: PlanningPass
    ) -> list[Action]:
        drain_outcome = self._retirement.drain_outcome(
            group, planning_pass.view, now=planning_pass.now
        )
        if not drain_outcome:
            return []
        reason = f"{group.draining_reason}; {drain_outcome}"
        if planning_pass.is_higher_priority_model_short(group.model):
            return planning_pass.dissolve(group, reason)
        return planning_pass.replace(group, reason) or planning_pass.dissolve(
            group, reason
        )
