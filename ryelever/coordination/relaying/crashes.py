"""Bound how many backend servers one relayed request can crash, over all hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..quarantine import Quarantine

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...state.observations import SuspicionRow
    from ..quarantine import Quarantined
    from .request import RelayRequest

__all__ = ["CrashWatch"]

#: Reasons of a failed attempt that a backend server's death may be behind.  Silence
#: is none: a partition silences many servers at once, and would make suspects of all
#: that runs.
CRASH_REASONS = frozenset(
    {"connection_failed", "stream_cut_off", "answer_without_head"}
)

#: Seconds for which a suspicion is told after it has changed: ten words within a zone
#: and three to others, of which one arrives even where three packets in ten are lost.
ANNOUNCED_FOR = 2.0

#: Suspicions in one word, the newest first; each takes some 60 bytes.
MAX_TOLD = 32


class CrashWatch:
    """Tell the requests that crash backend servers from those that were near.

    A request that crashes what runs it comes again, to any entry host, and takes one
    backend server after the other; an operator sees group after group lose its head.
    Each host counts the crashes that a request was in and tells the others, so that
    none of them sends it after the second one.

    Parameters
    ----------
    quarantine : Quarantine
        Judges by the crashes that a request was in.
    """

    __slots__ = ("_quarantine",)

    def __init__(self, *, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    def verdict(self, request: RelayRequest, *, now: float) -> Quarantined | None:
        """Return why a request is not sent to a backend server, or None."""
        if not self._quarantine.has_suspects:
            return None
        return self._quarantine.verdict(_fingerprint(request), now=now)

    def failed(
        self, request: RelayRequest, *, server_id: str, reason: str, now: float
    ) -> None:
        """Take a failed attempt; each attempt that a crash breaks off tells of it."""
        if reason in CRASH_REASONS:
            self._quarantine.crashed(server_id, {_fingerprint(request)}, now=now)

    def completed(self, request: RelayRequest, *, now: float) -> None:
        """Clear a request that got its whole answer."""
        self._quarantine.completed(_fingerprint(request), now=now)

    def told(self, *, now: float) -> tuple[SuspicionRow, ...]:
        """Return what the other hosts are to hear: what has changed just now."""
        return tuple(self._quarantine.changes(since=now - ANNOUNCED_FOR)[:MAX_TOLD])

    def heard(self, rows: Iterable[SuspicionRow], *, host: str, now: float) -> None:
        """Take what another host has told."""
        for row in rows:
            self._quarantine.observed(row, peer=host, observed_at=now, now=now)


def _fingerprint(request: RelayRequest) -> str:
    """Return what a request has in common with its repeats: caller and content."""
    return f"{request.account}/{request.arrival.content}"
