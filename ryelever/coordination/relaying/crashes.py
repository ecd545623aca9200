"""Limit how many backend servers one relayed request can crash, over all hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...state.observations import InvolvementRow
    from ..quarantine import CrashEvidence, Quarantined
    from .request import RelayRequest

__all__ = ["CrashWatch"]

#: Reasons of failed attempts that can mean that the backend server died. Silence is
#: not among them: a network partition silences many servers at once, and would make
#: suspects of all requests that run there.
CRASH_REASONS = frozenset(
    {"connection_failed", "stream_cut_off", "answer_without_head"}
)

#: Seconds for which evidence is announced after it has changed, unless it is announced
#: for as long as it counts. This covers ten heartbeats within a zone and three to other
#: zones, of which one arrives even if three packets in ten are lost.
ANNOUNCED_FOR = 2.0

#: Seconds from the first event of an answer after which the request is known to crash
#: no servers. Such a request ends its server when the answer begins.
CLEARED_AFTER = 1.0

#: Maximum number of requests, and of parts of prompts, in one heartbeat, each of which
#: takes 70 to 150 bytes.
MAX_ANNOUNCED = 32


class CrashWatch:
    """Find the requests that crash backend servers.

    A request that crashes the server running it is sent again, through any entry host,
    and takes down one backend server after the other; an operator sees group after
    group lose its head. Each host records the crashes that its requests were involved
    in and announces them to the other hosts, so that no host sends the request after
    its second crash. Requests that only ran beside the cause of a crash are cleared
    when they complete. The same holds for the parts of prompts that requests share.

    Parameters
    ----------
    evidence : CrashEvidence
        Decides, by the crashes a request was involved in, whether to refuse it.
    """

    __slots__ = ("_evidence",)

    def __init__(self, *, evidence: CrashEvidence) -> None:
        self._evidence = evidence

    def verdict(self, request: RelayRequest, *, now: float) -> Quarantined | None:
        """Return why a request must not be sent to a backend server, or None."""
        if self._evidence.is_empty:
            return None
        return self._evidence.verdict(
            _fingerprint(request), parts=request.arrival.shared_parts, now=now
        )

    def awaits_verdict(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether a request must wait until there is a verdict on it."""
        if self._evidence.is_empty:
            return False
        return self._evidence.awaits_verdict(
            _fingerprint(request), parts=request.arrival.shared_parts, now=now
        )

    def failed(self, request: RelayRequest, *, reason: str, now: float) -> str:
        """Record a failed attempt; return the request's fingerprint if it was a crash.

        Each attempt that a crash breaks off records the same crash again.
        """
        if reason not in CRASH_REASONS:
            return ""
        fingerprint = _fingerprint(request)
        attempt = request.attempt
        self._evidence.crashed(
            attempt.server_id,
            attempt.started_at,
            fingerprint,
            parts=request.arrival.shared_parts,
            now=now,
        )
        return fingerprint

    def completed(
        self, request: RelayRequest, *, succeeded: bool = True, now: float
    ) -> None:
        """Clear a request that got its complete answer.

        Parameters
        ----------
        succeeded : bool
            False if the server refused the request, and may not have read its prompt.
        """
        parts = request.arrival.shared_parts if succeeded else ()
        self._evidence.completed(_fingerprint(request), parts=parts, now=now)

    def answering(self, request: RelayRequest, *, now: float) -> None:
        """Clear the parts of a request once its answer has been going on for long."""
        is_long = now - request.answering_since >= CLEARED_AFTER
        if is_long and not request.has_cleared_parts:
            request.has_cleared_parts = True
            self._evidence.answered(request.arrival.shared_parts, now=now)

    @property
    def n_crashes(self) -> int:
        """Return how often a crash began to count against a request or a part."""
        return self._evidence.n_crashes

    @property
    def n_verdicts(self) -> int:
        """Return the number of verdicts so far."""
        return self._evidence.n_verdicts

    @property
    def quarantined_parts(self) -> tuple[str, ...]:
        """Return the parts of prompts that are not sent to servers."""
        return self._evidence.quarantined_parts

    def release_parts(self, parts: Iterable[str], *, now: float) -> None:
        """Exclude parts of prompts that an operator has named from the quarantine."""
        self._evidence.release_parts(parts, now=now)

    def announced(self, *, now: float) -> tuple[InvolvementRow, ...]:
        """Return the evidence for the other hosts, the most important rows first."""
        if self._evidence.is_empty:
            return ()
        rows = self._evidence.rows(
            since=now - ANNOUNCED_FOR, now=now, limit=MAX_ANNOUNCED
        )
        return tuple(rows)

    def record_announced(
        self, rows: Iterable[InvolvementRow], *, host: str, now: float
    ) -> None:
        """Record the evidence that another host has announced."""
        for row in rows:
            self._evidence.join(row, peer=host, now=now)


def _fingerprint(request: RelayRequest) -> str:
    """Return what a request shares with its retries: account and content."""
    return f"{request.account}/{request.arrival.content}"
