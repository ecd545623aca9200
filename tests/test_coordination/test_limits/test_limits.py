"""Test the split of limits over entry hosts, with rows lost, late and cut off."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.limits_exchange import ACCOUNT, Exchange
from ryelever.coordination.limits.demand import FALL, SETTLE
from ryelever.coordination.limits.limits import AccountLimits
from ryelever.state.observations import DemandRow, LeavingRow

#: What all parts sum to at most, over the limit, while rows arrive in time.
BOUND = math.exp(SETTLE / FALL)


def run(exchange: Exchange, seconds: float) -> float:
    """Run on, and return the largest sum of parts seen."""
    largest = 0.0
    until = exchange.now + seconds
    while exchange.now < until:
        exchange.step()
        largest = max(largest, exchange.parts())
    return largest


def at_first(index: int, now: float) -> float:
    """Offer everything at the first host."""
    return 200.0 if index == 0 else 0.0


def everywhere(index: int, now: float) -> float:
    """Offer twice the limit, evenly."""
    return 25.0


def nowhere(index: int, now: float) -> float:
    """Offer nothing."""
    return 0.0


def moving(index: int, now: float) -> float:
    """Offer twice the limit at one host, and at the next one after 10 s."""
    return 200.0 if int(now / 10.0) % 8 == index else 0.0


def sudden(index: int, now: float) -> float:
    """Offer eight times the limit, all of a sudden and then in turns."""
    return 100.0 if int(now / 6.0) % 2 == 1 else 0.0


@pytest.mark.parametrize("demand", [at_first, everywhere, nowhere, moving, sudden])
@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_parts_sum_to_no_more_than_the_bound(demand, loss: float) -> None:
    """However demand moves, all hosts together stay within the stated bound.

    Symptom: an account uses several times its limit whenever its callers move.
    Sequence: demand at one host, everywhere, moving, or appearing everywhere at
    once; rows 1 s late; some lost.
    Cause: hosts that count demand of which their peers have not heard yet.
    """
    exchange = Exchange(n_hosts=8, limit=100.0, demand=demand, loss=loss)
    largest = run(exchange, 60.0)
    assert largest <= BOUND * (1.0 if not loss else 1.25)


@pytest.mark.parametrize(
    ("demand", "least"), [(at_first, 0.9), (everywhere, 0.75), (moving, 0.4)]
)
def test_limit_can_be_used_where_the_demand_is(demand, least: float) -> None:
    exchange = Exchange(n_hosts=8, limit=100.0, demand=demand)
    run(exchange, 20.0)
    before = exchange.n_admitted()
    run(exchange, 40.0)
    assert (exchange.n_admitted() - before) / (100.0 * 40.0) >= least


def test_small_concurrency_limit_is_usable_and_bounded() -> None:
    exchange = Exchange(n_hosts=8, limit=3.0, demand=at_first)
    run(exchange, 5.0)
    assert exchange.hosts[0].limits.concurrency(ACCOUNT, 3, now=exchange.now) >= 2
    assert exchange.hosts[1].limits.concurrency(ACCOUNT, 3, now=exchange.now) <= 1


@pytest.mark.parametrize(("n_cut", "factor"), [(1, 1.0), (2, 1.0), (4, 1.0), (6, 1.0)])
def test_cut_off_hosts_keep_their_last_part(n_cut: int, factor: float) -> None:
    """A cut-off zone serves on within its last share, though its demand grows.

    Symptom: during a partition both sides use the whole limit.
    Sequence: even demand; some hosts are cut off for two minutes; on the smaller
    side the demand grows tenfold; the partition heals.
    Cause: peers that are not heard were taken to have no demand on both sides.
    """
    small = set(range(n_cut)) if n_cut <= 4 else set(range(n_cut, 8))
    cut = (20.0, 140.0)

    def reaches(sender: int, receiver: int, now: float) -> bool:
        is_cut = cut[0] <= now < cut[1]
        return not is_cut or (sender in small) == (receiver in small)

    def demand(index: int, now: float) -> float:
        return 250.0 if index in small and now > 22.0 else 25.0

    exchange = Exchange(n_hosts=8, limit=100.0, demand=demand, reaches=reaches)
    run(exchange, 20.0)
    last = exchange.parts(among=sorted(small))
    run(exchange, 10.0)
    largest_side = 0.0
    while exchange.now < 140.0:
        exchange.step()
        largest_side = max(largest_side, exchange.parts(among=sorted(small)))
    assert 0.5 * last <= exchange.parts(among=sorted(small))
    assert largest_side <= last * 1.2 * factor
    assert exchange.parts() <= (1.0 + last) * BOUND
    if n_cut == 4:
        # Neither side is the larger one: both keep to what they had.
        assert exchange.parts() <= 1.15
    else:
        # The larger side takes the part of peers that may be dead.
        others = sorted(set(range(8)) - small)
        assert exchange.parts(among=others) >= 0.9
    run(exchange, 15.0)
    assert exchange.parts() <= BOUND


def test_part_of_a_dead_host_comes_back() -> None:
    exchange = Exchange(n_hosts=8, limit=100.0, demand=everywhere)
    run(exchange, 20.0)
    exchange.hosts[0].alive = False
    run(exchange, 15.0)
    assert exchange.parts() >= 0.9


def test_restarted_host_claims_nothing_that_others_hold() -> None:
    """A host that starts anew takes an even part until it hears its peers.

    Symptom: each restart of an entry host doubles an account's limit for a while.
    Sequence: all demand at one host; another one restarts and gets demand at once.
    Cause: a host that has heard nobody took the whole limit.
    """
    exchange = Exchange(n_hosts=8, limit=100.0, demand=at_first)
    run(exchange, 20.0)
    exchange.restart(3)
    exchange.demand = everywhere
    exchange.step()
    assert exchange.hosts[3].part <= 100.0 / 8 + 1e-6
    assert run(exchange, 20.0) <= BOUND


def test_stopped_host_does_not_come_back_with_its_old_part() -> None:
    """A host that was stopped for 30 s claims by what it still tells.

    Symptom: an account's limit is exceeded when a paused host goes on.
    Sequence: all demand at one host; it is stopped; the others share its part; it
    goes on.
    Cause: samples of the own demand that were taken as current though they were old.
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


@pytest.mark.parametrize(("n_elsewhere", "places"), [(0, 1), (2, 1), (3, 0)])
def test_part_below_one_is_rounded_up_while_there_is_room(
    n_elsewhere: int, places: int
) -> None:
    limits = AccountLimits(n_hosts=lambda: 8)
    row = DemandRow(
        client_account=ACCOUNT, rate=0.0, n_in_flight=n_elsewhere, n_waiting=0
    )
    limits.observed(row, peer="b", observed_at=0.0, now=0.0)
    assert limits.concurrency(ACCOUNT, 3, now=0.0) == places


def test_single_host_has_the_whole_limit() -> None:
    limits = AccountLimits(n_hosts=lambda: 1)
    assert limits.rate(ACCOUNT, 50.0, now=0.0) == 50.0
    assert limits.concurrency(ACCOUNT, 50, now=0.0) == 50


@pytest.mark.parametrize("limit", [0.0, 0.5, 1e6])
def test_odd_limits(limit: float) -> None:
    limits = AccountLimits(n_hosts=lambda: 4)
    assert limits.rate(ACCOUNT, limit, now=0.0) == limit / 4
    assert limits.concurrency(ACCOUNT, 0, now=0.0) == 0


def test_rows_of_other_kinds_are_passed_over() -> None:
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
    """The stated bound holds for any course of demand while no row is lost."""

    def demand(index: int, now: float) -> float:
        return demands[int(now / hold) % len(demands)][index]

    exchange = Exchange(n_hosts=4, limit=20.0, demand=demand, lag=0.75)
    assert run(exchange, 30.0) <= BOUND + 1e-9
