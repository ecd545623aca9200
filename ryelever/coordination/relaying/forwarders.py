"""Choose the entry hosts that forward requests to servers out of this host's reach."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..host_heartbeats import ForwardingHosts, HostAddress

__all__ = ["Forwarders"]

#: Seconds for which a host that failed to forward a request is avoided.
AVOIDANCE = 1.0


class Forwarders:
    """Choose a host of this zone, or of another zone if this zone's hosts failed.

    Parameters
    ----------
    hosts : callable
        Return the hosts that forward requests at a monotonic time.
    seed : int or None
        Seed of the random choices.
    """

    __slots__ = ("_failed_at_by_host", "_hosts", "_random")

    def __init__(
        self, *, hosts: Callable[..., ForwardingHosts], seed: int | None = None
    ) -> None:
        self._hosts = hosts
        self._random = random.Random(seed)
        self._failed_at_by_host: dict[str, float] = {}

    def choose(self, *, now: float) -> HostAddress | None:
        """Return a host that forwards requests, or None if there is none.

        The partition of a zone's hosts often affects several of them.  Once one of
        them has failed, hosts of other zones are preferred for a while.
        """
        hosts = self._hosts(now=now)
        near = [host for host in hosts.own_zone if not self._has_failed(host, now=now)]
        far = [
            host for host in hosts.other_zones if not self._has_failed(host, now=now)
        ]
        if len(near) < len(hosts.own_zone):
            near, far = far, near
        options = near or far
        return self._random.choice(options) if options else None

    def witnesses(self, *, now: float) -> list[HostAddress]:
        """Return a host of this zone and one of another zone, as far as there are any.

        What keeps one of them from a server seldom keeps the other from it.
        """
        hosts = self._hosts(now=now)
        return [
            self._random.choice(group)
            for group in (hosts.own_zone, hosts.other_zones)
            if group
        ]

    def failed(self, host: str, *, now: float) -> None:
        """Avoid a host that failed to forward a request."""
        self._failed_at_by_host[host] = now

    def _has_failed(self, host: HostAddress, *, now: float) -> bool:
        failed_at = self._failed_at_by_host.get(host.host)
        return failed_at is not None and now - failed_at < AVOIDANCE
