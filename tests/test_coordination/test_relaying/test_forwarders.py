"""Test the choice of the host that forwards a request."""

from __future__ import annotations

from ryelever.coordination.host_heartbeats import ForwardingHosts, HostAddress
from ryelever.coordination.relaying.forwarders import AVOIDANCE, Forwarders


def _hosts(zone: str, *names: str) -> tuple[HostAddress, ...]:
    return tuple(
        HostAddress(host=name, address=f"{name}:1", availability_zone=zone)
        for name in names
    )


HOSTS = ForwardingHosts(own_zone=_hosts("x", "x1", "x2"), other_zones=_hosts("y", "y1"))


def _chosen(forwarders: Forwarders, *, now: float) -> set[str]:
    return {forwarders.choose(now=now).host for _ in range(30)}


def test_hosts_of_this_zone_are_preferred() -> None:
    assert _chosen(Forwarders(hosts=lambda *, now: HOSTS), now=0.0) == {"x1", "x2"}


def test_other_zones_are_preferred_once_a_host_of_this_zone_failed() -> None:
    """Guard against a detour by way of one host after the other of a cut-off zone."""
    forwarders = Forwarders(hosts=lambda *, now: HOSTS)
    forwarders.failed("x1", now=0.0)
    assert _chosen(forwarders, now=0.1) == {"y1"}
    assert _chosen(forwarders, now=0.1 + AVOIDANCE) == {"x1", "x2"}


def test_host_that_did_not_fail_forwards_if_the_other_zones_failed_too() -> None:
    forwarders = Forwarders(hosts=lambda *, now: HOSTS)
    forwarders.failed("x1", now=0.0)
    forwarders.failed("y1", now=0.0)
    assert _chosen(forwarders, now=0.1) == {"x2"}


def test_no_host_forwards_if_none_is_known() -> None:
    none = ForwardingHosts(own_zone=(), other_zones=())
    forwarders = Forwarders(hosts=lambda *, now: none)
    assert forwarders.choose(now=0.0) is None
    assert forwarders.witnesses(now=0.0) == []


def test_witnesses_are_of_different_zones() -> None:
    """Guard against a check by hosts that the same partition affects."""
    witnesses = Forwarders(hosts=lambda *, now: HOSTS).witnesses(now=0.0)
    assert [host.availability_zone for host in witnesses] == ["x", "y"]
