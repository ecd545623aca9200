"""Share the state and the decisions of one planning pass among the planner's parts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...state.records import GroupDissolved, GroupDraining, GroupFormed

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.configuration import Model
    from ...state.placement import Group
    from ..actions import Action
    from .decisions import Decisions
    from .host_allocator import HostAllocator
    from .view import PlannerView

__all__ = ["PlanningPass"]


@dataclass(slots=True, kw_only=True)
class PlanningPass:
    """State of the zone at one tick, and the decisions made in this tick.

    Attributes
    ----------
    now : float
        Monotonic time of the planning pass.
    allocator : HostAllocator
        Free hosts that no decision of this planning pass has allocated yet.
    decisions : Decisions
        Decisions already made, including those not yet read back from the log.
    retirement_reason_by_group : dict of str to str
        Reason for which a group is to be drained and ended, by group name.
    current : list of Group
        Groups that count towards the declared number, oldest first.
    """

    view: PlannerView
    now: float
    allocator: HostAllocator
    decisions: Decisions
    retirement_reason_by_group: dict[str, str]
    current: list[Group]
    new_id: Callable[[], str]

    @property
    def tenure(self) -> int:
        """Return the lease tenure under which the decisions are made."""
        return self.view.placement.lease.tenure

    @property
    def models_by_priority(self) -> list[tuple[str, Model]]:
        """Return the declared models, highest priority first."""
        return sorted(
            self.view.configuration.models.items(),
            key=lambda item: (-item[1].priority, item[0]),
        )

    @property
    def groups_by_priority(self) -> list[Group]:
        """Return the groups that are not dissolved, highest model priority first."""
        ranks = {name: rank for rank, (name, _) in enumerate(self.models_by_priority)}
        return sorted(
            self.view.live_groups,
            key=lambda group: ranks.get(group.model, len(ranks)),
        )

    def is_complete(self, group: Group) -> bool:
        """Return whether every member confirms that it serves in the group."""
        return self.view.confirmations.is_complete(group, now=self.now)

    def n_missing(self, model: str) -> int:
        """Return how many declared groups of a model neither exist nor are pending."""
        n_current = sum(group.model == model for group in self.current)
        n_wanted = self.view.configuration.models[model].n_groups
        return n_wanted - n_current - self.decisions.n_pending_groups(model)

    @property
    def declared(self) -> list[Group]:
        """Return the current groups, per model no more than its declared number."""
        groups: list[Group] = []
        for name, model in self.view.configuration.models.items():
            model_groups = [group for group in self.current if group.model == name]
            groups += model_groups[: model.n_groups]
        return groups

    def is_higher_priority_model_short(self, model: str) -> bool:
        """Return whether a model of higher priority lacks declared groups."""
        names = [name for name, _ in self.models_by_priority]
        above = names[: names.index(model)] if model in names else names
        return any(self.n_missing(name) > 0 for name in above)

    def form(
        self, name: str, members: tuple[str, ...], reason: str, *, replaces: str = ""
    ) -> list[Action]:
        """Return the append that forms a group with the model's current declaration."""
        model = self.view.configuration.models[name]
        record = GroupFormed(
            group=f"{name}-{self.new_id()}",
            model=name,
            version=model.version,
            adapters=model.adapter_versions,
            members=members,
            lease=self.tenure,
            configuration_version=self.view.configuration_version,
            reason=reason,
            replaces=replaces,
        )
        return self.decisions.append_group(record, now=self.now)

    def replace(self, group: Group, reason: str) -> list[Action]:
        """Return the append of a successor group of healthy members and spare hosts.

        The list is empty when the model needs no successor or hosts are missing.
        """
        model = self.view.configuration.models.get(group.model)
        if model is None:
            return []
        if group not in self.current and self.n_missing(group.model) <= 0:
            return []
        members = self.allocator.allocate_successor(group, model.hosts_per_group)
        if not members:
            return []
        return self.form(group.model, members, reason, replaces=group.name)

    def drain(self, group: Group, reason: str) -> list[Action]:
        """Return the append that starts draining a group: no new requests go there."""
        record = GroupDraining(group=group.name, lease=self.tenure, reason=reason)
        return self.decisions.append_once(
            record, key=f"drain {group.name}", now=self.now
        )

    def dissolve(self, group: Group, reason: str) -> list[Action]:
        """Return the append that dissolves a group.

        The hosts of the group are released one by one afterwards.
        """
        record = GroupDissolved(group=group.name, lease=self.tenure, reason=reason)
        return self.decisions.append_once(
            record, key=f"dissolve {group.name}", now=self.now
        )
