"""Baseline router that chooses the target with the fewest local attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions import ChatWork, Target

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..actions import Arrival

__all__ = ["LeastInFlightRouter"]


class LeastInFlightRouter:
    """Send each attempt to the target with the fewest local attempts in flight.

    The baseline with which benchmarks compare ``AffinityRouter``.

    Parameters
    ----------
    targets : callable
        Return the targets that may serve a request at a given time: only groups whose
        members all confirm them, and live hosts of a service.
    """

    def __init__(
        self,
        *,
        targets: Callable[[Arrival, float], list[Target]],
    ) -> None:
        self._targets = targets
        self._n_in_flight_by_name: dict[str, int] = {}

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Return the target with the fewest local attempts that was not tried.

        If all were tried, a chat request goes to any target but the last one tried.
        """
        targets = self._targets(arrival, now)
        untried = [target for target in targets if target.name not in tried]
        if not untried and isinstance(arrival.work, ChatWork) and tried:
            untried = [target for target in targets if target.name != tried[-1]]
        if not untried:
            return None
        return min(
            untried, key=lambda target: self._n_in_flight_by_name.get(target.name, 0)
        )

    def must_wait(self, arrival: Arrival, *, now: float) -> bool:
        """Return False: suspects of a crash are not kept apart."""
        return False

    def is_lost(self, target: Target, arrival: Arrival, *, now: float) -> bool:
        """Return False: an attempt runs until it ends or fails."""
        return False

    def started(self, target: Target, *, fingerprint: str = "", now: float) -> None:
        """Add an attempt to the count of its target."""
        n_in_flight = self._n_in_flight_by_name.get(target.name, 0)
        self._n_in_flight_by_name[target.name] = n_in_flight + 1

    def ended(
        self, target: Target, *, failed: bool, fingerprint: str = "", now: float
    ) -> None:
        """Remove an attempt from the count of its target."""
        self._n_in_flight_by_name[target.name] -= 1
        if not self._n_in_flight_by_name[target.name]:
            del self._n_in_flight_by_name[target.name]
