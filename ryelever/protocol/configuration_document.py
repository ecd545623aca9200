"""Decode, check, encode and compare the configuration documents of operators.

Documents are JSON; files may contain comments.  A check reads the complete document
and reports all faults at once.
"""

from __future__ import annotations

import dataclasses
import json
from dataclasses import dataclass
from typing import Any, get_type_hints

import json5
import msgspec
from expression import Error, Ok, Result

from ..faults import Fault
from ..state.configuration import (
    ClientAccount,
    Configuration,
    Model,
    Service,
    Weights,
)
from ..state.configuration_check import find_faults, json_pointer

__all__ = ["Change", "encode_canonical", "check_document", "list_changes"]

#: Maximum size of a document, in bytes.
MAX_DOCUMENT = 1 << 20

#: Maximum number of characters of a faulty value that a message shows.
MAX_SHOWN_CHARACTERS = 60

#: JSON pointer reported for faults of the document itself.
ROOT = "/"

_CLASSES_BY_SECTION = {
    "models": Model,
    "client_accounts": ClientAccount,
    "services": Service,
}

#: Values used in place of missing or faulty required fields, so that the rest of the
#: document can still be checked.
_PLACEHOLDERS_BY_FIELD = {"version": "missing", "key_hash": "missing"}

_EXPECTED_BY_TYPE = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    dict[str, str]: "an object with strings as values",
    tuple[str, ...]: "a list of strings",
}


@dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """One difference between two documents.

    Attributes
    ----------
    place : str
        JSON pointer to the field.
    before, after : str
        Values as JSON; empty if the document has no such field.
    """

    place: str
    before: str
    after: str


def check_document(data: bytes) -> Result[Configuration, list[Fault]]:
    """Return the configuration that a document describes, or all of its faults."""
    if len(data) > MAX_DOCUMENT:
        return Error([_document_fault(f"shorten it to {MAX_DOCUMENT} bytes")])
    try:
        values = _parse(data.decode("utf-8"))
    except (ValueError, RecursionError) as error:
        return Error([_document_fault(f"correct the syntax: {error}")])
    if not isinstance(values, dict):
        return Error([_object_fault(ROOT)])
    reader = _DocumentReader()
    configuration = reader.configuration(values)
    faulty = {fault.place for fault in reader.faults}
    faults = reader.faults + [
        fault for fault in find_faults(configuration) if fault.place not in faulty
    ]
    return Error(faults) if faults else Ok(configuration)


def encode_canonical(configuration: Configuration) -> bytes:
    """Return the canonical encoding of a configuration: all fields, keys sorted."""
    return msgspec.json.encode(configuration, order="deterministic")


def list_changes(before: Configuration, after: Configuration) -> list[Change]:
    """Return the differences between two configurations, sorted by place."""
    old = _values_by_place(before)
    new = _values_by_place(after)
    return [
        Change(place=place, before=old.get(place, ""), after=new.get(place, ""))
        for place in sorted(old.keys() | new.keys())
        if old.get(place) != new.get(place)
    ]


class _DocumentReader:
    """Build a configuration from parsed JSON and collect all faults found."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def configuration(self, values: dict[str, Any]) -> Configuration:
        known = {field.name for field in dataclasses.fields(Configuration)}
        self._report_unknown(values, known=known, parts=())
        sections = {
            section: self._build_section(values.get(section, {}), cls, section)
            for section, cls in _CLASSES_BY_SECTION.items()
        }
        weights = self._build_object(values.get("weights", {}), Weights, ("weights",))
        return Configuration(**sections, weights=weights or Weights())

    def _build_section(self, values: Any, cls: type, section: str) -> dict[str, Any]:
        if not isinstance(values, dict):
            self.faults.append(_object_fault(json_pointer(section)))
            return {}
        entries = {
            name: self._build_object(value, cls, (section, name))
            for name, value in values.items()
        }
        return {name: value for name, value in entries.items() if value is not None}

    def _build_object(self, values: Any, cls: type, parts: tuple[str, ...]) -> Any:
        if not isinstance(values, dict):
            self.faults.append(_object_fault(json_pointer(*parts)))
            return None
        fields_by_name = {field.name: field for field in dataclasses.fields(cls)}
        self._report_unknown(values, known=set(fields_by_name), parts=parts)
        types_by_name = get_type_hints(cls)
        arguments = {}
        for name, field in fields_by_name.items():
            place = json_pointer(*parts, name)
            if name in values:
                value = self._field_value(values[name], types_by_name[name], place)
                if value is not None:
                    arguments[name] = value
                    continue
            elif _is_required(field):
                self._report_missing(place)
            if _is_required(field):
                arguments[name] = _PLACEHOLDERS_BY_FIELD[name]
        return cls(**arguments)

    def _field_value(self, value: Any, type_: Any, place: str) -> Any:
        try:
            return msgspec.convert(value, type_)
        except (msgspec.ValidationError, OverflowError):
            self.faults.append(
                Fault(
                    place=place,
                    expected=_EXPECTED_BY_TYPE[type_],
                    remedy=f"replace {_abbreviate(value)}",
                )
            )
            return None

    def _report_unknown(
        self, values: dict[str, Any], *, known: set[str], parts: tuple[str, ...]
    ) -> None:
        self.faults += [
            Fault(
                place=json_pointer(*parts, name),
                expected=f"one of the fields {', '.join(sorted(known))}",
                remedy="remove the field or correct its spelling",
            )
            for name in values
            if name not in known
        ]

    def _report_missing(self, place: str) -> None:
        self.faults.append(
            Fault(
                place=place,
                expected="a string",
                remedy="add the field: it has no default",
            )
        )


def _parse(text: str) -> Any:
    try:
        return json.loads(text, object_pairs_hook=_object_without_duplicates)
    except json.JSONDecodeError:
        # Only files written by hand contain comments.  The JSON5 parser is used for
        # these alone, since it is far slower.
        return json5.loads(text, allow_duplicate_keys=False)


def _object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values = dict(pairs)
    if len(values) < len(pairs):
        names = [name for name, _ in pairs]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"the name {duplicates[0]!r} occurs twice in one object")
    return values


def _is_required(field: dataclasses.Field[Any]) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _abbreviate(value: Any) -> str:
    text = repr(value)
    return (
        text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "…"
    )


def _document_fault(remedy: str) -> Fault:
    return Fault(place=ROOT, expected="a document in JSON", remedy=remedy)


def _object_fault(place: str) -> Fault:
    return Fault(
        place=place,
        expected="an object with named fields",
        remedy="enclose the fields in braces",
    )


def _values_by_place(configuration: Configuration) -> dict[str, str]:
    values: dict[str, str] = {}
    _flatten(msgspec.to_builtins(configuration), (), values)
    return values


def _flatten(value: Any, parts: tuple[str, ...], values: dict[str, str]) -> None:
    if isinstance(value, dict):
        for name, item in value.items():
            _flatten(item, (*parts, name), values)
        if not value and len(parts) == 2:
            # An entry without fields must still be part of the comparison.
            values[json_pointer(*parts)] = "{}"
        return
    values[json_pointer(*parts)] = json.dumps(value, ensure_ascii=False)
