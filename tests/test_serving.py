"""Test how serving carries out the decisions of the request table."""

from __future__ import annotations

from unittest.mock import Mock

from circuits import BaseComponent, Manager, handler

from ryelever.coordination.actions import AppendRecord
from ryelever.coordination.requests.fault_isolation import FaultIsolation
from ryelever.events import CallerAnswer, CallerRequest, caller_request
from ryelever.metrics import Metrics
from ryelever.serving import Serving
from ryelever.settings import Settings

from .builders import direct_access
from .test_coordination.test_requests.request_fakes import RequestTableDriver, chat


class Table:
    """Fake request table that admits two queued requests, one per release."""

    def __init__(self) -> None:
        self.requests_by_id: dict[str, object] = {}
        self.queued = ["second", "third"]
        self.faults = FaultIsolation(
            admission=Mock(), attempts=Mock(), claims=Mock(), steps=Mock()
        )
        self.faults._steps.requests_by_id = self.requests_by_id

    def caller_disconnected(self, request_id: str, *, now: float) -> list[AppendRecord]:
        if request_id != "first":
            self.queued.clear()
        return []

    def admit_after_release(self, *, now: float) -> list[AppendRecord]:
        if not self.queued:
            return []
        name = self.queued.pop(0)
        return [AppendRecord(stream="claims", record_id=name, record=None)]


class Listener(BaseComponent):
    """Record the answers to callers."""

    channel = "callers"

    def __init__(self, answers: list[CallerAnswer]) -> None:
        super().__init__()
        self._answers = answers

    @handler("caller_answer")
    def _on_caller_answer(self, answer: CallerAnswer) -> None:
        self._answers.append(answer)


def _serving(**pages: object) -> Serving:
    """Return a serving component with a fake request table."""
    return Serving(
        settings=Settings.__new__(Settings),
        table=Table(),
        configuration=None,
        metrics=Metrics(),
        pages=pages,
        log_time=lambda: 0.0,
        access=direct_access(),
    )


def test_fault_of_a_handler_is_answered() -> None:
    """Answer a caller whose request made a handler raise an exception.

    Circuits turns the exception into an event.  If no component answers on that
    event, the caller waits until its own timeout.
    """

    def broken(request: CallerRequest) -> None:
        raise KeyError("no such part")

    manager = Manager()
    answers: list[CallerAnswer] = []
    serving = _serving(page=broken).register(manager)
    Listener(answers).register(manager)
    request = Mock(spec=CallerRequest, path="page", request_id="r")
    serving.fire(caller_request(request), "serving")
    while len(manager):
        manager.flush()
    assert [(answer.request_id, answer.status) for answer in answers] == [("r", 500)]
    assert b'"outcome_unknown"' in answers[0].body


def test_requests_admitted_by_a_release_start_immediately() -> None:
    """Start queued requests on the same event that frees slots for them.

    A caller disconnects, which admits a queued request; that request ends at once and
    admits the next one.  If serving carried out only the actions of the event itself,
    slots would be idle until the next tick while callers wait.
    """
    serving = _serving()
    fired = []
    serving.fire = lambda event, *channels: fired.append(event.args[0])
    serving._on_caller_disconnected("first")
    assert [action.record_id for action in fired] == ["second", "third"]


def test_reading_of_held_attempts_is_resumed() -> None:
    """A held attempt that was not read while its caller stalled is never read again."""
    driver = RequestTableDriver()
    driver.kind = chat
    for step in ["targets:a,b", "arrive", "wait:0.6", "targets:b", "wait:0.6"]:
        driver.step(step)
    serving = _serving()
    serving._table = driver.table
    serving._attempts = Mock()
    serving._on_caller_stalled("r", stalled=False)
    resumed = [call.args[0] for call in serving._attempts.set_flow.call_args_list]
    assert resumed == driver.attempts
