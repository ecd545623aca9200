"""Convert between the fields of the edit form and a configuration document.

The form itself contains the whole draft: entry hosts store no drafts, and an operator's
next request may reach another entry host.  Field names are ``<section>.<row>.<field>``.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

import msgspec
from expression import Error, Ok

from ..accounts import hash_key, new_key
from ..errors import Category, RyeleverError
from ..faults import Fault
from ..state.configuration_check import json_pointer
from .sections import SECTIONS, WEIGHT_NAMES, Section, parse_number

if TYPE_CHECKING:
    from expression import Result

    from ..state.configuration import Configuration

__all__ = [
    "Draft",
    "Row",
    "draft_of_document",
    "draft_of_form",
    "generate_keys",
    "read_form",
]

#: Longest form that is accepted, in bytes, and the largest number of its fields.
MAX_FORM_BYTES = 512 * 1024
MAX_FIELDS = 20_000

#: Placeholder for the hash of a key that is generated once the draft has no faults.
_PLACEHOLDER_KEY_HASH = hash_key("", salt="0" * 16)

_ROW_FIELD = re.compile(r"([a-z_]+)\.(\d{1,5})\.[a-z_]+")


@dataclass(slots=True, kw_only=True)
class Row:
    """One entry of a section, with its values as text from the form."""

    index: int
    name: str = ""
    values: dict[str, str] = field(default_factory=dict)
    key_hash: str = ""
    remove: bool = False
    make_key: bool = False

    @property
    def needs_new_key(self) -> bool:
        """Return whether a new key must be generated for this client account."""
        return self.make_key or not self.key_hash

    @property
    def is_blank(self) -> bool:
        """Return whether all text fields of the row are empty."""
        return not self.name.strip() and not any(
            value.strip() for value in self.values.values()
        )


@dataclass(slots=True, kw_only=True)
class Draft:
    """A configuration document that is being edited.

    Attributes
    ----------
    rows_by_section : dict of str to list of Row
        Rows of the form.
    document : dict
        The draft as a document that has not been checked yet.
    faults : list of Fault
        Faults that the document cannot represent, such as two entries with the same
        name.
    """

    rows_by_section: dict[str, list[Row]]
    weights: dict[str, str]
    document: dict[str, Any] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)

    def encoded(self) -> bytes:
        """Return the document encoded as JSON."""
        return json.dumps(self.document).encode()


def read_form(body: bytes) -> Result[dict[str, str], RyeleverError]:
    """Return the fields of a posted form, or an error if it is too large or invalid."""
    if len(body) > MAX_FORM_BYTES:
        return Error(
            RyeleverError(
                f"the form is longer than {MAX_FORM_BYTES} bytes; "
                "publish in smaller steps",
                category=Category.TOO_LARGE,
                step="read_form",
            )
        )
    try:
        pairs = parse_qsl(
            body.decode("ascii"),
            keep_blank_values=True,
            strict_parsing=bool(body),
            errors="strict",
            max_num_fields=MAX_FIELDS,
        )
    except ValueError as error:
        return Error(
            RyeleverError(
                f"this is not a form of the console: {error}",
                category=Category.BAD_REQUEST,
                step="read_form",
            )
        )
    return Ok(dict(pairs))


def draft_of_form(fields: dict[str, str]) -> Draft:
    """Return the draft that a posted edit form describes."""
    draft = Draft(
        rows_by_section={
            section.name: _rows_of_form(section, fields) for section in SECTIONS
        },
        weights={name: fields.get(f"weights.{name}", "") for name in WEIGHT_NAMES},
    )
    for section in SECTIONS:
        draft.document[section.name] = _entries_of_draft(draft, section)
    draft.document["weights"] = {
        name: parse_number(text) for name, text in draft.weights.items() if text.strip()
    }
    return draft


def generate_keys(draft: Draft) -> dict[str, str]:
    """Generate the new keys that a draft needs, and return them by client account.

    The draft stores only the salted hashes of the keys, so that the caller can show the
    keys this one time only.
    """
    keys_by_account = {}
    for row in draft.rows_by_section["client_accounts"]:
        if row.needs_new_key:
            key = new_key(row.name)
            draft.document["client_accounts"][row.name]["key_hash"] = hash_key(key)
            keys_by_account[row.name] = key
    return keys_by_account


def draft_of_document(configuration: Configuration) -> Draft:
    """Return a draft with the contents of a checked document."""
    document = msgspec.to_builtins(configuration)
    return Draft(
        rows_by_section={
            section.name: _rows_of_document(section, document[section.name])
            for section in SECTIONS
        },
        weights={name: f"{document['weights'][name]:g}" for name in WEIGHT_NAMES},
        document=document,
    )


def _rows_of_document(section: Section, entries: dict[str, Any]) -> list[Row]:
    return [
        Row(
            index=index,
            name=name,
            values={
                each.name: each.format(entry[each.name]) for each in section.fields
            },
            key_hash=entry.get("key_hash", ""),
        )
        for index, (name, entry) in enumerate(sorted(entries.items()))
    ]


def _rows_of_form(section: Section, fields: dict[str, str]) -> list[Row]:
    matches = (_ROW_FIELD.fullmatch(name) for name in fields)
    indices = {int(match[2]) for match in matches if match and match[1] == section.name}
    rows = [_row_of_form(section, index, fields) for index in sorted(indices)]
    return [row for row in rows if not row.remove and not row.is_blank]


def _row_of_form(section: Section, index: int, fields: dict[str, str]) -> Row:
    prefix = f"{section.name}.{index}."
    return Row(
        index=index,
        name=fields.get(f"{prefix}name", "").strip(),
        values={
            each.name: fields.get(f"{prefix}{each.name}", "") for each in section.fields
        },
        key_hash=fields.get(f"{prefix}key_hash", ""),
        remove=f"{prefix}remove" in fields,
        make_key=f"{prefix}make_key" in fields,
    )


def _entries_of_draft(draft: Draft, section: Section) -> dict[str, Any]:
    entries: dict[str, Any] = {}
    for row in draft.rows_by_section[section.name]:
        if row.name in entries:
            draft.faults.append(
                Fault(
                    place=json_pointer(section.name, row.name),
                    expected=f"only one {section.one} with this name",
                    remedy="rename one of them, or remove it",
                )
            )
        entries[row.name] = _entry_of_row(section, row)
    return entries


def _entry_of_row(section: Section, row: Row) -> dict[str, Any]:
    # An empty field is left out, so that the document applies its default value.
    entry = {
        each.name: each.parse(text.strip())
        for each in section.fields
        if (text := row.values[each.name]).strip()
    }
    if section.name == "client_accounts":
        entry["key_hash"] = _PLACEHOLDER_KEY_HASH if row.needs_new_key else row.key_hash
    return entry
