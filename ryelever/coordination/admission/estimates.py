"""Estimate how long requests wait, and when a refused caller should come back."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from ..actions import ChatWork
from .admission import Refused

if TYPE_CHECKING:
    from ..actions import Arrival
    from .accounts import Accounts
    from .fair_queue import FairQueue, Flow

__all__ = ["announced_size", "likely_wait", "refusal", "shortest_wait"]

#: Factor by which all of a pool may go faster than measured before an estimate
#: counts as certain.
CERTAIN = 2.0

#: Bounds of the seconds after which a refused caller should come back.
MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 60.0

#: Characters of a prompt that count as much as one generated token: a prompt is
#: read many tokens at a time, an answer is made one after the other.
PROMPT_CHARACTERS_PER_TOKEN = 40.0


def likely_wait(
    queue: FairQueue,
    flow: Flow,
    *,
    accounts: Accounts,
    slots: float,
    now: float,
) -> float:
    """Return the seconds that a request at the end of a flow is likely to wait."""
    n_ahead = len(flow.waiting)
    name = flow.client_account
    by_rate = accounts.wait_for_rate(name, n_ahead=n_ahead + 1, now=now)
    shares = sum(other.share for other in queue.backlogged() if other is not flow)
    part = flow.share / (flow.share + shares)
    cost = max(queue.mean_cost, 1e-3)
    by_capacity = (n_ahead + 1) * cost / (max(slots, 1.0) * part)
    allowed = accounts.concurrency(name, now=now)
    by_concurrency = n_ahead * cost / max(1, allowed)
    return max(by_rate, by_capacity, by_concurrency)


def shortest_wait(
    queue: FairQueue,
    flow: Flow,
    *,
    accounts: Accounts,
    slots: float,
    now: float,
) -> float:
    """Return the seconds that the last of a flow waits if all goes its way."""
    n_waiting = len(flow.waiting)
    name = flow.client_account
    by_rate = accounts.wait_for_rate(name, n_ahead=n_waiting, now=now)
    declared = accounts.states_by_name[name].declared
    n_at_once = min(max(slots, 1.0), max(1.0, float(declared.concurrency)))
    n_rounds = max(0.0, n_waiting - n_at_once) / n_at_once
    return max(by_rate, n_rounds * queue.mean_cost / CERTAIN)


def refusal(reason: str, *, request_id: str, wait: float) -> Refused:
    """Refuse with a time that is computed, and spread by the request's id.

    Callers that are refused together and told the same come back together.
    """
    spread = zlib.crc32(request_id.encode()) / 2**32
    bounded = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
    return Refused(reason=reason, retry_after=bounded * (1.0 + spread))


def announced_size(arrival: Arrival) -> float:
    """Return the announced work of an arrival, in generated tokens."""
    work = arrival.work
    if not isinstance(work, ChatWork):
        return 1.0
    n_characters = sum(
        len(str(message.get("content", ""))) for message in work.messages
    )
    return max(1.0, work.max_tokens + n_characters / PROMPT_CHARACTERS_PER_TOKEN)
