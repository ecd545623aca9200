"""Define what admission asks about an account's limits."""

from __future__ import annotations

from typing import Protocol

__all__ = ["LimitsView", "FullLimits"]


class LimitsView(Protocol):
    """Give this host's part of an account's limits."""

    def arrived(self, client_account: str, *, now: float) -> None:
        """Count one arrival, admitted or not."""

    def occupied(
        self, client_account: str, *, n_in_flight: int, n_waiting: int, now: float
    ) -> None:
        """Take note of the account's requests here."""

    def rate(self, client_account: str, limit: float, *, now: float) -> float:
        """Return the requests a second that this host may let in."""

    def concurrency(self, client_account: str, limit: int, *, now: float) -> int:
        """Return the requests that this host may have in flight."""


class FullLimits:
    """Give the whole of each limit: the plain policy for a single entry host."""

    def arrived(self, client_account: str, *, now: float) -> None:
        """Count nothing."""

    def occupied(
        self, client_account: str, *, n_in_flight: int, n_waiting: int, now: float
    ) -> None:
        """Note nothing."""

    def rate(self, client_account: str, limit: float, *, now: float) -> float:
        """Return the whole limit."""
        return limit

    def concurrency(self, client_account: str, limit: int, *, now: float) -> int:
        """Return the whole limit."""
        return limit
