"""Test the calls of orders to backend servers and the reading of the answers."""

from __future__ import annotations

import json

import pytest
from msgspec.structs import replace

from ryelever.coordination.groups.orders import GroupOrder, OrderKind, OrderOutcome
from ryelever.platform.orders import PlatformOrders

ORDERS = PlatformOrders()
NAMED = {"group": "g7", "epoch": 12}


def _order(kind: OrderKind, *, waits_for_requests: bool = False) -> GroupOrder:
    return GroupOrder(
        kind=kind,
        server_id="i1",
        address="10.0.0.9:80",
        group="g7",
        epoch=12,
        model="m",
        members=("i1", "i2"),
        waits_for_requests=waits_for_requests,
    )


@pytest.mark.parametrize(
    ("order", "body"),
    [
        (
            _order(OrderKind.JOIN),
            NAMED | {"op": "join", "model": "m", "members": ["i1", "i2"]},
        ),
        (_order(OrderKind.OPEN), NAMED | {"op": "open"}),
        (_order(OrderKind.CLOSE), NAMED | {"op": "close", "close_mode": "preempt"}),
        (
            _order(OrderKind.CLOSE, waits_for_requests=True),
            NAMED | {"op": "close", "close_mode": "wait"},
        ),
        (_order(OrderKind.LEAVE), NAMED | {"op": "leave"}),
        (_order(OrderKind.STAGE), {"op": "stage", "model": "m"}),
    ],
)
def test_body_of_each_order_has_its_fields(order: GroupOrder, body: dict) -> None:
    call = ORDERS.order(order)
    assert (call.method, call.path) == ("POST", "/order")
    assert json.loads(call.body) == body
    assert ("target-instance", "i1") in ORDERS.order_headers(order)


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, OrderOutcome.APPLIED),
        (202, OrderOutcome.IN_PROGRESS),
        (409, OrderOutcome.REFUSED),
        (412, OrderOutcome.SUPERSEDED),
        (421, OrderOutcome.WRONG_INSTANCE),
        (400, OrderOutcome.REFUSED),
        (500, OrderOutcome.UNKNOWN),
        (503, OrderOutcome.UNKNOWN),
    ],
)
def test_outcome_of_each_status(status: int, outcome: OrderOutcome) -> None:
    assert ORDERS.outcome(_order(OrderKind.LEAVE), status, b"") is outcome


@pytest.mark.parametrize(
    ("body", "outcome"),
    [
        pytest.param(
            b'{"group":{"name":"g7","epoch":12,"rank":1,"state":"ready"}}',
            OrderOutcome.APPLIED,
            id="in-the-group",
        ),
        pytest.param(b'{"group":null}', OrderOutcome.NOT_A_MEMBER, id="in-no-group"),
        pytest.param(
            b'{"group":{"name":"g7","epoch":13}}',
            OrderOutcome.NOT_A_MEMBER,
            id="later-epoch",
        ),
        pytest.param(
            b'{"group":{"name":"g8","epoch":12}}',
            OrderOutcome.NOT_A_MEMBER,
            id="in-another-group",
        ),
        pytest.param(b'{"busy":false}', OrderOutcome.APPLIED, id="without-field"),
        pytest.param(b"<html>", OrderOutcome.APPLIED, id="unreadable"),
    ],
)
def test_probe_outcome_by_reported_group(body: bytes, outcome: OrderOutcome) -> None:
    assert ORDERS.outcome(_order(OrderKind.PROBE), 200, body) is outcome


@pytest.mark.parametrize(
    ("started_at", "born", "outcome"),
    [
        (7, b"7", OrderOutcome.APPLIED),
        (7, b"8", OrderOutcome.NOT_A_MEMBER),
        (None, b"8", OrderOutcome.APPLIED),
    ],
)
def test_probe_distinguishes_a_member_from_its_next_incarnation(
    started_at: int | None, born: bytes, outcome: OrderOutcome
) -> None:
    order = replace(_order(OrderKind.PROBE), started_at=started_at)
    body = b'{"born":%s,"group":{"name":"g7","epoch":12,"rank":1,"state":"ready"}}'
    assert ORDERS.outcome(order, 200, body % born) is outcome
