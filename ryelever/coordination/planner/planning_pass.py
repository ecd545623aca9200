"""Hold one look of the planner at its zone, and what it has decided so far in it."""

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
    from .hosts import HostChoice
    from .view import PlannerView

__all__ = ["PlanningPass"]


@dataclass(slots=True, kw_only=True)
class PlanningPass:
    """Share what all decisions of one tick need.

    Attributes
    ----------
    now : float
        Monotonic time of the look.
    choice : HostChoice
        Free hosts that no decision of this look has taken yet.
    current : list of Group
        Groups that count towards the declared number, oldest first.
    outgoing_by_name : dict of str to str
        Why a group is to end, by its name.
    """

    view: PlannerView
    now: float
    choice: HostChoice
    decisions: Decisions
    outgoing_by_name: dict[str, str]
    current: list[Group]
    new_id: Callable[[], str]

    @property
    def tenure(self) -> int:
        """Return the lease that decisions name."""
        return self.view.placement.lease.tenure

    @property
    def models_by_priority(self) -> list[tuple[str, Model]]:
        """Return the declared models, the most important first."""
        return sorted(
            self.view.configuration.models.items(),
            key=lambda item: (-item[1].priority, item[0]),
        )

    @property
    def groups_by_priority(self) -> list[Group]:
        """Return the groups that are not dissolved, of important models first."""
        ranks = {name: rank for rank, (name, _) in enumerate(self.models_by_priority)}
        return sorted(
            self.view.live_groups,
            key=lambda group: ranks.get(group.model, len(ranks)),
        )

    def is_complete(self, group: Group) -> bool:
        """Tell whether every member confirms a group."""
        return self.view.confirmations.is_complete(group, now=self.now)

    def n_missing(self, model: str) -> int:
        """Return how many declared groups of a model are neither there nor formed."""
        n_current = sum(group.model == model for group in self.current)
        n_wanted = self.view.configuration.models[model].n_groups
        return n_wanted - n_current - self.decisions.n_forming(model)

    @property
    def declared(self) -> list[Group]:
        """Return the current groups within the declared numbers."""
        groups: list[Group] = []
        for name, model in self.view.configuration.models.items():
            own = [group for group in self.current if group.model == name]
            groups += own[: model.n_groups]
        return groups

    def is_short_above(self, model: str) -> bool:
        """Tell whether a more important model lacks declared groups."""
        names = [name for name, _ in self.models_by_priority]
        above = names[: names.index(model)] if model in names else names
        return any(self.n_missing(name) > 0 for name in above)

    def form(
        self, name: str, members: tuple[str, ...], reason: str, *, replaces: str = ""
    ) -> list[Action]:
        """Form a group of a model as it is declared now."""
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
        return self.decisions.form(record, now=self.now)

    def replace(self, group: Group, reason: str) -> list[Action]:
        """Form a group in place of one, from its survivors and spare hosts.

        Returns nothing when the model needs none, or when hosts are missing.
        """
        model = self.view.configuration.models.get(group.model)
        if model is None:
            return []
        if group not in self.current and self.n_missing(group.model) <= 0:
            return []
        members = self.choice.take_over(group, model.hosts_per_group)
        if not members:
            return []
        return self.form(group.model, members, reason, replaces=group.name)

    def drain(self, group: Group, reason: str) -> list[Action]:
        """Give a group no new work."""
        record = GroupDraining(group=group.name, lease=self.tenure, reason=reason)
        return self.decisions.once(record, key=f"drain {group.name}", now=self.now)

    def dissolve(self, group: Group, reason: str) -> list[Action]:
        """End a group; its hosts are released one by one."""
        record = GroupDissolved(group=group.name, lease=self.tenure, reason=reason)
        return self.decisions.once(record, key=f"dissolve {group.name}", now=self.now)
