"""Bound what a host gives to hosts that start."""

from __future__ import annotations

__all__ = ["LINK_SHARE", "TransferRate"]

#: Part of the host's link that what it gives may take; callers need the rest.
LINK_SHARE = 0.4


class TransferRate:
    """Decide whether something long is given now.

    Who is refused asks another host.  Each that was given it gives it in turn, so
    their number doubles within the time that one copy takes.

    Parameters
    ----------
    link_rate : float
        Bytes a second that the host's link carries.
    """

    __slots__ = ("_free_at", "_rate")

    def __init__(self, *, link_rate: float) -> None:
        self._rate = LINK_SHARE * link_rate
        self._free_at = float("-inf")

    def is_free(self, *, now: float) -> bool:
        """Tell whether what was given before has left."""
        return now >= self._free_at

    def record_sent(self, size: int, *, now: float) -> None:
        """Take note of some bytes that are leaving."""
        self._free_at = max(now, self._free_at) + size / self._rate
