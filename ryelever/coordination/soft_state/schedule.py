"""Choose the peers that are due to be told something."""

from __future__ import annotations

import random

from ..polling import rendezvous
from .links import Peer

__all__ = ["Schedule"]

#: Exchanges a second begun inside the own zone: at most, and at most with one peer.
MAX_ZONE_RATE = 2.5
PEER_RATE = 1.0

#: Exchanges a second with other zones: at most, and at most with one zone.
MAX_FOREIGN_RATE = 2.0
FOREIGN_ZONE_RATE = 1.0

#: Seconds between two greetings, and between two of one address.
PROBE_INTERVAL = 0.25
GREETING_INTERVAL = 2.0

#: Seconds between two tries to reach a silent peer, in the zone and elsewhere.
SILENT_ZONE = 4.0
SILENT_FOREIGN = 60.0


class Schedule:
    """Go through the own zone's peers, the other zones and the unknown addresses.

    Attributes
    ----------
    zone_addresses : list of str
        Where the living entry hosts of the own zone are reached.
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
        self._foreign_due_at = 0.0
        self._probe_due_at = 0.0
        self._cycle: list[str] = []
        self._zones: list[str] = []
        self._n_zones = 0

    def due(self, *, now: float) -> list[str]:
        """Return the addresses to which a datagram is due."""
        return [
            *self._tell_zone(now=now),
            *self._tell_foreign(now=now),
            *self._probe(now=now),
        ]

    def _tell_zone(self, *, now: float) -> list[str]:
        if now < self._zone_due_at:
            return []
        if not self._cycle:
            self._cycle = list(self.zone_addresses)
            self._rng.shuffle(self._cycle)
        n_peers = max(1, len(self.zone_addresses))
        interval = max(1 / MAX_ZONE_RATE, 1 / (PEER_RATE * n_peers))
        self._zone_due_at = max(self._zone_due_at + interval, now)
        return [self._cycle.pop()] if self._cycle else []

    def _tell_foreign(self, *, now: float) -> list[str]:
        if now < self._foreign_due_at:
            return []
        if not self._zones:
            zones = {peer.availability_zone for peer in self._peers_by_address.values()}
            self._zones = sorted(zones - {"", self._zone})
            self._n_zones = len(self._zones)
            self._rng.shuffle(self._zones)
        rate = min(MAX_FOREIGN_RATE, FOREIGN_ZONE_RATE * max(1, self._n_zones))
        self._foreign_due_at = now + 1 / rate
        if not self._zones:
            return []
        zone = self._zones.pop()
        addresses = [
            peer.address
            for peer in self._peers_by_address.values()
            if peer.availability_zone == zone and not _is_silent(peer, now=now)
        ]
        return rendezvous(self._host, addresses, n_chosen=1)

    def _probe(self, *, now: float) -> list[str]:
        if now < self._probe_due_at:
            return []
        self._probe_due_at = now + PROBE_INTERVAL
        unknown = [
            peer
            for peer in self._peers_by_address.values()
            if now - max(peer.heard_at, peer.greeted_at) > self._patience(peer)
        ]
        if not unknown:
            return []
        peer = min(unknown, key=lambda peer: (peer.greeted_at, self._rng.random()))
        peer.greeted_at = now
        return [peer.address]

    def _patience(self, peer: Peer) -> float:
        if peer.current is None:
            return GREETING_INTERVAL
        if peer.availability_zone != self._zone:
            return SILENT_FOREIGN
        # One that lives has its turn without this.  One that does not is tried for
        # as long as the settings name it: a paused process comes back some day, and
        # both sides may have given each other up.
        lives = peer.address in self.zone_addresses
        return float("inf") if lives else SILENT_ZONE


def _is_silent(peer: Peer, *, now: float) -> bool:
    return peer.current is None or now - peer.heard_at > 2 * SILENT_FOREIGN
