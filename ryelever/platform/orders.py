"""Write the orders to backend servers that make up groups."""

from __future__ import annotations

import msgspec

from ..coordination.group_orders import GroupOrder, OrderKind, OrderOutcome
from ..protocol.json_codec import encode
from ..protocol.keyed_log import LogCall
from .words import EXPECTED_SERVER

__all__ = ["PlatformOrders"]

_OPERATIONS = {
    OrderKind.JOIN: "join",
    OrderKind.OPEN: "open",
    OrderKind.CLOSE: "close",
    OrderKind.LEAVE: "leave",
    OrderKind.STAGE: "stage",
}

_OUTCOMES = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.BEGUN,
    # There is no such order.
    400: OrderOutcome.REFUSED,
    # The order does not fit the state that the backend server is in.
    409: OrderOutcome.REFUSED,
    # It has seen a higher epoch, or other members under this one.
    412: OrderOutcome.OVERTAKEN,
    # Another incarnation or another backend server has the address now.
    421: OrderOutcome.GONE,
}


class _Body(msgspec.Struct, omit_defaults=True):
    op: str
    group: str = ""
    epoch: int = -1
    model: str = ""
    members: list[str] = []
    close_mode: str = ""


class PlatformOrders:
    """Write orders and read their answers, as ``GroupInterface`` has them."""

    def order(self, order: GroupOrder) -> LogCall:
        """Return an order as it goes to the backend server."""
        if order.kind is OrderKind.PROBE:
            return LogCall(method="GET", path="/report")
        body = _Body(op=_OPERATIONS[order.kind])
        if order.kind is not OrderKind.STAGE:
            body.group = order.group
            body.epoch = order.epoch
        if order.kind in (OrderKind.JOIN, OrderKind.STAGE):
            body.model = order.model
        if order.kind is OrderKind.JOIN:
            body.members = list(order.members)
        if order.kind is OrderKind.CLOSE:
            body.close_mode = "wait" if order.gently else "preempt"
        return LogCall(method="POST", path="/order", body=encode(body))

    def order_headers(self, order: GroupOrder) -> tuple[tuple[str, str], ...]:
        """Return the headers that keep an order from another incarnation."""
        return (
            ("Content-Type", "application/json"),
            (EXPECTED_SERVER.decode(), order.server_id),
        )

    def outcome(self, status: int) -> OrderOutcome:
        """Read the status of an answer to an order."""
        return _OUTCOMES.get(status, OrderOutcome.UNKNOWN)
