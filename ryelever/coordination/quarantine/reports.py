"""Define the receiver of a quarantine's evidence and verdicts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ...state.observations import SuspicionRow
    from .evidence import Crash

__all__ = ["NoReports", "QuarantineReports"]


class QuarantineReports(Protocol):
    """Receiver of the evidence and the verdicts, in the order of their occurrence."""

    def crash_noted(self, crash: Crash) -> None:
        """Process a crash with all evidence collected up to a failed attempt."""

    def suspicion_received(self, row: SuspicionRow, *, peer: str) -> None:
        """Process a peer's observation that changes the evidence on this host."""

    def suspect_cleared(self, fingerprint: str, *, peer: str) -> None:
        """Process that all evidence against a request was dropped.

        Parameters
        ----------
        peer : str
            The peer that reported no crashes; empty if the request completed here.
        """

    def crash_explained(self, crash: Crash) -> None:
        """Process that a crash got or lost the request that explains it."""

    def condemned(self, fingerprint: str, *, n_crashes: int, after: float) -> None:
        """Process the first verdict against a request.

        Parameters
        ----------
        after : float
            Seconds since the newest evidence.
        """


class NoReports:
    """Receiver that discards all evidence and verdicts."""

    __slots__ = ()

    def crash_noted(self, crash: Crash) -> None:
        """Do nothing."""

    def suspicion_received(self, row: SuspicionRow, *, peer: str) -> None:
        """Do nothing."""

    def suspect_cleared(self, fingerprint: str, *, peer: str) -> None:
        """Do nothing."""

    def crash_explained(self, crash: Crash) -> None:
        """Do nothing."""

    def condemned(self, fingerprint: str, *, n_crashes: int, after: float) -> None:
        """Do nothing."""
