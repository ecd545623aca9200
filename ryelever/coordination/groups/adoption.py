"""Take over groups that members report, and that have no record in the store.

The record of a group may have been dropped by an append that was carried out late.
Without it the members would look free while their head serves.
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

#: Seconds for which a group that has no record is left alone: the record of one that
#: another planner has just decided on may still be on its way here.
ADOPT_AFTER = 1.5


class GroupAdoption:
    """Find such groups in one availability zone, and give them to its keeper.

    Parameters
    ----------
    stall_time : float
        Seconds for which a group stands still when a member is lost.
    log : callable
        Take one line about a decision: its name and its fields.
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

    def look(self, table: RouteTable, *, now: float) -> None:
        """Take over the groups that have been without a record for a while."""
        reported = self._reported(table)
        for key in self._unknown_since.keys() - reported.keys():
            del self._unknown_since[key]
        for key, members in reported.items():
            since = self._unknown_since.setdefault(key, now)
            members.sort(key=lambda server: server.group.rank)
            if now - since > ADOPT_AFTER and members[0].group.rank == 0:
                self._take_over(members, table, now=now)

    def is_unsettled(self, server: BackendServer, *, now: float) -> bool:
        """Tell whether a server may be in a group that serves and has no record.

        Where the head doesn't show, the group has broken off some time after that.
        """
        report = server.group
        if report is None or self._is_known(server):
            return False
        since = self._unknown_since.get((report.name, report.epoch), now)
        return now - since <= self._stall_time + STALL_SLACK

    def _is_known(self, server: BackendServer) -> bool:
        """Tell whether the keeper holds the group of a server, or saw its last end."""
        report = server.group
        known = self._manager.knows(report.name, report.epoch)
        return known and not self._manager.is_back(server)

    def _reported(
        self, table: RouteTable
    ) -> dict[tuple[str, int], list[BackendServer]]:
        """Return the members of the groups that aren't known, by name and epoch."""
        reported: dict[tuple[str, int], list[BackendServer]] = {}
        for service in table.services_by_name.values():
            for server in self._directory.of_service(service.name):
                report = server.group
                if report is None or server.availability_zone != self._zone:
                    continue
                if not self._is_known(server):
                    key = (report.name, report.epoch)
                    reported.setdefault(key, []).append(server)
        return reported

    def _take_over(
        self, members: list[BackendServer], table: RouteTable, *, now: float
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
        engine = table.services_by_name[head.service].engine
        model = engine.models_by_name.get(record.model) if engine else None
        ranks = [server.group.rank for server in members]
        if model is None or ranks != list(range(model.size)):
            self._manager.end(record.name, "member_unknown", now=now)
