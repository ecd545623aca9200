"""Define an outgoing HTTP connection: its socket, parser and timeouts."""

from __future__ import annotations

import re
import socket
import struct

import h11
import msgspec

from ..events import OutboundRequest

__all__ = [
    "IDLE_TIMEOUT",
    "MAX_FRAMING",
    "Connection",
    "open_socket",
    "request_bytes",
    "reset_at_close",
]

#: TCP keepalive: seconds without traffic before the kernel probes the peer, seconds
#: between two probes, and probes without an answer after which it drops the connection.
KEEPALIVE_IDLE = 2
KEEPALIVE_INTERVAL = 1
KEEPALIVE_COUNT = 3

#: Milliseconds for which sent bytes may stay unacknowledged before the kernel drops the
#: connection.  The kernel ignores the count of probes while this is set: a shorter time
#: would drop a connection, also one whose answer is awaited, for the first lost probe.
TCP_USER_TIMEOUT_MS = 1000 * (KEEPALIVE_IDLE + KEEPALIVE_COUNT * KEEPALIVE_INTERVAL)

#: Methods whose verbatim requests get no ``Content-Length`` if they have no body.
BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})

#: Seconds for which a connection may idle if the peer sends no ``Keep-Alive`` timeout.
IDLE_TIMEOUT = 30.0

#: Seconds by which an idle connection is closed here before the peer closes it: a
#: request that is sent while the peer closes the connection is lost.
IDLE_MARGIN = 0.5

#: Maximum bytes of an answer besides its body, as far as they outnumber the body's:
#: heads, chunk headers and trailers.  A faulty peer may send such bytes without end.
MAX_FRAMING = 64 * 1024

#: Value of ``SO_LINGER``: enabled, with a timeout of 0 s, which resets at close.
_ZERO_LINGER = struct.pack("ii", 1, 0)

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")

_TCP_OPTIONS = (
    (socket.TCP_NODELAY, 1),
    (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
    (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
    (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
    (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)


class Connection(msgspec.Struct, kw_only=True, eq=False):
    """A connection to one address, with at most one request in flight.

    Attributes
    ----------
    bytes_sent : bool
        True once a byte of the request may have been sent, over this connection or
        over the one that it replaces.
    progress_at : float
        Monotonic time of the most recent byte in either direction.
    paused : bool
        True while the answer is not read, because its recipient does not keep up.
    reused : bool
        True when the connection has carried a request before.
    n_received, n_body : int
        Bytes received since the request was assigned, and those of them that are of
        the answer's body.
    idle_timeout : float
        Seconds after which an idle connection is not used any more.
    """

    address: str
    sock: socket.socket
    http: h11.Connection
    request: OutboundRequest | None = None
    connecting: bool = True
    bytes_sent: bool = False
    started_at: float = 0.0
    progress_at: float = 0.0
    paused: bool = False
    reused: bool = False
    n_received: int = 0
    n_body: int = 0
    idle_timeout: float = IDLE_TIMEOUT
    send_buffer: bytearray = msgspec.field(default_factory=bytearray)
    status: int = 0
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    body: bytearray = msgspec.field(default_factory=bytearray)

    def start_request(
        self, request: OutboundRequest, data: bytes, *, now: float
    ) -> None:
        """Assign a request to this connection and queue its bytes for sending."""
        self.request = request
        self.started_at = self.progress_at = now
        self.bytes_sent = False
        self.n_received = 0
        self.n_body = 0
        self.status = 0
        self.headers = {}
        self.body.clear()
        self.send_buffer += data

    def record_head(self, status: int, headers: dict[str, str]) -> None:
        """Record the head of an answer and apply its ``Keep-Alive`` timeout."""
        self.status = status
        self.headers = headers
        match = _KEEP_ALIVE_TIMEOUT.search(headers.get("keep-alive", ""))
        if match is not None:
            self.idle_timeout = max(0.0, int(match[1]) - IDLE_MARGIN)

    def current_timeout(self) -> float:
        """Return the seconds without a byte after which the request times out."""
        request = self.request
        if self.connecting:
            return request.connect_timeout
        if not self.n_body and request.first_byte_timeout:
            return request.first_byte_timeout
        return request.progress_timeout

    def has_excessive_framing(self) -> bool:
        """Return whether the bytes besides the body outnumber it beyond all use."""
        return self.n_received - self.n_body > MAX_FRAMING + self.n_body

    def is_reusable(self) -> bool:
        """Return whether the connection can carry another request.

        It can't while received bytes follow the answer, which would be parsed as the
        answer to the next request, nor while bytes of the request are unsent: a peer
        that answered early still expects the rest of the body and would read the next
        request as part of it.
        """
        return (
            not self.send_buffer
            and self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not self.http.trailing_data[0]
        )

    def has_no_pending_input(self) -> bool:
        """Return whether the socket has nothing to read and is not closed.

        Input on an idle connection is either the peer's close, or bytes that would be
        parsed as the answer to the next request.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def open_socket(address: str) -> tuple[socket.socket, int]:
    """Start a non-blocking connect; return the socket and the error number.

    Raises
    ------
    OSError, ValueError
        If no socket can be opened, or the address is invalid.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in _TCP_OPTIONS:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
        return sock, sock.connect_ex((host, int(port)))
    except (OSError, ValueError, OverflowError):
        sock.close()
        raise


def reset_at_close(sock: socket.socket) -> None:
    """Make the kernel discard unsent bytes when the socket is closed.

    Otherwise the kernel goes on sending for seconds after the close: a server that was
    unresponsive meanwhile would run a request whose caller has already been answered
    or has disconnected.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)


def request_bytes(http: h11.Connection, request: OutboundRequest) -> bytes:
    """Return a request serialized as HTTP/1.1.

    Raises
    ------
    h11.LocalProtocolError
        If the request cannot be serialized as HTTP.
    """
    headers = list(request.headers)
    if not request.verbatim:
        headers.insert(0, ("Host", request.address))
    if request.body or not (request.verbatim and request.method in BODILESS_METHODS):
        headers.append(("Content-Length", str(len(request.body))))
    head = h11.Request(method=request.method, target=request.path, headers=headers)
    data = http.send(head)
    if request.body:
        data += http.send(h11.Data(data=request.body))
    return data + http.send(h11.EndOfMessage())
