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
from ..limits import LIVENESS_ACCOUNT
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
    reports stay inside the zone.  Each host sends a row of the account
    ``LIVENESS_ACCOUNT`` even without any demand; in the sum of these rows,
    ``n_in_flight`` is the number of hosts that sent one.
    """
    rows_by_key: dict[tuple[str, ...], tuple[SoftRow, float]] = {}
    for table in tables:
        for table_row in table.rows_by_slot.values():
            if _is_sent_to_zones(table_row, now=now):
                _add(rows_by_key, table_row)
    return list(rows_by_key.values())


def _is_sent_to_zones(table_row: TableRow, *, now: float) -> bool:
    is_shared = isinstance(table_row.row, DemandRow | SuspicionRow | LeavingRow)
    return is_shared and now - table_row.observed_at <= ROW_EXPIRY


def _add(
    rows_by_key: dict[tuple[str, ...], tuple[SoftRow, float]], table_row: TableRow
) -> None:
    added_row = table_row.row
    if (
        isinstance(added_row, DemandRow)
        and added_row.client_account == LIVENESS_ACCOUNT
    ):
        added_row = replace(added_row, n_in_flight=1)
    key = row_key(added_row)
    known = rows_by_key.get(key)
    if known is None:
        rows_by_key[key] = (added_row, table_row.observed_at)
        return
    row, observed_at = known
    rows_by_key[key] = (_sum(row, added_row), min(observed_at, table_row.observed_at))


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
