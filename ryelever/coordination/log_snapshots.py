"""Decide when a stream's state is written again, and put snapshots together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..state.records import SnapshotPart

if TYPE_CHECKING:
    from ..state.fold import BaseFold
    from ..state.records import Entry

__all__ = ["SnapshotCollector", "SnapshotSchedule"]

#: Snapshots of which some parts were read and others are awaited.
N_UNFINISHED = 16

#: Seconds until a host looks again after it has written a snapshot itself.
WRITE_AGAIN = 60.0


class SnapshotCollector:
    """Put the parts of snapshots together, in whatever order they are read."""

    def __init__(self) -> None:
        self._parts_by_snapshot: dict[str, dict[int, SnapshotPart]] = {}

    def take(self, entry: Entry) -> list[SnapshotPart] | None:
        """Take one entry; return a snapshot's parts when the last one is here."""
        part = entry.record
        if not isinstance(part, SnapshotPart):
            return None
        parts = self._parts_by_snapshot.setdefault(part.snapshot, {})
        parts[part.part] = part
        if len(parts) == part.n_parts:
            del self._parts_by_snapshot[part.snapshot]
            return [parts[index] for index in sorted(parts)]
        if len(self._parts_by_snapshot) > N_UNFINISHED:
            # Its writer died between two parts; the rest never comes.
            del self._parts_by_snapshot[next(iter(self._parts_by_snapshot))]
        return None


@dataclass(slots=True, kw_only=True)
class SnapshotSchedule:
    """Decide when this host writes a snapshot of one stream.

    A record that expires before it stands in a snapshot is lost to every host that
    starts later.  The first host writes after a quarter of the retention, the last
    one after three eighths, so half of it is never reached while any host runs and
    the log takes appends.  The hosts are spread over an eighth of it: whoever reads
    another's snapshot in the meantime starts to count anew.  Two that write at
    once do no harm, since both carry the same original versions.

    Attributes
    ----------
    retention : float
        Seconds for which the log keeps a record.
    spread : float
        0 to 1, this host's place among all.
    max_tail : int or None
        Records after which a snapshot is due at any time, so that a new host has
        little to read; None where the fold itself bounds what must be read.
    """

    retention: float
    spread: float
    max_tail: int | None
    written_at: float = float("-inf")

    def due(self, fold: BaseFold, *, wall: float, now: float) -> bool:
        """Tell whether a snapshot is due, and take note that it is written.

        Parameters
        ----------
        wall : float
            Wall-clock time in seconds since the epoch, to be compared with the
            log's times; an error of minutes does not matter.
        now : float
            Monotonic time.
        """
        if not fold.may_write_snapshot or now - self.written_at < WRITE_AGAIN:
            return False
        if not (self._old(fold, wall=wall) or self._long(fold)):
            return False
        self.written_at = now
        return True

    def _old(self, fold: BaseFold, *, wall: float) -> bool:
        since = fold.snapshot_time if fold.snapshot_offset >= 0 else fold.first_time
        age = max(wall, fold.log_time) - since
        return age >= self.retention * (1 / 4 + self.spread / 8)

    def _long(self, fold: BaseFold) -> bool:
        if self.max_tail is None:
            return False
        tail = fold.next_offset - 1 - fold.snapshot_offset
        return tail >= self.max_tail * (1 + self.spread)
