"""Measure the demand that arrives for each model."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .running_mean import RunningMean

if TYPE_CHECKING:
    from ...state.routes import EngineProfile

__all__ = ["DemandMeter", "time_in_batch"]

#: Seconds over which arrivals are averaged. A burst of some seconds shows in the
#: average; a moment with a few large requests doesn't.
AVERAGING_TIME = 4.0

#: Share of its slots that a busy group uses. The fuller a batch is, the less time each
#: token takes, so a demand computed with this share is a little high.
TYPICAL_UTILIZATION = 0.6

#: Weight of the operator's usual answer length in the average, as a number of answers.
#: The shortest answers end first, and an average that begins with them shows half of
#: the true length for the first twenty seconds of a host that gets three requests a
#: second.
PRIOR_ANSWERS = 10

#: Minimum time in seconds over which arrivals are taken to be averaged. With less, the
#: first request of a model would count as a burst.
MIN_AVERAGED_TIME = 1.0


def time_in_batch(
    engine: EngineProfile, model: str, *, n_prompt: float, n_answer: float
) -> float:
    """Return the seconds of a group's full capacity that a request takes up."""
    profile = engine.models_by_name.get(model)
    if profile is None:
        return 0.0
    n_running = max(1.0, TYPICAL_UTILIZATION * engine.slots)
    step = engine.step_time + n_running * engine.step_time_per_request
    decode_time = n_answer * step / n_running
    return profile.pace * (n_prompt / engine.prefill_rate + decode_time)


class DemandMeter:
    """Average the demand for each model, as the number of groups it keeps busy."""

    def __init__(self) -> None:
        self._rate_by_model: dict[str, float] = {}
        self._at_by_model: dict[str, float] = {}
        self._since_by_model: dict[str, float] = {}
        self._lengths_by_model: dict[str, RunningMean] = {}

    def arrived(self, model: str, seconds: float, *, now: float) -> None:
        """Record a request that keeps a group busy for some seconds."""
        self._since_by_model.setdefault(model, now)
        self._decay(model, now=now)
        self._rate_by_model[model] += seconds / AVERAGING_TIME

    def served(self, model: str, n_events: int) -> None:
        """Record the number of events of a complete stream."""
        self._lengths_by_model.setdefault(model, RunningMean()).add(n_events)

    def answer_length(self, model: str, engine: EngineProfile) -> float:
        """Return the average number of tokens in an answer of a model.

        While few answers have ended, the average stays near the usual length that the
        operator has configured.
        """
        lengths = self._lengths_by_model.get(model)
        if lengths is None:
            return engine.usual_answer
        effective_count = lengths.effective_count
        total = effective_count * lengths.mean * engine.tokens_per_event
        total += PRIOR_ANSWERS * engine.usual_answer
        return total / (effective_count + PRIOR_ANSWERS)

    def by_model(self, *, now: float) -> dict[str, float]:
        """Return the current demand of each model, in groups kept busy.

        The average is scaled to the time since the first request: otherwise a host
        would seem idle for its first seconds.
        """
        work = {}
        for model in self._rate_by_model:
            self._decay(model, now=now)
            averaged_time = max(MIN_AVERAGED_TIME, now - self._since_by_model[model])
            share = 1.0 - math.exp(-averaged_time / AVERAGING_TIME)
            work[model] = self._rate_by_model[model] / share
        return work

    def _decay(self, model: str, *, now: float) -> None:
        elapsed = now - self._at_by_model.get(model, now)
        rate = self._rate_by_model.get(model, 0.0)
        self._rate_by_model[model] = rate * math.exp(-elapsed / AVERAGING_TIME)
        self._at_by_model[model] = now
