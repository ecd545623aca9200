"""Form declared groups, more where capacity is left, and make room for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.placement import Group
    from ..actions import Action
    from .capacity import Capacity
    from .outgoing import Outgoing
    from .planning_pass import PlanningPass

__all__ = ["Forming"]


class Forming:
    """Decide which groups are formed anew and which are drained for others."""

    def __init__(self, *, capacity: Capacity, outgoing: Outgoing) -> None:
        self._capacity = capacity
        self._outgoing = outgoing

    def form_declared(self, planning_pass: PlanningPass) -> list[Action]:
        """Form what is declared and missing, important models first."""
        actions: list[Action] = []
        for name, model in planning_pass.models_by_priority:
            for _ in range(planning_pass.n_missing(name)):
                members = planning_pass.choice.take(model.hosts_per_group)
                if not members:
                    self._make_room(name, planning_pass)
                    break
                actions += planning_pass.form(name, members, "declared")
        return actions

    def form_more(self, planning_pass: PlanningPass) -> list[Action]:
        """Form one group beyond the declared ones, of hosts that are left over."""
        if _is_settling(planning_pass):
            return []
        reserved = _reserved_domains(planning_pass)
        for name in self._capacity.growing(planning_pass.view, now=planning_pass.now):
            wanted = self._capacity.is_wanted(name, now=planning_pass.now)
            members = self._take_for_growth(name, reserved, planning_pass)
            if members:
                reason = "callers wait" if wanted else "hosts were idle"
                return planning_pass.form(name, members, reason)
            if wanted:
                self._make_room(name, planning_pass)
        return []

    def _take_for_growth(
        self, name: str, reserved: set[str], planning_pass: PlanningPass
    ) -> tuple[str, ...]:
        model = planning_pass.view.configuration.models[name]

        def n_spare(domain: str) -> int:
            if domain in reserved:
                return len(planning_pass.view.hosts_by_name)
            return self._capacity.n_spare_hosts(domain, model, planning_pass.view)

        return planning_pass.choice.take(model.hosts_per_group, n_spare=n_spare)

    def drain(self, planning_pass: PlanningPass) -> list[Action]:
        """Drain groups that are to end, one of a model at a time."""
        actions: list[Action] = []
        draining = {
            group.model for group in planning_pass.view.live_groups if group.draining
        }
        for group in planning_pass.view.live_groups:
            reason = planning_pass.outgoing_by_name.get(group.name, "")
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
            n_available_by_domain=planning_pass.choice.n_available_by_domain(
                planning_pass.current
            ),
            now=planning_pass.now,
        )
        for group in donors:
            self._outgoing.give(group, f"makes room for {model}")
        if donors:
            self._capacity.moved(now=planning_pass.now)


def _is_settling(planning_pass: PlanningPass) -> bool:
    # Whatever is under repair or loading may need the hosts more, and changes how
    # long callers wait.
    return bool(planning_pass.decisions.forming_by_id) or any(
        not planning_pass.is_complete(group) for group in planning_pass.view.live_groups
    )


def _reserved_domains(planning_pass: PlanningPass) -> set[str]:
    """Return the domains whose free hosts a missing declared group will need.

    While a group makes room there, the hosts that are free already must not go to
    another one: that one would have to make room in turn, and so on.
    """
    missing = [
        model.hosts_per_group
        for name, model in planning_pass.view.configuration.models.items()
        if planning_pass.n_missing(name) > 0
    ]
    available = planning_pass.choice.n_available_by_domain(planning_pass.declared)
    return {
        domain
        for domain, n_hosts in available.items()
        if missing and n_hosts >= min(missing)
    }


def _waits_for_successor(group: Group, planning_pass: PlanningPass) -> bool:
    """Tell whether a group should serve on until another one is whole."""
    model = planning_pass.view.configuration.models.get(group.model)
    if model is None or not planning_pass.is_complete(group):
        return False
    own = [other for other in planning_pass.current if other.model == group.model]
    if planning_pass.decisions.n_forming(group.model):
        return True
    if not all(planning_pass.is_complete(other) for other in own):
        return True
    short = len(own) < model.n_groups
    return short and planning_pass.choice.can_take(model.hosts_per_group)
