"""Keep one queue for each pool of backend servers, with its capacity."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .capacity import pool_of
from .fair_queue import FairQueue

if TYPE_CHECKING:
    from ..actions import Arrival
    from .capacity import Capacity

__all__ = ["Pool", "Pools"]

#: Seconds for which requests wait on when a pool has lost all its capacity.
GRACE = 2.0


@dataclass(slots=True, kw_only=True)
class Pool:
    """Hold the queue of one pool.

    Attributes
    ----------
    example : Arrival
        The newest arrival, with which the pool's capacity is asked for.
    empty_since : float or None
        Since when nothing has served the pool.
    """

    queue: FairQueue
    example: Arrival
    empty_since: float | None = None

    def is_lost(self, *, now: float) -> bool:
        """Tell whether nothing has served the pool for a while."""
        return self.empty_since is not None and now - self.empty_since >= GRACE


class Pools:
    """Own the pools for which requests have arrived.

    Parameters
    ----------
    capacity : Capacity
        Requests that may be in flight in each pool.
    """

    def __init__(self, *, capacity: Capacity) -> None:
        self._capacity = capacity
        self.pools_by_name: dict[str, Pool] = {}

    def of_arrival(self, arrival: Arrival) -> Pool:
        """Return the pool that an arrival competes for."""
        name = pool_of(arrival)
        pool = self.pools_by_name.get(name)
        if pool is None:
            pool = self.pools_by_name[name] = Pool(queue=FairQueue(), example=arrival)
        pool.example = arrival
        return pool

    def slots(self, pool: Pool, *, now: float) -> float:
        """Return the slots of a pool, and note since when there are none."""
        slots = self._capacity.slots(
            pool.example, n_in_flight=pool.queue.n_in_flight, now=now
        )
        if slots > 0.0:
            pool.empty_since = None
        elif pool.empty_since is None:
            pool.empty_since = now
        return slots

    @property
    def n_waiting(self) -> int:
        """Return the requests that wait, over all pools."""
        return sum(pool.queue.n_waiting for pool in self.pools_by_name.values())

    def backlogged(self) -> list[Pool]:
        """Return the pools in which requests wait."""
        return [pool for pool in self.pools_by_name.values() if pool.queue.n_waiting]
