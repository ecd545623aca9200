"""Measure how the cost of each role grows, and compute its cost at the design size.

Each role is measured at three sizes or more: in this process with the product's own
code, or with real processes where sockets cause the cost.  A line is fitted to the
figures by least squares.  The table lists the figures, the line, the largest deviation
from the line, and the figure at the design size, for which the system is built.  In
the docstrings of the roles, x is the size.  docs/CAPACITY.md quotes the table::

    .venv/bin/python -m benchmarks.slopes
"""

from __future__ import annotations

import os
import statistics
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor

import defopt

from ryelever.coordination.limits.limits import AccountLimits
from ryelever.state.observations import DemandRow

from . import (
    admission,
    day_of_faults,
    fold,
    log_writer,
    request_table,
    soft_state,
)
from .routing_fleet import FakeFleet, chat
from .slopes_fit import (
    CLAIM_APPENDS,
    CLAIMS,
    ENTRY_HOSTS_PER_ZONE,
    N_ACCOUNTS,
    N_CLAIM_HOSTS,
    N_GROUPS,
    N_PARTITIONS,
    N_STREAMS,
    N_ZONES,
    REQUESTS,
    SERVERS_PER_ZONE,
    TOKENS,
    Points,
    Slope,
    kb,
    ms,
)
from .slopes_operators import hosts_list, metrics, operators
from .slopes_processes import control, front, listing, streams


def requests(sizes: Sequence[int], seed: int) -> Iterator[Slope]:
    """Measure streams in the request table; x: tokens of a stream, or requests."""

    def one(n_tokens: int) -> float:
        driver = request_table._Driver()
        return ms(lambda: driver.stream(n_tokens), n_times=200)

    def waiting(n_requests: int) -> float:
        def build() -> object:
            driver = request_table._Driver()
            for _ in range(n_requests):
                driver.arrive(request_table._chat())
            return driver

        return kb(build)

    points = [(n, one(n)) for n in sizes]
    per_second = TOKENS / REQUESTS
    yield Slope(
        role="caller front: request table",
        what="ms a stream, by tokens",
        unit="ms a stream",
        design_size=per_second,
        points=points,
    )
    yield Slope(
        role="caller front: request table",
        what="KB, by requests in flight",
        unit="KB",
        design_size=N_STREAMS,
        points=[(n, waiting(n)) for n in sizes],
    )


def router(sizes: Sequence[int], seed: int) -> Iterator[Slope]:
    """Measure the choice of a target; x: groups of 4 hosts."""

    def choose(n_groups: int) -> float:
        fleet = FakeFleet(zones={"a": n_groups}, members=4)
        fleet.report_all(requested_at=0.0)
        chosen = fleet.router(seed=seed)
        arrivals = [chat(f"{n:>300}", now=0.1, fingerprint=str(n)) for n in range(500)]
        arrival = iter(arrivals * 4)

        def one() -> None:
            target = chosen.choose(next(arrival), tried=(), now=0.1)
            chosen.started(target, now=0.1)
            chosen.ended(target, failed=False, now=0.1)

        return ms(one, n_times=500) * 1e3

    def build(n_groups: int) -> object:
        fleet = FakeFleet(zones={"a": n_groups}, members=4)
        fleet.report_all(requested_at=0.0)
        return fleet, fleet.targets.for_arrival(chat(), now=0.1)

    yield Slope(
        role="router",
        what="us a choice, by groups followed",
        unit="us",
        design_size=N_GROUPS,
        points=[(n, choose(n)) for n in sizes],
    )
    yield Slope(
        role="router",
        what="KB of placement, list, reports and targets, by groups",
        unit="KB",
        design_size=N_GROUPS,
        points=[(n, kb(lambda n=n: build(n))) for n in sizes],
    )


def admit(sizes: Sequence[int], seed: int) -> Iterator[Slope]:
    """Measure admission and the sharing of limits; x: waiting requests, or hosts."""
    yield Slope(
        role="admission",
        what="us a request, by requests waiting",
        unit="us",
        design_size=500,
        points=[(n, admission._cost(10, n, 500) * 1e6) for n in sizes],
    )

    def limits(n_peers: int) -> AccountLimits:
        account_limits = AccountLimits(n_hosts=lambda: n_peers + 1)
        for peer in range(n_peers):
            for account in range(N_ACCOUNTS):
                name = f"account-{account}"
                row = DemandRow(client_account=name, rate=1, n_in_flight=1, n_waiting=0)
                account_limits.observed(row, peer=f"e{peer}", observed_at=0.0, now=0.0)
        return account_limits

    def parts(n_peers: int) -> float:
        account_limits = limits(n_peers)
        now = [0.0]

        def compute_shares() -> None:
            now[0] += 0.25
            for account in range(N_ACCOUNTS):
                account_limits.rate(f"account-{account}", 400.0, now=min(now[0], 2.9))

        return ms(compute_shares, n_times=3)

    yield Slope(
        role="admission: limits",
        what=f"ms for the shares of {N_ACCOUNTS} accounts, by reporting hosts",
        unit="ms, at most 4 times a second",
        design_size=ENTRY_HOSTS_PER_ZONE + N_ZONES - 2,
        points=[(n, parts(n)) for n in sizes],
    )
    yield Slope(
        role="admission: limits",
        what=f"KB for {N_ACCOUNTS} accounts, by reporting hosts",
        unit="KB",
        design_size=ENTRY_HOSTS_PER_ZONE + N_ZONES - 2,
        points=[(n, kb(lambda n=n: limits(n))) for n in sizes],
    )


def planner(sizes: Sequence[int], seed: int) -> Iterator[Slope]:
    """Measure the planner's tick; x: hosts in the zone."""
    yield Slope(
        role="planner",
        what="ms a tick (median), by hosts in the zone",
        unit="ms, 5 times a second",
        design_size=SERVERS_PER_ZONE,
        points=[(n, statistics.median(day_of_faults.tick_times(n, 60))) for n in sizes],
    )


def log_reader(sizes: Sequence[int], seed: int) -> Iterator[Slope]:
    """Measure decoding and folding of log pages; x: records."""
    yield from _measure_folding("claims", CLAIMS / N_PARTITIONS * 2 * 600, sizes)
    yield from _measure_folding("placement", 1800, sizes)


def _measure_folding(
    name: str, design_size: float, sizes: Sequence[int]
) -> Iterator[Slope]:
    fold_class, records = fold.KINDS[name]
    pages = {n: fold._encode_page(records(n), n) for n in sizes}

    def time_of(n_records: int) -> float:
        return ms(lambda: fold._fold(fold_class, pages[n_records]), n_times=1)

    def memory_of(n_records: int) -> float:
        return fold._memory(fold_class, pages[n_records]) / 1e3

    for what, unit, measure in (
        ("ms to decode and fold", "ms", time_of),
        ("KB kept", "KB", memory_of),
    ):
        yield Slope(
            role=f"log reader: {name}",
            what=f"{what}, by records",
            unit=unit,
            design_size=design_size,
            points=[(n, measure(n)) for n in sizes],
        )


def claims(sizes: Sequence[int], seed: int) -> Iterator[Slope]:
    """Measure appends of all claims and outcomes; x: hosts that append."""
    seconds, append_time = 20.0, 0.02
    figures: dict[str, Points] = {}
    for n_hosts in sizes:
        rate, budget = CLAIMS / n_hosts, CLAIM_APPENDS / n_hosts
        run = log_writer._new_run(1, rate, append_time, 1, "batch", budget)
        log_writer._drive(run, seconds)
        delays = sorted(run.delays)
        for unit, value in (
            ("appends/s in total", run.n_appends / seconds * n_hosts),
            ("KB/s appended a host", run.n_bytes / seconds / 1e3),
            ("ms p50", delays[len(delays) // 2] * 1e3),
            ("ms p95", delays[int(len(delays) * 0.95)] * 1e3),
        ):
            figures.setdefault(unit, []).append((n_hosts, value))
    for unit, points in figures.items():
        yield Slope(
            role="log writer, claims",
            what=f"{unit}, by hosts that append",
            unit=unit,
            design_size=N_CLAIM_HOSTS,
            points=points,
        )


def zone_peers(sizes: Sequence[int], seed: int) -> Iterator[Slope]:
    """Measure the exchange of soft state in one zone; x: entry hosts in the zone."""
    hosts = [(n, 1, 10, n) for n in sizes]
    yield from _measure_exchange(
        hosts, "hosts a zone", ENTRY_HOSTS_PER_ZONE, seed, spreads=True
    )


def foreign_peers(sizes: Sequence[int], seed: int) -> Iterator[Slope]:
    """Measure the exchange of soft state between zones of 12 entry hosts; x: zones.

    The rate of messages to other zones is bounded: the cost with four zones is also the
    cost with more zones.
    """
    yield from _measure_exchange(
        [(12 * n, n, 10, n) for n in sizes], "zones of 12", 4, seed
    )


def accounts(sizes: Sequence[int], seed: int) -> Iterator[Slope]:
    """Measure soft state in a zone of 16 hosts; x: accounts with changing demand."""
    yield from _measure_exchange(
        [(16, 1, n, n) for n in sizes], "accounts", N_ACCOUNTS, seed
    )


def _measure_exchange(
    sizes: list[tuple[int, int, int, int]],
    by: str,
    design_size: float,
    seed: int,
    *,
    spreads: bool = False,
) -> Iterator[Slope]:
    figures: dict[str, Points] = {}
    for n_nodes, n_zones, n_accounts, x in sizes:
        measured = soft_state.measure(
            n_nodes,
            n_zones=n_zones,
            n_workers=2 * n_nodes,
            n_accounts=n_accounts,
            seconds=5.0,
            seed=seed,
            loss=0.0,
            warm_up=20.0,
            spreads=spreads,
        )
        names = ("cpu ms/s", "B/s in+out", "sent/s")
        for name in (*names, "version worst") if spreads else names:
            figures.setdefault(name, []).append((x, measured[name]))
    for name, points in figures.items():
        yield Slope(
            role="soft state",
            what=f"{name}, by {by}",
            unit="s" if name == "version worst" else name,
            design_size=design_size,
            points=points,
        )


#: Sizes of each role, for a full and for a quick run.
ROLES = {
    requests: ((50, 100, 200, 400), (10, 20, 40)),
    router: ((10, 50, 100, 195), (4, 8, 12)),
    admit: ((10, 44, 100, 390), (4, 8, 12)),
    planner: ((16, 36, 71, 142), (8, 16, 24)),
    log_reader: ((1000, 2000, 5000, 10000), (300, 400, 600)),
    claims: ((8, 22, 66, 132, 390), (8, 22, 66)),
    zone_peers: ((8, 16, 35), (2, 3, 4)),
    foreign_peers: ((1, 2, 4), (1, 2)),
    accounts: ((10, 30, 100), (1, 2)),
    operators: ((55, 110, 195), (11, 22, 33)),
    hosts_list: ((52, 200, 780), (8, 16, 32)),
    metrics: ((5, 10, 20), (1, 2, 3)),
}
PROCESS_ROLES = {
    front: ((30, 60, 90, 125), (2, 4)),
    control: ((8, 36, 72), (4, 8)),
    streams: ((3, 8, 13), (3, 5)),
    listing: ((52, 200, 780), (4, 8)),
}


def main(
    *, seed: int = 1, seconds: float = 8.0, quick: bool = False, only: str = ""
) -> None:
    """Measure all roles and print the table.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    seconds : float
        Length of each measurement with real processes, in seconds.
    quick : bool
        Use small sizes, which only shows that all measurements run.
    only : str
        Name of the one role to measure; empty for all roles.
    """
    print(f"seed {seed}; load average {os.getloadavg()[0]:.1f}; lowest of 3 rounds")
    print("| role | what | figures | slope | at 0 | max deviation | at design size |")
    print("|---|---|---|---|---|---|---|")
    length = 0.5 if quick else seconds
    for role, sizes in ROLES.items():
        if not only or role.__name__ == only:
            for slope in role(sizes[quick], seed):
                print(slope.row(), flush=True)

    def run(role: object) -> list[Slope]:
        return list(role(PROCESS_ROLES[role][quick], seed, seconds=length))

    chosen = [role for role in PROCESS_ROLES if not only or role.__name__ == only]
    # Roles run in parallel only in a quick run, whose figures don't matter.
    with ThreadPoolExecutor(len(PROCESS_ROLES) if quick else 1) as executor:
        for slopes in executor.map(run, chosen):
            for slope in slopes:
                print(slope.row(), flush=True)
    print(f"load average {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    defopt.run(main)
