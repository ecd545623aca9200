"""Read the streams of the platform's log and append records to them."""

from __future__ import annotations

import random
import time
import uuid
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from circuits import handler

from .coordination.log_reader import (
    LONG_READ_WAIT,
    READ_WAIT,
    LogReader,
    ReadPage,
)
from .coordination.log_snapshots import SnapshotSchedule
from .coordination.log_writer import AppendBudget, LogWriter
from .coordination.requests import OUTCOME_KEPT
from .errors import RunState
from .events import ClaimReadBack, claim_read_back
from .logs import log_event, log_warning
from .protocol.external_systems import HTTP_LOG
from .protocol.log import decode_entry, encode_record, placement_stream
from .request_sender import PendingRequest, RequestSender
from .state.claims import MAX_KEY_LEAD
from .state.records import Claim, Outcome, SnapshotPart

if TYPE_CHECKING:
    from .coordination.actions import AppendRecord
    from .coordination.log_reader import AppliedEntry
    from .coordination.requests import Claims
    from .events import OutboundAnswer, OutboundFailure
    from .protocol.external_systems import LogInterface
    from .settings import Settings
    from .state.fold import BaseFold
    from .state.records import Record

__all__ = ["Stream", "Streams"]

#: Seconds for which an append is retried, unless its action sets another time.
APPEND_DEADLINE = 10.0

#: Cost of one part of a snapshot, counted towards the maximum total cost of an append.
#: A part may be a megabyte long.  Any other record costs 1.
SNAPSHOT_COST = 200

#: Records since the last snapshot after which even a small state is written again.
MAX_TAIL = 5_000

#: HTTP status of a read from an offset whose records have expired.
STATUS_GONE = 410


@dataclass(slots=True, kw_only=True)
class Stream:
    """One stream: its fold, reader, writer and snapshot schedule."""

    name: str
    fold: BaseFold
    reader: LogReader
    writer: LogWriter
    schedule: SnapshotSchedule

    @property
    def caught_up_at(self) -> float:
        """Return the monotonic time of the last request that read to the end."""
        return self.reader.caught_up_at


class Streams(RequestSender):
    """Update this entry host's folds from the log and append its records.

    Parameters
    ----------
    folds_by_stream : dict of str to BaseFold
        Folds of the streams to read; those of the claims' partitions are added.
    """

    channel = "streams"

    def __init__(
        self,
        *,
        settings: Settings,
        folds_by_stream: dict[str, BaseFold],
        claims: Claims,
        log: LogInterface = HTTP_LOG,
    ) -> None:
        super().__init__()
        self._log = log
        self._settings = settings
        self._claims = claims
        self._clock_reported = False
        self._budget = AppendBudget(rate=settings.log_appends_per_second)
        self._random = random.Random(claims.owner)
        self.streams_by_name = {
            name: self._new_stream(name, fold)
            for name, fold in (folds_by_stream | claims.folds_by_stream).items()
        }

    def _new_stream(self, name: str, fold: BaseFold) -> Stream:
        jitter = self._random.random
        place = zlib.crc32(f"{self._claims.owner} {name}".encode()) / 2**32
        return Stream(
            name=name,
            fold=fold,
            reader=LogReader(fold=fold, jitter=jitter, wait=self._max_wait(name)),
            writer=LogWriter(budget=self._budget, jitter=jitter),
            schedule=SnapshotSchedule(
                retention=self._settings.log_retention,
                spread=place,
                # Claims expire with their window, which limits how many records a
                # new reader has to read.
                max_tail=None if name in self._claims.folds_by_stream else MAX_TAIL,
            ),
        )

    def _max_wait(self, name: str) -> float:
        # Claims must be read up to the end of their streams at all times, and the
        # planner acts on the placement stream of the local zone.  Records of the
        # other streams may be read some seconds later.
        local_placement = placement_stream(self._settings.availability_zone)
        is_urgent = name == local_placement or name in self._claims.folds_by_stream
        return READ_WAIT if is_urgent else LONG_READ_WAIT

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        now = time.monotonic()
        wall = time.time()
        self._claims.set_wall_clock(wall, now=now)
        for stream in self.streams_by_name.values():
            self._read(stream, now=now)
            self._expire_appends(stream, now=now)
            if stream.schedule.due(stream.fold, wall=wall, now=now):
                self._write_snapshot(stream, now=now)
            self._append(stream, now=now)

    @handler("append_record")
    def _on_append_record(self, action: AppendRecord) -> None:
        now = time.monotonic()
        stream = self.streams_by_name[self._stream_of(action)]
        self._queue_record(
            stream,
            action.record,
            record_id=action.record_id,
            deadline=now + (action.retry_for or APPEND_DEADLINE),
        )
        self._append(stream, now=now)

    def _stream_of(self, action: AppendRecord) -> str:
        record = action.record
        if isinstance(record, Claim | Outcome):
            return self._claims.stream_of(record.key)
        return action.stream

    def _queue_record(
        self, stream: Stream, record: Record, *, record_id: str, deadline: float
    ) -> None:
        stream.writer.add(
            record,
            record_id=record_id,
            deadline=deadline,
            cost=SNAPSHOT_COST if isinstance(record, SnapshotPart) else 1,
        )

    # Reading

    def _read(self, stream: Stream, *, now: float) -> None:
        read = stream.reader.next_read(now=now)
        if read is None:
            return
        call = self._log.read(
            stream.name,
            offset=read.offset,
            wait_ms=int(read.wait * 1000),
            limit=read.limit,
        )
        self.send_request(
            PendingRequest(kind="read", subject=stream.name),
            address=self._settings.log_address,
            path=call.path,
            step="read_log",
            progress_timeout=read.wait + self._settings.progress_timeout,
        )

    def _process_read_answer(self, stream: Stream, answer: OutboundAnswer) -> None:
        now = time.monotonic()
        raw = self._log.page(answer.body, peer=answer.address)
        if answer.status not in (200, STATUS_GONE) or raw.is_error():
            self._read_failed(stream, f"answered {answer.status}", now=now)
            return
        page = ReadPage(
            first=raw.ok.first,
            next=raw.ok.next,
            entries=[
                decode_entry(item, peer=answer.address) for item in raw.ok.records
            ],
            expired=answer.status == STATUS_GONE,
        )
        self._process_page(stream, page, requested_at=answer.sent_at, now=now)
        self._read(stream, now=now)
        self._append(stream, now=now)

    def _process_page(
        self, stream: Stream, page: ReadPage, *, requested_at: float, now: float
    ) -> None:
        reader = stream.reader
        gap, n_restored, problem = stream.fold.gap, reader.n_restored, reader.problem
        for applied in reader.process_page(page, requested_at=requested_at, now=now):
            self._process_applied(stream, applied, now=now)
        if stream.name in self._claims.folds_by_stream:
            self._claims.record_caught_up(stream.name, at=reader.caught_up_at)
        if reader.n_restored != n_restored:
            log_event(
                "snapshot_restored",
                stream=stream.name,
                next_offset=stream.fold.next_offset,
            )
        if stream.fold.gap is not None and stream.fold.gap != gap:
            log_warning(
                "records_lost", stream=stream.name, reason=stream.fold.gap.reason
            )
        if reader.problem and reader.problem != problem and stream.fold.gap is None:
            log_warning("read_failed", stream=stream.name, message=reader.problem)

    def _process_applied(
        self, stream: Stream, applied: AppliedEntry, *, now: float
    ) -> None:
        entry = applied.entry
        stream.writer.read_back(entry.id)
        if applied.reason is not None:
            log_event(
                "record_ignored",
                stream=stream.name,
                offset=entry.offset,
                kind=type(entry.record).__name__,
                reason=applied.reason,
            )
        record = entry.record
        if not isinstance(record, Claim) or record.owner != self._claims.owner:
            return
        # A claim is reported only once, since its request may be running from then
        # on.  On a second report, the request table would find no request waiting for
        # the claim, conclude that the request ended without running, and free its key.
        if applied.repeated or applied.seen_before:
            return
        self._check_clock(entry.time)
        self._report_claim(stream, applied, record, now=now)

    def _report_claim(
        self, stream: Stream, applied: AppliedEntry, record: Claim, *, now: float
    ) -> None:
        if applied.reason is None and not applied.is_certain:
            # Records are missing, and an earlier claim of the same key may be among
            # them, so the request is not run.  If this claim is the first one after
            # all, the outcome appended here frees the key.
            freed = Outcome(
                key=record.key,
                owner=record.owner,
                run_state=RunState.NOT_RUN.value,
                status=0,
                request_id=record.request_id,
            )
            self._queue_record(
                stream,
                freed,
                record_id=uuid.uuid4().hex,
                deadline=now + OUTCOME_KEPT,
            )
        message = ClaimReadBack(
            claim_id=applied.entry.id, claim=record, is_first=applied.is_certain
        )
        self.fire(claim_read_back(message), "serving")

    def _check_clock(self, log_time: float) -> None:
        difference = time.time() - log_time
        differs = abs(difference) > MAX_KEY_LEAD / 2
        if differs and not self._clock_reported:
            log_warning("clock_differs_from_log", seconds=round(difference, 3))
        self._clock_reported = differs

    def _read_failed(self, stream: Stream, message: str, *, now: float) -> None:
        if not stream.reader.problem:
            log_warning("read_failed", stream=stream.name, message=message)
        stream.reader.failed(message, now=now)

    # Appending

    def _write_snapshot(self, stream: Stream, *, now: float) -> None:
        parts = stream.fold.to_snapshot(snapshot=uuid.uuid4().hex)
        log_event(
            "snapshot_written",
            stream=stream.name,
            as_of=stream.fold.next_offset,
            n_parts=len(parts),
        )
        for part in parts:
            self._queue_record(
                stream,
                part,
                record_id=uuid.uuid4().hex,
                deadline=now + APPEND_DEADLINE,
            )

    def _expire_appends(self, stream: Stream, *, now: float) -> None:
        for pending in stream.writer.expire_pending(now=now):
            log_warning(
                "append_given_up",
                stream=stream.name,
                kind=type(pending.record).__name__,
                record=pending.record_id,
                may_be_in_log=pending.sent,
            )

    def _append(self, stream: Stream, *, now: float) -> None:
        batch = stream.writer.due(now=now)
        if not batch:
            return
        items = [
            encode_record(pending.record, record_id=pending.record_id)
            for pending in batch
        ]
        call = self._log.append(stream.name, items)
        self.send_request(
            PendingRequest(kind="append", subject=stream.name),
            method=call.method,
            address=self._settings.log_address,
            path=call.path,
            body=call.body,
            step="append_log",
            progress_timeout=self._settings.progress_timeout,
        )

    # Answers

    def answered(self, pending: PendingRequest, answer: OutboundAnswer) -> None:
        """Process the answer to a read or to an append."""
        stream = self.streams_by_name[pending.subject]
        now = time.monotonic()
        if pending.kind == "read":
            self._process_read_answer(stream, answer)
        elif answer.status == 200:
            stream.writer.answered()
            self._append(stream, now=now)
        else:
            log_warning("append_failed", stream=stream.name, status=answer.status)
            stream.writer.failed(now=now)

    def failed(self, pending: PendingRequest, failure: OutboundFailure) -> None:
        """Record the failure of a read or an append, to retry after a pause."""
        stream = self.streams_by_name[pending.subject]
        now = time.monotonic()
        if pending.kind == "read":
            self._read_failed(stream, failure.error.message, now=now)
        else:
            stream.writer.failed(now=now)
