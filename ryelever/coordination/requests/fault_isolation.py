"""Confine an exception to the request in whose handling it is raised."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ..actions import Action, AnswerError, CancelAttempt, StreamFailed
from . import answers

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..admission import Admission
    from .attempts import RequestAttempts
    from .claims import RequestClaims
    from .state import Request
    from .steps import RequestSteps

__all__ = ["FaultIsolation"]


class FaultIsolation:
    """End the request whose handling raises an exception, and no other one.

    Attributes
    ----------
    report : callable or None
        Report an exception, given it and the request's id, which is empty if the
        exception concerns no single request.  If None, no exception is suppressed.
    """

    __slots__ = ("_admission", "_attempts", "_claims", "_steps", "report")

    def __init__(
        self,
        *,
        admission: Admission,
        attempts: RequestAttempts,
        claims: RequestClaims,
        steps: RequestSteps,
    ) -> None:
        self._admission = admission
        self._attempts = attempts
        self._claims = claims
        self._steps = steps
        self.report: Callable[[Exception, str], None] | None = None

    def handle(
        self, request: Request, step: Callable[..., list[Action]], *, now: float
    ) -> list[Action]:
        """Return the actions of a step; if it raises, those that end its request.

        Parameters
        ----------
        step : callable
            Handle a request, given it and the time.
        """
        try:
            return step(request, now=now)
        except Exception as error:
            return self.end(request.arrival.request_id, error, now=now)

    def collect(self, step: Callable[[], list]) -> list:
        """Return what a step yields that concerns no single request."""
        try:
            return step()
        except Exception as error:
            self._report(error, "")
            return []

    def end(self, request_id: str, error: Exception, *, now: float) -> list[Action]:
        """Report an exception and end its request, in whatever state that is.

        Parameters
        ----------
        request_id : str
            Empty if the exception concerns no single request.
        """
        self._report(error, request_id)
        if not request_id:
            return []
        request = self._steps.requests_by_id.get(request_id)
        if request is None:
            self.collect(partial(self._release, request_id, now=now))
            return [AnswerError(request_id=request_id, error=answers.fault())]
        # A lost action may have been to send the request.
        request.may_have_run |= bool(request.tried)
        actions: list[Action] = []
        for attempt_id in request.attempt_ids:
            actions.append(CancelAttempt(attempt_id=attempt_id))
            self.collect(partial(self._end_attempt, request, attempt_id, now=now))
        if request.claimed:
            actions += self.collect(partial(self._append_outcome, request))
        self.collect(partial(self._forget, request, now=now))
        self._steps.requests_by_id.pop(request_id, None)
        return [*actions, *_answer(request)]

    def _report(self, error: Exception, request_id: str) -> None:
        if self.report is None:
            raise error
        self.report(error, request_id)

    def _end_attempt(
        self, request: Request, attempt_id: str, *, now: float
    ) -> list[Action]:
        held = request.held_by_id.get(attempt_id)
        target = request.target if held is None else held.target
        self._attempts.end_attempt(request, attempt_id, target, failed=False, now=now)
        return []

    def _append_outcome(self, request: Request) -> list[Action]:
        return [self._claims.append_unanswered_outcome(request)]

    def _forget(self, request: Request, *, now: float) -> list[Action]:
        self._steps.forget(request, now=now)
        return []

    def _release(self, request_id: str, *, now: float) -> list[Action]:
        self._admission.release(request_id, now=now)
        return []


def _answer(request: Request) -> list[Action]:
    """Return the final answer of a request that an exception ends."""
    if request.caller_disconnected:
        return []
    request_id = request.arrival.request_id
    error = answers.fault()
    if request.streamed and request.delivered:
        return [StreamFailed(request_id=request_id, error=error)]
    return [AnswerError(request_id=request_id, error=error)]
