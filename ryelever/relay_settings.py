"""Hold the checked settings of an entry host that relays requests unchanged."""

from __future__ import annotations

import msgspec

__all__ = ["RelaySettings"]


class RelaySettings(msgspec.Struct, kw_only=True, frozen=True):
    """Hold what one process is told at its start; times are in seconds.

    Attributes
    ----------
    ports : tuple of (int, int)
        First and last port that are free for what entry hosts tell each other.
    zones : tuple of str
        All availability zones, sorted.
    store_partitions : int
        Partitions of each topic of the store.
    grace : float
        From the signal to stop to the kill.
    stall_time : float
        For which a group stands still when a member is lost, before it breaks off.
    repeat_ratio, repeat_window, repeat_slack : float
        Sendings beyond the first that all entry hosts may make in any window: a
        share of the requests in it, plus the slack.
    last_bytes : float
        Kept of the grace for the last answers to leave.
    link_rate : float
        Bytes a second that the host's link carries.
    metrics_port : int
        Where the metrics are served on an address of their own; 0 for nowhere.
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
    metrics_port: int = 0

    @property
    def peers_address(self) -> str:
        """Return where peers are listened to; port 0 picks a free one."""
        return f"{self.ip}:{self.ports[0]}"
