"""Aggregate the rows of one availability zone's entry hosts for the other zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from ...state.observations import (
    DemandRow,
    LeavingRow,
    SuspicionRow,
    sum_suspicions,
)
from ..limits import HEARTBEAT
from .tables import ROW_EXPIRY, TableRow, row_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .messages import SoftRow
    from .tables import Table

__all__ = ["aggregated_rows"]


def aggregated_rows(
    tables: Iterable[Table], *, now: float
) -> list[tuple[SoftRow, float]]:
    """Return the rows that other zones need, each with its time of observation.

    Demand and crashes are added up; a sum is as old as its oldest addend.  Loads and
    reports stay inside the zone.  In the sum of the ``HEARTBEAT`` rows, which hosts
    send even without any demand, ``n_in_flight`` is the number of those hosts.
    """
    rows_by_key: dict[tuple[str, ...], tuple[SoftRow, float]] = {}
    for table in tables:
        for kept in table.rows_by_slot.values():
            if _is_sent_to_zones(kept, now=now):
                _add(rows_by_key, kept)
    return list(rows_by_key.values())


def _is_sent_to_zones(kept: TableRow, *, now: float) -> bool:
    is_shared = isinstance(kept.row, DemandRow | SuspicionRow | LeavingRow)
    return is_shared and now - kept.observed_at <= ROW_EXPIRY


def _add(
    rows_by_key: dict[tuple[str, ...], tuple[SoftRow, float]], kept: TableRow
) -> None:
    observed = kept.row
    if isinstance(observed, DemandRow) and observed.client_account == HEARTBEAT:
        observed = replace(observed, n_in_flight=1)
    key = row_key(observed)
    known = rows_by_key.get(key)
    if known is None:
        rows_by_key[key] = (observed, kept.observed_at)
        return
    row, observed_at = known
    rows_by_key[key] = (_sum(row, observed), min(observed_at, kept.observed_at))


def _sum(first: SoftRow, second: SoftRow) -> SoftRow:
    if isinstance(first, DemandRow):
        return DemandRow(
            client_account=first.client_account,
            rate=first.rate + second.rate,
            n_in_flight=first.n_in_flight + second.n_in_flight,
            n_waiting=first.n_waiting + second.n_waiting,
        )
    if isinstance(first, SuspicionRow):
        return sum_suspicions(first, second)
    return first
