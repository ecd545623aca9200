"""Decide which requests enter, per client account."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ...state.configuration import ClientAccount
    from ..actions import Arrival

__all__ = ["Admission", "Admitted", "Queued", "Refused"]


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
