"""Send to callers' sockets without a way round by the poller."""

from __future__ import annotations

import socket

from circuits.net.sockets import TCPServer

__all__ = ["CallerServer"]


class CallerServer(TCPServer):
    """Own callers' sockets; what differs is what is read and composed."""

    def send_now(self, sock: socket.socket, data: bytes) -> int:
        """Send what the kernel takes at once and queue the rest.

        Going through the poller costs two more events a chunk, and a stream has
        dozens or thousands of chunks.

        Returns
        -------
        int
            Bytes that wait in the queue now.
        """
        n_sent = 0
        if not self._buffers[sock]:
            try:
                n_sent = sock.send(data)
            except BlockingIOError:
                n_sent = 0
            except OSError:
                # The caller has gone; word of it may still be under way to us.
                self._close(sock)
                return 0
        if n_sent == len(data):
            return 0
        self.write(sock, data[n_sent:])
        return sum(len(waiting) for waiting in self._buffers[sock])
