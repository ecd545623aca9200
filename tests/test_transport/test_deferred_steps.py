"""Test when costly steps run."""

from __future__ import annotations

import threading
import time

import pytest
from circuits.core.events import generate_events

from ryelever.transport.deferred_steps import DeferredSteps


class Clock:
    """A clock that steps and polls advance."""

    def __init__(self) -> None:
        self.now = 100.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(time, "monotonic", lambda: clock.now)
    return clock


def _poll(steps: DeferredSteps) -> float:
    """Run what is due before a poll; return how long the poll may take."""
    event = generate_events(threading.RLock(), 1.0)
    steps._on_generate_events(event)
    return event.time_left


def test_steps_take_half_of_the_time(clock: Clock) -> None:
    """Guard against steps that follow each other while other connections wait."""
    steps = DeferredSteps()
    ran: list[float] = []

    def step() -> None:
        ran.append(clock.now)
        clock.now += 0.2

    for _ in range(3):
        steps.add(step)
    assert _poll(steps) == 0
    assert _poll(steps) == pytest.approx(0.2)
    clock.now += 0.2
    assert _poll(steps) == 0
    assert _poll(steps) == pytest.approx(0.2)
    clock.now += 0.2
    _poll(steps)
    assert ran == pytest.approx([100.0, 100.4, 100.8])
    assert steps.n_waiting == 0
