"""Plan the groups of one availability zone, by way of records in the store.

A group exists once its record is appended at the very offset that was expected: of
two planners that decide on the same view only one gets its record in, and the other
reads it before it decides again.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .adoption import GroupAdoption
from .forming import (
    BUSY_ENOUGH,
    FormingRules,
    StandingGroup,
    choose_formations,
    choose_taking_apart,
)
from .keeper import TAKEN_APART, GroupKeeper, GroupPhase
from .records import GroupRecord, Member
from .reshaping import ReshapingTurn
from .times import GroupTimes
from .weight_staging import WeightStaging

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ...state.directory import BackendServer, Directory
    from ...state.routes import EngineProfile, RouteTable
    from .forming import Formation
    from .orders import GroupOrder

__all__ = ["AppendGroups", "ZonePlanner"]

#: Seconds of being the planner before the first decision: by then the other hosts'
#: words show whether there is another, and what it ordered last shows in the list.
SETTLING = 0.7

#: Seconds for which a member of another zone's group may be missing from the list.  A
#: zone that is cut off looks like one whose servers are lost one after the other, and
#: its groups serve on there.
FOREIGN_PATIENCE = 10.0

#: Longest time in seconds that a member takes to join: it loads weights first.
LONGEST_JOIN = 20.0

#: Seconds after which an append that got no answer is looked for in the log.
APPEND_TIMEOUT = 1.0

#: Seconds without a new server in the list after which all have shown that are there
#: at the start, and the longest time to wait for that.
FLEET_SETTLING = 1.0
LONGEST_SETTLING = 5.0

#: Part of the first demand that stands for a model which nobody asks for just now.
IDLE_DEMAND = 0.15


@dataclass(slots=True, kw_only=True, frozen=True)
class AppendGroups:
    """Ask for records to be appended where the log is expected to end.

    Attributes
    ----------
    restored : tuple of GroupRecord
        Groups that exist and have no record.
    dropped : tuple of str
        Names of groups that have ended.
    """

    at: int
    formed: tuple[GroupRecord, ...]
    restored: tuple[GroupRecord, ...] = ()
    dropped: tuple[str, ...] = ()


def first_demand(engine: EngineProfile, *, n_servers: int) -> dict[str, float]:
    """Return the demand to assume before any was seen, from the models' shares."""
    return {
        model.name: BUSY_ENOUGH * n_servers * model.share / model.size
        for model in engine.models_by_name.values()
    }


class ZonePlanner:
    """Decide about the groups of one availability zone.

    Parameters
    ----------
    zone : str
        The availability zone.
    n_zones : int
        Zones that share the weight store.
    is_own : bool
        True where the planner's host is in that zone itself.
    demand : callable
        Return the work that arrives at all hosts, in groups kept busy, by model.
    is_calm : callable
        Tell whether no request has come yet, so that loads are quick and free.
    list_is_silent : callable
        Tell whether the list of backend servers has shown nothing for a while.
    observe : callable
        Take the name of a phase and the seconds that a group has spent in it.
    reshaping : callable
        Return the other zones in which groups are taken apart, or are to be.
    """

    def __init__(
        self,
        *,
        zone: str,
        n_zones: int,
        is_own: bool,
        directory: Directory,
        table: Callable[[], RouteTable | None],
        demand: Callable[[], Mapping[str, float]],
        is_calm: Callable[[], bool],
        reshaping: Callable[[], set[str]],
        observe: Callable[[str, float], None],
        list_is_silent: Callable[[], bool],
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
        self._reshaping = reshaping
        self._turn = ReshapingTurn(zone=zone)
        self.times = GroupTimes(observe=observe)
        self._since = since
        self._end = -1
        self._appending_since: float | None = None
        self._appending: AppendGroups | None = None
        self._weights = WeightStaging()
        self._n_free_seen = -1
        self._n_free_since = since
        self.keeper = GroupKeeper(
            directory=directory,
            stall_time=stall_time,
            join_limit=LONGEST_JOIN,
            patience=0.0 if is_own else FOREIGN_PATIENCE,
            list_is_silent=list_is_silent,
            log=log,
        )
        self._adoption = GroupAdoption(
            zone=zone,
            directory=directory,
            keeper=self.keeper,
            stall_time=stall_time,
            log=log,
        )

    @property
    def reshapes(self) -> bool:
        """Tell whether a group of the zone is taken apart, or is to be."""
        return self._turn.is_announced

    # The log

    def listed(self, records: list[GroupRecord], *, end: int, now: float) -> None:
        """Take all records that the log holds."""
        names = {record.name for record in records}
        for name in self.keeper.names() - names:
            self.keeper.drop(name)
        for record in records:
            self.recorded(record, end=end, now=now)
        self._read_to(end)

    def recorded(self, record: GroupRecord, *, end: int, now: float) -> None:
        """Take a record that the log has got.

        Parameters
        ----------
        end : int
            Offset after the record, or after later ones.
        """
        if record.availability_zone == self._zone:
            self.keeper.put(record, now=now)
        self._read_to(end)

    def dropped(self, name: str, *, end: int) -> None:
        """Take word that a record was dropped from the log."""
        self.keeper.drop(name)
        self._read_to(end)

    def appended(self, asked: AppendGroups, *, end: int, now: float) -> None:
        """Take the answer to an append that succeeded."""
        for record in (*asked.formed, *asked.restored):
            self.recorded(record, end=end, now=now)
        for name in asked.dropped:
            self.keeper.forget(name)
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
        self.times.look(
            self.keeper.phases(), n_stranded=self._n_stranded(table), now=now
        )
        self._adoption.look(table, now=now)
        self._take_apart(table, now=now)
        append = self._append_due(table, now=now)
        for service, engine in table.engines():
            orders += self._staging(service, engine, now=now)
        return orders, append

    def _n_stranded(self, table: RouteTable) -> int:
        """Count the zone's servers that could serve and are in no group that does."""
        serving = {
            member_id
            for record in self.keeper.records(GroupPhase.SERVING)
            for member_id in record.member_ids
        }
        return sum(
            server.availability_zone == self._zone
            and not server.draining
            and server.id not in serving
            for service, _ in table.engines()
            for server in self._directory.of_service(service)
        )

    def _append_due(self, table: RouteTable, *, now: float) -> AppendGroups | None:
        if self._appending is not None:
            if now - self._appending_since < APPEND_TIMEOUT:
                return None
            self._appending_since = now
            return self._appending
        formed: list[GroupRecord] = []
        for service, engine in table.engines():
            for formation in self._formations(service, engine, now=now):
                record = self._record(
                    formation, service=service, offset=self._end + len(formed)
                )
                formed.append(record)
        restored = tuple(self.keeper.unrecorded())
        if not formed and not restored:
            return None
        # Dropping what has ended costs no call of its own this way.
        asked = AppendGroups(
            at=self._end,
            formed=tuple(formed),
            restored=restored,
            dropped=tuple(self.keeper.retired()),
        )
        self._appending = asked
        self._appending_since = now
        return asked

    def _formations(
        self, service: str, engine: EngineProfile, *, now: float
    ) -> list[Formation]:
        free = self._free(service, now=now)
        if not free or not self._has_settled(free, now=now):
            return []
        # What a group is taken apart for waits for its members.
        held = {
            self._directory.by_id[item].domain
            for record in self.keeper.taken_apart()
            for item in record.member_ids
            if item in self._directory.by_id
        }
        free = [server for server in free if server.domain not in held]
        return choose_formations(free, self._rules(service, engine))

    def _take_apart(self, table: RouteTable, *, now: float) -> None:
        """End a group whose members are worth more in another one."""
        if self._appending is not None or self._is_calm():
            return
        if self.keeper.taken_apart() or self.keeper.records(GroupPhase.FORMING):
            # Until what comes of it serves, other zones see less than there will be.
            return
        group = self._group_to_take_apart(table, now=now)
        if group is None:
            self._turn.end()
        elif self._turn.ask(self._reshaping(), now=now):
            self.keeper.end(group.name, TAKEN_APART, now=now)

    def _group_to_take_apart(
        self, table: RouteTable, *, now: float
    ) -> StandingGroup | None:
        for service, engine in table.engines():
            free = self._free(service, now=now)
            rules = self._rules(service, engine)
            group = choose_taking_apart(free, self._standing(service), rules)
            if group is not None:
                return group
        return None

    def _standing(self, service: str) -> list[StandingGroup]:
        """Return the zone's groups that serve, with their members."""
        return [
            StandingGroup(
                name=record.name,
                model=record.model,
                members=tuple(
                    self._directory.by_id[item]
                    for item in record.member_ids
                    if item in self._directory.by_id
                ),
            )
            for record in self.keeper.records(GroupPhase.SERVING)
            if record.service == service
        ]

    def _rules(self, service: str, engine: EngineProfile) -> FormingRules:
        servers = list(self._directory.of_service(service))
        own = [item for item in servers if item.availability_zone == self._zone]
        if self._is_calm():
            # All zones plan at the same moment, and none sees yet what the others
            # form: each meets its own part of the demand.
            demand = first_demand(engine, n_servers=len(own))
            groups = self._own_groups(service, engine)
        else:
            demand = self._demand_of(engine, n_servers=len(servers))
            groups = self._all_groups(service, engine)
        return FormingRules(
            engine=engine,
            demand_by_model=demand,
            groups_by_model=groups,
            n_servers=len(own),
            loads_are_quick=self._is_calm(),
        )

    def _has_settled(self, free: list[BackendServer], *, now: float) -> bool:
        """Tell whether the list has shown all servers that there are at the start.

        They appear over some seconds, and a group that is formed of the first ones
        takes the place of a better one.
        """
        if len(free) != self._n_free_seen:
            self._n_free_seen = len(free)
            self._n_free_since = now
        if not self._is_calm() or now - self._since > LONGEST_SETTLING:
            return True
        return now - self._n_free_since > FLEET_SETTLING

    def _free(self, service: str, *, now: float) -> list[BackendServer]:
        taken = self.keeper.taken()
        return [
            server
            for server in self._directory.of_service(service)
            if server.availability_zone == self._zone
            and not server.draining
            and server.id not in taken
            and not self._adoption.is_unsettled(server, now=now)
            and not self.keeper.seems_lost(server.id, now=now)
        ]

    def _demand_of(self, engine: EngineProfile, *, n_servers: int) -> dict[str, float]:
        first = first_demand(engine, n_servers=n_servers)
        seen = self._demand()
        return {
            name: max(seen.get(name, 0.0), IDLE_DEMAND * demand)
            for name, demand in first.items()
        }

    def _own_groups(self, service: str, engine: EngineProfile) -> dict[str, int]:
        """Count the zone's groups that serve or are being formed."""
        counts = dict.fromkeys(engine.models_by_name, 0)
        for record in self.keeper.records(GroupPhase.FORMING, GroupPhase.SERVING):
            if record.service == service and record.model in counts:
                counts[record.model] += 1
        return counts

    def _all_groups(self, service: str, engine: EngineProfile) -> dict[str, int]:
        """Count all groups: own ones by record, those of other zones as listed."""
        counts = self._own_groups(service, engine)
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
        """Return the orders to stage weights that are due."""
        free = self._free(service, now=now)
        if self._appending is not None or not self._has_settled(free, now=now):
            return []
        return self._weights.orders(
            free,
            self._standing(service),
            self._rules(service, engine),
            rate=engine.loads_per_second / self._n_zones,
            now=now,
        )
