"""Partition one entry host from backend servers, and heal the partition."""

from __future__ import annotations

import enum
import json
from collections.abc import Iterable
from pathlib import Path

from .soak.proxy import LoopbackProxy, ProxyMode

__all__ = ["Partition", "PartitionMode"]


class PartitionMode(enum.Enum):
    """Treatment of a host's connections to backend servers.

    ``NONE`` forwards everything.  With ``SILENT`` open connections carry no data and
    new ones hang, with ``RESET`` both are reset, and with ``REFUSE_NEW`` only new ones
    are.
    """

    NONE = "none"
    SILENT = "silent"
    RESET = "reset"
    REFUSE_NEW = "refuse-new"


_PROXY_MODES = {
    PartitionMode.NONE: ProxyMode.PASS,
    PartitionMode.SILENT: ProxyMode.SILENT,
    PartitionMode.RESET: ProxyMode.RESET,
    PartitionMode.REFUSE_NEW: ProxyMode.PASS,
}


class Partition:
    """Connections of one entry host to backend servers, which can be cut.

    The host runs as ``tests.standins.partitioned_host``, whose connections to the
    servers go through a proxy of this process.

    Parameters
    ----------
    path : Path
        File by which the host learns the mode.
    servers : iterable of str
        Addresses of the backend servers.
    """

    def __init__(self, *, path: Path, servers: Iterable[str]) -> None:
        self._path = path
        self._proxy = LoopbackProxy(targets=servers)
        self.set(PartitionMode.NONE)

    @property
    def program(self) -> tuple[str, ...]:
        """Return the arguments of the interpreter that run the host."""
        return ("-m", "tests.standins.partitioned_host", str(self._path))

    def set(self, mode: PartitionMode) -> None:
        """Set the mode of all connections from now on."""
        state = {"mode": mode.value, "proxies": self._proxy.address_by_target}
        written = self._path.with_suffix(".new")
        written.write_text(json.dumps(state))
        written.replace(self._path)
        self._proxy.set(_PROXY_MODES[mode])

    def close(self) -> None:
        """Stop the proxy."""
        self._proxy.close()
