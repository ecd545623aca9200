"""Tell each change of the placement as cause, decision and outcome.

The records in the log say what was decided and why; whether it worked shows only in
what the hosts report later.  Both are joined here, at every entry host alike.
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

#: How many repairs are kept.
N_REPAIRS = 200


@dataclass(slots=True, kw_only=True)
class Repair:
    """Hold one change of the placement.

    Attributes
    ----------
    at : float
        Monotonic time at which this entry host learned of it.
    ended_at : float or None
        Monotonic time at which its outcome was known.
    """

    at: float
    availability_zone: str
    group: str
    cause: str
    decision: str
    outcome: str
    ended_at: float | None = None

    def end(self, outcome: str, *, now: float) -> None:
        """Settle the outcome, unless it is settled already.

        The fleet is looked at about once a second, so the time is rounded up.
        """
        if self.ended_at is None:
            self.outcome = f"{outcome} within {math.ceil(now - self.at) or 1} s"
            self.ended_at = now


@dataclass(slots=True, kw_only=True)
class GroupWatch:
    """Hold a group's state and since when this entry host has seen it.

    Attributes
    ----------
    state : str
        ``"forming"``, ``"serving"``, ``"broken"`` (served, and a member is missing)
        or ``"dissolving"``.
    """

    state: str
    since: float
    repair: Repair


class RepairHistory:
    """Follow the groups of every availability zone, tick by tick.

    Attributes
    ----------
    watches_by_group : dict of str to GroupWatch
        Groups that exist.
    repairs : deque of Repair
        The newest last; bounded.
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
        """Compare the folded placement with what was known."""
        present: set[str] = set()
        for zone, placement in placements_by_zone.items():
            for group in placement.groups_by_name.values():
                present.add(group.name)
                whole = confirmations.is_complete(group, now=now)
                self._look(group, zone, whole=whole, now=now)
        for name in self.watches_by_group.keys() - present:
            watch = self.watches_by_group.pop(name)
            watch.repair.end("every host was released", now=now)

    def _look(self, group: Group, zone: str, *, whole: bool, now: float) -> None:
        watch = self.watches_by_group.get(group.name)
        if watch is None:
            repair = self._formed(group, zone, now=now)
            watch = GroupWatch(state="forming", since=now, repair=repair)
            self.watches_by_group[group.name] = watch
        state = _next_state(watch.state, group, whole=whole)
        if state == watch.state:
            return
        if state == "serving":
            watch.repair.end("serves", now=now)
        if state == "dissolving":
            watch.repair.end("was dissolved before it served,", now=now)
            watch.repair = self._dissolved(group, zone, now=now)
        watch.state = state
        watch.since = now

    def _formed(self, group: Group, zone: str, *, now: float) -> Repair:
        return self._keep(
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

    def _dissolved(self, group: Group, zone: str, *, now: float) -> Repair:
        return self._keep(
            Repair(
                at=now,
                availability_zone=zone,
                group=group.name,
                cause=group.dissolved_reason or "not recorded",
                decision=f"dissolve the group of {', '.join(group.members)}",
                outcome="waits for its hosts to be released",
            )
        )

    def _keep(self, repair: Repair) -> Repair:
        self.repairs.append(repair)
        return repair


def _next_state(state: str, group: Group, *, whole: bool) -> str:
    if group.dissolved:
        return "dissolving"
    if whole:
        return "serving"
    return "broken" if state in ("serving", "broken") else "forming"
