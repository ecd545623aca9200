"""Hold what the request table knows of one request."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...errors import RunState
from ..actions import ChatWork

if TYPE_CHECKING:
    from ...errors import RyeleverError
    from ..actions import AnswerService, Arrival, Target

__all__ = ["Request", "RequestState", "Timeouts"]


class RequestState(enum.Enum):
    """Name the steps of a request; docs/REQUESTS.md draws the transitions."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    SENT = "sent"
    STREAMING = "streaming"
    RECOVERING = "recovering"


@dataclass(slots=True, kw_only=True, frozen=True)
class Timeouts:
    """Bound the steps of a request, in seconds.

    Attributes
    ----------
    claim : float
        Until the own claim is read back.
    recovery : float
        Wait for another backend server after an attempt has failed.
    same_target : float
        Pause before an attempt goes to the backend server whose connection
        broke.  It is longer than a report counts: the group must have confirmed
        itself since, so a group that lost a member is not asked again.
    same_target_silent : float
        The same pause where nothing speaks against the backend server itself: a
        silent connection, a refusal, or an answer of a plain service.
    """

    claim: float = 5.0
    recovery: float = 8.0
    same_target: float = 2.5
    same_target_silent: float = 0.25


@dataclass(slots=True, kw_only=True)
class Request:
    """Hold one request that has no final answer yet.

    Attributes
    ----------
    since : float
        Monotonic time at which ``state`` was entered.
    claimed : bool
        True once the own claim was read back as the first of its key.
    may_have_run : bool
        True once any attempt may have reached a backend server.  It is never
        taken back: a later attempt that was refused proves nothing about an
        earlier one.
    caller_disconnected : bool
        True when only the outcome is still wanted.
    tried : tuple of str
        Names of the targets tried, oldest first.
    delivered : list of str
        Tokens received so far, over all attempts.
    proved_from : int
        Tokens from which the attempt is past the place where a crash broke off
        the one before.
    looked_at : float
        Time of the last look at the attempt's group while no token came.
    error, service_answer : RyeleverError or AnswerService or None
        What the newest failed attempt ended with.
    """

    arrival: Arrival
    state: RequestState
    since: float
    claim_id: str = ""
    claim_deadline: float = float("inf")
    claimed: bool = False
    attempt_id: str = ""
    target: Target | None = None
    tried: tuple[str, ...] = ()
    delivered: list[str] = field(default_factory=list)
    proved_from: int = 0
    looked_at: float = float("-inf")
    may_have_run: bool = False
    caller_disconnected: bool = False
    error: RyeleverError | None = None
    service_answer: AnswerService | None = None

    @property
    def streamed(self) -> bool:
        """Tell whether the caller asked for a stream."""
        work = self.arrival.work
        return isinstance(work, ChatWork) and work.streamed

    @property
    def run_state(self) -> RunState:
        """Tell what is certain about an unanswered request."""
        return RunState.OUTCOME_UNKNOWN if self.may_have_run else RunState.NOT_RUN
