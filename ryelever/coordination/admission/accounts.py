"""Enforce this host's part of each client account's limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.configuration import ClientAccount
    from ..limits import LimitsView

__all__ = ["AccountState", "Accounts"]

#: An account that was idle may send the requests of this many seconds of its rate at
#: once.
BURST_DURATION = 1.0


@dataclass(slots=True, kw_only=True)
class AccountState:
    """Token bucket and request counts of one account on this host, over all pools.

    Attributes
    ----------
    declared : ClientAccount
        The account's limits in the active configuration.
    tokens : float
        Requests that the account's rate allows now.
    refilled_at : float
        Monotonic time up to which tokens were added.
    """

    name: str
    declared: ClientAccount
    tokens: float
    refilled_at: float
    n_in_flight: int = 0
    n_waiting: int = 0

    def refill(self, rate: float, now: float) -> None:
        """Add the tokens for the time since the last refill, up to the burst size."""
        depth = max(1.0, rate * BURST_DURATION)
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = max(self.refilled_at, now)
        self.tokens = min(depth, self.tokens + elapsed * rate)


class Accounts:
    """Track each account's state, and report its usage to the limits.

    Parameters
    ----------
    declared : callable
        Return an account's declaration in the active configuration, or None.
    limits : LimitsView
        This host's part of each account's limits.
    """

    def __init__(
        self, *, declared: Callable[[str], ClientAccount | None], limits: LimitsView
    ) -> None:
        self._declared = declared
        self._limits = limits
        self.states_by_name: dict[str, AccountState] = {}

    def record_arrival(self, name: str, declared: ClientAccount, *, now: float) -> None:
        """Count an arriving request, and apply the account's current declaration."""
        self._limits.arrived(name, now=now)
        known = self.states_by_name.get(name)
        if known is None:
            rate = self._limits.rate(name, declared.rate, now=now)
            known = self.states_by_name[name] = AccountState(
                name=name,
                declared=declared,
                tokens=max(1.0, rate * BURST_DURATION),
                refilled_at=now,
            )
        known.declared = declared

    def is_declared(self, name: str) -> bool:
        """Return whether the active configuration declares the account."""
        return self._declared(name) is not None

    def refresh(self) -> None:
        """Apply the active configuration, and remove undeclared accounts.

        An undeclared account with requests in flight or waiting stays until these end.
        """
        for name, known in list(self.states_by_name.items()):
            declared = self._declared(name)
            if declared is not None:
                known.declared = declared
            elif not known.n_in_flight and not known.n_waiting:
                del self.states_by_name[name]

    # Limits

    def may_admit(self, name: str, *, now: float) -> bool:
        """Return whether the account's limits admit one more request."""
        known = self.states_by_name[name]
        self._refill(known, now=now)
        if known.tokens < 1.0:
            return False
        return known.n_in_flight < self.concurrency(name, now=now)

    def concurrency(self, name: str, *, now: float) -> int:
        """Return how many of the account's requests may be in flight on this host."""
        declared = self.states_by_name[name].declared
        return self._limits.concurrency(name, declared.concurrency, now=now)

    def wait_for_rate(self, name: str, *, n_ahead: int, now: float) -> float:
        """Return the seconds until the account's rate admits ``n_ahead`` requests."""
        known = self.states_by_name[name]
        rate = self._refill(known, now=now)
        n_short = n_ahead - known.tokens
        if n_short <= 0.0:
            return 0.0
        return n_short / rate if rate > 0.0 else float("inf")

    def _refill(self, known: AccountState, *, now: float) -> float:
        rate = self._limits.rate(known.name, known.declared.rate, now=now)
        known.refill(rate, now)
        return rate

    # Counts

    def record_admission(self, name: str, *, has_waited: bool, now: float) -> None:
        """Count a request that was admitted."""
        known = self.states_by_name[name]
        known.n_waiting -= has_waited
        known.tokens -= 1.0
        known.n_in_flight += 1
        self._report_usage(known, now=now)

    def record_wait(self, name: str, *, now: float) -> None:
        """Count a request that was queued."""
        known = self.states_by_name[name]
        known.n_waiting += 1
        self._report_usage(known, now=now)

    def record_end(self, name: str, *, was_waiting: bool, now: float) -> None:
        """Count a request that has ended, or that has left the queue."""
        known = self.states_by_name[name]
        if was_waiting:
            known.n_waiting -= 1
        else:
            known.n_in_flight -= 1
        self._report_usage(known, now=now)

    def _report_usage(self, known: AccountState, *, now: float) -> None:
        self._limits.occupied(
            known.name,
            n_in_flight=known.n_in_flight,
            n_waiting=known.n_waiting,
            now=now,
        )
