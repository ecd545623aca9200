"""Test that the benchmarks that produce the figures of the documentation run."""

from __future__ import annotations

import sys
from dataclasses import replace

import pytest

from benchmarks import compare_days
from benchmarks.group_days import DAYS, play
from benchmarks.slopes import main
from benchmarks.slopes_fit import Slope
from ryelever.emulator import simulate_day
from ryelever.emulator.day import DAY_DURATION

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


def test_slopes_print_a_row_for_every_role(capsys):
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
def test_slope_is_extrapolated_and_marked_if_points_form_no_line(
    points, at_size, is_line
):
    slope = Slope(role="r", what="w", unit="ms", design_size=10, points=points)
    assert slope.at_size() == pytest.approx(at_size)
    assert ("(no line)" not in slope.row()) is is_line


@pytest.mark.parametrize("name", [name for name in DAYS if "rushes" not in name])
def test_day_without_losses_serves_all_demand(name: str) -> None:
    """Play a day without losses: unserved demand then has a cause other than losses."""
    deployment, losses = DAYS[name]
    quiet = replace(losses, loss_interval=(100.0, 100.0), domain_lost_at=float("inf"))
    served = simulate_day(deployment=deployment, losses=quiet, seed=1).served_by_model
    assert min(served.values()) > 1.0 - 1.0 / DAY_DURATION


def test_override_of_an_unknown_constant_is_an_error() -> None:
    with pytest.raises(SystemExit, match="forming has no NOTHING"):
        play("48 servers, calm", 1, ("forming.NOTHING=3",))


PLAYER = """
import json, pathlib, sys
day, seed, report = sys.argv[1:]
with open("played", "a") as file:
    file.write(day + seed + "\\n")
better = pathlib.Path.cwd().name == "changed"
worth = 0.5 + 0.01 * int(seed) + 0.02 * better
parts = [["whole day", 1.0, worth + 0.1]]
pathlib.Path(report).write_text(json.dumps({"G": worth, "parts": parts, "breaks": {}}))
"""


def test_variants_are_compared_in_pairs_and_each_day_is_played_once(
    tmp_path, capsys, monkeypatch
) -> None:
    player = tmp_path / "player.py"
    player.write_text(PLAYER)
    argv = ["compare_days", "--results", str(tmp_path / "results")]
    argv += ["--player", f"{sys.executable} {player} {{day}} {{seed}} {{report}}"]
    argv += ["--deployment", str(tmp_path / "fleet.toml"), "--day", "calm"]
    for variant in ("baseline", "changed"):
        (tmp_path / variant).mkdir()
        argv += ["--variant", f"{variant}={tmp_path / variant}"]
    monkeypatch.setattr(sys, "argv", [*argv, "--seed", "1", "--seed", "2"])
    compare_days.main()
    assert "| fleet | changed | 2 | 0.5350 | 0.6350 | +0.0200 ± 0.0000 | 0 |" in (
        capsys.readouterr().out
    )
    monkeypatch.setattr(sys, "argv", [*argv, "--seed", "2", "--seed", "3"])
    compare_days.main()
    played = (tmp_path / "changed" / "played").read_text().split()
    assert sorted(played) == ["calm1", "calm2", "calm3"]
