"""Order the waiting requests of contended services fairly among ranks and accounts.

Requests for the same service and model compete for the same slots. Each of their ranks
has two fair queues: one of requests that may still be on time, and one of late ones.
"""

from __future__ import annotations

from collections import Counter
from itertools import accumulate
from typing import TYPE_CHECKING

import msgspec

from ...state.observations import WaitingRow
from ..fair_queue import FairQueue, Ticket
from .ranks import clamped_rank, rank_step

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from .request import RelayRequest

__all__ = ["FairOrder"]

#: Prompt tokens that take as much work as one token of an answer. A prompt is processed
#: many tokens at a time.
PROMPT_TOKENS_PER_ANSWER_TOKEN = 10.0

#: Work of a usual request, which makes the numbers of the fair queues readable.
USUAL_WORK = 2000.0

#: Number of slots, of which each account has a share of 1. Only the ratios of the
#: accounts' work matter here, since the balancer knows how many slots are free.
SLOTS = 1.0


class _QueueKey(msgspec.Struct, kw_only=True, frozen=True, order=True):
    """What the requests of one fair queue have in common, in the order of dispatch."""

    late: bool
    step: int
    service: str
    model: str

    @property
    def work(self) -> tuple[str, str]:
        """Return the service and the model."""
        return self.service, self.model


class _Entry(msgspec.Struct, kw_only=True, eq=False):
    """A request that waits, or that was sent and has not ended."""

    request: RelayRequest
    key: _QueueKey
    ticket: Ticket

    @property
    def is_waiting(self) -> bool:
        """Return whether the request waits for a slot."""
        return self.ticket.granted_at is None


class FairOrder:
    """Waiting requests of contended services, in fair order.

    Requests that may still be on time come before late ones. Within both sets, the rank
    with the oldest request comes first; a step of rank is worth ``fair_queue.AGEING``
    seconds. For late requests, the time at which they can no longer be served replaces
    that of their arrival. Within a rank, accounts take turns.

    Parameters
    ----------
    usual_answer : callable
        Return the usual number of tokens in an answer of a service.
    """

    __slots__ = ("_entries_by_number", "_queues_by_key", "_usual_answer")

    def __init__(self, *, usual_answer: Callable[[str], float]) -> None:
        self._usual_answer = usual_answer
        self._entries_by_number: dict[int, _Entry] = {}
        self._queues_by_key: dict[_QueueKey, FairQueue] = {}

    @property
    def n_waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(queue.n_waiting for queue in self._queues_by_key.values())

    def n_waiting_of(self, account: str) -> int:
        """Return the number of an account's waiting requests."""
        flows = (
            queue.flows_by_account.get(account)
            for queue in self._queues_by_key.values()
        )
        return sum(len(flow.waiting) for flow in flows if flow is not None)

    def rows(self) -> tuple[WaitingRow, ...]:
        """Return the counts of waiting requests, the largest first.

        Whether requests are late was determined when they were last ordered.
        """
        counts = Counter(
            (
                entry.key.service,
                entry.key.model,
                clamped_rank(entry.request.rank),
                entry.key.late,
            )
            for entry in self._waiting()
        )
        return tuple(
            WaitingRow(service=service, model=model, rank=rank, late=late, count=count)
            for (service, model, rank, late), count in counts.most_common()
        )

    def _waiting(self) -> Iterator[_Entry]:
        return (item for item in self._entries_by_number.values() if item.is_waiting)

    def add(self, request: RelayRequest, *, now: float) -> None:
        """Add a waiting request."""
        self._remove(request)
        late = now > request.on_time_until
        step = rank_step(request.rank)
        key = _QueueKey(
            late=late, step=step, service=request.service, model=request.arrival.model
        )
        ticket = self._new_ticket(request, step=step, late=late)
        queue = self._queues_by_key.get(key)
        if queue is None:
            queue = self._queues_by_key[key] = FairQueue(keeps_debts=True)
        flow = queue.flow(request.account, share=1.0, priority=0)
        # The size of a request is its expected work already.
        flow.cost_per_size = 1.0
        queue.push(flow, ticket)
        self._entries_by_number[request.number] = _Entry(
            request=request, key=key, ticket=ticket
        )

    def sent(self, request: RelayRequest) -> None:
        """Charge the account of a waiting request that was sent."""
        entry = self._entries_by_number.get(request.number)
        if entry is not None and entry.is_waiting:
            self._queues_by_key[entry.key].pop_ticket(
                entry.ticket, capacity=SLOTS, now=request.sent_at
            )

    def discard(self, request: RelayRequest) -> None:
        """Remove a request that waits, or that was sent and has ended.

        A request with an attempt in progress keeps counting as in flight.
        """
        entry = self._entries_by_number.get(request.number)
        if entry is not None and (entry.is_waiting or request.attempt is None):
            self._remove(request)

    def sorted_for_dispatch(
        self, *, now: float, work: tuple[str, str] | None = None
    ) -> list[RelayRequest]:
        """Return the waiting requests in order; accounts are not charged.

        Parameters
        ----------
        work : tuple of str or None
            Service and model whose requests are returned; those of all if None.
        """
        self._move_late(now=now)
        ranked: list[tuple[tuple[bool, float], int]] = []
        for key in sorted(self._queues_by_key):
            if work is not None and key.work != work:
                continue
            tickets = self._queues_by_key[key].service_order()
            # A rank is as old as its oldest request, whichever account is next.
            # Otherwise a new request whose account's turn it is would let less urgent
            # requests overtake all others of its rank.
            oldest = list(accumulate((t.order()[0] for t in reversed(tickets)), min))
            for ticket, first in zip(tickets, reversed(oldest), strict=True):
                ranked.append(((key.late, first), ticket.sequence))
        ranked.sort(key=lambda item: item[0])
        return [self._entries_by_number[number].request for _, number in ranked]

    def _move_late(self, *, now: float) -> None:
        """Move the requests that have become late to the queues of late ones."""
        newly_late = [
            entry.request
            for entry in self._waiting()
            if not entry.key.late and now > entry.request.on_time_until
        ]
        for request in newly_late:
            self.add(request, now=now)

    def _remove(self, request: RelayRequest) -> None:
        entry = self._entries_by_number.pop(request.number, None)
        if entry is None:
            return
        queue = self._queues_by_key[entry.key]
        if entry.is_waiting:
            queue.remove(entry.ticket)
        else:
            queue.end(entry.ticket, used=entry.ticket.size)
        # Callers choose the names of models: without this, queues of unknown models
        # would stay permanently.
        if not queue.n_waiting and not queue.n_in_flight:
            del self._queues_by_key[entry.key]

    def _new_ticket(self, request: RelayRequest, *, step: int, late: bool) -> Ticket:
        arrival = request.arrival
        answer = self._usual_answer(request.service) * PROMPT_TOKENS_PER_ANSWER_TOKEN
        work = max(0, arrival.n_prompt) + max(0.0, answer)
        arrived_at = arrival.arrived_at - max(0.0, request.age_at_arrival)
        return Ticket(
            request_id=arrival.request_id,
            client_account=request.account,
            pool=arrival.model,
            arrived_at=request.times_out_at if late else arrived_at,
            latest_start=request.times_out_at,
            priority=-step,
            sequence=request.number,
            size=max(1.0, work) / USUAL_WORK,
        )
