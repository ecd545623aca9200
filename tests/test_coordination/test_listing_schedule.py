"""Test which hosts list all backend servers when many hosts start."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ryelever.coordination.listing_schedule import (
    LISTING_INTERVAL,
    MAX_FIRST_LISTERS,
    UNLISTED_TIMEOUT,
    may_list,
)


@given(n_hosts=st.integers(1, 200), waited=st.floats(0.0, 10.0))
def test_few_hosts_of_a_zone_list_at_once(n_hosts: int, waited: float) -> None:
    """Guard against hosts that start together and exhaust the store's read rate."""
    hosts = [f"h{index:03}" for index in range(n_hosts)]
    due = [
        host
        for host in hosts
        if may_list(host, hosts, known_at=5.0, started_at=4.0, now=5.0 + waited)
    ]
    assert due[:MAX_FIRST_LISTERS] == hosts[:MAX_FIRST_LISTERS]
    assert len(due) <= MAX_FIRST_LISTERS + waited / LISTING_INTERVAL + 1


def test_a_host_unknown_to_the_store_lists_after_a_wait() -> None:
    """Guard against a host that waits for others while the store is unreachable."""
    decisions = [
        may_list("h", ["a"] * 9, known_at=None, started_at=4.0, now=4.0 + waited)
        for waited in (0.0, 0.9 * UNLISTED_TIMEOUT, 1.1 * UNLISTED_TIMEOUT)
    ]
    assert decisions == [False, False, True]
