"""Validate the heads of callers' requests, for ``Callers`` and ``RelayCallers``."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    import h11

__all__ = [
    "HEADER_OVERHEAD",
    "HeadFault",
    "body_too_large_fault",
    "find_head_fault",
    "is_chunked",
    "memory_of",
    "split_head",
]

#: Bytes of memory that each header takes besides its name and value.
HEADER_OVERHEAD = 256

#: Bytes that a header takes at least besides its name and value: a colon and the line
#: end.
MIN_HEADER_FRAMING = 3

#: End of a head, as h11 finds it, and the most bytes of it that one read may lack.
_HEAD_END = re.compile(rb"\n\r?\n")
_MAX_TAIL = 2

_METHODS = frozenset(
    {b"GET", b"HEAD", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"}
)
_VERSIONS = frozenset({b"1.0", b"1.1"})


class HeadFault(msgspec.Struct, kw_only=True, frozen=True):
    """The status, code and message with which a request is refused."""

    status: int
    code: str
    message: str


def find_head_fault(
    head: h11.Request, *, max_head: int, max_body: int
) -> HeadFault | None:
    """Return the first fault of a request head, or None if it is acceptable.

    Parameters
    ----------
    max_head, max_body : int
        Maximum bytes of the request line and headers, and of the body.
    """
    if _is_too_large(head, max_head=max_head):
        return HeadFault(
            status=431,
            code="head_too_large",
            message=f"the request line and headers exceed {max_head} bytes",
        )
    if head.http_version not in _VERSIONS:
        return HeadFault(status=505, code="http_version", message="use HTTP/1.1")
    lengths = [value for name, value in head.headers if name == b"content-length"]
    if lengths and is_chunked(head):
        return HeadFault(
            status=400,
            code="ambiguous_length",
            message="Content-Length and Transfer-Encoding exclude each other",
        )
    if head.method not in _METHODS:
        method = head.method.decode("ascii")[:20]
        return HeadFault(
            status=501, code="method", message=f"method {method} is not known"
        )
    if lengths and int(lengths[0]) > max_body:
        return body_too_large_fault(max_body)
    return None


def split_head(tail: bytes, data: bytes) -> tuple[bytes, bytes, bytes]:
    """Split received bytes where a head ends.

    Parameters
    ----------
    tail : bytes
        Last bytes of the head that were received before, in which its end may begin.

    Returns
    -------
    head, rest, tail : bytes
        Bytes of the head, those behind it, and the tail of a head that goes on.
    """
    joined = tail + data
    end = _HEAD_END.search(joined)
    if end is None:
        return data, b"", joined[-_MAX_TAIL:]
    n_head = end.end() - len(tail)
    return data[:n_head], data[n_head:], b""


def is_chunked(head: h11.Request) -> bool:
    """Return whether a request's body comes in chunks."""
    return any(name == b"transfer-encoding" for name, _ in head.headers)


def memory_of(head: h11.Request) -> int:
    """Return about how many bytes of memory a parsed head takes."""
    return len(head.target) + sum(
        len(name) + len(value) + HEADER_OVERHEAD for name, value in head.headers
    )


def body_too_large_fault(max_body: int) -> HeadFault:
    """Return the fault of a body whose declared or received length exceeds a limit."""
    return HeadFault(
        status=413,
        code="body_too_large",
        message=f"the body is longer than {max_body} bytes",
    )


def _is_too_large(head: h11.Request, *, max_head: int) -> bool:
    # h11 applies its limit only to incomplete heads; a head that arrives in a single
    # read is not checked by h11.
    size = sum(
        len(name) + len(value) + MIN_HEADER_FRAMING for name, value in head.headers
    )
    return size + len(head.target) > max_head
