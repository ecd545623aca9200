"""Tell how many requests the backend servers of a pool can take from this host.

Requests should wait in this host's fair queue and not in the engines' own queues,
which are first in, first out.  So a host grants no more than the engines' batches
have room for.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from .actions import ChatWork

if TYPE_CHECKING:
    from collections.abc import Callable

    from .actions import Arrival, Target
    from .confirmation import Confirmations

__all__ = ["Capacity", "FixedCapacity", "GroupCapacity", "pool_of"]

#: Seconds for which a computed capacity is kept.
REFRESH = 0.1

#: Numbers of own requests that are remembered, ``REFRESH`` apart: for longer than
#: reports count.
N_REMEMBERED = 50


class Capacity(Protocol):
    """Give the requests that may be in flight in a pool, from this host."""

    def slots(self, arrival: Arrival, *, n_in_flight: int, now: float) -> float:
        """Return the slots of an arrival's pool; 0 when nothing serves it now."""


class FixedCapacity:
    """Give every pool the same, for tests and measurements.

    Parameters
    ----------
    n_slots : float
        May be changed at any time.
    """

    def __init__(self, *, n_slots: float) -> None:
        self.n_slots = n_slots

    def slots(self, arrival: Arrival, *, n_in_flight: int, now: float) -> float:
        """Return the fixed number."""
        return self.n_slots


@dataclass(slots=True, kw_only=True)
class _Pool:
    """Hold what was last seen of one pool.

    Attributes
    ----------
    n_others : int
        Requests of other hosts, by the reports.
    own : deque of (float, int)
        Times, and the own requests in flight up to the next one.
    """

    looked_at: float = float("-inf")
    n_batch: int = 0
    n_others: int = 0
    own: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=N_REMEMBERED)
    )

    def note(self, n_in_flight: int, now: float) -> None:
        """Remember the own requests in flight."""
        if self.own and now - self.own[-1][0] < REFRESH:
            self.own[-1] = (self.own[-1][0], n_in_flight)
        else:
            self.own.append((now, n_in_flight))

    def own_at(self, at: float) -> int:
        """Return the own requests in flight at a time, rather too few.

        Between two times that are known it may have been any number between; too
        many would make the others' seem fewer, and the engines' queues fill up.
        """
        before = self.own[0][1]
        for known_at, n_in_flight in self.own:
            if known_at > at:
                return min(before, n_in_flight)
            before = n_in_flight
        return before


class GroupCapacity:
    """Compute the room in the batches of the groups that are confirmed whole.

    Each host may always use an even part of the batches; beyond that it may use its
    part of the room that the engines' reports leave, so that what other hosts do not
    use is lent.  A host that lends gets its part back as soon as it asks: it grants
    at once, the borrower sees the fuller reports and grants no more.

    Parameters
    ----------
    targets : callable
        Return the targets that may serve an arrival at a time.
    batch : callable
        Return the requests that one group runs at a time.
    n_hosts, n_hosts_waiting : callable
        Return how many entry hosts there are, and how many have requests waiting
        at a time; each at least 1.
    """

    def __init__(
        self,
        *,
        targets: Callable[[Arrival, float], list[Target]],
        confirmations: Confirmations,
        batch: Callable[[], int],
        n_hosts: Callable[[], int],
        n_hosts_waiting: Callable[[float], int],
    ) -> None:
        self._targets = targets
        self._confirmations = confirmations
        self._batch = batch
        self._n_hosts = n_hosts
        self._n_hosts_waiting = n_hosts_waiting
        self._pools_by_name: dict[str, _Pool] = {}

    def slots(self, arrival: Arrival, *, n_in_flight: int, now: float) -> float:
        """Return the slots for this host.

        A plain service reports no batch, so only the limits of accounts hold there.
        """
        if not isinstance(arrival.work, ChatWork):
            return float("inf") if self._targets(arrival, now) else 0.0
        pool = self._pools_by_name.setdefault(pool_of(arrival), _Pool())
        pool.note(n_in_flight, now)
        if not 0 <= now - pool.looked_at < REFRESH:
            self._look(pool, arrival, now=now)
        if not pool.n_batch:
            return 0.0
        even = max(1.0, pool.n_batch / self._n_hosts())
        n_free = max(0, pool.n_batch - pool.n_others - n_in_flight)
        return max(even, n_in_flight + n_free / self._n_hosts_waiting(now))

    def _look(self, pool: _Pool, arrival: Arrival, *, now: float) -> None:
        """Take the reports, less the own requests that they count.

        The reports lag.  With the own requests of now taken off instead, each one
        that has ended since would seem to be another host's: its slot would be idle
        until the next report, though callers wait.
        """
        targets = self._targets(arrival, now)
        pool.looked_at = now
        pool.n_batch = len(targets) * self._batch()
        n_reported = 0
        asked_at = []
        for target in targets:
            host = target.hosts[0]
            report = self._confirmations.fresh(host, now=now)
            if report is not None:
                n_reported += report.running + report.waiting
                asked_at.append(self._confirmations.reports_by_host[host].asked_at)
        mean = sum(asked_at) / len(asked_at) if asked_at else now
        pool.n_others = max(0, n_reported - pool.own_at(mean))


def pool_of(arrival: Arrival) -> str:
    """Name the backend servers that an arrival competes for."""
    if isinstance(arrival.work, ChatWork):
        return f"model/{arrival.work.model}"
    return f"service/{arrival.work.service}"
