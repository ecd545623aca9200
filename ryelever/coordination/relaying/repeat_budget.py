"""Bound how often requests are sent to a second backend server."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RepeatBudget"]

#: Part of the bound that is used.  Entry hosts count on their own and at other
#: moments than those who check, so the last tenth stays.
USED_SHARE = 0.9


class RepeatBudget:
    """Allow repeats up to a share of the requests, plus this host's part of a slack.

    When many backend servers fail, unbounded repeats multiply the load that made
    them fail.  The bound holds for the sum over all entry hosts, so each takes its
    part of the slack; with no word from the others the part of the last number
    known is safe.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    slack : float
        Repeats that all hosts may make beside these in one window.
    window : float
        Seconds over which repeats are counted.
    n_hosts : callable
        Return how many entry hosts share the slack.
    """

    def __init__(
        self, *, ratio: float, slack: float, window: float, n_hosts: Callable[[], int]
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._n_hosts = n_hosts
        self._requests_by_service: dict[str, deque[float]] = {}
        self._repeats_by_service: dict[str, deque[float]] = {}

    def requested(self, service: str, *, now: float) -> None:
        """Take note of a request."""
        times = self._requests_by_service.setdefault(service, deque())
        times.append(now)
        self._trim(times, now=now)

    def allow(self, service: str, *, now: float) -> bool:
        """Tell whether one more repeat may be sent, and count it if so."""
        repeats = self._repeats_by_service.setdefault(service, deque())
        requests = self._requests_by_service.setdefault(service, deque())
        self._trim(repeats, now=now)
        self._trim(requests, now=now)
        share = self._slack / max(1, self._n_hosts())
        allowed = USED_SHARE * (self._ratio * len(requests) + share)
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now)
        return True

    def _trim(self, times: deque[float], *, now: float) -> None:
        oldest = now - self._window
        while times and times[0] < oldest:
            times.popleft()
