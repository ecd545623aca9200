"""Read clocks that the standard library offers only on some systems."""

from __future__ import annotations

import time

__all__ = ["boot_time"]

_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_time() -> float:
    """Return a steady time in seconds that counts suspensions of the machine.

    On Linux ``time.monotonic`` stops while the machine is suspended.
    """
    return time.clock_gettime(_BOOT_CLOCK)
