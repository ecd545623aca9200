"""Encode records for the platform's log service and read its answers.

docs/INTERFACES.md describes the service.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

import msgspec
from expression import Result

from ..errors import RyeleverError
from ..state import records
from ..state.claims import ClaimsSnapshot
from ..state.configuration_fold import ConfigurationSnapshot
from ..state.placement import PlacementSnapshot
from .json_codec import decode, encode

__all__ = [
    "AppendItem",
    "LogPage",
    "RawEntry",
    "append_request",
    "claims_stream",
    "claims_streams",
    "decode_entry",
    "encode_record",
    "placement_stream",
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
        ConfigurationSnapshot,
        PlacementSnapshot,
        ClaimsSnapshot,
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
    """Hold one page of a stream; an answer 410 has no records.

    Attributes
    ----------
    first : int
        Lowest offset still kept.
    next : int
        Offset that the next record will get.
    """

    first: int
    next: int
    records: list[RawEntry] = field(default_factory=list)


@dataclass(slots=True, kw_only=True, frozen=True)
class _AppendBody:
    records: list[AppendItem]


def claims_streams(n_partitions: int) -> list[str]:
    """Name the streams over which claims are spread."""
    return [f"{CLAIMS_STREAM}-{index}" for index in range(n_partitions)]


def claims_stream(key: str, *, n_partitions: int) -> str:
    """Name the stream that holds the claims of a key.

    The hash must be the same in every process, which Python's own is not.
    """
    return f"{CLAIMS_STREAM}-{zlib.crc32(key.encode()) % n_partitions}"


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


def decode_entry(raw: RawEntry, *, peer: str) -> records.Entry:
    """Decode one entry; what cannot be decoded becomes ``Unreadable``.

    To stop at such a record would stop the stream for good, since the record stays
    in the log; to guess at it could put in force what nobody meant.  It is handed
    to the fold, which knows what an unread record makes uncertain.
    """
    return records.Entry(
        offset=raw.offset,
        time=raw.time,
        id=raw.id,
        record=_decode_record(raw, peer=peer),
    )


def _decode_record(raw: RawEntry, *, peer: str) -> records.Record:
    cls = _RECORD_CLASSES_BY_KIND.get(raw.kind)
    if cls is None:
        return records.Unreadable(
            kind=raw.kind,
            known_kind=False,
            reason=f"unknown kind {raw.kind!r}; upgrade this host",
        )
    decoded = decode(bytes(raw.body), cls, step="read_log", peer=peer)
    if decoded.is_error():
        return records.Unreadable(
            kind=raw.kind, known_kind=True, reason=decoded.error.message
        )
    return decoded.ok
