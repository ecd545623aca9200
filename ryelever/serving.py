"""Serve callers: join the request table with the transports."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent, handler
from expression import Error, Ok

from .accounts import account_of
from .coordination.actions import (
    AnswerError,
    AnswerService,
    AnswerWhole,
    AppendRecord,
    Arrival,
    CancelAttempt,
    ChatWork,
    SendAttempt,
    ServiceWork,
    StreamFailed,
    StreamFinished,
    StreamTokens,
    Usage,
)
from .errors import Category, RunState, RyeleverError
from .events import (
    CallerAnswer,
    OutboundRequest,
    append_record,
    caller_answer,
    caller_stream_data,
    caller_stream_end,
    caller_stream_start,
    outbound_cancel,
    outbound_flow,
    outbound_send,
)
from .logs import log_event
from .protocol.backend import GenerateRequest, read_stream_item
from .protocol.json_codec import encode
from .protocol.openai import (
    ChatStreamShape,
    chat_completion,
    error_body,
    error_event,
    error_headers,
    fingerprint,
    http_status,
    models_list,
    read_chat_request,
)
from .protocol.sse import SseSplitter, SseTooLongError

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from .coordination.actions import Action
    from .coordination.requests import RequestTable
    from .events import (
        AnswerHead,
        AttemptData,
        CallerRequest,
        ClaimReadBack,
        OutboundAnswer,
        OutboundFailure,
    )
    from .metrics import Metrics
    from .settings import Settings
    from .state.configuration_fold import ConfigurationFold

__all__ = ["Serving"]

SERVICES_PREFIX = "/services/"

#: Statuses with which an engine says that it did not run a request.
REFUSED_STATUSES = frozenset({409, 429, 503})


class Serving(BaseComponent):
    """Own the requests of this entry host.

    Parameters
    ----------
    table : RequestTable
        The decisions.
    configuration : ConfigurationFold
        What is in force.
    pages : dict of str to callable
        Answers of operators' paths by path; each takes the request, and returns
        None where its answer comes later.
    """

    channel = "serving"

    def __init__(
        self,
        *,
        settings: Settings,
        table: RequestTable,
        configuration: ConfigurationFold,
        metrics: Metrics,
        pages: dict[str, Callable[[CallerRequest], CallerAnswer | None]],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._table = table
        self._configuration = configuration
        self._metrics = metrics
        self._pages = pages
        self._shapes_by_request: dict[str, ChatStreamShape] = {}
        self._attempts_by_id: dict[str, _Attempt] = {}
        self._arrivals_by_id: dict[str, Arrival] = {}
        self._started_streams: set[str] = set()
        self.draining = False

    # Callers

    @handler("caller_request")
    def _on_caller_request(self, request: CallerRequest) -> None:
        page = self._pages.get(request.path)
        if page is not None:
            answer = page(request)
            if answer is not None:
                self.fire(caller_answer(answer), "callers")
            return
        arrival = self._arrival(request)
        if arrival.is_error():
            self._answer_error(request.request_id, arrival.error)
            return
        if arrival.ok is None:
            self._answer_models(request)
            return
        self._begin(arrival.ok)

    def _begin(self, arrival: Arrival) -> None:
        if self.draining:
            error = RyeleverError(
                "this entry host is shutting down; ask again",
                category=Category.UNAVAILABLE,
                step="admit",
                code="draining",
                retry_after=1.0,
            )
            self._answer_error(arrival.request_id, error)
            return
        self._arrivals_by_id[arrival.request_id] = arrival
        self._carry_out(self._table.arrive(arrival, now=time.monotonic()))

    @handler("caller_gone")
    def _on_caller_gone(self, request_id: str) -> None:
        self._forget(request_id)
        self._carry_out(self._table.caller_gone(request_id, now=time.monotonic()))

    @handler("caller_stalled")
    def _on_caller_stalled(self, request_id: str, stalled: bool) -> None:
        request = self._table.requests_by_id.get(request_id)
        if request is not None and request.attempt_id:
            self.fire(outbound_flow(request.attempt_id, stalled), "http_client")

    # Reading requests

    def _arrival(self, request: CallerRequest) -> Result[Arrival | None, RyeleverError]:
        account = account_of(
            request.headers.get("authorization", ""), self._configuration.configuration
        )
        if account is None:
            return _error(
                "no client account has this key; send Authorization: Bearer KEY",
                category=Category.UNAUTHORIZED,
                code="invalid_api_key",
            )
        if request.path == "/v1/models" and request.method == "GET":
            return _ok(None)
        if request.path == "/v1/chat/completions":
            if request.method != "POST":
                return _error("use POST", category=Category.BAD_REQUEST, code="method")
            return self._chat_arrival(request, account)
        if request.path.startswith(SERVICES_PREFIX):
            return self._service_arrival(request, account)
        return _error(
            f"there is nothing at {request.path}",
            category=Category.NOT_FOUND,
            code="unknown_path",
        )

    def _chat_arrival(
        self, request: CallerRequest, account: str
    ) -> Result[Arrival | None, RyeleverError]:
        work = read_chat_request(request.body)
        if work.is_error():
            return work
        configuration = self._configuration.configuration
        model = configuration.models.get(work.ok.model)
        allowed = configuration.client_accounts[account].models
        known = model is not None and (not allowed or work.ok.model in allowed)
        if not known or (work.ok.adapter and work.ok.adapter not in model.adapters):
            return _error(
                f"model {work.ok.model!r} is not served to this client account; "
                "GET /v1/models names those that are",
                category=Category.NOT_FOUND,
                code="model_not_found",
            )
        return _ok(self._new_arrival(request, account, work.ok))

    def _service_arrival(
        self, request: CallerRequest, account: str
    ) -> Result[Arrival | None, RyeleverError]:
        name, _, rest = request.path[len(SERVICES_PREFIX) :].partition("/")
        service = self._configuration.configuration.services.get(name)
        if service is None:
            return _error(
                f"service {name!r} is not declared",
                category=Category.NOT_FOUND,
                code="unknown_service",
            )
        path = "/" + rest + (f"?{request.query}" if request.query else "")
        marked = any(path.startswith(prefix) for prefix in service.non_repeatable)
        key = request.headers.get("idempotency-key", "")
        if marked and request.method not in ("GET", "HEAD") and not key:
            return _error(
                "this call runs at most once; send an Idempotency-Key",
                category=Category.BAD_REQUEST,
                code="idempotency_key_missing",
            )
        work = ServiceWork(
            service=name,
            method=request.method,
            path=path,
            content_type=request.headers.get("content-type", ""),
            body=request.body,
        )
        return _ok(self._new_arrival(request, account, work))

    def _new_arrival(
        self, request: CallerRequest, account: str, work: ChatWork | ServiceWork
    ) -> Arrival:
        now = time.monotonic()
        declared = self._configuration.configuration.client_accounts[account]
        return Arrival(
            request_id=request.request_id,
            client_account=account,
            work=work,
            arrived_at=now,
            deadline=now + self._settings.request_timeout,
            priority=declared.priority,
            idempotency_key=request.headers.get("idempotency-key", ""),
            fingerprint=fingerprint(
                request.method.encode(), request.path.encode(), request.body
            ),
        )

    # Actions

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StreamTokens():
                    self._stream_tokens(action)
                case SendAttempt():
                    self._send_attempt(action)
                case CancelAttempt():
                    self._attempts_by_id.pop(action.attempt_id, None)
                    self.fire(outbound_cancel(action.attempt_id), "http_client")
                case AnswerError():
                    self._answer_error(action.request_id, action.error)
                case AnswerWhole():
                    self._answer_whole(action)
                case AnswerService():
                    self._answer_service(action)
                case StreamFinished():
                    self._stream_finished(action)
                case StreamFailed():
                    self._stream_failed(action)
                case AppendRecord():
                    self.fire(append_record(action), "streams")

    def _send_attempt(self, action: SendAttempt) -> None:
        work = action.arrival.work
        if isinstance(work, ChatWork):
            request = self._generate_request(action, work)
        else:
            request = self._service_request(action, work)
        self._attempts_by_id[action.attempt_id] = _Attempt(address=request.address)
        self._metrics.count("attempts")
        self.fire(outbound_send(request), "http_client")

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
        return OutboundRequest(
            id=action.attempt_id,
            address=action.target.address,
            method="POST",
            path="/v1/generate",
            headers=(("Content-Type", "application/json"),),
            body=encode(body),
            reply_channel="serving",
            step="generate",
            streamed=True,
            fresh=not action.arrival.repeatable,
            progress_timeout=self._settings.progress_timeout,
        )

    def _service_request(
        self, action: SendAttempt, work: ServiceWork
    ) -> OutboundRequest:
        headers = [("X-Request-Id", action.arrival.request_id)]
        if work.content_type:
            headers.append(("Content-Type", work.content_type))
        if action.arrival.idempotency_key:
            headers.append(("Idempotency-Key", action.arrival.idempotency_key))
        return OutboundRequest(
            id=action.attempt_id,
            address=action.target.address,
            method=work.method,
            path=work.path,
            headers=tuple(headers),
            body=work.body,
            reply_channel="serving",
            step="call_service",
            fresh=not action.arrival.repeatable,
            progress_timeout=self._settings.request_timeout,
        )

    def _stream_tokens(self, action: StreamTokens) -> None:
        request_id = action.request_id
        if request_id not in self._started_streams:
            self._start_stream(request_id)
        data = self._shapes_by_request[request_id].tokens(action.tokens)
        self.fire(caller_stream_data(request_id, data), "callers")

    def _start_stream(self, request_id: str) -> None:
        arrival = self._arrivals_by_id[request_id]
        self._started_streams.add(request_id)
        self._metrics.observe("first_token", time.monotonic() - arrival.arrived_at)
        self._shapes_by_request[request_id] = ChatStreamShape(
            request_id=request_id,
            model=arrival.work.model,
            created=int(time.time()),
            include_usage=arrival.work.include_usage,
        )
        headers = {
            "Content-Type": "text/event-stream; charset=utf-8",
            "Cache-Control": "no-cache",
            "X-Request-Id": request_id,
        }
        self.fire(caller_stream_start(request_id, headers), "callers")

    def _stream_finished(self, action: StreamFinished) -> None:
        if action.request_id not in self._started_streams:
            self._start_stream(action.request_id)
        data = self._shapes_by_request[action.request_id].finished(
            finish_reason=action.finish_reason, usage=action.usage
        )
        self._end_stream(action.request_id, data, outcome="answered")

    def _stream_failed(self, action: StreamFailed) -> None:
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
        self.fire(caller_stream_data(request_id, data), "callers")
        self.fire(caller_stream_end(request_id), "callers")
        self._ended(request_id, outcome=outcome)

    def _answer_whole(self, action: AnswerWhole) -> None:
        arrival = self._arrivals_by_id[action.request_id]
        body = chat_completion(
            request_id=action.request_id,
            model=arrival.work.model,
            created=int(time.time()),
            tokens=action.tokens,
            finish_reason=action.finish_reason,
            usage=action.usage,
        )
        self._answer(CallerAnswer(request_id=action.request_id, status=200, body=body))

    def _answer_service(self, action: AnswerService) -> None:
        headers = {"Ryelever-Replayed": "true"} if action.replayed else {}
        self._answer(
            CallerAnswer(
                request_id=action.request_id,
                status=action.status,
                body=action.body,
                content_type=action.content_type,
                headers=headers,
            )
        )

    def _answer_models(self, request: CallerRequest) -> None:
        configuration = self._configuration.configuration
        names = []
        for name, model in sorted(configuration.models.items()):
            names.append(name)
            names += [f"{name}:{adapter}" for adapter in sorted(model.adapters)]
        body = models_list(names, created=0)
        self._answer(CallerAnswer(request_id=request.request_id, status=200, body=body))

    def _answer_error(self, request_id: str, error: RyeleverError) -> None:
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
        self._answer(answer, outcome=error.code)

    def _answer(self, answer: CallerAnswer, *, outcome: str = "answered") -> None:
        self.fire(caller_answer(answer), "callers")
        self._ended(answer.request_id, outcome=outcome)

    def _ended(self, request_id: str, *, outcome: str) -> None:
        self._metrics.count("requests", outcome)
        arrival = self._arrivals_by_id.get(request_id)
        if arrival is not None:
            self._metrics.observe("request", time.monotonic() - arrival.arrived_at)
        self._forget(request_id)

    def _forget(self, request_id: str) -> None:
        self._arrivals_by_id.pop(request_id, None)
        self._shapes_by_request.pop(request_id, None)
        self._started_streams.discard(request_id)

    # Backend servers

    @handler("outbound_head")
    def _on_outbound_head(self, head: AnswerHead) -> None:
        attempt = self._attempts_by_id.get(head.id)
        if attempt is not None:
            attempt.status = head.status

    @handler("outbound_data")
    def _on_outbound_data(self, message: AttemptData) -> None:
        attempt = self._attempts_by_id.get(message.id)
        if attempt is None:
            self._table.n_late_answers += 1
            return
        if attempt.status != 200:
            attempt.error_text += message.data[:500]
            return
        try:
            for data in attempt.splitter.feed(message.data):
                self._take_item(message.id, data)
        except (SseTooLongError, msgspec.DecodeError) as error:
            self._break_attempt(message.id, f"sent a broken stream: {error}")

    def _take_item(self, attempt_id: str, data: bytes) -> None:
        item = read_stream_item(data)
        now = time.monotonic()
        if item.error:
            self._break_attempt(attempt_id, f"broke off: {item.error}")
        elif item.finish_reason:
            self._attempts_by_id.pop(attempt_id, None)
            request_id = self._table.request_by_attempt.get(attempt_id, "")
            request = self._table.requests_by_id.get(request_id)
            usage = Usage(
                n_prompt_tokens=item.n_prompt_tokens,
                n_completion_tokens=len(request.delivered) if request else 0,
                n_cached_tokens=item.n_cached_tokens,
            )
            self._carry_out(
                self._table.finished(
                    attempt_id, finish_reason=item.finish_reason, usage=usage, now=now
                )
            )
        else:
            self._carry_out(
                self._table.tokens(
                    attempt_id, index=item.index, tokens=item.tokens, now=now
                )
            )

    @handler("outbound_end")
    def _on_outbound_end(self, attempt_id: str) -> None:
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is None:
            return
        if attempt.status == 200:
            self._break_attempt(attempt_id, "ended a stream without its last event")
            return
        refused = attempt.status in REFUSED_STATUSES
        text = bytes(attempt.error_text).decode("utf-8", "replace")
        self._break_attempt(
            attempt_id, f"answered {attempt.status}: {text}", refused=refused
        )

    @handler("outbound_answer")
    def _on_outbound_answer(self, answer: OutboundAnswer) -> None:
        if self._attempts_by_id.pop(answer.id, None) is None:
            self._table.n_late_answers += 1
            return
        self._carry_out(
            self._table.service_answered(
                answer.id,
                status=answer.status,
                content_type=answer.headers.get("content-type", ""),
                body=answer.body,
                now=time.monotonic(),
            )
        )

    @handler("outbound_failed")
    def _on_outbound_failed(self, failure: OutboundFailure) -> None:
        if self._attempts_by_id.pop(failure.id, None) is None:
            return
        self._fail(failure.id, failure.error, refused=not failure.bytes_sent)

    def _break_attempt(
        self, attempt_id: str, message: str, *, refused: bool = False
    ) -> None:
        attempt = self._attempts_by_id.pop(attempt_id, None)
        if attempt is None:
            return
        self.fire(outbound_cancel(attempt_id), "http_client")
        error = RyeleverError(
            f"{attempt.address} {message}",
            category=Category.UNAVAILABLE if refused else Category.BROKEN,
            step="generate",
            peer=attempt.address,
        )
        self._fail(attempt_id, error, refused=refused)

    def _fail(self, attempt_id: str, error: RyeleverError, *, refused: bool) -> None:
        log_event(
            "attempt_failed",
            attempt=attempt_id,
            request=self._table.request_by_attempt.get(attempt_id, ""),
            step=error.step,
            peer=error.peer,
            refused=refused,
            message=error.message,
        )
        error.run_state = RunState.NOT_RUN if refused else RunState.OUTCOME_UNKNOWN
        now = time.monotonic()
        self._carry_out(
            self._table.failed(attempt_id, error=error, refused=refused, now=now)
        )

    # The log and time

    @handler("claim_read_back")
    def _on_claim_read_back(self, message: ClaimReadBack) -> None:
        self._carry_out(
            self._table.claim_read_back(
                message.claim_id,
                claim=message.claim,
                is_first=message.is_first,
                now=time.monotonic(),
            )
        )

    @handler("serving_tick")
    def _on_serving_tick(self) -> None:
        self._carry_out(self._table.tick(now=time.monotonic()))


class _Attempt:
    """Hold what is read of one attempt's answer."""

    __slots__ = ("address", "error_text", "splitter", "status")

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.status = 0
        self.splitter = SseSplitter()
        self.error_text = bytearray()


def _ok(arrival: Arrival | None) -> Result[Arrival | None, RyeleverError]:
    return Ok(arrival)


def _error(
    message: str, *, category: Category, code: str
) -> Result[Arrival | None, RyeleverError]:
    return Error(
        RyeleverError(message, category=category, step="read_request", code=code)
    )
