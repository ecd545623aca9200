"""Test which requests of contended services are sent, and to which servers."""

from __future__ import annotations

import random

import pytest

from ryelever.coordination.relaying.batch_room import BatchRoom, Competitors
from ryelever.coordination.relaying.levelling import ServerLoad
from ryelever.relay_settings import ContentionMode

from ..test_groups.group_fakes import server
from .fleet_fakes import Fleet, Outcome

#: Seconds within which a request has to start to be on time.
ON_TIME = 0.42


def _room(*, draw: float = 0.0, time_left: float = 0.4, **competitors) -> BatchRoom:
    return BatchRoom(
        competitors=Competitors(**competitors),
        time_left=time_left,
        first_event=0.1,
        slowness=lambda server: 3.0 if server.id == "slow" else 1.0,
        effective_slots=lambda server: server.slots,
        mean_duration=1.3,
        interval=0.4,
        peers_share=0.9,
        draw=draw,
    )


def _load(server_id: str, *, peers: int = 0, own: int = 0) -> ServerLoad:
    return ServerLoad(
        server=server(server_id),
        is_local_zone=True,
        in_flight=own + peers,
        load=own + peers,
        n_peers=peers,
    )


def _is_sent(room: BatchRoom, *loads: ServerLoad) -> bool:
    return bool(room.with_room(list(loads), scale=1.0))


def _share_sent(*loads: ServerLoad, **competitors) -> float:
    draws = [(index + 0.5) / 200 for index in range(200)]
    sent = [_is_sent(_room(draw=draw, **competitors), *loads) for draw in draws]
    return sum(sent) / len(sent)


def test_requests_queue_only_while_they_can_be_on_time() -> None:
    """Guard against queues at groups that make requests late.

    A slot becomes free every 0.1 s. Late requests queue as well, with a priority with
    which the group admits them after those on time.
    """
    fast, slow = server("fast"), server("slow")
    assert _room(time_left=0.4).limit(fast, slots=13) == 13 + 2
    assert _room(time_left=0.25).limit(fast, slots=13) == 13 + 1
    assert _room(time_left=0.45).limit(slow, slots=13) == 13 + 1
    assert _room(time_left=0.0).limit(fast, slots=13) == 13 + 2


def test_free_slots_are_shared_with_equals_of_other_hosts() -> None:
    """Guard against all hosts that send to the slots which one group reports free."""
    free = _load("new")
    assert _share_sent(free, n_peers_equal=14) == 1.0
    assert _share_sent(free, n_peers_equal=59) == pytest.approx(15 / 60, abs=0.02)


def test_less_urgent_requests_get_what_others_leave() -> None:
    """Guard against a lottery in which late requests win slots from those on time."""
    free = _load("new")
    assert _share_sent(free, n_peers_ahead=20, n_peers_equal=9) == 0.0
    assert _share_sent(free, n_peers_ahead=10, n_peers_equal=9) == 0.5
    # At the end of its wait, the request is one of 30 that are served alike.
    at_end = {"n_peers_ahead": 20, "n_peers_equal": 9, "patience": 0.0}
    assert _share_sent(free, **at_end) == pytest.approx(15 / 30, abs=0.02)


def test_reserve_holds_for_less_urgent_requests_only_for_a_while() -> None:
    """Guard against urgent requests that find no room, and slots that stay idle."""
    busy = _load("busy", own=13)
    waits = {"share_ahead": 0.9, "reserved_time": 0.27, "time_left": 0.4}
    assert not _is_sent(_room(draw=0.0, **waits), busy)
    assert _is_sent(_room(time_left=0.4), busy)
    half = [busy, _load("idle")]
    assert _is_sent(_room(draw=0.5, **waits), *half)


def test_reported_requests_of_peers_end_and_own_ones_are_known() -> None:
    """Guard against idle slots while the report of their freedom is in transit."""
    assert not _is_sent(_room(), _load("a", own=15))
    assert _is_sent(_room(), _load("a", peers=15))
    [option] = _room().with_room([_load("a", peers=13)], scale=1.0)
    assert option.load == pytest.approx(13 - 4)


def test_full_group_is_not_taken_for_a_slow_one() -> None:
    """Guard against slots that count less because requests queue at the group."""
    room = _room()
    room.with_room([_load("a", own=14), _load("b")], scale=1.0)
    assert room.first_event_at(server("b")) == pytest.approx(0.1, abs=0.01)
    assert room.first_event_at(server("a")) > 0.1 + 0.2


# Load patterns


def _play(
    fleet: Fleet, load: float, seconds: float, *, keys: str = "key", seed: int = 3
) -> None:
    """Let requests arrive at a load, in proportion to the slots, at random hosts."""
    draws = random.Random(seed)
    n_slots = fleet.slots * fleet.n_groups
    names = keys.split()
    until = fleet.now + seconds
    while fleet.now < until:
        for _ in range(400):
            if draws.random() < load * n_slots * 0.05 / 400:
                key = draws.choice(names)
                fleet.arrive(draws.randrange(len(fleet.hosts)), key=key)
        fleet.step()


def _share_on_time(outcomes: list[Outcome], key: str = "") -> float:
    counted = [item for item in outcomes if key in ("", item.key)]
    on_time = [
        item
        for item in counted
        if item.started_after is not None and item.started_after <= ON_TIME
    ]
    return len(on_time) / len(counted)


def test_group_that_opens_is_not_flooded() -> None:
    """Guard against a new group to which all hosts send their waiting requests.

    30 hosts with waiting requests hear of the others' requests 0.1 to 0.5 s later.
    """
    fleet = Fleet(n_hosts=30, n_groups=2, slots=20)
    _play(fleet, 3.0, 2.0)
    assert fleet.n_waiting() > 60
    opened = fleet.open_group()
    for _ in range(10):
        fleet.step()
    assert 10 <= fleet.most_at_group[opened] <= 20 + 8


def test_full_groups_serve_new_requests_on_time_beside_late_ones() -> None:
    """Guard against an overload in which all requests are late.

    All requests are equally urgent, and more than the groups can serve by 0.3.
    """
    fleet = Fleet(n_hosts=25, n_groups=8, slots=20)
    _play(fleet, 1.3, 7.0)
    before = Fleet(n_hosts=25, n_groups=8, slots=20, contention=ContentionMode.OFF)
    _play(before, 1.3, 7.0)
    shares = [_share_on_time(found.outcomes[300:-100]) for found in (fleet, before)]
    assert shares[0] > 0.4 > 0.3 > shares[1]
    assert fleet.n_idle < 0.05 * 160 * 7.0


def test_urgent_requests_are_on_time_beside_less_urgent_ones() -> None:
    """Guard against urgent callers that are late although they need half the slots."""
    fleet = Fleet(n_hosts=25, n_groups=8, slots=20)
    _play(fleet, 1.2, 8.0, keys="key batch")
    outcomes = fleet.outcomes[300:-300]
    assert _share_on_time(outcomes, "key") > 0.9
    served = [item for item in outcomes if item.key == "batch" and item.started_after]
    assert len(served) > 0.3 * len(outcomes) / 2


def test_less_urgent_requests_are_served_in_the_end() -> None:
    """Guard against less urgent requests that a steady urgent overload starves."""
    fleet = Fleet(n_hosts=25, n_groups=4, slots=20)
    _play(fleet, 1.4, 12.0, keys="key key key key key key batch")
    waited = [item for item in fleet.outcomes if item.key == "batch"][20:-60]
    served = [item for item in waited if item.started_after is not None]
    assert len(served) > 0.2 * len(waited)


def test_overload_ends_within_three_seconds_of_its_cause() -> None:
    """Guard against late requests of a burst that make others late after it."""
    fleet = Fleet(n_hosts=25, n_groups=8, slots=20)
    _play(fleet, 0.8, 3.0)
    _play(fleet, 1.6, 3.0)
    _play(fleet, 0.8, 3.0)
    n_before = len(fleet.outcomes)
    _play(fleet, 0.8, 4.0)
    assert _share_on_time(fleet.outcomes[n_before:-100]) > 0.9
