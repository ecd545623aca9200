"""Fold claims and outcomes of non-repeatable requests."""

from __future__ import annotations

from dataclasses import dataclass

from .fold import BaseFold
from .records import Claim, ClaimsSnapshot, Entry, Outcome

__all__ = ["ClaimState", "ClaimsFold"]

#: The run state that frees a claimed key.
NOT_RUN = "not_run"


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


class ClaimsFold(BaseFold):
    """Keep the first claim of each key; later ones are ignored."""

    def __init__(self) -> None:
        super().__init__()
        self.claims_by_key: dict[str, ClaimState] = {}

    def _apply_record(self, entry: Entry) -> str | None:
        match entry.record:
            case Claim():
                return self._apply_claim(entry, entry.record)
            case Outcome():
                return self._apply_outcome(entry.record)
            case ClaimsSnapshot():
                return None
            case _:
                return "not a record of claims"

    def _apply_claim(self, entry: Entry, record: Claim) -> str | None:
        first = self.claims_by_key.get(record.key)
        if first is not None:
            return f"key is claimed already at offset {first.offset}"
        self.claims_by_key[record.key] = ClaimState(
            key=record.key,
            fingerprint=record.fingerprint,
            owner=record.owner,
            request_id=record.request_id,
            offset=entry.offset,
            time=entry.time,
        )
        return None

    def _apply_outcome(self, record: Outcome) -> str | None:
        claim = self.claims_by_key.get(record.key)
        if claim is None:
            return "no claim of this key"
        if claim.owner != record.owner:
            return f"claim is owned by {claim.owner}"
        if claim.outcome is not None:
            return "outcome is known already"
        if record.run_state == NOT_RUN:
            # Nothing was run, so the key is free: the caller was told to come
            # back, and a resend must be able to claim it.
            del self.claims_by_key[record.key]
            return None
        claim.outcome = record
        return None
