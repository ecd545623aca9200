"""Build the components of an entry host and connect them."""

from __future__ import annotations

import hmac
import time
import uuid
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .addresses import split_address
from .console.assembly import build_console
from .coordination.confirmation import Confirmations
from .coordination.host_heartbeats import ForwardingHosts, HostAddress
from .coordination.limits import AccountLimits
from .coordination.planner import Planner
from .coordination.readiness import Readiness, ReadinessInputs
from .coordination.relaying import Forwarders, ServerPaths
from .coordination.requests import RequestState
from .dump import Dump
from .events import control_tick, serving_tick, sweep
from .fault_log import FaultLog
from .fleet_history import UPDATE_INTERVAL, FleetHistory
from .fleet_watch import FleetWatch
from .gauges import register_gauges
from .logs import log_event
from .metrics import Metrics
from .path_checks import PathChecks
from .peering import Peering
from .planning import Planning, count_demand
from .protocol.external_systems import HTTP_ENGINE
from .protocol.forwarding import PROXY_AUTHORIZATION, forward_signature
from .protocol.log import CONFIGURATION_STREAM, claims_streams, placement_stream
from .request_forwarding import ForwardingEndpoint, RequestForwarding
from .request_path import RequestPath, build_claims
from .server_access import ServerAccess
from .serving import Serving
from .shutdown import InFlight, Shutdown
from .state.configuration_fold import NO_VERSION, ConfigurationFold
from .state.placement import PlacementFold
from .state.routes import ConnectionLimits
from .streams import Streams
from .timers import Timers
from .transport.caller_metrics import register_caller_gauges
from .transport.caller_server import CallerResources
from .transport.callers import Callers, Limits
from .transport.http_client import HttpClient
from .transport.peers import Peers
from .transport.poller import Poller
from .transport.relay_callers import RelayCallers

if TYPE_CHECKING:
    from .coordination.planner import ModelDemand
    from .events import RelayedRequest
    from .settings import Settings
    from .state.configuration import ClientAccount
    from .state.fold import BaseFold

__all__ = ["Application"]

#: Seconds between two checks of the control components' deadlines, the shortest of
#: which are 0.2 s.  Messages are processed as they arrive, without waiting for a tick.
CONTROL_INTERVAL = 0.1

#: Seconds between two checks of requests' deadlines, with and without requests in
#: flight.
SERVING_INTERVAL = 0.05
IDLE_SERVING_INTERVAL = 0.1

#: Channels of the components that check their deadlines on the same tick.
CONTROL_CHANNELS = ("streams", "fleet", "planning", "peering", "shutdown", "paths")

#: Seconds between two checks of the connections, and between two checks of the
#: console's publications that were not yet read back from the log.
SWEEP_INTERVAL = 0.25


class Application(BaseComponent):
    """Run the components of one entry host until it is shut down.

    Parameters
    ----------
    settings : Settings
        Settings whose values were checked.
    """

    channel = "application"

    def __init__(self, *, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.boot = uuid.uuid4().hex[:12]
        self.exit_code = 0
        self._readiness = Readiness()
        owner = f"{settings.host}/{self.boot}"
        self.metrics = Metrics()
        self.configuration = ConfigurationFold()
        self.placements_by_zone = {
            zone: PlacementFold() for zone in settings.availability_zones
        }
        claims = build_claims(settings=settings, owner=owner)
        self.streams = Streams(
            settings=settings, folds_by_stream=self._folds(), claims=claims
        )
        self.confirmations = Confirmations(max_age=settings.report_max_age)
        self.fleet = FleetWatch(settings=settings, confirmations=self.confirmations)
        self.planning = Planning(
            settings=settings,
            planner=self._new_planner(owner),
            configuration=self.configuration,
            placement=self.placements_by_zone[settings.availability_zone],
            hosts_by_name=self.fleet.hosts_by_name,
            confirmations=self.confirmations,
            placements_by_zone=self.placements_by_zone,
            demand=self._demand,
        )
        self.account_limits = AccountLimits(n_hosts=self._n_entry_hosts)
        self.request_path = RequestPath(
            settings=settings,
            claims=claims,
            placements_by_zone=self.placements_by_zone,
            hosts_by_name=self.fleet.hosts_by_name,
            confirmations=self.confirmations,
            limits=self.account_limits,
            account=self._client_account,
            n_hosts=self._n_entry_hosts,
            place=self._index_among_entry_hosts,
            peers_reported_since=lambda moment: self.peering.zone_reported_since(
                moment
            ),
        )
        self.table = self.request_path.table
        self.http_client = HttpClient()
        self.caller_resources = CallerResources(
            memory=settings.callers_memory,
            max_connections=settings.callers_connections,
        )
        self.callers = Callers(
            bind=split_address(settings.callers_address),
            limits=Limits(
                max_body=settings.max_body,
                request_timeout=settings.callers_request_timeout,
                idle_timeout=settings.callers_idle_timeout,
                unread_timeout=settings.unread_timeout,
            ),
            resources=self.caller_resources,
        )
        self.paths = ServerPaths(servers_by_id=self.fleet.hosts_by_name, log=log_event)
        self.forwarders = Forwarders(hosts=self._forwarding_hosts)
        self.access = ServerAccess(
            paths=self.paths, forwarders=self.forwarders, key=settings.peer_key
        )
        self.fleet_history = FleetHistory(
            configuration=self.configuration,
            placements_by_zone=self.placements_by_zone,
            hosts_by_name=self.fleet.hosts_by_name,
            confirmations=self.confirmations,
        )
        self.console = build_console(self)
        self.dump = Dump(application=self)
        self.serving = Serving(
            settings=settings,
            table=self.table,
            configuration=self.configuration,
            metrics=self.metrics,
            pages=self.dump.pages() | self.console.pages(),
            log_time=claims.log_time,
            access=self.access,
        )
        self._wire_peers()
        self.fleet.access = self.planning.access = self.access
        self.timers = Timers()
        self.shutdown = Shutdown(
            settings=settings,
            serving=self.serving,
            in_flight=self._in_flight,
            stop=self._stop,
        )
        self._register_components()
        register_gauges(self)
        register_caller_gauges(
            self.metrics,
            resources=self.caller_resources,
            servers_by_name={"callers": self.callers},
        )

    def _wire_peers(self) -> None:
        observers = [self.account_limits, *self.request_path.observers]
        bind = split_address(self.settings.peers_address)
        self.forwarding_parts: list[BaseComponent] = []
        if self.settings.forward_requests:
            bind = self._wire_forwarding(bind)
        self.peers = Peers(bind=bind, reply_channel="peering")
        self.peering = Peering(
            settings=self.settings,
            address=self.peers.address,
            configuration=self.configuration,
            metrics=self.metrics,
            sources=observers,
            aged_sources=[self.fleet],
            sinks=[self.fleet, *observers],
            set_members=self.fleet.assignment.set_members,
            urgent=self.request_path.quarantine,
        )

    def _wire_forwarding(self, bind: tuple[str, int]) -> tuple[str, int]:
        """Build the components that forward requests, and return their address."""
        callers = RelayCallers(
            bind=bind,
            channel="peer_callers",
            reply_channel="offers",
            limits=lambda: ConnectionLimits(max_body=self.settings.max_body),
            resources=self.caller_resources,
        )
        self.forwarding = RequestForwarding(
            host=self.settings.host,
            callers=callers,
            address_of=self._server_address,
            paths=self.paths,
            is_authorized=self._is_signed,
            is_stopping=lambda: self.serving.closed,
        )
        checks = PathChecks(
            paths=self.paths,
            forwarders=self.forwarders,
            address_of=self._server_address,
            status_path=self._status_path,
            key=self.settings.peer_key,
        )
        endpoint = ForwardingEndpoint(callers=callers, forwarding=self.forwarding)
        self.forwarding_parts = [callers, self.forwarding, checks, endpoint]
        return bind[0], callers.port

    def _forwarding_hosts(self, *, now: float) -> ForwardingHosts:
        """Return the other hosts of this zone, if hosts forward requests."""
        if not self.settings.forward_requests:
            return ForwardingHosts(own_zone=(), other_zones=())
        zone = self.settings.availability_zone
        addresses = self.peering.exchange.live_addresses(now=now)
        own_zone = tuple(
            HostAddress(host=host, address=address, availability_zone=zone)
            for host, address in addresses.items()
        )
        return ForwardingHosts(own_zone=own_zone, other_zones=())

    def _server_address(self, server_id: str) -> str | None:
        listed = self.fleet.hosts_by_name.get(server_id)
        return None if listed is None else listed.address

    def _status_path(self, server_id: str) -> str:
        listed = self.fleet.hosts_by_name.get(server_id)
        is_engine = listed is not None and listed.kind == "engine"
        return HTTP_ENGINE.report().path if is_engine else ""

    def _is_signed(self, request: RelayedRequest) -> bool:
        """Return whether a request bears the signature of an entry host."""
        expected = forward_signature(
            self.settings.peer_key, request.target.decode("latin-1"), request.body
        )
        signature = dict(request.headers).get(PROXY_AUTHORIZATION, b"")
        return hmac.compare_digest(signature, expected.encode())

    def _folds(self) -> dict[str, BaseFold]:
        folds: dict[str, BaseFold] = {CONFIGURATION_STREAM: self.configuration}
        for zone, placement in self.placements_by_zone.items():
            folds[placement_stream(zone)] = placement
        return folds

    def _new_planner(self, owner: str) -> Planner:
        return Planner(
            holder=owner,
            stream=placement_stream(self.settings.availability_zone),
            new_id=_new_id,
            term=self.settings.lease_term,
        )

    def _demand(self) -> tuple[ModelDemand, ...]:
        return count_demand(
            request.arrival
            for request in self.table.requests_by_id.values()
            if request.state is RequestState.QUEUED
        )

    def _index_among_entry_hosts(self) -> tuple[int, int]:
        local_address = self.peers.address
        addresses = sorted({local_address, *self.settings.peers})
        return addresses.index(local_address), len(addresses)

    def _n_entry_hosts(self) -> int:
        return 1 + len(self.settings.peers)

    def _client_account(self, name: str) -> ClientAccount | None:
        return self.configuration.configuration.client_accounts.get(name)

    @property
    def ready(self) -> bool:
        """Return whether this host has enough information on the fleet to serve."""
        stream = placement_stream(self.settings.availability_zone)
        placement = self.streams.streams_by_name[stream]
        inputs = ReadinessInputs(
            has_configuration=self.configuration.version != NO_VERSION,
            has_hosts=bool(self.fleet.hosts_by_name),
            has_placement=placement.caught_up_at != float("-inf"),
            n_unreported=self.fleet.n_unreported(),
        )
        return self._readiness.update(inputs, now=time.monotonic())

    def _in_flight(self) -> InFlight:
        streams = self.streams.streams_by_name
        claims = [
            streams[name] for name in claims_streams(self.settings.claims_partitions)
        ]
        return InFlight(
            n_requests=(
                len(self.table.requests_by_id)
                + self.console.n_waiting
                + self._n_forwarded()
            ),
            n_appends=sum(len(stream.writer.pending_by_id) for stream in claims),
            n_unsent=self.callers.n_waiting_callers(),
        )

    def _n_forwarded(self) -> int:
        """Return the number of other hosts' requests that are being forwarded."""
        return self.forwarding.n_in_progress if self.forwarding_parts else 0

    def _stop(self, exit_code: int) -> None:
        self.exit_code = exit_code
        self.stop()

    def _register_components(self) -> None:
        Poller().register(self)
        for part in (
            self.timers,
            self.http_client,
            self.callers,
            self.streams,
            self.fleet,
            self.planning,
            self.fleet_history,
            self.console,
            self.serving,
            self.peers,
            self.peering,
            self.shutdown,
            self.dump,
            *self.forwarding_parts,
            FaultLog(metrics=self.metrics),
        ):
            part.register(self)

    def _serving_interval(self) -> float:
        return SERVING_INTERVAL if self.table.requests_by_id else IDLE_SERVING_INTERVAL

    @handler("started", channel="*")
    def _on_started(self, *args: object) -> None:
        timers = self.timers
        timers.every(CONTROL_INTERVAL, control_tick, *CONTROL_CHANNELS)
        timers.every(SWEEP_INTERVAL, control_tick, "console")
        timers.every(UPDATE_INTERVAL, control_tick, "fleet_history")
        timers.every(self._serving_interval, serving_tick, "serving")
        timers.every(SWEEP_INTERVAL, sweep, "http_client", "callers", "peer_callers")
        log_event(
            "started",
            host=self.settings.host,
            boot=self.boot,
            callers_port=self.callers.port,
        )


def _new_id() -> str:
    return uuid.uuid4().hex
