"""Test how groups are formed, opened and ended with late and unanswered orders."""

from __future__ import annotations

import pytest

from ryelever.coordination.groups.managed_group import ORDER_RETRY, GroupPhase
from ryelever.coordination.groups.managed_groups import DISBANDED
from ryelever.coordination.groups.manager import (
    CLOSE_GRACE,
    MEMBERS_LISTED_AFTER,
)
from ryelever.coordination.groups.member_probes import UNLISTED_PROBE_INTERVAL
from ryelever.coordination.groups.orders import OrderKind, OrderOutcome
from ryelever.coordination.groups.silent_heads import STALL_SLACK
from ryelever.state.directory import GroupState

from .group_fakes import STALL_TIME, Members, record

JOIN, OPEN, LEAVE, CLOSE, PROBE = (
    OrderKind.JOIN,
    OrderKind.OPEN,
    OrderKind.LEAVE,
    OrderKind.CLOSE,
    OrderKind.PROBE,
)

GROUP = record(5, "a", "b", "c")


@pytest.fixture
def members() -> Members:
    return Members("a", "b", "c", "d")


def test_group_opens_once_all_members_are_ready(members: Members) -> None:
    members.manager.put(GROUP, now=0.0)
    assert members.due(0.0) == [(JOIN, "a"), (JOIN, "b"), (JOIN, "c")]
    members.report(GROUP, GroupState.READY, "a", "b")
    members.report(GROUP, GroupState.JOINING, "c")
    assert members.due(0.5) == []
    members.report(GROUP, GroupState.READY, "c")
    assert members.due(0.6) == [(OPEN, "a")]
    assert members.due(0.7) == []
    members.report(GROUP, GroupState.OPEN, "a")
    members.due(0.9)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.SERVING


def test_join_without_effect_is_resent(members: Members) -> None:
    members.manager.put(GROUP, now=0.0)
    orders = members.orders(0.0)
    members.answer(orders, OrderOutcome.UNKNOWN, now=0.5)
    members.report(GROUP, GroupState.READY, "a", "b")
    assert (JOIN, "c") not in members.due(0.9)
    assert [order for order in members.due(ORDER_RETRY) if order[0] is JOIN] == [
        (JOIN, "c")
    ]


def test_ready_under_another_epoch_does_not_count(members: Members) -> None:
    """Guard against a request that runs in a group with a member that is not ready.

    A member executes an order to join late, after its group was formed again under a
    higher epoch.  Its state alone doesn't show which of the two groups it joined.
    """
    earlier = record(4, "a", "b", "c")
    members.manager.put(GROUP, now=0.0)
    members.report(GROUP, GroupState.READY, "a", "b")
    members.report(earlier, GroupState.READY, "c")
    assert members.due(0.0) == [(JOIN, "c")]


def test_refused_open_order_is_resent_soon(
    members: Members,
) -> None:
    members.manager.put(GROUP, now=0.0)
    members.report(GROUP, GroupState.READY, "a", "b", "c")
    orders = members.orders(0.0)
    members.answer(orders, OrderOutcome.REFUSED, now=0.0)
    assert members.due(0.2) == []
    assert members.due(0.31) == [(OPEN, "a")]


@pytest.mark.parametrize(
    "outcome", [OrderOutcome.SUPERSEDED, OrderOutcome.WRONG_INSTANCE]
)
def test_impossible_join_ends_the_group(
    members: Members, outcome: OrderOutcome
) -> None:
    members.manager.put(GROUP, now=0.0)
    orders = members.orders(0.0)
    members.answer(orders[:1], outcome, now=0.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.ENDING


def test_members_are_free_only_after_the_head_has_left(members: Members) -> None:
    """Guard against a server that joins a group while its former head is open.

    After the loss of a member, the order to the head to leave gets no answer, or the
    head answers that it can't execute the order now.  Having sent the order doesn't
    show that the head has left.
    """
    members.serve(GROUP)
    members.lose("c", last_seen_at=0.0)
    members.answer(members.orders(2.9), OrderOutcome.WRONG_INSTANCE, now=2.9)
    orders = members.orders(3.0)
    assert [(order.kind, order.server_id) for order in orders] == [(LEAVE, "a")]
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    members.answer(orders, OrderOutcome.UNKNOWN, now=3.5)
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    orders = members.orders(3.0 + ORDER_RETRY)
    members.answer(orders, OrderOutcome.IN_PROGRESS, now=4.1)
    assert members.manager.occupied_ids() == set()


@pytest.mark.parametrize("state", [GroupState.READY, GroupState.OPEN])
def test_members_wait_for_the_head_of_a_group_opened_again(
    members: Members, state: GroupState
) -> None:
    """Guard against a server that joins a group while its former head is open.

    The head has restarted and its group is ended here, but another planner has ordered
    the head to join that group again.
    """
    members.serve(GROUP)
    members.restart("a", started_at=2)
    members.due(1.0)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED
    members.report(GROUP, state, "a")
    later = record(9, "b", "c", "d")
    members.manager.put(later, now=1.5, decided_here=True)
    assert members.due(1.5) == [(JOIN, "d")]
    members.leave("a")
    assert members.due(1.6) == [(JOIN, "b"), (JOIN, "c")]


def test_listed_departure_of_the_head_frees_its_members(members: Members) -> None:
    members.serve(GROUP)
    members.lose("c", last_seen_at=0.0)
    members.due(3.0)
    members.leave("a")
    members.due(3.2)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_a_broken_group_is_retired_without_an_order(members: Members) -> None:
    members.serve(GROUP)
    members.report(GROUP, GroupState.BROKEN, "a")
    assert members.due(1.0) == []
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_members_of_a_silent_head_are_held_until_the_group_is_broken(
    members: Members,
) -> None:
    members.serve(GROUP)
    members.lose("a", last_seen_at=10.0)
    orders = members.orders(13.0)
    sent_orders = [(order.kind, order.server_id) for order in orders]
    assert sent_orders == [(LEAVE, "a"), (LEAVE, "b"), (LEAVE, "c")]
    members.answer(orders[1:2], OrderOutcome.APPLIED, now=13.0)
    members.due(10.0 + STALL_TIME)
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    # If the head still runs and reaches "c", the group may be complete.
    members.due(10.1 + STALL_TIME + STALL_SLACK)
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    members.answer(orders[2:], OrderOutcome.APPLIED, now=17.0)
    members.due(17.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_survivors_that_have_left_are_free_before_the_head(members: Members) -> None:
    """Guard against members that stay idle for five seconds after their head is lost.

    The members must not wait for the time after which the head's group would be broken,
    because they can leave the group on their own.
    """
    members.manager.put(GROUP, now=0.0, decided_here=True)
    members.serve(GROUP)
    members.lose("a", last_seen_at=10.0)
    orders = members.orders(13.0)
    members.answer(orders[1:], OrderOutcome.APPLIED, now=13.0)
    assert members.manager.occupied_ids() == {"a"}


def test_members_with_an_unresolved_join_are_held_until_the_group_is_broken(
    members: Members,
) -> None:
    """Guard against a server that is in two groups, one of which serves.

    An unanswered order to join is sent again and the group serves.  Then the head is
    cut off, a member leaves and joins another group, and the member executes the first
    order to join after all.  The departure of a member is not always final.
    """
    members.manager.put(GROUP, now=0.0, decided_here=True)
    joins = members.orders(0.0)
    members.answer(joins, OrderOutcome.UNKNOWN, now=0.5)
    members.serve(GROUP, now=1.0)
    members.lose("a", last_seen_at=2.0)
    orders = members.orders(5.0)
    members.answer(orders[1:], OrderOutcome.APPLIED, now=5.0)
    for now in (5.1, 9.0, 4.9 + STALL_TIME + STALL_SLACK):
        members.due(now)
        assert members.manager.occupied_ids() == {"a", "b", "c"}
    members.due(5.1 + STALL_TIME + STALL_SLACK)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_unreachable_survivor_does_not_delay_others(members: Members) -> None:
    """Guard against members that stay idle while another member is unreachable.

    A head is lost, and a new planner orders the members to leave, but reaches only one.
    That member's departure is enough: the group makes no progress from then on and is
    broken after the stall time.
    """
    members.serve(GROUP)
    members.lose("a", last_seen_at=10.0)
    orders = members.orders(13.0)
    members.answer(orders[1:2], OrderOutcome.APPLIED, now=13.0)
    members.due(12.9 + STALL_TIME + STALL_SLACK)
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    members.due(13.1 + STALL_TIME + STALL_SLACK)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_a_head_that_answers_is_not_silent(members: Members) -> None:
    members.serve(GROUP)
    members.lose("a", last_seen_at=10.0)
    orders = members.orders(13.0)
    # The head is cut off from the store only, and refuses with an unknown status.
    members.manager.record_outcome(orders[0], OrderOutcome.UNKNOWN, now=13.1)
    probe = members.manager.managed_by_name[GROUP.name].order(PROBE, "a")
    members.manager.record_outcome(probe, OrderOutcome.APPLIED, now=16.0)
    members.due(18.0)
    assert members.manager.occupied_ids() == {"a", "b", "c"}


def test_group_in_a_partitioned_zone_keeps_its_members(members: Members) -> None:
    """Guard against servers that join groups while their former heads are open.

    A zone is partitioned with all its servers; their entries expire, but their groups
    serve on in the zone.  After seven seconds a planner outside took the heads for
    broken, and when the partition ended six members joined other groups.  A silent
    head's group stalls only if the planner can reach some of its members.
    """
    members.serve(GROUP)
    members.lose("a", "b", "c", last_seen_at=10.0)
    for now in (13.0, 18.0, 25.0):
        members.due(now)
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    members.report(GROUP, GroupState.READY, "b", "c")
    members.due(25.1)
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    # The group is broken once its members were listed for the stall time and have left.
    later = 25.2 + STALL_TIME + STALL_SLACK
    orders = [item for item in members.orders(later) if item.server_id != "a"]
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    members.answer(orders, OrderOutcome.APPLIED, now=later)
    members.due(later + 0.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_new_planner_does_not_wait_again_for_a_silent_head(members: Members) -> None:
    """Guard against a group that serves only nine seconds after it was decided.

    A head is lost, its group is retired, and its members are assigned to another group.
    Then the planner is killed, and its successor reads both records.  The successor
    must not wait for the stall time again before it orders the members to join, because
    its host saw the head's silence before it became the planner.
    """
    members.lose("a", last_seen_at=2.0)
    members.now = 10.0
    members.manager.put(GROUP, now=10.0)
    members.due(10.0)
    members.due(10.0 + ORDER_RETRY)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_remote_group_may_miss_members_for_a_while() -> None:
    members = Members("a", "b", "c", max_missing_time=5.0)
    members.serve(GROUP)
    members.lose("b", last_seen_at=0.0)
    assert members.due(3.0) == []
    assert members.manager.phase_of(GROUP.name) is GroupPhase.SERVING
    for now in (8.1, 8.6):
        probes = members.orders(now)
        assert [(probe.kind, probe.server_id) for probe in probes] == [(PROBE, "b")]
        members.answer(probes, OrderOutcome.UNKNOWN, now=now + 0.4)
    assert members.due(9.1) == [(LEAVE, "a")]


def test_member_cut_off_from_the_store_is_probed(members: Members) -> None:
    """Guard against serving groups that are ended because of missing entries.

    Half of the groups of a zone were ended within three seconds although they served.
    Backend servers that are cut off from the store alone lose their entries, but still
    answer, and their groups still work.
    """
    members.serve(GROUP)
    members.lose("b", last_seen_at=1.0)
    for now in (4.0, 4.0 + UNLISTED_PROBE_INTERVAL, 4.0 + 2 * UNLISTED_PROBE_INTERVAL):
        probes = members.orders(now)
        assert [(probe.kind, probe.server_id) for probe in probes] == [(PROBE, "b")]
        members.answer(probes, OrderOutcome.APPLIED, now=now)
        assert members.due(now + 0.9 * UNLISTED_PROBE_INTERVAL) == []
    probes = members.orders(10.0)
    members.answer(probes, OrderOutcome.UNKNOWN, now=10.4)
    probes = members.orders(10.4)
    members.answer(probes, OrderOutcome.UNKNOWN, now=10.8)
    assert members.due(10.9) == [(LEAVE, "a")]


def test_restarted_member_that_answers_a_probe_ends_its_group(members: Members) -> None:
    """Guard against a group that stalls for six seconds although all members answer.

    A member crashes and restarts at once, but can't reach the store, so its entry still
    shows the former group.  An answer to a probe doesn't show that the member is in the
    group.
    """
    members.serve(GROUP)
    members.manager.set_stalled_heads({"a"})
    probes = members.orders(1.0)
    members.answer(probes[:2], OrderOutcome.APPLIED, now=1.0)
    members.answer(probes[2:], OrderOutcome.NOT_A_MEMBER, now=1.0)
    assert members.due(1.1) == [(LEAVE, "a")]
    assert not members.manager.is_presumed_lost("c", now=1.1)


def test_members_are_probed_while_the_list_is_stale(members: Members) -> None:
    """Guard against a group that serves but gets no request for five seconds.

    The members of a group join, and then the store becomes unavailable.  The server
    list is read from the store, so no entry shows that the members are ready or that
    the head is open.
    """
    members.manager.put(GROUP, now=0.0)
    members.answer(members.orders(0.0), OrderOutcome.IN_PROGRESS, now=0.0)
    assert members.orders(0.5) == []
    members.list_is_stale = True
    assert {order.server_id for order in members.orders(0.6)} == {"a", "b", "c"}
    assert members.orders(0.7) == []
    probes = members.orders(1.01)
    assert {order.kind for order in probes if order.kind is not JOIN} == {PROBE}


def test_forming_continues_if_a_probed_member_has_not_joined(members: Members) -> None:
    members.manager.put(GROUP, now=0.0)
    joins = members.orders(0.0)
    members.answer(joins, OrderOutcome.UNKNOWN, now=0.1)
    probes = [order for order in members.orders(0.2) if order.kind is PROBE]
    members.answer(probes, OrderOutcome.NOT_A_MEMBER, now=0.2)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.FORMING


def test_silent_member_whose_entry_expired_is_not_paused(members: Members) -> None:
    """Guard against a group without streams that is kept after it lost a member."""
    members.serve(GROUP)
    members.lose("b", last_seen_at=0.4)
    for now in (4.0, 4.4):
        members.answer(members.orders(now), OrderOutcome.SILENT, now=now + 0.4)
    assert members.due(4.9) == [(LEAVE, "a")]


def test_a_member_whose_address_has_another_server_is_lost(members: Members) -> None:
    members.serve(GROUP)
    members.lose("b", last_seen_at=1.0)
    members.answer(members.orders(4.0), OrderOutcome.WRONG_INSTANCE, now=4.0)
    assert members.due(4.1) == [(LEAVE, "a")]


def test_unlisted_head_ends_its_group_without_a_probe(members: Members) -> None:
    """Guard against a group that is kept although its head may get no requests."""
    members.serve(GROUP)
    members.lose("a", last_seen_at=1.0)
    assert members.due(4.0) == [(LEAVE, "a"), (LEAVE, "b"), (LEAVE, "c")]


def test_group_with_a_leaving_member_lets_streams_end(members: Members) -> None:
    members.serve(GROUP)
    members.drain("c")
    orders = members.orders(1.0)
    assert [(order.kind, order.waits_for_requests) for order in orders] == [
        (CLOSE, True)
    ]
    members.answer(orders, OrderOutcome.IN_PROGRESS, now=1.0)
    members.report(GROUP, GroupState.CLOSING, "a")
    assert members.due(1.5) == []
    assert members.due(1.1 + CLOSE_GRACE) == [(LEAVE, "a")]


def test_disbanded_group_lets_streams_end(members: Members) -> None:
    members.serve(GROUP)
    members.manager.end(GROUP.name, DISBANDED, now=1.0)
    assert members.due(1.0) == [(CLOSE, "a")]
    members.report(GROUP, GroupState.READY, "a")
    # A head that is ready again must also leave: another planner may order it to open.
    assert members.due(1.3) == [(LEAVE, "a")]
    assert [group.name for group in members.manager.disbanding()] == [GROUP.name]


@pytest.mark.parametrize("is_leaving", [False, True], ids=["disbanded", "leaving"])
def test_requests_of_a_head_that_closes_late_have_time_to_end(
    members: Members, is_leaving: bool
) -> None:
    """Guard against streams cut off because the order to close met a silent head."""
    members.serve(GROUP)
    if is_leaving:
        members.drain("c")
    else:
        members.manager.end(GROUP.name, DISBANDED, now=1.0)
    orders = members.orders(1.0)
    members.answer(orders, OrderOutcome.UNKNOWN, now=2.0)
    orders = members.orders(2.1)
    members.answer(orders, OrderOutcome.IN_PROGRESS, now=2.1)
    members.report(GROUP, GroupState.CLOSING, "a")
    assert members.due(2.0 + CLOSE_GRACE) == []
    assert members.due(2.2 + CLOSE_GRACE) == [(LEAVE, "a")]


def test_members_of_a_stalled_group_are_probed(members: Members) -> None:
    """Guard against a group that stalls for four seconds before it is repaired.

    When a member is lost, the streams stop at once, but the member's entry expires
    3.6 s later.  Probes reveal the loss sooner.
    """
    members.serve(GROUP)
    members.manager.set_stalled_heads({"a"})
    for now in (1.0, 1.5):
        probes = members.orders(now)
        assert {(order.kind, order.server_id) for order in probes} == {
            (PROBE, "a"),
            (PROBE, "b"),
            (PROBE, "c"),
        }
        for probe in probes:
            lost = probe.server_id == "c"
            outcome = OrderOutcome.UNKNOWN if lost else OrderOutcome.APPLIED
            members.manager.record_outcome(probe, outcome, now=now + 0.4)
    assert members.due(2.0) == [(LEAVE, "a")]
    assert members.manager.is_presumed_lost("c", now=2.0)
    assert not members.manager.is_presumed_lost("b", now=2.0)


def test_server_lost_during_an_outage_does_not_delay_forming(
    members: Members,
) -> None:
    """Guard against a store return after which no group serves for five seconds.

    Servers are lost while the store is unavailable.  When the store returns, it still
    lists them because their entries haven't expired, and new groups are formed with
    them.  Forming must not wait until the entries expire, although an order without an
    answer may be executed late.
    """
    members.manager.put(GROUP, now=0.0)
    orders = members.orders(0.0)
    members.answer(orders[:2], OrderOutcome.IN_PROGRESS, now=0.1)
    members.report(GROUP, GroupState.READY, "a", "b")
    members.answer(orders[2:], OrderOutcome.UNKNOWN, now=0.5)
    for now in (0.6, 1.1):
        probes = [order for order in members.orders(now) if order.kind is PROBE]
        assert [order.server_id for order in probes] == ["c"]
        members.answer(probes, OrderOutcome.UNKNOWN, now=now + 0.4)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.ENDING
    assert members.manager.is_presumed_lost("c", now=1.6)


def test_forming_waits_for_a_late_join(members: Members) -> None:
    members.manager.put(GROUP, now=0.0)
    orders = members.orders(0.0)
    members.answer(orders, OrderOutcome.UNKNOWN, now=0.5)
    for now in (0.6, 1.1, 1.6):
        probes = [order for order in members.orders(now) if order.kind is PROBE]
        members.answer(probes, OrderOutcome.APPLIED, now=now + 0.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.FORMING


def test_suspected_group_whose_members_answer_serves_on(members: Members) -> None:
    members.serve(GROUP)
    members.manager.set_stalled_heads({"a"})
    for now in (1.0, 1.5, 2.0):
        members.answer(members.orders(now), OrderOutcome.APPLIED, now=now)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.SERVING
    members.manager.set_stalled_heads(set())
    assert members.due(3.0) == []


def test_group_that_progresses_before_a_probe_times_out_serves_on(
    members: Members,
) -> None:
    """Guard against streams cut off by a probe that was sent during a pause."""
    members.serve(GROUP)
    members.manager.set_stalled_heads({"a"})
    members.answer(members.orders(1.0), OrderOutcome.UNKNOWN, now=1.4)
    orders = members.orders(1.5)
    assert {order.server_id for order in orders} == {"a", "b", "c"}
    members.manager.set_stalled_heads(set())
    members.answer(orders, OrderOutcome.UNKNOWN, now=1.9)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.SERVING


def test_later_group_supersedes_one_that_shares_a_member(
    members: Members,
) -> None:
    """Guard against a server that is in two groups.

    A planner retires a group, forms another one from its members and is killed before
    the first record is dropped.  The next planner reads both records; taken alone, the
    first one looks like a group that lost its members.
    """
    later = record(9, "b", "d")
    members.report(later, GroupState.READY, "b", "d")
    members.manager.put(GROUP, now=0.0)
    members.manager.put(later, now=0.0)
    members.due(0.0)
    assert members.manager.phase_of(GROUP.name) is not GroupPhase.FORMING
    assert members.manager.phase_of(later.name) is GroupPhase.FORMING


def test_late_record_does_not_disturb_a_serving_group(
    members: Members,
) -> None:
    """Guard against a server that joins a group while its former head is open.

    A planner ends a group, and its append of another group gets no answer.  The next
    planner knows only the first record and forms the first group again.  When the
    append is executed seconds late, its record must not supersede the serving group.
    """
    members.serve(GROUP)
    late = record(9, "b", "d")
    members.manager.put(late, now=5.0)
    assert members.due(5.0) == []
    assert members.manager.phase_of(GROUP.name) is GroupPhase.SERVING
    members.due(5.1)
    assert members.manager.phase_of(late.name) is GroupPhase.RETIRED


def test_no_server_joins_while_its_former_head_may_serve(
    members: Members,
) -> None:
    """Guard against a server that joins a group while its former head is open.

    Two planners form groups that share a member.  The group with the later record
    remains, and one of its members has joined already.  The other members must not join
    until the first group has ended.
    """
    members.serve(GROUP)
    later = record(9, "c", "b")
    members.report(later, GroupState.READY, "c")
    members.manager.put(later, now=5.0)
    assert members.due(5.0) == [(LEAVE, "a")]
    assert members.due(5.5) == []
    members.leave("a")
    assert members.due(6.0) == [(JOIN, "b")]


def test_new_planner_takes_over_a_serving_group(members: Members) -> None:
    members.report(GROUP, GroupState.READY, "b", "c")
    members.report(GROUP, GroupState.OPEN, "a")
    members.manager.put(GROUP, now=50.0)
    assert members.due(50.0) == []
    assert members.manager.phase_of(GROUP.name) is GroupPhase.SERVING


def test_forming_times_out(members: Members) -> None:
    members.manager.put(GROUP, now=0.0)
    members.report(GROUP, GroupState.JOINING, "a", "b", "c")
    members.due(20.0)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.FORMING
    members.due(26.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.ENDING


# Servers that restart under the same id


def test_member_restarted_before_its_entry_expires_ends_its_group(
    members: Members,
) -> None:
    """Guard against a group that stalls although all members are listed and answer.

    The stall lasted for five seconds.  A member crashes and restarts before its entry
    expires, then executes an unanswered order to join late, so it is listed as ready
    under the same group name and epoch.  The id alone doesn't identify the incarnation.
    """
    members.serve(GROUP)
    members.restart("b", started_at=2)
    members.report(GROUP, GroupState.READY, "b")
    members.due(1.0)
    managed = members.manager.managed_by_name[GROUP.name]
    assert (managed.phase, managed.reason) == (GroupPhase.ENDING, "member_restarted")


def test_clock_stepping_back_hides_no_restart(members: Members) -> None:
    members.restart("b", started_at=5000)
    members.serve(GROUP)
    members.restart("b", started_at=4000)
    members.report(GROUP, GroupState.READY, "b")
    members.due(1.0)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.ENDING


def test_member_that_restarts_while_joining_is_ordered_again(
    members: Members,
) -> None:
    members.manager.put(GROUP, now=0.0)
    members.due(0.0)
    members.report(GROUP, GroupState.READY, "a", "b")
    members.report(GROUP, GroupState.JOINING, "c")
    members.due(0.5)
    members.restart("c", started_at=2)
    assert members.due(ORDER_RETRY) == [(JOIN, "c")]
    members.report(GROUP, GroupState.READY, "c")
    assert members.due(ORDER_RETRY + 0.1) == [(OPEN, "a")]


def test_restarted_head_frees_its_members(members: Members) -> None:
    """Guard against survivors that stay idle for six seconds.

    The head of a serving group crashes and is listed again at once, in no group.  It
    has thereby left its former group, so the members are free.
    """
    members.serve(GROUP)
    members.restart("a", started_at=2)
    members.due(1.0)
    members.due(1.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_members_of_a_head_reopened_by_a_late_order_are_held(members: Members) -> None:
    """Guard against servers that join a group while their former head is open.

    A head restarts under its id and then executes unanswered orders to join and to
    open.  The restart shows that the group is incomplete, but not that its head accepts
    no requests.
    """
    members.serve(GROUP)
    members.restart("a", started_at=2)
    members.report(GROUP, GroupState.OPEN, "a")
    assert members.due(1.0) == [(LEAVE, "a")]
    assert members.manager.occupied_ids() == {"a", "b", "c"}


def test_new_planner_detects_a_restarted_member(members: Members) -> None:
    """Guard against a stalled group that is ended only when its head is broken.

    A member restarts under its id, and the planner of the zone is replaced before it
    has read the new entry.  The new planner never saw the member ready, and must not
    treat it as a member that is still joining.
    """
    members.report(GROUP, GroupState.OPEN, "a")
    members.report(GROUP, GroupState.READY, "c")
    members.manager.put(GROUP, now=0.0)
    members.due(0.0)
    members.due(MEMBERS_LISTED_AFTER)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.SERVING
    members.due(MEMBERS_LISTED_AFTER + 0.1)
    assert members.manager.managed_by_name[GROUP.name].reason == "member_left"


def test_server_that_returned_is_not_presumed_lost(members: Members) -> None:
    members.serve(GROUP)
    members.manager.set_stalled_heads({"a"})
    for now in (1.0, 1.5):
        probes = [order for order in members.orders(now) if order.server_id == "c"]
        members.answer(probes, OrderOutcome.UNKNOWN, now=now)
    assert members.manager.is_presumed_lost("c", now=1.6)
    members.now = 1.7
    members.restart("c", started_at=2)
    assert not members.manager.is_presumed_lost("c", now=1.8)


def test_probe_names_the_incarnation_that_joined(members: Members) -> None:
    members.restart("b", started_at=7)
    members.serve(GROUP)
    members.manager.set_stalled_heads({"a"})
    starts = {order.server_id: order.started_at for order in members.orders(1.0)}
    assert starts == {"a": 1, "b": 7, "c": 1}


def test_member_whose_process_is_gone_joins_no_group(members: Members) -> None:
    """Guard against groups that are formed again and again with the same lost member.

    Three zones formed 150 groups in four seconds, none of which served.  Servers that
    are cut off from the store crash and restart, and their former entries stay listed
    until they expire.  One of them refuses the order to join, its group is ended, and
    the freed members are chosen again.  A server that answers as another incarnation,
    or whose process is gone, must be left out for a while, like one that answered no
    probe.
    """
    members.manager.put(GROUP, now=1.0)
    [*_, join_c] = members.orders(1.0)
    members.answer([join_c], OrderOutcome.WRONG_INSTANCE, now=1.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.ENDING
    assert members.manager.is_presumed_lost("c", now=1.2)
    assert not members.manager.is_presumed_lost("b", now=1.2)
    # The server is usable again once its new incarnation is listed.
    members.now = 1.3
    members.restart("c", started_at=2)
    assert not members.manager.is_presumed_lost("c", now=1.4)


def test_queued_join_is_dropped_once_its_group_ends(
    members: Members,
) -> None:
    """Guard against a member that joins a group that is being ended."""
    members.manager.put(GROUP, now=0.0)
    joins = members.orders(0.0)
    assert all(members.manager.wants(order) for order in joins)
    members.report(GROUP, GroupState.JOINING, "a")
    members.manager.end(GROUP.name, "wrong_size", now=0.1)
    assert not any(members.manager.wants(order) for order in joins)
    [leave] = members.orders(0.2)
    assert (leave.kind, members.manager.wants(leave)) == (LEAVE, True)
