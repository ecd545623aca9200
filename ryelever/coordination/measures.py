"""Measure group downtime and stranded accelerators over time.

Group downtime counts, for each availability zone and model, the declared replica
groups that cannot serve.  Stranded accelerators are those of hosts that answer but
belong to no serving group.
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

#: Seconds between two samples, and the number of samples that are kept.
SAMPLE_INTERVAL = 10.0
N_SAMPLES = 360

#: Maximum seconds between two ticks that count as observed.  After a longer time this
#: process was paused, and the state of the fleet meanwhile is unknown.
MAX_TICK_INTERVAL = 5.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Sample:
    """The maxima of both measures within a sample interval.

    An outage of two seconds would fall between two momentary samples, and the plot
    would not show it.

    Attributes
    ----------
    at : float
        Monotonic time at which the interval started.
    n_groups_down : int
        Number of declared groups that could not serve.
    n_stranded : int
        Number of accelerators of hosts that answered but served in no group.
    """

    at: float
    n_groups_down: int
    n_stranded: int


@dataclass(slots=True, kw_only=True)
class Downtime:
    """The downtime of a model in an availability zone.

    Attributes
    ----------
    n_wanted, n_serving : int
        Number of declared replica groups and of groups that serve.
    seconds : float
        Seconds during which declared groups could not serve, summed over the groups.
    """

    n_wanted: int = 0
    n_serving: int = 0
    seconds: float = 0.0

    @property
    def n_down(self) -> int:
        """Return the number of declared groups that cannot serve."""
        return max(0, self.n_wanted - self.n_serving)


@dataclass(slots=True, kw_only=True)
class MeasuresView:
    """The state of the fleet from which both measures are computed."""

    configuration: Configuration
    placements_by_zone: dict[str, PlacementFold]
    hosts_by_name: dict[str, ListedHost]
    confirmations: Confirmations


@dataclass(slots=True, kw_only=True)
class Measures:
    """Sum both measures over time and keep samples of the last hour.

    Attributes
    ----------
    downtime_by_group : dict of (str, str) to Downtime
        Downtime by availability zone and model.
    stranded_seconds : float
        Sum over time of stranded accelerators, in accelerator-seconds.
    removed_seconds : float
        Downtime in seconds of models that are no longer declared.
    observed, unobserved : float
        Seconds that were measured, and seconds lost to pauses of this process.
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
        """Return the number of declared groups that cannot serve."""
        return sum(downtime.n_down for downtime in self.downtime_by_group.values())

    @property
    def downtime_seconds(self) -> float:
        """Return the total downtime of all groups in seconds."""
        seconds = (downtime.seconds for downtime in self.downtime_by_group.values())
        return self.removed_seconds + sum(seconds)

    def tick(self, view: MeasuresView, *, now: float) -> None:
        """Add the time since the last tick to the measures and update their values."""
        self._add_elapsed(now=now)
        self._update(view, now=now)
        self._add_sample(now=now)

    def _add_sample(self, *, now: float) -> None:
        current = Sample(
            at=now, n_groups_down=self.n_groups_down, n_stranded=self.n_stranded
        )
        if not self.samples or now - self.samples[-1].at >= SAMPLE_INTERVAL:
            self.samples.append(current)
            return
        latest = self.samples.pop()
        self.samples.append(
            Sample(
                at=latest.at,
                n_groups_down=max(latest.n_groups_down, current.n_groups_down),
                n_stranded=max(latest.n_stranded, current.n_stranded),
            )
        )

    def _add_elapsed(self, *, now: float) -> None:
        elapsed = 0.0 if self._ticked_at is None else now - self._ticked_at
        self._ticked_at = now
        if elapsed > MAX_TICK_INTERVAL:
            self.unobserved += elapsed
            return
        self.observed += elapsed
        self.stranded_seconds += self.n_stranded * elapsed
        for downtime in self.downtime_by_group.values():
            downtime.seconds += downtime.n_down * elapsed

    def _update(self, view: MeasuresView, *, now: float) -> None:
        serving: set[str] = set()
        n_serving: dict[tuple[str, str], int] = {}
        for zone, placement in view.placements_by_zone.items():
            for group in placement.groups_by_name.values():
                if view.confirmations.is_complete(group, now=now):
                    serving.update(group.members)
                    key = (zone, group.model)
                    n_serving[key] = n_serving.get(key, 0) + 1
        self._update_models(view, n_serving)
        self.n_stranded = sum(
            listed.accelerators
            for name, listed in view.hosts_by_name.items()
            if listed.kind == "engine"
            and listed.availability_zone in view.placements_by_zone
            and name not in serving
            and view.confirmations.fresh(name, now=now) is not None
        )

    def _update_models(
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
