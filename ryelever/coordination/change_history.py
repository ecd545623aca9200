"""Keep the latest changes of a topic for hosts that missed some of them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ..state.keyed_record import KeyedRecord

__all__ = ["ChangeHistory"]

#: Changed records that are kept: some seconds of changes while the groups of a large
#: fleet form.
MAX_RECORDS = 6000


class _Part(msgspec.Struct, kw_only=True, frozen=True):
    start: int
    end: int
    records: list[KeyedRecord]


class ChangeHistory:
    """Store the newest consecutive parts of a topic.

    A part contains only records with changed values, which are a fraction of the
    records that the store would return for the same range of offsets.
    """

    __slots__ = ("_era", "_n_records", "_parts")

    def __init__(self) -> None:
        self._parts: deque[_Part] = deque()
        self._n_records = 0
        self._era = 0

    def add(
        self, records: list[KeyedRecord], *, start: int, end: int, era: int
    ) -> None:
        """Append a part, or start a new history if the part is not consecutive.

        Parameters
        ----------
        start, end : int
            Offset of the part's first record and offset after its last record.
        era : int
            Era of the store to which the offsets belong.
        """
        if era != self._era or (self._parts and start != self._parts[-1].end):
            self._parts.clear()
            self._n_records = 0
            self._era = era
        if end <= start:
            return
        if self._parts and not records and not self._parts[-1].records:
            start = self._parts.pop().start
        self._parts.append(_Part(start=start, end=end, records=records))
        self._n_records += len(records)
        while self._n_records > MAX_RECORDS:
            self._n_records -= len(self._parts.popleft().records)

    @property
    def end(self) -> int:
        """Return the offset after the last part, or -1 if the history is empty."""
        return self._parts[-1].end if self._parts else -1

    def since(self, offset: int, *, era: int) -> list[KeyedRecord] | None:
        """Return the newest record of each key that changed at or after an offset.

        Return None if the history doesn't cover the offset.
        """
        if era != self._era or not self._parts:
            return None
        if not self._parts[0].start <= offset <= self._parts[-1].end:
            return None
        newest_by_key: dict[str, KeyedRecord] = {}
        for part in self._parts:
            if part.end > offset:
                for record in part.records:
                    if record.offset >= offset:
                        # Insert the key again to sort keys by their newest records.
                        newest_by_key.pop(record.key, None)
                        newest_by_key[record.key] = record
        return list(newest_by_key.values())
