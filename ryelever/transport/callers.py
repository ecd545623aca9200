"""Serve callers over HTTP by ``circuits.web``, behind a guard.

``circuits.web`` sets no limit on header, body or time, accepts requests whose
length is ambiguous and never answers a second pipelined one.  The guard stands
before its parser: h11 reads each request whole and strictly, and only requests
that are complete and well formed are handed on, one at a time.
"""

from __future__ import annotations

import socket
import time
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from urllib.parse import quote, unquote

import h11
from circuits import BaseComponent, Event, handler
from circuits.net.events import close, disconnect, read, ready
from circuits.net.sockets import TCPServer
from circuits.web.events import response, stream
from circuits.web.http import HTTP

from ..errors import Category, RyeleverError
from ..events import (
    CallerAnswer,
    CallerRequest,
    caller_gone,
    caller_request,
    caller_stalled,
)
from ..protocol.openai import error_body

if TYPE_CHECKING:
    from circuits.web.wrappers import Request, Response

__all__ = ["Callers", "Limits"]

_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})


@dataclass(slots=True, kw_only=True, frozen=True)
class Limits:
    """Bound what one caller's connection may cost.

    Attributes
    ----------
    max_head, max_body, max_unsent : int
        Bytes of the request line and headers, of the body, and of answer that
        the caller has not taken yet.
    request_timeout, idle_timeout : float
        Seconds for a whole request to arrive, and between two requests.
    unread_timeout : float
        Seconds for which a caller may take no byte of its answer.
    """

    max_head: int = 16 * 1024
    max_body: int = 4 << 20
    max_unsent: int = 256 * 1024
    request_timeout: float = 10.0
    idle_timeout: float = 75.0
    unread_timeout: float = 20.0


@dataclass(slots=True, kw_only=True, eq=False)
class _Connection:
    """Hold the guard's state of one caller's connection."""

    sock: socket.socket
    peer: str
    http: h11.Connection
    since: float
    head: h11.Request | None = None
    body: bytearray = field(default_factory=bytearray)
    request_id: str = ""
    received: bool = False
    target: str = ""
    unsent: int = 0
    stalled: bool = False
    wrote_at: float = 0.0
    response: Response | None = None


class Callers(TCPServer):
    """Own the callers' connections.

    Parameters
    ----------
    bind : tuple of (str, int)
        Address by IP number; port 0 picks a free one.
    """

    channel = "callers"

    def __init__(self, *, bind: tuple[str, int], limits: Limits) -> None:
        super().__init__(bind, channel="callers", bufsize=64 * 1024)
        self._limits = limits
        self._connections_by_sock: dict[socket.socket, _Connection] = {}
        self._connections_by_request: dict[str, _Connection] = {}
        self.n_refused_by_code: dict[str, int] = {}
        self.n_unread = 0
        HTTP(self, channel="web").register(self)
        _WebChannel(self).register(self)

    # Connections

    @handler("ready", channel="callers")
    def _on_bound(self, server: object, bind: tuple[str, int]) -> None:
        self.fire(ready(server, bind), "web")

    @handler("connect", channel="callers")
    def _on_connect(self, sock: socket.socket, host: str, port: int) -> None:
        self._connections_by_sock[sock] = _Connection(
            sock=sock,
            peer=f"{host}:{port}",
            http=self._new_http(),
            since=time.monotonic(),
        )

    @handler("disconnect", channel="callers")
    def _on_caller_disconnect(self, sock: socket.socket) -> None:
        connection = self._connections_by_sock.pop(sock, None)
        if connection is None:
            return
        self.fire(disconnect(sock), "web")
        if connection.request_id:
            del self._connections_by_request[connection.request_id]
            self.fire(caller_gone(connection.request_id), "serving")

    @handler("read", channel="callers")
    def _on_read_callers(self, sock: socket.socket, data: bytes) -> None:
        connection = self._connections_by_sock.get(sock)
        if connection is None:
            return
        try:
            connection.http.receive_data(data)
            self._next_events(connection)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            code = "head_too_large" if status == 431 else "bad_request"
            self._refuse(connection, str(error), status=status, code=code)

    @handler("sweep", channel="callers")
    def _on_sweep(self) -> None:
        now = time.monotonic()
        for connection in list(self._connections_by_sock.values()):
            if self._is_unread(connection, now=now):
                # Its answer and the backend server's would be held for good.
                self.n_unread += 1
                self._close(connection.sock)
                continue
            if connection.received:
                continue
            waited = now - connection.since
            if connection.head is None and not connection.http.trailing_data[0]:
                if waited > self._limits.idle_timeout:
                    self.close(connection.sock)
            elif waited > self._limits.request_timeout:
                self._refuse(
                    connection,
                    f"the request did not arrive within "
                    f"{self._limits.request_timeout:g} s",
                    status=408,
                    code="request_timeout",
                )

    # The guard

    def _new_http(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_head
        )

    def _next_events(self, connection: _Connection) -> None:
        while not connection.received:
            event = connection.http.next_event()
            if event is h11.NEED_DATA:
                if connection.http.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    self._write_now(connection, connection.http.send(go_on))
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                if not self._take_head(connection, event):
                    return
            elif isinstance(event, h11.Data):
                connection.body += event.data
                if len(connection.body) > self._limits.max_body:
                    self._refuse_large(connection)
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._hand_on(connection)

    def _take_head(self, connection: _Connection, head: h11.Request) -> bool:
        connection.head = head
        connection.since = time.monotonic()
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            self._refuse(
                connection,
                "Content-Length and Transfer-Encoding exclude each other",
                status=400,
                code="ambiguous_length",
            )
            return False
        method = head.method.decode("ascii")
        if method not in _METHODS:
            self._refuse(
                connection, f"method {method} is not known", status=501, code="method"
            )
            return False
        declared = dict(head.headers).get(b"content-length", b"0")
        if int(declared) > self._limits.max_body:
            self._refuse_large(connection)
            return False
        return True

    def _refuse_large(self, connection: _Connection) -> None:
        self._refuse(
            connection,
            f"the body is longer than {self._limits.max_body} bytes",
            status=413,
            code="body_too_large",
        )

    def _hand_on(self, connection: _Connection) -> None:
        """Give ``circuits.web`` one whole request of unambiguous length."""
        head = connection.head
        connection.received = True
        connection.target = head.target.decode("ascii")
        path = quote(unquote(connection.target.partition("?")[0])) or "/"
        lines = [
            b"%s %s HTTP/%s" % (head.method, path.encode("ascii"), head.http_version)
        ]
        lines += [
            b"%s: %s" % (name, value)
            for name, value in head.headers
            if name not in (b"content-length", b"transfer-encoding", b"expect")
        ]
        if head.http_version == b"1.0" and b"host" not in dict(head.headers):
            lines.append(b"host: %s" % self.host.encode("ascii"))
        lines.append(b"content-length: %d" % len(connection.body))
        data = b"\r\n".join(lines) + b"\r\n\r\n" + bytes(connection.body)
        self.fire(read(connection.sock, data), "web")

    def _refuse(
        self, connection: _Connection, message: str, *, status: int, code: str
    ) -> None:
        """Answer a request that never reaches ``circuits.web``, then close."""
        self.n_refused_by_code[code] = self.n_refused_by_code.get(code, 0) + 1
        connection.received = True
        error = RyeleverError(
            message, category=Category.BAD_REQUEST, step="read_request", code=code
        )
        body = error_body(error)
        head = h11.Response(
            status_code=status,
            headers=[
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                ("Connection", "close"),
            ],
        )
        http = h11.Connection(h11.SERVER)
        self._write_now(connection, http.send(head) + body)
        self.close(connection.sock)

    # Requests and answers, on the side of circuits.web

    def handed_on(self, req: Request, res: Response) -> None:
        """Announce a request that ``circuits.web`` has parsed."""
        connection = self._connections_by_sock.get(req.sock)
        if connection is None:
            return
        connection.request_id = uuid.uuid4().hex
        connection.response = res
        self._connections_by_request[connection.request_id] = connection
        path, _, query = connection.target.partition("?")
        message = CallerRequest(
            request_id=connection.request_id,
            method=req.method,
            path=path,
            query=query,
            headers={name.lower(): value for name, value in req.headers.items()},
            body=req.body.getvalue(),
            peer=connection.peer,
        )
        self.fire(caller_request(message), "serving")

    @handler("caller_answer", channel="callers")
    def _on_caller_answer(self, answer: CallerAnswer) -> None:
        connection = self._connections_by_request.get(answer.request_id)
        if connection is None:
            return
        res = connection.response
        res.status = answer.status
        res.headers["Content-Type"] = answer.content_type
        for name, value in answer.headers.items():
            res.headers[name] = value
        res.body = answer.body
        if res.request.method == "HEAD":
            # circuits.web keeps the answered request of a HEAD and would take the
            # next one on this connection for it.
            res.close = True
            res.headers["Connection"] = "close"
        self.fire(response(res), "web")
        if res.request.method == "HEAD":
            self.fire(close(connection.sock), "callers")
        self._answered(connection)

    @handler("caller_stream_start", channel="callers")
    def _on_caller_stream_start(self, request_id: str, headers: dict[str, str]) -> None:
        connection = self._connections_by_request.get(request_id)
        if connection is None:
            return
        res = connection.response
        res.stream = True
        res.body = _Pushed()
        for name, value in headers.items():
            res.headers[name] = value
        res.prepare()
        res.body = None
        self._write_now(connection, bytes(res) + bytes(res.headers))

    @handler("caller_stream_data", channel="callers")
    def _on_caller_stream_data(self, request_id: str, data: bytes) -> None:
        connection = self._connections_by_request.get(request_id)
        if connection is None:
            return
        if connection.response.chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._write_now(connection, data)

    @handler("caller_stream_end", channel="callers")
    def _on_caller_stream_end(self, request_id: str) -> None:
        connection = self._connections_by_request.get(request_id)
        if connection is None:
            return
        self.fire(stream(connection.response, None), "web")
        self._answered(connection)

    def _answered(self, connection: _Connection) -> None:
        del self._connections_by_request[connection.request_id]
        connection.request_id = ""
        connection.response = None
        self.fire(_next_request(connection.sock), "callers")

    @handler("_next_request", channel="callers")
    def _on_next_request(self, sock: socket.socket) -> None:
        """Read on: a pipelined request may be waiting already."""
        connection = self._connections_by_sock.get(sock)
        if connection is None:
            return
        waiting = connection.http.trailing_data[0]
        connection.http = self._new_http()
        connection.head = None
        connection.body = bytearray()
        connection.received = False
        connection.since = time.monotonic()
        if waiting:
            self._on_read_callers(sock, waiting)

    # Writing

    def _write_now(self, connection: _Connection, data: bytes) -> None:
        """Send what the kernel takes at once and queue the rest.

        Going through the poller costs two more events a chunk, and a stream has
        thousands of chunks.
        """
        sock = connection.sock
        n_sent = 0
        if not self._buffers[sock]:
            try:
                n_sent = sock.send(data)
            except BlockingIOError:
                n_sent = 0
            except OSError:
                self._close(sock)
                return
        if n_sent or not self._buffers[sock]:
            connection.wrote_at = time.monotonic()
        if n_sent < len(data):
            self.write(sock, data[n_sent:])
            self._check_stalled(connection)

    def write_of_web(self, sock: socket.socket, data: bytes) -> None:
        """Write what ``circuits.web`` has composed."""
        connection = self._connections_by_sock.get(sock)
        if connection is not None:
            self._write_now(connection, data)

    def _check_stalled(self, connection: _Connection) -> None:
        # Write buffers have no bound of their own: a caller that reads slowly
        # would make memory grow by its whole answer.  Reading from the backend
        # server stops until the caller has caught up.
        unsent = sum(len(data) for data in self._buffers[connection.sock])
        stalled = unsent > self._limits.max_unsent
        caught_up = unsent < self._limits.max_unsent // 2
        if stalled and not connection.stalled:
            connection.stalled = True
            self.fire(caller_stalled(connection.request_id, True), "serving")
        elif caught_up and connection.stalled:
            connection.stalled = False
            self.fire(caller_stalled(connection.request_id, False), "serving")

    @handler("_write", priority=0, channel="callers")
    def _on_written(self, sock: socket.socket) -> None:
        connection = self._connections_by_sock.get(sock)
        if connection is None:
            return
        connection.wrote_at = time.monotonic()
        if connection.stalled:
            self._check_stalled(connection)

    def _is_unread(self, connection: _Connection, *, now: float) -> bool:
        unsent = self._buffers[connection.sock]
        return bool(unsent) and now - connection.wrote_at > self._limits.unread_timeout

    def n_unsent(self) -> int:
        """Return how many callers wait for an answer or a part of it."""
        return sum(
            bool(connection.request_id or self._buffers[connection.sock])
            for connection in self._connections_by_sock.values()
        )

    # State for the dump

    def describe(self) -> list[dict[str, object]]:
        """Describe each connection for the state dump."""
        now = time.monotonic()
        return [
            {
                "peer": connection.peer,
                "request": connection.request_id or None,
                "stalled": connection.stalled,
                "for": round(now - connection.since, 3),
            }
            for connection in self._connections_by_sock.values()
        ]


class _WebChannel(BaseComponent):
    """Join the channel of ``circuits.web`` with the callers' sockets."""

    channel = "web"

    def __init__(self, callers: Callers) -> None:
        super().__init__()
        self._callers = callers

    @handler("request")
    def _on_request(self, req: Request, res: Response, *args: object) -> bool:
        self._callers.handed_on(req, res)
        return True

    @handler("write")
    def _on_write(self, sock: socket.socket, data: bytes) -> None:
        self._callers.write_of_web(sock, data)

    @handler("close")
    def _on_close(self, sock: socket.socket | None = None) -> None:
        if sock is not None:
            self._callers.close(sock)


class _Pushed:
    """Stand for a body whose parts are pushed later, so of unknown length."""

    def __bool__(self) -> bool:
        return True


class _next_request(Event):
    """Go on with the next request of a connection."""
