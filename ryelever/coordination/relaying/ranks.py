"""Compare the ranks of requests, which consist of two priorities."""

from __future__ import annotations

__all__ = ["MAX_STEP", "clamped_rank", "rank_step"]

#: Steps of a rank for one step of account priority; one step of route priority is one.
RANK_STEPS = 3

#: Maximum priority of an account or a route within a rank.
MAX_RANK_PRIORITY = 3

#: Maximum step of a rank: the least urgent priority that backend servers know.
MAX_STEP = 9


def clamped_rank(rank: tuple[int, int]) -> tuple[int, int]:
    """Return a rank whose priorities are within their bounds."""
    account, route = rank
    return _clamped(account), _clamped(route)


def rank_step(rank: tuple[int, int]) -> int:
    """Return the step of a rank; 0 is the most urgent and 9 the least."""
    account, route = clamped_rank(rank)
    return min(MAX_STEP, RANK_STEPS * account + route)


def _clamped(priority: int) -> int:
    return max(0, min(MAX_RANK_PRIORITY, priority))
