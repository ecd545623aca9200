"""Test planned changes: the old group drains, the new one is confirmed first."""

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


def _zone(**fields: object) -> Zone:
    limits = PlannerLimits(drain_timeout=15.0)
    return new_zone(serves_within=30, limits=limits, **fields)


def _draining_zone() -> Zone:
    """Return a zone whose one group drains, with a request in flight."""
    zone = _zone(a=4)
    _busy(zone, 1)
    _declare(zone, _new_version)
    zone.run_until(lambda: "draining" in zone.kinds(), at_most=5)
    return zone


def _declare(zone: Zone, change: _Change) -> None:
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


#: Change, groups declared, hosts of two fabric domains, seconds without a group.
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
    """Change what a group serves.

    Symptom: the model is gone while the new version loads.  Sequence: an operator
    publishes a change.  Cause: the old group was dissolved at once.
    """
    zone = _zone(n_groups=n_groups, a=hosts[0], b=hosts[1])
    _declare(zone, change)
    model = zone.configuration.models["m"]
    assert zone.seconds_down(60) <= seconds_down
    groups = list(zone.truth.groups_by_name.values())
    assert [group.version for group in groups] == [model.version] * n_groups
    assert all(group.adapters == model.adapter_versions for group in groups)
    assert all(len(group.members) == model.hosts_per_group for group in groups)


def _busy(zone: Zone, n_running: int) -> None:
    for group in zone.truth.groups_by_name.values():
        zone.engines_by_host[group.members[0]].running = n_running


@pytest.mark.parametrize(("busy_for", "cut"), [(8.0, False), (60.0, True)])
def test_requests_in_flight_finish_within_a_deadline(
    busy_for: float, cut: bool
) -> None:
    """Drain a group that has requests in flight.

    Symptom: a caller's answer breaks off at a planned change.  Sequence: a new
    version is declared while the old group generates.  Cause: the group ends before
    its requests do; or it never ends, for one that never does.
    """
    zone = _zone(a=4, b=4)
    old = next(iter(zone.truth.groups_by_name))
    _busy(zone, 3)
    _declare(zone, _new_version)
    zone.run_until(lambda: _versions(zone) == ["v2"], at_most=10)
    started = zone.now
    zone.later(busy_for, lambda: _busy(zone, 0))
    zone.run_until(lambda: old not in zone.truth.groups_by_name, at_most=30)
    ended_after = zone.now - started
    assert (ended_after < busy_for) is cut
    dissolved = [row for row in zone.truth.changes if row.kind == "dissolved"]
    expected = "its time to finish" if cut else "its requests have finished"
    assert expected in dissolved[0].reason


def test_draining_group_gets_no_new_work_and_still_counts_as_whole() -> None:
    """Choose targets while a group drains."""
    zone = _draining_zone()
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


def test_member_that_dies_while_its_group_drains_ends_it() -> None:
    """Lose a member of a draining group: two faults.

    Symptom: the hosts of a draining group stay bound until the deadline.  Sequence:
    a group drains, a member dies.  Cause: only the count of requests is looked at.
    """
    zone = _draining_zone()
    zone.engines_by_host["a-3"].refuses = True
    zone.run(3)
    group = next(iter(zone.truth.groups_by_name.values()), None)
    assert group is None or group.dissolved
    zone.engines_by_host["a-3"].restart()
    zone.run_until(lambda: _versions(zone) == ["v2"], at_most=10)


def test_model_that_is_no_longer_declared_ends_after_its_requests() -> None:
    """Withdraw a model."""
    zone = _zone(a=4)
    _busy(zone, 1)
    zone.configuration = Configuration()
    zone.run(5)
    assert len(zone.truth.groups_by_name) == 1
    _busy(zone, 0)
    zone.run_until(lambda: not zone.truth.groups_by_name, at_most=5)


def test_slow_log_gets_each_decision_once() -> None:
    """Take a second for each append.

    Symptom: the log is flooded by one decision, all but the first ignored.
    Sequence: the log is slow, the planner looks on.  Cause: a decision that was not
    read back counts as not made.
    """
    zone = _zone(a=4, b=4)
    zone.append_fate = lambda _: (0.9,)
    n_known = len(zone.entries)
    _declare(zone, _new_version)
    zone.run(30)
    kinds = Counter(type(entry.record).__name__ for entry in zone.entries[n_known:])
    del kinds["LeaseTaken"]
    assert kinds == {
        "GroupFormed": 1,
        "GroupDraining": 1,
        "GroupDissolved": 1,
        "HostReleased": 4,
    }
