"""Define the interface through which admission uses an account's limits."""

from __future__ import annotations

from typing import Protocol

__all__ = ["LimitsView", "FullLimits"]


class LimitsView(Protocol):
    """Interface to this host's share of the limits of each account."""

    def arrived(self, client_account: str, *, now: float) -> None:
        """Count one arrival, admitted or not."""

    def occupied(
        self, client_account: str, *, n_in_flight: int, n_waiting: int, now: float
    ) -> None:
        """Record the account's requests at this host."""

    def rate(self, client_account: str, limit: float, *, now: float) -> float:
        """Return the requests a second that this host may admit."""

    def concurrency(self, client_account: str, limit: int, *, now: float) -> int:
        """Return the requests that this host may have in flight."""


class FullLimits:
    """Grant each limit in full, as for a single entry host."""

    def arrived(self, client_account: str, *, now: float) -> None:
        """Do nothing: a full limit doesn't depend on arrivals."""

    def occupied(
        self, client_account: str, *, n_in_flight: int, n_waiting: int, now: float
    ) -> None:
        """Do nothing: a full limit doesn't depend on the account's requests."""

    def rate(self, client_account: str, limit: float, *, now: float) -> float:
        """Return the full limit."""
        return limit

    def concurrency(self, client_account: str, limit: int, *, now: float) -> int:
        """Return the full limit."""
        return limit
