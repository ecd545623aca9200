"""Test how a datagram is distributed to many hosts."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ryelever.coordination.fan_out import MAX_RECEIVERS, fan_out

HOSTS = [f"h{index:03}" for index in range(200)]


@given(
    n_hosts=st.integers(0, 200),
    live_hosts=st.sets(st.sampled_from(HOSTS)),
    rotation=st.integers(0, 10_000),
)
def test_each_host_receives_a_datagram_once(
    n_hosts: int, live_hosts: set[str], rotation: int
) -> None:
    """Guard against hosts that receive a datagram not at all or several times."""
    hosts = HOSTS[:n_hosts]
    receivers = fan_out(hosts, live_hosts=live_hosts, rotation=rotation)
    reached = [host for item in receivers for host in (item.host, *item.hosts)]
    assert sorted(reached) == hosts
    assert len(receivers) <= MAX_RECEIVERS


@given(
    live_hosts=st.sets(st.sampled_from(HOSTS), min_size=1),
    rotation=st.integers(0, 10_000),
)
def test_only_live_hosts_forward_datagrams(live_hosts: set[str], rotation: int) -> None:
    """Guard against a lost host that is chosen to forward datagrams to others."""
    for receiver in fan_out(HOSTS, live_hosts=live_hosts, rotation=rotation):
        assert not receiver.hosts or receiver.host in live_hosts
