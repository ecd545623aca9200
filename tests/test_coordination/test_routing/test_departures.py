"""Test that leaving backend servers get nothing new."""

from __future__ import annotations

import pytest

from benchmarks.routing_fleet import FakeFleet, chat, service_call
from ryelever.errors import Category, RyeleverError
from ryelever.state.observations import LeavingRow, LoadRow


def _fleet(asked_at: float = 9.0) -> FakeFleet:
    fleet = FakeFleet(zones={"a": 2})
    fleet.report_all(asked_at=asked_at)
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


def _told(fleet: FakeFleet) -> None:
    fleet.departures.observed(
        LeavingRow(host="a-0-0"), peer="p", observed_at=9.8, now=10.0
    )


EVIDENCE = {
    "listed": lambda fleet: fleet.relist("a-0-0", state="leaving"),
    "reported": lambda fleet: fleet.report("a-0-0", asked_at=9.9, state="leaving"),
    "refused": _refused,
    "died": _died,
    "told by a peer": _told,
}


def _names(fleet: FakeFleet, now: float) -> list[str]:
    return [target.name for target in fleet.targets.for_arrival(chat(), now)]


@pytest.mark.parametrize("evidence", EVIDENCE.values(), ids=EVIDENCE)
def test_first_word_of_anyone_counts(evidence) -> None:
    """Let one source know, while all others still call the host live.

    Symptom: requests fail on a host that was told to go.  Sequence: the list lags by
    seconds behind the host, or the host behind the list.  Cause: one source alone was
    believed, and it was the late one.
    """
    fleet = _fleet(asked_at=9.5)
    assert _names(fleet, 9.6) == ["a-0", "a-1"]
    evidence(fleet)
    assert _names(fleet, 10.0) == ["a-1"]


@pytest.mark.parametrize(
    ("evidence", "asked_at", "now", "back"),
    [
        (_refused, 9.9, 10.2, False),
        (_refused, 10.1, 10.2, True),
        (_died, 9.9, 11.0, False),
        (_died, 10.1, 10.2, True),
        (_told, 10.1, 10.2, False),
        (_told, 12.7, 12.9, True),
        (EVIDENCE["listed"], 12.7, 12.9, False),
        # two faults: the word of a peer and an own refusal, in either order
        (lambda fleet: (_told(fleet), _refused(fleet)), 10.1, 10.2, False),
        (lambda fleet: (_refused(fleet), _told(fleet)), 10.1, 10.2, False),
        (lambda fleet: (_refused(fleet), _told(fleet)), 12.7, 12.9, True),
    ],
)
def test_only_newer_evidence_brings_it_back(
    evidence, asked_at: float, now: float, back: bool
) -> None:
    """Show a report from before the word, and one from after.

    Symptom: a host that has just refused gets the next request too.  Sequence: its
    last report, asked for before it began to leave, still counts as fresh.  Cause:
    reports were not compared with the word's time.
    """
    fleet = _fleet()
    evidence(fleet)
    for host in ("a-0-0", "a-1-0"):
        fleet.report(host, asked_at=asked_at)
    assert ("a-0" in _names(fleet, now)) is back


def test_words_of_peers_are_not_passed_on() -> None:
    """Let two entry hosts hear of one another.

    Symptom: a host that returned long ago gets no work from anybody.  Sequence: each
    entry host tells the other that it leaves, each time as news.  Cause: a peer's word
    was passed on as an own one, so it never grew old.
    """
    fleet = _fleet()
    _told(fleet)
    fleet.departures.observed(
        LoadRow(target="a-1", n_in_flight=1), peer="p", observed_at=9.9, now=10.0
    )
    assert fleet.departures.observations(now=10.0) == []


@pytest.mark.parametrize(
    ("category", "told"),
    [(Category.BROKEN, True), (Category.TIMEOUT, False), (Category.UNAVAILABLE, False)],
)
def test_only_a_refused_connection_is_told(category: Category, told: bool) -> None:
    """Refuse by connection, by silence and by answer.

    Symptom: one entry host with a bad link takes a backend server from all others.
    Sequence: its connects time out, and it tells its peers.  Cause: silence, which
    may be due to the link, was told like a refusal.
    """
    fleet = _fleet()
    _failed(fleet, refused=True, category=category)
    rows = fleet.departures.observations(now=10.0)
    assert rows == ([LeavingRow(host="a-0-0")] if told else [])
    assert fleet.departures.observations(now=14.0) == []


def test_service_that_refused_is_tried_again_later() -> None:
    fleet = FakeFleet(zones={"a": 0}, services=(("s-1", "a"), ("s-2", "a")))
    fleet.departures.refused("s-1", connection=True, now=10.0)
    names = [
        [target.name for target in fleet.targets.for_arrival(service_call(), now)]
        for now in (10.1, 12.1)
    ]
    assert names == [["s-2"], ["s-1", "s-2"]]
