"""Fold one availability zone's placement: leases, groups, claimed hosts."""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .fold import BaseFold
from .records import (
    Entry,
    GroupDissolved,
    GroupDraining,
    GroupFormed,
    HostReleased,
    LeaseTaken,
    SnapshotPart,
)

__all__ = ["Group", "Lease", "PlacementChange", "PlacementFold", "PlacementSnapshot"]

#: How many changes are kept for the operator.
N_KEPT_CHANGES = 200

#: Groups in one part of a snapshot.
GROUPS_PER_PART = 200


@dataclass(slots=True, kw_only=True)
class Group:
    """Hold one replica group as the log has it.

    Attributes
    ----------
    fencing : int
        Offset of the record that formed it.
    unreleased : set of str
        Hosts still claimed; all members until the group is dissolved.
    draining_since : int
        Offset of the record that ended new work; -1 while the group takes it.
    dissolved_at : int
        Offset of the record that dissolved it; -1 before.
    """

    name: str
    fencing: int
    model: str
    version: str
    adapters: tuple[str, ...]
    members: tuple[str, ...]
    configuration_version: int
    reason: str
    unreleased: set[str]
    dissolved: bool = False
    dissolved_reason: str = ""
    draining_since: int = -1
    draining_reason: str = ""
    dissolved_at: int = -1

    @property
    def adapter_names(self) -> tuple[str, ...]:
        """Return the adapters without their versions."""
        return tuple(adapter.partition("@")[0] for adapter in self.adapters)

    @property
    def draining(self) -> bool:
        """Tell whether the group finishes its requests and takes no new ones."""
        return self.draining_since >= 0


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementChange:
    """Tell the operator of one decision that took effect.

    Attributes
    ----------
    time : float
        The log service's own time, seconds since the epoch.
    kind : str
        ``"formed"``, ``"draining"``, ``"dissolved"`` or ``"released"``.
    replaces : str
        Group whose place a formed one takes, where the record names one.
    """

    offset: int
    time: float
    kind: str
    group: str
    reason: str
    hosts: tuple[str, ...] = ()
    replaces: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class Lease:
    """Hold the planner's lease of the zone.

    Attributes
    ----------
    offset : int
        Offset of the newest renewal.
    tenure : int
        Offset at which this holder took the lease; decisions name it.
    """

    offset: int
    tenure: int
    holder: str
    term: float


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementSnapshot(SnapshotPart):
    """Repeat a piece of one zone's placement."""

    lease: Lease | None = None
    groups: tuple[Group, ...] = ()


class PlacementFold(BaseFold):
    """Keep which hosts belong to which group in one availability zone.

    After records were lost (``gap``) nobody knows which lease is current.  The next
    taking of the lease is then believed, whichever one it follows, and those after
    it follow it.  A fold that went on from the lease that it held would ignore each
    renewal by the holder and count its own: its host would plan next to the holder.
    """

    snapshot_class = PlacementSnapshot

    def __init__(self) -> None:
        super().__init__()
        self.lease: Lease | None = None
        self.groups_by_name: dict[str, Group] = {}
        self.group_by_host: dict[str, str] = {}
        self.changes: deque[PlacementChange] = deque(maxlen=N_KEPT_CHANGES)
        self._lease_lost = False

    def lost(self, *, before: int, reason: str) -> None:
        """Take note that records below ``before`` cannot be read any more."""
        super().lost(before=before, reason=reason)
        self._lease_lost = True

    def _apply_record(self, entry: Entry) -> str | None:
        match entry.record:
            case LeaseTaken():
                return self._apply_lease(entry, entry.record)
            case GroupFormed():
                return self._apply_formed(entry, entry.record)
            case GroupDraining():
                return self._apply_draining(entry, entry.record)
            case GroupDissolved():
                return self._apply_dissolved(entry, entry.record)
            case HostReleased():
                return self._apply_released(entry, entry.record)
            case _:
                return "not a record of placement"

    def _contents(self) -> list[dict[str, Any]]:
        # Copied: a part is encoded later, and must not follow what happens by then.
        groups = copy.deepcopy(list(self.groups_by_name.values()))
        starts = range(0, max(1, len(groups)), GROUPS_PER_PART)
        return [
            {
                "lease": self.lease,
                "groups": tuple(groups[start : start + GROUPS_PER_PART]),
            }
            for start in starts
        ]

    def _restore(self, parts: Sequence[SnapshotPart]) -> None:
        self.lease = parts[0].lease
        self._lease_lost = False
        self.groups_by_name = {
            group.name: group for part in parts for group in part.groups
        }
        self.group_by_host = {
            host: group.name
            for group in self.groups_by_name.values()
            for host in group.unreleased
        }

    def _apply_lease(self, entry: Entry, record: LeaseTaken) -> str | None:
        current = self.lease.offset if self.lease is not None else -1
        if record.previous != current and not self._lease_lost:
            return f"follows lease {record.previous}, but lease {current} is current"
        self._lease_lost = False
        renewed = self.lease is not None and self.lease.holder == record.holder
        self.lease = Lease(
            offset=entry.offset,
            tenure=self.lease.tenure if renewed else entry.offset,
            holder=record.holder,
            term=record.term,
        )
        return None

    def _reason_without_lease(self, lease: int) -> str | None:
        # A planner that was paused beyond its term may append decisions made
        # before the pause.  Its lease is no longer the current one by then, so
        # every reader ignores them alike.
        current = self.lease.tenure if self.lease is not None else -1
        if current != lease:
            return f"decided under lease {lease}, but lease {current} is current"
        return None

    def _apply_formed(self, entry: Entry, record: GroupFormed) -> str | None:
        reason = self._reason_without_lease(record.lease) or self._reason_unformable(
            record
        )
        if reason is not None:
            return reason
        if record.replaces:
            self._take_over(entry, record)
        self.groups_by_name[record.group] = Group(
            name=record.group,
            fencing=entry.offset,
            model=record.model,
            version=record.version,
            adapters=record.adapters,
            members=record.members,
            configuration_version=record.configuration_version,
            reason=record.reason,
            unreleased=set(record.members),
        )
        for host in record.members:
            self.group_by_host[host] = record.group
        self._keep_change(
            entry,
            kind="formed",
            group=record.group,
            reason=record.reason,
            hosts=record.members,
            replaces=record.replaces,
        )
        return None

    def _reason_unformable(self, record: GroupFormed) -> str | None:
        if record.group in self.groups_by_name:
            return f"group {record.group} exists already"
        if not record.members or len(set(record.members)) != len(record.members):
            return "members are missing or named twice"
        if record.replaces:
            replaced = self.groups_by_name.get(record.replaces)
            if replaced is None or replaced.dissolved:
                return f"group {record.replaces} is not there to replace"
        for host in record.members:
            claimed_by = self.group_by_host.get(host, record.replaces)
            if claimed_by != record.replaces:
                return f"host {host} belongs to group {claimed_by}"
        return None

    def _take_over(self, entry: Entry, record: GroupFormed) -> None:
        # One record ends the old group and moves the claims: at no offset is a
        # host claimed twice, and at none is it free for a third group.
        replaced = self.groups_by_name[record.replaces]
        replaced.dissolved = True
        replaced.dissolved_reason = record.reason
        replaced.dissolved_at = entry.offset
        replaced.unreleased -= set(record.members)
        if not replaced.unreleased:
            del self.groups_by_name[replaced.name]

    def _apply_draining(self, entry: Entry, record: GroupDraining) -> str | None:
        reason = self._reason_without_lease(record.lease)
        if reason is not None:
            return reason
        group = self.groups_by_name.get(record.group)
        if group is None or group.dissolved or group.draining:
            return f"group {record.group} is not there to drain"
        group.draining_since = entry.offset
        group.draining_reason = record.reason
        self._keep_change(
            entry, kind="draining", group=record.group, reason=record.reason
        )
        return None

    def _apply_dissolved(self, entry: Entry, record: GroupDissolved) -> str | None:
        reason = self._reason_without_lease(record.lease)
        if reason is not None:
            return reason
        group = self.groups_by_name.get(record.group)
        if group is None or group.dissolved:
            return f"group {record.group} is not there to dissolve"
        group.dissolved = True
        group.dissolved_reason = record.reason
        group.dissolved_at = entry.offset
        self._keep_change(
            entry, kind="dissolved", group=record.group, reason=record.reason
        )
        return None

    def _apply_released(self, entry: Entry, record: HostReleased) -> str | None:
        reason = self._reason_without_lease(record.lease)
        if reason is not None:
            return reason
        group = self.groups_by_name.get(record.group)
        if group is None or not group.dissolved:
            return f"group {record.group} is not dissolved"
        if record.host not in group.unreleased:
            return f"host {record.host} is not claimed by group {record.group}"
        group.unreleased.discard(record.host)
        del self.group_by_host[record.host]
        if not group.unreleased:
            del self.groups_by_name[record.group]
        self._keep_change(
            entry,
            kind="released",
            group=record.group,
            reason=record.evidence,
            hosts=(record.host,),
        )
        return None

    def _keep_change(
        self,
        entry: Entry,
        *,
        kind: str,
        group: str,
        reason: str,
        hosts: tuple[str, ...] = (),
        replaces: str = "",
    ) -> None:
        self.changes.append(
            PlacementChange(
                offset=entry.offset,
                time=entry.time,
                kind=kind,
                group=group,
                reason=reason,
                hosts=hosts,
                replaces=replaces,
            )
        )
