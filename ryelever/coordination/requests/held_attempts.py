"""Keep silent attempts open while other attempts are tried."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions import CancelAttempt
from . import answers
from .state import HeldAttempt, RequestState

if TYPE_CHECKING:
    from ...errors import RyeleverError
    from ..actions import Action
    from .attempts import RequestAttempts
    from .state import Request

__all__ = ["HeldAttempts"]


class HeldAttempts:
    """Hold silent attempts until an attempt of the same request sends something.

    A group that sends nothing may be lost or may only be paused.  If its attempt were
    cancelled before another one has begun, a request whose other targets all refuse it
    would fail although its first group continues a moment later.
    """

    def __init__(self, *, attempts: RequestAttempts) -> None:
        self._attempts = attempts

    def hold(self, request: Request) -> None:
        """Keep the current attempt open while another one is tried."""
        request.held_by_id[request.attempt_id] = HeldAttempt(
            attempt_id=request.attempt_id, target=request.target, sent_at=request.since
        )
        request.attempt_id = ""

    def resume_newest(self, request: Request, *, now: float) -> None:
        """Wait for the newest held attempt because no other one is allowed."""
        self._resume(request, next(reversed(request.held_by_id)), now=now)

    def keep_only(
        self, request: Request, attempt_id: str, *, now: float
    ) -> list[Action]:
        """Continue with the attempt that has sent something; cancel the others."""
        if not request.held_by_id:
            return []
        actions: list[Action] = []
        if attempt_id in request.held_by_id:
            if request.attempt_id:
                # It was not silent for long enough to count as failed.
                actions.append(CancelAttempt(attempt_id=request.attempt_id))
                self._attempts.end(request, failed=False, now=now)
            self._resume(request, attempt_id, now=now)
        for held in list(request.held_by_id.values()):
            actions.append(CancelAttempt(attempt_id=held.attempt_id))
            error = answers.group_lost(held.target)
            self.failed(request, held.attempt_id, error=error, refused=False, now=now)
        return actions

    def failed(
        self,
        request: Request,
        attempt_id: str,
        *,
        error: RyeleverError,
        refused: bool,
        now: float,
    ) -> None:
        """End a held attempt that failed."""
        held = request.held_by_id[attempt_id]
        self._attempts.report_failure(
            held.target, error=error, refused=refused, now=now
        )
        self._attempts.end_attempt(
            request, attempt_id, held.target, failed=True, now=now
        )
        del request.held_by_id[attempt_id]

    def cancel_all(self, request: Request, *, now: float) -> list[Action]:
        """Cancel the held attempts of a request that ends."""
        actions: list[Action] = []
        for held in list(request.held_by_id.values()):
            actions.append(CancelAttempt(attempt_id=held.attempt_id))
            self._attempts.end_attempt(
                request, held.attempt_id, held.target, failed=False, now=now
            )
            del request.held_by_id[held.attempt_id]
        return actions

    def _resume(self, request: Request, attempt_id: str, *, now: float) -> None:
        held = request.held_by_id.pop(attempt_id)
        request.attempt_id = attempt_id
        request.target = held.target
        request.state = RequestState.SENT
        request.since = held.sent_at
        request.group_checked_at = now
