"""Check idempotency keys by their time of issue, and claims by their age.

These checks only refuse early and with a clear error.  Safety rests on the claims
fold (state/claims.py): by the log's times it refuses claims of keys older than the
window, so no entry host's clock can cause a second run.

Clock assumption: an entry host's wall clock differs from the log's by less than
``MAX_CLOCK_ERROR``, or the host has read the log recently; arrivals.py uses the
later of the two times.  A host whose clock is further ahead refuses keys that could
still be claimed; a host whose clock is further behind appends claims that the fold
then refuses.  Neither runs a request twice.  The ``streams`` module logs a warning
when the clocks differ by more than half of ``MAX_KEY_LEAD``.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from ...errors import Category, RunState, RyeleverError
from ...state.claims import CLAIM_WINDOW, MAX_KEY_LEAD, MAX_TIME_TO_FREE
from ...state.idempotency_key import MAX_KEY_LENGTH, issued_at
from ...state.records import Outcome

if TYPE_CHECKING:
    from ...state.claims import ClaimState

__all__ = [
    "KEY_IN_FUTURE",
    "MAX_CLOCK_ERROR",
    "OWNER_TIMEOUT",
    "check_key",
    "mark_outcome_unknown",
    "apply_owner_timeout",
]

#: Error code for a key whose time of issue is in the future.
KEY_IN_FUTURE = "idempotency_key_in_future"

#: Maximum difference between an entry host's wall clock and the log's, in seconds.
MAX_CLOCK_ERROR = 30.0

#: Seconds after a claim for which its owner is assumed to be working on the request.
#: By every entry host's clock, the period ends only when no outcome can free the key
#: any more.
OWNER_TIMEOUT = MAX_TIME_TO_FREE + MAX_CLOCK_ERROR


def check_key(
    key: str,
    *,
    wall_time: float,
    window: float = CLAIM_WINDOW,
    max_ahead: float = MAX_KEY_LEAD,
) -> Result[float, RyeleverError]:
    """Return the time of issue of a key that can still be claimed, or an error.

    The claim of a key that is too old may have been forgotten, so the error says
    ``outcome_unknown``.  On ``not_run`` the caller would send the request again under
    a new key, and a booking that ran an hour ago would run twice.  The error for a
    key from the future says ``not_run`` only if the key is certain to be in the future
    by the log's clock too; otherwise another entry host may have accepted the key.

    Parameters
    ----------
    wall_time : float
        Wall-clock time, in seconds since the epoch.
    window : float
        Seconds after its issue for which a key can be claimed.
    max_ahead : float
        Seconds by which the time of issue may be ahead of ``wall_time``.
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
    if wall_time - issued > window:
        return _refused(
            f"the Idempotency-Key was issued more than {window:g} s ago; this "
            "request was not run now, and whether an earlier one with this key "
            "was run is no longer known: look at what it was to bring about "
            "before you send it under a new key",
            category=Category.CONFLICT,
            code="idempotency_key_expired",
            run_state=RunState.OUTCOME_UNKNOWN,
        )
    ahead = issued - wall_time
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


def apply_owner_timeout(
    claim: ClaimState, *, read_until: float, timeout: float = OWNER_TIMEOUT
) -> ClaimState:
    """Return the claim, with outcome unknown once its owner has timed out.

    If the owner of a claim never returns, no outcome is ever appended.  A resend
    must not be answered "in progress" for ever, nor may it run, since the request
    that the owner sent may have taken effect.  After the timeout a resend is answered
    ``outcome_unknown``, and that answer is final: the fold lets no later outcome free
    the key.  A later outcome that says how the request was run still counts.

    Parameters
    ----------
    read_until : float
        Wall-clock time up to which the log was read.  A record that frees the key
        may be in the part of the log after this time.
    timeout : float
        Seconds after the claim after which its owner has timed out.
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


def mark_outcome_unknown(
    error: RyeleverError, *, retry_after: float | None = None
) -> RyeleverError:
    """Change a refusal from ``not_run`` to ``outcome_unknown``.

    ``not_run`` would be true of this request only, while the caller takes the answer
    to cover every request with the same key, and may then send its request again
    under a new key.  If another entry host has run an earlier request with the old
    key, and its claim is not read here yet, the booking would be made twice.

    Parameters
    ----------
    retry_after : float or None
        Seconds after which the caller should retry, if the error names none.
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
