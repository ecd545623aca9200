"""Run an entry host whose connections to backend servers can be cut."""

from __future__ import annotations

import json
import socket
import sys
from pathlib import Path

from ryelever import cli
from ryelever.transport import http_client

#: An address at which no process listens.
CLOSED_ADDRESS = "127.0.0.1:1"


class _SilentAddress:
    """Address at which connection attempts are never answered.

    The kernel drops connection requests to a socket whose queue of connections that
    wait to be accepted is full.
    """

    def __init__(self) -> None:
        self._listening = socket.socket()
        self._listening.bind(("127.0.0.1", 0))
        self._listening.listen(0)
        host, port = self._listening.getsockname()
        self.address = f"{host}:{port}"
        self._queued = [socket.socket() for _ in range(4)]
        for queued in self._queued:
            queued.setblocking(False)
            queued.connect_ex((host, port))


def main(arguments: list[str]) -> int:
    """Run the command line of ryelever.

    Parameters
    ----------
    arguments : list of str
        Path of the file that describes the partition, then those of the command line.
    """
    state_path = Path(arguments[0])
    silent = _SilentAddress()
    open_socket = http_client.open_socket

    def open_through_partition(address: str) -> tuple[socket.socket, int]:
        state = json.loads(state_path.read_text())
        proxy = state["proxies"].get(address)
        if proxy is None:
            return open_socket(address)
        blocked = {"silent": silent.address, "reset": CLOSED_ADDRESS}
        blocked["refuse-new"] = CLOSED_ADDRESS
        return open_socket(blocked.get(state["mode"], proxy))

    http_client.open_socket = open_through_partition
    sys.argv[1:] = arguments[1:]
    return cli.main()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
