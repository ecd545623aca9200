"""Read and append the streams of the platform's log."""

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
from .protocol.log import decode_entry, encode_record, placement_stream
from .protocol.outside import HTTP_LOG
from .request_sender import PendingRequest, RequestSender
from .state.claims import MAX_AHEAD
from .state.records import Claim, Outcome, SnapshotPart

if TYPE_CHECKING:
    from .coordination.actions import AppendRecord
    from .coordination.log_reader import Applied
    from .coordination.requests import Claims
    from .events import OutboundAnswer, OutboundFailure
    from .protocol.outside import LogInterface
    from .settings import Settings
    from .state.fold import BaseFold
    from .state.records import Record

__all__ = ["Stream", "Streams"]

#: Seconds for which the append of a decision may be repeated.
APPEND_DEADLINE = 10.0

#: Share of a batch that one part of a snapshot takes; it may be a megabyte.
SNAPSHOT_COST = 200

#: Records after which a short state is worth writing again.
MAX_TAIL = 5_000

#: Status of a read from an offset that is no longer kept.
GONE = 410


@dataclass(slots=True, kw_only=True)
class Stream:
    """Own the reading and writing of one stream of the log."""

    name: str
    fold: BaseFold
    reader: LogReader
    writer: LogWriter
    schedule: SnapshotSchedule

    @property
    def caught_up_at(self) -> float:
        """Return when the newest read that reached the stream's end was asked."""
        return self.reader.caught_up_at


class Streams(RequestSender):
    """Keep the folds of this entry host current and append for its parts.

    Parameters
    ----------
    folds_by_stream : dict of str to BaseFold
        The streams to follow; the claims' partitions are added to them.
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
            name: self._stream(name, fold)
            for name, fold in (folds_by_stream | claims.folds_by_stream).items()
        }

    def _stream(self, name: str, fold: BaseFold) -> Stream:
        jitter = self._random.random
        place = zlib.crc32(f"{self._claims.owner} {name}".encode()) / 2**32
        return Stream(
            name=name,
            fold=fold,
            reader=LogReader(fold=fold, jitter=jitter, wait=self._wait(name)),
            writer=LogWriter(budget=self._budget, jitter=jitter),
            schedule=SnapshotSchedule(
                retention=self._settings.log_retention,
                spread=place,
                # Claims expire with their window, which bounds what must be read.
                max_tail=None if name in self._claims.folds_by_stream else MAX_TAIL,
            ),
        )

    def _wait(self, name: str) -> float:
        # Claims must be known up to their end at any moment, and the own zone's
        # planner acts on its stream; the others' news may come some seconds later.
        own = placement_stream(self._settings.availability_zone)
        is_urgent = name == own or name in self._claims.folds_by_stream
        return READ_WAIT if is_urgent else LONG_READ_WAIT

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        now = time.monotonic()
        wall = time.time()
        self._claims.observe_wall(wall, now=now)
        for stream in self.streams_by_name.values():
            self._read(stream, now=now)
            self._give_up_late(stream, now=now)
            if stream.schedule.due(stream.fold, wall=wall, now=now):
                self._write_snapshot(stream, now=now)
            self._append(stream, now=now)

    @handler("append_record")
    def _on_append_record(self, action: AppendRecord) -> None:
        now = time.monotonic()
        stream = self.streams_by_name[self._stream_of(action)]
        self._add(
            stream,
            action.record,
            record_id=action.record_id,
            deadline=now + (action.kept_for or APPEND_DEADLINE),
        )
        self._append(stream, now=now)

    def _stream_of(self, action: AppendRecord) -> str:
        record = action.record
        if isinstance(record, Claim | Outcome):
            return self._claims.stream_of(record.key)
        return action.stream

    def _add(
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

    def _take_answer(self, stream: Stream, answer: OutboundAnswer) -> None:
        now = time.monotonic()
        raw = self._log.page(answer.body, peer=answer.address)
        if answer.status not in (200, GONE) or raw.is_error():
            self._read_failed(stream, f"answered {answer.status}", now=now)
            return
        page = ReadPage(
            first=raw.ok.first,
            next=raw.ok.next,
            entries=[
                decode_entry(item, peer=answer.address) for item in raw.ok.records
            ],
            expired=answer.status == GONE,
        )
        self._take_page(stream, page, asked_at=answer.sent_at, now=now)
        self._read(stream, now=now)
        self._append(stream, now=now)

    def _take_page(
        self, stream: Stream, page: ReadPage, *, asked_at: float, now: float
    ) -> None:
        reader = stream.reader
        gap, n_restored, problem = stream.fold.gap, reader.n_restored, reader.problem
        for applied in reader.read(page, asked_at=asked_at, now=now):
            self._take_applied(stream, applied, now=now)
        if stream.name in self._claims.folds_by_stream:
            self._claims.caught_up(stream.name, at=reader.caught_up_at)
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

    def _take_applied(self, stream: Stream, applied: Applied, *, now: float) -> None:
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
        # Once its claim was read back a request may be running.  To report the
        # claim again would look like one whose request was given up.
        if applied.repeated or applied.seen_before:
            return
        self._check_clock(entry.time)
        self._report_claim(stream, applied, record, now=now)

    def _report_claim(
        self, stream: Stream, applied: Applied, record: Claim, *, now: float
    ) -> None:
        if applied.reason is None and not applied.certain:
            # With records missing, an earlier claim may be among them.  The
            # request is not run; if this claim is the first after all, the key is
            # free again.
            freed = Outcome(
                key=record.key,
                owner=record.owner,
                run_state=RunState.NOT_RUN.value,
                status=0,
                request_id=record.request_id,
            )
            self._add(
                stream,
                freed,
                record_id=uuid.uuid4().hex,
                deadline=now + OUTCOME_KEPT,
            )
        message = ClaimReadBack(
            claim_id=applied.entry.id, claim=record, is_first=applied.certain
        )
        self.fire(claim_read_back(message), "serving")

    def _check_clock(self, log_time: float) -> None:
        difference = time.time() - log_time
        off = abs(difference) > MAX_AHEAD / 2
        if off and not self._clock_reported:
            log_warning("clock_differs_from_log", seconds=round(difference, 3))
        self._clock_reported = off

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
            self._add(
                stream,
                part,
                record_id=uuid.uuid4().hex,
                deadline=now + APPEND_DEADLINE,
            )

    def _give_up_late(self, stream: Stream, *, now: float) -> None:
        for pending in stream.writer.give_up_late(now=now):
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
        """Take a page, or the answer to an append."""
        stream = self.streams_by_name[pending.subject]
        now = time.monotonic()
        if pending.kind == "read":
            self._take_answer(stream, answer)
        elif answer.status == 200:
            stream.writer.answered()
            self._append(stream, now=now)
        else:
            log_warning("append_failed", stream=stream.name, status=answer.status)
            stream.writer.failed(now=now)

    def failed(self, pending: PendingRequest, failure: OutboundFailure) -> None:
        """Try again later."""
        stream = self.streams_by_name[pending.subject]
        now = time.monotonic()
        if pending.kind == "read":
            self._read_failed(stream, failure.error.message, now=now)
        else:
            stream.writer.failed(now=now)
