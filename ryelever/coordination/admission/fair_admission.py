"""Admit requests within the accounts' limits, and share capacity fairly."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from ..fair_queue import Ticket
from ..limits import FullLimits
from .accounts import Accounts
from .admission import Admitted, Queued
from .capacity import pool_of
from .estimates import announced_size, expected_wait, min_wait, refusal
from .pools import Pools

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.configuration import ClientAccount
    from ..actions import Arrival
    from ..fair_queue import FairQueue, Flow
    from ..limits import LimitsView
    from .accounts import AccountState
    from .admission import Refused
    from .capacity import Capacity
    from .pools import Pool

__all__ = ["FairAdmission"]

#: Seconds between two calls of ``ready`` or ``expired`` after which the process itself
#: must have been paused.
PAUSE_THRESHOLD = 1.0

#: Seconds between two checks for waiting requests that are certain to be late.
DEADLINE_CHECK_INTERVAL = 0.25


class FairAdmission:
    """Admit, queue or refuse requests, with bounded queues that are fair to accounts.

    Parameters
    ----------
    capacity : Capacity
        Computes how many requests may be in flight in each pool.
    account : callable
        Return an account's declaration in the active configuration, or None.
    limits : LimitsView
        This host's part of each account's limits.
    max_waiting : int
        Number of waiting requests in total from which on an account may queue more
        requests only up to an even part of this number, divided among the accounts that
        wait.
    max_waiting_per_account : int
        Maximum number of waiting requests of one account.
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
        self._tickets_by_latest_start: list[tuple[float, int, Ticket]] = []
        self._sequence = itertools.count()
        self._last_called_at: float | None = None
        self._deadlines_checked_at = float("-inf")
        self._paused_time = 0.0
        self.n_refused = 0

    # Protocol

    def admit(
        self, arrival: Arrival, account: ClientAccount, *, now: float
    ) -> Admitted | Queued | Refused:
        """Admit the request, queue it, or refuse it with a computed retry time."""
        self._accounts.record_arrival(arrival.client_account, account, now=now)
        pool = self._pools.pool_for(arrival)
        flow = pool.queue.flow(
            arrival.client_account, share=account.share, priority=account.priority
        )
        ticket = self._new_ticket(arrival, pool, flow)
        slots = self._pools.slots(pool, now=now)
        if slots <= 0.0 and not pool.queue.n_waiting:
            # No target serves the pool; the router refuses the request at once.
            return self._admit(pool, flow, ticket, slots=slots, now=now)
        if not flow.waiting and self._may_skip_queue(pool, flow, slots=slots, now=now):
            return self._admit(pool, flow, ticket, slots=slots, now=now)
        refused = self._refuse_on_arrival(pool, flow, ticket, slots=slots, now=now)
        if refused is not None:
            return refused
        self._enqueue(pool, flow, ticket, now=now)
        return Queued()

    def release(self, request_id: str, *, now: float) -> None:
        """Free the slot of a request that has ended, or remove it from the queue."""
        ticket = self._tickets_by_request.pop(request_id, None)
        if ticket is None:
            return
        queue = self._pools.pools_by_name[ticket.pool].queue
        was_waiting = ticket.granted_at is None
        if was_waiting:
            queue.remove(ticket)
        else:
            used = max(0.0, now - self._paused_time - ticket.granted_at)
            queue.end(ticket, used=used)
        self._accounts.record_end(
            ticket.client_account, was_waiting=was_waiting, now=now
        )

    def ready(self, *, now: float) -> list[str]:
        """Return the queued requests that are admitted now, in order of admission."""
        self._detect_pause(now)
        granted: list[str] = []
        for pool in self._pools.backlogged():
            granted += self._grant_all(pool, now=now)
        return granted

    def expired(self, *, now: float) -> list[tuple[str, Refused]]:
        """Remove and return the queued requests that cannot meet their deadlines.

        Requests of accounts that are no longer declared are removed as well.
        """
        self._detect_pause(now)
        refusals: list[tuple[str, Refused]] = []
        while (
            self._tickets_by_latest_start and self._tickets_by_latest_start[0][0] < now
        ):
            ticket = heapq.heappop(self._tickets_by_latest_start)[2]
            if self._is_waiting(ticket):
                refusals.append(
                    self._refuse_waiting(ticket, "its deadline cannot be met", now)
                )
        if now - self._deadlines_checked_at < DEADLINE_CHECK_INTERVAL:
            return refusals
        self._deadlines_checked_at = now
        self._accounts.refresh()
        for pool in self._pools.backlogged():
            refusals += self._refuse_certainly_late(pool, now=now)
        return refusals

    # Counts, for the dump and for benchmarks

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the numbers of requests in flight and waiting, by account."""
        return {
            name: {"in_flight": known.n_in_flight, "waiting": known.n_waiting}
            for name, known in self._accounts.states_by_name.items()
        }

    def n_in_flight(self, client_account: str) -> int:
        """Return the number of the account's requests admitted and not released."""
        known = self._accounts.states_by_name.get(client_account)
        return known.n_in_flight if known else 0

    @property
    def n_waiting(self) -> int:
        """Return the number of waiting requests over all accounts."""
        return self._pools.n_waiting

    # Admission

    def _admit(
        self,
        pool: Pool,
        flow: Flow,
        ticket: Ticket,
        *,
        slots: float,
        now: float,
    ) -> Admitted:
        unpaused_now = now - self._paused_time
        pool.queue.grant(flow, ticket, capacity=slots, now=unpaused_now)
        self._tickets_by_request[ticket.request_id] = ticket
        self._accounts.record_admission(flow.client_account, has_waited=False, now=now)
        return Admitted()

    def _enqueue(self, pool: Pool, flow: Flow, ticket: Ticket, *, now: float) -> None:
        pool.queue.push(flow, ticket)
        self._tickets_by_request[ticket.request_id] = ticket
        heapq.heappush(
            self._tickets_by_latest_start,
            (ticket.latest_start, ticket.sequence, ticket),
        )
        self._accounts.record_wait(flow.client_account, now=now)

    def _grant_all(self, pool: Pool, *, now: float) -> list[str]:
        granted: list[str] = []
        slots = self._pools.slots(pool, now=now)
        queue = pool.queue
        if slots <= 0.0:
            return self._admit_all_if_lost(pool, now=now)
        while queue.n_in_flight + 1 <= slots:
            flow = self._next_flow(queue, now=now)
            if flow is None:
                break
            granted.append(self._pop(pool, flow, slots=slots, now=now))
        return granted

    def _admit_all_if_lost(self, pool: Pool, *, now: float) -> list[str]:
        """Admit all waiting requests of a pool that has been without capacity too long.

        The router refuses each of these requests at once with a reason.  In the queue
        the requests would be refused only at their deadlines.
        """
        if not pool.is_lost(now=now):
            return []
        granted = []
        for flow in list(pool.queue.backlogged()):
            while flow.waiting:
                granted.append(self._pop(pool, flow, slots=1.0, now=now))
        return granted

    def _pop(self, pool: Pool, flow: Flow, *, slots: float, now: float) -> str:
        unpaused_now = now - self._paused_time
        ticket = pool.queue.pop(flow, capacity=slots, now=unpaused_now)
        self._accounts.record_admission(flow.client_account, has_waited=True, now=now)
        return ticket.request_id

    def _may_skip_queue(
        self, pool: Pool, flow: Flow, *, slots: float, now: float
    ) -> bool:
        """Return whether a request may be admitted ahead of the waiting requests.

        This is allowed only if all waiting requests are held back by their own
        accounts' limits, since slots are granted as long as any are free.
        """
        if pool.queue.n_in_flight + 1 > slots:
            return False
        if not self._accounts.may_admit(flow.client_account, now=now):
            return False
        return not pool.queue.n_waiting or self._next_flow(pool.queue, now=now) is None

    def _next_flow(self, queue: FairQueue, *, now: float) -> Flow | None:
        """Return the next flow in fair order whose account's limits admit a request."""
        return queue.first(
            lambda flow: self._accounts.may_admit(flow.client_account, now=now)
        )

    # Refusal

    def _refuse_on_arrival(
        self,
        pool: Pool,
        flow: Flow,
        ticket: Ticket,
        *,
        slots: float,
        now: float,
    ) -> Refused | None:
        wait = expected_wait(
            pool.queue, flow, accounts=self._accounts, slots=slots, now=now
        )
        name = ticket.client_account
        known = self._accounts.states_by_name[name]
        if self._queue_is_full(known):
            reason = f"client account {name} has {known.n_waiting} requests waiting"
            return self._refuse(reason, ticket, wait=wait / 2.0)
        late = now + wait - ticket.latest_start
        if late > 0.0:
            reason = f"client account {name} would wait about {wait:.1f} s, too long"
            return self._refuse(reason, ticket, wait=late)
        return None

    def _queue_is_full(self, known: AccountState) -> bool:
        if known.n_waiting >= self._max_waiting_per_account:
            return True
        if self.n_waiting < self._max_waiting:
            return False
        # The queue is full.  Only accounts that already fill an even part of the queue
        # are refused; otherwise a burst of one account would shut out all others.
        states = self._accounts.states_by_name.values()
        n_queues = sum(other.n_waiting > 0 for other in states)
        return known.n_waiting >= self._max_waiting / max(1, n_queues)

    def _refuse(self, reason: str, ticket: Ticket, *, wait: float) -> Refused:
        self.n_refused += 1
        return refusal(reason, request_id=ticket.request_id, wait=wait)

    def _refuse_waiting(
        self, ticket: Ticket, reason: str, now: float
    ) -> tuple[str, Refused]:
        pool = self._pools.pools_by_name[ticket.pool]
        flow = pool.queue.flows_by_account[ticket.client_account]
        slots = self._pools.slots(pool, now=now)
        wait = expected_wait(
            pool.queue, flow, accounts=self._accounts, slots=slots, now=now
        )
        self.release(ticket.request_id, now=now)
        return ticket.request_id, self._refuse(reason, ticket, wait=wait)

    def _refuse_certainly_late(
        self, pool: Pool, *, now: float
    ) -> list[tuple[str, Refused]]:
        """Refuse the requests at the end of each flow that are certain to be late.

        All requests of accounts that are no longer declared are refused too.
        """
        refusals = []
        slots = self._pools.slots(pool, now=now)
        for flow in list(pool.queue.backlogged()):
            name = flow.client_account
            if not self._accounts.is_declared(name):
                reason = f"client account {name} is no longer declared"
                refusals += [
                    self._refuse_waiting(ticket, reason, now)
                    for ticket in list(flow.waiting)
                ]
                continue
            while flow.waiting:
                ticket = flow.waiting[-1]
                wait = min_wait(
                    pool.queue, flow, accounts=self._accounts, slots=slots, now=now
                )
                if now + wait <= ticket.latest_start:
                    break
                refusals.append(
                    self._refuse_waiting(ticket, "its turn cannot come in time", now)
                )
        return refusals

    # State

    def _new_ticket(self, arrival: Arrival, pool: Pool, flow: Flow) -> Ticket:
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

    def _is_waiting(self, ticket: Ticket) -> bool:
        current_ticket = self._tickets_by_request.get(ticket.request_id)
        return current_ticket is ticket and ticket.granted_at is None

    def _detect_pause(self, now: float) -> None:
        # After a pause of the process, every request in flight seems to have run for
        # the whole pause.  If the pause counted as cost, the estimated waits would
        # become so long that requests which could be served in time would be refused
        # for minutes.
        if (
            self._last_called_at is not None
            and now - self._last_called_at > PAUSE_THRESHOLD
        ):
            self._paused_time += now - self._last_called_at
        self._last_called_at = now
