"""Collect the contents of the status page.

The page shows groups, repairs, group downtime and stranded accelerators.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..coordination.confirmation import Confirmations
    from ..coordination.measures import Downtime, Measures, Sample
    from ..coordination.repairs import Repair, RepairHistory
    from ..state.placement import Group, PlacementFold

__all__ = ["GroupRow", "MemberRow", "Plot", "RepairRow", "Status", "StatusView"]

#: Number of repairs that the page shows, the newest first.
MAX_SHOWN_REPAIRS = 50

#: Size of a plot, in units of its SVG view box.
PLOT_WIDTH = 600
PLOT_HEIGHT = 100


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberRow:
    """One member of a group and the state that its host reports.

    Attributes
    ----------
    expected : bool
        Whether the host confirms that it serves in the group, or was released from it.
    """

    host: str
    state: str
    expected: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class GroupRow:
    """One group, as shown in the table of groups.

    Attributes
    ----------
    since : float
        Seconds since this entry host first saw the group in its state.
    """

    name: str
    availability_zone: str
    model: str
    version: str
    fencing: int
    state: str
    since: float
    reason: str
    members: list[MemberRow]


@dataclass(slots=True, kw_only=True, frozen=True)
class RepairRow:
    """One repair, as shown in the table of repairs.

    Attributes
    ----------
    age : float
        Seconds since this entry host learned of the repair.
    """

    age: float
    availability_zone: str
    group: str
    cause: str
    decision: str
    outcome: str
    settled: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class Plot:
    """Samples of one measure as a stepped line.

    Attributes
    ----------
    points : str
        Coordinates in the form of the ``points`` attribute of SVG.
    highest : int
        Value at the top of the plot.
    minutes : float
        Minutes from the first sample to now.
    """

    points: str
    highest: int
    minutes: float


@dataclass(slots=True, kw_only=True, frozen=True)
class StatusView:
    """Values that the status page shows."""

    groups: list[GroupRow]
    repairs: list[RepairRow]
    downtime_by_group: dict[tuple[str, str], Downtime]
    n_groups_down: int
    downtime_seconds: float
    n_stranded: int
    stranded_seconds: float
    observed: float
    unobserved: float
    downtime_plot: Plot
    stranded_plot: Plot


class Status:
    """Compose the status page from the state that this entry host knows."""

    def __init__(
        self,
        *,
        placements_by_zone: dict[str, PlacementFold],
        confirmations: Confirmations,
        measures: Measures,
        repairs: RepairHistory,
    ) -> None:
        self._placements_by_zone = placements_by_zone
        self._confirmations = confirmations
        self._measures = measures
        self._repairs = repairs

    def view(self, *, now: float) -> StatusView:
        """Return the contents of the page as of ``now``, in monotonic seconds."""
        measures = self._measures
        return StatusView(
            groups=self._groups(now=now),
            repairs=[
                _repair_row(repair, now=now)
                for repair in list(self._repairs.repairs)[: -MAX_SHOWN_REPAIRS - 1 : -1]
            ],
            downtime_by_group=dict(sorted(measures.downtime_by_group.items())),
            n_groups_down=measures.n_groups_down,
            downtime_seconds=measures.downtime_seconds,
            n_stranded=measures.n_stranded,
            stranded_seconds=measures.stranded_seconds,
            observed=measures.observed,
            unobserved=measures.unobserved,
            downtime_plot=_plot(
                measures.samples, lambda sample: sample.n_groups_down, now=now
            ),
            stranded_plot=_plot(
                measures.samples, lambda sample: sample.n_stranded, now=now
            ),
        )

    def _groups(self, *, now: float) -> list[GroupRow]:
        return [
            self._group_row(group, zone, now=now)
            for zone, placement in sorted(self._placements_by_zone.items())
            for group in placement.groups_by_name.values()
        ]

    def _group_row(self, group: Group, zone: str, *, now: float) -> GroupRow:
        watch = self._repairs.watches_by_group.get(group.name)
        return GroupRow(
            name=group.name,
            availability_zone=zone,
            model=group.model,
            version=group.version,
            fencing=group.fencing,
            state=watch.state if watch is not None else "forming",
            since=now - watch.since if watch is not None else 0.0,
            reason=group.dissolved_reason or group.reason,
            members=[self._member_row(host, group, now=now) for host in group.members],
        )

    def _member_row(self, host: str, group: Group, *, now: float) -> MemberRow:
        report = self._confirmations.fresh(host, now=now)
        if host not in group.unreleased:
            state = "released"
        elif report is None:
            state = "no fresh report"
        elif report.group and report.group != group.name:
            state = f"{report.state} in another group"
        else:
            state = report.state
        confirms = self._confirmations.confirms(host, group, now=now)
        expected = confirms or state == "released"
        return MemberRow(host=host, state=state, expected=expected)


def _repair_row(repair: Repair, *, now: float) -> RepairRow:
    return RepairRow(
        age=now - repair.at,
        availability_zone=repair.availability_zone,
        group=repair.group,
        cause=repair.cause,
        decision=repair.decision,
        outcome=repair.outcome,
        settled=repair.ended_at is not None,
    )


def _plot(
    samples: Iterable[Sample], value_of: Callable[[Sample], int], *, now: float
) -> Plot:
    values = [(sample.at, value_of(sample)) for sample in samples]
    if not values:
        return Plot(points="", highest=0, minutes=0.0)
    first = values[0][0]
    span = max(now - first, 1e-9)
    highest = max(value for _, value in values)
    points = []
    y = None
    for at, value in [*values, (now, values[-1][1])]:
        x = PLOT_WIDTH * (at - first) / span
        if y is not None:
            points.append(f"{x:.1f},{y:.1f}")
        y = PLOT_HEIGHT * (1 - value / max(highest, 1))
        points.append(f"{x:.1f},{y:.1f}")
    return Plot(points=" ".join(points), highest=highest, minutes=span / 60)
