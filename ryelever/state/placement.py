"""Fold the placement of one availability zone: leases, groups and claimed hosts."""

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

#: Number of the newest changes that are kept for the operator.
MAX_CHANGES = 200

#: Groups in one part of a snapshot.
GROUPS_PER_PART = 200


@dataclass(slots=True, kw_only=True)
class Group:
    """One replica group as recorded in the log.

    Attributes
    ----------
    fencing : int
        Fencing token: the offset of the record that formed the group.
    unreleased : set of str
        Hosts that the group still claims; all members until the group is dissolved.
    draining_since : int
        Offset of the record from which on the group gets no new requests; -1 if the
        group does not drain.
    dissolved_at : int
        Offset of the record that dissolved the group; -1 if not dissolved.
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
        """Return the names of the adapters, without their versions."""
        return tuple(adapter.partition("@")[0] for adapter in self.adapters)

    @property
    def draining(self) -> bool:
        """Return whether the group finishes its requests and gets no new ones."""
        return self.draining_since >= 0


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementChange:
    """One decision that took effect, as shown to the operator.

    Attributes
    ----------
    time : float
        Append time by the log service's clock, in seconds since the epoch.
    kind : str
        ``"formed"``, ``"draining"``, ``"dissolved"`` or ``"released"``.
    replaces : str
        Group that a newly formed group replaces; empty if none.
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
    """The planner's lease of the zone.

    Attributes
    ----------
    offset : int
        Offset of the newest renewal.
    tenure : int
        Offset at which the current holder acquired the lease.  Decisions refer to the
        lease by this offset.
    """

    offset: int
    tenure: int
    holder: str
    term: float


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementSnapshot(SnapshotPart):
    """Snapshot part with the lease and some of the groups of one zone."""

    lease: Lease | None = None
    groups: tuple[Group, ...] = ()


class PlacementFold(BaseFold):
    """Fold placement records into the groups and claimed hosts of one zone.

    After a loss of records (``gap``), the current lease is unknown.  The fold then
    accepts the next lease record, whatever its ``previous`` offset, and checks the
    following lease records against that one.  A fold that kept its last known lease
    would ignore every renewal by the actual holder and accept its own host's lease
    records, so that two hosts would plan the zone at the same time.
    """

    snapshot_class = PlacementSnapshot

    def __init__(self) -> None:
        super().__init__()
        self.lease: Lease | None = None
        self.groups_by_name: dict[str, Group] = {}
        self.group_by_host: dict[str, str] = {}
        self.changes: deque[PlacementChange] = deque(maxlen=MAX_CHANGES)
        self._lease_unknown = False

    def record_loss(self, *, before: int, reason: str) -> None:
        """Register that the records below ``before`` can no longer be read."""
        super().record_loss(before=before, reason=reason)
        self._lease_unknown = True

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
        # Copied, since a part is encoded later and must not contain later changes.
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
        self._lease_unknown = False
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
        if record.previous != current and not self._lease_unknown:
            return f"follows lease {record.previous}, but lease {current} is current"
        self._lease_unknown = False
        renewed = self.lease is not None and self.lease.holder == record.holder
        self.lease = Lease(
            offset=entry.offset,
            tenure=self.lease.tenure if renewed else entry.offset,
            holder=record.holder,
            term=record.term,
        )
        return None

    def _stale_lease_reason(self, lease: int) -> str | None:
        # A planner that was paused for longer than its lease's term may append
        # decisions that it made before the pause.  Its lease is no longer current
        # then, so that every reader ignores these decisions.
        current = self.lease.tenure if self.lease is not None else -1
        if current != lease:
            return f"decided under lease {lease}, but lease {current} is current"
        return None

    def _apply_formed(self, entry: Entry, record: GroupFormed) -> str | None:
        reason = self._stale_lease_reason(record.lease) or self._formation_conflict(
            record
        )
        if reason is not None:
            return reason
        if record.replaces:
            self._dissolve_replaced(entry, record)
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
        self._record_change(
            entry,
            kind="formed",
            group=record.group,
            reason=record.reason,
            hosts=record.members,
            replaces=record.replaces,
        )
        return None

    def _formation_conflict(self, record: GroupFormed) -> str | None:
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

    def _dissolve_replaced(self, entry: Entry, record: GroupFormed) -> None:
        # A single record dissolves the old group and transfers the claims.  At no
        # offset is a host claimed by two groups, or free to be claimed by a third.
        replaced = self.groups_by_name[record.replaces]
        replaced.dissolved = True
        replaced.dissolved_reason = record.reason
        replaced.dissolved_at = entry.offset
        replaced.unreleased -= set(record.members)
        if not replaced.unreleased:
            del self.groups_by_name[replaced.name]

    def _apply_draining(self, entry: Entry, record: GroupDraining) -> str | None:
        reason = self._stale_lease_reason(record.lease)
        if reason is not None:
            return reason
        group = self.groups_by_name.get(record.group)
        if group is None or group.dissolved or group.draining:
            return f"group {record.group} is not there to drain"
        group.draining_since = entry.offset
        group.draining_reason = record.reason
        self._record_change(
            entry, kind="draining", group=record.group, reason=record.reason
        )
        return None

    def _apply_dissolved(self, entry: Entry, record: GroupDissolved) -> str | None:
        reason = self._stale_lease_reason(record.lease)
        if reason is not None:
            return reason
        group = self.groups_by_name.get(record.group)
        if group is None or group.dissolved:
            return f"group {record.group} is not there to dissolve"
        group.dissolved = True
        group.dissolved_reason = record.reason
        group.dissolved_at = entry.offset
        self._record_change(
            entry, kind="dissolved", group=record.group, reason=record.reason
        )
        return None

    def _apply_released(self, entry: Entry, record: HostReleased) -> str | None:
        reason = self._stale_lease_reason(record.lease)
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
        self._record_change(
            entry,
            kind="released",
            group=record.group,
            reason=record.evidence,
            hosts=(record.host,),
        )
        return None

    def _record_change(
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
