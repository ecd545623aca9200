"""Test what becomes of requests while sound backend servers send nothing."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ryelever.coordination.host_heartbeats import ForwardingHosts, HostAddress
from ryelever.coordination.relaying import RelayAttempt
from ryelever.coordination.relaying.stall_watch import STREAM_SILENCE
from ryelever.relay_settings import ContentionMode
from ryelever.state.routes import RouteKind

from .relay_fakes import Relaying, contended_table, head

STREAM = RouteKind.STREAM

#: Seconds between two ticks.
TICK = 0.05

#: Seconds for which a sound server may be silent.
PAUSE = 1.5


def _tick_until(relaying: Relaying, start: float, end: float) -> None:
    for index in range(int((end - start) / TICK) + 1):
        relaying.requests.tick(now=start + index * TICK)


def _begin_stream(relaying: Relaying, *, number: int = 1) -> RelayAttempt:
    """Return the attempt of a stream with one event, sent at 0.2 s."""
    relaying.arrive(STREAM, number=number)
    attempt = relaying.sent[-1]
    relaying.requests.answer_head(attempt.id, head(f"r{number}"), now=0.1)
    relaying.events(attempt, 1, now=0.2)
    return attempt


def _continue(relaying: Relaying, attempt: RelayAttempt, *, now: float) -> None:
    relaying.events(attempt, 2, 3, now=now)
    relaying.requests.answer_end(attempt.id, cut=False, now=now)


def _refuse(relaying: Relaying, attempt: RelayAttempt, *, now: float) -> None:
    refusal = head(f"r{attempt.request_number}", status=503, not_run=True)
    relaying.requests.answer_head(attempt.id, refusal, now=now)


def _unreached(relaying: Relaying, attempt: RelayAttempt, *, now: float) -> None:
    relaying.requests.attempt_failed(attempt.id, "silent", sent=False, now=now)


def _reset(relaying: Relaying, attempt: RelayAttempt, *, now: float) -> None:
    relaying.requests.attempt_failed(attempt.id, "reset", sent=True, now=now)


def _fail(relaying: Relaying, attempt: RelayAttempt, *, now: float) -> None:
    failure = head(f"r{attempt.request_number}", status=500)
    relaying.requests.answer_head(attempt.id, failure, now=now)
    relaying.requests.answer_end(attempt.id, cut=False, now=now)


def _silent(relaying: Relaying, attempt: RelayAttempt, *, now: float) -> None:
    """Let the second server be as silent as the first."""


def _is_complete_after_pause(outcome: Callable[..., None], *, slack: float) -> bool:
    """Return whether a stream completes whose server is silent for ``PAUSE`` seconds.

    Parameters
    ----------
    outcome : callable
        What becomes of each further attempt.
    slack : float
        Retries that are allowed beyond a fifth of the requests.
    """
    relaying = Relaying(slack=slack)
    first = _begin_stream(relaying)
    moved_at = 0.4 + STREAM_SILENCE
    _tick_until(relaying, 0.2, moved_at)
    for _ in range(3):
        for attempt in relaying.sent[1:]:
            outcome(relaying, attempt, now=moved_at + TICK)
    _tick_until(relaying, moved_at + TICK, 0.2 + PAUSE)
    _continue(relaying, first, now=0.2 + PAUSE)
    return relaying.delivered() == b"id: 1\n\nid: 2\n\nid: 3\n\n" and (
        relaying.out[-1] == ("finish", 1)
    )


def test_streams_go_on_at_their_server_after_a_pause() -> None:
    """Guard against streams broken off since other servers fail during a pause."""
    outcomes = (_refuse, _unreached, _reset, _fail, _silent)
    broken_off = [
        (outcome.__name__, slack)
        for outcome in outcomes
        for slack in (1.0, 100.0)
        if not _is_complete_after_pause(outcome, slack=slack)
    ]
    assert broken_off == []


def test_first_attempt_to_send_wins() -> None:
    """Guard against events that come twice or from two runs after a pause."""
    relaying = Relaying()
    first = _begin_stream(relaying)
    _tick_until(relaying, 0.2, 0.4 + STREAM_SILENCE)
    second = relaying.sent[1]
    relaying.requests.answer_head(second.id, head(), now=0.9)
    relaying.events(first, 2, now=0.95)
    assert relaying.cancelled == [second.id]
    relaying.events(second, 2, 3, now=0.96)
    _continue(relaying, first, now=1.0)
    assert relaying.delivered() == b"id: 1\n\nid: 2\n\nid: 3\n\n"
    assert relaying.out[-1] == ("finish", 1)


def test_request_that_no_attempt_has_run_is_refused_as_not_run() -> None:
    """Guard against failures told to callers whose request may safely come again."""
    relaying = Relaying()
    relaying.arrive(STREAM)
    _tick_until(relaying, 0.2, 1.0 + STREAM_SILENCE)
    first, second = relaying.sent
    _refuse(relaying, second, now=1.5)
    assert relaying.out == []
    _refuse(relaying, first, now=1.6)
    [(kind, _, status, retry_after)] = relaying.out
    assert (kind, status) == ("refuse", 503)
    assert retry_after > 0


def test_all_attempts_of_a_caller_that_leaves_are_cancelled() -> None:
    """Guard against servers that go on working for a caller that has left."""
    relaying = Relaying()
    _begin_stream(relaying)
    _tick_until(relaying, 0.2, 0.4 + STREAM_SILENCE)
    assert len(relaying.sent) == 2
    relaying.requests.caller_disconnected(1)
    assert sorted(relaying.cancelled) == [attempt.id for attempt in relaying.sent]
    for attempt in relaying.sent:
        assert relaying.balancer.record(attempt.server_id).in_flight == 0


def test_stream_that_has_begun_waits_for_a_server_with_room() -> None:
    """Guard against streams broken off for rejections while there is time."""
    relaying = Relaying(n_servers=4)
    _reset(relaying, _begin_stream(relaying), now=0.3)
    n_refused = 1
    for index in range(74):
        now = 0.3 + index * TICK
        for attempt in relaying.sent[n_refused:]:
            _refuse(relaying, attempt, now=now)
            n_refused += 1
        relaying.requests.tick(now=now)
    assert relaying.out[-1][0] == "data"
    assert n_refused > 4
    relaying.directory.put(relaying.engine_head("h9"), now=4.0)
    relaying.requests.tick(now=4.1)
    last = relaying.sent[-1]
    assert last.last_event_id == "1"
    relaying.requests.answer_head(last.id, head(), now=4.2)
    _continue(relaying, last, now=4.2)
    assert relaying.out[-1] == ("finish", 1)


def test_stream_that_has_begun_goes_on_at_servers_that_are_reached_again() -> None:
    """Guard against streams broken off as servers accepted nothing for a while."""
    relaying = Relaying()
    _reset(relaying, _begin_stream(relaying), now=0.3)
    assert len(relaying.sent) == 2
    _unreached(relaying, relaying.sent[1], now=0.6)
    assert len(relaying.sent) == 3
    _unreached(relaying, relaying.sent[2], now=0.9)
    assert len({attempt.server_id for attempt in relaying.sent}) == 3
    _tick_until(relaying, 0.9, 0.9 + PAUSE)
    assert len(relaying.sent) == 4
    last = relaying.sent[3]
    assert last.last_event_id == "1"
    relaying.requests.answer_head(last.id, head(), now=2.5)
    _continue(relaying, last, now=2.5)
    assert relaying.out[-1] == ("finish", 1)


def test_error_of_another_server_does_not_end_a_held_attempt() -> None:
    """Guard against errors of second servers that end requests of paused ones."""
    relaying = Relaying()
    relaying.arrive(STREAM)
    _tick_until(relaying, 0.2, 1.0 + STREAM_SILENCE)
    first, second = relaying.sent
    _fail(relaying, second, now=1.5)
    assert relaying.out == []
    relaying.requests.answer_head(first.id, head(), now=1.6)
    _continue(relaying, first, now=1.6)
    assert relaying.out[-1] == ("finish", 1)


def test_waiting_stream_leaves_the_retry_budget_to_others() -> None:
    """Guard against retries reserved for streams that can't be sent yet."""
    relaying = Relaying(n_servers=2, slack=4.0)
    attempts = [_begin_stream(relaying, number=number) for number in (1, 2)]
    for attempt in attempts:
        _reset(relaying, attempt, now=0.3)
    _tick_until(relaying, 0.35, 0.9)
    retries = relaying.sent[2:]
    assert len(retries) == 2
    for attempt in retries:
        _refuse(relaying, attempt, now=0.95)
    obstacles = {item.get("reason") for _, item in relaying.lines}
    assert "budget" not in obstacles


def test_held_attempt_on_a_lost_path_stalls_no_group() -> None:
    """Guard against sound groups avoided for the silence of a lost direct path."""
    relaying = Relaying()
    first = _begin_stream(relaying)
    relaying.forwarding_hosts = ForwardingHosts(
        own_zone=(HostAddress(host="e2", address="e2:1", availability_zone="z"),),
        other_zones=(),
    )
    relaying.paths.ask_others = lambda server_id: True
    relaying.paths.unreached(first.server_id, now=0.5)
    relaying.paths.reached_by_other(first.server_id, now=0.5)
    assert relaying.sent[1].last_event_id == "1"
    _tick_until(relaying, 0.5, 1.2)
    assert [name for name, _ in relaying.lines if name == "group_still"] == []


def test_attempt_that_reaches_no_server_uses_no_retry_budget() -> None:
    """Guard against a budget spent on servers that never got the requests."""
    relaying = Relaying(slack=1.0, n_servers=4)
    first = _begin_stream(relaying)
    _reset(relaying, first, now=0.3)
    _unreached(relaying, relaying.sent[1], now=0.6)
    assert len(relaying.sent) == 3


def test_streams_are_not_moved_to_groups_that_stall_together() -> None:
    """Guard against retries spent on groups that are known to be silent as well."""
    relaying = Relaying(n_servers=2)
    for number in (1, 2):
        _begin_stream(relaying, number=number)
    assert len({attempt.server_id for attempt in relaying.sent}) == 2
    _tick_until(relaying, 0.2, 0.4 + STREAM_SILENCE)
    assert len(relaying.sent) == 2


def test_stream_is_moved_once_the_budget_allows_it() -> None:
    """Guard against streams left at a lost group since the budget was used up."""
    relaying = Relaying(slack=0.0)
    _begin_stream(relaying)
    _tick_until(relaying, 0.2, 0.4 + STREAM_SILENCE)
    assert len(relaying.sent) == 1
    for number in range(2, 9):
        relaying.arrive(RouteKind.IDEMPOTENT, number=number, now=0.9)
    for number in range(9, 16):
        relaying.arrive(STREAM, number=number, now=0.9)
    n_sent = len(relaying.sent)
    _tick_until(relaying, 0.9, 1.0)
    [moved] = relaying.sent[n_sent:]
    assert (moved.request_number, moved.last_event_id) == (1, "1")


def _run_beside_others(
    relaying: Relaying,
    *,
    end: float,
    first_until: float,
    first_key: str = "key",
    first_prompt: int = 100,
    n_prompt: int = 100,
    n_events: int = 1,
) -> None:
    """Send three streams to one server, which goes on with the last two of them.

    They are sent 0.3 s apart, and have events from 0.2 s after sending on. Another
    server is added at 0.8 s.

    Parameters
    ----------
    first_until : float
        Time from which the first stream has no more events.
    n_events : int
        Number of events that arrive at a time.
    """
    for index in range(round(end / TICK)):
        now = index * TICK
        if index == 0:
            relaying.arrive(STREAM, key=first_key, n_prompt=first_prompt)
        elif index in (6, 12):
            relaying.arrive(STREAM, number=1 + index // 6, now=now, n_prompt=n_prompt)
        if index == 16:
            relaying.directory.put(relaying.engine_head("h1"), now=now)
        for attempt in relaying.sent[:3]:
            sent_at = 0.3 * (attempt.request_number - 1)
            if attempt.request_number == 1 and now >= first_until:
                continue
            if now >= sent_at + 0.2:
                relaying.requests.answer_head(
                    attempt.id, head(f"r{attempt.request_number}"), now=now
                )
                ids = range(n_events * index, n_events * (index + 1))
                relaying.events(attempt, *ids, now=now)
        relaying.requests.tick(now=now)


@pytest.mark.parametrize("first_until", [0.0, 0.7])
def test_one_silent_stream_beside_others_is_sent_to_another_server(
    first_until: float,
) -> None:
    """Guard against streams that a server forgets while it goes on with others."""
    relaying = Relaying(n_servers=1, slots=4)
    _run_beside_others(relaying, end=first_until + 1.2, first_until=first_until)
    first, *_, second = relaying.sent
    assert (second.request_number, second.server_id) == (1, "h1")
    assert second.last_event_id == ("13" if first_until else "")
    assert len(relaying.sent) == 4
    assert [(name, fields["reason"]) for name, fields in relaying.lines] == [
        ("attempt_held", "overtaken")
    ]
    relaying.requests.answer_head(second.id, head("r1"), now=2.0)
    relaying.events(second, 90, now=2.0)
    assert relaying.cancelled == [first.id]
    relaying.requests.answer_end(second.id, cut=False, now=2.1)
    assert relaying.out[-1] == ("finish", 1)


def test_held_overtaken_attempt_goes_on_if_it_is_first() -> None:
    """Guard against streams taken from a server that was only slow with them."""
    relaying = Relaying(n_servers=1, slots=4)
    _run_beside_others(relaying, end=1.2, first_until=0.0)
    first, *_, second = relaying.sent
    assert second.server_id == "h1"
    relaying.requests.answer_head(first.id, head("r1"), now=1.3)
    relaying.events(first, 1, now=1.3)
    assert relaying.cancelled == [second.id]


def test_overtaken_stream_that_may_run_once_is_waited_for() -> None:
    """Guard against requests run twice since their server is silent."""
    relaying = Relaying(n_servers=1, slots=4, resumable=False)
    _run_beside_others(relaying, end=1.6, first_until=0.0)
    assert len(relaying.sent) == 3
    assert relaying.lines == []


def test_overtaken_stream_is_not_sent_without_retry_budget() -> None:
    """Guard against retries beyond the budget, and a log line with each tick."""
    relaying = Relaying(n_servers=1, slots=4, slack=0.0)
    _run_beside_others(relaying, end=1.6, first_until=0.0)
    assert len(relaying.sent) == 3
    assert [(name, fields["reason"]) for name, fields in relaying.lines] == [
        ("not_retried", "budget")
    ]


def test_held_overtaken_attempt_stalls_no_group() -> None:
    """Guard against sound groups avoided since they forgot one request."""
    relaying = Relaying(n_servers=1, slots=4)
    _run_beside_others(relaying, end=1.2, first_until=0.0)
    for attempt in relaying.sent[1:3]:
        relaying.requests.answer_end(attempt.id, cut=False, now=1.2)
    _tick_until(relaying, 1.2, 2.2)
    stalled = [fields for name, fields in relaying.lines if name == "group_still"]
    assert {"server": "h0"} not in stalled


def test_callers_of_overtaken_streams_may_leave() -> None:
    """Guard against ticks that fail since a stream has ended."""
    relaying = Relaying(n_servers=1, slots=4)
    _run_beside_others(relaying, end=1.2, first_until=0.0)
    relaying.requests.caller_disconnected(1)
    _tick_until(relaying, 1.2, 1.4)
    for attempt in (relaying.sent[0], relaying.sent[3]):
        assert attempt.id in relaying.cancelled
        assert relaying.requests.is_streaming(attempt.id) is False


def test_urgent_streams_go_first() -> None:
    """Guard against retries of streams that wait behind more urgent ones."""
    relaying = Relaying(n_servers=1, slots=4, contention=ContentionMode.OFF)
    relaying.route_table = contended_table()
    _run_beside_others(relaying, end=2.0, first_until=0.0, first_key="batch")
    assert len(relaying.sent) == 3
    assert relaying.lines == []


@pytest.mark.parametrize(("is_published", "n_sent"), [(True, 4), (False, 3)])
def test_long_prompts_are_given_time(is_published: bool, n_sent: int) -> None:
    """Guard against retries of streams whose prompts are still being read."""
    relaying = Relaying(n_servers=1, slots=4, contention=ContentionMode.OFF)
    if is_published:
        relaying.route_table = contended_table()
    _run_beside_others(
        relaying, end=1.4, first_until=0.0, first_prompt=3000, n_prompt=3000
    )
    assert len(relaying.sent) == n_sent


@pytest.mark.parametrize(("n_events", "n_sent"), [(1, 4), (10, 3)])
def test_preempted_streams_are_read_again_with_their_answers(
    n_events: int, n_sent: int
) -> None:
    """Guard against retries of preempted streams that need more memory than others."""
    relaying = Relaying(n_servers=1, slots=4)
    _run_beside_others(
        relaying, end=1.6, first_until=0.25, n_prompt=200, n_events=n_events
    )
    assert len(relaying.sent) == n_sent
