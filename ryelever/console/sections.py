"""Declare the sections of the edit form, and how fields are parsed and formatted."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

__all__ = ["SECTIONS", "WEIGHT_NAMES", "Field", "Section", "parse_number"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Field:
    """One field of the edit form.

    Attributes
    ----------
    parse : callable
        Return the document's value for the entered text.  Text that cannot be parsed
        is returned unchanged, so that the check of the document reports it.
    format : callable
        Return the text that the field shows for a value of the document.
    """

    name: str
    label: str
    hint: str
    parse: Callable[[str], Any] = str
    format: Callable[[Any], str] = str
    multiline: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Section:
    """One section of the document.

    Attributes
    ----------
    one : str
        Noun for a single entry, as shown to operators.
    """

    name: str
    title: str
    one: str
    fields: tuple[Field, ...]


def parse_number(text: str) -> Any:
    """Return the number that a text represents, or the text itself if it is none."""
    try:
        return int(text)
    except ValueError:
        pass
    try:
        return float(text)
    except ValueError:
        return text


def _parse_lines(text: str) -> list[str]:
    return [line.strip() for line in text.splitlines() if line.strip()]


def _parse_pairs(text: str) -> dict[str, str]:
    pairs = (line.partition("=") for line in _parse_lines(text))
    return {name.strip(): value.strip() for name, _, value in pairs}


def _format_lines(values: Any) -> str:
    return "\n".join(str(value) for value in values)


def _format_pairs(values: Any) -> str:
    return "\n".join(f"{name} = {value}" for name, value in values.items())


_PRIORITY = Field(
    name="priority", label="Priority", hint="higher values go first", parse=parse_number
)

SECTIONS: tuple[Section, ...] = (
    Section(
        name="models",
        title="Models",
        one="model",
        fields=(
            Field(name="version", label="Version", hint="as named in the weight store"),
            Field(
                name="hosts_per_group",
                label="Hosts per group",
                hint="members of one replica group",
                parse=parse_number,
            ),
            Field(
                name="n_groups",
                label="Groups",
                hint="wanted in each availability zone",
                parse=parse_number,
            ),
            _PRIORITY,
            Field(
                name="adapters",
                label="Adapters",
                hint="one per line: name = version",
                parse=_parse_pairs,
                format=_format_pairs,
                multiline=True,
            ),
        ),
    ),
    Section(
        name="client_accounts",
        title="Client accounts",
        one="client account",
        fields=(
            _PRIORITY,
            Field(
                name="share",
                label="Share of capacity",
                hint="0 to 1; at most 1 over all client accounts",
                parse=parse_number,
            ),
            Field(
                name="rate",
                label="Rate",
                hint="requests per second, over all entry hosts",
                parse=parse_number,
            ),
            Field(
                name="concurrency",
                label="Concurrency",
                hint="requests in flight, over all entry hosts",
                parse=parse_number,
            ),
            Field(
                name="models",
                label="Models",
                hint="one per line; empty means all",
                parse=_parse_lines,
                format=_format_lines,
                multiline=True,
            ),
        ),
    ),
    Section(
        name="services",
        title="Services",
        one="service",
        fields=(
            Field(
                name="non_repeatable",
                label="Calls that run at most once",
                hint="path prefixes, one per line, such as /bookings",
                parse=_parse_lines,
                format=_format_lines,
                multiline=True,
            ),
        ),
    ),
)

WEIGHT_NAMES = ("group_downtime", "stranded_accelerators")
