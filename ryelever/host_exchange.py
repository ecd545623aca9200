"""Exchange heartbeats and server updates with the other entry hosts over UDP."""

from __future__ import annotations

import os
import time
from collections import Counter
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
    ForwardedDatagram,
    decode_datagram,
    encode_forwarded,
    encode_heartbeat,
    encode_updates,
)
from .state.keyed_record import ServerUpdates

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .coordination.host_heartbeats import HostAddress, HostHeartbeat, HostHeartbeats
    from .coordination.relaying import Balancer, CrashWatch, StallWatch
    from .relay_settings import RelaySettings
    from .state.observations import WaitingRow

__all__ = ["HostExchange", "HEARTBEAT_INTERVAL"]

#: Seconds between two heartbeats to the hosts of the same availability zone, if the
#: zone has few hosts.  Requests that another host sends to a group are known within
#: this time, a seventh of a stream's duration.
HEARTBEAT_INTERVAL = 0.2

#: Ticks between two heartbeats to another zone: traffic between zones costs money, and
#: the other zone's load matters less.
TICKS_PER_ZONE_HEARTBEAT = 3

#: Maximum number of hosts in a zone that send heartbeats to each other in every tick
#: while requests wait for slots.
MAX_HOSTS_AT_FULL_RATE_IF_WAITING = 30

#: Seconds after its start within which a host receives heartbeats from the other hosts
#: of its zone and from the representatives of other zones.
DISCOVERY_TIME = 1.0


class HostExchange(BaseComponent):
    """Send this host's heartbeats and updates, and process those of other hosts.

    Parameters
    ----------
    describe : callable
        Return this host's heartbeat without the fields that this component sets.
    on_heartbeat : callable
        Called with each new heartbeat of another host.
    waiting_rows : callable
        Return the requests of contended services that wait at this host.
    urgent_demand : callable
        Return the urgent part of this host's demand by model, at a monotonic time.
    arrival_rate : callable
        Return the requests a second that arrive at this host, at a monotonic time.
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
        waiting_rows: Callable[[], tuple[WaitingRow, ...]] = tuple,
        urgent_demand: Callable[..., dict[str, float]] = lambda *, now: {},
        arrival_rate: Callable[..., float] = lambda *, now: 0.0,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._heartbeats = heartbeats
        self._balancer = balancer
        self._stall_watch = stall_watch
        self._crashes = crashes
        self._describe = describe
        self._on_peer_heartbeat = on_heartbeat
        self._waiting_rows = waiting_rows
        self._urgent_demand = urgent_demand
        self._arrival_rate = arrival_rate
        self._boot = int.from_bytes(os.urandom(7), "big")
        self._sequence = 0
        self._n_broadcasts = 0
        self._last_sent_state: tuple[object, ...] = ()
        self._last_sent_zone_state: tuple[object, ...] = ()
        self._reachable_peers: set[str] = set()
        self._unreachable_zones: set[str] = set()
        self._started_at = time.monotonic()

    @property
    def n_reachable_peers(self) -> int:
        """Return the number of other hosts of the zone that send heartbeats."""
        return len(self._reachable_peers)

    def n_waiting_by_model(self) -> dict[str, int]:
        """Return how many requests of contended services wait at this host."""
        counts: Counter[str] = Counter()
        for row in self._waiting_rows():
            counts[row.model] += row.count
        return dict(counts)

    @handler("heartbeat_tick")
    def _on_tick(self) -> None:
        now = time.monotonic()
        self._sequence += 1
        described = self._describe()
        planning = self._settings.availability_zone in described.plans
        represents_zone = self._heartbeats.represents_zone(planning=planning, now=now)
        # Other hosts rely on a zone representative or reader, so such a host sends a
        # heartbeat at each tick, and its loss is noticed soon.
        relied_on = represents_zone or self._heartbeats.reads_for_zone(
            reads_store=described.reads_store, now=now
        )
        waiting = self._waiting_rows()
        usual_ticks = self._usual_ticks(waiting, now=now)
        n_ticks = 1 if relied_on else usual_ticks
        heartbeat = self._own_heartbeat(
            described, waiting, interval=n_ticks * HEARTBEAT_INTERVAL, now=now
        )
        if (
            self._sequence % n_ticks == 0
            or urgent_state(heartbeat) != self._last_sent_state
        ):
            self._last_sent_state = urgent_state(heartbeat)
            data = encode_heartbeat(heartbeat)
            if relied_on:
                self._broadcast_in_zone(data)
            else:
                self._send(data, self._zone_peers())
        if represents_zone:
            self._send_zone_heartbeat(heartbeat, now=now)
        self._update_peer_view(now=now)
        self._balancer.unreachable_zones = self._heartbeats.unreachable_zones(now=now)
        self._balancer.set_heartbeat_interval(
            interval=HEARTBEAT_INTERVAL * usual_ticks,
            n_zone_peers=len(self._heartbeats.of_own_zone(now=now)),
            n_hosts=self._heartbeats.n_hosts(now=now),
        )
        self._update_limit_shares(now=now)
        self._log_reachability_changes(now=now)

    def _update_peer_view(self, *, now: float) -> None:
        """Give the balancer the other hosts' requests, and the age of this view."""
        self._balancer.peers_in_flight_by_id = self._heartbeats.in_flight(now=now)
        self._balancer.peers_waiting = self._heartbeats.waiting(now=now)
        self._balancer.peers_view_at = self._heartbeats.oldest_received_at(now=now)

    def _usual_ticks(self, waiting: tuple[WaitingRow, ...], *, now: float) -> int:
        """Return the ticks between heartbeats of a host on which no other host relies.

        While requests wait for slots, hosts send more often: the older their reports
        are, the more requests of different hosts meet at the same group.
        """
        if waiting or self._heartbeats.waiting(now=now):
            return self._heartbeats.ticks_between_heartbeats(
                now=now, max_hosts=MAX_HOSTS_AT_FULL_RATE_IF_WAITING
            )
        return self._heartbeats.ticks_between_heartbeats(now=now)

    def _update_limit_shares(self, *, now: float) -> None:
        if self._balancer.limits.is_empty or now - self._started_at < DISCOVERY_TIME:
            # A host that has not received any heartbeats yet would claim all of
            # a limit.
            return
        self._balancer.limits.update_shares(
            host=self._settings.host,
            zone=self._settings.availability_zone,
            heartbeats=self._heartbeats.live_heartbeats(now=now),
            arrival_rate=self._arrival_rate(now=now),
            now=now,
        )

    def _own_heartbeat(
        self,
        described: HostHeartbeat,
        waiting: tuple[WaitingRow, ...],
        *,
        interval: float,
        now: float,
    ) -> HostHeartbeat:
        return replace(
            described,
            boot=self._boot,
            sequence=self._sequence,
            interval=interval,
            rate_limits=self._balancer.limits.announced_limits(now=now),
            wanted_servers=self._balancer.limits.requested_servers(now=now),
            leaving_servers=self._balancer.announced_leaving(now=now),
            in_flight_by_server={
                server_id: record.in_flight
                for server_id, record in self._balancer.records_by_id.items()
                if record.in_flight
            },
            waiting=waiting,
            urgent_demand_by_model=self._urgent_demand(now=now),
            arrival_rate=self._arrival_rate(now=now),
        )

    def _send_zone_heartbeat(self, local: HostHeartbeat, *, now: float) -> None:
        """Send this zone's summary to the other zones if it is due or urgent."""
        summary = replace(
            zone_summary(local, self._heartbeats.of_own_zone(now=now)),
            for_zone=True,
            interval=TICKS_PER_ZONE_HEARTBEAT * HEARTBEAT_INTERVAL,
        )
        state = urgent_state(summary)
        if (
            self._sequence % TICKS_PER_ZONE_HEARTBEAT
            and state == self._last_sent_zone_state
        ):
            return
        self._last_sent_zone_state = state
        data = encode_heartbeat(summary)
        for zone in self._other_zones():
            # The last known representative may be lost, so one more host of the zone,
            # a different one each time, gets the heartbeat as well.
            others = self._heartbeats.hosts_of(zone)
            receivers = {
                others[self._sequence // TICKS_PER_ZONE_HEARTBEAT % len(others)]
            }
            receivers.add(self._heartbeats.zone_representative(zone) or "")
            self._send(data, receivers)

    @handler("peers_received")
    def _on_received(self, datagrams: list[Datagram]) -> None:
        now = time.monotonic()
        for datagram in datagrams:
            message = decode_datagram(datagram.data, peer=datagram.address)
            if isinstance(message, ForwardedDatagram):
                self._forward(message)
                message = decode_datagram(message.data, peer=datagram.address)
            if isinstance(message, RyeleverError):
                log_event("word_unreadable", peer=datagram.address, why=str(message))
            elif isinstance(message, ServerUpdates):
                self._apply_updates(replace(message, provider=datagram.address))
            elif isinstance(message, ForwardedDatagram):
                log_event(
                    "word_unreadable", peer=datagram.address, why="forwarded twice"
                )
            elif self._heartbeats.record(message, address=datagram.address, now=now):
                if message.for_zone and not message.passed_on:
                    # The other hosts of this zone get this heartbeat only from here.
                    self._broadcast_in_zone(
                        encode_heartbeat(replace(message, passed_on=True))
                    )
                self._mark_stalled(message, now=now)
                self._on_peer_heartbeat(message)
                self._balancer.limits.record_peer_limits(message.rate_limits, now=now)
                self._record_leaving_servers(message, now=now)
                if message.suspicions:
                    self._crashes.record_announced(
                        message.suspicions, host=message.host, now=now
                    )
        self._update_peer_view(now=now)
        self._update_limit_shares(now=now)

    def _record_leaving_servers(self, heartbeat: HostHeartbeat, *, now: float) -> None:
        rows = heartbeat.leaving_servers
        for server_id in self._balancer.record_peer_leaving(rows, now=now):
            log_event("server_leaving", server=server_id, peer=heartbeat.host)

    @handler("server_updates")
    def _on_server_updates(self, updates: ServerUpdates) -> None:
        """Send records that this host has read, so that other hosts needn't read them.

        Each other zone gets them through one of its hosts.
        """
        self._send_updates(updates)

    def _apply_updates(self, updates: ServerUpdates) -> None:
        self.fire(server_updates(updates), "directory")
        reader = self._heartbeats.addresses_by_host.get(updates.reader)
        is_known_in_zone = reader is not None and self._is_in_zone(reader)
        if not updates.passed_on and not is_known_in_zone:
            # Updates are sent to another zone once, to its representative, which
            # broadcasts them there; the reader itself broadcasts them in its own zone.
            # Forwarded updates aren't forwarded again, or two hosts would send them
            # back and forth forever.
            for data in encode_updates(replace(updates, passed_on=True)):
                self._broadcast_in_zone(data)

    def _send_updates(self, updates: ServerUpdates) -> None:
        """Send updates to all hosts of this zone and to one host of each other zone."""
        receivers = {
            self._heartbeats.zone_representative(zone)
            or self._heartbeats.hosts_of(zone)[0]
            for zone in self._other_zones()
        }
        for data in encode_updates(updates):
            self._broadcast_in_zone(data)
            self._send(data, receivers)

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
        """Send a datagram to the zone's other hosts; in large zones some forward it.

        Used for frequent or large datagrams that one host or a few hosts send: sent
        directly, each would cross the sender's link once for every host of the zone.
        """
        living = {
            heartbeat.host
            for heartbeat in self._heartbeats.of_own_zone(now=time.monotonic())
        }
        self._n_broadcasts += 1
        receivers = fan_out(
            self._zone_peers(), live_hosts=living, rotation=self._n_broadcasts
        )
        self._send_datagrams(
            (
                item.host,
                encode_forwarded(data, item.hosts) if item.hosts else data,
            )
            for item in receivers
        )

    def _forward(self, datagram: ForwardedDatagram) -> None:
        """Forward a datagram to those of its hosts that are in this zone."""
        self._send(datagram.data, set(datagram.hosts).intersection(self._zone_peers()))

    def _send(self, data: bytes, hosts: Iterable[str]) -> None:
        """Send one datagram to several hosts; skip hosts without a known address."""
        self._send_datagrams((host, data) for host in hosts)

    def _send_datagrams(self, data_by_host: Iterable[tuple[str, bytes]]) -> None:
        """Send a datagram to each host, all in one event; skip unknown hosts."""
        by_host = self._heartbeats.addresses_by_host
        datagrams = [
            Datagram(address=by_host[host].address, data=data)
            for host, data in data_by_host
            if host in by_host
        ]
        if datagrams:
            self.fire(peers_send(datagrams), "peers")

    def _mark_stalled(self, heartbeat: HostHeartbeat, *, now: float) -> None:
        """Avoid groups that other hosts see stalled, unless they progress anywhere."""
        if heartbeat.moving:
            stalled_here = self._stall_watch.still(now=now)
            for server_id in heartbeat.moving:
                if server_id not in stalled_here:
                    self._balancer.clear_stall(server_id)
        if not heartbeat.still:
            return
        moving = self._heartbeats.moving(now=now)
        for server_id in heartbeat.still:
            has_progressed = self._stall_watch.has_progressed(server_id, now=now)
            if has_progressed or server_id in moving:
                continue
            if self._balancer.mark_stalled(server_id, now=now):
                log_event("stall_received", server=server_id, peer=heartbeat.host)

    def _log_reachability_changes(self, *, now: float) -> None:
        reachable = {
            heartbeat.host for heartbeat in self._heartbeats.of_own_zone(now=now)
        }
        for host in reachable - self._reachable_peers:
            log_event("peer_heard", peer=host)
        for host in self._reachable_peers - reachable:
            log_event("peer_lost", peer=host)
        self._reachable_peers = reachable
        unreachable = self._balancer.unreachable_zones
        for zone in unreachable - self._unreachable_zones:
            log_event("zone_lost", zone=zone)
        for zone in self._unreachable_zones - unreachable:
            log_event("zone_regained", zone=zone)
        self._unreachable_zones = unreachable
