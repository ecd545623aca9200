"""Test the outcomes of relayed requests when backend servers fail."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from ryelever.coordination.relaying import NamedLimit, RelayAttempt, RequestedPause
from ryelever.coordination.relaying.requests import MAX_ANSWER, MAX_ANSWERS
from ryelever.coordination.relaying.stall_watch import STREAM_SILENCE
from ryelever.coordination.relaying.unrouted import FIRST_CONFIGURATION_WAIT
from ryelever.coordination.relaying.waiting import MAX_WAIT
from ryelever.state.routes import RouteKind

from .relay_fakes import Relaying, head, route_table

SAFE, ONCE, STREAM = RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE, RouteKind.STREAM

#: Seconds between two ticks.
TICK = 0.05


@pytest.fixture
def relaying() -> Relaying:
    return Relaying()


def _tick_until(relaying: Relaying, start: float, end: float) -> None:
    for index in range(int((end - start) / TICK) + 1):
        relaying.requests.tick(now=start + index * TICK)


def test_answer_is_forwarded_once_complete(relaying: Relaying) -> None:
    relaying.arrive(ONCE)
    attempt = relaying.sent[0]
    assert (attempt.account, attempt.new_connection) == ("pawroute", True)
    relaying.requests.answer_head(attempt.id, head(status=201), now=0.1)
    relaying.requests.answer_body(attempt.id, b"who", now=0.1)
    assert relaying.out == []
    relaying.requests.answer_body(attempt.id, b"le", now=0.1)
    relaying.requests.answer_end(attempt.id, cut=False, now=0.2)
    assert relaying.out == [("answer", 1, 201, b"whole")]
    assert relaying.requests.requests_by_number == {}


@pytest.mark.parametrize(
    ("key", "path", "status"),
    [
        pytest.param("wrong", "1", 401, id="unknown-key"),
        pytest.param(None, "1", 401, id="no-key"),
        pytest.param("key", "../nowhere", 200, id="prefix-decides"),
    ],
)
def test_request_needs_a_known_key(
    relaying: Relaying, key: str | None, path: str, status: int
) -> None:
    relaying.arrive(SAFE, key=key, path=path)
    if status == 200:
        assert len(relaying.sent) == 1
    else:
        assert relaying.out == [("refuse", 1, status, None)]
        assert relaying.sent == []


def test_requests_are_refused_if_no_configuration_arrives() -> None:
    relaying = Relaying(configured=False)
    relaying.arrive(SAFE)
    relaying.requests.tick(now=0.9 * FIRST_CONFIGURATION_WAIT)
    assert relaying.out == []
    relaying.requests.tick(now=FIRST_CONFIGURATION_WAIT + TICK)
    [(_, _, status, retry_after)] = relaying.out
    assert status == 503
    assert retry_after > 0
    # It is unknown when a configuration will arrive, so requests no longer wait.
    relaying.arrive(SAFE, number=2, now=FIRST_CONFIGURATION_WAIT + 2 * TICK)
    assert relaying.out[1][:3] == ("refuse", 2, 503)


def test_refusal_without_a_configuration_comes_before_the_deadline() -> None:
    """Guard against refusals that callers with short deadlines don't get in time."""
    relaying = Relaying(configured=False)
    relaying.arrive(SAFE, number=1, time_limit=0.5)
    relaying.arrive(SAFE, number=2)
    relaying.requests.tick(now=0.5 - 2 * TICK)
    assert relaying.out == []
    relaying.requests.tick(now=0.5 - TICK)
    assert [item[:3] for item in relaying.out] == [("refuse", 1, 503)]
    relaying.route_table = route_table()
    relaying.requests.dispatch_waiting(now=0.6)
    assert [attempt.request_number for attempt in relaying.sent] == [2]


def test_requests_wait_for_the_first_configuration() -> None:
    """Guard against refusing requests that a host can serve a moment after its start.

    A host listens and callers send requests at once, but the first read of the store is
    answered a tenth of a second later. If each request were refused until then, a
    restart of all hosts would refuse forty requests within a second.
    """
    relaying = Relaying(configured=False)
    relaying.arrive(SAFE, number=1)
    relaying.arrive(SAFE, number=2, key="wrong")
    relaying.arrive(SAFE, number=3)
    relaying.requests.caller_disconnected(3)
    relaying.route_table = route_table()
    relaying.requests.dispatch_waiting(now=0.1)
    assert [attempt.request_number for attempt in relaying.sent] == [1]
    assert relaying.out == [("refuse", 2, 401, None)]
    relaying.requests.tick(now=FIRST_CONFIGURATION_WAIT + TICK)
    assert len(relaying.out) == 1


def _reset(relaying: Relaying, attempt_id: str) -> None:
    relaying.requests.attempt_failed(attempt_id, "reset", sent=True, now=0.2)


def _unsigned(relaying: Relaying, attempt_id: str) -> None:
    relaying.requests.answer_head(attempt_id, head(signed=False), now=0.2)


def _encoded(relaying: Relaying, attempt_id: str) -> None:
    relaying.requests.answer_head(attempt_id, head(encoded=True), now=0.2)


def _answer_to_another(relaying: Relaying, attempt_id: str) -> None:
    relaying.requests.answer_head(attempt_id, head("r9"), now=0.2)


def _without_not_run_promise(relaying: Relaying, attempt_id: str) -> None:
    relaying.requests.answer_head(attempt_id, head(status=503), now=0.2)
    relaying.requests.answer_end(attempt_id, cut=False, now=0.2)


AMBIGUOUS = [
    pytest.param(_reset, id="reset"),
    pytest.param(_unsigned, id="not-signed"),
    pytest.param(_encoded, id="encoded-on-the-way"),
    pytest.param(_answer_to_another, id="answer-to-another"),
    pytest.param(_without_not_run_promise, id="503-without-promise"),
]


@pytest.mark.parametrize("fail", AMBIGUOUS)
def test_request_that_may_have_run_is_not_retried(
    relaying: Relaying, fail: Callable[[Relaying, str], None]
) -> None:
    """Guard against running a booking twice, or reporting it as not run.

    The backend server runs the booking, and its answer is lost or damaged. A failure
    after the request was sent doesn't show whether it ran; retrying it would charge the
    booking twice.
    """
    relaying.arrive(ONCE)
    fail(relaying, relaying.sent[0].id)
    assert len(relaying.sent) == 1
    assert relaying.out == [("refuse", 1, 502, None)]


@pytest.mark.parametrize("fail", AMBIGUOUS)
def test_repeatable_request_is_retried_on_another_server(
    relaying: Relaying, fail: Callable[[Relaying, str], None]
) -> None:
    relaying.arrive(SAFE)
    fail(relaying, relaying.sent[0].id)
    assert len(relaying.sent) == 2
    assert relaying.sent[0].server_id != relaying.sent[1].server_id
    assert relaying.out == []


def test_answers_that_are_received_at_once_are_bounded(relaying: Relaying) -> None:
    """Guard against memory used up by servers that send bodies without end."""
    n_large = MAX_ANSWERS // MAX_ANSWER
    for number in range(n_large + 1):
        relaying.arrive(ONCE, number=number)
        sent = relaying.sent[-1]
        relaying.requests.answer_head(sent.id, head(f"r{number}"), now=0.1)
        relaying.requests.answer_body(sent.id, bytes(MAX_ANSWER), now=0.1)
    assert [item[:3] for item in relaying.out] == [("refuse", n_large, 502)]
    relaying.requests.answer_end(relaying.sent[0].id, cut=False, now=0.2)
    assert relaying.out[-1][:3] == ("answer", 0, 200)


def test_request_that_was_not_run_is_retried(relaying: Relaying) -> None:
    relaying.arrive(ONCE)
    for attempt in (0, 1):
        sent = relaying.sent[attempt]
        refused = head(status=503, not_run=True)
        relaying.requests.answer_head(sent.id, refused, now=0.1)
    assert len(relaying.sent) == 2
    [(_, _, status, retry_after)] = relaying.out
    assert status == 503
    assert retry_after > 0


def test_unsent_request_is_retried_without_counting_an_attempt(
    relaying: Relaying,
) -> None:
    relaying.arrive(ONCE)
    for attempt in (0, 1):
        relaying.requests.attempt_failed(
            relaying.sent[attempt].id, "refused", sent=False, now=0.1
        )
    assert len({attempt.server_id for attempt in relaying.sent}) == 3


def test_server_error_is_forwarded_when_attempts_are_exhausted(
    relaying: Relaying,
) -> None:
    relaying.arrive(SAFE)
    for attempt in (0, 1):
        sent = relaying.sent[attempt]
        relaying.requests.answer_head(sent.id, head(status=500), now=0.1)
        relaying.requests.answer_body(sent.id, b"own", now=0.1)
        relaying.requests.answer_end(sent.id, cut=False, now=0.1)
    assert relaying.out == [("answer", 1, 500, b"own")]


def test_retries_stop_at_their_budget() -> None:
    """Guard against retries that multiply the load on failing servers.

    Every backend server fails for a while. If each request were retried without regard
    to the others, the retries would exceed the allowed share of the requests.
    """
    relaying = Relaying(n_servers=40, slots=50, slack=10.0)
    for number in range(1, 101):
        relaying.arrive(SAFE, number=number)
    for attempt in list(relaying.sent):
        relaying.requests.attempt_failed(attempt.id, "reset", sent=True, now=0.1)
    retries = len(relaying.sent) - 100
    assert 0 < retries <= 0.2 * 100 + 10


def _complete(relaying: Relaying, attempts: list[RelayAttempt], *, now: float) -> None:
    for attempt in attempts:
        answer = head(f"r{attempt.request_number}")
        relaying.requests.answer_head(attempt.id, answer, now=now)
        relaying.requests.answer_end(attempt.id, cut=False, now=now)


def test_retries_that_waited_for_a_slot_count_when_they_are_sent() -> None:
    """Guard against retries that use the budget of two windows within one.

    The server that is left is full, so that retries wait for most of a second.  Counted
    when they were decided, they would leave the window before those that follow them.
    """
    relaying = Relaying(n_servers=2, slots=48, slack=10.0)
    n_retries_by_time = {}
    for start, free_at in ((0.0, 0.95), (10.1, 10.1)):
        n_before = len(relaying.sent)
        for index in range(100):
            number = n_before + index + 1
            relaying.arrive(SAFE, number=number, now=start)
        attempts = relaying.sent[n_before:]
        assert len(attempts) == 100
        for attempt in attempts:
            if attempt.server_id == "p0":
                relaying.requests.attempt_failed(
                    attempt.id, "reset", sent=True, now=start
                )
        _complete(
            relaying, [item for item in attempts if item.server_id == "p1"], now=free_at
        )
        relaying.requests.tick(now=free_at)
        retries = relaying.sent[n_before + 100 :]
        n_retries_by_time[free_at] = len(retries)
        _complete(relaying, retries, now=free_at + 0.1)
    assert n_retries_by_time[0.95] > 0
    assert sum(n_retries_by_time.values()) <= 0.2 * 100 + 10


# Streams


def test_stream_resumes_on_another_server_after_the_last_event(
    relaying: Relaying,
) -> None:
    """Guard against lost or repeated events when a stream changes servers.

    A member of the group dies in the middle of a stream, or of an event. The second
    server must resume after the last event that was forwarded; otherwise a piece of the
    answer is missing or comes twice.
    """
    relaying.arrive(STREAM)
    first = relaying.sent[0]
    relaying.requests.answer_head(first.id, head(), now=0.1)
    relaying.events(first, 1, 2, now=0.2)
    relaying.requests.answer_end(first.id, cut=True, now=0.3)
    second = relaying.sent[1]
    assert second.last_event_id == "2"
    assert second.server_id != first.server_id
    relaying.requests.answer_head(second.id, head(), now=0.4)
    relaying.events(second, 2, 3, now=0.5)
    relaying.requests.answer_end(second.id, cut=False, now=0.6)
    assert relaying.delivered() == b"id: 1\n\nid: 2\n\nid: 3\n\n"
    assert [item[0] for item in relaying.out].count("start") == 1
    assert relaying.out[-1] == ("finish", 1)


def test_stream_that_cannot_be_resumed_is_aborted() -> None:
    relaying = Relaying(resumable=False)
    relaying.arrive(STREAM)
    first = relaying.sent[0]
    relaying.requests.answer_head(first.id, head(), now=0.1)
    relaying.events(first, 1, now=0.2)
    relaying.requests.attempt_failed(first.id, "reset", sent=True, now=0.3)
    assert len(relaying.sent) == 1
    assert relaying.out[-1] == ("abort", 1)


def test_stream_without_events_is_retried(relaying: Relaying) -> None:
    relaying.arrive(STREAM)
    first = relaying.sent[0]
    relaying.requests.answer_head(first.id, head(), now=0.1)
    relaying.requests.answer_end(first.id, cut=False, now=0.2)
    assert len(relaying.sent) == 2


def test_error_answer_to_a_resumed_stream_is_not_forwarded(
    relaying: Relaying,
) -> None:
    relaying.arrive(STREAM)
    first = relaying.sent[0]
    relaying.requests.answer_head(first.id, head(), now=0.1)
    relaying.events(first, 1, now=0.2)
    relaying.requests.attempt_failed(first.id, "reset", sent=True, now=0.3)
    second = relaying.sent[1]
    relaying.requests.answer_head(second.id, head(status=500), now=0.4)
    relaying.requests.answer_body(second.id, b"no", now=0.4)
    relaying.requests.answer_end(second.id, cut=False, now=0.4)
    assert relaying.out[-1] == ("abort", 1)
    assert relaying.delivered() == b"id: 1\n\n"


def test_caller_resumes_a_stream_after_its_last_event(relaying: Relaying) -> None:
    relaying.arrive(STREAM, last_event_id="7")
    assert relaying.sent[0].last_event_id == "7"


def test_streams_move_away_from_a_stalled_group(relaying: Relaying) -> None:
    """Guard against streams that stay at a stalled group.

    A member is lost, but the head goes on accepting requests without making progress.
    The connection to the head is sound and fails only seconds later, while callers
    leave after two seconds without an event.
    """
    relaying.arrive(STREAM)
    first = relaying.sent[0]
    relaying.requests.answer_head(first.id, head(), now=0.1)
    relaying.events(first, 1, now=0.2)
    _tick_until(relaying, 0.2, 0.2 + STREAM_SILENCE)
    assert len(relaying.sent) == 1
    _tick_until(relaying, 0.2 + STREAM_SILENCE, 0.4 + STREAM_SILENCE)
    second = relaying.sent[1]
    assert (second.last_event_id, relaying.cancelled) == ("1", [])
    assert second.server_id != first.server_id
    relaying.requests.answer_head(second.id, head(), now=0.65)
    relaying.events(second, 2, now=0.65)
    assert relaying.cancelled == [first.id]
    # New requests go to other groups too.
    relaying.arrive(STREAM, number=2, now=0.7)
    assert relaying.sent[2].server_id != first.server_id


def test_frozen_host_reports_no_stalled_groups(relaying: Relaying) -> None:
    """Guard against taking a freeze of the host for stalled groups.

    The host freezes for two seconds and resumes with events still unread. If the host
    took its own silence for that of the groups, all its streams would move at once and
    use up the retry budget of all hosts.
    """
    relaying.arrive(STREAM)
    first = relaying.sent[0]
    relaying.requests.answer_head(first.id, head(), now=0.1)
    relaying.events(first, 1, now=0.2)
    relaying.requests.tick(now=0.25)
    relaying.requests.tick(now=2.4)
    assert len(relaying.sent) == 1


# Waiting, timeouts and disconnecting callers


def test_waiting_request_is_sent_when_a_slot_becomes_free(relaying: Relaying) -> None:
    n_slots = 3 * (relaying.slots + 2)
    for number in range(1, n_slots + 2):
        relaying.arrive(STREAM, number=number)
    assert len(relaying.sent) == n_slots
    first = relaying.sent[0]
    relaying.requests.answer_head(first.id, head(), now=0.1)
    relaying.events(first, 1, now=0.1)
    relaying.requests.answer_end(first.id, cut=False, now=0.1)
    relaying.requests.tick(now=0.15)
    assert len(relaying.sent) == n_slots + 1


def test_request_without_a_slot_is_refused_as_not_run(relaying: Relaying) -> None:
    n_slots = 3 * (relaying.slots + 2)
    for number in range(1, n_slots + 2):
        relaying.arrive(STREAM, number=number, time_limit=60.0)
    relaying.requests.tick(now=MAX_WAIT - 0.01)
    assert relaying.out == []
    relaying.requests.tick(now=MAX_WAIT)
    [(kind, number, status, retry_after)] = relaying.out
    assert (kind, number, status) == ("refuse", n_slots + 1, 503)
    assert retry_after > 0


def test_requests_that_can_be_on_time_are_sent_first(relaying: Relaying) -> None:
    n_slots = 3 * (relaying.slots + 2)
    for number in range(1, n_slots + 1):
        relaying.arrive(STREAM, number=number)
    relaying.arrive(STREAM, number=100, now=0.0)
    relaying.arrive(STREAM, number=101, now=0.4)
    relaying.requests.caller_disconnected(1)
    relaying.requests.tick(now=0.45)
    assert 101 in [attempt.request_number for attempt in relaying.sent]


@pytest.mark.parametrize(
    ("kind", "status"),
    [
        pytest.param(SAFE, 504, id="idempotent"),
        pytest.param(ONCE, 504, id="at-most-once"),
        pytest.param(STREAM, 504, id="stream"),
    ],
)
def test_unanswered_request_times_out_without_not_run_promise(
    relaying: Relaying, kind: RouteKind, status: int
) -> None:
    relaying.arrive(kind, time_limit=1.0)
    relaying.requests.tick(now=0.95)
    assert relaying.out == [("refuse", 1, status, None)]
    assert relaying.cancelled == [relaying.sent[0].id]


def test_route_timeout_aborts_a_stream(relaying: Relaying) -> None:
    relaying.arrive(STREAM, time_limit=60.0)
    first = relaying.sent[0]
    relaying.requests.answer_head(first.id, head(), now=0.1)
    relaying.events(first, 1, now=0.2)
    relaying.requests.tick(now=8.0)
    assert relaying.out[-1] == ("abort", 1)


def test_request_ends_when_its_caller_disconnects(relaying: Relaying) -> None:
    relaying.arrive(STREAM)
    relaying.requests.caller_disconnected(1)
    assert relaying.cancelled == [relaying.sent[0].id]
    assert relaying.requests.requests_by_number == {}
    assert relaying.balancer.record(relaying.sent[0].server_id).in_flight == 0
    # What the server still sends is dropped.
    relaying.requests.answer_head(relaying.sent[0].id, head(), now=0.1)
    relaying.events(relaying.sent[0], 1, now=0.1)
    assert relaying.out == []


def test_waiting_request_is_dropped_when_its_caller_disconnects(
    relaying: Relaying,
) -> None:
    n_slots = 3 * (relaying.slots + 2)
    for number in range(1, n_slots + 2):
        relaying.arrive(STREAM, number=number)
    relaying.requests.caller_disconnected(n_slots + 1)
    relaying.requests.caller_disconnected(1)
    relaying.requests.tick(now=0.1)
    assert len(relaying.sent) == n_slots


@pytest.mark.parametrize("sent", [False, True])
def test_errors_of_connections_are_logged(sent: bool) -> None:
    """Guard against connections that break without a trace of the cause."""
    relaying = Relaying(n_servers=1)
    relaying.arrive(SAFE, now=0.0)
    relaying.requests.attempt_failed(
        relaying.sent[-1].id, "connection_failed", sent=sent, message="timed out", now=1
    )
    logged = [f["message"] for event, f in relaying.lines if event == "attempt_failed"]
    assert logged == ["timed out"]


def test_rate_limit_changes_are_logged() -> None:
    relaying = Relaying(n_servers=1)
    named = [None, NamedLimit(text="1.5", rate=1.5), NamedLimit(text="1.5", rate=1.5)]
    named += [NamedLimit(text="?", rate=None), None]
    for number, rate_limit in enumerate(named, start=1):
        relaying.balancer.limits.update_shares(
            host="a", zone="z", heartbeats=[], now=number - 0.8
        )
        relaying.arrive(SAFE, number=number, now=float(number))
        answer = head(f"r{number}", rate_limit=rate_limit)
        attempt_id = relaying.sent[-1].id
        relaying.requests.answer_head(attempt_id, answer, now=number + 0.1)
        relaying.requests.answer_end(attempt_id, cut=False, now=number + 0.1)
    logged = [
        (event, fields.get("rate"), fields["request"])
        for event, fields in relaying.lines
        if "limit" in event
    ]
    assert logged == [
        ("server_limited", 1.5, "r2"),
        ("limit_unreadable", None, "r4"),
        ("server_limited", -1, "r5"),
    ]


def test_notices_of_servers_are_logged() -> None:
    relaying = Relaying(n_servers=1)
    notices = [
        {"pause": RequestedPause(text="2", seconds=2.0)},
        {"pause": RequestedPause(text="?", seconds=None)},
        {"leaving": True},
    ]
    for number, notice in enumerate(notices, start=1):
        now = 10.0 * number
        relaying.arrive(SAFE, number=number, now=now)
        refusal = head(f"r{number}", status=503, not_run=True, **notice)
        relaying.requests.answer_head(relaying.sent[-1].id, refusal, now=now)
    logged = [
        (event, fields.get("pause"), fields["request"])
        for event, fields in relaying.lines
        if event in ("server_paused", "pause_unreadable", "server_leaving")
    ]
    assert logged == [
        ("server_paused", 2.0, "r1"),
        ("pause_unreadable", None, "r2"),
        ("server_leaving", None, "r3"),
    ]


def _two_heads_with_streams() -> Relaying:
    """Return relaying with one stream in progress at each of two heads."""
    relaying = Relaying(n_servers=2, slots=8)
    relaying.arrive(STREAM, number=1)
    relaying.arrive(STREAM, number=2)
    for number, attempt in enumerate(relaying.sent, start=1):
        relaying.requests.answer_head(attempt.id, head(f"r{number}"), now=0.1)
    return relaying


def test_progress_of_earlier_requests_does_not_end_an_avoidance() -> None:
    relaying = _two_heads_with_streams()
    relaying.arrive(STREAM, number=3, now=0.2)
    refusing = relaying.sent[-1].server_id
    refusal = head("r3", status=503, not_run=True)
    relaying.requests.answer_head(relaying.sent[-1].id, refusal, now=0.2)
    [stream] = [item for item in relaying.sent[:2] if item.server_id == refusing]
    relaying.events(stream, 1, now=0.3)
    relaying.requests.answer_end(stream.id, cut=False, now=0.3)
    n_sent = len(relaying.sent)
    for number in range(4, 8):
        relaying.arrive(STREAM, number=number, now=0.4)
    assert refusing not in {item.server_id for item in relaying.sent[n_sent:]}


def _refuse_next(relaying: Relaying, *, now: float, pause: float) -> str:
    """Refuse the newest attempt and ask for a pause; return the server's id."""
    attempt = relaying.sent[-1]
    refusal = head(
        f"r{attempt.request_number}",
        status=503,
        not_run=True,
        pause=RequestedPause(text=str(pause), seconds=pause),
    )
    relaying.requests.answer_head(attempt.id, refusal, now=now)
    return attempt.server_id


def test_progress_of_earlier_requests_does_not_end_a_pause() -> None:
    relaying = _two_heads_with_streams()
    relaying.arrive(STREAM, number=3, now=0.2)
    paused = _refuse_next(relaying, now=0.3, pause=3.0)
    [stream] = [item for item in relaying.sent[:2] if item.server_id == paused]
    relaying.events(stream, 1, now=0.4)
    relaying.requests.answer_end(stream.id, cut=False, now=0.5)
    n_sent = len(relaying.sent)
    for number in range(4, 8):
        relaying.arrive(STREAM, number=number, now=0.6 + 0.1 * number)
    assert paused not in {item.server_id for item in relaying.sent[n_sent:]}
    n_sent = len(relaying.sent)
    relaying.arrive(STREAM, number=9, now=3.31)
    assert [item.server_id for item in relaying.sent[n_sent:]] == [paused]


@pytest.mark.parametrize("kind", [SAFE, ONCE, STREAM])
def test_callers_are_refused_at_once_while_all_servers_are_paused(
    kind: RouteKind,
) -> None:
    relaying = Relaying(n_servers=2)
    relaying.arrive(kind, number=1)
    _refuse_next(relaying, now=0.1, pause=4.0)
    _refuse_next(relaying, now=0.2, pause=2.5)
    relaying.arrive(kind, number=2, now=0.7)
    assert relaying.out[-1] == ("refuse", 2, 503, pytest.approx(2.0))
    # Waiting is worthwhile again shortly before the first pause ends.
    relaying.arrive(kind, number=3, now=2.0)
    relaying.requests.tick(now=2.75)
    assert relaying.sent[-1].request_number == 3


def test_waiting_callers_are_refused_when_the_last_server_asks_for_a_pause() -> None:
    relaying = Relaying(n_servers=1, slots=1)
    for number in range(1, 6):
        relaying.arrive(SAFE, number=number, now=0.0)
    n_sent = len(relaying.sent)
    assert n_sent < 5
    _refuse_next(relaying, now=0.1, pause=3.0)
    relaying.requests.dispatch_waiting(now=0.1)
    refused = {item[1] for item in relaying.out if item[0] == "refuse"}
    assert refused == set(range(n_sent, 6))


def test_started_stream_waits_while_all_servers_are_paused() -> None:
    relaying = Relaying(n_servers=1)
    relaying.arrive(STREAM, number=1)
    stream = relaying.sent[0]
    relaying.requests.answer_head(stream.id, head("r1"), now=0.1)
    relaying.events(stream, 1, now=0.1)
    relaying.arrive(STREAM, number=2, now=0.2)
    _refuse_next(relaying, now=0.3, pause=3.0)
    relaying.requests.attempt_failed(stream.id, "cut", sent=True, now=0.4)
    assert ("abort", 1) not in relaying.out
    relaying.directory.put(relaying.engine_head("h9"), now=0.5)
    relaying.requests.tick(now=0.5)
    assert relaying.sent[-1].request_number == 1


def test_limits_count_for_servers_that_are_not_paused() -> None:
    relaying = Relaying(n_servers=2)
    relaying.arrive(SAFE, number=1)
    paused = _refuse_next(relaying, now=0.1, pause=5.0)
    other = relaying.sent[-1].server_id
    assert other != paused
    relaying.balancer.limits.record_answer(other, 0.5, sent_at=0.1, now=0.2)
    relaying.balancer.limits.update_shares(host="a", zone="z", heartbeats=[], now=0.2)
    relaying.arrive(SAFE, number=2, now=0.3)
    assert relaying.out[-1][:3] == ("refuse", 2, 503)
    assert relaying.lines[-1][1]["reason"] == "limited"


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({}, id="answer"),
        pytest.param({"status": 503, "not_run": True}, id="refusal"),
        pytest.param({"status": 500}, id="failure"),
    ],
)
def test_server_that_states_that_it_leaves_gets_no_more_requests(
    changes: dict[str, object],
) -> None:
    relaying = Relaying(n_servers=2)
    relaying.arrive(SAFE, number=1)
    attempt = relaying.sent[0]
    leaving = attempt.server_id
    answer = head("r1", leaving=True, **changes)
    relaying.requests.answer_head(attempt.id, answer, now=0.1)
    relaying.requests.answer_end(attempt.id, cut=False, now=0.1)
    relaying.directory.put(relaying.plain(leaving), now=0.2)
    for number in range(2, 6):
        relaying.arrive(SAFE, number=number, now=5.0 * number)
        relaying.requests.answer_end(relaying.sent[-1].id, cut=False, now=5.0 * number)
    assert leaving not in {item.server_id for item in relaying.sent[1:]}
    assert [name for name, _ in relaying.lines].count("server_leaving") == 1


def test_leaving_of_another_server_is_ignored() -> None:
    """Believe nothing of a server that has taken over the address."""
    relaying = Relaying(n_servers=2)
    relaying.arrive(SAFE, number=1)
    answer = head("r1", status=421, not_run=True, wrong_server=True, leaving=True)
    relaying.requests.answer_head(relaying.sent[0].id, answer, now=0.1)
    assert not any(server.draining for server in relaying.directory.by_id.values())


@pytest.mark.parametrize(
    "notice",
    [
        pytest.param({"leaving": True}, id="leaving"),
        pytest.param({"pause": RequestedPause(text="60", seconds=60.0)}, id="pause"),
    ],
)
def test_answer_of_an_unlisted_server_says_nothing_of_its_next_incarnation(
    notice: dict[str, object],
) -> None:
    """Use a server that starts again under its id after its entry was removed."""
    relaying = Relaying(n_servers=1)
    first = replace(relaying.plain("p0"), started_at=1)
    relaying.directory.put(first, now=0.0)
    relaying.arrive(SAFE, number=1)
    relaying.directory.remove("p0", last_renewed_at=0.1)
    answer = head("r1", status=503, not_run=True, **notice)
    relaying.requests.answer_head(relaying.sent[0].id, answer, now=0.2)
    relaying.directory.put(replace(first, started_at=2), now=1.0)
    relaying.arrive(SAFE, number=2, now=2.0)
    assert [item.request_number for item in relaying.sent] == [1, 2]


@pytest.mark.parametrize("configured", [True, False])
def test_requests_in_flight_are_answered_when_the_process_ends(
    configured: bool,
) -> None:
    """Guard against connections closed without an answer at the end of the grace."""
    relaying = Relaying(configured=configured, n_servers=1)
    for number, kind in enumerate((SAFE, ONCE, STREAM, STREAM), start=1):
        relaying.arrive(kind, number=number)
    if configured:
        relaying.requests.answer_head(relaying.sent[2].id, head("r3"), now=0.1)
        relaying.events(relaying.sent[2], 1, now=0.1)
    relaying.requests.end_all(now=0.2)
    assert not relaying.requests.requests_by_number
    ends = {item[1]: item[::2][:2] for item in relaying.out if item[0] != "data"}
    if configured:
        assert ends == {
            1: ("refuse", 502),
            2: ("refuse", 502),
            3: ("abort",),
            4: ("refuse", 502),
        }
    else:
        assert ends == dict.fromkeys(range(1, 5), ("refuse", 503))
