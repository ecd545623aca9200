"""Test that leaving backend servers get no new requests."""

from __future__ import annotations

import pytest

from benchmarks.routing_fleet import FakeFleet, chat, service_call
from ryelever.errors import Category, RyeleverError
from ryelever.state.observations import LeavingRow, LoadRow


def _fleet(requested_at: float = 9.0) -> FakeFleet:
    fleet = FakeFleet(zones={"a": 2})
    fleet.report_all(requested_at=requested_at)
    return fleet


def _failed(
    fleet: FakeFleet, *, refused: bool, category: Category = Category.BROKEN
) -> None:
    error = RyeleverError("gone", category=category, step="generate")
    in_flight = () if refused else ("x",)
    fleet.feedback.failed(
        fleet.target("a-0"), error, refused=refused, in_flight=in_flight, now=10.0
    )


def _refused(fleet: FakeFleet) -> None:
    _failed(fleet, refused=True)


def _died(fleet: FakeFleet) -> None:
    _failed(fleet, refused=False)


def _announced(fleet: FakeFleet) -> None:
    fleet.departures.observed(
        LeavingRow(host="a-0-0"), peer="p", observed_at=9.8, now=10.0
    )


EVIDENCE = {
    "listed": lambda fleet: fleet.relist("a-0-0", state="leaving"),
    "reported": lambda fleet: fleet.report("a-0-0", requested_at=9.9, state="leaving"),
    "refused": _refused,
    "died": _died,
    "told by a peer": _announced,
}


def _names(fleet: FakeFleet, now: float) -> list[str]:
    return [target.name for target in fleet.targets.for_arrival(chat(), now)]


@pytest.mark.parametrize("evidence", EVIDENCE.values(), ids=EVIDENCE)
def test_evidence_of_one_source_is_enough(evidence) -> None:
    """One source is enough, while all others still show the host as live.

    Guards against requests that fail on a host that was ordered to leave: the
    platform's hosts list lags seconds behind the host's own report, or the report
    behind the list, and only the source that lags was used.
    """
    fleet = _fleet(requested_at=9.5)
    assert _names(fleet, 9.6) == ["a-0", "a-1"]
    evidence(fleet)
    assert _names(fleet, 10.0) == ["a-1"]


@pytest.mark.parametrize(
    ("evidence", "requested_at", "now", "readmitted"),
    [
        (_refused, 9.9, 10.2, False),
        (_refused, 10.1, 10.2, True),
        (_died, 9.9, 11.0, False),
        (_died, 10.1, 10.2, True),
        (_announced, 10.1, 10.2, False),
        (_announced, 12.7, 12.9, True),
        (EVIDENCE["listed"], 12.7, 12.9, False),
        # Two faults: a peer's announcement and a refusal observed by this entry host,
        # in either order.
        (lambda fleet: (_announced(fleet), _refused(fleet)), 10.1, 10.2, False),
        (lambda fleet: (_refused(fleet), _announced(fleet)), 10.1, 10.2, False),
        (lambda fleet: (_refused(fleet), _announced(fleet)), 12.7, 12.9, True),
    ],
)
def test_only_a_newer_report_ends_evidence(
    evidence, requested_at: float, now: float, readmitted: bool
) -> None:
    """A report ends the evidence only if it was requested after the evidence.

    Guards against a host that has just refused and gets the next request too: its last
    report was requested before it began to leave and still counts as fresh, and report
    times were not compared with the time of the evidence.
    """
    fleet = _fleet()
    evidence(fleet)
    for host in ("a-0-0", "a-1-0"):
        fleet.report(host, requested_at=requested_at)
    assert ("a-0" in _names(fleet, now)) is readmitted


def test_announcements_of_peers_are_not_repeated() -> None:
    """A peer's announcement is not announced again.

    Guards against a host that returned long ago and gets no requests from any entry
    host: two entry hosts announce to each other that it is leaving, each time as new
    evidence, so the evidence never expires.
    """
    fleet = _fleet()
    _announced(fleet)
    fleet.departures.observed(
        LoadRow(target="a-1", n_in_flight=1), peer="p", observed_at=9.9, now=10.0
    )
    assert fleet.departures.observations(now=10.0) == []


@pytest.mark.parametrize(
    ("category", "announced"),
    [(Category.BROKEN, True), (Category.TIMEOUT, False), (Category.UNAVAILABLE, False)],
)
def test_only_a_refused_connection_is_announced(
    category: Category, announced: bool
) -> None:
    """Only a refused connection is announced, not a timeout or a refusal by answer.

    Guards against one entry host with a bad link that makes all other entry hosts avoid
    a backend server: its connects time out because of the link, and it announces the
    timeouts like refusals.
    """
    fleet = _fleet()
    _failed(fleet, refused=True, category=category)
    rows = fleet.departures.observations(now=10.0)
    assert rows == ([LeavingRow(host="a-0-0")] if announced else [])
    assert fleet.departures.observations(now=14.0) == []


def test_service_that_refused_is_tried_again_later() -> None:
    fleet = FakeFleet(zones={"a": 0}, services=(("s-1", "a"), ("s-2", "a")))
    fleet.departures.refused("s-1", connection=True, now=10.0)
    names = [
        [target.name for target in fleet.targets.for_arrival(service_call(), now)]
        for now in (10.1, 12.1)
    ]
    assert names == [["s-2"], ["s-1", "s-2"]]
