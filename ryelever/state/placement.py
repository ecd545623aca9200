"""Fold one availability zone's placement: leases, groups, claimed hosts."""

from __future__ import annotations

import copy
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .fold import BaseFold
from .records import (
    Entry,
    GroupDissolved,
    GroupFormed,
    HostReleased,
    LeaseTaken,
    SnapshotPart,
)

__all__ = ["Group", "Lease", "PlacementFold", "PlacementSnapshot"]

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
    """Keep which hosts belong to which group in one availability zone."""

    snapshot_class = PlacementSnapshot

    def __init__(self) -> None:
        super().__init__()
        self.lease: Lease | None = None
        self.groups_by_name: dict[str, Group] = {}
        self.group_by_host: dict[str, str] = {}

    def _apply_record(self, entry: Entry) -> str | None:
        match entry.record:
            case LeaseTaken():
                return self._apply_lease(entry, entry.record)
            case GroupFormed():
                return self._apply_formed(entry, entry.record)
            case GroupDissolved():
                return self._apply_dissolved(entry.record)
            case HostReleased():
                return self._apply_released(entry.record)
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
        if record.previous != current:
            return f"follows lease {record.previous}, but lease {current} is current"
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
        reason = self._reason_without_lease(record.lease)
        if reason is not None:
            return reason
        if record.group in self.groups_by_name:
            return f"group {record.group} exists already"
        if not record.members or len(set(record.members)) != len(record.members):
            return "members are missing or named twice"
        for host in record.members:
            if host in self.group_by_host:
                return f"host {host} belongs to group {self.group_by_host[host]}"
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
        return None

    def _apply_dissolved(self, record: GroupDissolved) -> str | None:
        reason = self._reason_without_lease(record.lease)
        if reason is not None:
            return reason
        group = self.groups_by_name.get(record.group)
        if group is None or group.dissolved:
            return f"group {record.group} is not there to dissolve"
        group.dissolved = True
        group.dissolved_reason = record.reason
        return None

    def _apply_released(self, record: HostReleased) -> str | None:
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
        return None
