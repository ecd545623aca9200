"""Test the measurement of the demand that arrives for each model."""

from __future__ import annotations

import random

import pytest

from ryelever.coordination.relaying import DemandMeter, time_in_batch
from ryelever.state.observations import WaitingRow

from ..test_groups.test_group_forming import ENGINE

#: Requests a second at one host, as in a fleet that gets thirty requests a second.
RATE = 3.0
#: Mean numbers of events after the first one in the answers to two equally frequent
#: kinds of requests.
MEANS = (29.0, 4.0)
SECONDS_AN_EVENT = 0.05


def _measured(*, until: float, seed: int) -> float:
    """Return the measured demand of that mix as a ratio of the true demand."""
    draws = random.Random(seed)
    meter = DemandMeter()
    ends: list[tuple[float, int]] = []
    true_work = 0.0
    now = 0.0
    while (now := now + draws.expovariate(RATE)) < until:
        for ended in sorted(item for item in ends if item[0] <= now):
            ends.remove(ended)
            meter.served("large", ended[1])
        n_events = 1 + round(draws.expovariate(1.0 / draws.choice(MEANS)))
        ends.append((now + n_events * SECONDS_AN_EVENT, n_events))
        length = meter.answer_length("large", ENGINE)
        seconds = time_in_batch(ENGINE, "large", n_prompt=1700, n_answer=length)
        meter.arrived("large", seconds, now=now)
    mean_length = (sum(MEANS) / 2 + 1) * ENGINE.tokens_per_event
    true_work = RATE * time_in_batch(
        ENGINE, "large", n_prompt=1700, n_answer=mean_length
    )
    return meter.by_model(now=until)["large"] / true_work


@pytest.mark.parametrize("until", [2.0, 4.0, 8.0, 16.0])
def test_demand_is_accurate_within_seconds(until: float) -> None:
    """Guard against demand that planners see too late.

    Traffic starts, or a host restarts, and short answers end first. An average that
    began at zero, with the length of the first answers, would be too low, and a model
    would get its next groups twenty seconds after its callers arrived.
    """
    found = [_measured(until=until, seed=seed) for seed in range(200)]
    assert 0.8 < sum(found) / len(found) < 1.25


def test_demand_decays_without_requests() -> None:
    meter = DemandMeter()
    for tick in range(100):
        meter.arrived("large", 0.1, now=tick * 0.1)
    assert meter.by_model(now=10.0)["large"] == pytest.approx(1.0, rel=0.1)
    assert meter.by_model(now=30.0)["large"] < 0.01


def test_single_request_is_not_a_burst() -> None:
    meter = DemandMeter()
    meter.arrived("large", 0.2, now=5.0)
    assert meter.by_model(now=5.0)["large"] < 0.25


def test_usual_answer_length_applies_until_some_answers_have_ended() -> None:
    meter = DemandMeter()
    assert meter.answer_length("large", ENGINE) == ENGINE.usual_answer
    meter.served("large", 1)
    assert meter.answer_length("large", ENGINE) > 0.8 * ENGINE.usual_answer
    for _ in range(500):
        meter.served("large", 40)
    assert meter.answer_length("large", ENGINE) > 0.9 * 40 * ENGINE.tokens_per_event


def _demand_after_burst(*, contended: bool) -> list[float]:
    """Return the demand 1.5 s into a burst of twice the rate, and 6 s after its end."""
    meter = DemandMeter()
    found = []
    for tick in range(290):
        now = tick * 0.1
        meter.arrived("large", 0.1, now=now, contended=contended)
        if 20.0 <= now < 23.0:
            meter.arrived("large", 0.1, now=now, contended=contended)
        if tick in (215, 289):
            found.append(meter.by_model(now=now)["large"])
    return found


def test_demand_of_a_contended_service_shows_a_burst_within_two_seconds() -> None:
    """Guard against a burst that is over before groups are formed for it.

    For other services the average over four seconds applies.
    """
    assert _demand_after_burst(contended=True) == pytest.approx([1.67, 1.05], abs=0.05)
    assert _demand_after_burst(contended=False) == pytest.approx([1.34, 1.14], abs=0.05)


def test_urgent_demand_is_a_part_of_the_demand() -> None:
    meter = DemandMeter()
    for tick in range(200):
        urgent = tick % 4 == 0
        meter.arrived("large", 0.1, now=tick * 0.1, contended=True, urgent=urgent)
        meter.arrived("small", 0.1, now=tick * 0.1, contended=True)
    urgent_by_model = meter.urgent_by_model(now=20.0)
    total = meter.by_model(now=20.0)["large"]
    assert urgent_by_model == {"large": pytest.approx(total / 4, rel=0.2)}


def test_waiting_work_ignores_rows_that_are_not_configured() -> None:
    """Guard against a peer with another configuration whose rows stop a planner."""
    meter = DemandMeter()
    row = WaitingRow(
        service="engines", model="large", rank=(0, 0), late=False, count=10
    )
    rows = [
        row,
        WaitingRow(service="gone", model="large", rank=(0, 0), late=False, count=9),
        WaitingRow(service="engines", model="gone", rank=(0, 0), late=False, count=9),
    ]
    one = time_in_batch(
        ENGINE, "large", n_prompt=ENGINE.usual_prompt, n_answer=ENGINE.usual_answer
    )
    work = meter.waiting_work(rows, {"engines": ENGINE})
    assert work == {"large": pytest.approx(10 * one)}
