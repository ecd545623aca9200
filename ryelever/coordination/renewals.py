"""Wait until backend servers have renewed records that a host has read at its start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["MAX_RENEWAL_WAIT", "Renewals"]

#: Seconds within which all servers that reach the store have renewed their records.
MAX_RENEWAL_WAIT = 3.0


class Renewals:
    """Track which of the records that a host knows first may be outdated.

    A store that is restored from an older copy shows servers as they were then.  A host
    that has just started can't compare the copy with anything, and a planner would
    assign members of serving groups to others.  A renewed record is a server's own and
    newer than the copy.
    """

    __slots__ = ("_awaited", "_since")

    def __init__(self) -> None:
        self._awaited: set[str] = set()
        self._since: float | None = None

    def begin(self, server_ids: Iterable[str], *, now: float) -> None:
        """Await the renewal of the records known first; later calls do nothing."""
        if self._since is None:
            self._since = now
            self._awaited = set(server_ids)

    def renewed(self, server_ids: Iterable[str]) -> None:
        """Record that servers have renewed their records."""
        self._awaited.difference_update(server_ids)

    def are_awaited(self, *, now: float) -> bool:
        """Return whether records may still be outdated."""
        if self._since is None or now - self._since >= MAX_RENEWAL_WAIT:
            return False
        return bool(self._awaited)
