"""Exchange soft state with the other entry hosts over UDP."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .coordination.soft_state import SoftStateExchange
from .events import Datagram, peers_send
from .logs import log_event
from .protocol.soft_state import decode_message, encode_message
from .state.observations import ConfigurationRow

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .coordination.soft_state import (
        AgedObservationSource,
        Message,
        ObservationSink,
        ObservationSource,
        Received,
        SoftRow,
        UrgentSource,
    )
    from .metrics import Metrics
    from .settings import Settings
    from .state.configuration_fold import ConfigurationFold

__all__ = ["Peering"]

#: Seconds between two collections of this host's own observations.
OBSERVE_INTERVAL = 0.25

#: Seconds for which an urgent change is sent to the zone's peers on every control tick.
#: These are five datagrams, of which one arrives even if half of them are lost.
URGENT_FOR = 0.5


class Peering(BaseComponent):
    """Run the soft state exchange; do nothing without a peer key or without peers.

    Parameters
    ----------
    sources, sinks : sequence of ObservationSource, ObservationSink
        Objects that provide this host's observations, and objects that receive the
        observations of peers.
    aged_sources : sequence of AgedObservationSource
        Objects whose observations have their own times of observation.
    urgent : UrgentSource or None
        Object whose changes are sent to the zone's peers at once, and whose decisions
        wait for the observations of these peers.
    set_members : callable
        Receive the names of the other live entry hosts of the zone.
    """

    channel = "peering"

    def __init__(
        self,
        *,
        settings: Settings,
        address: str,
        configuration: ConfigurationFold,
        metrics: Metrics,
        sources: Sequence[ObservationSource],
        aged_sources: Sequence[AgedObservationSource],
        sinks: Sequence[ObservationSink],
        set_members: Callable[[list[str]], None],
        urgent: UrgentSource | None = None,
    ) -> None:
        super().__init__()
        self._key = settings.peer_key.encode()
        self._configuration = configuration
        self._metrics = metrics
        self._sources = sources
        self._aged_sources = aged_sources
        self._sinks = sinks
        self._set_members = set_members
        self._urgent = urgent
        self._observe_at = 0.0
        rng = random.SystemRandom()
        self.exchange = SoftStateExchange(
            host=settings.host,
            availability_zone=settings.availability_zone,
            address=address,
            addresses=[peer for peer in settings.peers if peer != address],
            boot=rng.getrandbits(64) | 1,
            current_configuration=self._current_configuration,
            rng=rng,
        )

    def zone_reported_since(self, moment: float) -> bool:
        """Return whether the zone's live hosts have reported all their observations.

        Parameters
        ----------
        moment : float
            Monotonic time up to which observations must have been reported.
        """
        return self.exchange.zone_reported_since(moment, now=time.monotonic())

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        if not self._key:
            return
        now = time.monotonic()
        has_urgent_changes = self._has_urgent_changes(now=now)
        if has_urgent_changes or now >= self._observe_at:
            self._observe_at = now + OBSERVE_INTERVAL
            self.exchange.observe(self._local_rows(now=now), now=now)
            self._set_members(self.exchange.live_members(now=now))
        self._send(self.exchange.tick(now=now))
        if has_urgent_changes:
            self._send(self.exchange.push_to_zone(now=now))
        unsettled_since = self._unsettled_since(now=now)
        if unsettled_since is not None:
            self._send(self.exchange.request_missing_reports(unsettled_since, now=now))

    def _unsettled_since(self, *, now: float) -> float | None:
        return None if self._urgent is None else self._urgent.unsettled_since(now=now)

    def _has_urgent_changes(self, *, now: float) -> bool:
        """Return whether there are recent changes that peers must receive at once."""
        if self._urgent is None:
            return False
        return bool(self._urgent.changes(since=now - URGENT_FOR))

    @handler("peers_received")
    def _on_peers_received(self, datagrams: list[Datagram]) -> None:
        if not self._key:
            self._metrics.count("peer_datagrams_dropped", "no_key")
            return
        now = time.monotonic()
        for datagram in datagrams:
            read = decode_message(datagram.data, key=self._key, peer=datagram.address)
            if read.is_error():
                self._metrics.count("peer_datagrams_dropped", read.error.code)
                continue
            before = self.exchange.n_by_fault.copy()
            received = self.exchange.receive(read.ok, address=datagram.address, now=now)
            for fault in self.exchange.n_by_fault - before:
                self._metrics.count("peer_datagrams_dropped", fault)
            self._deliver(received, address=datagram.address, now=now)

    def _deliver(self, received: Received, *, address: str, now: float) -> None:
        for delivery in received.deliveries:
            for sink in self._sinks:
                sink.observed(
                    delivery.observation,
                    peer=delivery.peer,
                    observed_at=delivery.observed_at,
                    now=now,
                )
        if received.configuration is not None:
            self._adopt_configuration(received.configuration, address=address)
        self._send(received.messages)

    def _adopt_configuration(self, row: ConfigurationRow, *, address: str) -> None:
        adopted = self._configuration.adopt(
            version=row.version, document=row.document, author=row.author
        )
        if adopted:
            log_event("configuration_adopted", version=row.version, peer=address)

    def _local_rows(self, *, now: float) -> list[tuple[SoftRow, float]]:
        rows = [
            (row, now)
            for source in self._sources
            for row in source.observations(now=now)
            if not isinstance(row, ConfigurationRow)
        ]
        for source in self._aged_sources:
            rows += source.aged_observations(now=now)
        return rows

    def _current_configuration(self) -> ConfigurationRow | None:
        fold = self._configuration
        if fold.version < 0:
            return None
        return ConfigurationRow(
            version=fold.version, author=fold.author, document=fold.configuration
        )

    def _send(self, messages: list[tuple[str, Message]]) -> None:
        if not messages:
            return
        datagrams = [
            Datagram(address=address, data=encode_message(message, key=self._key))
            for address, message in messages
        ]
        self.fire(peers_send(datagrams), "peers")

    def describe(self) -> dict[str, object]:
        """Return a description of peers and tables for the state dump."""
        now = time.monotonic()
        return {
            "live_members": self.exchange.live_members(now=now),
            "peers": [
                {
                    "address": peer.address,
                    "host": peer.name,
                    "availability_zone": peer.availability_zone,
                    "proven": peer.current is not None,
                    "heard_for": round(now - peer.last_received_at, 3)
                    if peer.current is not None
                    else None,
                }
                for peer in self.exchange.peers_by_address.values()
            ],
            "tables": [
                {
                    "host": table.member.host,
                    "availability_zone": table.member.availability_zone,
                    "digest": table.member.digest,
                    "version": table.version,
                    "n_rows": len(table.rows_by_slot),
                }
                for table in self.exchange.tables.tables_by_origin.values()
            ],
        }
