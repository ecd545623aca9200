"""Adopt groups that servers report but that have no record in the store.

A late append may have dropped the record of a group that serves.  Without the record
the group's members would appear to be free.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .managed_group import GroupPhase
from .records import GroupRecord, Member
from .silent_heads import STALL_SLACK

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.directory import BackendServer, Directory
    from ...state.routes import RouteTable
    from .manager import GroupManager

__all__ = ["ADOPT_AFTER", "GroupAdoption"]

#: Seconds for which a group without a record is ignored: the record of a group that
#: another planner has just formed may not have been read here yet.
ADOPT_AFTER = 1.5


class GroupAdoption:
    """Find unrecorded groups of one availability zone and have them managed.

    Parameters
    ----------
    stall_time : float
        Seconds for which a group that lost a member stalls before it is ``BROKEN``.
    log : callable
        Called with the event name and the fields of each log line.
    """

    def __init__(
        self,
        *,
        zone: str,
        directory: Directory,
        manager: GroupManager,
        stall_time: float,
        log: Callable[..., None],
    ) -> None:
        self._zone = zone
        self._directory = directory
        self._manager = manager
        self._stall_time = stall_time
        self._log = log
        self._unknown_since: dict[tuple[str, int], float] = {}

    def adopt_unrecorded(self, route_table: RouteTable, *, now: float) -> None:
        """Adopt the groups that have had no record for ``ADOPT_AFTER`` seconds."""
        reported = self._unknown_groups(route_table)
        for key in self._unknown_since.keys() - reported.keys():
            del self._unknown_since[key]
        for key, members in reported.items():
            since = self._unknown_since.setdefault(key, now)
            members.sort(key=lambda server: server.group.rank)
            if now - since > ADOPT_AFTER and members[0].group.rank == 0:
                self._adopt(members, route_table, now=now)

    def may_be_in_unrecorded_group(self, server: BackendServer, *, now: float) -> bool:
        """Return whether a server may be in a serving group without a record.

        A group whose head is missing counts as broken once the stall time and
        ``STALL_SLACK`` have passed.
        """
        report = server.group
        if report is None or self._is_known(server):
            return False
        since = self._unknown_since.get((report.name, report.epoch), now)
        return now - since <= self._stall_time + STALL_SLACK

    def _is_known(self, server: BackendServer) -> bool:
        """Return whether a server's group needs no adoption.

        The group is managed, or it has ended and the server doesn't report to be its
        head again.
        """
        report = server.group
        known = self._manager.knows(report.name, report.epoch)
        return known and not self._manager.heads_ended_group(server)

    def _unknown_groups(
        self, route_table: RouteTable
    ) -> dict[tuple[str, int], list[BackendServer]]:
        """Return the members of unknown groups by the groups' name and epoch."""
        reported: dict[tuple[str, int], list[BackendServer]] = {}
        for service in route_table.services_by_name.values():
            for server in self._directory.of_service(service.name):
                report = server.group
                if report is None or server.availability_zone != self._zone:
                    continue
                if not self._is_known(server):
                    key = (report.name, report.epoch)
                    reported.setdefault(key, []).append(server)
        return reported

    def _adopt(
        self, members: list[BackendServer], route_table: RouteTable, *, now: float
    ) -> None:
        head = members[0]
        record = GroupRecord(
            name=head.group.name,
            epoch=head.group.epoch,
            service=head.service,
            model=next(iter(head.models), ""),
            availability_zone=self._zone,
            members=tuple(
                Member(server_id=server.id, address=server.address)
                for server in members
            ),
        )
        self._log("group_adopted", group=record.name, members=record.member_ids)
        if self._manager.phase_of(record.name) is GroupPhase.RETIRED:
            self._manager.forget(record.name)
        self._manager.put(record, now=now, recorded=False)
        engine = route_table.services_by_name[head.service].engine
        model = engine.models_by_name.get(record.model) if engine else None
        ranks = [server.group.rank for server in members]
        if model is None or ranks != list(range(model.size)):
            self._manager.end(record.name, "member_unknown", now=now)
