"""Refuse requests that can't be sent to any server for as long as they may wait."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .refusals import DEFAULT_RETRY_AFTER
from .request import RequestPhase
from .waiting import MAX_LIMITED_WAIT, seconds_to_slot

if TYPE_CHECKING:
    from collections.abc import Callable

    from .balance import Balancer
    from .crashes import CrashWatch
    from .reports import RequestReports
    from .request import RelayRequest
    from .waiting import WaitingRequests

__all__ = ["ServerRefusals"]


class ServerRefusals:
    """Refuse requests that no server may get, whether they wait or not.

    Parameters
    ----------
    refuse : callable
        End a request that can't be served, given the reason and the seconds after which
        its caller should retry.
    """

    __slots__ = ("_balancer", "_crashes", "_refuse", "_reports", "_waiting")

    def __init__(
        self,
        *,
        balancer: Balancer,
        crashes: CrashWatch,
        waiting: WaitingRequests,
        reports: RequestReports,
        refuse: Callable[..., None],
    ) -> None:
        self._balancer = balancer
        self._crashes = crashes
        self._waiting = waiting
        self._reports = reports
        self._refuse = refuse

    def refuse_if_quarantined(self, request: RelayRequest, *, now: float) -> bool:
        """Refuse a request that crashes servers; return whether it was refused.

        The crashes may have become known while the request was waiting.
        """
        quarantined = self._crashes.verdict(request, now=now)
        if quarantined is None:
            return False
        self._reports.quarantined(request, quarantined)
        self._refuse(
            request, "quarantined", retry_after=quarantined.retry_after, now=now
        )
        return True

    def awaits_verdict(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether a request must not be sent until there is a verdict on it."""
        return self._crashes.awaits_verdict(request, now=now)

    def refuse_or_hold(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether a waiting request was refused, or must wait for a verdict."""
        return (
            self.refuse_if_quarantined(request, now=now)
            or self.awaits_verdict(request, now=now)
            or self.refuse_if_paused(request, waits_until=request.waits_until, now=now)
        )

    def refuse_if_paused(
        self, request: RelayRequest, *, waits_until: float, now: float
    ) -> bool:
        """Refuse a request if the servers left for it are paused while it may wait.

        Return whether it was refused. Like rate limits, pauses don't end a stream that
        has already started.
        """
        if request.phase is RequestPhase.STREAMING:
            return False
        paused_until = self._balancer.paused_until(
            request.service, request.arrival.model, excluded=request.tried, now=now
        )
        latest_start = min(waits_until, request.times_out_at)
        if paused_until is None or paused_until <= latest_start:
            return False
        self._refuse(request, "paused", retry_after=paused_until - now, now=now)
        return True

    def refuse_if_limited(self, request: RelayRequest, *, now: float) -> bool:
        """Refuse a request if rate limits allow none within the longest wait.

        Return whether it was refused.
        """
        service, model = request.service, request.arrival.model
        allowance = self._balancer.limited_allowance(
            service, model, excluded=request.tried, seconds=MAX_LIMITED_WAIT, now=now
        )
        # A stream that has already started waits, however long the expected wait is,
        # because a slot may become free by chance.  Ending the request here would break
        # the stream off.
        if allowance is None or request.phase is RequestPhase.STREAMING:
            return False
        is_queued = self._waiting.includes(request)
        n_ahead = self._waiting.n_waiting_for(service, model) - is_queued
        expected_wait = seconds_to_slot(allowance, n_ahead=n_ahead)
        if expected_wait <= MAX_LIMITED_WAIT:
            return False
        # If this host has no share of the limits, another host may have one.
        retry_after = (
            DEFAULT_RETRY_AFTER if expected_wait == math.inf else expected_wait
        )
        self._refuse(request, "limited", retry_after=retry_after, now=now)
        return True
