"""Test the handling of callers' input by the relay, over real sockets."""

from __future__ import annotations

import contextlib
import errno
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from types import SimpleNamespace

import msgspec
import pytest
from circuits import BaseComponent, handler
from circuits.core.events import signal as signal_caught

from ryelever import relay_shutdown
from ryelever.events import RelayedRequest, control_tick, sweep
from ryelever.relay_shutdown import RelayShutdown
from ryelever.state.routes import ConnectionLimits
from ryelever.timers import Timers
from ryelever.transport import caller_server, relay_callers
from ryelever.transport.poller import Poller
from ryelever.transport.relay_callers import CHANGE_TIME, LINGER, RelayCallers

from ..bad_requests import REFUSED
from ..builders import named
from ..processes import wait_until

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
LAST_GET = b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

LIMITS = ConnectionLimits(
    max_head=2048, max_body=4096, head_timeout=0.3, idle_timeout=30.0
)


class Listener(BaseComponent):
    """Answer every request with its target and body, but never ``/wait``."""

    channel = "listener"

    def __init__(self) -> None:
        super().__init__()
        Poller().register(self)
        self.timers = Timers().register(self)
        self.callers = RelayCallers(
            bind=("127.0.0.1", 0),
            channel="callers_of_test",
            reply_channel="listener",
            limits=lambda: self.limits,
        ).register(self)
        self.limits = LIMITS
        self.answer_size = 0
        self.gone: list[int] = []
        self.requests: list[RelayedRequest] = []
        self.caller_has_disconnected = threading.Event()

    @handler("started", channel="*")
    def _on_started(self, *args: object) -> None:
        self.timers.every(0.05, sweep, "callers_of_test")

    @handler("relayed_request")
    def _on_request(self, request: RelayedRequest) -> None:
        self.requests.append(request)
        if request.target == b"/wait":
            return
        if request.target == b"/cut":
            self.callers.start(request.number, status=200, headers=[(b"x", b"1")])
            self.callers.data(request.number, b"part")
            self.callers.abort(request.number)
            return
        body = request.target + b" " + request.body + bytes(self.answer_size)
        self.callers.answer(
            request.number, status=200, headers=[(b"x", b"1")], body=body
        )

    @handler("relayed_caller_disconnected")
    def _on_disconnected(self, number: int) -> None:
        self.gone.append(number)
        self.caller_has_disconnected.set()


@pytest.fixture
def listener() -> Iterator[Listener]:
    running = Listener()
    running.start()
    yield running
    running.stop()
    running.join()


@pytest.fixture
def stepped() -> Iterator[Listener]:
    """Yield a listener whose events are dispatched by ``_step`` alone."""
    running = Listener()
    # ``tick`` calls the poller only if the main loop is marked as running.
    running._running = True
    yield running
    running.stop()
    running._flush()


def _step(listener: Listener, *, until: Callable[[], object]) -> None:
    """Dispatch the events of a listener until a condition is met."""
    deadline = time.monotonic() + 10
    while not until():
        assert time.monotonic() < deadline, "the condition was not met within 10 s"
        listener.tick(0.01)


def _exchange_stepped(listener: Listener, sock: socket.socket) -> None:
    """Send a request on a kept connection and read its answer."""
    sock.sendall(GET)
    n_answered = len(listener.requests) + 1
    _step(listener, until=lambda: len(listener.requests) == n_answered)
    assert b" 200 " in sock.recv(4096)


def _sweep(
    listener: Listener, monkeypatch: pytest.MonkeyPatch, *, after: float
) -> None:
    """Dispatch a sweep as if it came some seconds later."""
    with monkeypatch.context() as patch:
        clock = time.monotonic
        patch.setattr(time, "monotonic", lambda: clock() + after)
        listener.fire(sweep(), "callers_of_test")
        listener.tick(0.01)


def _receive(sock: socket.socket, received: bytearray) -> int:
    """Read what a caller has received, and return the length of the body so far."""
    with contextlib.suppress(BlockingIOError):
        data = sock.recv(1 << 20)
        assert data, "the connection is closed"
        received += data
    return len(received.partition(b"\r\n\r\n/a ")[2])


def _connect(listener: Listener) -> socket.socket:
    return socket.create_connection(("127.0.0.1", listener.callers.port), timeout=10)


def _read_all(sock: socket.socket) -> bytes:
    data = b""
    while chunk := sock.recv(65536):
        data += chunk
    return data


def _exchange(listener: Listener, data: bytes) -> bytes:
    with _connect(listener) as sock:
        sock.sendall(data)
        return _read_all(sock)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(b"nonsense\r\n\r\n", 400, id="no-request"),
        pytest.param(b"GET / HTTP/1.1\r\n\r\n", 400, id="no-host"),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            id="two-lengths",
        ),
        pytest.param(
            b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 4096, 431, id="long-head"
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000,
            413,
            id="long-body",
        ),
        pytest.param(b"GET / HTTP/1.1\r\nHo", 408, id="never-ends"),
    ],
)
def test_bad_input_is_refused_and_the_connection_closed(
    listener: Listener, data: bytes, status: int
) -> None:
    answer = _exchange(listener, data)
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert b"connection: close" in answer.lower()
    assert listener.requests == []


@pytest.mark.parametrize(("data", "status", "code"), named(REFUSED))
def test_both_caller_interfaces_refuse_the_same_requests(
    listener: Listener, data: bytes, status: int, code: str | None
) -> None:
    """Refuse with the same status as ``Callers``, and close the connection.

    Guards against relaying a request whose end the backend server would find at another
    byte, or a head beyond the operator's limit.  h11 applies its limit only to heads
    that arrive in parts, not in a single read, and checks neither HTTP versions nor
    methods.  The connection is closed so that no bytes are parsed twice.
    """
    with _connect(listener) as sock:
        sender = threading.Thread(target=_send_all, args=(sock, data))
        sender.start()
        answer = _read_all(sock)
        sender.join()
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert b"connection: close" in answer.lower()
    assert listener.requests == []
    good = b"GET /again HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    assert b" 200 " in _exchange(listener, good)


def _send_all(sock: socket.socket, data: bytes) -> None:
    with contextlib.suppress(OSError):
        sock.sendall(data)


def test_a_head_that_arrives_slowly_times_out(listener: Listener) -> None:
    """Measure the timeout from the first byte of a head, not from the last one.

    Guards against running out of descriptors because of callers that send one byte of
    a head each tenth of a second and so never time out.
    """
    with _connect(listener) as sock:
        answer = b""
        sock.settimeout(0.1)
        for _ in range(100):
            try:
                sock.sendall(b"G")
                answer = sock.recv(4096)
                break
            except TimeoutError:
                continue
        assert answer.startswith(b"HTTP/1.1 408 ")


def test_chunked_bodies_and_pipelined_requests(listener: Listener) -> None:
    first = (
        b"POST /a%20b?q=%2F HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\n\r\n"
    )
    second = b"GET /two HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    answer = _exchange(listener, first + second)
    assert answer.index(b"/a%20b?q=%2F abc") < answer.index(b"/two")
    assert answer.count(b"HTTP/1.1 200") == 2


def test_an_aborted_answer_does_not_look_complete(
    listener: Listener,
) -> None:
    answer = _exchange(listener, b"GET /cut HTTP/1.1\r\nHost: a\r\n\r\n")
    assert b"part" in answer
    assert not answer.endswith(b"0\r\n\r\n")


def test_disconnect_of_a_waiting_caller_is_reported(listener: Listener) -> None:
    with _connect(listener) as sock:
        sock.sendall(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
    assert listener.caller_has_disconnected.wait(10)
    assert listener.gone == [1]


def test_pipelined_bytes_are_bounded(stepped: Listener) -> None:
    """Guard against memory that a caller fills behind a request in flight."""
    with _connect(stepped) as sock:
        sock.sendall(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
        _step(stepped, until=lambda: stepped.requests)
        sock.setblocking(False)
        n_sent = 0
        with contextlib.suppress(BlockingIOError):
            while n_sent < 64 << 20:
                n_sent += sock.send(b"x" * 65536)
                stepped.tick(0)
        assert n_sent < 64 << 20
        (connection,) = stepped.callers._connections_by_number.values()
        assert len(connection.unparsed) <= (
            LIMITS.max_head + LIMITS.max_body + relay_callers.READ_SIZE
        )
        assert stepped.gone == []


@pytest.mark.parametrize(
    "later_limits",
    [LIMITS, msgspec.structs.replace(LIMITS, max_head=64, max_body=0)],
    ids=["same", "lowered"],
)
def test_pipelined_requests_take_no_answer_away(
    stepped: Listener, later_limits: ConnectionLimits
) -> None:
    """Guard against a request in flight that is lost for those sent behind it."""
    post = b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 2500\r\n\r\n" + bytes(2500)
    with _connect(stepped) as sock:
        sock.sendall(GET.replace(b"/a", b"/wait"))
        _step(stepped, until=lambda: stepped.requests)
        stepped.limits = later_limits
        sock.sendall(post * 6)
        for _ in range(20):
            stepped.tick(0.01)
        stepped.limits = LIMITS
        stepped.callers.answer(1, status=200, headers=[], body=b"")
        _step(stepped, until=lambda: len(stepped.requests) == 7)
        assert [request.body for request in stepped.requests[1:]] == [bytes(2500)] * 6


def test_a_draining_listener_sends_connection_close(listener: Listener) -> None:
    listener.callers.draining = True
    answer = _exchange(listener, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert b"connection: close" in answer.lower()


def test_request_that_has_arrived_is_answered_on_an_overdue_connection(
    stepped: Listener,
) -> None:
    """Guard against a reset for a request that arrives just before its idle timeout."""
    with _connect(stepped) as sock:
        _exchange_stepped(stepped, sock)
        stepped.limits = msgspec.structs.replace(LIMITS, idle_timeout=0.0)
        sock.sendall(GET)
        stepped.fire(sweep(), "callers_of_test")
        _step(stepped, until=lambda: len(stepped.requests) == 2)
        assert b" 200 " in sock.recv(4096)


def test_refused_caller_has_time_to_read_a_timeout(
    stepped: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a reset that discards a 408 because its caller still sends."""
    with _connect(stepped) as sock:
        sock.sendall(GET[:-2])
        _step(stepped, until=lambda: stepped.callers.n_open)
        stepped.tick(0.01)
        _sweep(stepped, monkeypatch, after=LIMITS.head_timeout + 0.1)
        assert sock.recv(4096).startswith(b"HTTP/1.1 408 ")
        _sweep(stepped, monkeypatch, after=LIMITS.head_timeout + 0.3)
        assert stepped.callers.n_open == 1


@pytest.mark.parametrize(
    ("request_bytes", "pause"),
    [(GET, 0.0), (LAST_GET, 2 * LINGER)],
    ids=["kept", "closed"],
)
def test_large_answer_arrives_whole(
    stepped: Listener,
    monkeypatch: pytest.MonkeyPatch,
    request_bytes: bytes,
    pause: float,
) -> None:
    """Guard against an answer that is cut because its caller needs time to read it."""
    stepped.answer_size = 16 << 20
    received = bytearray()
    with _connect(stepped) as sock:
        sock.sendall(request_bytes)
        _step(stepped, until=lambda: stepped.requests)
        _sweep(stepped, monkeypatch, after=pause)
        sock.setblocking(False)
        _step(stepped, until=lambda: _receive(sock, received) == stepped.answer_size)


def test_lowered_idle_timeout_closes_no_connection_before_callers_know_it(
    stepped: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against requests on connections closed by a limit that is not known yet."""
    with _connect(stepped) as sock:
        _exchange_stepped(stepped, sock)
        _sweep(stepped, monkeypatch, after=0.0)
        stepped.limits = msgspec.structs.replace(LIMITS, idle_timeout=1.0)
        _sweep(stepped, monkeypatch, after=CHANGE_TIME - 1)
        assert stepped.callers.n_open == 1
        _sweep(stepped, monkeypatch, after=CHANGE_TIME + 1)
        assert stepped.callers.n_open == 0


def test_stopping_host_answers_pipelined_requests(stepped: Listener) -> None:
    """Guard against a request that is read and discarded behind another one."""
    stepped.callers.draining = True
    with _connect(stepped) as sock:
        sock.sendall(GET + GET + GET[:-2])
        _step(stepped, until=lambda: len(stepped.requests) == 2)
        assert sock.recv(4096).count(b" 200 ") == 2
        assert stepped.callers.close_idle() == 0
        sock.sendall(GET[-2:])
        _step(stepped, until=lambda: len(stepped.requests) == 3)
        assert _read_all(sock).lower().count(b"connection: close") == 1


def test_stopping_host_answers_requests_behind_a_long_one(stepped: Listener) -> None:
    """Guard against a request that arrives just before the end is announced."""
    stepped.callers.draining = True
    with _connect(stepped) as sock:
        sock.sendall(GET.replace(b"/a", b"/wait"))
        _step(stepped, until=lambda: stepped.requests)
        sock.sendall(GET)
        stepped.callers.answer(1, status=200, headers=[], body=b"")
        _step(stepped, until=lambda: len(stepped.requests) == 2)
        assert _read_all(sock).count(b" 200 ") == 2


class SocketOutOfDescriptors:
    """A listening socket of a process that has no descriptors left."""

    def accept(self) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    def getsockname(self) -> tuple[str, int]:
        return ("10.1.0.40", 8227)


def test_stopping_host_waits_for_the_first_request_of_a_new_connection(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against closing a connection whose caller is about to send its request."""
    with _connect(listener) as sock:
        wait_until(lambda: listener.callers.n_open == 1, what="a caller connects")
        assert listener.callers.close_idle() == 0
        assert listener.callers.n_busy == 1
        sock.sendall(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
        wait_until(lambda: not listener.callers.n_busy, what="the answer is sent")
        assert listener.callers.close_idle() == 1
        assert sock.recv(4096) == b""
    wait_until(lambda: not listener.callers.n_open, what="the connection is closed")
    monkeypatch.setattr(relay_callers, "FIRST_REQUEST_TIME", 0.0)
    with _connect(listener) as sock:
        wait_until(lambda: listener.callers.n_open == 1, what="a caller connects")
        assert listener.callers.close_idle() == 1
        assert sock.recv(4096) == b""


@pytest.mark.parametrize("is_kept", [True, False], ids=["kept", "not accepted"])
def test_request_that_has_arrived_is_answered_before_the_process_ends(
    stepped: Listener, monkeypatch: pytest.MonkeyPatch, is_kept: bool
) -> None:
    """Guard against a reset for a request that arrives when the process ends."""
    monkeypatch.setattr(relay_shutdown, "BALANCER_REACTION_TIME", -1.0)
    stopped = threading.Event()
    RelayShutdown(
        settings=SimpleNamespace(grace=30.0, last_bytes=1.0),
        callers=stepped.callers,
        requests=SimpleNamespace(requests_by_number={}, end_all=lambda *, now: None),
        n_forwarded=lambda: 0,
        stop=stopped.set,
        reload=lambda: None,
    ).register(stepped)
    with _connect(stepped) as sock:
        if is_kept:
            _exchange_stepped(stepped, sock)
        sock.sendall(GET)
        stepped.fire(signal_caught(signal.SIGTERM, None), "*")
        stepped.fire(control_tick(), "shutdown")
        _step(stepped, until=lambda: len(stepped.requests) == 1 + is_kept)
        assert not stopped.is_set()
        assert b" 200 " in sock.recv(4096)
    _step(
        stepped,
        until=lambda: stepped.fire(control_tick(), "shutdown") and stopped.is_set(),
    )


def test_connections_that_cannot_be_accepted_are_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        caller_server,
        "log_warning",
        lambda event, **fields: logged.append((event, fields)),
    )
    callers = RelayCallers(
        bind=("127.0.0.1", 0),
        channel="any",
        reply_channel="listener",
        limits=lambda: LIMITS,
    )
    callers._sock.close()
    callers._sock = SocketOutOfDescriptors()
    callers._accept()
    fields = {"peer": "10.1.0.40:8227", "message": "Too many open files"}
    assert logged == [("callers_not_accepted", fields)]


def test_callers_that_are_silent_give_way_to_others(stepped: Listener) -> None:
    """Guard against turning away new callers while silent ones have all places."""
    stepped.callers._resources.max_connections = 8
    with contextlib.ExitStack() as stack:
        silent = [stack.enter_context(_connect(stepped)) for _ in range(8)]
        _step(stepped, until=lambda: stepped.callers.n_open == len(silent))
        callers = [stack.enter_context(_connect(stepped)) for _ in range(8)]
        for sock in callers:
            sock.sendall(GET)
        _step(stepped, until=lambda: len(stepped.requests) == len(callers))
        assert [sock.recv(4096)[9:12] for sock in callers] == [b"200"] * len(callers)
        assert stepped.callers.n_clients == 8
