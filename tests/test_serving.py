"""Test how serving carries out what the request table decides."""

from __future__ import annotations

from unittest.mock import Mock

from circuits import BaseComponent, Manager, handler

from ryelever.coordination.actions import AppendRecord
from ryelever.events import CallerAnswer, CallerRequest, caller_request
from ryelever.metrics import Metrics
from ryelever.serving import Serving
from ryelever.settings import Settings


class Table:
    """Let two requests in, one after the other, after a release."""

    def __init__(self) -> None:
        self.requests_by_id: dict[str, object] = {}
        self.let_in = ["second", "third"]

    def caller_disconnected(self, request_id: str, *, now: float) -> list[AppendRecord]:
        if request_id != "first":
            self.let_in.clear()
        return []

    def after_release(self, *, now: float) -> list[AppendRecord]:
        if not self.let_in:
            return []
        name = self.let_in.pop(0)
        return [AppendRecord(stream="claims", record_id=name, record=None)]


class Listener(BaseComponent):
    """Keep what callers are answered."""

    channel = "callers"

    def __init__(self, answers: list[CallerAnswer]) -> None:
        super().__init__()
        self._answers = answers

    @handler("caller_answer")
    def _on_caller_answer(self, answer: CallerAnswer) -> None:
        self._answers.append(answer)


def _serving(**pages: object) -> Serving:
    """Return serving whose table is a fake."""
    return Serving(
        settings=Settings.__new__(Settings),
        table=Table(),
        configuration=None,
        metrics=Metrics(),
        pages=pages,
        log_time=lambda: 0.0,
    )


def test_fault_of_a_handler_is_answered() -> None:
    """Raise while a caller's request is handled.

    Symptom: a caller waits until its own timeout.  Sequence: a page of the program
    raises.  Cause: circuits turns the exception into an event, and nothing answers.
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


def test_what_a_release_lets_in_is_carried_out_at_once() -> None:
    """Waiting requests go on with the event that made room for them.

    Symptom: slots are idle until the next tick while callers wait.
    Sequence: a caller goes away, which lets a request in; that one ends at once and
    lets the next one in.
    Cause: serving carried out the actions of the event and nothing more.
    """
    serving = _serving()
    fired = []
    serving.fire = lambda event, *channels: fired.append(event.args[0])
    serving._on_caller_gone("first")
    assert [action.record_id for action in fired] == ["second", "third"]
