"""Refuse requests whose servers are paused or limited for as long as they may wait."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from .refusals import DEFAULT_RETRY_AFTER
from .request import RequestPhase
from .waiting import MAX_LIMITED_WAIT, seconds_to_slot

if TYPE_CHECKING:
    from .balance import Balancer
    from .request import RelayRequest
    from .waiting import WaitingRequests

__all__ = ["ServerRefusal", "limited", "paused"]


class ServerRefusal(msgspec.Struct, kw_only=True, frozen=True):
    """The reason why servers take no request, and when its caller should retry."""

    reason: str
    retry_after: float


def paused(
    request: RelayRequest, balancer: Balancer, *, waits_until: float, now: float
) -> ServerRefusal | None:
    """Return a refusal if the servers left for a request are paused while it may wait.

    Like rate limits, pauses don't end a stream that has already started.
    """
    if request.phase is RequestPhase.STREAMING:
        return None
    paused_until = balancer.paused_until(
        request.service, request.arrival.model, excluded=request.tried, now=now
    )
    latest_start = min(waits_until, request.times_out_at)
    if paused_until is None or paused_until <= latest_start:
        return None
    return ServerRefusal(reason="paused", retry_after=paused_until - now)


def limited(
    request: RelayRequest,
    balancer: Balancer,
    *,
    waiting: WaitingRequests,
    now: float,
    is_queued: bool = False,
) -> ServerRefusal | None:
    """Return a refusal if rate limits allow no request within the longest wait.

    Parameters
    ----------
    is_queued : bool
        True if the request is one of those that wait.
    """
    service, model = request.service, request.arrival.model
    allowance = balancer.limited_allowance(
        service, model, excluded=request.tried, seconds=MAX_LIMITED_WAIT, now=now
    )
    # A stream that has already started waits, however long the expected wait is,
    # because a slot may become free by chance.  Ending the request here would break
    # the stream off.
    if allowance is None or request.phase is RequestPhase.STREAMING:
        return None
    n_ahead = waiting.n_waiting_for(service, model) - is_queued
    expected_wait = seconds_to_slot(allowance, n_ahead=n_ahead)
    if expected_wait <= MAX_LIMITED_WAIT:
        return None
    # If this host has no share of the limits, another host may have one.
    retry_after = DEFAULT_RETRY_AFTER if expected_wait == math.inf else expected_wait
    return ServerRefusal(reason="limited", retry_after=retry_after)
