"""Append claims of non-repeatable requests and answer their resends."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ...errors import RunState
from ...state.records import Claim, Outcome
from ..actions import AnswerError, AppendRecord
from . import answers
from .idempotency import mark_outcome_unknown

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...errors import RyeleverError
    from ...state.claims import ClaimState
    from ..actions import Action, Arrival
    from .state import Request

__all__ = ["ClaimsView", "RequestClaims"]

#: Seconds for which the append of an outcome is retried.  A claim without an outcome
#: answers every resend with "in progress", so the append of an outcome is retried
#: much longer than that of other records.
OUTCOME_KEPT = 300.0


class ClaimsView(Protocol):
    """Look up claims of non-repeatable requests in what was read of the log."""

    stream: str
    owner: str

    def available(self, *, now: float) -> bool:
        """Return whether the claims stream is read up to its end."""

    def has_all_claims(self, key: str, *, since: float) -> bool:
        """Return whether every claim of a key made before ``since`` was read."""

    def lookup(self, key: str) -> ClaimState | None:
        """Return the first claim of a key, or None if the key is not claimed."""


class RequestClaims:
    """Match this entry host's claims with the requests that wait for them.

    Parameters
    ----------
    claims : ClaimsView
        Claims read from the log, those of all entry hosts.
    timeout : float
        Seconds within which an appended claim must be read back.
    """

    def __init__(
        self,
        *,
        claims: ClaimsView,
        new_id: Callable[[], str],
        retry_after: Callable[[], float],
        timeout: float,
    ) -> None:
        self._claims = claims
        self._new_id = new_id
        self._retry_after = retry_after
        self._timeout = timeout
        self.owner = claims.owner
        self.request_by_claim: dict[str, str] = {}

    def available(self, *, now: float) -> bool:
        """Return whether a request can be claimed now."""
        return self._claims.available(now=now)

    def refuse(self, arrival: Arrival, error: RyeleverError) -> list[Action]:
        """Refuse a request that was not run, or answer it from an earlier claim.

        Another entry host may have claimed and run an earlier request with the same
        key.  Only a read of the log that started after this request arrived shows
        whether it did; without such a read the refusal must not say ``not_run``.
        """
        known = self.answer_from_claim(arrival)
        if known:
            return known
        key = answers.claim_key(arrival)
        if not arrival.repeatable and not self._claims.has_all_claims(
            key, since=arrival.arrived_at
        ):
            mark_outcome_unknown(error, retry_after=self._retry_after())
        return [AnswerError(request_id=arrival.request_id, error=error)]

    def answer_from_claim(self, arrival: Arrival) -> list[Action]:
        """Answer a resend from the claim of its key; empty if the key is unclaimed.

        Claims already read stay valid while the log is down.
        """
        if arrival.repeatable:
            return []
        claim = self._claims.lookup(answers.claim_key(arrival))
        if claim is None:
            return []
        if claim.fingerprint != arrival.fingerprint:
            error = answers.key_reused()
        elif claim.outcome is not None:
            return answers.stored_answer(arrival, claim.outcome)
        else:
            error = answers.in_progress(claim, retry_after=self._retry_after())
        return [AnswerError(request_id=arrival.request_id, error=error)]

    def append_claim(self, request: Request, *, now: float) -> Action:
        """Return the append of a request's claim, which must then be read back."""
        claim_id = self._new_id()
        request.claim_id = claim_id
        request.claim_deadline = now + self._timeout
        self.request_by_claim[claim_id] = request.arrival.request_id
        record = Claim(
            key=answers.claim_key(request.arrival),
            fingerprint=request.arrival.fingerprint,
            owner=self.owner,
            request_id=request.arrival.request_id,
        )
        return AppendRecord(
            stream=self._claims.stream,
            record=record,
            record_id=claim_id,
            retry_for=self._timeout,
        )

    def pop_waiting_request(self, claim_id: str) -> str | None:
        """Return the request id that waits for a claim, and forget the claim."""
        return self.request_by_claim.pop(claim_id, None)

    def forget(self, request: Request) -> None:
        """Stop waiting for the claim of a request."""
        self.request_by_claim.pop(request.claim_id, None)

    def free_key(self, claim: Claim) -> Action:
        """Return the append of an outcome that frees a key whose request never ran."""
        outcome = self._outcome(
            claim.key, RunState.NOT_RUN, request_id=claim.request_id
        )
        return self.append_outcome(outcome)

    def append_unanswered_outcome(self, request: Request) -> Action:
        """Return the append of the outcome of a request that ended without answer."""
        key = answers.claim_key(request.arrival)
        outcome = self._outcome(
            key, request.run_state, request_id=request.arrival.request_id
        )
        return self.append_outcome(outcome)

    def append_outcome(self, outcome: Outcome) -> Action:
        """Return the append of an outcome."""
        return AppendRecord(
            stream=self._claims.stream,
            record=outcome,
            record_id=self._new_id(),
            retry_for=OUTCOME_KEPT,
        )

    def _outcome(self, key: str, run_state: RunState, *, request_id: str) -> Outcome:
        return Outcome(
            key=key,
            owner=self.owner,
            run_state=run_state.value,
            status=0,
            request_id=request_id,
        )
