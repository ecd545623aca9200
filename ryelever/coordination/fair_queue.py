"""Share the slots of one pool among client accounts by start-time fair queueing.

Each account has a tag: the virtual time in seconds at which its next request would
start if the account had exactly its share of the capacity.  The account with the
lowest tag is served first.  An unused share is lent to the waiting accounts, and
returns to its account with the next slot that becomes free.

An account that had no waiting requests and uses its share or more rejoins at the
queue's virtual time, or at its own tag if that is later.  An account that uses less
than its share rejoins ``CREDIT`` seconds before the virtual time instead, so that it
may briefly exceed its share when several of its requests arrive at once.  An idle
account thus has no debt and no more credit than this.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from heapq import heapify, heappop, heapreplace
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["FairQueue", "Flow", "Ticket"]

#: Minimum share, for an account that is declared with a lower one or none.
MIN_SHARE = 0.01

#: An account that uses less than its share is preferred by up to this many seconds'
#: worth of its share.
CREDIT = 4.0

#: Seconds of waiting that are equivalent to one step of priority.
AGEING = 1.0

#: Maximum magnitude of a priority.  This bounds how long requests of the lowest
#: priority wait.
MAX_PRIORITY = 10

#: Expected cost of a request, in slot-seconds, before any request has ended.
INITIAL_COST = 1.0

#: Weight of the newest request in an exponential moving average.
SMOOTHING_FACTOR = 0.1


class Ticket(msgspec.Struct, kw_only=True):
    """Request that waits for a slot or has one.

    Attributes
    ----------
    latest_start : float
        Latest time at which the request may start and still meet its deadline.
    sequence : int
        Number of the request in the order of arrival.
    size : float
        Announced amount of work, in the same unit for all requests.
    granted_at : float or None
        Time at which the request got its slot; None while the request waits.
    """

    request_id: str
    client_account: str
    pool: str
    arrived_at: float
    latest_start: float
    priority: int = 0
    sequence: int = 0
    size: float = 1.0
    granted_at: float | None = None

    def order(self) -> tuple[float, int]:
        """Return the sort key among the requests of the same account.

        A step of priority is always equivalent to ``AGEING`` seconds of waiting.
        Because this ageing is linear, the order of two requests never changes.
        """
        return (self.arrived_at - AGEING * clamp_priority(self.priority), self.sequence)


class Flow(msgspec.Struct, kw_only=True):
    """Waiting requests of one account, in the order in which they are served.

    Attributes
    ----------
    tag : float
        Virtual time at which the account's next request would start.
    cost_per_size : float or None
        Moving average of the slot-seconds per unit of announced work; None before any
        request of the account has ended.
    """

    client_account: str
    share: float
    priority: int = 0
    tag: float = 0.0
    n_in_flight: int = 0
    cost_per_size: float | None = None
    waiting: list[Ticket] = msgspec.field(default_factory=list)

    def key(self) -> float:
        """Return the tag, reduced by the account's priority.

        The reduction is bounded, and the tags of accounts that are served grow.  An
        account of the lowest priority is therefore served eventually.
        """
        return self.tag - AGEING * clamp_priority(self.priority)


class FairQueue:
    """Fair queue of one pool, with a flow for each account.

    Parameters
    ----------
    keeps_debts : bool
        True if an account that rejoins always counts as one that uses its share or
        more. Accounts whose shares exceed the pool's capacity together would
        otherwise start again with full credit each time and starve the others.

    Attributes
    ----------
    virtual_time : float
        Highest tag at which a slot was granted, or the highest tag of all flows when
        the pool last became idle.
    capacity : float
        Number of the pool's slots, at least 1, when a slot was last granted.
    mean_cost : float
        Moving average of the slot-seconds of requests that have ended.
    """

    def __init__(self, *, keeps_debts: bool = False) -> None:
        self._keeps_debts = keeps_debts
        self.flows_by_account: dict[str, Flow] = {}
        self.virtual_time = 0.0
        self.capacity = 1.0
        self.n_in_flight = 0
        self.n_waiting = 0
        self.mean_cost = INITIAL_COST

    def flow(self, client_account: str, *, share: float, priority: int) -> Flow:
        """Return the account's flow, updated to the given share and priority."""
        flow = self.flows_by_account.get(client_account)
        if flow is None:
            flow = self.flows_by_account[client_account] = Flow(
                client_account=client_account,
                share=share,
                tag=self.virtual_time,
            )
        flow.share = max(MIN_SHARE, share)
        flow.priority = priority
        return flow

    def backlogged(self) -> Iterator[Flow]:
        """Yield the flows with waiting requests."""
        return (flow for flow in self.flows_by_account.values() if flow.waiting)

    def push(self, flow: Flow, ticket: Ticket) -> None:
        """Add a waiting request to a flow."""
        if not flow.waiting:
            self._set_rejoining_tag(flow)
        insort(flow.waiting, ticket, key=Ticket.order)
        self.n_waiting += 1

    def first(self, eligible: Callable[[Flow], bool]) -> Flow | None:
        """Return the eligible flow with the lowest key, or None."""
        best: Flow | None = None
        best_key = float("inf")
        for flow in self.flows_by_account.values():
            if flow.waiting:
                key = flow.key()
                if key < best_key and eligible(flow):
                    best = flow
                    best_key = key
        return best

    def service_order(self) -> list[Ticket]:
        """Return the waiting requests in the order in which slots would be granted.

        The order assumes that no request arrives or ends meanwhile and that all
        accounts are eligible. Accounts with equal keys are ordered by their next
        requests.
        """
        heap = [
            (flow.key(), flow.waiting[0].order(), 0, index, flow)
            for index, flow in enumerate(self.backlogged())
        ]
        heapify(heap)
        ordered = []
        while heap:
            key, _, place, index, flow = heap[0]
            ticket = flow.waiting[place]
            ordered.append(ticket)
            place += 1
            if place == len(flow.waiting):
                heappop(heap)
                continue
            key += self._charge(flow, ticket)
            order = flow.waiting[place].order()
            heapreplace(heap, (key, order, place, index, flow))
        return ordered

    def pop(self, flow: Flow, *, capacity: float, now: float) -> Ticket:
        """Grant a slot to the first request of a flow."""
        ticket = flow.waiting.pop(0)
        self.n_waiting -= 1
        self.grant(flow, ticket, capacity=capacity, now=now)
        return ticket

    def pop_ticket(self, ticket: Ticket, *, capacity: float, now: float) -> None:
        """Grant a slot to a waiting request, whatever its place in its flow."""
        flow = self._take_out(ticket)
        self.grant(flow, ticket, capacity=capacity, now=now)

    def grant(self, flow: Flow, ticket: Ticket, *, capacity: float, now: float) -> None:
        """Grant a slot to a request and charge its account the expected cost."""
        if not flow.waiting:
            flow.tag = max(flow.tag, self._min_tag())
        self.capacity = max(1.0, capacity)
        self.virtual_time = max(self.virtual_time, flow.tag)
        ticket.granted_at = now
        flow.tag += self._charge(flow, ticket)
        flow.n_in_flight += 1
        self.n_in_flight += 1

    def _charge(self, flow: Flow, ticket: Ticket) -> float:
        """Return by how much a granted request increases its account's tag."""
        if flow.cost_per_size is None:
            expected = self.mean_cost
        else:
            expected = flow.cost_per_size * ticket.size
        return expected / (flow.share * self.capacity)

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting request."""
        self._remove_idle_flows(self._take_out(ticket))

    def _take_out(self, ticket: Ticket) -> Flow:
        """Take a waiting request out of its flow, and return the flow."""
        flow = self.flows_by_account[ticket.client_account]
        place = bisect_left(flow.waiting, ticket.order(), key=Ticket.order)
        del flow.waiting[place]
        self.n_waiting -= 1
        return flow

    def end(self, ticket: Ticket, *, used: float) -> None:
        """Free a slot that was used for ``used`` seconds, and update the mean costs."""
        flow = self.flows_by_account[ticket.client_account]
        flow.n_in_flight -= 1
        self.n_in_flight -= 1
        measured_cost = used / ticket.size
        if flow.cost_per_size is None:
            flow.cost_per_size = measured_cost
        flow.cost_per_size += SMOOTHING_FACTOR * (measured_cost - flow.cost_per_size)
        self.mean_cost += SMOOTHING_FACTOR * (used - self.mean_cost)
        self._remove_idle_flows(flow)

    def _set_rejoining_tag(self, flow: Flow) -> None:
        """Set the tag of a flow that had no waiting requests.

        An account that uses fewer slots than its share is not charged for earlier use.
        Otherwise one long request of a small account, whose share is a few slots,
        would delay its next requests for seconds.  The credit of such an account
        admits several requests that arrive at once, although together they exceed its
        share.
        """
        below_share = flow.n_in_flight < flow.share * self.capacity
        if below_share and not self._keeps_debts:
            flow.tag = self._min_tag()
        else:
            flow.tag = max(flow.tag, self.virtual_time)

    def _min_tag(self) -> float:
        """Return the lowest tag, which is that of an account with its full credit.

        Without this bound, an account that was idle for an hour would be entitled to
        all slots.
        """
        return self.virtual_time - CREDIT

    def _remove_idle_flows(self, flow: Flow) -> None:
        # A flow without requests and with its full credit is equivalent to no flow,
        # and all debts of accounts expire once the pool is idle.  Without this removal,
        # the flows of accounts that were removed from the configuration would stay
        # permanently.
        if not self.n_waiting and not self.n_in_flight:
            flows = self.flows_by_account.values()
            self.virtual_time = max(known.tag for known in flows)
            self.flows_by_account.clear()
            return
        is_idle = not flow.waiting and not flow.n_in_flight
        if is_idle and flow.tag <= self._min_tag():
            del self.flows_by_account[flow.client_account]


def clamp_priority(priority: int) -> int:
    """Limit a priority to the bounds within which ageing is effective."""
    return max(-MAX_PRIORITY, min(MAX_PRIORITY, priority))
