"""Form declared groups, more where capacity is left, and make room for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.placement import Group
    from ..actions import Action
    from .capacity import Capacity
    from .look import Look
    from .outgoing import Outgoing

__all__ = ["Forming"]


class Forming:
    """Decide which groups are formed anew and which are drained for others."""

    def __init__(self, *, capacity: Capacity, outgoing: Outgoing) -> None:
        self._capacity = capacity
        self._outgoing = outgoing

    def form_declared(self, look: Look) -> list[Action]:
        """Form what is declared and missing, important models first."""
        actions: list[Action] = []
        for name, model in look.models_by_priority:
            for _ in range(look.n_missing(name)):
                members = look.choice.take(model.hosts_per_group)
                if not members:
                    self._make_room(name, look)
                    break
                actions += look.form(name, members, "declared")
        return actions

    def form_more(self, look: Look) -> list[Action]:
        """Form one group beyond the declared ones, of hosts that are left over."""
        if _is_settling(look):
            return []
        reserved = _reserved_domains(look)
        for name in self._capacity.growing(look.view, now=look.now):
            wanted = self._capacity.is_wanted(name, now=look.now)
            members = self._take_for_growth(name, reserved, look)
            if members:
                reason = "callers wait" if wanted else "hosts were idle"
                return look.form(name, members, reason)
            if wanted:
                self._make_room(name, look)
        return []

    def _take_for_growth(
        self, name: str, reserved: set[str], look: Look
    ) -> tuple[str, ...]:
        model = look.view.configuration.models[name]

        def n_spare(domain: str) -> int:
            if domain in reserved:
                return len(look.view.hosts_by_name)
            return self._capacity.n_spare_hosts(domain, model, look.view)

        return look.choice.take(model.hosts_per_group, n_spare=n_spare)

    def drain(self, look: Look) -> list[Action]:
        """Drain groups that are to end, one of a model at a time."""
        actions: list[Action] = []
        draining = {group.model for group in look.view.live_groups if group.draining}
        for group in look.view.live_groups:
            reason = look.outgoing_by_name.get(group.name, "")
            if group.draining or not reason or group.model in draining:
                continue
            if _waits_for_successor(group, look):
                continue
            draining.add(group.model)
            actions += look.drain(group, reason)
        return actions

    def _make_room(self, model: str, look: Look) -> None:
        is_move = look.n_missing(model) <= 0
        if is_move and not self._capacity.may_move(now=look.now):
            return
        donors = self._capacity.donors(
            look.view,
            look.current,
            model,
            n_available_by_domain=look.choice.n_available_by_domain(look.current),
            now=look.now,
        )
        for group in donors:
            self._outgoing.give(group, f"makes room for {model}")
        if donors:
            self._capacity.moved(now=look.now)


def _is_settling(look: Look) -> bool:
    # Whatever is under repair or loading may need the hosts more, and changes how
    # long callers wait.
    return bool(look.decisions.forming_by_id) or any(
        not look.is_whole(group) for group in look.view.live_groups
    )


def _reserved_domains(look: Look) -> set[str]:
    """Return the domains whose free hosts a missing declared group will need.

    While a group makes room there, the hosts that are free already must not go to
    another one: that one would have to make room in turn, and so on.
    """
    missing = [
        model.hosts_per_group
        for name, model in look.view.configuration.models.items()
        if look.n_missing(name) > 0
    ]
    available = look.choice.n_available_by_domain(look.declared)
    return {
        domain
        for domain, n_hosts in available.items()
        if missing and n_hosts >= min(missing)
    }


def _waits_for_successor(group: Group, look: Look) -> bool:
    """Tell whether a group should serve on until another one is whole."""
    model = look.view.configuration.models.get(group.model)
    if model is None or not look.is_whole(group):
        return False
    own = [other for other in look.current if other.model == group.model]
    if look.decisions.n_forming(group.model):
        return True
    if not all(look.is_whole(other) for other in own):
        return True
    short = len(own) < model.n_groups
    return short and look.choice.can_take(model.hosts_per_group)
