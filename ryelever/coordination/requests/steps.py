"""Move requests from step to step until their final answer."""

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
from .attempts import MAX_STREAM_ATTEMPTS
from .held_attempts import HeldAttempts
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
    """Keep the open requests and move each to its next step.

    A request leaves the table through ``end``, or through ``forget`` if its claim was
    not read back as the first claim of its key.  A request therefore leaves no entry in
    any table, and a caller that is still connected gets exactly one final answer.
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
        self._held = HeldAttempts(attempts=attempts)
        self._claims = claims
        self._retry_after = retry_after
        self._timeouts = timeouts
        self.requests_by_id: dict[str, Request] = {}
        self.slot_released = False

    # Steps up to an attempt

    def begin(self, request: Request, *, now: float) -> list[Action]:
        """Claim a non-repeatable request, or send a repeatable one."""
        if request.arrival.repeatable:
            return self.dispatch(request, now=now)
        self.enter_state(request, RequestState.CLAIMING, now=now)
        return [self._claims.append_claim(request, now=now)]

    def dispatch(
        self, request: Request, *, now: float, tried: tuple[str, ...] | None = None
    ) -> list[Action]:
        """Send the next attempt, wait for a target, or end the request."""
        request.claim_deadline = float("inf")
        if now >= request.arrival.deadline:
            # A process that was paused may read its claim back long after the caller
            # stopped waiting.  A request past its deadline is never sent.
            return self.expire(request, now=now)
        quarantined = self._attempts.verdict(request.arrival, now=now)
        if quarantined is not None:
            return self.fail(request, error=quarantine_error(quarantined), now=now)
        if tried is None:
            tried = request.tried
        send = self._attempts.start(request, tried=tried, now=now)
        if send is None:
            return self._no_target(request, now=now)
        self.enter_state(request, RequestState.SENT, now=now)
        return [send]

    def _no_target(self, request: Request, *, now: float) -> list[Action]:
        if request.error is None:
            error = answers.no_target(retry_after=self._retry_after())
            if not self._attempts.must_wait(request, now=now):
                return self.fail(request, error=error, now=now)
            request.error = error
        if request.state is not RequestState.RECOVERING:
            self.enter_state(request, RequestState.RECOVERING, now=now)
        return []

    def recover(self, request: Request, *, now: float) -> list[Action]:
        """Send a waiting request again, or end it after the recovery timeout.

        A request of which tokens were received may wait until its deadline, and so may
        one that waits for suspects of a crash or for a verdict.
        """
        if now < request.paused_until:
            return []
        waited = now - request.since
        timed_out = waited >= self._timeouts.recovery and not request.delivered
        if timed_out and not self._attempts.must_wait(request, now=now):
            return self._wait_or_fail(request, now=now)
        server_may_be_healthy = not isinstance(request.arrival.work, ChatWork) or (
            request.error.category in (Category.TIMEOUT, Category.UNAVAILABLE)
        )
        pause = (
            self._timeouts.same_target_silent
            if server_may_be_healthy
            else self._timeouts.same_target
        )
        # The router prefers a target that was not tried to those of held attempts.
        held = tuple(held.target.name for held in request.held_by_id.values())
        tried = held if waited >= pause else request.tried
        return self.dispatch(request, now=now, tried=tried)

    def attempt_failed(
        self,
        request: Request,
        attempt_id: str,
        *,
        error: RyeleverError,
        refused: bool,
        now: float,
    ) -> list[Action]:
        """Retry a failed attempt if that is safe and allowed, or end the request."""
        request.n_refused += refused
        if attempt_id in request.held_by_id:
            self._held.failed(
                request, attempt_id, error=error, refused=refused, now=now
            )
            return []
        self._attempts.failed(request, error=error, refused=refused, now=now)
        request.error = error
        if not refused:
            request.may_have_run = True
        if not self._attempts.may_retry(request, now=now):
            return self._wait_or_fail(request, now=now)
        if refused and request.delivered:
            request.paused_until = now + self._pause_after_refusals(request)
        if now < request.paused_until:
            return self._no_target(request, now=now)
        return self.dispatch(request, now=now)

    def _pause_after_refusals(self, request: Request) -> float:
        # Streams wait for a target with room until their deadlines.  Without a pause,
        # the streams of a lost group would go round full groups without end.
        n_excess = len(request.tried) - MAX_STREAM_ATTEMPTS + 1
        pause = max(0, n_excess) * self._timeouts.same_target_silent
        return min(pause, self._timeouts.same_target)

    def _wait_or_fail(self, request: Request, *, now: float) -> list[Action]:
        """Wait for a held attempt, or end a request that has no other attempt."""
        if not request.held_by_id:
            return self.fail(request, error=request.error, now=now)
        self._held.resume_newest(request, now=now)
        return []

    def attempt_progressed(
        self, request: Request, attempt_id: str, *, now: float
    ) -> list[Action]:
        """Continue with the attempt that has sent something; cancel the others."""
        return self._held.keep_only(request, attempt_id, now=now)

    def try_beside_lost_attempt(self, request: Request, *, now: float) -> list[Action]:
        """Send another attempt beside one without a token if its group is lost.

        A group is lost if it is incomplete while another target can serve.  A frozen
        rank 0 sends nothing, so the attempt would wait for the first-token timeout,
        much longer than the group takes to count as incomplete.  A group that is only
        paused looks the same, so the attempt is held until another one has begun.
        """
        if not request.arrival.repeatable or not self._attempts.is_lost(
            request, now=now
        ):
            return []
        if not self._attempts.may_retry(request, now=now):
            return []
        request.error = answers.group_lost(request.target)
        request.may_have_run = True
        self._held.hold(request)
        return self.dispatch(request, now=now)

    # Steps to the final answer

    def expire(self, request: Request, *, now: float) -> list[Action]:
        """End a request whose deadline or claim deadline has passed."""
        retry_after = self._retry_after()
        if request.state is RequestState.CLAIMING and not request.claimed:
            # The request was not sent, and will not be, because ``request_by_claim``
            # forgets its claim.  If the append did take effect, the key is freed when
            # the claim is read back.
            error = answers.claim_not_confirmed(retry_after=retry_after)
        else:
            error = answers.deadline_passed(request, retry_after=retry_after)
        return self.fail(request, error=error, now=now)

    def fail(
        self, request: Request, *, error: RyeleverError, now: float
    ) -> list[Action]:
        """End a request with an error or with the service's last answer."""
        if request.attempt_id:
            request.may_have_run = True
        error.run_state = request.run_state
        if error.category is Category.UNAVAILABLE and error.retry_after is None:
            error.retry_after = self._retry_after()
        if not request.arrival.repeatable and not request.claimed:
            # This host has not sent the request, but only a claim of this host that
            # was read back as the first shows that no other entry host has sent it.
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
        """Remove a request from the tables and return its single final answer."""
        actions = self._held.cancel_all(request, now=now)
        if request.attempt_id:
            request.may_have_run = True
            actions.append(CancelAttempt(attempt_id=request.attempt_id))
            self._attempts.end(request, failed=not request.caller_disconnected, now=now)
        if outcome is not None:
            actions.append(self._claims.append_outcome(outcome))
        elif request.claimed:
            actions.append(self._claims.append_unanswered_outcome(request))
        self.forget(request, now=now)
        if answer is not None and not request.caller_disconnected:
            actions.append(answer)
        return actions

    # Helpers

    def forget(self, request: Request, *, now: float) -> None:
        """Remove a request from the tables and release its admission slot."""
        self._claims.forget(request)
        self._admission.release(request.arrival.request_id, now=now)
        self.slot_released = True
        del self.requests_by_id[request.arrival.request_id]

    def enter_state(self, request: Request, state: RequestState, *, now: float) -> None:
        """Set the step of a request and the time at which it was entered."""
        request.state = state
        request.since = now
