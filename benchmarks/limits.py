"""Measure how far all entry hosts together exceed, or leave unused, one limit.

In-process and in simulated time: rows are 1 s late and 30% of them are lost.  The
plain policy gives each host an even part.  Run: ``python -m benchmarks.limits``
"""

from __future__ import annotations

import math
import time

import defopt

from ryelever.coordination.limits_demand import FALL, SETTLE

from .limits_exchange import ACCOUNT, Exchange

#: Requests a second of one host in each case, relative to the limit.
LIMIT = 400.0


def main(
    *,
    n_hosts: tuple[int, ...] = (8, 390),
    cases: tuple[str, ...] = ("steady", "few", "moving", "sudden", "partition"),
    losses: tuple[float, ...] = (0.0, 0.3),
    seed: int = 5,
    seconds: float = 40.0,
) -> None:
    """Print overshoot and use of a limit for each case.

    Parameters
    ----------
    n_hosts : tuple[int, ...]
        Entry hosts, one run each.
    cases : tuple[str, ...]
        Courses of demand.
    losses : tuple[float, ...]
        Parts of the rows that are lost.
    seed : int
        Seed of arrivals and lost rows.
    seconds : float
        Simulated time of each run; the partition takes its second half.
    """
    print(f"seed {seed}; limit {LIMIT:g}/s; bound exp({SETTLE:g}/{FALL:g}) = ", end="")
    print(f"{math.exp(SETTLE / FALL):.3f}")
    print(
        f"{'hosts':>5} {'case':>10} {'loss':>5} {'parts max':>9} {'mean':>6} "
        f"{'admitted/limit':>14} {'even split':>10} {'us a part':>9}"
    )
    for n in n_hosts:
        for case in cases:
            for loss in losses:
                _run(n, case, loss=loss, seed=seed, seconds=seconds)


def _run(n: int, case: str, *, loss: float, seed: int, seconds: float) -> None:
    n_busy = max(1, n // 8)

    def demand(index: int, now: float) -> float:
        if case in ("steady", "partition"):
            grown = 5.0 if case == "partition" and index < n // 3 else 1.0
            return 1.5 * LIMIT / n * (grown if now > seconds / 2 else 1.0)
        if case == "sudden":
            return 4.0 * LIMIT / n if int(now / 8.0) % 2 else 0.0
        group = int(now / 10.0) % 8 if case == "moving" else 0
        return 1.5 * LIMIT / n_busy if index // n_busy == group else 0.0

    def reaches(sender: int, receiver: int, now: float) -> bool:
        is_cut = case == "partition" and now >= seconds / 2
        return not is_cut or (sender < n // 3) == (receiver < n // 3)

    exchange = Exchange(
        n_hosts=n, limit=LIMIT, demand=demand, reaches=reaches, loss=loss, seed=seed
    )
    parts = []
    while exchange.now < 10.0:
        exchange.step()
    n_before = exchange.n_admitted()
    even_before = exchange.n_even()
    while exchange.now < seconds:
        exchange.step()
        parts.append(exchange.parts())
    whole = LIMIT * (seconds - 10.0)
    even = exchange.n_even() - even_before
    print(
        f"{n:5d} {case:>10} {loss:5.0%} {max(parts):9.3f} "
        f"{sum(parts) / len(parts):6.3f} "
        f"{(exchange.n_admitted() - n_before) / whole:14.3f} {even / whole:10.3f} "
        f"{_cost(exchange) * 1e6:9.1f}"
    )


def _cost(exchange: Exchange, n_rounds: int = 50) -> float:
    """Return the processor time of computing one part anew."""
    limits = exchange.hosts[0].limits
    started = time.process_time()
    for index in range(n_rounds):
        limits.rate(ACCOUNT, LIMIT, now=exchange.now + 1e-9 + index)
    return (time.process_time() - started) / n_rounds


if __name__ == "__main__":
    defopt.run(main)
