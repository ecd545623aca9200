"""Take each group from its record to its end, without ever breaking two promises.

A head is told to open only after every member was seen ready under the group's name
and epoch.  Members are free for another group only after the head can't serve any
more: it has left, is broken, or is gone for longer than a group stands still.  Orders
may be carried out seconds late, twice or never, and another planner may give some at
the same time, so nothing rests on an order that was merely sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.directory import GroupState
from .managed_group import ORDER_RETRY, GroupPhase, ManagedGroup
from .managed_groups import DISBANDED, ManagedGroups
from .orders import GroupOrder, OrderKind, OrderOutcome
from .silent_heads import SilentHeads

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.directory import BackendServer, Directory

__all__ = ["GroupManager"]

#: Reasons to end a group which leave what runs in it time to end.
MEMBER_LEAVING = "member_leaving"
GENTLE_REASONS = frozenset({DISBANDED, MEMBER_LEAVING})

#: Reason to end a group that was formed only so that its member holds the model.
WARMED_UP = "warmed_up"

#: Seconds after which an open order that came too early is given again.
OPEN_RETRY = 0.3

#: Seconds that forming may take beyond the members' own time to join.
FORMING_SLACK = 6.0

#: Seconds for what runs in a group to end before its head leaves it.  A member that
#: leaves announces it two seconds before its end, and a stream takes about 1.5 s.
LAST_STREAMS = 1.6

#: Seconds for which a member that answered no probe, or is gone, is given to no group.
#: If it is lost, its entry lapses before then; if it was only cut off, it is of use
#: again.
LOST_FOR = 5.0

#: Seconds after a head was seen to serve within which the list shows each member as
#: it was when the head opened: entries are written at once and read within half a
#: second, and within about two seconds of the store's return after an outage.
MEMBERS_SHOWN = 3.0


class GroupManager(ManagedGroups):
    """Keep the groups of one availability zone.

    Parameters
    ----------
    stall_time : float
        Seconds for which a group stands still when a member is lost.
    join_limit : float
        Longest time in seconds that a member takes to join.
    patience : float
        Seconds for which a member may be missing from the list.
    list_is_stale : callable
        Tell whether the list has shown nothing for a while, as in an outage.
    log : callable
        Take one line about a decision: its name and its fields.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        stall_time: float,
        join_limit: float,
        patience: float,
        list_is_stale: Callable[[], bool],
        log: Callable[..., None],
    ) -> None:
        super().__init__(directory=directory)
        self._silent_heads = SilentHeads(
            directory=directory, groups=self, stall_time=stall_time
        )
        self._patience = patience
        self._list_is_stale = list_is_stale
        self.join_limit = join_limit
        self._log = log
        self._lost_by_id: dict[str, float] = {}

    # What is there

    def seems_lost(self, server_id: str, *, now: float) -> bool:
        """Tell whether a server answered no probe a short while ago, or was gone.

        One that has come into the list since then, or was started anew, is there.
        """
        lost_at = self._lost_by_id.get(server_id)
        if lost_at is None or now - lost_at >= LOST_FOR:
            return False
        return self._directory.listed_since_by_id.get(server_id, lost_at) <= lost_at

    # Orders

    def look(self, *, now: float) -> list[GroupOrder]:
        """Return the orders that are due."""
        self._settle_conflicts(now=now)
        orders: list[GroupOrder] = []
        for managed in self.managed_by_name.values():
            if managed.phase in (GroupPhase.FORMING, GroupPhase.SERVING):
                self._judge(managed, now=now)
            if managed.phase is GroupPhase.SERVING:
                orders += self._serving(managed, now=now)
            if managed.phase is GroupPhase.FORMING:
                orders += self._forming(managed, now=now)
                # The list may still show servers that were lost while the store was
                # away, and an order may go unanswered and be carried out late: only
                # a probe tells the two apart.
                # While the list is silent, only members that are asked show that they
                # are ready, or open.
                asked = tuple(managed.silent_members)
                if self._list_is_stale():
                    asked = managed.record.member_ids
                orders += managed.due_probes(asked, urgent=True, now=now)
            elif managed.phase is GroupPhase.ENDING:
                orders += self._ending(managed, now=now)
        return orders

    def wants(self, order: GroupOrder) -> bool:
        """Tell whether an order that has not been sent yet is still to be sent."""
        if not order.group:
            return True
        managed = self.managed(order.group, order.epoch)
        if order.kind in (OrderKind.JOIN, OrderKind.OPEN):
            return managed is not None and managed.phase is GroupPhase.FORMING
        return managed is not None or order.kind is not OrderKind.PROBE

    def suspect(self, heads: set[str]) -> None:
        """Take the heads whose groups stand still, as any host sees them."""
        for managed in self.managed_by_name.values():
            managed.suspected = managed.record.head.server_id in heads

    def answered(self, order: GroupOrder, outcome: OrderOutcome, *, now: float) -> None:
        """Take the answer to an order."""
        if outcome not in (OrderOutcome.UNKNOWN, OrderOutcome.WRONG_INSTANCE):
            self._directory.last_seen_at_by_id[order.server_id] = now
            self._lost_by_id.pop(order.server_id, None)
        elif outcome is OrderOutcome.WRONG_INSTANCE:
            # Its entry stays until it lapses.  Chosen again before then, it would end
            # each group that it is to join, and tie its members up.
            self._lost_by_id[order.server_id] = now
        managed = self.managed(order.group, order.epoch)
        if managed is None:
            return
        if order.kind is OrderKind.PROBE:
            self._probed(managed, order.server_id, outcome, now=now)
            return
        if order.kind is OrderKind.OPEN and outcome is OrderOutcome.REFUSED:
            retry_at = now - ORDER_RETRY + OPEN_RETRY
            managed.ordered_at[order.server_id, OrderKind.OPEN] = retry_at
        elif order.kind is OrderKind.JOIN:
            if outcome in (OrderOutcome.SUPERSEDED, OrderOutcome.WRONG_INSTANCE):
                self._end(managed, f"join_{outcome.value}", now=now)
            elif outcome is OrderOutcome.UNKNOWN:
                managed.silent_members.add(order.server_id)
                managed.joins_in_doubt_at = now
                managed.frees_members = False
            else:
                managed.silent_members.discard(order.server_id)
        elif order.kind is OrderKind.LEAVE:
            # A refusal may have any reason; if the head is not in the group, its
            # entry shows so.
            has_left = outcome in (
                OrderOutcome.APPLIED,
                OrderOutcome.IN_PROGRESS,
                OrderOutcome.WRONG_INSTANCE,
            )
            if has_left and order.server_id == managed.record.head.server_id:
                self._retire(managed, f"leave_{outcome.value}")
            elif has_left:
                server = self._directory.by_id.get(order.server_id)
                managed.left_by_id[order.server_id] = server
                managed.left_at = min(managed.left_at, now)

    def end(self, name: str, reason: str, *, now: float) -> None:
        """End a group for a reason that lies outside it."""
        managed = self.managed_by_name.get(name)
        if managed is not None:
            self._end(managed, reason, now=now)

    # One group

    def _judge(self, managed: ManagedGroup, *, now: float) -> None:
        """End a group that can't be whole any more."""
        for member in managed.record.members:
            server = self._directory.by_id.get(member.server_id)
            if server is None:
                managed.missing_since.setdefault(member.server_id, now)
                if self._is_gone(managed, member.server_id, now=now):
                    self._end(managed, "member_gone", now=now)
                    return
                continue
            managed.missing_since.pop(member.server_id, None)
            if server.draining:
                self._end(managed, MEMBER_LEAVING, now=now)
                return
            reason = self._lost_membership(managed, server, now=now)
            if reason:
                self._end(managed, reason, now=now)
                return
        if managed.phase is GroupPhase.FORMING:
            self._judge_forming(managed, now=now)

    def _lost_membership(
        self, managed: ManagedGroup, server: BackendServer, *, now: float
    ) -> str:
        """Return why a server that is there is no member any more; empty if it is.

        A server that starts again under its id has left all groups, and its group
        stands still though each id is there and answers.  Its entry may show it in no
        group, or, where a late order to join was carried out since, in this very one.
        """
        state = managed.state_of(server)
        joined = managed.joined_by_id.get(server.id)
        if state is GroupState.BROKEN:
            return "broken"
        if joined is not None and not server.is_same_incarnation(joined):
            return "member_restarted"
        if state is None or state is GroupState.JOINING:
            if joined is not None and state is None:
                return "member_left"
            # A planner that begins after the loss never saw it ready; but when the
            # head opened all were.
            has_shown = now - managed.serving_since > MEMBERS_SHOWN
            serves = managed.phase is GroupPhase.SERVING
            if serves and has_shown and not self._list_is_stale():
                return "member_left"
            return ""
        managed.joined_by_id[server.id] = server
        return ""

    def _is_gone(self, managed: ManagedGroup, server_id: str, *, now: float) -> bool:
        """Tell whether a member that the list doesn't show is no use to its group.

        It may be cut off from the store only, and the group goes on with it; then it
        answers when asked.  Not so the head: nothing may be sent to it any more.
        """
        known = server_id in managed.joined_by_id
        missing_for = now - managed.missing_since[server_id]
        if missing_for < (self._patience if known else ORDER_RETRY):
            return False
        is_head = server_id == managed.record.head.server_id
        return is_head or managed.phase is not GroupPhase.SERVING

    def _serving(self, managed: ManagedGroup, *, now: float) -> list[GroupOrder]:
        """Return the probes of a group that serves."""
        if managed.suspected:
            return managed.due_probes(managed.record.member_ids, urgent=True, now=now)
        unseen = tuple(
            server_id
            for server_id, since in managed.missing_since.items()
            if now - since >= self._patience
        )
        return managed.due_probes(unseen, urgent=False, now=now)

    def _judge_forming(self, managed: ManagedGroup, *, now: float) -> None:
        if now - managed.since > self.join_limit + FORMING_SLACK:
            self._end(managed, "not_formed_in_time", now=now)
            return
        head = self._directory.by_id.get(managed.record.head.server_id)
        if head is not None and managed.state_of(head) is GroupState.OPEN:
            managed.phase = GroupPhase.SERVING
            managed.serving_since = now
            self._log_phase(managed, took=round(now - managed.since, 2))

    def _forming(self, managed: ManagedGroup, *, now: float) -> list[GroupOrder]:
        record = managed.record
        servers = [self._directory.by_id.get(item) for item in record.member_ids]
        if any(server is None for server in servers):
            return []
        states = [managed.state_of(server) for server in servers]
        if all(state is GroupState.READY for state in states):
            if record.warms_up:
                # It was never open, so its member is free at once.
                self._retire(managed, WARMED_UP)
                return []
            return managed.due_order(OrderKind.OPEN, record.head.server_id, now=now)
        orders = []
        held = self.taken(besides=record.name)
        for server, state in zip(servers, states, strict=True):
            is_held = server.id in held or self.is_back(server)
            if state is None and not is_held:
                orders += managed.due_order(OrderKind.JOIN, server.id, now=now)
        return orders

    def _ending(self, managed: ManagedGroup, *, now: float) -> list[GroupOrder]:
        orders = self._head_leaves(managed, now=now)
        head_id = managed.record.head.server_id
        is_listed = head_id in self._directory.by_id
        is_silent = not is_listed or self.seems_lost(head_id, now=now)
        if managed.phase is GroupPhase.ENDING and is_silent:
            orders += self._silent_heads.survivors_leave(managed, now=now)
        return orders

    def _head_leaves(self, managed: ManagedGroup, *, now: float) -> list[GroupOrder]:
        """Return the orders that end a group at its head, or see that it has ended."""
        head_id = managed.record.head.server_id
        head = self._directory.by_id.get(head_id)
        if head is None:
            if self._silent_heads.has_broken_off(managed, now=now):
                self._retire(managed, "head_silent")
                return []
            return managed.due_order(OrderKind.LEAVE, head_id, now=now)
        state = managed.state_of(head)
        if state is None or state is GroupState.BROKEN:
            self._retire(managed, "head_left" if state is None else "head_broken")
            return []
        gently = managed.reason in GENTLE_REASONS and state in (
            GroupState.OPEN,
            GroupState.CLOSING,
        )
        if gently and now - managed.ending_since < LAST_STREAMS:
            if state is GroupState.CLOSING:
                return []
            return managed.due_order(OrderKind.CLOSE, head_id, now=now, gently=True)
        return managed.due_order(OrderKind.LEAVE, head_id, now=now)

    def _probed(
        self,
        managed: ManagedGroup,
        server_id: str,
        outcome: OrderOutcome,
        *,
        now: float,
    ) -> None:
        if managed.phase not in (GroupPhase.FORMING, GroupPhase.SERVING):
            return
        if outcome is OrderOutcome.WRONG_INSTANCE:
            self._end(managed, "member_gone", now=now)
        elif (
            outcome is OrderOutcome.NOT_A_MEMBER and managed.phase is GroupPhase.SERVING
        ):
            # It was started anew, or has left, and the list doesn't show so yet.
            self._end(managed, "member_left", now=now)
        elif outcome is not OrderOutcome.UNKNOWN:
            managed.probes.answered(server_id)
            managed.silent_members.discard(server_id)
        elif managed.probes.unanswered(server_id):
            self._lost_by_id[server_id] = now
            self._end(managed, "member_silent", now=now)

    def _settle_conflicts(self, *, now: float) -> None:
        """End one of two groups that share a member.

        The later record holds, unless the earlier group serves and nobody has joined
        the later one: then its append was carried out late, and the planner that
        asked for it is not the one that formed what serves now.
        """
        living = [
            managed
            for managed in self.managed_by_name.values()
            if managed.phase in (GroupPhase.FORMING, GroupPhase.SERVING)
        ]
        living.sort(key=lambda managed: managed.record.epoch)
        holder_by_member: dict[str, ManagedGroup] = {}
        for managed in living:
            for member_id in managed.record.member_ids:
                earlier = holder_by_member.get(member_id)
                if earlier is None or earlier.phase is GroupPhase.ENDING:
                    holder_by_member[member_id] = managed
                elif earlier.phase is GroupPhase.SERVING and not self.has_any(managed):
                    self._end(managed, "late_record", now=now)
                    break
                else:
                    self._end(earlier, "superseded", now=now)
                    holder_by_member[member_id] = managed

    def _end(self, managed: ManagedGroup, reason: str, *, now: float) -> None:
        if managed.phase in (GroupPhase.FORMING, GroupPhase.SERVING):
            managed.phase = GroupPhase.ENDING
            managed.reason = reason
            managed.ending_since = now
            self._log_phase(managed)

    def _retire(self, managed: ManagedGroup, reason: str) -> None:
        if managed.phase is not GroupPhase.RETIRED:
            managed.phase = GroupPhase.RETIRED
            managed.reason = reason
            self.ended(managed)
            self._log_phase(managed)

    def _log_phase(self, managed: ManagedGroup, **fields: object) -> None:
        self._log(
            "group_phase",
            group=managed.record.name,
            epoch=managed.record.epoch,
            model=managed.record.model,
            phase=managed.phase.value,
            reason=managed.reason,
            **fields,
        )
