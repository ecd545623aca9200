"""Play a day on which backend servers are lost and come, and tell what was served."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .deployment import Deployment
from .fleet import LEAD, STEP, Fleet

__all__ = ["DayResult", "LossPattern", "play_day"]

#: Seconds with requests.
DAY = 34.0

#: Part of its time for which a group can be busy before its requests come late: 60 in
#: 100 of its places are in use then.
CALM = 0.9

#: The same at which half of what its requests are worth is lost, as most wait longer
#: than their latency objective.
CROWDED = 1.8


@dataclass(slots=True, kw_only=True, frozen=True)
class LossPattern:
    """Describe what befalls the servers of a deployment.

    Attributes
    ----------
    every : tuple of float
        Seconds between two losses, at the least and at most.
    n_at_once : int
        Members of groups that are lost for good then.
    domain_at : float
        When a whole fabric domain goes dark for some seconds.
    new_every : tuple of float
        Seconds between two empty servers that come, from the twelfth second on.
    """

    every: tuple[float, float] = (2.4, 3.6)
    n_at_once: int = 1
    domain_at: float = float("inf")
    domain_for: float = 6.0
    new_every: tuple[float, float] = (2.4, 4.0)


@dataclass(slots=True, kw_only=True)
class DayResult:
    """Hold what became of a day.

    Attributes
    ----------
    served_by_model : dict of str to float
        Part of what requests are worth that is earned, if none is lost otherwise.
    worst : float
        The same in the worst two seconds, over all models.
    n_loads : int
        Loads from the weight store.
    """

    served_by_model: dict[str, float] = field(default_factory=dict)
    worst: float = 1.0
    n_loads: int = 0

    @property
    def mean(self) -> float:
        """Return the mean over the models."""
        return sum(self.served_by_model.values()) / len(self.served_by_model)


def credit(*, busy: float) -> float:
    """Return the part of their worth that requests earn at groups that busy."""
    if busy <= CALM:
        return 1.0
    if busy <= CROWDED:
        return 1.0 - 0.5 * (busy - CALM) / (CROWDED - CALM)
    return 0.5 * CROWDED / busy


def play_day(*, deployment: Deployment, losses: LossPattern, seed: int) -> DayResult:
    """Play one day; the same seed gives the same losses to every policy."""
    fleet = Fleet(deployment=deployment, seed=seed)
    draws = random.Random(seed)
    loss_at = draws.uniform(1.0, 4.0)
    domain_at = losses.domain_at
    new_at = 12.0
    result = DayResult(served_by_model=dict.fromkeys(deployment.models_by_name, 0.0))
    window: list[float] = []
    for _ in range(round(LEAD / STEP)):
        fleet.advance()
    for _ in range(round(DAY / STEP)):
        if fleet.now >= loss_at:
            loss_at += draws.uniform(*losses.every)
            _lose_members(fleet, draws, n=losses.n_at_once)
        if fleet.now >= domain_at:
            domain_at = float("inf")
            _darken_domain(fleet, draws, seconds=losses.domain_for)
        if fleet.now >= new_at:
            new_at += draws.uniform(*losses.new_every)
            zone = draws.choice(deployment.zones)
            fleet.add(zone, f"{zone}-{draws.randrange(deployment.n_domains)}")
        fleet.advance()
        window.append(_count(fleet, result))
    n_window = round(2.0 / STEP)
    sums = [sum(window[i : i + n_window]) for i in range(0, len(window), n_window)]
    result.worst = min(sums) / n_window
    result.n_loads = fleet.n_loads
    return result


def _count(fleet: Fleet, result: DayResult) -> float:
    """Add one step to the result; return its mean credit over the models."""
    n_open = fleet.n_open()
    total = 0.0
    for model, demand in fleet.deployment.demand.items():
        earned = credit(busy=demand / n_open[model]) if n_open[model] else 0.0
        result.served_by_model[model] += earned * STEP / DAY
        total += earned
    return total / len(fleet.deployment.models_by_name)


def _lose_members(fleet: Fleet, draws: random.Random, *, n: int) -> None:
    members = [server for server in fleet.living if server.entry.group is not None]
    for server in draws.sample(members, min(n, len(members))):
        fleet.lose(server, back_after=None)


def _darken_domain(fleet: Fleet, draws: random.Random, *, seconds: float) -> None:
    domain = draws.choice(sorted({server.entry.domain for server in fleet.living}))
    for server in fleet.living:
        if server.entry.domain == domain:
            fleet.lose(server, back_after=seconds)
