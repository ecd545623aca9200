"""Order, hold and refuse the requests of services whose capacity callers share.

``RelayRequests`` sends the requests; this module says which of the waiting ones may be
sent, and which can't be served in time any more.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from ...relay_settings import ContentionMode
from .batch_room import BatchRoom, Competitors
from .caller_ages import CallerAges
from .first_event import FirstEventEstimate
from .peer_counts import PeerCounts
from .rank_shares import RankShares
from .ranks import clamped_rank, rank_step
from .request import RequestPhase
from .wait_estimate import WaitEstimate, latest_useful_start

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...state.directory import BackendServer
    from ...state.routes import RouteTable
    from .balance import Balancer
    from .rank_shares import Order
    from .request import RelayRequest

__all__ = ["NO_SERVER_WAIT", "Contention"]

#: Seconds for which a request waits while there is no server to which it may be sent:
#: a group may open.
NO_SERVER_WAIT = 2.0

#: Seconds before a caller gives up at which it must have its first event or refusal.
GIVING_UP_MARGIN = 0.3

#: Part of the time for which a request may wait that is left when its rank begins to
#: have a guarantee.
GUARANTEED_PATIENCE = 0.5

#: Seconds for which a count of the slots of all servers is used.
COUNT_INTERVAL = 0.25

#: Seconds between two ticks from which on the process counts as suspended. Ticks are
#: at most 0.1 s apart.
SUSPENSION = 1.0


class _Fleet(msgspec.Struct, kw_only=True):
    """What is known of the servers that run the requests of one service and model."""

    n_slots: int = 0
    n_slots_at: float = float("-inf")
    n_in_flight: float = 0.0


class Contention:
    """Decide about the requests of contended services.

    Parameters
    ----------
    mode : ContentionMode
        Whether the capacity of engine services is shared among callers.
    seed : int or None
        Seed of the random draws.
    """

    __slots__ = (
        "_ages",
        "_balancer",
        "_first_events",
        "_fleets_by_work",
        "_mode",
        "_peer_counts",
        "_random",
        "_resumed_at",
        "_shares",
        "_ticked_at",
    )

    def __init__(
        self,
        *,
        mode: ContentionMode,
        balancer: Balancer,
        seed: int | None = None,
    ) -> None:
        self._mode = mode
        self._balancer = balancer
        self._first_events = FirstEventEstimate()
        self._shares = RankShares()
        self._peer_counts = PeerCounts()
        self._ages = CallerAges()
        self._fleets_by_work: dict[tuple[str, str], _Fleet] = {}
        self._random = random.Random(seed)
        self._ticked_at: float | None = None
        self._resumed_at = float("-inf")

    def arrived(
        self, request: RelayRequest, route_table: RouteTable, *, now: float
    ) -> None:
        """Find out how long a stream may take, and whether its service is contended."""
        model = request.arrival.model
        if not request.is_stream:
            return
        service = route_table.services_by_name.get(request.service)
        engine = None if service is None else service.engine
        if engine is None or model not in engine.models_by_name:
            return
        request.expected_first_event = self._first_events.expected(
            engine, model, n_prompt=request.arrival.n_prompt, n_running=engine.slots
        )
        if not route_table.is_contended(request.service, self._mode):
            return
        request.contended = True
        request.rank = clamped_rank((request.priority, request.route.priority))
        request.age_at_arrival = self._ages.age(request.route, request.arrival)
        request.on_time_until -= request.age_at_arrival
        self._shares.record(
            request.work,
            self.order(request, now=now),
            may_wait=_time_left(request, now=now) - request.expected_first_event,
            now=now,
        )

    def waits_until(self, request: RelayRequest, *, now: float) -> float:
        """Return the time until which a request waits that begins to wait now."""
        if request.phase is RequestPhase.STREAMING:
            return min(now + NO_SERVER_WAIT, request.times_out_at)
        if not self._has_server(request, now=now):
            return min(now + NO_SERVER_WAIT, _latest_refusal(request))
        return self._latest_start(request)

    def renew_wait(self, request: RelayRequest, *, now: float) -> None:
        """Let a waiting request wait longer if a group has opened, or less if none is.

        A stream that has started waits until the time that was set at first.
        """
        if request.phase is RequestPhase.STREAMING:
            return
        if self._has_server(request, now=now):
            request.waits_until = self._latest_start(request)
        else:
            request.waits_until = min(
                request.waits_until, now + NO_SERVER_WAIT, _latest_refusal(request)
            )

    def renew_draws(self, waiting: Iterable[RelayRequest], *, now: float) -> None:
        """Renew the draws of waiting requests, given in the order of their dispatch.

        Among equals, the lowest draws go to those that are dispatched first: how many
        of them a host may send is drawn, and not which.
        """
        interval = self._balancer.heartbeat_interval
        equals: dict[tuple[tuple[str, str], Order], list[RelayRequest]] = {}
        for request in waiting:
            if now >= request.drawn_until:
                request.draw = self._random.random()
                request.drawn_until = now + interval
            key = (request.work, self.order(request, now=now))
            equals.setdefault(key, []).append(request)
        for requests in equals.values():
            draws = sorted((item.draw, item.drawn_until) for item in requests)
            for request, (draw, drawn_until) in zip(requests, draws, strict=True):
                request.draw = draw
                request.drawn_until = drawn_until

    def order(self, request: RelayRequest, *, now: float) -> Order:
        """Return whether a request is late, and the step of its rank."""
        return now > request.on_time_until, rank_step(request.rank)

    def room(
        self,
        request: RelayRequest,
        *,
        n_ahead: int,
        is_guaranteed: bool,
        now: float,
    ) -> BatchRoom:
        """Return the room that there is for a request.

        Parameters
        ----------
        n_ahead : int
            Waiting requests of this host for the same work that go before it.
        is_guaranteed : bool
            Whether a part of the free slots is left to the request's rank.
        """
        balancer = self._balancer
        order = self.order(request, now=now)
        share_ahead, reserved_time = self._shares.ahead(request.work, order, now=now)
        n_peers_ahead, n_peers_equal = self._n_peers_waiting(request.work, order)
        first_events = self._first_events

        def slowness(server: BackendServer) -> float:
            return first_events.slowness(server.id, now)

        def effective_slots(server: BackendServer) -> float:
            return first_events.effective_slots(server, now)

        return BatchRoom(
            competitors=Competitors(
                n_ahead=n_ahead,
                n_peers_ahead=n_peers_ahead,
                n_peers_equal=n_peers_equal,
                share_ahead=share_ahead,
                is_guaranteed=is_guaranteed,
                reserved_time=reserved_time,
                patience=_patience(request, now=now),
            ),
            time_left=0.0 if order[0] else _time_left(request, now=now),
            first_event=request.expected_first_event,
            slowness=slowness,
            effective_slots=effective_slots,
            mean_duration=balancer.mean_duration(*request.work),
            interval=balancer.heartbeat_interval,
            peers_share=balancer.peers_share,
            draw=request.draw,
        )

    def is_guaranteed(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether a part of the free slots is left to a request's rank."""
        if _patience(request, now=now) >= GUARANTEED_PATIENCE:
            return False
        order = self.order(request, now=now)
        return self._shares.is_outranked(request.work, order, now=now)

    def examined(self, request: RelayRequest, room: BatchRoom) -> None:
        """Remember what a decision about a request has found."""
        self._fleet(request.work).n_in_flight = room.n_in_flight
        if request.attempt is not None:
            server = self._balancer.directory.by_id[request.attempt.server_id]
            request.expected_at_server = room.first_event_at(server)

    def estimate(
        self, request: RelayRequest, *, n_ahead: int, now: float
    ) -> WaitEstimate:
        """Estimate how long a request waits.

        Parameters
        ----------
        n_ahead : int
            Waiting requests of this host for the same work that go before it.
        """
        work = request.work
        order = self.order(request, now=now)
        return WaitEstimate(
            n_ahead=n_ahead + sum(self._n_peers_waiting(work, order)),
            n_slots=self._n_slots(work, now=now),
            n_in_flight=self._fleet(work).n_in_flight,
            share_ahead=self._shares.ahead(work, order, now=now)[0],
            mean_duration=self._balancer.mean_duration(*work),
        )

    def is_hopeless(
        self, request: RelayRequest, estimate: WaitEstimate, *, now: float
    ) -> bool:
        """Return whether a request that hasn't begun can't be served in time.

        A stream that has started waits as long as it can: a slot may become free by
        chance, and the stream would break off otherwise.
        """
        if request.phase is RequestPhase.STREAMING:
            return False
        latest_start = self._latest_start(request)
        return estimate.is_hopeless(latest_start=latest_start, now=now)

    def is_untried_left(self, request: RelayRequest) -> bool:
        """Return whether a request was not yet sent to all usable servers.

        A request that was sent to none counts as one that was not, even if no server
        is usable.
        """
        if not request.tried:
            return True
        return self._balancer.has_usable(*request.work, excluded=request.tried)

    def _has_server(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether a request may be sent to some server once there is room."""
        return self._n_slots(request.work, now=now) > 0 and self.is_untried_left(
            request
        )

    def _latest_start(self, request: RelayRequest) -> float:
        """Return the time after which a slot is of no use to a request's caller."""
        mean_duration = self._balancer.mean_duration(*request.work)
        latest = latest_useful_start(request.times_out_at, mean_duration=mean_duration)
        return min(latest, _latest_reply(request) - request.expected_first_event)

    # Observations

    def first_event(self, request: RelayRequest, *, now: float) -> None:
        """Record how long the first event of an attempt took."""
        if request.contended and self.observes(request.sent_at, now=now):
            self._first_events.observe(
                request.attempt.server_id,
                expected=request.expected_at_server,
                seconds=now - request.sent_at,
                now=now,
            )

    def ticked(self, *, now: float) -> None:
        """Note a tick, to notice that the process was suspended."""
        self.observes(now, now=now)
        self._ticked_at = now

    def observes(self, began_at: float, *, now: float) -> bool:
        """Return whether durations since a time are those of servers.

        They are not if this process was suspended meanwhile.
        """
        if self._ticked_at is not None and now - self._ticked_at >= SUSPENSION:
            self._resumed_at = now
        return began_at >= self._resumed_at

    def _fleet(self, work: tuple[str, str]) -> _Fleet:
        return self._fleets_by_work.setdefault(work, _Fleet())

    def _n_slots(self, work: tuple[str, str], *, now: float) -> int:
        """Return the slots of all usable servers, counted at most every quarter second.

        No slots are never taken from the last count, since a group may have opened.
        """
        fleet = self._fleet(work)
        if not fleet.n_slots or now - fleet.n_slots_at >= COUNT_INTERVAL:
            fleet.n_slots = self._balancer.n_usable_slots(*work)
            fleet.n_slots_at = now
        return fleet.n_slots

    def _n_peers_waiting(self, work: tuple[str, str], order: Order) -> tuple[int, int]:
        """Return how many requests of other hosts go before a request or equal it."""
        return self._peer_counts.ahead(self._balancer.peers_waiting, work, order)


def _latest_refusal(request: RelayRequest) -> float:
    """Return the time until which a caller that has got no event notices a refusal."""
    return min(request.times_out_at, _latest_reply(request))


def _latest_reply(request: RelayRequest) -> float:
    """Return the time at which a caller without an event is about to give up."""
    gives_up_at = request.arrival.arrived_at + request.route.caller_patience
    return gives_up_at - GIVING_UP_MARGIN


def _patience(request: RelayRequest, *, now: float) -> float:
    """Return the part of the time for which a request may wait that is left."""
    may_wait = max(request.waits_until - request.arrival.arrived_at, 1e-3)
    return min(1.0, max(0.0, request.waits_until - now) / may_wait)


def _time_left(request: RelayRequest, *, now: float) -> float:
    """Return the seconds until the first event of a request would be late."""
    elapsed = now - request.arrival.arrived_at + request.age_at_arrival
    return request.route.latency_objective - elapsed
