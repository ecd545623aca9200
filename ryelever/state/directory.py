"""Hold what the platform's list says of the backend servers."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

__all__ = ["BackendServer", "Directory", "GroupReport", "GroupState"]


class GroupState(enum.Enum):
    """Name the states in which a backend server can be as a member of a group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class GroupReport(msgspec.Struct, kw_only=True, frozen=True):
    """Hold what a backend server says of its own group.

    Attributes
    ----------
    epoch : int
        Distinguishes all groups that ever were; a higher one was formed later.
    rank : int
        Place among the members; the head is 0.
    """

    name: str
    epoch: int
    rank: int
    state: GroupState


class BackendServer(msgspec.Struct, kw_only=True, frozen=True):
    """Describe one incarnation of a backend server.

    Attributes
    ----------
    draining : bool
        True once it has announced its leaving.
    cold_for : float
        Seconds for which it stays cold, as of its entry.
    started_at : int or None
        Unix time in milliseconds of its start by its own clock; None where it doesn't
        say.  A server may start again under the same id, and holds nothing of before
        then.  Clocks step, so a later start may have the lower time: it tells
        incarnations apart, and never which of two is the newer.
    models : frozenset of str
        Models whose weights are in use.
    staged : frozenset of str
        Models whose weights are on its host.
    domain : str
        Fabric domain; groups within one are fast.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    draining: bool
    cold_for: float = 0.0
    domain: str = ""
    models: frozenset[str] = frozenset()
    staged: frozenset[str] = frozenset()
    group: GroupReport | None = None
    started_at: int | None = None

    def is_same_incarnation(self, other: BackendServer) -> bool:
        """Tell whether two descriptions under one id are of the same start."""
        return None in (self.started_at, other.started_at) or (
            self.started_at == other.started_at
        )


class Directory:
    """Index the backend servers that are there now.

    Attributes
    ----------
    by_id : dict of str to BackendServer
        All of them, leaving ones included.
    last_seen_at_by_id : dict of str to float
        Monotonic time of the last sign of life of each that is lost: its entry lapses
        only some time after it.
    cold_until_by_id : dict of str to float
        Monotonic time until which each server that is cold stays so.
    listed_since_by_id : dict of str to float
        Monotonic time since when each has been in the list without a gap, as this
        process saw it.
    served_by_id : dict of str to frozenset of str
        Models of each server's last group since its start.  One that has left its
        group shows none, and joins another of the same model in an instant all the
        same.
    n_changes : int
        Grows with each change, for those who cache what they derive.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, BackendServer] = {}
        self.last_seen_at_by_id: dict[str, float] = {}
        self.cold_until_by_id: dict[str, float] = {}
        self.listed_since_by_id: dict[str, float] = {}
        self.served_by_id: dict[str, frozenset[str]] = {}
        self.n_changes = 0
        self._by_service: dict[str, dict[str, BackendServer]] = {}

    def put(self, server: BackendServer, *, now: float) -> bool:
        """Take what is known now; tell whether anything is new."""
        old = self.by_id.get(server.id)
        if old == server:
            return False
        if old is not None and old.service != server.service:
            self._by_service[old.service].pop(old.id, None)
        if old is not None and not server.is_same_incarnation(old):
            # How long the former incarnation was there says nothing of this one.
            self.listed_since_by_id.pop(server.id)
            self.served_by_id.pop(server.id, None)
        if server.cold_for:
            self.cold_until_by_id[server.id] = now + server.cold_for
        else:
            self.cold_until_by_id.pop(server.id, None)
        if server.models:
            self.served_by_id[server.id] = server.models
        self.by_id[server.id] = server
        self.listed_since_by_id.setdefault(server.id, now)
        self.last_seen_at_by_id.pop(server.id, None)
        self._by_service.setdefault(server.service, {})[server.id] = server
        self.n_changes += 1
        return True

    def remove(self, server_id: str, *, heard_at: float) -> bool:
        """Take a backend server out; tell whether it was there.

        Parameters
        ----------
        heard_at : float
            Monotonic time before which it renewed its entry last.
        """
        server = self.by_id.pop(server_id, None)
        if server is None:
            return False
        del self._by_service[server.service][server_id]
        del self.listed_since_by_id[server_id]
        self.cold_until_by_id.pop(server_id, None)
        self.served_by_id.pop(server_id, None)
        known = self.last_seen_at_by_id.get(server_id, heard_at)
        self.last_seen_at_by_id[server_id] = max(known, heard_at)
        self.n_changes += 1
        return True

    def listed(self, server_ids: Iterable[str]) -> Iterator[BackendServer]:
        """Yield those of some backend servers that are there now."""
        for server_id in server_ids:
            server = self.by_id.get(server_id)
            if server is not None:
                yield server

    def of_service(self, service: str) -> Iterator[BackendServer]:
        """Yield the backend servers of one service."""
        yield from self._by_service.get(service, {}).values()
