"""Test the judgement of idempotency keys and of owners that are gone."""

from __future__ import annotations

import time

import pytest

from ryelever.accounts import hash_key
from ryelever.arrivals import ArrivalReader
from ryelever.coordination.requests.idempotency import (
    MAX_CLOCK_ERROR,
    OWNER_TIMEOUT,
    check_key,
    judge_owner,
)
from ryelever.errors import Category, RunState
from ryelever.events import CallerRequest
from ryelever.settings import Settings
from ryelever.state.claims import CLAIM_WINDOW, MAX_AHEAD, ClaimState
from ryelever.state.configuration import ClientAccount, Configuration, Service
from ryelever.state.configuration_fold import ConfigurationFold
from ryelever.state.records import Outcome

from ...memory_log import EPOCH

MILLISECONDS = int(EPOCH * 1000)
UUID7 = f"{MILLISECONDS:012x}"
UUID7 = f"{UUID7[:8]}-{UUID7[8:]}-7abc-8def-0123456789ab"

KEYS = [
    # key, seconds after its issue, code of the refusal, run state it states
    (UUID7, 0.0, None, None),
    (UUID7.upper(), 0.0, None, None),
    (f"{MILLISECONDS}-rex", 0.0, None, None),
    (f"{MILLISECONDS}-rex/b\u00e9", 0.0, None, None),
    (UUID7, CLAIM_WINDOW - 1, None, None),
    (UUID7, 1 - MAX_AHEAD, None, None),
    (UUID7, CLAIM_WINDOW + 1, "idempotency_key_expired", RunState.OUTCOME_UNKNOWN),
    # An entry host whose clock is right may have taken what this one refuses.
    (UUID7, -1 - MAX_AHEAD, "idempotency_key_in_future", RunState.OUTCOME_UNKNOWN),
    (
        UUID7,
        -1 - MAX_AHEAD - MAX_CLOCK_ERROR,
        "idempotency_key_in_future",
        RunState.NOT_RUN,
    ),
    (UUID7.replace("-7", "-4", 1), 0.0, "idempotency_key_invalid", RunState.NOT_RUN),
    ("rex", 0.0, "idempotency_key_invalid", RunState.NOT_RUN),
    ("12345-rex", 0.0, "idempotency_key_invalid", RunState.NOT_RUN),
    (f"{MILLISECONDS}-", 0.0, "idempotency_key_invalid", RunState.NOT_RUN),
    (f"{MILLISECONDS}", 0.0, "idempotency_key_invalid", RunState.NOT_RUN),
    (f"{MILLISECONDS}-{'x' * 200}", 0.0, "idempotency_key_invalid", RunState.NOT_RUN),
]


@pytest.mark.parametrize(("key", "age", "code", "run_state"), KEYS)
def test_key_is_judged_by_its_time_of_issue(
    key: str, age: float, code: str | None, run_state: RunState | None
) -> None:
    """Refuse what nobody could know, and say no more than is known.

    Symptom: a renewal is filed twice.  Sequence: it runs, its caller sleeps for an
    hour and sends it again, is told "not run", and sends it under a new key.  Cause:
    the claim was forgotten, and forgotten was taken for never.
    """
    result = check_key(key, wall=EPOCH + age)
    if code is None:
        assert result.ok == pytest.approx(EPOCH, abs=0.001)
        return
    assert (result.error.code, result.error.run_state) == (code, run_state)
    invalid = code != "idempotency_key_expired"
    assert (result.error.category is Category.BAD_REQUEST) is invalid


CLOCKS = [
    # seconds by which the host's clock, and what it read of the log, are behind
    (0.0, 0.0, None),
    (MAX_AHEAD + 30, 0.0, None),
    (0.0, 3600.0, None),
    (MAX_AHEAD + 30, 3600.0, "idempotency_key_in_future"),
    (-CLAIM_WINDOW - 30, 0.0, "idempotency_key_expired"),
    (0.0, -CLAIM_WINDOW - 30, "idempotency_key_expired"),
]


@pytest.mark.parametrize(("host_behind", "log_behind", "code"), CLOCKS)
def test_key_is_not_called_future_against_the_log(
    host_behind: float, log_behind: float, code: str | None, monkeypatch
) -> None:
    """Resend a booking to an entry host whose clock is behind.

    Symptom: "not run" for a booking that ran.  Sequence: it runs through one entry
    host, its answer is lost, it is sent again to a host whose clock is a minute
    behind.  Cause: the key is from that host's future, though its claim was read.
    """
    monkeypatch.setattr(time, "time", lambda: EPOCH - host_behind)
    fold = ConfigurationFold()
    account = ClientAccount(key_hash=hash_key("acme.secret"))
    document = Configuration(
        client_accounts={"acme": account},
        services={"bookings": Service(non_repeatable=("/b",))},
    )
    fold.adopt(version=0, document=document, author="ana")
    reader = ArrivalReader(
        settings=Settings(request_timeout=30.0, max_request_timeout=60.0),
        configuration=fold,
        log_time=lambda: EPOCH - log_behind,
    )
    request = CallerRequest(
        request_id="r",
        method="POST",
        path="/services/bookings/b",
        query="",
        headers={"authorization": "Bearer acme.secret", "idempotency-key": UUID7},
        body=b"{}",
        peer="c",
    )
    arrival = reader.read(request)
    assert (arrival.error.code if arrival.is_error() else None) == code


STORED = Outcome(key="k", owner="e1/a", run_state="run", status=201)

OWNERS = [
    # seconds since the claim, stored outcome, run state that a resend is told
    (OWNER_TIMEOUT - 1, None, None),
    (OWNER_TIMEOUT + 1, None, "outcome_unknown"),
    (OWNER_TIMEOUT + 1, STORED, "run"),
]


@pytest.mark.parametrize(("age", "outcome", "told"), OWNERS)
def test_resend_is_told_the_outcome_or_that_it_is_unknown(
    age: float, outcome: Outcome | None, told: str | None
) -> None:
    """Ask for a request whose owner is gone for good.

    Symptom: a caller is told "in progress" for ever.  Sequence: an entry host claims
    a key, sends the request and is replaced.  Cause: only the owner appends the
    outcome.
    """
    claim = ClaimState(
        key="k",
        fingerprint="f",
        owner="e1/a",
        request_id="r",
        offset=0,
        time=EPOCH,
        outcome=outcome,
    )
    seen = judge_owner(claim, read_until=EPOCH + age)
    assert (seen.outcome.run_state if seen.outcome else None) == told
    assert claim.outcome is outcome
