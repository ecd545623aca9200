"""Pause after failures of the log, longer after each one."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["Backoff"]

#: Shortest and longest pause, in seconds, before they are spread.
MIN_PAUSE = 0.2
MAX_PAUSE = 3.0

#: Failures in a row after which the pause grows no more; it is the longest by then.
MAX_DOUBLINGS = 8

#: Part of a pause that is certain; the jitter adds up to one whole pause.
CERTAIN_PART = 0.5


class Backoff:
    """Tell when to try again; each failure in a row doubles the pause.

    A service that comes back is asked by all hosts at once and goes down again,
    which shows as an outage that does not end.  Growing pauses, spread over the
    hosts, leave it room.

    Parameters
    ----------
    jitter : callable
        Return a number from 0 to 1 that spreads the pauses of many hosts.
    """

    def __init__(self, *, jitter: Callable[[], float]) -> None:
        self._jitter = jitter
        self._n_failures = 0
        self._pause_until = float("-inf")

    def is_due(self, *, now: float) -> bool:
        """Tell whether the pause is over; ``now`` is in monotonic seconds."""
        return now >= self._pause_until

    def failed(self, *, now: float) -> None:
        """Begin a pause."""
        pause = min(MAX_PAUSE, MIN_PAUSE * 2 ** min(self._n_failures, MAX_DOUBLINGS))
        self._n_failures += 1
        self._pause_until = now + pause * (CERTAIN_PART + self._jitter())

    def succeeded(self) -> None:
        """Let the next failure begin with the shortest pause again."""
        self._n_failures = 0
