"""Simulate hosts whose ``AccountLimits`` exchange rows that are late or lost."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ryelever.coordination.limits.limits import AccountLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from ryelever.state.observations import Observation

__all__ = ["ACCOUNT", "Exchange"]

#: Name of the client account whose limit is split between the hosts.
ACCOUNT = "shared"

#: Seconds of one simulation step.
STEP = 0.25


@dataclass(slots=True, kw_only=True)
class _Host:
    """One entry host, which admits requests up to its share of the limit.

    ``part`` is the share in requests a second.  ``tokens`` is the token bucket of this
    share, ``even_tokens`` the bucket of an even split.
    """

    name: str
    limits: AccountLimits
    last_sent_at: float
    tokens: float = 1.0
    even_tokens: float = 1.0
    n_admitted: int = 0
    n_even: int = 0
    part: float = 0.0
    alive: bool = True


@dataclass(slots=True, kw_only=True)
class Exchange:
    """Simulate hosts with a given demand, and count the requests that they admit.

    Parameters
    ----------
    limit : float
        Requests a second over all hosts; also the limit of concurrent requests.
    demand : callable
        Return the arrivals a second at a host, given its index and the time.
    reaches : callable
        Return whether rows sent at a time reach the receiver, given the indices of the
        sender and the receiver and the time.
    lag : float
        Seconds between composing a row and its arrival.
    loss : float
        Share of the rows that are lost.
    """

    n_hosts: int
    limit: float
    demand: Callable[[int, float], float]
    reaches: Callable[[int, int, float], bool] = lambda sender, receiver, now: True
    lag: float = 1.0
    loss: float = 0.0
    seed: int = 0
    now: float = 0.0
    hosts: list[_Host] = field(default_factory=list)
    random: random.Random = field(default_factory=random.Random)
    _in_transit: list[tuple] = field(default_factory=list)
    _sequence: itertools.count = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        self.random.seed(self.seed)
        self.hosts = [self._host(index) for index in range(self.n_hosts)]

    def restart(self, index: int) -> None:
        """Replace a host by a new process without any state."""
        self.hosts[index] = self._host(index)

    def step(self) -> None:
        """Simulate one step: deliver rows, admit requests and send rows."""
        self.now += STEP
        while self._in_transit and self._in_transit[0][0] <= self.now:
            _, _, sender, receiver, sent_at, row = heapq.heappop(self._in_transit)
            if self.hosts[receiver].alive:
                self.hosts[receiver].limits.observed(
                    row, peer=f"host-{sender}", observed_at=sent_at, now=self.now
                )
        for index, host in enumerate(self.hosts):
            if host.alive:
                self._serve(index, host)

    def parts(self, *, among: list[int] | None = None) -> float:
        """Return the sum of the live hosts' rate shares over the limit."""
        chosen = range(self.n_hosts) if among is None else among
        live = [self.hosts[index] for index in chosen if self.hosts[index].alive]
        return sum(host.part for host in live) / self.limit

    def concurrency_shares(self) -> float:
        """Return the sum of the live hosts' concurrency shares over the limit."""
        return (
            sum(
                host.limits.concurrency(ACCOUNT, int(self.limit), now=self.now)
                for host in self.hosts
                if host.alive
            )
            / self.limit
        )

    def n_admitted(self) -> int:
        """Return the requests that the current processes of all hosts have admitted."""
        return sum(host.n_admitted for host in self.hosts)

    def n_even(self) -> int:
        """Return the requests that an even split of the limit would have admitted."""
        return sum(host.n_even for host in self.hosts)

    def _host(self, index: int) -> _Host:
        return _Host(
            name=f"host-{index}",
            limits=AccountLimits(n_hosts=lambda: self.n_hosts),
            last_sent_at=self.now - self.random.random(),
        )

    def _serve(self, index: int, host: _Host) -> None:
        n_arrivals = self._poisson(self.demand(index, self.now) * STEP)
        host.part = host.limits.rate(ACCOUNT, self.limit, now=self.now)
        depth = max(1.0, host.part)
        host.tokens = min(depth, host.tokens + host.part * STEP)
        even = self.limit / self.n_hosts
        host.even_tokens = min(max(1.0, even), host.even_tokens + even * STEP)
        for _ in range(n_arrivals):
            host.limits.arrived(ACCOUNT, now=self.now)
            if host.even_tokens >= 1.0:
                host.even_tokens -= 1.0
                host.n_even += 1
            if host.tokens >= 1.0:
                host.tokens -= 1.0
                host.n_admitted += 1
        host.limits.occupied(ACCOUNT, n_in_flight=n_arrivals, n_waiting=0, now=self.now)
        if self.now - host.last_sent_at >= 1.0:
            host.last_sent_at = self.now
            self._send_rows(index, host.limits.observations(now=self.now))

    def _send_rows(self, sender: int, rows: list[Observation]) -> None:
        for receiver in range(self.n_hosts):
            if receiver == sender or not self.reaches(sender, receiver, self.now):
                continue
            for row in rows:
                if self.random.random() >= self.loss:
                    heapq.heappush(
                        self._in_transit,
                        (
                            self.now + self.lag,
                            next(self._sequence),
                            sender,
                            receiver,
                            self.now,
                            row,
                        ),
                    )

    def _poisson(self, mean: float) -> int:
        n_arrivals = 0
        passed = self.random.expovariate(1.0)
        while passed < mean:
            n_arrivals += 1
            passed += self.random.expovariate(1.0)
        return n_arrivals
