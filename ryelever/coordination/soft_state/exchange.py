"""Decide which updates this entry host sends to which peer, and when.

Inside an availability zone every entry host cycles through its peers in a shuffled
order, a few each second, and sends them the updates that they lack of all tables of the
zone.  Rows spread by gossip, in a time that grows with the logarithm of the number of
peers, while each entry host sends a constant number of datagrams.  In each other zone
an entry host exchanges with one peer, which gets only the zones' digests.
docs/PEERS.md gives the figures.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from ...state.observations import ConfigurationRow
from .compose import Composer
from .configuration import ConfigurationTransfer
from .deliveries import Delivery, deliveries
from .digest import aggregated_rows
from .links import Peer
from .local_table import LocalTable
from .messages import (
    Member,
    Message,
    SoftRow,
    Step,
)
from .schedule import Schedule
from .tables import (
    REDELIVERY_INTERVAL,
    Table,
    Tables,
    origin_of,
)

__all__ = ["Delivery", "Received", "SoftStateExchange"]

#: Minimum seconds between two answers to unauthenticated datagrams of one address,
#: between two responses to its requests, and between any datagram to a peer and a
#: request for its missing reports.
ANSWER_INTERVAL = 0.2

#: Seconds of silence after which a peer of this zone is excluded from sharing work.
LIVE_AGE = 4.0

#: Seconds between two checks for expired tables.
EXPIRE_INTERVAL = 0.5

#: Seconds between two updates of a zone's digest, and of a single host's digest.
DIGEST_INTERVAL = 1.0
FLAT_DIGEST_INTERVAL = 0.5

#: Maximum number of entry hosts at which each sends its own digest to all zones instead
#: of its zone's digest.
MAX_FLAT = 16

#: Maximum number of peers with state; peers named in the settings are always kept.
MAX_PEERS = 1024


@dataclass(slots=True, kw_only=True)
class Received:
    """Results of a received datagram: replies, deliveries and a configuration."""

    messages: list[tuple[str, Message]] = field(default_factory=list)
    deliveries: list[Delivery] = field(default_factory=list)
    configuration: ConfigurationRow | None = None


class SoftStateExchange:
    """Own the state of all peers and the tables that they exchange.

    Parameters
    ----------
    address : str
        Address at which peers reach this entry host.
    addresses : collection of str
        Peers named in the settings.
    max_flat : int
        Maximum number of entry hosts at which other zones receive each host's digest
        under its own name instead of its zone's digest.
    boot : int
        Random number of this process.
    current_configuration : callable
        Return the configuration in force on this host, or None.
    rng : random.Random
        Generator of tokens and shuffles; seeded from the system in production.
    """

    def __init__(
        self,
        *,
        host: str,
        availability_zone: str,
        address: str,
        addresses: Collection[str],
        boot: int,
        current_configuration: Callable[[], ConfigurationRow | None],
        rng: random.Random,
        max_flat: int = MAX_FLAT,
    ) -> None:
        self._host = host
        self._flat = len(addresses) < max_flat
        self._zone = availability_zone
        self._boot = boot
        self._rng = rng
        self._configured = frozenset(addresses)
        self.peers_by_address: dict[str, Peer] = {}
        for known in addresses:
            self._peer(known)
        self.configuration = ConfigurationTransfer(current=current_configuration)
        self.tables = Tables(
            accepts=self._accepts,
            redelivery_interval=0.0 if self._flat else REDELIVERY_INTERVAL,
        )
        self._local_table = self._new_local_table(address, digest=False)
        self._digest = self._new_local_table(address, digest=True)
        self._composer = Composer(
            host=host,
            availability_zone=availability_zone,
            boot=boot,
            local_table=self._local_table,
            digest=self._digest,
            tables=self.tables,
            configuration=self.configuration,
            rng=rng,
        )
        self._digest_due_at: float | None = None
        self._expire_at = 0.0
        self._schedule = Schedule(
            host=host,
            availability_zone=availability_zone,
            peers_by_address=self.peers_by_address,
            rng=rng,
        )
        self.n_by_fault: Counter[str] = Counter()

    def _new_local_table(self, address: str, *, digest: bool) -> LocalTable:
        member = Member(
            host=self._host,
            availability_zone=self._zone,
            address=address,
            digest=digest,
            alone=digest and self._flat,
        )
        origin = origin_of(self._host, self._boot, digest=digest)
        return LocalTable(origin=origin, member=member, flat=self._flat)

    def _accepts(self, member: Member, zone: str) -> bool:
        # A peer of another zone has only this zone's digest, not all rows of its hosts.
        # Accepting a single host's row from such a peer would advance the version of
        # that host's table past missing rows, which would then never be requested.
        if member.host == self._host:
            return False
        return member.digest or member.availability_zone == zone == self._zone

    def _peer(self, address: str) -> Peer | None:
        peer = self.peers_by_address.get(address)
        if peer is not None:
            return peer
        if len(self.peers_by_address) >= MAX_PEERS and address not in self._configured:
            return None
        peer = Peer(address=address, draw=lambda: self._rng.getrandbits(64) | 1)
        self.peers_by_address[address] = peer
        return peer

    # State of the zone

    def live_members(self, *, now: float) -> list[str]:
        """Return the names of the other live entry hosts of this zone."""
        return [
            table.member.host
            for table in self.tables.tables_by_origin.values()
            if self._is_zone_peer(table) and now - table.alive_at() <= LIVE_AGE
        ]

    def live_addresses(self, *, now: float) -> dict[str, str]:
        """Return the addresses of the other live entry hosts of this zone, by name."""
        return {
            table.member.host: table.member.address
            for table in self.tables.tables_by_origin.values()
            if self._is_zone_peer(table) and now - table.alive_at() <= LIVE_AGE
        }

    def _is_zone_peer(self, table: Table) -> bool:
        return not table.member.digest and table.member.availability_zone == self._zone

    def _zone_addresses(self, *, now: float) -> list[str]:
        tables = self.tables.tables_by_origin.values()
        return sorted(
            {
                table.member.address
                for table in tables
                if self._is_zone_peer(table) and now - table.last_seen_at() <= LIVE_AGE
            }
        )

    def zone_reported_since(self, moment: float, *, now: float) -> bool:
        """Return whether the zone's live hosts have reported all their observations.

        Parameters
        ----------
        moment : float
            Monotonic time up to which observations must have been reported.  A host
            that did not exist at that time has observed nothing, and a host that stays
            silent for ``LIVE_AGE`` after it is not waited for.
        """
        return not self._unreported_since(moment, now=now)

    def _unreported_since(self, moment: float, *, now: float) -> list[str]:
        """Return the addresses of the zone's hosts whose reports are missing."""
        return [
            table.member.address
            for table in self.tables.tables_by_origin.values()
            if self._is_zone_peer(table)
            and moment - table.alive_at() <= LIVE_AGE
            and now - max(table.alive_at(), moment) <= LIVE_AGE
            and table.created_at <= moment
            and table.complete_until < moment
        ]

    def observe(self, rows: Iterable[tuple[SoftRow, float]], *, now: float) -> None:
        """Replace this entry host's rows, each with its time of observation."""
        self._local_table.set_rows(rows, now=now)
        if self._digest_due_at is None:
            # Until this host knows the other hosts of its zone, it cannot determine
            # which host sends the zone's digest.
            self._digest_due_at = now if self._flat else now + LIVE_AGE
        if now >= self._digest_due_at:
            interval = FLAT_DIGEST_INTERVAL if self._flat else DIGEST_INTERVAL
            self._digest_due_at = now + interval
            self._update_digest(now=now)

    def _update_digest(self, *, now: float) -> None:
        tables: list[Table] = []
        if not self._flat:
            # The live host with the first name sends the zone's digest.  If two hosts
            # do so for a while, both digests are correct.
            if any(host < self._host for host in self.live_members(now=now)):
                return
            known = self.tables.tables_by_origin.values()
            tables = list(filter(self._is_zone_peer, known))
        rows = aggregated_rows([self._local_table.table, *tables], now=now)
        self._digest.set_rows(rows, now=now)

    # Sending

    def tick(self, *, now: float) -> list[tuple[str, Message]]:
        """Return the datagrams that are due, each with its address."""
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_INTERVAL
            self.tables.expire(now=now)
            self._schedule.zone_addresses = self._zone_addresses(now=now)
        due = self._schedule.due(now=now)
        peers = [self._peer(address) for address in due]
        messages = [
            (peer.address, self._composer.start_exchange(peer, now=now))
            for peer in peers
            if peer is not None
        ]
        wanted = self.configuration.wants(now=now)
        if wanted is not None:
            address, want = wanted
            peer = self.peers_by_address[address]
            if peer.current is not None:
                message = self._composer.message(
                    peer, peer.current, now=now, step=Step.TRANSFER, wants=(want,)
                )
                messages.append((address, message))
        return messages

    def push_to_zone(self, *, now: float) -> list[tuple[str, Message]]:
        """Return datagrams that send the zone's peers the updates they lack at once.

        By the regular exchanges alone, an update would reach a peer only after a
        second or more, when the next exchange with that peer is due.
        """
        messages = []
        for address in self._schedule.zone_addresses:
            peer = self._peer(address)
            if peer is None or peer.current is None:
                continue
            message = self._composer.updates_message(peer, Step.UPDATES, now=now)
            if message.tables:
                messages.append((address, message))
        return messages

    def request_missing_reports(
        self, moment: float, *, now: float
    ) -> list[tuple[str, Message]]:
        """Return requests to the zone's hosts whose reports are missing.

        Parameters
        ----------
        moment : float
            Monotonic time up to which observations must have been reported.
        """
        peers = [
            self._peer(address) for address in self._unreported_since(moment, now=now)
        ]
        return [
            (peer.address, self._composer.start_exchange(peer, now=now))
            for peer in peers
            if peer is not None and now - peer.sent_at >= ANSWER_INTERVAL
        ]

    # Receiving

    def receive(self, message: Message, *, address: str, now: float) -> Received:
        """Process a datagram with a valid key."""
        received = Received()
        peer = self._peer(address)
        if peer is None or message.boot == self._boot:
            self.n_by_fault["too_many_peers" if peer is None else "own"] += 1
            return received
        before = peer.current
        result = peer.receive(message, now=now)
        if result.fault:
            self.n_by_fault[result.fault] += 1
        if result.fault == "unproven":
            if now - peer.unproven_answered_at >= ANSWER_INTERVAL:
                peer.unproven_answered_at = now
                answer = self._composer.message(peer, result.link, now=now)
                received.messages.append((address, answer))
            return received
        if result.fault == "replayed":
            return received
        if result.newest:
            if message.step in (Step.REQUEST, Step.RESPONSE):
                result.link.set_haves(message.haves)
            self._process_configuration(
                message, address=address, now=now, into=received
            )
        if result.composed_at is not None:
            self._apply_tables(message, result.composed_at, now=now, into=received)
        proven = peer.current is not before
        answer = self._answer(peer, message, proven=proven, now=now)
        if answer is not None:
            received.messages.append((address, answer))
        return received

    def _answer(
        self, peer: Peer, message: Message, *, proven: bool, now: float
    ) -> Message | None:
        if message.step is Step.REQUEST:
            # A process that resumes after a pause finds many requests of a peer in its
            # buffer, and answers only one of them.
            if now - peer.request_answered_at < ANSWER_INTERVAL:
                return None
            peer.request_answered_at = now
            return self._composer.updates_message(peer, Step.RESPONSE, now=now)
        if message.step is Step.RESPONSE:
            rest = self._composer.updates_message(peer, Step.UPDATES, now=now)
            return rest if rest.tables else None
        return self._composer.start_exchange(peer, now=now) if proven else None

    def _apply_tables(
        self, message: Message, composed_at: float, *, now: float, into: Received
    ) -> None:
        # A peer whose clock overstates the hold must not make the time later than now.
        composed_at = min(composed_at, now)
        for update in message.tables:
            taken = self.tables.apply(
                update,
                zone=message.availability_zone,
                composed_at=composed_at,
                now=now,
            )
            if taken:
                member = self.tables.tables_by_origin[update.origin].member
                if not (member.digest and member.availability_zone == self._zone):
                    into.deliveries += deliveries(member, taken, now=now)

    def _process_configuration(
        self, message: Message, *, address: str, now: float, into: Received
    ) -> None:
        transfer = self.configuration
        transfer.check_peer_version(
            message.configuration_version, address=address, now=now
        )
        for piece in message.pieces:
            completed_row = transfer.add_piece(piece, address=address, now=now)
            into.configuration = completed_row or into.configuration
        peer = self.peers_by_address[address]
        pieces = [piece for want in message.wants for piece in transfer.pieces(want)]
        for piece in pieces:
            answer = self._composer.message(
                peer, peer.current, now=now, step=Step.TRANSFER, pieces=(piece,)
            )
            into.messages.append((address, answer))
