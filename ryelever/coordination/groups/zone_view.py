"""See an availability zone's servers and groups as its planner decides on them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from .forming import BUSY_ENOUGH, FormingRules, StandingGroup
from .managed_group import GroupPhase

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ...state.directory import BackendServer, Directory
    from ...state.routes import EngineProfile, RouteTable
    from .adoption import GroupAdoption
    from .manager import GroupManager

__all__ = ["ServiceView", "ZoneViews"]

#: Seconds without a new server in the list after which all have shown that are there
#: at the start, and the longest time to wait for that.
FLEET_SETTLING = 1.0
LONGEST_SETTLING = 5.0

#: Part of the first demand that stands for a model which nobody asks for just now.
IDLE_DEMAND = 0.15


class ServiceView(msgspec.Struct, kw_only=True, frozen=True):
    """Hold what is decided on for one service in one zone, at one moment.

    Attributes
    ----------
    free : list of BackendServer
        Servers that may be given to a group.
    standing : list of StandingGroup
        Groups that serve.
    has_settled : bool
        False while servers may still be appearing at the start.
    """

    service: str
    engine: EngineProfile
    free: list[BackendServer]
    standing: list[StandingGroup]
    rules: FormingRules
    has_settled: bool


class _Appearing(msgspec.Struct, kw_only=True):
    """Hold how many servers of a service were free, and since when."""

    n_free: int
    since: float


class ZoneViews:
    """Look at one availability zone.

    Parameters
    ----------
    demand : callable
        Return the work that arrives at all hosts, in groups kept busy, by model.
    since : float
        Monotonic time from which on the zone is planned.

    Attributes
    ----------
    has_run_before : bool
        True where the log held records of the zone's groups when planning began.
        Callers may have come long ago then, though this process has seen none, and
        weights load no quicker.
    """

    def __init__(
        self,
        *,
        zone: str,
        directory: Directory,
        manager: GroupManager,
        adoption: GroupAdoption,
        demand: Callable[[], Mapping[str, float]],
        since: float,
    ) -> None:
        self._zone = zone
        self._directory = directory
        self._manager = manager
        self._adoption = adoption
        self._demand = demand
        self._since = since
        self.has_run_before = False
        self._appearing_by_service: dict[str, _Appearing] = {}

    def of(self, table: RouteTable, *, now: float) -> list[ServiceView]:
        """Return the views of all services whose servers form groups."""
        demand = self._demand()
        return [
            self._view(service, engine, demand, now=now)
            for service, engine in table.engines()
        ]

    def n_stranded(self, table: RouteTable) -> int:
        """Count the servers that could serve and are in no group that does."""
        serving = {
            member_id
            for record in self._manager.records(GroupPhase.SERVING)
            for member_id in record.member_ids
        }
        return sum(
            not server.draining and server.id not in serving
            for service, _ in table.engines()
            for server in self._own(service)
        )

    def _own(self, service: str) -> list[BackendServer]:
        return [
            server
            for server in self._directory.of_service(service)
            if server.availability_zone == self._zone
        ]

    def _view(
        self,
        service: str,
        engine: EngineProfile,
        demand: Mapping[str, float],
        *,
        now: float,
    ) -> ServiceView:
        own = self._own(service)
        free = self._free(own, now=now)
        return ServiceView(
            service=service,
            engine=engine,
            free=free,
            standing=self._standing(service),
            rules=self._rules(service, engine, demand, n_own=len(own), free=free),
            has_settled=self._has_settled(
                service, n_free=len(free), is_calm=not demand, now=now
            ),
        )

    def _free(self, own: list[BackendServer], *, now: float) -> list[BackendServer]:
        taken = self._manager.taken()
        served_by_id = self._directory.served_by_id
        return [
            # A head is told to leave before its group's members are free.  As a
            # server without a model it would be left out when the group is mended,
            # and a spare be used up in its place.
            replace(server, models=served_by_id.get(server.id, server.models))
            for server in own
            if not server.draining
            and server.id not in taken
            and not self._adoption.is_unsettled(server, now=now)
            and not self._manager.seems_lost(server.id, now=now)
        ]

    def _standing(self, service: str) -> list[StandingGroup]:
        """Return the zone's groups that serve, with their members."""
        return [
            StandingGroup(
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
        seen: Mapping[str, float],
        *,
        n_own: int,
        free: list[BackendServer],
    ) -> FormingRules:
        if not seen:
            # All zones plan at the same moment, and none sees yet what the others
            # form: each meets its own part of the demand.
            demand = _first_demand(engine, n_servers=n_own)
            groups = self._own_groups(service, engine)
        else:
            n_all = sum(1 for _ in self._directory.of_service(service))
            first = _first_demand(engine, n_servers=n_all)
            demand = {
                name: max(seen.get(name, 0.0), IDLE_DEMAND * value)
                for name, value in first.items()
            }
            groups = self._all_groups(service, engine)
        return FormingRules(
            engine=engine,
            demand_by_model=demand,
            groups_by_model=groups,
            n_servers=n_own,
            spare_ids=frozenset(server.id for server in free if self._is_spare(server)),
            loads_are_quick=not seen and not self.has_run_before,
        )

    def _is_spare(self, server: BackendServer) -> bool:
        """Tell whether a free server has not been in a group that served."""
        if not server.models:
            return True
        report = server.group
        return report is not None and self._manager.warmed_up(report.name, report.epoch)

    def _own_groups(self, service: str, engine: EngineProfile) -> dict[str, int]:
        """Count the zone's groups that serve or are being formed."""
        counts = dict.fromkeys(engine.models_by_name, 0)
        for record in self._manager.records(GroupPhase.FORMING, GroupPhase.SERVING):
            if record.service == service and record.model in counts:
                counts[record.model] += 1
        return counts

    def _all_groups(self, service: str, engine: EngineProfile) -> dict[str, int]:
        """Count all groups: own ones by record, those of other zones as listed.

        A group that shows one member is one that never opens, or has lost the others.
        """
        counts = self._own_groups(service, engine)
        others = [
            server
            for server in self._directory.of_service(service)
            if server.availability_zone != self._zone and server.group is not None
        ]
        n_members = Counter((item.group.name, item.group.epoch) for item in others)
        for server in others:
            report = server.group
            is_alone = n_members[report.name, report.epoch] == 1
            for model in server.models & counts.keys():
                is_complete = not is_alone or engine.models_by_name[model].size == 1
                counts[model] += report.rank == 0 and is_complete
        return counts

    def _has_settled(
        self, service: str, *, n_free: int, is_calm: bool, now: float
    ) -> bool:
        """Tell whether the list has shown all servers that there are at the start.

        They appear over some seconds, and a group that is formed of the first ones
        takes the place of a better one.  Each service counts by itself: of two, the
        numbers would differ at each look, and the wait would take its longest.
        """
        seen = self._appearing_by_service.get(service)
        if seen is None or seen.n_free != n_free:
            seen = _Appearing(n_free=n_free, since=now)
            self._appearing_by_service[service] = seen
        if not is_calm or now - self._since > LONGEST_SETTLING:
            return True
        return now - seen.since > FLEET_SETTLING


def _first_demand(engine: EngineProfile, *, n_servers: int) -> dict[str, float]:
    """Return the demand to assume before any was seen, from the models' shares."""
    return {
        model.name: BUSY_ENOUGH * n_servers * model.share / model.size
        for model in engine.models_by_name.values()
    }
