"""Give records that backend servers report themselves precedence over the list.

The list consists of the records of all backend servers in the store.  During an outage
of the store, entry hosts request the records from the servers themselves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..state.keyed_record import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..state.directory import BackendServer

__all__ = ["REPORTED_PRECEDENCE", "ReportedRecords"]

#: Seconds after the list is read again during which reported records keep precedence.
#: Records that are read first were written before the outage and are older; servers
#: write their records again within about two seconds of the store's return.
REPORTED_PRECEDENCE = 3.0


class ReportedRecords:
    """Store reported records and the listed records that are held back meanwhile.

    If a record from before an outage were applied after it, the head of a serving
    group might appear to be in no group, and its members would be assigned to another
    group.
    """

    __slots__ = (
        "_held_back_by_server",
        "_list_resumed_at",
        "_reported_by_server",
        "_listed_before_by_server",
    )

    def __init__(self) -> None:
        self._reported_by_server: dict[str, bytes] = {}
        # Each server as it was listed before its first reported record.
        self._listed_before_by_server: dict[str, BackendServer] = {}
        self._held_back_by_server: dict[str, bytes] = {}
        self._list_resumed_at: float | None = None

    def add(
        self, records: list[KeyedRecord], *, known_by_id: Mapping[str, BackendServer]
    ) -> None:
        """Add reported records.

        They keep precedence until ``due`` returns the listed records that are held
        back.

        Parameters
        ----------
        known_by_id : Mapping of str to BackendServer
            Servers as they were known before these records.
        """
        self._list_resumed_at = None
        for record in records:
            seen = known_by_id.get(record.key)
            if seen is not None:
                self._listed_before_by_server.setdefault(record.key, seen)
            self._reported_by_server[record.key] = record.value

    @property
    def is_empty(self) -> bool:
        """Return whether there are no reported records."""
        return not self._reported_by_server

    def overrides(self, server_id: str) -> bool:
        """Return whether a server's reported record has precedence over the list."""
        return server_id in self._reported_by_server

    def is_superseded(self, listed: BackendServer, reported: BackendServer) -> bool:
        """Return whether a listed record is from a later start than the reported one.

        The start is later if it is neither the start of the reported record nor the
        start that was listed before.  Times of starts are not compared, since clocks
        step.
        """
        seen = self._listed_before_by_server.get(listed.id)
        return not listed.is_same_incarnation(reported) and not (
            seen is not None and listed.is_same_incarnation(seen)
        )

    def forget(self, server_id: str) -> None:
        """Drop a server's reported record, so that its listed records take effect."""
        self._reported_by_server.pop(server_id, None)
        self._listed_before_by_server.pop(server_id, None)
        self._held_back_by_server.pop(server_id, None)

    def before(self, record: KeyedRecord, *, now: float) -> bytes | None:
        """Return the reported value with precedence over a listed record, or None.

        A listed record without precedence is held back until ``due`` returns it.  The
        removal of a record is never held back.
        """
        reported = self._reported_by_server.get(record.key)
        if reported is None or not record.value:
            return None
        if self._list_resumed_at is None:
            self._list_resumed_at = now
        self._held_back_by_server[record.key] = record.value
        return reported

    def due(self, *, now: float) -> list[KeyedRecord]:
        """Return the records that were held back, once precedence has ended.

        Precedence ends ``REPORTED_PRECEDENCE`` after the list is read again, when all
        live servers have written their records again.
        """
        since = self._list_resumed_at
        if since is None or now - since < REPORTED_PRECEDENCE:
            return []
        held_back, self._held_back_by_server = self._held_back_by_server, {}
        self._reported_by_server.clear()
        self._listed_before_by_server.clear()
        self._list_resumed_at = None
        return [
            KeyedRecord(key=server_id, value=data, offset=0)
            for server_id, data in held_back.items()
        ]
