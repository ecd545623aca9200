"""Read the platform's settings file: lines of the form ``a.b=value``."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from expression import Error, Ok, Result

from ..faults import Fault
from ..relay_settings import ContentionMode, RelaySettings
from ..settings_checks import is_address

__all__ = ["SETTINGS_VARIABLE", "is_node_file", "read_node_settings"]

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "RYELEVER_NODE_FILE"

#: Start of a line of the file: a key and an equals sign.
_LINE = re.compile(r"^[A-Za-z_][\w.-]*=")

_PART_ID = re.compile(r"[0-9a-f]{1,64}")

#: Seconds of a graceful shutdown that are reserved for sending the last bytes.
LAST_BYTES_TIME = 0.7


class _Field(msgspec.Struct, kw_only=True, frozen=True):
    """One field of the file: its key, its parser and the expected value in words."""

    key: str
    read: Callable[[str], Any]
    expected: str
    default: str | None = None


def _address(text: str) -> str:
    if not is_address(text):
        raise ValueError(text)
    return text


def _name(text: str) -> str:
    if not text or text != text.strip():
        raise ValueError(text)
    return text


def _milliseconds_as_seconds(text: str) -> float:
    value = float(text) / 1000
    if not 0 <= value < float("inf"):
        raise ValueError(text)
    return value


def _megabits_as_bytes(text: str) -> float:
    """Convert megabits per second to bytes per second."""
    return _non_negative(text) * 125_000


def _non_negative(text: str) -> float:
    value = float(text)
    if not 0 <= value < float("inf"):
        raise ValueError(text)
    return value


def _megabytes_as_bytes(text: str) -> int:
    return int(_positive(text) * 1_000_000)


def _positive(text: str) -> float:
    value = _non_negative(text)
    if not value:
        raise ValueError(text)
    return value


def _count(text: str) -> int:
    return int(_positive(text))


def _truth(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(text)
    return text == "true"


def _ports(text: str) -> tuple[int, int]:
    first, last = (int(port) for port in text.split(","))
    if not 0 <= first <= last < 65536:
        raise ValueError(text)
    return first, last


def _part_ids(text: str) -> tuple[str, ...]:
    """Return ids of parts of prompts, separated by commas."""
    ids = tuple(item.strip().lower() for item in text.split(",")) if text else ()
    if not all(map(_PART_ID.fullmatch, ids)):
        raise ValueError(text)
    return ids


_MILLISECONDS = "a number of milliseconds, 0 or more"
_NUMBER = "a number, 0 or more"
_ADDRESS = "an IPv4 address and a port, such as 10.1.0.40:8227"

_FIELDS_BY_NAME: dict[str, _Field] = {
    "host": _Field(key="node", read=_name, expected="a name"),
    "ip": _Field(key="ip", read=_name, expected="an IPv4 address"),
    "availability_zone": _Field(key="zone", read=_name, expected="a name"),
    "callers_address": _Field(key="listen.front", read=_address, expected=_ADDRESS),
    "ready_address": _Field(key="listen.ready", read=_address, expected=_ADDRESS),
    "ports": _Field(key="port_range", read=_ports, expected="two ports, FIRST,LAST"),
    "store_address": _Field(key="platform.address", read=_address, expected=_ADDRESS),
    "store_partitions": _Field(
        key="platform.parts", read=int, expected="a whole number", default="1"
    ),
    "heartbeat_interval": _Field(
        key="heartbeat_ms",
        read=_milliseconds_as_seconds,
        expected=_MILLISECONDS,
        default="1200",
    ),
    "grace": _Field(
        key="bounds.grace_s", read=_non_negative, expected=_NUMBER, default="8"
    ),
    "stall_time": _Field(
        key="bounds.stall_ms",
        read=_milliseconds_as_seconds,
        expected=_MILLISECONDS,
        default="6000",
    ),
    "repeat_ratio": _Field(
        key="bounds.retry_budget_ratio",
        read=_non_negative,
        expected=_NUMBER,
        default="0.2",
    ),
    "repeat_window": _Field(
        key="bounds.budget_window_s", read=_non_negative, expected=_NUMBER, default="10"
    ),
    "link_rate": _Field(
        key="limits.link_mbps",
        read=_megabits_as_bytes,
        expected="megabits a second",
        default="10",
    ),
    "memory": _Field(
        key="limits.memory_mb",
        read=_megabytes_as_bytes,
        expected="a number of megabytes above 0",
        default="300",
    ),
    "max_descriptors": _Field(
        key="limits.max_fds",
        read=_count,
        expected="a number above 0",
        default="4096",
    ),
    "contention": _Field(
        key="contention.mode",
        read=ContentionMode,
        expected="auto, on or off",
        default=ContentionMode.AUTO.value,
    ),
    "released_parts": _Field(
        key="quarantine.released_parts",
        read=_part_ids,
        expected="hexadecimal ids of parts of prompts, joined by commas",
        default="",
    ),
    "first_start": _Field(
        key="first_start",
        read=_truth,
        expected="true or false",
        default="true",
    ),
    "repeat_slack": _Field(
        key="bounds.budget_slack", read=_non_negative, expected=_NUMBER, default="100"
    ),
}


def is_node_file(path: Path) -> bool:
    """Return whether a file is the platform's settings file.

    The first line that is neither empty nor a comment decides.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError):
        # The reader of the other settings format reports the fault.
        return False
    lines = (line.strip() for line in text.splitlines())
    first = next((line for line in lines if line and not line.startswith("#")), "")
    return _LINE.match(first) is not None


def read_node_settings(path: Path) -> Result[RelaySettings, list[Fault]]:
    """Read and check the settings; every fault names its key.

    Unknown keys are ignored, since the platform adds new ones.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault(
            place=str(path),
            expected="a readable text file",
            remedy=f"correct it: {error}",
        )
        return Error([fault])
    found = _lines(text)
    faults: list[Fault] = []
    values: dict[str, Any] = {}
    for name, declared in _FIELDS_BY_NAME.items():
        raw = found.get(declared.key, declared.default)
        try:
            if raw is None:
                raise ValueError("nothing")
            values[name] = declared.read(raw)
        except ValueError:
            faults.append(
                Fault(
                    place=declared.key,
                    expected=declared.expected,
                    remedy=f"found {raw!r}",
                )
            )
    zones = sorted(key[6:] for key in found if key.startswith("zones."))
    if faults:
        return Error(faults)
    return Ok(
        RelaySettings(
            zones=tuple(zones) or (values["availability_zone"],),
            last_bytes=LAST_BYTES_TIME,
            **values,
        )
    )


def _lines(text: str) -> dict[str, str]:
    found = {}
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator and not key.startswith("#"):
            found[key.strip()] = value.strip()
    return found
