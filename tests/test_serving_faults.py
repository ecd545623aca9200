"""Test that an exception ends the caller's request that it concerns, and no other."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from unittest.mock import Mock

import pytest
from msgspec import json

from ryelever import attempts, caller_answers, serving
from ryelever.attempts import Attempts
from ryelever.caller_answers import CallerAnswers
from ryelever.coordination.actions import AppendRecord, Arrival
from ryelever.coordination.admission.admission import Queued
from ryelever.coordination.requests.attempts import RequestAttempts
from ryelever.coordination.requests.claims import RequestClaims
from ryelever.coordination.requests.held_attempts import HeldAttempts
from ryelever.coordination.requests.steps import RequestSteps
from ryelever.coordination.routing import NoFeedback
from ryelever.coordination.routing.retry import RetryBudget
from ryelever.errors import Category, RunState, RyeleverError
from ryelever.events import (
    AnswerHead,
    AttemptData,
    CallerAnswer,
    ClaimReadBack,
    OutboundAnswer,
    OutboundFailure,
)
from ryelever.metrics import Metrics
from ryelever.protocol.backend import StreamItem
from ryelever.serving import Serving
from ryelever.state.records import Claim

from .builders import direct_access
from .raising_calls import RaisingCall, spread
from .test_coordination.test_requests.request_fakes import (
    DEADLINE,
    KEY,
    FakeAdmission,
    FakeRouter,
    RequestTableDriver,
    call,
    chat,
)

#: Classes whose methods raise, one call at a time.
OWNERS = dict.fromkeys(
    (
        CallerAnswers,
        FakeRouter,
        HeldAttempts,
        NoFeedback,
        RequestAttempts,
        RequestClaims,
        RequestSteps,
        RetryBudget,
    ),
    (),
) | {
    Attempts: ("send", "cancel", "head", "data", "end", "answer", "failed"),
    FakeAdmission: ("admit", "release", "ready", "expired"),
}

#: Calls of each method that raise.
N_CALLS = 4


class Host:
    """The OpenAI interface of an entry host without sockets.

    Attributes
    ----------
    attempts_by_request : dict of str to list of str
        Ids of the attempts of each request, in their order.
    ends : dict of str to str
        How each caller's answer ended, by request id: its status, ``finished`` or
        ``cut``.
    faults : list of tuple
        Texts of the reported exceptions, and ids of the requests.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.driver = RequestTableDriver()
        self.table = self.driver.table
        self.clock = Mock(time=lambda: 0.0, monotonic=lambda: self.driver.now)
        for module in (attempts, caller_answers, serving):
            monkeypatch.setattr(module, "time", self.clock)
        self.serving = Serving(
            settings=Mock(
                progress_timeout=1.0, first_token_timeout=1.0, service_timeout=1.0
            ),
            table=self.table,
            configuration=None,
            metrics=Metrics(),
            pages={},
            log_time=lambda: 0.0,
            access=direct_access(),
        )
        self.serving.fire = self._on_fired
        self.serving._attempts._fire = self._on_fired
        self.serving._answers._fire = self._on_fired
        self.attempts_by_request: dict[str, list[str]] = {}
        self.ends: dict[str, str] = {}
        self._last_data_by_request: dict[str, bytes] = {}
        self.faults: list[tuple[str, str]] = []

    def _on_fired(self, event: object, channel: str) -> None:
        match event.name, event.args:
            case "outbound_send", (request,) if request.step != "cancel":
                request_id = self.table.request_id_of_attempt(request.id)
                attempt_ids = self.attempts_by_request.setdefault(request_id, [])
                attempt_ids.append(request.id)
            case "caller_answer", (CallerAnswer() as answer,):
                self._end(answer.request_id, str(answer.status))
            case "caller_stream_data", (request_id, data):
                self._last_data_by_request[request_id] = data
            case "caller_stream_end", (request_id,):
                is_cut = b'"error"' in self._last_data_by_request[request_id]
                self._end(request_id, "cut" if is_cut else "finished")
            case "append_record", (AppendRecord() as append,):
                self.driver.log.unread.append(append)
            case "request_fault", (error, request_id):
                self.faults.append((str(error), request_id))

    def _end(self, request_id: str, end: str) -> None:
        # Nothing is sent to a caller whose answer has ended.
        self.ends.setdefault(request_id, end)

    def attempt(self, request_id: str, index: int = 0) -> str:
        """Return the id of an attempt of a request; empty if there is none."""
        attempt_ids = self.attempts_by_request.get(request_id, [])
        return attempt_ids[index] if index < len(attempt_ids) else ""

    def arrive(self, arrival: Arrival) -> None:
        self.serving._run(
            arrival.request_id, lambda: self.serving._handle_arrival(arrival)
        )

    def read_log(self) -> None:
        log = self.driver.log
        unread, log.unread = log.unread, []
        for append in unread:
            is_first = log.read(append)
            if isinstance(append.record, Claim):
                message = ClaimReadBack(
                    claim_id=append.record_id, claim=append.record, is_first=is_first
                )
                self.serving._on_claim_read_back(message)

    def tick(self, seconds: float) -> None:
        self.driver.now += seconds
        self.serving._on_serving_tick()

    # Backend servers

    def item(self, attempt_id: str, *tokens: str, index: int, ends: bool = False):
        item = StreamItem(
            attempt=attempt_id,
            index=index,
            tokens=tokens,
            finish_reason="stop" if ends else "",
        )
        self.serving._on_outbound_head(
            AnswerHead(id=attempt_id, status=200, headers={})
        )
        data = b"data: " + json.encode(item) + b"\n\n"
        self.serving._on_outbound_data(AttemptData(id=attempt_id, data=data))

    def answer(self, attempt_id: str) -> None:
        answer = OutboundAnswer(
            id=attempt_id, address="a:1", status=200, headers={}, body=b"", sent_at=0.0
        )
        self.serving._on_outbound_answer(answer)

    def fail(
        self,
        attempt_id: str,
        *,
        was_sent: bool,
        category: Category = Category.BROKEN,
    ) -> None:
        error = RyeleverError("failed", category=category, step="generate")
        self.serving._on_outbound_failed(
            OutboundFailure(
                id=attempt_id, address="a:1", error=error, bytes_sent=was_sent
            )
        )

    # Checks

    def assert_nothing_is_left(self) -> None:
        assert not self.table.n_tracked()
        assert not self.table._attempts._arrivals_by_target
        assert not self.driver.admission.admitted
        assert not self.driver.router.in_flight
        assert not self.serving._answers.arrivals_by_id
        assert not self.serving._answers._encoders_by_request
        assert not self.serving._attempts._attempts_by_id


@pytest.fixture
def host(monkeypatch: pytest.MonkeyPatch) -> Iterator[Host]:
    return Host(monkeypatch)


def _raise_for(
    monkeypatch: pytest.MonkeyPatch, owner: type, method: str, request_id: str
) -> None:
    """Let a method raise when it is called for a request."""
    genuine = getattr(owner, method)

    def raising(self: object, found: object, *args: object, **fields: object) -> object:
        arrival = getattr(found, "arrival", found)
        if getattr(arrival, "request_id", arrival) == request_id:
            raise ValueError("a fault")
        return genuine(self, found, *args, **fields)

    monkeypatch.setattr(owner, method, raising)


def _play(monkeypatch: pytest.MonkeyPatch, index: int) -> tuple[Host, list[str]]:
    """Play requests that stream, move, fail, are claimed, or lose their caller.

    Return the host and the names of the methods called.
    """
    with monkeypatch.context() as patches:
        host = Host(patches)
        calls = RaisingCall(owners=OWNERS, index=index, monkeypatch=patches)
        admission = host.driver.admission
        kinds: dict[str, Callable[..., Arrival]] = {"s": chat, "p": call}
        for request_id in ("s1", "s2", "s3", "s4", "p1", "p2"):
            host.arrive(kinds[request_id[0]](request_id, 0.0))
        host.arrive(call("k1", 0.0, key=KEY))
        host.arrive(chat("u1", 0.0, streamed=False))
        admission.decision = Queued()
        host.arrive(call("q1", 0.0))
        host.arrive(call("q2", 0.0))
        host.read_log()
        # One stream moves beside its silent attempt; the first one goes on.
        host.driver.router.names = ["b", "c"]
        host.tick(0.6)
        for request_id in ("s1", "s2", "s3", "s4"):
            host.item(host.attempt(request_id), "t0", index=0)
        host.fail(host.attempt("s1"), was_sent=True)
        host.item(host.attempt("s2"), "t1", index=1, ends=True)
        host.fail(host.attempt("p1"), was_sent=False)
        host.answer(host.attempt("p2"))
        host.answer(host.attempt("k1"))
        host.item(host.attempt("u1"), "t0", index=0, ends=True)
        host.serving._on_caller_disconnected("s3")
        host.answer(host.attempt("p1", 1))
        host.item(host.attempt("s1", 1), "t1", "t2", index=1, ends=True)
        admission.late = ["q1"]
        host.tick(0.5)
        admission.ready = lambda *, now: ["q2"]
        host.tick(0.5)
        host.serving._on_end_requests()
        host.read_log()
    return host, calls.names


def test_one_exception_ends_one_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against requests without an answer, and slots and attempts that stay open.

    Wherever an exception is raised, it ends at most the request that it concerns.
    """
    sound, names = _play(monkeypatch, -1)
    sound.assert_nothing_is_left()
    answered = {"s1", "s2", "s4", "p1", "p2", "k1", "u1", "q1", "q2"}
    assert sound.ends.keys() == answered
    for index in spread(names, N_CALLS):
        host, _ = _play(monkeypatch, index)
        label = f"call {index}, {names[index]}"
        assert [error for error, _ in host.faults] == [names[index]], label
        assert host.ends.keys() >= answered, label
        changed = {
            request_id
            for request_id, end in host.ends.items()
            if end != sound.ends.get(request_id)
        }
        assert len(changed) <= 1, (label, changed)
        host.assert_nothing_is_left()


def test_overdue_requests_are_ended_beside_a_fault(
    monkeypatch: pytest.MonkeyPatch, host: Host
) -> None:
    """Guard against a tick that ends nobody since one request can't be ended."""
    for request_id in ("p1", "p2", "p3"):
        host.arrive(call(request_id, 0.0))
    _raise_for(monkeypatch, RequestSteps, "expire", "p2")
    host.tick(DEADLINE)
    assert host.ends == {"p1": "504", "p2": "500", "p3": "504"}
    assert host.faults == [("a fault", "p2")]
    host.assert_nothing_is_left()


def test_queued_requests_are_sent_beside_a_fault(
    monkeypatch: pytest.MonkeyPatch, host: Host
) -> None:
    """Guard against admitted requests that nobody sends since one of them raised."""
    host.driver.admission.decision = Queued()
    for request_id in ("p1", "p2", "p3"):
        host.arrive(call(request_id, 0.0))
    host.driver.admission.ready = lambda *, now: ["p1", "p2", "p3"]
    _raise_for(monkeypatch, Attempts, "send", "p1")
    _raise_for(monkeypatch, RequestSteps, "begin", "p2")
    host.tick(0.5)
    assert host.attempts_by_request.keys() == {"p3"}
    assert host.ends == {"p1": "500", "p2": "500"}


def test_stopping_host_answers_all_beside_a_fault(
    monkeypatch: pytest.MonkeyPatch, host: Host
) -> None:
    """Guard against callers that a stopping host leaves without an answer."""
    host.arrive(chat("s1", 0.0))
    host.item(host.attempt("s1"), "t0", index=0)
    host.arrive(call("p1", 0.0))
    _raise_for(monkeypatch, RequestSteps, "fail", "s1")
    host.serving._on_end_requests()
    assert host.ends == {"s1": "cut", "p1": "503"}
    host.assert_nothing_is_left()


def test_claim_gets_an_outcome_after_a_fault(
    monkeypatch: pytest.MonkeyPatch, host: Host
) -> None:
    """Guard against keys whose resends wait for an outcome for ever."""
    host.arrive(call("k1", 0.0, key=KEY))
    host.read_log()
    _raise_for(monkeypatch, RequestAttempts, "answered", "k1")
    host.answer(host.attempt("k1"))
    host.read_log()
    (claim,) = host.driver.log.fold.claims_by_key.values()
    assert claim.outcome.run_state == RunState.OUTCOME_UNKNOWN.value
    assert host.ends == {"k1": "500"}
    host.assert_nothing_is_left()


def test_fault_in_sending_an_attempt_ends_its_request(host: Host) -> None:
    """Guard against groups that count as broken since this host could not ask them."""
    host.arrive(chat("s1", 0.0))
    host.fail(host.attempt("s1"), was_sent=True, category=Category.INTERNAL)
    assert host.ends == {"s1": "500"}
    assert host.faults == [("failed", "s1")]
    host.assert_nothing_is_left()
