"""Wire the parts of one process together."""

from __future__ import annotations

import signal
import time
import uuid
from typing import TYPE_CHECKING

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll

from .coordination.admission import ConcurrencyAdmission
from .coordination.claims import Claims
from .coordination.confirmation import Confirmations
from .coordination.planner import Planner
from .coordination.requests import RequestState, RequestTable
from .coordination.retry import RetryBudget
from .coordination.routing import LeastInFlightRouter
from .coordination.targets import Targets
from .dump import Dump
from .events import control_tick, drain, serving_tick, sweep
from .fleet_watch import FleetWatch
from .logs import log_event, log_warning
from .metrics import Metrics
from .planning import Planning, demand_of
from .protocol.log import CLAIMS_STREAM, CONFIGURATION_STREAM, placement_stream
from .serving import Serving
from .state.claims import ClaimsFold
from .state.configuration_fold import NO_VERSION, ConfigurationFold
from .state.placement import PlacementFold
from .streams import Streams
from .timers import Timers
from .transport.callers import Callers, Limits
from .transport.http_client import HttpClient

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
        self._signals_seen = 0
        self._drain_deadline = float("inf")
        owner = f"{settings.host}/{self.boot}"
        self.metrics = Metrics()
        self.configuration = ConfigurationFold()
        self.placements_by_zone = {
            zone: PlacementFold() for zone in settings.availability_zones
        }
        claims = Claims(
            owner=owner,
            stream=CLAIMS_STREAM,
            fold=ClaimsFold(),
            max_lag=2.0 + settings.progress_timeout,
        )
        self.streams = Streams(
            settings=settings, folds_by_stream=self._folds(claims.fold), claims=claims
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
        self.table = self._table(claims)
        self.http_client = HttpClient()
        host, _, port = settings.callers_address.rpartition(":")
        self.callers = Callers(
            bind=(host, int(port)), limits=Limits(max_body=settings.max_body)
        )
        self.serving = Serving(
            settings=settings,
            table=self.table,
            configuration=self.configuration,
            metrics=self.metrics,
            pages=Dump(application=self).pages(),
        )
        self.timers = Timers()
        self._register_parts()
        self._register_gauges()

    def _folds(self, claims: ClaimsFold) -> dict[str, BaseFold]:
        folds: dict[str, BaseFold] = {
            CONFIGURATION_STREAM: self.configuration,
            CLAIMS_STREAM: claims,
        }
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
        targets = Targets(
            availability_zone=self.settings.availability_zone,
            placements_by_zone=self.placements_by_zone,
            hosts_by_name=self.fleet.hosts_by_name,
            confirmations=self.confirmations,
        )
        return RequestTable(
            admission=ConcurrencyAdmission(),
            router=LeastInFlightRouter(targets=targets.for_arrival),
            retry_policy=RetryBudget(),
            claims=claims,
            account=self._client_account,
            new_id=_new_id,
            retry_after=lambda: RETRY_AFTER,
        )

    def _client_account(self, name: str) -> ClientAccount | None:
        return self.configuration.configuration.client_accounts.get(name)

    @property
    def ready(self) -> bool:
        """Tell whether a configuration is in force and the hosts are known."""
        return self.configuration.version != NO_VERSION and bool(
            self.fleet.hosts_by_name
        )

    def _register_parts(self) -> None:
        EPoll().register(self)
        for part in (
            self.timers,
            self.http_client,
            self.callers,
            self.streams,
            self.fleet,
            self.planning,
            self.serving,
        ):
            part.register(self)

    def _register_gauges(self) -> None:
        metrics = self.metrics
        metrics.gauge(
            "requests_in_flight", lambda: float(len(self.table.requests_by_id))
        )
        metrics.gauge(
            "configuration_version", lambda: float(self.configuration.version)
        )
        metrics.gauge("late_answers", lambda: float(self.table.n_late_answers))
        metrics.gauge("retries", lambda: float(self.table.n_retries))
        metrics.gauge("silent_connections", lambda: float(self.http_client.n_silent))

    @handler("started", channel="*")
    def _on_started(self, *args: object) -> None:
        for channel in ("streams", "fleet", "planning"):
            self.timers.every(TICK, control_tick, channel)
        self.timers.every(TICK, serving_tick, "serving")
        self.timers.every(SWEEP, sweep, "http_client")
        self.timers.every(SWEEP, sweep, "callers")
        self.timers.every(TICK, _check_drained, "application")
        log_event(
            "started",
            host=self.settings.host,
            boot=self.boot,
            callers_port=self.callers.port,
        )

    # Graceful shutdown

    @handler("signal", channel="*")
    def _on_signal(self, event: Event, signal_number: int, stack: object) -> None:
        if signal_number not in (signal.SIGINT, signal.SIGTERM):
            return
        event.stop()
        self._signals_seen += 1
        if self._signals_seen > 1:
            self._drain_deadline = time.monotonic()
            return
        self.fire(drain(), "application")

    @handler("drain")
    def _on_drain(self) -> None:
        log_event("drain_started", in_flight=len(self.table.requests_by_id))
        self.serving.draining = True
        self._drain_deadline = time.monotonic() + self.settings.drain_timeout

    @handler("_check_drained")
    def _on_check_drained(self) -> None:
        if not self.serving.draining:
            return
        n_in_flight = len(self.table.requests_by_id)
        if n_in_flight and time.monotonic() < self._drain_deadline:
            return
        if self._signals_seen < 2 and self.planning.gives_back_lease:
            return
        if n_in_flight:
            self.exit_code = 3
        log_event("stopped", in_flight=n_in_flight)
        self.stop()

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


class _check_drained(Event):
    """Look whether nothing is in flight any more."""
