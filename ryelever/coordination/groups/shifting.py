"""Rules by which the servers of a contended service follow the work.

Each rule is a function of what the planner sees.  None of them applies to a service
whose callers don't compete for capacity.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "CONTENDED_OVERLOAD_UTILIZATION",
    "MAX_WEIGHTED_SIZE",
    "DemandTrail",
    "demand_with_waiting",
    "domain_for_first_group",
    "is_paused",
    "min_disband_ratio",
    "n_lacking",
    "n_spares_to_keep",
    "urgency_factor",
    "urgent_shares",
    "would_be_short",
]

#: Utilization from which spares form another group.  Requests wait from there on, so
#: idle servers cost more than a slower repair.
CONTENDED_OVERLOAD_UTILIZATION = 0.95

#: Maximum ratio of group sizes by which larger groups count as busier.  The exponent is
#: known to fit groups of up to twice the size.
MAX_WEIGHTED_SIZE = 2.0

#: Seconds over which the fleet's demand is averaged again.  Hosts average over 1.5 s;
#: a lull thus shows after four seconds, and a burst at once.
TRAILING_TIME = 2.5

#: Seconds within which the requests that wait should be served.  Shorter times let a
#: few waiting requests double the demand of a model with two groups.
SERVE_WAITING_WITHIN = 6.0

#: Addition to the utilization of a model all of whose callers are urgent.
URGENT_WEIGHT = 0.25

#: Minimum ratio for disbanding while the neediest model's utilization is above
#: ``SHORT_UTILIZATION``.  A change costs two seconds of a group, which is little
#: compared with requests that are refused for the whole of a burst.
SHORT_DISBAND_RATIO = 1.1

#: Utilization above which a model is short of groups.
SHORT_UTILIZATION = 0.9

#: Seconds for which a zone doesn't disband groups of a model for which it disbanded
#: others: the demand of a burst is visible for four seconds after its end.
DISBAND_PAUSE = 5.0


class DemandTrail:
    """Keep the demand of the last seconds, so that a lull shows later than a burst.

    The larger of two averages is taken here, of the demand at all hosts.  If each host
    took it of its own few requests, the sum would be 7% too high at three requests a
    second and host, and 17% at one in two seconds, which favors the model with fewer.
    """

    __slots__ = ("_at", "_trail_by_model")

    def __init__(self) -> None:
        self._at = 0.0
        self._trail_by_model: dict[str, float] = {}

    def update(self, demand: Mapping[str, float], *, now: float) -> dict[str, float]:
        """Return the larger of the current and the recent demand of each model."""
        kept = math.exp(-max(0.0, now - self._at) / TRAILING_TIME)
        self._at = now
        for model in demand.keys() | self._trail_by_model.keys():
            current = demand.get(model, 0.0)
            recent = self._trail_by_model.get(model, current)
            self._trail_by_model[model] = current + (recent - current) * kept
        return {
            model: max(demand.get(model, 0.0), recent)
            for model, recent in self._trail_by_model.items()
        }


def demand_with_waiting(
    demand: Mapping[str, float], waiting_work: Mapping[str, float]
) -> dict[str, float]:
    """Return the demand of each model, increased by the requests that wait.

    Parameters
    ----------
    waiting_work : mapping of str to float
        Seconds for which the waiting requests would keep one group busy, by model.
    """
    return {
        model: demand.get(model, 0.0)
        + max(0.0, waiting_work.get(model, 0.0)) / SERVE_WAITING_WITHIN
        for model in demand.keys() | waiting_work.keys()
    }


def urgent_shares(
    demand: Mapping[str, float], urgent_demand: Mapping[str, float]
) -> dict[str, float]:
    """Return the part of each model's demand that is urgent, from 0 to 1."""
    return {
        model: min(1.0, max(0.0, urgent_demand.get(model, 0.0)) / work)
        for model, work in demand.items()
        if work > 0.0
    }


def urgency_factor(urgent_share: float) -> float:
    """Return the factor by which a model's utilization counts for more."""
    return 1.0 + URGENT_WEIGHT * urgent_share


def n_spares_to_keep(
    *, loss_rate: float | None, load_time: float, n_domains: int, limit: int
) -> int:
    """Return the number of free servers that are not available for more groups.

    Parameters
    ----------
    loss_rate : float or None
        Servers that the zone loses per second; None if it is not known yet.
    load_time : float
        Longest load time of the service's models: a server that is lost is replaced by
        one that loads its weights for that long.
    limit : int
        Maximum number of spares, kept while the loss rate is not known.
    """
    if loss_rate is None:
        return limit
    return min(limit, max(n_domains, math.ceil(loss_rate * load_time)))


def min_disband_ratio(utilization: float, *, usual: float) -> float:
    """Return the ratio of utilizations that justifies disbanding groups.

    Parameters
    ----------
    utilization : float
        Utilization of the neediest model's groups.
    usual : float
        Ratio for a model that is not short of groups.
    """
    return SHORT_DISBAND_RATIO if utilization > SHORT_UTILIZATION else usual


def n_lacking(*, demand: float, n_groups: int) -> int:
    """Return how many groups a model lacks until it is no longer overloaded.

    Zones disband groups one after the other, each before the groups of the others
    serve.  Without this bound, each zone took groups for a model that lacked one.
    """
    return max(0, math.ceil(demand / CONTENDED_OVERLOAD_UTILIZATION) - n_groups)


def would_be_short(
    utilization_after_loss: float, *, neediest_utilization: float
) -> bool:
    """Return whether a model must keep its groups, as it would be short without them.

    With waves of demand, models are short in turn.  Groups that are taken apart for
    one wave are missing in the next, and each change costs two seconds of a group.
    A model without any group gets one in any case.
    """
    if math.isinf(neediest_utilization):
        return False
    return utilization_after_loss > SHORT_UTILIZATION


def is_paused(disbanded_at: float | None, *, now: float) -> bool:
    """Return whether a model keeps its groups since others were disbanded for it."""
    return disbanded_at is not None and now - disbanded_at < DISBAND_PAUSE


def domain_for_first_group(
    n_free_by_domain: Mapping[str, tuple[int, int]], *, size: int, utilization: float
) -> str | None:
    """Return the domain whose free servers are kept for the neediest model, if any.

    If that model has no group, this is the domain in which it lacks the fewest weights
    of those with enough servers.  Otherwise another model's additional group would take
    its survivors while a spare loads weights, and the model's callers would be refused
    until servers of that domain are free again.

    Parameters
    ----------
    n_free_by_domain : mapping of str to tuple of (int, int)
        Number of free servers that have the model's weights, and of all free servers.
    size : int
        Number of members of a group of the neediest model.
    utilization : float
        Utilization of the neediest model's groups.
    """
    if not math.isinf(utilization):
        return None
    n_ready_by_domain = {
        domain: n_ready
        for domain, (n_ready, n_free) in n_free_by_domain.items()
        if n_free >= size
    }
    if not n_ready_by_domain:
        return None
    return max(n_ready_by_domain, key=lambda domain: n_ready_by_domain[domain])
