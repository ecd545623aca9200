"""Coordinate the availability zones that disband groups in favor of another model.

All planners see the same groups and the same demand, so every zone detects a shortage
of groups at the same time.  If each zone disbanded a group of another model, that model
would be short next: with three zones, a model lost three of its five groups although
only one group had to be disbanded.  Each zone therefore announces its intention, and
counts one group as already formed for each zone that is ahead of it.
"""

from __future__ import annotations

__all__ = ["ANNOUNCEMENT_LEAD_TIME", "ReshapingToken"]

#: Seconds between a zone's announcement and the disbanding.  Host heartbeats are sent
#: to other zones every 0.6 s, so each planner has received the other announcements.
ANNOUNCEMENT_LEAD_TIME = 0.8


class ReshapingToken:
    """One zone's announcement that it will disband groups or is disbanding them.

    Parameters
    ----------
    zone : str
        Name of the availability zone.
    """

    __slots__ = ("_announced_at", "_zone", "_zones_ahead")

    def __init__(self, *, zone: str) -> None:
        self._zone = zone
        self._announced_at: float | None = None
        self._zones_ahead: set[str] = set()

    @property
    def is_announced(self) -> bool:
        """Return whether the zone will disband groups or is disbanding them."""
        return self._announced_at is not None

    def n_ahead(self, other_zones: set[str]) -> int:
        """Return the number of zones that may disband groups before this one.

        Before this zone's announcement, all zones with an announcement are ahead.
        After it, a zone is ahead if its announcement was received first or if its name
        sorts before this zone's name.

        Parameters
        ----------
        other_zones : set of str
            Other zones with an announcement in effect.
        """
        if self._announced_at is None:
            return len(other_zones)
        return sum(
            zone in self._zones_ahead or zone < self._zone for zone in other_zones
        )

    def may_start(self, other_zones: set[str], *, now: float) -> bool:
        """Return whether the zone may disband groups now.

        The first call announces the zone's intention; later calls return True once
        ``ANNOUNCEMENT_LEAD_TIME`` seconds have passed.
        """
        if self._announced_at is None:
            self._announced_at = now
            self._zones_ahead = set(other_zones)
            return False
        return now - self._announced_at >= ANNOUNCEMENT_LEAD_TIME

    def end(self) -> None:
        """Withdraw the announcement once no group is to be disbanded any more."""
        self._announced_at = None
