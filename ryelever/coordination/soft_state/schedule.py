"""Schedule the exchanges with peers."""

from __future__ import annotations

import random

from ..polling import rendezvous
from .links import Peer

__all__ = ["Schedule"]

#: Maximum exchanges per second that this host starts inside its zone: in total, and
#: with one peer.
MAX_ZONE_RATE = 2.5
PEER_RATE = 1.0

#: Maximum exchanges per second with other zones: in total, and with one zone.
MAX_REMOTE_RATE = 2.0
REMOTE_ZONE_RATE = 1.0

#: Seconds between two greetings, and between two greetings to the same address while no
#: peer there has authenticated itself.
GREETING_INTERVAL = 0.25
ADDRESS_GREETING_INTERVAL = 2.0

#: Seconds between two attempts to reach a silent peer: in this zone, in other zones.
SILENT_LOCAL_RETRY = 4.0
SILENT_REMOTE_RETRY = 60.0


class Schedule:
    """Cycle through the peers of this zone, the other zones and silent addresses.

    Attributes
    ----------
    zone_addresses : list of str
        Addresses of the live entry hosts of this availability zone.
    """

    def __init__(
        self,
        *,
        host: str,
        availability_zone: str,
        peers_by_address: dict[str, Peer],
        rng: random.Random,
    ) -> None:
        self._host = host
        self._zone = availability_zone
        self._peers_by_address = peers_by_address
        self._rng = rng
        self.zone_addresses: list[str] = []
        self._zone_due_at = 0.0
        self._remote_due_at = 0.0
        self._greeting_due_at = 0.0
        self._cycle: list[str] = []
        self._zones: list[str] = []
        self._n_zones = 0

    def due(self, *, now: float) -> list[str]:
        """Return the addresses to which a datagram is due."""
        return [
            *self._due_in_zone(now=now),
            *self._due_in_other_zones(now=now),
            *self._due_greeting(now=now),
        ]

    def _due_in_zone(self, *, now: float) -> list[str]:
        if now < self._zone_due_at:
            return []
        if not self._cycle:
            self._cycle = list(self.zone_addresses)
            self._rng.shuffle(self._cycle)
        n_peers = max(1, len(self.zone_addresses))
        interval = max(1 / MAX_ZONE_RATE, 1 / (PEER_RATE * n_peers))
        self._zone_due_at = max(self._zone_due_at + interval, now)
        return [self._cycle.pop()] if self._cycle else []

    def _due_in_other_zones(self, *, now: float) -> list[str]:
        if now < self._remote_due_at:
            return []
        if not self._zones:
            zones = {peer.availability_zone for peer in self._peers_by_address.values()}
            self._zones = sorted(zones - {"", self._zone})
            self._n_zones = len(self._zones)
            self._rng.shuffle(self._zones)
        rate = min(MAX_REMOTE_RATE, REMOTE_ZONE_RATE * max(1, self._n_zones))
        self._remote_due_at = now + 1 / rate
        if not self._zones:
            return []
        zone = self._zones.pop()
        addresses = [
            peer.address
            for peer in self._peers_by_address.values()
            if peer.availability_zone == zone and not _is_unreachable(peer, now=now)
        ]
        return rendezvous(self._host, addresses, n_chosen=1)

    def _due_greeting(self, *, now: float) -> list[str]:
        if now < self._greeting_due_at:
            return []
        self._greeting_due_at = now + GREETING_INTERVAL
        silent = [
            peer
            for peer in self._peers_by_address.values()
            if now - max(peer.last_received_at, peer.greeted_at)
            > self._silence_before_greeting(peer)
        ]
        if not silent:
            return []
        peer = min(silent, key=lambda peer: (peer.greeted_at, self._rng.random()))
        peer.greeted_at = now
        return [peer.address]

    def _silence_before_greeting(self, peer: Peer) -> float:
        if peer.current is None:
            return ADDRESS_GREETING_INTERVAL
        if peer.availability_zone != self._zone:
            return SILENT_REMOTE_RETRY
        # A live peer of the zone gets its regular exchanges and needs no greeting.  A
        # silent peer is greeted for as long as the settings name it: a paused process
        # may resume at any later time, when both sides may have dropped each other.
        is_live = peer.address in self.zone_addresses
        return float("inf") if is_live else SILENT_LOCAL_RETRY


def _is_unreachable(peer: Peer, *, now: float) -> bool:
    return peer.current is None or now - peer.last_received_at > 2 * SILENT_REMOTE_RETRY
