"""Define the sources and sinks of the observations that entry hosts exchange."""

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
    """Source of the rows that this entry host has observed itself."""

    def observations(self, *, now: float) -> list[Observation]:
        """Return all current rows; the exchange sends only the changed ones."""


class UrgentSource(Protocol):
    """Source of changes that other entry hosts must receive at once."""

    def changes(self, *, since: float) -> Sequence[Observation]:
        """Return the rows that have changed since a monotonic time."""

    def unsettled_since(self, *, now: float) -> float | None:
        """Return the time up to which a pending decision needs the zone's reports.

        The decision waits until the zone's hosts have reported everything that they
        had observed by this monotonic time.  None if no decision is pending.
        """


class AgedObservationSource(Protocol):
    """Source of rows that this entry host observed itself at earlier times."""

    def aged_observations(self, *, now: float) -> list[tuple[Observation, float]]:
        """Return each row with the monotonic time at which it was observed."""


class ObservationSink(Protocol):
    """Receiver of the rows that peers have observed."""

    def observed(
        self, observation: Observation, *, peer: str, observed_at: float, now: float
    ) -> None:
        """Process one row.

        Parameters
        ----------
        peer : str
            The entry host that observed the row.
        observed_at : float
            Time on this host's monotonic clock at which the peer observed the row or
            last confirmed it: the estimated time at which the peer composed its
            datagram, minus the age that the datagram states.  The time may be too
            early, but not too late while the rates of the clocks differ by at most
            ``MAX_DRIFT``.
        """
