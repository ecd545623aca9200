"""Estimate how long a group takes until the first event of a stream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ...state.directory import BackendServer
    from ...state.routes import EngineProfile

__all__ = ["OBSERVATION_AGE", "FirstEventEstimate"]

#: Passes of the batch until the first event: a prompt that arrives during a pass waits
#: for half of it on average, and its first event comes after one more pass.
PASSES_TO_FIRST_EVENT = 1.5

#: Limits of the ratio of an observed to an expected time. Without them, the first event
#: of a group that stalled for a second would outweigh all others.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0

#: Seconds within which the weight of an observation falls to 1 / e.
OBSERVATION_AGE = 5.0

#: Weight of the published figures in the average, as a number of observations. A host
#: that gets 3 requests a second observes each of 12 groups every 4 s, so that a single
#: late event would otherwise decide about a group for seconds.
PRIOR_OBSERVATIONS = 1.0

#: Seconds after which a server's observations, which then have a weight of less than
#: 0.001 each, are dropped.
OBSERVATIONS_KEPT = 8 * OBSERVATION_AGE

#: Exponent with which each observation corrects the expected times of all servers, and
#: the largest correction. The published figures leave out transmission and the wait for
#: the next pass of the batch.
CORRECTION_RATE = 0.02
MAX_CORRECTION = 4.0

#: Slowness from which a server gets fewer requests; less is within the variation of
#: first events at equal servers.
MIN_NOTICED_SLOWNESS = 2.5


class _Observations(msgspec.Struct, kw_only=True):
    """Ratios of observed to expected times of one server, weighted by their age."""

    weight: float = 0.0
    total: float = 0.0
    observed_at: float = 0.0

    def decay(self, *, now: float) -> float:
        """Return the factor by which the weights have fallen since the last one."""
        return math.exp(-max(0.0, now - self.observed_at) / OBSERVATION_AGE)


class FirstEventEstimate:
    """Estimate times to first events from published figures and from observations."""

    __slots__ = ("_correction", "_observations_by_id")

    def __init__(self) -> None:
        # Ratio of the times of all servers to the published figures.
        self._correction = 1.0
        # In the order of their last observations.
        self._observations_by_id: dict[str, _Observations] = {}

    def expected(
        self, profile: EngineProfile, model: str, *, n_prompt: float, n_running: float
    ) -> float:
        """Return the seconds to the first event at a group that has a free slot.

        The result is 0 for an unknown model.

        Parameters
        ----------
        n_prompt : float
            Tokens of the prompt; a negative number counts as 0.
        n_running : float
            Requests in the group's batch.
        """
        found = profile.models_by_name.get(model)
        if found is None:
            return 0.0
        step = profile.step_time + n_running * profile.step_time_per_request
        passes = PASSES_TO_FIRST_EVENT * profile.tokens_per_event * step
        published = max(0.0, n_prompt) / profile.prefill_rate + passes
        return found.pace * published * self._correction

    def observe(
        self, server_id: str, *, expected: float, seconds: float, now: float
    ) -> None:
        """Record how long a first event took at a server."""
        if expected <= 0.0:
            return
        observations = self._observations_by_id.pop(server_id, None)
        if observations is None:
            observations = _Observations()
        decay = observations.decay(now=now)
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, seconds / expected))
        correction = self._correction * ratio**CORRECTION_RATE
        self._correction = min(MAX_CORRECTION, max(1.0 / MAX_CORRECTION, correction))
        observations.weight = observations.weight * decay + 1.0
        observations.total = observations.total * decay + ratio
        observations.observed_at = now
        self._observations_by_id[server_id] = observations
        self._drop_old(now=now)

    def slowness(self, server_id: str, now: float) -> float:
        """Return the average ratio of observed to expected times at a server.

        The ratio is 1 without observations, and returns to 1 as they age.
        """
        observations = self._observations_by_id.get(server_id)
        if observations is None:
            return 1.0
        decay = observations.decay(now=now)
        total = observations.total * decay + PRIOR_OBSERVATIONS
        return total / (observations.weight * decay + PRIOR_OBSERVATIONS)

    def effective_slots(self, server: BackendServer, now: float) -> float:
        """Return the slots that a server counts with when requests are spread."""
        slowness = self.slowness(server.id, now)
        slots = float(server.slots)
        if slowness >= MIN_NOTICED_SLOWNESS:
            slots /= slowness
        return max(1.0, slots)

    def _drop_old(self, *, now: float) -> None:
        while True:
            server_id = next(iter(self._observations_by_id))
            observed_at = self._observations_by_id[server_id].observed_at
            if now - observed_at < OBSERVATIONS_KEPT:
                return
            del self._observations_by_id[server_id]
