"""Fire events at monotonic times from a single heap.

Each ``circuits.Timer`` uses the wall clock and is polled on every pass of the event
loop: a clock that is set back would stretch a lease, and a thousand deadlines would
cost a thousand checks a pass.
"""

from __future__ import annotations

import heapq
import itertools
import math
import time
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent, handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from circuits import Event

__all__ = ["Timer", "Timers"]

#: Maximum seconds to wait for input, so that signals are noticed in time.
MAX_WAIT = 0.5

#: Fraction of an interval by which the clock's rounding may make a round begin early.
ROUNDING = 1e-3


class Timer(msgspec.Struct, kw_only=True):
    """One event that is due at a monotonic time.

    Attributes
    ----------
    interval : callable or None
        Return the seconds between rounds; None for an event that is due once.
    """

    due_at: float
    event: Event
    channels: tuple[str, ...]
    interval: Callable[[], float] | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Prevent the event from being fired."""
        self.cancelled = True


class Timers(BaseComponent):
    """Schedule the process's events.

    Rounds of a repeated event begin at whole multiples of its interval since the
    process's start, so that timers of 0.1 and 0.2 s wake the process ten times a second
    and not fifteen: most of the cost of a round is waking the process.
    """

    channel = "timers"

    def __init__(self) -> None:
        super().__init__()
        self._since = time.monotonic()
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    def after(self, delay: float, event: Event, channel: str) -> Timer:
        """Fire ``event`` on ``channel`` after ``delay`` seconds."""
        timer = Timer(due_at=time.monotonic() + delay, event=event, channels=(channel,))
        self._push(timer)
        return timer

    def every(
        self,
        interval: float | Callable[[], float],
        make_event: type[Event],
        *channels: str,
    ) -> Timer:
        """Fire an event of one class every ``interval`` seconds.

        One event for all channels costs a fraction of one event for each channel.

        Parameters
        ----------
        interval : float or callable
            Seconds, or a callable that returns them for each round.
        make_event : type of Event
            Class of the event; a new event is created for each round.
        *channels : str
            Channels on which each event is fired.
        """
        read = interval if callable(interval) else lambda: interval
        timer = Timer(
            due_at=self._next_round(read(), now=time.monotonic()),
            event=make_event,
            channels=channels,
            interval=read,
        )
        self._push(timer)
        return timer

    @handler("generate_events")
    def _on_generate_events(self, event: Event) -> None:
        now = time.monotonic()
        while self._heap and self._heap[0][0] <= now:
            timer = heapq.heappop(self._heap)[2]
            if not timer.cancelled:
                self._fire_due(timer, now=now)
        wait = self._heap[0][0] - now if self._heap else MAX_WAIT
        event.reduce_time_left(max(0.0, min(wait, MAX_WAIT)))

    def _fire_due(self, timer: Timer, *, now: float) -> None:
        if timer.interval is None:
            self.fire(timer.event, *timer.channels)
            return
        self.fire(timer.event(), *timer.channels)
        # After a pause, missed rounds are skipped, as handlers of periodic events check
        # the current state only.
        timer.due_at = self._next_round(timer.interval(), now=now)
        self._push(timer)

    def _next_round(self, interval: float, *, now: float) -> float:
        """Return when the next round of an interval begins."""
        n_begun = math.floor((now - self._since) / interval + ROUNDING)
        return self._since + (n_begun + 1) * interval

    def _push(self, timer: Timer) -> None:
        heapq.heappush(self._heap, (timer.due_at, next(self._sequence), timer))
