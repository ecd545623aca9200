"""Declare the settings of a process in one table.

Each setting has its name, default, check and meaning.  ``settings_reader`` reads a
settings file, and ``make reference`` writes the table into docs/OPERATIONS.md.
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
    is_boolean,
    is_name,
    is_names,
    is_positive,
    is_positive_integer,
    is_secret,
)

__all__ = [
    "REQUIRED",
    "SETTINGS",
    "Setting",
    "Settings",
    "settings_table",
]

#: Marks a setting that has no default.
REQUIRED = object()

#: Minimum retention, in seconds: records must be kept for twice the time in which the
#: outcome of a claim can be requested (state/claims.py), plus the time in which a
#: snapshot is written.
MIN_LOG_RETENTION = 1800.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Setting:
    """Declare one setting.

    Attributes
    ----------
    check : callable
        Return whether a value is valid.
    expected : str
        Description of the valid values, for messages and the reference page.
    secret : bool
        Whether the value is left out of dumps and logs.
    """

    name: str
    default: Any
    check: Callable[[Any], bool]
    expected: str
    meaning: str
    secret: bool = False


#: All settings.
SETTINGS: tuple[Setting, ...] = (
    Setting(
        name="host",
        default=REQUIRED,
        check=is_name,
        expected=NAME,
        meaning="Name of this entry host, unique among all entry hosts.",
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
        meaning="All availability zones whose placement this host reads.",
    ),
    Setting(
        name="callers_address",
        default=REQUIRED,
        check=is_address,
        expected=ADDRESS,
        meaning="Address at which callers, operators and the balancer reach this host.",
    ),
    Setting(
        name="log_address",
        default=REQUIRED,
        check=is_address,
        expected=ADDRESS,
        meaning="Address of the platform's log service.",
    ),
    Setting(
        name="log_retention",
        default=86_400.0,
        check=lambda value: is_positive(value) and value >= MIN_LOG_RETENTION,
        expected=f"a number of seconds, {MIN_LOG_RETENTION:g} or more",
        meaning="Minimum time for which the log keeps a record.",
    ),
    Setting(
        name="log_appends_per_second",
        default=20.0,
        check=is_positive,
        expected="a number above 0",
        meaning="Maximum rate of this host's appends; all hosts share the capacity "
        "of the log.",
    ),
    Setting(
        name="claims_partitions",
        default=4,
        check=lambda value: is_positive_integer(value) and value <= 1024,
        expected="a whole number from 1 to 1024, the same on every entry host",
        meaning="Number of streams over which claims are distributed; change it only "
        "while all entry hosts are stopped.",
    ),
    Setting(
        name="hosts_list_address",
        default=REQUIRED,
        check=is_address,
        expected=ADDRESS,
        meaning="Address of the platform's list of hosts.",
    ),
    Setting(
        name="peers_address",
        default="127.0.0.1:0",
        check=is_address,
        expected=ADDRESS,
        meaning="Address at which other entry hosts reach this one over UDP.",
    ),
    Setting(
        name="peers",
        default=[],
        check=is_addresses,
        expected="a list of addresses",
        meaning="The `peers_address` of every other entry host.",
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
        name="forward_requests",
        default=False,
        check=is_boolean,
        expected="true or false, the same on all entry hosts of a zone",
        meaning="Whether entry hosts of a zone forward requests to backend servers "
        "that only some of them reach. They listen for such requests on the TCP port "
        "with the number of `peers_address`.",
    ),
    Setting(
        name="operator_key",
        default="",
        check=is_secret,
        expected=SECRET,
        meaning="Key with which an operator signs in and requests dumps.",
        secret=True,
    ),
    Setting(
        name="request_timeout",
        default=60.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Deadline of a request without X-Request-Timeout.",
    ),
    Setting(
        name="max_request_timeout",
        default=600.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Longest deadline that a caller may set in X-Request-Timeout.",
    ),
    Setting(
        name="progress_timeout",
        default=2.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Time without data on a connection, or between tokens, after which "
        "the connection is closed.",
    ),
    Setting(
        name="first_token_timeout",
        default=10.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Longest time until an engine sends the first token of an attempt.",
    ),
    Setting(
        name="service_timeout",
        default=15.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Longest time until a plain service sends the first byte of its "
        "answer.",
    ),
    Setting(
        name="unread_timeout",
        default=20.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Longest time for which a caller may leave its answer unread.",
    ),
    Setting(
        name="claim_timeout",
        default=5.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Longest time until the log confirms the claim of a request that "
        "runs at most once.",
    ),
    Setting(
        name="recovery_timeout",
        default=8.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Longest time for which a request without a token whose attempt "
        "failed waits for another backend server.",
    ),
    Setting(
        name="report_interval",
        default=0.5,
        check=is_positive,
        expected=SECONDS,
        meaning="Time between two requests for the report of a backend server.",
    ),
    Setting(
        name="report_max_age",
        default=2.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Age up to which a backend server's report is valid.",
    ),
    Setting(
        name="group_batch",
        default=256,
        check=is_positive_integer,
        expected=COUNT,
        meaning="Number of requests that one replica group runs at a time; further "
        "requests wait at the entry host.",
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
        "still accepted, so that the balancer stops sending them first.",
    ),
    Setting(
        name="drain_timeout",
        default=30.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Longest graceful shutdown; requests still running then end with an "
        "error.",
    ),
    Setting(
        name="callers_request_timeout",
        default=10.0,
        check=is_positive,
        expected=SECONDS,
        meaning="Longest time in which a caller's complete request must arrive.",
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
        check=is_positive_integer,
        expected=SIZE,
        meaning="Longest body of a caller's request.",
    ),
    Setting(
        name="callers_memory",
        default=64 << 20,
        check=is_positive_integer,
        expected=SIZE,
        meaning="Memory that requests and unread answers of all callers may take "
        "together, or twice the longest request if that is more; beyond it, the "
        "largest requests are refused.",
    ),
    Setting(
        name="callers_connections",
        default=2048,
        check=is_positive_integer,
        expected=COUNT,
        meaning="Maximum number of callers' connections; beyond it, those that have "
        "waited longest for a request are closed.",
    ),
)


class Settings:
    """Values of checked settings, each as an attribute of its name."""

    __slots__ = tuple(setting.name for setting in SETTINGS)

    def __init__(self, **values: Any) -> None:
        for name, value in values.items():
            setattr(self, name, value)

    def public(self) -> dict[str, Any]:
        """Return the values of all settings that are not secret, for the dump."""
        return {
            setting.name: getattr(self, setting.name)
            for setting in SETTINGS
            if not setting.secret
        }


def settings_table() -> str:
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
