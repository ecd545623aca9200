"""Simulate one stream of the log in memory, with records encoded as in the service."""

from __future__ import annotations

from ryelever.coordination.log_reader import AppliedEntry, LogReader, Read, ReadPage
from ryelever.protocol.log import RawEntry, decode_entry, encode_record
from ryelever.state.fold import BaseFold
from ryelever.state.records import Entry, Record

#: Append time of the first records, in seconds since the epoch.
FIRST_APPEND_TIME = 1_800_000_000.0


class MemoryLog:
    """Append, expire and read records of one stream."""

    def __init__(self) -> None:
        self.first = 0
        self.time = FIRST_APPEND_TIME
        self._raw: list[RawEntry] = []

    @property
    def next(self) -> int:
        """Return the offset that the next record will get."""
        return len(self._raw)

    def append(self, record: Record, *, record_id: str) -> Entry:
        """Append one record and return its entry."""
        item = encode_record(record, record_id=record_id)
        return self.append_raw(item.kind, bytes(item.body), record_id=record_id)

    def append_raw(self, kind: str, body: bytes, *, record_id: str) -> Entry:
        """Append a record of any kind, given as bytes, and return its entry."""
        raw = RawEntry(
            offset=self.next, time=self.time, id=record_id, kind=kind, body=body
        )
        self._raw.append(raw)
        return decode_entry(raw, peer="log")

    def expire(self, *, before: int) -> None:
        """Remove the records below an offset."""
        self.first = max(self.first, min(before, self.next))

    def page(self, read: Read) -> ReadPage:
        """Return the answer to a read."""
        if read.offset < self.first:
            return ReadPage(first=self.first, next=self.next, expired=True)
        raw = self._raw[read.offset : read.offset + read.limit]
        entries = [decode_entry(item, peer="log") for item in raw]
        return ReadPage(first=self.first, next=self.next, entries=entries)


def new_reader(fold: BaseFold) -> LogReader:
    """Return a reader whose pauses have no random jitter."""
    return LogReader(fold=fold, jitter=lambda: 0.5)


def read_to_end(
    reader: LogReader, log: MemoryLog, *, max_reads: int = 200
) -> list[AppliedEntry]:
    """Read to the end of the log and return the applied entries."""
    applied: list[AppliedEntry] = []
    now = max(0.0, reader.caught_up_at)
    for _ in range(max_reads):
        now += 10.0
        read = reader.next_read(now=now)
        assert read is not None
        applied += reader.process_page(log.page(read), requested_at=now, now=now)
        if reader.caught_up_at == now:
            return applied
    raise AssertionError(f"not at the end after {max_reads} reads: {reader.problem}")


def state_of(fold: BaseFold) -> object:
    """Return the complete state of a fold in a form that can be compared."""
    return fold.to_snapshot(snapshot="state")
