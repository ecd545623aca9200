"""Choose the groups to form from free backend servers.

A group that lost a member is repaired by forming it again from its survivors, which
rejoin almost instantly, and a spare whose host has the weights staged.  A spare without
staged weights takes ten times as long to join, and the survivors would wait for it.
Weights are therefore staged first, and a group is formed once all its members can join
quickly.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .shifting import (
    CONTENDED_OVERLOAD_UTILIZATION,
    MAX_WEIGHTED_SIZE,
    domain_for_first_group,
    n_spares_to_keep,
    urgency_factor,
)

if TYPE_CHECKING:
    from ...state.directory import BackendServer
    from ...state.routes import EngineProfile, ModelProfile

__all__ = [
    "Formation",
    "FormingRules",
    "ServingGroup",
    "by_domain",
    "choose_formations",
    "choose_second_weights",
    "choose_staging",
    "joins_quickly",
]

#: Utilization of a model's groups from which another group is formed if enough spares
#: remain.  At 0.8 about five of thirteen slots are in use; above it, a burst of half as
#: much again or the loss of one group in four makes requests wait.
GROWTH_UTILIZATION = 0.8

#: Utilization from which spares are used to form another group: keeping a spare for
#: repairs is worth less than serving requests that would be refused now.
OVERLOAD_UTILIZATION = 1.25

#: Exponent of the factor by which a model's utilization is weighted: the ratio of its
#: group size to the smallest group size.  A group of six is lost twice as often as one
#: of three and needs six free servers of a domain for its repair, so the same number of
#: groups is complete for less of the time.
SIZE_EXPONENT = 0.3

#: Share of a zone's backend servers to keep as spares: one in each fabric domain of
#: eight.
SPARE_SHARE = 0.12

#: Seconds that a server takes to join a group of the model that it served last.
REJOIN_TIME = 0.2


class Formation(msgspec.Struct, kw_only=True, frozen=True):
    """A group to form: its model and its members, the head first."""

    model: ModelProfile
    members: tuple[BackendServer, ...]


class ServingGroup(msgspec.Struct, kw_only=True, frozen=True):
    """A group that serves requests, with its members that are in the server list."""

    name: str
    model: str
    members: tuple[BackendServer, ...]


class FormingRules(msgspec.Struct, kw_only=True, frozen=True):
    """The inputs that determine for which model a group is formed next.

    Attributes
    ----------
    demand_by_model : dict of str to float
        Arriving work, as the number of replica groups that it keeps busy.
    groups_by_model : dict of str to int
        Number of groups that serve the demand or are being formed.
    n_servers : int
        Number of backend servers in the zone, both in groups and free.
    spare_ids : frozenset of str
        Ids of free servers that have not been in a serving group.
    loads_are_quick : bool
        True before the first request, when weights load in a tenth of the usual time.
    contended : bool
        True if the service's callers compete for its capacity.  The inputs that follow
        apply only then.
    urgent_share_by_model : dict of str to float
        Part of each model's demand that is urgent.
    loss_rate : float or None
        Servers that the zone loses per second; None if it is not known yet.
    n_domains : int
        Number of fabric domains of the zone.
    """

    engine: EngineProfile
    demand_by_model: dict[str, float]
    groups_by_model: dict[str, int]
    n_servers: int
    spare_ids: frozenset[str] = frozenset()
    loads_are_quick: bool = False
    contended: bool = False
    urgent_share_by_model: dict[str, float] = msgspec.field(default_factory=dict)
    loss_rate: float | None = None
    n_domains: int = 0

    @property
    def overload_utilization(self) -> float:
        """Return the utilization from which spares are used for another group."""
        if self.contended:
            return CONTENDED_OVERLOAD_UTILIZATION
        return OVERLOAD_UTILIZATION

    @property
    def n_spares(self) -> int:
        """Return the number of free servers to keep for repairs."""
        limit = round(SPARE_SHARE * self.n_servers)
        if not self.contended:
            return limit
        return n_spares_to_keep(
            loss_rate=self.loss_rate,
            load_time=max(
                model.load_time for model in self.engine.models_by_name.values()
            ),
            n_domains=self.n_domains,
            limit=limit,
        )

    def utilization(self, model: str, groups_by_model: dict[str, int]) -> float:
        """Return the part of the time for which each group of a model is busy.

        After the first request, the value is weighted by the group size: larger groups
        are lost more often, so the remaining ones soon become busier.  For a contended
        service it is weighted by the urgent part of the demand, too.
        """
        groups = groups_by_model.get(model, 0)
        demand = self.demand_by_model.get(model, 0.0)
        if not groups:
            return float("inf")
        if self.loads_are_quick:
            return demand / groups
        size = self._relative_size(model)
        if not self.contended:
            return demand / groups * size**SIZE_EXPONENT
        weight = min(size, MAX_WEIGHTED_SIZE) ** SIZE_EXPONENT
        weight *= urgency_factor(self.urgent_share_by_model.get(model, 0.0))
        return demand / groups * weight

    def _relative_size(self, model: str) -> float:
        """Return the ratio of a model's group size to the smallest group size."""
        sizes = {item.name: item.size for item in self.engine.models_by_name.values()}
        return sizes[model] / min(sizes.values())

    def models_by_need(self, groups_by_model: dict[str, int]) -> list[ModelProfile]:
        """Return the models by descending utilization, then by descending size."""
        return sorted(
            self.engine.models_by_name.values(),
            key=lambda model: (
                -self.utilization(model.name, groups_by_model),
                -model.size,
            ),
        )


def choose_formations(
    free: list[BackendServer], rules: FormingRules
) -> list[Formation]:
    """Return the groups to form now, each within one fabric domain."""
    groups_by_model = dict(rules.groups_by_model)
    free_by_domain = by_domain(free)
    chosen: list[Formation] = []
    while (
        formation := _next_formation(free_by_domain, rules, groups_by_model)
    ) is not None:
        chosen.append(formation)
        name = formation.model.name
        groups_by_model[name] = groups_by_model.get(name, 0) + 1
        domain = free_by_domain[formation.members[0].domain]
        for server in formation.members:
            domain.remove(server)
    return chosen


def choose_staging(
    free: list[BackendServer], rules: FormingRules
) -> list[tuple[BackendServer, ModelProfile]]:
    """Return the free servers that are to stage weights, each with the model.

    In each domain, weights are staged for a group of the neediest overloaded model for
    which the domain has enough free servers and at most half of the group's members
    lack the weights.  The result contains the members that lack them.
    """
    chosen: list[tuple[BackendServer, ModelProfile]] = []
    for servers in by_domain(free).values():
        chosen += _staging_in_domain(servers, rules)
    return chosen


def choose_second_weights(
    servers: list[BackendServer], rules: FormingRules
) -> list[tuple[BackendServer, ModelProfile]]:
    """Return the servers that are to stage a second model's weights, with the model.

    A server rejoins groups of the model that it served last almost instantly without
    staged weights, so its host can have another model's weights staged.  After any
    loss, the remaining servers of a domain can then form groups of either model within
    two seconds.

    Parameters
    ----------
    servers : list of BackendServer
        Members of serving groups, and spares.
    """
    models_by_need = rules.models_by_need(rules.groups_by_model)
    chosen = []
    for server in servers:
        other_models = [
            model for model in models_by_need if model.name not in server.models
        ]
        if other_models and server.models and not server.staged - server.models:
            chosen.append((server, other_models[0]))
    return chosen


def _staging_in_domain(
    servers: list[BackendServer], rules: FormingRules
) -> list[tuple[BackendServer, ModelProfile]]:
    for model in rules.models_by_need(rules.groups_by_model):
        utilization = rules.utilization(model.name, rules.groups_by_model)
        members = _choose_members(servers, model, rules)
        if members is None or utilization < rules.overload_utilization:
            continue
        to_stage = [item for item in members if not joins_quickly(item, model)]
        if len(to_stage) <= model.size // 2:
            return [(server, model) for server in to_stage]
    return []


def _next_formation(
    free_by_domain: dict[str, list[BackendServer]],
    rules: FormingRules,
    groups_by_model: dict[str, int],
) -> Formation | None:
    n_free = sum(len(servers) for servers in free_by_domain.values())
    held_domain = _held_domain(free_by_domain, rules, groups_by_model)
    for model in rules.models_by_need(groups_by_model):
        utilization = rules.utilization(model.name, groups_by_model)
        options = [
            members
            for servers in free_by_domain.values()
            if (members := _choose_members(servers, model, rules)) is not None
            and (rules.loads_are_quick or joins_quickly(members[-1], model))
        ]
        if held_domain is not None and groups_by_model.get(model.name, 0):
            options = [
                members
                for members in options
                if members[0].domain != held_domain
                or _n_spares_used(members, model, rules) <= model.size // 2
            ]
        if not options:
            continue
        # Repairs come before additional groups.  Additional groups are formed in the
        # domain with the most free servers, so that each domain keeps some for repairs.
        best = min(
            options,
            key=lambda members: (
                _n_spares_used(members, model, rules),
                -len(free_by_domain[members[0].domain]),
            ),
        )
        is_repair = _n_spares_used(best, model, rules) <= model.size // 2
        leaves_spares = n_free - model.size >= rules.n_spares
        is_growth = utilization >= rules.overload_utilization or (
            utilization >= GROWTH_UTILIZATION and leaves_spares
        )
        # Any demand justifies a repair: survivors of a group can't serve another model
        # without a long load.
        if (is_repair and utilization > 0) or is_growth:
            return Formation(model=model, members=best)
    return None


def _held_domain(
    free_by_domain: dict[str, list[BackendServer]],
    rules: FormingRules,
    groups_by_model: dict[str, int],
) -> str | None:
    """Return the domain in which no model gets an additional group, if any."""
    if not rules.contended or not rules.engine.models_by_name:
        return None
    neediest = rules.models_by_need(groups_by_model)[0]
    return domain_for_first_group(
        {
            domain: (
                sum(joins_quickly(item, neediest) for item in servers),
                len(servers),
            )
            for domain, servers in free_by_domain.items()
        },
        size=neediest.size,
        utilization=rules.utilization(neediest.name, groups_by_model),
    )


def by_domain(free: list[BackendServer]) -> dict[str, list[BackendServer]]:
    """Group free servers by their fabric domain."""
    free_by_domain: dict[str, list[BackendServer]] = {}
    for server in free:
        free_by_domain.setdefault(server.domain, []).append(server)
    return free_by_domain


def _choose_members(
    servers: list[BackendServer], model: ModelProfile, rules: FormingRules
) -> tuple[BackendServer, ...] | None:
    """Return the servers that would form a group soonest, survivors before spares.

    Return None if there are too few servers for a group of the model.
    """
    if len(servers) < model.size:
        return None
    by_join_time = sorted(
        servers,
        key=lambda server: (_join_time(server, model), server.id in rules.spare_ids),
    )
    return tuple(by_join_time[: model.size])


def _n_spares_used(
    members: tuple[BackendServer, ...], model: ModelProfile, rules: FormingRules
) -> int:
    """Count the members that are not survivors of a group of the model."""
    return sum(
        model.name not in server.models or server.id in rules.spare_ids
        for server in members
    )


def joins_quickly(server: BackendServer, model: ModelProfile) -> bool:
    """Return whether a server can join a group of a model without a load."""
    return _join_time(server, model) <= model.warm_time


def _join_time(server: BackendServer, model: ModelProfile) -> float:
    if model.name in server.models:
        return REJOIN_TIME
    if model.name in server.staged:
        return model.warm_time
    return model.load_time
