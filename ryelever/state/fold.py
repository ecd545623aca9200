"""Fold the records of one stream into a state that is the same on every host.

Every process applies the same entries with the same pure functions, so that two folds
at the same offset have the same state.  An entry that breaks a rule is ignored by all
processes for the same reason, which is kept for the operator.  The only clock is the
log's time: the newest append time read, equal for all readers of the same entries.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, ClassVar

from .records import Entry, RememberedId, SnapshotPart, Unreadable

__all__ = ["BaseFold", "Gap", "Ignored"]

#: Seconds, by the log's time, for which a record id is remembered in order to drop
#: repeated appends of the record.  A writer repeats an append for up to ten seconds;
#: only outcomes are repeated for longer, and ``ClaimsFold`` has its own value.
REMEMBER_FOR = 3600.0

#: Number of the newest ignored records that are kept for the operator.
MAX_IGNORED = 100

#: Record ids in one part of a snapshot.
IDS_PER_PART = 5_000


@dataclass(slots=True, kw_only=True, frozen=True)
class Ignored:
    """An entry that was ignored, with the reason."""

    offset: int
    id: str
    kind: str
    reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Gap:
    """A gap: records below offset ``before`` were never read."""

    before: int
    reason: str


class BaseFold:
    """Base class of folds: drops repeated appends, keeps reasons of ignored entries.

    A subclass implements ``_apply_record``, which returns None if the record took
    effect and the reason otherwise, and the pair ``_contents`` and ``_restore`` for
    snapshots.

    Attributes
    ----------
    log_time : float
        Newest append time read so far, by the log service's clock.
    gap : Gap or None
        Set while records are missing from the state, which is then incomplete.  Each
        subclass documents which parts of its state stay valid during a gap.
    snapshot_time : float
        Append time of the newest snapshot part read, or minus infinity.
    snapshot_offset : int
        Offset of the newest snapshot part read; -1 if none was read.
    first_time : float
        Append time of the first entry read, or infinity.
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
        """Return whether no record that affects the state is missing."""
        return self.gap is None

    def apply(self, entry: Entry) -> str | None:
        """Apply one entry; return the reason if the entry is ignored, else None.

        Entries below ``next_offset`` were applied before and change nothing, so that
        repeating a read whose answer was lost is harmless.
        """
        if entry.offset < self.next_offset:
            return None
        self.next_offset = entry.offset + 1
        # The log's clock may be set back.  A fold whose time went back with it would
        # accept records that it has already refused as too old.
        self.log_time = max(self.log_time, entry.time)
        self.first_time = min(self.first_time, entry.time)
        self._forget_expired_ids()
        self._drop_expired()
        reason = self._check_repeated(entry) or self._apply_new(entry)
        if reason is not None:
            self._record_ignored(entry, reason)
        return reason

    def record_loss(self, *, before: int, reason: str) -> None:
        """Register that the records below ``before`` can no longer be read."""
        self.gap = Gap(before=before, reason=reason)
        self.next_offset = max(self.next_offset, before)

    def offset_of(self, record_id: str) -> int | None:
        """Return the offset at which the record with this id was read, or None."""
        remembered = self._remembered_by_id.get(record_id)
        return None if remembered is None else remembered.offset

    def ignored_reason(self, record_id: str) -> str | None:
        """Return why the record with this id was ignored.

        Returns None if the record was not ignored or the reason is no longer kept.
        """
        for ignored in self.ignored:
            if ignored.id == record_id:
                return ignored.reason
        return None

    # Snapshots

    def to_snapshot(self, *, snapshot: str) -> list[SnapshotPart]:
        """Return the state as records, each with a part of bounded size.

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
        """Replace the state by that of a complete snapshot.

        Reading continues at the snapshot's ``as_of`` offset.

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

    def is_improved_by(self, head: SnapshotPart) -> bool:
        """Return whether a snapshot contains the records that this fold lacks."""
        return (
            self.gap is not None
            and head.incomplete_since is None
            and head.as_of >= self.gap.before
        )

    def has_enough_history(self, *, oldest: float, newest: float) -> bool:
        """Return whether the records from time ``oldest`` on give a complete state.

        Parameters
        ----------
        oldest, newest : float
            Append times of the oldest and the newest available record.
        """
        return False

    @property
    def may_write_snapshot(self) -> bool:
        """Return whether other hosts may restore their state from this fold's."""
        return self.gap is None and self.next_offset > 0

    def _incomplete_since(self) -> float | None:
        return None

    # Steps of ``apply``

    def _apply_new(self, entry: Entry) -> str | None:
        record = entry.record
        if isinstance(record, Unreadable):
            self.n_unreadable += 1
            self._handle_unreadable(entry, record)
            return f"cannot be read: {record.reason}"
        if isinstance(record, self.snapshot_class):
            self.snapshot_time = max(self.snapshot_time, entry.time)
            self.snapshot_offset = entry.offset
            return None
        return self._apply_record(entry)

    def _check_repeated(self, entry: Entry) -> str | None:
        first = self._remembered_by_id.get(entry.id)
        # With equal offsets, the entry is the same append, read again after reading
        # restarted at an earlier offset.
        if first is not None and first.offset < entry.offset:
            return f"repeated append of the record at offset {first.offset}"
        self._remembered_by_id[entry.id] = RememberedId(
            id=entry.id, offset=entry.offset, time=entry.time
        )
        return None

    def _forget_expired_ids(self) -> None:
        while self._remembered_by_id:
            oldest = next(iter(self._remembered_by_id.values()))
            if self.log_time - oldest.time <= self.remember_for:
                return
            del self._remembered_by_id[oldest.id]

    def _record_ignored(self, entry: Entry, reason: str) -> None:
        kind = type(entry.record).__name__
        if isinstance(entry.record, Unreadable):
            kind = entry.record.kind
        self.ignored.append(
            Ignored(offset=entry.offset, id=entry.id, kind=kind, reason=reason)
        )
        del self.ignored[:-MAX_IGNORED]

    def _drop_expired(self) -> None:
        """Drop state, or end a gap, that has expired by the log's time."""

    def _handle_unreadable(self, entry: Entry, record: Unreadable) -> None:
        """Mark the state that an undecodable record makes uncertain."""

    def _apply_record(self, entry: Entry) -> str | None:
        raise NotImplementedError

    def _contents(self) -> list[dict[str, Any]]:
        """Return the fields that the subclass adds to each part of a snapshot."""
        raise NotImplementedError

    def _restore(self, parts: Sequence[SnapshotPart]) -> None:
        """Replace the subclass's state by that of a complete snapshot."""
        raise NotImplementedError
