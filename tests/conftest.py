"""Fixtures and pytest hooks for all tests."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

from .known_red import KNOWN_RED, mark_known_red, read_known_red
from .processes import Fleet, running_fleet

# Every run generates the same examples, so that CI gives the same result each time.
settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")


def pytest_report_header() -> list[str]:
    """Return the lines that list the known failures in the report header."""
    known_red = read_known_red(KNOWN_RED)
    return [f"known red: {known.test}: {known.reason}" for known in known_red]


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Mark the known failures as expected; all other failures fail the run."""
    whole_files = not any("::" in argument for argument in config.args)
    mark_known_red(items, whole_files=whole_files)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Yield a fleet whose processes are killed after the test."""
    with running_fleet(tmp_path) as running:
        yield running
