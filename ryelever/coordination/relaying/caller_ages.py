"""Estimate for how long callers have tried before, from the times they have left."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.routes import Route
    from .messages import RelayArrival

__all__ = ["CallerAges"]

#: Seconds for which the longest time that a caller has stated is remembered.
STATED_TIMES_KEPT = 60.0


class CallerAges:
    """Compare the time that each caller has left with the longest on the same route.

    A caller that was refused and returns states less time than before, at whichever
    host it arrives.
    """

    __slots__ = ("_stated_by_route",)

    def __init__(self) -> None:
        # For each route, stated times with the moments at which they were stated. A
        # time is dropped once a later caller states as much, so the first is the
        # longest.
        self._stated_by_route: dict[str, deque[tuple[float, float]]] = {}

    def age(self, route: Route, arrival: RelayArrival) -> float:
        """Return the seconds that a caller has already spent; 0 if it states no time.

        Parameters
        ----------
        route : Route
            Its timeout bounds the times that count. Without one, no age is estimated:
            a single caller with a distant deadline would make all others late.
        """
        if arrival.deadline is None or not route.timeout:
            return 0.0
        now = arrival.arrived_at
        seconds = min(max(0.0, arrival.deadline - now), route.timeout)
        stated = self._stated_by_route.setdefault(route.name, deque())
        while stated and stated[0][1] < now - STATED_TIMES_KEPT:
            stated.popleft()
        while stated and stated[-1][0] <= seconds:
            stated.pop()
        stated.append((seconds, now))
        return stated[0][0] - seconds
