"""Test the choice of the backend server for a relayed request."""

from __future__ import annotations

from collections import Counter

import pytest
from msgspec.structs import replace

from ryelever.coordination.relaying.balance import (
    FIRST_AVOIDANCE,
    MAX_AVOIDANCE,
    QUEUED_PER_SERVER,
    STALE_ENTRY_AVOIDANCE,
    STALL_AVOIDANCE,
    Balancer,
)
from ryelever.coordination.relaying.retry_budget import RelayRetryBudget
from ryelever.coordination.relaying.stall_watch import (
    FIRST_EVENT_SILENCE,
    STALL_REPORTED_FOR,
    STREAM_SILENCE,
    StallWatch,
)
from ryelever.coordination.removals import MIN_OUTAGE, RECORDS_RETURN_TIME, Removals
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
def test_unsuitable_servers_get_no_requests(
    directory: Directory, balancer: Balancer, changes: dict[str, object]
) -> None:
    directory.put(_head("a", **changes), now=0.0)
    assert _choose(balancer) is None


def test_least_loaded_server_is_chosen_by_requests_of_all_hosts(
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


def test_local_zone_is_preferred_unless_it_is_busier(
    directory: Directory, balancer: Balancer
) -> None:
    directory.put(_head("far", zone="y"), now=0.0)
    directory.put(_head("near"), now=0.0)
    balancer.sent("near")
    assert _choose(balancer) == "near"
    balancer.sent("near")
    assert _choose(balancer) == "far"


def test_full_server_gets_no_requests(directory: Directory, balancer: Balancer) -> None:
    directory.put(_head("a"), now=0.0)
    for _ in range(13 + QUEUED_PER_SERVER):
        assert _choose(balancer) == "a"
        balancer.sent("a")
    assert _choose(balancer) is None


def test_failing_server_is_avoided_longer_each_time(
    directory: Directory, balancer: Balancer
) -> None:
    directory.put(_head("a"), now=0.0)
    now = 0.0
    pauses = []
    for _ in range(6):
        balancer.failed("a", now=now)
        # A second failure at the same time does not count.
        balancer.failed("a", now=now)
        pauses.append(balancer.record("a").avoided_until - now)
        now = balancer.record("a").avoided_until
        assert _choose(balancer, now=now) == "a"
    assert pauses[0] == FIRST_AVOIDANCE
    assert pauses[-1] == pauses[-2] == MAX_AVOIDANCE
    balancer.succeeded("a", sent_at=now)
    balancer.failed("a", now=now)
    assert balancer.record("a").avoided_until == now + FIRST_AVOIDANCE


def test_answer_to_an_earlier_request_does_not_end_an_avoidance(
    directory: Directory, balancer: Balancer
) -> None:
    """Avoid a server that refuses new requests and goes on with those that it runs."""
    directory.put(_head("a"), now=0.0)
    balancer.failed("a", now=1.0)
    balancer.failed("a", now=1.0 + FIRST_AVOIDANCE)
    avoided_until = balancer.record("a").avoided_until
    balancer.succeeded("a", sent_at=0.9)
    balancer.clear_stall("a")
    assert _choose(balancer, now=avoided_until - 0.1) is None
    balancer.failed("a", now=avoided_until)
    assert balancer.record("a").avoided_until == avoided_until + 4 * FIRST_AVOIDANCE


def test_progress_ends_only_the_avoidance_for_a_stall(
    directory: Directory, balancer: Balancer
) -> None:
    directory.put(_head("a"), now=0.0)
    balancer.mark_stalled("a", now=1.0)
    balancer.failed("a", now=1.0)
    balancer.clear_stall("a")
    assert _choose(balancer, now=1.0 + FIRST_AVOIDANCE - 0.1) is None
    assert _choose(balancer, now=1.0 + FIRST_AVOIDANCE) == "a"


def test_stalled_group_is_avoided_until_it_makes_progress(
    directory: Directory, balancer: Balancer
) -> None:
    directory.put(_head("a"), now=0.0)
    balancer.mark_stalled("a", now=1.0)
    assert _choose(balancer, now=1.0 + STALL_AVOIDANCE - 0.1) is None
    balancer.clear_stall("a")
    assert _choose(balancer, now=1.1) == "a"


def test_new_and_removed_groups_take_effect_at_once(
    directory: Directory, balancer: Balancer
) -> None:
    assert _choose(balancer) is None
    directory.put(_head("a"), now=0.0)
    assert _choose(balancer) == "a"
    directory.remove("a", last_renewed_at=0.0)
    assert _choose(balancer) is None


# Stalled groups


@pytest.fixture
def watch() -> StallWatch:
    return StallWatch()


def _stalled_at(watch: StallWatch, start: float, end: float) -> float | None:
    for index in range(int((end - start) / 0.05) + 1):
        now = start + index * 0.05
        if watch.newly_stalled(now=now):
            return now
    return None


def test_silence_of_all_streams_is_a_stall(watch: StallWatch) -> None:
    watch.newly_stalled(now=0.0)
    watch.began("a", "s1", now=0.0)
    watch.began("a", "s2", now=0.0)
    watch.progressed("a", "s1", now=0.05)
    stalled_at = _stalled_at(watch, 0.05, 2.0)
    assert STREAM_SILENCE < stalled_at - 0.05 <= STREAM_SILENCE + 0.1
    assert watch.still(now=stalled_at) == ["a"]
    assert watch.still(now=stalled_at + STALL_REPORTED_FOR + 0.1) == []


def test_progress_of_one_stream_prevents_a_stall(watch: StallWatch) -> None:
    watch.newly_stalled(now=0.0)
    watch.began("a", "s1", now=0.0)
    watch.began("a", "s2", now=0.0)
    for index in range(40):
        now = index * 0.05
        watch.progressed("a", "s1", now=now)
        assert watch.newly_stalled(now=now) == []
        assert watch.has_progressed("a", now=now)


def test_stream_that_waits_while_others_end_is_no_stall(watch: StallWatch) -> None:
    """Guard against sound groups that are avoided for the streams in their queues."""
    watch.newly_stalled(now=0.0)
    watch.began("a", "s1", now=0.0)
    watch.began("a", "s2", now=0.0)
    watch.progressed("a", "s1", now=0.05)
    watch.ended("a", "s1")
    assert watch.has_progressed("a", now=0.1)
    stalled_at = _stalled_at(watch, 0.05, 3.0)
    assert FIRST_EVENT_SILENCE < stalled_at - 0.05 <= FIRST_EVENT_SILENCE + 0.1


def test_first_event_may_take_longer(watch: StallWatch) -> None:
    watch.newly_stalled(now=0.0)
    watch.began("a", "s1", now=0.0)
    stalled_at = _stalled_at(watch, 0.0, 3.0)
    assert FIRST_EVENT_SILENCE < stalled_at <= FIRST_EVENT_SILENCE + 0.1


def test_group_without_streams_is_not_stalled(watch: StallWatch) -> None:
    watch.newly_stalled(now=0.0)
    watch.began("a", "s1", now=0.0)
    watch.ended("a", "s1")
    assert _stalled_at(watch, 0.0, 3.0) is None


def test_restarted_server_is_not_avoided(
    directory: Directory, balancer: Balancer
) -> None:
    """Guard against avoiding a restarted server for failures of its former incarnation.

    A server crashes, its requests fail, and it starts again under the same id. With
    failures counted by id alone, a head that serves again gets no request for four
    seconds.
    """
    directory.put(_head("a", started_at=1), now=0.0)
    assert _choose(balancer) == "a"
    balancer.failed("a", now=0.0)
    assert _choose(balancer, now=0.1) is None
    directory.put(_head("a", started_at=2), now=0.2)
    assert _choose(balancer, now=0.2) == "a"


# Entries that expire during an outage of the store


def test_removals_wait_for_entries_that_expired_in_an_outage() -> None:
    """Guard against removing all backend servers when the store returns.

    The store is down for five seconds and entries expire meanwhile. All entries return
    within two seconds, but the removals are read first: without a delay, no backend
    server is known for two seconds after the outage.
    """
    removals = Removals(renewal_interval=1.2)
    removals.record_reads(answered_at=1.0, failed_at=float("-inf"))
    removals.record_reads(answered_at=1.0 + MIN_OUTAGE + 4.0, failed_at=3.0)
    back = 1.0 + MIN_OUTAGE + 4.0
    removals.add("a", now=back)
    removals.add("b", now=back)
    assert removals.due(now=back + 1.0) == []
    removals.cancel("a")
    assert removals.due(now=back + RECORDS_RETURN_TIME) == ["b"]


def test_unreadable_entry_removes_its_server_unless_rewritten() -> None:
    removals = Removals(renewal_interval=1.0)
    removals.add_unreadable("a", now=0.0)
    removals.add_unreadable("b", now=0.0)
    assert removals.due(now=1.9) == []
    assert removals.cancel("a")
    removals.add_unreadable("b", now=1.9)
    assert removals.due(now=2.0) == ["b"]


def test_removals_take_effect_at_once_while_reads_are_answered() -> None:
    removals = Removals(renewal_interval=1.2)
    removals.record_reads(answered_at=1.0, failed_at=float("-inf"))
    removals.record_reads(answered_at=1.4, failed_at=1.2)
    removals.add("a", now=1.4)
    assert removals.due(now=1.4) == ["a"]


# Retry budget


def _retry(budget: RelayRetryBudget, service: str = "s", *, now: float) -> bool:
    """Send a retry at once if the budget allows it; return whether it does."""
    if not budget.reserve(service, now=now):
        return False
    budget.sent(service, now=now)
    return True


def test_retries_are_limited_to_ratio_and_slack() -> None:
    n_hosts = 1
    budget = RelayRetryBudget(
        ratio=0.2, slack=20.0, window=10.0, n_hosts=lambda: n_hosts
    )
    for _ in range(100):
        budget.record_request("s", now=0.0)
    allowed = sum(_retry(budget, now=1.0) for _ in range(100))
    assert 0 < allowed <= 0.2 * 100 + 20
    assert _retry(budget, "other", now=1.0)
    assert not _retry(budget, now=9.9)
    assert _retry(budget, now=11.1)
    n_hosts = 20
    many = RelayRetryBudget(ratio=0.2, slack=20.0, window=10.0, n_hosts=lambda: n_hosts)
    assert sum(_retry(many, now=1.0) for _ in range(100)) <= 1


def test_reserved_retries_count_until_they_are_sent_or_released() -> None:
    """Guard against waiting retries that exceed the budget together."""
    budget = RelayRetryBudget(ratio=0.2, slack=10.0, window=10.0, n_hosts=lambda: 1)
    n_reserved = sum(budget.reserve("s", now=0.0) for _ in range(100))
    assert 0 < n_reserved <= 10
    assert not budget.reserve("s", now=20.0)
    budget.release("s")
    assert budget.reserve("s", now=20.0)
    for _ in range(n_reserved):
        budget.sent("s", now=21.0)
    assert not budget.reserve("s", now=30.9)
    assert budget.reserve("s", now=31.1)


def test_part_of_the_slack_grows_after_the_start() -> None:
    """Guard against a host that uses its part of the slack again after a restart."""
    budget = RelayRetryBudget(
        ratio=0.2, slack=20.0, window=10.0, n_hosts=lambda: 1, since=5.0
    )
    n_by_second = {
        second: sum(_retry(budget, now=5.0 + second) for _ in range(100))
        for second in (0.0, 2.5, 5.0, 10.0)
    }
    assert n_by_second[0.0] == 0
    assert 0 < n_by_second[2.5] <= 5
    assert 0 < sum(n_by_second.values()) <= 20


def test_server_with_a_stale_entry_is_avoided(
    directory: Directory, balancer: Balancer
) -> None:
    """Guard against a stale entry that costs each request one attempt.

    A head restarts during an outage of the store. Its old entry stays in the list, and
    the head answers that it is another incarnation. If the head is avoided for half a
    second only, it is chosen again as the least loaded server of all, and a tenth of
    the requests are refused throughout the outage.
    """
    directory.put(_head("a"), now=0.0)
    balancer.mark_entry_stale("a", now=1.0)
    assert _choose(balancer, now=1.0) is None
    assert _choose(balancer, now=0.9 + STALE_ENTRY_AVOIDANCE) is None
    assert _choose(balancer, now=1.1 + STALE_ENTRY_AVOIDANCE) == "a"
    balancer.mark_entry_stale("a", now=20.0)
    directory.put(_head("a", address="10.0.0.9:81"), now=0.0)
    assert _choose(balancer, now=20.1) == "a"


def test_unreachable_zone_is_used_last(
    directory: Directory, balancer: Balancer
) -> None:
    """Guard against a partition between zones that costs each request one attempt.

    No host outside the zone reaches its servers, so the servers look idle. If each
    server is avoided individually, although no heartbeats are received from the zone,
    each is tried again every few seconds, and there are many of them: a third of the
    requests in other zones fail once, and some use up their attempts.
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
    # The zone's hosts may be down while its servers run: better than refusing.
    assert _choose(balancer) == "far"


def _spread(n_hosts: int, *, interval: float) -> int:
    """Return how many hosts chose the most popular server, given outdated loads."""
    chosen: Counter[str] = Counter()
    for seed in range(n_hosts):
        directory = Directory()
        for index in range(12):
            directory.put(_head(f"h{index}"), now=0.0)
        balancer = Balancer(directory=directory, zone="z", seed=seed)
        balancer.set_heartbeat_interval(
            interval=interval, n_zone_peers=n_hosts - 1, n_hosts=n_hosts
        )
        # One group looks a little less loaded than the others to all hosts.
        balancer.peers_in_flight_by_id.update({f"h{index}": 3 for index in range(12)})
        balancer.peers_in_flight_by_id["h7"] -= 1
        chosen[_choose(balancer)] += 1
    return max(chosen.values())


def test_hosts_with_late_heartbeats_spread_their_requests() -> None:
    """Guard against many hosts that all send to the same group.

    In a large zone, heartbeats arrive every 0.8 s. Meanwhile thirty hosts see the same
    group as the least loaded one. If all of them send to that group, one group after
    the other is full and refuses requests while others are idle.
    """
    assert _spread(30, interval=0.2) <= 10
    assert _spread(30, interval=0.8) <= 10


def test_hosts_with_current_loads_choose_the_least_loaded_server() -> None:
    assert _spread(30, interval=0.0) == 30


def test_full_servers_are_never_drawn(directory: Directory) -> None:
    for index in range(12):
        directory.put(_head(f"h{index}"), now=0.0)
    balancer = Balancer(directory=directory, zone="z", seed=1)
    balancer.set_heartbeat_interval(interval=2.0, n_zone_peers=29, n_hosts=30)
    for index in range(11):
        balancer.peers_in_flight_by_id[f"h{index}"] = 1000
    assert {_choose(balancer) for _ in range(20)} == {"h11"}


def test_servers_of_other_zones_are_sampled(directory: Directory) -> None:
    for index in range(300):
        zone = "z" if index < 10 else "y"
        directory.put(_head(f"h{index}", zone=zone), now=0.0)
    balancer = Balancer(directory=directory, zone="z", seed=1)
    balancer.set_heartbeat_interval(interval=0.4, n_zone_peers=30, n_hosts=390)
    assert {_choose(balancer) for _ in range(200)} <= {f"h{i}" for i in range(10)}
    balancer.peers_in_flight_by_id.update({f"h{index}": 10 for index in range(10)})
    remote = {_choose(balancer) for _ in range(200)}
    assert len(remote) > 50
    balancer.peers_in_flight_by_id.update({f"h{index}": 1000 for index in range(300)})
    balancer.peers_in_flight_by_id["h250"] = 0
    # All servers are examined before a request is refused for lack of a free slot.
    assert {_choose(balancer) for _ in range(20)} == {"h250"}


def test_servers_of_an_evacuated_zone_get_no_requests(directory: Directory) -> None:
    """Guard against requests to a zone that the operator has evacuated."""
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
