"""Share fixtures among all tests."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from .processes import Fleet, running_fleet


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Yield processes that are stopped after the test."""
    with running_fleet(tmp_path) as running:
        yield running
