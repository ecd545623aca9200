"""Test what the directory keeps of servers that state that they are leaving."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from ryelever.state.directory import Directory
from ryelever.state.leaving import (
    ANNOUNCED_FOR,
    LEAVING_RETENTION,
    LeavingServerRow,
)

from ..test_coordination.test_groups.group_fakes import server

SERVER = server("a")
ROW = LeavingServerRow(server_id="a", started_at=SERVER.started_at)


@pytest.fixture
def directory() -> Directory:
    """Return a directory in which a server is marked as leaving."""
    directory = Directory()
    directory.put(SERVER, now=0.0)
    assert directory.mark_leaving(ROW, is_local=True, now=1.0)
    return directory


def _is_draining(directory: Directory) -> bool:
    [found] = directory.of_service("engines")
    assert found is directory.by_id["a"]
    return found.draining


def test_statement_takes_effect_once(directory: Directory) -> None:
    n_changes = directory.n_changes
    assert _is_draining(directory)
    assert not directory.mark_leaving(ROW, is_local=True, now=2.0)
    assert directory.n_changes == n_changes


def test_records_that_do_not_show_it_change_nothing(directory: Directory) -> None:
    assert not directory.put(SERVER, now=2.0)
    assert directory.put(replace(SERVER, slots=2), now=3.0)
    assert _is_draining(directory)


def test_record_that_returns_after_an_outage_is_draining(directory: Directory) -> None:
    """Keep a statement while the server's entry is missing."""
    directory.remove("a", last_renewed_at=2.0)
    assert not directory.mark_leaving(ROW, is_local=True, now=3.0)
    directory.put(SERVER, now=4.0)
    assert _is_draining(directory)


def test_another_incarnation_is_of_use(directory: Directory) -> None:
    directory.put(replace(SERVER, started_at=2), now=2.0)
    assert not _is_draining(directory)
    second = LeavingServerRow(server_id="a", started_at=2)
    assert directory.mark_leaving(second, is_local=True, now=3.0)
    assert _is_draining(directory)


def test_statement_of_a_server_without_an_entry_is_remembered() -> None:
    directory = Directory()
    assert directory.mark_leaving(ROW, is_local=True, now=0.0)
    directory.put(SERVER, now=1.0)
    assert _is_draining(directory)


def test_old_statements_are_dropped(directory: Directory) -> None:
    directory.remove("a", last_renewed_at=1.0)
    directory.mark_leaving(
        LeavingServerRow(server_id="b"), is_local=True, now=2.0 + LEAVING_RETENTION
    )
    directory.put(SERVER, now=3.0 + LEAVING_RETENTION)
    assert not _is_draining(directory)


def test_statement_does_not_change_how_long_a_server_stays_cold() -> None:
    directory = Directory()
    directory.put(replace(SERVER, cold_for=2.0), now=0.0)
    directory.mark_leaving(ROW, is_local=True, now=1.0)
    assert directory.cold_until_by_id == {"a": 2.0}


def test_statements_are_announced_by_the_host_that_received_them() -> None:
    """Announce no other host's statements, or hosts would repeat them forever."""
    directory = Directory()
    directory.put(SERVER, now=0.0)
    assert directory.mark_leaving(ROW, is_local=False, now=1.0)
    assert directory.by_id["a"].draining
    assert not directory.mark_leaving(ROW, is_local=False, now=1.0)
    directory.mark_leaving(LeavingServerRow(server_id="b"), is_local=True, now=1.0)
    announced = LeavingServerRow(server_id="b")
    assert directory.leaving.announced(now=1.0) == (announced,)
    assert directory.leaving.announced(now=1.0 + ANNOUNCED_FOR) == ()


def test_statement_of_another_incarnation_is_ignored(directory: Directory) -> None:
    directory.put(replace(SERVER, started_at=2), now=2.0)
    assert not directory.mark_leaving(ROW, is_local=False, now=3.0)
    assert not _is_draining(directory)
