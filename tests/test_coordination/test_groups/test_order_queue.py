"""Test the limit on orders in flight and the priority of queued orders."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ryelever.coordination.groups import GroupOrder, OrderKind, OrderQueue
from ryelever.coordination.groups.order_queue import MAX_IN_FLIGHT


def _order(kind: OrderKind, number: int) -> GroupOrder:
    return GroupOrder(
        kind=kind, server_id=f"i{number}", address="10.0.0.1:80", group="g", epoch=1
    )


@given(
    rounds=st.lists(
        st.tuples(
            st.lists(
                st.tuples(st.sampled_from(OrderKind), st.integers(0, 400)), max_size=200
            ),
            st.integers(0, 100),
        ),
        max_size=8,
    )
)
def test_orders_in_flight_are_bounded_and_none_is_lost(
    rounds: list[tuple[list[tuple[OrderKind, int]], int]],
) -> None:
    """Guard against a thousand orders in flight at once, whose answers come late."""
    queue = OrderQueue()
    queued: set[tuple[OrderKind, int]] = set()
    sent: set[tuple[OrderKind, int]] = set()
    n_in_flight = 0

    def send() -> int:
        due = queue.take_due(is_wanted=lambda zone, order: True)
        sent.update((order.kind, int(order.server_id[1:])) for _, order in due)
        return len(due)

    for orders, n_ended in rounds:
        for kind, number in orders:
            queue.add("z", _order(kind, number))
        queued.update(orders)
        n_in_flight += send()
        assert n_in_flight <= MAX_IN_FLIGHT
        for _ in range(min(n_ended, n_in_flight)):
            queue.record_end()
            n_in_flight -= 1
    while queue.n_waiting:
        for _ in range(n_in_flight):
            queue.record_end()
        n_in_flight = send()
    assert sent == queued


def test_orders_that_free_servers_precede_probes() -> None:
    """Guard against groups that end late because probes are sent first."""
    queue = OrderQueue()
    for number in range(MAX_IN_FLIGHT):
        queue.add("z", _order(OrderKind.PROBE, number))
    queue.add("z", _order(OrderKind.JOIN, 1))
    queue.add("z", _order(OrderKind.LEAVE, 2))
    kinds = [
        order.kind for _, order in queue.take_due(is_wanted=lambda zone, order: True)
    ]
    assert kinds[:3] == [OrderKind.LEAVE, OrderKind.JOIN, OrderKind.PROBE]


def test_obsolete_order_is_dropped() -> None:
    """Guard against a server that joins a group that ended while its order waited."""
    queue = OrderQueue()
    queue.add("z", _order(OrderKind.JOIN, 1))
    assert queue.take_due(is_wanted=lambda zone, order: False) == []
    assert queue.n_waiting == 0
