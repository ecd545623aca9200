"""Follow the demand of one client account at one entry host."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = ["FALL", "SAMPLE", "SETTLE", "Demand", "OwnDemand"]

#: Seconds after which a host's own demand counts for its own part.
SETTLE = 2.0

#: Seconds in which a told demand may fall to 1/e.
FALL = 5.0

#: Seconds over which arrivals are averaged.
AVERAGE = 1.0

#: Seconds between two samples of the own demand.
SAMPLE = 0.25


@dataclass(slots=True, kw_only=True, frozen=True)
class Demand:
    """Hold a demand: requests a second, and requests in flight or waiting."""

    rate: float = 0.0
    n_requests: float = 0.0


@dataclass(slots=True, kw_only=True)
class OwnDemand:
    """Follow the demand of one account here.

    Attributes
    ----------
    average, rate, n_requests : float
        Averaged arrivals, and the values that are told, which fall slowly.
    samples : deque of (float, Demand)
        Told values with their times, oldest first; the first is at least
        ``SETTLE`` old once there are that many.
    """

    at: float
    average: float = 0.0
    rate: float = 0.0
    n_requests: float = 0.0
    n_in_flight: int = 0
    n_waiting: int = 0
    samples: deque[tuple[float, Demand]] = field(default_factory=deque)

    def arrive(self, now: float) -> None:
        """Count one arrival."""
        self.advance(now)
        self.average += 1.0 / AVERAGE
        self.rate = max(self.average, self.rate)

    def advance(self, now: float) -> None:
        """Let the averages fall up to ``now``."""
        elapsed = max(0.0, now - self.at)
        self.at = max(self.at, now)
        fallen = math.exp(-elapsed / FALL)
        self.average *= math.exp(-elapsed / AVERAGE)
        self.rate = max(self.average, self.rate * fallen)
        occupied = float(self.n_in_flight + self.n_waiting)
        self.n_requests = max(occupied, self.n_requests * fallen)

    def sample(self, now: float) -> None:
        """Remember the told values, at most once in ``SAMPLE`` seconds."""
        self.advance(now)
        if self.samples and now - self.samples[-1][0] < SAMPLE:
            return
        told = Demand(rate=self.rate, n_requests=self.n_requests)
        self.samples.append((now, told))
        while len(self.samples) > 1 and self.samples[1][0] <= now - SETTLE:
            self.samples.popleft()

    def settled(self, now: float) -> Demand:
        """Return what was told ``SETTLE`` seconds ago, or less.

        A host that was stopped has old samples only.  Taken as they are, they would
        claim a part that the peers have shared out since.
        """
        if not self.samples or self.samples[0][0] > now - SETTLE:
            return Demand()
        at, told = self.samples[0]
        fallen = math.exp(-(now - SETTLE - at) / FALL)
        return Demand(rate=told.rate * fallen, n_requests=told.n_requests * fallen)
