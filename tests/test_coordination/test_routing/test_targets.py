"""Test which backend servers may take a request."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import pytest

from benchmarks.routing_fleet import FakeFleet, chat, service_call


def _fleet() -> FakeFleet:
    fleet = FakeFleet(
        zones={"a": 2, "b": 1},
        members=2,
        adapters=("pt",),
        services=(("s-1", "b"), ("s-2", "a")),
    )
    fleet.report_all(asked_at=0.0)
    return fleet


@pytest.mark.parametrize(
    ("break_it", "now", "left"),
    [
        (lambda fleet: None, 1.0, ["a-0", "a-1"]),
        (lambda fleet: None, 2.1, []),
        (lambda fleet: fleet.confirmations.unreachable("a-0-1"), 1.0, ["a-1"]),
        (
            lambda fleet: fleet.report("a-0-1", asked_at=0.5, state="leaving"),
            1.0,
            ["a-1"],
        ),
        (lambda fleet: fleet.relist("a-0-1", state="leaving"), 1.0, ["a-1"]),
        (lambda fleet: fleet.hosts_by_name.pop("a-0-0"), 1.0, ["a-1"]),
    ],
    ids=["whole", "reports too old", "member gone", "reports", "listed", "unlisted"],
)
def test_only_whole_groups_are_targets(break_it, now: float, left: list[str]) -> None:
    """Lose one member in each way there is.

    Symptom: requests hang on a group.  Sequence: rank 0 answers while a member is
    missing or leaving.  Cause: the group was judged by its rank 0 alone.
    """
    fleet = _fleet()
    break_it(fleet)
    targets = fleet.targets.for_arrival(chat(), now)
    assert [target.name for target in targets] == left


@pytest.mark.parametrize(
    ("break_it", "now", "lost"),
    [
        (lambda fleet: None, 1.0, False),
        (lambda fleet: fleet.confirmations.unreachable("a-0-1"), 1.0, True),
        (lambda fleet: fleet.relist("a-0-1", state="leaving"), 1.0, False),
        (lambda fleet: None, 2.1, False),
    ],
    ids=["whole", "member gone", "leaving, but whole", "nothing else serves"],
)
def test_group_is_lost_when_another_can_do_better(break_it, now, lost: bool) -> None:
    fleet = _fleet()
    break_it(fleet)
    target = fleet.target("a-0")
    assert fleet.targets.is_lost(target, chat(), now=now) is lost


def test_other_zone_serves_when_own_has_nothing() -> None:
    fleet = _fleet()
    for group in ("a-0", "a-1"):
        fleet.confirmations.unreachable(f"{group}-0")
    assert [t.name for t in fleet.targets.for_arrival(chat(), 1.0)] == ["b-0"]


@pytest.mark.parametrize(("adapter", "n_found"), [("", 3), ("pt", 3), ("es", 0)])
def test_target_has_the_adapter(adapter: str, n_found: int) -> None:
    """Ask for an adapter that was not loaded.

    Symptom: an answer in the base model's voice.  Sequence: the adapter is declared
    while older groups run without it.  Cause: groups were matched by model only.
    """
    found = _fleet().targets.candidates(chat(adapter=adapter).work, now=0.0)
    assert len(found.names) == n_found


def test_services_come_own_zone_first_and_not_when_leaving() -> None:
    fleet = _fleet()
    assert [t.name for t in fleet.targets.for_arrival(service_call(), 0.0)] == ["s-2"]
    fleet.relist("s-2", state="leaving")
    assert [t.name for t in fleet.targets.for_arrival(service_call(), 0.1)] == ["s-1"]


def test_list_is_kept_until_the_placement_changes() -> None:
    """Append records that change nothing, then one that does.

    Symptom: a new group gets no work, or each request costs a walk over all groups.
    Sequence: leases are renewed all the time, groups form seldom.  Cause: the list
    was kept for too long, or thrown away for nothing.
    """
    fleet = _fleet()
    found = fleet.targets.candidates(chat().work, now=0.0)
    fleet.placements_by_zone["b"].next_offset += 1
    assert fleet.targets.candidates(chat().work, now=0.1) is found
    fleet._form("b", 9, 1, (), 8)
    fresh = fleet.targets.candidates(chat().work, now=0.2)
    assert fresh is not found and "b-9" in fresh.names


@pytest.mark.parametrize(("draining", "usable"), [(False, True), (True, False)])
def test_draining_group_gets_nothing_new(draining: bool, usable: bool) -> None:
    """Drain a group that is whole.

    Symptom: a planned stop never ends, or cuts off requests.  Sequence: the group is
    to end what it runs, its members confirm it, and requests keep coming.  Cause: a
    whole group was taken for one that may be used.
    """
    fleet = _fleet()
    candidate = fleet.targets.candidates(chat().work, now=0.0).own_zone[0]
    names = ("name", "fencing", "members", "dissolved")
    fields = {name: getattr(candidate.group, name) for name in names}
    group = SimpleNamespace(draining=draining, **fields)
    drained = replace(candidate, group=group)
    assert (fleet.targets.target(drained, now=0.1) is not None) is usable
