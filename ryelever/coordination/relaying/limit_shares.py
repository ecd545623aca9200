"""Divide a backend server's rate limit among the entry hosts that send to it."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..host_heartbeats import HostHeartbeat

__all__ = ["RequestingHosts", "TokenBucket", "share_of"]

#: Capacity of a token bucket in seconds of its rate, unless that is less than one
#: request.
BURST_TIME = 0.5

#: Factor by which a host or zone gets more requests than another one so that they get
#: different parts of a limit, and the requests a second that it gets at least.
CROWDED_FACTOR = 6.0
MIN_CROWD = 4.0

#: Rounding error of summed times, as a fraction of a token.
ROUNDING = 1e-6


class TokenBucket:
    """Token bucket that allows requests at a rate, with a small burst.

    The bucket starts empty: a host that begins to send to a server does not know what
    other hosts have just sent there.
    """

    __slots__ = ("_filled_at", "_rate", "_tokens")

    def __init__(self) -> None:
        self._rate = 0.0
        self._tokens = 0.0
        self._filled_at = 0.0

    def set_rate(self, rate: float, *, now: float) -> None:
        """Set the requests a second to allow from now on."""
        self._fill(now=now)
        self._rate = rate
        self._tokens = min(self._tokens, self._capacity)

    def has_token(self, *, now: float) -> bool:
        """Return whether a request may be sent."""
        self._fill(now=now)
        return self._tokens >= 1.0 - ROUNDING

    def take(self, *, now: float) -> None:
        """Use up a token for a request."""
        self._fill(now=now)
        self._tokens = max(0.0, self._tokens - 1.0)

    @property
    def rate(self) -> float:
        """Return the requests a second that the bucket allows."""
        return self._rate

    def tokens_within(self, seconds: float, *, now: float) -> float:
        """Return how many requests may be sent within the given seconds."""
        self._fill(now=now)
        return self._tokens + self._rate * seconds

    @property
    def _capacity(self) -> float:
        return max(1.0, BURST_TIME * self._rate) if self._rate else 0.0

    def _fill(self, *, now: float) -> None:
        elapsed = now - self._filled_at
        self._filled_at = now
        self._tokens = min(self._capacity, self._tokens + self._rate * elapsed)


class RequestingHosts:
    """Collect the zones, and the hosts of the local zone, with requests for a server.

    Parameters
    ----------
    host, zone : str
        This host and its availability zone.
    include_idle : bool
        True to share the limit among all zones and hosts, whether or not they have
        requests for the server.
    """

    __slots__ = (
        "_include_idle",
        "_arrival_rate_by_host",
        "_arrival_rate_by_zone",
        "_hosts",
        "_requesting_hosts",
        "_requesting_zones",
        "_zones",
        "host",
        "zone",
    )

    def __init__(self, *, host: str, zone: str, include_idle: bool = False) -> None:
        self._include_idle = include_idle
        self.host = host
        self.zone = zone
        self._zones = {zone}
        self._hosts = {host}
        self._arrival_rate_by_zone: dict[str, float] = {}
        self._arrival_rate_by_host: dict[str, float] = {}
        self._requesting_zones: set[str] = set()
        self._requesting_hosts: set[str] = set()

    def add_local(self, *, has_demand: bool, arrival_rate: float = 0.0) -> None:
        """Add this host.

        Parameters
        ----------
        arrival_rate : float
            Requests a second that arrive at this host; 0 if unknown.
        """
        self._arrival_rate_by_zone[self.zone] = (
            self._arrival_rate_by_zone.get(self.zone, 0.0) + arrival_rate
        )
        self._arrival_rate_by_host[self.host] = arrival_rate
        self._add(self.host, self.zone, has_demand=has_demand)

    def add(self, heartbeat: HostHeartbeat, *, has_demand: bool) -> None:
        """Add another host of this zone, or the representative of another zone."""
        zone = heartbeat.availability_zone
        self._arrival_rate_by_zone[zone] = (
            self._arrival_rate_by_zone.get(zone, 0.0) + heartbeat.arrival_rate
        )
        self._arrival_rate_by_host[heartbeat.host] = heartbeat.arrival_rate
        self._add(heartbeat.host, zone, has_demand=has_demand)

    def zone_portions(self) -> list[_Portion]:
        """Return the portions of a limit that zones share equally."""
        return _portions(self.zones, self._arrival_rate_by_zone)

    def host_portions(self) -> list[_Portion]:
        """Return the portions of this zone's share that its hosts share equally."""
        return _portions(self.hosts, self._arrival_rate_by_host)

    @property
    def zones(self) -> set[str]:
        """Return the zones with requests for the server; all zones if none has any."""
        return self._requesting_zones or self._zones

    @property
    def hosts(self) -> set[str]:
        """Return this zone's hosts with requests for the server; all if none has."""
        return self._requesting_hosts or self._hosts

    def _add(self, host: str, zone: str, *, has_demand: bool) -> None:
        self._zones.add(zone)
        is_requesting = has_demand and not self._include_idle
        if is_requesting:
            self._requesting_zones.add(zone)
        if zone == self.zone:
            self._hosts.add(host)
            if is_requesting:
                self._requesting_hosts.add(host)


def share_of(
    server_id: str, rate: float, *, home_zone: str, requesting_hosts: RequestingHosts
) -> float:
    """Return the requests a second that this host may send to a server.

    The number of hosts that get a share is at most half of the server's requests a
    second, but at least one. The bursts that these hosts may send beside their rates
    then add up to at most half of what the server takes in a second, or to one request
    if that is more. All hosts that receive each other's heartbeats select the same
    hosts.

    Parameters
    ----------
    rate : float
        Requests a second that the server takes from all hosts together.
    home_zone : str
        The server's availability zone, whose hosts are preferred because they are
        closer.
    """
    hosts = requesting_hosts
    rate_of_zone = _portion_of(
        server_id, rate, hosts.zone, hosts.zone_portions(), first=home_zone
    )
    return _portion_of(server_id, rate_of_zone, hosts.host, hosts.host_portions())


class _Portion(msgspec.Struct, kw_only=True, frozen=True):
    """Zones or hosts with similar arrival rates, and their portion of a limit."""

    names: frozenset[str]
    ratio: float


def _portions(
    names: set[str], arrival_rate_by_name: dict[str, float]
) -> list[_Portion]:
    """Divide names into those that get most requests and those that get few.

    Callers may gather at one host for seconds. Equal shares would then go mostly to
    hosts without callers. Hosts of the release before don't report their rates, and
    count as equal to the others.
    """
    rates = {name: arrival_rate_by_name.get(name, 0.0) for name in names}
    highest = max(rates.values())
    few = {
        name for name, rate in rates.items() if 0.0 < rate < highest / CROWDED_FACTOR
    }
    if highest < MIN_CROWD or not few or 0.0 in rates.values():
        return [_Portion(names=frozenset(names), ratio=1.0)]
    ratio = sum(rates[name] for name in few) / sum(rates.values())
    return [
        _Portion(names=frozenset(names - few), ratio=1.0 - ratio),
        _Portion(names=frozenset(few), ratio=ratio),
    ]


def _portion_of(
    server_id: str, rate: float, name: str, portions: list[_Portion], *, first: str = ""
) -> float:
    """Return one name's share of a rate."""
    portion = next((item for item in portions if name in item.names), None)
    if portion is None or not rate:
        return 0.0
    rate_of_portion = rate * portion.ratio
    ranked = _ranked(portion.names, server_id, first=first)
    n_sharing = _n_sharing(rate_of_portion, ranked)
    return rate_of_portion / n_sharing if name in ranked[:n_sharing] else 0.0


def _n_sharing(rate: float, names: list[str]) -> int:
    """Return how many of the names share a rate.

    Each of them gets two requests a second or more; a lower rate goes to a single one.
    """
    return max(1, min(int(rate / 2), len(names)))


def _ranked(names: Iterable[str], server_id: str, *, first: str = "") -> list[str]:
    """Sort names in an order that is the same on all hosts but differs by server."""
    return sorted(
        names,
        key=lambda name: (name != first, zlib.crc32(f"{server_id} {name}".encode())),
    )
