"""Evidence that requests have crashed backend servers."""

from __future__ import annotations

import msgspec

from ...state.observations import SuspicionRow

__all__ = ["Crash", "PeerCount", "Suspect"]


class PeerCount(msgspec.Struct, kw_only=True):
    """A peer's count of a request's crashes.

    Attributes
    ----------
    n_refuted : int
        Part of the count that a later completion of the request has refuted.
    crash : Crash or None
        The newest crash that the peer has reported.
    """

    n_crashes: int = 0
    n_refuted: int = 0
    observed_at: float = float("-inf")
    crash: Crash | None = None
    row: SuspicionRow | None = None


class Crash(msgspec.Struct, kw_only=True, eq=False):
    """One crash of a backend server and the requests that were running in it.

    Attributes
    ----------
    key : str
        Identifier of the crash, the same on all entry hosts.
    counted : set of str
        Fingerprints that became suspects by the crash, or were excused from it.
    repeated : set of str
        Fingerprints that were suspects already.
    proved : set of str
        Those of ``repeated`` that had run past the position of their first crash.
    explained_by : str
        The condemned fingerprint that explains the crash; empty if there is none.
    """

    at: float
    key: str = ""
    counted: set[str] = msgspec.field(default_factory=set)
    repeated: set[str] = msgspec.field(default_factory=set)
    proved: set[str] = msgspec.field(default_factory=set)
    explained_by: str = ""

    @property
    def sole_repeated_suspect(self) -> str:
        """Return the only fingerprint that was a suspect already, or an empty string.

        Fingerprints in ``proved`` are considered only if there are no others.
        """
        candidates = self.repeated - self.proved or self.repeated
        return next(iter(candidates)) if len(candidates) == 1 else ""

    def implicates(self, fingerprint: str) -> bool:
        """Return whether the crash is evidence against a request that ran in it."""
        if self.explained_by not in ("", fingerprint):
            return False
        return (
            fingerprint not in self.repeated
            or self.sole_repeated_suspect == fingerprint
        )


class Suspect(msgspec.Struct, kw_only=True):
    """Evidence against one fingerprint.

    Attributes
    ----------
    crashed_at : float
        Time of the last crash that this host has counted.
    cleared_at : float
        Time of the last completion on this host that cleared the suspect.
    proved : bool
        Since its last crash the request has run past the position of that crash.
    is_reported : bool
        The verdict has been reported.
    repeat_crash : Crash or None
        The last crash in which the request ran as a suspect.
    """

    fingerprint: str
    crashes: list[Crash] = msgspec.field(default_factory=list)
    crashed_at: float = float("-inf")
    cleared_at: float = float("-inf")
    proved: bool = False
    is_reported: bool = False
    repeat_crash: Crash | None = None
    counts_by_peer: dict[str, PeerCount] = msgspec.field(default_factory=dict)

    @property
    def n_crashes(self) -> int:
        """Return the number of this host's crashes that no other request explains."""
        return sum(crash.implicates(self.fingerprint) for crash in self.crashes)

    @property
    def n_total_crashes(self) -> int:
        """Return the number of crashes over all entry hosts that still count."""
        return self.n_crashes_without(None)

    def n_crashes_without(self, excluded: Crash | None) -> int:
        """Return the number of crashes that still count, without an excluded one.

        A crash that several entry hosts have observed counts once.
        """
        seen = [crash for crash in self.crashes if crash is not excluded]
        n_crashes = sum(crash.implicates(self.fingerprint) for crash in seen)
        for count in self.counts_by_peer.values():
            n_reported = count.n_crashes - count.n_refuted
            crash = count.crash
            if crash is not None and n_reported > 0:
                if not crash.implicates(self.fingerprint):
                    n_reported = min(n_reported, 1)
                if crash in seen or crash is excluded:
                    n_reported -= 1
                seen.append(crash)
            n_crashes += max(0, n_reported)
        return n_crashes

    @property
    def changed_at(self) -> float:
        """Return the time of the last crash or completion on this entry host."""
        return max(self.crashed_at, self.cleared_at)

    @property
    def newest_at(self) -> float:
        """Return the time of the newest evidence."""
        observed = (count.observed_at for count in self.counts_by_peer.values())
        return max(self.crashed_at, *observed, float("-inf"))

    def row(self) -> SuspicionRow:
        """Return the row that is sent to peers."""
        newest = self.crashes[-1] if self.crashes else None
        repeat_crash = self.repeat_crash
        crash = repeat_crash if repeat_crash is not None else newest
        return SuspicionRow(
            fingerprint=self.fingerprint,
            n_crashes=self.n_crashes,
            crash=crash.key if crash is not None else "",
            repeated=repeat_crash is not None,
            proved=repeat_crash is not None and self.fingerprint in repeat_crash.proved,
        )

    def clear(self) -> None:
        """Drop the evidence so far; the counts that peers keep sending add nothing."""
        self.crashes.clear()
        self.is_reported = False
        self.repeat_crash = None
        for count in self.counts_by_peer.values():
            count.n_refuted = count.n_crashes
