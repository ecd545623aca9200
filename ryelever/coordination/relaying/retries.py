"""Decide whether a request may be sent again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .request import RequestPhase

if TYPE_CHECKING:
    from .crashes import CrashWatch
    from .reports import RequestReports
    from .request import RelayRequest
    from .retry_budget import RelayRetryBudget

__all__ = ["Retries"]

#: Seconds that must be left before a request's timeout for another attempt to be
#: worthwhile.
MIN_RETRY_TIME = 0.15

#: Obstacle that may go while a request waits.
BUDGET = "budget"


class Retries:
    """Allow or refuse retries, and say in the log why one is refused."""

    __slots__ = ("_budget", "_crashes", "_reports")

    def __init__(
        self, *, budget: RelayRetryBudget, crashes: CrashWatch, reports: RequestReports
    ) -> None:
        self._budget = budget
        self._crashes = crashes
        self._reports = reports

    def allows(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether a request may be sent again now, and reserve the retry."""
        return not self.is_blocked(request, now=now) and self.reserve(request, now=now)

    def allows_or_defers(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether a request may be sent again now, or should wait until then.

        It should wait if its caller has the beginning of a stream, which would be
        broken off, and only the budget is in the way, which may allow it in time. A
        retry that is allowed now is reserved.
        """
        obstacle = self._find_obstacle(request, now=now)
        if obstacle:
            return obstacle == BUDGET and request.phase is RequestPhase.STREAMING
        return self.reserve(request, now=now)

    def is_blocked(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether a request may not be sent again now; reserve nothing."""
        return bool(self._find_obstacle(request, now=now))

    def _find_obstacle(self, request: RelayRequest, *, now: float) -> str:
        """Return why a request must not be sent again, and log a new reason."""
        obstacle = self._obstacle(request, now=now)
        if obstacle and obstacle != request.obstacle:
            self._reports.not_retried(request, obstacle, now=now)
        request.obstacle = obstacle
        return obstacle

    def reserve(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether the budget allows to send a request, and reserve a retry."""
        if request.n_sent and not request.has_reserved_retry:
            request.has_reserved_retry = self._budget.reserve(request.service, now=now)
            return request.has_reserved_retry
        return True

    def sent(self, request: RelayRequest, *, now: float) -> None:
        """Count a reserved retry that is sent now."""
        if request.has_reserved_retry:
            request.has_reserved_retry = False
            self._budget.sent(request.service, now=now)

    def unreached(self, request: RelayRequest) -> None:
        """Give back the retry of an attempt that reached no server."""
        if request.n_sent > 1:
            held = request.held_by_attempt.values()
            sent_at = max(request.sent_at, *(item.sent_at for item in held), 0.0)
            self._budget.withdraw(request.service, sent_at=sent_at)

    def release(self, request: RelayRequest) -> None:
        """Give back a reserved retry that is not needed now."""
        if request.has_reserved_retry:
            request.has_reserved_retry = False
            self._budget.release(request.service)

    def _obstacle(self, request: RelayRequest, *, now: float) -> str:
        """Return why a request must not be sent again; empty if it may be."""
        if request.may_have_run and not request.route.repeatable:
            return "may_have_run"
        if _n_counted(request) >= request.route.max_attempts:
            return "attempts"
        if request.times_out_at - now < MIN_RETRY_TIME:
            return "time"
        if self._crashes.verdict(request, now=now) is not None:
            return "quarantined"
        if request.n_sent and not request.has_reserved_retry:
            return "" if self._budget.has_room(request.service, now=now) else BUDGET
        return ""


def _n_counted(request: RelayRequest) -> int:
    """Return the attempts that count against the limit of the route.

    A rejection ends no stream that has begun, as the server has not run it.
    """
    if request.phase is RequestPhase.STREAMING:
        return request.n_sent - request.n_rejected
    return request.n_sent
