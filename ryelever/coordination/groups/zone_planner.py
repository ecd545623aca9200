"""Plan the groups of one availability zone and record them in the store.

A group exists once its record is appended at the offset at which the planner expected
the log to end.  If two planners decide from the same view, only one append succeeds,
and the other planner reads the new record before it decides again.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from ...relay_settings import ContentionMode
from .adoption import GroupAdoption
from .disbanding import choose_disbanding
from .forming import choose_formations
from .idle_servers import IdleServers
from .managed_group import GroupPhase
from .managed_groups import DISBANDED
from .manager import GroupManager
from .records import GroupRecord, Member
from .reshaping import ReshapingToken
from .shifting import is_paused
from .times import GroupTimes
from .warm_up import choose_warm_ups
from .weight_staging import WeightStaging
from .zone_view import ZoneViews

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ...state.directory import Directory
    from ...state.routes import RouteTable
    from .forming import Formation, ServingGroup
    from .orders import GroupOrder
    from .zone_view import ServiceView

__all__ = ["AppendGroups", "ZonePlanner"]

#: Seconds between becoming the planner and the first decision.  By then heartbeats from
#: the other hosts show whether there is another planner, and the server list shows the
#: effects of the other planner's last orders.
START_DELAY = 0.7

#: Seconds for which a member of another zone's group may be missing from the list.  A
#: zone that is cut off looks as if its servers were lost one after the other, but its
#: groups continue to serve there.
REMOTE_MAX_MISSING_TIME = 10.0

#: Maximum time in seconds that a member takes to join, including a load of weights.
MAX_JOIN_TIME = 20.0

#: Number of low bits of an epoch that hold the offset in the log.  The higher bits hold
#: the store's era, so that an epoch of an era whose records were lost is never reused.
OFFSET_BITS = 32

#: Seconds after which an append that got no answer is sent again at the same offset.
APPEND_TIMEOUT = 1.0


class AppendGroups(msgspec.Struct, kw_only=True, frozen=True):
    """A request to append records, on condition that the log ends at an offset.

    Attributes
    ----------
    at : int
        Offset at which the log must end for the append to succeed.
    era : int
        Era of the store that the offset belongs to.
    formed : tuple of GroupRecord
        Groups to form.
    restored : tuple of GroupRecord
        Groups that exist without a record.
    dropped : tuple of str
        Names of ended groups whose records are to be dropped.
    """

    at: int
    era: int
    formed: tuple[GroupRecord, ...]
    restored: tuple[GroupRecord, ...] = ()
    dropped: tuple[str, ...] = ()


class ZonePlanner:
    """Decide which groups of one availability zone to form, end and disband.

    Parameters
    ----------
    zone : str
        Name of the availability zone.
    n_zones : int
        Number of zones that share the weight store.
    is_local : bool
        True if the planner's host is in the same zone.
    demand : callable
        Return the work that arrives at all hosts by model, as the number of groups that
        it keeps busy.
    waiting_work : callable
        Return by model the seconds for which the requests that wait at all hosts would
        keep one group busy.
    urgent_demand : callable
        Return the part of ``demand`` whose callers are urgent.
    contention : ContentionMode
        Which services count as contended; the two inputs above apply only to those.
    is_evacuated : callable
        Return whether an availability zone's servers must get no new work.
    list_is_stale : callable
        Return whether the list of backend servers has had no update for a while.
    observe : callable
        Called with the name of a phase and the seconds that a group spent in it.
    other_reshaped_zones : callable
        Return the other zones that are disbanding groups or have announced it.
    stall_time : float
        Seconds for which a group that lost a member stalls before it is ``BROKEN``.
    since : float
        Monotonic time at which this host became the zone's planner.
    log : callable
        Called with the event name and the fields of each log line.
    """

    def __init__(
        self,
        *,
        zone: str,
        n_zones: int,
        is_local: bool,
        directory: Directory,
        route_table: Callable[[], RouteTable | None],
        demand: Callable[[], Mapping[str, float]],
        other_reshaped_zones: Callable[[], set[str]],
        observe: Callable[[str, float], None],
        list_is_stale: Callable[[], bool],
        stall_time: float,
        since: float,
        log: Callable[..., None],
        is_evacuated: Callable[[str], bool] = lambda zone: False,
        waiting_work: Callable[[], Mapping[str, float]] = dict,
        urgent_demand: Callable[[], Mapping[str, float]] = dict,
        contention: ContentionMode = ContentionMode.AUTO,
    ) -> None:
        self._is_evacuated = is_evacuated
        self._zone = zone
        self._n_zones = n_zones
        self._directory = directory
        self._route_table = route_table
        self._other_reshaped_zones = other_reshaped_zones
        self._list_is_stale = list_is_stale
        self._token = ReshapingToken(zone=zone)
        self._log = log
        self.times = GroupTimes(observe=observe)
        self._since = since
        self._era = 0
        self._log_end = -1
        self._append_sent_at: float | None = None
        self._pending_append: AppendGroups | None = None
        self._decided_by_epoch: dict[int, GroupRecord] = {}
        self._weight_staging = WeightStaging()
        self._disbanded_at_by_model: dict[tuple[str, str], float] = {}
        self.manager = GroupManager(
            directory=directory,
            stall_time=stall_time,
            max_join_time=MAX_JOIN_TIME,
            max_missing_time=0.0 if is_local else REMOTE_MAX_MISSING_TIME,
            list_is_stale=list_is_stale,
            log=log,
        )
        self._idle_servers = IdleServers(zone=zone, manager=self.manager, log=log)
        self._adoption = GroupAdoption(
            zone=zone,
            directory=directory,
            manager=self.manager,
            stall_time=stall_time,
            log=log,
        )
        self._views = ZoneViews(
            zone=zone,
            directory=directory,
            manager=self.manager,
            adoption=self._adoption,
            demand=demand,
            waiting_work=waiting_work,
            urgent_demand=urgent_demand,
            contention=contention,
            list_is_stale=list_is_stale,
            since=since,
        )

    @property
    def reshapes(self) -> bool:
        """Return whether the zone is disbanding groups or has announced it."""
        return self._token.is_announced

    # Records in the log

    def apply_full_list(
        self, records: list[GroupRecord], *, end: int, era: int = 0, now: float
    ) -> None:
        """Process a complete list of the records in the log.

        Parameters
        ----------
        end : int
            Offset at which the log ends.
        era : int
            Era of the store; in a later era the log may end at a lower offset.
        """
        if self._log_end < 0:
            self._views.has_run_before = bool(records)
        if era != self._era:
            self._era = era
            self._log_end = -1
            self._pending_append = None
        names = {record.name for record in records}
        for name in self.manager.names() - names:
            self.manager.drop(name)
        for record in records:
            self.apply_record(record, end=end, now=now)
        self._advance_log_end(end)

    def apply_record(self, record: GroupRecord, *, end: int, now: float) -> None:
        """Process a record that was appended to the log.

        Parameters
        ----------
        end : int
            Offset after the record, or after later records.
        """
        if record.epoch in self.manager.ended_epochs:
            # The record is from an older copy of the store or from a late append.
            self.manager.put_ended(record, now=now)
        elif record.availability_zone == self._zone:
            decided_here = self._decided_by_epoch.get(record.epoch) == record
            self.manager.put(record, now=now, decided_here=decided_here)
        self._advance_log_end(end)

    def apply_removal(self, name: str, *, end: int) -> None:
        """Process the removal of a record from the log."""
        self.manager.drop(name)
        self._advance_log_end(end)

    def confirm_append(
        self, append: AppendGroups, *, end: int, era: int = 0, now: float
    ) -> None:
        """Process the confirmation of an append.

        Parameters
        ----------
        end : int
            Offset after the appended records.
        era : int
            Era of the store at the time of the append.  If it isn't the era in which
            the append was decided, the log's end matched by coincidence, and the formed
            groups may have the epochs of groups whose records were lost.
        """
        if era != append.era:
            self.manager.ended_epochs.update(record.epoch for record in append.formed)
            self._pending_append = None
            return
        for record in (*append.formed, *append.restored):
            self.apply_record(record, end=end, now=now)
        for name in append.dropped:
            self.manager.forget(name)
        self._advance_log_end(end)
        self._pending_append = None

    def fail_append(self, *, end: int | None) -> None:
        """Process the failure of an append.

        An append without an answer may still be executed.  The same append is therefore
        sent again, at the same offset, so that only one of the two can succeed.

        Parameters
        ----------
        end : int or None
            Offset at which the log ends, if the append was refused; None if the append
            got no answer.
        """
        if end is not None:
            self._pending_append = None

    def _advance_log_end(self, end: int) -> None:
        self._log_end = max(self._log_end, end)
        if self._pending_append is not None and self._log_end > self._pending_append.at:
            self._pending_append = None

    # Decisions

    def run_planning_pass(
        self, *, now: float
    ) -> tuple[list[GroupOrder], AppendGroups | None]:
        """Run one planning pass; return the orders and the append that are due."""
        route_table = self._route_table()
        if route_table is None or self._log_end < 0 or now - self._since < START_DELAY:
            return [], None
        self._end_wrong_sizes(route_table, now=now)
        orders = self.manager.due_orders(now=now)
        n_stranded = self._views.n_stranded(route_table)
        self.times.update(self.manager.phases(), n_stranded=n_stranded, now=now)
        self._adoption.adopt_unrecorded(route_table, now=now)
        views = self._views.service_views(route_table, now=now)
        for view in views:
            self._idle_servers.log_changes(view, now=now)
        self._disband(views, now=now)
        append = self._append_due(views, now=now)
        if self._pending_append is None:
            for view in views:
                orders += self._staging_orders(view, now=now)
        return orders, append

    def _end_wrong_sizes(self, route_table: RouteTable, *, now: float) -> None:
        """End groups whose records have the wrong number of members for the model.

        Otherwise the head of a group with too few members would be ordered to open once
        the members in its record are ready.
        """
        for record in self.manager.records(GroupPhase.FORMING, GroupPhase.SERVING):
            service = route_table.services_by_name.get(record.service)
            engine = None if service is None else service.engine
            model = engine.models_by_name.get(record.model) if engine else None
            if model is not None and len(record.members) != model.size:
                self.manager.end(record.name, "wrong_size", now=now)

    def _append_due(
        self, views: list[ServiceView], *, now: float
    ) -> AppendGroups | None:
        if self._pending_append is not None:
            if now - self._append_sent_at < APPEND_TIMEOUT:
                return None
            self._append_sent_at = now
            return self._pending_append
        formed: list[GroupRecord] = []
        for view in views:
            formations = self._formations(view)
            if formations:
                self._log_planning_inputs(view)
            warm_ups = self._warm_ups(view, formations, now=now)
            for formation in (*formations, *warm_ups):
                record = self._record(
                    formation,
                    service=view.service,
                    offset=self._log_end + len(formed),
                    warms_up=formation in warm_ups,
                )
                formed.append(record)
        restored = tuple(self.manager.unrecorded())
        if not formed and not restored:
            return None
        # Records of ended groups are dropped here, which saves a separate store call.
        append = AppendGroups(
            at=self._log_end,
            era=self._era,
            formed=tuple(formed),
            restored=restored,
            dropped=tuple(self.manager.droppable_names()),
        )
        self._pending_append = append
        self._append_sent_at = now
        self._decided_by_epoch.update((record.epoch, record) for record in formed)
        return append

    def _may_form(self, view: ServiceView) -> bool:
        """Return whether groups may be formed from the zone's servers now."""
        return view.has_settled and not self._is_evacuated(self._zone)

    def _formations(self, view: ServiceView) -> list[Formation]:
        if not self._may_form(view):
            return []
        # Free servers in the domain of a group that is being disbanded are reserved for
        # the group that its members will join.
        reserved_domains = {
            server.domain
            for record in self.manager.disbanding()
            for server in self._directory.listed(record.member_ids)
        }
        free = [server for server in view.free if server.domain not in reserved_domains]
        return choose_formations(free, view.rules)

    def _warm_ups(
        self, view: ServiceView, formations: list[Formation], *, now: float
    ) -> list[Formation]:
        """Return the warm-up groups to form for servers that no formation uses."""
        if not self._may_form(view):
            return []
        occupied_ids = {server.id for one in formations for server in one.members}
        spare_servers = [
            server for server in view.free if server.id not in occupied_ids
        ]
        return [
            warm_up
            for warm_up in choose_warm_ups(spare_servers, view.rules)
            if self._weight_staging.try_start_load(
                view.rules, rate=self._load_rate(view), now=now
            )
        ]

    def _load_rate(self, view: ServiceView) -> float:
        """Return the zone's share of the weight store's loads per second."""
        return view.engine.loads_per_second / self._n_zones

    def _disband(self, views: list[ServiceView], *, now: float) -> None:
        """Disband groups whose members are to serve a needier model, if any."""
        if self._is_evacuated(self._zone):
            return
        if self._pending_append is not None or self._list_is_stale():
            # During an outage of the store no group can be formed from the freed
            # members.  When each of three zones had ended a group, a model lacked half
            # of its groups until the store returned.
            return
        if self.manager.disbanding() or self.manager.records(GroupPhase.FORMING):
            # Until the group that is being formed serves, other zones see fewer groups
            # of its model than there will be, so the announcement must stay in effect.
            return
        other_zones = self._other_reshaped_zones()
        view, groups = self._groups_to_disband(
            views, n_pending=self._token.n_ahead(other_zones), now=now
        )
        if view is None:
            self._token.end()
        elif self._token.may_start(other_zones, now=now):
            for other in views:
                self._log_planning_inputs(other)
            if view.contended:
                self._record_shift(view, groups, now=now)
            for group in groups:
                self.manager.end(group.name, DISBANDED, now=now)

    def _groups_to_disband(
        self, views: list[ServiceView], *, n_pending: int, now: float
    ) -> tuple[ServiceView | None, list[ServingGroup]]:
        """Return the groups to disband and the view of their service, if any."""
        for view in views:
            if view.rules.loads_are_quick:
                # No request has arrived yet, so no model is short of groups.
                continue
            groups = choose_disbanding(
                view.free,
                view.serving_groups,
                view.rules,
                n_pending=n_pending,
                paused_models=[
                    model
                    for (service, model), at in self._disbanded_at_by_model.items()
                    if service == view.service and is_paused(at, now=now)
                ],
            )
            if groups:
                return view, groups
        return None, []

    def _record_shift(
        self, view: ServiceView, groups: list[ServingGroup], *, now: float
    ) -> None:
        """Log which model gets members of another, and start the pause of its own."""
        rules = view.rules
        neediest = rules.models_by_need(rules.groups_by_model)[0].name
        donor = groups[0].model
        self._disbanded_at_by_model[view.service, neediest] = now
        utilization, donor_utilization = (
            rules.utilization(model, rules.groups_by_model)
            for model in (neediest, donor)
        )
        self._log(
            "servers_shifted",
            zone=self._zone,
            service=view.service,
            model=neediest,
            donor=donor,
            n_moved=sum(len(group.members) for group in groups),
            utilization=_rounded(utilization),
            donor_utilization=_rounded(donor_utilization),
        )

    def _log_planning_inputs(self, view: ServiceView) -> None:
        """Log the demand and the groups by which a service's groups are planned."""
        demand = view.rules.demand_by_model
        self._log(
            "models_weighed",
            zone=self._zone,
            demand={model: round(work, 2) for model, work in demand.items()},
            n_groups=view.rules.groups_by_model,
        )

    def _record(
        self, formation: Formation, *, service: str, offset: int, warms_up: bool
    ) -> GroupRecord:
        place = offset + 1
        name = f"{self._era}-{place}" if self._era else str(place)
        return GroupRecord(
            name=f"{self._zone}-{name}",
            epoch=(self._era << OFFSET_BITS) + place,
            service=service,
            model=formation.model.name,
            availability_zone=self._zone,
            members=tuple(
                Member(server_id=server.id, address=server.address)
                for server in formation.members
            ),
            warms_up=warms_up,
        )

    def _staging_orders(self, view: ServiceView, *, now: float) -> list[GroupOrder]:
        """Return the orders to stage weights that are due for a service."""
        if not self._may_form(view):
            return []
        return self._weight_staging.orders(
            view.free,
            view.serving_groups,
            view.rules,
            rate=self._load_rate(view),
            n_concurrent=view.engine.loads_at_once / self._n_zones,
            n_warming_up=self.manager.n_warming_up(),
            now=now,
        )


def _rounded(utilization: float) -> float | None:
    """Return a utilization for the log, None for that of a model without groups."""
    return round(utilization, 2) if math.isfinite(utilization) else None
