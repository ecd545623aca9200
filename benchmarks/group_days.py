"""Measure how much of its work each model's groups can do over days of losses.

Runs the planners' own code, one a zone, against backend servers faked in memory:
members are lost for good or for seconds, whole fabric domains go dark, and empty
servers come.  Prints for each deployment the part of the time that work of each model
finds a place, and that of the worse model, in the mean over days::

    .venv/bin/python -m benchmarks.group_days --days 100
"""

from __future__ import annotations

import argparse
import concurrent.futures
import itertools
import random
import statistics
from dataclasses import dataclass, field, replace

from ryelever.coordination.groups import ZonePlanner
from ryelever.coordination.groups.orders import GroupOrder, OrderKind, OrderOutcome
from ryelever.state.directory import (
    BackendServer,
    Directory,
    GroupReport,
    GroupState,
)
from ryelever.state.routes import (
    EngineProfile,
    ModelProfile,
    RoutedService,
    RouteTable,
)

#: Seconds of a step, before the first request, and of a day with requests.
STEP = 0.1
LEAD = 12.0
DAY = 34.0

#: Steps until the list shows a change.
LIST_LAG = 3

#: Seconds until a lost server's entry lapses, until its group is seen to stand still,
#: until an unanswered probe counts as such, and for which a group stands still.
LAPSE = 3.6
NOTICED = 0.6
UNANSWERED = 4
STALL = 6.0

#: Part of the usual load time before the first request.
QUICK = 0.1

SERVICE = "engines"


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Describe where planners are to work.

    Attributes
    ----------
    losses : float
        Part of the servers lost at once, every three seconds or so.
    demand : dict of str to float
        Work of each model, in groups kept busy.
    """

    n_zones: int
    n_domains: int
    domain_size: int
    sizes: dict[str, int]
    demand: dict[str, float]
    losses: float

    @property
    def n_servers(self) -> int:
        """Return how many servers there are at the start."""
        return self.n_zones * self.n_domains * self.domain_size


DEPLOYMENTS = {
    "48 servers, light": Deployment(
        n_zones=3,
        n_domains=2,
        domain_size=8,
        sizes={"large": 4, "small": 2},
        demand={"large": 3.2, "small": 3.9},
        losses=0.02,
    ),
    "48 servers, heavy": Deployment(
        n_zones=3,
        n_domains=2,
        domain_size=8,
        sizes={"large": 4, "small": 2},
        demand={"large": 3.2, "small": 3.9},
        losses=0.05,
    ),
    "171 servers": Deployment(
        n_zones=3,
        n_domains=3,
        domain_size=19,
        sizes={"large": 8, "small": 4},
        demand={"large": 3.6, "small": 9.0},
        losses=0.02,
    ),
    "228 servers": Deployment(
        n_zones=4,
        n_domains=3,
        domain_size=19,
        sizes={"large": 8, "small": 4},
        demand={"large": 4.5, "small": 9.5},
        losses=0.04,
    ),
}


def engine_of(deployment: Deployment) -> EngineProfile:
    """Return the profile of a deployment's engines."""
    pace = {"large": 1.0, "small": 0.6}
    models = {
        name: ModelProfile(
            name=name,
            size=size,
            share=0.5,
            pace=pace[name],
            load_time={"large": 16.0, "small": 12.0}[name],
            warm_time={"large": 1.6, "small": 1.1}[name],
        )
        for name, size in deployment.sizes.items()
    }
    return EngineProfile(
        slots=13,
        step_time=0.006,
        step_time_per_request=0.0005,
        prefill_rate=46000.0,
        tokens_per_event=5,
        form_time=0.3,
        loads_per_second=deployment.n_servers / 12,
        loads_at_once=8.0,
        usual_prompt=1000.0,
        usual_answer=100.0,
        models_by_name=models,
    )


@dataclass(slots=True)
class FakeServer:
    """Play one backend server, as it is and not as the list shows it."""

    entry: BackendServer
    lost_at: float | None = None
    back_at: float = float("inf")
    due: list[tuple[float, GroupState | None, str]] = field(default_factory=list)
    whole_until: float = float("inf")


class Fleet:
    """Play the servers of a deployment, its planners, and what befalls them."""

    def __init__(self, deployment: Deployment, *, seed: int) -> None:
        self.deployment = deployment
        self.random = random.Random(seed)
        self.engine = engine_of(deployment)
        self.now = -LEAD
        self.directory = Directory()
        self.servers_by_id: dict[str, FakeServer] = {}
        self._ids = itertools.count()
        self._listed: list[tuple[int, str]] = []
        self._answers: list[tuple[int, str, GroupOrder, OrderOutcome]] = []
        self._step = 0
        self._ends = dict.fromkeys(self.zones, 0)
        self.done = dict.fromkeys(deployment.sizes, 0.0)
        for zone in self.zones:
            for domain in range(deployment.n_domains):
                for _ in range(deployment.domain_size):
                    self.add(zone, f"{zone}-{domain}")
        table = RouteTable(
            version=1,
            routes_by_host={},
            services_by_name={
                SERVICE: RoutedService(
                    name=SERVICE, max_connections=400, engine=self.engine
                )
            },
            account_by_key={},
            asks_for_keys=False,
        )
        self.planners = {
            zone: ZonePlanner(
                zone=zone,
                n_zones=deployment.n_zones,
                is_own=True,
                directory=self.directory,
                table=lambda: table,
                demand=lambda: deployment.demand if self.now >= 0 else {},
                reshaping=lambda zone=zone: self._reshaping(zone),
                observe=lambda phase, seconds: None,
                list_is_silent=lambda: False,
                stall_time=STALL,
                since=self.now,
                log=lambda event, **fields: None,
            )
            for zone in self.zones
        }
        for planner in self.planners.values():
            planner.listed([], end=0, now=self.now)

    @property
    def zones(self) -> list[str]:
        """Return the names of the availability zones."""
        return [f"z{index}" for index in range(self.deployment.n_zones)]

    def _reshaping(self, besides: str) -> set[str]:
        return {
            zone
            for zone, planner in self.planners.items()
            if zone != besides and planner.reshapes
        }

    # Servers

    def add(
        self, zone: str, domain: str, *, staged: frozenset[str] = frozenset()
    ) -> None:
        """Let a server come, with no weights in use."""
        server_id = f"i{next(self._ids)}"
        entry = BackendServer(
            id=server_id,
            service=SERVICE,
            address=f"{server_id}:80",
            availability_zone=zone,
            slots=13,
            draining=False,
            domain=domain,
            staged=staged,
        )
        self.servers_by_id[server_id] = FakeServer(entry)
        self._show(server_id)

    def lose(self, server_id: str, *, back_after: float | None) -> None:
        """Lose a server for good, or let it come back empty but for its weights."""
        server = self.servers_by_id[server_id]
        if server.lost_at is not None:
            return
        server.lost_at = self.now
        if back_after is not None:
            server.back_at = self.now + back_after

    def _show(self, server_id: str) -> None:
        self._listed.append((self._step + LIST_LAG, server_id))

    def _change(self, server: FakeServer, **changes: object) -> None:
        server.entry = replace(server.entry, **changes)
        self._show(server.entry.id)

    def _advance(self) -> None:
        for server in list(self.servers_by_id.values()):
            if server.lost_at is not None:
                self._advance_lost(server)
                continue
            for item in [item for item in server.due if item[0] <= self.now]:
                server.due.remove(item)
                self._reach(server, *item[1:])
            report = server.entry.group
            if report is not None and report.state is GroupState.OPEN:
                self._stall(server, report)
        due = [item for item in self._listed if item[0] <= self._step]
        self._listed = [item for item in self._listed if item[0] > self._step]
        for _, server_id in due:
            server = self.servers_by_id.get(server_id)
            if server is not None and server.lost_at is None:
                self.directory.put(server.entry, now=self.now)

    def _advance_lost(self, server: FakeServer) -> None:
        if self.now - server.lost_at >= LAPSE:
            self.directory.remove(server.entry.id, heard_at=server.lost_at)
            if server.back_at == float("inf"):
                del self.servers_by_id[server.entry.id]
        if self.now >= server.back_at:
            entry = server.entry
            self.directory.remove(entry.id, heard_at=server.lost_at)
            del self.servers_by_id[entry.id]
            self.add(entry.availability_zone, entry.domain, staged=entry.staged)

    def _reach(self, server: FakeServer, state: GroupState | None, model: str) -> None:
        if state is None:
            self._change(server, staged=frozenset({model}))
            return
        report = server.entry.group
        if report is None:
            return
        changes = {"group": replace(report, state=state)}
        if state is GroupState.READY and model:
            changes["models"] = frozenset({model})
            if model not in server.entry.staged:
                changes["staged"] = frozenset({model})
        self._change(server, **changes)

    def _stall(self, server: FakeServer, report: GroupReport) -> None:
        if self._is_whole(server.entry):
            server.whole_until = float("inf")
            return
        server.whole_until = min(server.whole_until, self.now)
        if self.now - server.whole_until >= STALL:
            self._change(server, group=replace(report, state=GroupState.BROKEN))

    def _is_whole(self, head: BackendServer) -> bool:
        """Tell whether all members of an open group are there and in it."""
        members = [
            server
            for server in self.servers_by_id.values()
            if server.lost_at is None
            and server.entry.group is not None
            and server.entry.group.epoch == head.group.epoch
            and server.entry.group.name == head.group.name
        ]
        model = next(iter(head.models))
        return len(members) == self.deployment.sizes[model]

    # Orders

    def _carry_out(self, zone: str, order: GroupOrder) -> None:
        server = self.servers_by_id.get(order.server_id)
        if server is None or server.lost_at is not None:
            outcome = OrderOutcome.UNKNOWN
            self._answers.append((self._step + UNANSWERED, zone, order, outcome))
            return
        outcome = self._obey(server, order)
        self._answers.append((self._step + 1, zone, order, outcome))

    def _obey(self, server: FakeServer, order: GroupOrder) -> OrderOutcome:
        report = server.entry.group
        is_in = (
            report is not None
            and report.name == order.group
            and report.epoch == order.epoch
        )
        quick = QUICK if self.now < 0 else 1.0
        model = self.engine.models_by_name.get(order.model)
        if order.kind is OrderKind.PROBE:
            return OrderOutcome.HOLDS if is_in else OrderOutcome.APART
        if order.kind is OrderKind.STAGE:
            server.due.append((self.now + quick * model.load_time, None, order.model))
            return OrderOutcome.BEGUN
        if order.kind is OrderKind.JOIN:
            joined = GroupReport(
                name=order.group,
                epoch=order.epoch,
                rank=order.members.index(order.server_id),
                state=GroupState.JOINING,
            )
            seconds = quick * model.load_time
            if order.model in server.entry.models:
                seconds = 0.2
            elif order.model in server.entry.staged:
                seconds = model.warm_time
            server.due = [item for item in server.due if item[1] is None]
            server.due.append((self.now + seconds, GroupState.READY, order.model))
            self._change(server, group=joined)
            return OrderOutcome.BEGUN
        if not is_in:
            return OrderOutcome.REFUSED
        if order.kind is OrderKind.OPEN:
            if report.state is not GroupState.READY:
                return OrderOutcome.REFUSED
            server.due.append((self.now + self.engine.form_time, GroupState.OPEN, ""))
        elif order.kind is OrderKind.CLOSE:
            self._change(server, group=replace(report, state=GroupState.CLOSING))
        elif order.kind is OrderKind.LEAVE:
            self._change(server, group=None)
            return OrderOutcome.HOLDS
        return OrderOutcome.BEGUN

    # A day

    def befall(self, due: dict[str, float]) -> None:
        """Lose servers and let new ones come, when it is time."""
        living = [item for item in self.servers_by_id.values() if item.lost_at is None]
        n_servers = self.deployment.n_servers
        if self.now >= due["loss"]:
            due["loss"] = self.now + self.random.uniform(2.0, 3.5)
            members = [item for item in living if item.entry.group is not None]
            n_lost = max(1, round(self.deployment.losses * n_servers))
            for server in self.random.sample(members, min(n_lost, len(members))):
                gone = self.random.random() < 0.7
                self.lose(server.entry.id, back_after=None if gone else 5.0)
        if self.now >= due["domain"]:
            due["domain"] = float("inf")
            domain = self.random.choice(living).entry.domain
            for server in living:
                if server.entry.domain == domain:
                    self.lose(server.entry.id, back_after=6.0)
        if self.now >= due["new"]:
            due["new"] = self.now + self.random.uniform(3.0, 4.5)
            for _ in range(max(1, round(0.5 * self.deployment.losses * n_servers))):
                zone = self.random.choice(self.zones)
                domain = self.random.randrange(self.deployment.n_domains)
                self.add(zone, f"{zone}-{domain}")

    def _suspects(self) -> set[str]:
        """Return the heads whose groups are seen to stand still."""
        return {
            server.entry.id
            for server in self.servers_by_id.values()
            if server.entry.group is not None
            and server.entry.group.rank == 0
            and server.entry.group.state is GroupState.OPEN
            and (
                server.whole_until <= self.now - NOTICED
                or (server.lost_at is not None and server.lost_at <= self.now - NOTICED)
            )
        }

    def _plan(self) -> None:
        suspects = self._suspects()
        for zone, planner in self.planners.items():
            planner.keeper.suspect(suspects)
            orders, append = planner.look(now=self.now)
            for order in orders:
                self._carry_out(zone, order)
            if append is not None:
                if append.at == self._ends[zone]:
                    n_records = len(append.formed) + len(append.restored)
                    self._ends[zone] += n_records + len(append.dropped)
                    end = self._ends[zone]
                    planner.appended(append, end=end, now=self.now)
                else:
                    planner.append_failed(end=self._ends[zone])
        due = [item for item in self._answers if item[0] <= self._step]
        self._answers = [item for item in self._answers if item[0] > self._step]
        for _, zone, order, outcome in due:
            if order.group:
                self.planners[zone].keeper.answered(order, outcome, now=self.now)

    def _count(self) -> None:
        n_open = dict.fromkeys(self.done, 0)
        for server in self.servers_by_id.values():
            report = server.entry.group
            if (
                server.lost_at is None
                and report is not None
                and report.rank == 0
                and report.state is GroupState.OPEN
                and self._is_whole(server.entry)
            ):
                n_open[next(iter(server.entry.models))] += 1
        for model, demand in self.deployment.demand.items():
            self.done[model] += min(1.0, 0.9 * n_open[model] / demand) * STEP / DAY

    def play(self) -> dict[str, float]:
        """Return the part of its work that each model's groups could do."""
        due = {
            "loss": self.random.uniform(1.0, 4.0),
            "domain": self.random.choice([11.0, float("inf")]),
            "new": 12.0,
        }
        for _ in range(round((LEAD + DAY) / STEP)):
            self._step += 1
            self.now = round(self.now + STEP, 3)
            self._advance()
            if self.now >= 0:
                self.befall(due)
                self._count()
            self._plan()
        return self.done


def play(name: str, seed: int) -> dict[str, float]:
    """Play one day of a deployment."""
    return Fleet(DEPLOYMENTS[name], seed=seed).play()


def main() -> None:
    """Print the means of all deployments."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--days", type=int, default=24)
    parser.add_argument("--jobs", type=int, default=4)
    arguments = parser.parse_args()
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs) as pool:
        for name in DEPLOYMENTS:
            seeds = range(arguments.days)
            days = list(pool.map(play, itertools.repeat(name), seeds))
            large = statistics.mean(day["large"] for day in days)
            small = statistics.mean(day["small"] for day in days)
            worse = statistics.mean(min(day.values()) for day in days)
            print(
                f"{name:20s} large {large:.3f} small {small:.3f} worse {worse:.3f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
