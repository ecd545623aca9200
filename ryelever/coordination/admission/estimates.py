"""Estimate how long requests wait, and when a refused caller should retry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions import ChatWork
from ..retry_spread import retry_spread
from .admission import Refused

if TYPE_CHECKING:
    from ..actions import Arrival
    from ..fair_queue import FairQueue, Flow
    from .accounts import Accounts

__all__ = ["announced_size", "expected_wait", "min_wait", "refusal"]

#: Maximum factor by which requests may end faster than the pool's mean cost so far
#: suggests.  A request counts as certainly late only if it would be late even then.
MAX_SPEEDUP = 2.0

#: Bounds, in seconds, of the time after which a refused caller should retry, before
#: this time is spread.
MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 60.0

#: Characters of a prompt that cost as much as one generated token.  A prompt is
#: processed many tokens at a time, while an answer is generated token by token.
PROMPT_CHARACTERS_PER_TOKEN = 40.0


def expected_wait(
    queue: FairQueue,
    flow: Flow,
    *,
    accounts: Accounts,
    slots: float,
    now: float,
) -> float:
    """Return the expected wait in seconds of a request at the end of a flow."""
    n_ahead = len(flow.waiting)
    name = flow.client_account
    wait_by_rate = accounts.wait_for_rate(name, n_ahead=n_ahead + 1, now=now)
    shares = sum(other.share for other in queue.backlogged() if other is not flow)
    part = flow.share / (flow.share + shares)
    cost = max(queue.mean_cost, 1e-3)
    wait_by_capacity = (n_ahead + 1) * cost / (max(slots, 1.0) * part)
    allowed = accounts.concurrency(name, now=now)
    wait_by_concurrency = n_ahead * cost / max(1, allowed)
    return max(wait_by_rate, wait_by_capacity, wait_by_concurrency)


def min_wait(
    queue: FairQueue,
    flow: Flow,
    *,
    accounts: Accounts,
    slots: float,
    now: float,
) -> float:
    """Return the minimum wait in seconds of the last request of a flow.

    This assumes that the flow's account gets all slots of the pool that its limits
    allow, and that requests end ``MAX_SPEEDUP`` times faster than on average.
    """
    n_waiting = len(flow.waiting)
    name = flow.client_account
    wait_by_rate = accounts.wait_for_rate(name, n_ahead=n_waiting, now=now)
    declared = accounts.states_by_name[name].declared
    n_parallel = min(max(slots, 1.0), max(1.0, float(declared.concurrency)))
    n_rounds = max(0.0, n_waiting - n_parallel) / n_parallel
    return max(wait_by_rate, n_rounds * queue.mean_cost / MAX_SPEEDUP)


def refusal(reason: str, *, request_id: str, wait: float) -> Refused:
    """Return a refusal whose retry time is the wait, spread by the request's id."""
    bounded = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
    return Refused(reason=reason, retry_after=bounded * retry_spread(request_id))


def announced_size(arrival: Arrival) -> float:
    """Return the size of an arrival in generated tokens, from its prompt and maximum.

    Every request to a service has size 1.
    """
    work = arrival.work
    if not isinstance(work, ChatWork):
        return 1.0
    n_characters = sum(
        len(str(message.get("content", ""))) for message in work.messages
    )
    return max(1.0, work.max_tokens + n_characters / PROMPT_CHARACTERS_PER_TOKEN)
