"""Send bytes without end that are no answer, until the other side closes."""

from __future__ import annotations

import asyncio

__all__ = ["ENDLESS_FORMS", "send_without_end"]

#: Maximum bytes that wait to be sent.
MAX_UNSENT = 1 << 20

_SIGNED = b"Request-Id: %s\r\nResponse-Seal: signature\r\n"

_CHUNKED = b"HTTP/1.1 200 OK\r\n" + _SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"

#: Bytes that are sent first, in which ``%s`` stands for the id of the request, and the
#: bytes that are repeated without end.
ENDLESS_FORMS: dict[str, tuple[bytes, bytes]] = {
    "bytes-before-head": (b"", b"\x00" * 4096),
    "head-without-end": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: x\r\n" * 256),
    "interim-heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 128),
    "body-with-length": (
        b"HTTP/1.1 200 OK\r\n" + _SIGNED + b"Content-Length: 1000000000000\r\n\r\n",
        b"x" * 4096,
    ),
    "body-until-close": (b"HTTP/1.1 200 OK\r\n" + _SIGNED + b"\r\n", b"x" * 4096),
    "chunks": (_CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "chunks-of-a-byte": (_CHUNKED, b"1\r\nx\r\n" * 1024),
    "comments": (_CHUNKED, b"400\r\n" + b": ping\n\n" * 128 + b"\r\n"),
    "chunk-extension": (_CHUNKED + b"1;name=", b"x" * 4096),
    "trailers": (_CHUNKED + b"0\r\n", b"X-Filler: x\r\n" * 256),
}


async def send_without_end(
    transport: asyncio.Transport, *, form: str, request_id: str
) -> None:
    """Send the bytes of a form until the connection is closed."""
    first, repeated = ENDLESS_FORMS[form]
    transport.write(first.replace(b"%s", request_id.encode()))
    while not transport.is_closing():
        if transport.get_write_buffer_size() < MAX_UNSENT:
            transport.write(repeated * 16)
        await asyncio.sleep(0)
