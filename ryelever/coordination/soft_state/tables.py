"""Keep tables of observed rows and select the updates that a peer lacks.

Every table has one owner, which numbers each change to it.  A peer reports the version
up to which it has each table, and any host that has newer rows sends them in the order
of their versions.  A lost datagram thus needs no retransmission of its own: the peer's
next request still shows the gap, and repeated or reordered datagrams change nothing.

Unchanged rows are not sent again.  Each sign of life of the owner confirms all rows
with lower versions, which the receiver already has, since updates come in the order of
their versions.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field

from ...state.observations import LoadRow, ReportRow
from .links import MAX_DRIFT
from .messages import (
    AliveRow,
    Member,
    SoftRow,
    TableUpdate,
    Update,
    WithdrawnRow,
)

__all__ = [
    "ALIVE_SLOT",
    "ROW_EXPIRY",
    "TABLE_EXPIRY",
    "TableRow",
    "Table",
    "Tables",
    "origin_of",
    "row_key",
]

#: Slot of the row that is the owner's sign of life.
ALIVE_SLOT = 0

#: Age in seconds at which a row is no longer valid.
ROW_EXPIRY = 10.0

#: Seconds after the owner's last sign of life at which its table is dropped.
TABLE_EXPIRY = 10.0

#: Seconds between two deliveries of an unchanged row to the sinks.  Reports are
#: delivered again at each sign of life of their table's owner.
REDELIVERY_INTERVAL = 1.0

#: Estimated bytes of the parts of a packed message, rounded up generously.
TABLE_SIZE = 12
MEMBER_SIZE = 64
HAVE_SIZE = 9
ALIVE_SIZE = 13
ROW_SIZE = 44
REPORT_SIZE = 80


@dataclass(slots=True, kw_only=True, eq=False)
class TableRow:
    """One row of a table.

    Attributes
    ----------
    observed_at : float
        Time on this host's monotonic clock at which the owner observed the row or last
        confirmed it.  In a peer's table the time may be too early, but not too late
        while the rates of the clocks differ by at most ``MAX_DRIFT``.
    last_update_at : float
        Monotonic time at which this host last changed the row (in its own table) or
        last delivered it to the sinks (in a peer's table).
    """

    slot: int
    row: SoftRow
    version: int
    observed_at: float
    last_update_at: float


@dataclass(slots=True, kw_only=True, eq=False)
class Table:
    """The part of a table that this host has.

    Attributes
    ----------
    complete_until : float
        Time on this host's monotonic clock up to which the owner has reported all its
        observations.  This is the time of the owner's second newest sign of life, since
        an owner may send a sign of life before it has read the data in its sockets.
    """

    origin: int
    member: Member
    created_at: float = float("-inf")
    complete_until: float = float("-inf")
    version: int = 0
    rows_by_slot: dict[int, TableRow] = field(default_factory=dict)

    def alive_at(self) -> float:
        """Return ``observed_at`` of the owner's newest sign of life."""
        alive = self.rows_by_slot.get(ALIVE_SLOT)
        return alive.observed_at if alive is not None else float("-inf")

    def last_seen_at(self) -> float:
        """Return the time of the newest sign of life, or of the table's creation.

        The first sign of life may arrive a few datagrams later than the first rows.
        """
        return max(self.alive_at(), self.created_at)

    def updates_after(
        self, version: int, *, budget: int, now: float
    ) -> tuple[list[Update], int]:
        """Return the updates newer than a version, oldest first, and their size.

        Parameters
        ----------
        budget : int
            Maximum estimated bytes of the updates.
        """
        newer = [row for row in self.rows_by_slot.values() if row.version > version]
        newer.sort(key=lambda row: row.version)
        updates: list[Update] = []
        size = 0
        for table_row in newer:
            size += _size(table_row.row)
            if size > budget:
                return updates, size - _size(table_row.row)
            updates.append(
                Update(
                    slot=table_row.slot,
                    version=table_row.version,
                    age=max(0.0, now - table_row.observed_at),
                    row=table_row.row,
                )
            )
        return updates, size


class Tables:
    """Keep the tables of all other owners.

    Parameters
    ----------
    accepts : callable
        Return whether a member's table may be received from a peer of a zone.
    redelivery_interval : float
        Seconds between two deliveries of an unchanged row to the sinks.
    """

    def __init__(
        self,
        *,
        accepts: Callable[[Member, str], bool],
        redelivery_interval: float = REDELIVERY_INTERVAL,
    ) -> None:
        self._accepts = accepts
        self._redelivery_interval = redelivery_interval
        self.tables_by_origin: dict[int, Table] = {}
        self._origin_by_owner: dict[tuple[str, bool], int] = {}

    def apply(
        self, update: TableUpdate, *, zone: str, composed_at: float, now: float
    ) -> list[TableRow]:
        """Apply a peer's updates of one table; return the rows to deliver."""
        table = self._table(update, zone=zone, composed_at=composed_at)
        if table is None or not self._accepts(table.member, zone):
            return []
        taken: dict[int, TableRow] = {}
        for row in update.updates:
            # Repeated, reordered, or already received from another peer.
            if row.version <= table.version:
                continue
            table.version = row.version
            observed_at = composed_at - row.age * (1 + MAX_DRIFT)
            if isinstance(row.row, AliveRow):
                table.complete_until = table.alive_at()
                taken |= self._refresh_rows(
                    table, row.row, observed_at=observed_at, now=now
                )
            table_row = TableRow(
                slot=row.slot,
                row=row.row,
                version=row.version,
                observed_at=observed_at,
                last_update_at=now,
            )
            table.rows_by_slot[row.slot] = taken[row.slot] = table_row
        return list(taken.values()) if self._is_latest_boot(table) else []

    def _refresh_rows(
        self, table: Table, alive: AliveRow, *, observed_at: float, now: float
    ) -> dict[int, TableRow]:
        reports_at = observed_at - alive.report_age * (1 + MAX_DRIFT)
        renewed = {}
        for slot, table_row in table.rows_by_slot.items():
            if isinstance(table_row.row, WithdrawnRow | AliveRow):
                continue
            report = isinstance(table_row.row, ReportRow)
            table_row.observed_at = max(
                table_row.observed_at, reports_at if report else observed_at
            )
            if report or now - table_row.last_update_at >= self._redelivery_interval:
                table_row.last_update_at = now
                renewed[slot] = table_row
        return renewed

    def _table(
        self, update: TableUpdate, *, zone: str, composed_at: float
    ) -> Table | None:
        table = self.tables_by_origin.get(update.origin)
        if table is not None or update.member is None:
            return table
        if not self._accepts(update.member, zone):
            return None
        table = Table(
            origin=update.origin, member=update.member, created_at=composed_at
        )
        self.tables_by_origin[update.origin] = table
        return table

    def _is_latest_boot(self, table: Table) -> bool:
        # After a restart of the owner, the same requests would count twice until the
        # earlier boot's table expires.  Of two boots, the one with the later sign of
        # life is kept.
        owner = (table.member.host, table.member.digest)
        origin = self._origin_by_owner.setdefault(owner, table.origin)
        other = self.tables_by_origin.get(origin)
        if other is not None and other is not table:
            if table.alive_at() <= other.alive_at():
                if ALIVE_SLOT in table.rows_by_slot:
                    self._drop(table)
                return False
            self._drop(other)
        self._origin_by_owner[owner] = table.origin
        return True

    def _drop(self, table: Table) -> None:
        self.tables_by_origin.pop(table.origin, None)
        owner = (table.member.host, table.member.digest)
        if self._origin_by_owner.get(owner) == table.origin:
            del self._origin_by_owner[owner]

    def expire(self, *, now: float) -> None:
        """Drop the tables whose owners have sent no sign of life for too long."""
        for table in list(self.tables_by_origin.values()):
            if now - table.last_seen_at() > TABLE_EXPIRY:
                self._drop(table)
                continue
            # A slot is never reused, so a withdrawal can be deleted once every host
            # that still has this table must have received the withdrawal.
            for slot, table_row in list(table.rows_by_slot.items()):
                gone = isinstance(table_row.row, WithdrawnRow)
                if gone and now - table_row.observed_at > 3 * TABLE_EXPIRY:
                    del table.rows_by_slot[slot]


def origin_of(host: str, boot: int, *, digest: bool) -> int:
    """Return the number of a table, which differs between boots of its owner."""
    text = f"{host}/{boot}/{int(digest)}".encode()
    return int.from_bytes(hashlib.sha256(text).digest()[:4], "big")


def row_key(row: SoftRow) -> tuple[str, ...]:
    """Return the kind and the subject of a row, which identify it in its table."""
    kind = type(row).__name__
    for name in ("client_account", "fingerprint", "target", "host"):
        value = getattr(row, name, None)
        if value is not None:
            return kind, value
    report = getattr(row, "report", None)
    return (kind, report.host) if report is not None else (kind,)


def _size(row: SoftRow) -> int:
    if isinstance(row, ReportRow):
        return REPORT_SIZE
    if isinstance(row, AliveRow | WithdrawnRow):
        return ALIVE_SIZE
    return ROW_SIZE + (len(row.target) if isinstance(row, LoadRow) else 0)
