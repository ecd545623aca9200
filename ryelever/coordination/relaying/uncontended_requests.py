"""Send, hold and refuse the requests of services that are not contended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .waiting import MAX_WAIT

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .fault_isolation import FaultIsolation
    from .request import RelayRequest
    from .server_refusals import ServerRefusals
    from .waiting import WaitingRequests

__all__ = ["UncontendedRequests"]


class UncontendedRequests:
    """Send requests at once, or queue them until a slot becomes free.

    Parameters
    ----------
    dispatch : callable
        Send a request to a server with a free slot, given the time; return whether
        there was one.
    """

    __slots__ = ("_dispatch", "_faults", "_refusals", "_waiting")

    def __init__(
        self,
        *,
        waiting: WaitingRequests,
        refusals: ServerRefusals,
        faults: FaultIsolation,
        dispatch: Callable[..., bool],
    ) -> None:
        self._waiting = waiting
        self._refusals = refusals
        self._faults = faults
        self._dispatch = dispatch

    def add(self, request: RelayRequest, *, now: float) -> None:
        """Send a request, queue it, or refuse it if no slot can become free in time."""
        refusals = self._refusals
        awaits_verdict = refusals.awaits_verdict(request, now=now)
        if not awaits_verdict and self._dispatch(request, now=now):
            return
        if refusals.refuse_if_paused(request, waits_until=now + MAX_WAIT, now=now):
            return
        if not refusals.refuse_if_limited(request, now=now):
            self._waiting.add(request, now=now)

    def dispatch(self, ordered: Iterable[RelayRequest], *, now: float) -> None:
        """Send the waiting requests for which there are free slots.

        Parameters
        ----------
        ordered : iterable of RelayRequest
            Waiting requests in the order in which they get free slots.
        """
        full: set[tuple[str, str]] = set()
        for request in ordered:
            with self._faults.request(request, now=now):
                if self._refusals.refuse_or_hold(request, now=now):
                    continue
                if request.work in full and not request.tried:
                    continue
                if self._dispatch(request, now=now):
                    self._waiting.discard(request)
                elif not request.tried:
                    full.add(request.work)
