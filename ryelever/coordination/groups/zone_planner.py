"""Plan the groups of one availability zone, by way of records in the store.

A group exists once its record is appended at the very offset that was expected: of
two planners that decide on the same view only one gets its record in, and the other
reads it before it decides again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .adoption import GroupAdoption
from .disbanding import choose_disbanding
from .forming import choose_formations
from .idle_servers import IdleServers
from .managed_group import GroupPhase
from .managed_groups import DISBANDED
from .manager import GroupManager
from .records import GroupRecord, Member
from .reshaping import ReshapingToken
from .times import GroupTimes
from .warm_up import choose_warm_ups
from .weight_staging import WeightStaging
from .zone_view import ZoneViews

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ...state.directory import Directory
    from ...state.routes import RouteTable
    from .forming import Formation, StandingGroup
    from .orders import GroupOrder
    from .zone_view import ServiceView

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

#: Bits of an epoch for the place in the log; the era of the store has those above, so
#: that no epoch of an era that has lost records is given out again.
PLACE_BITS = 32

#: Seconds after which an append that got no answer is looked for in the log.
APPEND_TIMEOUT = 1.0


class AppendGroups(msgspec.Struct, kw_only=True, frozen=True):
    """Ask for records to be appended where the log is expected to end.

    Attributes
    ----------
    era : int
        Era of the store that the offset belongs to.
    restored : tuple of GroupRecord
        Groups that exist and have no record.
    dropped : tuple of str
        Names of groups that have ended.
    """

    at: int
    era: int
    formed: tuple[GroupRecord, ...]
    restored: tuple[GroupRecord, ...] = ()
    dropped: tuple[str, ...] = ()


class ZonePlanner:
    """Decide about the groups of one availability zone.

    Parameters
    ----------
    zone : str
        The availability zone.
    n_zones : int
        Zones that share the weight store.
    is_local : bool
        True where the planner's host is in that zone itself.
    demand : callable
        Return the work that arrives at all hosts, in groups kept busy, by model.
    is_evacuated : callable
        Tell whether the servers of an availability zone are to get nothing new.
    list_is_stale : callable
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
        is_local: bool,
        directory: Directory,
        table: Callable[[], RouteTable | None],
        demand: Callable[[], Mapping[str, float]],
        reshaping: Callable[[], set[str]],
        observe: Callable[[str, float], None],
        list_is_stale: Callable[[], bool],
        stall_time: float,
        since: float,
        log: Callable[..., None],
        is_evacuated: Callable[[str], bool] = lambda zone: False,
    ) -> None:
        self._is_evacuated = is_evacuated
        self._zone = zone
        self._n_zones = n_zones
        self._directory = directory
        self._table = table
        self._reshaping = reshaping
        self._list_is_stale = list_is_stale
        self._token = ReshapingToken(zone=zone)
        self._log = log
        self.times = GroupTimes(observe=observe)
        self._since = since
        self._era = 0
        self._end = -1
        self._appending_since: float | None = None
        self._appending: AppendGroups | None = None
        self._decided_by_epoch: dict[int, GroupRecord] = {}
        self._weights = WeightStaging()
        self.manager = GroupManager(
            directory=directory,
            stall_time=stall_time,
            join_limit=LONGEST_JOIN,
            patience=0.0 if is_local else FOREIGN_PATIENCE,
            list_is_stale=list_is_stale,
            log=log,
        )
        self._idle = IdleServers(zone=zone, manager=self.manager, log=log)
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
            since=since,
        )

    @property
    def reshapes(self) -> bool:
        """Tell whether a group of the zone is taken apart, or is to be."""
        return self._token.is_announced

    # The log

    def listed(
        self, records: list[GroupRecord], *, end: int, era: int = 0, now: float
    ) -> None:
        """Take all records that the log holds.

        Parameters
        ----------
        era : int
            Era of the store; in a later one the log may end earlier.
        """
        if self._end < 0:
            self._views.has_run_before = bool(records)
        if era != self._era:
            self._era = era
            self._end = -1
            self._appending = None
        names = {record.name for record in records}
        for name in self.manager.names() - names:
            self.manager.drop(name)
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
        if record.epoch in self.manager.ended_epochs:
            # An older copy of the store, or a late append, shows it once more.
            self.manager.put_ended(record, now=now)
        elif record.availability_zone == self._zone:
            decided_here = self._decided_by_epoch.get(record.epoch) == record
            self.manager.put(record, now=now, decided_here=decided_here)
        self._read_to(end)

    def dropped(self, name: str, *, end: int) -> None:
        """Take word that a record was dropped from the log."""
        self.manager.drop(name)
        self._read_to(end)

    def appended(
        self, asked: AppendGroups, *, end: int, era: int = 0, now: float
    ) -> None:
        """Take the answer to an append that succeeded.

        Parameters
        ----------
        era : int
            Era of the store in which it did.  In another one than it was decided in
            the log happened to end at that place, and the epochs of what was formed
            may be those of groups whose records are lost.
        """
        if era != asked.era:
            self.manager.ended_epochs.update(record.epoch for record in asked.formed)
            self._appending = None
            return
        for record in (*asked.formed, *asked.restored):
            self.recorded(record, end=end, now=now)
        for name in asked.dropped:
            self.manager.forget(name)
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
        self._end_misfits(table, now=now)
        orders = self.manager.look(now=now)
        n_stranded = self._views.n_stranded(table)
        self.times.look(self.manager.phases(), n_stranded=n_stranded, now=now)
        self._adoption.look(table, now=now)
        views = self._views.of(table, now=now)
        for view in views:
            self._idle.look(view, now=now)
        self._disband(views, now=now)
        append = self._append_due(views, now=now)
        if self._appending is None:
            for view in views:
                orders += self._staging(view, now=now)
        return orders, append

    def _end_misfits(self, table: RouteTable, *, now: float) -> None:
        """End groups whose records have too few members for their model.

        Each member that a record names may be ready, and the head would open.
        """
        for record in self.manager.records(GroupPhase.FORMING, GroupPhase.SERVING):
            service = table.services_by_name.get(record.service)
            engine = None if service is None else service.engine
            model = engine.models_by_name.get(record.model) if engine else None
            if model is not None and len(record.members) != model.size:
                self.manager.end(record.name, "wrong_size", now=now)

    def _append_due(
        self, views: list[ServiceView], *, now: float
    ) -> AppendGroups | None:
        if self._appending is not None:
            if now - self._appending_since < APPEND_TIMEOUT:
                return None
            self._appending_since = now
            return self._appending
        formed: list[GroupRecord] = []
        for view in views:
            formations = self._formations(view)
            if formations:
                self._log_weighed(view)
            warm_ups = self._warm_ups(view, formations, now=now)
            for formation in (*formations, *warm_ups):
                record = self._record(
                    formation,
                    service=view.service,
                    offset=self._end + len(formed),
                    warms_up=formation in warm_ups,
                )
                formed.append(record)
        restored = tuple(self.manager.unrecorded())
        if not formed and not restored:
            return None
        # Dropping what has ended costs no call of its own this way.
        asked = AppendGroups(
            at=self._end,
            era=self._era,
            formed=tuple(formed),
            restored=restored,
            dropped=tuple(self.manager.retired()),
        )
        self._appending = asked
        self._appending_since = now
        self._decided_by_epoch.update((record.epoch, record) for record in formed)
        return asked

    def _may_form(self, view: ServiceView) -> bool:
        """Tell whether servers of the zone may be given to groups now."""
        return view.has_settled and not self._is_evacuated(self._zone)

    def _formations(self, view: ServiceView) -> list[Formation]:
        if not self._may_form(view):
            return []
        # What a group is taken apart for waits for its members.
        held = {
            server.domain
            for record in self.manager.disbanding()
            for server in self._directory.listed(record.member_ids)
        }
        free = [server for server in view.free if server.domain not in held]
        return choose_formations(free, view.rules)

    def _warm_ups(
        self, view: ServiceView, formations: list[Formation], *, now: float
    ) -> list[Formation]:
        """Return the empty servers that are to join a group of their own."""
        if not self._may_form(view):
            return []
        taken = {server.id for one in formations for server in one.members}
        spares = [server for server in view.free if server.id not in taken]
        return [
            warm_up
            for warm_up in choose_warm_ups(spares, view.rules)
            if self._weights.may_load(view.rules, rate=self._load_rate(view), now=now)
        ]

    def _load_rate(self, view: ServiceView) -> float:
        """Return the loads a second that the weight store starts for the zone."""
        return view.engine.loads_per_second / self._n_zones

    def _disband(self, views: list[ServiceView], *, now: float) -> None:
        """End the groups whose members are worth more in another one."""
        if self._is_evacuated(self._zone):
            return
        if self._appending is not None or self._list_is_stale():
            # While the store is away no group can be formed of what is freed: three
            # zones that ended one each lost half of a model's groups for the outage.
            return
        if self.manager.disbanding() or self.manager.records(GroupPhase.FORMING):
            # Until what comes of it serves, other zones see less than there will be.
            return
        others = self._reshaping()
        groups = _groups_to_disband(views, n_pending=self._token.n_before(others))
        if not groups:
            self._token.end()
        elif self._token.may_start(others, now=now):
            for view in views:
                self._log_weighed(view)
            for group in groups:
                self.manager.end(group.name, DISBANDED, now=now)

    def _log_weighed(self, view: ServiceView) -> None:
        """Tell by what groups of a service are formed, or one is taken apart."""
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
            epoch=(self._era << PLACE_BITS) + place,
            service=service,
            model=formation.model.name,
            availability_zone=self._zone,
            members=tuple(
                Member(server_id=server.id, address=server.address)
                for server in formation.members
            ),
            warms_up=warms_up,
        )

    def _staging(self, view: ServiceView, *, now: float) -> list[GroupOrder]:
        """Return the orders to stage weights that are due."""
        if not self._may_form(view):
            return []
        return self._weights.orders(
            view.free,
            view.standing,
            view.rules,
            rate=self._load_rate(view),
            n_at_once=view.engine.loads_at_once / self._n_zones,
            n_warming_up=self.manager.n_warming_up(),
            now=now,
        )


def _groups_to_disband(
    views: list[ServiceView], *, n_pending: int
) -> list[StandingGroup]:
    for view in views:
        if view.rules.loads_are_quick:
            # No request has come yet, and nothing is short.
            continue
        groups = choose_disbanding(
            view.free, view.standing, view.rules, n_pending=n_pending
        )
        if groups:
            return groups
    return []
