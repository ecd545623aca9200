"""Publish this entry host's observations as numbered changes at a bounded rate."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from ...state.observations import DemandRow, LoadRow, ReportRow
from .messages import AliveRow, Member, SoftRow, WithdrawnRow
from .tables import ALIVE_SLOT, TABLE_EXPIRY, Table, TableRow, row_key

if TYPE_CHECKING:
    from ...state.fleet import HostReport

__all__ = ["LocalTable"]

#: Seconds between two signs of life: with many entry hosts, and with few.
ALIVE_INTERVAL = 0.45
FLAT_ALIVE_INTERVAL = 0.2

#: Age in seconds above which this host no longer confirms a report of its own.
MAX_REPORT_AGE = 0.8

#: Published changes of quantities: per second, and in a burst after a quiet time.
QUANTITY_RATE = 1.5
QUANTITY_BURST = 6.0

#: The same limits with few entry hosts, where even small changes are published.
FLAT_QUANTITY_RATE = 8.0
FLAT_QUANTITY_BURST = 20.0

#: Fraction by which a demand must change before the change is published.
DEMAND_CHANGE = 0.1


class LocalTable:
    """The table that this process owns.

    Suspicions, departures and the confirming fields of reports (``_confirmed_part``)
    are published at once.  Quantities, which change all the time, share
    ``QUANTITY_RATE``; those published longest ago go first.

    Parameters
    ----------
    flat : bool
        There are so few entry hosts that every change of a quantity may be published.
    """

    def __init__(self, *, origin: int, member: Member, flat: bool = False) -> None:
        self._rate = FLAT_QUANTITY_RATE if flat else QUANTITY_RATE
        self._alive_interval = FLAT_ALIVE_INTERVAL if flat else ALIVE_INTERVAL
        self._burst = FLAT_QUANTITY_BURST if flat else QUANTITY_BURST
        self._min_change = 0.0 if flat else DEMAND_CHANGE
        self.table = Table(origin=origin, member=member)
        self._slots_by_key: dict[tuple[str, ...], int] = {}
        self._n_slots = ALIVE_SLOT
        self._allowance = self._burst
        self._allowance_at = float("-inf")
        self._report_age = 0.0

    def set_rows(self, rows: Iterable[tuple[SoftRow, float]], *, now: float) -> None:
        """Replace all rows by the given ones, each with its time of observation."""
        keys = set()
        changed: list[tuple[TableRow, SoftRow]] = []
        self._report_age = 0.0
        for row, observed_at in rows:
            if isinstance(row, ReportRow) and now - observed_at > MAX_REPORT_AGE:
                continue
            key = row_key(row)
            keys.add(key)
            table_row = self._row_for_key(key, row, observed_at=observed_at, now=now)
            table_row.observed_at = observed_at
            if isinstance(row, ReportRow):
                self._report_age = max(self._report_age, now - observed_at)
            if _is_urgent(table_row.row, row):
                self._change(table_row, row, now=now)
            elif _has_changed(table_row.row, row, min_change=self._min_change):
                changed.append((table_row, row))
        self._publish_quantities(changed, now=now)
        self._withdraw_missing(keys, now=now)
        self._publish_alive(now=now)

    def _row_for_key(
        self, key: tuple[str, ...], row: SoftRow, *, observed_at: float, now: float
    ) -> TableRow:
        slot = self._slots_by_key.get(key)
        if slot is None:
            self._n_slots += 1
            slot = self._slots_by_key[key] = self._n_slots
            self._add(slot, row, observed_at=observed_at, now=now)
        return self.table.rows_by_slot[slot]

    def _add(self, slot: int, row: SoftRow, *, observed_at: float, now: float) -> None:
        self.table.version += 1
        self.table.rows_by_slot[slot] = TableRow(
            slot=slot,
            row=row,
            version=self.table.version,
            observed_at=observed_at,
            last_update_at=now,
        )

    def _change(self, table_row: TableRow, row: SoftRow, *, now: float) -> None:
        self.table.version += 1
        table_row.row = row
        table_row.version = self.table.version
        table_row.last_update_at = now

    def _publish_quantities(
        self, changed: list[tuple[TableRow, SoftRow]], *, now: float
    ) -> None:
        gained = (now - self._allowance_at) * self._rate
        self._allowance = min(self._burst, self._allowance + gained)
        self._allowance_at = now
        # The loads in reports serve only as a hint, so they use the allowance that
        # other quantities leave.
        changed.sort(
            key=lambda change: (
                isinstance(change[1], ReportRow),
                change[0].last_update_at,
            )
        )
        for table_row, row in changed[: int(self._allowance)]:
            self._change(table_row, row, now=now)
            self._allowance -= 1

    def _withdraw_missing(self, keys: set[tuple[str, ...]], *, now: float) -> None:
        for key in self._slots_by_key.keys() - keys:
            table_row = self.table.rows_by_slot[self._slots_by_key.pop(key)]
            table_row.observed_at = now
            self._change(table_row, WithdrawnRow(), now=now)
        for slot, table_row in list(self.table.rows_by_slot.items()):
            gone = isinstance(table_row.row, WithdrawnRow)
            if gone and now - table_row.observed_at > 3 * TABLE_EXPIRY:
                del self.table.rows_by_slot[slot]

    def _publish_alive(self, *, now: float) -> None:
        # Always last: the sign of life confirms all rows with lower versions.
        table_row = self.table.rows_by_slot.get(ALIVE_SLOT)
        if table_row is None or now - table_row.observed_at >= self._alive_interval:
            row = AliveRow(report_age=self._report_age)
            self._add(ALIVE_SLOT, row, observed_at=now, now=now)


def _is_urgent(known: SoftRow, row: SoftRow) -> bool:
    if isinstance(known, ReportRow) and isinstance(row, ReportRow):
        return _confirmed_part(known.report) != _confirmed_part(row.report)
    return known != row and not isinstance(row, DemandRow | LoadRow)


def _has_changed(known: SoftRow, row: SoftRow, *, min_change: float) -> bool:
    if min_change and isinstance(known, DemandRow) and isinstance(row, DemandRow):
        return any(
            abs(new - old) > max(0.5, min_change * max(old, new))
            or bool(new) != bool(old)
            for old, new in (
                (known.rate, row.rate),
                (known.n_in_flight, row.n_in_flight),
                (known.n_waiting, row.n_waiting),
            )
        )
    return known != row


def _confirmed_part(report: HostReport) -> tuple[object, ...]:
    return (
        report.boot,
        report.state,
        report.group,
        report.fencing,
        report.rank,
        report.model,
        report.version,
        report.adapters,
    )
