"""Define the interface to a log whose topics keep the newest record of each key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

from ..state.keyed_record import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Mapping

    from expression import Result

    from ..errors import RyeleverError

__all__ = [
    "AppendRefused",
    "Appended",
    "KeyedLogInterface",
    "KeyedRecord",
    "HttpRequest",
    "NewestPage",
    "RecordsPage",
]


class HttpRequest(msgspec.Struct, kw_only=True, frozen=True):
    """One HTTP request to the log."""

    method: str
    path: str
    body: bytes = b""


class NewestPage(msgspec.Struct, kw_only=True, frozen=True):
    """One page of the newest record of each key.

    Attributes
    ----------
    more : bool
        True if further pages follow.
    end : int
        Offset at which reading continues after the last page.
    """

    records: list[KeyedRecord]
    more: bool
    end: int


class RecordsPage(msgspec.Struct, kw_only=True, frozen=True):
    """One page of records in the order of their offsets.

    Attributes
    ----------
    end : int
        Offset after the partition's last record.
    expired : bool
        True if some of the requested records have been deleted.
    """

    records: list[KeyedRecord]
    end: int
    expired: bool = False


class Appended(msgspec.Struct, kw_only=True, frozen=True):
    """Result of a successful append.

    Attributes
    ----------
    offset : int
        Offset of the first appended record.
    end : int
        Offset after the last record of the partition.
    """

    offset: int
    end: int


class AppendRefused(msgspec.Struct, kw_only=True, frozen=True):
    """Result of an append that was refused because another writer appended first.

    Attributes
    ----------
    end : int
        Offset after the last record of the partition; -1 if unknown.
    """

    end: int


class KeyedLogInterface(Protocol):
    """Interface to a log whose topics keep the newest record of each key."""

    address: str

    def newest(self, topic: str, *, partition: int, after: str = "") -> HttpRequest:
        """Request the newest record of each key that sorts after ``after``."""

    def read(
        self, topic: str, *, partition: int, offset: int, wait_ms: int
    ) -> HttpRequest:
        """Request the records from an offset on.

        If there are none yet, the log waits up to ``wait_ms`` milliseconds.
        """

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        *,
        partition: int,
        at: int | None = None,
    ) -> HttpRequest:
        """Append pairs of key and value; with ``at``, only if the partition ends there.

        Parameters
        ----------
        at : int or None
            Offset at which the partition must end for the append to succeed.
        """

    def era(self, headers: Mapping[str, str]) -> int | None:
        """Return the era of the log that an answer states, or None.

        The era increases when the log has lost acknowledged records.  Offsets of
        different eras are not comparable.
        """

    def newest_page(
        self, status: int, body: bytes
    ) -> Result[NewestPage, RyeleverError]:
        """Decode the answer to ``newest``."""

    def read_page(
        self, status: int, body: bytes, *, offset: int
    ) -> Result[RecordsPage, RyeleverError]:
        """Decode the answer to ``read``."""

    def appended(
        self, status: int, body: bytes
    ) -> Result[Appended | AppendRefused, RyeleverError]:
        """Decode the answer to ``append``."""
