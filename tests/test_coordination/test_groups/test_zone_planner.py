"""Test how the planner of a zone decides on groups and records them in the store."""

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
from ryelever.relay_settings import ContentionMode
from ryelever.state.directory import BackendServer, Directory, GroupReport, GroupState
from ryelever.state.routes import RoutedService, RouteTable

from .group_fakes import STALL_TIME, server
from .test_group_forming import ENGINE


class Zone:
    """A planner with the servers, demand and settings that it sees."""

    def __init__(
        self,
        *,
        n_servers: int = 8,
        services: tuple[str, ...] = ("engines",),
        contention: ContentionMode = ContentionMode.AUTO,
    ) -> None:
        self.directory = Directory()
        for index in range(n_servers):
            self.directory.put(server(f"i{index}", domain=f"d{index // 8}"), now=0.0)
        self.other_reshaped_zones: set[str] = set()
        self.demand: dict[str, float] = {}
        self.waiting_work: dict[str, float] = {}
        self.urgent_demand: dict[str, float] = {}
        self.lines: list[tuple[str, dict[str, object]]] = []
        self.list_is_stale = False
        services = [
            RoutedService(name=name, max_connections=100, engine=ENGINE)
            for name in services
        ]
        self.route_table = RouteTable(
            version=1,
            routes_by_host={},
            services_by_name={item.name: item for item in services},
            account_by_key={},
            requires_keys=False,
        )
        self.planner = ZonePlanner(
            zone="z",
            n_zones=1,
            is_local=True,
            directory=self.directory,
            route_table=lambda: self.route_table,
            demand=lambda: self.demand,
            waiting_work=lambda: self.waiting_work,
            urgent_demand=lambda: self.urgent_demand,
            contention=contention,
            other_reshaped_zones=lambda: self.other_reshaped_zones,
            observe=lambda phase, seconds: None,
            list_is_stale=lambda: self.list_is_stale,
            stall_time=STALL_TIME,
            since=0.0,
            log=lambda event, **fields: self.lines.append((event, fields)),
        )

    def free(self, now: float) -> list[BackendServer]:
        """Return the servers that may join a group."""
        [view] = self.planner._views.service_views(self.route_table, now=now)
        return view.free

    def appends(self, now: float) -> AppendGroups | None:
        """Return the append that is due."""
        return self.planner.run_planning_pass(now=now)[1]

    def settled(self) -> AppendGroups:
        """Wait until the server list has settled and return the first append."""
        self.planner.apply_full_list([], end=7, now=0.0)
        self.planner.run_planning_pass(now=START_DELAY)
        append = self.appends(START_DELAY + FLEET_SETTLED_AFTER + 0.1)
        assert append is not None
        return append


@pytest.fixture
def zone() -> Zone:
    return Zone()


def test_nothing_is_decided_before_the_log_was_read(zone: Zone) -> None:
    """Guard against servers that join groups while their former heads are open.

    A planner is killed, and its successor must not decide before it has read the
    records of the groups that exist.
    """
    assert zone.appends(5.0) is None
    zone.planner.apply_full_list([], end=0, now=5.0)
    zone.planner.run_planning_pass(now=5.0)
    assert zone.appends(5.0 + FLEET_SETTLED_AFTER + 0.1) is not None


def test_forming_waits_until_servers_are_listed(zone: Zone) -> None:
    zone.planner.apply_full_list([], end=0, now=0.0)
    zone.planner.run_planning_pass(now=START_DELAY)
    zone.directory.put(server("late"), now=0.0)
    assert zone.appends(START_DELAY + 0.5) is None
    assert zone.appends(START_DELAY + 0.9 + FLEET_SETTLED_AFTER) is not None


def test_each_service_settles_separately() -> None:
    """Guard against a start at which no group is formed for five seconds.

    With two services, one counter of free servers would be compared with the numbers of
    both services in turn, and never settle.
    """
    zone = Zone(services=("engines", "others"))
    zone.planner.apply_full_list([], end=0, now=0.0)
    now = START_DELAY
    append = None
    while append is None and now < MAX_SETTLING_TIME:
        append = zone.appends(now)
        now += 0.1
    assert now < START_DELAY + FLEET_SETTLED_AFTER + 0.3


def test_epochs_follow_from_the_log_offset(zone: Zone) -> None:
    append = zone.settled()
    assert append.at == 7
    assert [group.epoch for group in append.formed] == [
        8 + index for index in range(len(append.formed))
    ]
    assert len({group.name for group in append.formed}) == len(append.formed)


def test_orders_are_sent_only_after_the_records_are_appended(zone: Zone) -> None:
    append = zone.settled()
    orders, _ = zone.planner.run_planning_pass(now=4.0)
    assert orders == []
    zone.planner.confirm_append(append, end=7 + len(append.formed), now=4.0)
    orders, _ = zone.planner.run_planning_pass(now=4.1)
    assert {order.kind for order in orders} <= {OrderKind.JOIN, OrderKind.STAGE}
    joined = [order for order in orders if order.kind is OrderKind.JOIN]
    assert len(joined) == sum(len(group.members) for group in append.formed)


def test_unanswered_append_is_resent_at_the_same_offset(
    zone: Zone,
) -> None:
    """Guard against a server that is in two groups.

    An append gets no answer and is executed seconds later.  A new append at a different
    offset could also succeed, so the same append is sent again instead.
    """
    append = zone.settled()
    append_sent_at = START_DELAY + FLEET_SETTLED_AFTER + 0.1
    zone.planner.fail_append(end=None)
    assert zone.appends(append_sent_at + APPEND_TIMEOUT - 0.1) is None
    assert zone.appends(append_sent_at + APPEND_TIMEOUT + 0.1) == append


def test_records_of_another_planner_come_first(zone: Zone) -> None:
    append = zone.settled()
    zone.planner.fail_append(end=9)
    other_record = replace(append.formed[0], epoch=8)
    zone.planner.apply_record(other_record, end=8, now=3.0)
    assert zone.appends(3.1) is None
    next_append = zone.appends(3.2 + FLEET_SETTLED_AFTER)
    assert next_append is not None
    assert next_append.at == 8
    other_ids = set(other_record.member_ids)
    assert all(not other_ids & set(group.member_ids) for group in next_append.formed)


def test_records_of_ended_groups_are_dropped_with_the_next_append(zone: Zone) -> None:
    append = zone.settled()
    zone.planner.confirm_append(append, end=7 + len(append.formed), now=4.0)
    gone = append.formed[0]
    zone.planner.manager.end(gone.name, "test", now=4.0)
    # No member reports this group, so no part of it can serve.
    zone.planner.run_planning_pass(now=4.1)
    assert zone.planner.manager.phase_of(gone.name) is GroupPhase.RETIRED
    zone.planner.run_planning_pass(now=4.2)
    next_append = zone.appends(4.3 + FLEET_SETTLED_AFTER)
    assert next_append is not None
    assert next_append.dropped == (gone.name,)


def _serve_first_group(zone: Zone) -> GroupRecord:
    """Confirm the first append and list the first of its groups as serving."""
    append = zone.settled()
    zone.planner.confirm_append(append, end=7 + len(append.formed), now=4.0)
    group = append.formed[0]
    _report(zone, group, *group.member_ids)
    zone.planner.run_planning_pass(now=4.1)
    return group


def _report(zone: Zone, group: GroupRecord, *server_ids: str) -> None:
    for server_id in server_ids:
        rank = group.member_ids.index(server_id)
        state = GroupState.READY if rank else GroupState.OPEN
        report = GroupReport(name=group.name, epoch=group.epoch, rank=rank, state=state)
        entry = zone.directory.by_id[server_id]
        models = frozenset({group.model})
        zone.directory.put(replace(entry, group=report, models=models), now=0.0)


def test_record_dropped_late_is_written_again(zone: Zone) -> None:
    """Guard against a server that joins a group while its former head is open.

    A planner ends a group, and its append that drops the record gets no answer.  Its
    successor forms the group again, and then the append is executed.  Without a record
    the members of the group would appear to be free.
    """
    group = _serve_first_group(zone)
    zone.planner.apply_removal(group.name, end=20)
    assert set(group.member_ids) <= zone.planner.manager.occupied_ids()
    next_append = zone.appends(4.3)
    assert next_append is not None
    assert next_append.restored == (group,)
    assert next_append.at == 20


def test_group_without_a_record_is_adopted(zone: Zone) -> None:
    group = _serve_first_group(zone)
    successor = Zone()
    for server_id in group.member_ids:
        successor.directory.put(zone.directory.by_id[server_id], now=0.0)
    successor.planner.apply_full_list([], end=7, now=0.0)
    for now in (START_DELAY, START_DELAY + 0.5, START_DELAY + 1.4):
        append = successor.appends(now)
        # Until the group is adopted, its members are not free.
        formed = append.formed if append else ()
        occupied_ids = {item for other in formed for item in other.member_ids}
        assert not occupied_ids & set(group.member_ids)
    successor.planner.run_planning_pass(now=START_DELAY + ADOPT_AFTER + 0.1)
    manager = successor.planner.manager
    assert set(group.member_ids) <= manager.occupied_ids()
    assert manager.phase_of(group.name) is not GroupPhase.ENDING


def test_incomplete_group_without_a_record_is_ended(zone: Zone) -> None:
    group = _serve_first_group(zone)
    successor = Zone()
    for server_id in group.member_ids[:-1]:
        successor.directory.put(zone.directory.by_id[server_id], now=0.0)
    successor.planner.apply_full_list([], end=7, now=0.0)
    successor.planner.run_planning_pass(now=START_DELAY)
    successor.planner.run_planning_pass(now=START_DELAY + ADOPT_AFTER + 0.1)
    orders, _ = successor.planner.run_planning_pass(now=START_DELAY + ADOPT_AFTER + 0.2)
    head_id = group.head.server_id
    leave_targets = [
        order.server_id for order in orders if order.kind is OrderKind.LEAVE
    ]
    assert successor.planner.manager.phase_of(group.name) is GroupPhase.ENDING
    assert leave_targets in ([], [head_id])


def test_members_of_an_unrecorded_group_without_a_head_are_held(zone: Zone) -> None:
    group = _serve_first_group(zone)
    successor = Zone(n_servers=0)
    for server_id in group.member_ids[1:]:
        successor.directory.put(zone.directory.by_id[server_id], now=0.0)
    successor.planner.apply_full_list([], end=7, now=0.0)
    successor.planner.run_planning_pass(now=START_DELAY)
    assert successor.free(START_DELAY + 1.0) == []
    later = START_DELAY + STALL_TIME + STALL_SLACK + 0.1
    assert len(successor.free(later)) == len(group.members) - 1


def _retire_with_silent_head(zone: Zone) -> tuple[GroupRecord, BackendServer]:
    """Remove the head of a serving group from the list until its members are free.

    Returns
    -------
    tuple of GroupRecord and BackendServer
        The group and the head's last entry.
    """
    group = _serve_first_group(zone)
    head = zone.directory.by_id[group.head.server_id]
    zone.directory.remove(head.id, last_renewed_at=4.2)
    later = 4.2 + STALL_TIME + STALL_SLACK + 0.2
    for now in (4.3, later, later + 0.1):
        for order in zone.planner.run_planning_pass(now=now)[0]:
            if order.server_id != head.id:
                zone.planner.manager.record_outcome(
                    order, OrderOutcome.APPLIED, now=now
                )
    assert zone.planner.manager.phase_of(group.name) is GroupPhase.RETIRED
    return group, head


def test_head_that_returns_open_joins_no_group(zone: Zone) -> None:
    """Guard against a head that joins a group while its former group is open.

    The head is cut off from the store and crashes, and the other members are free once
    the group must be broken.  The restarted head executes unanswered orders to join and
    to open late, and serves again when it is listed.  An ended group can be revived
    this way, so the head must first leave it.
    """
    group, head = _retire_with_silent_head(zone)
    zone.directory.put(replace(head, started_at=2), now=12.0)
    zone.planner.run_planning_pass(now=12.0)
    assert head.id not in {server.id for server in zone.free(12.0)}
    orders, _ = zone.planner.run_planning_pass(now=12.1 + ADOPT_AFTER)
    orders += zone.planner.run_planning_pass(now=12.2 + ADOPT_AFTER)[0]
    leave_targets = [
        order.server_id for order in orders if order.kind is OrderKind.LEAVE
    ]
    assert leave_targets == [head.id]
    zone.directory.put(replace(head, started_at=2, group=None), now=15.0)
    zone.planner.run_planning_pass(now=15.0)
    assert head.id in {server.id for server in zone.free(15.0)}


def test_returned_head_without_members_gets_no_record(zone: Zone) -> None:
    """Guard against a request that runs in a group of one where the model needs four.

    A head returns in an ended group, and the planner adopts the group with this only
    member in order to end it.  If its record were written, and all hosts restarted, the
    next planner would take the record for a group that is ready to open.
    """
    _, head = _retire_with_silent_head(zone)
    zone.directory.put(replace(head, started_at=2), now=12.0)
    restored = []
    for now in (12.0, 12.1 + ADOPT_AFTER, 12.2 + ADOPT_AFTER, 12.3 + ADOPT_AFTER):
        append = zone.appends(now)
        if append is not None:
            restored += append.restored
            n_records = len(append.formed) + len(append.restored) + len(append.dropped)
            zone.planner.confirm_append(append, end=append.at + n_records, now=now)
    assert restored == []


def test_group_whose_record_lacks_members_is_never_opened(zone: Zone) -> None:
    head = zone.directory.by_id["i0"]
    incomplete = GroupRecord(
        name="z-3",
        epoch=3,
        service="engines",
        model="large",
        availability_zone="z",
        members=(Member(server_id=head.id, address=head.address),),
    )
    _report(zone, incomplete, head.id)
    zone.planner.apply_full_list([incomplete], end=7, now=0.0)
    for now in (START_DELAY, START_DELAY + 0.1):
        orders, _ = zone.planner.run_planning_pass(now=now)
        assert [order.kind for order in orders] in ([], [OrderKind.LEAVE])
    assert zone.planner.manager.phase_of(incomplete.name) is GroupPhase.ENDING


def _end_by_leaving(zone: Zone, group: GroupRecord) -> BackendServer:
    """End a group by an order to its head to leave; return the head's last entry."""
    zone.planner.manager.end(group.name, "test", now=4.2)
    [order] = [
        order
        for order in zone.planner.run_planning_pass(now=4.3)[0]
        if order.kind is OrderKind.LEAVE
    ]
    zone.planner.manager.record_outcome(order, OrderOutcome.APPLIED, now=4.3)
    return zone.directory.by_id[group.head.server_id]


def test_head_that_has_left_is_free_before_its_entry_changes(zone: Zone) -> None:
    head = _end_by_leaving(zone, _serve_first_group(zone))
    assert head.group.state is GroupState.OPEN
    assert head.id in {server.id for server in zone.free(4.4)}


@pytest.mark.parametrize("state", [GroupState.READY, GroupState.OPEN])
def test_head_that_rejoins_by_late_orders_joins_no_other_group(
    zone: Zone, state: GroupState
) -> None:
    """Guard against a head that joins a group while its former group is open.

    Unanswered orders to join and to open are sent again, the group serves, and its head
    leaves.  Then the head executes the first orders, so its new entry equals the one
    from before it left.  An equal entry must not be taken for the former one.
    """
    head = _end_by_leaving(zone, _serve_first_group(zone))
    zone.directory.put(replace(head, group=None, models=frozenset()), now=4.5)
    zone.planner.run_planning_pass(now=4.5)
    returned = replace(head, group=replace(head.group, state=state))
    zone.directory.put(returned, now=5.0)
    zone.planner.run_planning_pass(now=5.0)
    assert head.id not in {server.id for server in zone.free(5.0)}


def test_loads_are_rate_limited_once_requests_arrive() -> None:
    zone = Zone(n_servers=40)
    zone.demand = {"large": 0.1, "small": 0.1}
    zone.planner.apply_full_list([], end=0, now=0.0)
    n_loads = 0
    end = 0
    for tick in range(50):
        now = START_DELAY + tick * 0.1
        orders, append = zone.planner.run_planning_pass(now=now)
        n_loads += sum(order.kind is OrderKind.STAGE for order in orders)
        if append is not None:
            n_loads += sum(record.warms_up for record in append.formed)
            end += len(append.formed)
            zone.planner.confirm_append(append, end=end, now=now)
    assert 0 < n_loads <= ENGINE.loads_per_second * 5.0


def test_spares_load_both_models_before_requests_arrive(zone: Zone) -> None:
    """Guard against idle spares while the groups of one model are overloaded.

    Spares spent a fifth of all server-seconds idle.  A domain of eight forms a group of
    four and one of two, and two servers remain as spares.  A host keeps one model's
    weights staged; if both spares held the largest model only, none could join the
    small group within seconds after a loss.
    """
    append = zone.settled()
    warm_ups = [record for record in append.formed if record.warms_up]
    assert [len(record.members) for record in warm_ups] == [1, 1]
    zone.planner.confirm_append(append, end=append.at + len(append.formed), now=3.0)
    orders, _ = zone.planner.run_planning_pass(now=3.1)
    joined = {order.server_id for order in orders if order.kind is OrderKind.JOIN}
    assert {record.head.server_id for record in warm_ups} < joined
    for record in warm_ups:
        _report_warm_up(zone, record)
    orders, _ = zone.planner.run_planning_pass(now=3.2)
    assert not any(order.kind is OrderKind.OPEN for order in orders)
    spares = {record.head.server_id: record.model for record in warm_ups}
    assert {server.id for server in zone.free(3.3)} == set(spares)
    orders += zone.planner.run_planning_pass(now=3.3 + FLEET_SETTLED_AFTER)[0]
    staged = {
        order.server_id: order.model
        for order in orders
        if order.kind is OrderKind.STAGE and order.server_id in spares
    }
    assert staged == {
        server_id: "small" if model == "large" else "large"
        for server_id, model in spares.items()
    }


def _report_warm_up(zone: Zone, record: GroupRecord) -> None:
    """List a server that is ready in its warm-up group and has the weights staged."""
    report = GroupReport(
        name=record.name, epoch=record.epoch, rank=0, state=GroupState.READY
    )
    entry = replace(
        zone.directory.by_id[record.head.server_id],
        group=report,
        models=frozenset({record.model}),
        staged=frozenset({record.model}),
    )
    zone.directory.put(entry, now=0.0)


def test_warm_up_group_is_not_counted_by_other_zones(zone: Zone) -> None:
    """Guard against a model that gets too few groups while servers warm up elsewhere.

    A server that joins a warm-up group reports to be its head, so not every listed head
    belongs to a group that will serve.
    """
    append = zone.settled()
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
        [view] = zone.planner._views.service_views(zone.route_table, now=9.0)
        counts[index] = view.rules.groups_by_model["large"]
    assert counts[1] - counts[0] == 1
    assert counts[0] == 0
    assert append.formed


def zone_short_of_large_groups(
    contention: ContentionMode = ContentionMode.AUTO,
) -> Zone:
    """Return a zone with one small group and three survivors of a large one."""
    zone = Zone(n_servers=0, contention=contention)
    for index in range(5):
        in_group = index < 2
        state = GroupState.READY if index else GroupState.OPEN
        report = GroupReport(name="z-1", epoch=1, rank=index, state=state)
        entry = server(
            f"i{index}",
            models=frozenset({"small" if in_group else "large"}),
            staged=frozenset({"large"}),
            group=report if in_group else None,
        )
        zone.directory.put(entry, now=0.0)
    small = GroupRecord(
        name="z-1",
        epoch=1,
        service="engines",
        model="small",
        availability_zone="z",
        members=tuple(Member(server_id=f"i{i}", address=f"i{i}:80") for i in (0, 1)),
    )
    zone.demand = {"large": 3.0, "small": 0.1}
    zone.planner.apply_full_list([small], end=1, now=0.0)
    return zone


def test_no_group_is_disbanded_during_a_store_outage() -> None:
    """Guard against a model that loses half of its groups during a store outage.

    A burst makes another model needier, and then the store becomes unavailable.  If
    each zone's planner disbanded a group for the needier model, no group could be
    formed from its members without the store: none was formed for eight seconds.
    """
    zone = zone_short_of_large_groups()
    zone.list_is_stale = True
    for step in range(10, 40):
        zone.planner.run_planning_pass(now=step * 0.1)
    assert zone.planner.manager.disbanding() == []
    zone.list_is_stale = False
    for step in range(40, 70):
        zone.planner.run_planning_pass(now=step * 0.1)
    assert [record.name for record in zone.planner.manager.disbanding()] == ["z-1"]


def test_head_that_has_left_is_reused_for_the_repair(zone: Zone) -> None:
    """Guard against repairs that use two spares instead of one.

    With two spares used for each loss, a domain couldn't form another large group after
    three losses.  After the loss of a member, the head leaves its group and its entry
    shows no model any more, but it can still rejoin groups of its last model almost
    instantly.
    """
    append = zone.settled()
    zone.planner.confirm_append(append, end=7 + len(append.formed), now=4.0)
    group = next(record for record in append.formed if record.model == "large")
    _report(zone, group, *group.member_ids)
    zone.planner.run_planning_pass(now=4.1)
    zone.demand = {"large": 2.0, "small": 0.1}
    for record in append.formed:
        if record.warms_up:
            _report_warm_up(zone, record)
            spare = zone.directory.by_id[record.head.server_id]
            spare = replace(spare, staged=frozenset({"large"}))
            zone.directory.put(spare, now=4.2)
    head, lost = group.head.server_id, group.member_ids[-1]
    zone.directory.remove(lost, last_renewed_at=4.2)
    zone.planner.manager.end(group.name, "member_silent", now=4.3)
    departed = replace(zone.directory.by_id[head], models=frozenset(), group=None)
    zone.directory.put(departed, now=4.4)
    next_append = zone.appends(4.5)
    assert next_append is not None
    [repaired] = [record for record in next_append.formed if record.model == "large"]
    assert head in repaired.member_ids
    assert len(set(repaired.member_ids) & {"i6", "i7"}) == 1


def test_loads_are_rate_limited_after_all_hosts_restart() -> None:
    """Guard against more loads within five seconds than the weight store allows.

    All hosts lose power and restart while the servers continue to run.  The absence of
    requests in the first moments after that doesn't show that the first request is
    still to come and that loads are quick and free.
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
    zone.planner.apply_full_list([earlier], end=12, now=0.0)
    n_loads = 0
    end = 12
    for tick in range(50):
        now = START_DELAY + tick * 0.1
        orders, append = zone.planner.run_planning_pass(now=now)
        n_loads += sum(order.kind is OrderKind.STAGE for order in orders)
        if append is not None:
            assert all(record.warms_up for record in append.formed)
            n_loads += len(append.formed)
            end += len(append.formed)
            zone.planner.confirm_append(append, end=end, now=now)
    assert 0 < n_loads <= ENGINE.loads_per_second * 5.0


def test_log_that_ends_earlier_after_the_store_returns_is_appended_to(
    zone: Zone,
) -> None:
    """Guard against planners that wait for an offset that a later era doesn't have."""
    group = _serve_first_group(zone)
    zone.planner.apply_full_list([], end=5, era=1, now=5.0)
    next_append = zone.appends(5.1)
    assert next_append is not None
    assert (next_append.at, next_append.era) == (5, 1)
    assert next_append.restored[0] == group


def test_no_epoch_is_reused_after_the_store_returns(zone: Zone) -> None:
    """Guard against two groups under one epoch and name."""
    append = zone.settled()
    zone.planner.apply_full_list([], end=7, era=1, now=3.0)
    next_append = zone.appends(3.1)
    assert next_append is not None
    assert next_append.at == append.at
    epochs = {group.epoch for group in append.formed}
    assert min(group.epoch for group in next_append.formed) > max(epochs)
    names = {group.name for group in (*append.formed, *next_append.formed)}
    assert len(names) == len(append.formed) + len(next_append.formed)


def test_record_from_an_older_copy_revives_no_ended_group(zone: Zone) -> None:
    """Guard against an ended group that is formed again from an older copy's record."""
    group = _serve_first_group(zone)
    for server_id in group.member_ids:
        entry = zone.directory.by_id[server_id]
        zone.directory.put(replace(entry, group=None), now=4.2)
    zone.planner.manager.end(group.name, "test", now=4.2)
    zone.planner.run_planning_pass(now=4.3)
    assert zone.planner.manager.phase_of(group.name) is GroupPhase.RETIRED
    zone.planner.manager.forget(group.name)
    zone.planner.apply_full_list([group], end=5, era=1, now=5.0)
    orders, next_append = zone.planner.run_planning_pass(now=5.1)
    assert not [order for order in orders if order.group == group.name]
    assert next_append is not None
    assert next_append.dropped == (group.name,)


def test_append_executed_in_a_later_era_is_ignored(zone: Zone) -> None:
    """Guard against an append whose expected offset matches only by coincidence."""
    append = zone.settled()
    zone.planner.confirm_append(append, end=7 + len(append.formed), era=1, now=3.0)
    zone.planner.apply_full_list(
        list(append.formed), end=7 + len(append.formed), era=1, now=3.1
    )
    orders, next_append = zone.planner.run_planning_pass(now=3.2 + FLEET_SETTLED_AFTER)
    assert not [order for order in orders if order.kind is OrderKind.JOIN]
    assert next_append is not None
    assert set(next_append.dropped) == {group.name for group in append.formed}
    assert min(group.epoch for group in next_append.formed) > 1 << OFFSET_BITS


def test_no_group_is_formed_in_an_evacuated_zone() -> None:
    """Guard against groups formed from servers that must get no new work."""
    zone = Zone()
    zone.planner._is_evacuated = lambda name: name == "z"
    zone.planner.apply_full_list([], end=7, now=0.0)
    zone.planner.run_planning_pass(now=START_DELAY)
    settled_at = START_DELAY + FLEET_SETTLED_AFTER + 0.1
    assert zone.planner.run_planning_pass(now=settled_at) == ([], None)
    zone.planner._is_evacuated = lambda name: False
    assert zone.appends(settled_at + 0.1) is not None
