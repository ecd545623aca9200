"""Encode records for the platform's log service and decode its answers.

The service is described in docs/INTERFACES.md.
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
    "decode_page",
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
    """One record in the body of an append request."""

    id: str
    kind: str
    body: msgspec.Raw


@dataclass(slots=True, kw_only=True, frozen=True)
class RawEntry:
    """One record as returned by the log service, with its body undecoded."""

    offset: int
    time: float
    id: str
    kind: str
    body: msgspec.Raw


@dataclass(slots=True, kw_only=True, frozen=True)
class LogPage:
    """One page of a stream; an answer with status 410 has no records.

    Attributes
    ----------
    first : int
        Lowest offset that the log still keeps.
    next : int
        Offset of the next record that will be appended.
    """

    first: int
    next: int
    records: list[RawEntry] = field(default_factory=list)


@dataclass(slots=True, kw_only=True, frozen=True)
class _AppendRequest:
    records: list[AppendItem]


def claims_streams(n_partitions: int) -> list[str]:
    """Return the names of the streams among which claims are distributed."""
    return [f"{CLAIMS_STREAM}-{index}" for index in range(n_partitions)]


def claims_stream(key: str, *, n_partitions: int) -> str:
    """Return the name of the stream that contains the claims of a key.

    The stream is chosen by CRC-32, since Python's ``hash`` differs between processes.
    """
    return f"{CLAIMS_STREAM}-{zlib.crc32(key.encode()) % n_partitions}"


def placement_stream(availability_zone: str) -> str:
    """Return the name of the stream that contains a zone's placement."""
    return f"placement-{availability_zone}"


def encode_record(record: records.Record, *, record_id: str) -> AppendItem:
    """Return a record encoded for an append, with its unique id and its kind."""
    return AppendItem(
        id=record_id,
        kind=type(record).__name__,
        body=msgspec.Raw(encode(record)),
    )


def append_request(items: list[AppendItem]) -> bytes:
    """Return the body of an append request with the given records."""
    return encode(_AppendRequest(records=items))


def read_path(stream: str, *, offset: int, wait_ms: int, limit: int) -> str:
    """Return the path of a request that reads a stream from ``offset``."""
    return f"/v1/streams/{stream}/records?from={offset}&wait_ms={wait_ms}&limit={limit}"


def decode_page(data: bytes, *, peer: str) -> Result[LogPage, RyeleverError]:
    """Decode one page of a stream."""
    return decode(data, LogPage, step="read_log", peer=peer)


def decode_entry(raw: RawEntry, *, peer: str) -> records.Entry:
    """Decode one entry; a record that cannot be decoded becomes ``Unreadable``.

    A reader that stopped at an undecodable record would never read on, since the record
    stays in the log, and a guess at its contents could put an unintended change into
    effect.  The fold therefore gets the record as ``Unreadable`` and determines which
    part of its state has become uncertain.
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
