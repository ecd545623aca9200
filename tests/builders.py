"""Build log entries, records and groups with defaults, for use by many tests."""

from __future__ import annotations

import pytest

from ryelever.state.configuration import Configuration, Model
from ryelever.state.placement import Group
from ryelever.state.records import Claim, Entry, GroupFormed, Publication, Record

__all__ = [
    "declared",
    "formed",
    "named",
    "new_claim",
    "new_entry",
    "new_group",
    "new_publication",
]

#: Model, version and configuration that groups of the tests serve by default.
GROUP = {"model": "m", "version": "v1", "adapters": (), "configuration_version": 0}


def declared(
    version: str = "v1", *, model: str = "m", **fields: object
) -> Configuration:
    """Return a configuration that declares one model."""
    return Configuration(models={model: Model(version=version, **fields)})


def new_entry(offset: int, record: Record, *, time: float = 0.0, id: str = "") -> Entry:
    """Return an entry of the log, with an id made of its offset if none is given."""
    return Entry(offset=offset, time=time, id=id or f"id{offset}", record=record)


def new_publication(
    base: int, version: str = "v1", *, author: str = "ana", **fields: object
) -> Publication:
    """Return a publication of a configuration with a version of the model "m"."""
    return Publication(
        base_version=base, author=author, document=declared(version), **fields
    )


def new_claim(key: str, owner: str, request_id: str) -> Claim:
    """Return a claim of a key."""
    return Claim(key=key, fingerprint="f", owner=owner, request_id=request_id)


def formed(group: str, *members: str, **fields: object) -> GroupFormed:
    """Return the record that a group of the model "m" was formed."""
    return GroupFormed(group=group, members=members, **GROUP | {"lease": 0} | fields)


def new_group(name: str, *members: str, **fields: object) -> Group:
    """Return a group that serves the model "m" and has released no member."""
    defaults = {"reason": "", "unreleased": set(members)} | GROUP
    return Group(name=name, members=members, **defaults | fields)


def named(rows: list[tuple]) -> list:
    """Return pytest parameters from rows whose first item is the parameter set's id."""
    return [pytest.param(*row[1:], id=row[0]) for row in rows]
