"""Divide a backend server's rate limit among the entry hosts that send to it."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..host_heartbeats import HostHeartbeat

__all__ = ["TokenBucket", "WantedBy", "share_of"]

#: Seconds of its rate that a host may send at once, where these are more than one
#: request.
BURST = 0.5

#: Part of a token by which sums of times may be off.
ROUNDING = 1e-6


class TokenBucket:
    """Allow requests at a rate, and few at once.

    It starts empty: who begins to send to a server knows nothing of what others have
    just sent there.
    """

    __slots__ = ("_filled_at", "_rate", "_tokens")

    def __init__(self) -> None:
        self._rate = 0.0
        self._tokens = 0.0
        self._filled_at = 0.0

    def set_rate(self, rate: float, *, now: float) -> None:
        """Allow so many requests a second from now on."""
        self._fill(now=now)
        self._rate = rate
        self._tokens = min(self._tokens, self._capacity)

    def has_token(self, *, now: float) -> bool:
        """Tell whether a request may be sent."""
        self._fill(now=now)
        return self._tokens >= 1.0 - ROUNDING

    def take(self, *, now: float) -> None:
        """Count a request."""
        self._fill(now=now)
        self._tokens = max(0.0, self._tokens - 1.0)

    @property
    def rate(self) -> float:
        """Return the requests a second that it allows."""
        return self._rate

    def tokens_within(self, seconds: float, *, now: float) -> float:
        """Return how many requests may be sent until some seconds from now."""
        self._fill(now=now)
        return self._tokens + self._rate * seconds

    @property
    def _capacity(self) -> float:
        return max(1.0, BURST * self._rate) if self._rate else 0.0

    def _fill(self, *, now: float) -> None:
        passed = now - self._filled_at
        self._filled_at = now
        self._tokens = min(self._capacity, self._tokens + self._rate * passed)


class WantedBy:
    """Collect which zones, and which hosts of the own one, want a server.

    Parameters
    ----------
    host, zone : str
        This host and its availability zone.
    all_share : bool
        True where those that want it are not told from the others.
    """

    __slots__ = (
        "_all_share",
        "_hosts",
        "_wanting_hosts",
        "_wanting_zones",
        "_zones",
        "host",
        "zone",
    )

    def __init__(self, *, host: str, zone: str, all_share: bool = False) -> None:
        self._all_share = all_share
        self.host = host
        self.zone = zone
        self._zones = {zone}
        self._hosts = {host}
        self._wanting_zones: set[str] = set()
        self._wanting_hosts: set[str] = set()

    def add_own(self, *, is_wanted: bool) -> None:
        """Count this host."""
        self._add(self.host, self.zone, is_wanted=is_wanted)

    def add(self, heartbeat: HostHeartbeat, *, is_wanted: bool) -> None:
        """Count another host of this zone, or who speaks for another zone."""
        self._add(heartbeat.host, heartbeat.availability_zone, is_wanted=is_wanted)

    @property
    def zones(self) -> set[str]:
        """Return the zones that want the server; all where none does."""
        return self._wanting_zones or self._zones

    @property
    def hosts(self) -> set[str]:
        """Return the hosts of this zone that want it; all where none does."""
        return self._wanting_hosts or self._hosts

    def _add(self, host: str, zone: str, *, is_wanted: bool) -> None:
        self._zones.add(zone)
        is_told_apart = is_wanted and not self._all_share
        if is_told_apart:
            self._wanting_zones.add(zone)
        if zone == self.zone:
            self._hosts.add(host)
            if is_told_apart:
                self._wanting_hosts.add(host)


def share_of(
    server_id: str, rate: float, *, home_zone: str, wanted_by: WantedBy
) -> float:
    """Return the requests a second that a host may send to a server.

    At most half as many hosts have a part as the server takes requests in a second, or
    one: what they can send at once beside their rate is then within half of what it
    takes in a second.  All hosts that hear each other choose the same ones.

    Parameters
    ----------
    rate : float
        Requests a second that the server takes from all hosts.
    home_zone : str
        Its availability zone, whose hosts come first: the way is shorter.
    """
    zones = _ranked(wanted_by.zones, server_id, first=home_zone)
    n_zones = _at_most(rate, zones)
    if wanted_by.zone not in zones[:n_zones]:
        return 0.0
    rate_of_zone = rate / n_zones
    hosts = _ranked(wanted_by.hosts, server_id)
    n_hosts = _at_most(rate_of_zone, hosts)
    if wanted_by.host not in hosts[:n_hosts]:
        return 0.0
    return rate_of_zone / n_hosts


def _at_most(rate: float, names: list[str]) -> int:
    """Return how many have a part of a rate, so that each has two a second or all."""
    return max(1, min(int(rate / 2), len(names)))


def _ranked(names: Iterable[str], server_id: str, *, first: str = "") -> list[str]:
    """Return names in an order that is alike on all hosts, another for each server."""
    return sorted(
        names,
        key=lambda name: (name != first, zlib.crc32(f"{server_id} {name}".encode())),
    )
