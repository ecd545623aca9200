"""Compute running means in which newer values count more."""

from __future__ import annotations

__all__ = ["RunningMean"]

#: Minimum weight of each new value in the mean, which then covers about fifty values.
MIN_WEIGHT = 0.02


class RunningMean:
    """Mean of all values at first, and an exponentially weighted mean later.

    Attributes
    ----------
    mean : float
        The mean; 0 before the first value.
    """

    __slots__ = ("_n", "mean")

    def __init__(self) -> None:
        self._n = 0
        self.mean = 0.0

    @property
    def effective_count(self) -> float:
        """Return how many values the mean effectively covers."""
        return min(self._n, 1.0 / MIN_WEIGHT)

    def add(self, value: float) -> None:
        """Add a value to the mean."""
        self._n += 1
        self.mean += (value - self.mean) * max(MIN_WEIGHT, 1.0 / self._n)
