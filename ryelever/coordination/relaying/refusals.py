"""Send callers the answers that the entry host generates itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .actions import RelayRefusal
from .request import RequestPhase

if TYPE_CHECKING:
    from .actions import RelayOutbox
    from .balance import Balancer
    from .messages import RelayArrival
    from .reports import RequestReports
    from .request import RelayRequest
    from .waiting import WaitingRequests

__all__ = ["DEFAULT_RETRY_AFTER", "Refusals"]

#: Default seconds after which a refused caller should retry.
DEFAULT_RETRY_AFTER = 0.3

#: Reasons of refusals whose log line gives the numbers of servers and waiting requests.
NO_SLOT_REASONS = frozenset(
    {"limited", "no_chance", "no_place", "paused", "queue_full"}
)


class Refusals:
    """Refuse or end requests that get no answer from a backend server.

    Whether a refusal promises that the request was not run depends only on the outcomes
    of the attempts to send it.
    """

    __slots__ = ("_balancer", "_outbox", "_reports", "_waiting")

    def __init__(
        self,
        *,
        outbox: RelayOutbox,
        reports: RequestReports,
        balancer: Balancer,
        waiting: WaitingRequests,
    ) -> None:
        self._outbox = outbox
        self._reports = reports
        self._balancer = balancer
        self._waiting = waiting

    def refuse_on_arrival(
        self,
        number: int,
        arrival: RelayArrival,
        status: int,
        reason: str,
        *,
        version: int,
        retry_after: float = DEFAULT_RETRY_AFTER,
    ) -> None:
        """Refuse a request that was not accepted.

        Parameters
        ----------
        version : int
            Version of the configuration in use; -1 for none.
        retry_after : float
            Seconds after which the caller should retry; sent with status 503 only.
        """
        refusal = RelayRefusal(
            request_id=arrival.request_id,
            status=status,
            reason=reason,
            retry_after=retry_after if status == 503 else None,
        )
        self._outbox.refuse(number, refusal)
        self._reports.refused(refusal, version=version)

    def end_without_answer(
        self,
        request: RelayRequest,
        reason: str,
        *,
        now: float,
        retry_after: float = DEFAULT_RETRY_AFTER,
        **wait_fields: object,
    ) -> None:
        """Send the final answer of an accepted request that no server answered.

        Parameters
        ----------
        retry_after : float
            Seconds after which the caller should retry; sent only if the request was
            not run.
        **wait_fields : object
            Log fields about the expected wait of a request of a contended service.
        """
        if request.phase is RequestPhase.STREAMING:
            self._outbox.abort(request.number)
            self._reports.answered(request, status=0, now=now, reason=reason)
            return
        refusal = RelayRefusal(
            request_id=request.arrival.request_id,
            status=_status(request, reason),
            reason=reason,
            retry_after=None if request.may_have_run else retry_after,
        )
        self._outbox.refuse(request.number, refusal)
        self._reports.answered(
            request,
            status=refusal.status,
            now=now,
            reason=reason,
            **self._slot_fields(request, reason),
            **_retry_fields(refusal, wait_fields),
        )

    def _slot_fields(self, request: RelayRequest, reason: str) -> dict[str, object]:
        """Return log fields about servers and waiting requests if no slot was free."""
        if reason not in NO_SLOT_REASONS:
            return {}
        model = request.arrival.model
        return {
            "model": model,
            "n_servers": len(self._balancer.candidates(request.service, model)),
            "n_waiting": len(self._waiting),
        }


def _retry_fields(
    refusal: RelayRefusal, wait_fields: dict[str, object]
) -> dict[str, object]:
    """Return the log fields about the wait, with the caller's time to retry."""
    if not wait_fields or refusal.retry_after is None:
        return wait_fields
    return {"retry_after": round(refusal.retry_after, 3), **wait_fields}


def _status(request: RelayRequest, reason: str) -> int:
    """Return the status for a request without an answer; 503 promises "not run"."""
    if not request.may_have_run:
        return 503
    return 504 if reason == "too_late" else 502
