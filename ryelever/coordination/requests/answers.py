"""Build the errors, outcomes and replayed answers of the request table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ...errors import Category, RunState, RyeleverError
from ...state.records import Outcome
from ..actions import (
    AnswerComplete,
    AnswerError,
    AnswerService,
    ChatWork,
    StreamFinished,
    StreamTokens,
    Usage,
)

if TYPE_CHECKING:
    from ...state.claims import ClaimState
    from ..actions import Action, Arrival, Target
    from ..admission import Refused
    from .state import Request

__all__ = [
    "CHAT_ANSWER_TYPE",
    "MAX_STORED_ANSWER",
    "chat_outcome",
    "claim_key",
    "claim_lost",
    "claim_not_confirmed",
    "deadline_passed",
    "fault",
    "group_lost",
    "in_progress",
    "key_reused",
    "limited",
    "log_unavailable",
    "no_target",
    "service_failed",
    "service_outcome",
    "shutting_down",
    "stored_answer",
    "tokens_missing",
    "unknown_account",
    "complete_answer",
]

#: Maximum size of an answer that is stored with its outcome, in bytes.
MAX_STORED_ANSWER = 4096

#: Content type of a stored chat answer.
CHAT_ANSWER_TYPE = "application/vnd.ryelever.chat+json"


class _StoredChat(msgspec.Struct, kw_only=True, frozen=True):
    tokens: tuple[str, ...]
    finish_reason: str
    usage: Usage


def claim_key(arrival: Arrival) -> str:
    """Return the claim key of a request: client account and idempotency key."""
    return f"{arrival.client_account}/{arrival.idempotency_key}"


# Outcomes


def service_outcome(request: Request, answer: AnswerService, *, owner: str) -> Outcome:
    """Return the outcome record of a plain service's answer.

    The record leaves out the whole body if the body is too long or is not UTF-8
    text: a truncated body would be replayed as if it were the complete answer.
    """
    ran = answer.status < 500
    run_state = RunState.RUN if ran else RunState.OUTCOME_UNKNOWN
    body = _storable_text(answer.body)
    is_stored = body is not None
    return Outcome(
        key=claim_key(request.arrival),
        owner=owner,
        request_id=request.arrival.request_id,
        run_state=run_state.value,
        status=answer.status if is_stored else 0,
        content_type=answer.content_type if is_stored else "",
        body=body or "",
    )


def chat_outcome(
    request: Request, *, finish_reason: str, usage: Usage, owner: str
) -> Outcome:
    """Return the outcome record of a complete chat answer."""
    stored = _StoredChat(
        tokens=tuple(request.delivered), finish_reason=finish_reason, usage=usage
    )
    body = _storable_text(msgspec.json.encode(stored))
    return Outcome(
        key=claim_key(request.arrival),
        owner=owner,
        request_id=request.arrival.request_id,
        run_state=RunState.RUN.value,
        status=0 if body is None else 200,
        content_type="" if body is None else CHAT_ANSWER_TYPE,
        body=body or "",
    )


def stored_answer(arrival: Arrival, outcome: Outcome) -> list[Action]:
    """Return the actions that replay the first request's outcome to a resend."""
    if not outcome.status:
        return [_no_stored_answer(arrival, outcome)]
    if outcome.content_type == CHAT_ANSWER_TYPE:
        return _stored_chat(arrival, outcome)
    answer = AnswerService(
        request_id=arrival.request_id,
        status=outcome.status,
        content_type=outcome.content_type,
        body=outcome.body.encode(),
        replayed=True,
    )
    return [answer]


def _stored_chat(arrival: Arrival, outcome: Outcome) -> list[Action]:
    stored = msgspec.json.decode(outcome.body, type=_StoredChat)
    request_id = arrival.request_id
    if not (isinstance(arrival.work, ChatWork) and arrival.work.streamed):
        complete = AnswerComplete(
            request_id=request_id,
            tokens=stored.tokens,
            finish_reason=stored.finish_reason,
            usage=stored.usage,
        )
        return [complete]
    return [
        StreamTokens(request_id=request_id, tokens=stored.tokens),
        StreamFinished(
            request_id=request_id,
            finish_reason=stored.finish_reason,
            usage=stored.usage,
        ),
    ]


def _no_stored_answer(arrival: Arrival, outcome: Outcome) -> AnswerError:
    run_state = RunState(outcome.run_state)
    ran = run_state is RunState.RUN
    error = RyeleverError(
        "the first request with this key was run, and its answer is not kept"
        if ran
        else "nobody knows whether the first request with this key was run",
        category=Category.CONFLICT,
        step="claim",
        code="outcome_kept_without_answer" if ran else "outcome_unknown",
        run_state=run_state,
    )
    return AnswerError(request_id=arrival.request_id, error=error)


def _storable_text(body: bytes) -> str | None:
    if len(body) > MAX_STORED_ANSWER:
        return None
    try:
        return body.decode()
    except UnicodeDecodeError:
        return None


def complete_answer(request: Request, *, finish_reason: str, usage: Usage) -> Action:
    """Return the end of a stream, or the complete answer if it is not streamed."""
    request_id = request.arrival.request_id
    if request.streamed:
        return StreamFinished(
            request_id=request_id, finish_reason=finish_reason, usage=usage
        )
    return AnswerComplete(
        request_id=request_id,
        tokens=tuple(request.delivered),
        finish_reason=finish_reason,
        usage=usage,
    )


# Errors


def unknown_account() -> RyeleverError:
    """Return the error for an account removed after its API key was checked."""
    return RyeleverError(
        "client account is no longer declared",
        category=Category.UNAUTHORIZED,
        step="admit",
    )


def limited(refused: Refused) -> RyeleverError:
    """Return the error for a request that admission control refused."""
    return RyeleverError(
        refused.reason,
        category=Category.LIMITED,
        step="admit",
        retry_after=refused.retry_after,
    )


def no_target(*, retry_after: float) -> RyeleverError:
    """Return the error for a request that no backend server can serve now."""
    return RyeleverError(
        "nothing that serves this request is whole right now",
        category=Category.UNAVAILABLE,
        step="route",
        retry_after=retry_after,
    )


def service_failed(
    request: Request, answer: AnswerService, *, not_run: bool, retry_after: float
) -> RyeleverError:
    """Return the error for an attempt that failed by a plain service's answer."""
    address = request.target.address
    verb = "did not run the call" if not_run else "failed"
    return RyeleverError(
        f"{address} {verb}: it answered {answer.status}",
        category=Category.UNAVAILABLE,
        step="call_service",
        peer=address,
        retry_after=retry_after,
    )


def tokens_missing(request: Request, *, index: int) -> RyeleverError:
    """Return the error for an attempt that skipped tokens."""
    return RyeleverError(
        f"token {index} arrived where {len(request.delivered)} was due",
        category=Category.BROKEN,
        step="stream",
        peer=request.target.address,
    )


def group_lost(target: Target) -> RyeleverError:
    """Return the error for an attempt whose group was lost before a token."""
    return RyeleverError(
        "its group stopped counting as whole before the first token",
        category=Category.TIMEOUT,
        step="generate",
        peer=target.address,
    )


def log_unavailable(*, retry_after: float) -> RyeleverError:
    """Return the error for a request that cannot be claimed without the log."""
    return RyeleverError(
        "the log cannot be reached, so a request that must run at most once cannot "
        "be claimed",
        category=Category.UNAVAILABLE,
        step="claim",
        code="log_unavailable",
        retry_after=retry_after,
    )


def claim_not_confirmed(*, retry_after: float) -> RyeleverError:
    """Return the error for a request whose claim was not read back in time."""
    return RyeleverError(
        "the log did not confirm the claim of this request in time",
        category=Category.UNAVAILABLE,
        step="claim",
        code="claim_not_confirmed",
        retry_after=retry_after,
    )


def claim_lost(*, retry_after: float) -> RyeleverError:
    """Return the error for an ignored claim when no other claim of the key exists.

    Either the first claim was freed in the meantime, or the key was too old by the
    log's clock; in the latter case an earlier request with the key may have run.
    """
    return RyeleverError(
        "this request was not run: another with its key came first, or the key was "
        "too old by the log's clock",
        category=Category.UNAVAILABLE,
        step="claim",
        code="claim_lost",
        run_state=RunState.OUTCOME_UNKNOWN,
        retry_after=retry_after,
    )


def in_progress(claim: ClaimState, *, retry_after: float) -> RyeleverError:
    """Return the error for a resend while the first request has no outcome."""
    return RyeleverError(
        "the first request with this key has no outcome yet",
        category=Category.CONFLICT,
        step="claim",
        peer=claim.owner,
        code="in_progress",
        run_state=RunState.OUTCOME_UNKNOWN,
        retry_after=retry_after,
    )


def key_reused() -> RyeleverError:
    """Return the error for an idempotency key used with a different request."""
    return RyeleverError(
        "the idempotency key was used for a different request",
        category=Category.CONFLICT,
        step="claim",
        code="key_reused",
    )


def deadline_passed(request: Request, *, retry_after: float) -> RyeleverError:
    """Return the error for a request whose deadline has passed."""
    return RyeleverError(
        f"the deadline passed while the request was {request.state.value}",
        category=Category.TIMEOUT,
        step=request.state.value,
        peer=request.target.address if request.target else "",
        retry_after=retry_after,
    )


def fault() -> RyeleverError:
    """Return the error for a request that an exception ended.

    The run state is unknown: the request may have been sent before.
    """
    return RyeleverError(
        "a fault of the entry host ended this request; its log has the details",
        category=Category.INTERNAL,
        step="serve",
        run_state=RunState.OUTCOME_UNKNOWN,
    )


def shutting_down(request: Request, *, retry_after: float) -> RyeleverError:
    """Return the error for a request still open when graceful shutdown ends."""
    return RyeleverError(
        "this entry host had to stop before the request was answered",
        category=Category.UNAVAILABLE,
        step=request.state.value,
        peer=request.target.address if request.target else "",
        code="shutting_down",
        retry_after=retry_after,
    )
