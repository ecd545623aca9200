"""Fold the claims and outcomes of non-repeatable requests.

Each idempotency key contains its time of issue.  A claim is kept until the log's time
is more than ``CLAIM_WINDOW`` seconds past the key's time of issue, and is then dropped.
This is safe because every reader refuses any later claim of the key by the same rule.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

from .fold import BaseFold
from .idempotency_key import issued_at
from .records import Claim, Entry, Outcome, SnapshotPart, Unreadable

__all__ = [
    "CLAIM_WINDOW",
    "MAX_TIME_TO_FREE",
    "MAX_KEY_LEAD",
    "ClaimState",
    "ClaimsFold",
    "ClaimsSnapshot",
]

#: Seconds after a key's time of issue during which the key can be claimed and its
#: outcome requested.  A constant instead of a setting, since two hosts with different
#: windows would disagree on which claims are valid.
CLAIM_WINDOW = 600.0

#: Maximum seconds by which a key's time of issue may be ahead of the log's clock.
MAX_KEY_LEAD = 30.0

#: Seconds after a claim, by the log's time, within which the claim's owner can free the
#: key.  Later, a caller may have received the answer that the outcome stays unknown and
#: may have acted on it; a resend that then ran would be a second booking.
MAX_TIME_TO_FREE = 90.0

#: ``_complete_since`` of a fold that has read no records yet, or none since a loss of
#: records.  A finite number, since JSON would encode infinity as null, which means that
#: no record is missing.
NO_HISTORY = 1e18

#: Run state of an outcome that frees the claimed key.
NOT_RUN = "not_run"

#: Claims in one part of a snapshot.  A stored answer takes up to four kilobytes.
CLAIMS_PER_PART = 250


@dataclass(slots=True, kw_only=True)
class ClaimState:
    """The first claim of a key and, once known, its outcome."""

    key: str
    fingerprint: str
    owner: str
    request_id: str
    offset: int
    time: float
    outcome: Outcome | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class ClaimsSnapshot(SnapshotPart):
    """Snapshot part with some of the claims and their outcomes."""

    claims: tuple[ClaimState, ...] = ()


class ClaimsFold(BaseFold):
    """Fold claims: the first claim of each key takes effect, later ones are ignored.

    While records are missing (``gap``), a claim read from the log must not be treated
    as the first claim of its key.  A snapshot closes the gap.  The gap also closes once
    the log's time has advanced by more than ``window`` plus ``max_ahead`` since the
    first record read after the gap: no key claimed in the gap can be claimed then.

    Parameters
    ----------
    window, max_ahead : float
        Values in seconds that replace ``CLAIM_WINDOW`` and ``MAX_KEY_LEAD``; they must
        be the same for all readers.
    """

    remember_for = 60.0
    snapshot_class = ClaimsSnapshot

    def __init__(
        self, *, window: float = CLAIM_WINDOW, max_ahead: float = MAX_KEY_LEAD
    ) -> None:
        super().__init__()
        self.window = window
        self.max_ahead = max_ahead
        self.claims_by_key: dict[str, ClaimState] = {}
        self._issue_times: list[tuple[float, str]] = []
        # The log's time from which on no records are missing.
        self._complete_since = NO_HISTORY

    def record_loss(self, *, before: int, reason: str) -> None:
        """Register that the records below ``before`` can no longer be read."""
        super().record_loss(before=before, reason=reason)
        self._complete_since = NO_HISTORY

    def refusal_reason(self, issued: float, *, at: float) -> str | None:
        """Return why a key issued at ``issued`` cannot be claimed at time ``at``.

        Returns None if the key can be claimed.
        """
        if at - issued > self.window:
            return f"key was issued more than {self.window:g} s ago"
        if issued - at > self.max_ahead:
            return f"key was issued more than {self.max_ahead:g} s in the future"
        return None

    # Snapshots and gaps

    def is_improved_by(self, head: SnapshotPart) -> bool:
        """Return whether a snapshot contains records that this fold lacks."""
        if self.gap is None or head.as_of < self.gap.before:
            return False
        return head.incomplete_since is None or (
            head.incomplete_since < self._complete_since
        )

    def has_enough_history(self, *, oldest: float, newest: float) -> bool:
        """Return whether the records from time ``oldest`` on give a complete state."""
        return newest - oldest > self.window + self.max_ahead

    @property
    def may_write_snapshot(self) -> bool:
        """Return whether other hosts may restore their state from this fold's.

        An incomplete snapshot may be written, too, and is marked as incomplete.  Its
        append advances the log's time.  While the gap lasts, no host appends claims,
        and without the snapshot the stream would stay incomplete.
        """
        return self.next_offset > 0

    def _incomplete_since(self) -> float | None:
        return None if self.gap is None else self._complete_since

    def _drop_expired(self) -> None:
        if self.gap is not None:
            self._complete_since = min(self._complete_since, self.log_time)
            if self.has_enough_history(
                oldest=self._complete_since, newest=self.log_time
            ):
                self.gap = None
        while self._issue_times:
            issued, key = self._issue_times[0]
            if self.log_time - issued <= self.window:
                return
            heapq.heappop(self._issue_times)
            self.claims_by_key.pop(key, None)

    def _handle_unreadable(self, entry: Entry, record: Unreadable) -> None:
        # A record of a kind that only a newer release knows may be a claim.  If its
        # key were treated as unclaimed, the request could run a second time.
        if not record.known_kind:
            self.record_loss(before=entry.offset + 1, reason=record.reason)
            self._complete_since = self.log_time

    def _contents(self) -> list[dict[str, Any]]:
        # Copied, since a part is encoded later and must not contain later changes.
        claims = [replace(claim) for claim in self.claims_by_key.values()]
        return [
            {"claims": tuple(claims[start : start + CLAIMS_PER_PART])}
            for start in range(0, len(claims), CLAIMS_PER_PART)
        ]

    def _restore(self, parts: Sequence[SnapshotPart]) -> None:
        head = parts[0]
        if head.incomplete_since is not None:
            super().record_loss(before=head.as_of, reason="the snapshot is incomplete")
            self._complete_since = head.incomplete_since
        self.claims_by_key = {}
        self._issue_times = []
        for part in parts:
            assert isinstance(part, ClaimsSnapshot)
            for claim in part.claims:
                self._add_claim(claim)

    # Records

    def _apply_record(self, entry: Entry) -> str | None:
        match entry.record:
            case Claim():
                return self._apply_claim(entry, entry.record)
            case Outcome():
                return self._apply_outcome(entry.record)
            case _:
                return "not a record of claims"

    def _apply_claim(self, entry: Entry, record: Claim) -> str | None:
        issued = issued_at(record.key.partition("/")[2])
        if issued is None:
            return "key carries no time of issue"
        reason = self.refusal_reason(issued, at=self.log_time)
        if reason is not None:
            return reason
        first = self.claims_by_key.get(record.key)
        if first is not None:
            return f"key is claimed already at offset {first.offset}"
        self._add_claim(
            ClaimState(
                key=record.key,
                fingerprint=record.fingerprint,
                owner=record.owner,
                request_id=record.request_id,
                offset=entry.offset,
                time=entry.time,
            )
        )
        return None

    def _add_claim(self, claim: ClaimState) -> None:
        issued = issued_at(claim.key.partition("/")[2])
        self.claims_by_key[claim.key] = claim
        heapq.heappush(self._issue_times, (issued or 0.0, claim.key))

    def _apply_outcome(self, record: Outcome) -> str | None:
        claim = self.claims_by_key.get(record.key)
        if claim is None:
            return "no claim of this key"
        if claim.owner != record.owner:
            return f"claim is owned by {claim.owner}"
        if record.request_id and record.request_id != claim.request_id:
            # Repeated append of the outcome of an earlier claim by the same owner.
            # Applied to the current claim, the outcome could free the key of a request
            # that is still running.
            return f"claim is of request {claim.request_id}"
        if claim.outcome is not None:
            return "outcome is known already"
        if record.run_state == NOT_RUN:
            if self.log_time - claim.time > MAX_TIME_TO_FREE:
                return f"key was claimed more than {MAX_TIME_TO_FREE:g} s ago"
            # The request was not run.  The caller was asked to retry, and the resend
            # must be able to claim the key.
            del self.claims_by_key[record.key]
            return None
        claim.outcome = record
        return None
