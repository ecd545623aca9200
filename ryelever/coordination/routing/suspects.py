"""Keep the suspects of a crash apart from one another while they run again."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..quarantine import Quarantine

__all__ = ["SuspectsInFlight"]


class SuspectsInFlight:
    """Know which suspects run where.

    A crash breaks off a poisonous request and bystanders alike.  Were two of them to
    run at one target again, the next crash would single out neither: the operator
    sees group after group die, since each round has fresh bystanders.  So a target
    holds one suspect at a time, and the others wait for their turn.
    """

    def __init__(self, *, quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._fingerprints_by_target: dict[str, Counter[str]] = {}

    def started(self, target: str, fingerprint: str) -> None:
        """Count an attempt of a request, suspect or not yet."""
        running = self._fingerprints_by_target.setdefault(target, Counter())
        running[fingerprint] += 1

    def ended(self, target: str, fingerprint: str) -> None:
        """Count an attempt no more."""
        running = self._fingerprints_by_target[target]
        running[fingerprint] -= 1
        if not running[fingerprint]:
            del running[fingerprint]
        if not running:
            del self._fingerprints_by_target[target]

    def at(self, target: str, *, now: float) -> set[str]:
        """Return the suspects that run at a target."""
        if not self._quarantine.has_suspects:
            return set()
        return {
            fingerprint
            for fingerprint in self._fingerprints_by_target.get(target, ())
            if self._quarantine.is_suspect(fingerprint, now=now)
        }

    def targets_of(self, fingerprint: str) -> set[str]:
        """Return where a request runs; its caller may have sent it twice."""
        return {
            target
            for target, running in self._fingerprints_by_target.items()
            if fingerprint in running
        }
