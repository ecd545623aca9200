"""Test requests of contended services that can't be sent to any server for a while."""

from __future__ import annotations

from typing import Any

import pytest
from msgspec.structs import replace

from ryelever.coordination.relaying.refusals import DEFAULT_RETRY_AFTER
from ryelever.relay_settings import ContentionMode
from ryelever.state.routes import RouteKind

from .relay_fakes import Relaying, contended_table, head

STREAM = RouteKind.STREAM


@pytest.fixture
def relaying() -> Relaying:
    """Return a host with one group of two slots."""
    relaying = Relaying(n_servers=1, slots=2, contention=ContentionMode.ON)
    relaying.route_table = contended_table()
    return relaying


def _reject(relaying: Relaying, number: int, *, now: float) -> None:
    """Let the group reject a request that was sent to it."""
    (attempt,) = (item for item in relaying.sent if item.request_number == number)
    rejected = head(f"r{number}", status=503, not_run=True)
    relaying.requests.answer_head(attempt.id, rejected, now=now)


def _refused(relaying: Relaying) -> list[int]:
    return [item[1] for item in relaying.out if item[0] == "refuse"]


def test_request_that_no_server_is_left_for_takes_no_room(relaying: Relaying) -> None:
    """Guard against idle slots kept for requests that were sent to all servers.

    A request isn't sent to a group twice. If the only group has rejected two requests,
    they wait for another group and would count as competitors for its two slots.
    """
    for number in (1, 2):
        relaying.arrive(STREAM, number=number)
    for number in (1, 2):
        _reject(relaying, number, now=0.1)
    relaying.arrive(STREAM, number=3, now=0.2)
    # The group is no longer avoided for the rejections, and all three are late.
    relaying.requests.tick(now=0.8)
    assert [item.request_number for item in relaying.sent] == [1, 2, 3]


def test_request_that_no_server_is_left_for_is_refused_soon(
    relaying: Relaying,
) -> None:
    """Guard against requests held until their timeout that no server can take.

    Another host could send the request to the group again.
    """
    relaying.arrive(STREAM, number=1)
    _reject(relaying, 1, now=0.1)
    for index in range(1, 25):
        relaying.requests.tick(now=index * 0.1)
    assert _refused(relaying) == [1]


def test_caller_is_refused_before_it_gives_up_without_a_group() -> None:
    """Guard against refusals that come after the caller has given up.

    Such a caller doesn't retry, so its request is lost although a group may open.
    """
    relaying = Relaying(n_servers=0, contention=ContentionMode.ON)
    table = contended_table()
    ((host, routes),) = table.routes_by_host.items()
    routes = [replace(route, caller_patience=1.5) for route in routes]
    relaying.route_table = replace(table, routes_by_host={host: routes})
    relaying.arrive(STREAM, number=1)
    for index in range(1, 14):
        relaying.requests.tick(now=index * 0.1)
    assert _refused(relaying) == [1]


def test_stopping_host_refuses_requests_that_wait(relaying: Relaying) -> None:
    """Guard against requests that wait at a host until its process ends.

    They may wait for longer than the rest of the grace period. If they get a slot,
    their streams are cut off; if not, their connections close without an answer.
    """
    for number in (1, 2, 3):
        relaying.arrive(STREAM, number=number)
    assert [item.request_number for item in relaying.sent] == [1, 2]
    relaying.requests.grace_period.begin(refuses_from=0.1, ends_at=2.9)
    relaying.requests.tick(now=0.1)
    assert relaying.out == [("refuse", 3, 503, DEFAULT_RETRY_AFTER)]
    assert not relaying.requests.has_waiting
    assert sorted(relaying.requests.requests_by_number) == [1, 2]


def test_full_groups_are_examined_once_for_each_rank(
    relaying: Relaying, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against work that grows with servers times waiting requests.

    Requests that have waited for half of their time may get a slot before more urgent
    ones. Each of them was compared with all servers, in vain, at each dispatch.
    """
    relaying.balancer.record_duration("engines", "large", 0.2)
    for number in range(30):
        relaying.arrive(STREAM, number=number, key="batch" if number > 5 else "key")
    for index in range(1, 36):
        for attempt in list(relaying.sent):
            relaying.stall_watch.progressed(
                attempt.server_id, attempt.id, now=index * 0.1
            )
        relaying.requests.tick(now=index * 0.1)
    assert sum(row.count for row in relaying.requests.waiting_rows()) > 20
    n_chosen = 0
    choose = relaying.balancer.choose

    def counted(*args: Any, **settings: Any) -> object:
        nonlocal n_chosen
        n_chosen += 1
        return choose(*args, **settings)

    monkeypatch.setattr(relaying.balancer, "choose", counted)
    relaying.requests.dispatch_waiting(now=3.6)
    assert 1 <= n_chosen <= 4


def test_request_for_paused_groups_waits_or_is_refused(relaying: Relaying) -> None:
    """Guard against requests sent to a paused group, or held though it stays paused."""
    relaying.balancer.pauses.record("h0", None, seconds=2.0, now=0.0)
    relaying.arrive(STREAM, number=1, time_limit=1.5)
    assert _refused(relaying) == [1]
    relaying.arrive(STREAM, number=2, time_limit=6.0)
    for index in range(1, 22):
        relaying.requests.tick(now=index * 0.1)
        assert bool(relaying.sent) == (index > 19)
    assert [item.request_number for item in relaying.sent] == [2]


def test_request_for_evacuated_groups_is_refused_soon(relaying: Relaying) -> None:
    """Guard against requests that wait for groups of an evacuated zone."""
    relaying.balancer._is_evacuated = lambda zone: True
    relaying.arrive(STREAM, number=1)
    for index in range(1, 25):
        relaying.requests.tick(now=index * 0.1)
    assert relaying.sent == []
    assert _refused(relaying) == [1]
