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
    """

    server: BackendServer
    is_local_zone: bool
    in_flight: int
    load: float


class UnreportedRequests:
    """Estimate how many requests other hosts have sent since their last heartbeats."""

    __slots__ = ("_far_share", "_interval", "_near_share", "_durations_by_work")

    def __init__(self) -> None:
        self._interval = 0.0
        self._near_share = 0.0
        self._far_share = 0.0
        self._durations_by_work: dict[tuple[str, str], RunningMean] = {}

    def set_interval(self, *, interval: float, n_near: int, n_hosts: int) -> None:
        """Set how often, and from how many hosts, heartbeats are received."""
        self._interval = interval
        self._near_share = n_near / max(1, n_hosts)
        self._far_share = max(0, n_hosts - n_near - 1) / max(1, n_hosts)

    def record_duration(self, work: tuple[str, str], seconds: float) -> None:
        """Record for how many seconds a request was in flight."""
        self._durations_by_work.setdefault(work, RunningMean()).add(seconds)

    def mean_durations(self) -> dict[str, float]:
        """Return the mean seconds that requests are in flight, by service and model."""
        return {
            " ".join(work).strip(): durations.mean
            for work, durations in self._durations_by_work.items()
        }

    def expected(
        self, work: tuple[str, str], *, n_in_flight: float
    ) -> tuple[float, float]:
        """Return how many requests hosts have sent since their last heartbeats.

        The first number is for hosts of this zone, the second for hosts of other zones.
        In the mean time that one request is in flight, as many new requests are sent as
        are in flight at once.
        """
        durations = self._durations_by_work.get(work)
        mean = (
            DEFAULT_DURATION if durations is None else max(MIN_DURATION, durations.mean)
        )
        n_new = n_in_flight * self._interval / mean
        return n_new * self._near_share, n_new * self._far_share


def spread_weights(
    options: list[ServerLoad], *, near: float, far: float, distance: float
) -> list[float]:
    """Return the weights with which to draw a server.

    Requests from hosts of other zones are assumed to go to the servers of those zones
    first, which raises the load of these servers. Requests from this zone's hosts go
    where they level the loads; servers of other zones count as more loaded by
    ``distance``.

    Parameters
    ----------
    near, far : float
        Requests that hosts of this zone and of other zones have sent and not reported
        yet.
    distance : float
        Number of requests by which a server of another zone counts as more loaded.
    """
    loads = [option.load for option in options]
    sizes = [option.server.slots for option in options]
    far_indices = [
        index for index, option in enumerate(options) if not option.is_local_zone
    ]
    sent = _water_fill(
        [loads[i] for i in far_indices], [sizes[i] for i in far_indices], far
    )
    for index, amount in zip(far_indices, sent, strict=True):
        loads[index] += distance + amount
    return _water_fill(loads, sizes, max(near, MIN_ADDED))


def _water_fill(loads: list[float], sizes: list[int], amount: float) -> list[float]:
    """Return each server's part of some requests, given to the least loaded first.

    The requests fill the servers to a common level of load per slot; servers above that
    level get nothing.
    """
    utilizations = [load / size for load, size in zip(loads, sizes, strict=True)]
    level = 0.0
    n_slots = 0
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
