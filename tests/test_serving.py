"""Test how serving carries out what the request table decides."""

from __future__ import annotations

from ryelever.coordination.actions import AppendRecord
from ryelever.metrics import Metrics
from ryelever.serving import Serving
from ryelever.settings import Settings


class Table:
    """Let two requests in, one after the other, after a release."""

    def __init__(self) -> None:
        self.requests_by_id: dict[str, object] = {}
        self.let_in = ["second", "third"]

    def caller_gone(self, request_id: str, *, now: float) -> list[AppendRecord]:
        return []

    def after_release(self, *, now: float) -> list[AppendRecord]:
        if not self.let_in:
            return []
        name = self.let_in.pop(0)
        return [AppendRecord(stream="claims", record_id=name, record=None)]


def test_what_a_release_lets_in_is_carried_out_at_once() -> None:
    """Waiting requests go on with the event that made room for them.

    Symptom: slots are idle until the next tick while callers wait.
    Sequence: a caller goes away, which lets a request in; that one ends at once and
    lets the next one in.
    Cause: serving carried out the actions of the event and nothing more.
    """
    serving = Serving(
        settings=Settings.__new__(Settings),
        table=Table(),
        configuration=None,
        metrics=Metrics(),
        pages={},
    )
    fired = []
    serving.fire = lambda event, *channels: fired.append(event.args[0])
    serving._on_caller_gone("first")
    assert [action.record_id for action in fired] == ["second", "third"]
