"""Estimate the load of backend servers from three views that each lag or lack."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from ...state.observations import LoadRow

if TYPE_CHECKING:
    from ...state.observations import Observation
    from .targets import Candidate, Targets

__all__ = ["LoadView"]

#: Seconds for which a peer's row counts.
PEER_MAX_AGE = 5.0

#: Weight of requests that others have in flight, when siblings are compared.
OTHERS_WEIGHT = 0.25

#: Seconds for which a target that became empty is still told as 0.
TOLD_EMPTY_FOR = 5.0

#: Rows told at most, the most loaded first: 390 hosts that tell of 195 groups each
#: would exceed what control may send.
MAX_ROWS = 32


class LoadView:
    """Join own counts, peers' counts and the backend servers' own reports.

    Own counts are exact but see one entry host's part.  Peers' counts see the rest,
    a moment late.  A report sees everything, later still.  The estimate is the
    larger of own plus peers' and the report: an estimate that is too low sends a
    herd of requests to one place, one that is too high only sends them elsewhere.
    """

    def __init__(self, *, targets: Targets) -> None:
        self._targets = targets
        self._n_own_by_target: dict[str, int] = {}
        self._emptied_at_by_target: dict[str, float] = {}
        self._peers_by_target: dict[str, dict[str, tuple[int, float]]] = {}

    def started(self, name: str, *, now: float) -> None:
        """Count an own attempt."""
        self._n_own_by_target[name] = self._n_own_by_target.get(name, 0) + 1

    def ended(self, name: str, *, now: float) -> None:
        """Count an own attempt no more."""
        n_left = self._n_own_by_target.get(name, 0) - 1
        if n_left > 0:
            self._n_own_by_target[name] = n_left
            return
        self._n_own_by_target.pop(name, None)
        self._emptied_at_by_target[name] = now

    def estimate(self, candidate: Candidate, *, now: float) -> float:
        """Return the requests in flight at a candidate."""
        name = candidate.name
        n_seen = self._n_own_by_target.get(name, 0)
        peers = self._peers_by_target.get(name)
        if peers is not None:
            n_seen += sum(
                n_in_flight
                for n_in_flight, observed_at in peers.values()
                if now - observed_at <= PEER_MAX_AGE
            )
        report = self._targets.reported_load(candidate, now=now)
        if report is None:
            return float(n_seen)
        return float(max(n_seen, report.n_running + report.n_waiting))

    def damped(self, candidate: Candidate, *, now: float) -> float:
        """Return own requests in flight and a quarter of all others.

        For the choice among siblings.  Own counts are exact, the rest lags; who
        follows it at full weight goes where it was empty a moment ago, as do all
        others: the 95th percentile of waiting was four times as long.
        """
        n_own = self._n_own_by_target.get(candidate.name, 0)
        n_all = self.estimate(candidate, now=now)
        return n_own + OTHERS_WEIGHT * (n_all - n_own)

    def is_queueing(self, candidate: Candidate, *, now: float) -> bool:
        """Tell whether a candidate reports requests that wait for their turn."""
        report = self._targets.reported_load(candidate, now=now)
        return report is not None and report.n_waiting > 0

    def observations(self, *, now: float) -> list[Observation]:
        """Return own counts, those of emptied targets as 0 for a while."""
        for name, emptied_at in list(self._emptied_at_by_target.items()):
            old = now - emptied_at > TOLD_EMPTY_FOR
            if old or name in self._n_own_by_target:
                del self._emptied_at_by_target[name]
        busiest = heapq.nlargest(
            MAX_ROWS, self._n_own_by_target.items(), key=lambda item: item[1]
        )
        rows = [LoadRow(target=name, n_in_flight=n) for name, n in busiest]
        rows += [
            LoadRow(target=name, n_in_flight=0) for name in self._emptied_at_by_target
        ]
        return rows[: 2 * MAX_ROWS]

    def observed(
        self, observation: Observation, *, peer: str, observed_at: float, now: float
    ) -> None:
        """Take a peer's count."""
        if not isinstance(observation, LoadRow):
            return
        peers = self._peers_by_target.setdefault(observation.target, {})
        if observation.n_in_flight:
            peers[peer] = (observation.n_in_flight, observed_at)
            return
        peers.pop(peer, None)
        if not peers:
            del self._peers_by_target[observation.target]
