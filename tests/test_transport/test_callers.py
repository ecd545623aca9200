"""Test the callers' interface with bad input, over raw sockets."""

from __future__ import annotations

import contextlib
import http.client
import json
import socket
import threading
from collections.abc import Iterator

import pytest

from ..bad_requests import REFUSED, head_of
from ..builders import named
from ..processes import EntryHost, Fleet, wait_until

N_ABORTED_UPLOADS = 300
ABORTED_BODY_SIZE = 100_000

#: Bytes of memory growth that are attributed to the allocator.
MEMORY_NOISE = 8 << 20

QUESTION = {"model": "notes", "messages": [{"role": "user", "content": "Is Rex home?"}]}


@contextlib.contextmanager
def connected(entry: EntryHost) -> Iterator[socket.socket]:
    """Yield a raw connection to the entry host."""
    host, _, port = entry.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20) as sock:
        yield sock


def read_answer(
    sock: socket.socket, method: str = "GET"
) -> tuple[http.client.HTTPResponse, bytes]:
    """Read one answer; the socket must not have received a second one yet."""
    answer = http.client.HTTPResponse(sock, method=method)
    answer.begin()
    return answer, answer.read()


def chat(fleet: Fleet, *, body: bytes | None = None, head: str = "", **fields) -> bytes:
    """Return the bytes of a chat request; ``head`` contains additional header lines."""
    if body is None:
        body = question(**{"max_tokens": 3} | fields)
    return (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\n"
        f"Authorization: Bearer {fleet.keys_by_account['pawroute']}\r\n"
        f"Content-Length: {len(body)}\r\n{head}\r\n"
    ).encode() + body


def exchange(entry: EntryHost, data: bytes) -> tuple[http.client.HTTPResponse, bytes]:
    """Send bytes on a new connection and read one answer."""
    with connected(entry) as sock:
        sock.sendall(data)
        return read_answer(sock)


def assert_serves(fleet: Fleet, entry: EntryHost) -> None:
    """Check that a valid request is still answered."""
    answer, body = exchange(entry, chat(fleet))
    assert answer.status == 200, body


def assert_refused(answer: tuple, status: int, code: str | None) -> dict[str, str]:
    """Check the status and code of an error, and that nothing was run."""
    response, body = answer
    assert response.status == status, body
    error = json.loads(body)["error"]
    assert error["code"] == (code or error["code"])
    assert error["run_state"] == "not_run"
    assert b"Traceback" not in body
    return error


@pytest.mark.parametrize(("data", "status", "code"), named(REFUSED))
def test_refuse_malformed_request(
    served: Fleet, entry: EntryHost, data: bytes, status: int, code: str | None
) -> None:
    """Answer each malformed request with one error, and close the connection.

    Guards against request smuggling: circuits.web accepts heads with an ambiguous
    length.  If such a request is passed on, two parties disagree on where it ends, its
    rest is read as the next request, and one caller gets the answer of another.
    """
    with connected(entry) as sock:
        sender = threading.Thread(target=_send_all, args=(sock, data))
        sender.start()
        answer = read_answer(sock)
        sender.join()
        assert sock.recv(1) == b""
    error = assert_refused(answer, status, code)
    assert error["step"] == "read_request"
    assert error["peer"].startswith("127.0.0.1:")
    assert_serves(served, entry)


def _send_all(sock: socket.socket, data: bytes) -> None:
    with contextlib.suppress(OSError):
        sock.sendall(data)


def question(**fields: object) -> bytes:
    """Return the body of a chat request with additional or different fields."""
    return json.dumps(QUESTION | fields).encode()


#: Invalid bodies in well-formed HTTP requests: name, body, status, code.
BAD_BODIES = [
    ("empty", b"", 400, "invalid_request"),
    ("not JSON", b"{", 400, "invalid_request"),
    ("not UTF-8", b'{"model": "\xff\xfe"}', 400, "invalid_request"),
    ("lone surrogate", b'{"model": "\\ud800"}', 400, "invalid_request"),
    ("a list", b"[]", 400, "invalid_request"),
    ("deep nesting", b"[" * 100_000, 400, "invalid_request"),
    ("no messages", b'{"model": "notes", "messages": []}', 400, "invalid_request"),
    ("number as model", b'{"model": 3, "messages": []}', 400, "invalid_request"),
    ("unknown model", question(model="none"), 404, "model_not_found"),
    ("unknown adapter", question(model="notes:none"), 404, "model_not_found"),
    ("tokens below 1", question(max_tokens=0), 400, "invalid_request"),
    ("tokens beyond all", question(max_tokens=10**9), 400, "invalid_request"),
]


@pytest.mark.parametrize(("body", "status", "code"), named(BAD_BODIES))
def test_refuse_bad_body(
    served: Fleet, entry: EntryHost, body: bytes, status: int, code: str
) -> None:
    """Report the fault of a body and keep the connection open."""
    with connected(entry) as sock:
        sock.sendall(chat(served, body=body))
        assert_refused(read_answer(sock), status, code)
        sock.sendall(chat(served))
        assert read_answer(sock)[0].status == 200


KEY_MISSING = "idempotency_key_missing"
ESCAPED = "POST /services/bookings/%62ookings"
DETOUR = "POST /services/bookings/x/..//bookings"

#: Name, start line, authorization, status and code.
BAD_TARGETS = [
    ("wrong key", "GET /v1/models", "Bearer nobody.x", 401, "invalid_api_key"),
    ("no scheme", "GET /v1/models", "nobody", 401, "invalid_api_key"),
    ("basic", "GET /v1/models", "Basic cGF3OnJvdXRl", 401, "invalid_api_key"),
    ("bytes in key", "GET /v1/models", "Bearer p\xe4w.x", 401, "invalid_api_key"),
    ("root", "GET /", "", 404, "unknown_path"),
    ("climbing path", "GET /../../etc/passwd", "", 400, "bad_path"),
    ("escaped climbing", "GET /%2e%2e/%2e%2e/etc/passwd", "", 400, "bad_path"),
    ("zero byte", "GET /%00", "", 400, "bad_path"),
    ("broken escape", "GET /%zz", "", 404, "unknown_path"),
    ("two slashes", "GET //v1/models", "", 400, "bad_path"),
    ("other host's path", "GET http://e/nothing", "", 404, "unknown_path"),
    ("a star", "OPTIONS *", "", 404, "unknown_path"),
    ("wrong method", "DELETE /v1/chat/completions", "", 405, "use_post"),
    ("wrong method of models", "POST /v1/models", "", 405, "use_get"),
    ("unknown service", "GET /services/none/x", "", 404, "unknown_service"),
    ("other spelling of a call that needs a key", ESCAPED, "", 400, KEY_MISSING),
    ("detour to a call that needs a key", DETOUR, "", 400, "bad_path"),
    ("no idempotency key", "POST /services/bookings/bookings", "", 400, KEY_MISSING),
]


@pytest.mark.parametrize(
    ("start", "authorization", "status", "code"), named(BAD_TARGETS)
)
def test_refuse_bad_target(
    served: Fleet,
    entry: EntryHost,
    start: str,
    authorization: str,
    status: int,
    code: str,
) -> None:
    """Report the fault of a path, a method or a key."""
    authorization = authorization or f"Bearer {served.keys_by_account['pawroute']}"
    head = f"{start} HTTP/1.1\r\nHost: e\r\nAuthorization: {authorization}\r\n\r\n"
    answer = exchange(entry, head.encode("latin-1"))
    assert_refused(answer, status, code)
    assert ("Allow" in answer[0].headers) == (status == 405)


@pytest.mark.parametrize(
    "line",
    [
        "Host: e:port",
        "Host: [::1",
        "Cookie: a=b; \x80=;;;",
        "Connection: upgrade\r\nUpgrade: h2c",
        "Content-Type: \xff",
        "Accept: " + "a," * 1000,
    ],
)
def test_odd_headers_that_are_not_used_are_accepted(
    served: Fleet, entry: EntryHost, line: str
) -> None:
    """Answer a request with odd headers that only ``circuits.web`` would parse.

    Guards against answering with a page that shows a traceback: circuits.web parses
    each header without handling exceptions, for example a Host with a port that is not
    a number.
    """
    host = "" if line.startswith("Host") else "Host: e\r\n"
    head = f"GET /healthz HTTP/1.1\r\n{host}{line}\r\n\r\n"
    answer, body = exchange(entry, head.encode("latin-1"))
    assert (answer.status, json.loads(body)) == (200, {"status": "alive"})
    assert "Set-Cookie" not in answer.headers


def test_pipelined_requests_are_answered_in_order(
    served: Fleet, entry: EntryHost
) -> None:
    """Answer each of several requests that were sent at once.

    Guards against a caller that waits forever: it sends a second request before the
    first one is answered, and circuits.web discards all bytes after the first request.
    """
    with connected(entry) as sock:
        sock.sendall(
            b"GET /healthz HTTP/1.1\r\nHost: e\r\n\r\n"
            + chat(served)
            + chat(served, stream=True)
            + b"GET /nothing HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n"
        )
        received = _read_all(sock)
    assert received.count(b"HTTP/1.1 200") == 3
    order = [
        received.index(part)
        for part in (b'"alive"', b'"chat.completion"', b"[DONE]", b"invalid_api_key")
    ]
    assert order == sorted(order)


def _read_all(sock: socket.socket) -> bytes:
    parts = []
    while data := sock.recv(65536):
        parts.append(data)
    return b"".join(parts)


def test_endless_pipelining_is_refused(served: Fleet, entry: EntryHost) -> None:
    """Bound the bytes that a caller may send before its answer is complete.

    Guards against unbounded memory: a caller goes on sending while its first answer is
    streamed, and all pipelined bytes are kept.
    """
    pipelined = chat(served, body=b" " * 500_000)
    with connected(entry) as sock:
        sock.sendall(chat(served, stream=True, max_tokens=10_000))
        sock.recv(1)
        with pytest.raises(OSError):  # noqa: PT011
            for _ in range(1000):
                sock.sendall(pipelined)
    assert_serves(served, entry)


def test_caller_that_expects_continue_gets_it(served: Fleet, entry: EntryHost) -> None:
    """Send 100 Continue to a caller that waits for it before it sends its body.

    Guards against uploads that start a second late, or never: circuits.web never
    answers ``Expect: 100-continue``.
    """
    request = chat(served, head="Expect: 100-continue\r\n")
    head, _, body = request.partition(b"\r\n\r\n")
    with connected(entry) as sock:
        sock.sendall(head + b"\r\n\r\n")
        assert sock.recv(100).startswith(b"HTTP/1.1 100 ")
        sock.sendall(body)
        assert read_answer(sock)[0].status == 200


def test_large_body_is_refused_before_it_is_sent(
    served: Fleet, entry: EntryHost
) -> None:
    """Refuse a body by its declared length, instead of sending 100 Continue."""
    head = head_of("Content-Length: 9000000", "Expect: 100-continue")
    answer, _ = exchange(entry, head)
    assert answer.status == 413


def test_body_in_chunks_is_read(served: Fleet, entry: EntryHost) -> None:
    """Read a chunked body whose chunks have one byte each."""
    body = question(max_tokens=2)
    key = f"Authorization: Bearer {served.keys_by_account['pawroute']}"
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    with connected(entry) as sock:
        sock.sendall(head_of(key, "Transfer-Encoding: chunked") + chunks)
        sock.sendall(b"0\r\nX-Trailer: a\r\n\r\n")
        answer, answered = read_answer(sock)
    assert answer.status == 200, answered


@pytest.mark.parametrize("start", [b"GET /healthz HTTP/1.1\r\nHost: e\r\nX: ", b""])
def test_slow_request_times_out(entry: EntryHost, start: bytes) -> None:
    """Refuse a request that arrives one byte at a time and takes too long.

    Guards against running out of connections: callers send a byte now and then and
    never finish, and only connections without any input time out.
    """
    pause = threading.Event()
    with connected(entry) as sock:
        sock.sendall(start or b"G")
        sock.setblocking(False)
        while True:
            with contextlib.suppress(BlockingIOError):
                assert sock.recv(1) == b"H"
                break
            with contextlib.suppress(OSError):
                sock.send(b"a")
            pause.wait(0.02)
        sock.settimeout(20)
        rest = _read_all(sock)
    assert b" 408 " in rest
    assert b'"request_timeout"' in rest


@pytest.mark.parametrize(
    ("version", "head", "closes"),
    [
        ("1.1", "", False),
        ("1.1", "Connection: close\r\n", True),
        ("1.0", "", True),
        ("1.0", "Connection: keep-alive\r\n", False),
    ],
)
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_connection_is_kept_or_closed_as_requested(
    entry: EntryHost, version: str, head: str, closes: bool, method: str
) -> None:
    """Keep or close the connection as requested; send no body for a HEAD request."""
    request = f"{method} /healthz HTTP/{version}\r\nHost: e\r\n{head}\r\n".encode()
    with connected(entry) as sock:
        for _ in range(1 if closes else 3):
            sock.sendall(request)
            answer, body = read_answer(sock, method)
            assert answer.status == 200
            assert (body == b"") == (method == "HEAD")
            assert int(answer.headers["Content-Length"]) > 0
        if closes:
            assert sock.recv(1) == b""


def test_stream_to_http_1_0_ends_with_the_connection(
    served: Fleet, entry: EntryHost
) -> None:
    """Stream without chunked encoding to a caller with HTTP/1.0."""
    request = chat(served, stream=True).replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    with connected(entry) as sock:
        sock.sendall(request)
        received = _read_all(sock)
    assert b"chunked" not in received.lower()
    assert received.endswith(b"data: [DONE]\n\n")


def test_engine_work_is_cancelled_after_a_disconnect(
    served: Fleet, entry: EntryHost
) -> None:
    """Cancel the engine's work when the caller has disconnected.

    Guards against wasted accelerator time: a caller closes its connection in the middle
    of a stream, and the attempt goes on to its end.
    """
    n_before = served.counts("h0")["n_cancelled"]
    with connected(entry) as sock:
        sock.sendall(chat(served, stream=True, max_tokens=30_000))
        wait_until(lambda: b"content" in sock.recv(4096), what="the stream runs")
    # The engine may count both the order to cancel and the closed connection.
    wait_until(
        lambda: served.counts("h0")["n_cancelled"] > n_before,
        what="the engine's work is cancelled",
    )
    assert served.counts("h0")["n_running"] == 0
    wait_until(lambda: not entry.dump()["requests"], what="nothing is in flight")


def test_aborted_uploads_leak_no_memory(served: Fleet, entry: EntryHost) -> None:
    """Free the memory of many aborted uploads.

    Guards against an entry host that grows by 30 MB: 300 callers declare 200 KB, send
    100 KB and disconnect, and circuits.web keeps the parser of a connection that closed
    before its request was complete.
    """

    def abort_uploads() -> None:
        for _ in range(N_ABORTED_UPLOADS):
            with connected(entry) as sock:
                sock.sendall(
                    head_of(f"Content-Length: {2 * ABORTED_BODY_SIZE}")
                    + b"a" * ABORTED_BODY_SIZE
                )
        wait_until(
            lambda: len(entry.dump()["connections"]["callers"]) == 1,
            what="the connections are closed",
        )

    abort_uploads()
    before = _resident_bytes(entry)
    abort_uploads()
    assert _resident_bytes(entry) - before < MEMORY_NOISE
    assert_serves(served, entry)


def _resident_bytes(entry: EntryHost) -> int:
    with open(f"/proc/{entry.process.pid}/status") as status:
        line = next(line for line in status if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


def test_no_fault_was_logged(entry: EntryHost) -> None:
    """Find no unexpected exception in the log after the other tests of this module."""
    assert entry.process.events("fault") == []
