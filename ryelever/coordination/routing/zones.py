"""Cache rendezvous orders and load totals of candidate lists for a router."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .affinity import ranked

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from .load import LoadView
    from .targets import Candidate, CandidateSet, Targets

__all__ = ["ZoneTotal", "ZoneTotals"]

#: Number of candidates in rendezvous order tried before a choice by load alone.
N_RANKED = 4

#: Maximum number of candidates from which the total load is estimated, and of candidate
#: lists for which values are cached.
MAX_SAMPLE = 64

#: Seconds for which an estimate of the total load is reused.
TOTAL_INTERVAL = 0.25

#: Maximum number of cached rendezvous orders.
MAX_ORDERS = 8192


@dataclass(slots=True, kw_only=True)
class ZoneTotal:
    """Load of the usable candidates in this host's zone or in all other zones.

    With more than ``MAX_SAMPLE`` candidates, all sums are those of a random sample.

    Attributes
    ----------
    load : float
        All requests in flight at these candidates.
    damped_load : float
        The same, with other entry hosts' requests weighted as by
        ``LoadView.damped_load``.
    queueing_share : float
        Share of the candidates that report queued requests.
    weight : float
        Sum of the candidates' weights.
    estimated_at : float
        Monotonic time of the estimate.
    """

    load: float
    damped_load: float
    queueing_share: float
    weight: float
    estimated_at: float

    @property
    def mean(self) -> float:
        """Return the load of an average candidate; infinite when none is usable."""
        return self.load / self.weight if self.weight else float("inf")


class ZoneTotals:
    """Cache rendezvous orders and load totals, which are too slow for each request."""

    def __init__(
        self, *, targets: Targets, loads: LoadView, generator: random.Random
    ) -> None:
        self._targets = targets
        self._loads = loads
        self._random = generator
        self._orders: OrderedDict[tuple[int, int, bool], list[Candidate]] = (
            OrderedDict()
        )
        self._sets_by_id: dict[int, CandidateSet] = {}
        self._totals_by_set: dict[tuple[int, bool], ZoneTotal] = {}
        self._unusable_until_by_set: dict[int, float] = {}

    def retain(self, found: CandidateSet) -> None:
        """Keep a reference to a candidate list, so that its id is not reused.

        Beyond ``MAX_SAMPLE`` lists, all cached lists and values are dropped.
        """
        if id(found) in self._sets_by_id:
            return
        if len(self._sets_by_id) >= MAX_SAMPLE:
            self._sets_by_id.clear()
            self._orders.clear()
            self._totals_by_set.clear()
            self._unusable_until_by_set.clear()
        self._sets_by_id[id(found)] = found

    def mark_unusable(self, found: CandidateSet, *, until: float) -> None:
        """Mark all candidates of a list as unusable until a time."""
        self._unusable_until_by_set[id(found)] = until

    def unusable_until(self, found: CandidateSet) -> float:
        """Return the time until which no candidate of a list counts as usable."""
        return self._unusable_until_by_set.get(id(found), float("-inf"))

    def order(
        self, found: CandidateSet, key: int, *, is_local: bool
    ) -> list[Candidate]:
        """Return the first candidates in the rendezvous order of a prefix."""
        known = self._orders.get((id(found), key, is_local))
        if known is not None:
            return known
        candidates = found.local_zone if is_local else found.other_zones
        if len(self._orders) >= MAX_ORDERS:
            self._orders.popitem(last=False)
        order = ranked(key, candidates, n=N_RANKED)
        self._orders[id(found), key, is_local] = order
        return order

    def total(self, found: CandidateSet, *, is_local: bool, now: float) -> ZoneTotal:
        """Return the load total of this host's zone or of all other zones.

        The total is estimated again after ``TOTAL_INTERVAL`` seconds.
        """
        known = self._totals_by_set.get((id(found), is_local))
        if known is not None and now - known.estimated_at < TOTAL_INTERVAL:
            return known
        candidates = found.local_zone if is_local else found.other_zones
        usable = [
            candidate
            for candidate in self.sample(candidates)
            if self._targets.target(candidate, now=now) is not None
        ]
        total = ZoneTotal(
            load=sum(self._loads.estimate(one, now=now) for one in usable),
            damped_load=sum(self._loads.damped_load(one, now=now) for one in usable),
            queueing_share=sum(self._loads.is_queueing(one, now=now) for one in usable)
            / max(1, len(usable)),
            weight=sum(candidate.weight for candidate in usable),
            estimated_at=now,
        )
        self._totals_by_set[id(found), is_local] = total
        return total

    def sample(self, candidates: Sequence[Candidate]) -> Iterable[Candidate]:
        """Return all candidates, or ``MAX_SAMPLE`` of them drawn at random."""
        if len(candidates) <= MAX_SAMPLE:
            return candidates
        return self._random.sample(candidates, MAX_SAMPLE)
