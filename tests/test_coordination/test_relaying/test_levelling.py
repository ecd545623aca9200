"""Test how requests are spread by loads that were told a while ago."""

from __future__ import annotations

import pytest

from benchmarks.stale_balance import FLEETS, play
from ryelever.coordination.relaying.levelling import (
    ServerLoad,
    UnreportedRequests,
    spread,
)

from ..test_groups.group_fakes import server

#: Part of the requests that may meet a full group while others have places.
FULL_GROUPS = 0.02


def _loads(*loads: float, far: tuple[float, ...] = ()) -> list[ServerLoad]:
    return [
        ServerLoad(
            server=server(f"s{index}"),
            is_near=index < len(loads),
            in_flight=round(load),
            load=load,
        )
        for index, load in enumerate((*loads, *far))
    ]


def test_with_nothing_unheard_only_the_least_loaded_is_drawn() -> None:
    weights = spread(_loads(3.0, 1.0, 2.0), near=0.0, far=0.0, distance=1.5)
    assert [weight > 0 for weight in weights] == [False, True, False]


def test_what_was_sent_unheard_levels_out_the_loads() -> None:
    weights = spread(_loads(3.0, 1.0, 9.0), near=4.0, far=0.0, distance=1.5)
    assert weights == pytest.approx([1.0, 3.0, 0.0])


def test_far_servers_get_what_their_own_hosts_send_first() -> None:
    """Show that zones that are alike keep their requests.

    Symptom: more than half of all requests cross zones though each has places.
    Sequence: hosts hear late of each other and reckon with what is sent meanwhile;
    all of it was taken to go to near servers, so that far ones looked idle.
    Cause: hosts of other zones send there meanwhile as well.
    """
    weights = spread(_loads(5.0, 5.0, far=(5.0, 5.0)), near=4.0, far=4.0, distance=1.5)
    assert weights == pytest.approx([2.0, 2.0, 0.0, 0.0])


def test_a_zone_without_room_sends_to_others() -> None:
    weights = spread(_loads(12.0, far=(2.0, 2.0)), near=4.0, far=1.0, distance=1.5)
    assert weights[0] == 0.0
    assert min(weights[1:]) > 0.0


def test_as_many_come_unheard_as_are_under_way_for_that_long() -> None:
    unheard = UnreportedRequests()
    unheard.hear(interval=0.4, n_near=4, n_hosts=10)
    for _ in range(200):
        unheard.took(("engines", "m"), 0.8)
    near, far = unheard.expected(("engines", "m"), n_in_flight=100)
    assert (near, far) == pytest.approx((20.0, 25.0))
    assert unheard.times_by_work() == pytest.approx({"engines m": 0.8})


@pytest.mark.parametrize("name", FLEETS)
def test_no_group_is_full_while_others_have_places(name: str) -> None:
    """Play many hosts that hear of each other's requests after some tenths.

    Symptom: of groups that are half full on average, every fifth request meets one
    without a place, and is late.  Sequence: words come every 0.4 s, within which the
    hosts of a zone send a third as many requests as are under way; all go to the group
    that looked least loaded in the last words.  Cause: no host reckons with what the
    others send before they are heard again.
    """
    size = FLEETS[name]
    found, n_refused, _ = play(size, seed=1)
    assert n_refused == 0
    assert sum(item >= size.slots for item in found) <= FULL_GROUPS * len(found)
