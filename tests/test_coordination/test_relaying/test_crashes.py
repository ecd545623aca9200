"""Test how many backend servers one relayed request can crash."""

from __future__ import annotations

import pytest

from ryelever.coordination.quarantine.crash_evidence import MAX_AGE
from ryelever.coordination.relaying.crashes import ANNOUNCED_FOR
from ryelever.state.observations import InvolvementRow
from ryelever.state.routes import RouteKind

from .relay_fakes import Relaying, head

SAFE, ONCE, STREAM = RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE, RouteKind.STREAM


def _crash_all(relaying: Relaying, content: str, *, now: float) -> int:
    """Send a request, crash each server that runs it, and return their number."""
    n_before = len(relaying.sent)
    number = 1000 + n_before
    relaying.arrive(SAFE, number=number, content=content, now=now)
    n_crashes = 0
    while len(relaying.sent) > n_before + n_crashes:
        attempt = relaying.sent[n_before + n_crashes]
        relaying.requests.attempt_failed(
            attempt.id, "connection_failed", sent=True, now=now
        )
        n_crashes += 1
    return n_crashes


def _announce(sender: Relaying, receiver: Relaying, *, now: float) -> None:
    receiver.crashes.record_announced(
        sender.crashes.announced(now=now), host="sender", now=now
    )


def test_poison_request_is_not_sent_after_its_second_crash() -> None:
    """Guard against a request that crashes one backend server after the other.

    A request crashes a server, is retried and crashes the next one, and its caller
    repeats it. This goes on if each attempt is decided without regard to the previous
    ones.
    """
    relaying = Relaying(n_servers=5)
    assert _crash_all(relaying, "poison", now=0.0) == 2
    for now in (1.0, 9.0, 60.0):
        assert _crash_all(relaying, "poison", now=now) == 0
        kind, _, status, retry_after = relaying.out[-1]
        assert (kind, status) == ("refuse", 503)
        [line] = [fields for event, fields in relaying.lines if event == "quarantined"]
        assert line["n_crashes"] == 2
        relaying.lines.clear()
        assert retry_after > 100.0
    relaying.arrive(SAFE, number=7, content="other", now=61.0)
    assert relaying.sent[-1].request_number == 7


def test_other_hosts_refuse_an_announced_poison_request() -> None:
    """Guard against a poison request that crashes as many servers as there are hosts.

    The caller sends the request to another entry host each time. If each host knows
    only its own crashes, every host sends the request again.
    """
    first, second = Relaying(n_servers=5), Relaying(n_servers=5)
    assert _crash_all(first, "poison", now=0.0) == 2
    _announce(first, second, now=0.2)
    assert _crash_all(second, "poison", now=0.3) == 0


def test_crashes_at_different_hosts_add_up() -> None:
    first, second = Relaying(), Relaying()
    for host in (first, second):
        host.arrive(ONCE, content="poison", now=0.0)
        # Load this server, so that the second host chooses another one: two crashes of
        # the same incarnation would count as one.
        second.balancer.sent(host.sent[0].server_id)
        host.requests.attempt_failed(
            host.sent[0].id, "connection_failed", sent=True, now=0.1
        )
        assert host.out[-1][:3] == ("refuse", 1, 502)
    _announce(first, second, now=0.2)
    second.arrive(ONCE, number=2, content="poison", now=0.3)
    assert second.out[-1][:3] == ("refuse", 2, 503)


def test_verdict_does_not_promise_that_a_held_request_has_not_run() -> None:
    """Guard against a promise while a silent server may have begun the request."""
    first, second = Relaying(n_servers=5), Relaying(n_servers=2)
    second.arrive(STREAM, content="poison")
    for index in range(30):
        second.requests.tick(now=index * 0.05)
    held, unsent = second.sent
    second.requests.attempt_failed(unsent.id, "silent", sent=False, now=1.5)
    assert _crash_all(first, "poison", now=1.5) == 2
    _announce(first, second, now=1.6)
    second.requests.tick(now=1.6)
    assert second.out[-1][:3] == ("refuse", 1, 502)
    assert second.cancelled == [held.id]


@pytest.mark.parametrize("reason", ["silent", "answer_not_signed"])
def test_failures_other_than_crashes_do_not_count(reason: str) -> None:
    relaying = Relaying(n_servers=5)
    for number in range(3):
        relaying.arrive(SAFE, number=number, content="slow", now=0.0)
        attempt = relaying.sent[-1]
        relaying.requests.attempt_failed(attempt.id, reason, sent=True, now=0.1)
    assert relaying.crashes.announced(now=0.2) == ()


@pytest.mark.parametrize("ends_with_connection", [False, True])
def test_empty_answer_counts_only_if_it_may_have_been_cut_off(
    ends_with_connection: bool,
) -> None:
    """Guard against crashes of servers that have no event left of a resumed stream.

    Such crashes excuse a poison request that was in others with the same stream.
    """
    relaying = Relaying(n_servers=5)
    relaying.arrive(STREAM, now=0.0, last_event_id="5")
    attempt = relaying.sent[-1]
    found = head(ends_with_connection=ends_with_connection)
    relaying.requests.answer_head(attempt.id, found, now=0.1)
    relaying.requests.answer_end(attempt.id, cut=False, now=0.1)
    assert bool(relaying.crashes.announced(now=0.2)) is ends_with_connection
    assert len(relaying.sent) == 2


def test_unsent_request_is_not_suspected() -> None:
    relaying = Relaying(n_servers=5)
    relaying.arrive(SAFE, content="unsent", now=0.0)
    relaying.requests.attempt_failed(
        relaying.sent[0].id, "connection_failed", sent=False, now=0.1
    )
    assert relaying.crashes.announced(now=0.2) == ()


def test_completion_clears_a_bystander_of_a_crash() -> None:
    """Guard against refusing a sound request for a quarter of an hour.

    Many callers send the same request. Two servers that run it die minutes apart, and
    the request completes in between. The completion must clear the first crash.
    """
    relaying = Relaying(n_servers=5)
    relaying.arrive(SAFE, content="popular", now=0.0)
    relaying.requests.attempt_failed(
        relaying.sent[0].id, "connection_failed", sent=True, now=0.1
    )
    attempt = relaying.sent[1]
    relaying.requests.answer_head(attempt.id, head(), now=0.2)
    relaying.requests.answer_end(attempt.id, cut=False, now=0.2)
    assert relaying.out[-1][:3] == ("answer", 1, 200)
    assert _crash_all(relaying, "popular", now=60.0) == 2
    assert _crash_all(relaying, "popular", now=70.0) == 1
    assert _crash_all(relaying, "popular", now=80.0) == 0


def test_single_crash_is_announced_for_a_limited_time() -> None:
    """Guard against heartbeats filled by requests that ran in one crash."""
    relaying = Relaying()
    relaying.arrive(ONCE, content="bystander", now=0.0)
    relaying.requests.attempt_failed(
        relaying.sent[0].id, "connection_failed", sent=True, now=0.0
    )
    assert len(relaying.crashes.announced(now=ANNOUNCED_FOR)) == 1
    assert relaying.crashes.announced(now=ANNOUNCED_FOR + 0.1) == ()


def test_quarantined_request_is_announced_for_as_long_as_its_crashes_count() -> None:
    """Guard against hosts that start, or were cut off, and never learn of it."""
    relaying = Relaying()
    assert _crash_all(relaying, "poison", now=0.0) == 2
    assert len(relaying.crashes.announced(now=MAX_AGE - 1.0)) == 1
    assert relaying.crashes.announced(now=MAX_AGE + 1.0) == ()


def test_request_that_waits_when_its_crashes_become_known_is_not_sent() -> None:
    """Guard against a verdict that is asked for on arrival only."""
    first, second = Relaying(n_servers=2), Relaying(n_servers=1, slots=1)
    while second.requests.has_waiting is False:
        second.arrive(SAFE, number=100 + len(second.sent), now=0.0)
    n_sent = len(second.sent)
    second.arrive(SAFE, number=7, content="poison", now=0.1)
    assert _crash_all(first, "poison", now=0.2) == 2
    _announce(first, second, now=0.3)
    for attempt in list(second.sent):
        request_id = f"r{attempt.request_number}"
        second.requests.answer_head(attempt.id, head(request_id), now=0.4)
        second.requests.answer_end(attempt.id, cut=False, now=0.4)
    second.requests.tick(now=0.5)
    assert all(attempt.request_number != 7 for attempt in second.sent)
    assert len(second.sent) == n_sent + 1
    [refusal] = [item for item in second.out if item[:2] == ("refuse", 7)]
    assert refusal[2] == 503
    assert refusal[3] > 100.0


@pytest.mark.parametrize("kind", [SAFE, STREAM])
def test_request_on_its_way_is_withdrawn_when_its_crashes_become_known(
    kind: RouteKind,
) -> None:
    """Guard against one more crash by a request whose verdict no other asks for."""
    reported_at = 0.0
    first = Relaying(n_servers=5)
    second = Relaying(
        n_servers=5, peers_reported_since=lambda at, *, now: reported_at >= at
    )
    for number, content in ((7, "poison"), (8, "other")):
        second.arrive(kind, number=number, content=content, now=0.0)
    assert _crash_all(first, "poison", now=0.1) == 2
    _announce(first, second, now=0.2)
    second.requests.tick(now=0.3)
    assert not second.cancelled
    reported_at = 2.0
    second.requests.tick(now=2.0)
    assert second.cancelled == [second.sent[0].id]
    assert [item[:3] for item in second.out] == [("refuse", 7, 502)]


def test_verdict_on_two_crashes_waits_for_the_other_hosts() -> None:
    """Guard against refusing a request since another cause isn't known yet."""
    reported_at = 0.0
    relaying = Relaying(
        n_servers=6, peers_reported_since=lambda at, *, now: reported_at >= at
    )
    assert _crash_all(relaying, "bystander", now=1.0) == 2
    n_sent = len(relaying.sent)
    relaying.arrive(SAFE, number=7, content="bystander", now=1.1)
    relaying.requests.tick(now=1.2)
    assert len(relaying.sent) == n_sent
    assert relaying.out[-1][1] != 7
    cause = InvolvementRow(fingerprint="pawroute/poison", crashes=("p0", "p1", "p2"))
    relaying.crashes.record_announced([cause], host="other", now=1.3)
    relaying.requests.tick(now=1.4)
    assert relaying.sent[-1].request_number == 7
    relaying.arrive(SAFE, number=8, content="poison", now=1.5)
    assert relaying.sent[-1].request_number == 7
    reported_at = 1.6
    relaying.requests.tick(now=1.7)
    assert relaying.out[-1][:3] == ("refuse", 8, 503)


def test_request_that_waits_for_a_verdict_is_refused_once_it_is_given() -> None:
    """Guard against a poison request that is sent after it waited."""
    reported_at = 0.0
    relaying = Relaying(
        n_servers=5, peers_reported_since=lambda at, *, now: reported_at >= at
    )
    assert _crash_all(relaying, "poison", now=1.0) == 2
    relaying.arrive(SAFE, number=7, content="poison", now=1.1)
    relaying.arrive(SAFE, number=8, content="other", now=1.1)
    assert relaying.sent[-1].request_number == 8
    reported_at = 1.3
    relaying.requests.tick(now=1.4)
    assert relaying.out[-1][:3] == ("refuse", 7, 503)
