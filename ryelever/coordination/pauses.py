"""Notice that this process was paused, or its machine suspended."""

from __future__ import annotations

__all__ = ["PauseWatch", "SuspensionWatch"]

#: Minimum seconds by which the clocks must drift apart for a suspension.  They are not
#: read at the same moment.
MIN_SUSPENSION = 0.1


class PauseWatch:
    """Notice pauses by the time between two observations.

    Parameters
    ----------
    max_gap : float
        Seconds between two observations beyond which the process was paused.

    Attributes
    ----------
    resumed_at : float
        Monotonic time of the first observation after the last pause.
    """

    __slots__ = ("_max_gap", "_observed_at", "_observed_boot_time", "resumed_at")

    def __init__(self, *, max_gap: float) -> None:
        self._max_gap = max_gap
        self._observed_at = float("inf")
        self._observed_boot_time = float("inf")
        self.resumed_at = float("-inf")

    def observe(self, *, now: float, boot_time: float) -> bool:
        """Record that the process runs; return whether it was paused until now.

        Parameters
        ----------
        now : float
            Monotonic time.
        boot_time : float
            Time of a clock that, unlike ``now``, counts suspensions of the machine.
        """
        gap = max(now - self._observed_at, boot_time - self._observed_boot_time)
        self._observed_at = now
        self._observed_boot_time = boot_time
        if gap <= self._max_gap:
            return False
        self.resumed_at = now
        return True


class SuspensionWatch:
    """Notice suspensions of the machine, in which the monotonic clock stands still."""

    __slots__ = ("_offset",)

    def __init__(self) -> None:
        self._offset = float("inf")

    def observe(self, *, now: float, boot_time: float) -> float:
        """Return for how many seconds the machine was suspended since the last call.

        Parameters
        ----------
        now : float
            Monotonic time.
        boot_time : float
            Time of a clock that counts suspensions.
        """
        offset = boot_time - now
        suspended = offset - self._offset
        self._offset = offset
        return suspended if suspended >= MIN_SUSPENSION else 0.0
