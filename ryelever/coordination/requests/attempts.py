"""Match attempts with the requests that they serve."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions import SendAttempt
from ..routing import NoFeedback
from .state import RequestState

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...errors import RyeleverError
    from ..actions import Action
    from ..quarantine import Quarantined
    from ..routing import AttemptFeedback, RetryPolicy, Router
    from .state import Request

__all__ = ["RequestAttempts"]

#: Attempts of one stream that has begun.
MAX_STREAM_ATTEMPTS = 5

#: Seconds between two looks at the group of an attempt without a first token.
LOST_INTERVAL = 0.5

#: Tokens of an attempt that prove it past the place of a crash.  An engine may have
#: been a few tokens further when it died than what had arrived of it.
PROVED_TOKENS = 4


class RequestAttempts:
    """Start and end attempts; each request has one at most.

    Parameters
    ----------
    router, retry_policy : Protocol types
        Who takes an attempt, and whether there is another one.
    feedback : AttemptFeedback or None
        Learns from attempts and names requests that must not run.
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
        self._fingerprints_by_target: dict[str, dict[str, str]] = {}
        self._router = router
        self._retry_policy = retry_policy
        self._new_id = new_id
        self.request_by_attempt: dict[str, str] = {}
        self.n_late_answers = 0
        self.n_retries = 0

    def start(
        self, request: Request, *, tried: tuple[str, ...], now: float
    ) -> Action | None:
        """Return the sending of the next attempt, or None without a target."""
        target = self._router.choose(request.arrival, tried=tried, now=now)
        if target is None:
            return None
        request.attempt_id = self._new_id()
        request.target = target
        request.tried += (target.name,)
        request.looked_at = now
        request.proved_from = len(request.delivered) + PROVED_TOKENS
        self.request_by_attempt[request.attempt_id] = request.arrival.request_id
        fingerprint = request.arrival.fingerprint
        self._router.started(target, fingerprint=fingerprint, now=now)
        running = self._fingerprints_by_target.setdefault(target.name, {})
        running[request.attempt_id] = fingerprint
        return SendAttempt(
            attempt_id=request.attempt_id,
            arrival=request.arrival,
            target=target,
            delivered=tuple(request.delivered),
        )

    def must_wait_for_suspects(self, request: Request, *, now: float) -> bool:
        """Tell whether only other suspects keep a request from running."""
        return self._router.must_wait_for_suspects(request.arrival, now=now)

    def is_lost(self, request: Request, *, now: float) -> bool:
        """Tell whether an attempt waits for a group that is no longer whole."""
        if now < request.looked_at + LOST_INTERVAL:
            return False
        request.looked_at = now
        return self._router.is_lost(request.target, request.arrival, now=now)

    def request_id(self, attempt_id: str) -> str | None:
        """Return the request of a current attempt; count what comes late."""
        request_id = self.request_by_attempt.get(attempt_id)
        if request_id is None:
            self.n_late_answers += 1
        return request_id

    def answered(self, request: Request, *, now: float) -> None:
        """End an attempt whose answer is whole."""
        n_tokens = len(request.delivered)
        streaming = request.state is RequestState.STREAMING and n_tokens > 1
        self._feedback.completed(
            request.target,
            request.arrival.fingerprint,
            between_tokens=(now - request.since) / n_tokens if streaming else None,
            now=now,
        )
        self.end(request, failed=False, now=now)
        self._retry_policy.succeeded(now=now)

    def verdict(self, fingerprint: str, *, now: float) -> Quarantined | None:
        """Return why a request must not run, or None if it may."""
        return self._feedback.verdict(fingerprint, now=now)

    def first_token(self, request: Request, *, now: float) -> None:
        """Take note of an attempt's first token."""
        seconds = now - request.since
        self._feedback.first_token(request.target, seconds=seconds, now=now)

    def progressed(self, request: Request, *, now: float) -> None:
        """Take note of tokens; once in each attempt that is of interest."""
        if request.proved_from and len(request.delivered) >= request.proved_from:
            request.proved_from = 0
            self._feedback.proved(request.arrival.fingerprint, now=now)

    def failed(
        self, request: Request, *, error: RyeleverError, refused: bool, now: float
    ) -> None:
        """End an attempt that failed."""
        running = self._fingerprints_by_target[request.target.name]
        self._feedback.failed(
            request.target,
            error,
            refused=refused,
            in_flight=set(running.values()),
            now=now,
        )
        self.end(request, failed=True, now=now)

    def end(self, request: Request, *, failed: bool, now: float) -> None:
        """End an attempt; whatever it still sends comes late."""
        del self.request_by_attempt[request.attempt_id]
        running = self._fingerprints_by_target[request.target.name]
        del running[request.attempt_id]
        if not running:
            del self._fingerprints_by_target[request.target.name]
        request.attempt_id = ""
        fingerprint = request.arrival.fingerprint
        self._router.ended(
            request.target, failed=failed, fingerprint=fingerprint, now=now
        )

    def may_retry(self, request: Request, *, now: float) -> bool:
        """Tell whether another attempt may follow, and count it if so."""
        # A non-repeatable request is never sent again after its first byte.
        safe = request.arrival.repeatable or not request.may_have_run
        wanted = not request.caller_disconnected and now < request.arrival.deadline
        allowed = safe and wanted and self._affordable(request, now=now)
        self.n_retries += allowed
        return allowed

    def _affordable(self, request: Request, *, now: float) -> bool:
        n_attempts = len(request.tried)
        if request.delivered:
            # The death of one group breaks all of its streams at once, far more
            # than the budget for retries holds.  Going on with a stream asks only
            # for tokens that were not generated yet, so it adds no load that a
            # budget would have to bound.
            return n_attempts < MAX_STREAM_ATTEMPTS
        return self._retry_policy.allow(n_attempts=n_attempts, now=now)
