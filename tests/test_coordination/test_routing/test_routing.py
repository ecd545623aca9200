"""Test the choice of a backend server."""

from __future__ import annotations

from collections import Counter

import pytest

from benchmarks.routing_fleet import FakeFleet, chat, service_call
from ryelever.state.observations import LoadRow

PROMPT = "p" * 600


def _fleet(**zones: int) -> FakeFleet:
    fleet = FakeFleet(zones=zones or {"a": 8})
    fleet.report_all(requested_at=0.0)
    return fleet


def _fill(router, n_requests: int, *, text: str = PROMPT, now: float = 0.1) -> Counter:
    names = Counter()
    for _ in range(n_requests):
        target = router.choose(chat(text), tried=(), now=now)
        router.started(target, now=now)
        names[target.name] += 1
    return names


def test_prefix_stays_at_one_group_within_the_load_bound() -> None:
    names = set()
    for seed in range(5):
        names |= set(_fill(_fleet().router(seed=seed), 4))
    assert len(names) == 1


def test_popular_prefix_is_spread() -> None:
    """160 requests with one prefix are spread over eight groups.

    Guards against affinity without a load bound: one group queues requests while seven
    idle, when many requests with a popular prompt arrive at once.
    """
    names = _fill(_fleet().router(), 160)
    assert len(names) == 8
    # Load totals are at most a quarter of a second old; here all requests arrive at
    # the same time.
    assert max(names.values()) <= 40


@pytest.mark.parametrize(
    ("tried", "expected"),
    [
        ((), {"a-0", "a-1"}),
        (("a-0",), {"a-1"}),
        (("a-0", "a-1"), {"a-0"}),
        (("a-1", "a-0"), {"a-1"}),
    ],
)
def test_never_the_same_group_twice_in_a_row(
    tried: tuple[str, ...], expected: set[str]
) -> None:
    """A retry never goes to the target of the previous attempt.

    Guards against a request whose attempts all fail on one broken group: the group
    fails fast, is therefore empty, and is chosen again unless the last target is
    excluded.
    """
    fleet = _fleet(a=2)
    chosen = {
        fleet.router(seed=seed).choose(chat(), tried=tried, now=0.1).name
        for seed in range(20)
    }
    assert chosen == expected


def test_only_target_is_not_retried() -> None:
    assert _fleet(a=1).router().choose(chat(), tried=("a-0",), now=0.1) is None


def _lose_local_zone(fleet: FakeFleet) -> None:
    for host in ("a-0-0", "a-1-0"):
        fleet.confirmations.record_unreachable(host)


def _load_local_zone(fleet: FakeFleet) -> None:
    for host in ("a-0-0", "a-1-0"):
        fleet.report(host, requested_at=0.1, running=30)


def _load_all_zones(fleet: FakeFleet) -> None:
    for host in fleet.hosts_by_name:
        fleet.report(host, requested_at=0.1, running=30)


@pytest.mark.parametrize(
    ("change", "zone"),
    [
        (lambda fleet: None, "a"),
        (_lose_local_zone, "b"),
        (_load_local_zone, "b"),
        (_load_all_zones, "a"),
    ],
    ids=["idle", "local zone lost", "local zone busy", "all busy"],
)
def test_local_zone_first_then_by_load(change, zone: str) -> None:
    """Requests go to another zone when the local zone is lost or much more loaded.

    Guards against callers that wait in one zone while accelerators idle in the next:
    the local zone gets more requests than it can serve but still has usable targets,
    and other zones are used only when it has none.
    """
    fleet = _fleet(a=2, b=2)
    change(fleet)
    for text in ("short", PROMPT):
        target = fleet.router().choose(chat(text), tried=(), now=0.2)
        assert target.name.startswith(zone)


def _load_in_report(fleet: FakeFleet) -> None:
    fleet.report("a-0-0", requested_at=0.1, running=30)


def _load_in_peer_count(fleet: FakeFleet) -> None:
    row = LoadRow(target="a-0", n_in_flight=30)
    fleet.loads.observed(row, peer="p", observed_at=0.1, now=0.1)


def _load_in_local_count(fleet: FakeFleet) -> None:
    for _ in range(30):
        fleet.loads.started("a-0", now=0.1)


@pytest.mark.parametrize(
    "add_load", [_load_in_report, _load_in_peer_count, _load_in_local_count]
)
def test_load_from_any_source_counts(add_load) -> None:
    """Load counts even if only one of the three sources shows it.

    Guards against requests that pile up on a group that seems idle: its report lags,
    or peers or this host have just sent it requests, and only one source of load is
    used.
    """
    fleet = _fleet(a=2)
    add_load(fleet)
    chosen = {
        fleet.router(seed=seed).choose(chat(text), tried=(), now=0.2).name
        for seed in range(10)
        for text in ("short", PROMPT)
    }
    # All draws of one seed may hit the loaded target; those of ten seeds mostly do not.
    assert chosen <= {"a-0", "a-1"} and "a-1" in chosen
    assert (
        fleet.router(seed=1)
        ._choose_from_all(
            fleet.targets.candidates(chat().work, now=0.2).local_zone,
            excluded=(),
            now=0.2,
        )
        .target.name
        == "a-1"
    )


@pytest.mark.parametrize(("now", "load"), [(1.0, 30.0), (6.0, 0.0)])
def test_old_counts_of_peers_are_ignored(now: float, load: float) -> None:
    fleet = _fleet(a=2)
    _load_in_peer_count(fleet)
    candidate = fleet.targets.candidates(chat().work, now=0.0).local_zone[0]
    assert fleet.loads.estimate(candidate, now=now) == load


def test_emptied_target_is_announced_as_empty() -> None:
    """A target that became empty is announced to peers with count 0.

    Guards against an idle group that gets no requests from peers: its last announced
    count is 30, and the exchange sends only rows that changed, so no row corrects the
    count if targets without requests are left out.
    """
    fleet = _fleet(a=2)
    fleet.loads.started("a-0", now=1.0)
    assert fleet.loads.observations(now=1.0) == [LoadRow(target="a-0", n_in_flight=1)]
    fleet.loads.ended("a-0", now=2.0)
    assert fleet.loads.observations(now=2.0) == [LoadRow(target="a-0", n_in_flight=0)]
    assert fleet.loads.observations(now=8.0) == []


def test_straggler_is_chosen_only_if_no_other_can_serve() -> None:
    fleet = _fleet(a=4)
    for name in fleet.groups:
        for _ in range(10):
            seconds = 2.0 if name == "a-2" else 0.1
            fleet.stragglers.first_token(name, seconds=seconds, now=0.0)
    router = fleet.router()
    names = _fill(router, 100, text="short") + _fill(router, 100)
    assert "a-2" not in names and len(names) == 3
    for name in ("a-0", "a-1", "a-3"):
        fleet.confirmations.record_unreachable(f"{name}-0")
    assert router.choose(chat(), tried=(), now=0.2).name == "a-2"


def test_suspects_run_at_separate_targets() -> None:
    """Three suspects of a crash run at three different groups.

    Guards against bystanders of one crash that are in the next crash as well: all
    requests that a crash broke off are sent again at once, to the same idle group, if
    suspects are routed like other requests.
    """
    fleet = _fleet(a=4)
    suspects = ["s-0", "s-1", "s-2"]
    fleet.quarantine.crashed("dead", suspects, now=0.0)
    for number, running in enumerate((30, 0, 5, 6)):
        fleet.report(f"a-{number}-0", requested_at=0.1, running=running)
    router = fleet.router()
    names = []
    for suspect in suspects:
        target = router.choose(chat(fingerprint=suspect), tried=(), now=0.2)
        router.started(target, fingerprint=suspect, now=0.2)
        names.append(target.name)
    assert sorted(names) == ["a-1", "a-2", "a-3"]
    # Other requests avoid the suspects' targets, although a-0 is the most loaded.
    assert router.choose(chat(), tried=(), now=0.3).name == "a-0"
    for suspect in suspects:
        fleet.quarantine.completed(suspect, now=0.4)
    assert set(_fill(router, 20, text="short", now=0.5)) != {"a-0"}


def test_services_are_chosen_by_load_too() -> None:
    fleet = FakeFleet(
        zones={"a": 0}, services=(("s-1", "a"), ("s-2", "a"), ("s-3", "b"))
    )
    router = fleet.router()
    names = Counter()
    for _ in range(40):
        target = router.choose(service_call(), tried=(), now=0.0)
        router.started(target, now=0.0)
        names[target.name] += 1
    assert names["s-1"] >= 8 and names["s-2"] >= 8
    retried = router.choose(service_call(), tried=("s-1", "s-2"), now=0.0)
    assert retried.name == "s-3"


def test_choice_recovers_after_no_group_was_complete() -> None:
    fleet = _fleet(a=2)
    router = fleet.router()
    assert router.choose(chat(), tried=(), now=9.0) is None
    fleet.report_all(requested_at=9.01)
    assert router.choose(chat(), tried=(), now=9.1) is not None
