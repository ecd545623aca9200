"""Limit the number of orders to backend servers that are in flight at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .orders import OrderKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from .orders import GroupOrder

__all__ = ["MAX_IN_FLIGHT", "OrderQueue"]

#: Maximum number of orders that await an answer at once.  A thousand would saturate a
#: link of 20 Mbit/s, and members whose answers come late would be treated as silent.
MAX_IN_FLIGHT = 64

#: Kinds of orders by descending priority: first those that release servers, then those
#: that make groups serve.
_KINDS_BY_PRIORITY = (
    OrderKind.LEAVE,
    OrderKind.CLOSE,
    OrderKind.OPEN,
    OrderKind.STAGE,
    OrderKind.JOIN,
    OrderKind.PROBE,
)


class OrderQueue:
    """Queue orders until they can be sent, by priority of their kind."""

    __slots__ = ("_n_in_flight", "_waiting_by_kind")

    def __init__(self) -> None:
        self._n_in_flight = 0
        self._waiting_by_kind: dict[
            OrderKind, dict[tuple[str, str, int], tuple[str, GroupOrder]]
        ] = {kind: {} for kind in _KINDS_BY_PRIORITY}

    @property
    def n_waiting(self) -> int:
        """Return the number of orders that have not been sent."""
        return sum(map(len, self._waiting_by_kind.values()))

    def add(self, zone: str, order: GroupOrder) -> None:
        """Queue an order, replacing one of the same kind, server, group and epoch."""
        key = (order.server_id, order.group, order.epoch)
        self._waiting_by_kind[order.kind][key] = (zone, order)

    def clear(self) -> None:
        """Drop all orders that have not been sent."""
        for waiting in self._waiting_by_kind.values():
            waiting.clear()

    def take_due(
        self, *, is_wanted: Callable[[str, GroupOrder], bool]
    ) -> list[tuple[str, GroupOrder]]:
        """Remove and return the orders to send now, each with its zone.

        Parameters
        ----------
        is_wanted : callable
            Return whether an order is still needed; obsolete orders are dropped.
        """
        due = []
        for waiting in self._waiting_by_kind.values():
            while waiting and self._n_in_flight < MAX_IN_FLIGHT:
                zone, order = waiting.pop(next(iter(waiting)))
                if is_wanted(zone, order):
                    self._n_in_flight += 1
                    due.append((zone, order))
        return due

    def record_end(self) -> None:
        """Record that an order in flight was answered or has failed."""
        self._n_in_flight -= 1
