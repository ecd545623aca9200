"""Carry out costly steps one at a time, between polls."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from circuits.core.events import generate_events

__all__ = ["DeferredSteps"]


class DeferredSteps(BaseComponent):
    """Queue steps that take long for the bytes that caused them.

    One step runs between two polls, so that all other connections are handled in
    between, and after each step none runs for as long as it took with all that followed
    from it: together they take half of the process's time at most.

    Attributes
    ----------
    n_run : int
        Number of steps that have run.
    """

    channel = "deferred_steps"

    def __init__(self) -> None:
        super().__init__()
        self._steps: deque[Callable[[], None]] = deque()
        self._started_at: float | None = None
        self._next_at = float("-inf")
        self.n_run = 0

    @property
    def n_waiting(self) -> int:
        """Return the number of steps that wait."""
        return len(self._steps)

    def add(self, step: Callable[[], None]) -> None:
        """Run a step after all that wait already."""
        self._steps.append(step)

    @handler("generate_events", channel="*", priority=1)
    def _on_generate_events(self, event: generate_events) -> None:
        if self._started_at is None and not self._steps:
            return
        now = time.monotonic()
        if self._started_at is not None:
            # All events that followed from the last step have been dispatched.
            self._next_at = now + (now - self._started_at)
            self._started_at = None
        if not self._steps:
            return
        if now < self._next_at:
            event.reduce_time_left(self._next_at - now)
            return
        self._started_at = now
        self.n_run += 1
        event.reduce_time_left(0)
        self._steps.popleft()()
