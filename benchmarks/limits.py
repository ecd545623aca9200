"""Measure how far all entry hosts together exceed one limit or leave it unused.

Runs in one process and in simulated time.  Demand rows arrive 1 s late, and none or 30%
of them are lost.  The baseline splits the limit evenly between the hosts.  Run:
``python -m benchmarks.limits``
"""

from __future__ import annotations

import math
import time

import defopt

from ryelever.coordination.limits.demand import (
    DECAY_TIME,
    SAMPLE_INTERVAL,
    SETTLING_TIME,
)
from ryelever.coordination.limits.limits import AccountLimits
from ryelever.state.observations import DemandRow

from .limits_exchange import Exchange

#: Requests a second that all hosts together may admit.
LIMIT = 400.0

#: Client accounts with demand when the processor time is measured.
N_ACCOUNTS = 100


def main(
    *,
    n_hosts: tuple[int, ...] = (8, 390),
    cases: tuple[str, ...] = ("steady", "few", "moving", "sudden", "partition"),
    losses: tuple[float, ...] = (0.0, 0.3),
    seed: int = 5,
    seconds: float = 40.0,
) -> None:
    """Print overshoot and use of the limit for each case.

    The printed total is the sum of all hosts' shares, divided by the limit.

    Parameters
    ----------
    n_hosts : tuple[int, ...]
        Numbers of entry hosts, one run for each number.
    cases : tuple[str, ...]
        Patterns of demand: steady, few, moving, sudden, partition.
    losses : tuple[float, ...]
        Shares of the rows that are lost.
    seed : int
        Seed of arrivals and lost rows.
    seconds : float
        Simulated time of each run in seconds; a partition lasts its second half.
    """
    print(
        f"seed {seed}; limit {LIMIT:g}/s; "
        f"bound exp({SETTLING_TIME:g}/{DECAY_TIME:g}) = ",
        end="",
    )
    print(f"{math.exp(SETTLING_TIME / DECAY_TIME):.3f}")
    print(
        f"{'hosts':>5} {'case':>10} {'loss':>5} {'max total':>9} {'mean':>6} "
        f"{'admitted/limit':>14} {'even split':>10}"
    )
    for n in n_hosts:
        for case in cases:
            for loss in losses:
                _run(n, case, loss=loss, seed=seed, seconds=seconds)
        _print_cost(n)


def _run(n: int, case: str, *, loss: float, seed: int, seconds: float) -> None:
    n_busy = max(1, n // 8)

    def demand(index: int, now: float) -> float:
        if case in ("steady", "partition"):
            growth = 5.0 if case == "partition" and index < n // 3 else 1.0
            return 1.5 * LIMIT / n * (growth if now > seconds / 2 else 1.0)
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
    max_admitted = LIMIT * (seconds - 10.0)
    even = exchange.n_even() - even_before
    print(
        f"{n:5d} {case:>10} {loss:5.0%} {max(parts):9.3f} "
        f"{sum(parts) / len(parts):6.3f} "
        f"{(exchange.n_admitted() - n_before) / max_admitted:14.3f} "
        f"{even / max_admitted:10.3f}"
    )


def _print_cost(n: int, n_rounds: int = 20) -> None:
    """Print the processor time of one host if all others report all accounts."""
    names = [f"account-{index}" for index in range(N_ACCOUNTS)]
    limits = AccountLimits(n_hosts=lambda: n)
    row_time = share_time = waiting_time = 0.0
    for index in range(n_rounds):
        now = index * SAMPLE_INTERVAL
        rows = [
            DemandRow(
                client_account=name, rate=1.0 + index, n_in_flight=1, n_waiting=index
            )
            for name in names
        ]
        started = time.process_time()
        for peer in range(n - 1):
            for row in rows:
                limits.observed(row, peer=f"host-{peer}", observed_at=now, now=now)
        recorded_at = time.process_time()
        for name in names:
            limits.rate(name, LIMIT, now=now)
        shared_at = time.process_time()
        for _ in names:
            limits.n_hosts_waiting(now=now)
        row_time += recorded_at - started
        share_time += shared_at - recorded_at
        waiting_time += time.process_time() - shared_at
    n_shares = n_rounds * N_ACCOUNTS
    print(
        f"{n:5d} hosts, {N_ACCOUNTS} accounts: {share_time / n_shares * 1e6:.1f} us a "
        f"share, {share_time / n_shares * N_ACCOUNTS / SAMPLE_INTERVAL:.2%} of a core "
        f"for all shares each {SAMPLE_INTERVAL:g} s; "
        f"{waiting_time / n_shares * 1e6:.1f} us to count "
        f"waiting hosts; {row_time / n_shares / (n - 1) * 1e6:.1f} us to record a row"
    )


if __name__ == "__main__":
    defopt.run(main)
