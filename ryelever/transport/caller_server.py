"""Accept callers' connections, and send to them without going through the poller."""

from __future__ import annotations

import contextlib
import errno
import socket
import time
from typing import TYPE_CHECKING, Protocol

from circuits.net.sockets import TCPServer

from ..coordination.caller_memory import CallerMemory
from ..logs import log_warning
from .deferred_steps import DeferredSteps

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "MAX_UNPARSED",
    "CallerResources",
    "CallerServer",
    "ClosingConnection",
    "has_unread_input",
]

#: Bytes that the kernel keeps for each connection, received and not read or to be sent
#: when the caller has read others: they take memory as well.
SOCKET_BUFFER = 32 * 1024

#: Bytes behind a request in flight from which no more are read.
MAX_UNPARSED = 64 * 1024

#: Seconds for which no connection is accepted after one could not be.
ACCEPT_PAUSE = 0.2

#: Seconds between two log lines of one kind about callers that were turned away.
LOG_INTERVAL = 10.0

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

#: Those that follow each other until something is free again.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


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


class ReadConnection(Protocol):
    """State of a caller's connection whose input may be left unread.

    Attributes
    ----------
    is_reading : bool
        True while what the caller sends is read.
    """

    sock: socket.socket
    is_reading: bool


class CallerResources:
    """What all servers of a process share among their connections.

    Parameters
    ----------
    memory : int
        Bytes that callers' requests and answers may take together.
    max_connections : int
        Maximum open connections of all servers together.

    Attributes
    ----------
    servers : list of CallerServer
        The servers that share.
    """

    __slots__ = ("max_connections", "memory", "servers", "steps")

    def __init__(self, *, memory: int = 64 << 20, max_connections: int = 2048) -> None:
        self.memory = CallerMemory(limit=memory)
        self.max_connections = max_connections
        self.steps = DeferredSteps()
        self.servers: list[CallerServer] = []

    @property
    def n_free(self) -> int:
        """Return how many more connections may be open; negative if too many are."""
        n_open = sum(server.n_clients for server in self.servers)
        return self.max_connections - n_open

    def close_for_another(self) -> None:
        """Close a connection that carries no complete request, if there is one.

        A crowd at one port takes no places from callers at the others.
        """
        crowded = max(self.servers, key=lambda server: server.n_waiting)
        crowded.close_longest_waiting()


class _Sockets(dict):
    """The sockets of all clients, in a set with the methods that circuits calls.

    In circuits they are in a list, which is searched for each read and write.
    """

    def append(self, sock: socket.socket) -> None:
        """Add a socket."""
        self[sock] = None

    def remove(self, sock: socket.socket) -> None:
        """Remove a socket."""
        del self[sock]

    def __getitem__(self, key: slice) -> list[socket.socket]:
        """Return the sockets as a list, which circuits asks for by a slice."""
        return list(self)[key]


class CallerServer(TCPServer):
    """Base class of the servers that own callers' sockets.

    Subclasses parse the requests and compose the answers.

    Parameters
    ----------
    resources : CallerResources
        What this server shares with the process's other servers.

    Attributes
    ----------
    n_refused_connections : int
        Connections that were closed because there were too many.
    """

    def __init__(
        self,
        bind: tuple[str, int],
        *,
        resources: CallerResources | None = None,
        **options: object,
    ) -> None:
        super().__init__(bind, **options)
        self._clients = _Sockets()
        if resources is None:
            resources = CallerResources()
        self._resources = resources
        if resources.steps.parent is resources.steps:
            resources.steps.register(self)
        resources.servers.append(self)
        self._n_unsent_by_sock: dict[socket.socket, int] = {}
        self._accepts_again_at = float("inf")
        self._logged_at_by_event: dict[str, float] = {}
        self.n_refused_connections = 0
        # Accepted sockets inherit the sizes.
        for level, option in (
            (socket.SOL_SOCKET, socket.SO_RCVBUF),
            (socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT),
        ):
            with contextlib.suppress(OSError):
                self._sock.setsockopt(level, option, SOCKET_BUFFER)

    def _is_log_due(self, event: str) -> bool:
        """Return whether a line of this event is to be logged, and count it as logged.

        Callers that are turned away may be thousands a second.
        """
        now = time.monotonic()
        if now - self._logged_at_by_event.get(event, float("-inf")) < LOG_INTERVAL:
            return False
        self._logged_at_by_event[event] = now
        return True

    @property
    def n_clients(self) -> int:
        """Return the number of open connections."""
        return len(self._clients)

    @property
    def n_waiting(self) -> int:
        """Return the number of connections that carry no complete request."""
        return 0

    # Accepting

    def _log_memory_full(self, sender: str, n_bytes: int) -> None:
        if self._is_log_due("caller_memory_full"):
            log_warning("caller_memory_full", peer=sender, n=n_bytes)

    def _connections_to_close(self) -> Iterable[ClosingConnection]:
        """Yield the connections that may be closed for others, the first one first."""
        return ()

    def _close_for_others(self, connection: ClosingConnection) -> None:
        """Close a connection, so that another one can be accepted."""
        raise NotImplementedError

    def _make_room(self) -> None:
        """Close a connection of any server if there are too many."""
        if self._resources.n_free <= 0:
            self._resources.close_for_another()

    def close_longest_waiting(self) -> None:
        """Close the connection that has waited longest for a complete request."""
        self.n_refused_connections += 1
        if self._is_log_due("too_many_connections"):
            log_warning(
                "too_many_connections",
                peer=f"{self.host}:{self.port}",
                n=len(self._clients),
            )
        connection = next(iter(self._connections_to_close()), None)
        if connection is not None:
            self._close_for_others(connection)

    def resume_accepting(self, *, now: float) -> None:
        """Accept connections again once the pause after a failed accept is over."""
        if now >= self._accepts_again_at:
            self._accepts_again_at = float("inf")
            if self._sock is not None:
                self._poller.addReader(self, self._sock)

    def _pause_accepting(self) -> None:
        # The listening socket stays readable: each poll would fail to accept again.
        if self._poller is not None:
            self._poller.removeReader(self._sock)
        self._accepts_again_at = time.monotonic() + ACCEPT_PAUSE

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
                if self._is_log_due("callers_not_accepted"):
                    log_warning(
                        "callers_not_accepted",
                        peer=f"{self.host}:{self.port}",
                        message=error.strerror,
                    )
                if error.errno in EXHAUSTED:
                    self._pause_accepting()
                return
            self._make_room()
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

    def set_reading(self, connection: ReadConnection, *, reads: bool) -> None:
        """Read what a caller sends, or leave it in the kernel, which stops the caller.

        Until reading is resumed, a caller that leaves is noticed only when something
        is sent to it.
        """
        if reads == connection.is_reading or connection.sock not in self._clients:
            return
        connection.is_reading = reads
        if reads:
            self._poller.addReader(self, connection.sock)
        else:
            self._poller.removeReader(connection.sock)

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

    def n_unsent(self, sock: socket.socket) -> int:
        """Return the bytes that wait until the kernel accepts them."""
        return self._n_unsent_by_sock.get(sock, 0)

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
        n_unsent = self.n_unsent(sock) + len(data) - n_sent
        self._n_unsent_by_sock[sock] = n_unsent
        self.write(sock, memoryview(data)[n_sent:])
        return n_unsent

    def _write(self, sock: socket.socket, data: memoryview) -> None:
        """Send the first bytes of the queue; called by circuits.

        The method of circuits copies what is left each time.
        """
        if sock not in self._clients:
            return
        try:
            n_sent = sock.send(data)
        except BlockingIOError:
            n_sent = 0
        except OSError:
            self._close(sock)
            return
        if n_sent < len(data):
            self._buffers[sock].appendleft(data[n_sent:])
        self._n_unsent_by_sock[sock] -= n_sent
        if not self._n_unsent_by_sock[sock]:
            del self._n_unsent_by_sock[sock]

    def _close(self, sock: socket.socket | None) -> None:
        self._n_unsent_by_sock.pop(sock, None)
        super()._close(sock)


def has_unread_input(sock: socket.socket) -> bool:
    """Return whether a caller has sent bytes that are not read yet.

    Closing the socket would reset the connection, and these bytes would be lost.
    """
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
