"""Compose the datagrams of the exchange: what a peer lacks, within their size."""

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
    from .configuration import ConfigurationSpread
    from .links import Link, Peer
    from .own import OwnTable
    from .tables import Table, Tables

__all__ = ["Composer"]

#: Bytes that a datagram should not exceed, by estimate.
DATAGRAM_SIZE = 1300
HEADER_SIZE = 80


class Composer:
    """Write what this entry host tells a peer.

    Parameters
    ----------
    own, digest : OwnTable
        The tables of this entry host and of its zone's sum.
    tables : Tables
        The tables of all others.
    """

    def __init__(
        self,
        *,
        host: str,
        availability_zone: str,
        boot: int,
        own: OwnTable,
        digest: OwnTable,
        tables: Tables,
        configuration: ConfigurationSpread,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._zone = availability_zone
        self._boot = boot
        self._own = own
        self._digest = digest
        self._tables = tables
        self._configuration = configuration
        self._rng = rng

    def tell(self, peer: Peer, *, now: float) -> Message:
        """Return the first datagram of an exchange, or a greeting."""
        link = peer.current or _newest_link(peer)
        if link is None or not link.granted:
            return self.message(peer, link, now=now)
        haves = self._haves(self._tables_for(peer, now=now))
        return self.message(peer, link, now=now, step=Step.ASK, haves=haves)

    def _haves(self, tables: list[Table]) -> tuple[Have, ...]:
        own = (self._own.table, self._digest.table)
        return tuple(
            Have(origin=table.origin, version=table.version)
            for table in tables
            if table not in own
        )

    def bring(self, peer: Peer, step: Step, *, now: float) -> Message:
        """Return what a peer lacks; an answer tells also what is here."""
        tables = self._tables_for(peer, now=now)
        haves = self._haves(tables) if step is Step.ANSWER else ()
        lacking = [table for table in tables if table.member.host != peer.name]
        updates = self._updates(lacking, peer.current, n_haves=len(haves), now=now)
        return self.message(
            peer, peer.current, now=now, step=step, haves=haves, tables=updates
        )

    def _tables_for(self, peer: Peer, *, now: float) -> list[Table]:
        others = list(self._tables.tables_by_origin.values())
        self._rng.shuffle(others)
        known = [self._own.table, *others]
        if now - self._digest.table.alive_at() <= TABLE_EXPIRY:
            known.append(self._digest.table)
        same = peer.availability_zone == self._zone
        return [
            table for table in known if table.version and (table.member.digest or same)
        ]

    def _updates(
        self, tables: Sequence[Table], link: Link, *, n_haves: int, now: float
    ) -> tuple[TableUpdate, ...]:
        budget = DATAGRAM_SIZE - HEADER_SIZE - n_haves * HAVE_SIZE
        told = []
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
                told.append(
                    TableUpdate(
                        origin=table.origin, member=member, updates=tuple(updates)
                    )
                )
        return tuple(told)

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
        """Return a datagram with these contents."""
        echo, hold = peer.echo(now=now)
        return Message(
            sender=self._host,
            availability_zone=self._zone,
            boot=self._boot,
            token=link.granted if link is not None else 0,
            grant=link.given if link is not None else 0,
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
