"""Count the requests of other hosts that go before a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .ranks import rank_step

if TYPE_CHECKING:
    from ...state.observations import WaitingRow
    from .rank_shares import Order

__all__ = ["PeerCounts"]


class PeerCounts:
    """Count the waiting requests of other hosts by service, model, lateness and rank.

    The counts are made once for each view of the other hosts: a host with hundreds of
    waiting requests compares each of them with this view many times a second.
    """

    __slots__ = ("_ahead_by_order", "_counts_by_work", "_rows")

    def __init__(self) -> None:
        self._rows: tuple[WaitingRow, ...] = ()
        self._counts_by_work: dict[tuple[str, str], dict[Order, int]] = {}
        self._ahead_by_order: dict[tuple[tuple[str, str], Order], tuple[int, int]] = {}

    def ahead(
        self, rows: tuple[WaitingRow, ...], work: tuple[str, str], order: Order
    ) -> tuple[int, int]:
        """Return how many requests go before a request, and how many are its equals.

        Parameters
        ----------
        rows : tuple of WaitingRow
            The current view of the other hosts.
        """
        if rows is not self._rows:
            self._count(rows)
        key = (work, order)
        found = self._ahead_by_order.get(key)
        if found is None:
            counts = self._counts_by_work.get(work, {})
            n_ahead = sum(count for other, count in counts.items() if other < order)
            found = self._ahead_by_order[key] = (n_ahead, counts.get(order, 0))
        return found

    def _count(self, rows: tuple[WaitingRow, ...]) -> None:
        self._rows = rows
        self._ahead_by_order.clear()
        self._counts_by_work.clear()
        for row in rows:
            counts = self._counts_by_work.setdefault((row.service, row.model), {})
            order = (row.late, rank_step(row.rank))
            counts[order] = counts.get(order, 0) + row.count
