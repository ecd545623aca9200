"""Let one availability zone at a time take a group apart for another model's sake.

All planners see the same groups and the same demand, so a model that is short of
groups is short of them for every zone at once.  If each took one of the other model's
groups apart for it, that one would be the next to be short: with three zones it lost
three groups of five where one was needed.
"""

from __future__ import annotations

__all__ = ["ANNOUNCED_FOR", "ReshapingTurn"]

#: Seconds between the announcement and the deed.  Words go to other zones every
#: 0.6 s, so by then each planner has heard the others' announcements.
ANNOUNCED_FOR = 0.8


class ReshapingTurn:
    """Hold whether it is the turn of one zone.

    Parameters
    ----------
    zone : str
        The availability zone.
    """

    __slots__ = ("_since", "_zone")

    def __init__(self, *, zone: str) -> None:
        self._zone = zone
        self._since: float | None = None

    @property
    def is_announced(self) -> bool:
        """Tell whether the zone has announced that it wants to, or does."""
        return self._since is not None

    def ask(self, others: set[str], *, now: float) -> bool:
        """Tell whether the zone may take a group apart now, which it wants to.

        Parameters
        ----------
        others : set of str
            The other zones that have announced the same.
        """
        if self._since is None:
            if not others:
                self._since = now
            return False
        if any(zone < self._zone for zone in others):
            # Both have announced at the same moment: the first by name goes on.
            self._since = None
            return False
        return now - self._since >= ANNOUNCED_FOR

    def end(self) -> None:
        """Take back the announcement: nothing is to be taken apart, or all is done."""
        self._since = None
