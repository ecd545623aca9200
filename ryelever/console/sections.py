"""Declare the sections of the edit form and how each field is read and shown."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

__all__ = ["SECTIONS", "WEIGHTS", "Field", "Section", "read_number"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Field:
    """Describe one field of the edit form.

    Attributes
    ----------
    read : callable
        Return the document's value of what was typed.  What cannot be read stays a
        text, so that the check of the document names it.
    show : callable
        Return what stands in the field for a document's value.
    """

    name: str
    label: str
    hint: str
    read: Callable[[str], Any] = str
    show: Callable[[Any], str] = str
    multiline: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Section:
    """Describe one section of the document."""

    name: str
    title: str
    one: str
    fields: tuple[Field, ...]


def read_number(text: str) -> Any:
    """Return the number that a text shows, or the text itself."""
    try:
        return int(text)
    except ValueError:
        pass
    try:
        return float(text)
    except ValueError:
        return text


def _lines(text: str) -> list[str]:
    return [line.strip() for line in text.splitlines() if line.strip()]


def _pairs(text: str) -> dict[str, str]:
    pairs = (line.partition("=") for line in _lines(text))
    return {name.strip(): value.strip() for name, _, value in pairs}


def _show_lines(values: Any) -> str:
    return "\n".join(str(value) for value in values)


def _show_pairs(values: Any) -> str:
    return "\n".join(f"{name} = {value}" for name, value in values.items())


_PRIORITY = Field(
    name="priority", label="Priority", hint="higher goes first", read=read_number
)

SECTIONS: tuple[Section, ...] = (
    Section(
        name="models",
        title="Models",
        one="model",
        fields=(
            Field(name="version", label="Version", hint="as the weight store names it"),
            Field(
                name="hosts_per_group",
                label="Hosts per group",
                hint="members of one replica",
                read=read_number,
            ),
            Field(
                name="n_groups",
                label="Groups",
                hint="wanted in each availability zone",
                read=read_number,
            ),
            _PRIORITY,
            Field(
                name="adapters",
                label="Adapters",
                hint="one a line: name = version",
                read=_pairs,
                show=_show_pairs,
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
                hint="0 to 1; all together at most 1",
                read=read_number,
            ),
            Field(
                name="rate",
                label="Rate",
                hint="requests a second, over all entry hosts",
                read=read_number,
            ),
            Field(
                name="concurrency",
                label="Concurrency",
                hint="requests in flight, over all entry hosts",
                read=read_number,
            ),
            Field(
                name="models",
                label="Models",
                hint="one a line; all when empty",
                read=_lines,
                show=_show_lines,
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
                hint="path prefixes, one a line, such as /bookings",
                read=_lines,
                show=_show_lines,
                multiline=True,
            ),
        ),
    ),
)

WEIGHTS = ("group_downtime", "stranded_accelerators")
