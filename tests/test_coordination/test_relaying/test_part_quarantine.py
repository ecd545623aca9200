"""Test what hosts do with requests whose prompts have a part that crashes servers."""

from __future__ import annotations

import pytest

from ryelever.coordination.host_heartbeats import ForwardingHosts, HostAddress
from ryelever.coordination.quarantine.crash_evidence import PART_SETTLE
from ryelever.coordination.relaying.crashes import CLEARED_AFTER
from ryelever.state.observations import InvolvementRow
from ryelever.state.routes import RouteKind

from .relay_fakes import Relaying, contended_table, head

SAFE, ONCE, STREAM = RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE, RouteKind.STREAM

DEADLY = ("first", "dead")

#: Time at which a verdict on the part has settled.
SETTLED = PART_SETTLE + 1.0


def _crash_elsewhere(relaying: Relaying, *, now: float = 0.5) -> None:
    """Announce six crashes that other hosts saw under requests with the part."""
    crashes = tuple(f"e{index}" for index in range(6))
    row = InvolvementRow(fingerprint="dead", crashes=crashes, is_part=True)
    relaying.crashes.record_announced([row], host="other", now=now)


def _complete(relaying: Relaying, *, status: int = 200, now: float) -> None:
    attempt = relaying.sent[-1]
    answer = head(f"r{attempt.request_number}", status=status)
    relaying.requests.answer_head(attempt.id, answer, now=now)
    relaying.requests.answer_end(attempt.id, cut=False, now=now)


def _crash(relaying: Relaying, *, now: float) -> None:
    attempt = relaying.sent[-1]
    relaying.requests.attempt_failed(
        attempt.id, "connection_failed", sent=True, now=now
    )


@pytest.mark.parametrize("kind", [SAFE, ONCE, STREAM])
def test_request_with_a_quarantined_part_is_refused_on_arrival(kind: RouteKind) -> None:
    """Guard against new requests with the part, no two of which are alike."""
    relaying = Relaying(n_servers=5)
    _crash_elsewhere(relaying)
    relaying.arrive(kind, number=1, parts=(*DEADLY, "new"), now=SETTLED)
    assert relaying.sent == []
    assert relaying.out[-1][:3] == ("refuse", 1, 503)
    [line] = [fields for event, fields in relaying.lines if event == "quarantined"]
    assert (line["part"], line["n_crashes"]) == ("dead", 6)
    relaying.arrive(kind, number=2, parts=("first", "other"), now=SETTLED)
    assert relaying.sent[-1].request_number == 2


@pytest.mark.parametrize("contended", [False, True])
def test_twenty_waiting_requests_with_the_part_are_never_sent(contended: bool) -> None:
    """Guard against requests that were accepted before the verdict and sent after."""
    relaying = Relaying(n_servers=1, slots=1)
    if contended:
        relaying.route_table = contended_table()
    for number in range(1, 31):
        relaying.arrive(STREAM, number=number, parts=("first", "other"), now=2.0)
    n_sent = len(relaying.sent)
    for number in range(31, 51):
        relaying.arrive(STREAM, number=number, parts=DEADLY, now=2.0)
    _crash_elsewhere(relaying, now=0.0)
    relaying.requests.tick(now=PART_SETTLE + 0.5)
    ended = {item[1]: item[2] for item in relaying.out if item[0] == "refuse"}
    assert {ended.get(number) for number in range(31, 51)} == {503}
    for attempt in relaying.sent[:n_sent]:
        relaying.requests.caller_disconnected(attempt.request_number)
    relaying.requests.tick(now=PART_SETTLE + 0.6)
    assert all(attempt.request_number <= 30 for attempt in relaying.sent)


@pytest.mark.parametrize(("kind", "status"), [(SAFE, 502), (ONCE, 502), (STREAM, 502)])
def test_requests_on_their_way_are_withdrawn_when_the_verdict_comes(
    kind: RouteKind, status: int
) -> None:
    """Guard against requests in servers' queues that crash them after the verdict."""
    relaying = Relaying(n_servers=5, slots=20)
    for number in range(1, 21):
        relaying.arrive(kind, number=number, parts=DEADLY, now=0.2)
    relaying.arrive(kind, number=21, parts=("first",), now=0.2)
    _crash_elsewhere(relaying)
    relaying.arrive(kind, number=22, parts=DEADLY, now=SETTLED)
    relaying.requests.tick(now=SETTLED)
    assert len(relaying.cancelled) == 20
    ended = {item[1]: item[2] for item in relaying.out if item[0] == "refuse"}
    # Servers may have run those that were sent.
    assert {ended[number] for number in range(1, 21)} == {status}
    assert ended[22] == 503
    assert 21 not in ended


def test_streams_with_events_are_not_withdrawn() -> None:
    """Guard against breaking off answers of which callers have a part already."""
    relaying = Relaying(n_servers=5)
    relaying.arrive(STREAM, number=1, parts=DEADLY, now=0.2)
    attempt = relaying.sent[-1]
    relaying.requests.answer_head(attempt.id, head(), now=0.3)
    relaying.events(attempt, 1, now=0.3)
    _crash_elsewhere(relaying)
    relaying.arrive(STREAM, number=2, parts=DEADLY, now=SETTLED)
    relaying.requests.tick(now=SETTLED)
    assert relaying.cancelled == []


def test_request_is_not_forwarded_by_another_host_after_the_verdict() -> None:
    """Guard against requests that take the way by another host past the verdict."""
    relaying = Relaying(n_servers=1)
    other = HostAddress(host="o", address="o:1", availability_zone="z")
    relaying.forwarding_hosts = ForwardingHosts(own_zone=(other,), other_zones=())
    relaying.arrive(SAFE, number=1, parts=DEADLY, now=SETTLED)
    _crash_elsewhere(relaying)
    relaying.requests.attempt_failed(
        relaying.sent[-1].id, "connection_failed", sent=False, now=SETTLED
    )
    relaying.requests.tick(now=SETTLED + 0.1)
    assert len(relaying.sent) == 1
    assert relaying.out[-1][:3] == ("refuse", 1, 503)


def test_request_that_crashes_a_server_is_not_retried_after_the_verdict() -> None:
    """Guard against a retry that crashes one more server."""
    relaying = Relaying(n_servers=5)
    _crash_elsewhere(relaying)
    relaying.arrive(STREAM, number=1, parts=("first",), now=SETTLED)
    relaying.arrive(STREAM, number=2, parts=DEADLY, now=0.6)
    n_sent = len(relaying.sent)
    _crash(relaying, now=SETTLED)
    assert len(relaying.sent) == n_sent
    assert relaying.out[-1][:3] == ("refuse", 2, 502)


@pytest.mark.parametrize("status", [400, 404, 500])
def test_only_successful_answers_clear_a_part(status: int) -> None:
    """Guard against a part that is cleared by servers which didn't read the prompt."""
    relaying = Relaying(n_servers=5)
    relaying.arrive(ONCE, number=1, parts=DEADLY, now=0.2)
    _complete(relaying, status=status, now=0.3)
    _crash_elsewhere(relaying)
    relaying.arrive(ONCE, number=2, parts=DEADLY, now=SETTLED)
    assert relaying.out[-1][:3] == ("refuse", 2, 503)


def test_answer_that_goes_on_for_long_clears_its_parts() -> None:
    """Guard against refusing a part for as long as its answers take to complete."""
    relaying = Relaying(n_servers=5)
    relaying.arrive(STREAM, number=1, parts=DEADLY, now=0.2)
    attempt = relaying.sent[-1]
    relaying.requests.answer_head(attempt.id, head(), now=0.3)
    relaying.events(attempt, 1, now=0.3)
    relaying.events(attempt, 2, now=0.2 + CLEARED_AFTER)
    _crash_elsewhere(relaying)
    assert relaying.crashes.announced(now=0.6)
    relaying.events(attempt, 3, now=0.4 + CLEARED_AFTER)
    relaying.arrive(STREAM, number=2, parts=DEADLY, now=SETTLED)
    assert relaying.sent[-1].request_number == 2


def test_events_of_earlier_attempts_do_not_clear_a_part() -> None:
    """Guard against a part that is cleared since each server wrote one event."""
    relaying = Relaying(n_servers=5)
    _crash_elsewhere(relaying, now=0.1)
    relaying.arrive(STREAM, number=1, parts=DEADLY, now=0.2)
    for index, now in enumerate((0.3, 0.4 + CLEARED_AFTER)):
        attempt = relaying.sent[index]
        relaying.requests.answer_head(attempt.id, head(), now=now)
        relaying.events(attempt, index + 1, now=now)
        relaying.requests.attempt_failed(
            attempt.id, "connection_failed", sent=True, now=now
        )
    relaying.arrive(STREAM, number=2, parts=DEADLY, now=SETTLED)
    assert relaying.out[-1][:3] == ("refuse", 2, 503)
