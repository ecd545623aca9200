"""Tell how many requests the backend servers of a pool can take from this host.

Requests should wait in this host's fair queue and not in the engines' own queues,
which are first in, first out.  So a host grants no more than the engines' batches
have room for.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from .actions import ChatWork

if TYPE_CHECKING:
    from collections.abc import Callable

    from .actions import Arrival, ServiceWork, Target
    from .confirmation import Confirmations
    from .targets import Candidate, CandidateSet

__all__ = ["Capacity", "FixedCapacity", "GroupCapacity", "pool_of"]

#: Seconds for which a computed capacity is kept.
REFRESH = 0.1

#: Candidates judged in one look.  To judge 800 groups takes milliseconds; in turns
#: each is judged once in 2.5 s while requests come, which is about what a report
#: counts for.
N_JUDGED = 32

#: Seconds without a look after which all are judged anew.
MAX_PAUSE = 3.0


class Capacity(Protocol):
    """Give the requests that may be in flight in a pool, from this host."""

    def slots(self, arrival: Arrival, *, n_in_flight: int, now: float) -> float:
        """Return the slots of an arrival's pool; 0 when nothing serves it now."""


class CandidateView(Protocol):
    """Name what is placed for a work, and judge one of it; ``Targets`` does."""

    def candidates(self, work: ChatWork | ServiceWork, *, now: float) -> CandidateSet:
        """Return everything that is placed or listed for a work."""

    def target(self, candidate: Candidate, *, now: float) -> Target | None:
        """Return the target of a candidate that may be used now, or else None."""


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


@dataclass(slots=True, kw_only=True)
class _Judged:
    """Hold what was found of one zone's candidates, judged in turns.

    Attributes
    ----------
    n_reported_by_name : dict of str to int
        Requests in the newest report, of the usable ones only.
    """

    n_reported_by_name: dict[str, int] = field(default_factory=dict)
    candidates: tuple[Candidate, ...] = ()
    next_index: int = 0
    at: float = float("-inf")


class GroupCapacity:
    """Compute the room in the batches of the groups that are confirmed whole.

    Each host may always use an even part of the batches; beyond that it may use its
    part of the room that the engines' reports leave, so that what other hosts do not
    use is lent.  A host that lends gets its part back as soon as it asks: it grants
    at once, the borrower sees the fuller reports and grants no more.

    Parameters
    ----------
    targets : CandidateView
        Knows the groups and services, and which of them may serve.
    batch : callable
        Return the requests that one group runs at a time.
    n_hosts, n_hosts_waiting : callable
        Return how many entry hosts there are, and how many have requests waiting
        at a time; each at least 1.
    """

    def __init__(
        self,
        *,
        targets: CandidateView,
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
        self._judged_by_zone: dict[tuple[str, bool], _Judged] = {}

    def slots(self, arrival: Arrival, *, n_in_flight: int, now: float) -> float:
        """Return the slots for this host.

        A plain service reports no batch, so only the limits of accounts hold there.
        """
        if not isinstance(arrival.work, ChatWork):
            return float("inf") if self._any_usable(arrival, now=now) else 0.0
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
        found = self._targets.candidates(arrival.work, now=now)
        reported: dict[str, int] = {}
        for is_own, candidates in ((True, found.own_zone), (False, found.other_zones)):
            reported = self._judge(
                (pool_of(arrival), is_own), candidates, now=now
            ).n_reported_by_name
            if reported:
                break
        return _Known(
            at=now,
            n_batch=len(reported) * self._batch(),
            n_reported=sum(reported.values()),
            n_in_flight=n_in_flight,
        )

    def _any_usable(self, arrival: Arrival, *, now: float) -> bool:
        found = self._targets.candidates(arrival.work, now=now)
        return any(
            self._targets.target(candidate, now=now) is not None
            for candidates in (found.own_zone, found.other_zones)
            for candidate in candidates
        )

    def _judge(
        self,
        zone: tuple[str, bool],
        candidates: tuple[Candidate, ...],
        *,
        now: float,
    ) -> _Judged:
        """Judge the next few candidates, or all after a pause."""
        judged = self._judged_by_zone.setdefault(zone, _Judged())
        if judged.candidates is not candidates:
            judged.candidates = candidates
            names = {candidate.name for candidate in candidates}
            for name in judged.n_reported_by_name.keys() - names:
                del judged.n_reported_by_name[name]
        n_judged = N_JUDGED if 0 <= now - judged.at <= MAX_PAUSE else len(candidates)
        judged.at = now
        for _ in range(min(n_judged, len(candidates))):
            judged.next_index = (judged.next_index + 1) % len(candidates)
            candidate = candidates[judged.next_index]
            n_reported = self._n_reported(candidate, now=now)
            if n_reported is None:
                judged.n_reported_by_name.pop(candidate.name, None)
            else:
                judged.n_reported_by_name[candidate.name] = n_reported
        return judged

    def _n_reported(self, candidate: Candidate, *, now: float) -> int | None:
        """Return the requests at a usable candidate; None if it is not usable."""
        target = self._targets.target(candidate, now=now)
        if target is None:
            return None
        report = self._confirmations.fresh(target.hosts[0], now=now)
        return report.running + report.waiting if report is not None else 0


def pool_of(arrival: Arrival) -> str:
    """Name the backend servers that an arrival competes for."""
    if isinstance(arrival.work, ChatWork):
        return f"model/{arrival.work.model}"
    return f"service/{arrival.work.service}"
