"""Judge an idempotency key by its time of issue, and a claim by its age.

Whether a key is safe is decided by the fold alone (state/claims.py), on the log's
own times: it refuses a claim of a key that is older than the window, so no entry
host's clock can cause a second run.  What stands here answers a caller early and
clearly.

Clock assumption: an entry host's wall clock differs from the log's by less than
``MAX_CLOCK_ERROR``, or it has read the log lately: arrivals.py goes by the later of
the two.  One that runs ahead by more refuses keys that could still be
claimed; one that runs behind lets claims be appended which the fold then refuses.
Neither runs a request twice.  Streams reports the difference it sees.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from ...errors import Category, RunState, RyeleverError
from ...state.claims import CLAIM_WINDOW, FREED_WITHIN, MAX_AHEAD
from ...state.idempotency_key import MAX_KEY_LENGTH, issued_at
from ...state.records import Outcome

if TYPE_CHECKING:
    from ...state.claims import ClaimState

__all__ = [
    "KEY_IN_FUTURE",
    "MAX_CLOCK_ERROR",
    "OWNER_TIMEOUT",
    "check_key",
    "doubt",
    "judge_owner",
]

#: Code of the refusal of a key that is issued in the future.
KEY_IN_FUTURE = "idempotency_key_in_future"

#: Seconds by which an entry host's wall clock may differ from the log's.
MAX_CLOCK_ERROR = 30.0

#: Seconds after a claim for which its owner is believed to be at work.  By any entry
#: host's clock it is over only when no outcome can free the key any more.
OWNER_TIMEOUT = FREED_WITHIN + MAX_CLOCK_ERROR


def check_key(
    key: str,
    *,
    wall: float,
    window: float = CLAIM_WINDOW,
    max_ahead: float = MAX_AHEAD,
) -> Result[float, RyeleverError]:
    """Return the time of issue of a key that can still be claimed.

    Of a key that is too old nobody knows any more whether it was run: the refusal
    says ``outcome_unknown``.  To call it ``not_run`` would have the caller send the
    request again under a new key, and a booking that ran an hour ago would run
    twice.  A key from the future was never claimed if the log's clock, too, is sure
    to have it in the future; otherwise another entry host may have taken it.

    Parameters
    ----------
    wall : float
        Wall-clock time, in seconds since the epoch.
    """
    issued = issued_at(key)
    if issued is None:
        return _refused(
            "the Idempotency-Key must carry its time of issue: send a UUID of "
            f"version 7, or <unix milliseconds>-<any text>, of at most "
            f"{MAX_KEY_LENGTH} characters",
            category=Category.BAD_REQUEST,
            code="idempotency_key_invalid",
        )
    if wall - issued > window:
        return _refused(
            f"the Idempotency-Key was issued more than {window:g} s ago; this "
            "request was not run now, and whether an earlier one with this key "
            "was run is no longer known: look at what it was to bring about "
            "before you send it under a new key",
            category=Category.CONFLICT,
            code="idempotency_key_expired",
            run_state=RunState.OUTCOME_UNKNOWN,
        )
    ahead = issued - wall
    if ahead > max_ahead:
        never_claimed = ahead > max_ahead + MAX_CLOCK_ERROR
        return _refused(
            f"the Idempotency-Key was issued more than {max_ahead:g} s in the "
            "future; set the clock that it was made from",
            category=Category.BAD_REQUEST,
            code=KEY_IN_FUTURE,
            run_state=RunState.NOT_RUN if never_claimed else RunState.OUTCOME_UNKNOWN,
        )
    return Ok(issued)


def judge_owner(
    claim: ClaimState, *, read_until: float, timeout: float = OWNER_TIMEOUT
) -> ClaimState:
    """Return the claim as a resend is to see it.

    The owner of a claim may be gone for good, and the outcome then never comes.
    A resend must not be told "in progress" for ever, nor may it be run: what the
    owner had sent may have taken effect.  After a time it is told
    ``outcome_unknown``, for good: the fold lets no later outcome free the key.  One
    that says how the request was run still counts.

    Parameters
    ----------
    read_until : float
        Wall-clock time up to which the log was read.  Behind it the record that
        frees the key may wait to be read.
    """
    if claim.outcome is not None or read_until - claim.time <= timeout:
        return claim
    unknown = Outcome(
        key=claim.key,
        owner=claim.owner,
        run_state=RunState.OUTCOME_UNKNOWN.value,
        status=0,
        request_id=claim.request_id,
    )
    return replace(claim, outcome=unknown)


def doubt(error: RyeleverError, *, retry_after: float | None = None) -> RyeleverError:
    """Let a refusal speak of all sendings with its key, and not of this one alone.

    A caller that is told ``not_run`` may send its request again under a new key.  If
    an earlier sending with the old one has run meanwhile, by an entry host whose
    claim is not read here, the booking is doubled.

    Parameters
    ----------
    retry_after : float or None
        Seconds after which to come back, where the error names none.
    """
    if error.run_state is RunState.NOT_RUN:
        error.run_state = RunState.OUTCOME_UNKNOWN
        error.message += (
            "; this sending was not run, but whether an earlier one with its "
            "Idempotency-Key was run is not known here: send it again with the same "
            "key, which is always safe"
        )
        if error.retry_after is None:
            error.retry_after = retry_after
    return error


def _refused(
    message: str,
    *,
    category: Category,
    code: str,
    run_state: RunState = RunState.NOT_RUN,
) -> Result[float, RyeleverError]:
    return Error(
        RyeleverError(
            message, category=category, step="claim", code=code, run_state=run_state
        )
    )
