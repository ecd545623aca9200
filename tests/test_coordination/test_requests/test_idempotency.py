"""Test the checks of idempotency keys and the timeout of claim owners."""

from __future__ import annotations

import time

import pytest

from ryelever.accounts import hash_key
from ryelever.arrivals import ArrivalReader
from ryelever.coordination.requests.idempotency import (
    MAX_CLOCK_ERROR,
    OWNER_TIMEOUT,
    apply_owner_timeout,
    check_key,
)
from ryelever.errors import Category, RunState
from ryelever.events import CallerRequest
from ryelever.settings import Settings
from ryelever.state.claims import CLAIM_WINDOW, MAX_KEY_LEAD, ClaimState
from ryelever.state.configuration import ClientAccount, Configuration, Service
from ryelever.state.configuration_fold import ConfigurationFold
from ryelever.state.records import Outcome

from ...memory_log import FIRST_APPEND_TIME

MILLISECONDS = int(FIRST_APPEND_TIME * 1000)
UUID7 = f"{MILLISECONDS:012x}"
UUID7 = f"{UUID7[:8]}-{UUID7[8:]}-7abc-8def-0123456789ab"

KEYS = [
    # key, seconds after its issue, error code, run state in the error
    (UUID7, 0.0, None, None),
    (UUID7.upper(), 0.0, None, None),
    (f"{MILLISECONDS}-rex", 0.0, None, None),
    (f"{MILLISECONDS}-rex/b\u00e9", 0.0, None, None),
    (UUID7, CLAIM_WINDOW - 1, None, None),
    (UUID7, 1 - MAX_KEY_LEAD, None, None),
    (UUID7, CLAIM_WINDOW + 1, "idempotency_key_expired", RunState.OUTCOME_UNKNOWN),
    # An entry host whose clock is right may have accepted a key that this one refuses.
    (UUID7, -1 - MAX_KEY_LEAD, "idempotency_key_in_future", RunState.OUTCOME_UNKNOWN),
    (
        UUID7,
        -1 - MAX_KEY_LEAD - MAX_CLOCK_ERROR,
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
def test_key_is_checked_by_its_time_of_issue(
    key: str, age: float, code: str | None, run_state: RunState | None
) -> None:
    """Keys outside the claim window are refused without a false "not run".

    Guards against a renewal that is filed twice: it runs, and its caller sends it
    again an hour later, when its claim has been forgotten.  On the answer "not run"
    the caller would send it once more under a new key.
    """
    result = check_key(key, wall_time=FIRST_APPEND_TIME + age)
    if code is None:
        assert result.ok == pytest.approx(FIRST_APPEND_TIME, abs=0.001)
        return
    assert (result.error.code, result.error.run_state) == (code, run_state)
    invalid = code != "idempotency_key_expired"
    assert (result.error.category is Category.BAD_REQUEST) is invalid


CLOCKS = [
    # seconds that the host's clock is behind, seconds that the newest log time read is
    # behind, error code
    (0.0, 0.0, None),
    (MAX_KEY_LEAD + 30, 0.0, None),
    (0.0, 3600.0, None),
    (MAX_KEY_LEAD + 30, 3600.0, "idempotency_key_in_future"),
    (-CLAIM_WINDOW - 30, 0.0, "idempotency_key_expired"),
    (0.0, -CLAIM_WINDOW - 30, "idempotency_key_expired"),
]


@pytest.mark.parametrize(("host_behind", "log_behind", "code"), CLOCKS)
def test_key_is_not_in_future_by_the_later_clock(
    host_behind: float, log_behind: float, code: str | None, monkeypatch
) -> None:
    """A key is checked by the later of the host's clock and the log's time.

    Guards against "not run" for a booking that ran: one entry host runs it, its answer
    is lost, and it is sent again to a host whose clock is a minute behind.  By that
    clock alone the key is from the future, although the host has read its claim.
    """
    monkeypatch.setattr(time, "time", lambda: FIRST_APPEND_TIME - host_behind)
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
        log_time=lambda: FIRST_APPEND_TIME - log_behind,
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
    # seconds since the claim, stored outcome, run state in the answer to a resend
    (OWNER_TIMEOUT - 1, None, None),
    (OWNER_TIMEOUT + 1, None, "outcome_unknown"),
    (OWNER_TIMEOUT + 1, STORED, "run"),
]


@pytest.mark.parametrize(("age", "outcome", "expected_state"), OWNERS)
def test_resend_gets_the_outcome_or_outcome_unknown(
    age: float, outcome: Outcome | None, expected_state: str | None
) -> None:
    """A claim whose owner never returns gets the stored outcome or "unknown".

    Guards against "in progress" for ever: an entry host claims a key, sends the request
    and is replaced, and only that host would append the outcome.
    """
    claim = ClaimState(
        key="k",
        fingerprint="f",
        owner="e1/a",
        request_id="r",
        offset=0,
        time=FIRST_APPEND_TIME,
        outcome=outcome,
    )
    found = apply_owner_timeout(claim, read_until=FIRST_APPEND_TIME + age)
    assert (found.outcome.run_state if found.outcome else None) == expected_state
    assert claim.outcome is outcome
