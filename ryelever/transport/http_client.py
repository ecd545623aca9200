"""Send HTTP requests to external systems over pooled connections.

``circuits.web.client`` returns an answer only when the answer is complete, and one
circuits component for each connection would empty the handler cache at each connect.
The component of this module therefore owns all outgoing sockets and parses with h11.
"""

from __future__ import annotations

import errno
import socket
import time
from collections import Counter

import h11
from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from ..errors import Category, RyeleverError
from ..events import (
    AnswerHead,
    AttemptData,
    OutboundAnswer,
    OutboundFailure,
    OutboundRequest,
    outbound_answer,
    outbound_data,
    outbound_end,
    outbound_failed,
    outbound_head,
)
from ..protocol.forwarding import (
    PROXY_STATUS,
    ForwardingError,
    forwarding_error,
    is_forwarded,
)
from .http_connection import (
    Connection,
    open_socket,
    request_bytes,
    reset_at_close,
)
from .http_pool import IdleConnections

__all__ = ["FORWARDER_FAILED", "REFUSED", "HttpClient"]

#: Maximum bytes of one read from a socket.
READ_SIZE = 64 * 1024

#: Error code if no process listens at an address; the process that listened there has
#: ended.
REFUSED = ForwardingError.CONNECTION_REFUSED.value

#: Error code if the connection to a forwarding host failed, which says nothing about
#: the backend server.
FORWARDER_FAILED = "forwarder_failed"

#: Statuses with which a host refuses a request that exceeds its limits, or for which it
#: has no memory or place, before it could forward the request. The limits of two hosts
#: differ while the configuration changes.
BEYOND_LIMITS = frozenset({408, 413, 431, 503})


class HttpClient(BaseComponent):
    """Send requests and own all outgoing connections.

    Attributes
    ----------
    n_opened : int
        Connections opened.
    n_timed_out : int
        Requests that timed out because their connection made no progress.
    n_bytes_received_by_step, n_bytes_sent_by_step : Counter of str
        Bytes on the connections, including heads, by the ``step`` of the request.
    """

    channel = "http_client"

    def __init__(self) -> None:
        super().__init__()
        self._poller: BasePoller | None = None
        self._connections_by_sock: dict[socket.socket, Connection] = {}
        self._connections_by_request: dict[str, Connection] = {}
        self._idle = IdleConnections(close=self._close)
        self.n_opened = 0
        self.n_timed_out = 0
        self.n_bytes_received_by_step: Counter[str] = Counter()
        self.n_bytes_sent_by_step: Counter[str] = Counter()

    # Requests

    @handler("outbound_send")
    def _on_outbound_send(self, request: OutboundRequest) -> None:
        try:
            self._send(request)
        except Exception:
            # Nothing else would tell the requester that no answer will come.
            connection = self._connections_by_request.get(request.id)
            if connection is not None:
                self._close(connection)
            self._report_failure(
                request,
                "could not be asked because of a fault of this host",
                category=Category.INTERNAL,
                bytes_sent=True,
            )
            raise

    def _send(self, request: OutboundRequest) -> None:
        connection = (
            None if request.new_connection else self._idle.take(request.address)
        )
        if connection is None:
            connection = self._open(request)
        if connection is not None:
            self._start(connection, request)

    @handler("outbound_cancel")
    def _on_outbound_cancel(self, request_id: str) -> None:
        connection = self._connections_by_request.get(request_id)
        if connection is not None:
            self._close(connection)

    @handler("outbound_flow")
    def _on_outbound_flow(self, request_id: str, stop: bool) -> None:
        connection = self._connections_by_request.get(request_id)
        if connection is None or connection.paused == stop:
            return
        connection.paused = stop
        connection.progress_at = time.monotonic()
        if stop:
            self._poller.removeReader(connection.sock)
        else:
            self._poller.addReader(self, connection.sock)

    @handler("sweep")
    def _on_sweep(self) -> None:
        now = time.monotonic()
        for connection in list(self._connections_by_sock.values()):
            self._check_progress(connection, now=now)

    # State for the dump

    def describe(self) -> list[dict[str, object]]:
        """Describe each connection for the state dump."""
        now = time.monotonic()
        return [
            {
                "address": connection.address,
                "request": connection.request.id if connection.request else None,
                "connecting": connection.connecting,
                "paused": connection.paused,
                "silent_for": round(now - connection.progress_at, 3),
                "for": round(now - connection.started_at, 3),
            }
            for connection in self._connections_by_sock.values()
        ]

    # Connections

    def _open(
        self, request: OutboundRequest, *, bytes_sent: bool = False
    ) -> Connection | None:
        try:
            sock, code = open_socket(request.address)
        except (OSError, ValueError, OverflowError) as error:
            message = f"cannot connect: {error}"
            self._report_unsent(request, message, bytes_sent=bytes_sent)
            return None
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            message = f"cannot connect: {errno.errorcode.get(code, code)}"
            self._report_unsent(request, message, bytes_sent=bytes_sent)
            return None
        connection = Connection(
            address=request.address,
            sock=sock,
            http=h11.Connection(h11.CLIENT),
        )
        self.n_opened += 1
        self._connections_by_sock[sock] = connection
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        self._poller.addReader(self, sock)
        self._poller.addWriter(self, sock)
        return connection

    def _start(
        self,
        connection: Connection,
        request: OutboundRequest,
        *,
        bytes_sent: bool = False,
    ) -> None:
        try:
            data = request_bytes(connection.http, request)
        except h11.LocalProtocolError as error:
            self._close(connection)
            self._report_unsent(request, f"cannot be asked this: {error}")
            return
        connection.start_request(request, data, now=time.monotonic())
        connection.bytes_sent = bytes_sent
        self._connections_by_request[request.id] = connection
        if not connection.connecting:
            self._flush(connection)

    @handler("_write")
    def _on_write(self, sock: socket.socket) -> None:
        connection = self._connections_by_sock.get(sock)
        if connection is None:
            return
        if connection.connecting:
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._fail(
                    connection, f"cannot connect: {errno.errorcode.get(code, code)}"
                )
                return
            connection.connecting = False
        self._flush(connection)

    def _flush(self, connection: Connection) -> None:
        request = connection.request
        now = time.monotonic()
        unsent = request is not None and not connection.bytes_sent
        if unsent and now >= request.latest_start:
            # The deadline passed before the first byte was sent, for example while
            # this process was paused; the requester no longer waits for an answer.
            message = "was reached only after the deadline"
            self._fail(connection, message, category=Category.TIMEOUT)
            return
        if connection.send_buffer:
            try:
                n_sent = connection.sock.send(connection.send_buffer)
            except BlockingIOError:
                n_sent = 0
            except OSError as error:
                self._fail(connection, f"cannot send: {error.strerror}")
                return
            if n_sent:
                connection.bytes_sent = True
                self.n_bytes_sent_by_step[request.step] += n_sent
                connection.progress_at = now
                del connection.send_buffer[:n_sent]
        writing = self._poller.isWriting(connection.sock)
        if connection.send_buffer and not writing:
            self._poller.addWriter(self, connection.sock)
        elif not connection.send_buffer and writing:
            self._poller.removeWriter(connection.sock)

    @handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        connection = self._connections_by_sock.get(sock)
        if connection is None or connection.paused:
            return
        try:
            data = sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(connection, f"connection broke: {error.strerror}")
            return
        if connection.request is None:
            # Input on an idle connection is the peer's close, or bytes that belong to
            # no request.  The connection cannot be used any more in either case.
            self._close(connection)
            return
        self.n_bytes_received_by_step[connection.request.step] += len(data)
        connection.progress_at = time.monotonic()
        connection.n_received += len(data)
        try:
            connection.http.receive_data(data)
            self._process_events(connection)
        except h11.RemoteProtocolError as error:
            self._fail(connection, f"answer is broken: {error}")
            return
        if connection.request is not None and connection.has_excessive_framing():
            self._fail(connection, "answer has more framing than body")

    @handler("_disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        connection = self._connections_by_sock.get(sock)
        if connection is not None:
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            problem = "cannot connect" if connection.connecting else "connection broke"
            self._fail(connection, f"{problem}: {errno.errorcode.get(code, 'closed')}")

    def _process_events(self, connection: Connection) -> None:
        # One event for all chunks of a read: each fired event costs more than to join
        # small chunks.
        pieces: list[bytes] = []
        try:
            while connection.request is not None:
                event = connection.http.next_event()
                if isinstance(event, h11.Data):
                    pieces.append(bytes(event.data))
                    continue
                if not self._flush_data(connection, pieces):
                    return
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._process_event(connection, event)
        except h11.RemoteProtocolError:
            self._flush_data(connection, pieces)
            raise

    def _flush_data(self, connection: Connection, pieces: list[bytes]) -> bool:
        """Handle the collected parts of a body; return whether the request goes on."""
        if not pieces:
            return True
        data = b"".join(pieces)
        pieces.clear()
        return self._handle_data(connection, data)

    def _process_event(self, connection: Connection, event: h11.Event) -> None:
        is_head_or_end = isinstance(event, h11.Response | h11.EndOfMessage)
        if is_head_or_end and self._fail_forwarded(connection, event):
            return
        if isinstance(event, h11.Response):
            self._handle_head(connection, event)
        elif isinstance(event, h11.EndOfMessage):
            self._handle_end(connection)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(connection, "connection was closed before an answer")

    def _fail_forwarded(
        self, connection: Connection, event: h11.Response | h11.EndOfMessage
    ) -> bool:
        """Fail a request whose forwarding host reports an error; return whether."""
        request = connection.request
        if not request.forwarded:
            return False
        error = forwarding_error(event.headers)
        if error is None:
            if isinstance(event, h11.EndOfMessage) or is_forwarded(event.headers):
                return False
            if event.status_code in BEYOND_LIMITS:
                connection.bytes_sent = False
            self._fail(connection, "answered itself, without forwarding")
            return True
        self._close(connection)
        category = Category.BROKEN if error.was_sent else Category.UNAVAILABLE
        if error.is_timeout:
            category = Category.TIMEOUT
        self._report_failure(
            request,
            f"could not forward: {error.value}",
            category=category,
            bytes_sent=error.was_sent,
            code="" if error is ForwardingError.CONNECTION_TERMINATED else error.value,
        )
        return True

    def _handle_head(self, connection: Connection, event: h11.Response) -> None:
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in event.headers
        }
        connection.record_head(event.status_code, headers)
        request = connection.request
        if request.streamed:
            head = AnswerHead(
                id=request.id,
                status=connection.status,
                headers=connection.headers,
                raw_headers=tuple(
                    pair for pair in event.headers if pair[0] != PROXY_STATUS
                ),
                new_connection=not connection.reused,
            )
            self.fire(outbound_head(head), request.reply_channel)

    def _handle_data(self, connection: Connection, data: bytes) -> bool:
        request = connection.request
        connection.n_body += len(data)
        if request.streamed:
            message = AttemptData(id=request.id, data=data)
            self.fire(outbound_data(message), request.reply_channel)
            return True
        connection.body += data
        if len(connection.body) <= request.max_body:
            return True
        self._fail(connection, f"answer is longer than {request.max_body} bytes")
        return False

    def _handle_end(self, connection: Connection) -> None:
        request = connection.request
        if request.streamed:
            self.fire(outbound_end(request.id), request.reply_channel)
        else:
            answer = OutboundAnswer(
                id=request.id,
                status=connection.status,
                headers=connection.headers,
                body=bytes(connection.body),
                address=request.address,
                sent_at=connection.started_at,
            )
            self.fire(outbound_answer(answer), request.reply_channel)
        self._release(connection)

    def _release(self, connection: Connection) -> None:
        del self._connections_by_request[connection.request.id]
        connection.request = None
        self._idle.put(connection)

    # Failures

    def _check_progress(self, connection: Connection, *, now: float) -> None:
        silent_for = now - connection.progress_at
        request = connection.request
        if request is None:
            if silent_for > connection.idle_timeout:
                self._close(connection)
            return
        if connection.paused and not connection.connecting:
            # Reading is paused because the caller does not read its answer; the
            # caller's own connection has a timeout for that.
            return
        limit = connection.current_timeout()
        if now - connection.started_at > request.time_limit:
            limit = request.time_limit
        elif silent_for <= limit:
            return
        # A network device between the two ends may have dropped the state of this
        # connection while new connections work.  Idle connections to the same peer
        # use the same network path and may be affected too, so they are closed.
        self.n_timed_out += 1
        self._idle.purge(connection.address)
        verb = "connect" if connection.connecting else "answer"
        self._fail(
            connection, f"did not {verb} for {limit:g} s", category=Category.TIMEOUT
        )

    def _fail(
        self,
        connection: Connection,
        message: str,
        *,
        category: Category = Category.BROKEN,
    ) -> None:
        request = connection.request
        if connection.connecting and category is Category.BROKEN:
            category = Category.UNAVAILABLE
        code = REFUSED if "ECONNREFUSED" in message else ""
        bytes_sent = connection.bytes_sent
        unanswered = not connection.status
        self._close(connection)
        if request is None:
            return
        stale = connection.reused and unanswered and category is Category.BROKEN
        if stale and request.resend_stale and not request.new_connection:
            # The peer closed the connection while it was idle, which is not a failure
            # of the peer: send the request once more, over a new connection.
            replacement = self._open(request, bytes_sent=bytes_sent)
            if replacement is not None:
                self._start(replacement, request, bytes_sent=bytes_sent)
            return
        self._report_failure(
            request,
            message,
            category=category,
            bytes_sent=bytes_sent,
            code=code,
            forwarder_failed=request.forwarded,
        )

    def _report_unsent(
        self, request: OutboundRequest, message: str, *, bytes_sent: bool = False
    ) -> None:
        self._report_failure(
            request,
            message,
            category=Category.UNAVAILABLE,
            bytes_sent=bytes_sent,
            forwarder_failed=request.forwarded,
        )

    def _report_failure(
        self,
        request: OutboundRequest,
        message: str,
        *,
        category: Category,
        bytes_sent: bool,
        code: str = "",
        forwarder_failed: bool = False,
    ) -> None:
        if forwarder_failed:
            code = FORWARDER_FAILED
        error = RyeleverError(
            f"{request.address} {message}",
            category=category,
            step=request.step,
            peer=request.address,
            code=code,
        )
        failure = OutboundFailure(
            id=request.id,
            address=request.address,
            error=error,
            bytes_sent=bytes_sent,
            forwarder_failed=forwarder_failed,
        )
        self.fire(outbound_failed(failure), request.reply_channel)

    def _close(self, connection: Connection) -> None:
        # A closed connection is never used again, so an answer that is still in flight
        # can't be delivered to another request.
        if self._connections_by_sock.pop(connection.sock, None) is None:
            return
        if connection.request is not None:
            self._connections_by_request.pop(connection.request.id, None)
            connection.request = None
            reset_at_close(connection.sock)
        self._idle.remove(connection)
        self._poller.discard(connection.sock)
        connection.sock.close()
