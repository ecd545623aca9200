"""Test the measurement of the demand that arrives for each model."""

from __future__ import annotations

import random

import pytest

from ryelever.coordination.relaying import DemandMeter, time_in_batch

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
