"""Fetch a newer configuration from a peer in pieces, and serve pieces to peers.

A configuration is longer than a datagram.  If a peer announces a newer version and the
log does not deliver that version within ``LOG_GRACE_PERIOD``, this host requests the
pieces from the peer and reassembles them.  The size is bounded and the requester sets
the pace, so neither a large document nor many requesters can flood a host.
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

__all__ = ["ConfigurationTransfer"]

#: Seconds to wait for the log to deliver a version that a peer announced.
LOG_GRACE_PERIOD = 0.5

#: Bytes of one piece.
PIECE_SIZE = 1100

#: Maximum pieces served for one request, and seconds without a new piece after which
#: the request is repeated.
PIECES_PER_REQUEST = 4
REQUEST_INTERVAL = 0.1

#: Longest configuration: in pieces when compressed, and in bytes as plain text.
MAX_PIECES = 512
MAX_TEXT = 8 << 20

#: Seconds without a new piece after which another peer may become the provider.
STALL_TIMEOUT = 1.0


@dataclass(slots=True, kw_only=True)
class _Fetch:
    """State of a configuration that is being fetched."""

    version: int
    address: str
    announced_at: float
    progress_at: float
    requested_at: float = float("-inf")
    checksum: bytes = b""
    n_pieces: int = 0
    data_by_index: dict[int, bytes] = field(default_factory=dict)


class ConfigurationTransfer:
    """Choose the configuration to fetch and its provider, and serve the local one.

    Parameters
    ----------
    current : callable
        Return the configuration in force on this host, or None.
    """

    def __init__(self, *, current: Callable[[], ConfigurationRow | None]) -> None:
        self._current = current
        self._fetch: _Fetch | None = None
        self._text_version = -1
        self._text = b""
        self._invalid_sources: set[tuple[int, str]] = set()
        self.n_invalid = 0
        self.versions_by_address: dict[str, int] = {}

    @property
    def version(self) -> int:
        """Return the version in force on this host, or -1 if there is none."""
        current = self._current()
        return current.version if current is not None else -1

    def check_peer_version(self, version: int, *, address: str, now: float) -> None:
        """Record the version that a peer announces, and start to fetch a newer one."""
        self.versions_by_address[address] = version
        if version <= self.version or (version, address) in self._invalid_sources:
            return
        fetch = self._fetch
        stalled = fetch is not None and now - fetch.progress_at > STALL_TIMEOUT
        if fetch is None or version > fetch.version or stalled:
            announced_at = now if fetch is None else fetch.announced_at
            self._fetch = _Fetch(
                version=version,
                address=address,
                announced_at=announced_at,
                progress_at=now,
            )

    def wants(self, *, now: float) -> tuple[str, Want] | None:
        """Return the request that is due and the provider's address, or None."""
        fetch = self._fetch
        if fetch is None:
            return None
        if fetch.version <= self.version:
            self._fetch = None
            return None
        if (
            now - fetch.announced_at < LOG_GRACE_PERIOD
            or now - fetch.requested_at < REQUEST_INTERVAL
        ):
            return None
        fetch.requested_at = now
        missing = (i for i in range(MAX_PIECES) if i not in fetch.data_by_index)
        return fetch.address, Want(version=fetch.version, first=next(missing, 0))

    def pieces(self, want: Want) -> tuple[Piece, ...]:
        """Return the requested pieces if their version is in force on this host."""
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
        last = min(want.first + PIECES_PER_REQUEST, n_pieces)
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

    def add_piece(
        self, piece: Piece, *, address: str, now: float
    ) -> ConfigurationRow | None:
        """Store a piece; return the configuration once all pieces have arrived."""
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
            fetch.requested_at = float("-inf")
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
            self.n_invalid += 1
            self._invalid_sources.add((fetch.version, fetch.address))
        return row


@dataclass(slots=True, kw_only=True, frozen=True)
class _Packed:
    """JSON text in which peers exchange a configuration."""

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
