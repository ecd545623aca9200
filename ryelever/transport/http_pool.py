"""Pool idle outgoing connections for further requests to the same address."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .http_connection import Connection

__all__ = ["IdleConnections"]

#: Maximum idle connections to one address.
MAX_IDLE = 32


class IdleConnections:
    """The pool of outgoing connections that carry no request.

    Parameters
    ----------
    close : callable
        Close a connection; the callable must call ``remove`` for that connection.
    """

    def __init__(self, *, close: Callable[[Connection], None]) -> None:
        self._close = close
        self._connections_by_address: dict[str, list[Connection]] = {}

    def take(self, address: str) -> Connection | None:
        """Remove and return a usable connection to an address, or return None.

        Idle connections that can't be used any more are closed.
        """
        now = time.monotonic()
        idle = self._connections_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            # After a pause of this process a connection may have been idle for so
            # long that network devices between the two ends have dropped its state.
            idle_for = now - connection.progress_at
            if (
                idle_for <= connection.idle_timeout
                and connection.has_no_pending_input()
            ):
                return connection
            self._close(connection)
        return None

    def put(self, connection: Connection) -> None:
        """Add a connection whose request was answered, or close it.

        The connection is closed if it can't carry another request, or if the pool
        already has ``MAX_IDLE`` connections to that address.
        """
        idle = self._connections_by_address.setdefault(connection.address, [])
        if not connection.is_reusable() or len(idle) >= MAX_IDLE:
            self._close(connection)
            return
        connection.http.start_next_cycle()
        connection.reused = True
        connection.progress_at = time.monotonic()
        idle.append(connection)

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is being closed, if the pool has it."""
        idle = self._connections_by_address.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)

    def purge(self, address: str) -> None:
        """Close every idle connection to an address."""
        for connection in list(self._connections_by_address.get(address, ())):
            self._close(connection)
