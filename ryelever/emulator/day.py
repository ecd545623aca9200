"""Simulate a day of losses and additions of servers, and measure the value served."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .deployment import Deployment
from .fleet import STEP, WARM_UP_TIME, Fleet

__all__ = ["DayResult", "LossPattern", "simulate_day"]

#: Duration of a simulated day in simulated seconds.  A day is one run after its
#: warm-up, and requests arrive throughout.
DAY_DURATION = 34.0

#: Highest utilization of a group, the work that arrives divided by its capacity, at
#: which no request is late: 60 in 100 of the group's slots are in use then.
MAX_PUNCTUAL_UTILIZATION = 0.9

#: Utilization at which requests earn half of their value, because most of them wait
#: longer than their latency objective.
HALF_CREDIT_UTILIZATION = 1.8


@dataclass(slots=True, kw_only=True, frozen=True)
class LossPattern:
    """The losses and additions of backend servers during a day.

    Attributes
    ----------
    loss_interval : tuple of float
        Minimum and maximum seconds between two losses.
    n_lost_at_once : int
        Members of groups that are lost permanently at each loss.
    domain_lost_at, domain_outage_time : float
        Second at which all servers of one fabric domain are lost, and seconds until
        they restart.
    arrival_interval : tuple of float
        Minimum and maximum seconds between two additions of an empty server, from the
        twelfth second on.
    """

    loss_interval: tuple[float, float] = (2.4, 3.6)
    n_lost_at_once: int = 1
    domain_lost_at: float = float("inf")
    domain_outage_time: float = 6.0
    arrival_interval: tuple[float, float] = (2.4, 4.0)


@dataclass(slots=True, kw_only=True)
class DayResult:
    """The results of a day.

    Attributes
    ----------
    served_by_model : dict of str to float
        Fraction of the value of all requests that was earned, by model, if no request
        is lost for another reason.
    worst : float
        Mean of that fraction over all models, in the worst two seconds.
    n_loads : int
        Loads from the weight store.
    """

    served_by_model: dict[str, float] = field(default_factory=dict)
    worst: float = 1.0
    n_loads: int = 0

    @property
    def mean(self) -> float:
        """Return the mean of ``served_by_model`` over the models."""
        return sum(self.served_by_model.values()) / len(self.served_by_model)


def credit(*, utilization: float) -> float:
    """Return the fraction of their value that requests earn at a utilization."""
    if utilization <= MAX_PUNCTUAL_UTILIZATION:
        return 1.0
    if utilization <= HALF_CREDIT_UTILIZATION:
        return 1.0 - 0.5 * (utilization - MAX_PUNCTUAL_UTILIZATION) / (
            HALF_CREDIT_UTILIZATION - MAX_PUNCTUAL_UTILIZATION
        )
    return 0.5 * HALF_CREDIT_UTILIZATION / utilization


def simulate_day(
    *, deployment: Deployment, losses: LossPattern, seed: int
) -> DayResult:
    """Simulate one day.

    The same seed gives the same losses, whatever the policy of the planners.
    """
    fleet = Fleet(deployment=deployment, seed=seed)
    rng = random.Random(seed)
    next_loss_at = rng.uniform(1.0, 4.0)
    domain_lost_at = losses.domain_lost_at
    next_arrival_at = 12.0
    result = DayResult(served_by_model=dict.fromkeys(deployment.models_by_name, 0.0))
    window: list[float] = []
    for _ in range(round(WARM_UP_TIME / STEP)):
        fleet.advance()
    for _ in range(round(DAY_DURATION / STEP)):
        if fleet.now >= next_loss_at:
            next_loss_at += rng.uniform(*losses.loss_interval)
            _lose_members(fleet, rng, n=losses.n_lost_at_once)
        if fleet.now >= domain_lost_at:
            domain_lost_at = float("inf")
            _lose_domain(fleet, rng, seconds=losses.domain_outage_time)
        if fleet.now >= next_arrival_at:
            next_arrival_at += rng.uniform(*losses.arrival_interval)
            zone = rng.choice(deployment.zones)
            fleet.add(zone, f"{zone}-{rng.randrange(deployment.n_domains)}")
        fleet.advance()
        window.append(_add_step(fleet, result))
    n_window = round(2.0 / STEP)
    sums = [sum(window[i : i + n_window]) for i in range(0, len(window), n_window)]
    result.worst = min(sums) / n_window
    result.n_loads = fleet.n_loads
    return result


def _add_step(fleet: Fleet, result: DayResult) -> float:
    """Add one step to the result and return its mean credit over the models."""
    n_open = fleet.n_open()
    total = 0.0
    for model, demand in fleet.deployment.demand(fleet.now).items():
        earned = credit(utilization=demand / n_open[model]) if n_open[model] else 0.0
        result.served_by_model[model] += earned * STEP / DAY_DURATION
        total += earned
    return total / len(fleet.deployment.models_by_name)


def _lose_members(fleet: Fleet, rng: random.Random, *, n: int) -> None:
    members = [
        server for server in fleet.running_servers if server.entry.group is not None
    ]
    for server in rng.sample(members, min(n, len(members))):
        fleet.lose(server, restart_after=None)


def _lose_domain(fleet: Fleet, rng: random.Random, *, seconds: float) -> None:
    domain = rng.choice(
        sorted({server.entry.domain for server in fleet.running_servers})
    )
    for server in fleet.running_servers:
        if server.entry.domain == domain:
            fleet.lose(server, restart_after=seconds)
