"""Plan the groups of one availability zone, by way of records in the store.

A group exists once its record is appended at the very offset that was expected: of
two planners that decide on the same view only one gets its record in, and the other
reads it before it decides again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .group_forming import (
    FormingRules,
    choose_formations,
    first_demand,
)
from .group_keeper import GroupKeeper, GroupPhase
from .group_orders import GroupOrder, OrderKind
from .group_records import GroupRecord, Member

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..state.directory import BackendServer, Directory
    from ..state.routes import EngineProfile, RouteTable
    from .group_forming import Formation

__all__ = ["AppendGroups", "ZonePlanner"]

#: Seconds of being the planner before the first decision: by then the other hosts'
#: words show whether there is another, and what it ordered last shows in the list.
SETTLING = 1.2

#: Seconds after which an append that got no answer is looked for in the log.
APPEND_TIMEOUT = 2.0

#: Seconds after which an order to stage weights is given again.
STAGE_RETRY = 20.0

#: Part of the loads that the weight store starts for all zones which a zone uses.
LOAD_SHARE = 0.8

#: Part of the first demand that stands for a model which nobody asks for just now.
IDLE_DEMAND = 0.15


@dataclass(slots=True, kw_only=True, frozen=True)
class AppendGroups:
    """Ask for records to be appended where the log is expected to end.

    Attributes
    ----------
    dropped : tuple of str
        Names of groups that have ended.
    """

    at: int
    formed: tuple[GroupRecord, ...]
    dropped: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True)
class _Loads:
    """Pace the loads from the weight store."""

    times: list[float] = field(default_factory=list)

    def allow(self, n: int, *, rate: float, now: float) -> bool:
        """Tell whether ``n`` loads may begin now, and count them if so."""
        self.times = [at for at in self.times if now - at < 5.0]
        # A zone may always begin with one group: the rule leaves room for three.
        if self.times and len(self.times) + n > rate * 5.0:
            return False
        self.times += [now] * n
        return True


class ZonePlanner:
    """Decide about the groups of one availability zone.

    Parameters
    ----------
    zone : str
        The availability zone.
    n_zones : int
        Zones that share the weight store.
    demand : callable
        Return the work that arrives at all hosts, in groups kept busy, by model.
    is_calm : callable
        Tell whether no request has come yet, so that loads are quick and free.
    """

    def __init__(
        self,
        *,
        zone: str,
        n_zones: int,
        directory: Directory,
        table: Callable[[], RouteTable | None],
        demand: Callable[[], Mapping[str, float]],
        is_calm: Callable[[], bool],
        stall_time: float,
        since: float,
        log: Callable[..., None],
    ) -> None:
        self._zone = zone
        self._n_zones = n_zones
        self._directory = directory
        self._table = table
        self._demand = demand
        self._is_calm = is_calm
        self._since = since
        self._log = log
        self._end = -1
        self._appending_since: float | None = None
        self._appending: AppendGroups | None = None
        self._loads = _Loads()
        self._staged_at: dict[str, float] = {}
        self.keeper = GroupKeeper(
            directory=directory, stall_time=stall_time, join_limit=20.0, log=log
        )

    # The log

    def listed(self, records: list[GroupRecord], *, end: int, now: float) -> None:
        """Take all records that the log holds."""
        names = {record.name for record in records}
        for name in self.keeper.names() - names:
            self.keeper.drop(name)
        for record in records:
            self.recorded(record, now=now)
        self._end = max(self._end, end)

    def recorded(self, record: GroupRecord, *, now: float) -> None:
        """Take a record that the log has got."""
        if record.availability_zone == self._zone:
            self.keeper.put(record, now=now)
        self._read_to(record.epoch)

    def dropped(self, name: str, *, end: int) -> None:
        """Take word that a record was dropped from the log."""
        self.keeper.drop(name)
        self._read_to(end)

    def appended(self, asked: AppendGroups, *, end: int, now: float) -> None:
        """Take the answer to an append that succeeded."""
        for record in asked.formed:
            self.recorded(record, now=now)
        for name in asked.dropped:
            self.keeper.drop(name)
        self._read_to(end)
        self._appending = None

    def append_failed(self, *, end: int | None) -> None:
        """Take word that an append was refused, or got no answer.

        Without an answer the append may still come true.  The same one is asked for
        again, at the same place, where only one of the two can succeed.
        """
        if end is not None:
            self._appending = None

    def _read_to(self, end: int) -> None:
        self._end = max(self._end, end)
        if self._appending is not None and self._end > self._appending.at:
            self._appending = None

    # Decisions

    def look(self, *, now: float) -> tuple[list[GroupOrder], AppendGroups | None]:
        """Return the orders and the append that are due."""
        table = self._table()
        if table is None or self._end < 0 or now - self._since < SETTLING:
            return [], None
        orders = self.keeper.look(now=now)
        append = self._append_due(table, now=now)
        for service in table.services_by_name.values():
            if service.engine is not None:
                orders += self._staging(service.name, service.engine, now=now)
        return orders, append

    def _append_due(self, table: RouteTable, *, now: float) -> AppendGroups | None:
        if self._appending is not None:
            if now - self._appending_since < APPEND_TIMEOUT:
                return None
            self._appending_since = now
            return self._appending
        formed: list[GroupRecord] = []
        for service in table.services_by_name.values():
            if service.engine is None:
                continue
            for formation in self._formations(service.name, service.engine, now=now):
                record = self._record(
                    formation, service=service.name, offset=self._end + len(formed)
                )
                formed.append(record)
        if not formed:
            return None
        # Dropping what has ended costs no call of its own this way.
        asked = AppendGroups(
            at=self._end, formed=tuple(formed), dropped=tuple(self.keeper.retired())
        )
        self._appending = asked
        self._appending_since = now
        return asked

    def _formations(
        self, service: str, engine: EngineProfile, *, now: float
    ) -> list[Formation]:
        free = self._free(service)
        if not free:
            return []
        rules = FormingRules(
            engine=engine,
            demand_by_model=self._demand_of(service, engine),
            groups_by_model=self._groups_by_model(service, engine),
        )
        chosen = []
        rate = LOAD_SHARE * engine.loads_per_second / self._n_zones
        for formation in choose_formations(free, rules):
            n_loads = sum(
                formation.model.name not in server.staged
                for server in formation.members
            )
            if (
                self._is_calm()
                or not n_loads
                or self._loads.allow(n_loads, rate=rate, now=now)
            ):
                chosen.append(formation)
        return chosen

    def _free(self, service: str) -> list[BackendServer]:
        taken = self.keeper.taken()
        return [
            server
            for server in self._directory.of_service(service)
            if server.availability_zone == self._zone
            and not server.draining
            and server.id not in taken
        ]

    def _demand_of(self, service: str, engine: EngineProfile) -> dict[str, float]:
        n_servers = sum(1 for _ in self._directory.of_service(service))
        first = first_demand(engine, n_servers=n_servers)
        seen = self._demand()
        if not any(seen.get(name, 0.0) for name in first):
            return first
        return {
            name: max(seen.get(name, 0.0), IDLE_DEMAND * demand)
            for name, demand in first.items()
        }

    def _groups_by_model(self, service: str, engine: EngineProfile) -> dict[str, int]:
        """Count the groups that serve or form: own ones by record, others as told."""
        counts = dict.fromkeys(engine.models_by_name, 0)
        for record in self.keeper.records(GroupPhase.FORMING, GroupPhase.SERVING):
            if record.service == service and record.model in counts:
                counts[record.model] += 1
        for server in self._directory.of_service(service):
            report = server.group
            if server.availability_zone == self._zone or report is None:
                continue
            if report.rank == 0:
                for model in server.models & counts.keys():
                    counts[model] += 1
        return counts

    def _record(
        self, formation: Formation, *, service: str, offset: int
    ) -> GroupRecord:
        return GroupRecord(
            name=f"{self._zone}-{offset + 1}",
            epoch=offset + 1,
            service=service,
            model=formation.model.name,
            availability_zone=self._zone,
            members=tuple(
                Member(server_id=server.id, address=server.address)
                for server in formation.members
            ),
        )

    def _staging(
        self, service: str, engine: EngineProfile, *, now: float
    ) -> list[GroupOrder]:
        """Stage weights on spares: a staged one mends a group ten times sooner."""
        if self._appending is not None:
            return []
        orders = []
        rate = LOAD_SHARE * engine.loads_per_second / self._n_zones
        largest = max(engine.models_by_name.values(), key=lambda model: model.size)
        for server in self._free(service):
            if server.staged or server.models:
                continue
            if now - self._staged_at.get(server.id, float("-inf")) < STAGE_RETRY:
                continue
            if not self._is_calm() and not self._loads.allow(1, rate=rate, now=now):
                continue
            self._staged_at[server.id] = now
            orders.append(
                GroupOrder(
                    kind=OrderKind.STAGE,
                    server_id=server.id,
                    address=server.address,
                    model=largest.name,
                )
            )
        return orders
