"""Requests to backend servers that one entry host forwards for another one.

The forwarding host is an HTTP proxy: the target of a request is in absolute form (RFC
9112) and names the backend server by its id.  ``Proxy-Status`` (RFC 9209), in a header
or a trailer, says that the answer or its end is not the server's.
"""

from __future__ import annotations

import enum
import hashlib
import re
from typing import TYPE_CHECKING
from urllib.parse import quote, unquote_to_bytes

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "PROXY_AUTHORIZATION",
    "PROXY_STATUS",
    "ForwardTarget",
    "ForwardingError",
    "forward_signature",
    "forward_target",
    "forwarding_error",
    "is_forwarded",
    "parse_forward_target",
    "proxy_status",
]

PROXY_STATUS = b"proxy-status"
PROXY_AUTHORIZATION = b"proxy-authorization"

_TARGET = re.compile(rb"http://([^/?#]+)(/.*)")
_ERROR = re.compile(rb";\s*error=([a-z_]+)")


class ForwardingError(enum.Enum):
    """Error types of RFC 9209 that a forwarding host reports."""

    CONNECTION_REFUSED = "connection_refused"
    CONNECTION_TIMEOUT = "connection_timeout"
    CONNECTION_TERMINATED = "connection_terminated"
    CONNECTION_READ_TIMEOUT = "connection_read_timeout"
    DESTINATION_NOT_FOUND = "destination_not_found"
    DESTINATION_UNAVAILABLE = "destination_unavailable"
    REQUEST_DENIED = "http_request_denied"

    @property
    def was_sent(self) -> bool:
        """Return whether the server may have received the request."""
        return self in (
            ForwardingError.CONNECTION_TERMINATED,
            ForwardingError.CONNECTION_READ_TIMEOUT,
        )

    @property
    def is_timeout(self) -> bool:
        """Return whether the server was silent."""
        return self in (
            ForwardingError.CONNECTION_TIMEOUT,
            ForwardingError.CONNECTION_READ_TIMEOUT,
        )


class ForwardTarget(msgspec.Struct, kw_only=True, frozen=True):
    """The backend server and the path of a request to be forwarded."""

    server_id: str
    path: str


def forward_target(server_id: str, path: str) -> str:
    """Return the request target by which a host asks another one to forward."""
    return f"http://{quote(server_id, safe='')}{path}"


def forward_signature(key: str, target: str, body: bytes) -> str:
    """Return the signature that shows that a request comes from an entry host.

    The target names the backend server, and each body names its attempt, so that a
    recorded request can only be repeated as it was.
    """
    # A keyed BLAKE2b takes at most 64 bytes of key, the length of its own digest.
    short_key = hashlib.blake2b(key.encode()).digest()
    message = target.encode() + b"\n" + body
    signature = hashlib.blake2b(message, key=short_key, digest_size=32)
    return f"BLAKE2b {signature.hexdigest()}"


def parse_forward_target(target: bytes) -> ForwardTarget | None:
    """Return what a target of ``forward_target`` names; None for any other target."""
    match = _TARGET.fullmatch(target)
    if match is None:
        return None
    return ForwardTarget(
        server_id=unquote_to_bytes(match[1]).decode("utf-8", "replace"),
        path=match[2].decode("latin-1"),
    )


def proxy_status(
    host: str, error: ForwardingError | None = None
) -> tuple[bytes, bytes]:
    """Return the header or trailer of a forwarding host, which may report an error."""
    reported = f"; error={error.value}" if error is not None else ""
    return PROXY_STATUS, f'"{host}"{reported}'.encode()


def is_forwarded(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether an answer was sent on by a forwarding host."""
    return any(name == PROXY_STATUS for name, _ in headers)


def forwarding_error(headers: Iterable[tuple[bytes, bytes]]) -> ForwardingError | None:
    """Return the error that a forwarding host reports, or None if it reports none.

    A request with an error type that this release doesn't know may have been sent.
    """
    for name, value in headers:
        match = _ERROR.search(value) if name == PROXY_STATUS else None
        if match is None:
            continue
        try:
            return ForwardingError(match[1].decode())
        except ValueError:
            return ForwardingError.CONNECTION_TERMINATED
    return None
