"""Decide which groups are formed of the backend servers that are free."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..state.directory import BackendServer
    from ..state.routes import EngineProfile, ModelProfile

__all__ = ["FormingRules", "Formation", "choose_formations", "first_demand"]

#: Part of its time for which a model's groups may be busy before another group is
#: formed of servers that would otherwise be spare.
BUSY_ENOUGH = 0.5

#: Part of all backend servers that groups take at the start; the rest are spares,
#: one or two in a fabric domain of eight.
PACKED_AT_START = 0.8

#: Seconds that a member takes to join a group of the model that it served last.
REJOIN_TIME = 0.2


@dataclass(slots=True, kw_only=True, frozen=True)
class Formation:
    """Name the members of a group that is to be formed, the head first."""

    model: ModelProfile
    members: tuple[BackendServer, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class FormingRules:
    """Hold what decides which model is formed next.

    Attributes
    ----------
    demand_by_model : dict of str to float
        Work that arrives, in replica groups kept busy.
    groups_by_model : dict of str to int
        Groups that serve or are being formed, in all availability zones.
    """

    engine: EngineProfile
    demand_by_model: dict[str, float]
    groups_by_model: dict[str, int]

    def busy(self, model: str, groups_by_model: dict[str, int]) -> float:
        """Return the part of its time for which each group of a model is busy."""
        groups = groups_by_model.get(model, 0)
        demand = self.demand_by_model.get(model, 0.0)
        return demand / groups if groups else float("inf")


def first_demand(engine: EngineProfile, *, n_servers: int) -> dict[str, float]:
    """Return the demand to assume before any was seen, from the models' shares."""
    return {
        model.name: BUSY_ENOUGH * PACKED_AT_START * n_servers * model.share / model.size
        for model in engine.models_by_name.values()
    }


def choose_formations(
    free: list[BackendServer], rules: FormingRules
) -> list[Formation]:
    """Return the groups to form now, each within one fabric domain.

    The model whose groups are busiest comes first.  Where it fits into no domain,
    the next one is formed only if its groups are busy enough themselves: the free
    servers are worth more as spares for the scarce model.
    """
    groups_by_model = dict(rules.groups_by_model)
    free_by_domain: dict[str, list[BackendServer]] = {}
    for server in free:
        free_by_domain.setdefault(server.domain, []).append(server)
    chosen: list[Formation] = []
    while (formation := _next(free_by_domain, rules, groups_by_model)) is not None:
        chosen.append(formation)
        name = formation.model.name
        groups_by_model[name] = groups_by_model.get(name, 0) + 1
        domain = free_by_domain[formation.members[0].domain]
        for server in formation.members:
            domain.remove(server)
    return chosen


def _next(
    free_by_domain: dict[str, list[BackendServer]],
    rules: FormingRules,
    groups_by_model: dict[str, int],
) -> Formation | None:
    models = sorted(
        rules.engine.models_by_name.values(),
        key=lambda model: (-rules.busy(model.name, groups_by_model), -model.size),
    )
    for model in models:
        if rules.busy(model.name, groups_by_model) < BUSY_ENOUGH:
            return None
        options = [
            members
            for servers in free_by_domain.values()
            if (members := _members(servers, model)) is not None
        ]
        if options:
            # The domain with the most free servers keeps the others able to mend
            # what they lose.
            best = min(
                options,
                key=lambda members: (
                    _join_time(members[-1], model),
                    -len(free_by_domain[members[0].domain]),
                ),
            )
            return Formation(model=model, members=best)
    return None


def _members(
    servers: list[BackendServer], model: ModelProfile
) -> tuple[BackendServer, ...] | None:
    if len(servers) < model.size:
        return None
    by_time = sorted(servers, key=lambda server: _join_time(server, model))
    return tuple(by_time[: model.size])


def _join_time(server: BackendServer, model: ModelProfile) -> float:
    if model.name in server.models:
        return REJOIN_TIME
    if model.name in server.staged:
        return model.warm_time
    return model.load_time
