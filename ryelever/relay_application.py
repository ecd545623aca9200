"""Assemble the components of an entry host that relays requests unchanged."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler
from msgspec.structs import replace

from .addresses import split_address
from .coordination.evacuations import Evacuations
from .coordination.groups import ZonePlanner
from .coordination.host_heartbeats import HostHeartbeat, HostHeartbeats
from .coordination.quarantine import CrashEvidence
from .coordination.relaying import (
    Balancer,
    CrashWatch,
    Forwarders,
    RelayRetryBudget,
    ServerPaths,
    StallWatch,
)
from .crash_log import CrashLog
from .events import (
    control_tick,
    heartbeat_tick,
    peers_poll,
    serving_tick,
    sweep,
)
from .exit_codes import ExitCode
from .fault_log import FaultLog
from .fleet_directory import FleetDirectory
from .group_planning import GroupPlanning
from .host_exchange import HEARTBEAT_INTERVAL, HostExchange
from .logs import log_event
from .metrics import Metrics
from .path_checks import PathChecks
from .peer_requests import PeerRequests
from .probe_page import ProbePage
from .relay import Relay
from .relay_metrics import RelayMetrics, register_gauges
from .relay_shutdown import RelayShutdown
from .request_forwarding import RequestForwarding
from .state.directory import Directory
from .state.routes import ConnectionLimits
from .store_client import StoreClient
from .timers import Timers
from .transport.caller_metrics import register_caller_gauges
from .transport.caller_server import CallerResources
from .transport.http_client import HttpClient
from .transport.peers import Peers
from .transport.poller import Poller
from .transport.relay_callers import RelayCallers

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import RelayedRequest
    from .log_stream import StreamWriter
    from .protocol.keyed_log import KeyedLogInterface
    from .protocol.relaying import RelayInterface
    from .protocol.store_documents import GroupInterface, StoreDocuments
    from .relay_settings import RelaySettings

__all__ = ["RelayApplication"]

#: Seconds between two checks of the deadlines of store calls, groups and shutdown, the
#: shortest of which are 0.15 s.
CONTROL_INTERVAL = 0.1

#: Seconds between two checks of request deadlines and of stalled groups, which can be
#: detected after 0.45 s at the earliest.
SERVING_INTERVAL = 0.1

#: Seconds between two checks of request deadlines while requests wait for a slot: a
#: waiting request is late after some tenths of a second.
WAITING_INTERVAL = 0.05

#: Seconds between two reads of the datagrams that other hosts have sent.  Each host
#: sends a heartbeat every 0.2 s or less often, so the mean delay, half of this
#: interval, is small compared with the heartbeats' age.
PEERS_POLL_INTERVAL = 0.1

#: Seconds between two checks for connections that have timed out, and between two
#: flushes of waiting log lines.
SWEEP_INTERVAL = 0.2

#: Maximum bytes that a host adds to the head of a request that it sends by way of
#: another host: the server's id in the target and in a header, and the account's name.
MAX_ADDED_HEAD = 4096

SWEPT_CHANNELS = (
    "http_client",
    "relay_callers",
    "watchers",
    "metrics_watchers",
    "peer_callers",
)

CONTROL_CHANNELS = ("store", "directory", "paths", "groups", "shutdown")


class RelayApplication(BaseComponent):
    """Build and run the components of one entry host.

    Parameters
    ----------
    settings : RelaySettings
        Checked settings.
    log, documents, groups, messages
        The platform's implementation of each interface.
    log_writer : StreamWriter
        Writer of the log lines.
    reload : callable
        Read the settings file again, log whether the settings have changed, and return
        them, or None if they have faults.
    """

    channel = "application"

    def __init__(
        self,
        *,
        settings: RelaySettings,
        log: KeyedLogInterface,
        documents: StoreDocuments,
        groups: GroupInterface,
        messages: RelayInterface,
        log_writer: StreamWriter,
        reload: Callable[[], RelaySettings | None],
    ) -> None:
        super().__init__()
        self.settings = settings
        self.exit_code = ExitCode.OK
        self.metrics = Metrics()
        self._log_writer = log_writer
        self._reload = reload
        self.directory = Directory()
        self.heartbeats = HostHeartbeats(
            host=settings.host, zone=settings.availability_zone
        )
        self.evacuations = Evacuations(log=log_event)
        self.store = StoreClient(address=settings.store_address, era_of=log.era)
        self.caller_resources = CallerResources(
            memory=settings.caller_memory,
            max_connections=settings.max_caller_connections,
        )
        # The UDP port for datagrams has the same number as the TCP port for requests.
        self.peer_callers = RelayCallers(
            bind=split_address(settings.peers_address),
            channel="peer_callers",
            reply_channel="offers",
            limits=self._peer_limits,
            resources=self.caller_resources,
        )
        self.peers = Peers(
            bind=(settings.ip, self.peer_callers.port),
            reply_channel="exchange",
            read_on_arrival=False,
        )
        self.fleet = FleetDirectory(
            settings=settings,
            log=log,
            documents=documents,
            store=self.store,
            directory=self.directory,
            heartbeats=self.heartbeats,
            evacuations=self.evacuations,
            own_address=self.peers.address,
        )
        self.http_client = HttpClient()
        self.callers = RelayCallers(
            bind=split_address(settings.callers_address),
            channel="relay_callers",
            reply_channel="relay",
            limits=self._connection_limits,
            resources=self.caller_resources,
        )
        self.probe_callers = RelayCallers(
            bind=split_address(settings.ready_address),
            channel="watchers",
            reply_channel="watch_page",
            limits=ConnectionLimits,
            resources=self.caller_resources,
        )
        self.paths = ServerPaths(servers_by_id=self.directory.by_id, log=log_event)
        self.forwarders = Forwarders(hosts=self.heartbeats.forwarding_hosts)
        self.balancer = Balancer(
            directory=self.directory,
            zone=settings.availability_zone,
            cold_rate=self._cold_rate,
            is_evacuated=self._is_evacuated,
            needs_forwarding=lambda server: self.paths.is_out_of_reach(server.id),
        )
        crashes = self.crashes = CrashWatch(
            evidence=CrashEvidence(
                peers_reported_since=self.heartbeats.have_reported_since,
                turn=self.heartbeats.turn,
                released_parts=settings.released_parts,
                reports=CrashLog(),
            )
        )
        self.relay = Relay(
            messages=messages,
            callers=self.callers,
            route_table=self._route_table,
            balancer=self.balancer,
            budget=RelayRetryBudget(
                ratio=settings.repeat_ratio,
                slack=settings.repeat_slack,
                window=settings.repeat_window,
                n_hosts=lambda: self.heartbeats.n_hosts(now=time.monotonic()),
                since=time.monotonic(),
            ),
            stall_watch=StallWatch(),
            paths=self.paths,
            forwarders=self.forwarders,
            crashes=crashes,
            metrics=self.metrics,
            measures=RelayMetrics(metrics=self.metrics),
            contention=settings.contention,
        )
        self.planning = GroupPlanning(
            settings=settings,
            log=log,
            documents=documents,
            groups=groups,
            store=self.store,
            plans_for=self._plans_for,
            still=self._stalled_heads,
            new_planner=self._new_planner,
            directory=self.directory,
            paths=self.paths,
            forwarders=self.forwarders,
        )
        self.exchange = HostExchange(
            settings=settings,
            heartbeats=self.heartbeats,
            balancer=self.balancer,
            stall_watch=self.relay.stall_watch,
            crashes=crashes,
            describe=self._describe_host,
            on_heartbeat=self._on_peer_heartbeat,
            waiting_rows=self.relay.requests.waiting_rows,
            urgent_demand=self.relay.demand.urgent_by_model,
            arrival_rate=self.relay.requests.arrival_rate,
        )
        self.shutdown = RelayShutdown(
            settings=settings,
            callers=self.callers,
            requests=self.relay.requests,
            n_forwarded=lambda: self.forwarding.n_in_progress,
            stop=self.stop,
            reload=self._on_reload,
        )
        self.timers = Timers()
        self.path_checks = PathChecks(
            paths=self.paths,
            forwarders=self.forwarders,
            address_of=self._server_address,
            status_path=self._status_path,
        )
        self.paths.on_lost = self._on_path_lost
        self.forwarding = RequestForwarding(
            host=settings.host,
            callers=self.peer_callers,
            address_of=self._server_address,
            paths=self.paths,
            is_authorized=self._is_from_host,
            is_stopping=self._refuses_forwarded,
        )
        self.peer_requests = PeerRequests(
            callers=self.peer_callers,
            document=self.fleet.document,
            servers=self.fleet.all_servers,
            changes=self.fleet.changes_since,
            link_rate=settings.link_rate,
            forward=self.forwarding.forward,
        )
        register_gauges(
            self.metrics,
            store=self.store,
            fleet=self.fleet,
            planning=self.planning,
            exchange=self.exchange,
            balancer=self.balancer,
            paths=self.paths,
            forwarding=self.forwarding,
            crashes=crashes,
            log_writer=log_writer,
        )
        register_caller_gauges(
            self.metrics,
            resources=self.caller_resources,
            servers_by_name={
                "callers": self.callers,
                "ready": self.probe_callers,
                "peers": self.peer_callers,
            },
        )
        self.metrics.counter(
            "caller_requests_refused",
            lambda: {
                str(status): n for status, n in self.callers.n_refused_by_status.items()
            },
        )
        self._register_components()

    # Callbacks that connect the components

    def _route_table(self) -> object:
        return self.fleet.route_table

    def _cold_rate(self, service: str) -> float | None:
        route_table = self.fleet.route_table
        found = (
            route_table.services_by_name.get(service)
            if route_table is not None
            else None
        )
        return None if found is None else found.cold_rate

    def _status_path(self, server_id: str) -> str:
        route_table = self.fleet.route_table
        server = self.directory.by_id.get(server_id)
        if route_table is None or server is None:
            return ""
        found = route_table.services_by_name.get(server.service)
        return "" if found is None else found.status_path

    def _server_address(self, server_id: str) -> str | None:
        server = self.directory.by_id.get(server_id)
        return None if server is None else server.address

    def _is_from_host(self, request: RelayedRequest) -> bool:
        return self.heartbeats.is_host_address(request.sender)

    def _refuses_forwarded(self) -> bool:
        grace_period = self.relay.requests.grace_period
        return grace_period.is_refusing(now=time.monotonic())

    def _on_path_lost(self, server_id: str) -> None:
        self.relay.requests.path_lost(server_id, now=time.monotonic())

    def _own_stalled_heads(self, *, now: float) -> tuple[str, ...]:
        """Return the heads that answer this host and whose groups it sees stalled."""
        return tuple(
            head
            for head in self.relay.stall_watch.still(now=now)
            if not self.paths.explains_stall(head, now=now)
        )

    def _on_reload(self) -> None:
        settings = self._reload()
        if settings is not None:
            self.crashes.release_parts(settings.released_parts, now=time.monotonic())

    def _is_evacuated(self, zone: str) -> bool:
        return zone in self.evacuations.zones

    def _connection_limits(self) -> ConnectionLimits:
        route_table = self.fleet.route_table
        return route_table.limits if route_table is not None else ConnectionLimits()

    def _peer_limits(self) -> ConnectionLimits:
        """Return the limits of callers' requests with the headers that hosts add."""
        limits = self._connection_limits()
        # Each field of a head is written with a space, which a caller may leave out.
        return replace(limits, max_head=2 * limits.max_head + MAX_ADDED_HEAD)

    def _plans_for(self, zone: str, planning: bool) -> bool:
        return not self.shutdown.stopping and self.heartbeats.plans_for(
            zone,
            planning=planning,
            reads_store=self._reads_store(),
            now=time.monotonic(),
            resumed_at=self.planning.resumed_at,
        )

    def _stalled_heads(self) -> set[str]:
        now = time.monotonic()
        stall_watch = self.relay.stall_watch
        still = self.heartbeats.still(now=now).union(self._own_stalled_heads(now=now))
        # A host that can't reach a head sees its group stalled although the group
        # serves all other hosts.
        moving = self.heartbeats.moving(now=now)
        return {
            head
            for head in still - moving
            if not stall_watch.has_progressed(head, now=now)
        }

    def _progressing_heads(self, *, now: float) -> tuple[str, ...]:
        """Return the heads that other hosts see stalled but that progress here."""
        reported_stalled = self.heartbeats.still(now=now)
        return tuple(
            head
            for head in reported_stalled
            if self.relay.stall_watch.has_progressed(head, now=now)
        )

    def _reads_store(self) -> bool:
        return (
            self.fleet.servers.is_current
            and self.store.is_reachable
            and not self.fleet.may_be_outdated(now=time.monotonic())
        )

    def _new_planner(self, zone: str) -> ZonePlanner:
        return ZonePlanner(
            zone=zone,
            n_zones=len(self.settings.zones),
            is_local=zone == self.settings.availability_zone,
            directory=self.directory,
            route_table=self._route_table,
            demand=self._demand,
            waiting_work=self._waiting_work,
            urgent_demand=self._urgent_demand,
            contention=self.settings.contention,
            other_reshaped_zones=lambda: self._other_reshaped_zones(zone),
            list_is_stale=self.fleet.list_is_stale,
            is_evacuated=self._is_evacuated,
            observe=lambda phase, seconds: self.metrics.observe(
                "group_phase", seconds, phase=phase
            ),
            stall_time=self.settings.stall_time,
            since=time.monotonic(),
            log=log_event,
        )

    def _other_reshaped_zones(self, zone: str) -> set[str]:
        """Return the zones other than the given one in which groups are disbanded."""
        local = set(self.planning.reshaped_zones())
        return (local | self.heartbeats.reshaped_zones(now=time.monotonic())) - {zone}

    def _demand(self) -> dict[str, float]:
        now = time.monotonic()
        total = self.heartbeats.demand(now=now)
        total.update(self.relay.demand.by_model(now=now))
        return total

    def _urgent_demand(self) -> dict[str, float]:
        now = time.monotonic()
        total = self.heartbeats.urgent_demand(now=now)
        total.update(self.relay.demand.urgent_by_model(now=now))
        return total

    def _waiting_work(self) -> dict[str, float]:
        """Return the work of the requests that wait at all hosts, by model."""
        route_table = self.fleet.route_table
        if route_table is None:
            return {}
        rows = (
            *self.heartbeats.waiting(now=time.monotonic()),
            *self.relay.requests.waiting_rows(),
        )
        return self.relay.demand.waiting_work(rows, dict(route_table.engines()))

    def _describe_host(self) -> HostHeartbeat:
        now = time.monotonic()
        return HostHeartbeat(
            host=self.settings.host,
            availability_zone=self.settings.availability_zone,
            address=self.peers.address,
            reads_store=self._reads_store(),
            store_era=self.store.era,
            evacuated_zones=tuple(sorted(self.evacuations.zones)),
            operator_position=self.evacuations.as_of,
            stopping=self.shutdown.stopping,
            configuration_version=self.fleet.version,
            configuration_size=len(self.fleet.document()),
            knows_servers=self.fleet.servers.is_current,
            still=self._own_stalled_heads(now=now),
            moving=self._progressing_heads(now=now),
            suspicions=self.crashes.announced(now=now),
            plans=self.planning.announced_zones(),
            reshapes=self.planning.reshaped_zones(),
            demand_by_model=self.relay.demand.by_model(now=now),
            forwards=not self.shutdown.stopping and not self.paths.is_cut_off,
        )

    def _on_peer_heartbeat(self, heartbeat: HostHeartbeat) -> None:
        now = time.monotonic()
        self.store.record_era(heartbeat.store_era, peer=heartbeat.host, now=now)
        self.evacuations.record_peer_zones(
            heartbeat.evacuated_zones, as_of=heartbeat.operator_position
        )
        self.fleet.check_peer_version(heartbeat, now=now)

    # Readiness

    @property
    def ready(self) -> bool:
        """Return whether this host can serve requests and is not shutting down."""
        return (
            not self.shutdown.stopping
            and self.fleet.route_table is not None
            and self.fleet.servers.is_current
        )

    # The process

    def _serving_interval(self) -> float:
        requests = self.relay.requests
        # The interval is read before the tick that it follows.
        next_but_one = time.monotonic() + 2 * SERVING_INTERVAL
        is_urgent = requests.has_waiting or requests.times_out_before(next_but_one)
        return WAITING_INTERVAL if is_urgent else SERVING_INTERVAL

    @handler("sweep")
    def _on_sweep(self) -> None:
        self._log_writer.flush()

    def _register_components(self) -> None:
        Poller().register(self)
        for part in (
            self.timers,
            self.http_client,
            self.callers,
            self.probe_callers,
            *self._metrics_components(),
            self._probe_page("watch_page", self.probe_callers),
            self.store,
            self.fleet,
            self.relay,
            self.planning,
            self.peers,
            self.peer_callers,
            self.peer_requests,
            self.path_checks,
            self.forwarding,
            self.exchange,
            self.shutdown,
            FaultLog(metrics=self.metrics),
        ):
            part.register(self)

    def _probe_page(self, channel: str, callers: RelayCallers) -> ProbePage:
        return ProbePage(
            channel=channel,
            callers=callers,
            ready=lambda: self.ready,
            metrics=self.metrics,
        )

    def _metrics_components(self) -> list[BaseComponent]:
        """Return the components that serve metrics on a separate port, if any."""
        if not self.settings.metrics_port:
            return []
        callers = RelayCallers(
            bind=(self.settings.ip, self.settings.metrics_port),
            channel="metrics_watchers",
            reply_channel="metrics_page",
            limits=ConnectionLimits,
            resources=self.caller_resources,
        )
        return [callers, self._probe_page("metrics_page", callers)]

    @handler("started", channel="*")
    def _on_started(self, *args: object) -> None:
        timers = self.timers
        # Registered first, so that the other handlers of a round use the datagrams
        # that were received before the round.
        timers.every(PEERS_POLL_INTERVAL, peers_poll, "peers")
        timers.every(CONTROL_INTERVAL, control_tick, *CONTROL_CHANNELS)
        timers.every(self._serving_interval, serving_tick, "relay")
        timers.every(HEARTBEAT_INTERVAL, heartbeat_tick, "exchange")
        timers.every(SWEEP_INTERVAL, sweep, *SWEPT_CHANNELS, self.channel)
        log_event(
            "started",
            host=self.settings.host,
            zone=self.settings.availability_zone,
            callers_port=self.callers.port,
            ready_port=self.probe_callers.port,
            peers_address=self.peers.address,
        )
