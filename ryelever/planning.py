"""Carry out the plan of the own availability zone."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING

from circuits import handler

from .asking import Asker, Question
from .coordination.actions import SendOrder
from .coordination.planner import PlannerView
from .events import HostReported, append_record, host_reported
from .logs import log_event, log_warning
from .protocol.backend import Order
from .protocol.outside import HTTP_ENGINE

if TYPE_CHECKING:
    from .coordination.confirmation import Confirmations
    from .coordination.planner import Planner
    from .events import OutboundAnswer, OutboundFailure
    from .protocol.outside import EngineInterface
    from .settings import Settings
    from .state.configuration_fold import ConfigurationFold
    from .state.fleet import ListedHost
    from .state.placement import PlacementFold

__all__ = ["Planning"]


class Planning(Asker):
    """Let the planner look at the zone and do what it decides."""

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

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        now = time.monotonic()
        for action in self._planner.tick(self._view(), now=now):
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
        self.ask(
            Question(kind="order", subject=action.host),
            method=call.method,
            address=action.address,
            path=call.path,
            body=call.body,
            step="order",
            progress_timeout=self._settings.progress_timeout,
        )

    def answered(self, question: Question, answer: OutboundAnswer) -> None:
        """Take the host's report of how it obeyed."""
        report = self._engine.host_report(answer.body, peer=answer.address)
        if answer.status != 200 or report.is_error():
            log_warning("order_refused", host=question.subject, status=answer.status)
            return
        message = HostReported(report=report.ok, asked_at=answer.sent_at)
        self.fire(host_reported(message), "fleet")

    def failed(self, question: Question, failure: OutboundFailure) -> None:
        """Let the planner order again."""
        log_warning(
            "order_failed", host=question.subject, message=failure.error.message
        )
