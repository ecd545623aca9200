"""Test which backend server gets a relayed request."""

from __future__ import annotations

from collections import Counter

import pytest
from msgspec.structs import replace

from ryelever.coordination.relaying.balance import (
    DISOWNED_FOR,
    FIRST_AVOIDANCE,
    MAX_AVOIDANCE,
    STALL_AVOIDANCE,
    WAITING_AT_SERVER,
    Balancer,
)
from ryelever.coordination.relaying.repeat_budget import RepeatBudget
from ryelever.coordination.relaying.stall_watch import (
    FIRST_SILENCE,
    SILENCE,
    STALL_REPORTED_FOR,
    StallWatch,
)
from ryelever.coordination.removals import ENTRIES_BACK, OUTAGE, Removals
from ryelever.state.directory import BackendServer, Directory, GroupReport, GroupState

from ..test_groups.group_fakes import server


def _head(server_id: str, *, zone: str = "z", **changes: object) -> BackendServer:
    group = GroupReport(name=server_id, epoch=1, rank=0, state=GroupState.OPEN)
    found = server(server_id, zone=zone, models=frozenset({"large"}), group=group)
    return replace(found, **changes)


@pytest.fixture
def directory() -> Directory:
    return Directory()


@pytest.fixture
def balancer(directory: Directory) -> Balancer:
    return Balancer(directory=directory, zone="z", seed=1)


def _choose(balancer: Balancer, *, now: float = 0.0, **changes: object) -> str | None:
    excluded = changes.get("excluded", set())
    chosen = balancer.choose("engines", "large", excluded=excluded, now=now)
    return chosen.id if chosen else None


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"draining": True}, id="leaving"),
        pytest.param({"group": None}, id="no-group"),
        pytest.param({"models": frozenset({"small"})}, id="other-model"),
        pytest.param(
            {"group": GroupReport(name="g", epoch=1, rank=1, state=GroupState.OPEN)},
            id="no-head",
        ),
        pytest.param(
            {"group": GroupReport(name="g", epoch=1, rank=0, state=GroupState.CLOSING)},
            id="closing",
        ),
        pytest.param(
            {"group": GroupReport(name="g", epoch=1, rank=0, state=GroupState.BROKEN)},
            id="broken",
        ),
    ],
)
def test_who_gets_nothing(
    directory: Directory, balancer: Balancer, changes: dict[str, object]
) -> None:
    directory.put(_head("a", **changes), now=0.0)
    assert _choose(balancer) is None


def test_the_least_loaded_over_all_hosts(
    directory: Directory, balancer: Balancer
) -> None:
    directory.put(_head("a"), now=0.0)
    directory.put(_head("b"), now=0.0)
    balancer.sent("a")
    assert _choose(balancer) == "b"
    balancer.peers_in_flight_by_id["b"] = 2
    assert _choose(balancer) == "a"
    balancer.ended("a")
    assert _choose(balancer, excluded={"a"}) == "b"


def test_the_own_zone_unless_it_is_busier(
    directory: Directory, balancer: Balancer
) -> None:
    directory.put(_head("far", zone="y"), now=0.0)
    directory.put(_head("near"), now=0.0)
    balancer.sent("near")
    assert _choose(balancer) == "near"
    balancer.sent("near")
    assert _choose(balancer) == "far"


def test_a_full_server_gets_nothing(directory: Directory, balancer: Balancer) -> None:
    directory.put(_head("a"), now=0.0)
    for _ in range(13 + WAITING_AT_SERVER):
        assert _choose(balancer) == "a"
        balancer.sent("a")
    assert _choose(balancer) is None


def test_a_server_that_fails_is_left_alone_longer_each_time(
    directory: Directory, balancer: Balancer
) -> None:
    directory.put(_head("a"), now=0.0)
    now = 0.0
    pauses = []
    for _ in range(6):
        balancer.failed("a", now=now)
        # What fails with it at once counts once.
        balancer.failed("a", now=now)
        pauses.append(balancer.record("a").avoided_until - now)
        now = balancer.record("a").avoided_until
        assert _choose(balancer, now=now) == "a"
    assert pauses[0] == FIRST_AVOIDANCE
    assert pauses[-1] == pauses[-2] == MAX_AVOIDANCE
    balancer.succeeded("a")
    balancer.failed("a", now=now)
    assert balancer.record("a").avoided_until == now + FIRST_AVOIDANCE


def test_a_group_that_stands_still_is_left_alone_until_it_moves(
    directory: Directory, balancer: Balancer
) -> None:
    directory.put(_head("a"), now=0.0)
    balancer.mark_stalled("a", now=1.0)
    assert _choose(balancer, now=1.0 + STALL_AVOIDANCE - 0.1) is None
    balancer.clear_stall("a")
    assert _choose(balancer, now=1.1) == "a"


def test_new_groups_show_at_once(directory: Directory, balancer: Balancer) -> None:
    assert _choose(balancer) is None
    directory.put(_head("a"), now=0.0)
    assert _choose(balancer) == "a"
    directory.remove("a", heard_at=0.0)
    assert _choose(balancer) is None


# Groups that stand still


@pytest.fixture
def watch() -> StallWatch:
    return StallWatch()


def _still_at(watch: StallWatch, start: float, end: float) -> float | None:
    for index in range(int((end - start) / 0.05) + 1):
        now = start + index * 0.05
        if watch.newly_stalled(now=now):
            return now
    return None


def test_silence_of_all_streams_shows(watch: StallWatch) -> None:
    watch.newly_stalled(now=0.0)
    watch.began("a", "s1", now=0.0)
    watch.began("a", "s2", now=0.0)
    watch.progressed("a", now=0.05)
    still_at = _still_at(watch, 0.05, 2.0)
    assert SILENCE < still_at - 0.05 <= SILENCE + 0.1
    assert watch.still(now=still_at) == ["a"]
    assert watch.still(now=still_at + STALL_REPORTED_FOR + 0.1) == []


def test_one_stream_that_moves_is_enough(watch: StallWatch) -> None:
    watch.newly_stalled(now=0.0)
    watch.began("a", "s1", now=0.0)
    watch.began("a", "s2", now=0.0)
    for index in range(40):
        now = index * 0.05
        watch.progressed("a", now=now)
        assert watch.newly_stalled(now=now) == []
        assert watch.has_progressed("a", now=now)


def test_a_first_event_may_take_longer(watch: StallWatch) -> None:
    watch.newly_stalled(now=0.0)
    watch.began("a", "s1", now=0.0)
    still_at = _still_at(watch, 0.0, 3.0)
    assert FIRST_SILENCE < still_at <= FIRST_SILENCE + 0.1


def test_a_group_without_streams_is_not_still(watch: StallWatch) -> None:
    watch.newly_stalled(now=0.0)
    watch.began("a", "s1", now=0.0)
    watch.ended("a", "s1")
    assert _still_at(watch, 0.0, 3.0) is None


def test_a_server_that_was_started_anew_is_not_avoided(
    directory: Directory, balancer: Balancer
) -> None:
    """Show that what its former incarnation did isn't held against a server.

    Symptom: a head that is back and serves gets no request for four seconds.
    Sequence: a server crashes, its requests fail, and it starts again under its id.
    Cause: failures were counted by the id alone.
    """
    directory.put(_head("a", started_at=1), now=0.0)
    assert _choose(balancer) == "a"
    balancer.failed("a", now=0.0)
    assert _choose(balancer, now=0.1) is None
    directory.put(_head("a", started_at=2), now=0.2)
    assert _choose(balancer, now=0.2) == "a"


# Entries that lapse while the store is away


def test_entries_that_lapsed_in_an_outage_are_waited_for() -> None:
    """Show that the fleet isn't emptied when the store comes back.

    Symptom: no backend server is known for two seconds after an outage.
    Sequence: the store is down for five seconds, entries lapse meanwhile, and all are
    back within two seconds of its return.
    Cause: the removals are read first.
    """
    removals = Removals(heartbeat_interval=1.2)
    removals.note_reads(answered_at=1.0, failed_at=float("-inf"))
    removals.note_reads(answered_at=1.0 + OUTAGE + 4.0, failed_at=3.0)
    back = 1.0 + OUTAGE + 4.0
    removals.add("a", now=back)
    removals.add("b", now=back)
    assert removals.due(now=back + 1.0) == []
    removals.discard("a")
    assert removals.due(now=back + ENTRIES_BACK) == ["b"]


def test_an_entry_that_cannot_be_read_removes_its_server_unless_it_writes_again() -> (
    None
):
    removals = Removals(heartbeat_interval=1.0)
    removals.add_unreadable("a", now=0.0)
    removals.add_unreadable("b", now=0.0)
    assert removals.due(now=1.9) == []
    assert removals.discard("a")
    removals.add_unreadable("b", now=1.9)
    assert removals.due(now=2.0) == ["b"]


def test_removals_hold_at_once_while_reads_are_answered() -> None:
    removals = Removals(heartbeat_interval=1.2)
    removals.note_reads(answered_at=1.0, failed_at=float("-inf"))
    removals.note_reads(answered_at=1.4, failed_at=1.2)
    removals.add("a", now=1.4)
    assert removals.due(now=1.4) == ["a"]


# Repeats


def test_repeats_are_a_share_of_requests_and_of_the_slack() -> None:
    n_hosts = 1
    budget = RepeatBudget(ratio=0.2, slack=20.0, window=10.0, n_hosts=lambda: n_hosts)
    for _ in range(100):
        budget.requested("s", now=0.0)
    allowed = sum(budget.allow("s", now=1.0) for _ in range(100))
    assert 0 < allowed <= 0.2 * 100 + 20
    assert budget.allow("other", now=1.0)
    assert not budget.allow("s", now=9.9)
    assert budget.allow("s", now=11.1)
    n_hosts = 20
    many = RepeatBudget(ratio=0.2, slack=20.0, window=10.0, n_hosts=lambda: n_hosts)
    assert sum(many.allow("s", now=1.0) for _ in range(100)) <= 1


def test_a_server_that_its_entry_describes_wrongly_gets_nothing(
    directory: Directory, balancer: Balancer
) -> None:
    """Show that a stale entry costs one attempt, not one of each request.

    Symptom: a tenth of the requests are refused through an outage of the store.
    Sequence: a head is started anew while the store is away; its old entry stays in
    the list, and it answers that it is another incarnation.
    Cause: after half a second it was chosen again, as the least loaded of all.
    """
    directory.put(_head("a"), now=0.0)
    balancer.disowned("a", now=1.0)
    assert _choose(balancer, now=1.0) is None
    assert _choose(balancer, now=0.9 + DISOWNED_FOR) is None
    assert _choose(balancer, now=1.1 + DISOWNED_FOR) == "a"
    balancer.disowned("a", now=20.0)
    directory.put(_head("a", address="10.0.0.9:81"), now=0.0)
    assert _choose(balancer, now=20.1) == "a"


def test_a_zone_that_is_not_heard_comes_last(
    directory: Directory, balancer: Balancer
) -> None:
    """Show that a cut between zones doesn't cost each request one of its attempts.

    Symptom: while a zone is cut off, a third of the requests elsewhere fail once, and
    some use up their attempts.
    Sequence: the zone's servers look idle, as nobody outside reaches them; each is
    tried again every few seconds, and they are many.
    Cause: each server was avoided by itself, though their zone was not heard.
    """
    directory.put(_head("near"), now=0.0)
    directory.put(_head("far", zone="y"), now=0.0)
    for _ in range(10):
        balancer.sent("near")
    assert _choose(balancer) == "far"
    balancer.unreachable_zones = {"y"}
    assert _choose(balancer) == "near"
    while _choose(balancer) == "near":
        balancer.sent("near")
    # Its hosts may be away and its servers there: better than refusing.
    assert _choose(balancer) == "far"


def _spread(n_hosts: int, *, interval: float) -> int:
    """Let hosts that don't hear each other choose; return the most at one server."""
    chosen: Counter[str] = Counter()
    for seed in range(n_hosts):
        directory = Directory()
        for index in range(12):
            directory.put(_head(f"h{index}"), now=0.0)
        balancer = Balancer(directory=directory, zone="z", seed=seed)
        balancer.hear(interval=interval, n_near=n_hosts - 1, n_hosts=n_hosts)
        # One group looks a little less loaded than the others to all of them.
        balancer.peers_in_flight_by_id.update({f"h{index}": 3 for index in range(12)})
        balancer.peers_in_flight_by_id["h7"] -= 1
        chosen[_choose(balancer)] += 1
    return max(chosen.values())


def test_hosts_that_hear_late_of_each_other_spread_their_requests() -> None:
    """Let thirty hosts choose before they hear of each other's requests.

    Symptom: one group is full and refuses while others idle, by turns.  Sequence:
    in a large zone words come every 0.8 s, and meanwhile all hosts see the same group
    as the least loaded.  Cause: each sent to that one.
    """
    assert _spread(30, interval=0.2) <= 10
    assert _spread(30, interval=0.8) <= 10


def test_hosts_that_hear_at_once_send_to_the_least_loaded() -> None:
    assert _spread(30, interval=0.0) == 30


def test_what_is_full_is_left_out_of_the_draw(directory: Directory) -> None:
    for index in range(12):
        directory.put(_head(f"h{index}"), now=0.0)
    balancer = Balancer(directory=directory, zone="z", seed=1)
    balancer.hear(interval=2.0, n_near=29, n_hosts=30)
    for index in range(11):
        balancer.peers_in_flight_by_id[f"h{index}"] = 1000
    assert {_choose(balancer) for _ in range(20)} == {"h11"}


def test_far_servers_are_drawn_where_there_are_many(directory: Directory) -> None:
    for index in range(300):
        zone = "z" if index < 10 else "y"
        directory.put(_head(f"h{index}", zone=zone), now=0.0)
    balancer = Balancer(directory=directory, zone="z", seed=1)
    balancer.hear(interval=0.4, n_near=30, n_hosts=390)
    assert {_choose(balancer) for _ in range(200)} <= {f"h{i}" for i in range(10)}
    balancer.peers_in_flight_by_id.update({f"h{index}": 10 for index in range(10)})
    far = {_choose(balancer) for _ in range(200)}
    assert len(far) > 50
    balancer.peers_in_flight_by_id.update({f"h{index}": 1000 for index in range(300)})
    balancer.peers_in_flight_by_id["h250"] = 0
    # All are looked at before a request is told that there is no place.
    assert {_choose(balancer) for _ in range(20)} == {"h250"}


def test_a_server_of_an_evacuated_zone_gets_nothing(directory: Directory) -> None:
    """Guard against requests to a zone that the operator has asked to evacuate."""
    evacuated = {"z"}
    balancer = Balancer(
        directory=directory, zone="z", is_evacuated=evacuated.__contains__, seed=1
    )
    directory.put(_head("a"), now=0.0)
    assert _choose(balancer) is None
    directory.put(_head("b", zone="y"), now=0.0)
    assert _choose(balancer) == "b"
    evacuated.clear()
    assert _choose(balancer) == "a"
