"""Exchange observations among entry hosts: who tells what, who takes it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...state.observations import Observation

__all__ = [
    "AgedObservationSource",
    "ObservationSink",
    "ObservationSource",
    "UrgentSource",
]


class ObservationSource(Protocol):
    """Tell what this entry host has observed itself."""

    def observations(self, *, now: float) -> list[Observation]:
        """Return the current rows; the exchange sends only what has changed."""


class UrgentSource(Protocol):
    """Tell what has changed that other entry hosts must hear at once."""

    def changes(self, *, since: float) -> Sequence[Observation]:
        """Return the rows that have changed since some monotonic time."""

    def unsettled_since(self, *, now: float) -> float | None:
        """Return up to when the zone's hosts must be heard for a decision, or None."""


class AgedObservationSource(Protocol):
    """Tell what this entry host observed itself at some earlier moment."""

    def aged_observations(self, *, now: float) -> list[tuple[Observation, float]]:
        """Return rows, each with its own monotonic time of observation."""


class ObservationSink(Protocol):
    """Take what a peer has observed."""

    def observed(
        self, observation: Observation, *, peer: str, observed_at: float, now: float
    ) -> None:
        """Take one row.

        Parameters
        ----------
        peer : str
            The entry host that observed it.
        observed_at : float
            Monotonic time on this host's clock, at the latest: the peer's own age of
            the row is subtracted from the time of arrival.
        """
