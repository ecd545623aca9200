"""Keep the suspects of a crash apart from one another while they run again."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..quarantine import Quarantine

__all__ = ["SuspectsInFlight"]


class SuspectsInFlight:
    """Track which requests run at which target, to keep suspects apart.

    A crash breaks off the poison request together with bystanders.  If two of them ran
    at one target again, the next crash would identify neither: the operator would see
    group after group die, since each crash adds new bystanders.  A target therefore
    runs one suspect at a time, and the other suspects wait.
    """

    def __init__(self, *, quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._fingerprints_by_target: dict[str, Counter[str]] = {}

    def started(self, target: str, fingerprint: str) -> None:
        """Record an attempt at a target; its request may become a suspect later."""
        running = self._fingerprints_by_target.setdefault(target, Counter())
        running[fingerprint] += 1

    def ended(self, target: str, fingerprint: str) -> None:
        """Remove an attempt that ended."""
        running = self._fingerprints_by_target[target]
        running[fingerprint] -= 1
        if not running[fingerprint]:
            del running[fingerprint]
        if not running:
            del self._fingerprints_by_target[target]

    def at(self, target: str, *, now: float) -> set[str]:
        """Return the fingerprints of the suspects that run at a target."""
        if not self._quarantine.has_suspects:
            return set()
        return {
            fingerprint
            for fingerprint in self._fingerprints_by_target.get(target, ())
            if self._quarantine.is_suspect(fingerprint, now=now)
        }

    def targets_of(self, fingerprint: str) -> set[str]:
        """Return the targets that run a request; its caller may have sent it twice."""
        return {
            target
            for target, running in self._fingerprints_by_target.items()
            if fingerprint in running
        }
