"""Start and end attempts to run requests on backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions import SendAttempt
from ..routing import NoFeedback
from .state import RequestState

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...errors import RyeleverError
    from ..actions import Action, Arrival, Target
    from ..quarantine import Quarantined
    from ..routing import AttemptFeedback, RetryPolicy, Router
    from .state import Request

__all__ = ["MAX_STREAM_ATTEMPTS", "RequestAttempts"]

#: Maximum attempts of a chat request of which tokens were received already.  Refused
#: attempts do not count, but are no longer followed by another one at once.
MAX_STREAM_ATTEMPTS = 5

#: Seconds between two checks of the group that runs an attempt without a first token.
GROUP_CHECK_INTERVAL = 0.5

#: Tokens after which an attempt has passed the position of the previous crash.  An
#: engine may have generated a few more tokens before it died than were received.
N_PROOF_TOKENS = 4


class RequestAttempts:
    """Start, track and end attempts.

    Each request has at most one current attempt.  Earlier ones that are silent may be
    held beside it (``HeldAttempts``).

    Parameters
    ----------
    router : Router
        Chooses the target of each attempt.
    retry_policy : RetryPolicy
        Decides whether a failed attempt is retried.
    feedback : AttemptFeedback or None
        Receives the results of attempts and reports quarantined requests.
    """

    def __init__(
        self,
        *,
        router: Router,
        retry_policy: RetryPolicy,
        new_id: Callable[[], str],
        feedback: AttemptFeedback | None = None,
    ) -> None:
        self._feedback = feedback if feedback is not None else NoFeedback()
        self._arrivals_by_target: dict[str, dict[str, Arrival]] = {}
        self._router = router
        self._retry_policy = retry_policy
        self._new_id = new_id
        self.request_by_attempt: dict[str, str] = {}
        self.n_late_answers = 0
        self.n_retries = 0

    def start(
        self, request: Request, *, tried: tuple[str, ...], now: float
    ) -> Action | None:
        """Start the next attempt and return its send action, or None if no target."""
        target = self._router.choose(request.arrival, tried=tried, now=now)
        if target is None or _has_open_attempt(request, target):
            return None
        attempt_id = self._new_id()
        fingerprint = request.arrival.fingerprint
        self._router.started(target, fingerprint=fingerprint, now=now)
        request.attempt_id = attempt_id
        request.target = target
        request.tried += (target.name,)
        request.group_checked_at = now
        request.n_tokens_for_proof = len(request.delivered) + N_PROOF_TOKENS
        self.request_by_attempt[request.attempt_id] = request.arrival.request_id
        running = self._arrivals_by_target.setdefault(target.name, {})
        running[request.attempt_id] = request.arrival
        return SendAttempt(
            attempt_id=request.attempt_id,
            arrival=request.arrival,
            target=target,
            delivered=tuple(request.delivered),
        )

    def must_wait(self, request: Request, *, now: float) -> bool:
        """Return whether a request waits for suspects of a crash or for a verdict."""
        return self._router.must_wait(request.arrival, now=now)

    def is_lost(self, request: Request, *, now: float) -> bool:
        """Return whether an attempt's group is lost.

        A group is lost if it is incomplete while another target can serve.  The result
        is False within ``GROUP_CHECK_INTERVAL`` of the previous check.
        """
        if now < request.group_checked_at + GROUP_CHECK_INTERVAL:
            return False
        request.group_checked_at = now
        return self._router.is_lost(request.target, request.arrival, now=now)

    def request_id(self, attempt_id: str) -> str | None:
        """Return the request id of an open attempt; otherwise count a late answer."""
        request_id = self.request_by_attempt.get(attempt_id)
        if request_id is None:
            self.n_late_answers += 1
        return request_id

    def answered(self, request: Request, *, now: float) -> None:
        """End an attempt whose answer is complete."""
        n_tokens = len(request.delivered)
        streaming = request.state is RequestState.STREAMING and n_tokens > 1
        self._feedback.completed(
            request.target,
            request.arrival.fingerprint,
            parts=request.arrival.shared_parts,
            between_tokens=(now - request.since) / n_tokens if streaming else None,
            now=now,
        )
        self.end(request, failed=False, now=now)
        self._retry_policy.succeeded(now=now)

    def verdict(self, arrival: Arrival, *, now: float) -> Quarantined | None:
        """Return why a request is quarantined, or None if it may run."""
        return self._feedback.verdict(
            arrival.fingerprint, parts=arrival.shared_parts, now=now
        )

    def first_token(self, request: Request, *, now: float) -> None:
        """Record the time to an attempt's first token."""
        seconds = now - request.since
        self._feedback.first_token(request.target, seconds=seconds, now=now)

    def progressed(self, request: Request, *, now: float) -> None:
        """Report once per attempt that it passed the position of a crash."""
        if (
            request.n_tokens_for_proof
            and len(request.delivered) >= request.n_tokens_for_proof
        ):
            request.n_tokens_for_proof = 0
            self._feedback.proved(request.arrival.fingerprint, now=now)

    def failed(
        self, request: Request, *, error: RyeleverError, refused: bool, now: float
    ) -> None:
        """End the current attempt, which failed."""
        self.report_failure(request.target, error=error, refused=refused, now=now)
        self.end(request, failed=True, now=now)

    def report_failure(
        self, target: Target, *, error: RyeleverError, refused: bool, now: float
    ) -> None:
        """Report that an attempt at a target failed."""
        running = self._arrivals_by_target[target.name]
        self._feedback.failed(
            target,
            error,
            refused=refused,
            in_flight={arrival.fingerprint for arrival in running.values()},
            parts_by_fingerprint={
                arrival.fingerprint: arrival.shared_parts
                for arrival in running.values()
            },
            now=now,
        )

    def end(self, request: Request, *, failed: bool, now: float) -> None:
        """End the current attempt."""
        self.end_attempt(
            request, request.attempt_id, request.target, failed=failed, now=now
        )
        request.attempt_id = ""

    def end_attempt(
        self,
        request: Request,
        attempt_id: str,
        target: Target,
        *,
        failed: bool,
        now: float,
    ) -> None:
        """End an attempt; answers received for it later are counted as late."""
        fingerprint = request.arrival.fingerprint
        self._router.ended(target, failed=failed, fingerprint=fingerprint, now=now)
        running = self._arrivals_by_target[target.name]
        del running[attempt_id]
        if not running:
            del self._arrivals_by_target[target.name]
        del self.request_by_attempt[attempt_id]

    def may_retry(self, request: Request, *, now: float) -> bool:
        """Return whether another attempt may follow, and count it if so."""
        # A non-repeatable request is never sent again once its first byte was sent.
        safe = request.arrival.repeatable or not request.may_have_run
        wanted = not request.caller_disconnected and now < request.arrival.deadline
        allowed = safe and wanted and self._is_within_budget(request, now=now)
        self.n_retries += allowed
        return allowed

    def _is_within_budget(self, request: Request, *, now: float) -> bool:
        n_attempts = len(request.tried)
        if request.delivered:
            # The death of one group breaks all of its streams at once, far more
            # than the retry budget allows.  A resumed stream requests only tokens
            # that were not generated yet, so it adds no load that the budget would
            # have to limit.
            return n_attempts - request.n_refused < MAX_STREAM_ATTEMPTS
        return self._retry_policy.allow(n_attempts=n_attempts, now=now)


def _has_open_attempt(request: Request, target: Target) -> bool:
    # A held attempt continues when its group is whole again, so a second one at the
    # same group would only generate the same tokens twice.
    return any(held.target == target for held in request.held_by_id.values())
