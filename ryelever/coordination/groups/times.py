"""Measure the time that groups spend in each phase and servers spend without work."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .managed_group import GroupPhase

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = ["GroupTimes"]

#: Maximum time in seconds to add for the interval between two observations.  A longer
#: interval means that this process was paused and doesn't know what happened meanwhile.
MAX_OBSERVED_GAP = 2.0

#: Phases in which a group serves no requests.
DOWN_PHASES = (GroupPhase.FORMING, GroupPhase.ENDING)


class GroupTimes:
    """Add up the phase times of the groups of one availability zone.

    Parameters
    ----------
    observe : callable
        Called with the name of a phase and the seconds that a group spent in it.

    Attributes
    ----------
    down : Counter of str
        Group-seconds spent in each phase in which a group serves no requests.
    stranded : float
        Server-seconds of servers that could serve but are in no serving group.
    """

    def __init__(self, *, observe: Callable[[str, float], None]) -> None:
        self._observe = observe
        self._updated_at: float | None = None
        self._phase_by_name: dict[str, tuple[GroupPhase, float]] = {}
        self.down: Counter[str] = Counter()
        self.stranded = 0.0

    def update(
        self, phases: Mapping[str, GroupPhase], *, n_stranded: int, now: float
    ) -> None:
        """Add the time since the previous call to the totals.

        Parameters
        ----------
        phases : mapping of str to GroupPhase
            Phase of each group, by group name.
        n_stranded : int
            Servers that could serve but are in no serving group.
        """
        elapsed = 0.0
        if self._updated_at is not None:
            elapsed = min(MAX_OBSERVED_GAP, now - self._updated_at)
        self._updated_at = now
        self.stranded += elapsed * n_stranded
        for phase in phases.values():
            if phase in DOWN_PHASES:
                self.down[phase.value] += elapsed
        for name in self._phase_by_name.keys() - phases.keys():
            del self._phase_by_name[name]
        for name, phase in phases.items():
            known = self._phase_by_name.get(name)
            if known is None:
                self._phase_by_name[name] = (phase, now)
            elif known[0] is not phase:
                self._observe(known[0].value, now - known[1])
                self._phase_by_name[name] = (phase, now)
