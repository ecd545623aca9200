"""Test which backend servers may serve a request."""

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
    fleet.report_all(requested_at=0.0)
    return fleet


@pytest.mark.parametrize(
    ("apply_fault", "now", "remaining"),
    [
        (lambda fleet: None, 1.0, ["a-0", "a-1"]),
        (lambda fleet: None, 2.1, []),
        (lambda fleet: fleet.confirmations.record_unreachable("a-0-1"), 1.0, ["a-1"]),
        (
            lambda fleet: fleet.report("a-0-1", requested_at=0.5, state="leaving"),
            1.0,
            ["a-1"],
        ),
        (lambda fleet: fleet.relist("a-0-1", state="leaving"), 1.0, ["a-1"]),
        (lambda fleet: fleet.hosts_by_name.pop("a-0-0"), 1.0, ["a-1"]),
    ],
    ids=["complete", "reports too old", "member gone", "reports", "listed", "unlisted"],
)
def test_only_complete_groups_are_targets(
    apply_fault, now: float, remaining: list[str]
) -> None:
    """A group is a target only while all its members are listed, ready and confirmed.

    Guards against requests that hang on a group: its rank 0 answers while a member is
    missing or leaving, and only rank 0 was checked.
    """
    fleet = _fleet()
    apply_fault(fleet)
    targets = fleet.targets.for_arrival(chat(), now)
    assert [target.name for target in targets] == remaining


@pytest.mark.parametrize(
    ("apply_fault", "now", "lost"),
    [
        (lambda fleet: None, 1.0, False),
        (lambda fleet: fleet.confirmations.record_unreachable("a-0-1"), 1.0, True),
        (lambda fleet: fleet.relist("a-0-1", state="leaving"), 1.0, False),
        (lambda fleet: None, 2.1, False),
    ],
    ids=["complete", "member gone", "leaving, but complete", "nothing else serves"],
)
def test_group_is_lost_when_incomplete_and_another_serves(
    apply_fault, now, lost: bool
) -> None:
    fleet = _fleet()
    apply_fault(fleet)
    target = fleet.target("a-0")
    assert fleet.targets.is_lost(target, chat(), now=now) is lost


def test_other_zone_serves_when_local_zone_cannot() -> None:
    fleet = _fleet()
    for group in ("a-0", "a-1"):
        fleet.confirmations.record_unreachable(f"{group}-0")
    assert [t.name for t in fleet.targets.for_arrival(chat(), 1.0)] == ["b-0"]


@pytest.mark.parametrize(("adapter", "n_found"), [("", 3), ("pt", 3), ("es", 0)])
def test_target_has_the_adapter(adapter: str, n_found: int) -> None:
    """Only groups that have loaded a request's adapter are candidates.

    Guards against an answer of the base model without the adapter: an adapter is
    declared while older groups run without it, and groups were matched by model only.
    """
    found = _fleet().targets.candidates(chat(adapter=adapter).work, now=0.0)
    assert len(found.names) == n_found


def test_services_of_the_local_zone_come_first_unless_leaving() -> None:
    fleet = _fleet()
    assert [t.name for t in fleet.targets.for_arrival(service_call(), 0.0)] == ["s-2"]
    fleet.relist("s-2", state="leaving")
    assert [t.name for t in fleet.targets.for_arrival(service_call(), 0.1)] == ["s-1"]


def test_candidates_are_kept_until_the_placement_changes() -> None:
    """A renewed lease keeps the candidate list, and a new group replaces it.

    Guards against a list that is kept too long, so that a new group gets no requests,
    and a list that is rebuilt without need, so that each request iterates over all
    groups.  Leases are renewed all the time, groups form rarely.
    """
    fleet = _fleet()
    found = fleet.targets.candidates(chat().work, now=0.0)
    fleet.placements_by_zone["b"].next_offset += 1
    assert fleet.targets.candidates(chat().work, now=0.1) is found
    fleet._form("b", 9, 1, (), 8)
    fresh = fleet.targets.candidates(chat().work, now=0.2)
    assert fresh is not found and "b-9" in fresh.names


@pytest.mark.parametrize(("draining", "usable"), [(False, True), (True, False)])
def test_draining_group_is_no_target(draining: bool, usable: bool) -> None:
    """A complete group gets no new requests while it drains.

    Guards against a planned stop that never ends, or cuts off requests: the group is to
    finish its running requests, its members still confirm it, and new requests keep
    coming because a complete group was taken for a usable one.
    """
    fleet = _fleet()
    candidate = fleet.targets.candidates(chat().work, now=0.0).local_zone[0]
    names = ("name", "fencing", "members", "dissolved")
    fields = {name: getattr(candidate.group, name) for name in names}
    group = SimpleNamespace(draining=draining, **fields)
    drained = replace(candidate, group=group)
    assert (fleet.targets.target(drained, now=0.1) is not None) is usable
