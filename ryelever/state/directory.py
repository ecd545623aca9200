"""Define the directory of backend servers, as listed by the platform's store."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from .incarnations import may_be_same_start
from .leaving import LeavingServers

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .leaving import LeavingServerRow

__all__ = ["BackendServer", "Directory", "GroupReport", "GroupState"]


class GroupState(enum.Enum):
    """State of a backend server as a member of a group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class GroupReport(msgspec.Struct, kw_only=True, frozen=True):
    """A backend server's report of its own group.

    Attributes
    ----------
    epoch : int
        Number unique to each group over all time; groups formed later have higher
        epochs.
    rank : int
        Rank among the members; the head has rank 0.
    """

    name: str
    epoch: int
    rank: int
    state: GroupState


class BackendServer(msgspec.Struct, kw_only=True, frozen=True):
    """One incarnation of a backend server.

    Attributes
    ----------
    draining : bool
        True once the server has announced that it will leave, in its record or in an
        answer.
    cold_for : float
        Remaining seconds for which the server stays cold, counted from the moment at
        which this record is applied.
    started_at : int or None
        Start time in Unix milliseconds by the server's own clock; None if the server
        does not state it.  A server may restart under the same id and then has none of
        its previous state.  Since clocks may step back, a later start may have a lower
        time: the value distinguishes incarnations but does not order them.
    models : frozenset of str
        Models whose weights are in use.
    staged : frozenset of str
        Models whose weights are stored on the server's host.
    domain : str
        Fabric domain; groups with all members in one domain are fast.
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
        """Return whether both descriptions of a server may be of the same start.

        True also if either of them lacks a start time.
        """
        return may_be_same_start(self.started_at, other.started_at)


class Directory:
    """Index the backend servers that are currently listed.

    Attributes
    ----------
    by_id : dict of str to BackendServer
        All listed servers, including those that are leaving.
    last_seen_at_by_id : dict of str to float
        Monotonic time of the last sign of life of each server that was removed.  The
        record of a server expires only some time after this moment.
    cold_until_by_id : dict of str to float
        Monotonic time until which each cold server stays cold.
    listed_since_by_id : dict of str to float
        Monotonic time since which each server has been listed without interruption,
        as observed by this process.
    served_by_id : dict of str to frozenset of str
        Models of each server's last group since the server's start.  A server that has
        left its group lists no models, but can still join another group of the same
        model without delay.
    leaving : LeavingServers
        Servers that have stated in answers that they are leaving.
    n_changes : int
        Counter that grows with each change; callers use it to invalidate caches.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, BackendServer] = {}
        self.last_seen_at_by_id: dict[str, float] = {}
        self.cold_until_by_id: dict[str, float] = {}
        self.listed_since_by_id: dict[str, float] = {}
        self.served_by_id: dict[str, frozenset[str]] = {}
        self.n_changes = 0
        self.leaving = LeavingServers()
        self._by_service: dict[str, dict[str, BackendServer]] = {}

    def put(self, server: BackendServer, *, now: float) -> bool:
        """Add or update a backend server; return whether anything has changed."""
        if not server.draining and self.leaving.includes(server.id, server.started_at):
            server = replace(server, draining=True)
        old = self.by_id.get(server.id)
        if old == server:
            return False
        if old is not None and old.service != server.service:
            self._by_service[old.service].pop(old.id, None)
        if old is not None and not server.is_same_incarnation(old):
            # Listing time and served models of the former incarnation do not apply to
            # the new one.
            self.listed_since_by_id.pop(server.id)
            self.served_by_id.pop(server.id, None)
        if server.cold_for:
            self.cold_until_by_id[server.id] = now + server.cold_for
        else:
            self.cold_until_by_id.pop(server.id, None)
        if server.models:
            self.served_by_id[server.id] = server.models
        self.listed_since_by_id.setdefault(server.id, now)
        self.last_seen_at_by_id.pop(server.id, None)
        self._index(server)
        return True

    def mark_leaving(
        self, row: LeavingServerRow, *, is_local: bool, now: float
    ) -> bool:
        """Record that a server stated that it leaves; return whether that is new.

        Records of the same incarnation that don't show it yet no longer count: the
        store may be unavailable, or return from an older copy. A statement of another
        incarnation than the listed one is ignored.

        Parameters
        ----------
        is_local : bool
            False if another host received the statement.
        """
        server = self.by_id.get(row.server_id)
        if server is not None and not may_be_same_start(
            row.started_at, server.started_at
        ):
            return False
        if self.leaving.includes(row.server_id, row.started_at):
            return False
        self.leaving.drop_old(listed=self.by_id, now=now)
        self.leaving.add(row, is_local=is_local, now=now)
        if server is not None:
            self._index(replace(server, draining=True))
        return True

    def remove(self, server_id: str, *, last_renewed_at: float) -> bool:
        """Remove a backend server; return whether it was listed.

        Parameters
        ----------
        last_renewed_at : float
            Monotonic time at or before which the server last renewed its record.
        """
        server = self.by_id.pop(server_id, None)
        if server is None:
            return False
        del self._by_service[server.service][server_id]
        del self.listed_since_by_id[server_id]
        self.cold_until_by_id.pop(server_id, None)
        self.served_by_id.pop(server_id, None)
        known = self.last_seen_at_by_id.get(server_id, last_renewed_at)
        self.last_seen_at_by_id[server_id] = max(known, last_renewed_at)
        self.n_changes += 1
        return True

    def _index(self, server: BackendServer) -> None:
        self.by_id[server.id] = server
        self._by_service.setdefault(server.service, {})[server.id] = server
        self.n_changes += 1

    def listed(self, server_ids: Iterable[str]) -> Iterator[BackendServer]:
        """Yield the backend servers among ``server_ids`` that are listed."""
        for server_id in server_ids:
            server = self.by_id.get(server_id)
            if server is not None:
                yield server

    def of_service(self, service: str) -> Iterator[BackendServer]:
        """Yield the listed backend servers of one service."""
        yield from self._by_service.get(service, {}).values()
