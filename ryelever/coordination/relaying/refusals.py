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
    {"no_chance", "no_place", "queue_full", "limited", "paused"}
)

#: Reasons of refusals of contended requests for which no slot is expected in time.
ROOM_REASONS = frozenset({"no_chance", "no_place", "queue_full"})


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
        n_ahead: int | None = None,
        expected_wait: float | None = None,
        views_age: float | None = None,
    ) -> None:
        """Send the final answer of an accepted request that no server answered.

        Parameters
        ----------
        retry_after : float
            Seconds after which the caller should retry; sent only if the request was
            not run.
        n_ahead : int or None
            Waiting requests of all hosts that go before this one; None if unknown.
        expected_wait : float or None
            Seconds until the request was expected to be sent; None if unknown.
        views_age : float or None
            Age in seconds of the oldest heartbeat used; None if there was none.
        """
        if request.phase is RequestPhase.STREAMING:
            self._outbox.abort(request.number)
            request.phase = RequestPhase.ENDED
            self._reports.answered(request, status=0, now=now, reason=reason)
            return
        refusal = RelayRefusal(
            request_id=request.arrival.request_id,
            status=_status(request, reason),
            reason=reason,
            retry_after=None if request.may_have_run else retry_after,
        )
        self._outbox.refuse(request.number, refusal)
        request.phase = RequestPhase.ENDED
        fields = self._slot_fields(request, reason)
        if request.contended and reason in ROOM_REASONS:
            if refusal.status == 503:
                self._reports.refused_for_room(
                    model=request.arrival.model, rank=request.rank
                )
            fields |= _room_fields(
                refusal,
                rank=request.rank,
                n_ahead=n_ahead,
                expected_wait=expected_wait,
                views_age=views_age,
            )
        self._reports.answered(
            request,
            status=refusal.status,
            now=now,
            reason=reason,
            **fields,
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


def _room_fields(
    refusal: RelayRefusal,
    *,
    rank: tuple[int, int],
    n_ahead: int | None,
    expected_wait: float | None,
    views_age: float | None,
) -> dict[str, object]:
    """Return the log fields that tell why no slot was expected; skip unknown ones."""
    seconds = {
        "retry_after": refusal.retry_after,
        "expected_wait": expected_wait,
        "views_age": views_age,
    }
    fields: dict[str, object] = {"rank": list(rank)}
    if n_ahead is not None:
        fields["n_ahead"] = n_ahead
    for name, value in seconds.items():
        if value is not None:
            fields[name] = round(value, 3)
    return fields


def _status(request: RelayRequest, reason: str) -> int:
    """Return the status for a request without an answer; 503 promises "not run"."""
    if not request.may_have_run:
        return 503
    return 504 if reason == "too_late" else 502
