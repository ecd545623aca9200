"""Test how long backend servers are paused."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from ryelever.coordination.relaying.server_pauses import ServerPauses
from ryelever.state.directory import Directory

from ..test_groups.group_fakes import server


@pytest.fixture
def directory() -> Directory:
    """Return a directory with one server that states its start time."""
    directory = Directory()
    directory.put(replace(server("a"), started_at=1), now=0.0)
    return directory


@pytest.fixture
def pauses(directory: Directory) -> ServerPauses:
    return ServerPauses(directory=directory)


def test_pause_lasts_as_long_as_the_server_asked_for(pauses: ServerPauses) -> None:
    assert pauses.is_empty
    pauses.record("a", 1, seconds=3.0, now=1.0)
    assert pauses.is_paused("a", now=3.9)
    assert not pauses.is_paused("b", now=3.9)
    assert not pauses.is_paused("a", now=4.0)


def test_shorter_pause_does_not_end_a_longer_one(pauses: ServerPauses) -> None:
    pauses.record("a", 1, seconds=3.0, now=1.0)
    pauses.record("a", 1, seconds=0.0, now=2.0)
    assert pauses.is_paused("a", now=3.9)
    pauses.record("a", 1, seconds=3.0, now=2.0)
    assert pauses.is_paused("a", now=4.9)


def test_new_incarnation_is_not_paused(
    directory: Directory, pauses: ServerPauses
) -> None:
    pauses.record("a", 1, seconds=30.0, now=1.0)
    directory.put(replace(server("a"), started_at=2), now=2.0)
    assert not pauses.is_paused("a", now=2.0)


def test_late_answer_of_a_former_incarnation_changes_nothing(
    directory: Directory, pauses: ServerPauses
) -> None:
    directory.put(replace(server("a"), started_at=2), now=1.0)
    pauses.record("a", 2, seconds=3.0, now=1.0)
    pauses.record("a", 1, seconds=30.0, now=2.0)
    assert pauses.is_paused("a", now=3.9)
    assert not pauses.is_paused("a", now=4.0)


def test_pause_holds_while_the_entry_of_a_server_is_missing(
    directory: Directory, pauses: ServerPauses
) -> None:
    """Keep a pause when an entry expires in an outage of the store and returns."""
    pauses.record("a", 1, seconds=30.0, now=1.0)
    known = directory.by_id["a"]
    directory.remove("a", last_renewed_at=2.0)
    pauses.record("b", 1, seconds=1.0, now=3.0)
    directory.put(replace(known, slots=2), now=4.0)
    assert pauses.is_paused("a", now=4.0)


def test_ended_pauses_are_dropped(pauses: ServerPauses) -> None:
    pauses.record("a", 1, seconds=3.0, now=1.0)
    pauses.record("b", 1, seconds=0.0, now=5.0)
    pauses.record("b", 1, seconds=0.0, now=6.0)
    assert not pauses.is_paused("a", now=2.0)
