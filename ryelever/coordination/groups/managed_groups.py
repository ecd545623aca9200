"""Hold the groups of one availability zone, those that have ended included."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.directory import GroupState
from .managed_group import GroupPhase, ManagedGroup

if TYPE_CHECKING:
    from ...state.directory import BackendServer, Directory
    from .records import GroupRecord

__all__ = ["DISBANDED", "ManagedGroups"]

#: Reason to end a group for the sake of another.
DISBANDED = "taken_apart"


class ManagedGroups:
    """Hold what is known of each group.

    Attributes
    ----------
    managed_by_name : dict of str to ManagedGroup
        Groups that have a record, or are to have one.
    ended_epochs : set of int
        Epochs of groups that can't serve any more.
    head_at_end_by_epoch : dict of int to BackendServer or None
        Entry of the head of each of them when it ended, if there was one; groups that
        were only to hold a model are left out.
    """

    def __init__(self, *, directory: Directory) -> None:
        self._directory = directory
        self.managed_by_name: dict[str, ManagedGroup] = {}
        self.ended_epochs: set[int] = set()
        self.head_at_end_by_epoch: dict[int, BackendServer | None] = {}

    def put(
        self,
        record: GroupRecord,
        *,
        now: float,
        recorded: bool = True,
        decided_here: bool = False,
    ) -> None:
        """Take a group that the store holds, or that members report to be in.

        Parameters
        ----------
        recorded : bool
            False where the store holds no record of it.
        decided_here : bool
            True where no other planner can have given orders for it.
        """
        managed = self.managed(record.name, record.epoch)
        if managed is None:
            managed = ManagedGroup(record=record, since=now, decided_here=decided_here)
            self.managed_by_name[record.name] = managed
        managed.recorded = recorded

    def put_ended(self, record: GroupRecord, *, now: float) -> None:
        """Take the record of a group that has ended, so that it is dropped."""
        if record.name not in self.managed_by_name:
            self.managed_by_name[record.name] = ManagedGroup(
                record=record, since=now, phase=GroupPhase.RETIRED
            )

    def drop(self, name: str) -> None:
        """Take word that the store has dropped a group's record.

        A drop may be carried out seconds after it was asked for, and the group may
        serve again by then: it is forgotten only once it has ended, and else its
        record is to be written anew.
        """
        managed = self.managed_by_name.get(name)
        if managed is None:
            return
        if managed.phase is GroupPhase.RETIRED:
            del self.managed_by_name[name]
        else:
            managed.recorded = False

    def forget(self, name: str) -> None:
        """Forget a group that has ended."""
        self.managed_by_name.pop(name, None)

    def knows(self, name: str, epoch: int) -> bool:
        """Tell whether a group is kept, or was and has ended."""
        return self.managed(name, epoch) is not None or epoch in self.ended_epochs

    def ended(self, managed: ManagedGroup) -> None:
        """Remember that a group can't serve any more, and what its head shows now."""
        record = managed.record
        self.ended_epochs.add(record.epoch)
        if not record.warms_up:
            head = self._directory.by_id.get(record.head.server_id)
            self.head_at_end_by_epoch[record.epoch] = head

    def is_back(self, server: BackendServer) -> bool:
        """Tell whether a server shows as the head of a group that had ended.

        Orders to join and to open that went unanswered may be carried out seconds
        later, after the head has left or while nobody sees it.  Its entry from before
        the end says nothing: it is replaced within some tenths of a second.
        """
        report = server.group
        if report is None or report.rank or report.state is GroupState.BROKEN:
            return False
        if report.epoch not in self.head_at_end_by_epoch:
            return False
        # What is listed anew may look the same.
        return server is not self.head_at_end_by_epoch[report.epoch]

    def managed(self, name: str, epoch: int) -> ManagedGroup | None:
        """Return the group that is kept under a name, if it has that epoch."""
        managed = self.managed_by_name.get(name)
        return (
            managed if managed is not None and managed.record.epoch == epoch else None
        )

    def warmed_up(self, name: str, epoch: int) -> bool:
        """Tell whether a group was formed only for its member to hold a model."""
        managed = self.managed(name, epoch)
        return managed is not None and managed.record.warms_up

    def unrecorded(self) -> list[GroupRecord]:
        """Return the groups that serve or form without a record in the store.

        What is left of a group that is being ended gets none: the next planner would
        take it for a group to open.
        """
        living = (GroupPhase.FORMING, GroupPhase.SERVING)
        return [
            managed.record
            for managed in self.managed_by_name.values()
            if not managed.recorded and managed.phase in living
        ]

    def names(self) -> set[str]:
        """Return the names of all groups that have a record."""
        return set(self.managed_by_name)

    def retired(self) -> list[str]:
        """Return the groups whose records can be dropped.

        As long as members still report a group that has ended, its record tells the
        next planner what to make of them.
        """
        return [
            name
            for name, managed in self.managed_by_name.items()
            if managed.phase is GroupPhase.RETIRED and not self.has_any(managed)
        ]

    def records(self, *phases: GroupPhase) -> list[GroupRecord]:
        """Return the records of the groups in some phases that serve or are to."""
        return [
            managed.record
            for managed in self.managed_by_name.values()
            if managed.phase in phases and not managed.record.warms_up
        ]

    def n_warming_up(self) -> int:
        """Count the servers that join a group of their own."""
        return sum(
            managed.phase is GroupPhase.FORMING and managed.record.warms_up
            for managed in self.managed_by_name.values()
        )

    def disbanding(self) -> list[GroupRecord]:
        """Return the groups that are being ended for the sake of another."""
        return [
            managed.record
            for managed in self.managed_by_name.values()
            if managed.phase is GroupPhase.ENDING and managed.reason == DISBANDED
        ]

    def phases(self) -> dict[str, GroupPhase]:
        """Return what is being done with each group that is to serve, by its name."""
        return {
            name: managed.phase
            for name, managed in self.managed_by_name.items()
            if not managed.record.warms_up
        }

    def phase_of(self, name: str) -> GroupPhase | None:
        """Return what is being done with a group."""
        managed = self.managed_by_name.get(name)
        return None if managed is None else managed.phase

    def taken(self, *, besides: str = "") -> set[str]:
        """Return the ids of the members that are free for nothing else.

        Parameters
        ----------
        besides : str
            Name of a group whose own members don't count.
        """
        return {
            member_id
            for name, managed in self.managed_by_name.items()
            if managed.phase is not GroupPhase.RETIRED and name != besides
            for member_id in managed.record.member_ids
            if not (managed.frees_members and self.has_left(managed, member_id))
        }

    def has_left(self, managed: ManagedGroup, member_id: str) -> bool:
        """Tell whether a member has answered that it left, and was not taken back."""
        if member_id not in managed.left_by_id:
            return False
        server = self._directory.by_id.get(member_id)
        shows_it = server is not None and managed.state_of(server) is not None
        return not shows_it or server is managed.left_by_id[member_id]

    def has_any(self, managed: ManagedGroup) -> bool:
        """Tell whether any member reports to be of a group."""
        return any(
            managed.state_of(server) is not None
            for server in self._directory.listed(managed.record.member_ids)
        )
