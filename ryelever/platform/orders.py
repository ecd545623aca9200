"""Write the orders by which backend servers form groups, and read the answers."""

from __future__ import annotations

import msgspec

from ..coordination.groups import GroupOrder, OrderKind, OrderOutcome
from ..logs import log_warning
from ..protocol.json_codec import decode, encode
from ..protocol.keyed_log import HttpRequest
from .documents import ReportedGroup
from .wire_names import EXPECTED_SERVER, REPORT_PATH

__all__ = ["PlatformOrders"]

_OPERATIONS = {
    OrderKind.JOIN: "join",
    OrderKind.OPEN: "open",
    OrderKind.CLOSE: "close",
    OrderKind.LEAVE: "leave",
    OrderKind.STAGE: "stage",
}

_OUTCOMES = {
    200: OrderOutcome.APPLIED,
    202: OrderOutcome.IN_PROGRESS,
    # The order is unknown to the backend server.
    400: OrderOutcome.REFUSED,
    # The order does not fit the state of the backend server.
    409: OrderOutcome.REFUSED,
    # The backend server has seen a higher epoch, or other members under this epoch.
    412: OrderOutcome.SUPERSEDED,
    # Another incarnation or another backend server has the address now.
    421: OrderOutcome.WRONG_INSTANCE,
}


class _Body(msgspec.Struct, omit_defaults=True):
    op: str
    group: str = ""
    epoch: int = -1
    model: str = ""
    members: list[str] = []
    close_mode: str = ""


class _Report(msgspec.Struct):
    #: None if the backend server is in no group; unset if the field is missing.
    group: ReportedGroup | None | msgspec.UnsetType = msgspec.UNSET
    #: Unix time in milliseconds of the backend server's start; some servers omit it.
    born: int | None = None


class PlatformOrders:
    """``GroupInterface`` of the platform, which writes orders and reads answers."""

    def order(self, order: GroupOrder) -> HttpRequest:
        """Return the call that sends an order to its backend server."""
        if order.kind is OrderKind.PROBE:
            return HttpRequest(method="GET", path=REPORT_PATH)
        body = _Body(op=_OPERATIONS[order.kind])
        if order.kind is not OrderKind.STAGE:
            body.group = order.group
            body.epoch = order.epoch
        if order.kind in (OrderKind.JOIN, OrderKind.STAGE):
            body.model = order.model
        if order.kind is OrderKind.JOIN:
            body.members = list(order.members)
        if order.kind is OrderKind.CLOSE:
            body.close_mode = "wait" if order.waits_for_requests else "preempt"
        return HttpRequest(method="POST", path="/order", body=encode(body))

    def order_headers(self, order: GroupOrder) -> tuple[tuple[str, str], ...]:
        """Return the headers that make any other incarnation refuse an order."""
        return (
            ("Content-Type", "application/json"),
            (EXPECTED_SERVER.decode(), order.server_id),
        )

    def outcome(self, order: GroupOrder, status: int, body: bytes) -> OrderOutcome:
        """Return the outcome of an order from the answer to it."""
        if order.kind is OrderKind.PROBE and status == 200:
            return _probe_outcome(order, body)
        return _OUTCOMES.get(status, OrderOutcome.UNKNOWN)


def _probe_outcome(order: GroupOrder, body: bytes) -> OrderOutcome:
    """Return ``APPLIED`` if a probed backend server is a member of the probe's group.

    Otherwise return ``NOT_A_MEMBER``.  A report that can't be read or has no group
    field is still a sign of life and counts as ``APPLIED``.
    """
    read = decode(body, _Report, step="read_report", peer=order.address)
    if read.is_error():
        log_warning(
            "report_unreadable", server=order.server_id, message=read.error.message
        )
        return OrderOutcome.APPLIED
    group = read.ok.group
    if group is msgspec.UNSET:
        return OrderOutcome.APPLIED
    is_same_group = group is not None and (group.name, group.epoch) == (
        order.group,
        order.epoch,
    )
    if None not in (order.started_at, read.ok.born):
        is_same_group = is_same_group and order.started_at == read.ok.born
    return OrderOutcome.APPLIED if is_same_group else OrderOutcome.NOT_A_MEMBER
