"""Hold the requests that wait for a free slot at a backend server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .fair_order import FairOrder
from .request import RequestPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.observations import WaitingRow
    from .rate_limits import Allowance
    from .request import RelayRequest

__all__ = [
    "DEFAULT_ANSWER",
    "MAX_LIMITED_WAIT",
    "MAX_WAIT",
    "MAX_WAITING",
    "MAX_WAITING_PER_ACCOUNT",
    "WaitingRequests",
    "seconds_to_slot",
]

#: Seconds for which a request waits for a free slot at a backend server. At a full
#: group a slot becomes free every tenth of a second, and callers that are refused early
#: retry.
MAX_WAIT = 1.0

#: Seconds for which a request waits if rate limits determine when a slot becomes free:
#: one tick less than ``MAX_WAIT``, after which the request would be refused.
MAX_LIMITED_WAIT = MAX_WAIT - 0.1


#: Maximum numbers of requests of contended services that wait at a host, in total and
#: of one account. Callers may ignore the time after which they should retry.
MAX_WAITING = 2000
MAX_WAITING_PER_ACCOUNT = 500

#: Tokens in an answer of a service whose usual answer is not known.
DEFAULT_ANSWER = 150.0


class WaitingRequests:
    """Queue of the requests that wait for a free slot.

    Parameters
    ----------
    usual_answer : callable or None
        Return the usual number of tokens in an answer of a contended service; None if
        it is not known.
    """

    __slots__ = ("_fair_order", "_requests_by_number")

    def __init__(self, *, usual_answer: Callable[[str], float] | None = None) -> None:
        self._requests_by_number: dict[int, RelayRequest] = {}
        self._fair_order = FairOrder(
            usual_answer=usual_answer or (lambda service: DEFAULT_ANSWER)
        )

    def __len__(self) -> int:
        return len(self._requests_by_number)

    def may_add(self, request: RelayRequest) -> bool:
        """Return whether a request may be queued.

        Only contended services limit it, and not for streams that have begun.
        """
        if not request.contended or request.phase is RequestPhase.STREAMING:
            return True
        order = self._fair_order
        return (
            order.n_waiting < MAX_WAITING
            and order.n_waiting_of(request.account) < MAX_WAITING_PER_ACCOUNT
        )

    def add(
        self, request: RelayRequest, *, now: float, waits_until: float | None = None
    ) -> None:
        """Add a request that waits from now on.

        A stream that has begun waits until it times out, as its caller has a part of
        the answer that would be lost.

        Parameters
        ----------
        waits_until : float or None
            Monotonic time until which the request waits; ``MAX_WAIT`` from now if None.
        """
        request.waits_until = now + MAX_WAIT if waits_until is None else waits_until
        if request.phase is RequestPhase.STREAMING:
            request.waits_until = request.times_out_at
        self._requests_by_number[request.number] = request
        if request.contended:
            self._fair_order.add(request, now=now)

    def sent(self, request: RelayRequest) -> None:
        """Remove a request that was dispatched, and charge its account."""
        self._requests_by_number.pop(request.number, None)
        self._fair_order.sent(request)

    def discard(self, request: RelayRequest) -> None:
        """Remove a request that has ended or need not wait any more."""
        self._requests_by_number.pop(request.number, None)
        self._fair_order.discard(request)

    def includes(self, request: RelayRequest) -> bool:
        """Return whether a request waits."""
        return request.number in self._requests_by_number

    def n_waiting_for(self, service: str, model: str) -> int:
        """Return how many requests wait for a service and model."""
        return sum(
            item.service == service and item.arrival.model == model
            for item in self._requests_by_number.values()
        )

    def rows(self) -> tuple[WaitingRow, ...]:
        """Return the counts of waiting requests of contended services."""
        return self._fair_order.rows()

    def has_timed_out(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether a request has waited for a free slot as long as it may."""
        return request.number in self._requests_by_number and now >= request.waits_until

    def uncontended_for_dispatch(self, *, now: float) -> list[RelayRequest]:
        """Return the waiting requests of services that are not contended, in order.

        Requests that arrived no longer ago than ``ON_TIME_WAIT_SHARE`` of their latency
        objective come first, so that requests which are probably late already don't
        make others late. Within both groups, requests are ordered by priority, then by
        arrival.
        """
        return sorted(
            (item for item in self._requests_by_number.values() if not item.contended),
            key=lambda item: (now > item.on_time_until, item.priority, item.number),
        )

    def contended_for_dispatch(
        self, *, now: float, work: tuple[str, str] | None = None
    ) -> list[RelayRequest]:
        """Return the waiting requests of contended services, in ``FairOrder``.

        Parameters
        ----------
        work : tuple of str or None
            Service and model whose requests are returned; those of all if None.
        """
        return self._fair_order.sorted_for_dispatch(now=now, work=work)


def seconds_to_slot(allowance: Allowance, *, n_ahead: int) -> float:
    """Return the seconds after which rate limits allow one more request at the latest.

    The result is ``MAX_LIMITED_WAIT`` for any shorter time, and infinite if the limits
    allow no more requests.

    Parameters
    ----------
    allowance : Allowance
        The requests allowed within ``MAX_LIMITED_WAIT``, and the rate after that.
    n_ahead : int
        Number of requests that already wait.
    """
    n_missing = n_ahead + 1 - allowance.n_available
    if n_missing <= 0:
        return MAX_LIMITED_WAIT
    if not allowance.rate:
        return math.inf
    return MAX_LIMITED_WAIT + n_missing / allowance.rate
