"""Bound how many orders to backend servers are under way at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .orders import OrderKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from .orders import GroupOrder

__all__ = ["MAX_IN_FLIGHT", "OrderQueue"]

#: Orders that may wait for their answers at once.  A thousand would fill a link of
#: 20 Mbit/s, and members that answer late count as silent.
MAX_IN_FLIGHT = 64

#: What goes first: what frees servers, then what makes groups serve.
_KINDS = (
    OrderKind.LEAVE,
    OrderKind.CLOSE,
    OrderKind.OPEN,
    OrderKind.STAGE,
    OrderKind.JOIN,
    OrderKind.PROBE,
)


class OrderQueue:
    """Hold orders until they can be sent."""

    __slots__ = ("_n_in_flight", "_waiting_by_kind")

    def __init__(self) -> None:
        self._n_in_flight = 0
        self._waiting_by_kind: dict[
            OrderKind, dict[tuple[str, str, int], tuple[str, GroupOrder]]
        ] = {kind: {} for kind in _KINDS}

    @property
    def n_waiting(self) -> int:
        """Return how many orders have not been sent."""
        return sum(map(len, self._waiting_by_kind.values()))

    def add(self, zone: str, order: GroupOrder) -> None:
        """Take an order; one that waits already is taken once."""
        key = (order.server_id, order.group, order.epoch)
        self._waiting_by_kind[order.kind][key] = (zone, order)

    def due(
        self, *, is_wanted: Callable[[str, GroupOrder], bool]
    ) -> list[tuple[str, GroupOrder]]:
        """Return the orders to send now, each with the zone that it is for.

        Parameters
        ----------
        is_wanted : callable
            Tell whether an order still makes sense; others are dropped.
        """
        due = []
        for waiting in self._waiting_by_kind.values():
            while waiting and self._n_in_flight < MAX_IN_FLIGHT:
                zone, order = waiting.pop(next(iter(waiting)))
                if is_wanted(zone, order):
                    self._n_in_flight += 1
                    due.append((zone, order))
        return due

    def ended(self) -> None:
        """Take note that one that was sent has been answered, or has failed."""
        self._n_in_flight -= 1
