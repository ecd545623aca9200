"""Hold back word that backend servers are gone after the store was away.

Entries lapse while the store can't be reached by those who renew them, and are back
soon after it returns.  Taking them for gone at once would empty the fleet.
"""

from __future__ import annotations

__all__ = ["Removals"]

#: Seconds after the store's return within which a living server's entry is back.
ENTRIES_BACK = 2.1

#: Seconds without an answered read that count as an outage rather than a slip.
OUTAGE = 1.0


class Removals:
    """Decide when a removal is believed."""

    def __init__(self) -> None:
        self._removed_at_by_id: dict[str, float] = {}
        self._answered_at = float("-inf")
        self._outage_until = float("-inf")

    def note_reads(self, *, answered_at: float, failed_at: float) -> None:
        """Take note of when reads were answered last, and when one failed last."""
        if answered_at <= self._answered_at:
            return
        failed_since = failed_at > self._answered_at > float("-inf")
        if failed_since and answered_at - self._answered_at > OUTAGE:
            self._outage_until = answered_at + ENTRIES_BACK
        self._answered_at = answered_at

    def add(self, server_id: str, *, now: float) -> None:
        """Take word that a backend server's entry is gone."""
        self._removed_at_by_id.setdefault(server_id, now)

    def discard(self, server_id: str) -> bool:
        """Take word that it is there; tell whether its removal was held back."""
        return self._removed_at_by_id.pop(server_id, None) is not None

    def due(self, *, now: float) -> list[str]:
        """Return the backend servers that are to be taken for gone now."""
        if now < self._outage_until or not self._removed_at_by_id:
            return []
        due = list(self._removed_at_by_id)
        self._removed_at_by_id.clear()
        return due
