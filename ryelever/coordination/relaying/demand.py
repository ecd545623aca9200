"""Measure the work that arrives for each model."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.routes import EngineProfile

__all__ = ["DemandMeter", "time_in_batch"]

#: Seconds over which arrivals are averaged: a burst of some seconds shows, a moment
#: with a few large requests doesn't.
AVERAGED_OVER = 4.0

#: Part of its slots that a busy group has in use; batches cost less a token the
#: fuller they are, so a demand that is assumed at this filling is a little high.
USUAL_FILLING = 0.6


#: Share of each new answer in the average length: fifty answers make it.
NEW_SHARE = 0.02


def time_in_batch(
    engine: EngineProfile, model: str, *, n_prompt: float, n_answer: float
) -> float:
    """Return the seconds for which a request keeps a whole group busy."""
    profile = engine.models_by_name.get(model)
    if profile is None:
        return 0.0
    n_running = max(1.0, USUAL_FILLING * engine.slots)
    step = engine.step_time + n_running * engine.step_time_per_request
    writing = n_answer * step / n_running
    return profile.pace * (n_prompt / engine.prefill_rate + writing)


class DemandMeter:
    """Average the work that arrives at this host, in groups kept busy, by model."""

    def __init__(self) -> None:
        self._rate_by_model: dict[str, float] = {}
        self._at_by_model: dict[str, float] = {}
        self._events_by_model: dict[str, float] = {}

    def arrived(self, model: str, seconds: float, *, now: float) -> None:
        """Take note of a request that keeps a group busy for some seconds."""
        self._decay(model, now=now)
        self._rate_by_model[model] += seconds / AVERAGED_OVER

    def served(self, model: str, n_events: int) -> None:
        """Take note of a whole stream and of its length."""
        known = self._events_by_model.get(model, float(n_events))
        self._events_by_model[model] = known + NEW_SHARE * (n_events - known)

    def answer_length(self, model: str, engine: EngineProfile) -> float:
        """Return the tokens that an answer of a model has on average."""
        n_events = self._events_by_model.get(model)
        if n_events is None:
            return engine.usual_answer
        return n_events * engine.tokens_per_event

    def by_model(self, *, now: float) -> dict[str, float]:
        """Return the work of each model as of now."""
        for model in self._rate_by_model:
            self._decay(model, now=now)
        return dict(self._rate_by_model)

    def _decay(self, model: str, *, now: float) -> None:
        passed = now - self._at_by_model.get(model, now)
        rate = self._rate_by_model.get(model, 0.0)
        self._rate_by_model[model] = rate * math.exp(-passed / AVERAGED_OVER)
        self._at_by_model[model] = now
