"""Spread requests over servers whose reported loads are some tenths of a second old.

Between two heartbeats of an entry host, the other hosts don't know what it sends. If
each host sent to the server that looks least loaded, all would choose the same one
until their next heartbeats, and groups would in turn be full while others are idle.
Each host therefore estimates what the other hosts send in the meantime, and draws among
the servers that would fill up to the same level.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .running_mean import RunningMean

if TYPE_CHECKING:
    from ...state.directory import BackendServer

__all__ = ["ServerLoad", "UnreportedRequests", "spread_weights"]

#: Seconds that a request is assumed to be in flight before any request has ended.
DEFAULT_DURATION = 1.0

#: Minimum seconds that a request counts as in flight, so that the mean is never zero.
MIN_DURATION = 0.001

#: Minimum number of requests to distribute, so that the least loaded server gets a
#: weight above zero.
MIN_ADDED = 1e-6


class ServerLoad(msgspec.Struct, kw_only=True, frozen=True):
    """The load of a server as far as this host knows it.

    Attributes
    ----------
    is_local_zone : bool
        True if the server is in this host's availability zone.
    in_flight : int
        Requests in flight there.
    load : float
        Requests in flight, plus a penalty if other servers are to be preferred.
    n_peers : int
        Requests in flight there that other entry hosts reported.
    slots : float or None
        Slots by which the load is levelled; None for those that the server states.
    """

    server: BackendServer
    is_local_zone: bool
    in_flight: int
    load: float
    n_peers: int = 0
    slots: float | None = None

    @property
    def size(self) -> float:
        """Return the number of slots by which the load is levelled."""
        return self.server.slots if self.slots is None else self.slots


class UnreportedRequests:
    """Estimate how many requests other hosts have sent since their last heartbeats.

    Attributes
    ----------
    interval : float
        Seconds between two heartbeats of a host of this zone.
    """

    __slots__ = ("_durations_by_work", "_local_share", "_remote_share", "interval")

    def __init__(self) -> None:
        self.interval = 0.0
        self._local_share = 0.0
        self._remote_share = 0.0
        self._durations_by_work: dict[tuple[str, str], RunningMean] = {}

    def set_interval(self, *, interval: float, n_zone_peers: int, n_hosts: int) -> None:
        """Set how often, and from how many hosts, heartbeats are received."""
        self.interval = interval
        self._local_share = n_zone_peers / max(1, n_hosts)
        self._remote_share = max(0, n_hosts - n_zone_peers - 1) / max(1, n_hosts)

    @property
    def peers_share(self) -> float:
        """Return the part of all entry hosts that are other hosts."""
        return self._local_share + self._remote_share

    def record_duration(self, work: tuple[str, str], seconds: float) -> None:
        """Record for how many seconds a request was in flight."""
        self._durations_by_work.setdefault(work, RunningMean()).add(seconds)

    def mean_durations(self) -> dict[str, float]:
        """Return the mean seconds that requests are in flight, by service and model."""
        return {
            " ".join(work).strip(): durations.mean
            for work, durations in self._durations_by_work.items()
        }

    def mean_duration(self, work: tuple[str, str]) -> float:
        """Return the mean seconds that requests are in flight, or the default."""
        durations = self._durations_by_work.get(work)
        if durations is None:
            return DEFAULT_DURATION
        return max(MIN_DURATION, durations.mean)

    def expected(
        self, work: tuple[str, str], *, n_in_flight: float
    ) -> tuple[float, float]:
        """Estimate how many requests other hosts have sent since their last heartbeats.

        The first number is for hosts of this zone, the second for hosts of other zones.
        By Little's law, as many requests are sent during the mean duration of a request
        as are in flight.
        """
        n_new = n_in_flight * self.interval / self.mean_duration(work)
        return n_new * self._local_share, n_new * self._remote_share


def spread_weights(
    options: list[ServerLoad], *, local: float, remote: float, remote_penalty: float
) -> list[float]:
    """Return the weights with which to draw a server.

    Requests from hosts of other zones are assumed to go to the servers of those zones
    first, which raises the load of these servers. Requests from this zone's hosts go
    where they level the loads; servers of other zones count as more loaded by
    ``remote_penalty``.

    Parameters
    ----------
    local, remote : float
        Requests that hosts of this zone and of other zones have sent and not reported
        yet.
    remote_penalty : float
        Number of requests by which a server of another zone counts as more loaded.
    """
    loads = [option.load for option in options]
    sizes = [option.size for option in options]
    remote_indices = [
        index for index, option in enumerate(options) if not option.is_local_zone
    ]
    sent = _water_fill(
        [loads[i] for i in remote_indices], [sizes[i] for i in remote_indices], remote
    )
    for index, amount in zip(remote_indices, sent, strict=True):
        loads[index] += remote_penalty + amount
    return _water_fill(loads, sizes, max(local, MIN_ADDED))


def _water_fill(loads: list[float], sizes: list[float], amount: float) -> list[float]:
    """Return how many requests each server gets, the least loaded ones first.

    The requests fill the servers to a common level of load per slot; servers above that
    level get nothing.
    """
    utilizations = [load / size for load, size in zip(loads, sizes, strict=True)]
    level = 0.0
    n_slots = 0.0
    total = amount
    for index in sorted(range(len(loads)), key=utilizations.__getitem__):
        if n_slots and utilizations[index] >= level:
            break
        n_slots += sizes[index]
        total += loads[index]
        level = total / n_slots
    return [
        max(0.0, level * size - load) for load, size in zip(loads, sizes, strict=True)
    ]
