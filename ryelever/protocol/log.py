"""Encode records for the platform's log service and read its answers.

docs/INTERFACES.md describes the service.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from ..errors import Category, RyeleverError
from ..state import records
from .json_codec import decode, encode

__all__ = [
    "AppendItem",
    "LogPage",
    "RawEntry",
    "append_request",
    "decode_entry",
    "encode_record",
    "read_page",
    "read_path",
]

CONFIGURATION_STREAM = "configuration"
CLAIMS_STREAM = "claims"

_RECORD_CLASSES_BY_KIND = {
    cls.__name__: cls
    for cls in (
        records.Publication,
        records.LeaseTaken,
        records.GroupFormed,
        records.GroupDraining,
        records.GroupDissolved,
        records.HostReleased,
        records.Claim,
        records.Outcome,
        records.PlacementSnapshot,
        records.ClaimsSnapshot,
    )
}


@dataclass(slots=True, kw_only=True, frozen=True)
class AppendItem:
    """Hold one record that is to be appended."""

    id: str
    kind: str
    body: msgspec.Raw


@dataclass(slots=True, kw_only=True, frozen=True)
class RawEntry:
    """Hold one record as the log service returns it."""

    offset: int
    time: float
    id: str
    kind: str
    body: msgspec.Raw


@dataclass(slots=True, kw_only=True, frozen=True)
class LogPage:
    """Hold one page of a stream.

    Attributes
    ----------
    first : int
        Lowest offset still kept.
    next : int
        Offset that the next record will get.
    """

    first: int
    next: int
    records: list[RawEntry]


@dataclass(slots=True, kw_only=True, frozen=True)
class _AppendBody:
    records: list[AppendItem]


def placement_stream(availability_zone: str) -> str:
    """Name the stream that holds a zone's placement."""
    return f"placement-{availability_zone}"


def encode_record(record: records.Record, *, record_id: str) -> AppendItem:
    """Wrap a record with its unique id and its kind."""
    return AppendItem(
        id=record_id,
        kind=type(record).__name__,
        body=msgspec.Raw(encode(record)),
    )


def append_request(items: list[AppendItem]) -> bytes:
    """Return the body of one append of several records."""
    return encode(_AppendBody(records=items))


def read_path(stream: str, *, offset: int, wait_ms: int, limit: int) -> str:
    """Return the path that reads a stream from ``offset``."""
    return f"/v1/streams/{stream}/records?from={offset}&wait_ms={wait_ms}&limit={limit}"


def read_page(data: bytes, *, peer: str) -> Result[LogPage, RyeleverError]:
    """Read one page of a stream."""
    return decode(data, LogPage, step="read_log", peer=peer)


def decode_entry(raw: RawEntry, *, peer: str) -> Result[records.Entry, RyeleverError]:
    """Decode one entry; an unknown kind is an error and is never guessed at."""
    cls = _RECORD_CLASSES_BY_KIND.get(raw.kind)
    if cls is None:
        return Error(
            RyeleverError(
                f"unknown kind of record {raw.kind!r} at offset {raw.offset}; "
                "upgrade this host",
                category=Category.BAD_REQUEST,
                step="read_log",
                peer=peer,
            )
        )
    decoded = decode(bytes(raw.body), cls, step="read_log", peer=peer)
    return decoded.bind(
        lambda record: Ok(
            records.Entry(offset=raw.offset, time=raw.time, id=raw.id, record=record)
        )
    )
