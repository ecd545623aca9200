"""Tell how many requests the backend servers of a pool can take from this host.

Requests should wait in this host's fair queue and not in the engines' own queues,
which are first in, first out.  So a host grants no more than the engines' batches
have room for.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from .actions import ChatWork

if TYPE_CHECKING:
    from collections.abc import Callable

    from .actions import Arrival, Target
    from .confirmation import Confirmations

__all__ = ["Capacity", "FixedCapacity", "GroupCapacity", "pool_of"]

#: Seconds for which a computed capacity is kept.
REFRESH = 0.1


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


@dataclass(slots=True, kw_only=True, frozen=True)
class _Known:
    at: float
    n_batch: int
    n_reported: int
    n_in_flight: int


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
        self._known_by_pool: dict[str, _Known] = {}

    def slots(self, arrival: Arrival, *, n_in_flight: int, now: float) -> float:
        """Return the slots for this host.

        A plain service reports no batch, so only the limits of accounts hold there.
        """
        if not isinstance(arrival.work, ChatWork):
            return float("inf") if self._targets(arrival, now) else 0.0
        pool = pool_of(arrival)
        known = self._known_by_pool.get(pool)
        if known is None or not 0 <= now - known.at < REFRESH:
            known = self._look(arrival, n_in_flight=n_in_flight, now=now)
            self._known_by_pool[pool] = known
        if not known.n_batch:
            return 0.0
        even = max(1.0, known.n_batch / self._n_hosts())
        # The reports lag; what this host granted since then is in them only later.
        n_fresh = max(0, n_in_flight - known.n_in_flight)
        n_reported = max(known.n_reported + n_fresh, n_in_flight)
        n_free = max(0, known.n_batch - n_reported)
        return max(even, n_in_flight + n_free / self._n_hosts_waiting(now))

    def _look(self, arrival: Arrival, *, n_in_flight: int, now: float) -> _Known:
        targets = self._targets(arrival, now)
        n_reported = 0
        for target in targets:
            report = self._confirmations.fresh(target.hosts[0], now=now)
            if report is not None:
                n_reported += report.running + report.waiting
        return _Known(
            at=now,
            n_batch=len(targets) * self._batch(),
            n_reported=n_reported,
            n_in_flight=n_in_flight,
        )


def pool_of(arrival: Arrival) -> str:
    """Name the backend servers that an arrival competes for."""
    if isinstance(arrival.work, ChatWork):
        return f"model/{arrival.work.model}"
    return f"service/{arrival.work.service}"
