"""Measure how long groups take to be formed and ended, and what serves nobody."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .managed_group import GroupPhase

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = ["GroupTimes"]

#: Longest time in seconds between two looks that still counts as observed.  Beyond it
#: this process was paused, and what happened meanwhile is not known.
MAX_GAP = 2.0

#: Phases in which the members of a group serve nobody.
DOWN_PHASES = (GroupPhase.FORMING, GroupPhase.ENDING)


class GroupTimes:
    """Add up times over the groups of one availability zone.

    Parameters
    ----------
    observe : callable
        Take the name of a phase and the seconds that a group has spent in it.

    Attributes
    ----------
    down : Counter of str
        Group-seconds spent in each of the phases in which a group serves nobody.
    stranded : float
        Server-seconds of servers that could serve and are in no group that does.
    """

    def __init__(self, *, observe: Callable[[str, float], None]) -> None:
        self._observe = observe
        self._looked_at: float | None = None
        self._phase_by_name: dict[str, tuple[GroupPhase, float]] = {}
        self.down: Counter[str] = Counter()
        self.stranded = 0.0

    def look(
        self, phases: Mapping[str, GroupPhase], *, n_stranded: int, now: float
    ) -> None:
        """Take how things stand.

        Parameters
        ----------
        phases : mapping of str to GroupPhase
            What is being done with each group, by its name.
        n_stranded : int
            Servers that could serve and are in no group that does.
        """
        passed = 0.0
        if self._looked_at is not None:
            passed = min(MAX_GAP, now - self._looked_at)
        self._looked_at = now
        self.stranded += passed * n_stranded
        for phase in phases.values():
            if phase in DOWN_PHASES:
                self.down[phase.value] += passed
        for name in self._phase_by_name.keys() - phases.keys():
            del self._phase_by_name[name]
        for name, phase in phases.items():
            known = self._phase_by_name.get(name)
            if known is None:
                self._phase_by_name[name] = (phase, now)
            elif known[0] is not phase:
                self._observe(known[0].value, now - known[1])
                self._phase_by_name[name] = (phase, now)
