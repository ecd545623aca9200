"""Define malformed HTTP requests that every callers' interface must refuse."""

from __future__ import annotations

__all__ = ["REFUSED", "head_of"]


def head_of(*lines: str, start: str = "POST /v1/chat/completions HTTP/1.1") -> bytes:
    """Return a request head with a host header and the given header lines."""
    return "\r\n".join((start, "Host: e", *lines, "", "")).encode()


CHUNKED = head_of("Transfer-Encoding: chunked")
AMBIGUOUS = head_of("Content-Length: 5", "Transfer-Encoding: chunked") + b"0\r\n\r\n"
TWO_LENGTHS = head_of("Content-Length: 2", "Content-Length: 3")
LONG_PATH = head_of(start=f"GET /{'a' * 40_000} HTTP/1.1")
LONG_CHUNK = CHUNKED + b"200000\r\n" + b"a" * 0x200000

#: Requests that the HTTP parser or its limits refuse: name, bytes, response status, and
#: the error code that the OpenAI interface answers with (None: not compared).
REFUSED = [
    ("not HTTP", b"\x16\x03\x01\x02\x00\x01\r\n\r\n", 400, "bad_request"),
    ("no version", b"GET /healthz\r\n\r\n", 400, "bad_request"),
    ("version 2", head_of(start="GET /healthz HTTP/2.0"), 505, "http_version"),
    ("version 0.9", head_of(start="GET /healthz HTTP/0.9"), 505, "http_version"),
    ("no host", b"GET /healthz HTTP/1.1\r\n\r\n", 400, "bad_request"),
    ("two hosts", head_of("Host: f"), 400, "bad_request"),
    ("negative length", head_of("Content-Length: -5"), 400, "bad_request"),
    ("length in words", head_of("Content-Length: five"), 400, "bad_request"),
    ("two lengths", TWO_LENGTHS, 400, "bad_request"),
    ("length and chunks", AMBIGUOUS, 400, "ambiguous_length"),
    ("unknown coding", head_of("Transfer-Encoding: gzip"), 501, "bad_request"),
    ("bad chunk size", CHUNKED + b"zz\r\n", 400, "bad_request"),
    ("space in name", head_of("Bad Name: x"), 400, "bad_request"),
    ("control byte", head_of("X-A: a\x00b"), 400, "bad_request"),
    ("long header", head_of("X-A: " + "a" * 40_000), 431, "head_too_large"),
    ("endless header", b"GET / HTTP/1.1\r\nX-A: " + b"a" * 70_000, 431, None),
    ("many headers", head_of(*["X-A: a"] * 9000), 431, "head_too_large"),
    ("long path", LONG_PATH, 431, "head_too_large"),
    ("unknown method", head_of(start="BREW /v1/models HTTP/1.1"), 501, "method"),
    ("declared too long", head_of("Content-Length: 2000000"), 413, "body_too_large"),
    ("chunked too long", LONG_CHUNK, 413, "body_too_large"),
    ("junk request line", b"\r\n" * 10 + b"%%%%\r\n\r\n", 400, "bad_request"),
    ("space in path", head_of(start="GET /a b HTTP/1.1"), 400, "bad_request"),
]
