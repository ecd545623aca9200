"""Decide what to read of one stream, and what a page or a failure means.

A reader follows its stream from the offset after the last one applied.  It starts
at the stream's beginning, unless that has expired or lies far back: then it
searches backwards, page by page, for the newest whole snapshot, restores from it
and follows from there.  If what remains holds none, the fold is told that records
are missing; it must not pretend to know.

* A read that fails, or an answer that cannot be read, proves nothing.  It is
  repeated after a growing pause, so that hundreds of hosts do not keep a service
  down that is coming back.
* A page that leaves out an offset is applied up to the gap and read again from
  there.  A service that lags shows the record the next time; if it never does, the
  stream would stop for good, so after ``N_GAP_READS`` the record counts as lost.
* Offsets that were applied already change nothing.
* A record that cannot be decoded is handed to the fold (protocol/log.py).
* A stream whose end lies before what was read of it is not the stream that was
  read.  Nothing of it is applied, for its offsets, and so its versions and fencing
  numbers, would contradict those in force; an operator has to look.
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

__all__ = ["Applied", "LogReader", "Read", "ReadPage"]

#: Records asked for in one read.
READ_LIMIT = 1000

#: Records behind which a new reader searches for a snapshot first.
LONG_TAIL = 2000

#: Reads at a gap within a page after which the record counts as lost.
N_GAP_READS = 5

#: Longest wait of one read at the stream's end, in seconds.
READ_WAIT = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Read:
    """Ask for records from an offset.

    Attributes
    ----------
    wait : float
        Seconds to wait at the stream's end for a new record.
    """

    offset: int
    limit: int
    wait: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadPage:
    """Hold an answer to a read.

    Attributes
    ----------
    expired : bool
        The offset asked for is no longer kept (HTTP 410); there are no entries.
    first : int
        Lowest offset still kept.
    next : int
        Offset that the next record will get.
    """

    first: int
    next: int
    entries: Sequence[Entry] = ()
    expired: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Applied:
    """Say what became of one entry.

    Attributes
    ----------
    reason : str or None
        Why the fold ignored it.
    repeated : bool
        The record stands at an earlier offset already.
    seen_before : bool
        The entry is read a second time, after a return to an earlier offset.
        Whoever acts on records must not act again.
    certain : bool
        It took effect, and no record is missing that could have kept it from that.
    """

    entry: Entry
    reason: str | None
    repeated: bool
    seen_before: bool
    certain: bool


@dataclass(slots=True, kw_only=True)
class _Search:
    """Hold a backward search: pages [low, high) are read from ``cursor`` on."""

    first: int
    next: int
    low: int
    high: int
    cursor: int
    newest_time: float = float("-inf")
    enough: bool = False
    best: list[SnapshotPart] | None = None


class LogReader:
    """Follow one stream and keep its fold current.

    Parameters
    ----------
    fold : BaseFold
        What the entries are applied to.
    jitter : callable
        Return a number from 0 to 1 that spreads the pauses of many hosts.
    """

    def __init__(self, *, fold: BaseFold, jitter: Callable[[], float]) -> None:
        self.fold = fold
        self.caught_up_at = float("-inf")
        self.problem = ""
        self.n_restored = 0
        self._backoff = Backoff(jitter=jitter)
        self._in_flight = False
        self._n_gap_reads = 0
        self._reported_up_to = 0
        self._search: _Search | None = None
        self._searched = False
        self._collector = SnapshotCollector()

    @property
    def searching(self) -> bool:
        """Tell whether a snapshot is being looked for."""
        return self._search is not None

    def next_read(self, *, now: float) -> Read | None:
        """Return the read that is due, if any; at most one is in flight."""
        if self._in_flight or not self._backoff.is_due(now=now):
            return None
        self._in_flight = True
        search = self._search
        if search is not None:
            return Read(
                offset=search.cursor, limit=search.high - search.cursor, wait=0.0
            )
        # Only a reader that knows it has reached the end may wait there: a read of
        # an empty tail would delay that knowledge by the whole wait.
        lagging = now - self.caught_up_at > 2 * READ_WAIT
        return Read(
            offset=self.fold.next_offset,
            limit=READ_LIMIT,
            wait=0.0 if lagging else READ_WAIT,
        )

    def failed(self, reason: str, *, now: float) -> None:
        """Take note that a read has brought nothing that can be used."""
        self._in_flight = False
        self.problem = reason
        self._backoff.failed(now=now)

    def read(self, page: ReadPage, *, asked_at: float, now: float) -> list[Applied]:
        """Take an answer.

        Parameters
        ----------
        asked_at : float
            Monotonic time from before the question.
        """
        self._in_flight = False
        if page.next < self.fold.next_offset:
            self.failed(
                f"the stream ends at offset {page.next}, but offset "
                f"{self.fold.next_offset - 1} was read of it before; it was "
                "replaced or cut: mend the log, then restart this host",
                now=now,
            )
            return []
        if self._search is not None:
            self._read_search(page, now=now)
            return []
        if page.expired or page.first > self.fold.next_offset:
            self._begin_search(page)
            return []
        long = page.next - page.first > LONG_TAIL
        if self.fold.next_offset == 0 and long and not self._searched:
            self._begin_search(page)
            return []
        return self._follow(page, asked_at=asked_at, now=now)

    # Following

    def _follow(self, page: ReadPage, *, asked_at: float, now: float) -> list[Applied]:
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
            self.caught_up_at = max(self.caught_up_at, asked_at)
        if not applied and end < page.next:
            self._stuck(page, now=now)
        else:
            self._n_gap_reads = 0
            self._worked()
        return applied

    def _apply(self, entry: Entry) -> Applied:
        first = self.fold.offset_of(entry.id)
        reason = self.fold.apply(entry)
        seen_before = entry.offset < self._reported_up_to
        self._reported_up_to = max(self._reported_up_to, entry.offset + 1)
        return Applied(
            entry=entry,
            reason=reason,
            repeated=first is not None and first != entry.offset,
            seen_before=seen_before,
            certain=reason is None and self.fold.complete,
        )

    def _restored_by(self, entry: Entry) -> bool:
        parts = self._collector.take(entry)
        if parts is None or not self.fold.improved_by(parts[0]):
            return False
        self._restore(parts)
        return True

    def _stuck(self, page: ReadPage, *, now: float) -> None:
        self._n_gap_reads += 1
        missing = self.fold.next_offset
        self.failed(f"the page lacks the record at offset {missing}", now=now)
        if self._n_gap_reads < N_GAP_READS:
            return
        self._n_gap_reads = 0
        after = [entry.offset for entry in page.entries if entry.offset > missing]
        self.fold.lost(
            before=min(after, default=missing + 1),
            reason=f"the log does not return the record at offset {missing}",
        )

    def _worked(self) -> None:
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
            # What was being read has expired meanwhile.
            self._begin_search(page)
            return
        entries = [e for e in page.entries if search.cursor <= e.offset < search.high]
        if not entries:
            self.failed(f"no records at offset {search.cursor}", now=now)
            self._n_gap_reads += 1
            if self._n_gap_reads < N_GAP_READS:
                return
        self._n_gap_reads = 0
        for entry in entries:
            self._take_searched(search, entry)
        search.cursor = max((e.offset + 1 for e in entries), default=search.high)
        self._worked()
        if search.best is not None and search.best[0].incomplete_since is None:
            self._end_search(search)
        elif search.cursor >= search.high:
            times = [entry.time for entry in entries]
            self._search_further(search, oldest=min(times, default=search.newest_time))

    def _take_searched(self, search: _Search, entry: Entry) -> None:
        search.newest_time = max(search.newest_time, entry.time)
        parts = self._collector.take(entry)
        if parts is None or parts[0].as_of < search.first:
            return
        best = search.best
        better = (
            best is None
            or best[0].incomplete_since is not None
            or parts[0].as_of > best[0].as_of
        )
        if better and (best is None or parts[0].incomplete_since is None):
            search.best = parts

    def _search_further(self, search: _Search, *, oldest: float) -> None:
        search.enough = self.fold.enough_history(
            oldest=oldest, newest=search.newest_time
        )
        if search.low <= search.first or search.enough:
            self._end_search(search)
            return
        search.high = search.low
        search.low = max(search.first, search.low - READ_LIMIT)
        search.cursor = search.low

    def _end_search(self, search: _Search) -> None:
        self._search = None
        self._searched = True
        best = search.best
        if best is not None and (best[0].incomplete_since is None or not search.enough):
            self._restore(best)
        elif search.low > 0:
            self.fold.lost(
                before=search.low,
                reason=f"records before offset {search.low} have expired and no "
                "snapshot of them was found",
            )
