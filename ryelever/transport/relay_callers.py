"""Serve callers whose requests are relayed unchanged.

``circuits.web`` rewrites paths, joins headers and composes answers of its own, which
must not happen to a relayed request.  This module therefore parses and serializes with
h11, on the sockets of the TCP server of circuits.
"""

from __future__ import annotations

import contextlib
import itertools
import socket
import time
from collections import Counter
from typing import TYPE_CHECKING

import h11
import msgspec
from circuits import handler

from ..coordination.caller_memory import SMALL_USE, MemoryUse
from ..events import (
    RelayedRequest,
    relayed_caller_disconnected,
    relayed_request,
)
from ..logs import log_event
from .caller_server import MAX_UNPARSED, CallerServer, has_unread_input
from .chunk_joiner import ChunkJoiner
from .parsing_cost import ParsingCost
from .request_heads import find_head_fault, is_chunked, memory_of, split_head

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..coordination.relaying import Headers
    from ..state.routes import ConnectionLimits
    from .caller_server import CallerResources

__all__ = ["RelayCallers"]

#: Maximum bytes of one read from a socket.
READ_SIZE = 64 * 1024

#: Maximum connections that wait to be accepted: all callers of an availability zone may
#: connect at the same time.
BACKLOG = 1024

#: Maximum bytes that a caller may leave unread when more of its answer is to be sent;
#: with more, its connection is closed.  The longest stream has some kilobytes.
MAX_UNREAD = 1 << 20

#: Seconds for which the connection of a refused caller stays open, so that the caller
#: can read the refusal.
LINGER = 1.0

#: Seconds after which a caller that reads nothing of its answer is given up.
UNREAD_TIMEOUT = 20.0

#: Seconds after which a caller may come back that is refused for want of memory.
RETRY_AFTER = 1.0

#: Seconds within which a caller sends the first request on a new connection.  Callers
#: connect when they have a request to send.
FIRST_REQUEST_TIME = 1.0

#: Seconds for which callers may still go by the idle timeout of an earlier
#: configuration.  A new one is in force everywhere within 8 s.
CHANGE_TIME = 10.0

#: TCP keepalive: seconds without traffic before the kernel probes the caller, seconds
#: between two probes, and probes without an answer after which it drops the connection.
KEEPALIVE = ((socket.TCP_KEEPIDLE, 3), (socket.TCP_KEEPINTVL, 1))
KEEPALIVE_COUNT = 3


class _Connection(msgspec.Struct, kw_only=True, eq=False):
    """State of one caller's connection.

    Attributes
    ----------
    progress_at : float
        Monotonic time at which the connection was accepted, or of its last activity.
    sender : str
        IP address of the caller.
    has_received : bool
        True once the caller has sent anything.
    request_started_at : float or None
        Monotonic time of the first byte of a request that is still arriving.
    n_request_bytes : int
        Memory of the request that is being answered, or of the head of the one that
        is arriving.
    cost : ParsingCost
        Measures how costly the request that is arriving is to parse.
    head_tail : bytes
        Last bytes of the incomplete head, in which its end may begin.
    joiner : ChunkJoiner or None
        Joins the chunks of the body that is arriving, if it has any.
    unparsed : bytearray
        Bytes received behind the request that is being answered, or that wait until
        other connections have been handled.
    is_deferred : bool
        True while these wait for their turn.
    is_reading : bool
        True while what the caller sends is read.
    awaits_reader : bool
        True while the next request waits until the caller has read the last answer.
    number : int
        Number of the request that is being answered; 0 if there is none.
    closing : bool
        True once no further request is read.
    closes_at : float
        Monotonic time at which the connection is closed; infinite until the last answer
        is sent.
    """

    sock: socket.socket
    http: h11.Connection
    memory: MemoryUse
    progress_at: float
    sender: str = ""
    has_received: bool = False
    head: h11.Request | None = None
    body: bytearray = msgspec.field(default_factory=bytearray)
    request_started_at: float | None = None
    n_request_bytes: int = 0
    cost: ParsingCost = msgspec.field(default_factory=ParsingCost)
    head_tail: bytes = b""
    joiner: ChunkJoiner | None = None
    unparsed: bytearray = msgspec.field(default_factory=bytearray)
    is_deferred: bool = False
    is_reading: bool = True
    awaits_reader: bool = False
    number: int = 0
    closing: bool = False
    closes_at: float = float("inf")

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or answered."""
        return not self.number and self.request_started_at is None

    def awaits_first_request(self, *, now: float) -> bool:
        """Return whether the caller has just connected and sent nothing yet."""
        return not self.has_received and now - self.progress_at < FIRST_REQUEST_TIME


class RelayCallers(CallerServer):
    """Listen on one address and own the connections of its callers.

    Parameters
    ----------
    bind : tuple of (str, int)
        IP address and port; port 0 selects a free port.
    channel : str
        Channel of this component.
    reply_channel : str
        Channel on which ``relayed_request`` and ``relayed_caller_disconnected`` are
        fired.
    limits : callable
        Return the limits in force.
    resources : CallerResources or None
        What this server shares with the other servers of the process.

    Attributes
    ----------
    n_refused_by_status : dict of int to int
        Requests that were refused before they were passed on, by status.
    """

    def __init__(
        self,
        *,
        bind: tuple[str, int],
        channel: str,
        reply_channel: str,
        limits: Callable[[], ConnectionLimits],
        resources: CallerResources | None = None,
    ) -> None:
        super().__init__(
            bind,
            resources=resources,
            channel=channel,
            bufsize=READ_SIZE,
            backlog=BACKLOG,
        )
        self._reply_channel = reply_channel
        self._limits = limits
        self._numbers = itertools.count(1)
        self._connections_by_sock: dict[socket.socket, _Connection] = {}
        self._connections_by_number: dict[int, _Connection] = {}
        # Connections without a complete request, by the time since when.
        self._waiting_by_sock: dict[socket.socket, _Connection] = {}
        self.n_refused_by_status: Counter[int] = Counter()
        # When each idle timeout was last seen in force.
        self._seen_at_by_idle_timeout: dict[float, float] = {}
        self.draining = False

    @property
    def n_open(self) -> int:
        """Return the number of open connections."""
        return len(self._connections_by_sock)

    @property
    def n_busy(self) -> int:
        """Return the number of connections with a request, or unread or unsent bytes.

        New connections count as well until their first request is overdue.
        """
        now = time.monotonic()
        return sum(
            self._is_busy(connection, now=now)
            for connection in self._connections_by_sock.values()
        )

    @property
    def is_listening(self) -> bool:
        """Return whether new connections are accepted."""
        return self._sock is not None

    def _is_busy(self, connection: _Connection, *, now: float) -> bool:
        return (
            not connection.is_idle
            or connection.awaits_first_request(now=now)
            or bool(self.n_unsent(connection.sock))
            or has_unread_input(connection.sock)
        )

    # Connections

    @handler("connect")
    def _on_connect(self, sock: socket.socket, sender: str, *args: object) -> None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, value in KEEPALIVE:
                sock.setsockopt(socket.IPPROTO_TCP, option, value)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
        connection = _Connection(
            sock=sock,
            http=self._new_http(),
            memory=MemoryUse(release=lambda: self._release(connection)),
            progress_at=time.monotonic(),
            sender=sender,
        )
        self._connections_by_sock[sock] = connection
        self._waiting_by_sock[sock] = connection
        if self._resources.n_free < 0:
            # All others have requests in flight.
            self._refuse(connection, 503)
            self._close(sock)

    def _new_http(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits().max_head
        )

    @handler("disconnect")
    def _on_closed(self, sock: socket.socket) -> None:
        connection = self._connections_by_sock.pop(sock, None)
        if connection is None:
            return
        self._waiting_by_sock.pop(sock, None)
        self._resources.memory.forget(connection.memory)
        if connection.number:
            del self._connections_by_number[connection.number]
            self.fire(
                relayed_caller_disconnected(connection.number), self._reply_channel
            )

    @handler("read")
    def _on_bytes(self, sock: socket.socket, data: bytes) -> None:
        connection = self._connections_by_sock.get(sock)
        if connection is None or connection.closing:
            return
        connection.progress_at = now = time.monotonic()
        connection.has_received = True
        if connection.is_idle:
            self._begin_request(connection, now=now)
        if connection.number or connection.is_deferred or connection.awaits_reader:
            connection.unparsed += data
        elif self._is_costly(connection, data):
            connection.unparsed += data
            self._defer(connection)
        else:
            self._receive(connection, data)
        self._update_reading(connection)
        self._update_memory(connection)

    @handler("sweep")
    def _on_sweep(self) -> None:
        now = time.monotonic()
        limits = self._limits()
        self._resources.memory.allow_request(limits.max_head + limits.max_body)
        idle_timeout = self._known_idle_timeout(limits.idle_timeout, now=now)
        self.resume_accepting(now=now)
        for connection in list(self._connections_by_sock.values()):
            idle_for = now - connection.progress_at
            if now > connection.closes_at:
                self._close(connection.sock)
            elif idle_for > UNREAD_TIMEOUT and self.n_unsent(connection.sock):
                self._close_unanswered(connection, "unread")
            elif connection.closing or connection.is_idle:
                if idle_for > idle_timeout and not has_unread_input(connection.sock):
                    self._close(connection.sock)
            elif not connection.number and now > (
                connection.request_started_at + limits.head_timeout
            ):
                self._refuse(connection, 408)

    def _update_reading(self, connection: _Connection) -> None:
        """Stop reading while many bytes are unparsed or their turn has to come."""
        limits = self._limits()
        max_unparsed = min(MAX_UNPARSED, limits.max_head + limits.max_body)
        reads = len(connection.unparsed) <= max_unparsed and not (
            connection.is_deferred and connection.cost.is_high
        )
        self.set_reading(connection, reads=reads)

    # Memory and places

    def _update_memory(self, connection: _Connection) -> None:
        """Record the memory that a connection takes, and make room if all take much."""
        if connection.sock not in self._clients:
            return
        n_request = connection.n_request_bytes + len(connection.body)
        n_other = len(connection.unparsed) + self.n_unsent(connection.sock)
        n_releasable = n_request + n_other
        if connection.number:
            n_releasable = n_other if n_other > SMALL_USE else 0
        self._resources.memory.update(
            connection.memory, n_bytes=n_request + n_other, n_releasable=n_releasable
        )

    def _release(self, connection: _Connection) -> None:
        """Free the memory of a connection for those of other callers."""
        self._log_memory_full(connection.sender, connection.memory.n_bytes)
        if connection.number or connection.closing or self.n_unsent(connection.sock):
            self._close_unanswered(connection, "memory")
        else:
            self._refuse(connection, 503)

    @property
    def n_waiting(self) -> int:
        """Return the number of connections that carry no complete request."""
        return len(self._waiting_by_sock)

    def _connections_to_close(self) -> Iterator[_Connection]:
        for connection in list(self._waiting_by_sock.values()):
            if connection.sock not in self._clients:
                # Closed, but the event of that has not been handled yet.
                continue
            is_arriving = connection.is_idle and has_unread_input(connection.sock)
            if connection.closing or not is_arriving:
                yield connection

    def _close_for_others(self, connection: _Connection) -> None:
        has_begun = not (connection.is_idle or connection.closing)
        if has_begun and not self.n_unsent(connection.sock):
            self._refuse(connection, 503)
        self._close(connection.sock)

    def _known_idle_timeout(self, in_force: float, *, now: float) -> float:
        """Return the longest idle timeout by which callers may go.

        A request on a connection that is closed at the same time gets no answer, and
        callers can't avoid that by a limit which they don't know yet.
        """
        self._seen_at_by_idle_timeout[in_force] = now
        self._seen_at_by_idle_timeout = {
            timeout: seen_at
            for timeout, seen_at in self._seen_at_by_idle_timeout.items()
            if now - seen_at <= CHANGE_TIME
        }
        return max(self._seen_at_by_idle_timeout)

    def close_idle(self) -> int:
        """Close the connections that carry no request and return their number.

        A caller that has just connected may have sent a request that is not read yet,
        and would get no answer.
        """
        now = time.monotonic()
        idle = [
            connection
            for connection in self._connections_by_sock.values()
            if not connection.closing and not self._is_busy(connection, now=now)
        ]
        for connection in idle:
            self._close_gracefully(connection)
        return len(idle)

    # Requests

    def _begin_request(self, connection: _Connection, *, now: float) -> None:
        """Prepare for the first byte of a request."""
        connection.request_started_at = now
        connection.cost = ParsingCost()
        connection.n_request_bytes = 0
        connection.head_tail = b""
        # The connections that may be closed for others are in the order of this time.
        self._waiting_by_sock.pop(connection.sock, None)
        self._waiting_by_sock[connection.sock] = connection

    def _is_costly(self, connection: _Connection, data: bytes) -> bool:
        """Return whether received bytes take long to parse for their number."""
        return connection.cost.add(
            data, counts_lines=connection.head is None or connection.joiner is not None
        )

    def _defer(self, connection: _Connection) -> None:
        """Parse the unparsed bytes once other connections have been handled."""
        connection.is_deferred = True
        self._resources.steps.add(lambda: self._parse_deferred(connection))

    def _parse_deferred(self, connection: _Connection) -> None:
        connection.is_deferred = False
        if connection.sock not in self._connections_by_sock or connection.closing:
            return
        data, connection.unparsed = bytes(connection.unparsed), bytearray()
        self._receive(connection, data)
        self._update_reading(connection)
        self._update_memory(connection)

    def _receive(self, connection: _Connection, data: bytes) -> None:
        """Parse received bytes, up to the end of one request."""
        try:
            while data and not connection.number and not connection.closing:
                if connection.head is None:
                    part, data, connection.head_tail = split_head(
                        connection.head_tail, data
                    )
                    connection.n_request_bytes += len(part)
                else:
                    part, data = data, b""
                    if connection.joiner is not None:
                        part = connection.joiner.feed(part)
                if part:
                    connection.http.receive_data(part)
                    self._process_events(connection)
        except h11.RemoteProtocolError as error:
            self._refuse(connection, error.error_status_hint)
        if connection.number:
            connection.unparsed += data

    def _process_events(self, connection: _Connection) -> None:
        while not connection.number:
            event = connection.http.next_event()
            if event is h11.NEED_DATA:
                if connection.http.they_are_waiting_for_100_continue:
                    proceed = h11.InformationalResponse(status_code=100, headers=[])
                    self._send(connection, connection.http.send(proceed))
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self._start_body(connection, event)
            elif isinstance(event, h11.Data):
                connection.body += event.data
                if len(connection.body) > self._limits().max_body:
                    self._refuse(connection, 413)
            elif isinstance(event, h11.EndOfMessage):
                self._fire_request(connection)
            if connection.closing:
                return

    def _start_body(self, connection: _Connection, head: h11.Request) -> None:
        connection.head = head
        connection.n_request_bytes = memory_of(head)
        limits = self._limits()
        fault = find_head_fault(
            head, max_head=limits.max_head, max_body=limits.max_body
        )
        if fault is not None:
            self._refuse(connection, fault.status)
        elif is_chunked(head) and not connection.http.trailing_data[0]:
            connection.joiner = ChunkJoiner()

    def _fire_request(self, connection: _Connection) -> None:
        connection.number = next(self._numbers)
        connection.request_started_at = None
        connection.joiner = None
        # h11 may have been given the first bytes of the next request too.
        connection.unparsed += connection.http.trailing_data[0]
        self._waiting_by_sock.pop(connection.sock, None)
        self._connections_by_number[connection.number] = connection
        head = connection.head
        request = RelayedRequest(
            number=connection.number,
            method=head.method,
            target=head.target,
            headers=list(head.headers),
            body=bytes(connection.body),
            sender=connection.sender,
        )
        connection.n_request_bytes += len(request.body)
        connection.body.clear()
        self.fire(relayed_request(request), self._reply_channel)

    def _refuse(self, connection: _Connection, status: int) -> None:
        """Answer an unacceptable request with a status, then close the connection."""
        self.n_refused_by_status[status] += 1
        http = connection.http
        if connection.number or http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            # An answer is being sent; the caller would parse a refusal as part of it.
            self._close_unanswered(connection, "bad_request")
            return
        with contextlib.suppress(h11.LocalProtocolError):
            headers = [("Content-Length", "0"), ("Connection", "close")]
            if status == 503:
                headers.append(("Retry-After", f"{RETRY_AFTER:g}"))
            data = http.send(h11.Response(status_code=status, headers=headers))
            self._send(connection, data + http.send(h11.EndOfMessage()))
        self._close_gracefully(connection)
        self._discard_input(connection)

    def _discard_input(self, connection: _Connection) -> None:
        """Free the memory of what a refused caller has sent."""
        connection.http = self._new_http()
        connection.body = bytearray()
        connection.unparsed = bytearray()
        connection.joiner = None
        connection.n_request_bytes = 0
        self._update_reading(connection)
        self._update_memory(connection)

    def _close_unanswered(self, connection: _Connection, reason: str) -> None:
        """Close a connection whose answer is not complete, and log why."""
        if self._is_log_due(f"caller_closed {reason}"):
            log_event("caller_closed", peer=connection.sender, reason=reason)
        self._close(connection.sock)

    def _close_gracefully(self, connection: _Connection) -> None:
        connection.unparsed.clear()
        self._update_reading(connection)
        self.close_gracefully(connection, linger=LINGER)

    # Answers

    def answer(
        self, number: int, *, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete answer to the caller of a request."""
        connection = self._connections_by_number.get(number)
        if connection is None:
            return
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        data = self._head(connection, status=status, headers=headers)
        if body and not _has_no_body(connection, status):
            data += connection.http.send(h11.Data(data=body))
        self._finish_answer(connection, data + connection.http.send(h11.EndOfMessage()))

    def start(self, number: int, *, status: int, headers: Headers) -> None:
        """Send the head of a streamed answer."""
        connection = self._connections_by_number.get(number)
        if connection is None:
            return
        headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        data = self._head(connection, status=status, headers=headers)
        self._send(connection, data)

    def data(self, number: int, data: bytes) -> None:
        """Send the next part of a streamed answer's body."""
        connection = self._connections_by_number.get(number)
        if connection is not None:
            self._send(connection, connection.http.send(h11.Data(data=data)))

    def finish(self, number: int, *, trailers: Headers = ()) -> None:
        """End a streamed answer."""
        connection = self._connections_by_number.get(number)
        if connection is not None:
            end = h11.EndOfMessage(headers=list(trailers))
            self._finish_answer(connection, connection.http.send(end))

    def abort(self, number: int) -> None:
        """Close the connection without ending its answer, which is then incomplete."""
        connection = self._connections_by_number.pop(number, None)
        if connection is not None:
            connection.number = 0
            self._close(connection.sock)

    def _head(self, connection: _Connection, *, status: int, headers: Headers) -> bytes:
        if self.draining and not self._has_more(connection):
            headers = [*headers, (b"Connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        return connection.http.send(response)

    def _has_more(self, connection: _Connection) -> bool:
        """Return whether bytes have arrived behind the request that is answered.

        If the answer announced the end of the connection, they would get no answer.
        """
        return bool(connection.unparsed) or has_unread_input(connection.sock)

    def _finish_answer(self, connection: _Connection, data: bytes) -> None:
        self._send(connection, data)
        self._connections_by_number.pop(connection.number, None)
        connection.number = 0
        connection.head = None
        connection.n_request_bytes = 0
        http = connection.http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            self._close_gracefully(connection)
        elif connection.sock in self._connections_by_sock:
            self._waiting_by_sock[connection.sock] = connection
            if connection.unparsed:
                connection.http = self._new_http()
                self._begin_request(connection, now=time.monotonic())
                self._defer_next(connection)
            else:
                http.start_next_cycle()
            self._update_reading(connection)
        self._update_memory(connection)

    def _defer_next(self, connection: _Connection) -> None:
        """Parse the next request, once the caller has read the last answer.

        Otherwise the answers to all requests that were sent ahead would be in memory.
        """
        connection.awaits_reader = bool(self.n_unsent(connection.sock))
        if not connection.awaits_reader:
            self._defer(connection)

    # Writing

    def _send(self, connection: _Connection, data: bytes) -> None:
        n_unread = self.n_unsent(connection.sock)
        if n_unread > MAX_UNREAD:
            self._close_unanswered(connection, "unread")
            return
        if not n_unread:
            connection.progress_at = time.monotonic()
        if self.send_now(connection.sock, data):
            self._update_memory(connection)

    @handler("_write", priority=0)
    def _on_written(self, sock: socket.socket) -> None:
        connection = self._connections_by_sock.get(sock)
        if connection is None:
            return
        connection.progress_at = time.monotonic()
        self._update_memory(connection)
        self.half_close_if_sent(connection, linger=LINGER)
        if connection.awaits_reader and not connection.closing:
            self._defer_next(connection)

    # State for the dump

    def describe(self) -> dict[str, int]:
        """Return the connection counts for the state dump."""
        return {"open": self.n_open, "busy": self.n_busy}


def _has_no_body(connection: _Connection, status: int) -> bool:
    head = connection.head
    return (head is not None and head.method == b"HEAD") or status in (204, 304)
