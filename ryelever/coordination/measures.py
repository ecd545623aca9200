"""Measure group downtime and stranded accelerators as time goes by.

Group downtime counts, for each availability zone and model, the replica groups that
are declared and cannot serve.  Stranded accelerators are those of hosts that answer
but belong to no group that serves.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..state.configuration import Configuration
    from ..state.fleet import ListedHost
    from ..state.placement import PlacementFold
    from .confirmation import Confirmations

__all__ = ["Measures", "Sample"]

#: Seconds between two samples that are kept, and how many are.
SAMPLE_INTERVAL = 10.0
N_SAMPLES = 360

#: Longest time between two ticks that still counts as observed.  Beyond it this
#: process was paused, and what the fleet did meanwhile is not known.
MAX_GAP = 5.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Sample:
    """Hold the highest values of both measures within one interval.

    An outage of two seconds falls between two samples of the moment alone, and the
    plot would show that nothing happened.

    Attributes
    ----------
    at : float
        Monotonic time at which the interval began.
    n_groups_down : int
        Declared groups that could not serve.
    n_stranded : int
        Accelerators of hosts that answered and served in no group.
    """

    at: float
    n_groups_down: int
    n_stranded: int


@dataclass(slots=True, kw_only=True)
class Downtime:
    """Hold how one model fares in one availability zone.

    Attributes
    ----------
    n_wanted, n_serving : int
        Replica groups declared, and those that serve.
    seconds : float
        Seconds that declared groups could not serve, summed over the groups.
    """

    n_wanted: int = 0
    n_serving: int = 0
    seconds: float = 0.0

    @property
    def n_down(self) -> int:
        """Return how many declared groups cannot serve."""
        return max(0, self.n_wanted - self.n_serving)


@dataclass(slots=True, kw_only=True)
class MeasuresView:
    """Hold what both measures are computed from."""

    configuration: Configuration
    placements_by_zone: dict[str, PlacementFold]
    hosts_by_name: dict[str, ListedHost]
    confirmations: Confirmations


@dataclass(slots=True, kw_only=True)
class Measures:
    """Sum both measures, and keep samples of the last hour.

    Attributes
    ----------
    downtime_by_group : dict of (str, str) to Downtime
        By availability zone and model.
    stranded_seconds : float
        Accelerators times seconds.
    removed_seconds : float
        Downtime of models that are no longer declared.
    observed, unobserved : float
        Seconds that were measured, and those lost to pauses of this process.
    """

    downtime_by_group: dict[tuple[str, str], Downtime] = field(default_factory=dict)
    samples: deque[Sample] = field(default_factory=lambda: deque(maxlen=N_SAMPLES))
    n_stranded: int = 0
    stranded_seconds: float = 0.0
    removed_seconds: float = 0.0
    observed: float = 0.0
    unobserved: float = 0.0
    _ticked_at: float | None = None

    @property
    def n_groups_down(self) -> int:
        """Return how many declared groups cannot serve."""
        return sum(downtime.n_down for downtime in self.downtime_by_group.values())

    @property
    def downtime_seconds(self) -> float:
        """Return the downtime of all groups together, in seconds."""
        seconds = (downtime.seconds for downtime in self.downtime_by_group.values())
        return self.removed_seconds + sum(seconds)

    def tick(self, view: MeasuresView, *, now: float) -> None:
        """Add the time since the last tick and look at the fleet again."""
        self._add(now=now)
        self._look(view, now=now)
        self._sample(now=now)

    def _sample(self, *, now: float) -> None:
        current = Sample(
            at=now, n_groups_down=self.n_groups_down, n_stranded=self.n_stranded
        )
        if not self.samples or now - self.samples[-1].at >= SAMPLE_INTERVAL:
            self.samples.append(current)
            return
        open_ = self.samples.pop()
        self.samples.append(
            Sample(
                at=open_.at,
                n_groups_down=max(open_.n_groups_down, current.n_groups_down),
                n_stranded=max(open_.n_stranded, current.n_stranded),
            )
        )

    def _add(self, *, now: float) -> None:
        elapsed = 0.0 if self._ticked_at is None else now - self._ticked_at
        self._ticked_at = now
        if elapsed > MAX_GAP:
            self.unobserved += elapsed
            return
        self.observed += elapsed
        self.stranded_seconds += self.n_stranded * elapsed
        for downtime in self.downtime_by_group.values():
            downtime.seconds += downtime.n_down * elapsed

    def _look(self, view: MeasuresView, *, now: float) -> None:
        serving: set[str] = set()
        n_serving: dict[tuple[str, str], int] = {}
        for zone, placement in view.placements_by_zone.items():
            for group in placement.groups_by_name.values():
                if view.confirmations.is_complete(group, now=now):
                    serving.update(group.members)
                    key = (zone, group.model)
                    n_serving[key] = n_serving.get(key, 0) + 1
        self._look_at_models(view, n_serving)
        self.n_stranded = sum(
            listed.accelerators
            for name, listed in view.hosts_by_name.items()
            if listed.kind == "engine"
            and listed.availability_zone in view.placements_by_zone
            and name not in serving
            and view.confirmations.fresh(name, now=now) is not None
        )

    def _look_at_models(
        self, view: MeasuresView, n_serving: dict[tuple[str, str], int]
    ) -> None:
        for zone in view.placements_by_zone:
            for model, declared in view.configuration.models.items():
                key = (zone, model)
                downtime = self.downtime_by_group.setdefault(key, Downtime())
                downtime.n_wanted = declared.n_groups
                downtime.n_serving = n_serving.get(key, 0)
        for key in list(self.downtime_by_group):
            if key[1] not in view.configuration.models:
                self.removed_seconds += self.downtime_by_group.pop(key).seconds
