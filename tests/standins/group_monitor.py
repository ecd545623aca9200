"""Detect violations of the rules of replica groups."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .group_server import GroupServer

__all__ = ["GroupMonitor"]


class GroupMonitor:
    """Record groups that run requests without a member, and members of two groups.

    Attributes
    ----------
    faults : list of str
        Descriptions of the violations; empty when no rule was broken.
    """

    def __init__(self, *, servers_by_id: dict[str, GroupServer]) -> None:
        self._servers_by_id = servers_by_id
        self._ready_by_group: dict[tuple[str, int], set[str]] = defaultdict(set)
        self.faults: list[str] = []

    def record(self, action: str, server: GroupServer) -> None:
        """Record an action of a server and check it against the rules.

        Parameters
        ----------
        action : str
            ``"joined"`` (the server has joined a group), ``"runs"`` (it runs a request)
            or ``"leaves"`` (it is about to leave its group for another one).
        """
        if server.group is None:
            return
        group = (server.group["name"], server.group["epoch"])
        if action == "joined":
            self._ready_by_group[group].add(server.id)
        elif action == "runs":
            missing = set(server.members) - self._ready_by_group[group]
            if missing:
                self.faults.append(f"{group} runs without {sorted(missing)}")
        elif action == "leaves" and self._is_group_serving(server):
            self.faults.append(f"{server.id} leaves {group}, which serves")

    def _is_group_serving(self, member: GroupServer) -> bool:
        """Return whether the head of a member's group is open in the same group."""
        head = self._servers_by_id.get(member.members[0]) if member.members else None
        if head is None or head.group is None:
            return False
        is_same_group = (head.group["name"], head.group["epoch"]) == (
            member.group["name"],
            member.group["epoch"],
        )
        return is_same_group and head.group["state"] == "open"
