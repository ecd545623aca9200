"""Test the two measures and the history of repairs over time."""

from __future__ import annotations

import pytest

from ryelever.coordination.confirmation import Confirmations
from ryelever.coordination.measures import N_SAMPLES, Measures, MeasuresView
from ryelever.coordination.repairs import N_REPAIRS, RepairHistory
from ryelever.state.configuration import Configuration
from ryelever.state.fleet import HostReport, ListedHost
from ryelever.state.placement import Group, PlacementFold

from ..builders import declared, new_group

MEMBERS = ("h0", "h1")


def _group(name: str) -> Group:
    reason = "2 groups are wanted, 0 are there"
    return new_group(name, *MEMBERS, model="notes", fencing=7, reason=reason)


class Fleet:
    """A zone with three hosts, of which two form a group."""

    def __init__(self) -> None:
        self.placement = PlacementFold()
        self.placement.groups_by_name["g"] = _group("g")
        self.confirmations = Confirmations(max_age=2.0)
        self.measures = Measures()
        self.repairs = RepairHistory()
        self.view = MeasuresView(
            configuration=declared(model="notes"),
            placements_by_zone={"z": self.placement},
            hosts_by_name={
                name: ListedHost(
                    host=name, address="", availability_zone="z", accelerators=8
                )
                for name in ("h0", "h1", "h2")
            },
            confirmations=self.confirmations,
        )

    def report(self, *hosts: str, now: float) -> None:
        for host in hosts:
            grouped = host in MEMBERS
            report = HostReport(
                host=host,
                boot="b",
                state="ready" if grouped else "idle",
                group="g" if grouped else "",
                fencing=7 if grouped else -1,
            )
            self.confirmations.reported(report, requested_at=now)

    def run(self, *hosts: str, start: int, stop: int) -> None:
        """Tick once a second while the named hosts report."""
        for now in range(start, stop):
            self.report(*hosts, now=now)
            self.measures.tick(self.view, now=now)
            self.repairs.tick(self.view.placements_by_zone, self.confirmations, now=now)


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


@pytest.mark.parametrize(
    ("hosts", "downtime", "stranded"),
    [
        (("h0", "h1", "h2"), 0, 8 * 10),
        (("h0", "h1"), 0, 0),
        (("h0", "h2"), 10, 16 * 10),
        ((), 10, 0),
    ],
)
def test_measures_sum_over_time(
    fleet: Fleet, hosts: tuple[str, ...], downtime: float, stranded: float
) -> None:
    fleet.run(*hosts, start=0, stop=11)
    assert fleet.measures.downtime_seconds == downtime
    assert fleet.measures.stranded_seconds == stranded
    assert fleet.measures.observed == 10


def test_pause_of_this_process_is_not_counted_as_downtime(fleet: Fleet) -> None:
    """Guard against downtime that is counted while this process is paused.

    A group is down for two ticks, the process pauses for a minute, and the group
    serves when the process resumes.  The status page would show a minute of downtime
    that was not observed if the pause counted with the state before it.
    """
    fleet.run("h0", start=0, stop=2)
    fleet.run("h0", "h1", start=62, stop=64)
    assert fleet.measures.downtime_seconds == 1
    assert (fleet.measures.observed, fleet.measures.unobserved) == (2, 61)


def test_removed_model_keeps_its_downtime_and_gains_none(fleet: Fleet) -> None:
    fleet.run("h0", start=0, stop=11)
    fleet.view.configuration = Configuration()
    fleet.run("h0", start=11, stop=21)
    assert fleet.measures.n_groups_down == 0
    assert fleet.measures.downtime_seconds == 11
    assert fleet.measures.downtime_by_group == {}


def test_accelerators_outside_the_followed_zones_do_not_count(fleet: Fleet) -> None:
    listed = ListedHost(host="x", address="", availability_zone="y", accelerators=8)
    fleet.view.hosts_by_name["x"] = listed
    fleet.run("h0", "h1", "x", start=0, stop=3)
    assert fleet.measures.n_stranded == 0


def test_short_outage_shows_in_the_samples(fleet: Fleet) -> None:
    """Guard against downtime that is counted but not visible in the plot.

    A group is down for two seconds between two samples, and a sample that covered only
    its own moment would not show the outage.
    """
    fleet.run("h0", "h1", start=0, stop=3)
    fleet.run("h0", start=3, stop=8)
    fleet.run("h0", "h1", start=8, stop=31)
    assert [sample.n_groups_down for sample in fleet.measures.samples] == [1, 0, 0, 0]


def test_number_of_kept_samples_is_limited(fleet: Fleet) -> None:
    for now in range(0, 10 * (N_SAMPLES + 50), 10):
        fleet.measures.tick(fleet.view, now=now)
    assert len(fleet.measures.samples) == N_SAMPLES


def _lines(fleet: Fleet) -> list[tuple[str, str, str]]:
    return [
        (repair.cause, repair.decision.split(" of ")[0], repair.outcome)
        for repair in fleet.repairs.repairs
    ]


def test_repair_has_cause_decision_and_outcome(fleet: Fleet) -> None:
    fleet.run("h0", start=0, stop=3)
    ((_, _, outcome),) = _lines(fleet)
    assert outcome == "waits for every member to confirm"
    fleet.run("h0", "h1", start=3, stop=5)
    assert fleet.repairs.watches_by_group["g"].state == "serving"
    fleet.run("h0", start=5, stop=10)
    watch = fleet.repairs.watches_by_group["g"]
    assert (watch.state, watch.since) == ("broken", 7)
    group = fleet.placement.groups_by_name["g"]
    group.dissolved, group.dissolved_reason = True, "member h1 is gone"
    fleet.run("h0", start=10, stop=12)
    assert fleet.repairs.watches_by_group["g"].state == "dissolving"
    del fleet.placement.groups_by_name["g"]
    fleet.run("h0", start=12, stop=14)
    assert _lines(fleet) == [
        (
            "2 groups are wanted, 0 are there",
            "form a group for notes v1 on h0, h1",
            "serves within 3 s",
        ),
        (
            "member h1 is gone",
            "dissolve the group",
            "every host was released within 2 s",
        ),
    ]


def test_outcome_of_a_group_that_never_served(fleet: Fleet) -> None:
    fleet.run(start=0, stop=2)
    fleet.placement.groups_by_name["g"].dissolved = True
    fleet.run(start=2, stop=4)
    assert _lines(fleet)[0][2] == "was dissolved before it served, within 2 s"


def test_number_of_kept_repairs_is_limited(fleet: Fleet) -> None:
    for now in range(N_REPAIRS + 50):
        fleet.placement.groups_by_name = {f"g{now}": _group(f"g{now}")}
        fleet.run(start=now, stop=now + 1)
    assert len(fleet.repairs.repairs) == N_REPAIRS
    assert len(fleet.repairs.watches_by_group) == 1
