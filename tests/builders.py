"""Build log entries, records, groups and test parameters with default values."""

from __future__ import annotations

import pytest

from ryelever.coordination.host_heartbeats import ForwardingHosts
from ryelever.coordination.relaying import Forwarders, ServerPaths
from ryelever.server_access import ServerAccess
from ryelever.state.configuration import Configuration, Model
from ryelever.state.placement import Group
from ryelever.state.records import Claim, Entry, GroupFormed, Publication, Record

__all__ = [
    "declared",
    "direct_access",
    "formed",
    "named",
    "new_claim",
    "new_entry",
    "new_group",
    "new_publication",
]

#: Fields of the model that every group built here serves.
GROUP = {"model": "m", "version": "v1", "adapters": (), "configuration_version": 0}


def declared(
    version: str = "v1", *, model: str = "m", **fields: object
) -> Configuration:
    """Return a configuration that declares one model."""
    return Configuration(models={model: Model(version=version, **fields)})


def direct_access() -> ServerAccess:
    """Return access to backend servers without hosts that forward requests."""
    none = ForwardingHosts(own_zone=(), other_zones=())
    return ServerAccess(
        paths=ServerPaths(servers_by_id={}, log=lambda event, **fields: None),
        forwarders=Forwarders(hosts=lambda *, now: none),
        key="",
    )


def new_entry(offset: int, record: Record, *, time: float = 0.0, id: str = "") -> Entry:
    """Return a log entry; without an ``id`` the entry is named after its offset."""
    return Entry(offset=offset, time=time, id=id or f"id{offset}", record=record)


def new_publication(
    base: int, version: str = "v1", *, author: str = "ana", **fields: object
) -> Publication:
    """Return the publication of a configuration whose one model is "m"."""
    return Publication(
        base_version=base, author=author, document=declared(version), **fields
    )


def new_claim(key: str, owner: str, request_id: str) -> Claim:
    """Return the claim of an idempotency key."""
    return Claim(key=key, fingerprint="f", owner=owner, request_id=request_id)


def formed(group: str, *members: str, **fields: object) -> GroupFormed:
    """Return the record that forms a group for the model "m"."""
    return GroupFormed(group=group, members=members, **GROUP | {"lease": 0} | fields)


def new_group(name: str, *members: str, **fields: object) -> Group:
    """Return a group for the model "m" that has released no member yet."""
    defaults = {"reason": "", "unreleased": set(members)} | GROUP
    return Group(name=name, members=members, **defaults | fields)


def named(rows: list[tuple]) -> list:
    """Return pytest parameters; the first item of each row is the test id."""
    return [pytest.param(*row[1:], id=row[0]) for row in rows]
