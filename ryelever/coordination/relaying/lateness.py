"""Classify why a request missed the objectives of its route."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .request import RelayRequest

__all__ = ["cause_of_lateness"]

#: Share of the latency objective. A late request that waited longer than this for a
#: free slot is late because of the wait; the remaining share is the time that the first
#: event takes at a server that is not busy.
MAX_WAITED_SHARE = 0.4


def cause_of_lateness(request: RelayRequest, *, elapsed: float) -> str:
    """Return why a request was late, or an empty string if it was on time.

    ``waited``: it waited for a free slot at a backend server. ``queued``: it was sent
    without a long wait and queued at the server, or was never sent. ``moved``: it had
    to be sent again. ``paused``: one server paused too long between two events.

    Parameters
    ----------
    elapsed : float
        Seconds from the request's arrival to its end.
    """
    route = request.route
    arrived_at = request.arrival.arrived_at
    first = elapsed
    if request.is_stream:
        first = request.first_event_at - arrived_at if request.first_event_at else 0.0
    if first > route.latency_objective:
        if request.n_sent > 1:
            return "moved"
        waited = request.first_sent_at - arrived_at
        return (
            "waited"
            if waited > MAX_WAITED_SHARE * route.latency_objective
            else "queued"
        )
    if route.pause_objective and request.longest_pause > route.pause_objective:
        return "moved" if request.n_sent > 1 else "paused"
    return ""
