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
    """Let any order of successes and failures ask for retries.

    Symptom: load stays high after callers have left.  Sequence: backend servers fail,
    each failure is sent again and fails again.  Cause: retries were bounded for each
    request, not over all of them.
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
        budget.died("group", now=now)
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
def test_a_death_pays_for_what_it_breaks_off(
    times: list[float], n_allowed: int
) -> None:
    """Kill a group under 100 streams, or let it fail all the time.

    Symptom: of 100 streams that one death breaks off, ten are resumed.  Sequence: all
    fail in one moment, long before successes earn as many retries.  Cause: the budget
    counted a death like a brown-out.  The other rows show that what fails all the
    time does not pass for a death.
    """
    budget = RetryBudget(reserve=0.0)
    assert _broken_off(budget, times) == n_allowed


def test_many_lone_failures_are_no_deaths() -> None:
    """Break off one attempt at each of 100 backend servers.

    Symptom: in a brown-out the load offered is 1.13 times the callers'.  Sequence:
    each backend server breaks a connection now and then, and each such failure is
    believed to be a death once in 30 s.  Cause: a lone failure earned its retry.
    """
    budget = RetryBudget(reserve=0.0)
    for number in range(100):
        budget.died(f"group-{number}", now=float(number))
        assert not budget.allow(n_attempts=1, now=float(number))
