"""Test which availability zones are known to be evacuated."""

from __future__ import annotations

import pytest

from ryelever.coordination.evacuations import Evacuations, OperatorPosition


@pytest.fixture
def evacuations() -> Evacuations:
    return Evacuations(log=lambda event, **fields: None)


def test_the_newest_word_holds(evacuations: Evacuations) -> None:
    """Guard against a host that reads nothing and follows an older word."""
    evacuations.heard(["x"], as_of=OperatorPosition(1, 5))
    evacuations.heard([], as_of=OperatorPosition(1, 4))
    assert evacuations.zones == {"x"}
    evacuations.heard([], as_of=OperatorPosition(1, 9))
    assert evacuations.zones == frozenset()
    evacuations.listed(["x"], as_of=OperatorPosition(1, 7))
    assert evacuations.zones == frozenset()


def test_zones_come_and_go_by_themselves(evacuations: Evacuations) -> None:
    evacuations.listed(["x"], as_of=OperatorPosition(0, 5))
    evacuations.requested("y", as_of=OperatorPosition(0, 6))
    evacuations.ended("x", as_of=OperatorPosition(0, 7))
    assert evacuations.zones == {"y"}
    evacuations.listed([], as_of=OperatorPosition(0, 9))
    assert evacuations.zones == frozenset()


def test_a_copy_of_the_store_ends_no_evacuation(evacuations: Evacuations) -> None:
    """Guard against requests to an evacuated zone that an older copy doesn't know."""
    evacuations.requested("x", as_of=OperatorPosition(1, 90))
    evacuations.listed([], as_of=OperatorPosition(2, 80))
    assert evacuations.zones == {"x"}
    # A host that was started since then has read the copy only.
    evacuations.heard([], as_of=OperatorPosition(2, 80))
    assert evacuations.zones == {"x"}
    evacuations.ended("x", as_of=OperatorPosition(2, 81))
    assert evacuations.zones == frozenset()


def test_a_host_that_has_read_a_copy_hears_what_it_lacks(
    evacuations: Evacuations,
) -> None:
    """Guard against a host that was started anew and sends to an evacuated zone."""
    evacuations.listed([], as_of=OperatorPosition(2, 80))
    evacuations.heard(["x"], as_of=OperatorPosition(2, 80))
    assert evacuations.zones == {"x"}


def test_an_older_copy_that_is_heard_of_ends_no_evacuation(
    evacuations: Evacuations,
) -> None:
    """Guard against the word of a host that knows the copy only."""
    evacuations.requested("x", as_of=OperatorPosition(1, 90))
    evacuations.heard([], as_of=OperatorPosition(2, 80))
    assert evacuations.zones == {"x"}
