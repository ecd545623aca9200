"""Track the demand of one client account at one entry host."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = ["DECAY_TIME", "SAMPLE_INTERVAL", "SETTLING_TIME", "Demand", "LocalDemand"]

#: Seconds after which a host's own demand counts for its own share.
SETTLING_TIME = 2.0

#: Minimum seconds in which an announced demand falls to 1/e.
DECAY_TIME = 5.0

#: Time constant of the average over arrivals, in seconds.
AVERAGING_TIME = 1.0

#: Seconds between two samples of the local demand.
SAMPLE_INTERVAL = 0.25


@dataclass(slots=True, kw_only=True, frozen=True)
class Demand:
    """A demand: requests a second, and requests in flight or waiting."""

    rate: float = 0.0
    n_requests: float = 0.0


@dataclass(slots=True, kw_only=True)
class LocalDemand:
    """The demand of one account at this host.

    Attributes
    ----------
    average, rate, n_requests : float
        Average arrivals a second, and the announced values, which fall slowly.
    samples : deque of (float, Demand)
        Announced values with their times, oldest first. The first is at least
        ``SETTLING_TIME`` seconds old once samples reach back that far.
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
        self.average += 1.0 / AVERAGING_TIME
        self.rate = max(self.average, self.rate)

    def advance(self, now: float) -> None:
        """Decay the averages up to ``now``."""
        elapsed = max(0.0, now - self.at)
        self.at = max(self.at, now)
        decay_factor = math.exp(-elapsed / DECAY_TIME)
        self.average *= math.exp(-elapsed / AVERAGING_TIME)
        self.rate = max(self.average, self.rate * decay_factor)
        occupied = float(self.n_in_flight + self.n_waiting)
        self.n_requests = max(occupied, self.n_requests * decay_factor)

    def sample(self, now: float) -> None:
        """Record the announced values, at most once in ``SAMPLE_INTERVAL`` seconds."""
        self.advance(now)
        if self.samples and now - self.samples[-1][0] < SAMPLE_INTERVAL:
            return
        announced = Demand(rate=self.rate, n_requests=self.n_requests)
        self.samples.append((now, announced))
        while len(self.samples) > 1 and self.samples[1][0] <= now - SETTLING_TIME:
            self.samples.popleft()

    def settled(self, now: float) -> Demand:
        """Return the demand of ``SETTLING_TIME`` seconds ago, or a decayed older one.

        The result is zero if no sample is that old. A host that was paused has old
        samples only. Without the decay they would claim a share that the peers have
        divided among themselves since.
        """
        if not self.samples or self.samples[0][0] > now - SETTLING_TIME:
            return Demand()
        at, announced = self.samples[0]
        decay_factor = math.exp(-(now - SETTLING_TIME - at) / DECAY_TIME)
        return Demand(
            rate=announced.rate * decay_factor,
            n_requests=announced.n_requests * decay_factor,
        )
