"""Sum what the other entry hosts tell of each client account's demand."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .demand import Demand

if TYPE_CHECKING:
    from ...state.observations import DemandRow

__all__ = ["HEARTBEAT", "SILENT_AFTER", "PeerDemands"]

#: Client account of the row that is sent when there is no demand at all.
HEARTBEAT = ""

#: Seconds without a row after which a peer counts as not heard.
SILENT_AFTER = 3.0

#: Steps to a request a second in which rates are summed.
STEPS = 1_000_000


@dataclass(slots=True, kw_only=True, frozen=True)
class _Row:
    """Hold one told demand; ``rate`` counts steps."""

    rate: int
    n_requests: int


@dataclass(slots=True, kw_only=True)
class _Sum:
    """Hold the sum of the rows of one account over some peers.

    The counts are integers.  Floats that are added and taken away for days leave a
    remainder, which would be seen as demand that no host tells and nobody can end.
    """

    rate: int = 0
    n_requests: int = 0
    n_rows: int = 0

    def add(self, row: _Row, sign: int) -> None:
        """Add a row, or take it away."""
        self.rate += sign * row.rate
        self.n_requests += sign * row.n_requests
        self.n_rows += sign


@dataclass(slots=True, kw_only=True)
class _Peer:
    """Hold what one peer told."""

    heard_at: float
    is_live: bool
    n_waiting: int = 0
    rows_by_account: dict[str, _Row] = field(default_factory=dict)


class PeerDemands:
    """Keep the sums over peers up to date as rows come, so that asking is cheap."""

    def __init__(self) -> None:
        self._peers_by_name: dict[str, _Peer] = {}
        self._live_by_account: dict[str, _Sum] = {}
        self._silent_by_account: dict[str, _Sum] = {}
        self.n_live = 0
        self.n_live_waiting = 0

    def __len__(self) -> int:
        """Return the peers that are known, heard or not."""
        return len(self._peers_by_name)

    def observe(
        self, row: DemandRow, *, peer: str, observed_at: float, now: float
    ) -> None:
        """Take one row of a peer; one that is no number counts as none."""
        if not math.isfinite(row.rate):
            return
        known = self._peers_by_name.get(peer)
        if known is None:
            known = self._peers_by_name[peer] = _Peer(
                heard_at=observed_at, is_live=False
            )
        known.heard_at = max(known.heard_at, observed_at)
        if not known.is_live and now - known.heard_at <= SILENT_AFTER:
            self._move(known, is_live=True)
        if row.client_account == HEARTBEAT:
            self._count(known, -1)
            known.n_waiting = row.n_waiting
            self._count(known, 1)
            return
        self._replace(known, row)

    def judge(self, *, now: float) -> None:
        """Find the peers that are no longer heard."""
        for peer in self._peers_by_name.values():
            if peer.is_live and now - peer.heard_at > SILENT_AFTER:
                self._move(peer, is_live=False)

    def forget(self, *, heard_before: float) -> None:
        """Drop the peers that were last heard before a time."""
        for name, peer in list(self._peers_by_name.items()):
            if peer.heard_at < heard_before:
                self._add_all(peer, -1)
                del self._peers_by_name[name]

    def live(self, client_account: str) -> Demand:
        """Return the demand at peers that are heard."""
        return _demand(self._live_by_account.get(client_account))

    def silent(self, client_account: str) -> Demand:
        """Return the demand that peers told which are no longer heard."""
        return _demand(self._silent_by_account.get(client_account))

    def accounts(self) -> set[str]:
        """Return the accounts of which some peer tells a demand."""
        return set(self._live_by_account) | set(self._silent_by_account)

    def _replace(self, peer: _Peer, told: DemandRow) -> None:
        name = told.client_account
        known = peer.rows_by_account.pop(name, None)
        if known is not None:
            self._add(peer, name, known, -1)
        row = _Row(
            rate=round(told.rate * STEPS),
            n_requests=told.n_in_flight + told.n_waiting,
        )
        if row.rate or row.n_requests:
            peer.rows_by_account[name] = row
            self._add(peer, name, row, 1)

    def _move(self, peer: _Peer, *, is_live: bool) -> None:
        self._add_all(peer, -1)
        peer.is_live = is_live
        self._add_all(peer, 1)

    def _add_all(self, peer: _Peer, sign: int) -> None:
        self._count(peer, sign)
        if peer.is_live:
            self.n_live += sign
        for name, row in peer.rows_by_account.items():
            self._add(peer, name, row, sign)

    def _count(self, peer: _Peer, sign: int) -> None:
        if peer.is_live and peer.n_waiting > 0:
            self.n_live_waiting += sign

    def _add(self, peer: _Peer, name: str, row: _Row, sign: int) -> None:
        side = self._live_by_account if peer.is_live else self._silent_by_account
        known = side.get(name)
        if known is None:
            known = side[name] = _Sum()
        known.add(row, sign)
        if not known.n_rows:
            del side[name]


def _demand(known: _Sum | None) -> Demand:
    if known is None:
        return Demand()
    return Demand(rate=known.rate / STEPS, n_requests=float(known.n_requests))
