"""Compare each logging call with the table of events and fields."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import ryelever
from ryelever.log_table import EVENTS_BY_NAME, FIELDS_BY_NAME, LogLevel

ROOT = Path(ryelever.__file__).parent
OPERATIONS = ROOT.parent / "docs" / "OPERATIONS.md"

#: Functions that write log lines, and the level of these lines.
LEVELS_BY_FUNCTION = {
    "log_event": LogLevel.INFO,
    "log_warning": LogLevel.WARNING,
    "log_error": LogLevel.ERROR,
    "_log": LogLevel.INFO,
}

#: Events that are logged only on hosts that don't relay.
EVENTS_WITHOUT_RELAY = frozenset(
    {
        "append_failed",
        "append_given_up",
        "clock_differs_from_log",
        "configuration_adopted",
        "crash_explained",
        "crash_noted",
        "drain_closed",
        "drain_cut_off",
        "drain_started",
        "dump",
        "hosts_list_failed",
        "lease_given_back",
        "order_failed",
        "order_refused",
        "order_sent",
        "publishing",
        "read_failed",
        "record_ignored",
        "records_lost",
        "report_not_counted",
        "request_failed",
        "sign_in_failed",
        "signed_in",
        "snapshot_restored",
        "snapshot_written",
        "stream_failed",
        "suspicion_received",
    }
)


def _calls() -> Iterator[tuple[str, ast.Call, str]]:
    """Yield the position of each logging call, the call and the function's name."""
    for path in sorted(ROOT.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            name = getattr(node.func, "id", getattr(node.func, "attr", ""))
            if name in LEVELS_BY_FUNCTION and node.args:
                yield f"{path.relative_to(ROOT)}:{node.lineno}", node, name


def test_each_line_is_declared() -> None:
    n_checked = 0
    for place, call, function in _calls():
        event = call.args[0]
        if not isinstance(event, ast.Constant):
            continue
        declared = EVENTS_BY_NAME.get(event.value)
        assert declared is not None, f"{place}: {event.value} is not declared"
        fields = {keyword.arg for keyword in call.keywords if keyword.arg}
        unknown = fields - set(declared.fields)
        assert not unknown, f"{place}: {event.value} has undeclared {unknown}"
        level = LEVELS_BY_FUNCTION[function]
        assert declared.level is level, f"{place}: {event.value} is no {level.value}"
        n_checked += 1
    assert n_checked > 50


def test_each_declared_event_is_logged() -> None:
    strings = {
        node.value
        for path in ROOT.rglob("*.py")
        if path.name != "log_table.py"
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    }
    assert EVENTS_BY_NAME.keys() - strings == set()


def test_each_field_is_declared_and_used() -> None:
    used = {field for event in EVENTS_BY_NAME.values() for field in event.fields}
    assert used == FIELDS_BY_NAME.keys()


def test_operations_page_lists_each_line_of_a_relaying_host() -> None:
    page = OPERATIONS.read_text()
    missing = {
        name
        for name in EVENTS_BY_NAME.keys() - EVENTS_WITHOUT_RELAY
        if f"`{name}`" not in page
    }
    assert missing == set()
