"""Declare, read and check the settings of one process.

Settings are written in JSON with comments.  Every setting stands in one table
with its name, default, type and meaning; a check names every fault in one run.
"""

from __future__ import annotations

import dataclasses
import ipaddress
import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import json5
from expression import Error, Ok, Result

from .faults import Fault

__all__ = [
    "SETTINGS",
    "Fault",
    "Setting",
    "Settings",
    "read_settings",
    "reference",
]

_JSON5_PLACE = re.compile(r"<string>:(?P<line>\d+) (?P<what>.*)", re.S)

#: Marks a setting that has no default.
REQUIRED = object()

#: Shortest retention, in seconds: records must outlast twice the time for which
#: claims are asked for (state/claims.py), and a snapshot's writing.
MIN_LOG_RETENTION = 1800.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Setting:
    """Declare one setting.

    Attributes
    ----------
    check : callable
        Tell whether a value is acceptable.
    expected : str
        What ``check`` accepts, for messages and the reference page.
    secret : bool
        Keep the value out of dumps and logs.
    """

    name: str
    default: Any
    check: Callable[[Any], bool]
    expected: str
    meaning: str
    secret: bool = False


def _is_name(value: Any) -> bool:
    return (
        isinstance(value, str)
        and bool(value)
        and all(char.isascii() and (char.isalnum() or char in "-_.") for char in value)
    )


def _is_address(value: Any) -> bool:
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and int(port) < 65536


def _is_addresses(value: Any) -> bool:
    return isinstance(value, list) and all(_is_address(item) for item in value)


def _is_names(value: Any) -> bool:
    return isinstance(value, list) and all(_is_name(item) for item in value)


def _is_positive(value: Any) -> bool:
    number = isinstance(value, int | float) and not isinstance(value, bool)
    return number and 0 < value < math.inf


def _is_size(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


def _is_secret(value: Any) -> bool:
    return isinstance(value, str) and (not value or len(value) >= 16)


_ADDRESS = "an IPv4 number and a port, such as 127.0.0.1:8080"
_SECONDS = "a number of seconds above 0"
_SIZE = "a whole number of bytes above 0"
_COUNT = "a whole number above 0"
_SECRET = "at least 16 characters, or nothing to switch the use off"

#: Every setting there is.
SETTINGS: tuple[Setting, ...] = (
    Setting(
        name="host",
        default=REQUIRED,
        check=_is_name,
        expected="a name of letters, digits, '-', '_' and '.'",
        meaning="Name of this entry host, unique among all.",
    ),
    Setting(
        name="region",
        default="",
        check=lambda value: value == "" or _is_name(value),
        expected="a name, or nothing",
        meaning="Region of this entry host.",
    ),
    Setting(
        name="availability_zone",
        default=REQUIRED,
        check=_is_name,
        expected="a name of letters, digits, '-', '_' and '.'",
        meaning="Availability zone of this entry host.",
    ),
    Setting(
        name="availability_zones",
        default=REQUIRED,
        check=_is_names,
        expected="a list of names",
        meaning="All availability zones whose placement this host follows.",
    ),
    Setting(
        name="callers_address",
        default=REQUIRED,
        check=_is_address,
        expected=_ADDRESS,
        meaning="Where callers, operators and the balancer reach this host.",
    ),
    Setting(
        name="log_address",
        default=REQUIRED,
        check=_is_address,
        expected=_ADDRESS,
        meaning="The platform's log service.",
    ),
    Setting(
        name="log_retention",
        default=86_400.0,
        check=lambda value: _is_positive(value) and value >= MIN_LOG_RETENTION,
        expected=f"a number of seconds, {MIN_LOG_RETENTION:g} or more",
        meaning="Time for which the log keeps a record, at the least.",
    ),
    Setting(
        name="log_appends_per_second",
        default=20.0,
        check=_is_positive,
        expected="a number above 0",
        meaning="Most appends of this host; all hosts share what the log takes.",
    ),
    Setting(
        name="claims_partitions",
        default=4,
        check=lambda value: _is_size(value) and value <= 1024,
        expected="a whole number from 1 to 1024, the same on every entry host",
        meaning="Streams over which claims are spread; changed only when all stop.",
    ),
    Setting(
        name="hosts_list_address",
        default=REQUIRED,
        check=_is_address,
        expected=_ADDRESS,
        meaning="The platform's list of hosts.",
    ),
    Setting(
        name="peers_address",
        default="127.0.0.1:0",
        check=_is_address,
        expected=_ADDRESS,
        meaning="Where other entry hosts reach this one over UDP.",
    ),
    Setting(
        name="peers",
        default=[],
        check=_is_addresses,
        expected="a list of addresses",
        meaning="The other entry hosts' peers_address.",
    ),
    Setting(
        name="peer_key",
        default="",
        check=_is_secret,
        expected=_SECRET,
        meaning="Key shared by all entry hosts; authenticates their messages.",
        secret=True,
    ),
    Setting(
        name="operator_key",
        default="",
        check=_is_secret,
        expected=_SECRET,
        meaning="Key with which an operator signs in and asks for dumps.",
        secret=True,
    ),
    Setting(
        name="request_timeout",
        default=60.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Deadline of a request that names none.",
    ),
    Setting(
        name="max_request_timeout",
        default=600.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Longest deadline that a caller may name in X-Request-Timeout.",
    ),
    Setting(
        name="progress_timeout",
        default=2.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Silence of a connection, or between tokens, after which it is "
        "given up.",
    ),
    Setting(
        name="first_token_timeout",
        default=10.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Silence of an engine until the first token of an attempt.",
    ),
    Setting(
        name="service_timeout",
        default=15.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Silence of a plain service until the first byte of its answer.",
    ),
    Setting(
        name="unread_timeout",
        default=20.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Time for which a caller may leave its answer unread.",
    ),
    Setting(
        name="claim_timeout",
        default=5.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Wait for the log to confirm the claim of a request that runs at "
        "most once.",
    ),
    Setting(
        name="recovery_timeout",
        default=8.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Wait of a request whose attempt failed for another backend server.",
    ),
    Setting(
        name="report_interval",
        default=0.5,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Time between two questions to each backend server.",
    ),
    Setting(
        name="report_max_age",
        default=2.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Age up to which a backend server's report counts.",
    ),
    Setting(
        name="group_batch",
        default=256,
        check=_is_size,
        expected=_COUNT,
        meaning="Requests that one replica group runs at a time; more wait here.",
    ),
    Setting(
        name="lease_term",
        default=6.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Term of the planner's lease of an availability zone.",
    ),
    Setting(
        name="drain_grace",
        default=3.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Time at the start of a graceful shutdown in which new requests are "
        "still taken, so that the balancer turns away first.",
    ),
    Setting(
        name="drain_timeout",
        default=30.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Longest graceful shutdown; what is left then ends with an error.",
    ),
    Setting(
        name="callers_request_timeout",
        default=10.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Longest time in which a caller's whole request must arrive.",
    ),
    Setting(
        name="callers_idle_timeout",
        default=75.0,
        check=_is_positive,
        expected=_SECONDS,
        meaning="Time after which a caller's idle connection is closed.",
    ),
    Setting(
        name="max_body",
        default=4 << 20,
        check=_is_size,
        expected=_SIZE,
        meaning="Longest body of a caller's request.",
    ),
)

_SETTINGS_BY_NAME = {setting.name: setting for setting in SETTINGS}


class Settings:
    """Hold checked settings; each is an attribute."""

    __slots__ = tuple(_SETTINGS_BY_NAME)

    def __init__(self, **values: Any) -> None:
        for name, value in values.items():
            setattr(self, name, value)

    def public(self) -> dict[str, Any]:
        """Return the settings without the secrets, for the dump."""
        return {
            setting.name: getattr(self, setting.name)
            for setting in SETTINGS
            if not setting.secret
        }


def read_settings(text: str) -> Result[Settings, list[Fault]]:
    """Read settings and check all of them; faults name their line in the text."""
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
    faults = [_unknown(name) for name in values if name not in _SETTINGS_BY_NAME]
    checked: dict[str, Any] = {}
    for setting in SETTINGS:
        value = values.get(setting.name, setting.default)
        fault = _check(setting, value)
        if fault is not None:
            faults.append(fault)
        checked[setting.name] = value
    if not faults:
        faults = _disagreements(checked)
    if faults:
        return Error([_with_line(fault, text) for fault in faults])
    return Ok(Settings(**checked))


def reference() -> str:
    """Return the table of all settings in Markdown, for docs/OPERATING.md."""
    lines = [
        "| setting | default | accepts | meaning |",
        "|---|---|---|---|",
    ]
    for setting in SETTINGS:
        default = "required" if setting.default is REQUIRED else f"`{setting.default}`"
        if setting.default in ("", []):
            default = "none"
        meaning = setting.meaning + (" Secret." if setting.secret else "")
        lines.append(
            f"| `{setting.name}` | {default} | {setting.expected} | {meaning} |"
        )
    return "\n".join(lines) + "\n"


def _unreadable(error: Exception) -> Fault:
    # json5 opens its message with "<string>:LINE", where it knows the line.
    found = _JSON5_PLACE.match(str(error))
    if found is None:
        place, what = "file", str(error)
    else:
        place, what = f"line {found['line']}", found["what"]
    return Fault(
        place=place, expected="JSON with comments", remedy=f"mend the text: {what}"
    )


def _with_line(fault: Fault, text: str) -> Fault:
    key = re.search(rf"""^[^\S\n]*["']?{re.escape(fault.place)}["']?\s*:""", text, re.M)
    if key is None:
        return fault
    line = text.count("\n", 0, key.start()) + 1
    return dataclasses.replace(fault, place=f"{fault.place} (line {line})")


def _disagreements(values: dict[str, Any]) -> list[Fault]:
    """Check what one setting demands of another."""
    faults = []
    if values["availability_zone"] not in values["availability_zones"]:
        faults.append(
            Fault(
                place="availability_zones",
                expected=f"{values['availability_zone']!r}, the own zone, among them",
                remedy="add it, or mend availability_zone",
            )
        )
    if values["report_max_age"] <= values["report_interval"]:
        faults.append(
            Fault(
                place="report_max_age",
                expected=f"more than report_interval, {values['report_interval']:g}",
                remedy="raise it: a report would expire before the next is asked for",
            )
        )
    if values["peers"] and not values["peer_key"]:
        faults.append(
            Fault(
                place="peer_key",
                expected="a key, since peers are given",
                remedy="give all entry hosts the same one; others could speak as peers",
            )
        )
    return faults


def _unknown(name: str) -> Fault:
    return Fault(
        place=name,
        expected="a known setting",
        remedy="remove it, or look its name up in docs/OPERATING.md",
    )


def _check(setting: Setting, value: Any) -> Fault | None:
    if value is REQUIRED:
        return Fault(
            place=setting.name,
            expected=setting.expected,
            remedy=f"set it; it means: {setting.meaning}",
        )
    if setting.check(value):
        return None
    shown = "a secret" if setting.secret else repr(value)
    return Fault(
        place=setting.name, expected=setting.expected, remedy=f"replace {shown}"
    )
