"""Test how much a host gives to hosts that start."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ryelever.coordination.transfer_rate import LINK_SHARE, TransferRate


@given(
    link_rate=st.floats(1e5, 1e8),
    asks=st.lists(
        st.tuples(st.floats(0.0, 2.0), st.integers(1, 1_000_000)), max_size=60
    ),
)
def test_what_is_given_leaves_most_of_the_link(
    link_rate: float, asks: list[tuple[float, int]]
) -> None:
    """Guard against a host that serves no callers while others start."""
    giving = TransferRate(link_rate=link_rate)
    now, given_before, last = 0.0, 0, 0
    for pause, size in asks:
        now += pause
        if giving.is_free(now=now):
            giving.record_sent(size, now=now)
            assert given_before <= LINK_SHARE * link_rate * now * (1 + 1e-6) + last
            given_before, last = given_before + size, size
