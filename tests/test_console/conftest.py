"""Provide fixtures for a console with its own configuration fold, without processes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import urlencode

import pytest

from ryelever.console.pages import Console
from ryelever.console.status import Status
from ryelever.coordination.confirmation import Confirmations
from ryelever.coordination.measures import Measures
from ryelever.coordination.repairs import RepairHistory
from ryelever.events import CallerAnswer, CallerRequest
from ryelever.state.configuration import Configuration
from ryelever.state.configuration_fold import ConfigurationFold
from ryelever.state.records import Publication

from ..builders import declared, new_entry
from .browser import Browser

OPERATOR_KEY = "operator-key-of-the-tests"


@dataclass(slots=True, kw_only=True)
class Host:
    """Simulate an entry host with a console, and with a list in place of the log.

    Attributes
    ----------
    appended : list
        Actions of publications that were sent to the log and are not read back yet.
    """

    console: Console = None
    fold: ConfigurationFold = field(default_factory=ConfigurationFold)
    now: float = 1000.0
    log_age: float | None = 0.0
    log_available: bool = True
    appended: list = field(default_factory=list)
    answers: list = field(default_factory=list)

    def fired(self, event: object, channel: str) -> None:
        if event.name == "append_record":
            self.appended.append(event.args[0])
            if self.log_available:
                self.read_back()
        elif event.name == "caller_answer":
            self.answers.append(event.args[0])

    def read_back(self) -> None:
        for action in self.appended:
            self.append(action.record, record_id=action.record_id)
        self.appended.clear()

    def append(self, record: Publication, *, record_id: str) -> str | None:
        return self.fold.apply(new_entry(self.fold.next_offset, record, id=record_id))

    def publish(self, configuration: Configuration, *, author: str) -> None:
        record = Publication(
            base_version=self.fold.version, author=author, document=configuration
        )
        assert self.append(record, record_id=f"by-hand-{self.fold.next_offset}") is None

    def tick(self) -> None:
        self.console._on_control_tick()

    def exchange(
        self, method: str, path: str, fields: dict[str, str] | None, cookie: str
    ) -> tuple[int, dict[str, str], str]:
        path, _, query = path.partition("?")
        body = urlencode(fields).encode() if fields is not None else b""
        request = CallerRequest(
            request_id="r",
            method=method,
            path=path,
            query=query,
            headers={"cookie": cookie},
            body=body,
            peer="127.0.0.1:1",
        )
        answer = self.console.pages()[path](request) or self._wait_for_answer()
        return (
            answer.status,
            answer.headers | {"content-type": answer.content_type},
            answer.body.decode(),
        )

    def _wait_for_answer(self) -> CallerAnswer:
        self.tick()
        if not self.answers:
            self.now += 10
            self.tick()
        return self.answers.pop()


@pytest.fixture
def new_host() -> Callable[[], Host]:
    """Return a function that creates entry hosts with the same operator key."""

    def make(*, operator_key: str = OPERATOR_KEY) -> Host:
        host = Host()
        host.console = Console(
            operator_key=operator_key,
            configuration=host.fold,
            status=Status(
                placements_by_zone={},
                confirmations=Confirmations(max_age=2.0),
                measures=Measures(),
                repairs=RepairHistory(),
            ),
            versions_by_host=lambda: {"e1": host.fold.version},
            log_age=lambda: host.log_age,
            wall_clock=lambda: host.now,
            clock=lambda: host.now,
        )
        host.console.fire = host.fired
        return host

    return make


@pytest.fixture
def host(new_host: Callable[[], Host]) -> Host:
    """Return an entry host with version 0 in force, which declares one model."""
    host = new_host()
    host.publish(declared(model="notes"), author="bia")
    return host


@pytest.fixture
def browser(host: Host) -> Browser:
    """Return a signed-in browser."""
    browser = Browser(exchange=host.exchange)
    assert browser.sign_in(key=OPERATOR_KEY).status == 200
    return browser
