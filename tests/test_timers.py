"""Test the times at which timers fire."""

from __future__ import annotations

import pytest
from circuits import Event

from ryelever import timers as timers_module
from ryelever.timers import Timers


class short_round(Event):  # noqa: N801
    """Fire every 0.1 s."""


class long_round(Event):  # noqa: N801
    """Fire every 0.2 s."""


class Clock:
    """Stand in for the monotonic clock."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Replace the clock of the timers."""
    stopped = Clock()
    monkeypatch.setattr(timers_module, "time", stopped)
    return stopped


@pytest.fixture
def fired(clock: Clock) -> list[tuple[float, str]]:
    """Return the times and names of the events that two timers fire."""
    timers = Timers()
    found: list[tuple[float, str]] = []
    timers.fire = lambda event, channel: found.append((clock.now, event.name))
    timers.every(0.1, short_round, "any")
    clock.now += 0.03
    timers.every(0.2, long_round, "any")
    # Rounds are noticed up to 4 ms late, and once the process is stopped for 0.37 s.
    for step in range(400):
        clock.now += 0.375 if step == 200 else 0.005
        _fire_due_timers(timers)
    return found


def _fire_due_timers(timers: Timers) -> None:
    event = Event()
    event.reduce_time_left = lambda seconds: None
    timers._on_generate_events(event)


def test_timers_of_different_intervals_fire_together(
    fired: list[tuple[float, str]],
) -> None:
    """Guard against an idle host that wakes twice as often as needed.

    Timers are created one after the other, one of them late, and the process is
    stopped for a while.  If each timer's rounds counted from its own creation or from
    the end of the pause, rounds of different timers wouldn't coincide, and an idle
    host would wake forty times a second where twenty suffice.
    """
    short = {when for when, name in fired if name == "short_round"}
    long = [when for when, name in fired if name == "long_round"]
    assert len(long) >= 8
    assert short.issuperset(long)


def test_missed_rounds_are_skipped(fired: list[tuple[float, str]]) -> None:
    times = [when for when, name in fired if name == "short_round"]
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert min(gaps) > 0.05
    assert max(gaps) < 0.48
