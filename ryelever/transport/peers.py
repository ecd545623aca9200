"""Own the UDP socket between entry hosts."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from ..events import Datagram, peers_received

if TYPE_CHECKING:
    pass

__all__ = ["Peers"]

#: One byte more than the longest datagram, so that a longer one shows.
READ_SIZE = 8193

#: Datagrams read before other events get their turn.
MAX_BATCH = 64

#: Bytes that the kernel may keep: a paused process wakes to no more than this.
RECEIVE_BUFFER = 256 * 1024


class Peers(BaseComponent):
    """Send and receive datagrams.

    Several datagrams travel in one event: at tens a second, an event for each would
    cost more than the datagrams do.

    Parameters
    ----------
    bind : tuple of (str, int)
        Where peers reach this host.
    reply_channel : str
        Channel on which ``peers_received`` is fired.
    wakes : bool
        Whether a datagram wakes the process.  Else they are read at each
        ``peers_poll``: where dozens of hosts send several a second each, waking for
        each of them costs more than what it says, and nobody waits for one.
    """

    channel = "peers"

    def __init__(
        self, *, bind: tuple[str, int], reply_channel: str, wakes: bool = True
    ) -> None:
        super().__init__()
        self._reply_channel = reply_channel
        self._wakes = wakes
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
        if self._wakes:
            findcmp(self.root, BasePoller).addReader(self, self._sock)

    @handler("peers_send")
    def _on_peers_send(self, datagrams: list[Datagram]) -> None:
        for datagram in datagrams:
            host, _, port = datagram.address.rpartition(":")
            try:
                self._sock.sendto(datagram.data, (host, int(port)))
            except OSError:
                # The buffer is full, or there is no route; the peer's next word
                # shows what it lacks, so nothing is kept for later.
                self.n_unsent += 1
                continue
            self.n_sent += 1
            self.n_bytes_sent += len(datagram.data)

    @handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        self._read()

    @handler("peers_poll")
    def _on_look(self) -> None:
        # What came since the last look is read whole, or a backlog would only grow.
        while self._read() == MAX_BATCH:
            pass

    def _read(self) -> int:
        """Hand on one batch of datagrams; return how many there were."""
        datagrams = []
        for _ in range(MAX_BATCH):
            try:
                data, (host, port) = self._sock.recvfrom(READ_SIZE)
            except BlockingIOError:
                break
            except OSError:
                # An earlier datagram met a closed port; that peer is gone for now.
                continue
            self.n_received += 1
            self.n_bytes_received += len(data)
            datagrams.append(Datagram(address=f"{host}:{port}", data=data))
        if datagrams:
            self.fire(peers_received(datagrams), self._reply_channel)
        return len(datagrams)
