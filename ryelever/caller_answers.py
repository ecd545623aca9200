"""Send answers to callers, complete or as streams."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from .coordination.actions import StreamFailed
from .events import (
    CallerAnswer,
    caller_answer,
    caller_stream_data,
    caller_stream_end,
    caller_stream_start,
)
from .logs import log_event
from .protocol.openai import (
    ChatStreamEncoder,
    chat_completion,
    error_body,
    error_event,
    error_headers,
    http_status,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.actions import (
        AnswerComplete,
        AnswerService,
        Arrival,
        StreamFinished,
        StreamTokens,
    )
    from .errors import RyeleverError
    from .metrics import Metrics

__all__ = ["CallerAnswers"]


class CallerAnswers:
    """Format and send the answers to the requests in flight.

    Parameters
    ----------
    fire : callable
        Fire an event on a channel.
    """

    def __init__(self, *, fire: Callable[..., object], metrics: Metrics) -> None:
        self._fire = fire
        self._metrics = metrics
        self.arrivals_by_id: dict[str, Arrival] = {}
        self._encoders_by_request: dict[str, ChatStreamEncoder] = {}

    def expect(self, arrival: Arrival) -> None:
        """Store a request whose answer will be sent later."""
        self.arrivals_by_id[arrival.request_id] = arrival

    def forget(self, request_id: str) -> None:
        """Remove a request that was answered or whose caller has disconnected."""
        self.arrivals_by_id.pop(request_id, None)
        self._encoders_by_request.pop(request_id, None)

    # Streams

    def stream_tokens(self, action: StreamTokens) -> None:
        """Send tokens to the caller."""
        request_id = action.request_id
        data = self._encoder(request_id).tokens(action.tokens)
        self._fire(caller_stream_data(request_id, data), "callers")

    def _encoder(self, request_id: str) -> ChatStreamEncoder:
        encoder = self._encoders_by_request.get(request_id)
        return encoder or self._start_stream(request_id)

    def _start_stream(self, request_id: str) -> ChatStreamEncoder:
        arrival = self.arrivals_by_id[request_id]
        self._metrics.observe("first_token", time.monotonic() - arrival.arrived_at)
        encoder = ChatStreamEncoder(
            request_id=request_id,
            model=arrival.work.name,
            created=int(time.time()),
            include_usage=arrival.work.include_usage,
        )
        headers = {
            "Content-Type": "text/event-stream; charset=utf-8",
            "Cache-Control": "no-cache",
            "X-Request-Id": request_id,
        }
        self._encoders_by_request[request_id] = encoder
        self._fire(caller_stream_start(request_id, headers), "callers")
        self._fire(caller_stream_data(request_id, encoder.started()), "callers")
        return encoder

    def stream_finished(self, action: StreamFinished) -> None:
        """Send the final events of a stream and end it."""
        data = self._encoder(action.request_id).finished(
            finish_reason=action.finish_reason, usage=action.usage
        )
        self._end_stream(action.request_id, data, outcome="answered")

    def stream_failed(self, action: StreamFailed) -> None:
        """Send an error event and end the stream."""
        log_event(
            "stream_failed",
            request=action.request_id,
            step=action.error.step,
            peer=action.error.peer,
            message=action.error.message,
        )
        self._end_stream(
            action.request_id, error_event(action.error), outcome=action.error.code
        )

    def _end_stream(self, request_id: str, data: bytes, *, outcome: str) -> None:
        self._fire(caller_stream_data(request_id, data), "callers")
        self._fire(caller_stream_end(request_id), "callers")
        self._record_end(request_id, outcome=outcome)

    # Complete answers

    def answer_complete(self, action: AnswerComplete) -> None:
        """Send the complete answer to a chat request."""
        arrival = self.arrivals_by_id[action.request_id]
        body = chat_completion(
            request_id=action.request_id,
            model=arrival.work.name,
            created=int(time.time()),
            tokens=action.tokens,
            finish_reason=action.finish_reason,
            usage=action.usage,
        )
        self.answer(CallerAnswer(request_id=action.request_id, status=200, body=body))

    def answer_service(self, action: AnswerService) -> None:
        """Send a plain service's answer to the caller."""
        headers = {"Ryelever-Replayed": "true"} if action.replayed else {}
        self.answer(
            CallerAnswer(
                request_id=action.request_id,
                status=action.status,
                body=action.body,
                content_type=action.content_type,
                headers=headers,
            )
        )

    def answer_error(self, request_id: str, error: RyeleverError) -> None:
        """Log an error and send it to the caller, as an event if a stream has begun."""
        if request_id in self._encoders_by_request:
            self.stream_failed(StreamFailed(request_id=request_id, error=error))
            return
        log_event(
            "request_failed",
            request=request_id,
            step=error.step,
            peer=error.peer,
            code=error.code,
            run_state=error.run_state.value,
            message=error.message,
        )
        answer = CallerAnswer(
            request_id=request_id,
            status=http_status(error),
            body=error_body(error),
            headers=error_headers(error),
        )
        self.answer(answer, outcome=error.code)

    def answer(self, answer: CallerAnswer, *, outcome: str = "answered") -> None:
        """Send an answer to its caller and record the end of the request."""
        self._fire(caller_answer(answer), "callers")
        self._record_end(answer.request_id, outcome=outcome)

    def _record_end(self, request_id: str, *, outcome: str) -> None:
        self._metrics.count("requests", outcome)
        arrival = self.arrivals_by_id.get(request_id)
        if arrival is not None:
            self._metrics.observe("request", time.monotonic() - arrival.arrived_at)
        self.forget(request_id)
