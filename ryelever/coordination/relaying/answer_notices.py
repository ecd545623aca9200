"""Record what the heads of answers state about their backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.leaving import LeavingServerRow

if TYPE_CHECKING:
    from .balance import Balancer
    from .messages import AnswerHead
    from .reports import RequestReports
    from .request import RelayRequest

__all__ = ["AnswerNotices"]


class AnswerNotices:
    """Record rate limits, pauses and departures that answers state, and log them."""

    __slots__ = ("_balancer", "_reports")

    def __init__(self, *, balancer: Balancer, reports: RequestReports) -> None:
        self._balancer = balancer
        self._reports = reports

    def record(self, request: RelayRequest, head: AnswerHead, *, now: float) -> None:
        """Record the statements of an answer from the server that was addressed."""
        self._record_limit(request, head, now=now)
        self._record_pause(request, head, now=now)
        if head.leaving:
            self._record_leaving(request, now=now)

    def _record_limit(
        self, request: RelayRequest, head: AnswerHead, *, now: float
    ) -> None:
        """Record the rate limit in an answer, or that a former limit has ended."""
        named = head.rate_limit
        if named is None and not head.signed:
            return
        if named is not None and named.rate is None:
            self._reports.limit_unreadable(request, named.text)
            return
        rate = None if named is None else named.rate
        has_changed = self._balancer.limits.record_answer(
            request.attempt.server_id, rate, sent_at=request.sent_at, now=now
        )
        if has_changed:
            self._reports.rate_limit(request, rate=rate)

    def _record_pause(
        self, request: RelayRequest, head: AnswerHead, *, now: float
    ) -> None:
        """Record the pause that the answer asks for."""
        pause = head.pause
        if pause is None:
            return
        if pause.seconds is None:
            self._reports.pause_unreadable(request, pause.text)
            return
        attempt = request.attempt
        self._balancer.pauses.record(
            attempt.server_id, attempt.started_at, seconds=pause.seconds, now=now
        )
        self._reports.server_paused(request, seconds=pause.seconds)

    def _record_leaving(self, request: RelayRequest, *, now: float) -> None:
        """Record that the server of a request is leaving."""
        row = LeavingServerRow(
            server_id=request.attempt.server_id, started_at=request.attempt.started_at
        )
        if self._balancer.mark_leaving(row, now=now):
            self._reports.server_leaving(request)
