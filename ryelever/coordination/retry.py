"""Decide whether a failed attempt is tried again."""

from __future__ import annotations

from typing import Protocol

__all__ = ["RetryBudget", "RetryPolicy"]


class RetryPolicy(Protocol):
    """Allow or deny retries over all requests of a process."""

    def succeeded(self, *, now: float) -> None:
        """Take note of a success."""

    def allow(self, *, n_attempts: int, now: float) -> bool:
        """Tell whether one more attempt may be sent, and count it if so."""


class RetryBudget:
    """Allow retries up to a share of recent successes.

    When every backend server fails, unbounded retries multiply the load that made
    them fail; the operator sees it as load that stays high after callers left.
    The budget bounds the load offered to backend servers at ``1 + share`` times
    the callers' own.

    Parameters
    ----------
    share : float
        Retries allowed for each success.
    reserve : float
        Retries allowed before any success, so that a quiet host can recover.
    max_attempts : int
        Attempts of one request.
    """

    def __init__(
        self, *, share: float = 0.1, reserve: float = 20.0, max_attempts: int = 4
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._max_attempts = max_attempts
        self.tokens = reserve

    def succeeded(self, *, now: float) -> None:
        """Earn a part of a retry."""
        self.tokens = min(self._reserve, self.tokens + self._share)

    def allow(self, *, n_attempts: int, now: float) -> bool:
        """Spend one retry if there is one."""
        if n_attempts >= self._max_attempts or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
