"""Checked settings of an entry host that relays requests unchanged."""

from __future__ import annotations

import enum

import msgspec

__all__ = ["ContentionMode", "RelaySettings"]

#: Share of the machine's memory for callers' requests and answers.  They take up to
#: twice as much while they are received and sent on.
CALLER_MEMORY_SHARE = 0.2

#: Share of the machine's memory for what the kernel keeps of callers' connections, and
#: the bytes that it keeps of each one.
CALLER_SOCKETS_SHARE = 0.25
SOCKET_MEMORY = 32 * 1024

#: Share of the descriptors for callers' connections, besides those for files; the
#: others are for backend servers, other hosts and the store.
CALLER_DESCRIPTORS_SHARE = 0.75
FILE_DESCRIPTORS = 200

#: Callers' connections that are allowed on the smallest machine.
MIN_CALLER_CONNECTIONS = 64


class ContentionMode(enum.Enum):
    """Whether entry hosts share the capacity of engine services among callers.

    ``AUTO`` leaves the choice to the configuration; see ``RouteTable.is_contended``.
    """

    AUTO = "auto"
    ON = "on"
    OFF = "off"


class RelaySettings(msgspec.Struct, kw_only=True, frozen=True):
    """Settings of one process, read at its start; times are in seconds.

    Attributes
    ----------
    ports : tuple of (int, int)
        First and last port reserved for the traffic between entry hosts.
    zones : tuple of str
        All availability zones, sorted.
    store_partitions : int
        Number of partitions of each topic of the store.
    grace : float
        Time from the signal to stop until the process is killed.
    stall_time : float
        Time for which a group that has lost a member is stalled before its head
        reports the group broken.
    repeat_ratio, repeat_window, repeat_slack : float
        Retry budget of all entry hosts together: in any window of ``repeat_window``
        seconds they may send ``repeat_ratio`` times the window's requests plus
        ``repeat_slack`` attempts beyond first attempts.
    last_bytes : float
        Part of the grace period reserved for sending the last answers.
    link_rate : float
        Capacity of the host's network link in bytes a second.
    contention : ContentionMode
        Whether the capacity of engine services is shared among callers.
    released_parts : tuple of str
        Parts of prompts that are never held to crash backend servers; the only setting
        that takes effect when the settings are read again.
    first_start : bool
        Whether the whole system starts for the first time, so that there are no groups.
    memory : int
        Memory of the machine in bytes; a process that takes more is killed.
    max_descriptors : int
        Descriptors that the process may open.
    metrics_port : int
        Separate port on which metrics are served; 0 for none.
    """

    host: str
    ip: str
    availability_zone: str
    callers_address: str
    ready_address: str
    ports: tuple[int, int]
    store_address: str
    store_partitions: int
    heartbeat_interval: float
    grace: float
    stall_time: float
    repeat_ratio: float
    repeat_window: float
    repeat_slack: float
    zones: tuple[str, ...]
    last_bytes: float
    link_rate: float = 1_250_000.0
    contention: ContentionMode = ContentionMode.AUTO
    released_parts: tuple[str, ...] = ()
    first_start: bool = True
    memory: int = 300_000_000
    max_descriptors: int = 4096
    metrics_port: int = 0

    @property
    def peers_address(self) -> str:
        """Return the address for traffic from peers; port 0 picks a free port."""
        return f"{self.ip}:{self.ports[0]}"

    @property
    def caller_memory(self) -> int:
        """Return the bytes that callers' requests and answers may take together."""
        return int(CALLER_MEMORY_SHARE * self.memory)

    @property
    def max_caller_connections(self) -> int:
        """Return the maximum number of callers' open connections."""
        by_descriptors = CALLER_DESCRIPTORS_SHARE * (
            self.max_descriptors - FILE_DESCRIPTORS
        )
        by_memory = CALLER_SOCKETS_SHARE * self.memory / SOCKET_MEMORY
        return max(MIN_CALLER_CONNECTIONS, int(min(by_descriptors, by_memory)))
