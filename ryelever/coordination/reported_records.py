"""Let what backend servers say themselves go before the list for a while."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..state.keyed_record import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..state.directory import BackendServer

__all__ = ["REPORTED_FOR", "ReportedRecords"]

#: Seconds after the list is read again for which what servers said themselves goes on
#: before it.  What is read first was written before the outage, and is older; servers
#: write their entries anew within about two seconds of the store's return.
REPORTED_FOR = 3.0


class ReportedRecords:
    """Hold what servers said while the list was silent, and what it has shown since.

    A record that was written before an outage and is read after it would show a head
    that serves as being in no group, and its members would be given to another.
    """

    __slots__ = (
        "_listed_by_server",
        "_read_again_at",
        "_reported_by_server",
        "_seen_by_server",
    )

    def __init__(self) -> None:
        self._reported_by_server: dict[str, bytes] = {}
        # Each server as the list had it before it said anything itself.
        self._seen_by_server: dict[str, BackendServer] = {}
        self._listed_by_server: dict[str, bytes] = {}
        self._read_again_at: float | None = None

    def add(
        self, records: list[KeyedRecord], *, seen_by_id: Mapping[str, BackendServer]
    ) -> None:
        """Take records that go before the list until it was read again for a while.

        Parameters
        ----------
        seen_by_id : Mapping of str to BackendServer
            The servers as they were known until now.
        """
        self._read_again_at = None
        for record in records:
            seen = seen_by_id.get(record.key)
            if seen is not None:
                self._seen_by_server.setdefault(record.key, seen)
            self._reported_by_server[record.key] = record.value

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing goes before the list."""
        return not self._reported_by_server

    def holds(self, server_id: str) -> bool:
        """Tell whether a server's own word goes before its entry now."""
        return server_id in self._reported_by_server

    def is_superseded(self, listed: BackendServer, said: BackendServer) -> bool:
        """Tell whether an entry is of a later start than what its server has said.

        It is, where its start is neither that one's nor the one which the list showed
        before: a start can't be told to be later by its time, since clocks step.
        """
        seen = self._seen_by_server.get(listed.id)
        return not listed.is_same_incarnation(said) and not (
            seen is not None and listed.is_same_incarnation(seen)
        )

    def forget(self, server_id: str) -> None:
        """Let the list go before what a server has said."""
        self._reported_by_server.pop(server_id, None)
        self._seen_by_server.pop(server_id, None)
        self._listed_by_server.pop(server_id, None)

    def before(self, record: KeyedRecord, *, now: float) -> bytes | None:
        """Return what goes before a record of the list, which is held back then.

        That an entry is gone counts at once.
        """
        said = self._reported_by_server.get(record.key)
        if said is None or not record.value:
            return None
        if self._read_again_at is None:
            self._read_again_at = now
        self._listed_by_server[record.key] = record.value
        return said

    def due(self, *, now: float) -> list[KeyedRecord]:
        """Return what was held back, once all servers have written anew."""
        since = self._read_again_at
        if since is None or now - since < REPORTED_FOR:
            return []
        held_back, self._listed_by_server = self._listed_by_server, {}
        self._reported_by_server.clear()
        self._seen_by_server.clear()
        self._read_again_at = None
        return [
            KeyedRecord(key=server_id, value=data, offset=0)
            for server_id, data in held_back.items()
        ]
