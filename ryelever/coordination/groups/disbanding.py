"""Choose the groups whose members are worth more in a group of another model."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING

from .forming import by_domain, is_quick

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...state.directory import BackendServer
    from ...state.routes import ModelProfile
    from .forming import FormingRules, StandingGroup

__all__ = ["choose_disbanding"]

#: How much busier the groups of one model must be than those of another would be
#: after the loss of some, for these to be taken apart.  A change costs two seconds
#: of a group, and one that is soon reversed costs them twice.
DISBAND_RATIO = 1.25

#: Part of its time for which the neediest model's groups are busy at the least for
#: others to be taken apart.
NEEDY = 0.5


def choose_disbanding(
    free: list[BackendServer],
    standing: list[StandingGroup],
    rules: FormingRules,
    *,
    n_pending: int = 0,
) -> list[StandingGroup]:
    """Return the groups of one domain whose members are to become one of another.

    That is so where the neediest model fits nowhere, and some domain has free servers
    enough that few groups of a less needy model complete it.  A domain of eleven that
    has come to hold three groups of three needs two of them for one of six.

    Parameters
    ----------
    n_pending : int
        Groups of the neediest model for which other zones take theirs apart.
    """
    needy = rules.by_need(rules.groups_by_model)[0]
    groups_by_model = dict(rules.groups_by_model)
    groups_by_model[needy.name] = groups_by_model.get(needy.name, 0) + n_pending
    free_by_domain = by_domain(free)
    if any(
        _n_quick(servers, needy) >= needy.size for servers in free_by_domain.values()
    ):
        return []
    busy = rules.busy(needy.name, groups_by_model)
    if busy < NEEDY:
        return []
    best: list[StandingGroup] = []
    best_n_quick = -1
    for donors in _donors(standing, needy):
        servers = free_by_domain.get(donors[0].members[0].domain, [])
        n_quick = _n_quick(servers, needy)
        chosen = _completing(donors, needy, n_missing=needy.size - n_quick)
        if not chosen:
            continue
        fewer = dict(groups_by_model)
        fewer[chosen[0].model] -= len(chosen)
        if busy < DISBAND_RATIO * rules.busy(chosen[0].model, fewer):
            continue
        if not best or (len(chosen), -n_quick) < (len(best), -best_n_quick):
            best, best_n_quick = chosen, n_quick
    return best


def _donors(
    standing: list[StandingGroup], needy: ModelProfile
) -> Iterator[list[StandingGroup]]:
    """Yield the groups of each other model in each domain."""

    def place(group: StandingGroup) -> tuple[str, str]:
        return group.members[0].domain, group.model

    others = [
        group for group in standing if group.members and group.model != needy.name
    ]
    for _, donors in groupby(sorted(others, key=place), key=place):
        yield list(donors)


def _completing(
    donors: list[StandingGroup], needy: ModelProfile, *, n_missing: int
) -> list[StandingGroup]:
    """Return the fewest groups whose members make up what a group lacks, if any do."""
    chosen: list[StandingGroup] = []
    for group in sorted(donors, key=lambda item: -_n_quick(item.members, needy)):
        chosen.append(group)
        n_missing -= _n_quick(group.members, needy)
        if n_missing <= 0:
            return chosen
    return []


def _n_quick(
    servers: list[BackendServer] | tuple[BackendServer, ...], model: ModelProfile
) -> int:
    return sum(is_quick(server, model) for server in servers)
