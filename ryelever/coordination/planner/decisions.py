"""Append each decision once, and again only if it has not taken effect."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...state.records import GroupFormed
from ..actions import Action, AppendRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.placement import PlacementFold
    from ...state.records import GroupDissolved, GroupDraining, HostReleased

__all__ = ["Decisions", "Forming"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Forming:
    """Hold a group that was decided and not read back yet."""

    model: str
    members: tuple[str, ...]
    replaces: str
    since: float


class Decisions:
    """Turn decisions into appends, and remember those under way.

    A group that was appended but not read back yet counts as formed; the next tick
    would otherwise form a second one in its place.
    """

    def __init__(
        self, *, stream: str, new_id: Callable[[], str], timeout: float
    ) -> None:
        self._stream = stream
        self._new_id = new_id
        self._timeout = timeout
        self._decided_at_by_key: dict[str, float] = {}
        self.forming_by_id: dict[str, Forming] = {}

    def settle(self, placement: PlacementFold, *, now: float) -> None:
        """Forget the groups that were read back, or never will be."""
        for record_id, forming in list(self.forming_by_id.items()):
            settled = placement.offset_of(record_id) is not None
            if settled or now - forming.since > self._timeout:
                del self.forming_by_id[record_id]

    @property
    def taken(self) -> set[str]:
        """Return the hosts of groups that are being formed."""
        return {
            host for forming in self.forming_by_id.values() for host in forming.members
        }

    def n_forming(self, model: str) -> int:
        """Return how many groups of a model are being formed."""
        return sum(forming.model == model for forming in self.forming_by_id.values())

    def is_replaced(self, group: str) -> bool:
        """Tell whether a group that takes a group's place is being formed."""
        return any(forming.replaces == group for forming in self.forming_by_id.values())

    def form(self, record: GroupFormed, *, now: float) -> list[Action]:
        """Append a group."""
        record_id = self._new_id()
        self.forming_by_id[record_id] = Forming(
            model=record.model,
            members=record.members,
            replaces=record.replaces,
            since=now,
        )
        return [AppendRecord(stream=self._stream, record=record, record_id=record_id)]

    def once(
        self,
        record: GroupDissolved | GroupDraining | HostReleased,
        *,
        key: str,
        now: float,
    ) -> list[Action]:
        """Append a decision, unless the same one is under way."""
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
