"""Test which availability zones count as evacuated."""

from __future__ import annotations

import pytest

from ryelever.coordination.evacuations import Evacuations, OperatorPosition


@pytest.fixture
def evacuations() -> Evacuations:
    return Evacuations(log=lambda event, **fields: None)


def test_the_newest_position_wins(evacuations: Evacuations) -> None:
    """Guard against a host that doesn't read the topic and applies an old heartbeat."""
    evacuations.record_peer_zones(["x"], as_of=OperatorPosition(1, 5))
    evacuations.record_peer_zones([], as_of=OperatorPosition(1, 4))
    assert evacuations.zones == {"x"}
    evacuations.record_peer_zones([], as_of=OperatorPosition(1, 9))
    assert evacuations.zones == frozenset()
    evacuations.apply_listing(["x"], as_of=OperatorPosition(1, 7))
    assert evacuations.zones == frozenset()


def test_zones_are_evacuated_independently(evacuations: Evacuations) -> None:
    evacuations.apply_listing(["x"], as_of=OperatorPosition(0, 5))
    evacuations.start("y", as_of=OperatorPosition(0, 6))
    evacuations.end("x", as_of=OperatorPosition(0, 7))
    assert evacuations.zones == {"y"}
    evacuations.apply_listing([], as_of=OperatorPosition(0, 9))
    assert evacuations.zones == frozenset()


def test_a_copy_of_the_store_ends_no_evacuation(evacuations: Evacuations) -> None:
    """Guard against sending requests to an evacuated zone.

    The store was restored from an older copy that lacks the evacuation request.
    """
    evacuations.start("x", as_of=OperatorPosition(1, 90))
    evacuations.apply_listing([], as_of=OperatorPosition(2, 80))
    assert evacuations.zones == {"x"}
    # A host that started after the restoration has read only the copy.
    evacuations.record_peer_zones([], as_of=OperatorPosition(2, 80))
    assert evacuations.zones == {"x"}
    evacuations.end("x", as_of=OperatorPosition(2, 81))
    assert evacuations.zones == frozenset()


def test_a_host_that_read_an_older_copy_learns_evacuations_from_others(
    evacuations: Evacuations,
) -> None:
    """Guard against a restarted host that sends requests to an evacuated zone."""
    evacuations.apply_listing([], as_of=OperatorPosition(2, 80))
    evacuations.record_peer_zones(["x"], as_of=OperatorPosition(2, 80))
    assert evacuations.zones == {"x"}


def test_a_heartbeat_based_on_an_older_copy_ends_no_evacuation(
    evacuations: Evacuations,
) -> None:
    """Guard against the heartbeat of a host that has read only the older copy."""
    evacuations.start("x", as_of=OperatorPosition(1, 90))
    evacuations.record_peer_zones([], as_of=OperatorPosition(2, 80))
    assert evacuations.zones == {"x"}
