"""Keep each replica group whole, or replace it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .health import Fault, cause_of

if TYPE_CHECKING:
    from ...state.placement import Group
    from ..actions import Action
    from .health import HostHealth, MemberFault
    from .look import Look
    from .orders import Orders
    from .outgoing import Outgoing
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
        self._was_whole: set[str] = set()

    def observe(self, look: Look) -> None:
        """Remember which groups were whole once, and since when each is known."""
        names = {group.name for group in look.view.live_groups}
        self._first_seen_at_by_group = {
            name: self._first_seen_at_by_group.get(name, look.now) for name in names
        }
        self._was_whole &= names
        self._was_whole |= {
            group.name for group in look.view.live_groups if look.is_whole(group)
        }

    def tick(self, look: Look) -> list[Action]:
        """Return what is due for all groups, those of important models first."""
        actions: list[Action] = []
        for group in look.groups_by_priority:
            if not look.decisions.is_replaced(group.name):
                actions += self._keep(group, look)
        return actions

    def _keep(self, group: Group, look: Look) -> list[Action]:
        faults = self._health.faults(group, look.view, now=look.now)
        lost = [fault for fault in faults if self._is_lost(fault, now=look.now)]
        if lost:
            return self._repair(group, lost, cause_of(faults), look)
        if group.draining:
            return self._finish_drained(group, look)
        if group.name not in self._was_whole and self._is_late(group, now=look.now):
            reason = f"was not whole within {self._limits.load_timeout:g} s"
            return look.dissolve(group, reason)
        return self._orders.join(group, look.view, now=look.now)

    def _is_lost(self, fault: MemberFault, *, now: float) -> bool:
        if fault.fault is not Fault.SILENT:
            return True
        silent_for = self._health.silent_for(fault.host, now=now)
        return silent_for >= self._limits.member_timeout

    def _is_late(self, group: Group, *, now: float) -> bool:
        since = self._first_seen_at_by_group[group.name]
        return now - since >= self._limits.load_timeout

    def _repair(
        self, group: Group, lost: list[MemberFault], reason: str, look: Look
    ) -> list[Action]:
        replaced = look.replace(group, reason)
        if replaced:
            return replaced
        if look.choice.must_wait_for_orders(group):
            return []
        certain = self._is_certain(lost, now=look.now)
        if certain or look.choice.can_take(len(group.members)):
            return look.dissolve(group, reason)
        return []

    def _is_certain(self, lost: list[MemberFault], *, now: float) -> bool:
        # A paused member that returns makes its group whole again at once, while a
        # dissolved group must load anew: without a spare, waiting is cheaper.
        return any(
            fault.fault is not Fault.SILENT
            or self._health.silent_for(fault.host, now=now) >= self._limits.lost_timeout
            for fault in lost
        )

    def _finish_drained(self, group: Group, look: Look) -> list[Action]:
        ended = self._outgoing.drained(group, look.view, now=look.now)
        if not ended:
            return []
        reason = f"{group.draining_reason}; {ended}"
        if look.is_short_above(group.model):
            return look.dissolve(group, reason)
        return look.replace(group, reason) or look.dissolve(group, reason)
