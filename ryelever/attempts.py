"""Send attempts to backend servers and process their answers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from .coordination.actions import ChatWork, Usage
from .errors import Category, RunState, RyeleverError
from .events import OutboundRequest, outbound_cancel, outbound_flow, outbound_send
from .logs import log_event
from .protocol.backend import GenerateRequest
from .protocol.external_systems import HTTP_ENGINE, HTTP_PLAIN_SERVICE
from .protocol.sse import SseSplitter, SseTooLongError

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.actions import Action, SendAttempt, ServiceWork
    from .coordination.requests import RequestTable
    from .events import AnswerHead, AttemptData, OutboundAnswer, OutboundFailure
    from .protocol.backend import StreamItem
    from .protocol.external_systems import EngineInterface, PlainServiceInterface
    from .server_access import RoutedRequest, ServerAccess
    from .settings import Settings

__all__ = ["Attempts"]

#: Statuses that an engine sends only if it did not run the request.
REFUSED_STATUSES = frozenset({409, 429, 503})

#: Status and header that together mean that a plain service did not run the call.
NOT_RUN_STATUS = 503
NOT_RUN_HEADER = "ryelever-not-run"

#: Bytes kept of each chunk of an engine's error answer.
MAX_ERROR_TEXT = 500

#: Channel without a handler, for answers that are not needed.
UNUSED_CHANNEL = "nobody"

#: Code of errors after which the backend server counts as alive.  A connection that
#: breaks with an error whose code is only its category counts as the server's death; a
#: timeout does not.
BACKEND_ERROR = "backend_error"


class Attempts:
    """Send attempts and report their answers to the request table.

    The methods that process an answer return the actions that the table decides on.

    Parameters
    ----------
    table : RequestTable
        Requests in flight; decides which actions follow an answer or a failure.
    fire : callable
        Fire an event on a channel.
    access : ServerAccess
        Decides which requests go by way of another entry host.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        table: RequestTable,
        fire: Callable[..., object],
        access: ServerAccess,
        engine: EngineInterface = HTTP_ENGINE,
        plain_service: PlainServiceInterface = HTTP_PLAIN_SERVICE,
    ) -> None:
        self._access = access
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
        routed = self._access.route(
            request, server_id=action.target.server, now=time.monotonic()
        )
        self._attempts_by_id[action.attempt_id] = _Attempt(
            request_id=action.arrival.request_id, routed=routed, streamed=streamed
        )
        self._fire(outbound_send(routed.sent), "http_client")

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt, also at the engine if its answer is streamed."""
        attempt = self._attempts_by_id.pop(attempt_id, None)
        if attempt is not None:
            self._abort(attempt_id, attempt)

    def request_id(self, attempt_id: str) -> str:
        """Return the request id of an open attempt; empty if there is none."""
        attempt = self._attempts_by_id.get(attempt_id)
        return "" if attempt is None else attempt.request_id

    def cancel_all(self, request_id: str) -> None:
        """Cancel all attempts of a request."""
        for attempt_id, attempt in list(self._attempts_by_id.items()):
            if attempt.request_id == request_id:
                self.cancel(attempt_id)

    def set_flow(self, attempt_id: str, *, stop: bool) -> None:
        """Pause or resume reading an answer."""
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
            new_connection=not action.arrival.repeatable,
            progress_timeout=self._settings.progress_timeout,
            first_byte_timeout=self._settings.first_token_timeout,
            latest_start=action.arrival.deadline,
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
            new_connection=not action.arrival.repeatable,
            progress_timeout=self._settings.progress_timeout,
            first_byte_timeout=self._settings.service_timeout,
            latest_start=action.arrival.deadline,
        )

    def _abort(self, attempt_id: str, attempt: _Attempt) -> None:
        self._fire(outbound_cancel(attempt_id), "http_client")
        if attempt.streamed:
            self._send_cancel(attempt_id, attempt)

    def _send_cancel(self, attempt_id: str, attempt: _Attempt) -> None:
        # If the network path to an engine loses all packets, the engine does not
        # notice that the connection was closed.  It would generate the complete
        # answer although no caller receives it.
        call = self._engine.cancel(attempt_id)
        request = OutboundRequest(
            id=f"cancel-{attempt_id}",
            address=attempt.address,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            reply_channel=UNUSED_CHANNEL,
            step="cancel",
            # An idle connection to this engine may use the same failed network path.
            # The cancellation would be lost in it unnoticed, because its answer is
            # not processed.
            new_connection=True,
            progress_timeout=self._settings.progress_timeout,
            time_limit=2 * self._settings.progress_timeout,
        )
        routed = self._access.route(
            request, server_id=attempt.routed.server_id, now=time.monotonic()
        )
        self._fire(outbound_send(routed.sent), "http_client")

    # Processing answers

    def head(self, head: AnswerHead) -> list[Action]:
        """Record the status of a streamed answer; no action follows."""
        attempt = self._attempts_by_id.get(head.id)
        if attempt is not None:
            attempt.status = head.status
            self._access.paths.heard(attempt.routed.server_id, now=time.monotonic())
        return []

    def data(self, message: AttemptData) -> list[Action]:
        """Process a chunk of a streamed answer."""
        attempt = self._attempts_by_id.get(message.id)
        if attempt is None:
            self._table.count_late_answer()
            return []
        self._access.paths.heard(attempt.routed.server_id, now=time.monotonic())
        if attempt.status != 200:
            attempt.error_text += message.data[:MAX_ERROR_TEXT]
            return []
        actions: list[Action] = []
        try:
            for data in attempt.splitter.feed(message.data):
                actions += self._process_item(
                    message.id, self._engine.stream_item(data)
                )
        except (SseTooLongError, msgspec.DecodeError) as error:
            text = f"sent a broken stream: {error}"
            actions += self._fail_stream(message.id, text, code=BACKEND_ERROR)
        return actions

    def end(self, attempt_id: str) -> list[Action]:
        """Process the end of a streamed answer's HTTP message."""
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is None:
            return []
        if attempt.status == 200:
            return self._fail_stream(
                attempt_id, "ended a stream without its last event"
            )
        refused = attempt.status in REFUSED_STATUSES
        text = bytes(attempt.error_text).decode("utf-8", "replace")
        message = f"answered {attempt.status}: {text}"
        # The code shows that the engine is alive, since it has answered: its other
        # requests continue.
        return self._fail_stream(
            attempt_id, message, refused=refused, code=BACKEND_ERROR
        )

    def answer(self, answer: OutboundAnswer) -> list[Action]:
        """Process the complete answer of a plain service."""
        attempt = self._attempts_by_id.pop(answer.id, None)
        if attempt is None:
            self._table.count_late_answer()
            return []
        self._access.paths.heard(attempt.routed.server_id, now=time.monotonic())
        has_not_run_header = answer.headers.get(NOT_RUN_HEADER, "").lower() == "true"
        return self._table.service_answered(
            answer.id,
            status=answer.status,
            content_type=answer.headers.get("content-type", ""),
            body=answer.body,
            not_run=has_not_run_header and answer.status == NOT_RUN_STATUS,
            now=time.monotonic(),
        )

    def failed(self, failure: OutboundFailure) -> list[Action]:
        """Process the failure of an attempt's connection.

        Raises
        ------
        RyeleverError
            If a fault of this host is the reason, which says nothing about the server.
        """
        attempt = self._attempts_by_id.get(failure.id)
        if attempt is None:
            return []
        if failure.error.category is Category.INTERNAL:
            raise failure.error
        again = self._access.failed(
            attempt.routed,
            sent=failure.bytes_sent,
            forwarder_failed=failure.forwarder_failed,
            now=time.monotonic(),
        )
        if again is not None:
            # Nothing was sent, so that this is still the same attempt.
            attempt.routed = again
            self._fire(outbound_send(again.sent), "http_client")
            return []
        del self._attempts_by_id[failure.id]
        if attempt.streamed and failure.bytes_sent:
            self._send_cancel(failure.id, attempt)
        return self._report_failure(
            failure.id, failure.error, refused=not failure.bytes_sent
        )

    def _process_item(self, attempt_id: str, item: StreamItem) -> list[Action]:
        if attempt_id not in self._attempts_by_id:
            self._table.count_late_answer()
            return []
        if item.attempt != attempt_id:
            # The connection carries the answer to another request, which this
            # request's caller must never receive.
            text = f"sent tokens of attempt {item.attempt!r}"
            return self._fail_stream(attempt_id, text, code=BACKEND_ERROR)
        if item.error:
            return self._fail_stream(attempt_id, f"broke off: {item.error}")
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
        request = self._table.request_of_attempt(attempt_id)
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

    def _fail_stream(
        self, attempt_id: str, message: str, *, refused: bool = False, code: str = ""
    ) -> list[Action]:
        attempt = self._attempts_by_id.pop(attempt_id)
        if refused:
            self._fire(outbound_cancel(attempt_id), "http_client")
        else:
            self._abort(attempt_id, attempt)
        error = RyeleverError(
            f"{attempt.address} {message}",
            category=Category.UNAVAILABLE if refused else Category.BROKEN,
            step="generate",
            peer=attempt.address,
            code=code,
        )
        return self._report_failure(attempt_id, error, refused=refused)

    def _report_failure(
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
    """State of reading one attempt's answer."""

    __slots__ = (
        "error_text",
        "request_id",
        "routed",
        "splitter",
        "status",
        "streamed",
    )

    def __init__(
        self, *, request_id: str, routed: RoutedRequest, streamed: bool
    ) -> None:
        self.request_id = request_id
        self.routed = routed
        self.streamed = streamed
        self.status = 0
        self.splitter = SseSplitter()
        self.error_text = bytearray()

    @property
    def address(self) -> str:
        """Return the address of the backend server."""
        return self.routed.direct.address
