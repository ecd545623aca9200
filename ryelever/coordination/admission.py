"""Decide which requests enter, per client account."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..state.configuration import ClientAccount
    from .actions import Arrival

__all__ = ["Admission", "Admitted", "ConcurrencyAdmission", "Queued", "Refused"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Admitted:
    """Let the request go on at once."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Queued:
    """Keep the request until ``Admission.release`` names it."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Refused:
    """Give the request its final answer at once."""

    reason: str
    retry_after: float


class Admission(Protocol):
    """Decide over entry, order of waiting and refusal."""

    def admit(
        self, arrival: Arrival, account: ClientAccount, *, now: float
    ) -> Admitted | Queued | Refused:
        """Decide over one arriving request."""

    def release(self, request_id: str, *, now: float) -> None:
        """Take note that a request has ended, however it ended."""

    def ready(self, *, now: float) -> list[str]:
        """Return the waiting requests that may go on now, best first."""

    def expired(self, *, now: float) -> list[tuple[str, Refused]]:
        """Return the waiting requests that can no longer be met in time."""


class ConcurrencyAdmission:
    """Bound the requests in flight of each client account; keep no queue."""

    def __init__(self, *, retry_after: float = 1.0) -> None:
        self._retry_after = retry_after
        self._account_by_request: dict[str, str] = {}
        self._n_by_account: dict[str, int] = {}

    def admit(
        self, arrival: Arrival, account: ClientAccount, *, now: float
    ) -> Admitted | Queued | Refused:
        """Admit the request if its account has room."""
        n_in_flight = self._n_by_account.get(arrival.client_account, 0)
        if n_in_flight >= account.concurrency:
            return Refused(
                reason=(
                    f"client account {arrival.client_account} has "
                    f"{n_in_flight} requests in flight, its limit"
                ),
                retry_after=self._retry_after,
            )
        self._account_by_request[arrival.request_id] = arrival.client_account
        self._n_by_account[arrival.client_account] = n_in_flight + 1
        return Admitted()

    def release(self, request_id: str, *, now: float) -> None:
        """Give the account its room back."""
        account = self._account_by_request.pop(request_id, None)
        if account is not None:
            self._n_by_account[account] -= 1

    def ready(self, *, now: float) -> list[str]:
        """Return nothing: there is no queue."""
        return []

    def expired(self, *, now: float) -> list[tuple[str, Refused]]:
        """Return nothing: there is no queue."""
        return []
