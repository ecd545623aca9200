"""Claim non-repeatable requests and answer their resends."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ...errors import RunState
from ...state.records import Claim, Outcome
from ..actions import AnswerError, AppendRecord
from . import answers
from .idempotency import doubt

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...errors import RyeleverError
    from ...state.claims import ClaimState
    from ..actions import Action, Arrival
    from .state import Request

__all__ = ["ClaimsView", "RequestClaims"]

#: Seconds for which the append of an outcome is repeated.  A claim without its
#: outcome answers every resend with "in progress", so an outcome is kept much
#: longer than other records.
OUTCOME_KEPT = 300.0


class ClaimsView(Protocol):
    """Look up claims of non-repeatable requests."""

    stream: str
    owner: str

    def available(self, *, now: float) -> bool:
        """Tell whether the claims stream is read up to its end."""

    def knows(self, key: str, *, since: float) -> bool:
        """Tell whether every claim of a key made before a time was read."""

    def lookup(self, key: str) -> ClaimState | None:
        """Return the first claim of a key."""


class RequestClaims:
    """Match own claims with the requests that wait for them.

    Parameters
    ----------
    claims : ClaimsView
        What was read of the log.
    timeout : float
        Seconds until an own claim must be read back.
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
        """Tell whether a request can be claimed."""
        return self._claims.available(now=now)

    def refuse(self, arrival: Arrival, error: RyeleverError) -> list[Action]:
        """Refuse a sending that was not run, saying what is known of its key.

        An earlier sending with the key may have been claimed, and run, by another
        entry host.  Only a read of the log that was asked after this one arrived
        can tell; without it the refusal must not say ``not_run``.
        """
        known = self.answer_known(arrival)
        if known:
            return known
        key = answers.claim_key(arrival)
        if not arrival.repeatable and not self._claims.knows(
            key, since=arrival.arrived_at
        ):
            doubt(error, retry_after=self._retry_after())
        return [AnswerError(request_id=arrival.request_id, error=error)]

    def answer_known(self, arrival: Arrival) -> list[Action]:
        """Answer a resend from its claim; nothing when the key is not claimed.

        What was read of the log holds also while the log is down.
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

    def begin(self, request: Request, *, now: float) -> Action:
        """Append the claim of a request."""
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
            kept_for=self._timeout,
        )

    def read_back(self, claim_id: str) -> str | None:
        """Return the request that waits for an own claim, once only."""
        return self.request_by_claim.pop(claim_id, None)

    def forget(self, request: Request) -> None:
        """Let nobody wait for the claim of a request any more."""
        self.request_by_claim.pop(request.claim_id, None)

    def free(self, claim: Claim) -> Action:
        """Free a claimed key of which nothing was run."""
        outcome = self._outcome(
            claim.key, RunState.NOT_RUN, request_id=claim.request_id
        )
        return self.append(outcome)

    def end_unanswered(self, request: Request) -> Action:
        """Append how a request ended that got no answer."""
        key = answers.claim_key(request.arrival)
        outcome = self._outcome(
            key, request.run_state, request_id=request.arrival.request_id
        )
        return self.append(outcome)

    def append(self, outcome: Outcome) -> Action:
        """Append an outcome."""
        return AppendRecord(
            stream=self._claims.stream,
            record=outcome,
            record_id=self._new_id(),
            kept_for=OUTCOME_KEPT,
        )

    def _outcome(self, key: str, run_state: RunState, *, request_id: str) -> Outcome:
        return Outcome(
            key=key,
            owner=self.owner,
            run_state=run_state.value,
            status=0,
            request_id=request_id,
        )
