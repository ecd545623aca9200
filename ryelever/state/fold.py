"""Fold the records of one stream: equal offsets mean equal state.

Every process folds the same entries with the same pure functions.  An entry that
breaks a rule is ignored by everyone for the same reason, and the reason is kept
for the operator.  The only clock here is the log's own: the newest time of append
that was read, which is the same for every reader of the same entries.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, ClassVar

from .records import Entry, RememberedId, SnapshotPart, Unreadable

__all__ = ["BaseFold", "Gap", "Ignored"]

#: Seconds of the log's time for which a record id is remembered, in order to drop
#: a second append of it.  A writer repeats a decision for ten seconds.
REMEMBER_FOR = 3600.0

#: How many ignored records are kept for the operator.
N_KEPT_IGNORED = 100

#: Ids in one part of a snapshot.
IDS_PER_PART = 5_000


@dataclass(slots=True, kw_only=True, frozen=True)
class Ignored:
    """Say why one entry was ignored."""

    offset: int
    id: str
    kind: str
    reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Gap:
    """Say that records below an offset were never read, and why."""

    before: int
    reason: str


class BaseFold:
    """Drop repeated appends, keep the reasons of ignored entries.

    A subclass implements ``_apply_record``, which returns ``None`` when the record
    took effect and a reason otherwise, and the pair ``_contents`` and
    ``_restore`` for snapshots.

    Attributes
    ----------
    log_time : float
        Newest time of append read so far, by the log service's clock.
    gap : Gap or None
        Set while records are missing from the state.  The fold then does not
        claim to know: see each subclass for what it still answers.
    snapshot_time : float
        The log's time of the newest snapshot part read, or minus infinity.
    snapshot_offset : int
        Offset of the newest snapshot part read; -1 when there was none.
    first_time : float
        The log's time of the first entry read, or infinity.
    """

    remember_for: ClassVar[float] = REMEMBER_FOR
    snapshot_class: ClassVar[type[SnapshotPart]] = SnapshotPart

    def __init__(self) -> None:
        self.next_offset = 0
        self.log_time = 0.0
        self.gap: Gap | None = None
        self.ignored: list[Ignored] = []
        self.n_unreadable = 0
        self.snapshot_time = float("-inf")
        self.snapshot_offset = -1
        self.first_time = float("inf")
        self._remembered_by_id: OrderedDict[str, RememberedId] = OrderedDict()

    @property
    def complete(self) -> bool:
        """Tell whether nothing that counts is missing."""
        return self.gap is None

    def apply(self, entry: Entry) -> str | None:
        """Apply one entry.

        Entries below ``next_offset`` were applied before and change nothing, so a
        read that is repeated after a lost answer is harmless.
        """
        if entry.offset < self.next_offset:
            return None
        self.next_offset = entry.offset + 1
        # The log's clock may be set back; a fold that followed it would take in
        # again what it has refused as too old.
        self.log_time = max(self.log_time, entry.time)
        self.first_time = min(self.first_time, entry.time)
        self._forget_ids()
        self._time_passed()
        reason = self._reason_repeated(entry) or self._apply_known(entry)
        if reason is not None:
            self._keep_ignored(entry, reason)
        return reason

    def lost(self, *, before: int, reason: str) -> None:
        """Take note that records below ``before`` cannot be read any more."""
        self.gap = Gap(before=before, reason=reason)
        self.next_offset = max(self.next_offset, before)

    def offset_of(self, record_id: str) -> int | None:
        """Return where the record with this id was read back, if it was."""
        remembered = self._remembered_by_id.get(record_id)
        return None if remembered is None else remembered.offset

    def reason_of(self, record_id: str) -> str | None:
        """Return why the record with this id was ignored, while that is kept."""
        for ignored in self.ignored:
            if ignored.id == record_id:
                return ignored.reason
        return None

    # Snapshots

    def to_snapshot(self, *, snapshot: str) -> list[SnapshotPart]:
        """Return the state as records; each part holds a bounded piece.

        Parameters
        ----------
        snapshot : str
            Unique id shared by the parts.
        """
        contents = self._contents()
        ids = list(self._remembered_by_id.values())
        pieces = [
            tuple(ids[start : start + IDS_PER_PART])
            for start in range(0, len(ids), IDS_PER_PART)
        ]
        n_parts = max(1, len(contents), len(pieces))
        return [
            self.snapshot_class(
                snapshot=snapshot,
                as_of=self.next_offset,
                log_time=self.log_time,
                part=index,
                n_parts=n_parts,
                incomplete_since=self._incomplete_since(),
                remembered=pieces[index] if index < len(pieces) else (),
                **(contents[index] if index < len(contents) else {}),
            )
            for index in range(n_parts)
        ]

    def from_snapshot(self, parts: Sequence[SnapshotPart]) -> None:
        """Replace the state by that of a whole snapshot; reading goes on from it.

        Parameters
        ----------
        parts : sequence of SnapshotPart
            All parts of one snapshot, in order.
        """
        head = parts[0]
        self.gap = None
        self.next_offset = head.as_of
        self.log_time = head.log_time
        self._remembered_by_id = OrderedDict(
            (remembered.id, remembered)
            for part in parts
            for remembered in part.remembered
        )
        self._restore(parts)

    def improved_by(self, head: SnapshotPart) -> bool:
        """Tell whether a snapshot knows what this fold lacks."""
        return (
            self.gap is not None
            and head.incomplete_since is None
            and head.as_of >= self.gap.before
        )

    def enough_history(self, *, oldest: float, newest: float) -> bool:
        """Tell whether records from ``oldest`` on suffice to know everything."""
        return False

    @property
    def may_write_snapshot(self) -> bool:
        """Tell whether others may restore from this fold's state."""
        return self.gap is None and self.next_offset > 0

    def _incomplete_since(self) -> float | None:
        return None

    # Steps

    def _apply_known(self, entry: Entry) -> str | None:
        record = entry.record
        if isinstance(record, Unreadable):
            self.n_unreadable += 1
            self._take_unreadable(entry, record)
            return f"cannot be read: {record.reason}"
        if isinstance(record, self.snapshot_class):
            self.snapshot_time = max(self.snapshot_time, entry.time)
            self.snapshot_offset = entry.offset
            return None
        return self._apply_record(entry)

    def _reason_repeated(self, entry: Entry) -> str | None:
        first = self._remembered_by_id.get(entry.id)
        # A read that goes back to an earlier offset meets the record itself again.
        if first is not None and first.offset < entry.offset:
            return f"repeated append of the record at offset {first.offset}"
        self._remembered_by_id[entry.id] = RememberedId(
            id=entry.id, offset=entry.offset, time=entry.time
        )
        return None

    def _forget_ids(self) -> None:
        while self._remembered_by_id:
            oldest = next(iter(self._remembered_by_id.values()))
            if self.log_time - oldest.time <= self.remember_for:
                return
            del self._remembered_by_id[oldest.id]

    def _keep_ignored(self, entry: Entry, reason: str) -> None:
        kind = type(entry.record).__name__
        if isinstance(entry.record, Unreadable):
            kind = entry.record.kind
        self.ignored.append(
            Ignored(offset=entry.offset, id=entry.id, kind=kind, reason=reason)
        )
        del self.ignored[:-N_KEPT_IGNORED]

    def _time_passed(self) -> None:
        """Let go of what the log's time has made void."""

    def _take_unreadable(self, entry: Entry, record: Unreadable) -> None:
        """Decide what a record that cannot be read makes uncertain."""

    def _apply_record(self, entry: Entry) -> str | None:
        raise NotImplementedError

    def _contents(self) -> list[dict[str, Any]]:
        """Return the fields of each part of a snapshot, beside the common ones."""
        raise NotImplementedError

    def _restore(self, parts: Sequence[SnapshotPart]) -> None:
        """Take over the fields of a whole snapshot."""
        raise NotImplementedError
