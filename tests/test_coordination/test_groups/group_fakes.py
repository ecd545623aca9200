"""Fake backend servers that are group members, as the server list shows them."""

from __future__ import annotations

from msgspec.structs import replace

from ryelever.coordination.groups.manager import GroupManager
from ryelever.coordination.groups.orders import GroupOrder, OrderKind, OrderOutcome
from ryelever.coordination.groups.records import GroupRecord, Member
from ryelever.state.directory import (
    BackendServer,
    Directory,
    GroupReport,
    GroupState,
)

__all__ = ["STALL_TIME", "Members", "record", "server"]

#: Seconds for which a group stalls until it is broken, as in the platform's settings.
STALL_TIME = 6.0


def server(
    server_id: str,
    *,
    domain: str = "d0",
    models: frozenset[str] = frozenset(),
    staged: frozenset[str] = frozenset(),
    group: GroupReport | None = None,
    zone: str = "z",
) -> BackendServer:
    """Return the list entry of a backend server, in no group by default."""
    return BackendServer(
        id=server_id,
        service="engines",
        address=f"{server_id}:80",
        availability_zone=zone,
        slots=13,
        draining=False,
        domain=domain,
        models=models,
        staged=staged,
        group=group,
        started_at=1,
    )


def record(
    epoch: int, *server_ids: str, model: str = "large", zone: str = "z"
) -> GroupRecord:
    """Return the record of a group with these members, the head first."""
    return GroupRecord(
        name=f"{zone}-{epoch}",
        epoch=epoch,
        service="engines",
        model=model,
        availability_zone=zone,
        members=tuple(
            Member(server_id=server_id, address=f"{server_id}:80")
            for server_id in server_ids
        ),
    )


class Members:
    """A group manager and the list entries of the servers that it sends orders to.

    Attributes
    ----------
    now : float
        Time of the last call for orders; changes of the list get this time.
    """

    def __init__(self, *server_ids: str, max_missing_time: float = 0.0) -> None:
        self.now = 0.0
        self.list_is_stale = False
        self.directory = Directory()
        self.log_events: list[str] = []
        self.manager = GroupManager(
            directory=self.directory,
            stall_time=STALL_TIME,
            max_join_time=20.0,
            list_is_stale=lambda: self.list_is_stale,
            max_missing_time=max_missing_time,
            log=lambda event, **fields: self.log_events.append(event),
        )
        for server_id in server_ids:
            self.directory.put(server(server_id), now=self.now)

    def due(self, now: float) -> list[tuple[OrderKind, str]]:
        """Return the kinds and server ids of the orders that are due."""
        return [(order.kind, order.server_id) for order in self.orders(now)]

    def orders(self, now: float) -> list[GroupOrder]:
        """Return the orders that are due, and remember the time."""
        self.now = now
        return self.manager.due_orders(now=now)

    def report(self, group: GroupRecord, state: GroupState, *server_ids: str) -> None:
        """List servers as members of a group in a state."""
        for server_id in server_ids:
            rank = group.member_ids.index(server_id)
            report = GroupReport(
                name=group.name, epoch=group.epoch, rank=rank, state=state
            )
            entry = self.directory.by_id.get(server_id) or server(server_id)
            self.directory.put(replace(entry, group=report), now=self.now)

    def leave(self, *server_ids: str) -> None:
        """List servers as members of no group."""
        for server_id in server_ids:
            entry = self.directory.by_id[server_id]
            self.directory.put(replace(entry, group=None), now=self.now)

    def restart(self, server_id: str, *, started_at: int) -> None:
        """List a new incarnation of a server, in no group and without weights."""
        entry = replace(server(server_id), started_at=started_at)
        self.directory.put(entry, now=self.now)

    def drain(self, server_id: str) -> None:
        """List a server as draining."""
        self.directory.put(
            replace(self.directory.by_id[server_id], draining=True), now=self.now
        )

    def lose(self, *server_ids: str, last_seen_at: float) -> None:
        """Remove servers from the list."""
        for server_id in server_ids:
            self.directory.remove(server_id, last_renewed_at=last_seen_at)

    def serve(self, group: GroupRecord, *, now: float = 0.0) -> None:
        """Put a group, list its members as ready and its head as open."""
        self.manager.put(group, now=now)
        self.report(group, GroupState.READY, *group.member_ids)
        self.manager.due_orders(now=now)
        self.report(group, GroupState.OPEN, group.head.server_id)
        self.manager.due_orders(now=now)

    def answer(
        self, orders: list[GroupOrder], outcome: OrderOutcome, *, now: float
    ) -> None:
        """Answer all orders with the same outcome."""
        for order in orders:
            self.manager.record_outcome(order, outcome, now=now)
