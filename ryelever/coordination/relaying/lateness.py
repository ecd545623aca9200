"""Tell by what a request came later than its route's objectives ask for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .request import RelayRequest

__all__ = ["cause_of_lateness"]

#: Part of the latency objective by which a request that was sent later than this
#: waited for a place; the rest is what a first event takes at a calm server.
WAITED_SHARE = 0.4


def cause_of_lateness(request: RelayRequest, *, passed: float) -> str:
    """Return what held a request up, or nothing if it was on time.

    ``waited``: for a place at a backend server.  ``queued``: at the server that it was
    sent to at once.  ``moved``: it had to be sent again.  ``paused``: between two
    events of one server.

    Parameters
    ----------
    passed : float
        Seconds from its arrival to its end.
    """
    route = request.route
    arrived_at = request.arrival.arrived_at
    first = passed
    if request.is_stream:
        first = request.first_event_at - arrived_at if request.first_event_at else 0.0
    if first > route.latency_objective:
        if request.n_sent > 1:
            return "moved"
        waited = request.first_sent_at - arrived_at
        return "waited" if waited > WAITED_SHARE * route.latency_objective else "queued"
    if route.pause_objective and request.longest_pause > route.pause_objective:
        return "moved" if request.n_sent > 1 else "paused"
    return ""
