"""Test how the groups of a zone are decided on by way of the store."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from ryelever.coordination.groups.adoption import ADOPT_AFTER
from ryelever.coordination.groups.managed_group import GroupPhase
from ryelever.coordination.groups.orders import OrderKind, OrderOutcome
from ryelever.coordination.groups.records import GroupRecord, Member
from ryelever.coordination.groups.silent_heads import STALL_SLACK
from ryelever.coordination.groups.zone_planner import (
    APPEND_TIMEOUT,
    OFFSET_BITS,
    START_DELAY,
    AppendGroups,
    ZonePlanner,
)
from ryelever.coordination.groups.zone_view import (
    FLEET_SETTLED_AFTER,
    MAX_SETTLING_TIME,
)
from ryelever.state.directory import BackendServer, Directory, GroupReport, GroupState
from ryelever.state.routes import RoutedService, RouteTable

from .group_fakes import STALL_TIME, server
from .test_group_forming import ENGINE


class Zone:
    """Hold a planner and what it sees."""

    def __init__(
        self, *, n_servers: int = 8, services: tuple[str, ...] = ("engines",)
    ) -> None:
        self.directory = Directory()
        for index in range(n_servers):
            self.directory.put(server(f"i{index}", domain=f"d{index // 8}"), now=0.0)
        self.others_reshape: set[str] = set()
        self.demand: dict[str, float] = {}
        self.list_is_stale = False
        services = [
            RoutedService(name=name, max_connections=100, engine=ENGINE)
            for name in services
        ]
        self.table = RouteTable(
            version=1,
            routes_by_host={},
            services_by_name={item.name: item for item in services},
            account_by_key={},
            asks_for_keys=False,
        )
        self.planner = ZonePlanner(
            zone="z",
            n_zones=1,
            is_local=True,
            directory=self.directory,
            table=lambda: self.table,
            demand=lambda: self.demand,
            reshaping=lambda: self.others_reshape,
            observe=lambda phase, seconds: None,
            list_is_stale=lambda: self.list_is_stale,
            stall_time=STALL_TIME,
            since=0.0,
            log=lambda event, **fields: None,
        )

    def free(self, now: float) -> list[BackendServer]:
        """Return the servers that may be given to a group."""
        [view] = self.planner._views.service_views(self.table, now=now)
        return view.free

    def appends(self, now: float) -> AppendGroups | None:
        """Return the append that is due."""
        return self.planner.look(now=now)[1]

    def settled(self) -> AppendGroups:
        """Let the list settle and return the first append."""
        self.planner.listed([], end=7, now=0.0)
        self.planner.look(now=START_DELAY)
        asked = self.appends(START_DELAY + FLEET_SETTLED_AFTER + 0.1)
        assert asked is not None
        return asked


@pytest.fixture
def zone() -> Zone:
    return Zone()


def test_nothing_is_decided_before_the_log_was_read(zone: Zone) -> None:
    """Show that a new planner doesn't form groups beside those that run.

    Symptom: servers are joined to groups while the heads of theirs are open.
    Sequence: a planner is killed, and its successor decides at once.
    Cause: it hasn't read the records of the groups that run.
    """
    assert zone.appends(5.0) is None
    zone.planner.listed([], end=0, now=5.0)
    zone.planner.look(now=5.0)
    assert zone.appends(5.0 + FLEET_SETTLED_AFTER + 0.1) is not None


def test_servers_that_are_still_appearing_are_waited_for(zone: Zone) -> None:
    zone.planner.listed([], end=0, now=0.0)
    zone.planner.look(now=START_DELAY)
    zone.directory.put(server("late"), now=0.0)
    assert zone.appends(START_DELAY + 0.5) is None
    assert zone.appends(START_DELAY + 0.9 + FLEET_SETTLED_AFTER) is not None


def test_services_settle_each_by_itself() -> None:
    """Show that a second service with groups doesn't hold up the first.

    Symptom: at the start no group is formed for five seconds.
    Sequence: two services have servers that form groups, in different numbers.
    Cause: one counter was compared with both numbers in turn, and never stood still.
    """
    zone = Zone(services=("engines", "others"))
    zone.planner.listed([], end=0, now=0.0)
    now = START_DELAY
    asked = None
    while asked is None and now < MAX_SETTLING_TIME:
        asked = zone.appends(now)
        now += 0.1
    assert now < START_DELAY + FLEET_SETTLED_AFTER + 0.3


def test_epochs_follow_from_the_place_in_the_log(zone: Zone) -> None:
    asked = zone.settled()
    assert asked.at == 7
    assert [group.epoch for group in asked.formed] == [
        8 + index for index in range(len(asked.formed))
    ]
    assert len({group.name for group in asked.formed}) == len(asked.formed)


def test_orders_are_given_only_once_the_records_are_in(zone: Zone) -> None:
    asked = zone.settled()
    orders, _ = zone.planner.look(now=4.0)
    assert orders == []
    zone.planner.appended(asked, end=7 + len(asked.formed), now=4.0)
    orders, _ = zone.planner.look(now=4.1)
    assert {order.kind for order in orders} <= {OrderKind.JOIN, OrderKind.STAGE}
    joined = [order for order in orders if order.kind is OrderKind.JOIN]
    assert len(joined) == sum(len(group.members) for group in asked.formed)


def test_an_append_without_an_answer_is_made_again_at_the_same_place(
    zone: Zone,
) -> None:
    """Show that an append that was carried out late forms no second group.

    Symptom: a server is in two groups.
    Sequence: an append gets no answer, the planner decides anew, and the first one
    is carried out seconds later.
    Cause: both would be at places of their own.
    """
    asked = zone.settled()
    asked_at = START_DELAY + FLEET_SETTLED_AFTER + 0.1
    zone.planner.append_failed(end=None)
    assert zone.appends(asked_at + APPEND_TIMEOUT - 0.1) is None
    assert zone.appends(asked_at + APPEND_TIMEOUT + 0.1) == asked


def test_another_planners_records_come_first(zone: Zone) -> None:
    asked = zone.settled()
    zone.planner.append_failed(end=9)
    theirs = replace(asked.formed[0], epoch=8)
    zone.planner.recorded(theirs, end=8, now=3.0)
    assert zone.appends(3.1) is None
    again = zone.appends(3.2 + FLEET_SETTLED_AFTER)
    assert again is not None
    assert again.at == 8
    theirs_ids = set(theirs.member_ids)
    assert all(not theirs_ids & set(group.member_ids) for group in again.formed)


def test_records_of_ended_groups_are_dropped_with_the_next(zone: Zone) -> None:
    asked = zone.settled()
    zone.planner.appended(asked, end=7 + len(asked.formed), now=4.0)
    gone = asked.formed[0]
    zone.planner.manager.end(gone.name, "test", now=4.0)
    # No member shows this group, so nothing of it can serve.
    zone.planner.look(now=4.1)
    assert zone.planner.manager.phase_of(gone.name) is GroupPhase.RETIRED
    zone.planner.look(now=4.2)
    again = zone.appends(4.3 + FLEET_SETTLED_AFTER)
    assert again is not None
    assert again.dropped == (gone.name,)


def _served(zone: Zone) -> GroupRecord:
    """Let the first append come true, and a group of it serve."""
    asked = zone.settled()
    zone.planner.appended(asked, end=7 + len(asked.formed), now=4.0)
    group = asked.formed[0]
    _report(zone, group, *group.member_ids)
    zone.planner.look(now=4.1)
    return group


def _report(zone: Zone, group: GroupRecord, *server_ids: str) -> None:
    for server_id in server_ids:
        rank = group.member_ids.index(server_id)
        state = GroupState.READY if rank else GroupState.OPEN
        report = GroupReport(name=group.name, epoch=group.epoch, rank=rank, state=state)
        found = zone.directory.by_id[server_id]
        models = frozenset({group.model})
        zone.directory.put(replace(found, group=report, models=models), now=0.0)


def test_a_record_that_is_dropped_late_is_written_anew(zone: Zone) -> None:
    """Show that a group that serves is not forgotten with its record.

    Symptom: a server is joined to a group while the head of its own is open.
    Sequence: a planner ends a group, its append that drops the record gets no
    answer, and its successor forms the group anew.  Then the append is carried out.
    Cause: without its record the members of the group looked free.
    """
    group = _served(zone)
    zone.planner.dropped(group.name, end=20)
    assert set(group.member_ids) <= zone.planner.manager.occupied_ids()
    again = zone.appends(4.3)
    assert again is not None
    assert again.restored == (group,)
    assert again.at == 20


def test_a_group_without_a_record_is_taken_over(zone: Zone) -> None:
    group = _served(zone)
    successor = Zone()
    for server_id in group.member_ids:
        successor.directory.put(zone.directory.by_id[server_id], now=0.0)
    successor.planner.listed([], end=7, now=0.0)
    for now in (START_DELAY, START_DELAY + 0.5, START_DELAY + 1.4):
        asked = successor.appends(now)
        # Meanwhile its members are free for nothing.
        formed = asked.formed if asked else ()
        occupied_ids = {item for other in formed for item in other.member_ids}
        assert not occupied_ids & set(group.member_ids)
    successor.planner.look(now=START_DELAY + ADOPT_AFTER + 0.1)
    manager = successor.planner.manager
    assert set(group.member_ids) <= manager.occupied_ids()
    assert manager.phase_of(group.name) is not GroupPhase.ENDING


def test_a_part_of_a_group_without_a_record_is_ended(zone: Zone) -> None:
    group = _served(zone)
    successor = Zone()
    for server_id in group.member_ids[:-1]:
        successor.directory.put(zone.directory.by_id[server_id], now=0.0)
    successor.planner.listed([], end=7, now=0.0)
    successor.planner.look(now=START_DELAY)
    successor.planner.look(now=START_DELAY + ADOPT_AFTER + 0.1)
    orders, _ = successor.planner.look(now=START_DELAY + ADOPT_AFTER + 0.2)
    head_id = group.head.server_id
    left = [order.server_id for order in orders if order.kind is OrderKind.LEAVE]
    assert successor.planner.manager.phase_of(group.name) is GroupPhase.ENDING
    assert left in ([], [head_id])


def test_members_whose_head_does_not_show_are_waited_for(zone: Zone) -> None:
    group = _served(zone)
    successor = Zone(n_servers=0)
    for server_id in group.member_ids[1:]:
        successor.directory.put(zone.directory.by_id[server_id], now=0.0)
    successor.planner.listed([], end=7, now=0.0)
    successor.planner.look(now=START_DELAY)
    assert successor.free(START_DELAY + 1.0) == []
    later = START_DELAY + STALL_TIME + STALL_SLACK + 0.1
    assert len(successor.free(later)) == len(group.members) - 1


def _end_unseen(zone: Zone) -> tuple[GroupRecord, BackendServer]:
    """Let the head of a group fall silent until its members are free.

    Returns
    -------
    tuple of GroupRecord and BackendServer
        The group, and the head's entry as it was.
    """
    group = _served(zone)
    head = zone.directory.by_id[group.head.server_id]
    zone.directory.remove(head.id, heard_at=4.2)
    later = 4.2 + STALL_TIME + STALL_SLACK + 0.2
    for now in (4.3, later, later + 0.1):
        for order in zone.planner.look(now=now)[0]:
            if order.server_id != head.id:
                zone.planner.manager.answered(order, OrderOutcome.APPLIED, now=now)
    assert zone.planner.manager.phase_of(group.name) is GroupPhase.RETIRED
    return group, head


def test_a_head_that_comes_back_open_is_given_to_no_group(zone: Zone) -> None:
    """Show that a head whose group was taken for ended leaves it before all else.

    Symptom: a server is joined to a group while the former one, of which it is the
    head and which it has not left, is open.
    Sequence: the head is cut off from the store and crashes; its members are free once
    its group must have broken off.  Orders to join and to open it that went unanswered
    are carried out late, and behind the cut the head serves anew when it shows again.
    Cause: a group that had ended once counted as ended for good.
    """
    group, head = _end_unseen(zone)
    zone.directory.put(replace(head, started_at=2), now=12.0)
    zone.planner.look(now=12.0)
    assert head.id not in {server.id for server in zone.free(12.0)}
    orders, _ = zone.planner.look(now=12.1 + ADOPT_AFTER)
    orders += zone.planner.look(now=12.2 + ADOPT_AFTER)[0]
    left = [order.server_id for order in orders if order.kind is OrderKind.LEAVE]
    assert left == [head.id]
    zone.directory.put(replace(head, started_at=2, group=None), now=15.0)
    zone.planner.look(now=15.0)
    assert head.id in {server.id for server in zone.free(15.0)}


def test_a_head_that_is_back_alone_gets_no_record(zone: Zone) -> None:
    """Show that what is left of a group is never opened as a group of its own.

    Symptom: a request runs in a group of one, where the model needs four.
    Sequence: a head is back in a group that had ended, which is taken over with the
    one member that shows it, to be ended; its record is written, all hosts are started
    anew, and the next planner takes the record for a group that is ready to open.
    Cause: groups that were being ended got a record as well.
    """
    _, head = _end_unseen(zone)
    zone.directory.put(replace(head, started_at=2), now=12.0)
    restored = []
    for now in (12.0, 12.1 + ADOPT_AFTER, 12.2 + ADOPT_AFTER, 12.3 + ADOPT_AFTER):
        asked = zone.appends(now)
        if asked is not None:
            restored += asked.restored
            n_records = len(asked.formed) + len(asked.restored) + len(asked.dropped)
            zone.planner.appended(asked, end=asked.at + n_records, now=now)
    assert restored == []


def test_a_record_that_lacks_members_is_never_opened(zone: Zone) -> None:
    head = zone.directory.by_id["i0"]
    lone = GroupRecord(
        name="z-3",
        epoch=3,
        service="engines",
        model="large",
        availability_zone="z",
        members=(Member(server_id=head.id, address=head.address),),
    )
    _report(zone, lone, head.id)
    zone.planner.listed([lone], end=7, now=0.0)
    for now in (START_DELAY, START_DELAY + 0.1):
        orders, _ = zone.planner.look(now=now)
        assert [order.kind for order in orders] in ([], [OrderKind.LEAVE])
    assert zone.planner.manager.phase_of(lone.name) is GroupPhase.ENDING


def _leave(zone: Zone, group: GroupRecord) -> BackendServer:
    """Let the head of a group leave when it is told to; return its former entry."""
    zone.planner.manager.end(group.name, "test", now=4.2)
    [order] = [
        order
        for order in zone.planner.look(now=4.3)[0]
        if order.kind is OrderKind.LEAVE
    ]
    zone.planner.manager.answered(order, OrderOutcome.APPLIED, now=4.3)
    return zone.directory.by_id[group.head.server_id]


def test_a_head_that_has_left_is_free_before_its_entry_shows_so(zone: Zone) -> None:
    head = _leave(zone, _served(zone))
    assert head.group.state is GroupState.OPEN
    assert head.id in {server.id for server in zone.free(4.4)}


@pytest.mark.parametrize("state", [GroupState.READY, GroupState.OPEN])
def test_a_head_that_late_orders_take_back_is_given_to_no_group(
    zone: Zone, state: GroupState
) -> None:
    """Show that what a head showed before it left says nothing of what it shows now.

    Symptom: a server is joined to a group while the former one, of which it is the
    head, is open.
    Sequence: orders to join and to open go unanswered and are given again; the group
    serves, and its head leaves.  Then the first orders are carried out, and the
    entry is the very same as before the head left.
    Cause: an entry that looks the same was taken for one from before the end.
    """
    head = _leave(zone, _served(zone))
    zone.directory.put(replace(head, group=None, models=frozenset()), now=4.5)
    zone.planner.look(now=4.5)
    back = replace(head, group=replace(head.group, state=state))
    zone.directory.put(back, now=5.0)
    zone.planner.look(now=5.0)
    assert head.id not in {server.id for server in zone.free(5.0)}


def test_loads_are_paced_once_callers_have_come() -> None:
    zone = Zone(n_servers=40)
    zone.demand = {"large": 0.1, "small": 0.1}
    zone.planner.listed([], end=0, now=0.0)
    n_loads = 0
    end = 0
    for tick in range(50):
        now = START_DELAY + tick * 0.1
        orders, asked = zone.planner.look(now=now)
        n_loads += sum(order.kind is OrderKind.STAGE for order in orders)
        if asked is not None:
            n_loads += sum(record.warms_up for record in asked.formed)
            end += len(asked.formed)
            zone.planner.appended(asked, end=end, now=now)
    assert 0 < n_loads <= ENGINE.loads_per_second * 5.0


def test_spares_hold_both_models_before_callers_come(zone: Zone) -> None:
    """Let servers be lost one after the other, whatever groups they are in.

    Symptom: a fifth of all server-seconds is spent by spares that wait, while the
    groups of one model are overloaded.
    Sequence: a domain of eight forms a group of four and one of two; two servers stay
    spare, and hold the weights of the largest model only.  A loss in the small group
    finds no spare that can join within seconds.
    Cause: a host keeps one model's weights staged.
    """
    asked = zone.settled()
    warm_ups = [record for record in asked.formed if record.warms_up]
    assert [len(record.members) for record in warm_ups] == [1, 1]
    zone.planner.appended(asked, end=asked.at + len(asked.formed), now=3.0)
    orders, _ = zone.planner.look(now=3.1)
    joined = {order.server_id for order in orders if order.kind is OrderKind.JOIN}
    assert {record.head.server_id for record in warm_ups} < joined
    for record in warm_ups:
        _warmed(zone, record)
    orders, _ = zone.planner.look(now=3.2)
    assert not any(order.kind is OrderKind.OPEN for order in orders)
    spares = {record.head.server_id: record.model for record in warm_ups}
    assert {server.id for server in zone.free(3.3)} == set(spares)
    orders += zone.planner.look(now=3.3 + FLEET_SETTLED_AFTER)[0]
    staged = {
        order.server_id: order.model
        for order in orders
        if order.kind is OrderKind.STAGE and order.server_id in spares
    }
    assert staged == {
        server_id: "small" if model == "large" else "large"
        for server_id, model in spares.items()
    }


def _warmed(zone: Zone, record: GroupRecord) -> None:
    """Show a server that has joined a group of its own, and staged the weights."""
    report = GroupReport(
        name=record.name, epoch=record.epoch, rank=0, state=GroupState.READY
    )
    found = replace(
        zone.directory.by_id[record.head.server_id],
        group=report,
        models=frozenset({record.model}),
        staged=frozenset({record.model}),
    )
    zone.directory.put(found, now=0.0)


def test_a_server_that_joins_alone_is_no_group_to_other_zones(zone: Zone) -> None:
    """Show that other zones don't count on what never opens.

    Symptom: a model is given too few groups while empty servers of another zone load.
    Sequence: a server joins a group of its own, and reports to be its head.
    Cause: each head that the list shows was counted as a group.
    """
    asked = zone.settled()
    zone.demand = {"large": 1.0, "small": 1.0}
    counts = [0, 0]
    for index, n_members in enumerate((1, 4)):
        for rank in range(n_members):
            report = GroupReport(
                name="y-1", epoch=index + 1, rank=rank, state=GroupState.READY
            )
            far = server(
                f"far-{index}-{rank}",
                zone="y",
                models=frozenset({"large"}),
                group=report,
            )
            zone.directory.put(far, now=0.0)
        [view] = zone.planner._views.service_views(zone.table, now=9.0)
        counts[index] = view.rules.groups_by_model["large"]
    assert counts[1] - counts[0] == 1
    assert counts[0] == 0
    assert asked.formed


def test_nothing_is_taken_apart_while_the_store_is_away() -> None:
    """Let a model be short of groups during an outage of the store.

    Symptom: half of a model's groups end during an outage of the store, and nothing is
    formed of them for eight seconds.  Sequence: a burst makes another model needier,
    and the store goes away; each zone's planner ends a group so that its members
    complete one of the needier model.  Cause: that a group can't be formed without
    the store was not considered.
    """
    zone = Zone()
    small = GroupRecord(
        name="z-1",
        epoch=1,
        service="engines",
        model="small",
        availability_zone="z",
        members=tuple(Member(server_id=f"i{i}", address=f"i{i}:80") for i in (0, 1)),
    )
    for index in range(8):
        rank = index if index < 2 else None
        state = GroupState.OPEN if rank == 0 else GroupState.READY
        report = GroupReport(name="z-1", epoch=1, rank=rank or 0, state=state)
        zone.directory.put(
            server(
                f"i{index}",
                domain="d0",
                models=frozenset({"small" if index < 2 else "large"}),
                staged=frozenset({"large"}),
                group=report if rank is not None else None,
            ),
            now=0.0,
        )
    for index in range(5, 8):
        zone.directory.remove(f"i{index}", heard_at=0.0)
    zone.demand = {"large": 3.0, "small": 0.1}
    zone.planner.listed([small], end=1, now=0.0)
    zone.list_is_stale = True
    for step in range(10, 40):
        zone.planner.look(now=step * 0.1)
    assert zone.planner.manager.disbanding() == []
    zone.list_is_stale = False
    for step in range(40, 70):
        zone.planner.look(now=step * 0.1)
    assert [record.name for record in zone.planner.manager.disbanding()] == ["z-1"]


def test_a_head_that_has_left_mends_its_own_group(zone: Zone) -> None:
    """Lose members of groups one after the other, and mend each from its survivors.

    Symptom: each loss uses up two spares, and after three a domain can't form another
    large group.
    Sequence: a member is lost, the head is told to leave, and shows no model from then
    on; the group is formed anew of the other survivors and of spares.
    Cause: what a server serves was read from its entry alone, though it joins groups
    of its last model in an instant also after it has left one.
    """
    asked = zone.settled()
    zone.planner.appended(asked, end=7 + len(asked.formed), now=4.0)
    group = next(record for record in asked.formed if record.model == "large")
    _report(zone, group, *group.member_ids)
    zone.planner.look(now=4.1)
    zone.demand = {"large": 2.0, "small": 0.1}
    for record in asked.formed:
        if record.warms_up:
            _warmed(zone, record)
            spare = zone.directory.by_id[record.head.server_id]
            spare = replace(spare, staged=frozenset({"large"}))
            zone.directory.put(spare, now=4.2)
    head, lost = group.head.server_id, group.member_ids[-1]
    zone.directory.remove(lost, heard_at=4.2)
    zone.planner.manager.end(group.name, "member_silent", now=4.3)
    left = replace(zone.directory.by_id[head], models=frozenset(), group=None)
    zone.directory.put(left, now=4.4)
    again = zone.appends(4.5)
    assert again is not None
    [mended] = [record for record in again.formed if record.model == "large"]
    assert head in mended.member_ids
    assert len(set(mended.member_ids) & {"i6", "i7"}) == 1


def test_loads_are_paced_after_all_hosts_were_started_anew() -> None:
    """Show that a planner that has seen no request yet doesn't take it for the start.

    Symptom: more loads from the weight store begin within five seconds than may.
    Sequence: all hosts lose their power and start anew beside servers that run on; no
    host has seen a request yet, and planners let all servers load what they lack.
    Cause: that loads are quick and free was told from there being no requests, which is
    so too in the first moments after a loss of all hosts.
    """
    zone = Zone(n_servers=40)
    earlier = GroupRecord(
        name="z-12",
        epoch=12,
        service="engines",
        model="small",
        availability_zone="z",
        members=(Member(server_id="gone", address="gone:80"),),
    )
    zone.planner.listed([earlier], end=12, now=0.0)
    n_loads = 0
    end = 12
    for tick in range(50):
        now = START_DELAY + tick * 0.1
        orders, asked = zone.planner.look(now=now)
        n_loads += sum(order.kind is OrderKind.STAGE for order in orders)
        if asked is not None:
            assert all(record.warms_up for record in asked.formed)
            n_loads += len(asked.formed)
            end += len(asked.formed)
            zone.planner.appended(asked, end=end, now=now)
    assert 0 < n_loads <= ENGINE.loads_per_second * 5.0


def test_a_log_that_ends_earlier_after_the_stores_return_is_appended_to(
    zone: Zone,
) -> None:
    """Guard against planners that wait for an end which a later era doesn't have."""
    group = _served(zone)
    zone.planner.listed([], end=5, era=1, now=5.0)
    again = zone.appends(5.1)
    assert again is not None
    assert (again.at, again.era) == (5, 1)
    assert again.restored[0] == group


def test_no_epoch_is_given_out_again_after_the_stores_return(zone: Zone) -> None:
    """Guard against two groups under one epoch and name."""
    asked = zone.settled()
    zone.planner.listed([], end=7, era=1, now=3.0)
    again = zone.appends(3.1)
    assert again is not None
    assert again.at == asked.at
    epochs = {group.epoch for group in asked.formed}
    assert min(group.epoch for group in again.formed) > max(epochs)
    names = {group.name for group in (*asked.formed, *again.formed)}
    assert len(names) == len(asked.formed) + len(again.formed)


def test_a_copy_brings_back_no_group_that_has_ended(zone: Zone) -> None:
    """Guard against a group that is formed anew by the record of an older copy."""
    group = _served(zone)
    for server_id in group.member_ids:
        found = zone.directory.by_id[server_id]
        zone.directory.put(replace(found, group=None), now=4.2)
    zone.planner.manager.end(group.name, "test", now=4.2)
    zone.planner.look(now=4.3)
    assert zone.planner.manager.phase_of(group.name) is GroupPhase.RETIRED
    zone.planner.manager.forget(group.name)
    zone.planner.listed([group], end=5, era=1, now=5.0)
    orders, again = zone.planner.look(now=5.1)
    assert not [order for order in orders if order.group == group.name]
    assert again is not None
    assert again.dropped == (group.name,)


def test_an_append_that_a_later_era_has_taken_counts_for_nothing(zone: Zone) -> None:
    """Guard against a condition that happens to hold in an older state of the store."""
    asked = zone.settled()
    zone.planner.appended(asked, end=7 + len(asked.formed), era=1, now=3.0)
    zone.planner.listed(list(asked.formed), end=7 + len(asked.formed), era=1, now=3.1)
    orders, again = zone.planner.look(now=3.2 + FLEET_SETTLED_AFTER)
    assert not [order for order in orders if order.kind is OrderKind.JOIN]
    assert again is not None
    assert set(again.dropped) == {group.name for group in asked.formed}
    assert min(group.epoch for group in again.formed) > 1 << OFFSET_BITS


def test_no_group_is_formed_in_an_evacuated_zone() -> None:
    """Guard against groups of servers that are to get nothing."""
    zone = Zone()
    zone.planner._is_evacuated = lambda name: name == "z"
    zone.planner.listed([], end=7, now=0.0)
    zone.planner.look(now=START_DELAY)
    settled_at = START_DELAY + FLEET_SETTLED_AFTER + 0.1
    assert zone.planner.look(now=settled_at) == ([], None)
    zone.planner._is_evacuated = lambda name: False
    assert zone.appends(settled_at + 0.1) is not None
