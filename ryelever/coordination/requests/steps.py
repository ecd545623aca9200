"""Take a request from one step to the next, down to its final answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...errors import Category
from ..actions import (
    Action,
    AnswerError,
    CancelAttempt,
    ChatWork,
    StreamFailed,
)
from ..quarantine import quarantine_error
from . import answers
from .state import RequestState

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...errors import RyeleverError
    from ...state.records import Outcome
    from ..admission import Admission
    from .attempts import RequestAttempts
    from .claims import RequestClaims
    from .state import Request, Timeouts

__all__ = ["RequestSteps"]


class RequestSteps:
    """Own the requests that have no final answer yet.

    Every way out of the table goes through ``end``, so that each request gets one
    final answer and leaves nothing behind.
    """

    def __init__(
        self,
        *,
        admission: Admission,
        attempts: RequestAttempts,
        claims: RequestClaims,
        retry_after: Callable[[], float],
        timeouts: Timeouts,
    ) -> None:
        self._admission = admission
        self._attempts = attempts
        self._claims = claims
        self._retry_after = retry_after
        self._timeouts = timeouts
        self.requests_by_id: dict[str, Request] = {}
        self.released = False

    # Towards an attempt

    def begin(self, request: Request, *, now: float) -> list[Action]:
        """Claim a non-repeatable request; send any other."""
        if request.arrival.repeatable:
            return self.dispatch(request, now=now)
        self.enter(request, RequestState.CLAIMING, now=now)
        return [self._claims.begin(request, now=now)]

    def dispatch(
        self, request: Request, *, now: float, tried: tuple[str, ...] | None = None
    ) -> list[Action]:
        """Send the next attempt, or wait for a target, or give up."""
        request.claim_deadline = float("inf")
        if now >= request.arrival.deadline:
            # A process that was paused reads its claim back long after the caller
            # gave up: what is past its deadline is never sent.
            return self.time_over(request, now=now)
        quarantined = self._attempts.verdict(request.arrival.fingerprint, now=now)
        if quarantined is not None:
            return self.fail(request, error=quarantine_error(quarantined), now=now)
        if tried is None:
            tried = request.tried
        send = self._attempts.start(request, tried=tried, now=now)
        if send is None:
            return self._no_target(request, now=now)
        self.enter(request, RequestState.SENT, now=now)
        return [send]

    def _no_target(self, request: Request, *, now: float) -> list[Action]:
        if request.error is None:
            error = answers.no_target(retry_after=self._retry_after())
            if not self._attempts.must_wait_for_suspects(request, now=now):
                return self.fail(request, error=error, now=now)
            request.error = error
        if request.state is not RequestState.RECOVERING:
            self.enter(request, RequestState.RECOVERING, now=now)
        return []

    def recover(self, request: Request, *, now: float) -> list[Action]:
        """Try again to find a target after an attempt has failed."""
        waited = now - request.since
        over = waited >= self._timeouts.recovery
        if over and not self._attempts.must_wait_for_suspects(request, now=now):
            return self.fail(request, error=request.error, now=now)
        harmless = not isinstance(request.arrival.work, ChatWork) or (
            request.error.category in (Category.TIMEOUT, Category.UNAVAILABLE)
        )
        pause = (
            self._timeouts.same_target_silent
            if harmless
            else self._timeouts.same_target
        )
        tried = () if waited >= pause else request.tried
        return self.dispatch(request, now=now, tried=tried)

    def attempt_failed(
        self, request: Request, *, error: RyeleverError, refused: bool, now: float
    ) -> list[Action]:
        """Retry after a failed attempt where that is safe; else end the request."""
        self._attempts.failed(request, error=error, refused=refused, now=now)
        request.error = error
        if not refused:
            request.may_have_run = True
        if not self._attempts.may_retry(request, now=now):
            return self.fail(request, error=error, now=now)
        return self.dispatch(request, now=now)

    def leave_lost(self, request: Request, *, now: float) -> list[Action]:
        """Give an attempt without a token up when its group is no longer whole.

        A frozen leader says nothing, so the attempt would wait until the timeout for
        first tokens, far longer than its group takes to stop counting as whole.
        Without a retry to spend the attempt is better left where it is.
        """
        if not request.arrival.repeatable or not self._attempts.is_lost(
            request, now=now
        ):
            return []
        if not self._attempts.may_retry(request, now=now):
            return []
        cancel = CancelAttempt(attempt_id=request.attempt_id)
        error = answers.group_lost(request)
        self._attempts.failed(request, error=error, refused=False, now=now)
        request.error = error
        request.may_have_run = True
        return [cancel, *self.dispatch(request, now=now)]

    # Towards the answer

    def time_over(self, request: Request, *, now: float) -> list[Action]:
        """End a request whose deadline, or whose claim's, has passed."""
        retry_after = self._retry_after()
        if request.state is RequestState.CLAIMING and not request.claimed:
            # Nothing was sent, and ``request_by_claim`` will not know the claim any
            # more, so nothing will be: should the append turn out to have taken
            # effect, the claim is released when it is read back.
            error = answers.claim_not_confirmed(retry_after=retry_after)
        else:
            error = answers.deadline_passed(request, retry_after=retry_after)
        return self.fail(request, error=error, now=now)

    def fail(
        self, request: Request, *, error: RyeleverError, now: float
    ) -> list[Action]:
        """End a request without its answer."""
        if request.attempt_id:
            request.may_have_run = True
        error.run_state = request.run_state
        if error.category is Category.UNAVAILABLE and error.retry_after is None:
            error.retry_after = self._retry_after()
        if not request.arrival.repeatable and not request.claimed:
            # Nothing was sent; but only an own claim, read back as the first,
            # shows that no other entry host has sent it either.
            refusal = self._claims.refuse(request.arrival, error)
            ended = self.end(request, answer=None, now=now)
            return ended if request.caller_disconnected else ended + refusal
        request_id = request.arrival.request_id
        answer: Action = AnswerError(request_id=request_id, error=error)
        if request.streamed and request.delivered:
            answer = StreamFailed(request_id=request_id, error=error)
        elif request.service_answer is not None and error is request.error:
            answer = request.service_answer
        return self.end(request, answer=answer, now=now)

    def end(
        self,
        request: Request,
        *,
        answer: Action | None,
        outcome: Outcome | None = None,
        now: float,
    ) -> list[Action]:
        """Take a request out of the tables with its one final answer."""
        actions: list[Action] = []
        if request.attempt_id:
            request.may_have_run = True
            actions.append(CancelAttempt(attempt_id=request.attempt_id))
            self._attempts.end(request, failed=not request.caller_disconnected, now=now)
        if outcome is not None:
            actions.append(self._claims.append(outcome))
        elif request.claimed:
            actions.append(self._claims.end_unanswered(request))
        self.forget(request, now=now)
        if answer is not None and not request.caller_disconnected:
            actions.append(answer)
        return actions

    # Helpers

    def forget(self, request: Request, *, now: float) -> None:
        """Take a request out of the tables."""
        self._claims.forget(request)
        del self.requests_by_id[request.arrival.request_id]
        self._admission.release(request.arrival.request_id, now=now)
        self.released = True

    def enter(self, request: Request, state: RequestState, *, now: float) -> None:
        """Take note of the step that a request enters."""
        request.state = state
        request.since = now
