"""Manage each request from its arrival to its single final answer.

The request table receives events with their time and returns actions.  It keeps
three rules:

* A caller is answered ``not_run`` only if no byte of the request was sent to a backend
  server, or the backend server itself refused the request; with an idempotency key,
  only if the log shows that this is also true of every earlier request with the same
  key.
* A non-repeatable request is sent only after its claim was read back as the first
  claim of the key, and is never sent again once its first byte was sent.
* Answers are matched by attempt: an answer to an attempt that has ended is dropped
  and counted.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...errors import RyeleverError
from ..actions import (
    Action,
    AnswerError,
    AnswerService,
    CancelAttempt,
    StreamTokens,
    Usage,
)
from ..admission import Queued, Refused
from ..quarantine import quarantine_error
from . import answers
from .attempts import RequestAttempts
from .claims import ClaimsView, RequestClaims
from .fault_isolation import FaultIsolation
from .state import Request, RequestState, Timeouts
from .steps import RequestSteps

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.configuration import ClientAccount
    from ...state.records import Claim
    from ..actions import Arrival
    from ..admission import Admission
    from ..routing import AttemptFeedback, RetryPolicy, Router

__all__ = ["ClaimsView", "Request", "RequestState", "RequestTable", "Timeouts"]

#: HTTP statuses of a plain service after which a repeatable call is retried.
RETRIED_STATUSES = frozenset({502, 503, 504})


class RequestTable:
    """Keep all open requests of one entry host and decide their next actions.

    Parameters
    ----------
    admission, router, retry_policy, claims : Protocol types
        Policies for queueing, targets, retries and claims.
    account : callable
        Return a client account by name, or None when it is no longer declared.
    new_id : callable
        Return a new unique id.
    retry_after : callable
        Return the seconds after which a caller should retry when no backend server
        can serve its request.
    timeouts : Timeouts
        Time limits of the steps.
    feedback : AttemptFeedback or None
        Receives the results of attempts and reports quarantined requests.

    Attributes
    ----------
    faults : FaultIsolation
        Ends the request whose handling raises an exception.
    """

    def __init__(
        self,
        *,
        admission: Admission,
        router: Router,
        retry_policy: RetryPolicy,
        claims: ClaimsView,
        account: Callable[[str], ClientAccount | None],
        new_id: Callable[[], str],
        retry_after: Callable[[], float],
        timeouts: Timeouts | None = None,
        feedback: AttemptFeedback | None = None,
    ) -> None:
        self._admission = admission
        self._account = account
        self._retry_after = retry_after
        self._timeouts = timeouts or Timeouts()
        self._claims = RequestClaims(
            claims=claims,
            new_id=new_id,
            retry_after=retry_after,
            timeout=self._timeouts.claim,
        )
        self._attempts = RequestAttempts(
            router=router,
            retry_policy=retry_policy,
            new_id=new_id,
            feedback=feedback,
        )
        self._steps = RequestSteps(
            admission=admission,
            attempts=self._attempts,
            claims=self._claims,
            retry_after=retry_after,
            timeouts=self._timeouts,
        )
        self.requests_by_id = self._steps.requests_by_id
        self.faults = FaultIsolation(
            admission=admission,
            attempts=self._attempts,
            claims=self._claims,
            steps=self._steps,
        )

    @property
    def n_late_answers(self) -> int:
        """Return the number of answers received for attempts that had ended."""
        return self._attempts.n_late_answers

    @property
    def n_retries(self) -> int:
        """Return the number of retries that were allowed after failed attempts."""
        return self._attempts.n_retries

    def n_tracked(self) -> int:
        """Return the number of entries in all tables; 0 when nothing is in flight."""
        return (
            len(self.requests_by_id)
            + len(self._attempts.request_by_attempt)
            + len(self._claims.request_by_claim)
        )

    def count_late_answer(self) -> None:
        """Count an answer received for an attempt that has ended."""
        self._attempts.n_late_answers += 1

    def request_of_attempt(self, attempt_id: str) -> Request | None:
        """Return the request of an open attempt; otherwise count a late answer."""
        request_id = self._attempts.request_id(attempt_id)
        return None if request_id is None else self.requests_by_id[request_id]

    def request_id_of_attempt(self, attempt_id: str) -> str:
        """Return the request id of an open attempt; empty if it has ended."""
        return self._attempts.request_by_attempt.get(attempt_id, "")

    def request_id_of_claim(self, claim_id: str) -> str:
        """Return the id of the request that waits for a claim; empty if none does."""
        return self._claims.request_by_claim.get(claim_id, "")

    # Events from the caller

    def arrive(self, arrival: Arrival, *, now: float) -> list[Action]:
        """Claim, send, queue or refuse a new request, or replay its answer."""
        account = self._account(arrival.client_account)
        if account is None:
            return self.refuse(arrival, answers.unknown_account())
        if not arrival.repeatable:
            known = self.answer_from_claim(arrival)
            if known:
                return known
            if not self._claims.available(now=now):
                error = answers.log_unavailable(retry_after=self._retry_after())
                return self.refuse(arrival, error)
        quarantined = self._attempts.verdict(arrival, now=now)
        if quarantined is not None:
            return self.refuse(arrival, quarantine_error(quarantined))
        decision = self._admission.admit(arrival, account, now=now)
        if isinstance(decision, Refused):
            return self.refuse(arrival, answers.limited(decision))
        request = Request(arrival=arrival, state=RequestState.QUEUED, since=now)
        self.requests_by_id[arrival.request_id] = request
        if isinstance(decision, Queued):
            return []
        return self._steps.begin(request, now=now)

    def caller_disconnected(self, request_id: str, *, now: float) -> list[Action]:
        """Cancel the request of a caller that closed its connection.

        A non-repeatable request that was sent continues, since its outcome must be
        known when the caller sends it again.
        """
        request = self.requests_by_id.get(request_id)
        if request is None:
            return []
        request.caller_disconnected = True
        if not request.arrival.repeatable and request.attempt_id:
            return []
        return self._steps.end(request, answer=None, now=now)

    # Events from the log

    def claim_read_back(
        self, claim_id: str, *, claim: Claim, is_first: bool, now: float
    ) -> list[Action]:
        """Handle a claim of this entry host that was read back from the log."""
        request_id = self._claims.pop_waiting_request(claim_id)
        if request_id is None:
            # The request ended before its claim was read back and will not run, so
            # its key is freed; otherwise a resend would wait for an outcome for ever.
            return [self._claims.free_key(claim)] if is_first else []
        request = self.requests_by_id[request_id]
        if not is_first:
            known = self.answer_from_claim(request.arrival)
            error = answers.claim_lost(retry_after=self._retry_after())
            self._steps.forget(request, now=now)
            return known or [_error(request.arrival, error)]
        request.claimed = True
        return self._steps.dispatch(request, now=now)

    # Events from backend servers

    def tokens(
        self, attempt_id: str, *, index: int, tokens: tuple[str, ...], now: float
    ) -> list[Action]:
        """Deliver tokens, the first of which has position ``index`` in the answer.

        Tokens that were delivered already are dropped.
        """
        request = self.request_of_attempt(attempt_id)
        if request is None:
            return []
        n_delivered = len(request.delivered)
        if index > n_delivered:
            return self._break_at_gap(request, attempt_id, index=index, now=now)
        fresh = tokens[n_delivered - index :]
        if not fresh:
            return []
        actions = self._steps.attempt_progressed(request, attempt_id, now=now)
        request.delivered.extend(fresh)
        request.may_have_run = True
        if request.state is not RequestState.STREAMING:
            self._attempts.first_token(request, now=now)
            self._steps.enter_state(request, RequestState.STREAMING, now=now)
        self._attempts.progressed(request, now=now)
        if request.streamed and not request.caller_disconnected:
            request_id = request.arrival.request_id
            actions.append(StreamTokens(request_id=request_id, tokens=fresh))
        return actions

    def finished(
        self, attempt_id: str, *, finish_reason: str, usage: Usage, now: float
    ) -> list[Action]:
        """End a request whose generation has finished."""
        request = self.request_of_attempt(attempt_id)
        if request is None:
            return []
        actions = self._steps.attempt_progressed(request, attempt_id, now=now)
        self._attempts.answered(request, now=now)
        outcome = None
        if request.claimed:
            outcome = answers.chat_outcome(
                request,
                finish_reason=finish_reason,
                usage=usage,
                owner=self._claims.owner,
            )
        answer = answers.complete_answer(
            request, finish_reason=finish_reason, usage=usage
        )
        ended = self._steps.end(request, answer=answer, outcome=outcome, now=now)
        return actions + ended

    def service_answered(
        self,
        attempt_id: str,
        *,
        status: int,
        content_type: str,
        body: bytes,
        not_run: bool = False,
        now: float,
    ) -> list[Action]:
        """Handle the complete answer of a plain service.

        Parameters
        ----------
        not_run : bool
            True when the service's answer states that it did not run the call.
        """
        request = self.request_of_attempt(attempt_id)
        if request is None:
            return []
        answer = AnswerService(
            request_id=request.arrival.request_id,
            status=status,
            content_type=content_type,
            body=body,
        )
        if not_run or (request.arrival.repeatable and status in RETRIED_STATUSES):
            return self._service_failed(
                request, attempt_id, answer, not_run=not_run, now=now
            )
        actions = self._steps.attempt_progressed(request, attempt_id, now=now)
        self._attempts.answered(request, now=now)
        outcome = None
        if request.claimed:
            outcome = answers.service_outcome(request, answer, owner=self._claims.owner)
        ended = self._steps.end(request, answer=answer, outcome=outcome, now=now)
        return actions + ended

    def failed(
        self, attempt_id: str, *, error: RyeleverError, refused: bool, now: float
    ) -> list[Action]:
        """Handle the failure of an attempt.

        Parameters
        ----------
        refused : bool
            True when no byte of the request was sent, or the backend server itself
            answered that it did not run the request.
        """
        request = self.request_of_attempt(attempt_id)
        if request is None:
            return []
        request.service_answer = None
        return self._steps.attempt_failed(
            request, attempt_id, error=error, refused=refused, now=now
        )

    # Time

    def tick(self, *, now: float) -> list[Action]:
        """Start queued requests, end expired ones and retry failed attempts."""
        actions: list[Action] = []
        expired = self.faults.collect(lambda: self._admission.expired(now=now))
        for request_id, refused in expired:
            request = self._queued_request(request_id)
            if request is not None:
                fail = partial(self._steps.fail, error=answers.limited(refused))
                actions += self.faults.handle(request, fail, now=now)
        actions += self._admit_ready(now=now)
        for request in list(self.requests_by_id.values()):
            actions += self.faults.handle(request, self._tick_request, now=now)
        return actions

    def _tick_request(self, request: Request, *, now: float) -> list[Action]:
        if now >= request.arrival.deadline or now >= request.claim_deadline:
            return self._steps.expire(request, now=now)
        if request.state is RequestState.RECOVERING:
            return self._steps.recover(request, now=now)
        if request.state is RequestState.SENT:
            return self._steps.try_beside_lost_attempt(request, now=now)
        return []

    def admit_after_release(self, *, now: float) -> list[Action]:
        """Start queued requests if any request has ended since the last check.

        If queued requests were started only at the next tick, a free slot would be idle
        for half a tick on average while callers wait.
        """
        if not self._steps.slot_released:
            return []
        return self._admit_ready(now=now)

    def end_all(self, *, now: float) -> list[Action]:
        """End every request with an error because the process is shutting down."""
        actions: list[Action] = []
        for request in list(self.requests_by_id.values()):
            actions += self.faults.handle(request, self._shut_down, now=now)
        return actions

    def _shut_down(self, request: Request, *, now: float) -> list[Action]:
        error = answers.shutting_down(request, retry_after=self._retry_after())
        return self._steps.fail(request, error=error, now=now)

    def refuse(self, arrival: Arrival, error: RyeleverError) -> list[Action]:
        """Refuse a request that never entered the table."""
        return self._claims.refuse(arrival, error)

    def answer_from_claim(self, arrival: Arrival) -> list[Action]:
        """Answer a resend from the claim of its key; empty if the key is unclaimed."""
        return self._claims.answer_from_claim(arrival)

    # Helpers

    def _admit_ready(self, *, now: float) -> list[Action]:
        self._steps.slot_released = False
        actions: list[Action] = []
        for request_id in self.faults.collect(lambda: self._admission.ready(now=now)):
            request = self._queued_request(request_id)
            if request is not None:
                actions += self.faults.handle(request, self._steps.begin, now=now)
        return actions

    def _service_failed(
        self,
        request: Request,
        attempt_id: str,
        answer: AnswerService,
        *,
        not_run: bool,
        now: float,
    ) -> list[Action]:
        # If no later attempt succeeds, the caller receives the service's own answer,
        # unless the caller must be told that the call was not run.
        request.service_answer = None if not_run else answer
        error = answers.service_failed(
            request, answer, not_run=not_run, retry_after=self._retry_after()
        )
        return self._steps.attempt_failed(
            request, attempt_id, error=error, refused=not_run, now=now
        )

    def _break_at_gap(
        self, request: Request, attempt_id: str, *, index: int, now: float
    ) -> list[Action]:
        # Delivering past a gap would give the caller an answer with tokens missing
        # unnoticed.  The attempt fails, and another attempt resumes the answer.
        error = answers.tokens_missing(request, index=index)
        cancel = CancelAttempt(attempt_id=attempt_id)
        failed = self._steps.attempt_failed(
            request, attempt_id, error=error, refused=False, now=now
        )
        return [cancel, *failed]

    def _queued_request(self, request_id: str) -> Request | None:
        request = self.requests_by_id.get(request_id)
        is_queued = request is not None and request.state is RequestState.QUEUED
        return request if is_queued else None


def _error(arrival: Arrival, error: RyeleverError) -> AnswerError:
    return AnswerError(request_id=arrival.request_id, error=error)
