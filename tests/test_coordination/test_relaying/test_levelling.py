"""Test how requests are spread by loads that are no longer current."""

from __future__ import annotations

import pytest

from benchmarks.stale_balance import FLEETS, play
from ryelever.coordination.relaying.levelling import (
    ServerLoad,
    UnreportedRequests,
    spread_weights,
)

from ..test_groups.group_fakes import server

#: Share of the requests that may meet a full group while other groups have free slots.
FULL_GROUPS = 0.02


def _loads(*loads: float, remote: tuple[float, ...] = ()) -> list[ServerLoad]:
    return [
        ServerLoad(
            server=server(f"s{index}"),
            is_local_zone=index < len(loads),
            in_flight=round(load),
            load=load,
        )
        for index, load in enumerate((*loads, *remote))
    ]


def test_only_the_least_loaded_server_is_drawn_if_all_requests_are_reported() -> None:
    weights = spread_weights(
        _loads(3.0, 1.0, 2.0), local=0.0, remote=0.0, remote_penalty=1.5
    )
    assert [weight > 0 for weight in weights] == [False, True, False]


def test_unreported_requests_level_the_loads() -> None:
    weights = spread_weights(
        _loads(3.0, 1.0, 9.0), local=4.0, remote=0.0, remote_penalty=1.5
    )
    assert weights == pytest.approx([1.0, 3.0, 0.0])


def test_unreported_requests_of_other_zones_fill_their_own_servers() -> None:
    """Guard against needless traffic between equally loaded zones.

    Hosts estimate the requests that other hosts have not reported yet. If all of these
    counted for the servers of the local zone, servers of other zones would look idle,
    and more than half of all requests would cross zones although each zone has free
    slots. Hosts of other zones send to their own servers meanwhile as well.
    """
    weights = spread_weights(
        _loads(5.0, 5.0, remote=(5.0, 5.0)), local=4.0, remote=4.0, remote_penalty=1.5
    )
    assert weights == pytest.approx([2.0, 2.0, 0.0, 0.0])


def test_full_zone_sends_to_other_zones() -> None:
    weights = spread_weights(
        _loads(12.0, remote=(2.0, 2.0)), local=4.0, remote=1.0, remote_penalty=1.5
    )
    assert weights[0] == 0.0
    assert min(weights[1:]) > 0.0


def test_unreported_requests_follow_from_the_mean_duration() -> None:
    unreported = UnreportedRequests()
    unreported.set_interval(interval=0.4, n_zone_peers=4, n_hosts=10)
    for _ in range(200):
        unreported.record_duration(("engines", "m"), 0.8)
    local, remote = unreported.expected(("engines", "m"), n_in_flight=100)
    assert (local, remote) == pytest.approx((20.0, 25.0))
    assert unreported.mean_durations() == pytest.approx({"engines m": 0.8})


@pytest.mark.parametrize("name", FLEETS)
def test_no_group_is_full_while_others_have_free_slots(name: str) -> None:
    """Guard against full groups while others have free slots, with late heartbeats.

    Heartbeats arrive every 0.4 s, in which time the hosts of a zone send a third as
    many requests as are in flight. If no host estimates what the others send before
    their next heartbeats, all send to the group that looked least loaded: with groups
    that are half full on average, every fifth request meets a full group and is late.
    """
    size = FLEETS[name]
    found, n_refused, _ = play(size, seed=1)
    assert n_refused == 0
    assert sum(item >= size.slots for item in found) <= FULL_GROUPS * len(found)
