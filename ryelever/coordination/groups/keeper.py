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
from .kept_group import ORDER_RETRY, GroupPhase, KeptGroup
from .kept_groups import TAKEN_APART, KeptGroups
from .orders import GroupOrder, OrderKind, OrderOutcome
from .silent_heads import SilentHeads

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.directory import BackendServer, Directory

__all__ = ["GroupKeeper"]

#: Reasons to end a group which leave what runs in it time to end.
MEMBER_LEAVING = "member_leaving"
GENTLE_REASONS = frozenset({TAKEN_APART, MEMBER_LEAVING})

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


class GroupKeeper(KeptGroups):
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
        for kept in self.kept_by_name.values():
            if kept.phase in (GroupPhase.FORMING, GroupPhase.SERVING):
                self._judge(kept, now=now)
            if kept.phase is GroupPhase.SERVING:
                orders += self._serving(kept, now=now)
            if kept.phase is GroupPhase.FORMING:
                orders += self._forming(kept, now=now)
                # The list may still show servers that were lost while the store was
                # away, and an order may go unanswered and be carried out late: only
                # a probe tells the two apart.
                # While the list is silent, only members that are asked show that they
                # are ready, or open.
                asked = tuple(kept.silent_members)
                if self._list_is_stale():
                    asked = kept.record.member_ids
                orders += kept.due_probes(asked, urgent=True, now=now)
            elif kept.phase is GroupPhase.ENDING:
                orders += self._ending(kept, now=now)
        return orders

    def wants(self, order: GroupOrder) -> bool:
        """Tell whether an order that has not been sent yet is still to be sent."""
        if not order.group:
            return True
        kept = self.kept(order.group, order.epoch)
        if order.kind in (OrderKind.JOIN, OrderKind.OPEN):
            return kept is not None and kept.phase is GroupPhase.FORMING
        return kept is not None or order.kind is not OrderKind.PROBE

    def suspect(self, heads: set[str]) -> None:
        """Take the heads whose groups stand still, as any host sees them."""
        for kept in self.kept_by_name.values():
            kept.suspected = kept.record.head.server_id in heads

    def answered(self, order: GroupOrder, outcome: OrderOutcome, *, now: float) -> None:
        """Take the answer to an order."""
        if outcome not in (OrderOutcome.UNKNOWN, OrderOutcome.GONE):
            self._directory.heard_at_by_id[order.server_id] = now
            self._lost_by_id.pop(order.server_id, None)
        elif outcome is OrderOutcome.GONE:
            # Its entry stays until it lapses.  Chosen again before then, it would end
            # each group that it is to join, and tie its members up.
            self._lost_by_id[order.server_id] = now
        kept = self.kept(order.group, order.epoch)
        if kept is None:
            return
        if order.kind is OrderKind.PROBE:
            self._probed(kept, order.server_id, outcome, now=now)
            return
        if order.kind is OrderKind.OPEN and outcome is OrderOutcome.REFUSED:
            retry_at = now - ORDER_RETRY + OPEN_RETRY
            kept.ordered_at[order.server_id, OrderKind.OPEN] = retry_at
        elif order.kind is OrderKind.JOIN:
            if outcome in (OrderOutcome.OVERTAKEN, OrderOutcome.GONE):
                self._end(kept, f"join_{outcome.value}", now=now)
            elif outcome is OrderOutcome.UNKNOWN:
                kept.silent_members.add(order.server_id)
                kept.joins_in_doubt_at = now
                kept.frees_members = False
            else:
                kept.silent_members.discard(order.server_id)
        elif order.kind is OrderKind.LEAVE:
            # A refusal may have any reason; if the head is not in the group, its
            # entry shows so.
            has_left = outcome in (
                OrderOutcome.HOLDS,
                OrderOutcome.BEGUN,
                OrderOutcome.GONE,
            )
            if has_left and order.server_id == kept.record.head.server_id:
                self._retire(kept, f"leave_{outcome.value}")
            elif has_left:
                server = self._directory.by_id.get(order.server_id)
                kept.left_by_id[order.server_id] = server
                kept.left_at = min(kept.left_at, now)

    def end(self, name: str, reason: str, *, now: float) -> None:
        """End a group for a reason that lies outside it."""
        kept = self.kept_by_name.get(name)
        if kept is not None:
            self._end(kept, reason, now=now)

    # One group

    def _judge(self, kept: KeptGroup, *, now: float) -> None:
        """End a group that can't be whole any more."""
        for member in kept.record.members:
            server = self._directory.by_id.get(member.server_id)
            if server is None:
                kept.missing_since.setdefault(member.server_id, now)
                if self._is_gone(kept, member.server_id, now=now):
                    self._end(kept, "member_gone", now=now)
                    return
                continue
            kept.missing_since.pop(member.server_id, None)
            if server.draining:
                self._end(kept, MEMBER_LEAVING, now=now)
                return
            reason = self._lost_membership(kept, server, now=now)
            if reason:
                self._end(kept, reason, now=now)
                return
        if kept.phase is GroupPhase.FORMING:
            self._judge_forming(kept, now=now)

    def _lost_membership(
        self, kept: KeptGroup, server: BackendServer, *, now: float
    ) -> str:
        """Return why a server that is there is no member any more; empty if it is.

        A server that starts again under its id has left all groups, and its group
        stands still though each id is there and answers.  Its entry may show it in no
        group, or, where a late order to join was carried out since, in this very one.
        """
        state = kept.state_of(server)
        joined = kept.joined_by_id.get(server.id)
        if state is GroupState.BROKEN:
            return "broken"
        if joined is not None and not server.is_same_incarnation(joined):
            return "member_restarted"
        if state is None or state is GroupState.JOINING:
            if joined is not None and state is None:
                return "member_left"
            # A planner that begins after the loss never saw it ready; but when the
            # head opened all were.
            has_shown = now - kept.serving_since > MEMBERS_SHOWN
            serves = kept.phase is GroupPhase.SERVING
            if serves and has_shown and not self._list_is_stale():
                return "member_left"
            return ""
        kept.joined_by_id[server.id] = server
        return ""

    def _is_gone(self, kept: KeptGroup, server_id: str, *, now: float) -> bool:
        """Tell whether a member that the list doesn't show is no use to its group.

        It may be cut off from the store only, and the group goes on with it; then it
        answers when asked.  Not so the head: nothing may be sent to it any more.
        """
        known = server_id in kept.joined_by_id
        missing_for = now - kept.missing_since[server_id]
        if missing_for < (self._patience if known else ORDER_RETRY):
            return False
        is_head = server_id == kept.record.head.server_id
        return is_head or kept.phase is not GroupPhase.SERVING

    def _serving(self, kept: KeptGroup, *, now: float) -> list[GroupOrder]:
        """Return the probes of a group that serves."""
        if kept.suspected:
            return kept.due_probes(kept.record.member_ids, urgent=True, now=now)
        unseen = tuple(
            server_id
            for server_id, since in kept.missing_since.items()
            if now - since >= self._patience
        )
        return kept.due_probes(unseen, urgent=False, now=now)

    def _judge_forming(self, kept: KeptGroup, *, now: float) -> None:
        if now - kept.since > self.join_limit + FORMING_SLACK:
            self._end(kept, "not_formed_in_time", now=now)
            return
        head = self._directory.by_id.get(kept.record.head.server_id)
        if head is not None and kept.state_of(head) is GroupState.OPEN:
            kept.phase = GroupPhase.SERVING
            kept.serving_since = now
            self._log_phase(kept, took=round(now - kept.since, 2))

    def _forming(self, kept: KeptGroup, *, now: float) -> list[GroupOrder]:
        record = kept.record
        servers = [self._directory.by_id.get(item) for item in record.member_ids]
        if any(server is None for server in servers):
            return []
        states = [kept.state_of(server) for server in servers]
        if all(state is GroupState.READY for state in states):
            if record.warms_up:
                # It was never open, so its member is free at once.
                self._retire(kept, WARMED_UP)
                return []
            return kept.due_order(OrderKind.OPEN, record.head.server_id, now=now)
        orders = []
        held = self.taken(besides=record.name)
        for server, state in zip(servers, states, strict=True):
            is_held = server.id in held or self.is_back(server)
            if state is None and not is_held:
                orders += kept.due_order(OrderKind.JOIN, server.id, now=now)
        return orders

    def _ending(self, kept: KeptGroup, *, now: float) -> list[GroupOrder]:
        orders = self._head_leaves(kept, now=now)
        head_id = kept.record.head.server_id
        is_listed = head_id in self._directory.by_id
        is_silent = not is_listed or self.seems_lost(head_id, now=now)
        if kept.phase is GroupPhase.ENDING and is_silent:
            orders += self._silent_heads.survivors_leave(kept, now=now)
        return orders

    def _head_leaves(self, kept: KeptGroup, *, now: float) -> list[GroupOrder]:
        """Return the orders that end a group at its head, or see that it has ended."""
        head_id = kept.record.head.server_id
        head = self._directory.by_id.get(head_id)
        if head is None:
            if self._silent_heads.has_broken_off(kept, now=now):
                self._retire(kept, "head_silent")
                return []
            return kept.due_order(OrderKind.LEAVE, head_id, now=now)
        state = kept.state_of(head)
        if state is None or state is GroupState.BROKEN:
            self._retire(kept, "head_left" if state is None else "head_broken")
            return []
        gently = kept.reason in GENTLE_REASONS and state in (
            GroupState.OPEN,
            GroupState.CLOSING,
        )
        if gently and now - kept.ending_since < LAST_STREAMS:
            if state is GroupState.CLOSING:
                return []
            return kept.due_order(OrderKind.CLOSE, head_id, now=now, gently=True)
        return kept.due_order(OrderKind.LEAVE, head_id, now=now)

    def _probed(
        self, kept: KeptGroup, server_id: str, outcome: OrderOutcome, *, now: float
    ) -> None:
        if kept.phase not in (GroupPhase.FORMING, GroupPhase.SERVING):
            return
        if outcome is OrderOutcome.GONE:
            self._end(kept, "member_gone", now=now)
        elif outcome is OrderOutcome.APART and kept.phase is GroupPhase.SERVING:
            # It was started anew, or has left, and the list doesn't show so yet.
            self._end(kept, "member_left", now=now)
        elif outcome is not OrderOutcome.UNKNOWN:
            kept.probes.answered(server_id)
            kept.silent_members.discard(server_id)
        elif kept.probes.unanswered(server_id):
            self._lost_by_id[server_id] = now
            self._end(kept, "member_silent", now=now)

    def _settle_conflicts(self, *, now: float) -> None:
        """End one of two groups that share a member.

        The later record holds, unless the earlier group serves and nobody has joined
        the later one: then its append was carried out late, and the planner that
        asked for it is not the one that formed what serves now.
        """
        living = [
            kept
            for kept in self.kept_by_name.values()
            if kept.phase in (GroupPhase.FORMING, GroupPhase.SERVING)
        ]
        living.sort(key=lambda kept: kept.record.epoch)
        holder_by_member: dict[str, KeptGroup] = {}
        for kept in living:
            for member_id in kept.record.member_ids:
                earlier = holder_by_member.get(member_id)
                if earlier is None or earlier.phase is GroupPhase.ENDING:
                    holder_by_member[member_id] = kept
                elif earlier.phase is GroupPhase.SERVING and not self.has_any(kept):
                    self._end(kept, "late_record", now=now)
                    break
                else:
                    self._end(earlier, "superseded", now=now)
                    holder_by_member[member_id] = kept

    def _end(self, kept: KeptGroup, reason: str, *, now: float) -> None:
        if kept.phase in (GroupPhase.FORMING, GroupPhase.SERVING):
            kept.phase = GroupPhase.ENDING
            kept.reason = reason
            kept.ending_since = now
            self._log_phase(kept)

    def _retire(self, kept: KeptGroup, reason: str) -> None:
        if kept.phase is not GroupPhase.RETIRED:
            kept.phase = GroupPhase.RETIRED
            kept.reason = reason
            self.ended(kept)
            self._log_phase(kept)

    def _log_phase(self, kept: KeptGroup, **fields: object) -> None:
        self._log(
            "group_phase",
            group=kept.record.name,
            epoch=kept.record.epoch,
            model=kept.record.model,
            phase=kept.phase.value,
            reason=kept.reason,
            **fields,
        )
