"""Keep what a router works out of each list of candidates."""

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

#: Places in the rendezvous order that are tried before balance goes first.
N_RANKED = 4

#: Candidates that the total load is estimated from.
MAX_SAMPLE = 64

#: Seconds for which an estimate of the total load is kept.
TOTAL_INTERVAL = 0.25

#: Prefixes whose rendezvous order is kept.
MAX_ORDERS = 8192


@dataclass(slots=True, kw_only=True)
class ZoneTotal:
    """Hold the estimated load of one zone's usable candidates.

    Attributes
    ----------
    load : float
        All requests in flight there.
    damped : float
        The same with the weight that siblings are compared by.
    queueing_share : float
        Part of the candidates that report waiting requests.
    """

    load: float
    damped: float
    queueing_share: float
    weight: float
    estimated_at: float

    @property
    def mean(self) -> float:
        """Return the load of an average candidate; infinite when none is usable."""
        return self.load / self.weight if self.weight else float("inf")


class ZoneTotals:
    """Keep orders and estimated loads, which cost too much for each request."""

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
        self._nothing_until_by_set: dict[int, float] = {}

    def remember(self, found: CandidateSet) -> None:
        """Hold on to a list, so that its id stays its own, and drop old ones."""
        if id(found) in self._sets_by_id:
            return
        if len(self._sets_by_id) >= MAX_SAMPLE:
            self._sets_by_id.clear()
            self._orders.clear()
            self._totals_by_set.clear()
            self._nothing_until_by_set.clear()
        self._sets_by_id[id(found)] = found

    def found_nothing(self, found: CandidateSet, *, until: float) -> None:
        """Believe for a moment that nothing of a list is usable."""
        self._nothing_until_by_set[id(found)] = until

    def nothing_until(self, found: CandidateSet) -> float:
        """Return until when nothing of a list is believed to be usable."""
        return self._nothing_until_by_set.get(id(found), float("-inf"))

    def order(self, found: CandidateSet, key: int, *, is_own: bool) -> list[Candidate]:
        """Return the first places of a prefix in its rendezvous order."""
        known = self._orders.get((id(found), key, is_own))
        if known is not None:
            return known
        candidates = found.own_zone if is_own else found.other_zones
        if len(self._orders) >= MAX_ORDERS:
            self._orders.popitem(last=False)
        order = ranked(key, candidates, n=N_RANKED)
        self._orders[id(found), key, is_own] = order
        return order

    def total(self, found: CandidateSet, *, is_own: bool, now: float) -> ZoneTotal:
        """Return the estimated load of one zone, taken anew now and then."""
        known = self._totals_by_set.get((id(found), is_own))
        if known is not None and now - known.estimated_at < TOTAL_INTERVAL:
            return known
        candidates = found.own_zone if is_own else found.other_zones
        usable = [
            candidate
            for candidate in self.sample(candidates)
            if self._targets.target(candidate, now=now) is not None
        ]
        total = ZoneTotal(
            load=sum(self._loads.estimate(one, now=now) for one in usable),
            damped=sum(self._loads.damped(one, now=now) for one in usable),
            queueing_share=sum(self._loads.is_queueing(one, now=now) for one in usable)
            / max(1, len(usable)),
            weight=sum(candidate.weight for candidate in usable),
            estimated_at=now,
        )
        self._totals_by_set[id(found), is_own] = total
        return total

    def sample(self, candidates: Sequence[Candidate]) -> Iterable[Candidate]:
        """Return all of a few candidates, or some of many drawn at random."""
        if len(candidates) <= MAX_SAMPLE:
            return candidates
        return self._random.sample(candidates, MAX_SAMPLE)
