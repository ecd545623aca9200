"""Limit how often requests are sent again to another backend server."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RelayRetryBudget"]

#: Share of the bound that is used. Entry hosts count independently, over time windows
#: that differ from those in which the bound is checked, so the last tenth stays unused.
USED_SHARE = 0.9


class RelayRetryBudget:
    """Allow retries in proportion to requests, plus this host's share of a slack.

    When many backend servers fail, unlimited retries multiply the load that made them
    fail. The bound applies to the sum over all entry hosts, so each host takes its
    share of the slack. Without heartbeats from the other hosts, the share computed from
    the last known number of hosts is safe.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Additional retries that all hosts together may make in one window.
    window : float
        Seconds over which requests and retries are counted.
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
        self._retries_by_service: dict[str, deque[float]] = {}

    def record_request(self, service: str, *, now: float) -> None:
        """Count a request."""
        times = self._requests_by_service.setdefault(service, deque())
        times.append(now)
        self._trim(times, now=now)

    def allow(self, service: str, *, now: float) -> bool:
        """Return whether another retry may be sent, and count it if so."""
        retries = self._retries_by_service.setdefault(service, deque())
        requests = self._requests_by_service.setdefault(service, deque())
        self._trim(retries, now=now)
        self._trim(requests, now=now)
        share = self._slack / max(1, self._n_hosts())
        allowed = USED_SHARE * (self._ratio * len(requests) + share)
        if len(retries) + 1 > allowed:
            return False
        retries.append(now)
        return True

    def _trim(self, times: deque[float], *, now: float) -> None:
        oldest = now - self._window
        while times and times[0] < oldest:
            times.popleft()
