"""Fold the records of one stream: equal offsets mean equal state.

Every process folds the same entries with the same pure functions.  An entry that
breaks a rule is ignored by everyone for the same reason, and the reason is kept
for the operator.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

from .records import Entry

__all__ = ["BaseFold", "Fold", "Ignored"]

#: How many record ids are remembered in order to drop a second append of one.
#: A writer repeats an append within its deadline; see docs/DESIGN.md.
N_REMEMBERED_IDS = 20_000

#: How many ignored records are kept for the operator.
N_KEPT_IGNORED = 100


@dataclass(slots=True, kw_only=True, frozen=True)
class Ignored:
    """Say why one entry was ignored."""

    offset: int
    id: str
    kind: str
    reason: str


class Fold(Protocol):
    """Fold entries of one stream in the order of their offsets."""

    next_offset: int

    def apply(self, entry: Entry) -> str | None:
        """Apply one entry; return the reason when it is ignored."""


class BaseFold:
    """Drop repeated appends, keep the reasons of ignored entries.

    A subclass implements ``_apply_record``, which returns ``None`` when the record
    took effect and a reason otherwise.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.ignored: list[Ignored] = []
        self._offset_by_id: OrderedDict[str, int] = OrderedDict()

    def apply(self, entry: Entry) -> str | None:
        """Apply one entry.

        Entries below ``next_offset`` were applied before and change nothing, so a
        read that is repeated after a lost answer is harmless.
        """
        if entry.offset < self.next_offset:
            return None
        self.next_offset = entry.offset + 1
        reason = self._reason_repeated(entry) or self._apply_record(entry)
        if reason is not None:
            self._keep_ignored(entry, reason)
        return reason

    def offset_of(self, record_id: str) -> int | None:
        """Return where the record with this id was read back, if it was."""
        return self._offset_by_id.get(record_id)

    def _reason_repeated(self, entry: Entry) -> str | None:
        first = self._offset_by_id.get(entry.id)
        if first is not None:
            return f"repeated append of the record at offset {first}"
        self._offset_by_id[entry.id] = entry.offset
        if len(self._offset_by_id) > N_REMEMBERED_IDS:
            self._offset_by_id.popitem(last=False)
        return None

    def _keep_ignored(self, entry: Entry, reason: str) -> None:
        self.ignored.append(
            Ignored(
                offset=entry.offset,
                id=entry.id,
                kind=type(entry.record).__name__,
                reason=reason,
            )
        )
        del self.ignored[:-N_KEPT_IGNORED]

    def _apply_record(self, entry: Entry) -> str | None:
        raise NotImplementedError
