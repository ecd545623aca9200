"""Test which requests of contended services wait, and which are refused."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from ryelever.coordination.relaying import waiting
from ryelever.coordination.relaying.balance import QUEUED_PER_SERVER
from ryelever.coordination.relaying.caller_ages import CallerAges
from ryelever.coordination.relaying.rank_shares import RANK_WINDOW, RankShares
from ryelever.coordination.relaying.wait_estimate import WaitEstimate
from ryelever.relay_settings import ContentionMode
from ryelever.state.observations import WaitingRow
from ryelever.state.routes import RouteKind

from .relay_fakes import Relaying, contended_table, head

STREAM = RouteKind.STREAM


@pytest.fixture
def relaying() -> Relaying:
    return _relaying()


def _relaying(**changes) -> Relaying:
    settings = {"n_servers": 1, "slots": 2, "contention": ContentionMode.ON}
    relaying = Relaying(**(settings | changes))
    relaying.route_table = contended_table()
    return relaying


def _fill(relaying: Relaying) -> None:
    """Take all slots, and let requests of other hosts fill the queue at the group."""
    for number in range(100, 100 + relaying.slots):
        relaying.arrive(STREAM, number=number)
    relaying.balancer.peers_in_flight_by_id["h0"] = QUEUED_PER_SERVER


def _peers(relaying: Relaying, count: int, *, late: bool = False) -> None:
    relaying.balancer.peers_waiting = (
        WaitingRow(
            service="engines", model="large", rank=(1, 1), late=late, count=count
        ),
    )


def _refused(relaying: Relaying) -> dict[int, float]:
    """Return the times to retry by the number of the request."""
    return {item[1]: item[3] for item in relaying.out if item[0] == "refuse"}


def _reasons(relaying: Relaying) -> list[str]:
    return [fields["reason"] for event, fields in relaying.lines if event == "answered"]


def _stream(relaying: Relaying, *, until: float) -> None:
    """Let each request at the group make progress, so that it doesn't stall."""
    for attempt in list(relaying.sent):
        request_id = f"r{attempt.request_number}"
        relaying.requests.answer_head(attempt.id, head(request_id), now=until)
        relaying.events(attempt, round(until * 20) + 1, now=until)


def test_wait_follows_from_what_is_ahead_and_what_overtakes() -> None:
    estimate = WaitEstimate(
        n_ahead=30, n_slots=20, mean_duration=2.0, n_in_flight=20, share_ahead=0.5
    )
    assert estimate.min_wait == 3.0
    assert estimate.expected_wait == 6.0
    assert estimate.is_hopeless(latest_start=2.9, now=0.0)
    assert not estimate.is_hopeless(latest_start=3.1, now=0.0)


def test_hopeless_request_is_refused_on_arrival(relaying: Relaying) -> None:
    """Guard against callers that wait in vain, return together, or urgent ones last."""
    _fill(relaying)
    _peers(relaying, 12)
    for number in range(8):
        relaying.arrive(STREAM, number=number, key="batch", time_limit=6.0)
    relaying.arrive(STREAM, number=8, time_limit=0.5)
    refused = _refused(relaying)
    assert sorted(refused) == list(range(9))
    assert {
        fields["reason"] for event, fields in relaying.lines if fields.get("reason")
    } == {"no_chance"}
    less_urgent = [refused[number] for number in range(8)]
    assert len(set(less_urgent)) == 8
    assert refused[8] < min(less_urgent)
    assert max(less_urgent) <= 6.0 / 3


def test_request_that_may_be_served_waits(relaying: Relaying) -> None:
    """Guard against refusals after a fixed wait, whatever is ahead of a request."""
    _fill(relaying)
    relaying.arrive(STREAM, number=1, time_limit=6.0)
    for index in range(1, 40):
        _stream(relaying, until=index * 0.1)
        relaying.requests.tick(now=index * 0.1)
    assert _refused(relaying) == {}
    held = [fields for event, fields in relaying.lines if event == "held"]
    assert [(fields["request"], fields["rank"]) for fields in held] == [("r1", [0, 1])]


def test_restarted_host_refuses_nothing() -> None:
    """Guard against refusals by a host that has observed nothing yet."""
    relaying = _relaying(slots=1)
    for number in range(4):
        relaying.arrive(STREAM, number=number, key="batch", time_limit=6.0)
    relaying.requests.tick(now=0.3)
    assert _refused(relaying) == {}
    assert RankShares().ahead(("engines", "large"), (True, 9), now=0.0) == (0.0, 0.0)


def test_request_waits_for_a_group_that_may_open() -> None:
    """Guard against refusals, and waits without end, while no group is open."""
    relaying = _relaying(n_servers=0)
    relaying.arrive(STREAM, number=1)
    relaying.arrive(STREAM, number=2, time_limit=1.0)
    for index in range(30):
        relaying.requests.tick(now=index * 0.05)
    assert list(_refused(relaying)) == [2]
    relaying.directory.put(relaying.engine_head("h0"), now=1.5)
    relaying.requests.dispatch_waiting(now=1.5)
    assert [attempt.request_number for attempt in relaying.sent] == [1]
    assert _reasons(relaying) == ["no_place"]


def test_process_that_stood_still_refuses_and_observes_nothing_stale(
    relaying: Relaying,
) -> None:
    """Guard against durations, and requests sent in vain, after a suspension."""
    _fill(relaying)
    relaying.arrive(STREAM, number=1, time_limit=3.0)
    relaying.requests.tick(now=0.1)
    _stream(relaying, until=0.1)
    n_sent = len(relaying.sent)
    mean = relaying.balancer.mean_duration("engines", "large")
    relaying.requests.answer_end(relaying.sent[0].id, cut=False, now=9.0)
    relaying.requests.tick(now=9.0)
    assert relaying.balancer.mean_duration("engines", "large") == mean
    assert 1 in _refused(relaying)
    assert len(relaying.sent) == n_sent


def test_waiting_requests_go_before_arrivals_and_late_ones_after(
    relaying: Relaying,
) -> None:
    """Guard against arrivals that overtake, and late requests that make others late."""
    _fill(relaying)
    relaying.arrive(STREAM, number=1)
    relaying.requests.tick(now=0.1)
    _stream(relaying, until=0.4)
    relaying.requests.tick(now=0.4)
    relaying.arrive(STREAM, number=2, key="batch", now=0.4)
    relaying.arrive(STREAM, number=3, now=0.41)
    relaying.balancer.peers_in_flight_by_id.clear()
    for attempt in relaying.sent[:2]:
        relaying.requests.answer_end(attempt.id, cut=False, now=0.45)
    numbers = [attempt.request_number for attempt in relaying.sent[2:]]
    assert numbers == [3, 2, 1]
    assert [attempt.priority for attempt in relaying.sent[2:]] == [1, 4, 6]


def test_servers_admit_requests_on_time_before_late_ones() -> None:
    """Guard against late requests that a full server runs before others."""
    relaying = _relaying(n_servers=0)
    for number, key in enumerate(("key", "batch")):
        relaying.arrive(STREAM, number=number, key=key)
    requests = relaying.requests.requests_by_number.values()
    assert [item.attempt_priority(now=0.1) for item in requests] == [1, 4]
    assert [item.attempt_priority(now=2.0) for item in requests] == [6, 9]


def test_caller_is_refused_before_it_gives_up(relaying: Relaying) -> None:
    """Guard against requests that wait for longer than their callers do.

    A caller that has given up a stream doesn't retry, while one that is refused does.
    """
    patience = 2.0
    ((host, routes),) = relaying.route_table.routes_by_host.items()
    routes = [replace(route, caller_patience=patience) for route in routes]
    relaying.route_table = replace(relaying.route_table, routes_by_host={host: routes})
    _fill(relaying)
    relaying.arrive(STREAM, number=1, time_limit=6.0)
    for index in range(1, 20):
        _stream(relaying, until=index * 0.1)
        relaying.requests.tick(now=index * 0.1)
    assert list(_refused(relaying)) == [1]


def test_caller_that_returns_is_as_old_as_its_first_try() -> None:
    """Guard against refused callers that begin to wait anew at another host."""
    relaying = _relaying(n_servers=0)
    relaying.arrive(STREAM, number=1, time_limit=6.0)
    relaying.arrive(STREAM, number=2, now=1.0, time_limit=4.8)
    requests = relaying.requests.requests_by_number
    assert [requests[n].age_at_arrival for n in (1, 2)] == pytest.approx([0.0, 1.2])
    assert requests[2].on_time_until < 1.0
    route = requests[1].route
    ages = CallerAges()
    assert ages.age(route, requests[1].arrival) == 0.0


def test_long_deadline_makes_no_other_caller_late(relaying: Relaying) -> None:
    """Guard against one caller whose deadline is hours away.

    Nothing bounds the time that callers state on a route without a timeout, so that
    other callers would seem to have tried for hours.
    """
    ((host, routes),) = relaying.route_table.routes_by_host.items()
    routes = [replace(route, timeout=0.0) for route in routes]
    relaying.route_table = replace(relaying.route_table, routes_by_host={host: routes})
    relaying.arrive(STREAM, number=1, time_limit=3600.0)
    relaying.arrive(STREAM, number=2, time_limit=6.0)
    assert relaying.requests.requests_by_number[2].age_at_arrival == 0.0


def test_shares_forget_former_arrivals() -> None:
    """Guard against slots reserved for urgent callers that have left."""
    shares = RankShares()
    work = ("engines", "large")
    for now in (0.0, 1.0):
        shares.record(work, (False, 0), may_wait=1.0, now=now)
        shares.record(work, (False, 6), may_wait=1.0, now=now)
    assert shares.ahead(work, (False, 6), now=2.0) == (0.5, 0.1)
    assert shares.ahead(work, (False, 0), now=2.0) == (0.0, 0.0)
    later = 1.0 + RANK_WINDOW
    assert shares.ahead(work, (False, 6), now=later) == (0.0, 0.0)


def test_full_queue_refuses(
    relaying: Relaying, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against callers that ignore their time to retry and fill the memory."""
    monkeypatch.setattr(waiting, "MAX_WAITING_PER_ACCOUNT", 1)
    _fill(relaying)
    relaying.arrive(STREAM, number=1)
    relaying.arrive(STREAM, number=2)
    assert list(_refused(relaying)) == [2]
    assert _reasons(relaying) == ["queue_full"]


#: Servers, by their numbers, to which the release before contended services sent the
#: requests of ``test_other_services_are_decided_as_before``.
FORMER_CHOICES = "0 4 3 1 2 2 3 4 0 0 4 1 3 0 2 3 1 4 2 1"


@pytest.mark.parametrize("beside_contended", [False, True])
@pytest.mark.parametrize("mode", ContentionMode)
def test_other_services_are_decided_as_before(
    mode: ContentionMode, beside_contended: bool
) -> None:
    """Guard against changed decisions, or random draws, where no capacity is shared.

    Requests of a contended service at the same host must not change them either.
    """
    relaying = _relaying(n_servers=5, contention=mode)
    relaying.balancer.set_heartbeat_interval(interval=0.4, n_zone_peers=9, n_hosts=10)
    kind = RouteKind.IDEMPOTENT
    if not beside_contended:
        relaying.route_table = Relaying().route_table
        kind = STREAM
    for number in range(40):
        now = number * 0.02
        relaying.arrive(kind, number=number, now=now)
        if beside_contended and mode is ContentionMode.ON:
            relaying.arrive(STREAM, number=100 + number, now=now)
        relaying.requests.tick(now=now)
    relaying.requests.tick(now=1.5)
    sent = [item for item in relaying.sent if item.request_number < 100]
    assert " ".join(item.server_id[1:] for item in sent) == FORMER_CHOICES
    assert [number for number in _refused(relaying) if number < 100] == list(
        range(20, 26)
    )
