"""Manage each group from its record to its end.

Two invariants hold.  A head is ordered to open only after every member was seen ready
under the group's name and epoch.  Members are free for another group only after the
head can't serve any more: it has left, is broken, or has been missing for longer than a
group can stall.  Servers may execute orders seconds late, twice or never, and another
planner may send orders at the same time, so no decision relies on the mere sending of
an order.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.directory import GroupState
from ..stream_silence import STREAM_SILENCE
from .managed_group import ORDER_RETRY, GroupPhase, ManagedGroup
from .managed_groups import DISBANDED, ManagedGroups
from .member_probes import MAX_PAUSE
from .orders import GroupOrder, OrderKind, OrderOutcome
from .silent_heads import SilentHeads

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.directory import BackendServer, Directory

__all__ = ["GroupManager"]

#: Reasons to end a group that give its running requests time to complete.
MEMBER_LEAVING = "member_leaving"
GRACEFUL_REASONS = frozenset({DISBANDED, MEMBER_LEAVING})

#: Reason to end a group that was formed only to load a model on its member.
WARMED_UP = "warmed_up"

#: Seconds after which an order to open that the head refused as too early is resent.
OPEN_RETRY = 0.3

#: Seconds that forming a group may take beyond the maximum time of a member to join.
FORMING_SLACK = 6.0

#: Seconds that running requests have to complete before the head leaves the group.  A
#: server announces its departure two seconds ahead, and a stream takes about 1.5 s.
CLOSE_GRACE = 1.6

#: Seconds for which a server that answered no probe, or whose process is gone, joins no
#: group.  The entry of a lost server expires before then; a server that was only
#: unreachable is usable again afterwards.
PRESUMED_LOST_FOR = 5.0

#: Seconds for which a head must have been seen to serve before the server list is
#: certain to show the members' states as of when the head opened.  Entries are written
#: at once and read within half a second, or within about two seconds of the store's
#: return after an outage.
MEMBERS_LISTED_AFTER = 3.0


class GroupManager(ManagedGroups):
    """Manage the groups of one availability zone.

    Parameters
    ----------
    stall_time : float
        Seconds for which a group that lost a member stalls before it is ``BROKEN``.
    max_join_time : float
        Maximum time in seconds that a member takes to join.
    max_missing_time : float
        Maximum time in seconds for which a member may be missing from the server list.
    list_is_stale : callable
        Return whether the server list has had no update for a while, as in an outage.
    log : callable
        Called with the event name and the fields of each log line.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        stall_time: float,
        max_join_time: float,
        max_missing_time: float,
        list_is_stale: Callable[[], bool],
        log: Callable[..., None],
    ) -> None:
        super().__init__(directory=directory)
        self._silent_heads = SilentHeads(
            directory=directory, groups=self, stall_time=stall_time
        )
        self._max_missing_time = max_missing_time
        self._list_is_stale = list_is_stale
        self.max_join_time = max_join_time
        self._log = log
        self._presumed_lost_at_by_id: dict[str, float] = {}

    # Availability of servers

    def is_presumed_lost(self, server_id: str, *, now: float) -> bool:
        """Return whether a server recently answered no probe or its process was gone.

        A server that has been listed again since then, or has a new incarnation in the
        list, is not presumed lost.
        """
        lost_at = self._presumed_lost_at_by_id.get(server_id)
        if lost_at is None or now - lost_at >= PRESUMED_LOST_FOR:
            return False
        return self._directory.listed_since_by_id.get(server_id, lost_at) <= lost_at

    # Orders

    def due_orders(self, *, now: float) -> list[GroupOrder]:
        """Update the phases of all groups and return the orders that are due."""
        self._resolve_conflicts(now=now)
        orders: list[GroupOrder] = []
        for managed in self.managed_by_name.values():
            if managed.phase in (GroupPhase.FORMING, GroupPhase.SERVING):
                self._check_members(managed, now=now)
            if managed.phase is GroupPhase.SERVING:
                orders += self._serving_orders(managed, now=now)
            if managed.phase is GroupPhase.FORMING:
                orders += self._forming_orders(managed, now=now)
                # A member that did not answer the order to join may have been lost
                # while the store was unavailable and still be listed, or may execute
                # the order late.  Only a probe can distinguish the two.
                # While the list is stale, members report that they are ready or open
                # only in answers to probes.
                probed_ids = tuple(managed.silent_members)
                if self._list_is_stale():
                    probed_ids = managed.record.member_ids
                orders += managed.due_probes(probed_ids, urgent=True, now=now)
            elif managed.phase is GroupPhase.ENDING:
                orders += self._ending_orders(managed, now=now)
        return orders

    def wants(self, order: GroupOrder) -> bool:
        """Return whether a queued order should still be sent."""
        if not order.group:
            return True
        managed = self.managed(order.group, order.epoch)
        if order.kind in (OrderKind.JOIN, OrderKind.OPEN):
            return managed is not None and managed.phase is GroupPhase.FORMING
        return managed is not None or order.kind is not OrderKind.PROBE

    def set_stalled_heads(self, heads: set[str]) -> None:
        """Mark the groups that some host sees stalled, given the ids of their heads."""
        for managed in self.managed_by_name.values():
            was_suspected = managed.suspected
            managed.suspected = managed.record.head.server_id in heads
            if not managed.suspected:
                managed.suspected_since = None
            elif not was_suspected:
                managed.probes.restart()

    def record_outcome(
        self, order: GroupOrder, outcome: OrderOutcome, *, now: float
    ) -> None:
        """Record the outcome of an order."""
        if outcome not in (
            OrderOutcome.UNKNOWN,
            OrderOutcome.SILENT,
            OrderOutcome.WRONG_INSTANCE,
        ):
            self._directory.last_seen_at_by_id[order.server_id] = now
            self._presumed_lost_at_by_id.pop(order.server_id, None)
        elif outcome is OrderOutcome.WRONG_INSTANCE:
            # The entry of the former incarnation stays listed until it expires.  Any
            # group formed with it before then would end at once, after occupying its
            # other members.
            self._presumed_lost_at_by_id[order.server_id] = now
        managed = self.managed(order.group, order.epoch)
        if managed is None:
            return
        if order.kind is OrderKind.PROBE:
            self._handle_probe_outcome(managed, order, outcome, now=now)
            return
        if order.kind is OrderKind.CLOSE and managed.closing_since is None:
            if outcome in (OrderOutcome.APPLIED, OrderOutcome.IN_PROGRESS):
                managed.closing_since = now
        elif order.kind is OrderKind.OPEN and outcome is OrderOutcome.REFUSED:
            retry_at = now - ORDER_RETRY + OPEN_RETRY
            managed.ordered_at[order.server_id, OrderKind.OPEN] = retry_at
        elif order.kind is OrderKind.JOIN:
            if outcome in (OrderOutcome.SUPERSEDED, OrderOutcome.WRONG_INSTANCE):
                self._start_ending(managed, f"join_{outcome.value}", now=now)
            elif outcome is OrderOutcome.UNKNOWN:
                managed.silent_members.add(order.server_id)
                managed.unresolved_join_at = now
                managed.left_members_are_free = False
            else:
                managed.silent_members.discard(order.server_id)
        elif order.kind is OrderKind.LEAVE:
            # A refusal doesn't show that the server has left.  If it is not in the
            # group, its list entry will show that.
            has_left = outcome in (
                OrderOutcome.APPLIED,
                OrderOutcome.IN_PROGRESS,
                OrderOutcome.WRONG_INSTANCE,
            )
            if has_left and order.server_id == managed.record.head.server_id:
                self._retire(managed, f"leave_{outcome.value}")
            elif has_left:
                server = self._directory.by_id.get(order.server_id)
                managed.left_entry_by_id[order.server_id] = server
                managed.first_left_at = min(managed.first_left_at, now)

    def end(self, name: str, reason: str, *, now: float) -> None:
        """Start to end a group for a reason other than the state of its members."""
        managed = self.managed_by_name.get(name)
        if managed is not None:
            self._start_ending(managed, reason, now=now)

    # One group

    def _check_members(self, managed: ManagedGroup, *, now: float) -> None:
        """End a group that can't be complete any more; else update a forming group."""
        for member in managed.record.members:
            server = self._directory.by_id.get(member.server_id)
            if server is None:
                managed.missing_since.setdefault(member.server_id, now)
                if self._is_lost_to_group(managed, member.server_id, now=now):
                    self._start_ending(managed, "member_gone", now=now)
                    return
                continue
            managed.missing_since.pop(member.server_id, None)
            if server.draining:
                self._start_ending(managed, MEMBER_LEAVING, now=now)
                return
            reason = self._membership_loss_reason(managed, server, now=now)
            if reason:
                self._start_ending(managed, reason, now=now)
                return
        if managed.phase is GroupPhase.FORMING:
            self._check_forming(managed, now=now)

    def _membership_loss_reason(
        self, managed: ManagedGroup, server: BackendServer, *, now: float
    ) -> str:
        """Return why a listed server is no longer a member; empty if it is one.

        A server that restarts under its id has left all groups, and its former group
        stalls although every member id is listed and answers.  The server's new entry
        shows no group, or this group if the server has executed a late order to join.
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
            # A planner that started after the loss has never seen this member ready,
            # but all members were ready when the head opened.
            are_listed = now - managed.serving_since > MEMBERS_LISTED_AFTER
            serves = managed.phase is GroupPhase.SERVING
            if serves and are_listed and not self._list_is_stale():
                return "member_left"
            return ""
        managed.joined_by_id[server.id] = server
        return ""

    def _is_lost_to_group(
        self, managed: ManagedGroup, server_id: str, *, now: float
    ) -> bool:
        """Return whether a member missing from the server list ends its group.

        A member whose connection to the store alone is cut remains part of a serving
        group and answers probes.  A missing head ends its group, because no request may
        be sent to the head any more.
        """
        known = server_id in managed.joined_by_id
        missing_for = now - managed.missing_since[server_id]
        if missing_for < (self._max_missing_time if known else ORDER_RETRY):
            return False
        is_head = server_id == managed.record.head.server_id
        return is_head or managed.phase is not GroupPhase.SERVING

    def _serving_orders(self, managed: ManagedGroup, *, now: float) -> list[GroupOrder]:
        """Return the probes that are due to the members of a serving group."""
        if managed.suspected:
            if managed.suspected_since is None:
                managed.suspected_since = now
            return managed.due_probes(managed.record.member_ids, urgent=True, now=now)
        missing_ids = tuple(
            server_id
            for server_id, since in managed.missing_since.items()
            if now - since >= self._max_missing_time
        )
        return managed.due_probes(missing_ids, urgent=False, now=now)

    def _check_forming(self, managed: ManagedGroup, *, now: float) -> None:
        if now - managed.since > self.max_join_time + FORMING_SLACK:
            self._start_ending(managed, "not_formed_in_time", now=now)
            return
        head = self._directory.by_id.get(managed.record.head.server_id)
        if head is not None and managed.state_of(head) is GroupState.OPEN:
            managed.phase = GroupPhase.SERVING
            managed.serving_since = now
            self._log_phase(managed, took=round(now - managed.since, 2))

    def _forming_orders(self, managed: ManagedGroup, *, now: float) -> list[GroupOrder]:
        record = managed.record
        servers = [self._directory.by_id.get(item) for item in record.member_ids]
        if any(server is None for server in servers):
            return []
        states = [managed.state_of(server) for server in servers]
        if all(state is GroupState.READY for state in states):
            if record.warms_up:
                # A warm-up group never opens, so its member is free at once.
                self._retire(managed, WARMED_UP)
                return []
            return managed.due_order(OrderKind.OPEN, record.head.server_id, now=now)
        orders = []
        occupied = self.occupied_ids(excluding=record.name)
        for server, state in zip(servers, states, strict=True):
            is_occupied = (
                server.id in occupied
                or self.heads_ended_group(server)
                or self.is_in_reopened_group(server)
            )
            if state is None and not is_occupied:
                orders += managed.due_order(OrderKind.JOIN, server.id, now=now)
        return orders

    def _ending_orders(self, managed: ManagedGroup, *, now: float) -> list[GroupOrder]:
        orders = self._head_leave_orders(managed, now=now)
        head_id = managed.record.head.server_id
        is_listed = head_id in self._directory.by_id
        is_silent = not is_listed or self.is_presumed_lost(head_id, now=now)
        if managed.phase is GroupPhase.ENDING and is_silent:
            orders += self._silent_heads.survivor_leave_orders(managed, now=now)
        return orders

    def _head_leave_orders(
        self, managed: ManagedGroup, *, now: float
    ) -> list[GroupOrder]:
        """Return the orders to the head of an ending group, or retire the group."""
        head_id = managed.record.head.server_id
        head = self._directory.by_id.get(head_id)
        if head is None:
            if self._silent_heads.can_no_longer_serve(managed, now=now):
                self._retire(managed, "head_silent")
                return []
            return managed.due_order(OrderKind.LEAVE, head_id, now=now)
        state = managed.state_of(head)
        if state is None or state is GroupState.BROKEN:
            self._retire(managed, "head_left" if state is None else "head_broken")
            return []
        is_graceful = managed.reason in GRACEFUL_REASONS and state in (
            GroupState.OPEN,
            GroupState.CLOSING,
        )
        if is_graceful and now - self._grace_begins(managed, now=now) < CLOSE_GRACE:
            if state is GroupState.CLOSING:
                return []
            return managed.due_order(
                OrderKind.CLOSE, head_id, now=now, waits_for_requests=True
            )
        return managed.due_order(OrderKind.LEAVE, head_id, now=now)

    def _grace_begins(self, managed: ManagedGroup, *, now: float) -> float:
        """Return from when on running requests have time to complete.

        A silent head takes the order to close when it goes on, and accepts requests
        until then.  A member that leaves remains while the head has work.
        """
        closing_since = now if managed.closing_since is None else managed.closing_since
        return min(closing_since, managed.ending_since + MAX_PAUSE)

    def _handle_probe_outcome(
        self,
        managed: ManagedGroup,
        order: GroupOrder,
        outcome: OrderOutcome,
        *,
        now: float,
    ) -> None:
        if managed.phase not in (GroupPhase.FORMING, GroupPhase.SERVING):
            return
        if outcome is OrderOutcome.WRONG_INSTANCE:
            self._start_ending(managed, "member_gone", now=now)
        elif (
            outcome is OrderOutcome.NOT_A_MEMBER and managed.phase is GroupPhase.SERVING
        ):
            # The member has restarted or left, and the list doesn't show it yet.
            self._start_ending(managed, "member_left", now=now)
        elif outcome not in (OrderOutcome.UNKNOWN, OrderOutcome.SILENT):
            managed.probes.record_answer(order.server_id, now=now)
            managed.silent_members.discard(order.server_id)
        elif managed.may_have_lost(order.server_id) and self._is_lost_by_probe(
            managed, order, outcome
        ):
            self._presumed_lost_at_by_id[order.server_id] = now
            self._start_ending(managed, "member_silent", now=now)

    def _is_lost_by_probe(
        self, managed: ManagedGroup, order: GroupOrder, outcome: OrderOutcome
    ) -> bool:
        """Record a probe without an answer; return whether the member is lost.

        A silent member of a serving group may be paused and continue its streams.  A
        forming group has none, so it doesn't wait for the end of the pause.
        """
        server_id = order.server_id
        is_forming = managed.phase is GroupPhase.FORMING
        if outcome is not OrderOutcome.SILENT or is_forming:
            return managed.probes.record_timeout(server_id)
        suspected_since = order.decided_at
        others = [item for item in managed.record.member_ids if item != server_id]
        # The stall tells since when one member is silent, but not which one.
        if managed.suspected_since is not None and managed.probes.all_answered_since(
            others, managed.suspected_since
        ):
            suspected_since = managed.suspected_since - STREAM_SILENCE
        if server_id in managed.missing_since:
            # The entry expired seconds after it was last renewed.
            last_seen_at = self._directory.last_seen_at_by_id.get(server_id)
            if last_seen_at is not None:
                suspected_since = min(suspected_since, last_seen_at)
        return managed.probes.record_silence(
            server_id, probed_at=order.decided_at, suspected_since=suspected_since
        )

    def _resolve_conflicts(self, *, now: float) -> None:
        """End one of any two groups that share a member.

        The group with the later record remains, unless the earlier group serves and no
        server has joined the later one.  In that case the append of the later record
        was executed late, for a planner other than the one that formed the serving
        group.
        """
        active = [
            managed
            for managed in self.managed_by_name.values()
            if managed.phase in (GroupPhase.FORMING, GroupPhase.SERVING)
        ]
        active.sort(key=lambda managed: managed.record.epoch)
        group_by_member: dict[str, ManagedGroup] = {}
        for managed in active:
            for member_id in managed.record.member_ids:
                earlier = group_by_member.get(member_id)
                if earlier is None or earlier.phase is GroupPhase.ENDING:
                    group_by_member[member_id] = managed
                elif (
                    earlier.phase is GroupPhase.SERVING
                    and not self.has_reporting_member(managed)
                ):
                    self._start_ending(managed, "late_record", now=now)
                    break
                else:
                    self._start_ending(earlier, "superseded", now=now)
                    group_by_member[member_id] = managed

    def _start_ending(self, managed: ManagedGroup, reason: str, *, now: float) -> None:
        if managed.phase in (GroupPhase.FORMING, GroupPhase.SERVING):
            managed.phase = GroupPhase.ENDING
            managed.reason = reason
            managed.ending_since = now
            self._log_phase(managed)

    def _retire(self, managed: ManagedGroup, reason: str) -> None:
        if managed.phase is not GroupPhase.RETIRED:
            managed.phase = GroupPhase.RETIRED
            managed.reason = reason
            self.record_end(managed)
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
