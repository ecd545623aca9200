"""Write the calls to the platform's store and read its answers.

Each record is sent as four bytes of length, big-endian, and the record itself.  A
record of a keyed topic consists of one byte with the key's length, the key and the
value; a record without a value deletes the key.
"""

from __future__ import annotations

import base64
import struct
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

from ..errors import Category, RyeleverError
from ..protocol.json_codec import decode
from ..protocol.keyed_log import (
    Appended,
    AppendRefused,
    HttpRequest,
    KeyedRecord,
    NewestPage,
    RecordsPage,
)
from . import wire_names

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["StoreCalls"]

_OFFSETS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")

#: Status of a read whose records have been deleted.
EXPIRED = 410

#: Statuses of an append that lost to an earlier append of another writer.
APPEND_CONFLICT = frozenset({409, 412})


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct):
    items: list[_Item]
    more: bool
    end: int


class _Appended(msgspec.Struct):
    offset: int
    end: int


class _Refused(msgspec.Struct):
    end: int = -1


class StoreCalls(msgspec.Struct, kw_only=True, frozen=True):
    """``KeyedLogInterface`` of the platform, which writes calls and reads answers."""

    address: str

    def newest(self, topic: str, *, partition: int, after: str = "") -> HttpRequest:
        """Request the newest record of each key."""
        query = {"topic": topic, "part": partition}
        if after:
            query["after"] = after
        return HttpRequest(method="GET", path=f"/log-newest?{urlencode(query)}")

    def read(
        self, topic: str, *, partition: int, offset: int, wait_ms: int
    ) -> HttpRequest:
        """Request the records from an offset, or wait for the next record."""
        query = urlencode(
            {"topic": topic, "part": partition, "from": offset, "wait_ms": wait_ms}
        )
        return HttpRequest(method="GET", path=f"/log-read?{query}")

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        *,
        partition: int,
        at: int | None = None,
    ) -> HttpRequest:
        """Append keyed records; with ``at``, only if the partition ends there."""
        query: dict[str, object] = {"topic": topic, "part": partition}
        if at is not None:
            query["at"] = at
        body = b"".join(_frame(key, value) for key, value in records)
        return HttpRequest(
            method="POST", path=f"/log-append?{urlencode(query)}", body=body
        )

    def era(self, headers: Mapping[str, str]) -> int | None:
        """Return the era in an answer's headers, or None without a valid one."""
        text = headers.get(wire_names.ERA, "")
        return int(text) if text.isascii() and text.isdecimal() else None

    def newest_page(
        self, status: int, body: bytes
    ) -> Result[NewestPage, RyeleverError]:
        """Read the answer to ``newest``."""
        if status != 200:
            return Error(self._unexpected_status(status, step="read_newest"))
        read = decode(body, _Newest, step="read_newest", peer=self.address)
        return read.map(
            lambda found: NewestPage(
                records=[
                    KeyedRecord(
                        key=item.key,
                        value=base64.b64decode(item.value),
                        offset=item.offset,
                    )
                    for item in found.items
                ],
                more=found.more,
                end=found.end,
            )
        )

    def read_page(
        self, status: int, body: bytes, *, offset: int
    ) -> Result[RecordsPage, RyeleverError]:
        """Read the answer to ``read`` from ``offset``."""
        if status == EXPIRED:
            return Ok(RecordsPage(records=[], end=offset, expired=True))
        if status != 200 or len(body) < _OFFSETS.size:
            return Error(self._unexpected_status(status, step="read_log"))
        end, first = _OFFSETS.unpack_from(body)
        records = []
        place = _OFFSETS.size
        at = max(offset, first)
        while place + _LENGTH.size <= len(body):
            (length,) = _LENGTH.unpack_from(body, place)
            place += _LENGTH.size
            record = body[place : place + length]
            if len(record) < length:
                return Error(self._unexpected_status(status, step="read_log"))
            place += length
            key_length = record[0] if record else 0
            key = record[1 : 1 + key_length].decode("utf-8", "replace")
            value = bytes(record[1 + key_length :])
            records.append(KeyedRecord(key=key, value=value, offset=at))
            at += 1
        return Ok(RecordsPage(records=records, end=end, expired=first > offset))

    def appended(
        self, status: int, body: bytes
    ) -> Result[Appended | AppendRefused, RyeleverError]:
        """Read the answer to ``append``."""
        if status == 200:
            read = decode(body, _Appended, step="append", peer=self.address)
            return read.map(lambda found: Appended(offset=found.offset, end=found.end))
        if status in APPEND_CONFLICT:
            read = decode(body, _Refused, step="append", peer=self.address)
            return read.map(lambda found: AppendRefused(end=found.end))
        return Error(self._unexpected_status(status, step="append"))

    def _unexpected_status(self, status: int, *, step: str) -> RyeleverError:
        return RyeleverError(
            f"the store answered {status}",
            category=Category.UNAVAILABLE,
            step=step,
            peer=self.address,
        )


def _frame(key: str, value: bytes) -> bytes:
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(record)) + record
