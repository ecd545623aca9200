"""Limit the rate at which a host provides data to starting hosts."""

from __future__ import annotations

__all__ = ["LINK_SHARE", "TransferRate"]

#: Fraction of the host's link that transfers may use; callers need the rest.
LINK_SHARE = 0.4


class TransferRate:
    """Decide whether a long transfer to another host may start.

    A host whose request is refused sends it to another host.  Each host that has
    received the data provides it to others, so the number of providers doubles within
    the time of one transfer.

    Parameters
    ----------
    link_rate : float
        Capacity of the host's link in bytes a second.
    """

    __slots__ = ("_free_at", "_rate")

    def __init__(self, *, link_rate: float) -> None:
        self._rate = LINK_SHARE * link_rate
        self._free_at = float("-inf")

    def is_free(self, *, now: float) -> bool:
        """Return whether all earlier transfers have been sent at the allowed rate."""
        return now >= self._free_at

    def record_sent(self, size: int, *, now: float) -> None:
        """Record a transfer of ``size`` bytes that starts now."""
        self._free_at = max(now, self._free_at) + size / self._rate
