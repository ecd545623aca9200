"""Admit requests by account limits, and share out capacity fairly."""

from __future__ import annotations

import heapq
import itertools
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .actions import ChatWork
from .admission import Admitted, Queued, Refused
from .admission_capacity import pool_of
from .fair_queue import FairQueue, Ticket
from .limits_view import WholeLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.configuration import ClientAccount
    from .actions import Arrival
    from .admission_capacity import Capacity
    from .fair_queue import Flow
    from .limits_view import LimitsView

__all__ = ["FairAdmission"]

#: Seconds of its rate that an account may use at once after a quiet time.
BURST = 1.0

#: Seconds between two looks after which the process itself must have stood still.
STANDSTILL = 1.0

#: Seconds for which requests wait on when a pool has lost all its capacity.
GRACE = 2.0

#: Seconds between two looks for requests that are certain to be late.
SURVEY = 0.25

#: Factor by which all of a pool may go faster than measured before an estimate
#: counts as certain.
CERTAIN = 2.0

#: Bounds of the seconds after which a refused caller should come back.
MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 60.0

#: Characters of a prompt that count as much as one generated token: a prompt is
#: read many tokens at a time, an answer is made one after the other.
PROMPT_CHARACTERS_PER_TOKEN = 40.0


@dataclass(slots=True, kw_only=True)
class _Account:
    """Follow one account's limits here, over all pools."""

    declared: ClientAccount
    tokens: float
    filled_at: float
    n_in_flight: int = 0
    n_waiting: int = 0

    def fill(self, rate: float, now: float) -> None:
        """Add the tokens of the time that has passed, up to the burst."""
        depth = max(1.0, rate * BURST)
        elapsed = max(0.0, now - self.filled_at)
        self.filled_at = max(self.filled_at, now)
        self.tokens = min(depth, self.tokens + elapsed * rate)


@dataclass(slots=True, kw_only=True)
class _Pool:
    """Hold the queue of one pool.

    Attributes
    ----------
    example : Arrival
        The newest arrival, with which the pool's capacity is asked for.
    empty_since : float or None
        Since when nothing has served the pool.
    """

    queue: FairQueue
    example: Arrival
    empty_since: float | None = None


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
        self._capacity = capacity
        self._declared = account
        self._limits = limits or WholeLimits()
        self._max_waiting = max_waiting
        self._max_waiting_per_account = max_waiting_per_account
        self._accounts_by_name: dict[str, _Account] = {}
        self._pools_by_name: dict[str, _Pool] = {}
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
        self._limits.arrived(arrival.client_account, now=now)
        known = self._account(arrival.client_account, account, now=now)
        pool = self._pool(arrival)
        flow = pool.queue.flow(
            arrival.client_account, share=account.share, priority=account.priority
        )
        ticket = self._ticket(arrival, pool, flow)
        slots = self._slots(pool, now=now)
        if slots <= 0.0 and not pool.queue.n_waiting:
            # Nothing serves the pool; the router says so at once.
            return self._enter(pool, flow, ticket, known, slots=slots, now=now)
        if not flow.waiting and self._fits(pool, flow, known, slots=slots, now=now):
            return self._enter(pool, flow, ticket, known, slots=slots, now=now)
        refused = self._refuse_now(pool, flow, ticket, known, slots=slots, now=now)
        if refused is not None:
            return refused
        self._wait(pool, flow, ticket, known, now=now)
        return Queued()

    def release(self, request_id: str, *, now: float) -> None:
        """Take back what a request held, or take it out of the queue."""
        ticket = self._tickets_by_request.pop(request_id, None)
        if ticket is None:
            return
        known = self._accounts_by_name[ticket.client_account]
        queue = self._pools_by_name[ticket.pool].queue
        if ticket.granted_at is None:
            queue.remove(ticket)
            known.n_waiting -= 1
        else:
            used = max(0.0, now - self._stood_still - ticket.granted_at)
            queue.end(ticket, used=used)
            known.n_in_flight -= 1
        self._note(ticket.client_account, known, now=now)

    def ready(self, *, now: float) -> list[str]:
        """Return the waiting requests that may go on now, best first."""
        self._notice_standstill(now)
        granted: list[str] = []
        for pool in self._pools_by_name.values():
            if pool.queue.n_waiting:
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
        self._reread_accounts()
        for pool in list(self._pools_by_name.values()):
            if pool.queue.n_waiting:
                ended += self._hopeless(pool, now=now)
        return ended

    # Counts, for the dump and for measurements

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the requests in flight and waiting, by account."""
        return {
            name: {"in_flight": known.n_in_flight, "waiting": known.n_waiting}
            for name, known in self._accounts_by_name.items()
        }

    def n_in_flight(self, client_account: str) -> int:
        """Return the account's requests that were let in and not released."""
        known = self._accounts_by_name.get(client_account)
        return known.n_in_flight if known else 0

    @property
    def n_waiting(self) -> int:
        """Return the requests that wait, over all accounts."""
        return sum(pool.queue.n_waiting for pool in self._pools_by_name.values())

    # Entry

    def _enter(
        self,
        pool: _Pool,
        flow: Flow,
        ticket: Ticket,
        known: _Account,
        *,
        slots: float,
        now: float,
    ) -> Admitted:
        awake = now - self._stood_still
        pool.queue.grant(flow, ticket, capacity=slots, now=awake)
        self._tickets_by_request[ticket.request_id] = ticket
        self._count_in(ticket.client_account, known, now=now)
        return Admitted()

    def _count_in(self, name: str, known: _Account, *, now: float) -> None:
        known.tokens -= 1.0
        known.n_in_flight += 1
        self._note(name, known, now=now)

    def _wait(
        self, pool: _Pool, flow: Flow, ticket: Ticket, known: _Account, *, now: float
    ) -> None:
        pool.queue.push(flow, ticket)
        known.n_waiting += 1
        self._tickets_by_request[ticket.request_id] = ticket
        heapq.heappush(
            self._by_latest_start, (ticket.latest_start, ticket.sequence, ticket)
        )
        self._note(ticket.client_account, known, now=now)

    def _grant_all(self, pool: _Pool, *, now: float) -> list[str]:
        granted: list[str] = []
        slots = self._slots(pool, now=now)
        queue = pool.queue
        if slots <= 0.0:
            return self._let_go(pool, now=now)

        def eligible(flow: Flow) -> bool:
            known = self._accounts_by_name[flow.client_account]
            return self._limits_allow(flow.client_account, known, now=now)

        while queue.n_in_flight + 1 <= slots:
            flow = queue.first(eligible)
            if flow is None:
                break
            granted.append(self._pop(pool, flow, slots=slots, now=now))
        return granted

    def _let_go(self, pool: _Pool, *, now: float) -> list[str]:
        """Send all that waits on when the pool has had no capacity for a while.

        The router refuses each at once and says why; kept here, they would learn
        of it only at their deadlines.
        """
        if pool.empty_since is None or now - pool.empty_since < GRACE:
            return []
        granted = []
        for flow in list(pool.queue.backlogged()):
            while flow.waiting:
                granted.append(self._pop(pool, flow, slots=1.0, now=now))
        return granted

    def _pop(self, pool: _Pool, flow: Flow, *, slots: float, now: float) -> str:
        awake = now - self._stood_still
        ticket = pool.queue.pop(flow, capacity=slots, now=awake)
        known = self._accounts_by_name[ticket.client_account]
        known.n_waiting -= 1
        self._count_in(ticket.client_account, known, now=now)
        return ticket.request_id

    def _fits(
        self, pool: _Pool, flow: Flow, known: _Account, *, slots: float, now: float
    ) -> bool:
        """Tell whether a request may enter past the queue.

        Others may wait only if limits of their own hold them up, for slots are
        granted until none is left.
        """
        if pool.queue.n_in_flight + 1 > slots:
            return False
        if not self._limits_allow(flow.client_account, known, now=now):
            return False
        return not pool.queue.n_waiting or not self._overtakes(pool, now=now)

    def _overtakes(self, pool: _Pool, *, now: float) -> bool:
        def eligible(flow: Flow) -> bool:
            known = self._accounts_by_name[flow.client_account]
            return self._limits_allow(flow.client_account, known, now=now)

        return pool.queue.first(eligible) is not None

    def _limits_allow(self, name: str, known: _Account, *, now: float) -> bool:
        declared = known.declared
        known.fill(self._limits.rate(name, declared.rate, now=now), now)
        if known.tokens < 1.0:
            return False
        allowed = self._limits.concurrency(name, declared.concurrency, now=now)
        return known.n_in_flight < allowed

    # Refusal

    def _refuse_now(
        self,
        pool: _Pool,
        flow: Flow,
        ticket: Ticket,
        known: _Account,
        *,
        slots: float,
        now: float,
    ) -> Refused | None:
        wait = self._estimate(pool, flow, known, slots=slots, now=now)
        name = ticket.client_account
        if self._queue_is_full(known):
            reason = f"client account {name} has {known.n_waiting} requests waiting"
            return self._refused(reason, ticket, wait=wait / 2.0)
        late = now + wait - ticket.latest_start
        if late > 0.0:
            reason = f"client account {name} would wait about {wait:.1f} s, too long"
            return self._refused(reason, ticket, wait=late)
        return None

    def _queue_is_full(self, known: _Account) -> bool:
        if known.n_waiting >= self._max_waiting_per_account:
            return True
        if self.n_waiting < self._max_waiting:
            return False
        # The queue as a whole is full.  Only those who fill it are refused, or a
        # burst of one account would shut all the others out.
        n_queues = sum(other.n_waiting > 0 for other in self._accounts_by_name.values())
        return known.n_waiting >= self._max_waiting / max(1, n_queues)

    def _refused(self, reason: str, ticket: Ticket, *, wait: float) -> Refused:
        """Refuse with a time that is computed, and spread by the request's id.

        Callers that are refused together and told the same come back together.
        """
        self.n_refused += 1
        spread = zlib.crc32(ticket.request_id.encode()) / 2**32
        bounded = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
        return Refused(reason=reason, retry_after=bounded * (1.0 + spread))

    def _give_up(self, ticket: Ticket, reason: str, now: float) -> tuple[str, Refused]:
        pool = self._pools_by_name[ticket.pool]
        flow = pool.queue.flows_by_account[ticket.client_account]
        known = self._accounts_by_name[ticket.client_account]
        slots = self._slots(pool, now=now)
        wait = self._estimate(pool, flow, known, slots=slots, now=now)
        self.release(ticket.request_id, now=now)
        return ticket.request_id, self._refused(reason, ticket, wait=wait)

    def _hopeless(self, pool: _Pool, *, now: float) -> list[tuple[str, Refused]]:
        """Give up the last ones of each flow that are certain to be late."""
        ended = []
        slots = self._slots(pool, now=now)
        for flow in list(pool.queue.backlogged()):
            name = flow.client_account
            known = self._accounts_by_name[name]
            if self._declared(name) is None:
                reason = f"client account {name} is no longer declared"
                ended += [
                    self._give_up(ticket, reason, now) for ticket in list(flow.waiting)
                ]
                continue
            while flow.waiting:
                ticket = flow.waiting[-1]
                wait = self._shortest(pool, flow, known, slots=slots, now=now)
                if now + wait <= ticket.latest_start:
                    break
                ended.append(self._give_up(ticket, "its turn cannot come in time", now))
        return ended

    # Estimates

    def _estimate(
        self, pool: _Pool, flow: Flow, known: _Account, *, slots: float, now: float
    ) -> float:
        """Return the seconds that a request at the end of a flow is likely to wait."""
        n_ahead = len(flow.waiting)
        by_rate = self._by_rate(flow, known, n_ahead=n_ahead + 1, now=now)
        shares = sum(
            other.share for other in pool.queue.backlogged() if other is not flow
        )
        part = flow.share / (flow.share + shares)
        cost = max(pool.queue.mean_cost, 1e-3)
        by_capacity = (n_ahead + 1) * cost / (max(slots, 1.0) * part)
        allowed = self._limits.concurrency(
            flow.client_account, known.declared.concurrency, now=now
        )
        by_concurrency = n_ahead * cost / max(1, allowed)
        return max(by_rate, by_capacity, by_concurrency)

    def _shortest(
        self, pool: _Pool, flow: Flow, known: _Account, *, slots: float, now: float
    ) -> float:
        """Return the seconds that the last of a flow waits if all goes its way."""
        n_waiting = len(flow.waiting)
        by_rate = self._by_rate(flow, known, n_ahead=n_waiting, now=now)
        n_at_once = min(
            max(slots, 1.0),
            max(1.0, float(known.declared.concurrency)),
        )
        n_rounds = max(0.0, n_waiting - n_at_once) / n_at_once
        return max(by_rate, n_rounds * pool.queue.mean_cost / CERTAIN)

    def _by_rate(
        self, flow: Flow, known: _Account, *, n_ahead: int, now: float
    ) -> float:
        rate = self._limits.rate(flow.client_account, known.declared.rate, now=now)
        known.fill(rate, now)
        n_short = n_ahead - known.tokens
        if n_short <= 0.0:
            return 0.0
        return n_short / rate if rate > 0.0 else float("inf")

    # State

    def _account(self, name: str, declared: ClientAccount, *, now: float) -> _Account:
        known = self._accounts_by_name.get(name)
        if known is None:
            rate = self._limits.rate(name, declared.rate, now=now)
            known = self._accounts_by_name[name] = _Account(
                declared=declared, tokens=max(1.0, rate * BURST), filled_at=now
            )
        known.declared = declared
        return known

    def _reread_accounts(self) -> None:
        """Take the limits that are in force; forget accounts that are gone."""
        for name, known in list(self._accounts_by_name.items()):
            declared = self._declared(name)
            if declared is not None:
                known.declared = declared
            elif not known.n_in_flight and not known.n_waiting:
                del self._accounts_by_name[name]

    def _pool(self, arrival: Arrival) -> _Pool:
        name = pool_of(arrival)
        pool = self._pools_by_name.get(name)
        if pool is None:
            queue = FairQueue()
            pool = self._pools_by_name[name] = _Pool(queue=queue, example=arrival)
        pool.example = arrival
        return pool

    def _slots(self, pool: _Pool, *, now: float) -> float:
        slots = self._capacity.slots(
            pool.example, n_in_flight=pool.queue.n_in_flight, now=now
        )
        if slots > 0.0:
            pool.empty_since = None
        elif pool.empty_since is None:
            pool.empty_since = now
        return slots

    def _ticket(self, arrival: Arrival, pool: _Pool, flow: Flow) -> Ticket:
        size = _size(arrival)
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

    def _note(self, name: str, known: _Account, *, now: float) -> None:
        self._limits.occupied(
            name, n_in_flight=known.n_in_flight, n_waiting=known.n_waiting, now=now
        )

    def _notice_standstill(self, now: float) -> None:
        # After the process was stopped, every request in flight seems to have run
        # for all that time.  Counted as cost, it would make the estimates so long
        # that what could be served in time is refused for minutes.
        if self._looked_at is not None and now - self._looked_at > STANDSTILL:
            self._stood_still += now - self._looked_at
        self._looked_at = now


def _size(arrival: Arrival) -> float:
    """Return the announced work of an arrival, in generated tokens."""
    work = arrival.work
    if not isinstance(work, ChatWork):
        return 1.0
    n_characters = sum(
        len(str(message.get("content", ""))) for message in work.messages
    )
    return max(1.0, work.max_tokens + n_characters / PROMPT_CHARACTERS_PER_TOKEN)
