"""Define the records of a keyed topic of the platform's store."""

from __future__ import annotations

import msgspec

__all__ = ["KeyedRecord", "ServerUpdates"]


class KeyedRecord(msgspec.Struct, kw_only=True, frozen=True):
    """One record of a key; an empty value deletes the key."""

    key: str
    value: bytes
    offset: int


class ServerUpdates(msgspec.Struct, kw_only=True, frozen=True):
    """A range of the backend servers' topic that one host has read.

    Attributes
    ----------
    start, end : int
        Offset of the first record of the range, and the offset after the last one.
    records : list of KeyedRecord
        Records of the range that contain a change.
    reader : str
        Host that has read the range.  Of several readers, the first by name continues
        to read for all hosts.
    reported : bool
        True if the records were composed from the servers' own reports, which hosts
        request while the store is unavailable; such records have no offsets.
    era : int
        Era of the store that the offsets belong to.
    passed_on : bool
        True if the sender is a host other than ``reader``.
    to_fetch : bool
        True if the records are too many for datagrams; the receiver fetches them
        from the sender instead.
    provider : str
        Address of the host that sent the updates; empty if unknown.
    """

    reader: str
    start: int
    end: int
    records: list[KeyedRecord]
    reported: bool = False
    passed_on: bool = False
    era: int = 0
    to_fetch: bool = False
    provider: str = ""
