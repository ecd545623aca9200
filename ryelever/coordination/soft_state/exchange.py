"""Decide what this entry host tells to which peer, and when.

Inside an availability zone every entry host goes through its peers in a shuffled
order, a few each second, and tells what they lack of all tables of the zone: rows
spread as in an epidemic, in a time that grows with the logarithm of the number of
peers, while each entry host sends a constant number of datagrams.  Towards each other
zone it talks to one peer, which gets no more than the zones' sums.  docs/PEERS.md gives
the figures.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from ...state.observations import ConfigurationRow
from .compose import Composer
from .configuration import ConfigurationSpread
from .deliveries import Delivery, deliveries
from .digest import summed_rows
from .links import Peer
from .messages import (
    Member,
    Message,
    SoftRow,
    Step,
)
from .own import OwnTable
from .schedule import Schedule
from .tables import (
    REDELIVERY_INTERVAL,
    Table,
    Tables,
    origin_of,
)

__all__ = ["Delivery", "Received", "SoftStateExchange"]

#: Shortest time between two answers to unproven datagrams of one address.
ANSWER_INTERVAL = 0.2

#: Seconds after which a peer of the own zone counts as gone for sharing work.
LIVE_AGE = 4.0

#: Seconds between two looks for what has expired.
EXPIRE_INTERVAL = 0.5

#: Seconds between two sums of the zone, and of a host alone.
DIGEST_INTERVAL = 1.0
FLAT_DIGEST_INTERVAL = 0.5

#: Entry hosts up to which each tells all zones of itself, rather than its zone's sum.
MAX_FLAT = 16

#: Peers of which state is kept.
MAX_PEERS = 1024


@dataclass(slots=True, kw_only=True)
class Received:
    """Hold what a datagram leads to."""

    messages: list[tuple[str, Message]] = field(default_factory=list)
    deliveries: list[Delivery] = field(default_factory=list)
    configuration: ConfigurationRow | None = None


class SoftStateExchange:
    """Own what is known of peers and the tables they exchange.

    Parameters
    ----------
    address : str
        Where peers reach this entry host.
    addresses : collection of str
        Peers named in the settings.
    max_flat : int
        Entry hosts up to which other zones hear of each host by its own name.
    boot : int
        Random number of this process.
    current_configuration : callable
        Return the configuration in force here, or None.
    rng : random.Random
        Draws tokens and orders; seeded from the system in the product.
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
        self.configuration = ConfigurationSpread(current=current_configuration)
        self.tables = Tables(
            accepts=self._accepts,
            redelivery_interval=0.0 if self._flat else REDELIVERY_INTERVAL,
        )
        self._own = self._own_table(address, digest=False)
        self._digest = self._own_table(address, digest=True)
        self._composer = Composer(
            host=host,
            availability_zone=availability_zone,
            boot=boot,
            own=self._own,
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

    def _own_table(self, address: str, *, digest: bool) -> OwnTable:
        member = Member(
            host=self._host,
            availability_zone=self._zone,
            address=address,
            digest=digest,
            alone=digest and self._flat,
        )
        origin = origin_of(self._host, self._boot, digest=digest)
        return OwnTable(origin=origin, member=member, flat=self._flat)

    def _accepts(self, member: Member, zone: str) -> bool:
        # A peer of another zone holds no more than a sum of what this zone tells;
        # rows taken from it would hide those that are missing between.
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

    # What is known

    def live_members(self, *, now: float) -> list[str]:
        """Return the names of the other entry hosts of this zone that live."""
        return [
            table.member.host
            for table in self.tables.tables_by_origin.values()
            if self._is_zone_member(table) and now - table.alive_at() <= LIVE_AGE
        ]

    def _is_zone_member(self, table: Table) -> bool:
        return not table.member.digest and table.member.availability_zone == self._zone

    def _zone_addresses(self, *, now: float) -> list[str]:
        tables = self.tables.tables_by_origin.values()
        return sorted(
            {
                table.member.address
                for table in tables
                if self._is_zone_member(table) and now - table.heard_at() <= LIVE_AGE
            }
        )

    def zone_reported_since(self, moment: float, *, now: float) -> bool:
        """Tell whether the zone's living hosts have told all that they had seen.

        Parameters
        ----------
        moment : float
            Monotonic time up to which they have.  A host that was not there then has
            seen nothing, and one that stays silent for ``LIVE_AGE`` after it is not
            waited for.
        """
        return not self._unheard_since(moment, now=now)

    def _unheard_since(self, moment: float, *, now: float) -> list[str]:
        """Return the addresses of those that have not."""
        return [
            table.member.address
            for table in self.tables.tables_by_origin.values()
            if self._is_zone_member(table)
            and moment - table.alive_at() <= LIVE_AGE
            and now - max(table.alive_at(), moment) <= LIVE_AGE
            and table.created_at <= moment
            and table.told_until < moment
        ]

    def observe(self, rows: Iterable[tuple[SoftRow, float]], *, now: float) -> None:
        """Take what this entry host observes now, with the times of observation."""
        self._own.set_rows(rows, now=now)
        if self._digest_due_at is None:
            # Until the zone's others are known, nobody can tell whose task it is.
            self._digest_due_at = now if self._flat else now + LIVE_AGE
        if now >= self._digest_due_at:
            interval = FLAT_DIGEST_INTERVAL if self._flat else DIGEST_INTERVAL
            self._digest_due_at = now + interval
            self._sum_zone(now=now)

    def _sum_zone(self, *, now: float) -> None:
        tables: list[Table] = []
        if not self._flat:
            # The first by name sums up; should two do so for a while, both are right.
            if any(host < self._host for host in self.live_members(now=now)):
                return
            known = self.tables.tables_by_origin.values()
            tables = list(filter(self._is_zone_member, known))
        rows = summed_rows([self._own.table, *tables], now=now)
        self._digest.set_rows(rows, now=now)

    # Sending

    def tick(self, *, now: float) -> list[tuple[str, Message]]:
        """Return the datagrams that are due, by address."""
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_INTERVAL
            self.tables.expire(now=now)
            self._schedule.zone_addresses = self._zone_addresses(now=now)
        due = self._schedule.due(now=now)
        peers = [self._peer(address) for address in due]
        messages = [
            (peer.address, self._composer.tell(peer, now=now))
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
        """Return datagrams by which the zone's peers hear at once what they lack.

        In an exchange they hear of it within a second or more, as its turn comes.
        """
        messages = []
        for address in self._schedule.zone_addresses:
            peer = self._peer(address)
            if peer is None or peer.current is None:
                continue
            message = self._composer.bring(peer, Step.REST, now=now)
            if message.tables:
                messages.append((address, message))
        return messages

    def ask_unheard(self, moment: float, *, now: float) -> list[tuple[str, Message]]:
        """Return datagrams that ask the zone's hosts for what they had seen."""
        peers = [
            self._peer(address) for address in self._unheard_since(moment, now=now)
        ]
        return [
            (peer.address, self._composer.tell(peer, now=now))
            for peer in peers
            if peer is not None and now - peer.sent_at >= ANSWER_INTERVAL
        ]

    # Receiving

    def receive(self, message: Message, *, address: str, now: float) -> Received:
        """Take a datagram whose key is right."""
        received = Received()
        peer = self._peer(address)
        if peer is None or message.boot == self._boot:
            self.n_by_fault["too_many_peers" if peer is None else "own"] += 1
            return received
        before = peer.current
        receipt = peer.receive(message, now=now)
        if receipt.fault:
            self.n_by_fault[receipt.fault] += 1
        if receipt.fault == "unproven":
            if now - peer.answered_at >= ANSWER_INTERVAL:
                peer.answered_at = now
                answer = self._composer.message(peer, receipt.link, now=now)
                received.messages.append((address, answer))
            return received
        if receipt.fault == "replayed":
            return received
        if receipt.newest:
            if message.step in (Step.ASK, Step.ANSWER):
                receipt.link.take_haves(message.haves)
            self._take_configuration(message, address=address, now=now, into=received)
        if receipt.composed_at is not None:
            self._take_tables(message, receipt.composed_at, now=now, into=received)
        proven = peer.current is not before
        answer = self._answer(peer, message, proven=proven, now=now)
        if answer is not None:
            received.messages.append((address, answer))
        return received

    def _answer(
        self, peer: Peer, message: Message, *, proven: bool, now: float
    ) -> Message | None:
        if message.step is Step.ASK:
            # A process that was paused wakes to many questions and answers one.
            if now - peer.brought_at < ANSWER_INTERVAL:
                return None
            peer.brought_at = now
            return self._composer.bring(peer, Step.ANSWER, now=now)
        if message.step is Step.ANSWER:
            rest = self._composer.bring(peer, Step.REST, now=now)
            return rest if rest.tables else None
        return self._composer.tell(peer, now=now) if proven else None

    def _take_tables(
        self, message: Message, composed_at: float, *, now: float, into: Received
    ) -> None:
        # Never later than now, whatever a peer's clock makes of its hold.
        composed_at = min(composed_at, now)
        for update in message.tables:
            taken = self.tables.take(
                update,
                zone=message.availability_zone,
                composed_at=composed_at,
                now=now,
            )
            if taken:
                member = self.tables.tables_by_origin[update.origin].member
                if not (member.digest and member.availability_zone == self._zone):
                    into.deliveries += deliveries(member, taken, now=now)

    def _take_configuration(
        self, message: Message, *, address: str, now: float, into: Received
    ) -> None:
        spread = self.configuration
        spread.heard(message.configuration_version, address=address, now=now)
        for piece in message.pieces:
            whole = spread.take(piece, address=address, now=now)
            into.configuration = whole or into.configuration
        peer = self.peers_by_address[address]
        pieces = [piece for want in message.wants for piece in spread.pieces(want)]
        for piece in pieces:
            answer = self._composer.message(
                peer, peer.current, now=now, step=Step.TRANSFER, pieces=(piece,)
            )
            into.messages.append((address, answer))
