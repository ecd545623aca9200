"""Log the evidence by which requests are quarantined."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .crash_log import CrashLog
from .logs import log_event

if TYPE_CHECKING:
    from .coordination.quarantine import Crash
    from .state.observations import SuspicionRow

__all__ = ["PartLog", "QuarantineLog"]


class QuarantineLog:
    """Log each crash, each suspicion from another host and each verdict."""

    __slots__ = ()

    def crash_noted(self, crash: Crash) -> None:
        """Log a crash and the requests of this host that ran on the crashed server."""
        log_event(
            "crash_noted",
            crash=crash.key,
            counted=sorted(crash.counted),
            repeated=sorted(crash.repeated),
            proved=sorted(crash.proved),
        )

    def suspicion_received(self, row: SuspicionRow, *, peer: str) -> None:
        """Log a suspicion of a request that another host has reported."""
        log_event(
            "suspicion_received",
            peer=peer,
            fingerprint=row.fingerprint,
            n_crashes=row.n_crashes,
            crash=row.crash,
            repeated=row.repeated,
            proved=row.proved,
        )

    def suspect_cleared(self, fingerprint: str, *, peer: str) -> None:
        """Log that all evidence against a request was dropped."""
        log_event("suspect_cleared", fingerprint=fingerprint, peer=peer)

    def crash_explained(self, crash: Crash) -> None:
        """Log which request explains a crash."""
        log_event("crash_explained", crash=crash.key, fingerprint=crash.explained_by)

    def condemned(self, fingerprint: str, *, n_crashes: int, after: float) -> None:
        """Log the first verdict against a request."""
        log_event(
            "request_condemned",
            fingerprint=fingerprint,
            n_crashes=n_crashes,
            after=round(after, 3),
        )


class PartLog(CrashLog):
    """Log the crashes and the verdicts of parts of prompts."""

    __slots__ = ()

    def cleared(self, fingerprint: str, *, peer: str) -> None:
        """Do nothing: ``QuarantineLog`` logs what concerns whole requests."""

    def condemned(self, fingerprint: str, *, n_crashes: int, after: float) -> None:
        """Do nothing."""
