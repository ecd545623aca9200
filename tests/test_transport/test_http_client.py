"""Test outgoing HTTP connections against a scripted server."""

from __future__ import annotations

import contextlib
import itertools
import socket
import struct
import threading
import time
from collections.abc import Iterator

import pytest
from circuits import BaseComponent, handler

from ryelever.errors import Category
from ryelever.events import OutboundRequest, outbound_cancel, outbound_send, sweep
from ryelever.transport import http_client
from ryelever.transport.http_client import HttpClient
from ryelever.transport.http_connection import IDLE_TIMEOUT, open_socket
from ryelever.transport.poller import Poller

from ..standins.endless import ENDLESS_FORMS

#: Seconds without progress after which a request fails: for tests that wait for the
#: failure, and for all others, in which a peer on a busy machine may take its time.
SHORT_TIMEOUT = 0.2
LONG_TIMEOUT = 30.0

#: Seconds for which a sound server, or the path to it, may be silent.
SERVER_PAUSE = 1.5

NO_ANSWER = "silent"
CLOSE = "close"
RESET = "reset"


def answer(body: str) -> bytes:
    """Return a complete answer."""
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


class ScriptedServer:
    """A server that answers the requests of each connection according to a script.

    A script is a list with one entry for each request: bytes to send, ``NO_ANSWER``, or
    ``CLOSE`` or ``RESET`` for the end of the connection.  ``(bytes, end)`` sends bytes
    and ends the connection; an iterator sends bytes until the client has closed it.
    """

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.scripts: list[list[bytes | str]] = []
        self.socks: list[socket.socket] = []
        self.n_requests = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        for index in itertools.count():
            try:
                sock = self._listener.accept()[0]
            except OSError:
                return
            self.socks.append(sock)
            script = self.scripts[index] if index < len(self.scripts) else [NO_ANSWER]
            threading.Thread(
                target=self._serve, args=(sock, script), daemon=True
            ).start()

    def _serve(self, sock: socket.socket, script: list[bytes | str]) -> None:
        # A client that cancels its request resets the connection; the end of a test
        # closes the socket.
        with contextlib.suppress(OSError):
            self._answer(sock, script)

    def _end(self, sock: socket.socket, how: str) -> None:
        if how == RESET:
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()

    def _answer(self, sock: socket.socket, script: list[bytes | str]) -> None:
        for reply in script:
            data = b""
            while not data.endswith(b"\r\n\r\n"):
                piece = sock.recv(4096)
                if not piece:
                    return
                data += piece
            self.n_requests += 1
            if isinstance(reply, tuple):
                sock.sendall(reply[0])
                self._end(sock, reply[1])
                return
            if isinstance(reply, Iterator):
                for piece in reply:
                    sock.sendall(piece)
                return
            if reply == CLOSE:
                self._end(sock, CLOSE)
                return
            if reply != NO_ANSWER:
                sock.sendall(reply)

    def stop_listening(self) -> None:
        """Refuse new connections."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self._listener.close()
        for sock in self.socks:
            sock.close()


class ClientHarness(BaseComponent):
    """Run an ``HttpClient`` and record its answers and failures."""

    channel = "harness"

    def __init__(self) -> None:
        super().__init__()
        self.client = HttpClient().register(self)
        self.poller = Poller().register(self)
        self.answers: list = []
        self.failures: list = []
        self._ids = itertools.count()
        # ``tick`` calls the poller only if the main loop is marked as running.
        self._running = True

    @handler("outbound_answer")
    def _on_answer(self, message: object) -> None:
        self.answers.append(message)

    @handler("outbound_failed")
    def _on_failed(self, message: object) -> None:
        self.failures.append(message)

    @handler("generate_events")
    def _on_generate_events(self, event: object) -> None:
        event.reduce_time_left(0.01)

    def send(self, address: str, **fields: object) -> None:
        """Send a request without waiting for its answer."""
        request = OutboundRequest(
            id=f"q{next(self._ids)}",
            address=address,
            path="/",
            reply_channel="harness",
            step="fetch",
            **({"method": "GET", "progress_timeout": LONG_TIMEOUT} | fields),
        )
        self.fire(outbound_send(request), "http_client")

    def fetch(self, address: str, **fields: object) -> str:
        """Send a request; return the answer's body, or the category of the failure.

        A failure's category is followed by "sent" or "unsent", for the request's bytes.
        """
        n_before = len(self.answers) + len(self.failures)
        self.send(address, **fields)
        self.run_until(lambda: len(self.answers) + len(self.failures) > n_before)
        if self.failures:
            failure = self.failures[-1]
            sent = "sent" if failure.bytes_sent else "unsent"
            return f"{failure.error.category.value} {sent}"
        return self.answers[-1].body.decode()

    def run_until(self, condition: object) -> None:
        """Run the main loop and fire sweeps until a condition is true."""
        deadline = time.monotonic() + 10
        while not condition():
            assert time.monotonic() < deadline, "the condition was not met within 10 s"
            self.fire(sweep(), "http_client")
            self.tick(0.01)


@pytest.fixture
def server() -> Iterator[ScriptedServer]:
    running = ScriptedServer()
    yield running
    running.close()


@pytest.fixture
def harness() -> ClientHarness:
    return ClientHarness()


OK = answer("ok")

#: Answer with neither a length nor chunks, which ends with its connection.
UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nall of it"

# Scripts of the first connections, extra request fields, expected result.
FAILURES = {
    "truncated": (
        [[OK[:-1], CLOSE]],
        {"progress_timeout": SHORT_TIMEOUT},
        "timeout sent",
    ),
    "truncated and closed": ([[CLOSE]], {}, "broken sent"),
    "silent": ([[NO_ANSWER]], {"progress_timeout": SHORT_TIMEOUT}, "timeout sent"),
    "not HTTP": ([[b"220 mail ready\r\n\r\n"]], {}, "broken sent"),
    "reset without a length": ([[(UNFRAMED, RESET)]], {}, "broken sent"),
    "closed inside the head": ([[(UNFRAMED[:9], CLOSE)]], {}, "broken sent"),
    "too long": ([[answer("x" * 100)]], {"max_body": 10}, "broken sent"),
    "late": ([[OK]], {"latest_start": 0.0}, "timeout unsent"),
    "unwritable header": (
        [[OK]],
        {"headers": (("Content-Type", "a\r\nX: b"),)},
        "unavailable unsent",
    ),
}


@pytest.mark.parametrize("name", FAILURES)
def test_failure_is_reported_once(
    server: ScriptedServer, harness: ClientHarness, name: str
) -> None:
    """Report each failure once, and whether a byte may have been sent.

    Guards against a fault that raises an exception instead of being reported: the
    request would get no answer, or a wrong not_run.
    """
    server.scripts, fields, expected = FAILURES[name]
    assert harness.fetch(server.address, **fields) == expected
    assert len(harness.failures) == 1
    assert not harness.client.describe()


@pytest.mark.parametrize("form", ENDLESS_FORMS)
def test_answer_without_end_is_given_up(
    server: ScriptedServer, harness: ClientHarness, form: str
) -> None:
    """Guard against bytes that are read for as long as a faulty server sends them."""
    first, repeated = ENDLESS_FORMS[form]
    server.scripts = [[itertools.chain([first], itertools.repeat(repeated))]]
    assert harness.fetch(server.address) == "broken sent"
    assert harness.client.describe() == []


def test_answer_that_arrives_slowly_without_end_is_given_up(
    server: ScriptedServer, harness: ClientHarness
) -> None:
    """Guard against orders that stay open while a faulty server sends some bytes."""
    paused = threading.Event()
    head = itertools.repeat(b"HTTP/1.1 100 Continue\r\n\r\n")
    server.scripts = [[(piece for piece in head if not paused.wait(0.01))]]
    result = harness.fetch(server.address, progress_timeout=0.2, time_limit=0.5)
    assert result == "timeout sent"


def test_answer_without_a_length_ends_with_its_connection(
    server: ScriptedServer, harness: ClientHarness
) -> None:
    """Guard against an answer without a length that counts as broken off, or is cut."""
    server.scripts = [[(UNFRAMED, CLOSE)], [OK]]
    assert harness.fetch(server.address) == "all of it"
    assert harness.fetch(server.address) == "ok"
    assert harness.failures == []


@pytest.mark.parametrize("address", ["127.0.0.1:1", "nonsense", "127.0.0.1:99999"])
def test_unreachable_address(harness: ClientHarness, address: str) -> None:
    """Report a failure if the hosts list contains a wrong address.

    Guards against an exception while connecting that is not reported as a failure: a
    stream would not be read any more, and a request would wait for its deadline.
    """
    assert harness.fetch(address) == "unavailable unsent"


def test_no_descriptor_left_for_a_socket(
    harness: ClientHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Report a failure if the process has no file descriptors left.

    Guards against an exception while connecting that is not reported as a failure: a
    stream would not be read any more, and a request would wait for its deadline.
    """
    monkeypatch.setattr(socket, "socket", _refuse)
    assert harness.fetch("127.0.0.1:1") == "unavailable unsent"


def test_bytes_after_an_answer_are_discarded(
    server: ScriptedServer, harness: ClientHarness
) -> None:
    """Discard a second answer to one request.

    Guards against returning one caller's answer to another: if the peer sends more
    than the answer and the connection goes back to the pool, the next request on the
    connection would read the remaining bytes as its answer.
    """
    server.scripts = [[OK + answer("stolen")], [answer("own")]]
    assert harness.fetch(server.address) == "ok"
    assert harness.fetch(server.address) == "own"


def test_bytes_received_while_idle_are_discarded(
    server: ScriptedServer, harness: ClientHarness
) -> None:
    """Discard a second answer that arrives just before the next request.

    Guards against returning one caller's answer to another: the bytes arrive after the
    connection went back to the pool and before the process polls its socket again.
    """
    server.scripts = [[OK], [answer("own")]]
    assert harness.fetch(server.address) == "ok"
    server.socks[0].sendall(answer("stolen"))
    assert harness.fetch(server.address) == "own"


def test_idle_connection_closed_by_the_peer(
    server: ScriptedServer, harness: ClientHarness
) -> None:
    """Resend a repeatable request if the peer closes a pooled connection.

    Guards against occasional errors on a host with little traffic: the peer's idle
    timeout can expire just when the next request is sent over a pooled connection.
    """
    server.scripts = [[OK, CLOSE], [answer("again")]]
    assert harness.fetch(server.address) == "ok"
    assert harness.fetch(server.address) == "again"


@pytest.mark.parametrize("at_once", [False, True], ids=["refused", "no socket"])
def test_not_run_is_not_reported_after_a_lost_connection(
    server: ScriptedServer,
    harness: ClientHarness,
    monkeypatch: pytest.MonkeyPatch,
    at_once: bool,
) -> None:
    """Report sent bytes after a pooled connection broke and a new one was refused.

    Guards against not_run for a request that may have been run: its bytes were sent
    over the old connection, which then broke, and only the new connection was checked
    for sent bytes.
    """
    server.scripts = [[OK, CLOSE]]
    assert harness.fetch(server.address) == "ok"
    server.stop_listening()
    if at_once:
        monkeypatch.setattr(http_client, "open_socket", _refuse)
    assert harness.fetch(server.address) == "unavailable sent"


def _refuse(*args: object) -> None:
    raise OSError(24, "Too many open files")


def test_kernel_keeps_connections_of_paused_servers(server: ScriptedServer) -> None:
    """Guard against answers that are lost when a pause swallows one keepalive probe."""
    sock, _ = open_socket(server.address)
    with sock:
        idle, interval, limit = (
            sock.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_USER_TIMEOUT,
            )
        )
    # A pause may begin just before the first probe, and the answer to the first one
    # after it comes before the next one is due.
    assert idle + SERVER_PAUSE + interval < limit / 1000


def test_fresh_request_uses_no_pooled_connection(
    server: ScriptedServer, harness: ClientHarness
) -> None:
    """Send a non-repeatable request over a new connection.

    Guards against a needless outcome_unknown: a pooled connection may have been closed
    without notice, which can't be detected before bytes are sent.
    """
    server.scripts = [[OK, CLOSE], [answer("fresh")]]
    assert harness.fetch(server.address) == "ok"
    assert harness.fetch(server.address, new_connection=True) == "fresh"
    assert server.n_requests == 2


def test_timeout_closes_idle_connections_to_the_peer(
    server: ScriptedServer, harness: ClientHarness
) -> None:
    """Close all idle connections to a peer after a timeout on one of them.

    Guards against one request after another running into its timeout: a network device
    drops the state of all connections to a peer, and the pool still provides the
    others.
    """
    server.scripts = [[OK, NO_ANSWER], [OK, NO_ANSWER], [answer("new")]]
    harness.send(server.address)
    harness.send(server.address)
    harness.run_until(lambda: len(harness.answers) == 2)
    timed_out = harness.fetch(server.address, progress_timeout=SHORT_TIMEOUT)
    assert timed_out == "timeout sent"
    assert not harness.client.describe()
    harness.failures.clear()
    assert harness.fetch(server.address) == "new"


def test_pooled_connection_grows_too_old_in_a_pause(
    server: ScriptedServer, harness: ClientHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Use no pooled connection that was idle for too long during a pause.

    Guards against requests that hang after the process was paused for minutes: network
    devices have dropped the state of its connections meanwhile, and a check of their
    age by the sweep alone comes after the first requests.
    """
    server.scripts = [[OK, NO_ANSWER], [answer("new")]]
    assert harness.fetch(server.address) == "ok"
    clock = time.monotonic
    monkeypatch.setattr(time, "monotonic", lambda: clock() + IDLE_TIMEOUT + 1)
    assert harness.fetch(server.address) == "new"


def test_first_byte_has_a_separate_timeout(
    server: ScriptedServer, harness: ClientHarness
) -> None:
    """Wait longer for the first byte than for later bytes.

    Guards against a single timeout for both: an engine takes longer for the prompt than
    it may pause between tokens, so either long prompts would time out, or dead streams
    would be kept for long.
    """
    server.scripts = [[NO_ANSWER]]
    harness.send(server.address, progress_timeout=0.05, first_byte_timeout=30.0)
    harness.run_until(lambda: server.n_requests)
    waits_until = time.monotonic() + 0.3
    harness.run_until(lambda: time.monotonic() > waits_until)
    assert not harness.failures
    server.socks[0].sendall(OK[:-1])
    harness.run_until(lambda: harness.failures)
    assert harness.failures[0].error.category is Category.TIMEOUT


def test_unsent_bytes_of_a_cancelled_request_never_arrive(
    harness: ClientHarness,
) -> None:
    """Make the kernel discard the unsent bytes of a cancelled request.

    Guards against requests that arrive after their cancellation: four requests reached
    a backend server six seconds after their callers had disconnected and their
    connections here were closed.  The server was unresponsive, and the requests' bytes
    waited in the kernel, which delivers them after a close unless the connection is
    reset.
    """
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        host, port = listener.getsockname()
        harness.send(f"{host}:{port}", method="POST", body=bytes(8 << 20))
        connections = harness.client._connections_by_sock
        harness.run_until(
            lambda: any(connection.bytes_sent for connection in connections.values())
        )
        sock, _ = listener.accept()
        sock.settimeout(10)
        harness.fire(outbound_cancel("q0"), "http_client")
        harness.run_until(lambda: not connections)
        with sock, pytest.raises(ConnectionResetError):
            while sock.recv(1 << 20):
                pass


#: Answers of a forwarding host, the failure that each one becomes, and whether the
#: forwarding host itself failed.
FORWARDED_FAILURES = {
    "server not reached": (
        b'HTTP/1.1 504 \r\nProxy-Status: "e2"; error=connection_timeout\r\n'
        b"Content-Length: 0\r\n\r\n",
        "timeout unsent",
        False,
    ),
    "server refused": (
        b'HTTP/1.1 502 \r\nProxy-Status: "e2"; error=connection_refused\r\n'
        b"Content-Length: 0\r\n\r\n",
        "unavailable unsent",
        False,
    ),
    "answer broken off": (
        b'HTTP/1.1 200 OK\r\nProxy-Status: "e2"\r\nTransfer-Encoding: chunked\r\n'
        b"\r\n2\r\nok\r\n0\r\n"
        b'Proxy-Status: "e2"; error=connection_terminated\r\n\r\n',
        "broken sent",
        False,
    ),
    "forwarding host ended": (CLOSE, "broken sent", True),
    "not forwarded": (answer("not here"), "broken sent", True),
    "beyond the limits": (
        b"HTTP/1.1 413 \r\nContent-Length: 0\r\n\r\n",
        "broken unsent",
        True,
    ),
    "too many requests": (
        b"HTTP/1.1 503 \r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
        "broken unsent",
        True,
    ),
}


@pytest.mark.parametrize("name", FORWARDED_FAILURES)
def test_errors_of_a_forwarding_host_are_no_answers(
    server: ScriptedServer, harness: ClientHarness, name: str
) -> None:
    """Guard against an error of another host that is passed on as a server's answer."""
    reply, expected, forwarder_failed = FORWARDED_FAILURES[name]
    server.scripts = [[reply]]
    assert harness.fetch(server.address, forwarded=True) == expected
    assert harness.failures[-1].forwarder_failed is forwarder_failed


def test_answer_without_an_error_passes_a_forwarding_host(
    server: ScriptedServer, harness: ClientHarness
) -> None:
    forwarded = OK.replace(b"OK\r\n", b'OK\r\nProxy-Status: "e2"\r\n')
    server.scripts = [[forwarded]]
    assert harness.fetch(server.address, forwarded=True) == "ok"


def test_refused_connection_to_a_forwarding_host_says_nothing_of_the_server(
    server: ScriptedServer, harness: ClientHarness
) -> None:
    """Guard against servers that count as gone because a forwarding host has ended."""
    server.stop_listening()
    assert harness.fetch(server.address, forwarded=True) == "unavailable unsent"
    assert harness.failures[-1].forwarder_failed
