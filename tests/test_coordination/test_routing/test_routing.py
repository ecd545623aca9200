"""Test the choice of a backend server."""

from __future__ import annotations

from collections import Counter

import pytest

from benchmarks.routing_fleet import FakeFleet, chat, service_call
from ryelever.state.observations import LoadRow

PROMPT = "p" * 600


def _fleet(**zones: int) -> FakeFleet:
    fleet = FakeFleet(zones=zones or {"a": 8})
    fleet.report_all(asked_at=0.0)
    return fleet


def _fill(router, n_requests: int, *, text: str = PROMPT, now: float = 0.1) -> Counter:
    names = Counter()
    for _ in range(n_requests):
        target = router.choose(chat(text), tried=(), now=now)
        router.started(target, now=now)
        names[target.name] += 1
    return names


def test_prefix_stays_in_one_place_while_the_load_allows() -> None:
    names = set()
    for seed in range(5):
        names |= set(_fill(_fleet().router(seed=seed), 4))
    assert len(names) == 1


def test_popular_prefix_is_spread() -> None:
    """Send 160 requests with one prefix to eight groups.

    Symptom: one group queues while seven idle.  Sequence: a popular prompt arrives
    all at once.  Cause: affinity without a bound on load.
    """
    names = _fill(_fleet().router(), 160)
    assert len(names) == 8
    # Totals are a quarter of a second old at most; here all fall into one instant.
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
    """Retry with few groups.

    Symptom: all attempts of a request fail on one broken group.  Sequence: it fails
    fast, so it is empty, so it is chosen again.  Cause: the last target was not
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


def _own_zone_lost(fleet: FakeFleet) -> None:
    for host in ("a-0-0", "a-1-0"):
        fleet.confirmations.unreachable(host)


def _own_zone_busy(fleet: FakeFleet) -> None:
    for host in ("a-0-0", "a-1-0"):
        fleet.report(host, asked_at=0.1, running=30)


def _all_busy(fleet: FakeFleet) -> None:
    for host in fleet.hosts_by_name:
        fleet.report(host, asked_at=0.1, running=30)


@pytest.mark.parametrize(
    ("change", "zone"),
    [
        (lambda fleet: None, "a"),
        (_own_zone_lost, "b"),
        (_own_zone_busy, "b"),
        (_all_busy, "a"),
    ],
    ids=["idle", "own lost", "own busy", "all busy"],
)
def test_own_zone_first_then_by_load(change, zone: str) -> None:
    """Fill the own zone while another idles.

    Symptom: callers wait in one zone while accelerators idle in the next.  Sequence:
    one zone gets more requests than it can serve, and is not empty.  Cause: other
    zones were asked only when the own one had nothing left.
    """
    fleet = _fleet(a=2, b=2)
    change(fleet)
    for text in ("short", PROMPT):
        target = fleet.router().choose(chat(text), tried=(), now=0.2)
        assert target.name.startswith(zone)


def _see_report(fleet: FakeFleet) -> None:
    fleet.report("a-0-0", asked_at=0.1, running=30)


def _see_peer(fleet: FakeFleet) -> None:
    row = LoadRow(target="a-0", n_in_flight=30)
    fleet.loads.observed(row, peer="p", observed_at=0.1, now=0.1)


def _see_own(fleet: FakeFleet) -> None:
    for _ in range(30):
        fleet.loads.started("a-0", now=0.1)


@pytest.mark.parametrize("see", [_see_report, _see_peer, _see_own])
def test_load_counts_whoever_saw_it(see) -> None:
    """Let one view know of load that the other two do not show yet.

    Symptom: requests pile up on a group that looked idle.  Sequence: the report lags,
    or peers filled it, or own requests did a moment ago.  Cause: one view was taken
    for the whole.
    """
    fleet = _fleet(a=2)
    see(fleet)
    chosen = {
        fleet.router(seed=seed).choose(chat(text), tried=(), now=0.2).name
        for seed in range(10)
        for text in ("short", PROMPT)
    }
    # Two draws may both hit the loaded one; those of ten seeds mostly do not.
    assert chosen <= {"a-0", "a-1"} and "a-1" in chosen
    assert (
        fleet.router(seed=1)
        ._of_all(
            fleet.targets.candidates(chat().work, now=0.2).own_zone,
            excluded=(),
            now=0.2,
        )
        .target.name
        == "a-1"
    )


@pytest.mark.parametrize(("now", "load"), [(1.0, 30.0), (6.0, 0.0)])
def test_old_rows_of_peers_do_not_count(now: float, load: float) -> None:
    fleet = _fleet(a=2)
    _see_peer(fleet)
    candidate = fleet.targets.candidates(chat().work, now=0.0).own_zone[0]
    assert fleet.loads.estimate(candidate, now=now) == load


def test_emptied_target_is_told_as_empty() -> None:
    """Fill a target and empty it again.

    Symptom: an idle group gets no work from peers.  Sequence: its last row says 30,
    and no row says otherwise, for the exchange sends only what changed.  Cause: a
    target without requests was left out.
    """
    fleet = _fleet(a=2)
    fleet.loads.started("a-0", now=1.0)
    assert fleet.loads.observations(now=1.0) == [LoadRow(target="a-0", n_in_flight=1)]
    fleet.loads.ended("a-0", now=2.0)
    assert fleet.loads.observations(now=2.0) == [LoadRow(target="a-0", n_in_flight=0)]
    assert fleet.loads.observations(now=8.0) == []


def test_straggler_gets_nothing_while_others_can() -> None:
    fleet = _fleet(a=4)
    for name in fleet.groups:
        for _ in range(10):
            seconds = 2.0 if name == "a-2" else 0.1
            fleet.stragglers.first_token(name, seconds=seconds, now=0.0)
    router = fleet.router()
    names = _fill(router, 100, text="short") + _fill(router, 100)
    assert "a-2" not in names and len(names) == 3
    for name in ("a-0", "a-1", "a-3"):
        fleet.confirmations.unreachable(f"{name}-0")
    assert router.choose(chat(), tried=(), now=0.2).name == "a-2"


def test_suspects_run_apart() -> None:
    """Place three suspects beside a loaded group.

    Symptom: two bystanders of one crash are in the next one as well.  Sequence: all
    that a crash broke off is sent again at once, to the same idle group.  Cause:
    suspects were placed like other requests.
    """
    fleet = _fleet(a=4)
    suspects = ["s-0", "s-1", "s-2"]
    fleet.quarantine.crashed("dead", suspects, now=0.0)
    for number, running in enumerate((30, 0, 5, 6)):
        fleet.report(f"a-{number}-0", asked_at=0.1, running=running)
    router = fleet.router()
    names = []
    for suspect in suspects:
        target = router.choose(chat(fingerprint=suspect), tried=(), now=0.2)
        router.started(target, fingerprint=suspect, now=0.2)
        names.append(target.name)
    assert sorted(names) == ["a-1", "a-2", "a-3"]
    # What is no suspect keeps away from them, though a-0 is the most loaded.
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


def test_recovery_is_seen_after_nothing_was_whole() -> None:
    fleet = _fleet(a=2)
    router = fleet.router()
    assert router.choose(chat(), tried=(), now=9.0) is None
    fleet.report_all(asked_at=9.01)
    assert router.choose(chat(), tried=(), now=9.1) is not None
