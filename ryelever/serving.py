"""Serve callers: connect the request table to the transports."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .arrivals import ArrivalReader
from .attempts import Attempts
from .caller_answers import CallerAnswers
from .coordination.actions import (
    AnswerComplete,
    AnswerError,
    AnswerService,
    AppendRecord,
    CancelAttempt,
    SendAttempt,
    StreamFailed,
    StreamFinished,
    StreamTokens,
)
from .errors import Category, RyeleverError
from .events import CallerAnswer, append_record, caller_answer, request_fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.actions import Action, Arrival
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
    from .server_access import ServerAccess
    from .settings import Settings
    from .state.configuration_fold import ConfigurationFold

__all__ = ["Serving"]


class Serving(BaseComponent):
    """Handle the requests of callers and carry out the request table's decisions.

    Parameters
    ----------
    table : RequestTable
        Requests in flight; decides on each event which actions follow.
    configuration : ConfigurationFold
        Configuration in force.
    pages : dict of str to callable
        Functions that answer operators' requests, by path.  Each takes the request
        and returns the answer, or None if the answer is sent later.
    log_time : callable
        Return the newest append time among the claims that were read from the log.
    access : ServerAccess
        Decides which requests go by way of another entry host.

    Attributes
    ----------
    draining : bool
        True from the start of the graceful shutdown; requests are still accepted.
    closed : bool
        True once new requests are refused.
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
        log_time: Callable[[], float],
        access: ServerAccess,
    ) -> None:
        super().__init__()
        self._table = table
        self._metrics = metrics
        self._pages = pages
        self._reader = ArrivalReader(
            settings=settings, configuration=configuration, log_time=log_time
        )
        self._answers = CallerAnswers(fire=self.fire, metrics=metrics)
        self._attempts = Attempts(
            settings=settings, table=table, fire=self.fire, access=access
        )
        table.faults.report = self._report_fault
        self._stalled: set[str] = set()
        self.draining = False
        self.closed = False

    # Callers

    @handler("caller_request")
    def _on_caller_request(self, request: CallerRequest) -> None:
        self._run(request.request_id, lambda: self._handle_request(request))

    def _handle_request(self, request: CallerRequest) -> list[Action]:
        page = self._pages.get(request.path)
        if page is not None:
            answer = page(request)
            if answer is not None:
                self.fire(caller_answer(answer), "callers")
            return []
        arrival = self._reader.read(request)
        if arrival.is_error():
            self._answers.answer_error(request.request_id, arrival.error)
            return []
        if arrival.ok is None:
            self._answer_models(request)
            return []
        return self._handle_arrival(arrival.ok)

    def _handle_arrival(self, arrival: Arrival) -> list[Action]:
        self._answers.expect(arrival)
        if not self.closed:
            return self._table.arrive(arrival, now=time.monotonic())
        error = RyeleverError(
            "this entry host is shutting down; ask again",
            category=Category.UNAVAILABLE,
            step="admit",
            code="draining",
            retry_after=1.0,
        )
        return self._table.refuse(arrival, error)

    def _answer_models(self, request: CallerRequest) -> None:
        answer = self._reader.models_answer(request)
        if answer.is_error():
            self._answers.answer_error(request.request_id, answer.error)
            return
        self._answers.answer(
            CallerAnswer(request_id=request.request_id, status=200, body=answer.ok)
        )

    @handler("caller_disconnected")
    def _on_caller_disconnected(self, request_id: str) -> None:
        self._run(request_id, lambda: self._forget_caller(request_id))
        if request_id in self._stalled:
            self._set_flow(request_id, stop=False)

    def _forget_caller(self, request_id: str) -> list[Action]:
        self._answers.forget(request_id)
        return self._table.caller_disconnected(request_id, now=time.monotonic())

    @handler("caller_stalled")
    def _on_caller_stalled(self, request_id: str, stalled: bool) -> None:
        if request_id in self._table.requests_by_id:
            self._set_flow(request_id, stop=stalled)

    def _set_flow(self, request_id: str, *, stop: bool) -> None:
        if stop:
            self._stalled.add(request_id)
        else:
            self._stalled.discard(request_id)
        request = self._table.requests_by_id.get(request_id)
        for attempt_id in request.attempt_ids if request is not None else ():
            self._attempts.set_flow(attempt_id, stop=stop)

    # Actions

    def _run(self, request_id: str, step: Callable[[], list[Action]]) -> None:
        """Carry out what a step decides; an exception in it ends its request.

        Without its end the caller would wait until its own timeout.

        Parameters
        ----------
        request_id : str
            Empty if the step concerns no single request.
        """
        try:
            actions = step()
        except Exception as error:
            actions = self._end_after_fault(request_id, error)
        self._execute(actions)
        while admitted_actions := self._table.admit_after_release(now=time.monotonic()):
            self._execute(admitted_actions)

    def _run_for_attempt(
        self, attempt_id: str, step: Callable[[], list[Action]]
    ) -> None:
        self._run(self._table.request_id_of_attempt(attempt_id), step)

    def _end_after_fault(self, request_id: str, error: Exception) -> list[Action]:
        return self._table.faults.end(request_id, error, now=time.monotonic())

    def _report_fault(self, error: Exception, request_id: str) -> None:
        self.fire(request_fault(error, request_id), "faults")
        # Actions of a step that raises are lost, and with them cancellations.
        self._attempts.cancel_all(request_id)

    def _execute(self, actions: list[Action]) -> None:
        ended: set[str] = set()
        for action in actions:
            is_cancel = isinstance(action, CancelAttempt)
            if ended and not is_cancel and self._request_id(action) in ended:
                continue
            try:
                self._carry_out(action)
            except Exception as error:
                request_id = self._request_id(action)
                if is_cancel and request_id not in self._table.requests_by_id:
                    # Its answer is one of the next actions.
                    self._report_fault(error, request_id)
                else:
                    ended |= {request_id} - {""}
                    self._execute_end(request_id, error)

    def _execute_end(self, request_id: str, error: Exception) -> None:
        """End a request of which an action could not be carried out."""
        for action in self._end_after_fault(request_id, error):
            try:
                self._carry_out(action)
            except Exception as second_error:
                self._report_fault(second_error, request_id)

    def _request_id(self, action: Action) -> str:
        """Return the id of an action's request; empty if none is known."""
        match action:
            case SendAttempt():
                return action.arrival.request_id
            case CancelAttempt():
                return self._attempts.request_id(action.attempt_id)
            case _:
                return getattr(action, "request_id", "")

    def _carry_out(self, action: Action) -> None:
        match action:
            case StreamTokens():
                self._answers.stream_tokens(action)
            case SendAttempt():
                self._send_attempt(action)
            case CancelAttempt():
                self._attempts.cancel(action.attempt_id)
            case AnswerError():
                self._answers.answer_error(action.request_id, action.error)
            case AnswerComplete():
                self._answers.answer_complete(action)
            case AnswerService():
                self._answers.answer_service(action)
            case StreamFinished():
                self._answers.stream_finished(action)
            case StreamFailed():
                self._answers.stream_failed(action)
            case AppendRecord():
                self.fire(append_record(action), "streams")

    def _send_attempt(self, action: SendAttempt) -> None:
        self._metrics.count("attempts")
        self._attempts.send(action)
        if action.arrival.request_id in self._stalled:
            # The caller stalled during an earlier attempt.  This attempt's answer is
            # not read either, since it would be buffered in memory.
            self._attempts.set_flow(action.attempt_id, stop=True)

    # Backend servers

    @handler("outbound_head")
    def _on_outbound_head(self, head: AnswerHead) -> None:
        self._run_for_attempt(head.id, lambda: self._attempts.head(head))

    @handler("outbound_data")
    def _on_outbound_data(self, message: AttemptData) -> None:
        self._run_for_attempt(message.id, lambda: self._attempts.data(message))

    @handler("outbound_end")
    def _on_outbound_end(self, attempt_id: str) -> None:
        self._run_for_attempt(attempt_id, lambda: self._attempts.end(attempt_id))

    @handler("outbound_answer")
    def _on_outbound_answer(self, answer: OutboundAnswer) -> None:
        self._run_for_attempt(answer.id, lambda: self._attempts.answer(answer))

    @handler("outbound_failed")
    def _on_outbound_failed(self, failure: OutboundFailure) -> None:
        self._run_for_attempt(failure.id, lambda: self._attempts.failed(failure))

    # The log, ticks and shutdown

    @handler("claim_read_back")
    def _on_claim_read_back(self, message: ClaimReadBack) -> None:
        self._run(
            self._table.request_id_of_claim(message.claim_id),
            lambda: self._table.claim_read_back(
                message.claim_id,
                claim=message.claim,
                is_first=message.is_first,
                now=time.monotonic(),
            ),
        )

    @handler("serving_tick")
    def _on_serving_tick(self) -> None:
        self._run("", lambda: self._table.tick(now=time.monotonic()))
        self._stalled &= self._table.requests_by_id.keys()

    @handler("end_requests")
    def _on_end_requests(self) -> None:
        self.closed = True
        self._run("", lambda: self._table.end_all(now=time.monotonic()))
