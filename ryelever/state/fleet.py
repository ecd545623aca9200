"""Describe hosts, as the platform lists them and as they report themselves."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HostReport", "ListedHost"]


@dataclass(slots=True, kw_only=True, frozen=True)
class ListedHost:
    """Hold one row of the platform's list, which lags.

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
    """Hold what a host says of itself.

    Attributes
    ----------
    boot : str
        Changes whenever the host's engine starts anew.
    group : str
        Group it belongs to; empty when idle.
    fencing : int
        Fencing number of the newest order that it obeyed.
    state : str
        ``"idle"``, ``"loading"``, ``"ready"``, ``"broken"`` or ``"leaving"``.
    clock_ms : int
        The engine's own monotonic clock; 0 when it gives none.  The deadline of an
        order is a reading of this clock, so no clocks need to agree.
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
