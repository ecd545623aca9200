"""Read and append the streams of the platform's log."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from circuits import handler

from .asking import Asker, Question
from .coordination.log_writer import LogWriter
from .events import ClaimReadBack, claim_read_back
from .logs import log_event, log_warning
from .protocol.log import decode_entry, encode_record
from .protocol.outside import HTTP_LOG
from .state.records import Claim

if TYPE_CHECKING:
    from .coordination.actions import AppendRecord
    from .coordination.claims import Claims
    from .events import OutboundAnswer, OutboundFailure
    from .protocol.outside import LogInterface
    from .settings import Settings
    from .state.fold import BaseFold
    from .state.records import Entry

__all__ = ["Stream", "Streams"]

#: Longest wait of one read for new records, in milliseconds.
READ_WAIT_MS = 1000

#: Records asked for in one read.
READ_LIMIT = 1000

#: Seconds for which an append may still be repeated.
APPEND_DEADLINE = 10.0

#: Seconds between two tries of a read that failed.
READ_RETRY = 0.3


@dataclass(slots=True, kw_only=True)
class Stream:
    """Own the reading and writing of one stream of the log.

    Attributes
    ----------
    caught_up_at : float
        Monotonic time, from before the question, of the newest read that reached
        the stream's end.
    """

    name: str
    fold: BaseFold
    writer: LogWriter
    reading: bool = False
    read_again_at: float = 0.0
    caught_up_at: float = float("-inf")


class Streams(Asker):
    """Keep the folds of this entry host current and append for its parts.

    Parameters
    ----------
    folds_by_stream : dict of str to BaseFold
        The streams to follow.
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
        self.streams_by_name = {
            name: Stream(name=name, fold=fold, writer=LogWriter())
            for name, fold in folds_by_stream.items()
        }

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        now = time.monotonic()
        for stream in self.streams_by_name.values():
            self._read(stream, now=now)
            self._append(stream, now=now)

    @handler("append_record")
    def _on_append_record(self, action: AppendRecord) -> None:
        now = time.monotonic()
        stream = self.streams_by_name[action.stream]
        deadline = now + (action.kept_for or APPEND_DEADLINE)
        stream.writer.add(action.record, record_id=action.record_id, deadline=deadline)
        self._append(stream, now=now)

    # Reading

    def _read(self, stream: Stream, *, now: float) -> None:
        if stream.reading or now < stream.read_again_at:
            return
        stream.reading = True
        # Only a reader that knows it has reached the end may wait there: a read of
        # an empty tail would delay that knowledge by the whole wait.
        lagging = now - stream.caught_up_at > 2 * READ_WAIT_MS / 1000
        call = self._log.read(
            stream.name,
            offset=stream.fold.next_offset,
            wait_ms=0 if lagging else READ_WAIT_MS,
            limit=READ_LIMIT,
        )
        self.ask(
            Question(kind="read", subject=stream.name),
            address=self._settings.log_address,
            path=call.path,
            step="read_log",
            progress_timeout=READ_WAIT_MS / 1000 + self._settings.progress_timeout,
        )

    def _take_page(self, stream: Stream, answer: OutboundAnswer) -> None:
        page = self._log.page(answer.body, peer=answer.address)
        if answer.status != 200 or page.is_error():
            self._read_failed(stream, f"answered {answer.status}")
            return
        for raw in page.ok.records:
            entry = decode_entry(raw, peer=answer.address)
            if entry.is_error():
                self._read_failed(stream, entry.error.message)
                return
            self._take_entry(stream, entry.ok)
        stream.reading = False
        if stream.fold.next_offset >= page.ok.next:
            self._caught_up(stream, at=answer.sent_at)
        now = time.monotonic()
        self._read(stream, now=now)
        self._append(stream, now=now)

    def _caught_up(self, stream: Stream, *, at: float) -> None:
        stream.caught_up_at = at
        if stream.name == self._claims.stream:
            self._claims.caught_up(at=at)

    def _take_entry(self, stream: Stream, entry: Entry) -> None:
        repeated = stream.fold.offset_of(entry.id) is not None
        reason = stream.fold.apply(entry)
        stream.writer.read_back(entry.id)
        if reason is not None:
            log_event(
                "record_ignored",
                stream=stream.name,
                offset=entry.offset,
                kind=type(entry.record).__name__,
                reason=reason,
            )
        record = entry.record
        own = isinstance(record, Claim) and record.owner == self._claims.owner
        if own and not repeated:
            message = ClaimReadBack(
                claim_id=entry.id, claim=record, is_first=reason is None
            )
            self.fire(claim_read_back(message), "serving")

    def _read_failed(self, stream: Stream, message: str) -> None:
        stream.reading = False
        stream.read_again_at = time.monotonic() + READ_RETRY
        log_warning("read_failed", stream=stream.name, message=message)

    # Appending

    def _append(self, stream: Stream, *, now: float) -> None:
        batch = stream.writer.due(now=now)
        if not batch:
            return
        items = [
            encode_record(pending.record, record_id=pending.record_id)
            for pending in batch
        ]
        call = self._log.append(stream.name, items)
        self.ask(
            Question(kind="append", subject=stream.name),
            method=call.method,
            address=self._settings.log_address,
            path=call.path,
            body=call.body,
            step="append_log",
            progress_timeout=self._settings.progress_timeout,
        )

    # Answers

    def answered(self, question: Question, answer: OutboundAnswer) -> None:
        """Take a page, or the answer to an append."""
        stream = self.streams_by_name[question.subject]
        if question.kind == "read":
            self._take_page(stream, answer)
            return
        stream.writer.answered()
        if answer.status != 200:
            log_warning("append_failed", stream=stream.name, status=answer.status)
        self._append(stream, now=time.monotonic())

    def failed(self, question: Question, failure: OutboundFailure) -> None:
        """Try again later."""
        stream = self.streams_by_name[question.subject]
        if question.kind == "read":
            self._read_failed(stream, failure.error.message)
        else:
            stream.writer.failed()
