"""Test how heartbeats and server updates spread among entry hosts."""

from __future__ import annotations

import time
from collections import Counter

import pytest
from msgspec.structs import replace

from ryelever.coordination.fan_out import MAX_RECEIVERS
from ryelever.coordination.host_heartbeats import (
    HostAddress,
    HostHeartbeat,
    HostHeartbeats,
)
from ryelever.coordination.quarantine import CrashEvidence
from ryelever.coordination.relaying import (
    Balancer,
    CrashWatch,
    StallWatch,
)
from ryelever.events import Datagram
from ryelever.host_exchange import (
    HEARTBEAT_INTERVAL,
    TICKS_PER_ZONE_HEARTBEAT,
    HostExchange,
)
from ryelever.state.directory import Directory
from ryelever.state.keyed_record import KeyedRecord, ServerUpdates
from ryelever.state.observations import WaitingRow

from .test_fleet_directory import settings_of

#: Availability zones of the hosts by their names.
ZONE_BY_HOST = {"a": "x", "b": "y", "c": "y", "d": "y"}

#: Requests that wait at each host.
ROW = WaitingRow(service="s", model="m", rank=(0, 1), late=False, count=2)


class Network:
    """Simulate the network between several hosts, all of which plan for their zones.

    Attributes
    ----------
    n_sent : int
        Datagrams taken from the network, including those dropped at the lost host.
    applied_by_host : dict of str to list of ServerUpdates
        Updates that each host's exchange handed to its directory.
    lost : str
        Name of a host that no longer receives datagrams.
    stalled_by_host : dict of str to tuple of str
        Heads of the groups that each host sees stalled.
    """

    def __init__(self, zone_by_host: dict[str, str] = ZONE_BY_HOST) -> None:
        self._zone_by_host = zone_by_host
        self.n_sent = 0
        self.n_sent_by_host: Counter[str] = Counter()
        self.lost = ""
        self.stalled_by_host: dict[str, tuple[str, ...]] = {}
        self.moving_by_host: dict[str, tuple[str, ...]] = {}
        self.applied_by_host: dict[str, list[ServerUpdates]] = {}
        self.exchanges_by_host: dict[str, HostExchange] = {}
        self._waiting: list[tuple[str, Datagram]] = []
        for host in zone_by_host:
            self.applied_by_host[host] = []
            self.exchanges_by_host[host] = self._exchange(host)

    def _exchange(self, host: str) -> HostExchange:
        zone = self._zone_by_host[host]
        heartbeats = HostHeartbeats(host=host, zone=zone)
        for other, other_zone in self._zone_by_host.items():
            heartbeats.addresses_by_host[other] = HostAddress(
                host=other, address=other, availability_zone=other_zone
            )
        exchange = HostExchange(
            settings=settings_of(host, zone=zone),
            heartbeats=heartbeats,
            balancer=Balancer(directory=Directory(), zone=zone),
            stall_watch=StallWatch(),
            crashes=CrashWatch(evidence=CrashEvidence()),
            describe=lambda: HostHeartbeat(
                host=host,
                availability_zone=zone,
                address=host,
                reads_store=True,
                stopping=False,
                configuration_version=1,
                still=self.stalled_by_host.get(host, ()),
                moving=self.moving_by_host.get(host, ()),
                plans=(zone,),
                demand_by_model={"m": 0.5},
            ),
            on_heartbeat=lambda heartbeat: None,
            waiting_rows=lambda: (ROW,),
            urgent_demand=lambda *, now: {"m": 0.25},
        )
        exchange.fire = lambda event, channel: self._fired(host, event, channel)
        return exchange

    def _fired(self, host: str, event: object, channel: str) -> None:
        if channel == "directory":
            self.applied_by_host[host] += event.args
        elif channel == "peers":
            self.n_sent_by_host[host] += len(event.args[0])
            for datagram in event.args[0]:
                self._waiting.append(
                    (datagram.address, Datagram(address=host, data=datagram.data))
                )

    def deliver(self, *, at_most: int) -> None:
        """Deliver datagrams in flight and those sent in response."""
        while self._waiting and self.n_sent < at_most:
            host, datagram = self._waiting.pop(0)
            self.n_sent += 1
            if host != self.lost:
                self.exchanges_by_host[host]._on_received([datagram])


@pytest.fixture
def network() -> Network:
    """Return hosts that have received each other's heartbeats."""
    network = Network()
    for _ in range(TICKS_PER_ZONE_HEARTBEAT):
        for exchange in network.exchanges_by_host.values():
            exchange._on_tick()
    network.deliver(at_most=100)
    return network


def _read(network: Network, reader: str) -> int:
    """Simulate a host's read of a record; return the number of datagrams sent."""
    before = network.n_sent
    records = [KeyedRecord(key="i1", value=b"{}", offset=4)]
    updates = ServerUpdates(reader=reader, start=4, end=5, records=records)
    network.exchanges_by_host[reader]._on_server_updates(updates)
    network.deliver(at_most=before + 1000)
    return network.n_sent - before


def test_updates_are_forwarded_once(network: Network) -> None:
    """Guard against hosts of a zone that forward the same updates forever.

    Updates arrive from another zone while several hosts act as the zone's planner, as
    all do right after their start.  If each planner also forwarded updates that had
    been forwarded already, the zone's links and processors would be saturated.
    """
    # One datagram to the other zone's representative, two from there to its peers.
    assert _read(network, "a") == 1 + 2
    for host in "bcd":
        assert [updates.records for updates in network.applied_by_host[host]]


def test_reader_sends_updates_to_its_own_zone_itself(network: Network) -> None:
    assert _read(network, "b") == 3


def test_sending_updates_to_a_large_zone_is_shared() -> None:
    """Guard against a reader whose link is saturated while a fleet's groups form."""
    zone_by_host = {f"x{index:03}": "x" for index in range(90)}
    zone_by_host |= {f"y{index:03}": "y" for index in range(130)}
    network = Network(zone_by_host)
    for _ in range(2):
        network.exchanges_by_host["x000"]._on_tick()
        network.exchanges_by_host["y000"]._on_tick()
        network.deliver(at_most=100_000)
    network.n_sent_by_host.clear()
    network.applied_by_host = {host: [] for host in zone_by_host}
    _read(network, "x000")
    assert max(network.n_sent_by_host.values()) <= MAX_RECEIVERS + 1
    n_applied = {
        host: len(updates) for host, updates in network.applied_by_host.items()
    }
    assert n_applied == dict.fromkeys(zone_by_host, 1) | {"x000": 0}


def _heartbeats_at(network: Network, host: str) -> HostHeartbeats:
    return network.exchanges_by_host[host]._heartbeats


def test_one_host_represents_its_zone(network: Network) -> None:
    """Guard against heartbeats between zones that grow with the square of the hosts.

    If each host sent heartbeats to each host of the other zones, processing them would
    take a twelfth of a core on each of 390 hosts.
    """
    for name, exchange in network.exchanges_by_host.items():
        exchange._balancer.record("i1").in_flight = ord(name)
    for _ in range(2 * TICKS_PER_ZONE_HEARTBEAT):
        for exchange in network.exchanges_by_host.values():
            exchange._on_tick()
        network.deliver(at_most=network.n_sent + 100)
    received = _heartbeats_at(network, "a").live_heartbeats(now=time.monotonic())
    assert [
        (heartbeat.host, heartbeat.for_zone, heartbeat.n_hosts)
        for heartbeat in received
    ] == [("b", True, 3)]
    assert _heartbeats_at(network, "a").in_flight(now=time.monotonic()) == {
        "i1": sum(map(ord, "bcd"))
    }
    # The other hosts of the zone get the other zone's summary through "b".
    for name in "cd":
        heartbeats = _heartbeats_at(network, name)
        assert heartbeats.zone_representative("x") == "a"
        assert heartbeats.in_flight(now=time.monotonic())["i1"] == sum(
            ord(other) for other in "abcd" if other != name
        )
        assert heartbeats.n_hosts(now=time.monotonic()) == len(ZONE_BY_HOST)


def test_zone_heartbeat_is_forwarded_once(network: Network) -> None:
    before = network.n_sent
    for _ in range(TICKS_PER_ZONE_HEARTBEAT):
        network.exchanges_by_host["a"]._on_tick()
    network.deliver(at_most=before + 100)
    # To the representative and to one more host; each may forward to its two peers.
    assert network.n_sent - before <= 2 + 2 * 2


def test_another_host_gets_heartbeats_when_the_zone_representative_is_lost(
    network: Network,
) -> None:
    """Guard against a zone that gets no heartbeats of another zone for seconds.

    The zone's representative is killed, and no other host of the zone has sent a zone
    heartbeat yet.  Heartbeats must not be sent to the last known representative only.
    """
    reached: set[str] = set()
    network.lost = "b"
    for _ in range(3 * TICKS_PER_ZONE_HEARTBEAT):
        network.exchanges_by_host["a"]._on_tick()
    network.deliver(at_most=network.n_sent + 100)
    for name in "cd":
        received = _heartbeats_at(network, name)._received_by_host["a"].heartbeat
        if received.sequence > TICKS_PER_ZONE_HEARTBEAT:
            reached.add(name)
    assert reached == {"c", "d"}


def test_group_that_progresses_at_another_host_is_not_avoided(
    network: Network,
) -> None:
    """Guard against sound groups that hosts avoid since one host can't reach them."""
    network.stalled_by_host["d"] = ("h1",)
    _announce(network, "d")
    record = network.exchanges_by_host["c"]._balancer.record("h1")
    assert record.stalled_until > time.monotonic()
    network.moving_by_host["a"] = ("h1",)
    _announce(network, "a")
    assert record.stalled_until == 0.0
    _announce(network, "d")
    assert record.stalled_until == 0.0


def _announce(network: Network, host: str) -> None:
    """Let a host send heartbeats to its own zone and to the others."""
    for _ in range(TICKS_PER_ZONE_HEARTBEAT):
        network.exchanges_by_host[host]._on_tick()
        for other in network.exchanges_by_host:
            if other != host:
                network.exchanges_by_host[other]._on_tick()
    network.deliver(at_most=network.n_sent + 200)


def test_stalled_group_is_announced_at_once(network: Network) -> None:
    """Guard against requests to a stalled group in a zone with infrequent heartbeats.

    If the host that notices a stall announced it only with its next regular heartbeat,
    the other hosts would send requests to the group until then: at 87 hosts, half of
    the requests of a busy day would be late.  A stall must be announced at once.
    """
    for exchange in network.exchanges_by_host.values():
        exchange._heartbeats.ticks_between_heartbeats = lambda **_: 10**6
        exchange._heartbeats.reads_for_zone = lambda reads_store, now: False
    network.stalled_by_host["d"] = ("h1",)
    for name in "db":
        network.exchanges_by_host[name]._on_tick()
        network.deliver(at_most=network.n_sent + 100)
    now = time.monotonic()
    for name in "bc":
        assert _heartbeats_at(network, name).still(now=now) == {"h1"}
    assert _heartbeats_at(network, "a").still(now=now) == {"h1"}
    # An unchanged state isn't sent again before the next regular heartbeat.
    before = network.n_sent
    network.exchanges_by_host["d"]._on_tick()
    network.deliver(at_most=before + 100)
    assert network.n_sent == before


def test_host_announces_its_longer_heartbeat_interval(network: Network) -> None:
    """Guard against live hosts that are considered lost while a large zone starts."""
    for exchange in network.exchanges_by_host.values():
        exchange._heartbeats.reads_for_zone = lambda reads_store, now: False
        exchange._heartbeats.represents_zone = lambda planning, now: False
    sender = network.exchanges_by_host["d"]
    # Of the next three heartbeats, only the first is due at these intervals.
    sender._sequence = 4 * 7
    for n_ticks in (1, 4, 7):
        sender._heartbeats.ticks_between_heartbeats = lambda n_ticks=n_ticks, **_: (
            n_ticks
        )
        sender._on_tick()
        network.deliver(at_most=network.n_sent + 100)
        received = _heartbeats_at(network, "b")._received_by_host["d"].heartbeat
        assert received.interval == pytest.approx(n_ticks * HEARTBEAT_INTERVAL)


def test_waiting_requests_of_all_zones_reach_each_balancer(network: Network) -> None:
    """Guard against hosts that send into slots for which others' requests wait."""
    for _ in range(2 * TICKS_PER_ZONE_HEARTBEAT):
        for exchange in network.exchanges_by_host.values():
            exchange._on_tick()
        network.deliver(at_most=network.n_sent + 100)
    for exchange in network.exchanges_by_host.values():
        assert exchange.n_waiting_by_model() == {"m": 2}
        # A host's own requests are not among those of its peers.
        assert exchange._balancer.peers_waiting == (replace(ROW, count=6),)
        assert exchange._balancer.peers_view_at >= exchange._started_at
    urgent = _heartbeats_at(network, "a").urgent_demand(now=time.monotonic())
    assert urgent == {"m": 0.75}
