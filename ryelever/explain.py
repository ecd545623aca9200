"""Collect the log lines of several entry hosts that explain one request."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["Explanation", "explain"]

#: Seconds before a request's first line and after its last line in which lines about
#: its dependencies are shown.  An outage or a lost member is logged within this time.
SECONDS_BEFORE = 8.0
SECONDS_AFTER = 2.0

#: Events that concern every request on a host.
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

#: Events about the groups of a model, which concern a request that waited for a slot.
MODEL_EVENTS = frozenset({"group_phase", "servers_shifted"})

#: Causes of refusals for lack of a slot, by the reason in the request's last line.
CAUSE_BY_REASON = {
    "no_chance": "no slot was expected in time for the caller",
    "no_place": "no slot became free while the request waited",
    "queue_full": "too many requests waited already, in total or of this account",
}

#: Fields that are shown with the cause of a refusal or a delay, with their texts.
CAUSE_DETAILS = {
    "n_ahead": "{} requests ahead",
    "expected_wait": "expected wait {} s",
    "n_servers": "{} servers for the model",
    "views_age": "oldest heartbeat {} s old",
    "retry_after": "told to retry after {} s",
}

#: Log fields that hold ids of backend servers.
SERVER_FIELDS = ("server", "members")


@dataclass(slots=True, kw_only=True, frozen=True)
class _Line:
    """One log line with the name of its file."""

    time: float
    source: str
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return str(self.fields.get("event", ""))


@dataclass(slots=True, kw_only=True, frozen=True)
class Explanation:
    """The lines that explain a request.

    Attributes
    ----------
    lines : list of str
        Formatted log lines in order of time; empty if no line names the request.  A
        refusal for lack of a slot, or a delay by waiting, is followed by its cause.
    faults : list of str
        Files and lines that could not be read; the other ones were processed.
    """

    lines: list[str]
    faults: list[str]


def explain(request_id: str, paths: list[Path]) -> Explanation:
    """Return the lines of a request and of its dependencies, in order of time.

    Parameters
    ----------
    request_id : str
        Id that the caller set when it sent the request.
    paths : list of Path
        Log files, one for each host.
    """
    faults: list[str] = []
    lines = [line for path in paths for line in _read(path, faults)]
    matches = [line for line in lines if line.fields.get("request") == request_id]
    if not matches:
        return Explanation(lines=[], faults=faults)
    servers = {
        str(line.fields["server"]) for line in matches if line.fields.get("server")
    }
    start = min(line.time for line in matches) - SECONDS_BEFORE
    end = max(line.time for line in matches) + SECONDS_AFTER
    models = {
        str(line.fields.get("model", ""))
        for line in matches
        if line.event == "held" or str(line.fields.get("reason")) in CAUSE_BY_REASON
    }
    parts = {str(line.fields["part"]) for line in matches if line.fields.get("part")}
    sources = {line.source for line in matches}
    groups = {
        line.fields["group"]
        for line in lines
        if line.fields.get("group") and servers & _servers(line)
    }
    shown = [
        line
        for line in lines
        if _concerns_parts(line, parts=parts, end=end)
        or start <= line.time <= end
        and (
            line.fields.get("request") == request_id
            or _concerns(line, servers=servers, groups=groups)
            or _concerns_models(line, models=models)
            or (line.event in SHARED_EVENTS and line.source in sources)
        )
    ]
    shown.sort(key=lambda line: line.time)
    held = next((line for line in matches if line.event == "held"), None)
    formatted = []
    for line in shown:
        formatted.append(_format(line, request_id))
        if line.fields.get("request") == request_id:
            formatted += _causes(line, held=held)
    return Explanation(lines=formatted, faults=faults)


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
            faults.append(f"{path}, line {number}: not a log line: {error}")
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
    """Return whether a line is about a server that had the request, or its group."""
    if line.fields.get("request"):
        return False
    return bool(servers & _servers(line)) or line.fields.get("group") in groups


def _concerns_models(line: _Line, *, models: set[str]) -> bool:
    """Return whether a line is about the groups of a model with too few slots."""
    if line.event not in MODEL_EVENTS:
        return False
    named = {str(line.fields.get(name, "")) for name in ("model", "donor")}
    return bool(models & named - {""})


def _concerns_parts(line: _Line, *, parts: set[str], end: float) -> bool:
    """Return whether a line is about crashes for which a request was quarantined.

    They may have occurred minutes before.
    """
    if line.time > end or line.fields.get("request"):
        return False
    named = {str(line.fields.get("part", "")), *line.fields.get("parts", ())}
    return bool(parts & named)


def _causes(line: _Line, *, held: _Line | None) -> list[str]:
    """Return the line that gives the cause of a refusal or of a wait, if any.

    Parameters
    ----------
    held : _Line or None
        Line about the beginning of the request's wait; its figures stand for those
        that the given line lacks.
    """
    cause = CAUSE_BY_REASON.get(str(line.fields.get("reason", "")))
    if cause is None and line.fields.get("late") == "waited" and held is not None:
        cause = "the request waited for a slot"
    if cause is None:
        return []
    fields = (held.fields if held is not None else {}) | line.fields
    details = [
        text.format(fields[name])
        for name, text in CAUSE_DETAILS.items()
        if fields.get(name) is not None
    ]
    text = ", ".join([cause, *details])
    return [f"{line.time:.3f} * {line.source}: cause: {text}"]


def _format(line: _Line, request_id: str) -> str:
    marker = "*" if line.fields.get("request") == request_id else " "
    details = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in ("time", "level", "event", "request") and value != ""
    )
    return f"{line.time:.3f} {marker} {line.source}: {line.event} {details}"
