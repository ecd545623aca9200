"""Test the order in which a pool's slots are granted to accounts."""

from __future__ import annotations

import pytest

from ryelever.coordination.fair_queue import CREDIT, FairQueue, Ticket


def ticket(account: str, sequence: int, **options) -> Ticket:
    return Ticket(
        request_id=f"{account}-{sequence}",
        client_account=account,
        pool="p",
        arrived_at=0.0,
        latest_start=60.0,
        sequence=sequence,
        **options,
    )


@pytest.mark.parametrize(
    ("n_in_flight", "expected_account"), [(0, "small"), (1, "big"), (2, "big")], ids=str
)
def test_account_below_its_share_has_no_debt(
    n_in_flight: int, expected_account: str
) -> None:
    """Serve the next request of an account that uses less than its share.

    Guards against a small account with occasional requests that waits for seconds
    during a burst of another account.  The small account, whose share is one slot, was
    granted two requests, some of which are still in flight, and both accounts have a
    request waiting.  The fault occurs if the charge for ended requests keeps the
    account's tag high although it has no requests in flight.
    """
    queue = FairQueue()
    small = queue.flow("small", share=0.1, priority=0)
    big = queue.flow("big", share=0.3, priority=0)
    for index in range(4):
        queue.grant(big, ticket("big", index), capacity=10, now=0.0)
    held = [ticket("small", index) for index in range(2)]
    for granted in held:
        queue.grant(small, granted, capacity=10, now=0.0)
    for granted in held[n_in_flight:]:
        queue.end(granted, used=1.0)
    queue.push(big, ticket("big", 9))
    queue.push(small, ticket("small", 9))
    assert queue.first(lambda flow: True).client_account == expected_account


@pytest.mark.parametrize(
    ("n_requests", "n_max_first"), [(3, 3), (100, 2 * CREDIT + 1)], ids=["few", "many"]
)
def test_account_below_its_share_may_exceed_it_briefly(
    n_requests: int, n_max_first: float
) -> None:
    """Serve several simultaneous requests of a small account first, up to a bound.

    Guards against a small account that uses half of its share on average and still
    waits for seconds during a burst of another account, whenever several of its
    requests arrive at once.  A large account uses nine slots of ten and has a hundred
    requests waiting; a small account, whose share is two slots, sends few or many
    requests.  The fault occurs if the small account is limited to its share after its
    first request.
    """
    queue = FairQueue()
    big = queue.flow("big", share=0.8, priority=0)
    small = queue.flow("small", share=0.2, priority=0)
    for index in range(9):
        queue.grant(big, ticket("big", index), capacity=10, now=0.0)
    for index in range(100):
        queue.push(big, ticket("big", 10 + index))
    for index in range(n_requests):
        queue.push(small, ticket("small", 200 + index))
    accounts = []
    while len(accounts) < 20:
        flow = queue.first(lambda flow: True)
        accounts.append(queue.pop(flow, capacity=10, now=0.0).client_account)
    n_ahead = accounts.index("big")
    assert n_ahead >= min(n_requests, 3)
    assert n_ahead <= n_max_first


@pytest.mark.parametrize(
    ("first", "second", "order"),
    [
        ({}, {}, [0, 1]),
        ({}, {"priority": 1}, [1, 0]),
        ({"priority": -1}, {}, [1, 0]),
        ({"priority": 50}, {"priority": 10}, [0, 1]),
    ],
    ids=["arrival", "higher", "lower", "clamped"],
)
def test_order_within_an_account(first, second, order: list[int]) -> None:
    queue = FairQueue()
    flow = queue.flow("a", share=0.5, priority=0)
    queue.push(flow, ticket("a", 0, **first))
    queue.push(flow, ticket("a", 1, **second))
    popped = [queue.pop(flow, capacity=4, now=0.0).sequence for _ in range(2)]
    assert popped == order
