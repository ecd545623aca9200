"""Keep a line with cause, decision and outcome of each change for the diagnostic dump.

The lines come from the folded records, so every entry host shows the same lines,
whichever host held the lease.  Only the outcome is this entry host's own observation.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.placement import PlacementChange, PlacementFold
    from ..confirmation import Confirmations

__all__ = ["PlacementHistoryLine", "PlacementHistory"]

#: Maximum number of lines kept for the operator.
MAX_LINES = 100

_IN_PROGRESS = "under way"


@dataclass(slots=True, kw_only=True)
class PlacementHistoryLine:
    """Cause, decision and outcome of one change, for the operator.

    Attributes
    ----------
    time : float
        The log service's time of the decision, in seconds since the epoch.
    group : str
        Group that the change forms or ends.  The outcome is that this group serves,
        or that all its hosts are released.
    """

    time: float
    availability_zone: str
    group: str
    cause: str
    decision: str
    outcome: str = _IN_PROGRESS


@dataclass(slots=True, kw_only=True)
class _PendingLine:
    """Line whose outcome is not known yet.

    Attributes
    ----------
    since : float
        Monotonic time at which this entry host read the decision.
    ends_group : bool
        Whether the outcome is the end of the group, rather than its serving.
    """

    line: PlacementHistoryLine
    since: float
    ends_group: bool


class PlacementHistory:
    """Record the changes of placement in all zones and their outcomes."""

    def __init__(
        self,
        *,
        placements_by_zone: dict[str, PlacementFold],
        confirmations: Confirmations,
    ) -> None:
        self._placements_by_zone = placements_by_zone
        self._confirmations = confirmations
        self._next_offset_by_zone = dict.fromkeys(placements_by_zone, 0)
        self._pending: list[_PendingLine] = []
        self.lines: list[PlacementHistoryLine] = []

    def observe(self, *, now: float) -> None:
        """Add lines for new records and update the outcomes of earlier lines."""
        for zone, placement in self._placements_by_zone.items():
            for change in self._new_changes(zone, placement):
                self._add_line(zone, change, now=now)
        self._pending = [
            entry for entry in self._pending if not self._update_outcome(entry, now=now)
        ]

    def _new_changes(
        self, zone: str, placement: PlacementFold
    ) -> list[PlacementChange]:
        start = self._next_offset_by_zone[zone]
        if placement.next_offset == start:
            return []
        self._next_offset_by_zone[zone] = placement.next_offset
        return [change for change in placement.changes if change.offset >= start]

    def _add_line(self, zone: str, change: PlacementChange, *, now: float) -> None:
        decision = _decision(change)
        if not decision:
            return
        line = PlacementHistoryLine(
            time=change.time,
            availability_zone=zone,
            group=change.group,
            cause=change.reason,
            decision=decision,
        )
        self.lines.append(line)
        del self.lines[:-MAX_LINES]
        ends_group = change.kind != "formed"
        self._pending.append(_PendingLine(line=line, since=now, ends_group=ends_group))
        del self._pending[:-MAX_LINES]

    def _update_outcome(self, entry: _PendingLine, *, now: float) -> bool:
        line = entry.line
        placement = self._placements_by_zone[line.availability_zone]
        group = placement.groups_by_name.get(line.group)
        seconds = f"{now - entry.since:.1f} s"
        if entry.ends_group:
            if group is None:
                line.outcome = f"all its hosts were free after {seconds}"
            return group is None
        if group is None or group.dissolved:
            line.outcome = f"ended before it served, after {seconds}"
            return True
        if self._confirmations.is_complete(group, now=now):
            line.outcome = f"serves since {seconds} after the decision"
            return True
        return False


def _decision(change: PlacementChange) -> str:
    hosts = ", ".join(change.hosts)
    match change.kind:
        case "formed" if change.replaces:
            return f"replaced {change.replaces} by {change.group} on {hosts}"
        case "formed":
            return f"formed {change.group} on {hosts}"
        case "draining":
            return f"started draining {change.group}"
        case "dissolved":
            return f"dissolved {change.group}"
        case "released" if change.reason != "left":
            return f"released {hosts} without its confirmation"
        case _:
            return ""
