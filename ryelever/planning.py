"""Run the planner of the local availability zone and carry out its decisions."""

from __future__ import annotations

import time
import uuid
from collections import Counter
from typing import TYPE_CHECKING

from circuits import handler

from .clocks import boot_time
from .coordination.actions import ChatWork, SendOrder
from .coordination.pauses import SuspensionWatch
from .coordination.planner import ModelDemand, PlacementHistory, PlannerView
from .events import HostReported, append_record, host_reported
from .logs import log_event, log_warning
from .protocol.backend import Order
from .protocol.external_systems import HTTP_ENGINE
from .request_sender import PendingRequest, RequestSender

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .coordination.actions import Action, Arrival
    from .coordination.confirmation import Confirmations
    from .coordination.planner import Planner
    from .events import OutboundAnswer, OutboundFailure
    from .protocol.external_systems import EngineInterface
    from .server_access import ServerAccess
    from .settings import Settings
    from .state.configuration_fold import ConfigurationFold
    from .state.fleet import ListedHost
    from .state.placement import PlacementFold

__all__ = ["Planning", "count_demand"]

#: Seconds between two planning passes.  Reports arrive every 0.5 s, so more frequent
#: passes would find few changes; docs/PLANNING.md gives the cost of one pass.
PLAN_INTERVAL = 0.2


class Planning(RequestSender):
    """Run planning passes, append the planner's records and send its orders."""

    channel = "planning"

    def __init__(
        self,
        *,
        settings: Settings,
        planner: Planner,
        configuration: ConfigurationFold,
        placement: PlacementFold,
        hosts_by_name: dict[str, ListedHost],
        confirmations: Confirmations,
        placements_by_zone: dict[str, PlacementFold],
        demand: Callable[[], tuple[ModelDemand, ...]],
        engine: EngineInterface = HTTP_ENGINE,
    ) -> None:
        super().__init__()
        self._engine = engine
        self._settings = settings
        self._planner = planner
        self._configuration = configuration
        self._placement = placement
        self._hosts_by_name = hosts_by_name
        self._confirmations = confirmations
        self._demand = demand
        self._next_pass_at = 0.0
        self._suspensions = SuspensionWatch()
        self.access: ServerAccess | None = None
        self.repairs = PlacementHistory(
            placements_by_zone=placements_by_zone, confirmations=confirmations
        )

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        now = time.monotonic()
        suspended = self._suspensions.observe(now=now, boot_time=boot_time())
        self._planner.lease.record_suspension(suspended)
        if now < self._next_pass_at:
            return
        self._next_pass_at = now + PLAN_INTERVAL
        self.repairs.observe(now=now)
        self._execute(self._planner.tick(self._view(), now=now))

    @handler("drain")
    def _on_drain(self) -> None:
        # The append that returns the lease is sent, and usually read back, while the
        # balancer stops sending requests here.  If the append is lost, the lease
        # expires like that of a host that died.
        now = time.monotonic()
        actions = self._planner.release_lease(self._view(), now=now)
        if actions:
            log_event("lease_given_back")
        self._execute(actions)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendOrder):
                self._send_order(action)
            else:
                self.fire(append_record(action), "streams")

    def _view(self) -> PlannerView:
        zone = self._settings.availability_zone
        return PlannerView(
            configuration=self._configuration.configuration,
            configuration_version=self._configuration.version,
            placement=self._placement,
            hosts_by_name={
                name: listed
                for name, listed in self._hosts_by_name.items()
                if listed.kind == "engine" and listed.availability_zone == zone
            },
            confirmations=self._confirmations,
            demand=self._demand(),
        )

    def _send_order(self, action: SendOrder) -> None:
        order = Order(
            id=uuid.uuid4().hex,
            kind=action.kind,
            group=action.group,
            fencing=action.fencing,
            rank=action.rank,
            members=action.members,
            model=action.model,
            version=action.version,
            adapters=action.adapters,
            expires_ms=action.expires_ms,
        )
        log_event(
            "order_sent",
            host=action.host,
            peer=action.address,
            kind=action.kind,
            group=action.group,
            fencing=action.fencing,
        )
        call = self._engine.order(order)
        self.send_request(
            PendingRequest(kind="order", subject=action.host),
            method=call.method,
            address=action.address,
            path=call.path,
            body=call.body,
            step="order",
            progress_timeout=self._settings.progress_timeout,
            time_limit=2 * self._settings.progress_timeout,
            access=self.access,
        )

    def answered(self, pending: PendingRequest, answer: OutboundAnswer) -> None:
        """Announce the report with which a host answers an order."""
        report = self._engine.host_report(
            answer.body, host=pending.subject, peer=answer.address
        )
        if answer.status != 200 or report.is_error():
            log_warning("order_refused", host=pending.subject, status=answer.status)
            return
        message = HostReported(report=report.ok, requested_at=answer.sent_at)
        self.fire(host_reported(message), "fleet")

    def failed(self, pending: PendingRequest, failure: OutboundFailure) -> None:
        """Log that an order failed; the planner sends the order again."""
        log_warning("order_failed", host=pending.subject, message=failure.error.message)


def count_demand(arrivals: Iterable[Arrival]) -> tuple[ModelDemand, ...]:
    """Return the number of waiting requests of each model and client account."""
    counts = Counter(
        (arrival.work.model, arrival.client_account)
        for arrival in arrivals
        if isinstance(arrival.work, ChatWork)
    )
    return tuple(
        ModelDemand(model=model, client_account=account, n_waiting=n_waiting)
        for (model, account), n_waiting in sorted(counts.items())
    )
