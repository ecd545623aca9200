"""Define the receiver of the evidence that requests crash backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ...state.observations import InvolvementRow

__all__ = ["CrashReports", "NoCrashReports"]


class CrashReports(Protocol):
    """Receiver of the evidence and the verdicts, in the order of their occurrence."""

    def crash_noted(
        self, crash: str, fingerprint: str, *, parts: tuple[str, ...], n_crashes: int
    ) -> None:
        """Process that a request of this host was running in a crash.

        Parameters
        ----------
        parts : tuple of str
            Parts of its prompt that other requests may share.
        """

    def evidence_received(self, row: InvolvementRow, *, peer: str) -> None:
        """Process another host's row that adds to the evidence."""

    def cleared(self, fingerprint: str, *, peer: str) -> None:
        """Process that no crash counts against a request any more.

        Parameters
        ----------
        peer : str
            The host that reported the completion; empty for this host.
        """

    def condemned(self, fingerprint: str, *, n_crashes: int, after: float) -> None:
        """Process the first verdict against a request.

        Parameters
        ----------
        after : float
            Seconds since the newest evidence.
        """

    def part_cleared(self, part: str, *, peer: str) -> None:
        """Process that a part isn't suspected any more, as a request has completed."""

    def part_condemned(self, part: str, *, n_crashes: int, after: float) -> None:
        """Process the first verdict against a part of prompts."""


class NoCrashReports:
    """Receiver that discards all evidence and verdicts."""

    __slots__ = ()

    def crash_noted(
        self, crash: str, fingerprint: str, *, parts: tuple[str, ...], n_crashes: int
    ) -> None:
        """Do nothing."""

    def evidence_received(self, row: InvolvementRow, *, peer: str) -> None:
        """Do nothing."""

    def cleared(self, fingerprint: str, *, peer: str) -> None:
        """Do nothing."""

    def condemned(self, fingerprint: str, *, n_crashes: int, after: float) -> None:
        """Do nothing."""

    def part_cleared(self, part: str, *, peer: str) -> None:
        """Do nothing."""

    def part_condemned(self, part: str, *, n_crashes: int, after: float) -> None:
        """Do nothing."""
