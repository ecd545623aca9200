"""Follow each request from its arrival to its one final answer.

The table takes events and a time and returns actions.  Three rules hold here:

* an answer ``not_run`` is given only while no byte of the request has left for a
  backend server, or when the backend server itself refused it;
* a non-repeatable request is sent only after its own claim was read back as the
  first, and never again after its first byte;
* answers are matched by attempt: what arrives for an attempt that was given up
  is dropped and counted.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from ..errors import Category, RunState, RyeleverError
from ..state.records import Claim, Outcome
from .actions import (
    Action,
    AnswerError,
    AnswerService,
    AnswerWhole,
    AppendRecord,
    CancelAttempt,
    ChatWork,
    SendAttempt,
    StreamFailed,
    StreamFinished,
    StreamTokens,
    Usage,
)
from .admission import Queued, Refused

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.claims import ClaimState
    from ..state.configuration import ClientAccount
    from .actions import Arrival, Target
    from .admission import Admission
    from .retry import RetryPolicy
    from .routing import Router

__all__ = ["ClaimsView", "Request", "RequestState", "RequestTable"]

#: Largest answer of a service that is stored with its outcome, in bytes.
MAX_STORED_ANSWER = 4096


class ClaimsView(Protocol):
    """Look up claims of non-repeatable requests."""

    stream: str
    owner: str

    def available(self, *, now: float) -> bool:
        """Tell whether the claims stream is read up to its end."""

    def lookup(self, key: str) -> ClaimState | None:
        """Return the first claim of a key."""


class RequestState(enum.Enum):
    """Name the steps of a request."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    SENT = "sent"
    STREAMING = "streaming"


@dataclass(slots=True, kw_only=True)
class Request:
    """Hold one request that has no final answer yet.

    Attributes
    ----------
    since : float
        Monotonic time at which ``state`` was entered.
    tried : tuple of str
        Names of the targets tried, oldest first.
    delivered : list of str
        Tokens received so far, over all attempts.
    """

    arrival: Arrival
    state: RequestState
    since: float
    claim_id: str = ""
    claim_deadline: float = float("inf")
    attempt_id: str = ""
    target: Target | None = None
    tried: tuple[str, ...] = ()
    delivered: list[str] = field(default_factory=list)
    usage: Usage = field(default_factory=Usage)


class RequestTable:
    """Decide what happens to every request of one entry host.

    Parameters
    ----------
    admission, router, retry_policy, claims : Protocol types
        The policies that the table asks.
    account : callable
        Return a client account by name, or None when it is no longer declared.
    new_id : callable
        Return a fresh unique id.
    claim_timeout : float
        Seconds to wait until the own claim is read back.
    retry_after : callable
        Return the seconds after which a caller should come back when nothing
        serves its request.
    """

    def __init__(
        self,
        *,
        admission: Admission,
        router: Router,
        retry_policy: RetryPolicy,
        claims: ClaimsView,
        account: Callable[[str], ClientAccount | None],
        new_id: Callable[[], str],
        retry_after: Callable[[], float],
        claim_timeout: float = 2.0,
    ) -> None:
        self._admission = admission
        self._router = router
        self._retry_policy = retry_policy
        self._claims = claims
        self._account = account
        self._new_id = new_id
        self._retry_after = retry_after
        self._claim_timeout = claim_timeout
        self.requests_by_id: dict[str, Request] = {}
        self.request_by_attempt: dict[str, str] = {}
        self.request_by_claim: dict[str, str] = {}
        self.n_late_answers = 0
        self.n_retries = 0

    # Events from the caller

    def arrive(self, arrival: Arrival, *, now: float) -> list[Action]:
        """Take a new request."""
        account = self._account(arrival.client_account)
        if account is None:
            return [self._refusal(arrival, "client account is no longer declared")]
        if not arrival.repeatable:
            known = self._answer_known(arrival, now=now)
            if known is not None:
                return [known]
        decision = self._admission.admit(arrival, account, now=now)
        if isinstance(decision, Refused):
            return [
                AnswerError(request_id=arrival.request_id, error=_limited(decision))
            ]
        request = Request(arrival=arrival, state=RequestState.QUEUED, since=now)
        self.requests_by_id[arrival.request_id] = request
        if isinstance(decision, Queued):
            return []
        return self._begin(request, now=now)

    def caller_gone(self, request_id: str, *, now: float) -> list[Action]:
        """Stop the work of a caller that has closed its connection.

        A non-repeatable request that was sent goes on: its outcome must be known
        when the caller asks again.
        """
        request = self.requests_by_id.get(request_id)
        if request is None:
            return []
        if not request.arrival.repeatable and request.attempt_id:
            return []
        actions: list[Action] = []
        if request.attempt_id:
            actions.append(CancelAttempt(attempt_id=request.attempt_id))
            self._end_attempt(request, failed=False, now=now)
        self._forget(request, now=now)
        return actions

    # Events from the log

    def claim_read_back(
        self, claim_id: str, *, claim: Claim, is_first: bool, now: float
    ) -> list[Action]:
        """Take note that an own claim was read back from the log."""
        request_id = self.request_by_claim.pop(claim_id, None)
        if request_id is None:
            # The request was given up before its claim came back.  Nobody will run
            # it, so the key is freed; a resend would wait for an outcome for ever.
            freed = self._outcome(
                claim.key, run_state=RunState.NOT_RUN, request_id=claim.request_id
            )
            return [freed] if is_first else []
        request = self.requests_by_id[request_id]
        if not is_first:
            self._forget(request, now=now)
            known = self._answer_known(request.arrival, now=now)
            return [known] if known is not None else [self._claim_lost(request)]
        return self._dispatch(request, now=now)

    # Events from backend servers

    def tokens(
        self, attempt_id: str, *, index: int, tokens: tuple[str, ...], now: float
    ) -> list[Action]:
        """Take tokens whose first one has ``index`` in the answer."""
        request = self._of_attempt(attempt_id)
        if request is None:
            return []
        n_delivered = len(request.delivered)
        if index > n_delivered:
            # A gap would hand the caller an answer with a hole that nobody
            # notices.  The attempt is broken; another one resumes.
            return self.failed(
                attempt_id,
                error=RyeleverError(
                    f"token {index} arrived where {n_delivered} was due",
                    category=Category.BROKEN,
                    step="stream",
                    peer=request.target.address if request.target else "",
                ),
                refused=False,
                now=now,
            )
        fresh = tokens[n_delivered - index :]
        if not fresh:
            return []
        request.delivered.extend(fresh)
        if request.state is not RequestState.STREAMING:
            self._enter(request, RequestState.STREAMING, now=now)
        if not _streamed(request):
            return []
        return [StreamTokens(request_id=request.arrival.request_id, tokens=fresh)]

    def finished(
        self, attempt_id: str, *, finish_reason: str, usage: Usage, now: float
    ) -> list[Action]:
        """Take the terminal event of a generation."""
        request = self._of_attempt(attempt_id)
        if request is None:
            return []
        self._end_attempt(request, failed=False, now=now)
        self._retry_policy.succeeded(now=now)
        self._forget(request, now=now)
        request_id = request.arrival.request_id
        actions: list[Action] = []
        if _streamed(request):
            actions.append(
                StreamFinished(
                    request_id=request_id, finish_reason=finish_reason, usage=usage
                )
            )
        else:
            actions.append(
                AnswerWhole(
                    request_id=request_id,
                    tokens=tuple(request.delivered),
                    finish_reason=finish_reason,
                    usage=usage,
                )
            )
        if not request.arrival.repeatable:
            actions.append(
                self._outcome(
                    _claim_key(request.arrival),
                    run_state=RunState.RUN,
                    request_id=request.arrival.request_id,
                )
            )
        return actions

    def service_answered(
        self,
        attempt_id: str,
        *,
        status: int,
        content_type: str,
        body: bytes,
        now: float,
    ) -> list[Action]:
        """Take the whole answer of a plain service."""
        request = self._of_attempt(attempt_id)
        if request is None:
            return []
        self._end_attempt(request, failed=False, now=now)
        self._retry_policy.succeeded(now=now)
        self._forget(request, now=now)
        actions: list[Action] = [
            AnswerService(
                request_id=request.arrival.request_id,
                status=status,
                content_type=content_type,
                body=body,
            )
        ]
        if not request.arrival.repeatable:
            actions.append(
                self._outcome(
                    _claim_key(request.arrival),
                    run_state=RunState.RUN,
                    request_id=request.arrival.request_id,
                    status=status,
                    content_type=content_type,
                    body=body,
                )
            )
        return actions

    def failed(
        self, attempt_id: str, *, error: RyeleverError, refused: bool, now: float
    ) -> list[Action]:
        """Take the failure of an attempt.

        Parameters
        ----------
        refused : bool
            True when no byte of the request left, or the backend server itself
            said that it did not run it.
        """
        request = self._of_attempt(attempt_id)
        if request is None:
            return []
        self._end_attempt(request, failed=True, now=now)
        may_repeat = request.arrival.repeatable or refused
        if (
            may_repeat
            and now < request.arrival.deadline
            and self._retry_policy.allow(n_attempts=len(request.tried), now=now)
        ):
            self.n_retries += 1
            return self._dispatch(request, now=now, error=error)
        run_state = RunState.NOT_RUN if refused else RunState.OUTCOME_UNKNOWN
        return self._fail(request, error=error, run_state=run_state, now=now)

    # Time

    def tick(self, *, now: float) -> list[Action]:
        """Let waiting requests in and end those whose time is over."""
        actions: list[Action] = []
        for request_id, refused in self._admission.expired(now=now):
            request = self.requests_by_id.get(request_id)
            if request is not None and request.state is RequestState.QUEUED:
                self._forget(request, now=now)
                actions.append(
                    AnswerError(request_id=request_id, error=_limited(refused))
                )
        for request_id in self._admission.ready(now=now):
            request = self.requests_by_id.get(request_id)
            if request is not None and request.state is RequestState.QUEUED:
                actions += self._begin(request, now=now)
        for request in list(self.requests_by_id.values()):
            if now >= min(request.arrival.deadline, request.claim_deadline):
                actions += self._time_over(request, now=now)
        return actions

    # Steps

    def _begin(self, request: Request, *, now: float) -> list[Action]:
        if request.arrival.repeatable:
            return self._dispatch(request, now=now)
        claim_id = self._new_id()
        request.claim_id = claim_id
        request.claim_deadline = now + self._claim_timeout
        self.request_by_claim[claim_id] = request.arrival.request_id
        self._enter(request, RequestState.CLAIMING, now=now)
        claim = Claim(
            key=_claim_key(request.arrival),
            fingerprint=request.arrival.fingerprint,
            owner=self._claims.owner,
            request_id=request.arrival.request_id,
        )
        return [
            AppendRecord(stream=self._claims.stream, record=claim, record_id=claim_id)
        ]

    def _dispatch(
        self, request: Request, *, now: float, error: RyeleverError | None = None
    ) -> list[Action]:
        request.claim_deadline = float("inf")
        target = self._router.choose(request.arrival, tried=request.tried, now=now)
        if target is None:
            return self._no_target(request, error=error, now=now)
        request.attempt_id = self._new_id()
        request.target = target
        request.tried += (target.name,)
        self.request_by_attempt[request.attempt_id] = request.arrival.request_id
        self._router.started(target, now=now)
        self._enter(request, RequestState.SENT, now=now)
        return [
            SendAttempt(
                attempt_id=request.attempt_id,
                arrival=request.arrival,
                target=target,
                delivered=tuple(request.delivered),
            )
        ]

    def _no_target(
        self, request: Request, *, error: RyeleverError | None, now: float
    ) -> list[Action]:
        if error is None:
            error = RyeleverError(
                "nothing that serves this request is whole right now",
                category=Category.UNAVAILABLE,
                step="route",
                retry_after=self._retry_after(),
            )
            return self._fail(request, error=error, run_state=RunState.NOT_RUN, now=now)
        ran = bool(request.delivered) or error.run_state is not RunState.NOT_RUN
        run_state = RunState.OUTCOME_UNKNOWN if ran else RunState.NOT_RUN
        return self._fail(request, error=error, run_state=run_state, now=now)

    def _time_over(self, request: Request, *, now: float) -> list[Action]:
        if request.state is RequestState.CLAIMING:
            return self._give_up_claim(request, now=now)
        actions: list[Action] = []
        run_state = RunState.NOT_RUN
        if request.attempt_id:
            run_state = RunState.OUTCOME_UNKNOWN
            actions.append(CancelAttempt(attempt_id=request.attempt_id))
            self._end_attempt(request, failed=True, now=now)
        error = RyeleverError(
            f"the deadline passed while the request was {request.state.value}",
            category=Category.TIMEOUT,
            step=request.state.value,
            peer=request.target.address if request.target else "",
            retry_after=self._retry_after(),
        )
        return actions + self._fail(request, error=error, run_state=run_state, now=now)

    def _give_up_claim(self, request: Request, *, now: float) -> list[Action]:
        # Nothing was sent, and ``request_by_claim`` no longer knows the claim, so
        # nothing will be: should the append turn out to have taken effect, the
        # claim is released when it is read back.
        error = RyeleverError(
            "the log did not confirm the claim of this request in time",
            category=Category.UNAVAILABLE,
            step="claim",
            retry_after=self._retry_after(),
            code="claim_not_confirmed",
        )
        self._forget(request, now=now)
        return [AnswerError(request_id=request.arrival.request_id, error=error)]

    def _fail(
        self,
        request: Request,
        *,
        error: RyeleverError,
        run_state: RunState,
        now: float,
    ) -> list[Action]:
        error.run_state = run_state
        self._forget(request, now=now)
        request_id = request.arrival.request_id
        actions: list[Action] = []
        if _streamed(request) and request.delivered:
            actions.append(StreamFailed(request_id=request_id, error=error))
        else:
            actions.append(AnswerError(request_id=request_id, error=error))
        if request.claim_id:
            actions.append(
                self._outcome(
                    _claim_key(request.arrival),
                    run_state=run_state,
                    request_id=request.arrival.request_id,
                )
            )
        return actions

    # Helpers

    def _answer_known(self, arrival: Arrival, *, now: float) -> Action | None:
        """Answer a resend from its claim; None when the key is not claimed."""
        if not self._claims.available(now=now):
            return AnswerError(
                request_id=arrival.request_id,
                error=RyeleverError(
                    "the log cannot be reached, so a request that must run at most "
                    "once cannot be claimed",
                    category=Category.UNAVAILABLE,
                    step="claim",
                    code="log_unavailable",
                    retry_after=self._retry_after(),
                ),
            )
        claim = self._claims.lookup(_claim_key(arrival))
        if claim is None:
            return None
        if claim.fingerprint != arrival.fingerprint:
            return self._conflict(arrival)
        if claim.outcome is None:
            return self._in_progress(arrival, claim)
        return _stored_answer(arrival, claim.outcome)

    def _in_progress(self, arrival: Arrival, claim: ClaimState) -> Action:
        return AnswerError(
            request_id=arrival.request_id,
            error=RyeleverError(
                "the first request with this key has no outcome yet",
                category=Category.CONFLICT,
                step="claim",
                peer=claim.owner,
                code="in_progress",
                run_state=RunState.OUTCOME_UNKNOWN,
                retry_after=self._retry_after(),
            ),
        )

    def _conflict(self, arrival: Arrival) -> Action:
        return AnswerError(
            request_id=arrival.request_id,
            error=RyeleverError(
                "the idempotency key was used for a different request",
                category=Category.CONFLICT,
                step="claim",
                code="key_reused",
            ),
        )

    def _claim_lost(self, request: Request) -> Action:
        return AnswerError(
            request_id=request.arrival.request_id,
            error=RyeleverError(
                "another request with this key came first, or the key was too old "
                "by the log's clock; this one was not run",
                category=Category.UNAVAILABLE,
                step="claim",
                code="claim_lost",
                run_state=RunState.OUTCOME_UNKNOWN,
                retry_after=self._retry_after(),
            ),
        )

    def _refusal(self, arrival: Arrival, message: str) -> Action:
        return AnswerError(
            request_id=arrival.request_id,
            error=RyeleverError(message, category=Category.UNAUTHORIZED, step="admit"),
        )

    def _outcome(
        self,
        key: str,
        *,
        run_state: RunState,
        request_id: str,
        status: int = 0,
        content_type: str = "",
        body: bytes = b"",
    ) -> Action:
        stored = body.decode("utf-8", "replace") if _storable(body) else ""
        record = Outcome(
            key=key,
            owner=self._claims.owner,
            run_state=run_state.value,
            status=status,
            content_type=content_type,
            body=stored,
            request_id=request_id,
        )
        return AppendRecord(
            stream=self._claims.stream, record=record, record_id=self._new_id()
        )

    def _of_attempt(self, attempt_id: str) -> Request | None:
        request_id = self.request_by_attempt.get(attempt_id)
        if request_id is None:
            self.n_late_answers += 1
            return None
        return self.requests_by_id[request_id]

    def _end_attempt(self, request: Request, *, failed: bool, now: float) -> None:
        del self.request_by_attempt[request.attempt_id]
        request.attempt_id = ""
        if request.target is not None:
            self._router.ended(request.target, failed=failed, now=now)

    def _forget(self, request: Request, *, now: float) -> None:
        self.request_by_claim.pop(request.claim_id, None)
        del self.requests_by_id[request.arrival.request_id]
        self._admission.release(request.arrival.request_id, now=now)

    def _enter(self, request: Request, state: RequestState, *, now: float) -> None:
        request.state = state
        request.since = now


def _streamed(request: Request) -> bool:
    work = request.arrival.work
    return isinstance(work, ChatWork) and work.streamed


def _claim_key(arrival: Arrival) -> str:
    return f"{arrival.client_account}/{arrival.idempotency_key}"


def _storable(body: bytes) -> bool:
    return len(body) <= MAX_STORED_ANSWER


def _stored_answer(arrival: Arrival, outcome: Outcome) -> Action:
    if outcome.run_state == RunState.RUN.value and outcome.status:
        return AnswerService(
            request_id=arrival.request_id,
            status=outcome.status,
            content_type=outcome.content_type,
            body=outcome.body.encode(),
            replayed=True,
        )
    run_state = RunState(outcome.run_state)
    return AnswerError(
        request_id=arrival.request_id,
        error=RyeleverError(
            "the first request with this key has ended, and its answer is not kept",
            category=Category.CONFLICT,
            step="claim",
            code="outcome_kept_without_answer",
            run_state=run_state,
        ),
    )


def _limited(refused: Refused) -> RyeleverError:
    return RyeleverError(
        refused.reason,
        category=Category.LIMITED,
        step="admit",
        retry_after=refused.retry_after,
    )
