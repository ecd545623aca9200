"""Remember the parts of prompts with which requests have completed."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from .crash_facts import MAX_AGE, NEVER

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["KnownParts"]

#: Maximum number of parts; the one whose last completion is oldest is dropped first.
MAX_KNOWN = 8192


class KnownParts:
    """The parts that don't crash servers, since requests with them have completed.

    Parameters
    ----------
    released : iterable of str
        Parts that an operator has excluded from the quarantine.
    """

    __slots__ = ("_completed_at", "_released")

    def __init__(self, *, released: Iterable[str] = ()) -> None:
        self._released = frozenset(released)
        self._completed_at: OrderedDict[str, float] = OrderedDict()

    def release(self, parts: Iterable[str]) -> None:
        """Replace the parts that an operator has excluded from the quarantine."""
        self._released = frozenset(parts)

    def record(self, part: str, *, now: float) -> None:
        """Record that a request with a part has completed."""
        self._completed_at[part] = now
        self._completed_at.move_to_end(part)
        if len(self._completed_at) > MAX_KNOWN:
            self._completed_at.popitem(last=False)

    def includes(self, part: str, *, now: float) -> bool:
        """Return whether a part is released, or a request with it completed lately."""
        if part in self._released:
            return True
        return now - self._completed_at.get(part, NEVER) <= MAX_AGE
