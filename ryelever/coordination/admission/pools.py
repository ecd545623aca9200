"""Keep one fair queue for each pool of backend servers, and query its capacity."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..fair_queue import FairQueue
from .capacity import pool_of

if TYPE_CHECKING:
    from ..actions import Arrival
    from .capacity import Capacity

__all__ = ["Pool", "Pools"]

#: Seconds for which requests keep waiting after a pool has lost all its capacity.
LOSS_GRACE_PERIOD = 2.0


@dataclass(slots=True, kw_only=True)
class Pool:
    """Queue of one pool, with its availability.

    Attributes
    ----------
    latest_arrival : Arrival
        The newest arrival, for which the pool's capacity is queried.
    unserved_since : float or None
        Monotonic time since which the pool has had no capacity, or None while it has.
    """

    queue: FairQueue
    latest_arrival: Arrival
    unserved_since: float | None = None

    def is_lost(self, *, now: float) -> bool:
        """Return whether the pool has had no capacity for ``LOSS_GRACE_PERIOD``."""
        return (
            self.unserved_since is not None
            and now - self.unserved_since >= LOSS_GRACE_PERIOD
        )


class Pools:
    """Manage the pools for which requests have arrived.

    Parameters
    ----------
    capacity : Capacity
        Computes how many requests may be in flight in each pool.
    """

    def __init__(self, *, capacity: Capacity) -> None:
        self._capacity = capacity
        self.pools_by_name: dict[str, Pool] = {}

    def pool_for(self, arrival: Arrival) -> Pool:
        """Return the pool that an arrival competes for."""
        name = pool_of(arrival)
        pool = self.pools_by_name.get(name)
        if pool is None:
            pool = self.pools_by_name[name] = Pool(
                queue=FairQueue(), latest_arrival=arrival
            )
        pool.latest_arrival = arrival
        return pool

    def slots(self, pool: Pool, *, now: float) -> float:
        """Return the slots of a pool, and record since when it has had none."""
        slots = self._capacity.slots(
            pool.latest_arrival, n_in_flight=pool.queue.n_in_flight, now=now
        )
        if slots > 0.0:
            pool.unserved_since = None
        elif pool.unserved_since is None:
            pool.unserved_since = now
        return slots

    @property
    def n_waiting(self) -> int:
        """Return the number of waiting requests over all pools."""
        return sum(pool.queue.n_waiting for pool in self.pools_by_name.values())

    def backlogged(self) -> list[Pool]:
        """Return the pools in which requests wait."""
        return [pool for pool in self.pools_by_name.values() if pool.queue.n_waiting]
