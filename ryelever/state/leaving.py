"""Remember which backend servers have stated in answers that they are leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .incarnations import may_be_same_start

if TYPE_CHECKING:
    from collections.abc import Container

__all__ = ["LEAVING_RETENTION", "LeavingServerRow", "LeavingServers"]

#: Seconds for which the statement of a server without an entry is remembered.  A server
#: serves for some seconds after it has announced that it leaves, and its entry may
#: expire and return meanwhile.
LEAVING_RETENTION = 300.0

#: Seconds for which a statement is announced to other hosts: several heartbeats to each
#: zone.
ANNOUNCED_FOR = 5.0


class LeavingServerRow(msgspec.Struct, kw_only=True, frozen=True):
    """Statement of a backend server that it is leaving, as hosts exchange it.

    Attributes
    ----------
    started_at : int or None
        Start time of the incarnation that is leaving; None if unknown.
    """

    server_id: str
    started_at: int | None = None


class _Statement(msgspec.Struct, kw_only=True, frozen=True):
    """A server's statement that it is leaving.

    Attributes
    ----------
    received_at : float
        Monotonic time.
    is_local : bool
        True if this host received the statement in an answer.
    """

    row: LeavingServerRow
    received_at: float
    is_local: bool


class LeavingServers:
    """The servers that have stated that they are leaving, by incarnation.

    A server does not take its leaving back: only another incarnation is of use again.
    """

    __slots__ = ("_statements_by_id",)

    def __init__(self) -> None:
        self._statements_by_id: dict[str, _Statement] = {}

    def add(self, row: LeavingServerRow, *, is_local: bool, now: float) -> None:
        """Record a statement.

        Parameters
        ----------
        is_local : bool
            False if another host received the statement.
        """
        self._statements_by_id[row.server_id] = _Statement(
            row=row, received_at=now, is_local=is_local
        )

    def includes(self, server_id: str, started_at: int | None) -> bool:
        """Return whether an incarnation may be the one that is leaving."""
        statement = self._statements_by_id.get(server_id)
        return statement is not None and may_be_same_start(
            statement.row.started_at, started_at
        )

    def announced(self, *, now: float) -> tuple[LeavingServerRow, ...]:
        """Return the recent statements that this host received in answers."""
        return tuple(
            statement.row
            for _, statement in sorted(self._statements_by_id.items())
            if statement.is_local and now - statement.received_at < ANNOUNCED_FOR
        )

    def drop_old(self, *, listed: Container[str], now: float) -> None:
        """Drop old statements of servers that are not listed."""
        old = [
            server_id
            for server_id, statement in self._statements_by_id.items()
            if server_id not in listed
            and now - statement.received_at > LEAVING_RETENTION
        ]
        for server_id in old:
            del self._statements_by_id[server_id]
