"""Test how groups are formed, opened and ended, under orders that go astray."""

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


def test_a_group_opens_once_all_were_seen_ready(members: Members) -> None:
    members.manager.put(GROUP, now=0.0)
    assert members.look(0.0) == [(JOIN, "a"), (JOIN, "b"), (JOIN, "c")]
    members.report(GROUP, GroupState.READY, "a", "b")
    members.report(GROUP, GroupState.JOINING, "c")
    assert members.look(0.5) == []
    members.report(GROUP, GroupState.READY, "c")
    assert members.look(0.6) == [(OPEN, "a")]
    assert members.look(0.7) == []
    members.report(GROUP, GroupState.OPEN, "a")
    members.look(0.9)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.SERVING


def test_joins_without_effect_are_given_again(members: Members) -> None:
    members.manager.put(GROUP, now=0.0)
    orders = members.orders(0.0)
    members.answer(orders, OrderOutcome.UNKNOWN, now=0.5)
    members.report(GROUP, GroupState.READY, "a", "b")
    assert (JOIN, "c") not in members.look(0.9)
    assert [order for order in members.look(ORDER_RETRY) if order[0] is JOIN] == [
        (JOIN, "c")
    ]


def test_ready_under_another_epoch_is_not_ready(members: Members) -> None:
    """Show that a member that joined an earlier group of the name doesn't count.

    Symptom: a request runs in a group one of whose members never was ready.
    Sequence: a group is formed, a member's join is late, the group is formed anew
    under a higher epoch, and the late join is carried out.
    Cause: a member's state alone doesn't tell which of the two it joined.
    """
    earlier = record(4, "a", "b", "c")
    members.manager.put(GROUP, now=0.0)
    members.report(GROUP, GroupState.READY, "a", "b")
    members.report(earlier, GroupState.READY, "c")
    assert members.look(0.0) == [(JOIN, "c")]


def test_an_open_order_that_came_too_early_is_given_again_soon(
    members: Members,
) -> None:
    members.manager.put(GROUP, now=0.0)
    members.report(GROUP, GroupState.READY, "a", "b", "c")
    orders = members.orders(0.0)
    members.answer(orders, OrderOutcome.REFUSED, now=0.0)
    assert members.look(0.2) == []
    assert members.look(0.31) == [(OPEN, "a")]


@pytest.mark.parametrize(
    "outcome", [OrderOutcome.SUPERSEDED, OrderOutcome.WRONG_INSTANCE]
)
def test_a_join_that_can_never_be_ends_the_group(
    members: Members, outcome: OrderOutcome
) -> None:
    members.manager.put(GROUP, now=0.0)
    orders = members.orders(0.0)
    members.answer(orders[:1], outcome, now=0.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.ENDING


def test_members_are_free_only_after_the_head_has_left(members: Members) -> None:
    """Show that no member is given away while the head may still serve.

    Symptom: a server is joined to a group while the head of its own is open.
    Sequence: a member is lost, the head is told to leave, and the order gets no
    answer, or the head answers that it can't take it now.
    Cause: an order that was sent says nothing about the head's state.
    """
    members.serve(GROUP)
    members.lose("c", heard_at=0.0)
    members.answer(members.orders(2.9), OrderOutcome.WRONG_INSTANCE, now=2.9)
    orders = members.orders(3.0)
    assert [(order.kind, order.server_id) for order in orders] == [(LEAVE, "a")]
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    members.answer(orders, OrderOutcome.UNKNOWN, now=3.5)
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    orders = members.orders(3.0 + ORDER_RETRY)
    members.answer(orders, OrderOutcome.IN_PROGRESS, now=4.1)
    assert members.manager.occupied_ids() == set()


def test_a_head_that_shows_as_having_left_frees_its_members(members: Members) -> None:
    members.serve(GROUP)
    members.lose("c", heard_at=0.0)
    members.look(3.0)
    members.leave("a")
    members.look(3.2)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_a_broken_group_is_retired_without_an_order(members: Members) -> None:
    members.serve(GROUP)
    members.report(GROUP, GroupState.BROKEN, "a")
    assert members.look(1.0) == []
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_a_silent_head_is_waited_for_until_its_group_has_broken_off(
    members: Members,
) -> None:
    members.serve(GROUP)
    members.lose("a", heard_at=10.0)
    orders = members.orders(13.0)
    told = [(order.kind, order.server_id) for order in orders]
    assert told == [(LEAVE, "a"), (LEAVE, "b"), (LEAVE, "c")]
    members.answer(orders[1:2], OrderOutcome.APPLIED, now=13.0)
    members.look(10.0 + STALL_TIME)
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    # If the head lives, "c" may be around it, and the group may be whole.
    members.look(10.1 + STALL_TIME + STALL_SLACK)
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    members.answer(orders[2:], OrderOutcome.APPLIED, now=17.0)
    members.look(17.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_survivors_that_have_left_are_free_before_the_head_is(members: Members) -> None:
    """Show that members don't wait for a head that is lost.

    Symptom: the members of a group serve nobody for five seconds.
    Sequence: a head is lost, and its members stay where they are until its group must
    have broken off, if it lived.
    Cause: that they can leave by themselves was not used.
    """
    members.manager.put(GROUP, now=0.0, decided_here=True)
    members.serve(GROUP)
    members.lose("a", heard_at=10.0)
    orders = members.orders(13.0)
    members.answer(orders[1:], OrderOutcome.APPLIED, now=13.0)
    assert members.manager.occupied_ids() == {"a"}


def test_members_with_a_join_in_doubt_are_held_until_their_group_has_broken_off(
    members: Members,
) -> None:
    """Show that a late order to join takes nobody from a later group.

    Symptom: a server is in two groups, one of which serves.
    Sequence: an order to join gets no answer and is given again; the group serves, its
    head is cut off, a member leaves and is given away; the first order is carried out.
    Cause: that a member had left was taken for lasting.
    """
    members.manager.put(GROUP, now=0.0, decided_here=True)
    joins = members.orders(0.0)
    members.answer(joins, OrderOutcome.UNKNOWN, now=0.5)
    members.serve(GROUP, now=1.0)
    members.lose("a", heard_at=2.0)
    orders = members.orders(5.0)
    members.answer(orders[1:], OrderOutcome.APPLIED, now=5.0)
    for now in (5.1, 9.0, 4.9 + STALL_TIME + STALL_SLACK):
        members.look(now)
        assert members.manager.occupied_ids() == {"a", "b", "c"}
    members.look(5.1 + STALL_TIME + STALL_SLACK)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_a_survivor_that_is_not_reached_holds_up_no_others(members: Members) -> None:
    """Show that one member's word is enough, after the time for which a group stalls.

    Symptom: members of a lost head serve nobody for as long as another one of them is
    cut off from the planner.
    Sequence: a head is lost, a planner that has just begun tells the members to leave,
    and one of them is not reached.
    Cause: all of them had to answer, though nothing moves once one has left.
    """
    members.serve(GROUP)
    members.lose("a", heard_at=10.0)
    orders = members.orders(13.0)
    members.answer(orders[1:2], OrderOutcome.APPLIED, now=13.0)
    members.look(12.9 + STALL_TIME + STALL_SLACK)
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    members.look(13.1 + STALL_TIME + STALL_SLACK)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_a_head_that_answers_is_not_silent(members: Members) -> None:
    members.serve(GROUP)
    members.lose("a", heard_at=10.0)
    orders = members.orders(13.0)
    # It is cut off from the store only, and refuses for a reason of its own.
    members.manager.answered(orders[0], OrderOutcome.UNKNOWN, now=13.1)
    probe = members.manager.managed_by_name[GROUP.name].order(PROBE, "a")
    members.manager.answered(probe, OrderOutcome.APPLIED, now=16.0)
    members.look(18.0)
    assert members.manager.occupied_ids() == {"a", "b", "c"}


def test_a_group_that_is_cut_off_whole_keeps_its_members(members: Members) -> None:
    """Show that a group behind a cut of its zone is not taken for broken.

    Symptom: six servers are joined to groups while the heads of theirs are open.
    Sequence: a zone is cut off with its servers, whose entries lapse; its groups
    serve on there.  After seven seconds the planner takes the heads for broken, the
    cut heals, the members appear again and are given to other groups.
    Cause: a head that is silent stands still only if its members are on this side.
    """
    members.serve(GROUP)
    members.lose("a", "b", "c", heard_at=10.0)
    for now in (13.0, 18.0, 25.0):
        members.look(now)
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    members.report(GROUP, GroupState.READY, "b", "c")
    members.look(25.1)
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    # Once they have stayed as long as a group stands still, and have left, it has
    # broken off.
    later = 25.2 + STALL_TIME + STALL_SLACK
    orders = [item for item in members.orders(later) if item.server_id != "a"]
    assert members.manager.occupied_ids() == {"a", "b", "c"}
    members.answer(orders, OrderOutcome.APPLIED, now=later)
    members.look(later + 0.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_a_new_planner_waits_for_no_silent_head_again(members: Members) -> None:
    """Show that what the host saw before it planned counts.

    Symptom: a group that was decided on serves nine seconds later.
    Sequence: a head is lost, its group breaks off and is retired, its members are
    given to another group; the planner is killed, and the next one reads both
    records.
    Cause: it waited once more for as long as a group stands still, and gave nobody
    the order to join meanwhile.
    """
    members.lose("a", heard_at=2.0)
    members.now = 10.0
    members.manager.put(GROUP, now=10.0)
    members.look(10.0)
    members.look(10.0 + ORDER_RETRY)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_another_zones_group_may_miss_members_for_a_while() -> None:
    members = Members("a", "b", "c", max_missing_time=5.0)
    members.serve(GROUP)
    members.lose("b", heard_at=0.0)
    assert members.look(3.0) == []
    assert members.manager.phase_of(GROUP.name) is GroupPhase.SERVING
    for now in (8.1, 8.6):
        probes = members.orders(now)
        assert [(probe.kind, probe.server_id) for probe in probes] == [(PROBE, "b")]
        members.answer(probes, OrderOutcome.UNKNOWN, now=now + 0.4)
    assert members.look(9.1) == [(LEAVE, "a")]


def test_a_member_that_is_cut_off_from_the_store_is_asked(members: Members) -> None:
    """Show that a group serves on while a member is cut off from the store only.

    Symptom: half of the groups of a zone are ended within three seconds, and each of
    them served.
    Sequence: backend servers are cut off from the store, their entries lapse; they
    still answer, and their groups still work.
    Cause: a member without an entry was taken for lost.
    """
    members.serve(GROUP)
    members.lose("b", heard_at=1.0)
    for now in (4.0, 4.0 + UNLISTED_PROBE_INTERVAL, 4.0 + 2 * UNLISTED_PROBE_INTERVAL):
        probes = members.orders(now)
        assert [(probe.kind, probe.server_id) for probe in probes] == [(PROBE, "b")]
        members.answer(probes, OrderOutcome.APPLIED, now=now)
        assert members.look(now + 0.9 * UNLISTED_PROBE_INTERVAL) == []
    probes = members.orders(10.0)
    members.answer(probes, OrderOutcome.UNKNOWN, now=10.4)
    probes = members.orders(10.4)
    members.answer(probes, OrderOutcome.UNKNOWN, now=10.8)
    assert members.look(10.9) == [(LEAVE, "a")]


def test_a_member_that_was_started_anew_ends_its_group(members: Members) -> None:
    """Show that a member's answer alone keeps no group.

    Symptom: a group stands still for six seconds though all its members answer.
    Sequence: a member crashes and is back at once; its entry still names the old
    group, as it can't reach the store.
    Cause: any answer to a probe was a sign that the group is whole.
    """
    members.serve(GROUP)
    members.manager.suspect({"a"})
    probes = members.orders(1.0)
    members.answer(probes[:2], OrderOutcome.APPLIED, now=1.0)
    members.answer(probes[2:], OrderOutcome.NOT_A_MEMBER, now=1.0)
    assert members.look(1.1) == [(LEAVE, "a")]
    assert not members.manager.is_presumed_lost("c", now=1.1)


def test_members_are_asked_while_the_list_is_silent(members: Members) -> None:
    """Show that a group is not held up by an outage once it is decided on.

    Symptom: a group serves and gets no request for five seconds.
    Sequence: its members join, the store goes away, and no entry shows that they are
    ready, or that the head has opened.
    Cause: states were read from the list only, and the list from the store only.
    """
    members.manager.put(GROUP, now=0.0)
    members.answer(members.orders(0.0), OrderOutcome.IN_PROGRESS, now=0.0)
    assert members.orders(0.5) == []
    members.list_is_stale = True
    assert {order.server_id for order in members.orders(0.6)} == {"a", "b", "c"}
    assert members.orders(0.7) == []
    probes = members.orders(1.01)
    assert {order.kind for order in probes if order.kind is not JOIN} == {PROBE}


def test_a_member_that_has_not_joined_yet_ends_nothing(members: Members) -> None:
    members.manager.put(GROUP, now=0.0)
    joins = members.orders(0.0)
    members.answer(joins, OrderOutcome.UNKNOWN, now=0.1)
    probes = [order for order in members.orders(0.2) if order.kind is PROBE]
    members.answer(probes, OrderOutcome.NOT_A_MEMBER, now=0.2)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.FORMING


def test_a_member_whose_address_has_another_server_is_lost(members: Members) -> None:
    members.serve(GROUP)
    members.lose("b", heard_at=1.0)
    members.answer(members.orders(4.0), OrderOutcome.WRONG_INSTANCE, now=4.0)
    assert members.look(4.1) == [(LEAVE, "a")]


def test_a_head_without_an_entry_is_not_asked(members: Members) -> None:
    """Show that a group ends with its head's entry: requests may not go there."""
    members.serve(GROUP)
    members.lose("a", heard_at=1.0)
    assert members.look(4.0) == [(LEAVE, "a"), (LEAVE, "b"), (LEAVE, "c")]


def test_a_leaving_member_lets_streams_end_first(members: Members) -> None:
    members.serve(GROUP)
    members.drain("c")
    orders = members.orders(1.0)
    assert [(order.kind, order.gently) for order in orders] == [(CLOSE, True)]
    members.report(GROUP, GroupState.CLOSING, "a")
    assert members.look(1.5) == []
    assert members.look(1.1 + CLOSE_GRACE) == [(LEAVE, "a")]


def test_a_group_taken_apart_lets_streams_end_first(members: Members) -> None:
    members.serve(GROUP)
    members.manager.end(GROUP.name, DISBANDED, now=1.0)
    assert members.look(1.0) == [(CLOSE, "a")]
    members.report(GROUP, GroupState.READY, "a")
    # Ready again is not enough: another planner may tell the head to open.
    assert members.look(1.3) == [(LEAVE, "a")]
    assert [group.name for group in members.manager.disbanding()] == [GROUP.name]


def test_members_of_a_group_that_stands_still_are_probed(members: Members) -> None:
    """Show that a lost member is known long before its entry lapses.

    Symptom: a group stands still for four seconds before it is mended.
    Sequence: a member goes silent, the streams stop, its entry lapses 3.6 s later.
    Cause: nobody asked the members.
    """
    members.serve(GROUP)
    members.manager.suspect({"a"})
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
            members.manager.answered(probe, outcome, now=now + 0.4)
    assert members.look(2.0) == [(LEAVE, "a")]
    assert members.manager.is_presumed_lost("c", now=2.0)
    assert not members.manager.is_presumed_lost("b", now=2.0)


def test_a_server_that_was_lost_unseen_holds_up_no_new_group(
    members: Members,
) -> None:
    """Show that forming doesn't wait for a dead server until its entry lapses.

    Symptom: no group serves for five seconds after the store is back.
    Sequence: servers die while the store is away; it comes back and shows them, as
    their entries haven't lapsed, and new groups are formed with them.
    Cause: an order without an answer may be carried out late, so it is waited for.
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


def test_a_server_that_joins_late_is_waited_for(members: Members) -> None:
    members.manager.put(GROUP, now=0.0)
    orders = members.orders(0.0)
    members.answer(orders, OrderOutcome.UNKNOWN, now=0.5)
    for now in (0.6, 1.1, 1.6):
        probes = [order for order in members.orders(now) if order.kind is PROBE]
        members.answer(probes, OrderOutcome.APPLIED, now=now + 0.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.FORMING


def test_members_that_all_answer_end_nothing(members: Members) -> None:
    members.serve(GROUP)
    members.manager.suspect({"a"})
    for now in (1.0, 1.5, 2.0):
        members.answer(members.orders(now), OrderOutcome.APPLIED, now=now)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.SERVING
    members.manager.suspect(set())
    assert members.look(3.0) == []


def test_a_later_group_supersedes_the_one_that_shares_a_member(
    members: Members,
) -> None:
    """Show what a new planner does with two records that share a member.

    Symptom: a server is in two groups.
    Sequence: a planner retires a group, forms another of its members and is killed
    before the first record is dropped; its successor reads both.
    Cause: the first record alone looks like a group that lost its members.
    """
    later = record(9, "b", "d")
    members.report(later, GroupState.READY, "b", "d")
    members.manager.put(GROUP, now=0.0)
    members.manager.put(later, now=0.0)
    members.look(0.0)
    assert members.manager.phase_of(GROUP.name) is not GroupPhase.FORMING
    assert members.manager.phase_of(later.name) is GroupPhase.FORMING


def test_a_record_that_comes_late_disturbs_no_group_that_serves(
    members: Members,
) -> None:
    """Show that a group whose record was appended seconds late takes no members.

    Symptom: a server is joined to a group while the head of its own is open.
    Sequence: a planner ends a group, and its append of another one gets no answer.
    Its successor knows only the first record and forms that group anew.  Then the
    append is carried out after all.
    Cause: the later record looks as if it superseded the group that serves.
    """
    members.serve(GROUP)
    late = record(9, "b", "d")
    members.manager.put(late, now=5.0)
    assert members.look(5.0) == []
    assert members.manager.phase_of(GROUP.name) is GroupPhase.SERVING
    members.look(5.1)
    assert members.manager.phase_of(late.name) is GroupPhase.RETIRED


def test_nobody_joins_while_the_head_of_its_former_group_may_serve(
    members: Members,
) -> None:
    """Show that a member is joined to a later group only once its own has ended.

    Symptom: a server is joined to a group while the head of its own is open.
    Sequence: two planners decide on groups that share a member; the later record
    holds, and some member of it has joined already.
    Cause: the rest were told to join while the first group was being ended.
    """
    members.serve(GROUP)
    later = record(9, "c", "b")
    members.report(later, GroupState.READY, "c")
    members.manager.put(later, now=5.0)
    assert members.look(5.0) == [(LEAVE, "a")]
    assert members.look(5.5) == []
    members.leave("a")
    assert members.look(6.0) == [(JOIN, "b")]


def test_a_new_planner_takes_over_a_group_that_serves(members: Members) -> None:
    members.report(GROUP, GroupState.READY, "b", "c")
    members.report(GROUP, GroupState.OPEN, "a")
    members.manager.put(GROUP, now=50.0)
    assert members.look(50.0) == []
    assert members.manager.phase_of(GROUP.name) is GroupPhase.SERVING


def test_forming_that_takes_too_long_is_given_up(members: Members) -> None:
    members.manager.put(GROUP, now=0.0)
    members.report(GROUP, GroupState.JOINING, "a", "b", "c")
    members.look(20.0)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.FORMING
    members.look(26.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.ENDING


# Servers that start again under their id


def test_a_member_that_starts_again_within_a_heartbeat_ends_its_group(
    members: Members,
) -> None:
    """Show that a group whose member was started anew is not taken for whole.

    Symptom: a group stands still for five seconds though all its members are listed
    and answer.
    Sequence: a member crashes and starts again before its entry lapses; an order to
    join that went unanswered is carried out late, so that it shows as ready under the
    group's very name and epoch.
    Cause: members were told apart by their ids alone.
    """
    members.serve(GROUP)
    members.restart("b", started_at=2)
    members.report(GROUP, GroupState.READY, "b")
    members.look(1.0)
    managed = members.manager.managed_by_name[GROUP.name]
    assert (managed.phase, managed.reason) == (GroupPhase.ENDING, "member_restarted")


def test_a_clock_that_steps_back_hides_no_start(members: Members) -> None:
    members.restart("b", started_at=5000)
    members.serve(GROUP)
    members.restart("b", started_at=4000)
    members.report(GROUP, GroupState.READY, "b")
    members.look(1.0)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.ENDING


def test_a_member_that_starts_again_while_it_joins_is_told_again(
    members: Members,
) -> None:
    members.manager.put(GROUP, now=0.0)
    members.look(0.0)
    members.report(GROUP, GroupState.READY, "a", "b")
    members.report(GROUP, GroupState.JOINING, "c")
    members.look(0.5)
    members.restart("c", started_at=2)
    assert members.look(ORDER_RETRY) == [(JOIN, "c")]
    members.report(GROUP, GroupState.READY, "c")
    assert members.look(ORDER_RETRY + 0.1) == [(OPEN, "a")]


def test_a_head_that_starts_again_frees_its_members(members: Members) -> None:
    """Show that a head which is back is not waited for.

    Symptom: survivors serve nobody for six seconds.
    Sequence: the head of a group that is recorded as serving crashes and is back at
    once, in no group.
    Cause: none in the rules; a head that shows in no group has left its own.
    """
    members.serve(GROUP)
    members.restart("a", started_at=2)
    members.look(1.0)
    members.look(1.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.RETIRED


def test_a_head_that_a_late_order_opens_again_is_waited_for(members: Members) -> None:
    """Show that members stay taken while a late order lets their head serve anew.

    Symptom: servers are joined to another group while the head of theirs is open.
    Sequence: a head starts again under its id, and orders to join and to open that
    went unanswered before are carried out by it.
    Cause: that it was started anew tells that the group is not whole, and not that
    its head doesn't accept requests.
    """
    members.serve(GROUP)
    members.restart("a", started_at=2)
    members.report(GROUP, GroupState.OPEN, "a")
    assert members.look(1.0) == [(LEAVE, "a")]
    assert members.manager.occupied_ids() == {"a", "b", "c"}


def test_a_new_planner_sees_that_a_member_was_started_anew(members: Members) -> None:
    """Show that a group which lost a member before its planner began is ended.

    Symptom: a group that stands still is kept until its head breaks off.
    Sequence: a member starts again under its id, and the planner of the zone changes
    before it has read the new entry.
    Cause: the new planner never saw the member ready, and took it for one that is
    still to join.
    """
    members.report(GROUP, GroupState.OPEN, "a")
    members.report(GROUP, GroupState.READY, "c")
    members.manager.put(GROUP, now=0.0)
    members.look(0.0)
    members.look(MEMBERS_LISTED_AFTER)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.SERVING
    members.look(MEMBERS_LISTED_AFTER + 0.1)
    assert members.manager.managed_by_name[GROUP.name].reason == "member_left"


def test_a_server_that_came_back_does_not_seem_lost(members: Members) -> None:
    members.serve(GROUP)
    members.manager.suspect({"a"})
    for now in (1.0, 1.5):
        asked = [order for order in members.orders(now) if order.server_id == "c"]
        members.answer(asked, OrderOutcome.UNKNOWN, now=now)
    assert members.manager.is_presumed_lost("c", now=1.6)
    members.now = 1.7
    members.restart("c", started_at=2)
    assert not members.manager.is_presumed_lost("c", now=1.8)


def test_a_probe_asks_for_the_start_that_joined(members: Members) -> None:
    members.restart("b", started_at=7)
    members.serve(GROUP)
    members.manager.suspect({"a"})
    starts = {order.server_id: order.started_at for order in members.orders(1.0)}
    assert starts == {"a": 1, "b": 7, "c": 1}


def test_a_member_that_is_gone_is_given_to_no_group_meanwhile(members: Members) -> None:
    """Show that a group isn't formed again and again with a member that is gone.

    Symptom: for four seconds three zones form 150 groups, none of which serves.
    Sequence: servers behind a cut from the store crash and start anew; their entries
    stay in the list until they lapse.  One of them refuses the order to join, the
    group is ended, its members are free, and the same ones are chosen again.
    Cause: only a member that answered no probe was left out for a while, and not one
    that answered to be another, or whose process is gone.
    """
    members.manager.put(GROUP, now=1.0)
    [*_, to_c] = members.orders(1.0)
    members.answer([to_c], OrderOutcome.WRONG_INSTANCE, now=1.1)
    assert members.manager.phase_of(GROUP.name) is GroupPhase.ENDING
    assert members.manager.is_presumed_lost("c", now=1.2)
    assert not members.manager.is_presumed_lost("b", now=1.2)
    # Once the list shows that it has come anew, it is of use again.
    members.now = 1.3
    members.restart("c", started_at=2)
    assert not members.manager.is_presumed_lost("c", now=1.4)


def test_an_order_that_waited_is_not_sent_to_a_group_that_ends(
    members: Members,
) -> None:
    """Guard against a member that joins a group which serves nobody any more."""
    members.manager.put(GROUP, now=0.0)
    joins = members.orders(0.0)
    assert all(members.manager.wants(order) for order in joins)
    members.report(GROUP, GroupState.JOINING, "a")
    members.manager.end(GROUP.name, "wrong_size", now=0.1)
    assert not any(members.manager.wants(order) for order in joins)
    [leave] = members.orders(0.2)
    assert (leave.kind, members.manager.wants(leave)) == (LEAVE, True)
