"""Test how the log lines that explain a request are collected."""

from __future__ import annotations

import json
from pathlib import Path

from ryelever.cli import main
from ryelever.explain import explain


def _log(path: Path, *lines: dict[str, object]) -> Path:
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))
    return path


def _line(time: float, event: str, **fields: object) -> dict[str, object]:
    return {"time": time, "level": "info", "event": event} | fields


def _hosts(tmp_path: Path) -> list[Path]:
    e1 = _log(
        tmp_path / "e1.log",
        _line(80.0, "store_lost", peer="store"),
        _line(99.0, "group_phase", group="g1", phase="ending", reason="member_silent"),
        _line(100.0, "attempt_failed", request="r1", server="i1", reason="still"),
        _line(100.5, "answered", request="r2", status=200, server="i1"),
        _line(101.0, "answered", request="r1", status=200, server="i2", n_sent=2),
    )
    e2 = _log(
        tmp_path / "e2.log",
        _line(98.0, "group_decided", group="g1", members=["i1", "i3"]),
        _line(99.5, "store_lost", peer="store"),
        _line(100.2, "server_gone", server="i9"),
    )
    return [e1, e2]


def test_lines_of_all_hosts_are_sorted_by_time(tmp_path: Path) -> None:
    found = explain("r1", _hosts(tmp_path))
    shown = [line.split(" ", 2)[2].strip().split()[:2] for line in found.lines]
    assert shown == [
        ["e2:", "group_decided"],
        ["e1:", "group_phase"],
        ["e1:", "attempt_failed"],
        ["e1:", "answered"],
    ]
    assert [line.split()[1] for line in found.lines][-2:] == ["*", "*"]
    assert found.faults == []


def test_broken_lines_are_reported_and_the_other_lines_are_read(
    tmp_path: Path,
) -> None:
    paths = _hosts(tmp_path)
    with paths[0].open("a") as file:
        file.write('{"time": 102.0, "event": "cut')
    found = explain("r1", [*paths, tmp_path / "nowhere.log"])
    assert len(found.lines) == 4
    assert "e1.log, line 6" in found.faults[0]
    assert "nowhere.log" in found.faults[1]


def test_command_prints_the_lines_or_reports_that_there_are_none(
    tmp_path: Path, capsys: object
) -> None:
    paths = [str(path) for path in _hosts(tmp_path)]
    assert main(["explain", "--request-id", "r1", "--files", *paths]) == 0
    assert "member_silent" in capsys.readouterr().out
    assert main(["explain", "--request-id", "r9", "--files", *paths]) == 1
    assert "r9" in capsys.readouterr().err


def test_refusal_after_a_wait_is_followed_by_its_cause(tmp_path: Path) -> None:
    """Guard against a refusal whose cause only the lines of other parts tell."""
    log = _log(
        tmp_path / "e1.log",
        _line(9.0, "servers_shifted", zone="z", model="small", donor="large"),
        _line(9.5, "group_phase", group="g", model="small", phase="forming"),
        _line(10.0, "held", request="r1", model="large", n_ahead=9, expected_wait=0.4),
        _line(10.1, "held", request="r2", model=["odd"], expected_wait=None),
        _line(12.0, "answered", request="r1", reason="no_place", n_ahead=22),
        _line(12.1, "answered", request="r2", status=200, late="waited"),
    )
    lines = explain("r1", [log]).lines
    assert len(lines) == 4
    assert "servers_shifted" in lines[0]
    assert lines[-1] == (
        "12.000 * e1: cause: no slot became free while the request waited, "
        "22 requests ahead, expected wait 0.4 s"
    )
    assert explain("r2", [log]).lines[-1].endswith("the request waited for a slot")


def test_refusal_for_a_part_is_explained_by_its_crashes(tmp_path: Path) -> None:
    """Guard against a refusal whose cause, minutes before, an operator can't find."""
    other = _log(
        tmp_path / "e1.log",
        _line(20.0, "request_in_crash", crash="i1", parts=["f", "d"]),
        _line(21.0, "request_in_crash", crash="i2", parts=["f"]),
        _line(22.0, "part_condemned", part="d", n_crashes=3),
        _line(23.0, "part_condemned", part="x", n_crashes=3),
    )
    own = _log(
        tmp_path / "e2.log",
        _line(100.0, "quarantined", request="r1", n_crashes=3, part="d"),
        _line(100.1, "part_cleared", part="d", peer="e1"),
        _line(900.0, "part_condemned", part="d", n_crashes=4),
    )
    found = explain("r1", [other, own])
    assert [line.split()[0] for line in found.lines] == [
        "20.000",
        "22.000",
        "100.000",
        "100.100",
    ]
