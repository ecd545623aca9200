"""Compose the datagrams of an exchange, within their size limit."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TYPE_CHECKING

from .messages import (
    Have,
    Message,
    Piece,
    Step,
    TableUpdate,
    Want,
)
from .tables import HAVE_SIZE, MEMBER_SIZE, TABLE_EXPIRY, TABLE_SIZE

if TYPE_CHECKING:
    from .configuration import ConfigurationTransfer
    from .links import Link, Peer
    from .local_table import LocalTable
    from .tables import Table, Tables

__all__ = ["Composer"]

#: Maximum size of a datagram and size of its header, both estimated, in bytes.
DATAGRAM_SIZE = 1300
HEADER_SIZE = 80


class Composer:
    """Compose the datagrams that this entry host sends to its peers.

    Parameters
    ----------
    local_table : LocalTable
        The table of this entry host.
    digest : LocalTable
        The digest that this entry host sends to other zones.
    tables : Tables
        The tables of all other owners.
    """

    def __init__(
        self,
        *,
        host: str,
        availability_zone: str,
        boot: int,
        local_table: LocalTable,
        digest: LocalTable,
        tables: Tables,
        configuration: ConfigurationTransfer,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._zone = availability_zone
        self._boot = boot
        self._local_table = local_table
        self._digest = digest
        self._tables = tables
        self._configuration = configuration
        self._rng = rng

    def start_exchange(self, peer: Peer, *, now: float) -> Message:
        """Return the first datagram of an exchange, or a greeting."""
        link = peer.current or _newest_link(peer)
        if link is None or not link.granted_token:
            return self.message(peer, link, now=now)
        haves = self._haves(self._tables_for(peer, now=now))
        return self.message(peer, link, now=now, step=Step.REQUEST, haves=haves)

    def _haves(self, tables: list[Table]) -> tuple[Have, ...]:
        local_tables = (self._local_table.table, self._digest.table)
        return tuple(
            Have(origin=table.origin, version=table.version)
            for table in tables
            if table not in local_tables
        )

    def updates_message(self, peer: Peer, step: Step, *, now: float) -> Message:
        """Return the updates that a peer lacks; a response also lists versions."""
        tables = self._tables_for(peer, now=now)
        haves = self._haves(tables) if step is Step.RESPONSE else ()
        lacking = [table for table in tables if table.member.host != peer.name]
        updates = self._table_updates(
            lacking, peer.current, n_haves=len(haves), now=now
        )
        return self.message(
            peer, peer.current, now=now, step=step, haves=haves, tables=updates
        )

    def _tables_for(self, peer: Peer, *, now: float) -> list[Table]:
        others = list(self._tables.tables_by_origin.values())
        self._rng.shuffle(others)
        known = [self._local_table.table, *others]
        if now - self._digest.table.alive_at() <= TABLE_EXPIRY:
            known.append(self._digest.table)
        is_same_zone = peer.availability_zone == self._zone
        return [
            table
            for table in known
            if table.version and (table.member.digest or is_same_zone)
        ]

    def _table_updates(
        self, tables: Sequence[Table], link: Link, *, n_haves: int, now: float
    ) -> tuple[TableUpdate, ...]:
        budget = DATAGRAM_SIZE - HEADER_SIZE - n_haves * HAVE_SIZE
        table_updates = []
        for table in tables:
            version = link.haves.get(table.origin, 0)
            member = table.member if not version else None
            alone = table.version - version == 1
            overhead = 0 if alone else TABLE_SIZE
            overhead += MEMBER_SIZE if member else 0
            if table.version <= version or budget <= overhead:
                continue
            updates, size = table.updates_after(
                version, budget=budget - overhead, now=now
            )
            if updates:
                budget -= overhead + size
                table_updates.append(
                    TableUpdate(
                        origin=table.origin, member=member, updates=tuple(updates)
                    )
                )
        return tuple(table_updates)

    def message(
        self,
        peer: Peer,
        link: Link | None,
        *,
        now: float,
        step: Step = Step.GREETING,
        haves: tuple[Have, ...] = (),
        tables: tuple[TableUpdate, ...] = (),
        wants: tuple[Want, ...] = (),
        pieces: tuple[Piece, ...] = (),
    ) -> Message:
        """Return a datagram with the given contents."""
        echo, hold = peer.echo(now=now)
        return Message(
            sender=self._host,
            availability_zone=self._zone,
            boot=self._boot,
            token=link.granted_token if link is not None else 0,
            grant=link.issued_token if link is not None else 0,
            sequence=peer.next_sequence(now=now),
            step=step,
            echo=echo,
            hold=hold,
            configuration_version=self._configuration.version,
            haves=haves,
            tables=tables,
            wants=wants,
            pieces=pieces,
        )


def _newest_link(peer: Peer) -> Link | None:
    return next(reversed(peer.links_by_boot.values()), None)
