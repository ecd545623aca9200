"""Hold the evidence of crashes against requests."""

from __future__ import annotations

import msgspec

from ...state.observations import SuspicionRow

__all__ = ["Crash", "PeerCount", "Suspect"]


class PeerCount(msgspec.Struct, kw_only=True):
    """Hold a peer's count, and how much of it a completion here refuted."""

    n_crashes: int = 0
    n_refuted: int = 0
    observed_at: float = float("-inf")
    crash: Crash | None = None
    row: SuspicionRow | None = None


class Crash(msgspec.Struct, kw_only=True, eq=False):
    """Hold one crash, whom it was counted against, and who was a suspect already.

    Attributes
    ----------
    proved : set of str
        Those of ``repeated`` that had got past the place of their first crash.
    key : str
        Names the crash alike on all entry hosts.
    culprit : str
        The condemned fingerprint that explains the crash; empty if none does.
    """

    at: float
    key: str = ""
    counted: set[str] = msgspec.field(default_factory=set)
    repeated: set[str] = msgspec.field(default_factory=set)
    proved: set[str] = msgspec.field(default_factory=set)
    culprit: str = ""

    @property
    def only_repeated(self) -> str:
        """Return the only one that was a suspect already, or nothing.

        Those that proved themselves count only where there is nobody else.
        """
        left = self.repeated - self.proved or self.repeated
        return next(iter(left)) if len(left) == 1 else ""

    def counts_against(self, fingerprint: str) -> bool:
        """Tell whether the crash speaks against one of those that ran in it."""
        if self.culprit not in ("", fingerprint):
            return False
        return fingerprint not in self.repeated or self.only_repeated == fingerprint


class Suspect(msgspec.Struct, kw_only=True):
    """Hold the evidence against one fingerprint."""

    fingerprint: str
    crashes: list[Crash] = msgspec.field(default_factory=list)
    crashed_at: float = float("-inf")
    cleared_at: float = float("-inf")
    proved: bool = False
    is_reported: bool = False
    repeated_in: Crash | None = None
    counts_by_peer: dict[str, PeerCount] = msgspec.field(default_factory=dict)

    @property
    def n_crashes(self) -> int:
        """Return the own crashes that nobody else explains."""
        return sum(crash.counts_against(self.fingerprint) for crash in self.crashes)

    @property
    def n_all(self) -> int:
        """Return the crashes over all entry hosts that still count."""
        return self.n_besides(None)

    def n_besides(self, besides: Crash | None) -> int:
        """Return the crashes that still count, without one of them.

        A crash that several entry hosts saw counts once.
        """
        seen = [crash for crash in self.crashes if crash is not besides]
        n_crashes = sum(crash.counts_against(self.fingerprint) for crash in seen)
        for count in self.counts_by_peer.values():
            n_told = count.n_crashes - count.n_refuted
            crash = count.crash
            if crash is not None and n_told > 0:
                if not crash.counts_against(self.fingerprint):
                    n_told = min(n_told, 1)
                if crash in seen or crash is besides:
                    n_told -= 1
                seen.append(crash)
            n_crashes += max(0, n_told)
        return n_crashes

    @property
    def changed_at(self) -> float:
        """Return when this entry host itself last saw it crash or complete."""
        return max(self.crashed_at, self.cleared_at)

    @property
    def newest_at(self) -> float:
        """Return the time of the newest evidence."""
        observed = (count.observed_at for count in self.counts_by_peer.values())
        return max(self.crashed_at, *observed, float("-inf"))

    def row(self) -> SuspicionRow:
        """Return what peers are told."""
        newest = self.crashes[-1] if self.crashes else None
        repeated_in = self.repeated_in
        crash = repeated_in if repeated_in is not None else newest
        return SuspicionRow(
            fingerprint=self.fingerprint,
            n_crashes=self.n_crashes,
            crash=crash.key if crash is not None else "",
            repeated=repeated_in is not None,
            proved=repeated_in is not None and self.fingerprint in repeated_in.proved,
        )

    def clear(self) -> None:
        """Drop the evidence so far; peers that go on telling it add nothing."""
        self.crashes.clear()
        self.is_reported = False
        self.repeated_in = None
        for count in self.counts_by_peer.values():
            count.n_refuted = count.n_crashes
