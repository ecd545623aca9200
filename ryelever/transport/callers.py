"""Serve callers over HTTP with ``circuits.web``, behind a strict parser.

``circuits.web`` has no limit on headers, body or time, accepts requests whose length is
ambiguous and never answers a second pipelined request.  ``RequestReader`` therefore
parses each request first, strictly and with h11, and only complete and well-formed
requests are passed to ``circuits.web``, one at a time.
"""

from __future__ import annotations

import socket
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11
from circuits import Event, handler
from circuits.net.events import disconnect, ready

from ..coordination.caller_memory import SMALL_USE, MemoryUse
from ..events import (
    CallerAnswer,
    CallerRequest,
    caller_disconnected,
    caller_request,
    caller_stalled,
)
from ..protocol.openai import error_body, error_headers
from .caller_server import MAX_UNPARSED, CallerServer, has_unread_input
from .callers_web import (
    LAST_CHUNK,
    CallersWeb,
    complete_answer,
    stream_chunk,
    stream_head,
)
from .request_heads import HEADER_OVERHEAD
from .request_reader import CompleteRequest, Limits, Refusal, RequestReader

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from circuits.web.wrappers import Request, Response

    from .caller_server import CallerResources

__all__ = ["Callers", "Limits"]


@dataclass(slots=True, kw_only=True, eq=False)
class _Connection:
    """State of one caller's connection.

    Attributes
    ----------
    since : float
        Monotonic time of the accept, or of the latest start or end of a request.
    progress_at : float
        Monotonic time of the accept, or of the latest progress in sending an answer.
    stalled : bool
        True while reading from the backend server is paused for this caller.
    closing : bool
        True once no further request is read; the connection closes at ``closes_at``.
    n_request_bytes : int
        Memory of the request that is being answered.
    deferred : bytes
        Bytes that wait to be parsed until other connections have been handled; nothing
        is read meanwhile.
    is_reading : bool
        True while what the caller sends is read.
    awaits_reader : bool
        True while the next request waits until the caller has read the last answer.
    """

    sock: socket.socket
    peer: str
    reader: RequestReader
    memory: MemoryUse
    since: float
    progress_at: float
    n_request_bytes: int = 0
    deferred: bytes = b""
    is_reading: bool = True
    awaits_reader: bool = False
    request: CompleteRequest | None = None
    request_id: str = ""
    stalled: bool = False
    closing: bool = False
    closes_at: float = float("inf")
    response: Response | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no byte of a request has arrived."""
        return self.reader.is_idle and not self.deferred


class Callers(CallerServer):
    """Listen for callers and own their connections.

    Parameters
    ----------
    bind : tuple of (str, int)
        IP address and port; port 0 selects a free port.
    limits : Limits
        Limits of one connection.
    resources : CallerResources or None
        What this server shares with the other servers of the process.

    Attributes
    ----------
    n_refused_by_code : dict of str to int
        Requests that were refused before they reached ``circuits.web``, by error code.
    n_unread : int
        Answers that were abandoned because the caller did not read them.
    """

    channel = "callers"

    def __init__(
        self,
        *,
        bind: tuple[str, int],
        limits: Limits,
        resources: CallerResources | None = None,
    ) -> None:
        super().__init__(
            bind, resources=resources, channel="callers", bufsize=64 * 1024
        )
        self._limits = limits
        self._resources.memory.allow_request(limits.max_head + limits.max_body)
        self._connections_by_sock: dict[socket.socket, _Connection] = {}
        self._connections_by_request: dict[str, _Connection] = {}
        # Connections without a complete request, by the time since when.
        self._waiting_by_sock: dict[socket.socket, _Connection] = {}
        self.n_refused_by_code: dict[str, int] = {}
        self.n_unread = 0
        self._draining = False
        self._keep_idle_until = float("inf")
        self._web = CallersWeb(callers=self).register(self)

    # Connections

    @handler("ready", channel="callers")
    def _on_bound(self, server: object, bind: tuple[str, int]) -> None:
        self.fire(ready(server, bind), "web")

    @handler("connect", channel="callers")
    def _on_connect(self, sock: socket.socket, host: str, port: int) -> None:
        now = time.monotonic()
        peer = f"{host}:{port}"
        connection = _Connection(
            sock=sock,
            peer=peer,
            reader=RequestReader(limits=self._limits, peer=peer, started_at=now),
            memory=MemoryUse(release=lambda: self._release(connection)),
            since=now,
            progress_at=now,
        )
        self._connections_by_sock[sock] = connection
        self._waiting_by_sock[sock] = connection
        if self._resources.n_free < 0:
            # All others have requests in flight.
            self._refuse(connection, connection.reader.refuse_for_others())
            self._close(sock)

    @handler("disconnect", channel="callers")
    def _on_caller_disconnect(self, sock: socket.socket) -> None:
        connection = self._connections_by_sock.pop(sock, None)
        if connection is None:
            return
        self._web.forget(sock)
        self._waiting_by_sock.pop(sock, None)
        self._resources.memory.forget(connection.memory)
        if connection.request_id:
            del self._connections_by_request[connection.request_id]
            self.fire(caller_disconnected(connection.request_id), "serving")

    @handler("read", channel="callers")
    def _on_read_callers(self, sock: socket.socket, data: bytes) -> None:
        connection = self._connections_by_sock.get(sock)
        if connection is None or connection.closing:
            return
        if connection.reader.is_idle and not connection.request_id:
            # Those that may be closed for others are in the order of this time.
            self._waiting_by_sock.pop(sock, None)
            self._waiting_by_sock[sock] = connection
        if connection.reader.is_costly(data):
            connection.deferred = data
            self._update_reading(connection)
            self._resources.steps.add(lambda: self._parse_deferred(connection))
            self._update_memory(connection)
        else:
            self._parse(connection, data)

    def _parse_deferred(self, connection: _Connection) -> None:
        if connection.sock not in self._connections_by_sock:
            return
        data, connection.deferred = connection.deferred, b""
        self._update_reading(connection)
        if not connection.closing:
            self._parse(connection, data)

    def _parse(self, connection: _Connection, data: bytes) -> None:
        self._handle_reader_results(
            connection, connection.reader.feed(data, now=time.monotonic())
        )
        self._update_reading(connection)
        self._update_memory(connection)

    def _update_reading(self, connection: _Connection) -> None:
        """Stop reading while many bytes are unparsed or their turn has to come."""
        is_full = connection.reader.n_pipelined > MAX_UNPARSED
        reads = connection.closing or not (connection.deferred or is_full)
        self.set_reading(connection, reads=reads)

    @handler("sweep", channel="callers")
    def _on_sweep(self) -> None:
        now = time.monotonic()
        self.resume_accepting(now=now)
        for connection in list(self._connections_by_sock.values()):
            refusal = connection.reader.refuse_if_overdue(now=now)
            if refusal is not None:
                self._refuse(connection, refusal)
            elif self._is_abandoned(connection, now=now):
                self._close(connection.sock)
            elif now > self._keep_idle_until and self._is_idle(connection):
                self._close_gracefully(connection)

    def _is_idle(self, connection: _Connection) -> bool:
        return (
            connection.is_idle
            and not connection.closing
            and not has_unread_input(connection.sock)
        )

    # Memory and places

    def _update_memory(self, connection: _Connection) -> None:
        """Record the memory that a connection takes, and make room if all take much."""
        if connection.sock not in self._clients:
            return
        reader = connection.reader
        n_request = connection.n_request_bytes or reader.n_bytes
        n_other = (
            reader.n_pipelined
            + len(connection.deferred)
            + self.n_unsent(connection.sock)
        )
        n_releasable = n_request + n_other
        if connection.request is not None:
            n_releasable = n_other if n_other > SMALL_USE else 0
        self._resources.memory.update(
            connection.memory, n_bytes=n_request + n_other, n_releasable=n_releasable
        )

    def _release(self, connection: _Connection) -> None:
        """Free the memory of a connection for those of other callers."""
        self._log_memory_full(connection.peer, connection.memory.n_bytes)
        is_busy = connection.request is not None or self.n_unsent(connection.sock)
        if is_busy or connection.closing:
            self._close(connection.sock)
        else:
            self._refuse(connection, connection.reader.refuse_for_others())

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
            self._refuse(connection, connection.reader.refuse_for_others())
        self._close(connection.sock)

    # Closing

    @handler("drain", channel="*")
    def _on_drain(self) -> None:
        """Send ``Connection: close`` from now on, so that callers use other hosts."""
        self._draining = True

    @handler("drained", channel="callers")
    def _on_drained(self) -> None:
        """Stop listening, and go on reading open connections for ``linger`` seconds.

        A request may be in flight on an idle connection, or on one that is not
        accepted yet.  If the process ended now, that connection would be reset and the
        caller would not learn whether its request was run.
        """
        self.stop_listening()
        self._keep_idle_until = time.monotonic() + self._limits.linger

    def _close_gracefully(self, connection: _Connection) -> None:
        connection.deferred = b""
        connection.closing = True
        self._update_reading(connection)
        self.close_gracefully(connection, linger=self._limits.linger)

    def _is_abandoned(self, connection: _Connection, *, now: float) -> bool:
        if now > connection.closes_at:
            return True
        if connection.is_idle and connection.reader.has_idled_too_long(now=now):
            return not has_unread_input(connection.sock)
        # Without this timeout, a caller that stops reading but does not close its
        # connection would keep its answer in memory indefinitely.
        silent_for = now - connection.progress_at
        unsent = bool(self.n_unsent(connection.sock))
        unread = unsent and silent_for > self._limits.unread_timeout
        self.n_unread += unread
        return unread

    # Parsing and refusal

    def _handle_reader_results(
        self,
        connection: _Connection,
        outcomes: Iterable[CompleteRequest | Refusal | bytes],
    ) -> None:
        for outcome in outcomes:
            match outcome:
                case CompleteRequest():
                    self._pass_to_web(connection, outcome)
                case Refusal():
                    self._refuse(connection, outcome)
                case _:
                    self._write_now(connection, outcome)

    def _pass_to_web(self, connection: _Connection, request: CompleteRequest) -> None:
        connection.request = request
        connection.n_request_bytes = _memory_of(request)
        connection.since = time.monotonic()
        self._waiting_by_sock.pop(connection.sock, None)
        self._web.parse(connection.sock, request)

    def _refuse(self, connection: _Connection, refusal: Refusal) -> None:
        """Answer an unacceptable request without ``circuits.web``, then close."""
        code = refusal.error.code
        self.n_refused_by_code[code] = self.n_refused_by_code.get(code, 0) + 1
        if connection.request_id:
            # An answer is being sent; the caller would parse an error as part of it.
            self._close(connection.sock)
            return
        body = error_body(refusal.error)
        head = h11.Response(
            status_code=refusal.status,
            headers=[
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                ("Connection", "close"),
                *error_headers(refusal.error).items(),
            ],
        )
        http = h11.Connection(h11.SERVER)
        self._write_now(connection, http.send(head) + body)
        self._close_gracefully(connection)
        self._update_memory(connection)

    # Requests and answers

    def request_parsed(self, req: Request, res: Response) -> None:
        """Fire ``caller_request`` for a request that ``circuits.web`` has parsed."""
        connection = self._connections_by_sock.get(req.sock)
        if connection is None:
            return
        connection.request_id = uuid.uuid4().hex
        connection.response = res
        self._connections_by_request[connection.request_id] = connection
        request = connection.request
        message = CallerRequest(
            request_id=connection.request_id,
            method=request.method,
            path=request.path,
            query=request.query,
            headers=request.headers,
            body=request.body,
            peer=connection.peer,
        )
        self.fire(caller_request(message), "serving")

    @handler("caller_answer", channel="callers")
    def _on_caller_answer(self, answer: CallerAnswer) -> None:
        connection = self._connections_by_request.get(answer.request_id)
        if connection is None:
            return
        response = connection.response
        response.close = response.close or self._draining
        self._write_now(connection, complete_answer(response, answer))
        self._finish_answer(connection)

    @handler("caller_stream_start", channel="callers")
    def _on_caller_stream_start(self, request_id: str, headers: dict[str, str]) -> None:
        connection = self._connections_by_request.get(request_id)
        if connection is None:
            return
        response = connection.response
        response.close = response.close or self._draining
        self._write_now(connection, stream_head(response, headers))

    @handler("caller_stream_data", channel="callers")
    def _on_caller_stream_data(self, request_id: str, data: bytes) -> None:
        connection = self._connections_by_request.get(request_id)
        if connection is None:
            return
        self._write_now(connection, stream_chunk(connection.response, data))

    @handler("caller_stream_end", channel="callers")
    def _on_caller_stream_end(self, request_id: str) -> None:
        connection = self._connections_by_request.get(request_id)
        if connection is None:
            return
        if connection.response.chunked:
            self._write_now(connection, LAST_CHUNK)
        self._finish_answer(connection)

    def _finish_answer(self, connection: _Connection) -> None:
        # Make circuits.web discard the request now.  It would write the answer some
        # events later, so that the next answer could be sent first, and it discards a
        # HEAD request only when the connection ends, so that the next request could be
        # taken for the HEAD request.
        closes = connection.response.close
        self.fire(disconnect(connection.sock), "web")
        self._connections_by_request.pop(connection.request_id, None)
        connection.request_id = ""
        connection.request = None
        connection.n_request_bytes = 0
        connection.response = None
        if connection.sock not in self._connections_by_sock:
            return
        self._waiting_by_sock[connection.sock] = connection
        if closes:
            self._close_gracefully(connection)
        elif connection.reader.has_pipelined:
            self._defer_next(connection)
        else:
            self.fire(_next_request(connection.sock), "callers")
        self._update_memory(connection)

    def _defer_next(self, connection: _Connection) -> None:
        """Parse the next request, once the caller has read the last answer.

        Otherwise the answers to all requests that were sent ahead would be in memory.
        """
        connection.awaits_reader = bool(self.n_unsent(connection.sock))
        if not connection.awaits_reader:
            event = _next_request(connection.sock)
            self._resources.steps.add(lambda: self.fire(event, "callers"))

    @handler("_next_request", channel="callers")
    def _on_next_request(self, sock: socket.socket) -> None:
        """Parse the next request, which the caller may already have sent."""
        connection = self._connections_by_sock.get(sock)
        if connection is not None and not connection.closing:
            connection.since = now = time.monotonic()
            self._handle_reader_results(
                connection, connection.reader.next_request(now=now)
            )
            self._update_reading(connection)
            self._update_memory(connection)

    # Writing

    def _write_now(self, connection: _Connection, data: bytes) -> None:
        was_waiting = bool(self.n_unsent(connection.sock))
        n_waiting = self.send_now(connection.sock, data)
        if n_waiting:
            if not was_waiting:
                connection.progress_at = time.monotonic()
            self._check_stalled(connection)
            self._update_memory(connection)

    def write_from_web(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes that ``circuits.web`` itself has composed."""
        connection = self._connections_by_sock.get(sock)
        if connection is not None:
            self._write_now(connection, data)

    def _check_stalled(self, connection: _Connection) -> None:
        # Write buffers are unbounded: the complete answer to a caller that reads slowly
        # would be kept in memory.  Reading from the backend server is therefore paused
        # until the caller has caught up.
        unsent = self.n_unsent(connection.sock)
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
        connection.progress_at = time.monotonic()
        if connection.stalled:
            self._check_stalled(connection)
        self._update_memory(connection)
        self.half_close_if_sent(connection, linger=self._limits.linger)
        if connection.awaits_reader and not connection.closing:
            self._defer_next(connection)

    def n_waiting_callers(self) -> int:
        """Return the number of callers that wait for an answer or part of one.

        Callers whose request is still arriving or whose connection is being closed
        are included.  After the listening socket is closed, all callers count.
        """
        if self._sock is None:
            return len(self._clients)
        return sum(
            connection.closing
            or bool(connection.request_id or self.n_unsent(connection.sock))
            or not connection.is_idle
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


def _memory_of(request: CompleteRequest) -> int:
    """Return about how many bytes of memory a request takes."""
    return len(request.body) + sum(
        len(name) + len(value) + HEADER_OVERHEAD
        for name, value in request.headers.items()
    )


class _next_request(Event):
    """Parse the next request of a connection."""
