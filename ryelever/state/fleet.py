"""Define hosts as listed by the platform and as reported by the hosts themselves."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HostReport", "ListedHost"]


@dataclass(slots=True, kw_only=True, frozen=True)
class ListedHost:
    """One row of the platform's list of hosts, which may be out of date.

    Attributes
    ----------
    kind : str
        ``"engine"`` or ``"service"``.
    state : str
        ``"live"`` or ``"leaving"``.
    service : str
        Name of the plain service; empty for engines.
    """

    host: str
    address: str
    availability_zone: str
    fabric_domain: str = ""
    accelerators: int = 0
    kind: str = "engine"
    state: str = "live"
    service: str = ""
    checks_fencing: bool = True


@dataclass(slots=True, kw_only=True, frozen=True)
class HostReport:
    """A host's report of its own state.

    Attributes
    ----------
    boot : str
        Id that changes whenever the host's engine restarts.
    group : str
        Group that the host is a member of; empty when idle.
    fencing : int
        Fencing token of the newest order that the host has obeyed.
    state : str
        ``"idle"``, ``"loading"``, ``"ready"``, ``"broken"`` or ``"leaving"``.
    clock_ms : int
        Reading of the engine's monotonic clock; 0 if the engine reports none.  The
        deadline of an order is a reading of this clock, so that the clocks of hosts
        need not be synchronized.
    """

    host: str
    boot: str
    state: str
    group: str = ""
    fencing: int = -1
    rank: int = -1
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    running: int = 0
    waiting: int = 0
    kv_used: float = 0.0
    clock_ms: int = 0
