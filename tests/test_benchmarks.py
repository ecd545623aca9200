"""Test that the command behind docs/CAPACITY.md runs and shows every role."""

from __future__ import annotations

import pytest

from benchmarks.slopes import main
from benchmarks.slopes_fit import Slope

ROLES = (
    "caller front",
    "caller front: request table",
    "router",
    "admission",
    "admission: limits",
    "planner",
    "log reader",
    "log reader: claims",
    "log writer, claims",
    "soft state",
    "console",
    "state dump",
    "metrics",
    "hosts list",
    "control in all",
)


def test_prints_every_role(capsys):
    main(quick=True)
    table = capsys.readouterr().out
    rows = [line.split("|") for line in table.splitlines() if line.startswith("|")]
    assert table.startswith("seed 1;")
    assert {row[1].strip() for row in rows} >= set(ROLES)


@pytest.mark.parametrize(
    ("points", "at_size", "is_line"),
    [
        ([(1, 3.0), (2, 5.0), (4, 9.0)], 21.0, True),
        ([(1, 1.0), (5, 100.0), (10, 2.0)], 2.0, False),
    ],
)
def test_line(points, at_size, is_line):
    slope = Slope(role="r", what="w", unit="ms", n_at=10, points=points)
    assert slope.at_size() == pytest.approx(at_size)
    assert ("(no line)" not in slope.row()) is is_line
