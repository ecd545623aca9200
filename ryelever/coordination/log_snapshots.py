"""Schedule snapshots of a stream's state and assemble the parts of snapshots."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..state.records import SnapshotPart

if TYPE_CHECKING:
    from ..state.fold import BaseFold
    from ..state.records import Entry

__all__ = ["SnapshotCollector", "SnapshotSchedule"]

#: Maximum number of snapshots of which only some parts have been read.
MAX_UNFINISHED_SNAPSHOTS = 16

#: Minimum seconds between two snapshots of a stream written by the same host.
MIN_WRITE_INTERVAL = 60.0


class SnapshotCollector:
    """Assemble snapshots from their parts, which may be read in any order."""

    def __init__(self) -> None:
        self._parts_by_snapshot: dict[str, dict[int, SnapshotPart]] = {}

    def add(self, entry: Entry) -> list[SnapshotPart] | None:
        """Add an entry and return the parts of the snapshot that it completes.

        Return None if the entry is no part of a snapshot or other parts are missing.
        """
        part = entry.record
        if not isinstance(part, SnapshotPart):
            return None
        parts = self._parts_by_snapshot.setdefault(part.snapshot, {})
        parts[part.part] = part
        if len(parts) == part.n_parts:
            del self._parts_by_snapshot[part.snapshot]
            return [parts[index] for index in sorted(parts)]
        if len(self._parts_by_snapshot) > MAX_UNFINISHED_SNAPSHOTS:
            # The writer of the oldest snapshot died before it wrote all parts.
            del self._parts_by_snapshot[next(iter(self._parts_by_snapshot))]
        return None


@dataclass(slots=True, kw_only=True)
class SnapshotSchedule:
    """Decide when this host writes a snapshot of a stream.

    A record that expires before a snapshot contains it is lost to every host that
    starts later.  The first host writes a snapshot after a quarter of the retention
    time and the last host after three eighths, so the age of a snapshot never reaches
    half of the retention time while any host runs and the log accepts appends.  The
    hosts are spread over an eighth of the retention time: a host that reads the
    snapshot of another host starts to count again.  Two snapshots written at the same
    time do no harm, since both contain the same original versions.

    Attributes
    ----------
    retention : float
        Seconds during which the log keeps a record.
    spread : float
        Position of this host among all hosts, from 0 to 1.
    max_tail : int or None
        Records after which a snapshot is due regardless of its age, so that a new
        host has little to read; None if the fold limits the records to be read.
    """

    retention: float
    spread: float
    max_tail: int | None
    written_at: float = float("-inf")

    def due(self, fold: BaseFold, *, wall: float, now: float) -> bool:
        """Return whether a snapshot is due; if so, record that it is being written.

        Parameters
        ----------
        wall : float
            Wall-clock time in seconds since the epoch, compared with times of the
            log; an error of minutes does not matter.
        now : float
            Monotonic time.
        """
        if not fold.may_write_snapshot or now - self.written_at < MIN_WRITE_INTERVAL:
            return False
        if not (self._is_old(fold, wall=wall) or self._has_long_tail(fold)):
            return False
        self.written_at = now
        return True

    def _is_old(self, fold: BaseFold, *, wall: float) -> bool:
        since = fold.snapshot_time if fold.snapshot_offset >= 0 else fold.first_time
        age = max(wall, fold.log_time) - since
        return age >= self.retention * (1 / 4 + self.spread / 8)

    def _has_long_tail(self, fold: BaseFold) -> bool:
        if self.max_tail is None:
            return False
        tail = fold.next_offset - 1 - fold.snapshot_offset
        return tail >= self.max_tail * (1 + self.spread)
