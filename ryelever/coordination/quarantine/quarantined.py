"""Define the verdict that a request must not run."""

from __future__ import annotations

import msgspec

__all__ = ["Quarantined"]


class Quarantined(msgspec.Struct, kw_only=True, frozen=True):
    """Reason why a request is not run.

    Attributes
    ----------
    retry_after : float
        Seconds until the evidence is too old to count, randomly extended.
    part : str
        Part of the prompt for which the request is not run; empty if it is itself the
        cause of the crashes.
    """

    n_crashes: int
    retry_after: float
    part: str = ""
