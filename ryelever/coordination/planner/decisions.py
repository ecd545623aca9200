"""Append each decision once, and repeat it only if it is not read back in time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...state.records import GroupFormed
from ..actions import Action, AppendRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.placement import PlacementFold
    from ...state.records import GroupDissolved, GroupDraining, HostReleased

__all__ = ["Decisions", "PendingGroup"]


@dataclass(slots=True, kw_only=True, frozen=True)
class PendingGroup:
    """Group whose append has not been read back from the log yet."""

    model: str
    members: tuple[str, ...]
    replaces: str
    since: float


class Decisions:
    """Turn decisions into appends, and track those that were not read back yet.

    A group that was appended but not read back yet counts as formed.  Otherwise the
    next tick would form a second group with the same purpose.
    """

    def __init__(
        self, *, stream: str, new_id: Callable[[], str], timeout: float
    ) -> None:
        self._stream = stream
        self._new_id = new_id
        self._timeout = timeout
        self._decided_at_by_key: dict[str, float] = {}
        self.pending_groups_by_id: dict[str, PendingGroup] = {}

    def remove_confirmed(self, placement: PlacementFold, *, now: float) -> None:
        """Remove pending groups that were read back or whose append timed out."""
        for record_id, pending in list(self.pending_groups_by_id.items()):
            settled = placement.offset_of(record_id) is not None
            if settled or now - pending.since > self._timeout:
                del self.pending_groups_by_id[record_id]

    @property
    def pending_hosts(self) -> set[str]:
        """Return the hosts of pending groups."""
        return {
            host
            for pending in self.pending_groups_by_id.values()
            for host in pending.members
        }

    def n_pending_groups(self, model: str) -> int:
        """Return the number of pending groups of a model."""
        return sum(
            pending.model == model for pending in self.pending_groups_by_id.values()
        )

    def is_replaced(self, group: str) -> bool:
        """Return whether a successor of a group is pending."""
        return any(
            pending.replaces == group for pending in self.pending_groups_by_id.values()
        )

    def append_group(self, record: GroupFormed, *, now: float) -> list[Action]:
        """Return the append of a new group, and record the group as pending."""
        record_id = self._new_id()
        self.pending_groups_by_id[record_id] = PendingGroup(
            model=record.model,
            members=record.members,
            replaces=record.replaces,
            since=now,
        )
        return [AppendRecord(stream=self._stream, record=record, record_id=record_id)]

    def append_once(
        self,
        record: GroupDissolved | GroupDraining | HostReleased,
        *,
        key: str,
        now: float,
    ) -> list[Action]:
        """Return the append of a decision, unless one with this key is in flight."""
        self._decided_at_by_key = {
            known: at
            for known, at in self._decided_at_by_key.items()
            if now - at < self._timeout
        }
        if key in self._decided_at_by_key:
            return []
        self._decided_at_by_key[key] = now
        return [
            AppendRecord(stream=self._stream, record=record, record_id=self._new_id())
        ]
