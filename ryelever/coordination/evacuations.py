"""Know the availability zones that the operator has asked to evacuate."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["Evacuations", "OperatorPosition"]


class OperatorPosition(msgspec.Struct, frozen=True, order=True):
    """Say up to where the operator's topic was read; later ones compare as greater.

    Attributes
    ----------
    era : int
        Era of the store that the offset belongs to.
    offset : int
        Offset after the last record.
    """

    era: int = 0
    offset: int = 0


class Evacuations:
    """Hold the zones whose backend servers are to get no new requests.

    Hosts that leave the reading to others, or that the store turns away, take what is
    newer from the others' words.

    Parameters
    ----------
    log : callable
        Take one line about a change: its name and its fields.

    Attributes
    ----------
    zones : frozenset of str
        The evacuated zones.
    as_of : OperatorPosition
        Up to where the operator's topic was read for this.
    """

    __slots__ = ("_log", "as_of", "zones")

    def __init__(self, *, log: Callable[..., None]) -> None:
        self._log = log
        self.zones: frozenset[str] = frozenset()
        self.as_of = OperatorPosition()

    def listed(self, zones: Iterable[str], *, as_of: OperatorPosition) -> None:
        """Take all requests that the store holds.

        A store that has come back from an older copy may lack some until the operator
        writes them again, so none that is known ends by a listing of a later era.
        """
        if as_of < self.as_of:
            return
        known = self.zones if as_of.era != self.as_of.era else frozenset()
        self._set(known.union(zones), as_of=as_of)

    def requested(self, zone: str, *, as_of: OperatorPosition) -> None:
        """Take a request to evacuate a zone."""
        self._set(self.zones | {zone}, as_of=as_of)

    def ended(self, zone: str, *, as_of: OperatorPosition) -> None:
        """Take word that a zone is used again."""
        self._set(self.zones - {zone}, as_of=as_of)

    def heard(self, zones: Iterable[str], *, as_of: OperatorPosition) -> None:
        """Take what another host knows, if it is newer.

        What it has read in a later era may be an older copy, and of two hosts at the
        same place one may know of a request that the copy lacks.
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
