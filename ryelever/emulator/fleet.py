"""Emulate the backend servers of a deployment, the server list and the planners."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..coordination.groups import GroupOrder, OrderKind, OrderOutcome, ZonePlanner
from ..state.directory import BackendServer, Directory, GroupState
from ..state.routes import RoutedService, RouteTable
from .deployment import SERVICE, Deployment, engine_profile
from .server import EmulatedServer

if TYPE_CHECKING:
    from ..coordination.groups import AppendGroups

__all__ = ["WARM_UP_TIME", "STEP", "Fleet"]

#: Seconds of a step.  The planners run ten times a second.
STEP = 0.1

#: Simulated seconds before the first request, and the factor by which loads are faster
#: in that time: they take a tenth of their usual time.
WARM_UP_TIME = 12.0
WARM_UP_LOAD_SPEED = 10.0

#: Steps until the server list shows a change.  The list is read three times a second.
LIST_LAG_STEPS = 3

#: Seconds until the record of a lost server expires: the time of three record renewals,
#: which are 1.2 s apart.
EXPIRY_TIME = 3.6

#: Seconds until the streams of a group that lost a member are detected as stalled, and
#: steps until an order without an answer, such as a probe, counts as unanswered.
STALL_DETECTION_TIME = 0.6
ORDER_TIMEOUT_STEPS = 4


@dataclass(slots=True, kw_only=True, frozen=True)
class _PendingOutcome:
    """The outcome of an order, which its planner receives at a later step."""

    step: int
    zone: str
    order: GroupOrder
    outcome: OrderOutcome


class Fleet:
    """Emulate the backend servers of a deployment and one planner for each zone.

    Attributes
    ----------
    now : float
        Simulated time in seconds, relative to the first request.
    n_loads : int
        Loads from the weight store since the first request.
    """

    def __init__(self, *, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.random = random.Random(seed)
        self.now = -WARM_UP_TIME
        self.n_loads = 0
        self.directory = Directory()
        self.servers_by_id: dict[str, EmulatedServer] = {}
        self._engine = engine_profile(deployment)
        self._ids = itertools.count()
        self._step = 0
        self._last_queued: dict[str, BackendServer] = {}
        self._pending_list_updates: list[tuple[int, BackendServer]] = []
        self._pending_outcomes: list[_PendingOutcome] = []
        self._log_ends = dict.fromkeys(deployment.zones, 0)
        for zone in deployment.zones:
            for domain in range(deployment.n_domains):
                for _ in range(deployment.domain_size):
                    self.add(zone, f"{zone}-{domain}")
        self.planners_by_zone = {
            zone: self._new_planner(zone) for zone in deployment.zones
        }
        for planner in self.planners_by_zone.values():
            planner.apply_full_list([], end=0, now=self.now)

    # Additions and losses

    def add(self, zone: str, domain: str) -> None:
        """Add an empty server."""
        server_id = f"i{next(self._ids)}"
        entry = BackendServer(
            id=server_id,
            service=SERVICE,
            address=f"{server_id}:80",
            availability_zone=zone,
            slots=13,
            draining=False,
            domain=domain,
            started_at=self._step,
        )
        self.servers_by_id[server_id] = EmulatedServer(entry=entry)

    def lose(self, server: EmulatedServer, *, restart_after: float | None) -> None:
        """Lose a server permanently, or until it restarts with the same id."""
        if server.lost_at is None:
            server.lost_at = self.now
            if restart_after is not None:
                server.restarts_at = self.now + restart_after

    @property
    def running_servers(self) -> list[EmulatedServer]:
        """Return the servers that are not lost."""
        return [item for item in self.servers_by_id.values() if item.lost_at is None]

    # Time

    def advance(self) -> None:
        """Advance the servers by one step, then run the planners."""
        self._step += 1
        self.now = round(self.now + STEP, 3)
        n_loading = sum(len(server.loads) for server in self.running_servers)
        pace = min(1.0, self.deployment.loads_at_once / max(1, n_loading))
        pace = WARM_UP_LOAD_SPEED if self.now < 0 else pace
        for server in list(self.servers_by_id.values()):
            if server.lost_at is None:
                server.advance(seconds=STEP, load_speed=pace, now=self.now)
            else:
                self._advance_lost_server(server)
        for server in self.running_servers:
            if server.is_open_head:
                self._update_stall(server)
        self._update_list()
        self._run_planners()

    def n_open(self) -> Counter[str]:
        """Return the number of open and complete groups for each model."""
        return Counter(
            server.last_model
            for server in self.running_servers
            if server.is_open_head and self.is_complete(server)
        )

    def is_complete(self, head: EmulatedServer) -> bool:
        """Return whether all members of a head's group are running and in the group."""
        report = head.entry.group
        n_members = sum(
            other.entry.group is not None
            and (other.entry.group.name, other.entry.group.epoch)
            == (report.name, report.epoch)
            for other in self.running_servers
        )
        return n_members == self.deployment.models_by_name[head.last_model].size

    def _advance_lost_server(self, server: EmulatedServer) -> None:
        if self.now - server.lost_at >= EXPIRY_TIME:
            self.directory.remove(server.id, last_renewed_at=server.lost_at)
            self._last_queued.pop(server.id, None)
            if server.restarts_at == float("inf"):
                del self.servers_by_id[server.id]
        if self.now >= server.restarts_at:
            entry = server.entry
            self.servers_by_id[server.id] = EmulatedServer(
                entry=BackendServer(
                    id=entry.id,
                    service=entry.service,
                    address=entry.address,
                    availability_zone=entry.availability_zone,
                    slots=entry.slots,
                    draining=False,
                    domain=entry.domain,
                    staged=entry.staged,
                    started_at=self._step,
                )
            )

    def _update_stall(self, head: EmulatedServer) -> None:
        if self.is_complete(head):
            head.stalled_since = float("inf")
            return
        head.stalled_since = min(head.stalled_since, self.now)
        if self.now - head.stalled_since >= self.deployment.stall_time:
            head.report_broken()

    def _update_list(self) -> None:
        """Show changed entries in the server list after ``LIST_LAG_STEPS`` steps."""
        for server in self.running_servers:
            if self._last_queued.get(server.id) != server.entry:
                self._last_queued[server.id] = server.entry
                self._pending_list_updates.append(
                    (self._step + LIST_LAG_STEPS, server.entry)
                )
        due = [item for item in self._pending_list_updates if item[0] <= self._step]
        self._pending_list_updates = [
            item for item in self._pending_list_updates if item[0] > self._step
        ]
        for _, entry in due:
            server = self.servers_by_id.get(entry.id)
            if server is not None and server.lost_at is None:
                self.directory.put(entry, now=self.now)

    # Planners

    def _new_planner(self, zone: str) -> ZonePlanner:
        service = RoutedService(name=SERVICE, max_connections=400, engine=self._engine)
        route_table = RouteTable(
            version=1,
            routes_by_host={},
            services_by_name={SERVICE: service},
            account_by_key={},
            requires_keys=False,
        )
        return ZonePlanner(
            zone=zone,
            n_zones=self.deployment.n_zones,
            is_local=True,
            directory=self.directory,
            route_table=lambda: route_table,
            demand=lambda: self.deployment.demand(self.now) if self.now >= 0 else {},
            other_reshaped_zones=lambda: self._other_reshaped_zones(zone),
            observe=lambda phase, seconds: None,
            list_is_stale=lambda: False,
            stall_time=self.deployment.stall_time,
            since=self.now,
            contention=self.deployment.contention,
            log=lambda event, **fields: None,
        )

    def _other_reshaped_zones(self, own_zone: str) -> set[str]:
        return {
            zone
            for zone, planner in self.planners_by_zone.items()
            if zone != own_zone and planner.reshapes
        }

    def _run_planners(self) -> None:
        stalled_heads = self._stalled_heads()
        for zone, planner in self.planners_by_zone.items():
            planner.manager.set_stalled_heads(stalled_heads)
            orders, append = planner.run_planning_pass(now=self.now)
            for order in orders:
                self._execute_order(zone, order)
            if append is not None:
                self._append(zone, append)
        due = [answer for answer in self._pending_outcomes if answer.step <= self._step]
        self._pending_outcomes = [
            item for item in self._pending_outcomes if item.step > self._step
        ]
        for answer in due:
            if answer.order.group:
                manager = self.planners_by_zone[answer.zone].manager
                manager.record_outcome(answer.order, answer.outcome, now=self.now)

    def _append(self, zone: str, append: AppendGroups) -> None:
        planner = self.planners_by_zone[zone]
        if append.at != self._log_ends[zone]:
            planner.fail_append(end=self._log_ends[zone])
            return
        n_records = len(append.formed) + len(append.restored) + len(append.dropped)
        self._log_ends[zone] += n_records
        planner.confirm_append(append, end=self._log_ends[zone], now=self.now)

    def _execute_order(self, zone: str, order: GroupOrder) -> None:
        server = self.servers_by_id.get(order.server_id)
        step = self._step + 1
        if server is None or server.lost_at is not None:
            outcome = OrderOutcome.UNKNOWN
            step = self._step + ORDER_TIMEOUT_STEPS
        else:
            n_before = len(server.loads)
            outcome = server.execute(order, engine=self._engine, now=self.now)
            is_load = order.kind in (OrderKind.STAGE, OrderKind.JOIN)
            if is_load and self.now >= 0:
                self.n_loads += max(0, len(server.loads) - n_before)
        answer = _PendingOutcome(step=step, zone=zone, order=order, outcome=outcome)
        self._pending_outcomes.append(answer)

    def _stalled_heads(self) -> set[str]:
        """Return the heads whose groups are detected as stalled."""
        detected_before = self.now - STALL_DETECTION_TIME
        stalled_heads = set()
        for server in self.servers_by_id.values():
            report = server.entry.group
            if report is None or report.rank or report.state is not GroupState.OPEN:
                continue
            is_lost_for_long = (
                server.lost_at is not None and server.lost_at <= detected_before
            )
            if server.stalled_since <= detected_before or is_lost_for_long:
                stalled_heads.add(server.id)
        return stalled_heads
