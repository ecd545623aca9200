"""Test the order in which a pool's slots are given to accounts."""

from __future__ import annotations

import pytest

from ryelever.coordination.admission.fair_queue import CREDIT, FairQueue, Ticket


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
    ("n_held", "turn"), [(0, "small"), (1, "big"), (2, "big")], ids=str
)
def test_account_below_its_share_owes_nothing(n_held: int, turn: str) -> None:
    """A small account's next request does not pay for its earlier ones.

    Symptom: a small account that asks now and then waits for seconds in a burst of
    another one.
    Sequence: a small account, whose share is one slot, is granted two requests, of
    which it still holds some; both accounts have a request waiting.
    Cause: the charge for ended requests kept its tag ahead, though it holds nothing.
    """
    queue = FairQueue()
    small = queue.flow("small", share=0.1, priority=0)
    big = queue.flow("big", share=0.3, priority=0)
    for index in range(4):
        queue.grant(big, ticket("big", index), capacity=10, now=0.0)
    held = [ticket("small", index) for index in range(2)]
    for granted in held:
        queue.grant(small, granted, capacity=10, now=0.0)
    for granted in held[n_held:]:
        queue.end(granted, used=1.0)
    queue.push(big, ticket("big", 9))
    queue.push(small, ticket("small", 9))
    assert queue.first(lambda flow: True).client_account == turn


@pytest.mark.parametrize(
    ("n_asked", "n_first"), [(3, 3), (100, 2 * CREDIT + 1)], ids=["few", "many"]
)
def test_account_below_its_share_may_exceed_it_for_a_moment(
    n_asked: int, n_first: float
) -> None:
    """Requests of a small account that come at once go ahead, up to a bound.

    Symptom: a small account that uses half of its share on average waits for seconds
    in a burst of another one, whenever several of its requests come at once.
    Sequence: a large account holds nine slots of ten and has a hundred requests
    waiting; a small one, whose share is two slots, asks for few or for many.
    Cause: after its first request the small account waited its turn at its share.
    """
    queue = FairQueue()
    big = queue.flow("big", share=0.8, priority=0)
    small = queue.flow("small", share=0.2, priority=0)
    for index in range(9):
        queue.grant(big, ticket("big", index), capacity=10, now=0.0)
    for index in range(100):
        queue.push(big, ticket("big", 10 + index))
    for index in range(n_asked):
        queue.push(small, ticket("small", 200 + index))
    accounts = []
    while len(accounts) < 20:
        flow = queue.first(lambda flow: True)
        accounts.append(queue.pop(flow, capacity=10, now=0.0).client_account)
    n_ahead = accounts.index("big")
    assert n_ahead >= min(n_asked, 3)
    assert n_ahead <= n_first


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
