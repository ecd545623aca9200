"""Send attempts to backend servers and read what comes back of them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from .coordination.actions import ChatWork, Usage
from .errors import Category, RunState, RyeleverError
from .events import OutboundRequest, outbound_cancel, outbound_flow, outbound_send
from .logs import log_event
from .protocol.backend import GenerateRequest
from .protocol.outside import HTTP_ENGINE, HTTP_PLAIN_SERVICE
from .protocol.sse import SseSplitter, SseTooLongError

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.actions import Action, SendAttempt, ServiceWork
    from .coordination.requests import RequestTable
    from .events import AnswerHead, AttemptData, OutboundAnswer, OutboundFailure
    from .protocol.backend import StreamItem
    from .protocol.outside import EngineInterface, PlainServiceInterface
    from .settings import Settings

__all__ = ["Attempts"]

#: Statuses with which an engine says that it did not run a request.
REFUSED_STATUSES = frozenset({409, 429, 503})

#: Status and header with which a plain service says that it did not run a call.
NOT_RUN_STATUS = 503
NOT_RUN_HEADER = "ryelever-not-run"

#: Bytes kept of an engine's error answer.
MAX_ERROR_TEXT = 500

#: Where answers go that nobody waits for.
NOBODY = "nobody"

#: Code of errors of a backend server that lives; others of a stream mean a death.
BACKEND_ERROR = "backend_error"


class Attempts:
    """Own the attempts in flight; return what the request table decides.

    Parameters
    ----------
    table : RequestTable
        The decisions.
    fire : callable
        Fire an event on a channel.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        table: RequestTable,
        fire: Callable[..., object],
        engine: EngineInterface = HTTP_ENGINE,
        plain_service: PlainServiceInterface = HTTP_PLAIN_SERVICE,
    ) -> None:
        self._engine = engine
        self._plain_service = plain_service
        self._settings = settings
        self._table = table
        self._fire = fire
        self._attempts_by_id: dict[str, _Attempt] = {}

    # Sending

    def send(self, action: SendAttempt) -> None:
        """Send a request to its target."""
        work = action.arrival.work
        streamed = isinstance(work, ChatWork)
        if streamed:
            request = self._generate_request(action, work)
        else:
            request = self._service_request(action, work)
        self._attempts_by_id[action.attempt_id] = _Attempt(
            address=request.address, streamed=streamed
        )
        self._fire(outbound_send(request), "http_client")

    def cancel(self, attempt_id: str) -> None:
        """Give an attempt up and let the engine know."""
        attempt = self._attempts_by_id.pop(attempt_id, None)
        if attempt is not None:
            self._give_up(attempt_id, attempt)

    def flow(self, attempt_id: str, *, stop: bool) -> None:
        """Stop or go on reading an answer."""
        self._fire(outbound_flow(attempt_id, stop), "http_client")

    def _generate_request(self, action: SendAttempt, work: ChatWork) -> OutboundRequest:
        body = GenerateRequest(
            attempt=action.attempt_id,
            group=action.target.name,
            fencing=action.target.fencing,
            model=work.model,
            adapter=work.adapter,
            messages=work.messages,
            max_tokens=work.max_tokens,
            priority=action.arrival.priority,
            delivered=action.delivered,
        )
        call = self._engine.generate(body)
        return OutboundRequest(
            id=action.attempt_id,
            address=action.target.address,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            reply_channel="serving",
            step="generate",
            streamed=True,
            fresh=not action.arrival.repeatable,
            progress_timeout=self._settings.progress_timeout,
            first_byte_timeout=self._settings.first_token_timeout,
            send_before=action.arrival.deadline,
        )

    def _service_request(
        self, action: SendAttempt, work: ServiceWork
    ) -> OutboundRequest:
        call = self._plain_service.call(work, arrival=action.arrival)
        return OutboundRequest(
            id=action.attempt_id,
            address=action.target.address,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            reply_channel="serving",
            step="call_service",
            fresh=not action.arrival.repeatable,
            progress_timeout=self._settings.progress_timeout,
            first_byte_timeout=self._settings.service_timeout,
            send_before=action.arrival.deadline,
        )

    def _give_up(self, attempt_id: str, attempt: _Attempt) -> None:
        self._fire(outbound_cancel(attempt_id), "http_client")
        if attempt.streamed:
            self._order_cancel(attempt_id, address=attempt.address)

    def _order_cancel(self, attempt_id: str, *, address: str) -> None:
        # An engine does not notice that a connection was closed when the path to
        # it has gone silent, and would generate to the end for nobody.
        call = self._engine.cancel(attempt_id)
        request = OutboundRequest(
            id=f"cancel-{attempt_id}",
            address=address,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            reply_channel=NOBODY,
            step="cancel",
            # An idle connection to this engine went the way that has just gone
            # silent; the order would vanish in it, and nobody asks for its answer.
            fresh=True,
            progress_timeout=self._settings.progress_timeout,
        )
        self._fire(outbound_send(request), "http_client")

    # Reading

    def head(self, head: AnswerHead) -> None:
        """Take the status of a streamed answer."""
        attempt = self._attempts_by_id.get(head.id)
        if attempt is not None:
            attempt.status = head.status

    def data(self, message: AttemptData) -> list[Action]:
        """Take bytes of a streamed answer."""
        attempt = self._attempts_by_id.get(message.id)
        if attempt is None:
            self._table.late_answer()
            return []
        if attempt.status != 200:
            attempt.error_text += message.data[:MAX_ERROR_TEXT]
            return []
        actions: list[Action] = []
        try:
            for data in attempt.splitter.feed(message.data):
                actions += self._take_item(message.id, self._engine.stream_item(data))
        except (SseTooLongError, msgspec.DecodeError) as error:
            text = f"sent a broken stream: {error}"
            actions += self._break(message.id, text, code=BACKEND_ERROR)
        return actions

    def end(self, attempt_id: str) -> list[Action]:
        """Take the end of a streamed answer, as HTTP has it."""
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is None:
            return []
        if attempt.status == 200:
            return self._break(attempt_id, "ended a stream without its last event")
        refused = attempt.status in REFUSED_STATUSES
        text = bytes(attempt.error_text).decode("utf-8", "replace")
        message = f"answered {attempt.status}: {text}"
        # The code tells an answer from a death: what runs beside it lives on.
        return self._break(attempt_id, message, refused=refused, code=BACKEND_ERROR)

    def answer(self, answer: OutboundAnswer) -> list[Action]:
        """Take a plain service's whole answer."""
        if self._attempts_by_id.pop(answer.id, None) is None:
            self._table.late_answer()
            return []
        said_not_run = answer.headers.get(NOT_RUN_HEADER, "").lower() == "true"
        return self._table.service_answered(
            answer.id,
            status=answer.status,
            content_type=answer.headers.get("content-type", ""),
            body=answer.body,
            not_run=said_not_run and answer.status == NOT_RUN_STATUS,
            now=time.monotonic(),
        )

    def failed(self, failure: OutboundFailure) -> list[Action]:
        """Take a connection's failure."""
        attempt = self._attempts_by_id.pop(failure.id, None)
        if attempt is None:
            return []
        if attempt.streamed and failure.bytes_sent:
            self._order_cancel(failure.id, address=attempt.address)
        return self._fail(failure.id, failure.error, refused=not failure.bytes_sent)

    def _take_item(self, attempt_id: str, item: StreamItem) -> list[Action]:
        if attempt_id not in self._attempts_by_id:
            self._table.late_answer()
            return []
        if item.attempt != attempt_id:
            # The connection carries somebody else's answer: never pass it on.
            text = f"sent tokens of attempt {item.attempt!r}"
            return self._break(attempt_id, text, code=BACKEND_ERROR)
        if item.error:
            return self._break(attempt_id, f"broke off: {item.error}")
        now = time.monotonic()
        actions: list[Action] = []
        if item.tokens:
            actions += self._table.tokens(
                attempt_id, index=item.index, tokens=item.tokens, now=now
            )
        if item.finish_reason and attempt_id in self._attempts_by_id:
            actions += self._finish(attempt_id, item, now=now)
        return actions

    def _finish(self, attempt_id: str, item: StreamItem, *, now: float) -> list[Action]:
        request = self._table.of_attempt(attempt_id)
        if request is None:
            return []
        del self._attempts_by_id[attempt_id]
        usage = Usage(
            n_prompt_tokens=item.n_prompt_tokens,
            n_completion_tokens=len(request.delivered),
            n_cached_tokens=item.n_cached_tokens,
        )
        return self._table.finished(
            attempt_id, finish_reason=item.finish_reason, usage=usage, now=now
        )

    def _break(
        self, attempt_id: str, message: str, *, refused: bool = False, code: str = ""
    ) -> list[Action]:
        attempt = self._attempts_by_id.pop(attempt_id)
        if refused:
            self._fire(outbound_cancel(attempt_id), "http_client")
        else:
            self._give_up(attempt_id, attempt)
        error = RyeleverError(
            f"{attempt.address} {message}",
            category=Category.UNAVAILABLE if refused else Category.BROKEN,
            step="generate",
            peer=attempt.address,
            code=code,
        )
        return self._fail(attempt_id, error, refused=refused)

    def _fail(
        self, attempt_id: str, error: RyeleverError, *, refused: bool
    ) -> list[Action]:
        log_event(
            "attempt_failed",
            attempt=attempt_id,
            step=error.step,
            peer=error.peer,
            refused=refused,
            message=error.message,
        )
        error.run_state = RunState.NOT_RUN if refused else RunState.OUTCOME_UNKNOWN
        return self._table.failed(
            attempt_id, error=error, refused=refused, now=time.monotonic()
        )


class _Attempt:
    """Hold what is read of one attempt's answer."""

    __slots__ = ("address", "error_text", "splitter", "status", "streamed")

    def __init__(self, *, address: str, streamed: bool) -> None:
        self.address = address
        self.streamed = streamed
        self.status = 0
        self.splitter = SseSplitter()
        self.error_text = bytearray()
