"""Fetch a newer configuration from a peer in pieces, and give it to peers.

A configuration is longer than a datagram.  A peer that hears of a newer version than
its own, and has not got it from the log within ``GRACE``, asks the teller for the
pieces and puts the whole together.  Its size is bounded, and the asking side sets
the pace, so neither a large document nor many askers can flood anybody.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ...state.configuration import Configuration
from ...state.observations import ConfigurationRow
from .messages import Piece, Want

__all__ = ["ConfigurationSpread"]

#: Seconds for which the log may still bring a version that a peer told of.
GRACE = 0.5

#: Bytes of one piece.
PIECE_SIZE = 1100

#: Pieces asked for at once, and the seconds between two questions.
N_PIECES_ASKED = 4
WANT_INTERVAL = 0.1

#: Longest configuration, compressed and as text.
MAX_PIECES = 512
MAX_TEXT = 8 << 20

#: Seconds without a new piece after which another peer may be asked.
STALLED = 1.0


@dataclass(slots=True, kw_only=True)
class _Fetch:
    """Hold a configuration that is arriving."""

    version: int
    address: str
    heard_at: float
    progress_at: float
    asked_at: float = float("-inf")
    checksum: bytes = b""
    n_pieces: int = 0
    data_by_index: dict[int, bytes] = field(default_factory=dict)


class ConfigurationSpread:
    """Decide which configuration to fetch from whom.

    Parameters
    ----------
    current : callable
        Return the configuration in force here, or None.
    """

    def __init__(self, *, current: Callable[[], ConfigurationRow | None]) -> None:
        self._current = current
        self._fetch: _Fetch | None = None
        self._text_version = -1
        self._text = b""
        self._bad: set[tuple[int, str]] = set()
        self.n_broken = 0
        self.versions_by_address: dict[str, int] = {}

    @property
    def version(self) -> int:
        """Return the version in force here."""
        current = self._current()
        return current.version if current is not None else -1

    def heard(self, version: int, *, address: str, now: float) -> None:
        """Note that a peer tells of a version."""
        self.versions_by_address[address] = version
        if version <= self.version or (version, address) in self._bad:
            return
        fetch = self._fetch
        stalled = fetch is not None and now - fetch.progress_at > STALLED
        if fetch is None or version > fetch.version or stalled:
            heard_at = now if fetch is None else fetch.heard_at
            self._fetch = _Fetch(
                version=version, address=address, heard_at=heard_at, progress_at=now
            )

    def wants(self, *, now: float) -> tuple[str, Want] | None:
        """Return whom to ask for what now, if anything."""
        fetch = self._fetch
        if fetch is None:
            return None
        if fetch.version <= self.version:
            self._fetch = None
            return None
        if now - fetch.heard_at < GRACE or now - fetch.asked_at < WANT_INTERVAL:
            return None
        fetch.asked_at = now
        missing = (i for i in range(MAX_PIECES) if i not in fetch.data_by_index)
        return fetch.address, Want(version=fetch.version, first=next(missing, 0))

    def pieces(self, want: Want) -> tuple[Piece, ...]:
        """Return what a peer asked for, if that version is in force here."""
        current = self._current()
        if current is None or current.version != want.version:
            return ()
        if self._text_version != current.version:
            self._text = _pack(current)
            self._text_version = current.version
        n_pieces = -(-len(self._text) // PIECE_SIZE)
        if n_pieces > MAX_PIECES:
            return ()
        checksum = hashlib.sha256(self._text).digest()
        last = min(want.first + N_PIECES_ASKED, n_pieces)
        return tuple(
            Piece(
                version=current.version,
                index=index,
                n_pieces=n_pieces,
                checksum=checksum,
                data=self._text[index * PIECE_SIZE : (index + 1) * PIECE_SIZE],
            )
            for index in range(want.first, last)
        )

    def take(
        self, piece: Piece, *, address: str, now: float
    ) -> ConfigurationRow | None:
        """Take a piece; return the configuration once it is whole."""
        fetch = self._fetch
        if fetch is None or piece.version != fetch.version or address != fetch.address:
            return None
        if not 0 <= piece.index < piece.n_pieces <= MAX_PIECES:
            return None
        if fetch.checksum != piece.checksum:
            fetch.data_by_index.clear()
            fetch.checksum = piece.checksum
            fetch.n_pieces = piece.n_pieces
        if piece.index not in fetch.data_by_index:
            fetch.progress_at = now
            fetch.asked_at = float("-inf")
        fetch.data_by_index[piece.index] = piece.data
        if len(fetch.data_by_index) < fetch.n_pieces:
            return None
        self._fetch = None
        return self._unpack(fetch)

    def _unpack(self, fetch: _Fetch) -> ConfigurationRow | None:
        text = b"".join(data for _, data in sorted(fetch.data_by_index.items()))
        row = None
        if hashlib.sha256(text).digest() == fetch.checksum:
            row = _unpack(text, version=fetch.version)
        if row is None:
            self.n_broken += 1
            self._bad.add((fetch.version, fetch.address))
        return row


@dataclass(slots=True, kw_only=True, frozen=True)
class _Packed:
    """Shape the text that travels."""

    author: str
    document: Configuration


def _pack(row: ConfigurationRow) -> bytes:
    packed = _Packed(author=row.author, document=row.document)
    return zlib.compress(msgspec.json.encode(packed), 6)


def _unpack(data: bytes, *, version: int) -> ConfigurationRow | None:
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, MAX_TEXT)
        packed = msgspec.json.decode(text, type=_Packed)
    except (zlib.error, msgspec.DecodeError, UnicodeDecodeError):
        return None
    return ConfigurationRow(
        version=version, author=packed.author, document=packed.document
    )
