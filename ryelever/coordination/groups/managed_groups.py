"""Track the groups of one availability zone, including those that have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.directory import GroupState
from .managed_group import GroupPhase, ManagedGroup

if TYPE_CHECKING:
    from ...state.directory import BackendServer, Directory
    from .records import GroupRecord

__all__ = ["DISBANDED", "ManagedGroups"]

#: Reason to end a group so that its members can serve another model.
DISBANDED = "taken_apart"


class ManagedGroups:
    """The groups of one availability zone and their states.

    Attributes
    ----------
    managed_by_name : dict of str to ManagedGroup
        Groups that have a record or will get one.
    ended_epochs : set of int
        Epochs of groups that can't serve any more.
    head_at_end_by_epoch : dict of int to BackendServer or None
        For each ended group other than warm-up groups, the server list entry of its
        head when the group ended; None if the head was not listed.
    """

    def __init__(self, *, directory: Directory) -> None:
        self._directory = directory
        self.managed_by_name: dict[str, ManagedGroup] = {}
        self.ended_epochs: set[int] = set()
        self.head_at_end_by_epoch: dict[int, BackendServer | None] = {}
        self._head_id_by_ended_epoch: dict[int, str] = {}

    def put(
        self,
        record: GroupRecord,
        *,
        now: float,
        recorded: bool = True,
        decided_here: bool = False,
    ) -> None:
        """Add or update a group that is in the store or that its members report.

        Parameters
        ----------
        recorded : bool
            False if the store holds no record of the group.
        decided_here : bool
            True if no other planner can have sent orders for the group.
        """
        managed = self.managed(record.name, record.epoch)
        if managed is None:
            managed = ManagedGroup(record=record, since=now, decided_here=decided_here)
            self.managed_by_name[record.name] = managed
        managed.recorded = recorded

    def put_ended(self, record: GroupRecord, *, now: float) -> None:
        """Add the record of a group that has ended, to be dropped from the store."""
        if record.name not in self.managed_by_name:
            self.managed_by_name[record.name] = ManagedGroup(
                record=record, since=now, phase=GroupPhase.RETIRED
            )

    def drop(self, name: str) -> None:
        """Handle the removal of a group's record from the store.

        The store may remove a record seconds after the request, when the group may
        serve again.  A group is forgotten only once it has ended; otherwise its record
        is written again.
        """
        managed = self.managed_by_name.get(name)
        if managed is None:
            return
        if managed.phase is GroupPhase.RETIRED:
            del self.managed_by_name[name]
        else:
            managed.recorded = False

    def forget(self, name: str) -> None:
        """Stop tracking a group that has ended."""
        self.managed_by_name.pop(name, None)

    def knows(self, name: str, epoch: int) -> bool:
        """Return whether a group is managed or has been managed and ended."""
        return self.managed(name, epoch) is not None or epoch in self.ended_epochs

    def record_end(self, managed: ManagedGroup) -> None:
        """Record that a group can't serve any more, with its head's current entry."""
        record = managed.record
        self.ended_epochs.add(record.epoch)
        if not record.warms_up:
            head = self._directory.by_id.get(record.head.server_id)
            self.head_at_end_by_epoch[record.epoch] = head
            self._head_id_by_ended_epoch[record.epoch] = record.head.server_id

    def heads_ended_group(self, server: BackendServer) -> bool:
        """Return whether a server reports to be the head of an ended group.

        The head may execute unanswered orders to join and to open seconds late, after
        it has left the group or while it is unreachable.  The head's entry from before
        the end of the group is ignored: it is replaced within some tenths of a second.
        """
        report = server.group
        if report is None or report.rank or report.state is GroupState.BROKEN:
            return False
        if report.epoch not in self.head_at_end_by_epoch:
            return False
        # A later entry may be equal to the entry from before the end.
        return server is not self.head_at_end_by_epoch[report.epoch]

    def is_in_reopened_group(self, server: BackendServer) -> bool:
        """Return whether a server reports an ended group whose head may serve again.

        Another planner that doesn't know of the end may have opened the group again.
        """
        report = server.group
        head_id = self._head_id_by_ended_epoch.get(report.epoch) if report else None
        head = self._directory.by_id.get(head_id) if head_id else None
        return (
            head is not None
            and self.heads_ended_group(head)
            and head.group.epoch == report.epoch
            and head.group.state is not GroupState.JOINING
        )

    def managed(self, name: str, epoch: int) -> ManagedGroup | None:
        """Return the managed group of a name and epoch, or None."""
        managed = self.managed_by_name.get(name)
        return (
            managed if managed is not None and managed.record.epoch == epoch else None
        )

    def is_warm_up(self, name: str, epoch: int) -> bool:
        """Return whether a managed group was formed only to load a model."""
        managed = self.managed(name, epoch)
        return managed is not None and managed.record.warms_up

    def unrecorded(self) -> list[GroupRecord]:
        """Return the forming and serving groups that have no record in the store.

        The remains of an ending group get no record, because the next planner would
        open them as a group.
        """
        active = (GroupPhase.FORMING, GroupPhase.SERVING)
        return [
            managed.record
            for managed in self.managed_by_name.values()
            if not managed.recorded and managed.phase in active
        ]

    def names(self) -> set[str]:
        """Return the names of all managed groups."""
        return set(self.managed_by_name)

    def droppable_names(self) -> list[str]:
        """Return the names of the groups whose records can be dropped.

        While members still report an ended group, its record is kept so that the next
        planner knows the group.
        """
        return [
            name
            for name, managed in self.managed_by_name.items()
            if managed.phase is GroupPhase.RETIRED
            and not self.has_reporting_member(managed)
        ]

    def records(self, *phases: GroupPhase) -> list[GroupRecord]:
        """Return the records of the groups in some phases, without warm-up groups."""
        return [
            managed.record
            for managed in self.managed_by_name.values()
            if managed.phase in phases and not managed.record.warms_up
        ]

    def n_warming_up(self) -> int:
        """Count the servers that are joining a warm-up group."""
        return sum(
            managed.phase is GroupPhase.FORMING and managed.record.warms_up
            for managed in self.managed_by_name.values()
        )

    def disbanding(self) -> list[GroupRecord]:
        """Return the records of the groups that are being disbanded."""
        return [
            managed.record
            for managed in self.managed_by_name.values()
            if managed.phase is GroupPhase.ENDING and managed.reason == DISBANDED
        ]

    def phases(self) -> dict[str, GroupPhase]:
        """Return the phase of each group by name, without warm-up groups."""
        return {
            name: managed.phase
            for name, managed in self.managed_by_name.items()
            if not managed.record.warms_up
        }

    def phase_of(self, name: str) -> GroupPhase | None:
        """Return the phase of a group, None if the group is not managed."""
        managed = self.managed_by_name.get(name)
        return None if managed is None else managed.phase

    def occupied_ids(self, *, excluding: str = "") -> set[str]:
        """Return the ids of the servers that belong to a group and are not free.

        Parameters
        ----------
        excluding : str
            Name of a group whose members are left out.
        """
        return {
            member_id
            for name, managed in self.managed_by_name.items()
            if managed.phase is not GroupPhase.RETIRED and name != excluding
            for member_id in managed.record.member_ids
            if not (managed.left_members_are_free and self.has_left(managed, member_id))
        }

    def has_left(self, managed: ManagedGroup, member_id: str) -> bool:
        """Return whether a member confirmed its departure and did not join again."""
        if member_id not in managed.left_entry_by_id:
            return False
        server = self._directory.by_id.get(member_id)
        reports_group = server is not None and managed.state_of(server) is not None
        return not reports_group or server is managed.left_entry_by_id[member_id]

    def has_reporting_member(self, managed: ManagedGroup) -> bool:
        """Return whether a listed member of a group reports to be in that group."""
        return any(
            managed.state_of(server) is not None
            for server in self._directory.listed(managed.record.member_ids)
        )
