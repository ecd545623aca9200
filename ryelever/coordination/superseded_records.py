"""Know which records of a topic its listing has overtaken."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..state.keyed_record import KeyedRecord

__all__ = ["SupersededRecords"]


class SupersededRecords:
    """Hold up to where the records of each key are older than its listed one.

    Pages of a listing are no snapshot: what was appended after the first page was made
    may show in a later one, and is read once more from the first page's end.  Taken
    again, an older record would show a backend server as it was before, and a planner
    would give a member of a group that serves to another group.
    """

    __slots__ = ("_listed_offset_by_key",)

    def __init__(self) -> None:
        self._listed_offset_by_key: dict[str, int] = {}

    def take_listing(self, records: Iterable[KeyedRecord], *, end: int) -> None:
        """Take a complete listing.

        Parameters
        ----------
        end : int
            Offset from which the topic is read on.
        """
        self._listed_offset_by_key = {
            record.key: record.offset for record in records if record.offset >= end
        }

    def supersedes(self, record: KeyedRecord) -> bool:
        """Tell whether the listing has shown this record, or a later one of its key."""
        listed_offset = self._listed_offset_by_key.get(record.key)
        if listed_offset is None:
            return False
        if record.offset >= listed_offset:
            # Whatever follows is newer.
            del self._listed_offset_by_key[record.key]
        return record.offset <= listed_offset
