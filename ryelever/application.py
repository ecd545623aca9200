"""Wire the parts of one process together."""

from __future__ import annotations

import uuid
from functools import partial
from typing import TYPE_CHECKING

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll

from .console.assembly import console_of
from .coordination.admission_capacity import GroupCapacity
from .coordination.admission_fair import FairAdmission
from .coordination.claims import Claims
from .coordination.confirmation import Confirmations
from .coordination.departures import Departures
from .coordination.limits import AccountLimits
from .coordination.planner import Planner
from .coordination.quarantine import Quarantine
from .coordination.requests import RequestTable, Timeouts
from .coordination.requests_state import RequestState
from .coordination.retry import RetryBudget
from .coordination.routing import AffinityRouter
from .coordination.routing_feedback import RoutingFeedback
from .coordination.routing_load import LoadView
from .coordination.stragglers import Stragglers
from .coordination.targets import Targets
from .dump import Dump
from .events import control_tick, serving_tick, sweep
from .fleet_history import LOOK_INTERVAL, FleetHistory
from .fleet_watch import FleetWatch
from .logs import log_event, log_warning
from .metrics import Metrics
from .peering import Peering
from .planning import Planning, demand_of
from .protocol.log import (
    CLAIMS_STREAM,
    CONFIGURATION_STREAM,
    claims_stream,
    claims_streams,
    placement_stream,
)
from .serving import Serving
from .shutdown import InFlight, Shutdown
from .state.claims import ClaimsFold
from .state.configuration_fold import NO_VERSION, ConfigurationFold
from .state.placement import PlacementFold
from .streams import Streams
from .timers import Timers
from .transport.callers import Callers, Limits
from .transport.http_client import HttpClient
from .transport.peers import Peers

if TYPE_CHECKING:
    from .coordination.planner_view import ModelDemand
    from .settings import Settings
    from .state.configuration import ClientAccount
    from .state.fold import BaseFold

__all__ = ["Application"]

#: Seconds between two looks at deadlines.
TICK = 0.05

#: Seconds between two looks at connections.
SWEEP = 0.25

#: Seconds after which a caller should come back when nothing serves its request.
RETRY_AFTER = 2.0

#: Seconds for which the verdict on a crashing request waits: longer than suspicion
#: takes to reach the other entry hosts of the zone.
SUSPICION_SETTLE = 1.0


class Application(BaseComponent):
    """Own the parts of one entry host and its graceful shutdown.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    channel = "application"

    def __init__(self, *, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.boot = uuid.uuid4().hex[:12]
        self.exit_code = 0
        owner = f"{settings.host}/{self.boot}"
        self.metrics = Metrics()
        self.configuration = ConfigurationFold()
        self.placements_by_zone = {
            zone: PlacementFold() for zone in settings.availability_zones
        }
        claims = Claims(
            owner=owner,
            stream=CLAIMS_STREAM,
            folds_by_stream={
                name: ClaimsFold()
                for name in claims_streams(settings.claims_partitions)
            },
            stream_of=partial(claims_stream, n_partitions=settings.claims_partitions),
            max_lag=2.0 + settings.progress_timeout,
        )
        self.streams = Streams(
            settings=settings, folds_by_stream=self._folds(), claims=claims
        )
        self.confirmations = Confirmations(max_age=settings.report_max_age)
        self.fleet = FleetWatch(settings=settings, confirmations=self.confirmations)
        self.planning = Planning(
            settings=settings,
            planner=self._planner(owner),
            configuration=self.configuration,
            placement=self.placements_by_zone[settings.availability_zone],
            hosts_by_name=self.fleet.hosts_by_name,
            confirmations=self.confirmations,
            placements_by_zone=self.placements_by_zone,
            demand=self._demand,
        )
        self.account_limits = AccountLimits(n_hosts=self._n_entry_hosts)
        self.table = self._table(claims)
        self.http_client = HttpClient()
        host, _, port = settings.callers_address.rpartition(":")
        self.callers = Callers(
            bind=(host, int(port)),
            limits=Limits(
                max_body=settings.max_body,
                request_timeout=settings.callers_request_timeout,
                idle_timeout=settings.callers_idle_timeout,
                unread_timeout=settings.unread_timeout,
            ),
        )
        self.fleet_history = FleetHistory(
            configuration=self.configuration,
            placements_by_zone=self.placements_by_zone,
            hosts_by_name=self.fleet.hosts_by_name,
            confirmations=self.confirmations,
        )
        self.console = console_of(self)
        self.dump = Dump(application=self)
        self.serving = Serving(
            settings=settings,
            table=self.table,
            configuration=self.configuration,
            metrics=self.metrics,
            pages=self.dump.pages() | self.console.pages(),
        )
        self._wire_peers()
        self.timers = Timers()
        self.shutdown = Shutdown(
            settings=settings,
            serving=self.serving,
            in_flight=self._in_flight,
            stop=self._stop,
        )
        self._register_parts()
        self._register_gauges()

    def _wire_peers(self) -> None:
        host, _, port = self.settings.peers_address.rpartition(":")
        self.peers = Peers(bind=(host, int(port)), reply_channel="peering")
        self.peering = Peering(
            settings=self.settings,
            address=self.peers.address,
            configuration=self.configuration,
            metrics=self.metrics,
            sources=[
                self.account_limits,
                self.departures,
                self.quarantine,
                self.loads,
            ],
            aged_sources=[self.fleet],
            sinks=[
                self.fleet,
                self.account_limits,
                self.departures,
                self.quarantine,
                self.loads,
            ],
            set_members=self.fleet.shares.set_members,
        )

    def _folds(self) -> dict[str, BaseFold]:
        folds: dict[str, BaseFold] = {CONFIGURATION_STREAM: self.configuration}
        for zone, placement in self.placements_by_zone.items():
            folds[placement_stream(zone)] = placement
        return folds

    def _planner(self, owner: str) -> Planner:
        return Planner(
            holder=owner,
            stream=placement_stream(self.settings.availability_zone),
            new_id=_new_id,
            term=self.settings.lease_term,
        )

    def _demand(self) -> tuple[ModelDemand, ...]:
        return demand_of(
            request.arrival
            for request in self.table.requests_by_id.values()
            if request.state is RequestState.QUEUED
        )

    def _table(self, claims: Claims) -> RequestTable:
        self.departures = Departures(
            confirmations=self.confirmations, hosts_by_name=self.fleet.hosts_by_name
        )
        settle = SUSPICION_SETTLE if self.settings.peers else 0.0
        self.quarantine = Quarantine(settle=settle)
        targets = Targets(
            availability_zone=self.settings.availability_zone,
            placements_by_zone=self.placements_by_zone,
            hosts_by_name=self.fleet.hosts_by_name,
            confirmations=self.confirmations,
            departures=self.departures,
        )
        self.loads = LoadView(targets=targets)
        stragglers = Stragglers()
        retry_budget = RetryBudget()
        return RequestTable(
            admission=self._admission(targets),
            router=AffinityRouter(
                targets=targets,
                loads=self.loads,
                stragglers=stragglers,
                quarantine=self.quarantine,
                part=self._place_among_entry_hosts,
            ),
            feedback=RoutingFeedback(
                quarantine=self.quarantine,
                departures=self.departures,
                stragglers=stragglers,
                retry_budget=retry_budget,
            ),
            retry_policy=retry_budget,
            claims=claims,
            account=self._client_account,
            new_id=_new_id,
            retry_after=lambda: RETRY_AFTER,
            timeouts=Timeouts(
                claim=self.settings.claim_timeout,
                recovery=self.settings.recovery_timeout,
                same_target=self.settings.report_max_age + 0.5,
            ),
        )

    def _admission(self, targets: Targets) -> FairAdmission:
        limits = self.account_limits
        return FairAdmission(
            capacity=GroupCapacity(
                targets=targets,
                confirmations=self.confirmations,
                batch=lambda: self.settings.group_batch,
                n_hosts=self._n_entry_hosts,
                n_hosts_waiting=lambda now: limits.n_hosts_waiting(now=now),
            ),
            account=self._client_account,
            limits=limits,
        )

    def _place_among_entry_hosts(self) -> tuple[int, int]:
        own = self.peers.address
        addresses = sorted({own, *self.settings.peers})
        return addresses.index(own), len(addresses)

    def _n_entry_hosts(self) -> int:
        return 1 + len(self.settings.peers)

    def _client_account(self, name: str) -> ClientAccount | None:
        return self.configuration.configuration.client_accounts.get(name)

    @property
    def ready(self) -> bool:
        """Tell whether a configuration is in force and the hosts are known."""
        return self.configuration.version != NO_VERSION and bool(
            self.fleet.hosts_by_name
        )

    def _in_flight(self) -> InFlight:
        streams = self.streams.streams_by_name
        claims = [
            streams[name] for name in claims_streams(self.settings.claims_partitions)
        ]
        return InFlight(
            n_requests=len(self.table.requests_by_id) + self.console.n_waiting,
            n_appends=sum(len(stream.writer.pending_by_id) for stream in claims),
            n_unsent=self.callers.n_unsent(),
        )

    def _stop(self, exit_code: int) -> None:
        self.exit_code = exit_code
        self.stop()

    def _register_parts(self) -> None:
        EPoll().register(self)
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
        ):
            part.register(self)

    def _register_gauges(self) -> None:
        metrics = self.metrics
        metrics.counter(
            "refused_requests", lambda: dict(self.callers.n_refused_by_code)
        )
        metrics.counter("unread_answers", lambda: {"": self.callers.n_unread})
        metrics.gauge(
            "requests_in_flight", lambda: float(len(self.table.requests_by_id))
        )
        metrics.gauge(
            "configuration_version", lambda: float(self.configuration.version)
        )
        metrics.gauge("late_answers", lambda: float(self.table.n_late_answers))
        metrics.gauge("retries", lambda: float(self.table.n_retries))
        self.fleet_history.register_gauges(metrics)
        for name in ("received", "sent", "bytes_received", "bytes_sent"):
            metrics.gauge(
                f"peer_datagrams_{name}",
                lambda name=name: float(getattr(self.peers, f"n_{name}")),
            )
        metrics.gauge("silent_connections", lambda: float(self.http_client.n_silent))

    @handler("started", channel="*")
    def _on_started(self, *args: object) -> None:
        for channel in ("streams", "fleet", "planning", "peering"):
            self.timers.every(TICK, control_tick, channel)
        self.timers.every(SWEEP, control_tick, "console")
        self.timers.every(LOOK_INTERVAL, control_tick, "fleet_history")
        self.timers.every(TICK, serving_tick, "serving")
        self.timers.every(SWEEP, sweep, "http_client")
        self.timers.every(SWEEP, sweep, "callers")
        self.timers.every(TICK, control_tick, "shutdown")
        log_event(
            "started",
            host=self.settings.host,
            boot=self.boot,
            callers_port=self.callers.port,
        )

    @handler("exception", channel="*")
    def _on_exception(
        self,
        error_type: type[Exception],
        error: Exception,
        traceback: list[str],
        handler: object = None,  # noqa: A002
        fevent: Event | None = None,
    ) -> None:
        self.metrics.count("faults", error_type.__name__)
        log_warning(
            "fault",
            error=error_type.__name__,
            message=str(error),
            fired=fevent.name if fevent is not None else "",
            traceback="".join(traceback)[-2000:],
        )


def _new_id() -> str:
    return uuid.uuid4().hex
