"""Define the interface and the decisions of admission."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ...state.configuration import ClientAccount
    from ..actions import Arrival

__all__ = ["Admission", "Admitted", "Queued", "Refused"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Admitted:
    """Decision to forward the request at once."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Queued:
    """Decision to keep the request until ``ready`` or ``expired`` returns it."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Refused:
    """Decision to refuse the request.

    Attributes
    ----------
    reason : str
        Reason that is given to the caller.
    retry_after : float
        Seconds after which the caller should retry.
    """

    reason: str
    retry_after: float


class Admission(Protocol):
    """Decide which requests are admitted or refused, and in which order others wait."""

    def admit(
        self, arrival: Arrival, account: ClientAccount, *, now: float
    ) -> Admitted | Queued | Refused:
        """Decide whether an arriving request is admitted, queued or refused."""

    def release(self, request_id: str, *, now: float) -> None:
        """Record that a request has ended, for whatever reason."""

    def ready(self, *, now: float) -> list[str]:
        """Return the queued requests that are admitted now, in order of admission."""

    def expired(self, *, now: float) -> list[tuple[str, Refused]]:
        """Remove and return the queued requests that cannot meet their deadlines."""
