"""Record repairs with cause, decision and outcome for the console's status page.

The records in the log contain the decision and its cause.  Whether the decision worked
is only known from later reports of the hosts.  Each entry host combines both.
``planner/placement_history.py`` keeps similar lines for the diagnostic dump.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..state.placement import Group, PlacementFold
    from .confirmation import Confirmations

__all__ = ["GroupWatch", "Repair", "RepairHistory"]

#: Maximum number of repairs that are kept.
N_REPAIRS = 200


@dataclass(slots=True, kw_only=True)
class Repair:
    """A change of the placement.

    Attributes
    ----------
    at : float
        Monotonic time at which this entry host read the change.
    ended_at : float or None
        Monotonic time at which the outcome was known; None before that.
    """

    at: float
    availability_zone: str
    group: str
    cause: str
    decision: str
    outcome: str
    ended_at: float | None = None

    def end(self, outcome: str, *, now: float) -> None:
        """Set the outcome unless it is already known.

        The fleet is checked about once a second, so the duration is rounded up to
        full seconds.
        """
        if self.ended_at is None:
            self.outcome = f"{outcome} within {math.ceil(now - self.at) or 1} s"
            self.ended_at = now


@dataclass(slots=True, kw_only=True)
class GroupWatch:
    """A group's state and the time since which this entry host sees it.

    Attributes
    ----------
    state : str
        ``"forming"``, ``"serving"``, ``"broken"`` (the group served and a member is
        missing now) or ``"dissolving"``.
    """

    state: str
    since: float
    repair: Repair


class RepairHistory:
    """Track the groups of all availability zones and record their repairs.

    Attributes
    ----------
    watches_by_group : dict of str to GroupWatch
        Existing groups by name.
    repairs : deque of Repair
        The latest ``N_REPAIRS`` repairs, the newest last.
    """

    def __init__(self) -> None:
        self.watches_by_group: dict[str, GroupWatch] = {}
        self.repairs: deque[Repair] = deque(maxlen=N_REPAIRS)

    def tick(
        self,
        placements_by_zone: dict[str, PlacementFold],
        confirmations: Confirmations,
        *,
        now: float,
    ) -> None:
        """Update the state of all groups from the placements and the reports."""
        present: set[str] = set()
        for zone, placement in placements_by_zone.items():
            for group in placement.groups_by_name.values():
                present.add(group.name)
                complete = confirmations.is_complete(group, now=now)
                self._update(group, zone, complete=complete, now=now)
        for name in self.watches_by_group.keys() - present:
            watch = self.watches_by_group.pop(name)
            watch.repair.end("every host was released", now=now)

    def _update(self, group: Group, zone: str, *, complete: bool, now: float) -> None:
        watch = self.watches_by_group.get(group.name)
        if watch is None:
            repair = self._add_formation(group, zone, now=now)
            watch = GroupWatch(state="forming", since=now, repair=repair)
            self.watches_by_group[group.name] = watch
        state = _next_state(watch.state, group, complete=complete)
        if state == watch.state:
            return
        if state == "serving":
            watch.repair.end("serves", now=now)
        if state == "dissolving":
            watch.repair.end("was dissolved before it served,", now=now)
            watch.repair = self._add_dissolution(group, zone, now=now)
        watch.state = state
        watch.since = now

    def _add_formation(self, group: Group, zone: str, *, now: float) -> Repair:
        return self._add(
            Repair(
                at=now,
                availability_zone=zone,
                group=group.name,
                cause=group.reason or "not recorded",
                decision=(
                    f"form a group for {group.model} {group.version} "
                    f"on {', '.join(group.members)}"
                ),
                outcome="waits for every member to confirm",
            )
        )

    def _add_dissolution(self, group: Group, zone: str, *, now: float) -> Repair:
        return self._add(
            Repair(
                at=now,
                availability_zone=zone,
                group=group.name,
                cause=group.dissolved_reason or "not recorded",
                decision=f"dissolve the group of {', '.join(group.members)}",
                outcome="waits for its hosts to be released",
            )
        )

    def _add(self, repair: Repair) -> Repair:
        self.repairs.append(repair)
        return repair


def _next_state(state: str, group: Group, *, complete: bool) -> str:
    if group.dissolved:
        return "dissolving"
    if complete:
        return "serving"
    return "broken" if state in ("serving", "broken") else "forming"
