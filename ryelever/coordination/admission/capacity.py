"""Tell how many requests the backend servers of a pool can take from this host.

Requests should wait in this host's fair queue and not in the engines' own queues,
which are first in, first out.  So a host grants no more than the engines' batches
have room for.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from ..actions import ChatWork

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..actions import Arrival, ServiceWork, Target
    from ..confirmation import Confirmations
    from ..routing import Candidate, CandidateSet

__all__ = ["Capacity", "FixedCapacity", "GroupCapacity", "pool_of"]

#: Seconds for which a computed capacity is kept.
REFRESH = 0.1

#: Candidates judged in one look.  To judge 800 groups takes milliseconds; in turns
#: each is judged once in 2.5 s while requests come, which is about what a report
#: counts for.
N_JUDGED = 32

#: Seconds without a look after which all are judged anew.
MAX_PAUSE = 3.0

#: Numbers of own requests that are remembered, ``REFRESH`` apart: for longer than
#: reports count.
N_REMEMBERED = 50


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


@dataclass(slots=True, kw_only=True, frozen=True)
class _Reported:
    """Hold the requests at a usable group, and when its report was asked for."""

    n_requests: int = 0
    asked_at: float | None = None


@dataclass(slots=True, kw_only=True)
class _Judged:
    """Hold what was found of one zone's candidates, judged in turns.

    Attributes
    ----------
    reports_by_name : dict of str to _Reported
        Of the usable ones only.
    """

    reports_by_name: dict[str, _Reported] = field(default_factory=dict)
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
        self._pools_by_name: dict[str, _Pool] = {}
        self._judged_by_zone: dict[tuple[str, bool], _Judged] = {}

    def slots(self, arrival: Arrival, *, n_in_flight: int, now: float) -> float:
        """Return the slots for this host.

        A plain service reports no batch, so only the limits of accounts hold there.
        """
        if not isinstance(arrival.work, ChatWork):
            return float("inf") if self._any_usable(arrival, now=now) else 0.0
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
        found = self._targets.candidates(arrival.work, now=now)
        reports: list[_Reported] = []
        for is_own, candidates in ((True, found.own_zone), (False, found.other_zones)):
            zone = (pool_of(arrival), is_own)
            reports = self._judge(zone, candidates, now=now)
            if reports:
                break
        pool.looked_at = now
        pool.n_batch = len(reports) * self._batch()
        asked_at = [
            report.asked_at for report in reports if report.asked_at is not None
        ]
        mean = sum(asked_at) / len(asked_at) if asked_at else now
        n_reported = sum(report.n_requests for report in reports)
        pool.n_others = max(0, n_reported - pool.own_at(mean))

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
    ) -> list[_Reported]:
        """Judge the next few candidates, or all after a pause; return the usable."""
        judged = self._judged_by_zone.setdefault(zone, _Judged())
        if judged.candidates is not candidates:
            judged.candidates = candidates
            names = {candidate.name for candidate in candidates}
            for name in judged.reports_by_name.keys() - names:
                del judged.reports_by_name[name]
        n_judged = N_JUDGED if 0 <= now - judged.at <= MAX_PAUSE else len(candidates)
        judged.at = now
        for _ in range(min(n_judged, len(candidates))):
            judged.next_index = (judged.next_index + 1) % len(candidates)
            candidate = candidates[judged.next_index]
            report = self._report(candidate, now=now)
            if report is None:
                judged.reports_by_name.pop(candidate.name, None)
            else:
                judged.reports_by_name[candidate.name] = report
        return list(judged.reports_by_name.values())

    def _report(self, candidate: Candidate, *, now: float) -> _Reported | None:
        """Return what a candidate reports; None if it is not usable."""
        target = self._targets.target(candidate, now=now)
        if target is None:
            return None
        host = target.hosts[0]
        report = self._confirmations.fresh(host, now=now)
        if report is None:
            return _Reported()
        return _Reported(
            n_requests=report.running + report.waiting,
            asked_at=self._confirmations.reports_by_host[host].asked_at,
        )


def pool_of(arrival: Arrival) -> str:
    """Name the backend servers that an arrival competes for."""
    if isinstance(arrival.work, ChatWork):
        return f"model/{arrival.work.model}"
    return f"service/{arrival.work.service}"
