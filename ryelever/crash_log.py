"""Log the evidence by which relayed requests are quarantined."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .logs import log_event

if TYPE_CHECKING:
    from .state.observations import InvolvementRow

__all__ = ["CrashLog"]


class CrashLog:
    """Log each request in a crash, each host's evidence and each verdict."""

    __slots__ = ()

    def crash_noted(
        self, crash: str, fingerprint: str, *, parts: tuple[str, ...], n_crashes: int
    ) -> None:
        """Log that a request of this host was running in a crash."""
        log_event(
            "request_in_crash",
            crash=crash,
            fingerprint=fingerprint,
            parts=parts,
            n_crashes=n_crashes,
        )

    def evidence_received(self, row: InvolvementRow, *, peer: str) -> None:
        """Log another host's row that adds to the evidence."""
        if row.is_part:
            log_event(
                "part_evidence_received",
                peer=peer,
                part=row.fingerprint,
                crashes=row.crashes,
            )
            return
        log_event(
            "crash_evidence_received",
            peer=peer,
            fingerprint=row.fingerprint,
            crashes=row.crashes,
            refuted=row.refuted,
        )

    def cleared(self, fingerprint: str, *, peer: str) -> None:
        """Log that no crash counts against a request any more."""
        log_event("suspect_cleared", fingerprint=fingerprint, peer=peer)

    def condemned(self, fingerprint: str, *, n_crashes: int, after: float) -> None:
        """Log the first verdict against a request."""
        log_event(
            "request_condemned",
            fingerprint=fingerprint,
            n_crashes=n_crashes,
            after=round(after, 3),
        )

    def part_cleared(self, part: str, *, peer: str) -> None:
        """Log that a request with a suspected part has completed."""
        log_event("part_cleared", part=part, peer=peer)

    def part_condemned(self, part: str, *, n_crashes: int, after: float) -> None:
        """Log the first verdict against a part of prompts."""
        log_event(
            "part_condemned", part=part, n_crashes=n_crashes, after=round(after, 3)
        )
