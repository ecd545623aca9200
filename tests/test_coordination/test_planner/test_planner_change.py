"""Test planned changes: the old group is drained after the new one is complete."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import pytest

from ryelever.coordination.actions import Arrival, ChatWork
from ryelever.coordination.planner.planner import PlannerLimits
from ryelever.coordination.routing.targets import Targets
from ryelever.state.configuration import Configuration, Model

from ...zone import Zone, new_zone

_Change = Callable[[Model], Model]


def _make_zone(**fields: object) -> Zone:
    limits = PlannerLimits(drain_timeout=15.0)
    return new_zone(serves_within=30, limits=limits, **fields)


def _zone_with_draining_group() -> Zone:
    """Return a zone whose only group is draining with a request in flight."""
    zone = _make_zone(a=4)
    _set_running(zone, 1)
    _change_models(zone, _new_version)
    zone.run_until(lambda: "draining" in zone.kinds(), at_most=5)
    return zone


def _change_models(zone: Zone, change: _Change) -> None:
    models = {name: change(model) for name, model in zone.configuration.models.items()}
    zone.configuration = replace(zone.configuration, models=models)


def _new_version(model: Model) -> Model:
    return replace(model, version="v2")


def _with_adapter(model: Model) -> Model:
    return replace(model, adapters={"tone": "1"})


def _of_two_hosts(model: Model) -> Model:
    return replace(model, hosts_per_group=2)


def _versions(zone: Zone) -> list[str]:
    return [
        group.version
        for group in zone.truth.groups_by_name.values()
        if zone.serves(group.name)
    ]


#: Change, declared groups, hosts of two fabric domains, and maximum seconds without a
#: serving group.
CASES = {
    "version, hosts for a second group": (_new_version, 1, (4, 4), 0.0),
    "version, two groups and no free host": (_new_version, 2, (4, 4), 0.0),
    "version, one group and no free host": (_new_version, 1, (4, 0), 4.0),
    "adapter added": (_with_adapter, 1, (4, 4), 0.0),
    "hosts in a group": (_of_two_hosts, 1, (4, 4), 0.0),
}


@pytest.mark.parametrize(
    ("change", "n_groups", "hosts", "seconds_down"), CASES.values(), ids=CASES
)
def test_change_is_confirmed_before_the_old_group_ends(
    change: _Change, n_groups: int, hosts: tuple[int, int], seconds_down: float
) -> None:
    """Change a model's declaration.

    Guards against a model that is not served while its new version loads, because the
    old group is dissolved as soon as an operator publishes the change.
    """
    zone = _make_zone(n_groups=n_groups, a=hosts[0], b=hosts[1])
    _change_models(zone, change)
    model = zone.configuration.models["m"]
    assert zone.seconds_down(60) <= seconds_down
    groups = list(zone.truth.groups_by_name.values())
    assert [group.version for group in groups] == [model.version] * n_groups
    assert all(group.adapters == model.adapter_versions for group in groups)
    assert all(len(group.members) == model.hosts_per_group for group in groups)


def _set_running(zone: Zone, n_running: int) -> None:
    for group in zone.truth.groups_by_name.values():
        zone.engines_by_host[group.members[0]].running = n_running


@pytest.mark.parametrize(("running_for", "is_cut_off"), [(8.0, False), (60.0, True)])
def test_requests_in_flight_finish_within_a_deadline(
    running_for: float, is_cut_off: bool
) -> None:
    """Drain a group that has requests in flight.

    Guards against answers that are cut off by a planned change, because the old group
    is ended while it still generates after a new version is declared.  Also guards
    against a group that is never ended because one of its requests never finishes.
    """
    zone = _make_zone(a=4, b=4)
    old = next(iter(zone.truth.groups_by_name))
    _set_running(zone, 3)
    _change_models(zone, _new_version)
    zone.run_until(lambda: _versions(zone) == ["v2"], at_most=10)
    started = zone.now
    zone.later(running_for, lambda: _set_running(zone, 0))
    zone.run_until(lambda: old not in zone.truth.groups_by_name, at_most=30)
    ended_after = zone.now - started
    assert (ended_after < running_for) is is_cut_off
    dissolved = [row for row in zone.truth.changes if row.kind == "dissolved"]
    expected = "its time to finish" if is_cut_off else "its requests have finished"
    assert expected in dissolved[0].reason


def test_draining_group_gets_no_new_requests_and_still_counts_as_complete() -> None:
    """Select targets while a group is draining."""
    zone = _zone_with_draining_group()
    process = zone.planners[0]
    zone.advance()
    group = next(iter(process.fold.groups_by_name.values()))
    targets = Targets(
        availability_zone="z",
        placements_by_zone={"z": process.fold},
        hosts_by_name=zone.listed_by_host,
        confirmations=process.confirmations,
    )
    work = ChatWork(model="m", messages=[], max_tokens=1, streamed=False)
    arrival = Arrival(
        request_id="r", client_account="c", work=work, arrived_at=0, deadline=9
    )
    assert process.confirmations.is_complete(group, now=zone.now)
    assert targets.for_arrival(arrival, zone.now) == []


def test_death_of_a_member_ends_its_draining_group() -> None:
    """Lose a member of a draining group: two faults.

    Guards against hosts of the group that stay claimed until the drain deadline,
    because the planner only checks the group's number of requests.
    """
    zone = _zone_with_draining_group()
    zone.engines_by_host["a-3"].refuses = True
    zone.run(3)
    group = next(iter(zone.truth.groups_by_name.values()), None)
    assert group is None or group.dissolved
    zone.engines_by_host["a-3"].restart()
    zone.run_until(lambda: _versions(zone) == ["v2"], at_most=10)


def test_model_that_is_no_longer_declared_ends_after_its_requests() -> None:
    """Remove a model from the configuration while a request is in flight."""
    zone = _make_zone(a=4)
    _set_running(zone, 1)
    zone.configuration = Configuration()
    zone.run(5)
    assert len(zone.truth.groups_by_name) == 1
    _set_running(zone, 0)
    zone.run_until(lambda: not zone.truth.groups_by_name, at_most=5)


def test_each_decision_is_appended_once_to_a_slow_log() -> None:
    """Let each append take almost a second.

    Guards against a log that is flooded with repetitions of one decision, of which
    all but the first are ignored.  This happens if the planner repeats a decision at
    each tick until a slow log returns it.
    """
    zone = _make_zone(a=4, b=4)
    zone.append_delays = lambda _: (0.9,)
    n_entries_before = len(zone.entries)
    _change_models(zone, _new_version)
    zone.run(30)
    kinds = Counter(
        type(entry.record).__name__ for entry in zone.entries[n_entries_before:]
    )
    del kinds["LeaseTaken"]
    assert kinds == {
        "GroupFormed": 1,
        "GroupDraining": 1,
        "GroupDissolved": 1,
        "HostReleased": 4,
    }
