"""Declare the settings of one process in one table.

Each has its name, default, check and meaning; ``settings_reader`` reads a file of
them and ``make reference`` writes the table into docs/OPERATIONS.md.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .settings_checks import (
    ADDRESS,
    COUNT,
    NAME,
    SECONDS,
    SECRET,
    SIZE,
    is_address,
    is_addresses,
    is_name,
    is_names,
    is_positive,
    is_secret,
    is_size,
)

__all__ = [
    "REQUIRED",
    "SETTINGS",
    "Setting",
    "Settings",
    "reference",
]

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


#: Every setting there is.
SETTINGS: tuple[Setting, ...] = (
    Setting(
        name="host",
        default=REQUIRED,
        check=is_name,
        expected=NAME,
        meaning="Name of this entry host, unique among all.",
    ),
    Setting(
        name="region",
        default="",
        check=lambda value: value == "" or is_name(value),
        expected="a name, or nothing",
        meaning="Region of this entry host.",
    ),
    Setting(
        name="availability_zone",
        default=REQUIRED,
        check=is_name,
        expected=NAME,
        meaning="Availability zone of this entry host.",
    ),
    Setting(
        name="availability_zones",
        default=REQUIRED,
        check=is_names,
        expected="a list of names",
        meaning="All availability zones whose placement this host follows.",
    ),
    Setting(
        name="callers_address",
        default=REQUIRED,
        check=is_address,
        expected=ADDRESS,
        meaning="Where callers, operators and the balancer reach this host.",
    ),
    Setting(
        name="log_address",
        default=REQUIRED,
        check=is_address,
        expected=ADDRESS,
        meaning="The platform's log service.",
    ),
    Setting(
        name="log_retention",
        default=86_400.0,
        check=lambda value: is_positive(value) and value >= MIN_LOG_RETENTION,
        expected=f"a number of seconds, {MIN_LOG_RETENTION:g} or more",
        meaning="Time for which the log keeps a record, at the least.",
    ),
    Setting(
        name="log_appends_per_second",
        default=20.0,
        check=is_positive,
        expected="a number above 0",
        meaning="Most appends of this host; all hosts share what the log takes.",
    ),
    Setting(
        name="claims_partitions",
        default=4,
        check=lambda value: is_size(value) and value <= 1024,
        expected="a whole number from 1 to 1024, the same on every entry host",
        meaning="Streams over which claims are spread; changed only when all stop.",
    ),
    Setting(
        name="hosts_list_address",
        default=REQUIRED,
        check=is_address,
        expected=ADDRESS,
        meaning="The platform's list of hosts.",
    ),
    Setting(
        name="peers_address",
        default="127.0.0.1:0",
        check=is_address,
        expected=ADDRESS,
        meaning="Where other entry hosts reach this one over UDP.",
    ),
    Setting(
        name="peers",
        default=[],
        check=is_addresses,
        expected="a list of addresses",
        meaning="The other entry hosts' peers_address.",
    ),
    Setting(
        name="peer_key",
        default="",
        check=is_secret,
        expected=SECRET,
        meaning="Key shared by all entry hosts; authenticates their messages.",
        secret=True,
    ),
    Setting(
        name="operator_key",
        default="",
        check=is_secret,
        expected=SECRET,
        meaning="Key with which an operator signs in and asks for dumps.",
        secret=True,
    ),
    Setting(
        name="request_timeout",
        default=60.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Deadline of a request that names none.",
    ),
    Setting(
        name="max_request_timeout",
        default=600.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Longest deadline that a caller may name in X-Request-Timeout.",
    ),
    Setting(
        name="progress_timeout",
        default=2.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Silence of a connection, or between tokens, after which it is "
        "given up.",
    ),
    Setting(
        name="first_token_timeout",
        default=10.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Silence of an engine until the first token of an attempt.",
    ),
    Setting(
        name="service_timeout",
        default=15.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Silence of a plain service until the first byte of its answer.",
    ),
    Setting(
        name="unread_timeout",
        default=20.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Time for which a caller may leave its answer unread.",
    ),
    Setting(
        name="claim_timeout",
        default=5.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Wait for the log to confirm the claim of a request that runs at "
        "most once.",
    ),
    Setting(
        name="recovery_timeout",
        default=8.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Wait of a request whose attempt failed for another backend server.",
    ),
    Setting(
        name="report_interval",
        default=0.5,
        check=is_positive,
        expected=SECONDS,
        meaning="Time between two questions to each backend server.",
    ),
    Setting(
        name="report_max_age",
        default=2.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Age up to which a backend server's report counts.",
    ),
    Setting(
        name="group_batch",
        default=256,
        check=is_size,
        expected=COUNT,
        meaning="Requests that one replica group runs at a time; more wait here.",
    ),
    Setting(
        name="lease_term",
        default=6.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Term of the planner's lease of an availability zone.",
    ),
    Setting(
        name="drain_grace",
        default=3.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Time at the start of a graceful shutdown in which new requests are "
        "still taken, so that the balancer turns away first.",
    ),
    Setting(
        name="drain_timeout",
        default=30.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Longest graceful shutdown; what is left then ends with an error.",
    ),
    Setting(
        name="callers_request_timeout",
        default=10.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Longest time in which a caller's whole request must arrive.",
    ),
    Setting(
        name="callers_idle_timeout",
        default=75.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Time after which a caller's idle connection is closed.",
    ),
    Setting(
        name="max_body",
        default=4 << 20,
        check=is_size,
        expected=SIZE,
        meaning="Longest body of a caller's request.",
    ),
)


class Settings:
    """Hold checked settings; each is an attribute."""

    __slots__ = tuple(setting.name for setting in SETTINGS)

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


def reference() -> str:
    """Return the table of all settings in Markdown, for docs/OPERATIONS.md."""
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
