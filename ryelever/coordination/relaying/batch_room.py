"""Decide whether a request may be sent now, from the expected room in all batches.

What other hosts report about a server is some tenths of a second old. A host that took
the reported loads for the current ones would send its waiting requests to each slot
that is reported free, and so would all other hosts. Each host therefore estimates how
many slots are free, subtracts the requests of all hosts that go before a request, and
sends the request with the probability that it is among those of its equals that fit.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from .balance import QUEUED_PER_SERVER

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.directory import BackendServer
    from .levelling import ServerLoad

__all__ = ["BatchRoom", "Competitors"]

#: Maximum part of all slots that is reserved for requests that go before others.
MAX_RESERVED_SHARE = 0.5

#: Last part of the time for which a request may wait, in which those that go before it
#: turn into its equals. If they did so from the start, late requests would take enough
#: slots after a burst that new ones were late for four more seconds.
RISING_SHARE = 1 / 3

#: Part of the free slots that is left to the requests of a rank with a guarantee,
#: whatever goes before them. Otherwise more urgent requests than the groups can run
#: would starve the others.
GUARANTEED_SHARE = 0.12


class Competitors(msgspec.Struct, kw_only=True, frozen=True):
    """The requests that compete with one request for free slots.

    Attributes
    ----------
    n_ahead : int
        Waiting requests of this host that go before the request.
    n_peers_ahead, n_peers_equal : int
        Waiting requests of other hosts that go before the request, and that are its
        equals.
    share_ahead : float
        Part of the arrivals that goes before the request.
    is_guaranteed : bool
        True if ``GUARANTEED_SHARE`` of the free slots is left to the request's rank.
    reserved_time : float
        Seconds for which the average arrival that goes before the request may wait for
        a slot, times ``share_ahead``.
    patience : float
        Part of the time for which the request may wait that is left, from 0 to 1.
    """

    n_ahead: int = 0
    n_peers_ahead: int = 0
    n_peers_equal: int = 0
    share_ahead: float = 0.0
    is_guaranteed: bool = False
    reserved_time: float = 0.0
    patience: float = 1.0


class BatchRoom:
    """Room for one request in the batches of all servers that can run it.

    Parameters
    ----------
    time_left : float
        Seconds until the first event would be late; 0 or less for a late request.
    first_event : float
        Expected seconds to the first event at a server that has a free slot.
    slowness : callable
        Return the factor by which first events take longer at a server.
    effective_slots : callable
        Return the slots by which the loads are levelled.
    mean_duration : float
        Mean seconds that a request is in flight.
    interval : float
        Average age in seconds of what other hosts report.
    peers_share : float
        Part of all requests that other hosts send.
    draw : float
        Random number from 0 to 1, drawn for the request.

    Attributes
    ----------
    n_in_flight : float
        Requests in flight at all servers, as found by the last decision.
    n_expected_by_id : dict of str to float
        Expected requests in flight at each server with room, as found by it.
    """

    __slots__ = (
        "_competitors",
        "_draw",
        "_effective_slots",
        "_first_event",
        "_interval",
        "_mean_duration",
        "_peers_share",
        "_slowness",
        "_time_left",
        "n_expected_by_id",
        "n_in_flight",
    )

    def __init__(
        self,
        *,
        competitors: Competitors,
        time_left: float,
        first_event: float,
        slowness: Callable[[BackendServer], float],
        effective_slots: Callable[[BackendServer], float],
        mean_duration: float,
        interval: float,
        peers_share: float,
        draw: float,
    ) -> None:
        self._competitors = competitors
        self._time_left = time_left
        self._first_event = first_event
        self._slowness = slowness
        self._effective_slots = effective_slots
        self._mean_duration = mean_duration
        self._interval = interval
        self._peers_share = peers_share
        self._draw = draw
        self.n_in_flight = 0.0
        self.n_expected_by_id: dict[str, float] = {}

    def with_room(self, loads: list[ServerLoad], *, scale: float) -> list[ServerLoad]:
        """Return the servers with room if the request may be sent now, else none.

        Parameters
        ----------
        scale : float
            Number of all servers in proportion to those examined.
        """
        ended_share = min(1.0, self._interval / self._mean_duration)
        options = []
        n_free = 0.0
        n_slots = 0
        n_in_flight = 0
        for load in loads:
            n_slots += load.server.slots
            n_in_flight += load.in_flight
            n_ended = ended_share * load.n_peers
            n_expected = load.in_flight - n_ended
            slots = self._effective_slots(load.server)
            n_room = self.limit(load.server, slots=slots) - n_expected
            if n_room > 0:
                n_free += n_room
                self.n_expected_by_id[load.server.id] = n_expected
                options.append((load, n_ended, slots))
        self.n_in_flight = n_in_flight * scale
        n_free *= scale
        n_ahead, n_equal = self._competing(n_slots=n_slots * scale)
        n_left = n_free - n_ahead
        if self._competitors.is_guaranteed:
            n_left = max(n_left, n_free * GUARANTEED_SHARE)
        if self._draw * n_equal >= n_left:
            return []
        return [
            replace(
                load,
                load=load.load - n_ended,
                slots=slots,
            )
            for load, n_ended, slots in options
        ]

    def limit(self, server: BackendServer, *, slots: float) -> float:
        """Return how many requests may be in flight at a server with this one.

        A request that may be on time is queued there only if it still can be so
        afterwards. Late ones are queued there in any case: the server admits those on
        time before them, and has no idle slot while reports are on their way.

        Parameters
        ----------
        slots : float
            Effective slots of the server.
        """
        if self._time_left <= 0.0:
            return slots + QUEUED_PER_SERVER
        spare = self._time_left - self._first_event * self._slowness(server)
        slot_interval = self._mean_duration / max(1, server.slots)
        n_queued = int(max(0.0, spare) / slot_interval)
        return slots + min(QUEUED_PER_SERVER, n_queued)

    def first_event_at(self, server: BackendServer) -> float:
        """Return the expected seconds to the first event at a server with room.

        The request may have to wait there for a slot: the requests in flight vary about
        their expected number with a standard deviation of up to ``sqrt(slots)``.
        Without this part, a group that is merely full would count as slow.
        """
        deviation = math.sqrt(max(1, server.slots))
        excess = self.n_expected_by_id.get(server.id, 0.0) + 1 - server.slots
        # Approximates the mean of the positive part of a normal variable.
        n_queued = max(0.0, excess) + 0.4 * deviation * math.exp(
            -1.4 * abs(excess) / deviation
        )
        return self._first_event + n_queued * self._mean_duration / max(1, server.slots)

    def _competing(self, *, n_slots: float) -> tuple[float, float]:
        """Return how many requests go before this one, and how many are its equals.

        The second number includes this request. In the last part of its wait, those
        that go before it turn into its equals, so that it is served in the end.
        """
        competitors = self._competitors
        # By Little's law, the requests in flight arrive within their mean duration.
        rate = self.n_in_flight / self._mean_duration
        n_sent = rate * self._interval * self._peers_share
        n_reserved = rate * competitors.reserved_time
        n_reserved = min(MAX_RESERVED_SHARE * n_slots, n_reserved)
        n_sent_ahead = n_sent * competitors.share_ahead
        n_ahead = competitors.n_peers_ahead + n_sent_ahead
        first_share = min(1.0, competitors.patience / RISING_SHARE)
        n_first = first_share * n_ahead
        n_equal = competitors.n_peers_equal + n_sent - n_sent_ahead + n_ahead - n_first
        n_reserved *= first_share
        return competitors.n_ahead + n_first + n_reserved, 1 + n_equal
