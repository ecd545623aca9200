"""Limit how often requests are sent again to another backend server."""

from __future__ import annotations

from collections import Counter, deque
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

    A retry is reserved when it is decided, and counted when it is sent: it may wait for
    a slot in between, and backend servers see it only then.

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
    since : float
        Monotonic time of the process's start. Its part of the slack grows from none to
        all within one window from then on, since a former run on this host may just
        have used it, and the number of hosts may not be known yet.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window: float,
        n_hosts: Callable[[], int],
        since: float = float("-inf"),
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._n_hosts = n_hosts
        self._since = since
        self._requests_by_service: dict[str, deque[float]] = {}
        self._retries_by_service: dict[str, deque[float]] = {}
        self._n_reserved_by_service: Counter[str] = Counter()

    def record_request(self, service: str, *, now: float) -> None:
        """Count a request."""
        times = self._requests_by_service.setdefault(service, deque())
        times.append(now)
        self._trim(times, now=now)

    def has_room(self, service: str, *, now: float) -> bool:
        """Return whether another retry may be sent."""
        retries = self._retries_by_service.setdefault(service, deque())
        requests = self._requests_by_service.setdefault(service, deque())
        self._trim(retries, now=now)
        self._trim(requests, now=now)
        available = min(1.0, (now - self._since) / self._window)
        share = available * self._slack / max(1, self._n_hosts())
        allowed = USED_SHARE * (self._ratio * len(requests) + share)
        return len(retries) + self._n_reserved_by_service[service] + 1 <= allowed

    def reserve(self, service: str, *, now: float) -> bool:
        """Return whether another retry may be sent, and reserve it if so."""
        if not self.has_room(service, now=now):
            return False
        self._n_reserved_by_service[service] += 1
        return True

    def sent(self, service: str, *, now: float) -> None:
        """Count a reserved retry that is sent now."""
        self.release(service)
        self._retries_by_service.setdefault(service, deque()).append(now)

    def withdraw(self, service: str, *, sent_at: float) -> None:
        """Give back a retry that was sent but reached no server."""
        retries = self._retries_by_service.get(service, deque())
        if sent_at in retries:
            retries.remove(sent_at)

    def release(self, service: str) -> None:
        """Give back a reserved retry that is not sent."""
        self._n_reserved_by_service[service] -= 1

    def _trim(self, times: deque[float], *, now: float) -> None:
        oldest = now - self._window
        while times and times[0] < oldest:
            times.popleft()
