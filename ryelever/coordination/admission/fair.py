"""Admit requests by account limits, and share out capacity fairly."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from ..limits import FullLimits
from .accounts import Accounts
from .admission import Admitted, Queued
from .capacity import pool_of
from .estimates import announced_size, likely_wait, refusal, shortest_wait
from .fair_queue import Ticket
from .pools import Pools

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.configuration import ClientAccount
    from ..actions import Arrival
    from ..limits import LimitsView
    from .accounts import AccountState
    from .admission import Refused
    from .capacity import Capacity
    from .fair_queue import FairQueue, Flow
    from .pools import Pool

__all__ = ["FairAdmission"]

#: Seconds between two looks after which the process itself must have stood still.
STANDSTILL = 1.0

#: Seconds between two looks for requests that are certain to be late.
SURVEY = 0.25


class FairAdmission:
    """Decide over entry with a bounded queue that is fair among accounts.

    Parameters
    ----------
    capacity : Capacity
        Requests that may be in flight in each pool.
    account : callable
        Return the account as the configuration in force declares it, or None.
    limits : LimitsView
        This host's part of each account's limits.
    max_waiting : int
        Requests that wait at a time in all.
    max_waiting_per_account : int
        Requests of one account that wait at a time.
    """

    def __init__(
        self,
        *,
        capacity: Capacity,
        account: Callable[[str], ClientAccount | None],
        limits: LimitsView | None = None,
        max_waiting: int = 2000,
        max_waiting_per_account: int = 500,
    ) -> None:
        self._accounts = Accounts(declared=account, limits=limits or FullLimits())
        self._max_waiting = max_waiting
        self._max_waiting_per_account = max_waiting_per_account
        self._pools = Pools(capacity=capacity)
        self._tickets_by_request: dict[str, Ticket] = {}
        self._by_latest_start: list[tuple[float, int, Ticket]] = []
        self._sequence = itertools.count()
        self._looked_at: float | None = None
        self._surveyed_at = float("-inf")
        self._stood_still = 0.0
        self.n_refused = 0

    # Protocol

    def admit(
        self, arrival: Arrival, account: ClientAccount, *, now: float
    ) -> Admitted | Queued | Refused:
        """Let the request in, let it wait, or refuse it with a computed time."""
        self._accounts.arrived(arrival.client_account, account, now=now)
        pool = self._pools.of_arrival(arrival)
        flow = pool.queue.flow(
            arrival.client_account, share=account.share, priority=account.priority
        )
        ticket = self._ticket(arrival, pool, flow)
        slots = self._pools.slots(pool, now=now)
        if slots <= 0.0 and not pool.queue.n_waiting:
            # Nothing serves the pool; the router says so at once.
            return self._enter(pool, flow, ticket, slots=slots, now=now)
        if not flow.waiting and self._fits(pool, flow, slots=slots, now=now):
            return self._enter(pool, flow, ticket, slots=slots, now=now)
        refused = self._refuse_now(pool, flow, ticket, slots=slots, now=now)
        if refused is not None:
            return refused
        self._wait(pool, flow, ticket, now=now)
        return Queued()

    def release(self, request_id: str, *, now: float) -> None:
        """Take back what a request held, or take it out of the queue."""
        ticket = self._tickets_by_request.pop(request_id, None)
        if ticket is None:
            return
        queue = self._pools.pools_by_name[ticket.pool].queue
        was_waiting = ticket.granted_at is None
        if was_waiting:
            queue.remove(ticket)
        else:
            used = max(0.0, now - self._stood_still - ticket.granted_at)
            queue.end(ticket, used=used)
        self._accounts.ended(ticket.client_account, was_waiting=was_waiting, now=now)

    def ready(self, *, now: float) -> list[str]:
        """Return the waiting requests that may go on now, best first."""
        self._notice_standstill(now)
        granted: list[str] = []
        for pool in self._pools.backlogged():
            granted += self._grant_all(pool, now=now)
        return granted

    def expired(self, *, now: float) -> list[tuple[str, Refused]]:
        """Return the waiting requests that can no longer be met in time."""
        self._notice_standstill(now)
        ended: list[tuple[str, Refused]] = []
        while self._by_latest_start and self._by_latest_start[0][0] < now:
            ticket = heapq.heappop(self._by_latest_start)[2]
            if self._waits(ticket):
                ended.append(self._give_up(ticket, "its deadline cannot be met", now))
        if now - self._surveyed_at < SURVEY:
            return ended
        self._surveyed_at = now
        self._accounts.reread()
        for pool in self._pools.backlogged():
            ended += self._hopeless(pool, now=now)
        return ended

    # Counts, for the dump and for measurements

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the requests in flight and waiting, by account."""
        return {
            name: {"in_flight": known.n_in_flight, "waiting": known.n_waiting}
            for name, known in self._accounts.states_by_name.items()
        }

    def n_in_flight(self, client_account: str) -> int:
        """Return the account's requests that were let in and not released."""
        known = self._accounts.states_by_name.get(client_account)
        return known.n_in_flight if known else 0

    @property
    def n_waiting(self) -> int:
        """Return the requests that wait, over all accounts."""
        return self._pools.n_waiting

    # Entry

    def _enter(
        self,
        pool: Pool,
        flow: Flow,
        ticket: Ticket,
        *,
        slots: float,
        now: float,
    ) -> Admitted:
        awake = now - self._stood_still
        pool.queue.grant(flow, ticket, capacity=slots, now=awake)
        self._tickets_by_request[ticket.request_id] = ticket
        self._accounts.entered(flow.client_account, has_waited=False, now=now)
        return Admitted()

    def _wait(self, pool: Pool, flow: Flow, ticket: Ticket, *, now: float) -> None:
        pool.queue.push(flow, ticket)
        self._tickets_by_request[ticket.request_id] = ticket
        heapq.heappush(
            self._by_latest_start, (ticket.latest_start, ticket.sequence, ticket)
        )
        self._accounts.waits(flow.client_account, now=now)

    def _grant_all(self, pool: Pool, *, now: float) -> list[str]:
        granted: list[str] = []
        slots = self._pools.slots(pool, now=now)
        queue = pool.queue
        if slots <= 0.0:
            return self._let_go(pool, now=now)
        while queue.n_in_flight + 1 <= slots:
            flow = self._first(queue, now=now)
            if flow is None:
                break
            granted.append(self._pop(pool, flow, slots=slots, now=now))
        return granted

    def _let_go(self, pool: Pool, *, now: float) -> list[str]:
        """Send all that waits on when the pool has had no capacity for a while.

        The router refuses each at once and says why; kept here, they would learn
        of it only at their deadlines.
        """
        if not pool.is_lost(now=now):
            return []
        granted = []
        for flow in list(pool.queue.backlogged()):
            while flow.waiting:
                granted.append(self._pop(pool, flow, slots=1.0, now=now))
        return granted

    def _pop(self, pool: Pool, flow: Flow, *, slots: float, now: float) -> str:
        awake = now - self._stood_still
        ticket = pool.queue.pop(flow, capacity=slots, now=awake)
        self._accounts.entered(flow.client_account, has_waited=True, now=now)
        return ticket.request_id

    def _fits(self, pool: Pool, flow: Flow, *, slots: float, now: float) -> bool:
        """Tell whether a request may enter past the queue.

        Others may wait only if limits of their own hold them up, for slots are
        granted until none is left.
        """
        if pool.queue.n_in_flight + 1 > slots:
            return False
        if not self._accounts.allow(flow.client_account, now=now):
            return False
        return not pool.queue.n_waiting or self._first(pool.queue, now=now) is None

    def _first(self, queue: FairQueue, *, now: float) -> Flow | None:
        """Return the flow whose turn it is among those that their limits let in."""
        return queue.first(
            lambda flow: self._accounts.allow(flow.client_account, now=now)
        )

    # Refusal

    def _refuse_now(
        self,
        pool: Pool,
        flow: Flow,
        ticket: Ticket,
        *,
        slots: float,
        now: float,
    ) -> Refused | None:
        wait = likely_wait(
            pool.queue, flow, accounts=self._accounts, slots=slots, now=now
        )
        name = ticket.client_account
        known = self._accounts.states_by_name[name]
        if self._queue_is_full(known):
            reason = f"client account {name} has {known.n_waiting} requests waiting"
            return self._refused(reason, ticket, wait=wait / 2.0)
        late = now + wait - ticket.latest_start
        if late > 0.0:
            reason = f"client account {name} would wait about {wait:.1f} s, too long"
            return self._refused(reason, ticket, wait=late)
        return None

    def _queue_is_full(self, known: AccountState) -> bool:
        if known.n_waiting >= self._max_waiting_per_account:
            return True
        if self.n_waiting < self._max_waiting:
            return False
        # The queue as a whole is full.  Only those who fill it are refused, or a
        # burst of one account would shut all the others out.
        states = self._accounts.states_by_name.values()
        n_queues = sum(other.n_waiting > 0 for other in states)
        return known.n_waiting >= self._max_waiting / max(1, n_queues)

    def _refused(self, reason: str, ticket: Ticket, *, wait: float) -> Refused:
        self.n_refused += 1
        return refusal(reason, request_id=ticket.request_id, wait=wait)

    def _give_up(self, ticket: Ticket, reason: str, now: float) -> tuple[str, Refused]:
        pool = self._pools.pools_by_name[ticket.pool]
        flow = pool.queue.flows_by_account[ticket.client_account]
        slots = self._pools.slots(pool, now=now)
        wait = likely_wait(
            pool.queue, flow, accounts=self._accounts, slots=slots, now=now
        )
        self.release(ticket.request_id, now=now)
        return ticket.request_id, self._refused(reason, ticket, wait=wait)

    def _hopeless(self, pool: Pool, *, now: float) -> list[tuple[str, Refused]]:
        """Give up the last ones of each flow that are certain to be late."""
        ended = []
        slots = self._pools.slots(pool, now=now)
        for flow in list(pool.queue.backlogged()):
            name = flow.client_account
            if not self._accounts.is_declared(name):
                reason = f"client account {name} is no longer declared"
                ended += [
                    self._give_up(ticket, reason, now) for ticket in list(flow.waiting)
                ]
                continue
            while flow.waiting:
                ticket = flow.waiting[-1]
                wait = shortest_wait(
                    pool.queue, flow, accounts=self._accounts, slots=slots, now=now
                )
                if now + wait <= ticket.latest_start:
                    break
                ended.append(self._give_up(ticket, "its turn cannot come in time", now))
        return ended

    # State

    def _ticket(self, arrival: Arrival, pool: Pool, flow: Flow) -> Ticket:
        size = announced_size(arrival)
        cost = pool.queue.mean_cost
        if flow.cost_per_size is not None:
            cost = flow.cost_per_size * size
        allowed = arrival.deadline - arrival.arrived_at
        return Ticket(
            request_id=arrival.request_id,
            client_account=arrival.client_account,
            pool=pool_of(arrival),
            arrived_at=arrival.arrived_at,
            latest_start=arrival.deadline - min(cost, allowed / 2.0),
            priority=arrival.priority,
            sequence=next(self._sequence),
            size=size,
        )

    def _waits(self, ticket: Ticket) -> bool:
        held = self._tickets_by_request.get(ticket.request_id)
        return held is ticket and ticket.granted_at is None

    def _notice_standstill(self, now: float) -> None:
        # After the process was stopped, every request in flight seems to have run
        # for all that time.  Counted as cost, it would make the estimates so long
        # that what could be served in time is refused for minutes.
        if self._looked_at is not None and now - self._looked_at > STANDSTILL:
            self._stood_still += now - self._looked_at
        self._looked_at = now
