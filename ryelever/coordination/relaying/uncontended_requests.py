"""Send, hold and refuse the requests of services that are not contended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .server_refusals import limited, paused
from .waiting import MAX_WAIT

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .balance import Balancer
    from .request import RelayRequest
    from .waiting import WaitingRequests

__all__ = ["UncontendedRequests"]


class UncontendedRequests:
    """Send requests at once, or queue them until a slot becomes free.

    Parameters
    ----------
    dispatch : callable
        Send a request to a server with a free slot, given the time; return whether
        there was one.
    refuse : callable
        End a request that can't be served, given the reason and the seconds after which
        its caller should retry.
    """

    __slots__ = ("_balancer", "_dispatch", "_refuse", "_waiting")

    def __init__(
        self,
        *,
        balancer: Balancer,
        waiting: WaitingRequests,
        dispatch: Callable[..., bool],
        refuse: Callable[..., None],
    ) -> None:
        self._balancer = balancer
        self._waiting = waiting
        self._dispatch = dispatch
        self._refuse = refuse

    def add(self, request: RelayRequest, *, now: float) -> None:
        """Send a request, queue it, or refuse it if no slot can become free in time."""
        if self._dispatch(request, now=now):
            return
        if self._refuse_if_paused(request, waits_until=now + MAX_WAIT, now=now):
            return
        refusal = limited(request, self._balancer, waiting=self._waiting, now=now)
        if refusal is None:
            self._waiting.add(request, now=now)
            return
        self._refuse(request, refusal.reason, retry_after=refusal.retry_after, now=now)

    def dispatch(self, ordered: Iterable[RelayRequest], *, now: float) -> None:
        """Send the waiting requests for which there are free slots.

        Parameters
        ----------
        ordered : iterable of RelayRequest
            Waiting requests in the order in which they get free slots.
        """
        full: set[tuple[str, str]] = set()
        for request in ordered:
            waits_until = request.waits_until
            if self._refuse_if_paused(request, waits_until=waits_until, now=now):
                continue
            if request.work in full and not request.tried:
                continue
            if self._dispatch(request, now=now):
                self._waiting.discard(request)
            else:
                full.add(request.work)

    def _refuse_if_paused(
        self, request: RelayRequest, *, waits_until: float, now: float
    ) -> bool:
        """Refuse a request if the servers left for it are paused while it may wait."""
        refusal = paused(request, self._balancer, waits_until=waits_until, now=now)
        if refusal is None:
            return False
        self._refuse(request, refusal.reason, retry_after=refusal.retry_after, now=now)
        return True
