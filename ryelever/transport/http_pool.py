"""Keep idle outgoing connections for the next request to the same address."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .http_connection import Connection

__all__ = ["IdleConnections"]

#: Idle connections kept for one address.
MAX_IDLE = 32


class IdleConnections:
    """Hold the connections that carry no request.

    Parameters
    ----------
    close : callable
        Close a connection; it calls ``remove`` in turn.
    """

    def __init__(self, *, close: Callable[[Connection], None]) -> None:
        self._close = close
        self._connections_by_address: dict[str, list[Connection]] = {}

    def take(self, address: str) -> Connection | None:
        """Return a connection that can carry a request, or None."""
        now = time.monotonic()
        idle = self._connections_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            # A process that was paused finds connections that idled for longer
            # than anything between the two ends remembers them.
            idle_for = now - connection.progress_at
            if idle_for <= connection.idle_timeout and connection.is_quiet():
                return connection
            self._close(connection)
        return None

    def keep(self, connection: Connection) -> None:
        """Keep a connection whose request was answered, if another may follow."""
        idle = self._connections_by_address.setdefault(connection.address, [])
        if not connection.is_clean() or len(idle) >= MAX_IDLE:
            self._close(connection)
            return
        connection.http.start_next_cycle()
        connection.reused = True
        connection.progress_at = time.monotonic()
        idle.append(connection)

    def remove(self, connection: Connection) -> None:
        """Let go of a connection that is being closed."""
        idle = self._connections_by_address.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)

    def purge(self, address: str) -> None:
        """Close every idle connection to an address."""
        for connection in list(self._connections_by_address.get(address, ())):
            self._close(connection)
