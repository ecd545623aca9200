"""Keep tables of observed rows and choose what a peer lacks of them.

Every table has one owner, which numbers each change of it.  A peer tells up to which
version it has each table and gets what is newer, in the order of the versions, from
whoever has it.  A lost datagram thus needs no repair of its own: the peer's next word
still shows the gap, and repeated or reordered datagrams change nothing.

Unchanged rows are not told again.  Each sign of life of the owner stands for all the
rows with lower versions, which the order of the versions has brought before.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field

from ...state.observations import LoadRow, ReportRow
from .links import MAX_DRIFT
from .messages import (
    AliveRow,
    GoneRow,
    Member,
    SoftRow,
    TableUpdate,
    Update,
)

__all__ = [
    "ALIVE_SLOT",
    "ROW_EXPIRY",
    "TABLE_EXPIRY",
    "KeptRow",
    "Table",
    "Tables",
    "origin_of",
    "row_key",
]

#: Slot of the row that says that the owner lives.
ALIVE_SLOT = 0

#: Age in seconds at which a row no longer counts.
ROW_EXPIRY = 10.0

#: Age in seconds of the owner's last sign of life at which its table is dropped.
TABLE_EXPIRY = 10.0

#: Seconds between two deliveries of a row that has not changed, but for reports.
REDELIVERY_INTERVAL = 1.0

#: Estimated bytes of parts of a message, packed, on the large side.
TABLE_SIZE = 12
MEMBER_SIZE = 64
HAVE_SIZE = 9
ALIVE_SIZE = 13
ROW_SIZE = 44
REPORT_SIZE = 80


@dataclass(slots=True, kw_only=True, eq=False)
class KeptRow:
    """Hold one row of a table.

    Attributes
    ----------
    observed_at : float
        Own monotonic time at which it was observed, at the latest.
    told_at : float
        When the owner last changed it, or when it was last delivered.
    """

    slot: int
    row: SoftRow
    version: int
    observed_at: float
    told_at: float


@dataclass(slots=True, kw_only=True, eq=False)
class Table:
    """Hold a table as far as it is known here.

    Attributes
    ----------
    told_until : float
        Own monotonic time up to which the owner has told all that it had seen: that
        of its last sign of life but one, as it may give one before it has read what
        lay in its sockets.
    """

    origin: int
    member: Member
    created_at: float = float("-inf")
    told_until: float = float("-inf")
    version: int = 0
    rows_by_slot: dict[int, KeptRow] = field(default_factory=dict)

    def alive_at(self) -> float:
        """Return when the owner last gave a sign of life, at the latest."""
        alive = self.rows_by_slot.get(ALIVE_SLOT)
        return alive.observed_at if alive is not None else float("-inf")

    def heard_at(self) -> float:
        """Return when the owner was last known to live, or first heard of.

        The sign of life may come a few datagrams later than the first rows.
        """
        return max(self.alive_at(), self.created_at)

    def updates_after(
        self, version: int, *, budget: int, now: float
    ) -> tuple[list[Update], int]:
        """Return what is newer than a version, oldest first, and its size."""
        newer = [row for row in self.rows_by_slot.values() if row.version > version]
        newer.sort(key=lambda row: row.version)
        updates: list[Update] = []
        size = 0
        for kept in newer:
            size += _size(kept.row)
            if size > budget:
                return updates, size - _size(kept.row)
            updates.append(
                Update(
                    slot=kept.slot,
                    version=kept.version,
                    age=max(0.0, now - kept.observed_at),
                    row=kept.row,
                )
            )
        return updates, size


class Tables:
    """Keep the tables of all others.

    Parameters
    ----------
    accepts : callable
        Tell whether the table of a member may come from a peer of a zone.
    redelivery_interval : float
        Seconds between two deliveries of a row that has not changed.
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

    def take(
        self, update: TableUpdate, *, zone: str, composed_at: float, now: float
    ) -> list[KeptRow]:
        """Take what a peer brings of one table; return the rows to deliver."""
        table = self._table(update, zone=zone, composed_at=composed_at)
        if table is None or not self._accepts(table.member, zone):
            return []
        taken: dict[int, KeptRow] = {}
        for row in update.updates:
            # Repeated, reordered, or brought by another peer before.
            if row.version <= table.version:
                continue
            table.version = row.version
            observed_at = composed_at - row.age * (1 + MAX_DRIFT)
            if isinstance(row.row, AliveRow):
                table.told_until = table.alive_at()
                taken |= self._vouch(table, row.row, observed_at=observed_at, now=now)
            kept = KeptRow(
                slot=row.slot,
                row=row.row,
                version=row.version,
                observed_at=observed_at,
                told_at=now,
            )
            table.rows_by_slot[row.slot] = taken[row.slot] = kept
        return list(taken.values()) if self._is_latest_boot(table) else []

    def _vouch(
        self, table: Table, alive: AliveRow, *, observed_at: float, now: float
    ) -> dict[int, KeptRow]:
        reports_at = observed_at - alive.report_age * (1 + MAX_DRIFT)
        renewed = {}
        for slot, kept in table.rows_by_slot.items():
            if isinstance(kept.row, GoneRow | AliveRow):
                continue
            report = isinstance(kept.row, ReportRow)
            kept.observed_at = max(
                kept.observed_at, reports_at if report else observed_at
            )
            if report or now - kept.told_at >= self._redelivery_interval:
                kept.told_at = now
                renewed[slot] = kept
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
        # After a restart the table of the earlier boot would count the same requests
        # twice until it expires.  Of two boots the one that lived later stays.
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
        """Drop tables whose owner has given no sign of life for too long."""
        for table in list(self.tables_by_origin.values()):
            if now - table.heard_at() > TABLE_EXPIRY:
                self._drop(table)
                continue
            # A slot is never used again, so what its owner took back can go once
            # nobody who still keeps this table can have missed it.
            for slot, kept in list(table.rows_by_slot.items()):
                gone = isinstance(kept.row, GoneRow)
                if gone and now - kept.observed_at > 3 * TABLE_EXPIRY:
                    del table.rows_by_slot[slot]


def origin_of(host: str, boot: int, *, digest: bool) -> int:
    """Return the number of a table, unlike for each boot of its owner."""
    text = f"{host}/{boot}/{int(digest)}".encode()
    return int.from_bytes(hashlib.sha256(text).digest()[:4], "big")


def row_key(row: SoftRow) -> tuple[str, ...]:
    """Return what a row is about."""
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
    if isinstance(row, AliveRow | GoneRow):
        return ALIVE_SIZE
    return ROW_SIZE + (len(row.target) if isinstance(row, LoadRow) else 0)
