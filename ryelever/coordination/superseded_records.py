"""Track which records of a topic are superseded by its listing."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..state.keyed_record import KeyedRecord

__all__ = ["SupersededRecords"]


class SupersededRecords:
    """Store, for each key, the offset up to which the listing supersedes its records.

    The pages of a listing are no snapshot: a record that was appended after the first
    page may appear in a later page, and is read again from the end offset of the first
    page.  If older records of the key were applied then, a backend server would appear
    in a former state, and a planner would assign a member of a serving group to another
    group.
    """

    __slots__ = ("_listed_offset_by_key",)

    def __init__(self) -> None:
        self._listed_offset_by_key: dict[str, int] = {}

    def record_listing(self, records: Iterable[KeyedRecord], *, end: int) -> None:
        """Record a complete listing, which replaces the former one.

        Parameters
        ----------
        end : int
            Offset from which the topic is read after the listing.
        """
        self._listed_offset_by_key = {
            record.key: record.offset for record in records if record.offset >= end
        }

    def supersedes(self, record: KeyedRecord) -> bool:
        """Return whether the listing contained the record or a later one of its key."""
        listed_offset = self._listed_offset_by_key.get(record.key)
        if listed_offset is None:
            return False
        if record.offset >= listed_offset:
            # All following records of the key are newer.
            del self._listed_offset_by_key[record.key]
        return record.offset <= listed_offset
