"""Exchange words with the other entry hosts."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler
from msgspec.structs import replace

from .coordination.fan_out import fan_out
from .coordination.host_heartbeats import urgent_state
from .coordination.zone_summary import zone_summary
from .errors import RyeleverError
from .events import Datagram, peers_send, server_updates
from .logs import log_event
from .protocol.host_messages import (
    RelayedDatagram,
    decode_datagram,
    encode_heartbeat,
    encode_relayed,
    encode_updates,
)
from .state.keyed_record import ServerUpdates

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .coordination.host_heartbeats import HostAddress, HostHeartbeat, HostHeartbeats
    from .coordination.relaying import Balancer, CrashWatch, StallWatch
    from .relay_settings import RelaySettings

__all__ = ["HostExchange", "HEARTBEAT_INTERVAL"]

#: Seconds between two words to the hosts of the same availability zone, where there
#: are few.  What another host sends to a group is known within this time, a seventh
#: of a stream.
HEARTBEAT_INTERVAL = 0.2

#: Ticks between two words to another zone: bytes between zones are paid for, and load
#: there matters less.
TICKS_PER_ZONE_HEARTBEAT = 3


#: Seconds after its start within which a host hears the others of its zone, and those
#: that speak for other zones.
DISCOVERY_TIME = 1.0


class HostExchange(BaseComponent):
    """Own what this host tells others, and take what they tell.

    Parameters
    ----------
    describe : callable
        Return this host's word as far as other components know it.
    on_heartbeat : callable
        Take note that another host has a configuration version in force.
    """

    channel = "exchange"

    def __init__(
        self,
        *,
        settings: RelaySettings,
        heartbeats: HostHeartbeats,
        balancer: Balancer,
        stall_watch: StallWatch,
        crashes: CrashWatch,
        describe: Callable[[], HostHeartbeat],
        on_heartbeat: Callable[[HostHeartbeat], None],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._heartbeats = heartbeats
        self._balancer = balancer
        self._stall_watch = stall_watch
        self._crashes = crashes
        self._describe = describe
        self._on_peer_heartbeat = on_heartbeat
        self._boot = int.from_bytes(os.urandom(7), "big")
        self._sequence = 0
        self._n_broadcasts = 0
        self._last_near_state: tuple[object, ...] = ()
        self._last_far_state: tuple[object, ...] = ()
        self._heard: set[str] = set()
        self._unreachable_zones: set[str] = set()
        self._started_at = time.monotonic()

    @property
    def n_reachable_peers(self) -> int:
        """Return how many other entry hosts of the zone are heard."""
        return len(self._heard)

    @handler("heartbeat_tick")
    def _on_tick(self) -> None:
        now = time.monotonic()
        self._sequence += 1
        described = self._describe()
        planning = self._settings.availability_zone in described.plans
        represents_zone = self._heartbeats.represents_zone(planning=planning, now=now)
        # Others rely on who speaks or reads for them, and notice soon if it is lost.
        relied_on = represents_zone or self._heartbeats.reads_for_zone(
            reads_store=described.reads_store, now=now
        )
        usual_ticks = self._heartbeats.ticks_between_heartbeats(now=now)
        n_ticks = 1 if relied_on else usual_ticks
        heartbeat = self._own_heartbeat(
            described, interval=n_ticks * HEARTBEAT_INTERVAL, now=now
        )
        if (
            self._sequence % n_ticks == 0
            or urgent_state(heartbeat) != self._last_near_state
        ):
            self._last_near_state = urgent_state(heartbeat)
            data = encode_heartbeat(heartbeat)
            if relied_on:
                self._broadcast_in_zone(data)
            else:
                self._send(data, self._zone_peers())
        if represents_zone:
            self._send_zone_heartbeat(heartbeat, now=now)
        self._balancer.peers_in_flight_by_id = self._heartbeats.in_flight(now=now)
        self._balancer.unreachable_zones = self._heartbeats.unreachable_zones(now=now)
        self._balancer.hear(
            interval=HEARTBEAT_INTERVAL * usual_ticks,
            n_near=len(self._heartbeats.near(now=now)),
            n_hosts=self._heartbeats.n_hosts(now=now),
        )
        self._update_limit_shares(now=now)
        self._log_reachability_changes(now=now)

    def _update_limit_shares(self, *, now: float) -> None:
        if self._balancer.limits.is_empty or now - self._started_at < DISCOVERY_TIME:
            # A host that has heard nobody yet would take all of a limit.
            return
        self._balancer.limits.share_out(
            host=self._settings.host,
            zone=self._settings.availability_zone,
            heartbeats=self._heartbeats.living(now=now),
            now=now,
        )

    def _own_heartbeat(
        self, described: HostHeartbeat, *, interval: float, now: float
    ) -> HostHeartbeat:
        return replace(
            described,
            boot=self._boot,
            sequence=self._sequence,
            interval=interval,
            rate_limits=self._balancer.limits.told(now=now),
            wanted_servers=self._balancer.limits.wanted(now=now),
            in_flight_by_server={
                server_id: record.in_flight
                for server_id, record in self._balancer.records_by_id.items()
                if record.in_flight
            },
        )

    def _send_zone_heartbeat(self, own: HostHeartbeat, *, now: float) -> None:
        """Tell the other zones what there is to say for this one, if it is time."""
        summary = replace(
            zone_summary(own, self._heartbeats.near(now=now)),
            for_zone=True,
            interval=TICKS_PER_ZONE_HEARTBEAT * HEARTBEAT_INTERVAL,
        )
        state = urgent_state(summary)
        if self._sequence % TICKS_PER_ZONE_HEARTBEAT and state == self._last_far_state:
            return
        self._last_far_state = state
        data = encode_heartbeat(summary)
        for zone in self._other_zones():
            # Who spoke last may be lost, so that another one is told as well.
            others = self._heartbeats.hosts_of(zone)
            told = {others[self._sequence // TICKS_PER_ZONE_HEARTBEAT % len(others)]}
            told.add(self._heartbeats.zone_representative(zone) or "")
            self._send(data, told)

    @handler("peers_received")
    def _on_received(self, datagrams: list[Datagram]) -> None:
        now = time.monotonic()
        for datagram in datagrams:
            heartbeat = decode_datagram(datagram.data, peer=datagram.address)
            if isinstance(heartbeat, RelayedDatagram):
                self._forward_relayed(heartbeat)
                heartbeat = decode_datagram(heartbeat.data, peer=datagram.address)
            if isinstance(heartbeat, RyeleverError):
                log_event("word_unreadable", peer=datagram.address, why=str(heartbeat))
            elif isinstance(heartbeat, ServerUpdates):
                self._apply_updates(replace(heartbeat, provider=datagram.address))
            elif isinstance(heartbeat, RelayedDatagram):
                log_event("word_unreadable", peer=datagram.address, why="relayed twice")
            elif self._heartbeats.take(heartbeat, address=datagram.address, now=now):
                if heartbeat.for_zone and not heartbeat.passed_on:
                    # The zone's other hosts hear of this one only here.
                    self._broadcast_in_zone(
                        encode_heartbeat(replace(heartbeat, passed_on=True))
                    )
                self._mark_stalled(heartbeat, now=now)
                self._on_peer_heartbeat(heartbeat)
                self._balancer.limits.heard(heartbeat.rate_limits, now=now)
                if heartbeat.suspicions:
                    self._crashes.heard(
                        heartbeat.suspicions, host=heartbeat.host, now=now
                    )
        self._balancer.peers_in_flight_by_id = self._heartbeats.in_flight(now=now)
        self._update_limit_shares(now=now)

    @handler("server_updates")
    def _on_server_updates(self, updates: ServerUpdates) -> None:
        """Pass on what this host has read, so that others need not read it."""
        self._pass_on(updates)

    def _apply_updates(self, updates: ServerUpdates) -> None:
        self.fire(server_updates(updates), "directory")
        reader = self._heartbeats.addresses_by_host.get(updates.reader)
        knows_already = reader is not None and self._is_in_zone(reader)
        if not updates.passed_on and not knows_already:
            # News cross between zones once, to who speaks for one, who tells it; the
            # reader has told its own.  What was passed on goes no further, or two
            # hosts would send it to and fro for ever.
            for data in encode_updates(replace(updates, passed_on=True)):
                self._broadcast_in_zone(data)

    def _pass_on(self, updates: ServerUpdates) -> None:
        """Tell this zone, and one host of each other one."""
        told = {
            self._heartbeats.zone_representative(zone)
            or self._heartbeats.hosts_of(zone)[0]
            for zone in self._other_zones()
        }
        for data in encode_updates(updates):
            self._broadcast_in_zone(data)
            self._send(data, told)

    def _other_zones(self) -> list[str]:
        """Return the other zones that have entry hosts."""
        zones = {
            address.availability_zone
            for address in self._heartbeats.addresses_by_host.values()
        }
        return sorted(zones - {self._settings.availability_zone})

    def _zone_peers(self) -> list[str]:
        """Return the other hosts of this zone, sorted."""
        hosts = self._heartbeats.hosts_of(self._settings.availability_zone)
        return [host for host in hosts if host != self._settings.host]

    def _is_in_zone(self, address: HostAddress) -> bool:
        return address.availability_zone == self._settings.availability_zone

    def _broadcast_in_zone(self, data: bytes) -> None:
        """Tell the other hosts of this zone, some of them by way of others.

        For what comes often or is long, and comes from one host or few: the link of
        that one would carry it as many times as the zone has hosts.
        """
        living = {
            heartbeat.host for heartbeat in self._heartbeats.near(now=time.monotonic())
        }
        self._n_broadcasts += 1
        relayers = fan_out(self._zone_peers(), living=living, turn=self._n_broadcasts)
        self._send_datagrams(
            (
                item.host,
                encode_relayed(data, item.hosts) if item.hosts else data,
            )
            for item in relayers
        )

    def _forward_relayed(self, relayed: RelayedDatagram) -> None:
        """Send on what others of this zone are to hear by way of this host."""
        self._send(relayed.data, set(relayed.hosts).intersection(self._zone_peers()))

    def _send(self, data: bytes, hosts: Iterable[str]) -> None:
        """Send one datagram to each of some hosts that are known."""
        self._send_datagrams((host, data) for host in hosts)

    def _send_datagrams(self, data_by_host: Iterable[tuple[str, bytes]]) -> None:
        """Send each of some hosts that are known a datagram, all in one event."""
        by_host = self._heartbeats.addresses_by_host
        datagrams = [
            Datagram(address=by_host[host].address, data=data)
            for host, data in data_by_host
            if host in by_host
        ]
        if datagrams:
            self.fire(peers_send(datagrams), "peers")

    def _mark_stalled(self, heartbeat: HostHeartbeat, *, now: float) -> None:
        """Leave groups alone that stand still for another host, and not here."""
        for server_id in heartbeat.still:
            if not self._stall_watch.has_progressed(server_id, now=now):
                self._balancer.mark_stalled(server_id, now=now)

    def _log_reachability_changes(self, *, now: float) -> None:
        heard = {heartbeat.host for heartbeat in self._heartbeats.near(now=now)}
        for host in heard - self._heard:
            log_event("peer_heard", peer=host)
        for host in self._heard - heard:
            log_event("peer_lost", peer=host)
        self._heard = heard
        unheard = self._balancer.unreachable_zones
        for zone in unheard - self._unreachable_zones:
            log_event("zone_lost", zone=zone)
        for zone in self._unreachable_zones - unheard:
            log_event("zone_regained", zone=zone)
        self._unreachable_zones = unheard
