"""Let availability zones take turns in taking groups apart for another model's sake.

All planners see the same groups and the same demand, so a model that is short of
groups is short of them for every zone at once.  If each took one of the other model's
groups apart for it, that one would be the next to be short: with three zones it lost
three groups of five where one was needed.  So each zone announces what it wants, and
counts what the zones before it have announced as if it were done.
"""

from __future__ import annotations

__all__ = ["ANNOUNCED_FOR", "ReshapingToken"]

#: Seconds between the announcement and the deed.  Words go to other zones every
#: 0.6 s, so by then each planner has heard the others' announcements.
ANNOUNCED_FOR = 0.8


class ReshapingToken:
    """Hold whether one zone has announced that it takes groups apart, or does.

    Parameters
    ----------
    zone : str
        The availability zone.
    """

    __slots__ = ("_earlier", "_since", "_zone")

    def __init__(self, *, zone: str) -> None:
        self._zone = zone
        self._since: float | None = None
        self._earlier: set[str] = set()

    @property
    def is_announced(self) -> bool:
        """Tell whether the zone has announced that it wants to, or does."""
        return self._since is not None

    def n_before(self, others: set[str]) -> int:
        """Return how many zones go before this one.

        Those whose announcements were heard before this one's own do, and of those
        that announce at the same moment the first by name.

        Parameters
        ----------
        others : set of str
            The other zones that have announced the same.
        """
        if self._since is None:
            return len(others)
        return sum(zone in self._earlier or zone < self._zone for zone in others)

    def may_start(self, others: set[str], *, now: float) -> bool:
        """Tell whether the zone may take groups apart now, which it wants to."""
        if self._since is None:
            self._since = now
            self._earlier = set(others)
            return False
        return now - self._since >= ANNOUNCED_FOR

    def end(self) -> None:
        """Take back the announcement: nothing is to be taken apart, or all is done."""
        self._since = None
