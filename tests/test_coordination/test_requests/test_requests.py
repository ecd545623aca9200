"""Test the request table by fault cases: events in, answers out."""

from __future__ import annotations

from functools import partial
from unittest.mock import Mock

import pytest

from ryelever.coordination.actions import (
    AnswerComplete,
    AnswerError,
    AnswerService,
    AppendRecord,
    CancelAttempt,
    SendAttempt,
    StreamFailed,
    StreamFinished,
    StreamTokens,
)
from ryelever.coordination.routing import NoFeedback
from ryelever.errors import Category
from ryelever.state.records import Claim

from .request_fakes import KEY, RequestTableDriver, call, chat

KINDS = {
    "chat": chat,
    "unstreamed_chat": partial(chat, streamed=False),
    "call": call,
    "booking": partial(call, key=KEY),
    "chat_once": partial(chat, key=KEY),
    "unstreamed_chat_once": partial(chat, streamed=False, key=KEY),
}


def summary(driver: RequestTableDriver) -> str:
    """Return the table's actions as text, one word per action."""
    return " ".join(filter(None, map(_describe, driver.actions)))


def _describe(action: object) -> str:
    match action:
        case SendAttempt():
            return f"send-{action.target.name}+{len(action.delivered)}"
        case StreamTokens():
            return ",".join(action.tokens)
        case StreamFinished():
            return "finished"
        case AnswerComplete():
            return "complete:" + ",".join(action.tokens)
        case AnswerService():
            return f"answer-{action.status}" + ("-again" if action.replayed else "")
        case AnswerError(error=error):
            return f"{error.code}/{error.run_state.value}"
        case StreamFailed(error=error):
            return f"cut:{error.code}/{error.run_state.value}"
        case CancelAttempt():
            return "cancel"
        case AppendRecord(record=Claim()):
            return "claim"
        case AppendRecord(record=outcome):
            return f"log:{outcome.run_state}" + f"-{outcome.status}" * (
                outcome.status > 0
            )


# Each row: the kind of request, the steps of the driver, the expected actions.
CASES = {
    # Attempts that fail
    "refused attempt runs elsewhere": (
        "chat",
        "arrive refused tokens:0 finish",
        "send-a+0 send-b+0 t0 finished",
    ),
    "broken stream resumes": (
        "chat",
        "arrive tokens:0-2 broken tokens:3 finish",
        "send-a+0 t0,t1,t2 send-b+3 t3 finished",
    ),
    "silent stream resumes": (
        "chat",
        "arrive tokens:0 silent tokens:1 finish",
        "send-a+0 t0 send-b+1 t1 finished",
    ),
    "complete answer spans attempts": (
        "unstreamed_chat",
        "arrive tokens:0 broken tokens:1 finish",
        "send-a+0 send-b+1 complete:t0,t1",
    ),
    "late tokens reach nobody": (
        "chat",
        "arrive tokens:0 silent late_tokens tokens:1 finish late_tokens",
        "send-a+0 t0 send-b+1 t1 finished",
    ),
    "repeated tokens come once": (
        "chat",
        "arrive tokens:0-1 tokens:0-1 tokens:1-2 finish",
        "send-a+0 t0,t1 t2 finished",
    ),
    "a gap breaks the attempt": (
        "chat",
        "arrive tokens:0 tokens:2 tokens:1 finish",
        "send-a+0 t0 cancel send-b+1 t1 finished",
    ),
    "sent once, then refused, is not not_run": (
        "chat",
        "targets:a,b,c,d arrive silent refused refused refused",
        "send-a+0 send-b+0 send-c+0 send-d+0 unavailable/outcome_unknown",
    ),
    "refused everywhere is not_run": (
        "chat",
        "targets:a,b arrive refused refused targets wait:8",
        "send-a+0 send-b+0 unavailable/not_run",
    ),
    "attempts are bounded": (
        "chat",
        "targets:a,b,c,d,e arrive broken broken broken broken",
        "send-a+0 send-b+0 send-c+0 send-d+0 broken/outcome_unknown",
    ),
    "group is lost before the first token": (
        "chat",
        "targets:a,b arrive wait:0.6 targets:b wait:0.6 tokens:0 late_tokens finish",
        "send-a+0 send-b+0 cancel t0 finished",
    ),
    "silent group sends first": (
        "chat",
        "targets:a,b arrive wait:0.6 targets:b wait:0.6 from:0 tokens:0 "
        "from:1 tokens:0-3 from:0 tokens:1 finish",
        "send-a+0 send-b+0 cancel t0 t1 finished",
    ),
    "silent group goes on after all others refused": (
        "chat",
        "targets:a,b,c,d arrive wait:0.6 targets:b,c,d wait:0.6 refused refused "
        "refused wait:1 from:0 tokens:0 finish",
        "send-a+0 send-b+0 send-c+0 send-d+0 t0 finished",
    ),
    "silent group goes on after the only other one is lost as well": (
        "chat",
        "targets:a,b arrive wait:0.6 targets:b wait:0.6 targets silent wait:1 wait:9 "
        "from:0 tokens:0 finish",
        "send-a+0 send-b+0 t0 finished",
    ),
    "silent group is whole again while the other one refuses": (
        "chat",
        "targets:a,b arrive wait:0.6 targets:b wait:0.6 targets:a,b refused wait:0.3 "
        "from:0 tokens:0 finish",
        "send-a+0 send-b+0 send-b+0 cancel t0 finished",
    ),
    "silent groups, the first one goes on": (
        "chat",
        "targets:a,b,c arrive wait:0.6 targets:b,c wait:0.6 targets:c wait:0.6 "
        "from:0 tokens:0 finish",
        "send-a+0 send-b+0 send-c+0 cancel cancel t0 finished",
    ),
    "silent group breaks": (
        "chat",
        "targets:a,b arrive wait:0.6 targets:b wait:0.6 from:0 broken "
        "from:1 tokens:0 finish",
        "send-a+0 send-b+0 t0 finished",
    ),
    "silent group sends a gap": (
        "chat",
        "targets:a,b arrive wait:0.6 targets:b wait:0.6 from:0 tokens:1 "
        "from:1 tokens:0 finish",
        "send-a+0 send-b+0 cancel t0 finished",
    ),
    "caller disconnects while a silent group is held": (
        "chat",
        "targets:a,b arrive wait:0.6 targets:b wait:0.6 disconnect",
        "send-a+0 send-b+0 cancel cancel",
    ),
    "group is lost, and no other one serves": (
        "chat",
        "targets:a arrive targets wait:9 tokens:0 finish",
        "send-a+0 t0 finished",
    ),
    "group of a booking is lost": (
        "booking",
        "targets:a,b arrive read targets:b wait:9 answer:200",
        "claim send-a+0 log:run-200 answer-200",
    ),
    "no target": ("chat", "targets arrive", "unavailable/not_run"),
    # No group is left
    "waits for a group": (
        "chat",
        "targets:a arrive tokens:0 broken wait:1 targets:b wait:1 tokens:1 finish",
        "send-a+0 t0 send-b+1 t1 finished",
    ),
    "no group within the recovery timeout": (
        "chat",
        "targets:a arrive broken targets wait:7.9 wait:0.2",
        "send-a+0 broken/outcome_unknown",
    ),
    "stream waits for a group until its deadline": (
        "chat",
        "targets:a arrive tokens:0 broken targets wait:50 wait:9.9 wait:0.2",
        "send-a+0 t0 cut:timeout/outcome_unknown",
    ),
    "stream is refused again and again": (
        "chat",
        "targets:a arrive tokens:0 silent wait:0.3 refused wait:0.3 refused wait:0.3 "
        "refused wait:0.3 refused wait:0.3 refused wait:3 tokens:1 finish",
        "send-a+0 t0 send-a+1 send-a+1 send-a+1 send-a+1 send-a+1 send-a+1 t1 finished",
    ),
    "stream that all groups refuse is not resent at once": (
        "chat",
        "targets:a,b,c,d,e,f arrive tokens:0 broken refused refused refused refused "
        "wait:0.2 wait:0.1 tokens:1 finish",
        "send-a+0 t0 send-b+1 send-c+1 send-d+1 send-e+1 send-a+1 t1 finished",
    ),
    "stream is run five times at most": (
        "chat",
        "targets:a,b,c,d,e,f arrive refused tokens:0 broken broken broken broken "
        "broken",
        "send-a+0 send-b+0 t0 send-c+1 send-d+1 send-e+1 send-f+1 "
        "cut:broken/outcome_unknown",
    ),
    "silent connection, sole group": (
        "chat",
        "targets:a arrive tokens:0 silent wait:0.2 wait:0.1 tokens:1 finish",
        "send-a+0 t0 send-a+1 t1 finished",
    ),
    "broken sole group must confirm itself first": (
        "chat",
        "targets:a arrive tokens:0 broken wait:2.4 late_tokens wait:0.2 finish",
        "send-a+0 t0 send-a+1 finished",
    ),
    # The deadline
    "deadline of an attempt": (
        "chat",
        "arrive wait:60",
        "send-a+0 cancel timeout/outcome_unknown",
    ),
    "deadline of a stream": (
        "chat",
        "arrive tokens:0 wait:60 late_tokens",
        "send-a+0 t0 cancel cut:timeout/outcome_unknown",
    ),
    "deadline while waiting for a group": (
        "chat",
        "targets:a arrive wait:55 refused targets wait:5",
        "send-a+0 timeout/not_run",
    ),
    # The caller
    "caller disconnects while sent": (
        "chat",
        "arrive disconnect late_tokens",
        "send-a+0 cancel",
    ),
    "caller disconnects while waiting for a group": (
        "chat",
        "targets:a arrive broken disconnect wait:9",
        "send-a+0",
    ),
    "caller of a booking disconnects: outcome kept": (
        "booking",
        "arrive read disconnect answer:201",
        "claim send-a+0 log:run-201",
    ),
    "caller of a booking disconnects, then refused": (
        "booking",
        "arrive read disconnect refused",
        "claim send-a+0 log:not_run",
    ),
    "caller disconnects while claiming": (
        "booking",
        "arrive disconnect read",
        "claim log:not_run",
    ),
    "caller disconnects while a booking waits": (
        "booking",
        "targets:a arrive read refused disconnect",
        "claim send-a+0 log:not_run",
    ),
    "caller of a non-repeatable chat disconnects": (
        "chat_once",
        "arrive read tokens:0 disconnect tokens:1 finish read arrive:r2",
        "claim send-a+0 t0 log:run-200 t0,t1 finished",
    ),
    # Claims
    "booking runs after its claim": (
        "booking",
        "arrive read answer:201",
        "claim send-a+0 log:run-201 answer-201",
    ),
    "booking is resent": (
        "booking",
        "arrive read answer:201 read arrive:r2",
        "claim send-a+0 log:run-201 answer-201 answer-201-again",
    ),
    "resend while the first runs": (
        "booking",
        "arrive read arrive:r2 answer:201",
        "claim send-a+0 in_progress/outcome_unknown log:run-201 answer-201",
    ),
    "both claims before either is read": (
        "booking",
        "arrive arrive:r2 read answer:201",
        "claim claim send-a+0 in_progress/outcome_unknown log:run-201 answer-201",
    ),
    "another host's claim came first": (
        "booking",
        "arrive rival read",
        "claim in_progress/outcome_unknown",
    ),
    "claim read back twice": (
        "booking",
        "arrive read_twice answer:201",
        "claim send-a+0 log:run-201 answer-201",
    ),
    "claim is late": (
        "booking",
        "arrive wait:5 read",
        "claim claim_not_confirmed/not_run log:not_run",
    ),
    "late claim is freed, resend runs": (
        "booking",
        "arrive wait:5 read read arrive:r2 read answer:201",
        "claim claim_not_confirmed/not_run log:not_run claim send-a+0 log:run-201 "
        "answer-201",
    ),
    # Refused while the key's history is incomplete: an earlier request may have run
    "log down": ("booking", "log_down arrive", "log_unavailable/outcome_unknown"),
    "log goes down while claiming": (
        "booking",
        "arrive log_down wait:5 read",
        "claim claim_not_confirmed/outcome_unknown log:not_run",
    ),
    "draining": ("booking", "draining", "unavailable/outcome_unknown"),
    "draining, claim of another host read": (
        "booking",
        "rival draining",
        "in_progress/outcome_unknown",
    ),
    "draining, no key": ("call", "draining", "unavailable/not_run"),
    "queue full": ("booking", "full arrive", "limited/outcome_unknown"),
    "queue full, no key": ("call", "full arrive", "limited/not_run"),
    "queued too long, log read since": (
        "booking",
        "queue arrive wait:1 queued_too_long",
        "limited/not_run",
    ),
    "queued too long, log down since": (
        "booking",
        "queue arrive log_down wait:1 queued_too_long",
        "limited/outcome_unknown",
    ),
    "queued too long, rival read since": (
        "booking",
        "queue arrive rival wait:1 queued_too_long",
        "in_progress/outcome_unknown",
    ),
    "queued beyond its deadline, log down since": (
        "booking",
        "queue arrive log_down wait:60",
        "timeout/outcome_unknown",
    ),
    "log down, outcome known": (
        "booking",
        "arrive read answer:201 read log_down arrive:r2",
        "claim send-a+0 log:run-201 answer-201 answer-201-again",
    ),
    "long answer is not replayed in part": (
        "booking",
        "arrive read answer:201+ read arrive:r2",
        "claim send-a+0 log:run answer-201 outcome_kept_without_answer/run",
    ),
    "unstreamed non-repeatable chat is resent": (
        "unstreamed_chat_once",
        "arrive read tokens:0 finish read arrive:r2",
        "claim send-a+0 log:run-200 complete:t0 complete:t0",
    ),
    # At most once
    "refused booking goes elsewhere": (
        "booking",
        "arrive read refused answer:201",
        "claim send-a+0 send-b+0 log:run-201 answer-201",
    ),
    "service says it did not run": (
        "booking",
        "arrive read answer:503! answer:201",
        "claim send-a+0 send-b+0 log:run-201 answer-201",
    ),
    "a bare 503 is the booking's answer": (
        "booking",
        "arrive read answer:503 read arrive:r2",
        "claim send-a+0 log:outcome_unknown-503 answer-503 answer-503-again",
    ),
    "broken booking is never sent again": (
        "booking",
        "arrive read broken read arrive:r2",
        "claim send-a+0 log:outcome_unknown broken/outcome_unknown "
        "outcome_unknown/outcome_unknown",
    ),
    "refused, then broken": (
        "booking",
        "arrive read refused broken wait:9",
        "claim send-a+0 send-b+0 log:outcome_unknown broken/outcome_unknown",
    ),
    "non-repeatable chat breaks": (
        "chat_once",
        "arrive read tokens:0 broken",
        "claim send-a+0 t0 log:outcome_unknown cut:broken/outcome_unknown",
    ),
    "refused everywhere": (
        "booking",
        "targets:a arrive read refused targets wait:8",
        "claim send-a+0 log:not_run unavailable/not_run",
    ),
    # Repeatable calls
    "call is retried on 502": (
        "call",
        "arrive answer:502 answer:200",
        "send-a+0 send-b+0 answer-200",
    ),
    "call gets the last answer": (
        "call",
        "targets:a,b,c,d arrive answer:502 answer:503 answer:504 answer:503",
        "send-a+0 send-b+0 send-c+0 send-d+0 answer-503",
    ),
    "500 is the call's answer": ("call", "arrive answer:500", "send-a+0 answer-500"),
    "sole service is asked again": (
        "call",
        "targets:a arrive answer:503 wait:0.3 answer:200",
        "send-a+0 send-a+0 answer-200",
    ),
    # A paused process
    "paused beyond the claim's deadline": (
        "booking",
        "arrive pause:6 wait:0 read",
        "claim claim_not_confirmed/outcome_unknown log:not_run",
    ),
    "paused beyond every deadline, claim first": (
        "booking",
        "arrive pause:61 read",
        "claim log:not_run timeout/not_run",
    ),
    "paused while sent": (
        "booking",
        "arrive read pause:61 wait:0 answer:201 read arrive:r2",
        "claim send-a+0 cancel log:outcome_unknown timeout/outcome_unknown "
        "outcome_unknown/outcome_unknown",
    ),
    "paused, then the attempt breaks": (
        "chat",
        "arrive tokens:0 pause:61 broken",
        "send-a+0 t0 cut:broken/outcome_unknown",
    ),
    # Two faults in one case
    "broken, and its outcome is not read": (
        "booking",
        "arrive read broken log_down arrive:r2",
        "claim send-a+0 log:outcome_unknown broken/outcome_unknown "
        "in_progress/outcome_unknown",
    ),
    "claim late and caller gone": (
        "booking",
        "arrive pause:6 disconnect read",
        "claim log:not_run",
    ),
    "two groups die": (
        "chat",
        "arrive tokens:0 broken tokens:1 broken tokens:2 finish",
        "send-a+0 t0 send-b+1 t1 send-c+2 t2 finished",
    ),
    # Shutdown
    "shutdown ends a stream": (
        "chat",
        "arrive tokens:0 end_all",
        "send-a+0 t0 cancel cut:shutting_down/outcome_unknown",
    ),
    "shutdown ends a claim": (
        "booking",
        "arrive end_all read",
        "claim shutting_down/outcome_unknown log:not_run",
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_fault_case(name: str) -> None:
    """The table returns exactly the expected actions and keeps no entry.

    Guards against a step of the table that does not handle a fault, so that a caller
    gets no answer, two answers, another caller's answer or a false run state.
    """
    kind, steps, expected = CASES[name]
    driver = RequestTableDriver()
    driver.kind = KINDS[kind]
    for step in steps.split():
        driver.step(step)
    assert summary(driver) == expected
    assert driver.table.n_tracked() == 0
    assert not driver.admission.admitted
    assert not driver.router.in_flight


REFUSALS = ["log_down arrive", "full arrive", "draining", "arrive end_all read"]


@pytest.mark.parametrize("steps", REFUSALS)
def test_refusal_with_unknown_outcome_advises_a_resend(steps: str) -> None:
    """A refused caller with a key learns that a resend is safe, and when to send it.

    Guards against a booking that runs twice: it runs at one entry host, its answer is
    lost, another host refuses the resend as "not run", and the caller books again
    under a new key.  The refusal meant the resend only, but the caller took it to
    cover every request with the key.
    """
    driver = RequestTableDriver()
    driver.kind = KINDS["booking"]
    for step in steps.split():
        driver.step(step)
    (error,) = (a.error for a in driver.actions if isinstance(a, AnswerError))
    assert "with the same key, which is always safe" in error.message
    assert error.retry_after > 0


def test_crash_of_a_held_attempt_counts_against_its_request() -> None:
    """A request that crashes its silent group is not known to have run there."""
    feedback = Mock(spec=NoFeedback, **{"verdict.return_value": None})
    driver = RequestTableDriver(feedback=feedback)
    driver.kind = chat
    steps = "targets:a,b arrive wait:0.6 targets:b wait:0.6 from:0 broken"
    for step in steps.split():
        driver.step(step)
    target, error = feedback.failed.call_args.args
    assert (target.name, error.category) == ("a", Category.BROKEN)
    assert feedback.failed.call_args.kwargs["in_flight"] == {"f"}
