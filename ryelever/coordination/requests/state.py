"""Define the state of one request in the request table."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...errors import RunState
from ..actions import ChatWork

if TYPE_CHECKING:
    from ...errors import RyeleverError
    from ..actions import AnswerService, Arrival, Target

__all__ = ["HeldAttempt", "Request", "RequestState", "Timeouts"]


class RequestState(enum.Enum):
    """Step that a request is in; docs/REQUESTS.md shows the transitions."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    SENT = "sent"
    STREAMING = "streaming"
    RECOVERING = "recovering"


@dataclass(slots=True, kw_only=True, frozen=True)
class Timeouts:
    """Time limits of the steps of a request, in seconds.

    Attributes
    ----------
    claim : float
        Maximum time until the request's claim is read back.
    recovery : float
        Maximum wait for another backend server after an attempt has failed; not applied
        once tokens were received, nor while the request waits for suspects of a crash
        or for a verdict.
    same_target : float
        Pause before a retry on the backend server whose connection broke.  The pause
        is longer than a report of a host stays valid, so the group must have confirmed
        itself since the failure: a group that lost a member gets no retry.
    same_target_silent : float
        The same pause after a failure that does not suggest a fault of the backend
        server itself: a silent connection or a refusal, and any failed call to a plain
        service.
    """

    claim: float = 5.0
    recovery: float = 8.0
    same_target: float = 2.5
    same_target_silent: float = 0.25


class HeldAttempt:
    """Silent attempt that is kept open while another one is tried.

    Attributes
    ----------
    sent_at : float
        Monotonic time at which the attempt was sent.
    """

    __slots__ = ("attempt_id", "sent_at", "target")

    def __init__(self, *, attempt_id: str, target: Target, sent_at: float) -> None:
        self.attempt_id = attempt_id
        self.target = target
        self.sent_at = sent_at


@dataclass(slots=True, kw_only=True)
class Request:
    """Request that has no final answer yet.

    Attributes
    ----------
    since : float
        Monotonic time at which ``state`` was entered.
    claim_deadline : float
        Monotonic time by which the claim must be read back.
    claimed : bool
        True once the request's claim was read back as the first of its key.
    may_have_run : bool
        True once a backend server may have run the request.  Never reset to False: a
        later attempt that was refused proves nothing about an earlier one.
    caller_disconnected : bool
        True when the caller closed its connection, so that only the outcome of the
        request is still needed.
    held_by_id : dict of str to HeldAttempt
        Silent attempts that are kept open beside the current one, oldest first.
    tried : tuple of str
        Names of the targets tried, oldest first.
    n_refused : int
        Number of attempts that no target has run.
    paused_until : float
        Monotonic time before which the request is not sent again.
    delivered : list of str
        Tokens received so far, over all attempts.
    n_tokens_for_proof : int
        Number of delivered tokens at which the attempt counts as past the position
        where the previous attempt ended, which may have been a crash; 0 once that is
        reported.
    group_checked_at : float
        Monotonic time of the last check of the attempt's group before a first token.
    error, service_answer : RyeleverError or AnswerService or None
        Error or plain service's answer that ended the latest failed attempt.
    """

    arrival: Arrival
    state: RequestState
    since: float
    claim_id: str = ""
    claim_deadline: float = float("inf")
    claimed: bool = False
    attempt_id: str = ""
    target: Target | None = None
    held_by_id: dict[str, HeldAttempt] = field(default_factory=dict)
    tried: tuple[str, ...] = ()
    n_refused: int = 0
    paused_until: float = float("-inf")
    delivered: list[str] = field(default_factory=list)
    n_tokens_for_proof: int = 0
    group_checked_at: float = float("-inf")
    may_have_run: bool = False
    caller_disconnected: bool = False
    error: RyeleverError | None = None
    service_answer: AnswerService | None = None

    @property
    def attempt_ids(self) -> list[str]:
        """Return the ids of all open attempts."""
        current = [self.attempt_id] if self.attempt_id else []
        return [*self.held_by_id, *current]

    @property
    def streamed(self) -> bool:
        """Return whether the caller requested a streamed answer."""
        work = self.arrival.work
        return isinstance(work, ChatWork) and work.streamed

    @property
    def run_state(self) -> RunState:
        """Return ``NOT_RUN`` only if no backend server can have run the request."""
        return RunState.OUTCOME_UNKNOWN if self.may_have_run else RunState.NOT_RUN
