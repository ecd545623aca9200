"""Test that an exception ends the request that it concerns, and no other one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from ryelever.coordination.quarantine import Quarantined
from ryelever.coordination.relaying import RelayAttempt
from ryelever.coordination.relaying.balance import Balancer
from ryelever.coordination.relaying.contention import Contention
from ryelever.coordination.relaying.crashes import CrashWatch
from ryelever.coordination.relaying.forwarders import Forwarders
from ryelever.coordination.relaying.rate_limits import ServerRateLimits
from ryelever.coordination.relaying.reports import RequestReports
from ryelever.coordination.relaying.retries import Retries
from ryelever.coordination.relaying.server_paths import ServerPaths
from ryelever.coordination.relaying.stall_watch import StallWatch
from ryelever.coordination.relaying.waiting import WaitingRequests
from ryelever.relay_metrics import RelayMetrics
from ryelever.relay_settings import ContentionMode
from ryelever.state.routes import RouteKind

from ...raising_calls import RaisingCall, spread
from .relay_fakes import Relaying, contended_table, head, route_table

#: Classes whose methods raise, one call at a time, and those of their methods.
OWNERS = dict.fromkeys(
    (
        Balancer,
        Contention,
        CrashWatch,
        Forwarders,
        ServerRateLimits,
        RelayMetrics,
        RequestReports,
        Retries,
        ServerPaths,
        StallWatch,
        WaitingRequests,
    ),
    (),
)
OWNERS[Relaying] = (
    "send",
    "cancel",
    "answer",
    "refuse",
    "start",
    "data",
    "finish",
    "abort",
)

#: Calls of each method that raise.
N_CALLS = 4

#: Requests of ``_play`` whose callers wait for an answer.
ANSWERED = {*range(1, 12)} - {3}

#: Refusal of a request that was not sent.
REFUSED = "refuse 503"

#: Seconds between two ticks.
TICK = 0.05

STREAM = RouteKind.STREAM
PLAIN = RouteKind.IDEMPOTENT

#: Kinds of output that end an answer.
FINAL = ("answer", "refuse", "finish", "abort")


class Host(Relaying):
    """Relay decisions whose outputs are ignored after the end of an answer."""

    def __init__(self, **options: Any) -> None:
        self.faults: list[tuple[str, str]] = []
        super().__init__(report_fault=self._on_fault, **options)

    def _on_fault(self, error: Exception, request_id: str) -> None:
        self.faults.append((str(error), request_id))

    def ends(self) -> dict[int, str]:
        """Return how the first end of each answer looked, by request number."""
        ends: dict[int, str] = {}
        for kind, number, *values in self.out:
            if kind in FINAL:
                end = f"{kind} {values[0]}" if values else kind
                ends.setdefault(number, end)
        return ends

    def assert_nothing_is_left(self) -> None:
        requests = self.requests
        assert not requests.requests_by_number
        assert not requests.has_waiting
        assert not requests._attempts._requests_by_attempt
        assert not any(requests._budget._n_reserved_by_service.values())
        in_flight = [item.in_flight for item in self.balancer.records_by_id.values()]
        assert not any(in_flight)


def _times(start: float, end: float) -> list[float]:
    return [start + index * TICK for index in range(round((end - start) / TICK))]


class Fleet:
    """Backend servers that answer, fall silent, refuse requests or break off.

    Parameters
    ----------
    host : Host
        The host that sends requests to them.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self._n_seen = 0
        self._due: list[tuple[float, Callable[..., None], RelayAttempt]] = []

    def run(self, *, start: float = 0.0, until: float) -> None:
        """Answer the host's attempts, and let it tick, for some time."""
        for now in _times(start, until):
            due = [item for item in self._due if item[0] <= now]
            self._due = [item for item in self._due if item[0] > now]
            for _, step, attempt in due:
                step(attempt, now=now)
            self.host.requests.tick(now=now)
            new = self.host.sent[self._n_seen :]
            self._n_seen += len(new)
            for attempt in new:
                self._plan(attempt, now=now)

    def _plan(self, attempt: RelayAttempt, *, now: float) -> None:
        if attempt.server_id.endswith("0"):
            # Two events, and then silence for longer than its requests wait.
            steps = [(0.1, self._head), (0.2, self._event), (3.0, self._event)]
        elif attempt.server_id.endswith("1"):
            steps = [(0.1, self._head), (0.2, self._event), (0.3, self._reset)]
        elif attempt.server_id.endswith("2"):
            steps = [(0.1, self._refuse)]
        else:
            steps = [
                (0.1, self._head),
                (0.2, self._event),
                (0.4, self._event),
                (0.5, self._end),
            ]
        self._due += [(now + after, step, attempt) for after, step in steps]

    def _head(self, attempt: RelayAttempt, *, now: float) -> None:
        answer = head(f"r{attempt.request_number}")
        with self.host.requests.faults.attempt(attempt.id, now=now):
            self.host.requests.answer_head(attempt.id, answer, now=now)

    def _event(self, attempt: RelayAttempt, *, now: float) -> None:
        with self.host.requests.faults.attempt(attempt.id, now=now):
            if self.host.requests.is_streaming(attempt.id):
                self.host.events(attempt, int(now * 100), now=now)
            else:
                self.host.requests.answer_body(attempt.id, b"body", now=now)

    def _end(self, attempt: RelayAttempt, *, now: float) -> None:
        with self.host.requests.faults.attempt(attempt.id, now=now):
            self.host.requests.answer_end(attempt.id, cut=False, now=now)

    def _reset(self, attempt: RelayAttempt, *, now: float) -> None:
        with self.host.requests.faults.attempt(attempt.id, now=now):
            self.host.requests.attempt_failed(attempt.id, "reset", sent=True, now=now)

    def _refuse(self, attempt: RelayAttempt, *, now: float) -> None:
        answer = head(f"r{attempt.request_number}", status=503, not_run=True)
        with self.host.requests.faults.attempt(attempt.id, now=now):
            self.host.requests.answer_head(attempt.id, answer, now=now)


def _play(
    monkeypatch: pytest.MonkeyPatch, *, index: int, contention: ContentionMode
) -> tuple[Host, list[str]]:
    """Play requests of which some fail, move, wait, time out or lose their caller.

    Return the host and the names of the methods called.
    """
    with monkeypatch.context() as patches:
        host = Host(n_servers=4, slots=1, seed=3, contention=contention)
        host.route_table = contended_table()
        fleet = Fleet(host)
        calls = RaisingCall(owners=OWNERS, index=index, monkeypatch=patches)
        for number in range(1, 7):
            host.arrive(STREAM, number=number, time_limit=4.0)
        for number in range(7, 10):
            host.arrive(PLAIN, number=number, time_limit=4.0)
        host.arrive(RouteKind.AT_MOST_ONCE, number=10, time_limit=4.0)
        fleet.run(until=0.5)
        host.requests.caller_disconnected(3)
        host.requests.path_lost("p0", now=0.5)
        fleet.run(start=0.5, until=2.0)
        host.arrive(STREAM, number=11, now=2.0, time_limit=4.0)
        fleet.run(start=2.0, until=2.5)
        host.requests.end_all(now=2.5)
    return host, calls.names


@pytest.fixture(params=["off", "on"])
def contention(request: pytest.FixtureRequest) -> ContentionMode:
    """Return whether the service of streams is contended."""
    return ContentionMode(request.param)


def test_one_exception_ends_one_request(
    monkeypatch: pytest.MonkeyPatch, contention: ContentionMode
) -> None:
    """Guard against requests without an answer, and slots and retries that stay taken.

    Wherever an exception is raised, it ends at most the request that it concerns.
    """
    sound, names = _play(monkeypatch, index=-1, contention=contention)
    assert sound.ends().keys() >= ANSWERED
    for index in spread(names, N_CALLS):
        host, _ = _play(monkeypatch, index=index, contention=contention)
        label = f"call {index}, {names[index]}"
        assert [error for error, _ in host.faults] == [names[index]], label
        assert host.ends().keys() >= ANSWERED, label
        assert list(host.ends().values()).count("refuse 500") <= 1, label
        host.assert_nothing_is_left()


def _raise_for(
    monkeypatch: pytest.MonkeyPatch, owner: object, method: str, number: int
) -> None:
    """Let a method raise when it is called for a request, given its number."""
    genuine = getattr(type(owner), method)

    def raising(self: object, *args: Any, **fields: Any) -> Any:
        found = args[0]
        found = getattr(found, "request_number", getattr(found, "number", found))
        if found == number:
            raise ValueError("a fault")
        return genuine(self, *args, **fields)

    monkeypatch.setattr(type(owner), method, raising)


def _full_host(contention: ContentionMode) -> Host:
    """Return a host at which requests 1 to 3 wait, since others take all slots."""
    host = Host(n_servers=1, slots=1, contention=contention)
    if contention is ContentionMode.ON:
        host.route_table = contended_table()
    number = 10
    while not host.requests.has_waiting:
        host.arrive(STREAM, number=number)
        number += 1
    for number in (1, 2, 3):
        host.arrive(STREAM, number=number)
    return host


def test_overdue_requests_are_ended_beside_a_fault(
    monkeypatch: pytest.MonkeyPatch, contention: ContentionMode
) -> None:
    """Guard against a tick that ends nobody since one request can't be ended."""
    host = _full_host(contention)
    _raise_for(monkeypatch, host, "refuse", 2)
    host.requests.tick(now=6.0)
    ends = host.ends()
    assert [ends[number] for number in (1, 2, 3)] == [REFUSED, "abort", REFUSED]
    assert host.faults[0] == ("a fault", "r2")
    host.assert_nothing_is_left()


def test_waiting_requests_are_sent_beside_a_fault(
    monkeypatch: pytest.MonkeyPatch, contention: ContentionMode
) -> None:
    """Guard against free slots that stay free since one request can't be sent."""
    host = _full_host(contention)
    _raise_for(monkeypatch, host, "send", 1)
    host.directory.put(host.engine_head("h1"), now=0.1)
    host.requests.dispatch_waiting(now=0.1)
    sent = [attempt.request_number for attempt in host.sent]
    assert 1 not in sent
    assert 2 in sent
    assert host.ends() == {1: "refuse 500"}
    assert host.faults == [("a fault", "r1")]


def _begin_streams(host: Host, *numbers: int) -> None:
    """Begin streams, of which each gets one event at 0.2 s."""
    for number in numbers:
        host.arrive(STREAM, number=number)
        host.requests.answer_head(host.sent[-1].id, head(f"r{number}"), now=0.1)
        host.events(host.sent[-1], 1, now=0.2)


def test_retry_that_cannot_be_sent_is_given_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a retry budget that is used up by attempts which never began."""
    host = Host()
    host.arrive(PLAIN)
    _raise_for(monkeypatch, host, "send", 1)
    attempt = host.sent[0]
    with host.requests.faults.attempt(attempt.id, now=0.1):
        host.requests.attempt_failed(attempt.id, "reset", sent=True, now=0.1)
    assert host.ends() == {1: "refuse 500"}
    assert not any(host.requests._budget._retries_by_service.values())
    host.assert_nothing_is_left()


def test_stalled_streams_are_moved_beside_a_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against streams that stay at a silent server since one can't be moved."""
    host = Host(n_servers=1)
    _begin_streams(host, 1, 2)
    host.directory.put(host.engine_head("h1"), now=0.2)
    _raise_for(monkeypatch, host.crashes, "awaits_verdict", 1)
    for now in _times(0.2, 0.8):
        host.requests.tick(now=now)
    assert [attempt.request_number for attempt in host.sent] == [1, 2, 2]
    assert host.ends() == {1: "abort"}


def test_requests_take_another_path_beside_a_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against requests that stay on a lost path since one can't be moved."""
    host = Host(n_servers=1)
    for number in (1, 2):
        host.arrive(PLAIN, number=number)
    host.directory.put(host.plain("p1"), now=0.2)
    monkeypatch.setattr(ServerPaths, "is_out_of_reach", lambda self, server_id: True)
    _raise_for(monkeypatch, host.crashes, "awaits_verdict", 1)
    host.requests.path_lost("p0", now=0.5)
    assert [attempt.request_number for attempt in host.sent] == [1, 2, 2]
    assert host.ends() == {1: "refuse 500"}


def test_requests_are_withdrawn_beside_a_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against servers that crash since the verdict on another request raised."""
    host = Host()
    for number in (1, 2):
        host.arrive(PLAIN, number=number)
    verdict = Quarantined(n_crashes=3, retry_after=60.0)
    monkeypatch.setattr(CrashWatch, "verdict", lambda self, request, *, now: verdict)
    monkeypatch.setattr(CrashWatch, "n_verdicts", 1)
    _raise_for(monkeypatch, host.crashes, "verdict", 1)
    host.requests.tick(now=0.1)
    assert host.ends() == {1: "refuse 500", 2: "refuse 502"}
    host.assert_nothing_is_left()


def test_requests_of_a_start_are_routed_beside_a_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against requests that are lost when one of those at a start raises."""
    host = Host(configured=False)
    for number in (1, 2, 3):
        host.arrive(PLAIN, number=number)
    host.route_table = route_table()
    _raise_for(monkeypatch, host.requests._contention, "arrived", 1)
    host.requests.dispatch_waiting(now=0.1)
    assert [attempt.request_number for attempt in host.sent] == [2, 3]
    assert host.ends() == {1: "refuse 500"}
    assert host.requests.requests_by_number.keys() == {2, 3}


def test_stopping_host_answers_all_beside_a_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against callers that a stopping host leaves without an answer."""
    host = Host()
    _begin_streams(host, 1)
    host.arrive(PLAIN, number=2)
    host.arrive(PLAIN, number=3)
    _raise_for(monkeypatch, host, "cancel", host.sent[1].id)
    host.requests.end_all(now=1.0)
    assert host.ends() == {1: "abort", 2: "refuse 500", 3: "refuse 502"}
    host.assert_nothing_is_left()


def test_held_attempts_are_cancelled_after_a_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against servers that work on for a request that an exception ended."""
    host = Host()
    _begin_streams(host, 1)
    for now in _times(0.2, 0.8):
        host.requests.tick(now=now)
    first, second = host.sent
    _raise_for(monkeypatch, host, "data", 1)
    with host.requests.faults.attempt(second.id, now=0.8):
        host.requests.answer_head(second.id, head(), now=0.8)
        host.events(second, 2, now=0.8)
    assert set(host.cancelled) == {first.id, second.id}
    assert host.ends() == {1: "abort"}
    host.assert_nothing_is_left()


def test_request_that_was_answered_is_not_recorded_as_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against log lines and counts of failures that no caller has seen."""
    host = Host()
    _begin_streams(host, 1)
    attempt = host.sent[0]
    _raise_for(monkeypatch, host.crashes, "completed", 1)
    with host.requests.faults.attempt(attempt.id, now=0.3):
        host.requests.answer_end(attempt.id, cut=False, now=0.3)
    assert host.ends() == {1: "finish"}
    assert host.faults == [("a fault", "r1")]
    assert "answered" not in [event for event, _ in host.lines]
    host.assert_nothing_is_left()


def test_exceptions_are_raised_if_nothing_reports_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against exceptions that are suppressed unseen."""
    relaying = Relaying()
    _raise_for(monkeypatch, relaying, "send", 1)
    with pytest.raises(ValueError, match="a fault"):
        relaying.arrive(PLAIN)
