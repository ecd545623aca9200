"""Free the members of groups whose heads can't be reached but may still serve."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .orders import OrderKind

if TYPE_CHECKING:
    from ...state.directory import BackendServer, Directory
    from .managed_group import ManagedGroup
    from .managed_groups import ManagedGroups
    from .orders import GroupOrder

__all__ = ["STALL_SLACK", "SilentHeads"]

#: Seconds to wait beyond the stall time of a group.
STALL_SLACK = 0.8


class SilentHeads:
    """Decide when the members of a group whose head is silent are free.

    A silent head may still run: if only its connections to this host and to the store
    are cut, it can reach its members and serve other hosts.  Only the departure of a
    member ends such a group for certain.  The group makes no progress from then on and
    becomes ``BROKEN`` some seconds later, even if an order to join that the member
    executes late brings the member back.

    Parameters
    ----------
    stall_time : float
        Seconds for which a group that lost a member stalls before it is ``BROKEN``.
    """

    def __init__(
        self, *, directory: Directory, groups: ManagedGroups, stall_time: float
    ) -> None:
        self._directory = directory
        self._groups = groups
        self._stall_limit = stall_time + STALL_SLACK

    def survivor_leave_orders(
        self, managed: ManagedGroup, *, now: float
    ) -> list[GroupOrder]:
        """Return the ``LEAVE`` orders to the listed members of a group.

        A member that confirms its departure is in no group and is free at once, unless
        it may still execute an order to join this group that this or an earlier planner
        sent.
        """
        has_unresolved_join = managed.has_unresolved_join(now=now)
        managed.left_members_are_free = managed.decided_here and not has_unresolved_join
        orders = []
        for server in self._listed_survivors(managed):
            if not self._has_left_group(managed, server):
                orders += managed.due_order(OrderKind.LEAVE, server.id, now=now)
        return orders

    def can_no_longer_serve(self, managed: ManagedGroup, *, now: float) -> bool:
        """Return whether the group of an unlisted head can't serve any more.

        If all members are unreachable together with the head, as when their zone is
        partitioned from this host, the group continues to serve there.
        """
        head_id = managed.record.head.server_id
        # A head that this host has never seen is treated as last seen now.
        last_seen_at = self._directory.last_seen_at_by_id.setdefault(head_id, now)
        is_overdue = now - last_seen_at > self._stall_limit
        if not is_overdue or not self._any_member_listed_throughout(managed, now=now):
            return False
        if now - managed.first_left_at > self._stall_limit:
            return True
        all_have_left = all(
            self._has_left_group(managed, server)
            for server in self._listed_survivors(managed)
        )
        return all_have_left and not managed.has_unresolved_join(now=now)

    def _listed_survivors(self, managed: ManagedGroup) -> list[BackendServer]:
        """Return the members other than the head that are in the server list."""
        return list(self._directory.listed(managed.record.member_ids[1:]))

    def _has_left_group(self, managed: ManagedGroup, server: BackendServer) -> bool:
        """Return whether a member's answer or list entry shows that it has left."""
        has_left = self._groups.has_left(managed, server.id)
        return has_left or managed.state_of(server) is None

    def _any_member_listed_throughout(
        self, managed: ManagedGroup, *, now: float
    ) -> bool:
        """Return whether a member other than the head was listed for the stall limit.

        The time since this host first listed the member counts, not the time since
        this host became the planner: otherwise a new planner would make the group's
        members wait the full time again.
        """
        since = now - self._stall_limit
        listed_since = self._directory.listed_since_by_id
        return any(
            listed_since.get(item, now) <= since
            for item in managed.record.member_ids[1:]
        )
