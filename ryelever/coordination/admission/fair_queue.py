"""Share out the slots of one pool among client accounts, fairly over time.

Start-time fair queueing: each account has a tag, the time in seconds at which its
next request would start if the account had exactly its own share of the capacity.
The account with the lowest tag goes first.  An account that was idle starts at the
queue's current virtual time, so that it neither saves up nor owes: unused share is
lent to whoever waits, and comes back with the next slot that falls free.  Only an
account that holds less than its share starts ``CREDIT`` seconds earlier: it may go
over its share for a moment when several of its requests come at once.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["FairQueue", "Flow", "Ticket"]

#: Share of an account that is given none.
MIN_SHARE = 0.01

#: Seconds of its own share by which an account that holds less goes ahead.
CREDIT = 4.0

#: Seconds of waiting that one step of priority is worth: the ageing.
AGEING = 1.0

#: Highest and lowest priority that counts; bounds how long the lowest waits.
MAX_PRIORITY = 10

#: Slot-seconds that a request is taken to need before any has ended.
FIRST_COST = 1.0

#: Weight of the newest request in an average.
NEWEST = 0.1


@dataclass(slots=True, kw_only=True)
class Ticket:
    """Hold one request that waits or has a slot.

    Attributes
    ----------
    latest_start : float
        Time after which starting the request is of no use.
    granted_at : float or None
        None while it waits.
    size : float
        Work that the request announces, in any one unit for all requests.
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
        """Return the place among the account's own requests.

        Ageing is linear, so the order of two requests never changes: a step of
        priority is worth ``AGEING`` seconds of waiting, once and for all.
        """
        return (self.arrived_at - AGEING * clamped(self.priority), self.sequence)


@dataclass(slots=True, kw_only=True)
class Flow:
    """Hold the waiting requests of one account, in order.

    Attributes
    ----------
    tag : float
        Virtual time at which the next request would start.
    cost_per_size : float or None
        Slot-seconds of a unit of announced work; None before any request ended.
    """

    client_account: str
    share: float
    priority: int = 0
    tag: float = 0.0
    n_in_flight: int = 0
    cost_per_size: float | None = None
    waiting: list[Ticket] = field(default_factory=list)

    def key(self) -> float:
        """Return the tag, brought forward by the account's priority.

        The lead is bounded and the tags of accounts that are served grow, so an
        account of the lowest priority gets its turn.
        """
        return self.tag - AGEING * clamped(self.priority)


class FairQueue:
    """Keep the flows of one pool of capacity."""

    def __init__(self) -> None:
        self.flows_by_account: dict[str, Flow] = {}
        self.virtual_time = 0.0
        self.capacity = 1.0
        self.n_in_flight = 0
        self.n_waiting = 0
        self.mean_cost = FIRST_COST

    def flow(self, client_account: str, *, share: float, priority: int) -> Flow:
        """Return the account's flow with its current share and priority."""
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
        """Let a request wait."""
        if not flow.waiting:
            self._rejoin(flow)
        insort(flow.waiting, ticket, key=Ticket.order)
        self.n_waiting += 1

    def first(self, eligible: Callable[[Flow], bool]) -> Flow | None:
        """Return the flow whose turn it is among those that may go on."""
        best: Flow | None = None
        best_key = float("inf")
        for flow in self.flows_by_account.values():
            if flow.waiting:
                key = flow.key()
                if key < best_key and eligible(flow):
                    best = flow
                    best_key = key
        return best

    def pop(self, flow: Flow, *, capacity: float, now: float) -> Ticket:
        """Grant a slot to the first request of a flow."""
        ticket = flow.waiting.pop(0)
        self.n_waiting -= 1
        self.grant(flow, ticket, capacity=capacity, now=now)
        return ticket

    def grant(self, flow: Flow, ticket: Ticket, *, capacity: float, now: float) -> None:
        """Grant a slot to a request and charge its account the expected cost."""
        if not flow.waiting:
            flow.tag = max(flow.tag, self._earliest())
        self.capacity = max(1.0, capacity)
        self.virtual_time = max(self.virtual_time, flow.tag)
        ticket.granted_at = now
        if flow.cost_per_size is None:
            expected = self.mean_cost
        else:
            expected = flow.cost_per_size * ticket.size
        flow.tag += expected / (flow.share * self.capacity)
        flow.n_in_flight += 1
        self.n_in_flight += 1

    def remove(self, ticket: Ticket) -> None:
        """Take out a request that waits."""
        flow = self.flows_by_account[ticket.client_account]
        place = bisect_left(flow.waiting, ticket.order(), key=Ticket.order)
        del flow.waiting[place]
        self.n_waiting -= 1
        self._tidy(flow)

    def end(self, ticket: Ticket, *, used: float) -> None:
        """Take back a slot that was held for ``used`` seconds."""
        flow = self.flows_by_account[ticket.client_account]
        flow.n_in_flight -= 1
        self.n_in_flight -= 1
        measured = used / ticket.size
        if flow.cost_per_size is None:
            flow.cost_per_size = measured
        flow.cost_per_size += NEWEST * (measured - flow.cost_per_size)
        self.mean_cost += NEWEST * (used - self.mean_cost)
        self._tidy(flow)

    def _rejoin(self, flow: Flow) -> None:
        """Set the tag of a flow that had nothing waiting.

        An account that holds fewer slots than its share owes nothing for what it
        has used.  Otherwise one long request of a small account, whose share is a
        few slots, would hold back its next ones for seconds.  Its credit lets several
        that come at once go on, though together they exceed its share.
        """
        if flow.n_in_flight < flow.share * self.capacity:
            flow.tag = self._earliest()
        else:
            flow.tag = max(flow.tag, self.virtual_time)

    def _earliest(self) -> float:
        """Return the tag of an account that has all its credit.

        The bound keeps a quiet hour from becoming a claim on all slots.
        """
        return self.virtual_time - CREDIT

    def _tidy(self, flow: Flow) -> None:
        # A flow that waits for nothing and has all its credit is the same as none,
        # and nobody owes anything once the pool is idle.  Without this, accounts that
        # left the configuration would stay for good.
        if not self.n_waiting and not self.n_in_flight:
            flows = self.flows_by_account.values()
            self.virtual_time = max(known.tag for known in flows)
            self.flows_by_account.clear()
            return
        idle = not flow.waiting and not flow.n_in_flight
        if idle and flow.tag <= self._earliest():
            del self.flows_by_account[flow.client_account]


def clamped(priority: int) -> int:
    """Return a priority within the bounds that keep ageing effective."""
    return max(-MAX_PRIORITY, min(MAX_PRIORITY, priority))
