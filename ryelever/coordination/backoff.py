"""Compute exponentially growing pauses after failed calls to the log."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["Backoff"]

#: Shortest and longest pause in seconds, before jitter.
MIN_PAUSE = 0.2
MAX_PAUSE = 3.0

#: Consecutive failures after which the pause no longer doubles; it has reached
#: ``MAX_PAUSE`` by then.
MAX_DOUBLINGS = 8

#: Fraction of a pause that is fixed; the jitter adds at most one full pause.
FIXED_SHARE = 0.5


class Backoff:
    """Schedule retries; each consecutive failure doubles the pause.

    If all hosts called a restarted service at once, the service would fail again and
    the outage would never end.  Growing pauses with jitter spread the calls of the
    hosts over time.

    Parameters
    ----------
    jitter : callable
        Return a number from 0 to 1; different values on different hosts spread
        their retries.
    """

    def __init__(self, *, jitter: Callable[[], float]) -> None:
        self._jitter = jitter
        self._n_failures = 0
        self._pause_until = float("-inf")

    def is_due(self, *, now: float) -> bool:
        """Return whether the pause is over; ``now`` is in monotonic seconds."""
        return now >= self._pause_until

    def failed(self, *, now: float) -> None:
        """Record a failed call and start a pause."""
        pause = min(MAX_PAUSE, MIN_PAUSE * 2 ** min(self._n_failures, MAX_DOUBLINGS))
        self._n_failures += 1
        self._pause_until = now + pause * (FIXED_SHARE + self._jitter())

    def succeeded(self) -> None:
        """Record a successful call; the next pause is the shortest one again."""
        self._n_failures = 0
