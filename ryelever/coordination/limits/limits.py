"""Split each client account's limits over entry hosts by observed demand.

Every entry host announces its demand and computes its own share of each limit; no host
assigns shares. Two rules bound the sum of all shares: a host counts its own demand only
after ``SETTLING_TIME`` seconds, when its peers have had time to learn of it, and an
announced demand falls by no more than ``exp(-t / DECAY_TIME)``. A peer's value that is
at most ``SETTLING_TIME`` old is therefore at least ``exp(-SETTLING_TIME / DECAY_TIME)``
of what that peer counts for itself, and the shares add up to at most
``exp(SETTLING_TIME / DECAY_TIME)`` times the limit, however demand changes.
docs/ADMISSION.md has the proof, and the effect of lost rows and partitions.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...state.observations import DemandRow
from .demand import SAMPLE_INTERVAL, Demand, LocalDemand
from .peers import LIVENESS_ACCOUNT, PeerDemands

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.observations import Observation

__all__ = ["AccountLimits"]

#: Part of each limit that is divided evenly, so that new demand at a host finds a
#: share.
EVEN_SHARE = 0.05

#: Seconds without a row after which a majority takes over a peer's share.
FORGET_AFTER = 10.0

#: Demand below this value is no longer announced.
NEGLIGIBLE = 0.01


@dataclass(slots=True, kw_only=True)
class _AccountView:
    """Cached demand of one account at this host, at live peers and at silent ones."""

    at: float
    local: Demand
    live: Demand
    silent: Demand

    def demands(self) -> tuple[Demand, Demand, Demand]:
        """Return the demand at this host, at live peers and at silent peers."""
        return (self.local, self.live, self.silent)


@dataclass(slots=True, kw_only=True)
class _PartitionState:
    """Demand as it was known when this host lost contact with most of its peers."""

    n_live: int
    views_by_account: dict[str, _AccountView]


class AccountLimits:
    """Compute this host's share of every limit.

    ``observations`` returns the rows for the other hosts, and ``observed`` records
    the rows of the other hosts.

    Parameters
    ----------
    n_hosts : callable
        Return how many entry hosts the settings name, including this one.
    refresh : float
        Seconds for which sums over peers are cached.

    Attributes
    ----------
    n_live : int
        Hosts whose rows arrive, including this one.
    cut_off : bool
        True unless this host and its live peers are a majority of the known hosts.
    """

    def __init__(
        self, *, n_hosts: Callable[[], int], refresh: float = SAMPLE_INTERVAL
    ) -> None:
        self._n_hosts = n_hosts
        self._refresh = refresh
        self._local_by_account: dict[str, LocalDemand] = {}
        self._peers = PeerDemands()
        self._views_by_account: dict[str, _AccountView] = {}
        self._partition: _PartitionState | None = None
        self._liveness_checked_at = float("-inf")
        self.n_live = 1
        # A host that starts has received no rows: until it receives rows from most of
        # its peers, it takes an even share only.
        self.cut_off = True

    # Local demand

    def arrived(self, client_account: str, *, now: float) -> None:
        """Count one arrival, admitted or not."""
        self._local_demand(client_account, now).arrive(now)

    def occupied(
        self, client_account: str, *, n_in_flight: int, n_waiting: int, now: float
    ) -> None:
        """Record the account's requests at this host."""
        local = self._local_demand(client_account, now)
        local.n_in_flight = n_in_flight
        local.n_waiting = n_waiting
        local.sample(now)

    def observations(self, *, now: float) -> list[Observation]:
        """Return the local demand by account, and a row that changes each second.

        In the rows of accounts, ``n_waiting`` is raised so that the row's two counts
        add up to the slowly falling demand: a peer that misses the row of a peak still
        learns of the peak.
        """
        rows: list[Observation] = [
            DemandRow(
                client_account=LIVENESS_ACCOUNT,
                rate=float(int(now) % 3600),
                n_in_flight=0,
                n_waiting=sum(
                    local.n_waiting for local in self._local_by_account.values()
                ),
            )
        ]
        for name, local in list(self._local_by_account.items()):
            local.sample(now)
            if local.rate < NEGLIGIBLE and local.n_requests < NEGLIGIBLE:
                del self._local_by_account[name]
            n_announced = math.ceil(local.n_requests - NEGLIGIBLE)
            rows.append(
                DemandRow(
                    client_account=name,
                    rate=local.rate,
                    n_in_flight=local.n_in_flight,
                    n_waiting=max(local.n_waiting, n_announced - local.n_in_flight),
                )
            )
        return rows

    # Peers

    def observed(
        self, observation: Observation, *, peer: str, observed_at: float, now: float
    ) -> None:
        """Record one row of a peer."""
        if isinstance(observation, DemandRow):
            self._peers.observe(
                observation, peer=peer, observed_at=observed_at, now=now
            )

    def n_hosts_waiting(self, *, now: float) -> int:
        """Return how many hosts, including this one, have requests that wait."""
        self._update_liveness(now)
        return 1 + self._peers.n_live_waiting

    # Shares

    def rate(self, client_account: str, limit: float, *, now: float) -> float:
        """Return the requests a second that this host may admit."""
        self._update_view(client_account, now)
        return self._share(limit, client_account, kind="rate")

    def concurrency(self, client_account: str, limit: int, *, now: float) -> int:
        """Return the requests that this host may have in flight.

        A share below one is rounded up while the peers together are below the limit, as
        far as this host knows. Otherwise an account whose limit is smaller than the
        number of hosts would be admitted by none of them.
        """
        self._update_view(client_account, now)
        part = self._share(float(limit), client_account, kind="n_requests")
        view = self._views_by_account[client_account]
        peer_requests = view.live.n_requests + view.silent.n_requests
        if part >= 1.0 or peer_requests >= limit:
            return int(part + 1e-9)
        return min(1, limit)

    def _share(self, limit: float, client_account: str, *, kind: str) -> float:
        view = self._views_by_account[client_account]
        local, live, silent = (getattr(demand, kind) for demand in view.demands())
        if not self.cut_off:
            total = local + live + silent
            return _allot(
                limit, local=local, total=total, n_hosts=self._n_known_hosts()
            )
        held = limit * self._reachable_share(limit, client_account, kind=kind)
        return _allot(held, local=local, total=local + live, n_hosts=self.n_live)

    def _reachable_share(
        self, limit: float, client_account: str, *, kind: str
    ) -> float:
        """Return the fraction of a limit that the reachable hosts hold together.

        Peers whose rows no longer arrive may still be serving. The hosts on this side
        of a partition may therefore share out only what they held when they were cut
        off, however much their demand grows afterwards.
        """
        even = self.n_live / self._n_known_hosts()
        partition = self._partition
        if partition is None or not limit:
            return even
        view = partition.views_by_account.get(client_account)
        if view is None:
            return even
        local, live, silent = (getattr(demand, kind) for demand in view.demands())
        held = _allot(
            limit,
            local=local + live,
            total=local + live + silent,
            n_hosts=self._n_known_hosts() / partition.n_live,
        )
        # If this side splits further, each piece keeps a share in proportion to its
        # hosts.
        return held / limit * min(1.0, self.n_live / partition.n_live)

    def _n_known_hosts(self) -> int:
        return max(self._n_hosts(), 1 + len(self._peers))

    def _update_liveness(self, now: float) -> None:
        """Update which peers are live, and whether this host is cut off."""
        if now - self._liveness_checked_at < self._refresh:
            return
        self._liveness_checked_at = now
        self._peers.update_liveness(now=now)
        self.n_live = 1 + self._peers.n_live
        was_cut_off = self.cut_off
        self.cut_off = (
            self._n_known_hosts() > 1 and 2 * self.n_live <= self._n_known_hosts()
        )
        if self.cut_off:
            if not was_cut_off:
                self._partition = self._partition_state(now)
            return
        self._partition = None
        self._peers.forget(seen_before=now - FORGET_AFTER)

    def _partition_state(self, now: float) -> _PartitionState:
        names = self._peers.accounts() | set(self._local_by_account)
        views = {name: self._new_view(name, now) for name in names}
        return _PartitionState(n_live=self.n_live, views_by_account=views)

    def _update_view(self, client_account: str, now: float) -> None:
        known = self._views_by_account.get(client_account)
        if known is not None and 0 <= now - known.at < self._refresh:
            return
        self._update_liveness(now)
        self._views_by_account[client_account] = self._new_view(client_account, now)

    def _new_view(self, client_account: str, now: float) -> _AccountView:
        local = self._local_demand(client_account, now)
        local.sample(now)
        return _AccountView(
            at=now,
            local=local.settled(now),
            live=self._peers.live(client_account),
            silent=self._peers.silent(client_account),
        )

    def _local_demand(self, client_account: str, now: float) -> LocalDemand:
        local = self._local_by_account.get(client_account)
        if local is None:
            local = self._local_by_account[client_account] = LocalDemand(at=now)
        return local


def _satisfiable_fraction(limit: float, total: float) -> float:
    """Return the fraction of the demand that the limit can meet."""
    return min(1.0, (1.0 - EVEN_SHARE) * limit / total) if total > 0 else 1.0


def _allot(limit: float, *, local: float, total: float, n_hosts: float) -> float:
    """Return the local demand as far as it can be met, and an even part of the rest."""
    rest = limit - min(total, (1.0 - EVEN_SHARE) * limit)
    return local * _satisfiable_fraction(limit, total) + rest / n_hosts
