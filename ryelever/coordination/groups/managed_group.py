"""Track the state of one replica group and the orders that were sent for it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from .member_probes import MemberProbes
from .orders import GroupOrder, OrderKind

if TYPE_CHECKING:
    from ...state.directory import BackendServer, GroupState
    from .records import GroupRecord

__all__ = [
    "MAX_ORDER_DELAY",
    "ORDER_RETRY",
    "GroupPhase",
    "ManagedGroup",
]

#: Seconds after which an order without a visible effect is sent again.  The list of
#: backend servers shows an effect within half a second.
ORDER_RETRY = 1.0

#: Seconds after which a server no longer executes an order that got no answer.
MAX_ORDER_DELAY = 15.0


class GroupPhase(enum.Enum):
    """Enumerate the phases of a group's life.

    ``RETIRED``: the group's head can't serve any more, and its members are free.
    """

    FORMING = "forming"
    SERVING = "serving"
    ENDING = "ending"
    RETIRED = "retired"


class ManagedGroup(msgspec.Struct, kw_only=True, eq=False):
    """The state of one group, as its planner knows it; times are monotonic.

    Attributes
    ----------
    since : float
        Time at which this planner began to manage the group.
    recorded : bool
        False if the store holds no record of the group.
    joined_by_id : dict of str to BackendServer
        Entries of the members that were last seen ready under the group's name and
        epoch.  A member that has restarted since then is no longer a member.
    serving_since : float
        Time since which the head is known to serve.
    ending_since : float
        Time at which the group began to end.
    closing_since : float or None
        Time at which the head took the order to close; None if that is not known.
    missing_since : dict of str to float
        Times since which members are missing from the server list.
    suspected : bool
        True while an entry host sees all streams of the group stalled.
    suspected_since : float or None
        Time since which that is known, None if it isn't the case.
    silent_members : set of str
        Ids of members that did not answer the order to join.
    decided_here : bool
        True if no other planner can have sent orders for the group.
    left_entry_by_id : dict of str to BackendServer or None
        Server list entries of the members that confirmed their departure from the
        ending group, as of that confirmation.
    first_left_at : float
        Time of the first such confirmation.
    left_members_are_free : bool
        True if members that have left are free although the head is silent.
    unresolved_join_at : float
        Time at which an order to join last failed to get an answer.
    ordered_at : dict of tuple to float
        Times of the last orders, by server id and kind.
    """

    record: GroupRecord
    since: float
    phase: GroupPhase = GroupPhase.FORMING
    reason: str = ""
    recorded: bool = True
    joined_by_id: dict[str, BackendServer] = msgspec.field(default_factory=dict)
    serving_since: float = 0.0
    ending_since: float = 0.0
    closing_since: float | None = None
    missing_since: dict[str, float] = msgspec.field(default_factory=dict)
    suspected: bool = False
    suspected_since: float | None = None
    probes: MemberProbes = msgspec.field(default_factory=MemberProbes)
    silent_members: set[str] = msgspec.field(default_factory=set)
    decided_here: bool = False
    left_entry_by_id: dict[str, BackendServer | None] = msgspec.field(
        default_factory=dict
    )
    first_left_at: float = float("inf")
    left_members_are_free: bool = False
    unresolved_join_at: float = float("-inf")
    ordered_at: dict[tuple[str, OrderKind], float] = msgspec.field(default_factory=dict)

    def has_unresolved_join(self, *, now: float) -> bool:
        """Return whether a member may still execute an unanswered order to join.

        Such an order brings a member that has left back into the group.
        """
        return now - self.unresolved_join_at < MAX_ORDER_DELAY

    def may_have_lost(self, server_id: str) -> bool:
        """Return whether there is a reason, beside a silent probe, to miss a member.

        A serving group whose streams have progressed since the probe was sent is whole.
        """
        return (
            self.phase is GroupPhase.FORMING
            or self.suspected
            or server_id in self.missing_since
        )

    def state_of(self, server: BackendServer) -> GroupState | None:
        """Return a server's state in this group, None if it reports another or none."""
        report = server.group
        if report is None or report.name != self.record.name:
            return None
        return report.state if report.epoch == self.record.epoch else None

    def due_order(
        self,
        kind: OrderKind,
        server_id: str,
        *,
        now: float,
        waits_for_requests: bool = False,
    ) -> list[GroupOrder]:
        """Return a list of one order, empty if sent within ``ORDER_RETRY`` seconds."""
        ordered_at = self.ordered_at.get((server_id, kind), float("-inf"))
        if now - ordered_at < ORDER_RETRY:
            return []
        self.ordered_at[server_id, kind] = now
        return [self.order(kind, server_id, waits_for_requests=waits_for_requests)]

    def due_probes(
        self, member_ids: tuple[str, ...], *, urgent: bool, now: float
    ) -> list[GroupOrder]:
        """Return the probes that are due to members that may be lost."""
        return [
            replace(self.order(OrderKind.PROBE, server_id), decided_at=now)
            for server_id in self.probes.due(member_ids, urgent=urgent, now=now)
        ]

    def order(
        self, kind: OrderKind, server_id: str, *, waits_for_requests: bool = False
    ) -> GroupOrder:
        """Create an order to one member."""
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
            waits_for_requests=waits_for_requests,
        )
