"""Estimate the load of backend servers from three incomplete or delayed sources."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from ...state.observations import LoadRow

if TYPE_CHECKING:
    from ...state.observations import Observation
    from .targets import Candidate, Targets

__all__ = ["LoadView"]

#: Seconds for which a peer's count of requests in flight is used.
PEER_MAX_AGE = 5.0

#: Weight of other entry hosts' requests in flight when siblings are compared.
REMOTE_WEIGHT = 0.25

#: Seconds for which a target that became empty is announced to peers with count 0.
EMPTY_ANNOUNCED_FOR = 5.0

#: Maximum number of non-zero counts announced to peers, the most loaded targets first:
#: 390 hosts that each announce 195 groups would exceed the limit for control traffic.
#: With the zeros of emptied targets, at most twice as many rows are sent.
MAX_ROWS = 32


class LoadView:
    """Combine local counts, peers' counts and the backend servers' own reports.

    Local counts are exact but cover only the requests of this entry host.  Peers'
    counts cover the rest and are slightly delayed.  A report covers all requests and
    is delayed more.  The estimate is the larger of the report and the sum of all
    counts: an estimate that is too low sends many requests to one backend server at
    once, one that is too high only sends them elsewhere.
    """

    def __init__(self, *, targets: Targets) -> None:
        self._targets = targets
        self._n_local_by_target: dict[str, int] = {}
        self._emptied_at_by_target: dict[str, float] = {}
        self._peers_by_target: dict[str, dict[str, tuple[int, float]]] = {}

    def started(self, name: str, *, now: float) -> None:
        """Add an attempt of this entry host to the count of its target."""
        self._n_local_by_target[name] = self._n_local_by_target.get(name, 0) + 1

    def ended(self, name: str, *, now: float) -> None:
        """Remove an attempt of this entry host from the count of its target."""
        n_left = self._n_local_by_target.get(name, 0) - 1
        if n_left > 0:
            self._n_local_by_target[name] = n_left
            return
        self._n_local_by_target.pop(name, None)
        self._emptied_at_by_target[name] = now

    def estimate(self, candidate: Candidate, *, now: float) -> float:
        """Return the estimated number of requests in flight at a candidate."""
        name = candidate.name
        n_counted = self._n_local_by_target.get(name, 0)
        peers = self._peers_by_target.get(name)
        if peers is not None:
            n_counted += sum(
                n_in_flight
                for n_in_flight, observed_at in peers.values()
                if now - observed_at <= PEER_MAX_AGE
            )
        report = self._targets.reported_load(candidate, now=now)
        if report is None:
            return float(n_counted)
        return float(max(n_counted, report.n_running + report.n_waiting))

    def damped_load(self, candidate: Candidate, *, now: float) -> float:
        """Return the local requests in flight plus a quarter of all others.

        Used for the choice among siblings.  Local counts are exact, all others lag.
        With full weight on delayed counts, all entry hosts would send requests to the
        backend server that was empty a moment ago: the 95th percentile of waiting times
        is then four times as long.
        """
        n_local = self._n_local_by_target.get(candidate.name, 0)
        n_all = self.estimate(candidate, now=now)
        return n_local + REMOTE_WEIGHT * (n_all - n_local)

    def is_queueing(self, candidate: Candidate, *, now: float) -> bool:
        """Return whether a candidate reports queued requests."""
        report = self._targets.reported_load(candidate, now=now)
        return report is not None and report.n_waiting > 0

    def observations(self, *, now: float) -> list[Observation]:
        """Return the local counts, and 0 for recently emptied targets.

        Targets that became empty are included for ``EMPTY_ANNOUNCED_FOR`` seconds.
        """
        for name, emptied_at in list(self._emptied_at_by_target.items()):
            old = now - emptied_at > EMPTY_ANNOUNCED_FOR
            if old or name in self._n_local_by_target:
                del self._emptied_at_by_target[name]
        busiest = heapq.nlargest(
            MAX_ROWS, self._n_local_by_target.items(), key=lambda item: item[1]
        )
        rows = [LoadRow(target=name, n_in_flight=n) for name, n in busiest]
        rows += [
            LoadRow(target=name, n_in_flight=0) for name in self._emptied_at_by_target
        ]
        return rows[: 2 * MAX_ROWS]

    def observed(
        self, observation: Observation, *, peer: str, observed_at: float, now: float
    ) -> None:
        """Record a peer's count of its requests in flight at a target."""
        if not isinstance(observation, LoadRow):
            return
        peers = self._peers_by_target.setdefault(observation.target, {})
        if observation.n_in_flight:
            peers[peer] = (observation.n_in_flight, observed_at)
            return
        peers.pop(peer, None)
        if not peers:
            del self._peers_by_target[observation.target]
