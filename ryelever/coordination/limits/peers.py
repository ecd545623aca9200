"""Sum the demand of each client account that other entry hosts announce."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .demand import Demand

if TYPE_CHECKING:
    from ...state.observations import DemandRow

__all__ = ["LIVENESS_ACCOUNT", "SILENT_AFTER", "PeerDemands"]

#: Client account of the row that is sent even if there is no demand.
LIVENESS_ACCOUNT = ""

#: Seconds without a row after which a peer counts as silent.
SILENT_AFTER = 3.0

#: Resolution of summed rates: rates are summed in integer steps of one millionth of a
#: request a second.
STEPS_PER_REQUEST = 1_000_000


@dataclass(slots=True, kw_only=True, frozen=True)
class _Row:
    """One announced demand; ``rate`` counts steps of ``1 / STEPS_PER_REQUEST``."""

    rate: int
    n_requests: int


@dataclass(slots=True, kw_only=True)
class _Sum:
    """Sum of the rows of one account over some peers.

    The counts are integers: floats that are added and subtracted for days leave a
    remainder, which would count as demand that no host announces and that never ends.
    """

    rate: int = 0
    n_requests: int = 0
    n_rows: int = 0

    def add(self, row: _Row, sign: int) -> None:
        """Add a row, or subtract it if ``sign`` is -1."""
        self.rate += sign * row.rate
        self.n_requests += sign * row.n_requests
        self.n_rows += sign


@dataclass(slots=True, kw_only=True)
class _Peer:
    """The rows that one peer has announced."""

    last_seen_at: float
    is_live: bool
    n_waiting: int = 0
    rows_by_account: dict[str, _Row] = field(default_factory=dict)


class PeerDemands:
    """Maintain sums over peers as rows arrive, so that queries are cheap."""

    def __init__(self) -> None:
        self._peers_by_name: dict[str, _Peer] = {}
        self._live_by_account: dict[str, _Sum] = {}
        self._silent_by_account: dict[str, _Sum] = {}
        self.n_live = 0
        self.n_live_waiting = 0

    def __len__(self) -> int:
        """Return the number of known peers, live and silent."""
        return len(self._peers_by_name)

    def observe(
        self, row: DemandRow, *, peer: str, observed_at: float, now: float
    ) -> None:
        """Record one row of a peer; ignore a row whose rate is not finite."""
        if not math.isfinite(row.rate):
            return
        known = self._peers_by_name.get(peer)
        if known is None:
            known = self._peers_by_name[peer] = _Peer(
                last_seen_at=observed_at, is_live=False
            )
        known.last_seen_at = max(known.last_seen_at, observed_at)
        if not known.is_live and now - known.last_seen_at <= SILENT_AFTER:
            self._set_live(known, is_live=True)
        if row.client_account == LIVENESS_ACCOUNT:
            self._count_waiting(known, -1)
            known.n_waiting = row.n_waiting
            self._count_waiting(known, 1)
            return
        self._replace_row(known, row)

    def update_liveness(self, *, now: float) -> None:
        """Mark the peers from which no rows arrive any more as silent."""
        for peer in self._peers_by_name.values():
            if peer.is_live and now - peer.last_seen_at > SILENT_AFTER:
                self._set_live(peer, is_live=False)

    def forget(self, *, seen_before: float) -> None:
        """Drop the peers whose last row is older than a time."""
        for name, peer in list(self._peers_by_name.items()):
            if peer.last_seen_at < seen_before:
                self._add_rows(peer, -1)
                del self._peers_by_name[name]

    def live(self, client_account: str) -> Demand:
        """Return the demand at live peers."""
        return _demand(self._live_by_account.get(client_account))

    def silent(self, client_account: str) -> Demand:
        """Return the last announced demand of silent peers."""
        return _demand(self._silent_by_account.get(client_account))

    def accounts(self) -> set[str]:
        """Return the accounts for which any peer announces a demand."""
        return set(self._live_by_account) | set(self._silent_by_account)

    def _replace_row(self, peer: _Peer, announced: DemandRow) -> None:
        name = announced.client_account
        known = peer.rows_by_account.pop(name, None)
        if known is not None:
            self._add_row(peer, name, known, -1)
        row = _Row(
            rate=round(announced.rate * STEPS_PER_REQUEST),
            n_requests=announced.n_in_flight + announced.n_waiting,
        )
        if row.rate or row.n_requests:
            peer.rows_by_account[name] = row
            self._add_row(peer, name, row, 1)

    def _set_live(self, peer: _Peer, *, is_live: bool) -> None:
        self._add_rows(peer, -1)
        peer.is_live = is_live
        self._add_rows(peer, 1)

    def _add_rows(self, peer: _Peer, sign: int) -> None:
        self._count_waiting(peer, sign)
        if peer.is_live:
            self.n_live += sign
        for name, row in peer.rows_by_account.items():
            self._add_row(peer, name, row, sign)

    def _count_waiting(self, peer: _Peer, sign: int) -> None:
        if peer.is_live and peer.n_waiting > 0:
            self.n_live_waiting += sign

    def _add_row(self, peer: _Peer, name: str, row: _Row, sign: int) -> None:
        sums = self._live_by_account if peer.is_live else self._silent_by_account
        known = sums.get(name)
        if known is None:
            known = sums[name] = _Sum()
        known.add(row, sign)
        if not known.n_rows:
            del sums[name]


def _demand(known: _Sum | None) -> Demand:
    if known is None:
        return Demand()
    return Demand(
        rate=known.rate / STEPS_PER_REQUEST, n_requests=float(known.n_requests)
    )
