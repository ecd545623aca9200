"""Hold records of a keyed topic of the platform's store."""

from __future__ import annotations

import msgspec

__all__ = ["KeyedRecord", "ServerUpdates"]


class KeyedRecord(msgspec.Struct, kw_only=True, frozen=True):
    """Hold one record; an empty value takes the key out."""

    key: str
    value: bytes
    offset: int


class ServerUpdates(msgspec.Struct, kw_only=True, frozen=True):
    """Hold a part of the backend servers' topic that one host has read.

    Attributes
    ----------
    start, end : int
        Offsets of its first record, and after its last one.
    records : list of KeyedRecord
        Those that say anything new.
    reader : str
        The host that has read it; the first by name goes on reading for all.
    reported : bool
        True where the records were put together of what the servers said themselves
        when they were asked, while the store was away; then there are no offsets.
    era : int
        Era of the store that the offsets belong to.
    passed_on : bool
        True where another host than the one that has read it sends it.
    to_fetch : bool
        True where the records are too many for datagrams, and whoever sends it is
        asked for them.
    giver : str
        Address of the host that sent it; empty where that isn't known.
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
