"""Hold the requests that wait for a free slot at a backend server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .rate_limits import Allowance
    from .request import RelayRequest

__all__ = ["MAX_LIMITED_WAIT", "MAX_WAIT", "WaitingRequests", "seconds_to_slot"]

#: Seconds for which a request waits for a free slot at a backend server. At a full
#: group a slot becomes free every tenth of a second, and callers that are refused early
#: retry.
MAX_WAIT = 1.0

#: Seconds for which a request waits if rate limits determine when a slot becomes free:
#: one tick less than ``MAX_WAIT``, after which the request would be refused.
MAX_LIMITED_WAIT = MAX_WAIT - 0.1


class WaitingRequests:
    """Queue of the requests that wait for a free slot."""

    __slots__ = ("_requests_by_number",)

    def __init__(self) -> None:
        self._requests_by_number: dict[int, RelayRequest] = {}

    def __len__(self) -> int:
        return len(self._requests_by_number)

    def add(self, request: RelayRequest, *, now: float) -> None:
        """Add a request that waits from now on."""
        request.waits_until = now + MAX_WAIT
        self._requests_by_number[request.number] = request

    def discard(self, request: RelayRequest) -> None:
        """Remove a request, if it waits."""
        self._requests_by_number.pop(request.number, None)

    def n_waiting_for(self, service: str, model: str) -> int:
        """Return how many requests wait for a service and model."""
        return sum(
            item.service == service and item.arrival.model == model
            for item in self._requests_by_number.values()
        )

    def has_timed_out(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether a request has waited for a free slot as long as it may."""
        return request.number in self._requests_by_number and now >= request.waits_until

    def sorted_for_dispatch(self, *, now: float) -> list[RelayRequest]:
        """Return the waiting requests in the order in which they get free slots.

        Requests that arrived no longer ago than ``ON_TIME_WAIT_SHARE`` of their latency
        objective come first, so that requests which are probably late already don't
        make others late. Within both groups, requests are ordered by priority, then by
        arrival.
        """
        return sorted(
            self._requests_by_number.values(),
            key=lambda item: (now > item.on_time_until, item.priority, item.number),
        )


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
