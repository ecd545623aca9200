"""Exchange UDP datagrams between entry hosts."""

from __future__ import annotations

import socket

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from ..events import Datagram, peers_received

__all__ = ["Peers"]

#: Bytes read of a datagram: one more than the longest valid one, to detect longer ones.
READ_SIZE = 8193

#: Datagrams read in one batch before other events are handled.
MAX_BATCH = 64

#: Size in bytes of the kernel's receive buffer.  It bounds the backlog that a process
#: has to read after a pause.
RECEIVE_BUFFER = 256 * 1024


class Peers(BaseComponent):
    """Send and receive datagrams over one UDP socket.

    One event carries several datagrams: at tens of datagrams a second, dispatching an
    event for each would cost more than processing the datagrams.

    Parameters
    ----------
    bind : tuple of (str, int)
        Local address, at which peers reach this host.
    reply_channel : str
        Channel on which ``peers_received`` is fired.
    read_on_arrival : bool
        Whether an arriving datagram wakes the process.  If not, datagrams are read
        only at each ``peers_poll``: with dozens of hosts that send several datagrams
        a second each, waking up for each datagram costs more than processing it, and
        no datagram is urgent.
    """

    channel = "peers"

    def __init__(
        self, *, bind: tuple[str, int], reply_channel: str, read_on_arrival: bool = True
    ) -> None:
        super().__init__()
        self._reply_channel = reply_channel
        self._read_on_arrival = read_on_arrival
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self._sock.bind(bind)
        host, port = self._sock.getsockname()
        self.address = f"{host}:{port}"
        self.n_received = 0
        self.n_sent = 0
        self.n_unsent = 0
        self.n_bytes_received = 0
        self.n_bytes_sent = 0

    @handler("started", channel="*")
    def _on_started(self, *args: object) -> None:
        if self._read_on_arrival:
            findcmp(self.root, BasePoller).addReader(self, self._sock)

    @handler("peers_send")
    def _on_peers_send(self, datagrams: list[Datagram]) -> None:
        for datagram in datagrams:
            host, _, port = datagram.address.rpartition(":")
            try:
                self._sock.sendto(datagram.data, (host, int(port)))
            except OSError:
                # The send buffer is full, or there is no route.  The datagram is
                # dropped: the peer's next heartbeat shows which data it lacks.
                self.n_unsent += 1
                continue
            self.n_sent += 1
            self.n_bytes_sent += len(datagram.data)

    @handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        self._read()

    @handler("peers_poll")
    def _on_peers_poll(self) -> None:
        # Read all datagrams that arrived since the last poll; reading one batch a
        # poll would let a backlog grow.
        while self._read() == MAX_BATCH:
            pass

    def _read(self) -> int:
        """Read one batch, fire it as ``peers_received`` and return its size."""
        datagrams = []
        for _ in range(MAX_BATCH):
            try:
                data, (host, port) = self._sock.recvfrom(READ_SIZE)
            except BlockingIOError:
                break
            except OSError:
                # The error reports that a datagram sent earlier reached a closed port:
                # that peer is not running at present.
                continue
            self.n_received += 1
            self.n_bytes_received += len(data)
            datagrams.append(Datagram(address=f"{host}:{port}", data=data))
        if datagrams:
            self.fire(peers_received(datagrams), self._reply_channel)
        return len(datagrams)
