"""Define the records of groups that are kept in the store."""

from __future__ import annotations

import msgspec

__all__ = ["GroupRecord", "Member"]


class Member(msgspec.Struct, kw_only=True, frozen=True):
    """The id and network address of one member of a group."""

    server_id: str
    address: str


class GroupRecord(msgspec.Struct, kw_only=True, frozen=True):
    """The planner's decision to form one group.

    Attributes
    ----------
    epoch : int
        The store's era in the high bits, and one more than the offset of the group's
        first record in the low bits.  Epochs are unique, and a group that was decided
        later has a higher epoch.
    members : tuple of Member
        The head first.
    warms_up : bool
        True for a group that never opens: its only member joins to load the model.
    """

    name: str
    epoch: int
    service: str
    model: str
    availability_zone: str
    members: tuple[Member, ...]
    warms_up: bool = False

    @property
    def head(self) -> Member:
        """Return the member that receives the group's requests."""
        return self.members[0]

    @property
    def member_ids(self) -> tuple[str, ...]:
        """Return the ids of all members in rank order."""
        return tuple(member.server_id for member in self.members)
