"""Decide what to read from a stream of the log, and apply the pages that were read.

A reader follows its stream from the offset after the last applied record.  It starts
at the beginning of the stream.  If the beginning has expired or is far back, the
reader searches backwards, page by page, for the newest complete snapshot, restores
the fold from it and follows the stream from there.  If the remaining records contain
no snapshot, the fold is notified that records are missing, so that it doesn't claim
complete knowledge.

* A failed read or an undecodable answer proves nothing.  The read is repeated after a
  growing pause, so that hundreds of hosts don't keep a restarting service down.
* A page that lacks an offset is applied up to the gap and read again from there.  A
  lagging service returns the record with a later read.  If it never does, the stream
  would stop for good, so the record counts as lost after ``MAX_GAP_READS`` reads.
* Offsets that were already applied change nothing.
* A record that cannot be decoded is passed to the fold (protocol/log.py).
* A stream that ends before an offset that was already read is another stream.  None
  of its records is applied, since its offsets, and therefore its versions and fencing
  tokens, would contradict those in force; an operator has to intervene.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .backoff import Backoff
from .log_snapshots import SnapshotCollector

if TYPE_CHECKING:
    from ..state.fold import BaseFold
    from ..state.records import Entry, SnapshotPart

__all__ = [
    "LONG_READ_WAIT",
    "READ_WAIT",
    "AppliedEntry",
    "LogReader",
    "Read",
    "ReadPage",
]

#: Maximum number of records in a read.
READ_LIMIT = 1000

#: Unread records beyond which a new reader searches for a snapshot first.
MAX_UNREAD_WITHOUT_SNAPSHOT = 2000

#: Reads at a gap in the stream after which the missing record counts as lost.
MAX_GAP_READS = 5

#: Maximum seconds that a read at the end of a stream waits for a record.
READ_WAIT = 1.0

#: The same for streams whose records may be read some seconds late.  A read returns
#: with the first record anyway; a longer wait only avoids empty answers, of which
#: hundreds of hosts would request thousands a second.  A silent connection times out
#: after the wait and ``progress_timeout``, which must leave time within the 8 s for a
#: change of the configuration.
LONG_READ_WAIT = 4.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Read:
    """A read of records from an offset.

    Attributes
    ----------
    wait : float
        Seconds to wait for a new record at the end of the stream.
    """

    offset: int
    limit: int
    wait: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadPage:
    """An answer to a read.

    Attributes
    ----------
    expired : bool
        True if the requested offset is no longer kept (HTTP 410); there are no
        entries.
    first : int
        Lowest offset that is still kept.
    next : int
        Offset that the next appended record will get.
    """

    first: int
    next: int
    entries: Sequence[Entry] = ()
    expired: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class AppliedEntry:
    """The result of applying an entry to the fold.

    Attributes
    ----------
    reason : str or None
        Reason for which the fold ignored the entry; None if the entry took effect.
    repeated : bool
        True if the same record is also at an earlier offset.
    seen_before : bool
        True if the entry was read before, and again after a return to an earlier
        offset.  Code that acts on records must not act on this one again.
    is_certain : bool
        True if the entry took effect and no record is missing that could have
        prevented that.
    """

    entry: Entry
    reason: str | None
    repeated: bool
    seen_before: bool
    is_certain: bool


@dataclass(slots=True, kw_only=True)
class _Search:
    """A backward search for a snapshot.

    The offsets [low, high) are being read; ``cursor`` is the next offset to read.
    """

    first: int
    next: int
    low: int
    high: int
    cursor: int
    newest_time: float = float("-inf")
    has_enough_history: bool = False
    best: list[SnapshotPart] | None = None


class LogReader:
    """Follow a stream and keep its fold current.

    Parameters
    ----------
    fold : BaseFold
        State to which the entries are applied.
    jitter : callable
        Return a number from 0 to 1; different values on different hosts spread
        their retries.
    wait : float
        Maximum seconds that a read at the end of the stream waits for a record.
    """

    def __init__(
        self,
        *,
        fold: BaseFold,
        jitter: Callable[[], float],
        wait: float = READ_WAIT,
    ) -> None:
        self.fold = fold
        self._wait = wait
        self.caught_up_at = float("-inf")
        self.problem = ""
        self.n_restored = 0
        self._backoff = Backoff(jitter=jitter)
        self._in_flight = False
        self._n_gap_reads = 0
        self._reported_up_to = 0
        self._search: _Search | None = None
        self._has_searched = False
        self._collector = SnapshotCollector()

    @property
    def is_searching(self) -> bool:
        """Return whether the reader searches for a snapshot."""
        return self._search is not None

    def next_read(self, *, now: float) -> Read | None:
        """Return the read that is due, or None; at most one read is in flight."""
        if self._in_flight or not self._backoff.is_due(now=now):
            return None
        self._in_flight = True
        search = self._search
        if search is not None:
            return Read(
                offset=search.cursor, limit=search.high - search.cursor, wait=0.0
            )
        # Only a reader that is known to be at the end of the stream may wait there.
        # Otherwise a read of an empty tail would report the end only after the wait.
        is_lagging = now - self.caught_up_at > 2 * self._wait
        return Read(
            offset=self.fold.next_offset,
            limit=READ_LIMIT,
            wait=0.0 if is_lagging else self._wait,
        )

    def failed(self, reason: str, *, now: float) -> None:
        """Record a failed read and pause before the next one."""
        self._in_flight = False
        self.problem = reason
        self._backoff.failed(now=now)

    def process_page(
        self, page: ReadPage, *, requested_at: float, now: float
    ) -> list[AppliedEntry]:
        """Process the answer to a read and return the applied entries.

        Parameters
        ----------
        requested_at : float
            Monotonic time before the read was sent.
        """
        self._in_flight = False
        if page.next < self.fold.next_offset:
            self.failed(
                f"the stream ends at offset {page.next}, but offset "
                f"{self.fold.next_offset - 1} was read of it before; it was "
                "replaced or cut: repair the log, then restart this host",
                now=now,
            )
            return []
        if self._search is not None:
            self._read_search(page, now=now)
            return []
        if page.expired or page.first > self.fold.next_offset:
            self._begin_search(page)
            return []
        is_long = page.next - page.first > MAX_UNREAD_WITHOUT_SNAPSHOT
        if self.fold.next_offset == 0 and is_long and not self._has_searched:
            self._begin_search(page)
            return []
        return self._follow(page, requested_at=requested_at, now=now)

    # Following the stream

    def _follow(
        self, page: ReadPage, *, requested_at: float, now: float
    ) -> list[AppliedEntry]:
        applied = []
        for entry in sorted(page.entries, key=lambda entry: entry.offset):
            if entry.offset > self.fold.next_offset:
                break
            if entry.offset == self.fold.next_offset:
                applied.append(self._apply(entry))
                if self._restored_by(entry):
                    break
        end = self.fold.next_offset
        if end >= page.next:
            self.caught_up_at = max(self.caught_up_at, requested_at)
        if not applied and end < page.next:
            self._record_gap_read(page, now=now)
        else:
            self._n_gap_reads = 0
            self._record_success()
        return applied

    def _apply(self, entry: Entry) -> AppliedEntry:
        first = self.fold.offset_of(entry.id)
        reason = self.fold.apply(entry)
        seen_before = entry.offset < self._reported_up_to
        self._reported_up_to = max(self._reported_up_to, entry.offset + 1)
        return AppliedEntry(
            entry=entry,
            reason=reason,
            repeated=first is not None and first != entry.offset,
            seen_before=seen_before,
            is_certain=reason is None and self.fold.complete,
        )

    def _restored_by(self, entry: Entry) -> bool:
        parts = self._collector.add(entry)
        if parts is None or not self.fold.is_improved_by(parts[0]):
            return False
        self._restore(parts)
        return True

    def _record_gap_read(self, page: ReadPage, *, now: float) -> None:
        self._n_gap_reads += 1
        missing = self.fold.next_offset
        self.failed(f"the page lacks the record at offset {missing}", now=now)
        if self._n_gap_reads < MAX_GAP_READS:
            return
        self._n_gap_reads = 0
        after = [entry.offset for entry in page.entries if entry.offset > missing]
        self.fold.record_loss(
            before=min(after, default=missing + 1),
            reason=f"the log does not return the record at offset {missing}",
        )

    def _record_success(self) -> None:
        self._backoff.succeeded()
        self.problem = "" if self.fold.gap is None else self.fold.gap.reason

    def _restore(self, parts: list[SnapshotPart]) -> None:
        self.fold.from_snapshot(parts)
        self.n_restored += 1

    # Searching for a snapshot

    def _begin_search(self, page: ReadPage) -> None:
        low = max(page.first, page.next - READ_LIMIT)
        self._search = _Search(
            first=page.first, next=page.next, low=low, high=page.next, cursor=low
        )
        self._collector = SnapshotCollector()
        if page.first == page.next:
            self._end_search(self._search)

    def _read_search(self, page: ReadPage, *, now: float) -> None:
        search = self._search
        assert search is not None
        if page.expired or page.first > search.low:
            # Offsets of the search have expired meanwhile.
            self._begin_search(page)
            return
        entries = [e for e in page.entries if search.cursor <= e.offset < search.high]
        if not entries:
            self.failed(f"no records at offset {search.cursor}", now=now)
            self._n_gap_reads += 1
            if self._n_gap_reads < MAX_GAP_READS:
                return
        self._n_gap_reads = 0
        for entry in entries:
            self._collect_snapshot_part(search, entry)
        search.cursor = max((e.offset + 1 for e in entries), default=search.high)
        self._record_success()
        if search.best is not None and search.best[0].incomplete_since is None:
            self._end_search(search)
        elif search.cursor >= search.high:
            times = [entry.time for entry in entries]
            self._extend_search(search, oldest=min(times, default=search.newest_time))

    def _collect_snapshot_part(self, search: _Search, entry: Entry) -> None:
        search.newest_time = max(search.newest_time, entry.time)
        parts = self._collector.add(entry)
        if parts is None or parts[0].as_of < search.first:
            return
        best = search.best
        is_better = (
            best is None
            or best[0].incomplete_since is not None
            or parts[0].as_of > best[0].as_of
        )
        if is_better and (best is None or parts[0].incomplete_since is None):
            search.best = parts

    def _extend_search(self, search: _Search, *, oldest: float) -> None:
        search.has_enough_history = self.fold.has_enough_history(
            oldest=oldest, newest=search.newest_time
        )
        if search.low <= search.first or search.has_enough_history:
            self._end_search(search)
            return
        search.high = search.low
        search.low = max(search.first, search.low - READ_LIMIT)
        search.cursor = search.low

    def _end_search(self, search: _Search) -> None:
        self._search = None
        self._has_searched = True
        best = search.best
        if best is not None and (
            best[0].incomplete_since is None or not search.has_enough_history
        ):
            self._restore(best)
        elif search.low > 0:
            self.fold.record_loss(
                before=search.low,
                reason=f"records before offset {search.low} have expired and no "
                "snapshot of them was found",
            )
