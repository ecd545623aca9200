"""Fold claims and outcomes of non-repeatable requests.

A key carries its time of issue.  Claims are kept for ``CLAIM_WINDOW`` seconds after
it, counted on the log's own times of append.  What lets a claim be forgotten is
that the same rule refuses any later claim of the key: a fold forgets exactly the
keys that it, and every other reader, would refuse.
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
    "FREED_WITHIN",
    "MAX_AHEAD",
    "ClaimState",
    "ClaimsFold",
    "ClaimsSnapshot",
]

#: Seconds after its issue for which a key can be claimed and its outcome asked for.
#: A constant, not a setting: two hosts with two windows would judge differently.
CLAIM_WINDOW = 600.0

#: Seconds by which a key's time of issue may lie ahead of the log's clock.
MAX_AHEAD = 30.0

#: Seconds after a claim within which its owner can free the key, by the log's time.
#: Later a caller may have been told that the outcome stays unknown, and may have
#: acted on that: a resend that ran after all would be the second booking.
FREED_WITHIN = 90.0

#: The log's time from which a fold knows everything that has read nothing yet; a
#: number, since JSON has no infinity and would turn it into "nothing is missing".
NOTHING_KNOWN = 1e18

#: The run state that frees a claimed key.
NOT_RUN = "not_run"

#: Claims in one part of a snapshot; a stored answer takes up to four kilobytes.
CLAIMS_PER_PART = 250


@dataclass(slots=True, kw_only=True)
class ClaimState:
    """Hold the first claim of one key and its outcome, once there is one."""

    key: str
    fingerprint: str
    owner: str
    request_id: str
    offset: int
    time: float
    outcome: Outcome | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class ClaimsSnapshot(SnapshotPart):
    """Repeat a piece of the claims and their outcomes."""

    claims: tuple[ClaimState, ...] = ()


class ClaimsFold(BaseFold):
    """Keep the first claim of each key; later ones are ignored.

    While records are missing (``gap``) nobody may take a claim read back here for
    the first one.  The gap ends with a snapshot, or by itself: once the log's time
    has moved on by the window and the allowed lead since the first record read
    after it, no key that was claimed in the gap can be claimed any more.

    Parameters
    ----------
    window, max_ahead : float
        Seconds; the same for every reader.
    """

    remember_for = 60.0
    snapshot_class = ClaimsSnapshot

    def __init__(
        self, *, window: float = CLAIM_WINDOW, max_ahead: float = MAX_AHEAD
    ) -> None:
        super().__init__()
        self.window = window
        self.max_ahead = max_ahead
        self.claims_by_key: dict[str, ClaimState] = {}
        self._issue_times: list[tuple[float, str]] = []
        self._known_from = NOTHING_KNOWN

    def lost(self, *, before: int, reason: str) -> None:
        """Take note that records below ``before`` cannot be read any more."""
        super().lost(before=before, reason=reason)
        self._known_from = NOTHING_KNOWN

    def reason_refused(self, issued: float, *, at: float) -> str | None:
        """Say why a key issued at a time cannot be claimed at another, if so."""
        if at - issued > self.window:
            return f"key was issued more than {self.window:g} s ago"
        if issued - at > self.max_ahead:
            return f"key was issued more than {self.max_ahead:g} s in the future"
        return None

    # Snapshots and gaps

    def improved_by(self, head: SnapshotPart) -> bool:
        """Tell whether a snapshot knows what this fold lacks."""
        if self.gap is None or head.as_of < self.gap.before:
            return False
        return head.incomplete_since is None or (
            head.incomplete_since < self._known_from
        )

    def enough_history(self, *, oldest: float, newest: float) -> bool:
        """Tell whether records from ``oldest`` on suffice to know everything."""
        return newest - oldest > self.window + self.max_ahead

    @property
    def may_write_snapshot(self) -> bool:
        """Tell whether others may restore from this fold's state.

        An incomplete one may be written too, and says so: it moves the log's time
        on, without which a stream that nobody may append to would stay unknown.
        """
        return self.next_offset > 0

    def _incomplete_since(self) -> float | None:
        return None if self.gap is None else self._known_from

    def _time_passed(self) -> None:
        if self.gap is not None:
            self._known_from = min(self._known_from, self.log_time)
            if self.enough_history(oldest=self._known_from, newest=self.log_time):
                self.gap = None
        while self._issue_times:
            issued, key = self._issue_times[0]
            if self.log_time - issued <= self.window:
                return
            heapq.heappop(self._issue_times)
            self.claims_by_key.pop(key, None)

    def _take_unreadable(self, entry: Entry, record: Unreadable) -> None:
        # A record of a kind that only a newer program knows may be a claim.  To
        # take the key for free would run it a second time.
        if not record.known_kind:
            self.lost(before=entry.offset + 1, reason=record.reason)
            self._known_from = self.log_time

    def _contents(self) -> list[dict[str, Any]]:
        # Copied: a part is encoded later, and must not follow what happens by then.
        claims = [replace(claim) for claim in self.claims_by_key.values()]
        return [
            {"claims": tuple(claims[start : start + CLAIMS_PER_PART])}
            for start in range(0, len(claims), CLAIMS_PER_PART)
        ]

    def _restore(self, parts: Sequence[SnapshotPart]) -> None:
        head = parts[0]
        if head.incomplete_since is not None:
            super().lost(before=head.as_of, reason="the snapshot is incomplete")
            self._known_from = head.incomplete_since
        self.claims_by_key = {}
        self._issue_times = []
        for part in parts:
            assert isinstance(part, ClaimsSnapshot)
            for claim in part.claims:
                self._keep(claim)

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
        reason = self.reason_refused(issued, at=self.log_time)
        if reason is not None:
            return reason
        first = self.claims_by_key.get(record.key)
        if first is not None:
            return f"key is claimed already at offset {first.offset}"
        self._keep(
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

    def _keep(self, claim: ClaimState) -> None:
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
            # The outcome of an earlier claim of the same owner, appended again
            # late: taken for this one it would free a key that is being run.
            return f"claim is of request {claim.request_id}"
        if claim.outcome is not None:
            return "outcome is known already"
        if record.run_state == NOT_RUN:
            if self.log_time - claim.time > FREED_WITHIN:
                return f"key was claimed more than {FREED_WITHIN:g} s ago"
            # Nothing was run, so the key is free: the caller was told to come
            # back, and a resend must be able to claim it.
            del self.claims_by_key[record.key]
            return None
        claim.outcome = record
        return None
