"""Dispatch, hold and refuse the waiting requests of contended services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .refusals import DEFAULT_RETRY_AFTER
from .request import RequestPhase

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .balance import Balancer
    from .contention import Contention
    from .fault_isolation import FaultIsolation
    from .rank_shares import Order
    from .reports import RequestReports
    from .request import RelayRequest
    from .server_refusals import ServerRefusals
    from .wait_estimate import WaitEstimate
    from .waiting import WaitingRequests

__all__ = ["ContendedRequests"]

#: Seconds between two estimates of whether a waiting request can be served in time.
ESTIMATE_INTERVAL = 0.25

NEVER = float("-inf")


class _FullGroups:
    """Remember during a dispatch which requests find no room in any group."""

    __slots__ = ("_full_ranks", "_order_by_work")

    def __init__(self) -> None:
        self._order_by_work: dict[tuple[str, str], Order] = {}
        self._full_ranks: set[tuple[tuple[str, str], Order]] = set()

    def includes(
        self, work: tuple[str, str], order: Order, *, is_guaranteed: bool
    ) -> bool:
        """Return whether a request finds no room since others found none."""
        if is_guaranteed:
            return (work, order) in self._full_ranks
        return work in self._order_by_work and order >= self._order_by_work[work]

    def add(self, work: tuple[str, str], order: Order, *, is_guaranteed: bool) -> None:
        """Record that a request has found no room."""
        if is_guaranteed:
            self._full_ranks.add((work, order))
        else:
            self._order_by_work[work] = order


class ContendedRequests:
    """Queue all requests of contended services, and dispatch them in order.

    Parameters
    ----------
    dispatch : callable
        Send a request to a server that has room, given the room and the time; return
        whether there was one.
    refuse : callable
        End a request that can't be served, given the reason and log fields.
    """

    __slots__ = (
        "_balancer",
        "_contention",
        "_dispatch",
        "_faults",
        "_refusals",
        "_refuse",
        "_reports",
        "_waiting",
    )

    def __init__(
        self,
        *,
        contention: Contention,
        balancer: Balancer,
        waiting: WaitingRequests,
        reports: RequestReports,
        refusals: ServerRefusals,
        faults: FaultIsolation,
        dispatch: Callable[..., bool],
        refuse: Callable[..., None],
    ) -> None:
        self._contention = contention
        self._balancer = balancer
        self._waiting = waiting
        self._reports = reports
        self._refusals = refusals
        self._faults = faults
        self._dispatch = dispatch
        self._refuse = refuse

    def add(self, request: RelayRequest, *, now: float) -> None:
        """Queue a request, and send or refuse it if possible.

        Requests of this host that already wait and go before it are dispatched first.
        """
        if not self._waiting.may_add(request):
            estimate = self._contention.estimate(
                request, n_ahead=len(self._waiting), now=now
            )
            self._refuse_for_room(request, "queue_full", estimate, now=now)
            return
        request.estimated_at = NEVER
        waits_until = self._contention.waits_until(request, now=now)
        self._waiting.add(request, now=now, waits_until=waits_until)
        self.dispatch(
            self._waiting.contended_for_dispatch(now=now, work=request.work), now=now
        )
        if self._waiting.includes(request):
            self._refusals.refuse_if_limited(request, now=now)

    def dispatch(self, ordered: Iterable[RelayRequest], *, now: float) -> None:
        """Send the waiting requests for which there is room, and refuse hopeless ones.

        Once a request finds no room, those that are no more urgent are not tried for
        the same work: they have less room and higher draws. Of those with a guaranteed
        part of the slots, this holds for each rank. A request that was already sent to
        some servers may find none among the others, and says nothing about its
        successors.

        Parameters
        ----------
        ordered : iterable of RelayRequest
            Waiting requests in the order in which they get free slots.
        """
        waiting = [item for item in ordered if _may_be_sent(item, now=now)]
        self._contention.renew_draws(waiting, now=now)
        full = _FullGroups()
        n_ahead_by_work: dict[tuple[str, str], int] = {}
        for request in waiting:
            with self._faults.request(request, now=now):
                if self._refusals.refuse_or_hold(request, now=now):
                    continue
                work = request.work
                n_ahead = n_ahead_by_work.get(work, 0)
                order = self._contention.order(request, now=now)
                is_guaranteed = self._contention.is_guaranteed(request, now=now)
                if not full.includes(work, order, is_guaranteed=is_guaranteed):
                    if self._send(
                        request, n_ahead=n_ahead, is_guaranteed=is_guaranteed, now=now
                    ):
                        continue
                    if not request.tried:
                        full.add(work, order, is_guaranteed=is_guaranteed)
                # A request that was sent to all servers waits for another one, and
                # leaves the slots of these to its successors.
                if not self._refuse_if_hopeless(
                    request, n_ahead=n_ahead, now=now
                ) and self._contention.is_untried_left(request):
                    n_ahead_by_work[work] = n_ahead + 1

    def time_out(self, request: RelayRequest, *, now: float) -> None:
        """Refuse a request that has waited as long as it may."""
        estimate = self._contention.estimate(request, n_ahead=0, now=now)
        reason = "no_chance" if estimate.n_slots else "no_place"
        self._refuse_for_room(request, reason, estimate, now=now)

    def _send(
        self, request: RelayRequest, *, n_ahead: int, is_guaranteed: bool, now: float
    ) -> bool:
        room = self._contention.room(
            request, n_ahead=n_ahead, is_guaranteed=is_guaranteed, now=now
        )
        was_sent = self._dispatch(request, room=room, now=now)
        self._contention.examined(request, room)
        if was_sent:
            self._waiting.sent(request)
        return was_sent

    def _refuse_if_hopeless(
        self, request: RelayRequest, *, n_ahead: int, now: float
    ) -> bool:
        """Refuse a request that can't be served in time; return whether it was.

        The wait of a request is estimated when it arrives, and then at most every
        ``ESTIMATE_INTERVAL``.
        """
        if request.phase is RequestPhase.STREAMING:
            return False
        if now - request.estimated_at < ESTIMATE_INTERVAL:
            return False
        begins = request.estimated_at == NEVER
        request.estimated_at = now
        self._contention.renew_wait(request, now=now)
        estimate = self._contention.estimate(request, n_ahead=n_ahead, now=now)
        if self._contention.is_hopeless(request, estimate, now=now):
            self._refuse_for_room(request, "no_chance", estimate, now=now)
            return True
        if begins:
            self._reports.held(
                request,
                n_ahead=estimate.n_ahead,
                expected_wait=estimate.expected_wait,
            )
        return False

    def _refuse_for_room(
        self, request: RelayRequest, reason: str, estimate: WaitEstimate, *, now: float
    ) -> None:
        """Refuse a request for lack of room, and say when its caller should retry."""
        if request.phase is RequestPhase.STREAMING:
            self._refuse(request, reason, retry_after=DEFAULT_RETRY_AFTER, now=now)
            return
        retry_after = estimate.retry_after(
            request.arrival.request_id, time_left=request.times_out_at - now
        )
        self._refuse(
            request,
            reason,
            retry_after=retry_after,
            now=now,
            n_ahead=estimate.n_ahead,
            expected_wait=estimate.expected_wait,
            views_age=self._views_age(now=now),
        )

    def _views_age(self, *, now: float) -> float | None:
        """Return the age in seconds of the oldest report of another host in use."""
        received_at = self._balancer.peers_view_at
        return None if received_at is None else now - received_at


def _may_be_sent(request: RelayRequest, *, now: float) -> bool:
    """Return whether a request has not waited for as long as it may.

    One that has just arrived takes a free slot even if it could not wait for one.
    """
    return now < request.waits_until or request.estimated_at == NEVER
