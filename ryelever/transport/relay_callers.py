"""Serve callers whose requests are passed on unchanged.

``circuits.web`` rewrites paths, joins headers and composes answers of its own, none
of which may happen to a request that is passed on; so h11 reads and writes on the
sockets of circuits' own server.
"""

from __future__ import annotations

import contextlib
import itertools
import socket
import time
from typing import TYPE_CHECKING

import h11
import msgspec
from circuits import handler

from ..events import (
    RelayedRequest,
    relayed_caller_disconnected,
    relayed_request,
)
from .caller_server import CallerServer
from .request_heads import head_fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..coordination.relaying import Headers
    from ..state.routes import ConnectionLimits

__all__ = ["RelayCallers"]

#: Bytes read from a socket at once.
READ_SIZE = 64 * 1024

#: Connections that wait to be accepted: a whole zone's callers may come at once.
BACKLOG = 1024

#: Most bytes of an answer that a caller may leave unread before its connection is
#: closed; the longest stream is some kilobytes.
MAX_UNREAD = 1 << 20

#: Seconds for which a caller that was refused may still read why.
LINGER = 1.0

#: Seconds without a byte from the other end after which the kernel asks for a sign
#: of life, between two such questions, and how many may stay unanswered.
KEEPALIVE = ((socket.TCP_KEEPIDLE, 3), (socket.TCP_KEEPINTVL, 1))
KEEPALIVE_COUNT = 3


class _Connection(msgspec.Struct, kw_only=True, eq=False):
    """Hold the state of one caller's connection.

    Attributes
    ----------
    began_at : float or None
        Monotonic time of the first byte of a request that is still arriving.
    n_ahead : int
        Bytes that were sent while an answer is under way.
    """

    sock: socket.socket
    http: h11.Connection
    progress_at: float
    head: h11.Request | None = None
    body: bytearray = msgspec.field(default_factory=bytearray)
    began_at: float | None = None
    n_ahead: int = 0
    number: int = 0
    closes_at: float = float("inf")

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being read or answered."""
        return not self.number and self.began_at is None


class RelayCallers(CallerServer):
    """Own the callers' connections of one address.

    Parameters
    ----------
    bind : tuple of (str, int)
        Address by IP number; port 0 picks a free one.
    channel : str
        Channel of this component.
    reply_channel : str
        Channel on which requests are announced.
    limits : callable
        Return the limits in force.
    """

    def __init__(
        self,
        *,
        bind: tuple[str, int],
        channel: str,
        reply_channel: str,
        limits: Callable[[], ConnectionLimits],
    ) -> None:
        super().__init__(bind, channel=channel, bufsize=READ_SIZE, backlog=BACKLOG)
        self._reply_channel = reply_channel
        self._limits = limits
        self._numbers = itertools.count(1)
        self._connections_by_sock: dict[socket.socket, _Connection] = {}
        self._connections_by_number: dict[int, _Connection] = {}
        self.draining = False

    @property
    def n_open(self) -> int:
        """Return how many connections are open."""
        return len(self._connections_by_sock)

    @property
    def n_busy(self) -> int:
        """Return how many connections read or wait for an answer."""
        return sum(
            not connection.is_idle or bool(self._buffers.get(connection.sock))
            for connection in self._connections_by_sock.values()
        )

    # Connections

    @handler("connect")
    def _on_connect(self, sock: socket.socket, *args: object) -> None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, value in KEEPALIVE:
                sock.setsockopt(socket.IPPROTO_TCP, option, value)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
        self._connections_by_sock[sock] = _Connection(
            sock=sock,
            http=h11.Connection(
                h11.SERVER, max_incomplete_event_size=self._limits().max_head
            ),
            progress_at=time.monotonic(),
        )

    @handler("disconnect")
    def _on_closed(self, sock: socket.socket) -> None:
        connection = self._connections_by_sock.pop(sock, None)
        if connection is not None and connection.number:
            del self._connections_by_number[connection.number]
            self.fire(
                relayed_caller_disconnected(connection.number), self._reply_channel
            )

    @handler("read")
    def _on_bytes(self, sock: socket.socket, data: bytes) -> None:
        connection = self._connections_by_sock.get(sock)
        if connection is None or connection.closes_at != float("inf"):
            return
        connection.progress_at = now = time.monotonic()
        if connection.number:
            connection.n_ahead += len(data)
            limits = self._limits()
            if connection.n_ahead > limits.max_head + limits.max_body:
                # What is sent ahead of an answer waits in memory.
                self._close(sock)
                return
        elif connection.began_at is None:
            connection.began_at = now
        try:
            connection.http.receive_data(data)
            self._next_events(connection)
        except h11.RemoteProtocolError as error:
            self._refuse(connection, error.error_status_hint)

    @handler("sweep")
    def _on_sweep(self) -> None:
        now = time.monotonic()
        limits = self._limits()
        for connection in list(self._connections_by_sock.values()):
            idle_for = now - connection.progress_at
            if now > connection.closes_at:
                self._close(connection.sock)
            elif connection.is_idle:
                if idle_for > limits.idle_timeout:
                    self._close(connection.sock)
            elif not connection.number and now > (
                connection.began_at + limits.head_timeout
            ):
                self._refuse(connection, 408)

    def close_idle(self) -> int:
        """Close the connections that carry no request; return how many."""
        idle = [
            connection
            for connection in self._connections_by_sock.values()
            if connection.is_idle and connection.closes_at == float("inf")
        ]
        for connection in idle:
            self._close_gently(connection)
        return len(idle)

    # Requests

    def _next_events(self, connection: _Connection) -> None:
        while not connection.number:
            event = connection.http.next_event()
            if event is h11.NEED_DATA:
                if connection.http.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    self._send(connection, connection.http.send(go_on))
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                connection.head = event
                limits = self._limits()
                fault = head_fault(
                    event, max_head=limits.max_head, max_body=limits.max_body
                )
                if fault is not None:
                    self._refuse(connection, fault.status)
                    return
            elif isinstance(event, h11.Data):
                connection.body += event.data
                if len(connection.body) > self._limits().max_body:
                    self._refuse(connection, 413)
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._announce(connection)

    def _announce(self, connection: _Connection) -> None:
        connection.number = next(self._numbers)
        connection.began_at = None
        connection.n_ahead = 0
        self._connections_by_number[connection.number] = connection
        head = connection.head
        request = RelayedRequest(
            number=connection.number,
            method=head.method,
            target=head.target,
            headers=list(head.headers),
            body=bytes(connection.body),
        )
        connection.body.clear()
        self.fire(relayed_request(request), self._reply_channel)

    def _refuse(self, connection: _Connection, status: int) -> None:
        """Answer bytes that are no acceptable request, then close."""
        http = connection.http
        if connection.number or http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            # An answer is under way, and a refusal in it would be taken for a part.
            self._close(connection.sock)
            return
        with contextlib.suppress(h11.LocalProtocolError):
            headers = [("Content-Length", "0"), ("Connection", "close")]
            data = http.send(h11.Response(status_code=status, headers=headers))
            self._send(connection, data + http.send(h11.EndOfMessage()))
        self._close_gently(connection)

    def _close_gently(self, connection: _Connection) -> None:
        """Close once the caller has had time to read.

        Closing with input unread resets the connection, and the caller may lose the
        answer: what it still sends is dropped for a while.
        """
        connection.closes_at = time.monotonic() + LINGER
        if not self._buffers.get(connection.sock):
            with contextlib.suppress(OSError):
                connection.sock.shutdown(socket.SHUT_WR)

    # Answers

    def answer(
        self, number: int, *, status: int, headers: Headers, body: bytes
    ) -> None:
        """Give a caller its whole answer."""
        connection = self._connections_by_number.get(number)
        if connection is None:
            return
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        data = self._head(connection, status=status, headers=headers)
        if body and not _has_no_body(connection, status):
            data += connection.http.send(h11.Data(data=body))
        self._answered(connection, data + connection.http.send(h11.EndOfMessage()))

    def start(self, number: int, *, status: int, headers: Headers) -> None:
        """Begin a streamed answer."""
        connection = self._connections_by_number.get(number)
        if connection is None:
            return
        headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        data = self._head(connection, status=status, headers=headers)
        self._send(connection, data)

    def data(self, number: int, data: bytes) -> None:
        """Go on with a streamed answer."""
        connection = self._connections_by_number.get(number)
        if connection is not None:
            self._send(connection, connection.http.send(h11.Data(data=data)))

    def finish(self, number: int) -> None:
        """End a streamed answer."""
        connection = self._connections_by_number.get(number)
        if connection is not None:
            self._answered(connection, connection.http.send(h11.EndOfMessage()))

    def abort(self, number: int) -> None:
        """Break an answer off, so that it does not look complete."""
        connection = self._connections_by_number.pop(number, None)
        if connection is not None:
            connection.number = 0
            self._close(connection.sock)

    def _head(self, connection: _Connection, *, status: int, headers: Headers) -> bytes:
        if self.draining:
            headers = [*headers, (b"Connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        return connection.http.send(response)

    def _answered(self, connection: _Connection, data: bytes) -> None:
        self._send(connection, data)
        self._connections_by_number.pop(connection.number, None)
        connection.number = 0
        connection.head = None
        connection.progress_at = time.monotonic()
        http = connection.http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            try:
                self._next_events(connection)
            except h11.RemoteProtocolError as error:
                self._refuse(connection, error.error_status_hint)
        else:
            self._close_gently(connection)

    # Writing

    def _send(self, connection: _Connection, data: bytes) -> None:
        if self.send_now(connection.sock, data) > MAX_UNREAD:
            self._close(connection.sock)

    @handler("_write", priority=0)
    def _on_written(self, sock: socket.socket) -> None:
        connection = self._connections_by_sock.get(sock)
        if connection is None or self._buffers.get(sock):
            return
        if connection.closes_at != float("inf"):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)

    # State for the dump

    def describe(self) -> dict[str, int]:
        """Count connections for the state dump."""
        return {"open": self.n_open, "busy": self.n_busy}


def _has_no_body(connection: _Connection, status: int) -> bool:
    head = connection.head
    return (head is not None and head.method == b"HEAD") or status in (204, 304)
