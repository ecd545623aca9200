"""Summarize the entry hosts' logs of a day: groups, idle servers, request outcomes.

Reads log lines (a JSON object after an optional time and host name) and prints three
tables: the serving groups and the demand of each model every two seconds; the idle
server-seconds by the reason for idleness; and durations of group phases, failures and
answers by kind::

    .venv/bin/python -m benchmarks.day_account LOG [LOG ...]
"""

from __future__ import annotations

import argparse
import json
import re
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

#: A log line: optional seconds since the start of traffic, optional host, JSON object.
LINE = re.compile(r"^\s*(?P<at>-?\d+\.\d+)?\s*(?P<host>\S+)?\s*(?P<json>\{.*\})\s*$")

#: Seconds that one row of the first table covers.
STEP = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """One log line: seconds since the start of traffic, writing host, and fields."""

    at: float
    host: str
    fields: dict[str, Any]


@dataclass(slots=True)
class DayTotals:
    """Totals of a day's log lines; times and durations in seconds.

    Events are handled by the method named after the event with a leading underscore;
    other events are ignored.

    Attributes
    ----------
    serving : dict of str to tuple of str
        Model and host of each serving group, by group name and epoch.
    groups_at, demand_at : dict
        Serving groups, and demand, by model and by row of the first table.
    idle_by_zone : dict
        Time, idle servers by reason, and serving servers of each zone's last report.
    ended : dict of str to Line
        The log line that ended each group that is not retired yet.
    """

    serving: dict[str, tuple[str, str]] = field(default_factory=dict)
    groups_at: dict[int, Counter[str]] = field(default_factory=dict)
    demand_at: dict[int, dict[str, float]] = field(default_factory=dict)
    idle_seconds: Counter[str] = field(default_factory=Counter)
    serving_seconds: float = 0.0
    idle_by_zone: dict[str, tuple[float, dict[str, int], int]] = field(
        default_factory=dict
    )
    ended: dict[str, Line] = field(default_factory=dict)
    durations: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    failures: Counter[str] = field(default_factory=Counter)
    answers: Counter[str] = field(default_factory=Counter)

    def add(self, line: Line) -> None:
        """Add one line to the totals."""
        step = int(line.at // STEP)
        handler = getattr(self, f"_{line.fields['event']}", None)
        if handler is not None:
            handler(line, line.fields)
        counts = Counter(model for model, _ in self.serving.values())
        self.groups_at[step] = counts

    def _group_phase(self, line: Line, fields: dict[str, Any]) -> None:
        name = f"{fields['group']}/{fields['epoch']}"
        if fields["phase"] == "serving":
            self.serving[name] = (fields["model"], line.host)
            self.durations["formed"].append(fields.get("took", 0.0))
        elif fields["phase"] == "ending":
            self.serving.pop(name, None)
            self.ended[name] = line
            self.failures[f"group ended: {fields['reason']}"] += 1
        elif fields["phase"] == "retired":
            self.serving.pop(name, None)
            if name in self.ended:
                waited = line.at - self.ended.pop(name).at
                self.durations[f"retired: {fields['reason']}"].append(waited)

    def _models_weighed(self, line: Line, fields: dict[str, Any]) -> None:
        self.demand_at[int(line.at // STEP)] = fields["demand"]

    def _servers_idle(self, line: Line, fields: dict[str, Any]) -> None:
        zone = fields["zone"]
        since, counts, n_serving = self.idle_by_zone.get(zone, (line.at, {}, 0))
        passed = line.at - max(0.0, since)
        if passed > 0:
            self.serving_seconds += passed * n_serving
            for reason, count in counts.items():
                self.idle_seconds[reason] += passed * count
        latest_counts = (line.at, fields["n_by_reason"], fields["n_serving"])
        self.idle_by_zone[zone] = latest_counts

    def _attempt_failed(self, line: Line, fields: dict[str, Any]) -> None:
        self.failures[f"sending: {fields['reason']}"] += 1

    def _attempt_held(self, line: Line, fields: dict[str, Any]) -> None:
        self.failures[f"sending held: {fields['reason']}"] += 1

    def _answered(self, line: Line, fields: dict[str, Any]) -> None:
        if line.at < 0:
            return
        status, reason, late = (fields[name] for name in ("status", "reason", "late"))
        outcome = f"late, {late}" if late and status == 200 else f"{status} {reason}"
        self.answers[f"answered {outcome}".strip()] += 1


def read_lines(path: Path) -> Iterator[Line]:
    """Yield the lines of a file that hold an event of an entry host."""
    for text in path.read_text(errors="replace").splitlines():
        match = LINE.match(text)
        if match is None:
            continue
        try:
            fields = json.loads(match["json"])
        except ValueError:
            continue
        if "event" in fields:
            at = float(match["at"] or fields["time"])
            yield Line(at=at, host=match["host"] or "", fields=fields)


def print_tables(day: DayTotals) -> None:
    """Print the tables of a day."""
    models = sorted({model for counts in day.groups_at.values() for model in counts})
    print("from s | " + " | ".join(f"{model} groups, demand" for model in models))
    demand: dict[str, float] = {}
    for step in sorted(item for item in day.groups_at if item >= 0):
        demand = day.demand_at.get(step, demand)
        row = [
            f"{day.groups_at[step][model]}, {demand.get(model, 0):.1f}"
            for model in models
        ]
        print(f"{step * STEP:g} | " + " | ".join(row))
    print(f"serving: {day.serving_seconds:.0f} server-seconds")
    for reason, seconds in day.idle_seconds.most_common():
        print(f"idle, {reason}: {seconds:.0f} server-seconds")
    for what, seconds in sorted(day.durations.items()):
        print(
            f"{what}: {len(seconds)} times, median {statistics.median(seconds):.2f} s"
        )
    for what, count in (day.failures + day.answers).most_common():
        print(f"{what}: {count}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", type=Path, nargs="+")
    for path in parser.parse_args().logs:
        day = DayTotals()
        for line in sorted(read_lines(path), key=lambda item: item.at):
            day.add(line)
        print(f"## {path.name}")
        print_tables(day)


if __name__ == "__main__":
    main()
