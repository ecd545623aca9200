"""Share fixtures among all tests."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

from .known_red import mark_known_red
from .processes import Fleet, running_fleet

# Every run draws the same cases, so that CI reaches the same verdict each time.
settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the failures that are known, and no others."""
    mark_known_red(items)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Yield processes that are stopped after the test."""
    with running_fleet(tmp_path) as running:
        yield running
