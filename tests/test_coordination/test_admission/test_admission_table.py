"""Test fair admission as part of the request table."""

from __future__ import annotations

import itertools

import pytest

from ryelever.coordination.actions import (
    AnswerError,
    Arrival,
    CancelAttempt,
    ChatWork,
    SendAttempt,
    Target,
    Usage,
)
from ryelever.coordination.admission.capacity import FixedCapacity
from ryelever.coordination.admission.fair_admission import FairAdmission
from ryelever.coordination.requests.keyed_claims import Claims
from ryelever.coordination.requests.requests import RequestTable
from ryelever.coordination.routing.least_in_flight import LeastInFlightRouter
from ryelever.coordination.routing.retry import RetryBudget
from ryelever.errors import Category
from ryelever.state.claims import ClaimsFold
from ryelever.state.configuration import ClientAccount

ACCOUNT = ClientAccount(key_hash="", share=0.5)


@pytest.fixture
def table() -> RequestTable:
    accounts = {"a": ACCOUNT}
    ids = itertools.count()
    return RequestTable(
        admission=FairAdmission(
            capacity=FixedCapacity(n_slots=1), account=accounts.get
        ),
        router=LeastInFlightRouter(
            targets=lambda arrival, now: [Target(name="g", address="1.2.3.4:5")]
        ),
        retry_policy=RetryBudget(),
        claims=Claims(
            owner="o",
            stream="claims",
            folds_by_stream={"claims": ClaimsFold()},
            stream_of=lambda key: "claims",
            max_lag=9.0,
        ),
        account=accounts.get,
        new_id=lambda: f"id-{next(ids)}",
        retry_after=lambda: 1.0,
    )


def arrive(table: RequestTable, name: str, *, deadline: float = 60.0) -> list:
    work = ChatWork(model="m", messages=[], max_tokens=1, streamed=False)
    return table.arrive(
        Arrival(
            request_id=name,
            client_account="a",
            work=work,
            arrived_at=0.0,
            deadline=deadline,
        ),
        now=0.0,
    )


def kinds(actions: list) -> list[type]:
    return [type(action) for action in actions]


def test_waiting_request_is_sent_when_the_slot_is_free(table: RequestTable) -> None:
    (sent,) = arrive(table, "first")
    assert arrive(table, "second") == []
    table.finished(sent.attempt_id, finish_reason="stop", usage=Usage(), now=1.0)
    (sent,) = table.tick(now=1.0)
    assert isinstance(sent, SendAttempt)
    assert sent.arrival.request_id == "second"


def test_caller_that_disconnects_while_waiting_leaves_no_state(
    table: RequestTable,
) -> None:
    (sent,) = arrive(table, "first")
    arrive(table, "second")
    assert table.caller_disconnected("second", now=0.5) == []
    assert kinds(table.caller_disconnected("first", now=0.5)) == [CancelAttempt]
    assert table.tick(now=1.0) == []
    assert table.requests_by_id == {}
    assert kinds(arrive(table, "third")) == [SendAttempt]


def test_late_request_gets_one_final_answer(table: RequestTable) -> None:
    """A request whose deadline passes while it waits is answered once, as limited."""
    arrive(table, "first")
    arrive(table, "second", deadline=3.0)
    (answer,) = table.tick(now=3.5)
    assert isinstance(answer, AnswerError)
    assert answer.error.category is Category.LIMITED
    assert answer.error.retry_after > 0
    assert "second" not in table.requests_by_id
    assert table.tick(now=4.0) == []


def test_freed_slot_is_granted_before_the_next_tick(table: RequestTable) -> None:
    """Admit a waiting request as soon as another request ends.

    Guards against slots that are idle for up to 50 ms after each request while callers
    wait, because the queue is only checked at each tick.  One request has the only
    slot and two wait; the first ends, then the caller of the second disconnects.
    """
    (sent,) = arrive(table, "first")
    for name in ("second", "third"):
        assert arrive(table, name) == []
    assert table.admit_after_release(now=0.5) == []
    table.finished(sent.attempt_id, finish_reason="stop", usage=Usage(), now=1.0)
    assert kinds(table.admit_after_release(now=1.0)) == [SendAttempt]
    assert table.admit_after_release(now=1.0) == []
    table.caller_disconnected("second", now=1.0)
    (sent,) = table.admit_after_release(now=1.0)
    assert sent.arrival.request_id == "third"
