"""Test the rate at which a host provides data to starting hosts."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ryelever.coordination.transfer_rate import LINK_SHARE, TransferRate


@given(
    link_rate=st.floats(1e5, 1e8),
    requests=st.lists(
        st.tuples(st.floats(0.0, 2.0), st.integers(1, 1_000_000)), max_size=60
    ),
)
def test_transfers_use_a_limited_share_of_the_link(
    link_rate: float, requests: list[tuple[float, int]]
) -> None:
    """Guard against a host that can't serve callers while other hosts start."""
    transfers = TransferRate(link_rate=link_rate)
    now, n_bytes_before, last_size = 0.0, 0, 0
    for pause, size in requests:
        now += pause
        if transfers.is_free(now=now):
            transfers.record_sent(size, now=now)
            assert (
                n_bytes_before <= LINK_SHARE * link_rate * now * (1 + 1e-6) + last_size
            )
            n_bytes_before, last_size = n_bytes_before + size, size
