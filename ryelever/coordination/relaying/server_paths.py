"""Track whether this host still reaches backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ServerPaths"]

#: Number of servers that must be unreachable, while no other server answers, before the
#: host's own network paths are suspected.
MIN_UNREACHED = 2


class ServerPaths:
    """Record which servers answer this host, and which can't be reached.

    Parameters
    ----------
    log : callable
        Write one log line, given the name of the event and its fields.
    """

    __slots__ = ("_is_cut_off", "_log", "_unreached_since", "_unreached")

    def __init__(self, *, log: Callable[..., None]) -> None:
        self._log = log
        self._unreached: set[str] = set()
        self._unreached_since = 0.0
        self._is_cut_off = False

    def answered(self, server_id: str, *, now: float) -> None:
        """Record an answer of a server."""
        if not self._unreached:
            return
        self._unreached.clear()
        if self._is_cut_off:
            self._is_cut_off = False
            seconds = round(now - self._unreached_since, 2)
            self._log("servers_reached", server=server_id, after=seconds)

    def unreached(self, server_id: str, *, now: float) -> None:
        """Record that a request could not be sent to a server."""
        if not self._unreached:
            self._unreached_since = now
        self._unreached.add(server_id)
        if not self._is_cut_off and len(self._unreached) >= MIN_UNREACHED:
            self._is_cut_off = True
            self._log("servers_unreached", n=len(self._unreached), server=server_id)
