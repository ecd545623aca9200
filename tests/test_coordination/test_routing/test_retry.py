"""Test the retry budget."""

from __future__ import annotations

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ryelever.coordination.routing.retry import RetryBudget

RESERVE = 10.0
SHARE = 0.08


@seed(5)
@settings(max_examples=60, deadline=None)
@given(outcomes=st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_the_share_of_successes(outcomes: list[bool]) -> None:
    """Retries stay within the budget for any order of successes and failures.

    Guards against load that stays high after callers have left: backend servers fail,
    and each failed attempt is sent again and fails again, because retries are limited
    for each request but not over all requests.
    """
    budget = RetryBudget(share=SHARE, reserve=RESERVE)
    n_retries = 0
    for now, succeeded in enumerate(outcomes):
        if succeeded:
            budget.succeeded(now=float(now))
        else:
            n_retries += budget.allow(n_attempts=1, now=float(now))
        n_successes = sum(outcomes[: now + 1])
        assert n_retries <= RESERVE + SHARE * n_successes


@pytest.mark.parametrize(
    ("n_attempts", "allowed"), [(1, True), (3, True), (4, False), (9, False)]
)
def test_attempts_of_one_request_are_bounded(n_attempts: int, allowed: bool) -> None:
    assert RetryBudget().allow(n_attempts=n_attempts, now=0.0) is allowed


def _broken_off(budget: RetryBudget, times: list[float]) -> int:
    n_allowed = 0
    for now in times:
        budget.record_death("group", now=now)
        n_allowed += budget.allow(n_attempts=1, now=now)
    return n_allowed


@pytest.mark.parametrize(
    ("times", "n_allowed"),
    [
        ([5.0] * 100, 99),
        ([5.0] * 50 + [7.0] * 50, 49),
        ([5.0] * 50 + [34.0] * 50, 49),
        ([5.0] * 50 + [35.0] * 50, 98),
    ],
    ids=["one death", "late failures", "dies too often", "dies again"],
)
def test_death_earns_retries_of_its_attempts(
    times: list[float], n_allowed: int
) -> None:
    """The attempts that one death breaks off are retried beyond the budget.

    Guards against a budget that counts a death like a brown-out: of 100 streams that
    one death breaks off at one moment, only ten would be resumed, because successes
    have not earned more retries.  The other rows show that a backend server that fails
    all the time does not count as dead each time.
    """
    budget = RetryBudget(reserve=0.0)
    assert _broken_off(budget, times) == n_allowed


def test_single_failures_do_not_count_as_deaths() -> None:
    """One broken attempt at each of 100 backend servers earns no retry.

    Guards against single failures that earn retries: in a brown-out each backend server
    breaks a connection now and then, each such failure would count as a death once in
    30 s, and the offered load would be 1.13 times that of the callers.
    """
    budget = RetryBudget(reserve=0.0)
    for number in range(100):
        budget.record_death(f"group-{number}", now=float(number))
        assert not budget.allow(n_attempts=1, now=float(number))
