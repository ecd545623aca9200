"""Split each client account's limits over entry hosts by observed demand.

Every entry host tells its own demand and computes its own part; nobody assigns
parts.  Two rules bound the sum of all parts:

* a host's own demand counts only after ``SETTLE`` seconds, when its peers have had
  time to hear of it;
* a demand that is told falls by no more than ``exp(-t / FALL)``.

Hence a peer's value that is at most ``SETTLE`` old is at least
``exp(-SETTLE / FALL)`` of what that peer counts for itself, and the parts sum to
at most ``exp(SETTLE / FALL)`` times the limit, whatever the demand does.
docs/ADMISSION.md has the proof and what lost rows and partitions add.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...state.observations import DemandRow
from .demand import SAMPLE, Demand, OwnDemand
from .peers import HEARTBEAT, PeerDemands

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.observations import Observation

__all__ = ["AccountLimits"]

#: Part of each limit that is spread evenly, so that new demand finds something.
EVEN = 0.05

#: Seconds without a row after which a majority takes over a peer's part.
FORGET_AFTER = 10.0

#: Demand below this is told no more.
NEGLIGIBLE = 0.01


@dataclass(slots=True, kw_only=True)
class _View:
    """Hold one account's demand here and at peers, for a short time."""

    at: float
    own: Demand
    live: Demand
    silent: Demand

    def demands(self) -> tuple[Demand, Demand, Demand]:
        """Return the demand here, at peers that are heard, and at the others."""
        return (self.own, self.live, self.silent)


@dataclass(slots=True, kw_only=True)
class _Cut:
    """Hold what was known when this host lost touch with most of its peers."""

    n_live: int
    views_by_account: dict[str, _View]


class AccountLimits:
    """Compute this host's part of every limit; a source and sink of rows.

    Parameters
    ----------
    n_hosts : callable
        Return how many entry hosts the settings name, this one included.
    refresh : float
        Seconds for which sums over peers are kept.
    """

    def __init__(self, *, n_hosts: Callable[[], int], refresh: float = SAMPLE) -> None:
        self._n_hosts = n_hosts
        self._refresh = refresh
        self._own_by_account: dict[str, OwnDemand] = {}
        self._peers = PeerDemands()
        self._views_by_account: dict[str, _View] = {}
        self._cut: _Cut | None = None
        self._judged_at = float("-inf")
        self.n_live = 1
        # A host that starts knows nobody: until it hears most of its peers, it
        # takes an even part and nothing more.
        self.cut_off = True

    # Own demand

    def arrived(self, client_account: str, *, now: float) -> None:
        """Count one arrival, admitted or not."""
        self._own(client_account, now).arrive(now)

    def occupied(
        self, client_account: str, *, n_in_flight: int, n_waiting: int, now: float
    ) -> None:
        """Take note of the account's requests here."""
        own = self._own(client_account, now)
        own.n_in_flight = n_in_flight
        own.n_waiting = n_waiting
        own.sample(now)

    def observations(self, *, now: float) -> list[Observation]:
        """Return the own demand by account, and a row that changes each second.

        ``n_waiting`` makes the row's two counts sum to the held demand, so that a
        peer which misses the row of a peak still learns of it.
        """
        rows: list[Observation] = [
            DemandRow(
                client_account=HEARTBEAT,
                rate=float(int(now) % 3600),
                n_in_flight=0,
                n_waiting=sum(own.n_waiting for own in self._own_by_account.values()),
            )
        ]
        for name, own in list(self._own_by_account.items()):
            own.sample(now)
            if own.rate < NEGLIGIBLE and own.n_requests < NEGLIGIBLE:
                del self._own_by_account[name]
            held = math.ceil(own.n_requests - NEGLIGIBLE)
            rows.append(
                DemandRow(
                    client_account=name,
                    rate=own.rate,
                    n_in_flight=own.n_in_flight,
                    n_waiting=max(own.n_waiting, held - own.n_in_flight),
                )
            )
        return rows

    # Peers

    def observed(
        self, observation: Observation, *, peer: str, observed_at: float, now: float
    ) -> None:
        """Take one row of a peer."""
        if isinstance(observation, DemandRow):
            self._peers.observe(
                observation, peer=peer, observed_at=observed_at, now=now
            )

    def n_hosts_waiting(self, *, now: float) -> int:
        """Return how many hosts, this one included, have requests that wait."""
        self._judge(now)
        return 1 + self._peers.n_live_waiting

    # Parts

    def rate(self, client_account: str, limit: float, *, now: float) -> float:
        """Return the requests a second that this host may let in."""
        self._look(client_account, now)
        return self._part(limit, client_account, kind="rate")

    def concurrency(self, client_account: str, limit: int, *, now: float) -> int:
        """Return the requests that this host may have in flight.

        A part below one is rounded up while the peers together are seen below the
        limit; otherwise an account with a limit smaller than the number of hosts
        could enter at none of them.
        """
        self._look(client_account, now)
        part = self._part(float(limit), client_account, kind="n_requests")
        view = self._views_by_account[client_account]
        others = view.live.n_requests + view.silent.n_requests
        if part >= 1.0 or others >= limit:
            return int(part + 1e-9)
        return min(1, limit)

    def _part(self, limit: float, client_account: str, *, kind: str) -> float:
        view = self._views_by_account[client_account]
        own, live, silent = (getattr(demand, kind) for demand in view.demands())
        if not self.cut_off:
            total = own + live + silent
            return _split(limit, own=own, total=total, n_hosts=self._n_known())
        held = limit * self._side(limit, client_account, kind=kind)
        return _split(held, own=own, total=own + live, n_hosts=self.n_live)

    def _side(self, limit: float, client_account: str, *, kind: str) -> float:
        """Return the part of a limit that the hosts in reach hold together.

        Peers that are not heard may be serving.  What this side held when it was
        cut off is all that it may share out, however its demand grows since.
        """
        even = self.n_live / self._n_known()
        cut = self._cut
        if cut is None or not limit:
            return even
        view = cut.views_by_account.get(client_account)
        if view is None:
            return even
        own, live, silent = (getattr(demand, kind) for demand in view.demands())
        held = _split(
            limit,
            own=own + live,
            total=own + live + silent,
            n_hosts=self._n_known() / cut.n_live,
        )
        # Should this side fall apart further, each piece keeps its part of hosts.
        return held / limit * min(1.0, self.n_live / cut.n_live)

    def _n_known(self) -> int:
        return max(self._n_hosts(), 1 + len(self._peers))

    def _judge(self, now: float) -> None:
        """Judge which peers are heard, and whether this side is the smaller one."""
        if now - self._judged_at < self._refresh:
            return
        self._judged_at = now
        self._peers.judge(now=now)
        self.n_live = 1 + self._peers.n_live
        was_cut_off = self.cut_off
        self.cut_off = self._n_known() > 1 and 2 * self.n_live <= self._n_known()
        if self.cut_off:
            if not was_cut_off:
                self._cut = self._remember(now)
            return
        self._cut = None
        self._peers.forget(heard_before=now - FORGET_AFTER)

    def _remember(self, now: float) -> _Cut:
        names = self._peers.accounts() | set(self._own_by_account)
        views = {name: self._sums(name, now) for name in names}
        return _Cut(n_live=self.n_live, views_by_account=views)

    def _look(self, client_account: str, now: float) -> None:
        known = self._views_by_account.get(client_account)
        if known is not None and 0 <= now - known.at < self._refresh:
            return
        self._judge(now)
        self._views_by_account[client_account] = self._sums(client_account, now)

    def _sums(self, client_account: str, now: float) -> _View:
        own = self._own(client_account, now)
        own.sample(now)
        return _View(
            at=now,
            own=own.settled(now),
            live=self._peers.live(client_account),
            silent=self._peers.silent(client_account),
        )

    def _own(self, client_account: str, now: float) -> OwnDemand:
        own = self._own_by_account.get(client_account)
        if own is None:
            own = self._own_by_account[client_account] = OwnDemand(at=now)
        return own


def _scale(limit: float, total: float) -> float:
    """Return the part of each demand that the limit can meet."""
    return min(1.0, (1.0 - EVEN) * limit / total) if total > 0 else 1.0


def _split(limit: float, *, own: float, total: float, n_hosts: float) -> float:
    """Return the own demand as far as it can be met, and an even part of the rest."""
    rest = limit - min(total, (1.0 - EVEN) * limit)
    return own * _scale(limit, total) + rest / n_hosts
