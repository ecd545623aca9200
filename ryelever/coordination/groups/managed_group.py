"""Hold the state of one replica group, and the orders that were given for it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from .member_probes import MemberProbes
from .orders import GroupOrder, OrderKind

if TYPE_CHECKING:
    from ...state.directory import BackendServer, GroupState
    from .records import GroupRecord

__all__ = ["LATE_ORDERS", "ORDER_RETRY", "GroupPhase", "ManagedGroup"]

#: Seconds after which an order whose effect doesn't show is given again.  The list
#: of backend servers shows an effect within half a second.
ORDER_RETRY = 1.0

#: Seconds after which an order that got no answer is not carried out any more.
LATE_ORDERS = 15.0


class GroupPhase(enum.Enum):
    """Name what is being done with a group.

    ``RETIRED``: its head can't serve any more, and its members are free.
    """

    FORMING = "forming"
    SERVING = "serving"
    ENDING = "ending"
    RETIRED = "retired"


class ManagedGroup(msgspec.Struct, kw_only=True, eq=False):
    """Hold the state of one group.

    Attributes
    ----------
    recorded : bool
        False where the store holds no record of the group.
    joined_by_id : dict of str to BackendServer
        Members that were seen ready under the group's name and epoch, as they were
        then: one that was started anew since is not a member any more.
    serving_since : float
        Monotonic time since when the head is known to serve.
    missing_since : dict of str to float
        Monotonic times since when members are missing from the list.
    suspected : bool
        True while some entry host sees all the group's streams stand still.
    silent_members : set of str
        Members that gave no answer to the order to join.
    decided_here : bool
        True where no other planner can have given orders for it.
    left_by_id : dict of str to BackendServer or None
        Members that answered, once the group was to end, that they have left it, each
        with its entry as it was then.
    left_at : float
        Monotonic time at which the first of them answered so.
    frees_members : bool
        True where a member that has left is free though the head is silent.
    joins_in_doubt_at : float
        Monotonic time of the last order to join that got no answer.
    """

    record: GroupRecord
    since: float
    phase: GroupPhase = GroupPhase.FORMING
    reason: str = ""
    recorded: bool = True
    joined_by_id: dict[str, BackendServer] = msgspec.field(default_factory=dict)
    serving_since: float = 0.0
    ending_since: float = 0.0
    missing_since: dict[str, float] = msgspec.field(default_factory=dict)
    suspected: bool = False
    probes: MemberProbes = msgspec.field(default_factory=MemberProbes)
    silent_members: set[str] = msgspec.field(default_factory=set)
    decided_here: bool = False
    left_by_id: dict[str, BackendServer | None] = msgspec.field(default_factory=dict)
    left_at: float = float("inf")
    frees_members: bool = False
    joins_in_doubt_at: float = float("-inf")
    ordered_at: dict[tuple[str, OrderKind], float] = msgspec.field(default_factory=dict)

    def has_join_in_doubt(self, *, now: float) -> bool:
        """Tell whether an order to join may yet be carried out, and take one back."""
        return now - self.joins_in_doubt_at < LATE_ORDERS

    def state_of(self, server: BackendServer) -> GroupState | None:
        """Return the state in which a member reports to be of this very group."""
        report = server.group
        if report is None or report.name != self.record.name:
            return None
        return report.state if report.epoch == self.record.epoch else None

    def due_order(
        self, kind: OrderKind, server_id: str, *, now: float, gently: bool = False
    ) -> list[GroupOrder]:
        """Return an order, unless the same was given a moment ago."""
        ordered_at = self.ordered_at.get((server_id, kind), float("-inf"))
        if now - ordered_at < ORDER_RETRY:
            return []
        self.ordered_at[server_id, kind] = now
        return [self.order(kind, server_id, gently=gently)]

    def due_probes(
        self, member_ids: tuple[str, ...], *, urgent: bool, now: float
    ) -> list[GroupOrder]:
        """Ask members that may be lost for a sign of life."""
        return [
            self.order(OrderKind.PROBE, server_id)
            for server_id in self.probes.due(member_ids, urgent=urgent, now=now)
        ]

    def order(
        self, kind: OrderKind, server_id: str, *, gently: bool = False
    ) -> GroupOrder:
        """Return an order to one member."""
        record = self.record
        addresses = {member.server_id: member.address for member in record.members}
        joined = self.joined_by_id.get(server_id)
        return GroupOrder(
            kind=kind,
            server_id=server_id,
            address=addresses[server_id],
            started_at=None if joined is None else joined.started_at,
            group=record.name,
            epoch=record.epoch,
            model=record.model,
            members=record.member_ids,
            gently=gently,
        )
