"""Free the members of groups whose heads fall silent, and may serve all the same."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .orders import OrderKind

if TYPE_CHECKING:
    from ...state.directory import BackendServer, Directory
    from .managed_group import ManagedGroup
    from .managed_groups import ManagedGroups
    from .orders import GroupOrder

__all__ = ["STALL_SLACK", "SilentHeads"]

#: Seconds beyond the time for which a group stands still.
STALL_SLACK = 0.8


class SilentHeads:
    """Decide when members of a group whose head is silent are free.

    Whether such a head lives can't be known: it may be cut off from this host and the
    store only, with its members around it, and serve others.  What ends its group for
    certain is that a member leaves it: nothing moves in it from then on, and it breaks
    off some seconds later, also if the member is taken back by an order to join that
    is carried out late.

    Parameters
    ----------
    stall_time : float
        Seconds for which a group stands still when a member is lost.
    """

    def __init__(
        self, *, directory: Directory, groups: ManagedGroups, stall_time: float
    ) -> None:
        self._directory = directory
        self._groups = groups
        self._stall_limit = stall_time + STALL_SLACK

    def survivors_leave(self, managed: ManagedGroup, *, now: float) -> list[GroupOrder]:
        """Return the orders by which the listed members leave a group.

        One that answers that it has left is in no group, and free at once, unless an
        order to join this one may yet be carried out.
        """
        in_doubt = managed.has_join_in_doubt(now=now)
        managed.frees_members = managed.decided_here and not in_doubt
        orders = []
        for server in self._survivors(managed):
            if not self._is_out(managed, server):
                orders += managed.due_order(OrderKind.LEAVE, server.id, now=now)
        return orders

    def has_broken_off(self, managed: ManagedGroup, *, now: float) -> bool:
        """Tell whether the group of an unlisted head can't serve any more.

        Where all members are behind the same cut as it, as when their zone is cut
        off, the group serves on there.
        """
        head_id = managed.record.head.server_id
        # Where no sign of life was ever noticed, it counts as heard now.
        heard_at = self._directory.last_seen_at_by_id.setdefault(head_id, now)
        is_overdue = now - heard_at > self._stall_limit
        if not is_overdue or not self._any_member_stayed(managed, now=now):
            return False
        if now - managed.left_at > self._stall_limit:
            return True
        all_out = all(
            self._is_out(managed, server) for server in self._survivors(managed)
        )
        return all_out and not managed.has_join_in_doubt(now=now)

    def _survivors(self, managed: ManagedGroup) -> list[BackendServer]:
        """Return the members beside the head that are listed."""
        return list(self._directory.listed(managed.record.member_ids[1:]))

    def _is_out(self, managed: ManagedGroup, server: BackendServer) -> bool:
        """Tell whether a member has left its group, by its word or by its entry."""
        has_left = self._groups.has_left(managed, server.id)
        return has_left or managed.state_of(server) is None

    def _any_member_stayed(self, managed: ManagedGroup, *, now: float) -> bool:
        """Tell whether some other member has been there all that time.

        What counts is how long this host has seen it, not how long it has planned:
        after a change of planner the group's members would wait once more.
        """
        since = now - self._stall_limit
        listed_since = self._directory.listed_since_by_id
        return any(
            listed_since.get(item, now) <= since
            for item in managed.record.member_ids[1:]
        )
