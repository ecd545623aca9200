"""Test which requests are sent by way of another host, and what follows from it."""

from __future__ import annotations

import pytest

from ryelever.coordination.host_heartbeats import ForwardingHosts, HostAddress
from ryelever.coordination.relaying.actions import RelayAttempt
from ryelever.state.routes import RouteKind

from .relay_fakes import Relaying, head

STREAM = RouteKind.STREAM
IDEMPOTENT = RouteKind.IDEMPOTENT
AT_MOST_ONCE = RouteKind.AT_MOST_ONCE

HOST = HostAddress(host="e2", address="10.1.0.2:7000", availability_zone="z")


@pytest.fixture
def relaying() -> Relaying:
    relaying = Relaying()
    relaying.forwarding_hosts = ForwardingHosts(own_zone=(HOST,), other_zones=())
    relaying.paths.ask_directly = lambda server_id: True
    relaying.paths.ask_others = lambda server_id: True
    return relaying


def _fail_unsent(relaying: Relaying, attempt: RelayAttempt, *, now: float) -> None:
    relaying.requests.attempt_failed(attempt.id, "silent", sent=False, now=now)


def _lose(relaying: Relaying, server_id: str, *, now: float) -> None:
    """Find that only another host reaches a server."""
    relaying.paths.unreached(server_id, now=now)
    relaying.paths.reached_by_other(server_id, now=now)


@pytest.mark.parametrize("kind", [IDEMPOTENT, AT_MOST_ONCE, STREAM])
def test_unsent_request_takes_a_detour_where_nothing_is_heard(
    relaying: Relaying, kind: RouteKind
) -> None:
    """Guard against requests that fail at one server after the other."""
    relaying.arrive(kind)
    first = relaying.sent[0]
    assert not first.forwarder
    _fail_unsent(relaying, first, now=0.3)
    second = relaying.sent[1]
    assert (second.forwarder, second.address) == ("e2", "10.1.0.2:7000")
    assert second.new_connection


def test_unsent_request_is_sent_directly_while_others_answer(
    relaying: Relaying,
) -> None:
    """Guard against detours around every server that has crashed."""
    relaying.arrive(IDEMPOTENT, number=1)
    relaying.arrive(IDEMPOTENT, number=2)
    relaying.requests.answer_head(relaying.sent[0].id, head("r1"), now=0.2)
    _fail_unsent(relaying, relaying.sent[1], now=0.3)
    assert relaying.sent[2].forwarder == ""


def test_detour_counts_as_no_retry(relaying: Relaying) -> None:
    """Guard against a partition that uses up the retry budget of all hosts."""
    for number in range(1, 60):
        relaying.arrive(AT_MOST_ONCE, number=number, now=float(number))
        _fail_unsent(relaying, relaying.sent[-1], now=number + 0.3)
        assert relaying.sent[-1].forwarder == "e2"
        relaying.requests.answer_head(
            relaying.sent[-1].id, head(f"r{number}"), now=number + 0.4
        )
        relaying.requests.answer_end(relaying.sent[-1].id, cut=False, now=number + 0.4)
    assert [status for _, _, status, _ in relaying.out] == [200] * 59


def test_request_on_a_lost_path_is_moved_once_there_is_room(
    relaying: Relaying,
) -> None:
    """Guard against requests left on a lost path since no server had room just then."""
    relaying.arrive(IDEMPOTENT)
    [first] = relaying.sent
    for server_id in {"p0", "p1", "p2"} - {first.server_id}:
        relaying.directory.remove(server_id, last_renewed_at=0.0)
    _lose(relaying, first.server_id, now=0.5)
    assert len(relaying.sent) == 1
    relaying.directory.put(relaying.plain("p9"), now=1.0)
    relaying.requests.tick(now=1.0)
    assert relaying.sent[1].server_id == "p9"
    assert relaying.cancelled == []


def test_server_out_of_reach_is_used_by_way_of_another_host(
    relaying: Relaying,
) -> None:
    """Guard against first attempts that probe lost paths."""
    for server_id in ("p0", "p1"):
        _lose(relaying, server_id, now=1.0)
    for number in range(3):
        relaying.arrive(IDEMPOTENT, number=number + 1, now=1.1)
    assert {attempt.forwarder for attempt in relaying.sent} == {"e2"}
    relaying.paths.answered("p0", now=2.0)
    relaying.paths.answered("p1", now=2.0)
    relaying.arrive(IDEMPOTENT, number=9, now=2.1)
    assert relaying.sent[-1].forwarder == ""


def test_silent_streams_move_when_the_path_is_lost(relaying: Relaying) -> None:
    """Guard against streams that wait for a stall behind a path known to be lost."""
    relaying.arrive(STREAM, number=1)
    relaying.arrive(STREAM, number=2)
    silent, live = relaying.sent
    for attempt, request_id in ((silent, "r1"), (live, "r2")):
        relaying.requests.answer_head(attempt.id, head(request_id), now=0.1)
        relaying.events(attempt, 1, now=0.2)
    relaying.events(live, 2, now=0.5)
    _lose(relaying, silent.server_id, now=0.6)
    _lose(relaying, live.server_id, now=0.6)
    [moved] = relaying.sent[2:]
    assert moved.request_number == silent.request_number
    assert (moved.forwarder, moved.last_event_id) == ("e2", "1")
    relaying.requests.answer_head(moved.id, head("r1"), now=0.7)
    relaying.events(moved, 2, now=0.7)
    assert relaying.cancelled == [silent.id]


def test_failure_of_the_forwarding_host_is_not_held_against_the_server(
    relaying: Relaying,
) -> None:
    """Guard against sound servers that are avoided or counted as crashed."""
    _lose(relaying, "h0", now=0.0)
    _lose(relaying, "h1", now=0.0)
    relaying.arrive(STREAM, now=0.1)
    attempt = relaying.sent[0]
    relaying.requests.attempt_failed(
        attempt.id, "forwarder_failed", sent=True, forwarder_failed=True, now=0.2
    )
    assert relaying.balancer.record(attempt.server_id).n_failures == 0
    assert relaying.crashes.announced(now=0.2) == ()


def test_request_that_may_have_run_takes_no_second_detour(relaying: Relaying) -> None:
    """Guard against requests that run twice since a forwarding host ended."""
    _lose(relaying, "p0", now=0.0)
    _lose(relaying, "p1", now=0.0)
    relaying.arrive(AT_MOST_ONCE, now=0.1)
    relaying.requests.attempt_failed(
        relaying.sent[0].id,
        "forwarder_failed",
        sent=True,
        forwarder_failed=True,
        now=0.2,
    )
    assert len(relaying.sent) == 1
    assert relaying.out == [("refuse", 1, 502, None)]
