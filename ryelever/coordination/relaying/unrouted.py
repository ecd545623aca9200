"""Hold the requests that arrive before a host has its first configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .request import FINAL_ANSWER_MARGIN

if TYPE_CHECKING:
    from .messages import RelayArrival

__all__ = ["FIRST_CONFIGURATION_WAIT", "UnroutedArrivals"]

#: Seconds after a host's start during which requests wait for its first configuration.
#: The store delivers the configuration within 0.15 s, or peers do within a second.
FIRST_CONFIGURATION_WAIT = 1.0


class UnroutedArrivals:
    """Keep requests for a short time until the first configuration arrives.

    A host gets requests as soon as it has restarted. Refusing them until the store's
    first response would fail all callers of that tenth of a second.

    Parameters
    ----------
    since : float
        Monotonic time of the process's start.
    """

    __slots__ = ("_arrivals_by_number", "_wait_until")

    def __init__(self, *, since: float) -> None:
        self._arrivals_by_number: dict[int, RelayArrival] = {}
        self._wait_until = since + FIRST_CONFIGURATION_WAIT

    def __len__(self) -> int:
        return len(self._arrivals_by_number)

    def add(self, number: int, arrival: RelayArrival) -> None:
        """Add a request that waits for the first configuration."""
        self._arrivals_by_number[number] = arrival

    def discard(self, number: int) -> None:
        """Remove a request if it is waiting."""
        self._arrivals_by_number.pop(number, None)

    def pop_due(
        self, *, is_configured: bool, now: float
    ) -> list[tuple[int, RelayArrival]]:
        """Return and remove the requests that are to be routed or refused now.

        Without a configuration these are the ones whose callers are about to give up.
        """
        if is_configured or now > self._wait_until:
            return self.pop_all()
        overdue = [
            (number, arrival)
            for number, arrival in self._arrivals_by_number.items()
            if _is_overdue(arrival, now=now)
        ]
        for number, _ in overdue:
            del self._arrivals_by_number[number]
        return overdue

    def pop_all(self) -> list[tuple[int, RelayArrival]]:
        """Return and remove all requests."""
        due = list(self._arrivals_by_number.items())
        self._arrivals_by_number.clear()
        return due


def _is_overdue(arrival: RelayArrival, *, now: float) -> bool:
    """Return whether a caller must get its answer now to read it in time."""
    deadline = arrival.deadline
    return deadline is not None and now >= deadline - FINAL_ANSWER_MARGIN
