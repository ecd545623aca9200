"""Track the availability zones that the operator requested to evacuate."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["Evacuations", "OperatorPosition"]


class OperatorPosition(msgspec.Struct, frozen=True, order=True):
    """A read position in the operator's topic; positions are ordered.

    Attributes
    ----------
    era : int
        Era of the store to which the offset belongs.
    offset : int
        Offset after the last record that was read.
    """

    era: int = 0
    offset: int = 0


class Evacuations:
    """Keep the set of zones whose backend servers receive no new requests.

    Hosts that don't read the operator's topic, because other hosts of the zone read
    it or because the store doesn't answer their calls, receive newer sets in the
    heartbeats of other hosts.

    Parameters
    ----------
    log : callable
        Write a log line about a change, given its event name and its fields.

    Attributes
    ----------
    zones : frozenset of str
        The evacuated zones.
    as_of : OperatorPosition
        Position in the operator's topic up to which ``zones`` is current.
    """

    __slots__ = ("_log", "as_of", "zones")

    def __init__(self, *, log: Callable[..., None]) -> None:
        self._log = log
        self.zones: frozenset[str] = frozenset()
        self.as_of = OperatorPosition()

    def apply_listing(self, zones: Iterable[str], *, as_of: OperatorPosition) -> None:
        """Apply a listing of all evacuation requests in the store.

        A store that was restored from an older copy may lack requests until the
        operator writes them again.  A listing of a later era therefore ends no known
        evacuation.
        """
        if as_of < self.as_of:
            return
        known = self.zones if as_of.era != self.as_of.era else frozenset()
        self._set(known.union(zones), as_of=as_of)

    def start(self, zone: str, *, as_of: OperatorPosition) -> None:
        """Apply a request to evacuate a zone."""
        self._set(self.zones | {zone}, as_of=as_of)

    def end(self, zone: str, *, as_of: OperatorPosition) -> None:
        """Apply the end of a zone's evacuation."""
        self._set(self.zones - {zone}, as_of=as_of)

    def record_peer_zones(
        self, zones: Iterable[str], *, as_of: OperatorPosition
    ) -> None:
        """Apply the evacuated zones from another host's heartbeat unless out of date.

        Only a later position of the same era ends a known evacuation.  In a later
        era the other host may have read an older copy of the store, and of two hosts
        at the same position one may know a request that the copy lacks.
        """
        if as_of < self.as_of:
            return
        is_later = as_of.era == self.as_of.era and as_of.offset > self.as_of.offset
        known = frozenset() if is_later else self.zones
        self._set(known.union(zones), as_of=as_of)

    def _set(self, zones: frozenset[str], *, as_of: OperatorPosition) -> None:
        self.as_of = as_of
        former, self.zones = self.zones, zones
        for zone in sorted(zones - former):
            self._log("zone_evacuated", zone=zone)
        for zone in sorted(former - zones):
            self._log("zone_used_again", zone=zone)
