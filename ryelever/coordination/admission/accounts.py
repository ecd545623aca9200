"""Hold client accounts to this host's part of their limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.configuration import ClientAccount
    from ..limits import LimitsView

__all__ = ["AccountState", "Accounts"]

#: Seconds of its rate that an account may use at once after a quiet time.
BURST = 1.0


@dataclass(slots=True, kw_only=True)
class AccountState:
    """Follow one account's limits here, over all pools."""

    name: str
    declared: ClientAccount
    tokens: float
    filled_at: float
    n_in_flight: int = 0
    n_waiting: int = 0

    def fill(self, rate: float, now: float) -> None:
        """Add the tokens of the time that has passed, up to the burst."""
        depth = max(1.0, rate * BURST)
        elapsed = max(0.0, now - self.filled_at)
        self.filled_at = max(self.filled_at, now)
        self.tokens = min(depth, self.tokens + elapsed * rate)


class Accounts:
    """Own what is known of each account, and tell the limits what it uses.

    Parameters
    ----------
    declared : callable
        Return the account as the configuration in force declares it, or None.
    limits : LimitsView
        This host's part of each account's limits.
    """

    def __init__(
        self, *, declared: Callable[[str], ClientAccount | None], limits: LimitsView
    ) -> None:
        self._declared = declared
        self._limits = limits
        self.states_by_name: dict[str, AccountState] = {}

    def arrived(self, name: str, declared: ClientAccount, *, now: float) -> None:
        """Count one arrival, and take the account's current limits."""
        self._limits.arrived(name, now=now)
        known = self.states_by_name.get(name)
        if known is None:
            rate = self._limits.rate(name, declared.rate, now=now)
            known = self.states_by_name[name] = AccountState(
                name=name,
                declared=declared,
                tokens=max(1.0, rate * BURST),
                filled_at=now,
            )
        known.declared = declared

    def is_declared(self, name: str) -> bool:
        """Tell whether the configuration in force has the account."""
        return self._declared(name) is not None

    def reread(self) -> None:
        """Take the limits that are in force; forget accounts that are gone."""
        for name, known in list(self.states_by_name.items()):
            declared = self._declared(name)
            if declared is not None:
                known.declared = declared
            elif not known.n_in_flight and not known.n_waiting:
                del self.states_by_name[name]

    # Limits

    def allow(self, name: str, *, now: float) -> bool:
        """Tell whether the account's limits let one more request in."""
        known = self.states_by_name[name]
        self._fill(known, now=now)
        if known.tokens < 1.0:
            return False
        return known.n_in_flight < self.concurrency(name, now=now)

    def concurrency(self, name: str, *, now: float) -> int:
        """Return the requests of the account that may be in flight here."""
        declared = self.states_by_name[name].declared
        return self._limits.concurrency(name, declared.concurrency, now=now)

    def wait_for_rate(self, name: str, *, n_ahead: int, now: float) -> float:
        """Return the seconds until the rate has let ``n_ahead`` requests in."""
        known = self.states_by_name[name]
        rate = self._fill(known, now=now)
        n_short = n_ahead - known.tokens
        if n_short <= 0.0:
            return 0.0
        return n_short / rate if rate > 0.0 else float("inf")

    def _fill(self, known: AccountState, *, now: float) -> float:
        rate = self._limits.rate(known.name, known.declared.rate, now=now)
        known.fill(rate, now)
        return rate

    # Counts

    def entered(self, name: str, *, has_waited: bool, now: float) -> None:
        """Count a request that was let in."""
        known = self.states_by_name[name]
        known.n_waiting -= has_waited
        known.tokens -= 1.0
        known.n_in_flight += 1
        self._note(known, now=now)

    def waits(self, name: str, *, now: float) -> None:
        """Count a request that has to wait."""
        known = self.states_by_name[name]
        known.n_waiting += 1
        self._note(known, now=now)

    def ended(self, name: str, *, was_waiting: bool, now: float) -> None:
        """Take note that a request has ended, or waits no more."""
        known = self.states_by_name[name]
        if was_waiting:
            known.n_waiting -= 1
        else:
            known.n_in_flight -= 1
        self._note(known, now=now)

    def _note(self, known: AccountState, *, now: float) -> None:
        self._limits.occupied(
            known.name,
            n_in_flight=known.n_in_flight,
            n_waiting=known.n_waiting,
            now=now,
        )
