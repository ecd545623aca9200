"""Compute how many requests this host may send to the backend servers of a pool.

Requests should wait in this host's fair queue and not in the engines' own queues,
which are first in, first out.  A host therefore grants no more slots than the engines'
batches have room for.
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

#: Seconds for which a computed capacity is reused.
REFRESH_INTERVAL = 0.1

#: Maximum number of candidates checked in one refresh.  Checking 800 groups takes
#: milliseconds.  While requests arrive, successive refreshes check each of 800 groups
#: once in 2.5 s, which is about the time for which a report counts.
N_CHECKED_PER_REFRESH = 32

#: Seconds without a refresh after which all candidates are checked again at once.
FULL_CHECK_AFTER = 3.0

#: Maximum number of samples of this host's requests in flight.  The samples are
#: ``REFRESH_INTERVAL`` apart and cover a longer time than reports count for.
MAX_SAMPLES = 50


class Capacity(Protocol):
    """Compute how many requests of this host may be in flight in a pool."""

    def slots(self, arrival: Arrival, *, n_in_flight: int, now: float) -> float:
        """Return this host's slots in an arrival's pool; 0 if no target serves it."""


class CandidateView(Protocol):
    """List the candidates for a request and check single ones; see ``Targets``."""

    def candidates(self, work: ChatWork | ServiceWork, *, now: float) -> CandidateSet:
        """Return all groups placed, or service hosts listed, for a request's work."""

    def target(self, candidate: Candidate, *, now: float) -> Target | None:
        """Return the target of a candidate, or None if it is not usable now."""


class FixedCapacity:
    """Grant every pool the same number of slots, for tests and benchmarks.

    Parameters
    ----------
    n_slots : float
        Number of slots; the attribute may be changed at any time.
    """

    def __init__(self, *, n_slots: float) -> None:
        self.n_slots = n_slots

    def slots(self, arrival: Arrival, *, n_in_flight: int, now: float) -> float:
        """Return the fixed number of slots."""
        return self.n_slots


@dataclass(slots=True, kw_only=True)
class _PoolState:
    """Capacity and load of one pool at the last refresh.

    Attributes
    ----------
    refreshed_at : float
        Monotonic time of the last refresh.
    n_batch : int
        Requests that the usable groups of this host's zone run at a time; those of all
        other zones if this zone has none.
    n_peer_requests : int
        Requests of other entry hosts at these groups, according to the engines'
        reports.
    local_samples : deque of (float, int)
        Times, and the number of this host's requests in flight until the next time.
    """

    refreshed_at: float = float("-inf")
    n_batch: int = 0
    n_peer_requests: int = 0
    local_samples: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )

    def add_sample(self, n_in_flight: int, now: float) -> None:
        """Record the number of this host's requests in flight."""
        if self.local_samples and now - self.local_samples[-1][0] < REFRESH_INTERVAL:
            self.local_samples[-1] = (self.local_samples[-1][0], n_in_flight)
        else:
            self.local_samples.append((now, n_in_flight))

    def n_local_at(self, at: float) -> int:
        """Return a low estimate of this host's requests in flight at a time.

        Between two samples the number may have been anything between the two.  An
        estimate that is too high would make other hosts' requests seem fewer, and the
        engines' queues would fill up.
        """
        before = self.local_samples[0][1]
        for known_at, n_in_flight in self.local_samples:
            if known_at > at:
                return min(before, n_in_flight)
            before = n_in_flight
        return before


@dataclass(slots=True, kw_only=True, frozen=True)
class _GroupLoad:
    """Load of a usable group, according to the report of its rank 0.

    Attributes
    ----------
    n_requests : int
        Running and waiting requests.
    requested_at : float or None
        Monotonic time at which the report was requested; None without a report.
    """

    n_requests: int = 0
    requested_at: float | None = None


@dataclass(slots=True, kw_only=True)
class _CheckedCandidates:
    """Results of checking one zone's candidates, a few in each refresh.

    Attributes
    ----------
    loads_by_name : dict of str to _GroupLoad
        Loads of the usable candidates.
    last_index : int
        Index of the candidate that was checked last.
    at : float
        Monotonic time of the last check.
    """

    loads_by_name: dict[str, _GroupLoad] = field(default_factory=dict)
    candidates: tuple[Candidate, ...] = ()
    last_index: int = 0
    at: float = float("-inf")


class GroupCapacity:
    """Compute the free room in the batches of the groups that are confirmed complete.

    Each entry host may always use an even share of the batches.  Beyond that, a host
    may use its part of the room that is free according to the engines' reports, so
    that it borrows capacity that other hosts don't use.  A host that lends capacity
    gets its share back as soon as it needs it: it grants slots at once, and the
    borrower sees the higher load in the reports and grants no more slots.

    Parameters
    ----------
    targets : CandidateView
        Lists the groups and services, and checks which of them may serve.
    batch_size : callable
        Return the number of requests that one group runs at a time.
    n_hosts : callable
        Return the number of entry hosts, at least 1.
    n_hosts_waiting : callable
        Return the number of entry hosts with waiting requests at a time, at least 1.
    """

    def __init__(
        self,
        *,
        targets: CandidateView,
        confirmations: Confirmations,
        batch_size: Callable[[], int],
        n_hosts: Callable[[], int],
        n_hosts_waiting: Callable[[float], int],
    ) -> None:
        self._targets = targets
        self._confirmations = confirmations
        self._batch_size = batch_size
        self._n_hosts = n_hosts
        self._n_hosts_waiting = n_hosts_waiting
        self._pools_by_name: dict[str, _PoolState] = {}
        self._checked_by_zone: dict[tuple[str, bool], _CheckedCandidates] = {}

    def slots(self, arrival: Arrival, *, n_in_flight: int, now: float) -> float:
        """Return this host's slots in an arrival's pool.

        A plain service reports no batch.  Its slots are unlimited while one of its
        hosts is usable, and only the accounts' limits apply.
        """
        if not isinstance(arrival.work, ChatWork):
            return float("inf") if self._any_usable(arrival, now=now) else 0.0
        pool = self._pools_by_name.setdefault(pool_of(arrival), _PoolState())
        pool.add_sample(n_in_flight, now)
        if not 0 <= now - pool.refreshed_at < REFRESH_INTERVAL:
            self._refresh(pool, arrival, now=now)
        if not pool.n_batch:
            return 0.0
        even_share = max(1.0, pool.n_batch / self._n_hosts())
        n_free = max(0, pool.n_batch - pool.n_peer_requests - n_in_flight)
        return max(even_share, n_in_flight + n_free / self._n_hosts_waiting(now))

    def _refresh(self, pool: _PoolState, arrival: Arrival, *, now: float) -> None:
        """Compute the peers' load: the reported load less this host's own part of it.

        The reports lag, so they count this host's requests at the time of the report.
        If its current requests were subtracted instead, each request that has ended
        since would seem to be another host's, and its slot would be idle until the
        next report although callers wait.
        """
        found = self._targets.candidates(arrival.work, now=now)
        reports: list[_GroupLoad] = []
        for is_local, candidates in (
            (True, found.local_zone),
            (False, found.other_zones),
        ):
            zone = (pool_of(arrival), is_local)
            reports = self._check_candidates(zone, candidates, now=now)
            if reports:
                break
        pool.refreshed_at = now
        pool.n_batch = len(reports) * self._batch_size()
        requested_at = [
            report.requested_at for report in reports if report.requested_at is not None
        ]
        mean_requested_at = (
            sum(requested_at) / len(requested_at) if requested_at else now
        )
        n_reported = sum(report.n_requests for report in reports)
        pool.n_peer_requests = max(0, n_reported - pool.n_local_at(mean_requested_at))

    def _any_usable(self, arrival: Arrival, *, now: float) -> bool:
        found = self._targets.candidates(arrival.work, now=now)
        return any(
            self._targets.target(candidate, now=now) is not None
            for candidates in (found.local_zone, found.other_zones)
            for candidate in candidates
        )

    def _check_candidates(
        self,
        zone: tuple[str, bool],
        candidates: tuple[Candidate, ...],
        *,
        now: float,
    ) -> list[_GroupLoad]:
        """Check the next few candidates, or after a pause all of them.

        The result is the loads of the usable candidates, from this and earlier checks.
        """
        checked = self._checked_by_zone.setdefault(zone, _CheckedCandidates())
        if checked.candidates is not candidates:
            checked.candidates = candidates
            names = {candidate.name for candidate in candidates}
            for name in checked.loads_by_name.keys() - names:
                del checked.loads_by_name[name]
        n_to_check = (
            N_CHECKED_PER_REFRESH
            if 0 <= now - checked.at <= FULL_CHECK_AFTER
            else len(candidates)
        )
        checked.at = now
        for _ in range(min(n_to_check, len(candidates))):
            checked.last_index = (checked.last_index + 1) % len(candidates)
            candidate = candidates[checked.last_index]
            report = self._group_load(candidate, now=now)
            if report is None:
                checked.loads_by_name.pop(candidate.name, None)
            else:
                checked.loads_by_name[candidate.name] = report
        return list(checked.loads_by_name.values())

    def _group_load(self, candidate: Candidate, *, now: float) -> _GroupLoad | None:
        """Return the reported load of a candidate, or None if it is not usable."""
        target = self._targets.target(candidate, now=now)
        if target is None:
            return None
        host = target.hosts[0]
        report = self._confirmations.fresh(host, now=now)
        if report is None:
            return _GroupLoad()
        return _GroupLoad(
            n_requests=report.running + report.waiting,
            requested_at=self._confirmations.reports_by_host[host].requested_at,
        )


def pool_of(arrival: Arrival) -> str:
    """Return the name of the pool of backend servers that an arrival competes for."""
    if isinstance(arrival.work, ChatWork):
        return f"model/{arrival.work.model}"
    return f"service/{arrival.work.service}"
