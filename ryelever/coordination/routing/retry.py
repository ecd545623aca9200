"""Decide whether a failed attempt is retried."""

from __future__ import annotations

from typing import Protocol

__all__ = ["RetryBudget", "RetryPolicy"]

#: Seconds within which a backend server that dies breaks off all its attempts, counted
#: from the first one.
DEATH_WINDOW = 0.5

#: Minimum seconds between two deaths of one backend server that earn retries.
DEATH_INTERVAL = 30.0


class RetryPolicy(Protocol):
    """Allow or deny retries, counted over all requests of a process."""

    def succeeded(self, *, now: float) -> None:
        """Record a completed attempt."""

    def allow(self, *, n_attempts: int, now: float) -> bool:
        """Return whether one more attempt may be sent, and count it if so.

        Parameters
        ----------
        n_attempts : int
            Attempts of the request so far.
        """


class RetryBudget:
    """Allow retries up to a share of the successful attempts.

    When every backend server fails, unlimited retries multiply the load that made
    them fail; the operator would see load that stays high after callers have left.
    The budget limits retries to ``share`` of the successes, plus ``reserve`` once.

    A backend server that dies breaks off all its attempts at one moment, far more than
    a share of successes pays for.  Each attempt but the first therefore earns its own
    retry (``record_death``), within half a second of the first and once in 30 s for
    each backend server: one that "dies" all the time adds at most a sixtieth of its
    load.
    The retry of the first attempt is paid for like that of any other failure, because
    with many backend servers there is always a first failure at one of them.

    Parameters
    ----------
    share : float
        Retries earned by each success.  Together with the 1/60 for deaths, the total
        stays below a tenth even if all failures look like deaths.
    reserve : float
        Retries allowed before any success, so that a host with few requests can
        recover; also the maximum number of retries saved up from successes.
    max_attempts : int
        Maximum number of attempts of one request.

    Attributes
    ----------
    tokens : float
        Retries available now.
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
        """Add ``share`` of a retry, up to ``reserve``."""
        if self.tokens < self._reserve:
            self.tokens = min(self._reserve, self.tokens + self._share)

    def record_death(self, target: str, *, now: float) -> None:
        """Add the retry of one attempt that was broken off by a target's death."""
        died_at = self._died_at_by_target.get(target, float("-inf"))
        if now - died_at >= DEATH_INTERVAL:
            self._drop_expired(now=now)
            self._died_at_by_target[target] = now
        elif now - died_at < DEATH_WINDOW:
            self.tokens += 1.0

    def allow(self, *, n_attempts: int, now: float) -> bool:
        """Use one retry if the budget and ``max_attempts`` allow it."""
        if n_attempts >= self._max_attempts or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _drop_expired(self, *, now: float) -> None:
        for target, died_at in list(self._died_at_by_target.items()):
            if now - died_at >= DEATH_INTERVAL:
                del self._died_at_by_target[target]
