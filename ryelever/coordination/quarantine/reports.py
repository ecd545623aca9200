"""Say what a quarantine decided by."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ...state.observations import SuspicionRow
    from .evidence import Crash

__all__ = ["NoReports", "QuarantineReports"]


class QuarantineReports(Protocol):
    """Take the evidence and the verdicts, in the order in which they come."""

    def crash_noted(self, crash: Crash) -> None:
        """Take a crash with all that is known of it after a failed attempt."""

    def suspicion_received(self, row: SuspicionRow, *, peer: str) -> None:
        """Take what another host has observed that changes the evidence here."""

    def condemned(self, fingerprint: str, *, n_crashes: int, after: float) -> None:
        """Take the first verdict against a request.

        Parameters
        ----------
        after : float
            Seconds since the newest evidence.
        """


class NoReports:
    """Drop all reports."""

    __slots__ = ()

    def crash_noted(self, crash: Crash) -> None:
        """Do nothing."""

    def suspicion_received(self, row: SuspicionRow, *, peer: str) -> None:
        """Do nothing."""

    def condemned(self, fingerprint: str, *, n_crashes: int, after: float) -> None:
        """Do nothing."""
