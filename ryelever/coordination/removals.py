"""Delay the removal of backend servers after the store was unreachable.

Records of backend servers expire while the servers can't reach the store to renew
them, and return soon after the store does.  Removing the servers immediately would
empty the fleet.
"""

from __future__ import annotations

__all__ = ["Removals"]

#: Seconds after the store's return within which a live server's record is back.
RECORDS_RETURN_TIME = 2.1

#: Minimum seconds without an answered read that count as an outage of the store
#: instead of a single failure.
MIN_OUTAGE = 1.0

#: Renewal intervals during which a server stays in the list after an undecodable record
#: with its id.  A live server writes its own record again within one renewal interval.
UNREADABLE_RENEWALS = 2.0


class Removals:
    """Decide when the removal of a backend server takes effect.

    Parameters
    ----------
    renewal_interval : float
        Seconds between two writes of a live server's record.
    """

    def __init__(self, *, renewal_interval: float) -> None:
        self._unreadable_delay = UNREADABLE_RENEWALS * renewal_interval
        self._due_at_by_id: dict[str, float] = {}
        self._answered_at = float("-inf")
        self._outage_until = float("-inf")

    def record_reads(self, *, answered_at: float, failed_at: float) -> None:
        """Record when a read was last answered and when a read last failed.

        An answer after an outage delays removals until the records are back.
        """
        if answered_at <= self._answered_at:
            return
        failed_since = failed_at > self._answered_at > float("-inf")
        if failed_since and answered_at - self._answered_at > MIN_OUTAGE:
            self._outage_until = answered_at + RECORDS_RETURN_TIME
        self._answered_at = answered_at

    def record_return(self, returned_at: float) -> None:
        """Record when the store returned without records that it had before."""
        self._outage_until = max(self._outage_until, returned_at + RECORDS_RETURN_TIME)

    def add(self, server_id: str, *, now: float) -> None:
        """Schedule the removal of a backend server whose record is gone."""
        self._due_at_by_id[server_id] = now

    def add_unreadable(self, server_id: str, *, now: float) -> None:
        """Schedule the removal of a backend server whose record can't be decoded."""
        self._due_at_by_id.setdefault(server_id, now + self._unreadable_delay)

    def cancel(self, server_id: str) -> bool:
        """Cancel the removal of a server; return whether one was scheduled."""
        return self._due_at_by_id.pop(server_id, None) is not None

    def due(self, *, now: float) -> list[str]:
        """Return the backend servers that are to be removed now."""
        if now < self._outage_until:
            return []
        due = [item for item, due_at in self._due_at_by_id.items() if due_at <= now]
        for server_id in due:
            del self._due_at_by_id[server_id]
        return due
