"""Keep a line of cause, decision and outcome for each change of placement.

Filled from the folded records, so every entry host shows the same lines whoever
held the lease; only the outcome is what this entry host saw itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.placement import PlacementChange, PlacementFold
    from ..confirmation import Confirmations

__all__ = ["RepairLine", "Repairs"]

#: Lines kept for the operator.
N_KEPT_LINES = 100

_UNDER_WAY = "under way"


@dataclass(slots=True, kw_only=True)
class RepairLine:
    """Tell the operator what was done and why.

    Attributes
    ----------
    time : float
        The log service's time of the decision, seconds since the epoch.
    group : str
        Group whose serving, or whose hosts' release, is the outcome.
    """

    time: float
    availability_zone: str
    group: str
    cause: str
    decision: str
    outcome: str = _UNDER_WAY


@dataclass(slots=True, kw_only=True)
class _Open:
    """Hold a line whose outcome is not known yet."""

    line: RepairLine
    since: float
    ends_group: bool


class Repairs:
    """Follow the placement of all zones."""

    def __init__(
        self,
        *,
        placements_by_zone: dict[str, PlacementFold],
        confirmations: Confirmations,
    ) -> None:
        self._placements_by_zone = placements_by_zone
        self._confirmations = confirmations
        self._next_offset_by_zone = dict.fromkeys(placements_by_zone, 0)
        self._open: list[_Open] = []
        self.lines: list[RepairLine] = []

    def observe(self, *, now: float) -> None:
        """Add lines for new records and settle the outcomes of earlier ones."""
        for zone, placement in self._placements_by_zone.items():
            for change in self._new_changes(zone, placement):
                self._add(zone, change, now=now)
        self._open = [entry for entry in self._open if not self._settle(entry, now=now)]

    def _new_changes(
        self, zone: str, placement: PlacementFold
    ) -> list[PlacementChange]:
        start = self._next_offset_by_zone[zone]
        if placement.next_offset == start:
            return []
        self._next_offset_by_zone[zone] = placement.next_offset
        return [change for change in placement.changes if change.offset >= start]

    def _add(self, zone: str, change: PlacementChange, *, now: float) -> None:
        decision = _decision(change)
        if not decision:
            return
        line = RepairLine(
            time=change.time,
            availability_zone=zone,
            group=change.group,
            cause=change.reason,
            decision=decision,
        )
        self.lines.append(line)
        del self.lines[:-N_KEPT_LINES]
        ends_group = change.kind != "formed"
        self._open.append(_Open(line=line, since=now, ends_group=ends_group))
        del self._open[:-N_KEPT_LINES]

    def _settle(self, entry: _Open, *, now: float) -> bool:
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
            return f"gave {change.group} no new work"
        case "dissolved":
            return f"dissolved {change.group}"
        case "released" if change.reason != "left":
            return f"freed {hosts} without its word"
        case _:
            return ""
