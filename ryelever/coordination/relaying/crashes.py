"""Limit how many backend servers one relayed request can crash, over all hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..quarantine import Quarantine

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...state.observations import SuspicionRow
    from ..quarantine import Quarantined
    from .request import RelayRequest

__all__ = ["CrashWatch"]

#: Reasons of a failed attempt that can mean that the backend server died. Silence is
#: not among them: a network partition silences many servers at once, and would make
#: suspects of all requests that run there.
CRASH_REASONS = frozenset(
    {"connection_failed", "stream_cut_off", "answer_without_head"}
)

#: Seconds for which a suspicion is announced after it has changed. This covers ten
#: heartbeats within a zone and three to other zones, of which one arrives even if three
#: packets in ten are lost.
ANNOUNCED_FOR = 2.0

#: Maximum number of suspicions in one heartbeat, the newest first; each takes about 60
#: bytes.
MAX_ANNOUNCED = 32


class CrashWatch:
    """Find the requests that crash backend servers.

    A request that crashes the server running it is sent again, through any entry host,
    and takes down one backend server after the other; an operator sees group after
    group lose its head. Each host counts the crashes that a request was involved in and
    announces them to the other hosts, so that no host sends the request after its
    second crash. Requests that only ran beside the cause of a crash are cleared when
    they complete.

    Parameters
    ----------
    quarantine : Quarantine
        Decides, by the crashes a request was involved in, whether to refuse it.
    """

    __slots__ = ("_quarantine",)

    def __init__(self, *, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    def verdict(self, request: RelayRequest, *, now: float) -> Quarantined | None:
        """Return why a request must not be sent to a backend server, or None."""
        if not self._quarantine.has_suspects:
            return None
        return self._quarantine.verdict(_fingerprint(request), now=now)

    def failed(
        self, request: RelayRequest, *, server_id: str, reason: str, now: float
    ) -> str:
        """Record a failed attempt; return the request's fingerprint if it was a crash.

        Each attempt that a crash breaks off records the same crash again.
        """
        if reason not in CRASH_REASONS:
            return ""
        fingerprint = _fingerprint(request)
        self._quarantine.crashed(server_id, {fingerprint}, now=now)
        return fingerprint

    def completed(self, request: RelayRequest, *, now: float) -> None:
        """Clear a request that got its complete answer."""
        self._quarantine.completed(_fingerprint(request), now=now)

    def recent_suspicions(self, *, now: float) -> tuple[SuspicionRow, ...]:
        """Return the suspicions that have changed recently, for the other hosts."""
        return tuple(
            self._quarantine.changes(since=now - ANNOUNCED_FOR)[:MAX_ANNOUNCED]
        )

    def record_suspicions(
        self, rows: Iterable[SuspicionRow], *, host: str, now: float
    ) -> None:
        """Record the suspicions that another host has announced."""
        for row in rows:
            self._quarantine.observed(row, peer=host, observed_at=now, now=now)


def _fingerprint(request: RelayRequest) -> str:
    """Return what a request shares with its retries: account and content."""
    return f"{request.account}/{request.arrival.content}"
