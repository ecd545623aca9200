"""Accept callers' connections, and send to them without going through the poller."""

from __future__ import annotations

import contextlib
import errno
import socket
import time
from typing import Protocol

from circuits.net.sockets import TCPServer

from ..logs import log_warning

__all__ = ["CallerServer", "ClosingConnection", "has_unread_input"]

#: Connections accepted before other sockets are handled.  The uploads of all callers
#: accepted together are in memory together: with 300 callers that sent 100 KB each,
#: accepting 64 at a time took 20 to 40 MB more memory than one at a time; accepting
#: four took 2 MB more.
MAX_ACCEPTS_PER_EVENT = 4

#: Errors of ``accept`` after which a later attempt may succeed: the caller has closed
#: its connection, or the process has no descriptor or memory left for the connection,
#: which then stays in the backlog.
RETRYABLE_ACCEPT_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,
    }
)


class ClosingConnection(Protocol):
    """State of a caller's connection that is to be closed.

    Attributes
    ----------
    closing : bool
        True once no further request is read.
    closes_at : float
        Monotonic time at which the connection is closed; infinite until the last answer
        is sent.
    """

    sock: socket.socket
    closing: bool
    closes_at: float


class CallerServer(TCPServer):
    """Base class of the servers that own callers' sockets.

    Subclasses parse the requests and compose the answers.
    """

    def _accept(self) -> None:
        """Accept pending connections, at most ``MAX_ACCEPTS_PER_EVENT``.

        The method of circuits that this one overrides is a generator, as connections
        with TLS need: each connection would become a task that waits for the next
        round of the main loop, and only one would be accepted per round.
        """
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in RETRYABLE_ACCEPT_ERRORS:
                    raise
                log_warning(
                    "callers_not_accepted",
                    peer=f"{self.host}:{self.port}",
                    message=error.strerror,
                )
                return
            self._on_accept_done(sock)

    def stop_listening(self) -> None:
        """Accept the connections that wait to be accepted, and refuse later ones.

        Connections that are not accepted when the socket is closed would be reset,
        although their callers may have sent a request.
        """
        if self._sock is None:
            return
        n_before = -1
        while len(self._clients) > n_before:
            n_before = len(self._clients)
            self._accept()
        self._close(self._sock)

    def pause_reading(self, sock: socket.socket) -> None:
        """Leave what a caller sends in the kernel, whose window then stops the caller.

        Until reading is resumed, a caller that leaves is noticed only when something
        is sent to it.
        """
        self._poller.removeReader(sock)

    def resume_reading(self, sock: socket.socket) -> None:
        """Read again what a caller sends."""
        self._poller.addReader(self, sock)

    def close_gracefully(self, connection: ClosingConnection, *, linger: float) -> None:
        """Close after the answer is sent and the caller has had time to read it.

        Closing a socket with unread input resets the connection, and the caller may
        lose the answer.  Input is therefore read and discarded for ``linger`` seconds.
        """
        connection.closing = True
        self._half_close(connection, linger=linger)

    def half_close_if_sent(
        self, connection: ClosingConnection, *, linger: float
    ) -> None:
        """Half-close a closing connection if the last of its answer was sent now."""
        if connection.closing and connection.closes_at == float("inf"):
            self._half_close(connection, linger=linger)

    def _half_close(self, connection: ClosingConnection, *, linger: float) -> None:
        if self._buffers.get(connection.sock):
            return
        connection.closes_at = time.monotonic() + linger
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_WR)

    def send_now(self, sock: socket.socket, data: bytes) -> int:
        """Send as many bytes as the kernel accepts at once, and queue the rest.

        Sending through the poller costs two more events per chunk, and a stream has
        dozens or thousands of chunks.

        Returns
        -------
        int
            Bytes in the queue after the call.
        """
        n_sent = 0
        if not self._buffers[sock]:
            try:
                n_sent = sock.send(data)
            except BlockingIOError:
                n_sent = 0
            except OSError:
                # The caller has closed its connection; the poller may not have
                # reported that yet.
                self._close(sock)
                return 0
        if n_sent == len(data):
            return 0
        self.write(sock, data[n_sent:])
        return sum(len(waiting) for waiting in self._buffers[sock])


def has_unread_input(sock: socket.socket) -> bool:
    """Return whether a caller has sent bytes that are not read yet.

    Closing the socket would reset the connection, and these bytes would be lost.
    """
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
