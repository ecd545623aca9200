"""Measure the demand that arrives for each model."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .running_mean import RunningMean

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...state.observations import WaitingRow
    from ...state.routes import EngineProfile

__all__ = ["DemandMeter", "time_in_batch"]

#: Seconds over which arrivals are averaged. A burst of some seconds shows in the
#: average; a moment with a few large requests doesn't.
AVERAGING_TIME = 4.0

#: Seconds over which arrivals for contended services are averaged, so that a burst is
#: visible after one to two seconds.  Planners average the sum of all hosts again
#: (``groups.shifting``): one host's few requests are too few to tell a lull.
SHORT_AVERAGING_TIME = 1.5

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


class ExponentialAverage:
    """An exponential average of a rate, such as of a model's arriving work."""

    __slots__ = ("_at", "_rate", "_since", "_time")

    def __init__(self, *, averaging_time: float, now: float) -> None:
        self._time = averaging_time
        self._since = self._at = now
        self._rate = 0.0

    def add(self, seconds: float, *, now: float) -> None:
        """Record work that keeps a group busy for some seconds, or an amount."""
        self._decay(now=now)
        self._rate += seconds / self._time

    def value(self, *, now: float) -> float:
        """Return the average, in groups kept busy.

        It is scaled to the time since the first request: otherwise a host would seem
        idle for its first seconds.
        """
        self._decay(now=now)
        averaged_time = max(MIN_AVERAGED_TIME, now - self._since)
        return self._rate / (1.0 - math.exp(-averaged_time / self._time))

    def _decay(self, *, now: float) -> None:
        self._rate *= math.exp(-(now - self._at) / self._time)
        self._at = now


class DemandMeter:
    """Average the demand for each model, as the number of groups it keeps busy."""

    def __init__(self) -> None:
        self._average_by_model: dict[str, ExponentialAverage] = {}
        self._short_by_model: dict[str, ExponentialAverage] = {}
        self._urgent_by_model: dict[str, ExponentialAverage] = {}
        self._lengths_by_model: dict[str, RunningMean] = {}

    def arrived(
        self,
        model: str,
        seconds: float,
        *,
        now: float,
        contended: bool = False,
        urgent: bool = False,
    ) -> None:
        """Record a request that keeps a group busy for some seconds.

        Parameters
        ----------
        contended : bool
            True if the callers of the model's service compete for its capacity.
        urgent : bool
            True if the request has the most urgent of several priorities.
        """
        if model not in self._average_by_model:
            self._average_by_model[model] = ExponentialAverage(
                averaging_time=AVERAGING_TIME, now=now
            )
        self._average_by_model[model].add(seconds, now=now)
        if not contended:
            self._short_by_model.pop(model, None)
            self._urgent_by_model.pop(model, None)
            return
        # Both begin together, so that the urgent part is never the larger one.
        for averages, part in (
            (self._short_by_model, seconds),
            (self._urgent_by_model, seconds if urgent else 0.0),
        ):
            if model not in averages:
                averages[model] = ExponentialAverage(
                    averaging_time=SHORT_AVERAGING_TIME, now=now
                )
            averages[model].add(part, now=now)

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

        The average of a contended service's model is the short one.
        """
        averages_by_model = self._average_by_model | self._short_by_model
        return {model: item.value(now=now) for model, item in averages_by_model.items()}

    def urgent_by_model(self, *, now: float) -> dict[str, float]:
        """Return the part of the demand whose requests are the most urgent ones.

        The result has only models of contended services with such requests.
        """
        values = {
            model: item.value(now=now) for model, item in self._urgent_by_model.items()
        }
        return {model: value for model, value in values.items() if value > 0.0}

    def waiting_work(
        self, rows: Iterable[WaitingRow], engine_by_service: dict[str, EngineProfile]
    ) -> dict[str, float]:
        """Return the seconds for which waiting requests would keep a group busy.

        Rows whose service or model is not in the configuration don't count.
        """
        work_by_model: dict[str, float] = {}
        for row in rows:
            engine = engine_by_service.get(row.service)
            if engine is None or row.count <= 0:
                continue
            seconds = row.count * time_in_batch(
                engine,
                row.model,
                n_prompt=engine.usual_prompt,
                n_answer=self.answer_length(row.model, engine),
            )
            if seconds:
                work_by_model[row.model] = work_by_model.get(row.model, 0.0) + seconds
        return work_by_model
