"""Simulate backend servers and callers for tests of relay decisions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from ryelever.coordination.host_heartbeats import ForwardingHosts
from ryelever.coordination.quarantine.crash_evidence import CrashEvidence
from ryelever.coordination.relaying import AnswerHead, Headers, RelayArrival
from ryelever.coordination.relaying.actions import RelayAttempt, RelayRefusal
from ryelever.coordination.relaying.balance import Balancer
from ryelever.coordination.relaying.crashes import CrashWatch
from ryelever.coordination.relaying.forwarders import Forwarders
from ryelever.coordination.relaying.requests import RelayRequests
from ryelever.coordination.relaying.retry_budget import RelayRetryBudget
from ryelever.coordination.relaying.server_paths import ServerPaths
from ryelever.coordination.relaying.stall_watch import StallWatch
from ryelever.metrics import Metrics
from ryelever.relay_metrics import RelayMetrics
from ryelever.relay_settings import ContentionMode
from ryelever.state.directory import (
    BackendServer,
    Directory,
    GroupReport,
    GroupState,
)
from ryelever.state.routes import (
    ModelProfile,
    Route,
    RouteAccount,
    RoutedService,
    RouteKind,
    RouteTable,
)

from ..test_groups.test_group_forming import ENGINE as GROUP_ENGINE

__all__ = ["ENGINE", "Relaying", "contended_table", "head", "route_table"]

HOST = "calls.example"

LARGE = ModelProfile(
    name="large", size=4, share=1.0, pace=1.0, load_time=1.0, warm_time=0.3
)

#: A first event takes 0.06 s at a group with two requests.
ENGINE = replace(GROUP_ENGINE, slots=2, models_by_name={"large": LARGE})


def _route(kind: RouteKind, *, resumable: bool = False) -> Route:
    return Route(
        name=kind.value,
        host=HOST,
        path_prefix=f"/{kind.value}/",
        kind=kind,
        timeout=8.0,
        latency_objective=0.5,
        pause_objective=0.3,
        priority=1,
        weight_by_service={"engines" if kind is RouteKind.STREAM else "plain": 1.0},
        max_attempts=2,
        public=False,
        resumable=resumable,
    )


def route_table(*, resumable: bool = True) -> RouteTable:
    """Return a configuration with a route of each kind."""
    routes = [
        _route(RouteKind.IDEMPOTENT),
        _route(RouteKind.AT_MOST_ONCE),
        _route(RouteKind.STREAM, resumable=resumable),
    ]
    return RouteTable(
        version=1,
        routes_by_host={HOST: routes},
        services_by_name={},
        account_by_key={"key": RouteAccount(name="pawroute")},
        requires_keys=True,
    )


def contended_table() -> RouteTable:
    """Return a configuration with an engine service, and callers of two ranks."""
    found = route_table()
    service = RoutedService(name="engines", max_connections=8, engine=ENGINE)
    return replace(
        found,
        services_by_name={"engines": service},
        account_by_key={
            "key": RouteAccount(name="pawroute", priority=0),
            "batch": RouteAccount(name="archive", priority=2),
        },
    )


def head(request_id: str = "r1", status: int = 200, **changes: Any) -> AnswerHead:
    """Return the head of a backend server's answer."""
    values = {
        "status": status,
        "request_id": request_id,
        "signed": True,
        "not_run": False,
        "wrong_server": False,
        "encoded": False,
        "headers": [(b"response-seal", b"s")],
    }
    return AnswerHead(**(values | changes))


class Relaying:
    """Relay decisions under test, with a fake outbox that records their effects.

    Attributes
    ----------
    sent : list of RelayAttempt
        Attempts in their order.
    out : list of tuple
        What callers got: the kind of the output, and its status or bytes.
    """

    def __init__(
        self,
        *,
        n_servers: int = 3,
        slots: int = 2,
        slack: float = 100.0,
        resumable: bool = True,
        configured: bool = True,
        zone: str = "z",
        cold_rate: float | None = None,
        seed: int = 1,
        contention: ContentionMode = ContentionMode.AUTO,
        peers_reported_since: Callable[..., bool] | None = None,
        turn: Callable[..., int] = lambda *, now: 0,
        report_fault: Callable[[Exception, str], None] | None = None,
    ) -> None:
        self.route_table = route_table(resumable=resumable) if configured else None
        self.directory = Directory()
        self.slots = slots
        for index in range(n_servers):
            self.directory.put(self.plain(f"p{index}"), now=0.0)
            self.directory.put(self.engine_head(f"h{index}"), now=0.0)
        self.balancer = Balancer(
            directory=self.directory,
            zone=zone,
            cold_rate=lambda service: cold_rate,
            seed=seed,
        )
        self.stall_watch = StallWatch()
        self.forwarding_hosts = ForwardingHosts(own_zone=(), other_zones=())
        self.paths = ServerPaths(
            servers_by_id=self.directory.by_id,
            log=lambda event, **fields: self.lines.append((event, fields)),
        )
        self.paths.on_lost = lambda server_id: self.requests.path_lost(
            server_id, now=self.paths.heard_at
        )
        self.crashes = CrashWatch(
            evidence=CrashEvidence(
                peers_reported_since=peers_reported_since, turn=turn, seed=1
            )
        )
        self.sent: list[RelayAttempt] = []
        self.cancelled: list[str] = []
        self.out: list[tuple[Any, ...]] = []
        self.measures = RelayMetrics(metrics=Metrics())
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self.requests = RelayRequests(
            route_table=lambda: self.route_table,
            balancer=self.balancer,
            budget=RelayRetryBudget(
                ratio=0.2, slack=slack, window=10.0, n_hosts=lambda: 1
            ),
            stall_watch=self.stall_watch,
            paths=self.paths,
            forwarders=Forwarders(hosts=lambda *, now: self.forwarding_hosts, seed=1),
            crashes=self.crashes,
            outbox=self,
            served=lambda model, n_events: None,
            measures=self.measures,
            since=0.0,
            log=lambda event, **fields: self.lines.append((event, fields)),
            contention=contention,
            seed=seed,
            report_fault=report_fault,
        )

    def plain(self, server_id: str) -> BackendServer:
        return BackendServer(
            id=server_id,
            service="plain",
            address=f"{server_id}:80",
            availability_zone="z",
            slots=self.slots,
            draining=False,
        )

    def engine_head(self, server_id: str) -> BackendServer:
        return BackendServer(
            id=server_id,
            service="engines",
            address=f"{server_id}:80",
            availability_zone="z",
            slots=self.slots,
            draining=False,
            models=frozenset({"large"}),
            group=GroupReport(name=server_id, epoch=1, rank=0, state=GroupState.OPEN),
        )

    def arrive(
        self,
        kind: RouteKind,
        *,
        number: int = 1,
        now: float = 0.0,
        key: str | None = "key",
        path: str = "1",
        last_event_id: str = "",
        time_limit: float = 6.0,
        content: str = "",
        n_prompt: int = 100,
        parts: tuple[str, ...] = (),
    ) -> None:
        """Deliver a request of a caller."""
        arrival = RelayArrival(
            request_id=f"r{number}",
            host=HOST,
            path=f"/{kind.value}/{path}",
            content=content or f"content-{number}",
            key=key,
            model="large" if kind is RouteKind.STREAM else "",
            n_prompt=n_prompt,
            last_event_id=last_event_id,
            deadline=now + time_limit,
            arrived_at=now,
            shared_parts=parts,
        )
        self.requests.arrive(number, arrival)

    def events(self, attempt: RelayAttempt, *ids: int, now: float) -> None:
        """Deliver events of a backend server."""
        events = [(str(item), f"id: {item}\n\n".encode()) for item in ids]
        self.requests.answer_events(attempt.id, events, now=now)

    def delivered(self) -> bytes:
        """Return the bytes of streams that callers got."""
        return b"".join(item[2] for item in self.out if item[0] == "data")

    # The outbox

    def send(self, attempt: RelayAttempt) -> None:
        self.sent.append(attempt)

    def cancel(self, attempt_id: str) -> None:
        self.cancelled.append(attempt_id)

    def answer(
        self, request_number: int, *, status: int, headers: Headers, body: bytes
    ) -> None:
        self.out.append(("answer", request_number, status, body))

    def refuse(self, request_number: int, refusal: RelayRefusal) -> None:
        self.out.append(("refuse", request_number, refusal.status, refusal.retry_after))

    def start(self, request_number: int, *, status: int, headers: Headers) -> None:
        self.out.append(("start", request_number, status))

    def data(self, request_number: int, data: bytes) -> None:
        self.out.append(("data", request_number, data))

    def finish(self, request_number: int) -> None:
        self.out.append(("finish", request_number))

    def abort(self, request_number: int) -> None:
        self.out.append(("abort", request_number))
