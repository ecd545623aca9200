"""Tell what happened to one request, from the log lines of several entry hosts."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["Explanation", "explain"]

#: Seconds before a request's first line and after its last in which lines about what
#: it depended on are shown: an outage or a lost member shows within them.
BEFORE = 8.0
AFTER = 2.0

#: Events about what every request depends on.
SHARED_EVENTS = frozenset(
    {
        "configuration_in_force",
        "log_lines_left_out",
        "planner_began",
        "planner_ended",
        "reloaded",
        "started",
        "stopped",
        "stopping",
        "store_lost",
        "store_regained",
    }
)

#: Fields that name backend servers.
SERVER_FIELDS = ("server", "members")


@dataclass(slots=True, kw_only=True, frozen=True)
class _Line:
    """Hold one line and where it was found."""

    time: float
    source: str
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return str(self.fields.get("event", ""))


@dataclass(slots=True, kw_only=True, frozen=True)
class Explanation:
    """Hold what was found.

    Attributes
    ----------
    lines : list of str
        What happened, in its order; empty where nothing names the request.
    faults : list of str
        Files and lines that can't be read; the rest was.
    """

    lines: list[str]
    faults: list[str]


def explain(request_id: str, paths: list[Path]) -> Explanation:
    """Put a request's lines, and those it depended on, in their order.

    Parameters
    ----------
    request_id : str
        Id that the caller gave its sending.
    paths : list of Path
        Log files, one a host.
    """
    faults: list[str] = []
    lines = [line for path in paths for line in _read(path, faults)]
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return Explanation(lines=[], faults=faults)
    servers = {str(line.fields["server"]) for line in own if line.fields.get("server")}
    start = min(line.time for line in own) - BEFORE
    end = max(line.time for line in own) + AFTER
    sources = {line.source for line in own}
    groups = {
        line.fields["group"]
        for line in lines
        if line.fields.get("group") and servers & _servers(line)
    }
    shown = [
        line
        for line in lines
        if start <= line.time <= end
        and (
            line.fields.get("request") == request_id
            or _concerns(line, servers=servers, groups=groups)
            or (line.event in SHARED_EVENTS and line.source in sources)
        )
    ]
    shown.sort(key=lambda line: line.time)
    return Explanation(lines=[_told(line, request_id) for line in shown], faults=faults)


def _read(path: Path, faults: list[str]) -> list[_Line]:
    try:
        raw = path.read_bytes()
    except OSError as error:
        faults.append(f"{path}: cannot read: {error.strerror}")
        return []
    lines = []
    for number, data in enumerate(raw.splitlines(), start=1):
        try:
            fields = msgspec.json.decode(data, type=dict[str, Any])
            time = float(fields["time"])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
            faults.append(f"{path}, line {number}: no log line: {error}")
            continue
        lines.append(_Line(time=time, source=path.stem, fields=fields))
    return lines


def _servers(line: _Line) -> set[str]:
    found: set[str] = set()
    for name in SERVER_FIELDS:
        value = line.fields.get(name)
        if isinstance(value, str):
            found.add(value)
        elif isinstance(value, list):
            found |= {str(item) for item in value}
    return found


def _concerns(line: _Line, *, servers: set[str], groups: set[str]) -> bool:
    """Tell whether a line is about a server that had the request, or its group."""
    if line.fields.get("request"):
        return False
    return bool(servers & _servers(line)) or line.fields.get("group") in groups


def _told(line: _Line, request_id: str) -> str:
    own = "*" if line.fields.get("request") == request_id else " "
    rest = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in ("time", "level", "event", "request") and value != ""
    )
    return f"{line.time:.3f} {own} {line.source}: {line.event} {rest}"
