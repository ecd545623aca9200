"""Decide whether a failed attempt is tried again."""

from __future__ import annotations

from typing import Protocol

__all__ = ["RetryBudget", "RetryPolicy"]

#: Seconds within which the attempts that a death breaks off fail.
DEATH_WINDOW = 0.5

#: Seconds between two deaths of one backend server that are believed.
DEATH_INTERVAL = 30.0


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
    The budget bounds retries by ``share`` of the successes, plus ``reserve`` once.

    A backend server that dies breaks off all its attempts in one moment, far more
    than a share of successes.  Each but the first earns its own retry (``died``),
    within half a second and once in 30 s for each backend server: one that "dies"
    all the time adds at most a sixtieth of its load.  The first pays like any other
    failure, for with many backend servers a first one is always at hand.

    Parameters
    ----------
    share : float
        Retries allowed for each success.  With 1/60 for deaths it stays below a
        tenth even when all that fails looks like a death.
    reserve : float
        Retries allowed before any success, so that a quiet host can recover; also
        the most that is saved up.
    max_attempts : int
        Attempts of one request.
    """

    def __init__(
        self, *, share: float = 0.08, reserve: float = 10.0, max_attempts: int = 4
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._max_attempts = max_attempts
        self._died_at_by_target: dict[str, float] = {}
        self.tokens = reserve

    def succeeded(self, *, now: float) -> None:
        """Earn a part of a retry."""
        if self.tokens < self._reserve:
            self.tokens = min(self._reserve, self.tokens + self._share)

    def died(self, target: str, *, now: float) -> None:
        """Earn the retry of one attempt that a death broke off."""
        died_at = self._died_at_by_target.get(target, float("-inf"))
        if now - died_at >= DEATH_INTERVAL:
            self._forget_old(now=now)
            self._died_at_by_target[target] = now
        elif now - died_at < DEATH_WINDOW:
            self.tokens += 1.0

    def allow(self, *, n_attempts: int, now: float) -> bool:
        """Spend one retry if there is one."""
        if n_attempts >= self._max_attempts or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _forget_old(self, *, now: float) -> None:
        for target, died_at in list(self._died_at_by_target.items()):
            if now - died_at >= DEATH_INTERVAL:
                del self._died_at_by_target[target]
