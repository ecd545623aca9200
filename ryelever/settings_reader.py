"""Read settings from JSON with comments and report all faults at once."""

from __future__ import annotations

import re
from typing import Any

import json5
from expression import Error, Ok, Result
from msgspec.structs import replace

from .faults import Fault
from .settings import REQUIRED, SETTINGS, Setting, Settings

__all__ = ["read_settings"]

_SETTING_NAMES = frozenset(setting.name for setting in SETTINGS)

_JSON5_PLACE = re.compile(r"<string>:(?P<line>\d+) (?P<what>.*)", re.S)


def read_settings(text: str) -> Result[Settings, list[Fault]]:
    """Return the checked settings, or all faults with their lines in the text."""
    try:
        values = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        return Error([_unreadable(error)])
    if not isinstance(values, dict):
        return Error(
            [
                Fault(
                    place="file",
                    expected="an object of settings",
                    remedy="put the settings between braces",
                )
            ]
        )
    faults = [_unknown(name) for name in values if name not in _SETTING_NAMES]
    checked: dict[str, Any] = {}
    for setting in SETTINGS:
        value = values.get(setting.name, setting.default)
        fault = _check(setting, value)
        if fault is not None:
            faults.append(fault)
        checked[setting.name] = value
    if not faults:
        faults = _inconsistencies(checked)
    if faults:
        return Error([_with_line(fault, text) for fault in faults])
    return Ok(Settings(**checked))


def _unreadable(error: Exception) -> Fault:
    # The message of json5 starts with "<string>:LINE" if the line is known.
    found = _JSON5_PLACE.match(str(error))
    if found is None:
        place, what = "file", str(error)
    else:
        place, what = f"line {found['line']}", found["what"]
    return Fault(
        place=place, expected="JSON with comments", remedy=f"correct the text: {what}"
    )


def _with_line(fault: Fault, text: str) -> Fault:
    key = re.search(rf"""^[^\S\n]*["']?{re.escape(fault.place)}["']?\s*:""", text, re.M)
    if key is None:
        return fault
    line = text.count("\n", 0, key.start()) + 1
    return replace(fault, place=f"{fault.place} (line {line})")


def _inconsistencies(values: dict[str, Any]) -> list[Fault]:
    """Return the faults of settings that contradict each other."""
    faults = []
    if values["availability_zone"] not in values["availability_zones"]:
        faults.append(
            Fault(
                place="availability_zones",
                expected=f"a list that includes {values['availability_zone']!r}",
                remedy="add it, as this host's zone, or correct availability_zone",
            )
        )
    if values["report_max_age"] <= values["report_interval"]:
        faults.append(
            Fault(
                place="report_max_age",
                expected=f"more than report_interval, {values['report_interval']:g}",
                remedy="raise it: a report would expire before the next is requested",
            )
        )
    if values["peers"] and not values["peer_key"]:
        faults.append(
            Fault(
                place="peer_key",
                expected="a key, since peers are set",
                remedy="set the same key on all entry hosts; without a key, others "
                "could impersonate peers",
            )
        )
    if values["forward_requests"] and not values["peer_key"]:
        faults.append(
            Fault(
                place="peer_key",
                expected="a key, since forward_requests is set",
                remedy="set the same key on all entry hosts; without a key, others "
                "could send requests to backend servers",
            )
        )
    return faults


def _unknown(name: str) -> Fault:
    return Fault(
        place=name,
        expected="a known setting",
        remedy="remove it, or find its correct name in docs/OPERATIONS.md",
    )


def _check(setting: Setting, value: Any) -> Fault | None:
    if value is REQUIRED:
        return Fault(
            place=setting.name,
            expected=setting.expected,
            remedy=f"set it; meaning: {setting.meaning}",
        )
    if setting.check(value):
        return None
    shown = "a secret" if setting.secret else repr(value)
    return Fault(
        place=setting.name, expected=setting.expected, remedy=f"replace {shown}"
    )
