"""Test the split of limits over entry hosts, with lost and late rows and partitions."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.limits_exchange import ACCOUNT, Exchange
from ryelever.coordination.limits.demand import DECAY_TIME, SETTLING_TIME
from ryelever.coordination.limits.limits import AccountLimits
from ryelever.state.observations import DemandRow, LeavingRow

#: Maximum sum of all shares, as a ratio of the limit, while rows arrive in time.
BOUND = math.exp(SETTLING_TIME / DECAY_TIME)


def run(exchange: Exchange, seconds: float) -> float:
    """Advance the exchange and return the largest sum of shares."""
    largest = 0.0
    until = exchange.now + seconds
    while exchange.now < until:
        exchange.step()
        largest = max(largest, exchange.parts())
    return largest


def at_first_host(index: int, now: float) -> float:
    """Return a demand at the first host only."""
    return 200.0 if index == 0 else 0.0


def everywhere(index: int, now: float) -> float:
    """Return a demand of twice the limit, evenly over the hosts."""
    return 25.0


def nowhere(index: int, now: float) -> float:
    """Return no demand."""
    return 0.0


def moving(index: int, now: float) -> float:
    """Return twice the limit at one host, and at the next one after 10 s."""
    return 200.0 if int(now / 10.0) % 8 == index else 0.0


def sudden(index: int, now: float) -> float:
    """Return eight times the limit in every other period of 6 s."""
    return 100.0 if int(now / 6.0) % 2 == 1 else 0.0


@pytest.mark.parametrize("demand", [at_first_host, everywhere, nowhere, moving, sudden])
@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_shares_add_up_to_no_more_than_the_bound(demand, loss: float) -> None:
    """Guard against accounts that use several times their limit when demand moves.

    The demand is at one host, at all hosts, moving, or appears at all hosts at once;
    rows arrive 1 s late, and some are lost. The bound is exceeded if hosts count demand
    that their peers have not learned of yet.
    """
    exchange = Exchange(n_hosts=8, limit=100.0, demand=demand, loss=loss)
    largest = run(exchange, 60.0)
    assert largest <= BOUND * (1.0 if not loss else 1.25)


@pytest.mark.parametrize(
    ("demand", "least"), [(at_first_host, 0.9), (everywhere, 0.75), (moving, 0.4)]
)
def test_limit_can_be_used_where_the_demand_is(demand, least: float) -> None:
    exchange = Exchange(n_hosts=8, limit=100.0, demand=demand)
    run(exchange, 20.0)
    before = exchange.n_admitted()
    run(exchange, 40.0)
    assert (exchange.n_admitted() - before) / (100.0 * 40.0) >= least


def test_small_concurrency_limit_is_usable_and_bounded() -> None:
    exchange = Exchange(n_hosts=8, limit=3.0, demand=at_first_host)
    run(exchange, 5.0)
    assert exchange.hosts[0].limits.concurrency(ACCOUNT, 3, now=exchange.now) >= 2
    assert exchange.hosts[1].limits.concurrency(ACCOUNT, 3, now=exchange.now) <= 1


@pytest.mark.parametrize(("n_cut", "factor"), [(1, 1.0), (2, 1.0), (4, 1.0), (6, 1.0)])
def test_cut_off_hosts_keep_their_last_share(n_cut: int, factor: float) -> None:
    """Guard against both sides of a partition using the full limit.

    With even demand, some hosts are cut off for two minutes, the demand on the smaller
    side grows tenfold, and the partition heals. The full limit would be used twice if
    both sides took unreachable peers to have no demand; instead, cut-off hosts keep to
    their last share.
    """
    smaller_side = set(range(n_cut)) if n_cut <= 4 else set(range(n_cut, 8))
    cut = (20.0, 140.0)

    def reaches(sender: int, receiver: int, now: float) -> bool:
        is_cut = cut[0] <= now < cut[1]
        return not is_cut or (sender in smaller_side) == (receiver in smaller_side)

    def demand(index: int, now: float) -> float:
        return 250.0 if index in smaller_side and now > 22.0 else 25.0

    exchange = Exchange(n_hosts=8, limit=100.0, demand=demand, reaches=reaches)
    run(exchange, 20.0)
    last = exchange.parts(among=sorted(smaller_side))
    run(exchange, 10.0)
    largest_side = 0.0
    while exchange.now < 140.0:
        exchange.step()
        largest_side = max(largest_side, exchange.parts(among=sorted(smaller_side)))
    assert 0.5 * last <= exchange.parts(among=sorted(smaller_side))
    assert largest_side <= last * 1.2 * factor
    assert exchange.parts() <= (1.0 + last) * BOUND
    if n_cut == 4:
        # Neither side is a majority: both keep the shares that they had.
        assert exchange.parts() <= 1.15
    else:
        # The majority takes over the shares of peers that may be dead.
        others = sorted(set(range(8)) - smaller_side)
        assert exchange.parts(among=others) >= 0.9
    run(exchange, 15.0)
    assert exchange.parts() <= BOUND


def test_share_of_a_dead_host_is_redistributed() -> None:
    exchange = Exchange(n_hosts=8, limit=100.0, demand=everywhere)
    run(exchange, 20.0)
    exchange.hosts[0].alive = False
    run(exchange, 15.0)
    assert exchange.parts() >= 0.9


def test_restarted_host_takes_an_even_share_only() -> None:
    """Guard against a restart that doubles an account's limit for a while.

    All demand is at one host; another host restarts and gets demand at once. Until it
    receives rows from its peers, it must take an even share, not the full limit.
    """
    exchange = Exchange(n_hosts=8, limit=100.0, demand=at_first_host)
    run(exchange, 20.0)
    exchange.restart(3)
    exchange.demand = everywhere
    exchange.step()
    assert exchange.hosts[3].part <= 100.0 / 8 + 1e-6
    assert run(exchange, 20.0) <= BOUND


def test_paused_host_does_not_resume_with_its_old_share() -> None:
    """Guard against exceeding a limit when a host resumes after a pause of 30 s.

    All demand is at one host; the host is paused, the others divide its share, and it
    resumes. Its samples of the local demand are old by then and must not count as
    current.
    """
    limits = AccountLimits(n_hosts=lambda: 1)
    for step in range(40):
        for _ in range(25):
            limits.arrived(ACCOUNT, now=step * 0.25)
        limits.occupied(ACCOUNT, n_in_flight=5, n_waiting=5, now=step * 0.25)
    limits.occupied(ACCOUNT, n_in_flight=0, n_waiting=0, now=10.0)
    peer = DemandRow(client_account=ACCOUNT, rate=100.0, n_in_flight=90, n_waiting=10)
    limits.observed(peer, peer="b", observed_at=39.5, now=40.0)
    assert limits.rate(ACCOUNT, 100.0, now=40.0) <= 5.0
    assert limits.concurrency(ACCOUNT, 100, now=40.0) <= 10


@pytest.mark.parametrize(("n_elsewhere", "expected"), [(0, 1), (2, 1), (3, 0)])
def test_share_below_one_is_rounded_up_while_peers_are_below_the_limit(
    n_elsewhere: int, expected: int
) -> None:
    limits = AccountLimits(n_hosts=lambda: 8)
    row = DemandRow(
        client_account=ACCOUNT, rate=0.0, n_in_flight=n_elsewhere, n_waiting=0
    )
    limits.observed(row, peer="b", observed_at=0.0, now=0.0)
    assert limits.concurrency(ACCOUNT, 3, now=0.0) == expected


def test_single_host_has_the_whole_limit() -> None:
    limits = AccountLimits(n_hosts=lambda: 1)
    assert limits.rate(ACCOUNT, 50.0, now=0.0) == 50.0
    assert limits.concurrency(ACCOUNT, 50, now=0.0) == 50


@pytest.mark.parametrize("limit", [0.0, 0.5, 1e6])
def test_extreme_limits(limit: float) -> None:
    limits = AccountLimits(n_hosts=lambda: 4)
    assert limits.rate(ACCOUNT, limit, now=0.0) == limit / 4
    assert limits.concurrency(ACCOUNT, 0, now=0.0) == 0


def test_rows_of_other_kinds_are_ignored() -> None:
    limits = AccountLimits(n_hosts=lambda: 2)
    limits.observed(LeavingRow(host="x"), peer="b", observed_at=0.0, now=0.0)
    assert limits.rate(ACCOUNT, 10.0, now=0.0) == 5.0


DEMANDS = st.lists(
    st.lists(st.sampled_from([0.0, 1.0, 30.0, 300.0]), min_size=4, max_size=4),
    min_size=1,
    max_size=8,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(demands=DEMANDS, hold=st.sampled_from([0.5, 2.0, 5.0]))
def test_bound_holds_for_any_demand(demands: list, hold: float) -> None:
    """Check the bound for arbitrary courses of demand while no row is lost."""

    def demand(index: int, now: float) -> float:
        return demands[int(now / hold) % len(demands)][index]

    exchange = Exchange(n_hosts=4, limit=20.0, demand=demand, lag=0.75)
    assert run(exchange, 30.0) <= BOUND + 1e-9
