"""Form declared groups and, on idle hosts, extra groups; drain groups to make room."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.placement import Group
    from ..actions import Action
    from .capacity import CapacityPlan
    from .planning_pass import PlanningPass
    from .retirement import GroupRetirement

__all__ = ["GroupFormation"]


class GroupFormation:
    """Decide which groups are formed and which are drained."""

    def __init__(self, *, capacity: CapacityPlan, retirement: GroupRetirement) -> None:
        self._capacity = capacity
        self._retirement = retirement

    def form_declared(self, planning_pass: PlanningPass) -> list[Action]:
        """Return the appends of missing declared groups, highest priority first.

        Where hosts are missing, groups of other models are marked to be drained.
        """
        actions: list[Action] = []
        for name, model in planning_pass.models_by_priority:
            for _ in range(planning_pass.n_missing(name)):
                members = planning_pass.allocator.allocate(model.hosts_per_group)
                if not members:
                    self._make_room(name, planning_pass)
                    break
                actions += planning_pass.form(name, members, "declared")
        return actions

    def form_extra(self, planning_pass: PlanningPass) -> list[Action]:
        """Return the append of one group beyond the declared ones, on idle hosts."""
        if _is_settling(planning_pass):
            return []
        reserved = _reserved_domains(planning_pass)
        for name in self._capacity.growth_candidates(
            planning_pass.view, now=planning_pass.now
        ):
            has_demand = self._capacity.has_lasting_demand(name, now=planning_pass.now)
            members = self._allocate_for_growth(name, reserved, planning_pass)
            if members:
                reason = "callers wait" if has_demand else "hosts were idle"
                return planning_pass.form(name, members, reason)
            if has_demand:
                self._make_room(name, planning_pass)
        return []

    def _allocate_for_growth(
        self, name: str, reserved: set[str], planning_pass: PlanningPass
    ) -> tuple[str, ...]:
        model = planning_pass.view.configuration.models[name]

        def n_spare(domain: str) -> int:
            if domain in reserved:
                return len(planning_pass.view.hosts_by_name)
            return self._capacity.n_spare_hosts(domain, model, planning_pass.view)

        return planning_pass.allocator.allocate(model.hosts_per_group, n_spare=n_spare)

    def drain(self, planning_pass: PlanningPass) -> list[Action]:
        """Return the appends that start draining groups, one per model at a time."""
        actions: list[Action] = []
        draining = {
            group.model for group in planning_pass.view.live_groups if group.draining
        }
        for group in planning_pass.view.live_groups:
            reason = planning_pass.retirement_reason_by_group.get(group.name, "")
            if group.draining or not reason or group.model in draining:
                continue
            if _waits_for_successor(group, planning_pass):
                continue
            draining.add(group.model)
            actions += planning_pass.drain(group, reason)
        return actions

    def _make_room(self, model: str, planning_pass: PlanningPass) -> None:
        is_move = planning_pass.n_missing(model) <= 0
        if is_move and not self._capacity.may_move(now=planning_pass.now):
            return
        donors = self._capacity.donors(
            planning_pass.view,
            planning_pass.current,
            model,
            n_available_by_domain=planning_pass.allocator.n_available_by_domain(
                planning_pass.current
            ),
            now=planning_pass.now,
        )
        for group in donors:
            self._retirement.retire(group, f"makes room for {model}")
        if donors:
            self._capacity.moved(now=planning_pass.now)


def _is_settling(planning_pass: PlanningPass) -> bool:
    # A group that is being repaired or is loading may need the hosts more urgently,
    # and its completion changes how long callers wait.
    return bool(planning_pass.decisions.pending_groups_by_id) or any(
        not planning_pass.is_complete(group) for group in planning_pass.view.live_groups
    )


def _reserved_domains(planning_pass: PlanningPass) -> set[str]:
    """Return the domains whose free hosts a missing declared group will need.

    While a group is drained there for the declared group, the hosts that are already
    free must not go to another group.  Otherwise this other group would have to be
    drained next, and so on.
    """
    missing_group_sizes = [
        model.hosts_per_group
        for name, model in planning_pass.view.configuration.models.items()
        if planning_pass.n_missing(name) > 0
    ]
    available = planning_pass.allocator.n_available_by_domain(planning_pass.declared)
    return {
        domain
        for domain, n_hosts in available.items()
        if missing_group_sizes and n_hosts >= min(missing_group_sizes)
    }


def _waits_for_successor(group: Group, planning_pass: PlanningPass) -> bool:
    """Return whether a group should keep serving until its successor is complete."""
    model = planning_pass.view.configuration.models.get(group.model)
    if model is None or not planning_pass.is_complete(group):
        return False
    model_groups = [
        other for other in planning_pass.current if other.model == group.model
    ]
    if planning_pass.decisions.n_pending_groups(group.model):
        return True
    if not all(planning_pass.is_complete(other) for other in model_groups):
        return True
    is_short = len(model_groups) < model.n_groups
    return is_short and planning_pass.allocator.can_allocate(model.hosts_per_group)
