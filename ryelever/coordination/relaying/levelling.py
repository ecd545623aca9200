"""Spread requests over servers whose loads were told some tenths of a second ago.

Between two words of an entry host the others send on without its knowing.  Where each
sends to the server that looks least loaded, all send to that one until they hear of
each other: some groups are full while others idle, by turns.  So a host reckons with
what the others send meanwhile, and draws among the servers that it would level out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .running_mean import RunningMean

if TYPE_CHECKING:
    from ...state.directory import BackendServer

__all__ = ["ServerLoad", "UnreportedRequests", "spread"]

#: Seconds for which a request is taken to be under way before any has ended.
USUAL_TIME = 1.0

#: Seconds for which one is under way at the least, so that a mean is never nothing.
LEAST_TIME = 0.001

#: Requests that are poured at the least, so that the least loaded server shows.
LEAST_POURED = 1e-6


class ServerLoad(msgspec.Struct, kw_only=True, frozen=True):
    """Hold how many requests a server has, as far as this host has heard.

    Attributes
    ----------
    is_near : bool
        True where it is in this host's availability zone.
    in_flight : int
        Requests under way there.
    load : float
        The same, and more where it is to come after others.
    """

    server: BackendServer
    is_near: bool
    in_flight: int
    load: float


class UnreportedRequests:
    """Estimate how many requests other hosts have sent since they last told."""

    __slots__ = ("_far_share", "_interval", "_near_share", "_times_by_work")

    def __init__(self) -> None:
        self._interval = 0.0
        self._near_share = 0.0
        self._far_share = 0.0
        self._times_by_work: dict[tuple[str, str], RunningMean] = {}

    def hear(self, *, interval: float, n_near: int, n_hosts: int) -> None:
        """Take how often and from how many hosts words come."""
        self._interval = interval
        self._near_share = n_near / max(1, n_hosts)
        self._far_share = max(0, n_hosts - n_near - 1) / max(1, n_hosts)

    def took(self, work: tuple[str, str], seconds: float) -> None:
        """Take for how long a request was under way."""
        self._times_by_work.setdefault(work, RunningMean()).add(seconds)

    def times_by_work(self) -> dict[str, float]:
        """Return the mean seconds for which requests are under way, by their kind."""
        return {
            " ".join(work).strip(): times.mean
            for work, times in self._times_by_work.items()
        }

    def expected(
        self, work: tuple[str, str], *, n_in_flight: float
    ) -> tuple[float, float]:
        """Return how many requests near and far hosts sent since they last told.

        As many come in the time for which one is under way as are in flight.
        """
        times = self._times_by_work.get(work)
        mean = USUAL_TIME if times is None else max(LEAST_TIME, times.mean)
        n_new = n_in_flight * self._interval / mean
        return n_new * self._near_share, n_new * self._far_share


def spread(
    options: list[ServerLoad], *, near: float, far: float, distance: float
) -> list[float]:
    """Return the weights by which a server is to be drawn.

    What the hosts of other zones send goes to their own servers first, so that these
    count as fuller by it; what this zone's hosts send goes where it levels out the
    loads, far servers counting as more loaded by the distance.

    Parameters
    ----------
    near, far : float
        Requests that hosts of this zone and of others have sent unheard.
    distance : float
        Requests by which a far server counts as more loaded.
    """
    loads = [option.load for option in options]
    sizes = [option.server.slots for option in options]
    theirs = [index for index, option in enumerate(options) if not option.is_near]
    sent = _poured([loads[i] for i in theirs], [sizes[i] for i in theirs], far)
    for index, amount in zip(theirs, sent, strict=True):
        loads[index] += distance + amount
    return _poured(loads, sizes, max(near, LEAST_POURED))


def _poured(loads: list[float], sizes: list[int], amount: float) -> list[float]:
    """Return what each server gets when requests are poured on the least loaded."""
    fillings = [load / size for load, size in zip(loads, sizes, strict=True)]
    level = 0.0
    n_places = 0
    held = amount
    for index in sorted(range(len(loads)), key=fillings.__getitem__):
        if n_places and fillings[index] >= level:
            break
        n_places += sizes[index]
        held += loads[index]
        level = held / n_places
    return [
        max(0.0, level * size - load) for load, size in zip(loads, sizes, strict=True)
    ]
