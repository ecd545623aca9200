"""Choose the groups to disband so that their members serve a needier model."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING

from .forming import by_domain, joins_quickly
from .shifting import min_disband_ratio, n_lacking, would_be_short

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from ...state.directory import BackendServer
    from ...state.routes import ModelProfile
    from .forming import FormingRules, ServingGroup

__all__ = ["choose_disbanding"]

#: Minimum ratio between the utilization of the neediest model's groups and that of
#: another model's groups after some of them are disbanded.  Each change costs two
#: seconds of a group, and a change that is soon reversed costs them twice.
DISBAND_RATIO = 1.25

#: Minimum utilization of the neediest model's groups for others to be disbanded.
MIN_NEEDY_UTILIZATION = 0.5


def choose_disbanding(
    free: list[BackendServer],
    serving_groups: list[ServingGroup],
    rules: FormingRules,
    *,
    n_pending: int = 0,
    paused_models: Collection[str] = (),
) -> list[ServingGroup]:
    """Return the groups of one domain to disband for a group of the neediest model.

    Groups are disbanded if no domain has enough free servers for a group of the
    neediest model, and the members of a few groups of one less needy model make up for
    the missing servers of some domain.  For example, a domain of eleven servers with
    three groups of three must disband two of them to form a group of six.

    Parameters
    ----------
    n_pending : int
        Groups of the neediest model for which other zones disband groups of theirs.
    paused_models : collection of str
        Models that keep their groups for now.
    """
    if not rules.engine.models_by_name:
        return []
    neediest = rules.models_by_need(rules.groups_by_model)[0]
    groups_by_model = dict(rules.groups_by_model)
    groups_by_model[neediest.name] = groups_by_model.get(neediest.name, 0) + n_pending
    free_by_domain = by_domain(free)
    if any(
        _n_joining_quickly(servers, neediest) >= neediest.size
        for servers in free_by_domain.values()
    ):
        return []
    utilization = rules.utilization(neediest.name, groups_by_model)
    if utilization < MIN_NEEDY_UTILIZATION:
        return []
    min_ratio = DISBAND_RATIO
    if rules.contended:
        n_groups = groups_by_model[neediest.name]
        demand = rules.demand_by_model.get(neediest.name, 0.0)
        if n_groups and not n_lacking(demand=demand, n_groups=n_groups):
            return []
        min_ratio = min_disband_ratio(utilization, usual=DISBAND_RATIO)
    best: list[ServingGroup] = []
    best_n_quick = -1
    candidates = [item for item in serving_groups if item.model not in paused_models]
    for donors in _donor_groups(candidates, neediest):
        servers = free_by_domain.get(donors[0].members[0].domain, [])
        n_quick = _n_joining_quickly(servers, neediest)
        chosen = _fewest_completing(donors, neediest, n_missing=neediest.size - n_quick)
        if not chosen:
            continue
        groups_after_loss = dict(groups_by_model)
        groups_after_loss[chosen[0].model] -= len(chosen)
        after_loss = rules.utilization(chosen[0].model, groups_after_loss)
        if utilization < min_ratio * after_loss:
            continue
        if rules.contended and would_be_short(
            after_loss, neediest_utilization=utilization
        ):
            continue
        if not best or (len(chosen), -n_quick) < (len(best), -best_n_quick):
            best, best_n_quick = chosen, n_quick
    return best


def _donor_groups(
    serving_groups: list[ServingGroup], neediest: ModelProfile
) -> Iterator[list[ServingGroup]]:
    """Yield the groups of each domain and each model other than the neediest."""

    def place(group: ServingGroup) -> tuple[str, str]:
        return group.members[0].domain, group.model

    other_groups = [
        group
        for group in serving_groups
        if group.members and group.model != neediest.name
    ]
    for _, donors in groupby(sorted(other_groups, key=place), key=place):
        yield list(donors)


def _fewest_completing(
    donors: list[ServingGroup], neediest: ModelProfile, *, n_missing: int
) -> list[ServingGroup]:
    """Return the fewest groups that supply the missing members; empty if too few."""
    chosen: list[ServingGroup] = []
    for group in sorted(
        donors, key=lambda item: -_n_joining_quickly(item.members, neediest)
    ):
        chosen.append(group)
        n_missing -= _n_joining_quickly(group.members, neediest)
        if n_missing <= 0:
            return chosen
    return []


def _n_joining_quickly(
    servers: list[BackendServer] | tuple[BackendServer, ...], model: ModelProfile
) -> int:
    return sum(joins_quickly(server, model) for server in servers)
