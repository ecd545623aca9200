"""Collect the servers, groups and demand of one availability zone for its planner."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from .forming import GROWTH_UTILIZATION, FormingRules, ServingGroup
from .managed_group import GroupPhase
from .server_losses import ServerLosses
from .shifting import DemandTrail, demand_with_waiting, urgent_shares

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ...relay_settings import ContentionMode
    from ...state.directory import BackendServer, Directory
    from ...state.routes import EngineProfile, RouteTable
    from .adoption import GroupAdoption
    from .manager import GroupManager

__all__ = ["ServiceView", "ZoneViews"]

#: Seconds without a change in the number of free servers after which all servers that
#: are present at the start are taken to be listed.
FLEET_SETTLED_AFTER = 1.0

#: Maximum time in seconds to wait for the servers to be listed at the start.
MAX_SETTLING_TIME = 5.0

#: Minimum demand to assume for a model, even if it gets no requests at present, as a
#: fraction of the model's initial demand.
MIN_DEMAND_RATIO = 0.15


class ServiceView(msgspec.Struct, kw_only=True, frozen=True):
    """The state of one service in one zone, as of one planning pass.

    Attributes
    ----------
    free : list of BackendServer
        Servers that may join a group.
    serving_groups : list of ServingGroup
        The zone's groups that serve requests.
    rules : FormingRules
        Inputs for the choice of groups to form.
    has_settled : bool
        False at the start, while more servers may still be listed.
    contended : bool
        True if the service's callers compete for its capacity.
    """

    service: str
    engine: EngineProfile
    free: list[BackendServer]
    serving_groups: list[ServingGroup]
    rules: FormingRules
    has_settled: bool
    contended: bool = False


class _Load(msgspec.Struct, kw_only=True, frozen=True):
    """The work for each model that all planners of one moment see.

    Attributes
    ----------
    demand : mapping of str to float
        Arriving work, in groups kept busy.
    contended_demand : mapping of str to float
        That of the last seconds with the waiting work, for contended services.
    urgent_shares : dict of str to float
        Part of the arriving work that is urgent.
    """

    demand: Mapping[str, float]
    contended_demand: Mapping[str, float]
    urgent_shares: dict[str, float]


class _FreeCount(msgspec.Struct, kw_only=True):
    """The number of free servers of a service, and the time of its last change."""

    n_free: int
    since: float


class ZoneViews:
    """Create the views of one availability zone's services.

    Parameters
    ----------
    demand : callable
        Return the work that arrives at all hosts by model, as the number of groups that
        it keeps busy.
    waiting_work, urgent_demand : callable
        Return, for contended services, the seconds for which the waiting requests of
        all hosts would keep one group busy, and the urgent part of the demand, by
        model.
    contention : ContentionMode
        Which services count as contended.
    list_is_stale : callable
        Return whether the list of backend servers has had no update for a while.
    since : float
        Monotonic time at which planning of the zone began.

    Attributes
    ----------
    has_run_before : bool
        True if the log held records of the zone's groups when planning began.  The
        first request may then be long past although this process has seen none, and
        loads of weights are no longer quick.
    """

    def __init__(
        self,
        *,
        zone: str,
        directory: Directory,
        manager: GroupManager,
        adoption: GroupAdoption,
        demand: Callable[[], Mapping[str, float]],
        waiting_work: Callable[[], Mapping[str, float]],
        urgent_demand: Callable[[], Mapping[str, float]],
        contention: ContentionMode,
        list_is_stale: Callable[[], bool],
        since: float,
    ) -> None:
        self._zone = zone
        self._directory = directory
        self._manager = manager
        self._adoption = adoption
        self._demand = demand
        self._waiting_work = waiting_work
        self._urgent_demand = urgent_demand
        self._contention = contention
        self._list_is_stale = list_is_stale
        self._trail = DemandTrail()
        self._losses_by_service: dict[str, ServerLosses] = {}
        self._since = since
        self.has_run_before = False
        self._free_count_by_service: dict[str, _FreeCount] = {}

    def service_views(
        self, route_table: RouteTable, *, now: float
    ) -> list[ServiceView]:
        """Return a view of each service whose servers form groups."""
        contended = {
            service
            for service, _ in route_table.engines()
            if route_table.is_contended(service, self._contention)
        }
        load = self._load(any_contended=bool(contended), now=now)
        return [
            self._view(service, engine, load, contended=service in contended, now=now)
            for service, engine in route_table.engines()
        ]

    def _load(self, *, any_contended: bool, now: float) -> _Load:
        demand = self._demand()
        if not any_contended:
            return _Load(demand=demand, contended_demand=demand, urgent_shares={})
        return _Load(
            demand=demand,
            contended_demand=demand_with_waiting(
                self._trail.update(demand, now=now), self._waiting_work()
            ),
            urgent_shares=urgent_shares(demand, self._urgent_demand()),
        )

    def n_stranded(self, route_table: RouteTable) -> int:
        """Count the servers that could serve but are in no serving group."""
        serving = {
            member_id
            for record in self._manager.records(GroupPhase.SERVING)
            for member_id in record.member_ids
        }
        return sum(
            not server.draining and server.id not in serving
            for service, _ in route_table.engines()
            for server in self._zone_servers(service)
        )

    def _zone_servers(self, service: str) -> list[BackendServer]:
        return [
            server
            for server in self._directory.of_service(service)
            if server.availability_zone == self._zone
        ]

    def _view(
        self,
        service: str,
        engine: EngineProfile,
        load: _Load,
        *,
        contended: bool,
        now: float,
    ) -> ServiceView:
        zone_servers = self._zone_servers(service)
        free = self._free(zone_servers, now=now)
        rules = self._rules(
            service,
            engine,
            load.contended_demand if contended else load.demand,
            n_zone_servers=len(zone_servers),
            free=free,
        )
        if contended:
            rules = replace(
                rules,
                contended=True,
                urgent_share_by_model=load.urgent_shares,
                loss_rate=self._loss_rate(service, zone_servers, now=now),
                n_domains=len({server.domain for server in zone_servers}),
            )
        return ServiceView(
            service=service,
            engine=engine,
            free=free,
            serving_groups=self._serving_groups(service),
            rules=rules,
            has_settled=self._has_settled(
                service, n_free=len(free), is_idle=not load.demand, now=now
            ),
            contended=contended,
        )

    def _loss_rate(
        self, service: str, zone_servers: list[BackendServer], *, now: float
    ) -> float | None:
        losses = self._losses_by_service.setdefault(service, ServerLosses())
        losses.observe(zone_servers, list_is_stale=self._list_is_stale(), now=now)
        return losses.rate(now=now)

    def _free(
        self, zone_servers: list[BackendServer], *, now: float
    ) -> list[BackendServer]:
        occupied_ids = self._manager.occupied_ids()
        served_by_id = self._directory.served_by_id
        return [
            # The head leaves an ending group before its members are free, and then
            # reports no model.  Its former model is filled in, because otherwise the
            # repair of the group would use a spare in place of the head.
            replace(server, models=served_by_id.get(server.id, server.models))
            for server in zone_servers
            if not server.draining
            and server.id not in occupied_ids
            and not self._adoption.may_be_in_unrecorded_group(server, now=now)
            and not self._manager.is_in_reopened_group(server)
            and not self._manager.is_presumed_lost(server.id, now=now)
        ]

    def _serving_groups(self, service: str) -> list[ServingGroup]:
        """Return the zone's serving groups with their listed members."""
        return [
            ServingGroup(
                name=record.name,
                model=record.model,
                members=tuple(self._directory.listed(record.member_ids)),
            )
            for record in self._manager.records(GroupPhase.SERVING)
            if record.service == service
        ]

    def _rules(
        self,
        service: str,
        engine: EngineProfile,
        observed_demand: Mapping[str, float],
        *,
        n_zone_servers: int,
        free: list[BackendServer],
    ) -> FormingRules:
        if not observed_demand:
            # All zones plan at the same moment at the start, and no planner knows yet
            # what the others form, so each zone covers its own share of the demand.
            demand = _initial_demand(engine, n_servers=n_zone_servers)
            groups = self._zone_groups_by_model(service, engine)
        else:
            n_all = sum(1 for _ in self._directory.of_service(service))
            first = _initial_demand(engine, n_servers=n_all)
            demand = {
                name: max(observed_demand.get(name, 0.0), MIN_DEMAND_RATIO * value)
                for name, value in first.items()
            }
            groups = self._all_groups_by_model(service, engine)
        return FormingRules(
            engine=engine,
            demand_by_model=demand,
            groups_by_model=groups,
            n_servers=n_zone_servers,
            spare_ids=frozenset(server.id for server in free if self._is_spare(server)),
            loads_are_quick=not observed_demand and not self.has_run_before,
        )

    def _is_spare(self, server: BackendServer) -> bool:
        """Return whether a free server has not been in a serving group."""
        if not server.models:
            return True
        report = server.group
        return report is not None and self._manager.is_warm_up(
            report.name, report.epoch
        )

    def _zone_groups_by_model(
        self, service: str, engine: EngineProfile
    ) -> dict[str, int]:
        """Count the zone's forming and serving groups by model."""
        counts = dict.fromkeys(engine.models_by_name, 0)
        for record in self._manager.records(GroupPhase.FORMING, GroupPhase.SERVING):
            if record.service == service and record.model in counts:
                counts[record.model] += 1
        return counts

    def _all_groups_by_model(
        self, service: str, engine: EngineProfile
    ) -> dict[str, int]:
        """Count the groups of all zones by model.

        This zone's groups are counted by their records, those of other zones by the
        server list.  A group with one listed member, where the model needs more, is a
        warm-up group or has lost its other members, and is not counted.
        """
        counts = self._zone_groups_by_model(service, engine)
        remote_servers = [
            server
            for server in self._directory.of_service(service)
            if server.availability_zone != self._zone and server.group is not None
        ]
        n_members = Counter(
            (item.group.name, item.group.epoch) for item in remote_servers
        )
        for server in remote_servers:
            report = server.group
            is_alone = n_members[report.name, report.epoch] == 1
            for model in server.models & counts.keys():
                is_complete = not is_alone or engine.models_by_name[model].size == 1
                counts[model] += report.rank == 0 and is_complete
        return counts

    def _has_settled(
        self, service: str, *, n_free: int, is_idle: bool, now: float
    ) -> bool:
        """Return whether all servers that are present at the start are listed.

        Servers are listed over some seconds, and a group formed of the first ones can
        prevent a better group.  Free servers are counted for each service separately:
        one counter for two services would change at each planning pass, so the wait
        would always last for the maximum time.
        """
        free_count = self._free_count_by_service.get(service)
        if free_count is None or free_count.n_free != n_free:
            free_count = _FreeCount(n_free=n_free, since=now)
            self._free_count_by_service[service] = free_count
        if not is_idle or now - self._since > MAX_SETTLING_TIME:
            return True
        return now - free_count.since > FLEET_SETTLED_AFTER


def _initial_demand(engine: EngineProfile, *, n_servers: int) -> dict[str, float]:
    """Return the demand to assume before the first request, by the models' shares."""
    return {
        model.name: GROWTH_UTILIZATION * n_servers * model.share / model.size
        for model in engine.models_by_name.values()
    }
