"""Watch the hosts: the platform's list and each host's own report."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from circuits import handler

from .coordination.confirmation import FreshReport
from .coordination.polling import PollingShares, ReportFollowing
from .logs import log_warning
from .protocol.outside import HTTP_ENGINE, HTTP_HOSTS_LIST
from .request_sender import PendingRequest, RequestSender
from .state.fleet import HostReport
from .state.observations import ReportRow

if TYPE_CHECKING:
    from .coordination.confirmation import Confirmations
    from .events import HostReported, OutboundAnswer, OutboundFailure
    from .protocol.outside import EngineInterface, HostsListInterface
    from .settings import Settings
    from .state.fleet import ListedHost
    from .state.observations import Observation

__all__ = ["FleetWatch"]

#: Seconds between two looks at the platform's list.
LIST_INTERVAL = 1.0

#: Status of a list that is still the one whose tag was sent (RFC 9110, 15.4.5).
NOT_MODIFIED = 304

#: Engines of other zones up to which their reports are followed too.
MAX_FOREIGN = 100

#: Age in seconds up to which an own report is told to peers.
TOLD_AGE = 5.0

#: State in which peers are told of a host that refuses connections.
UNREACHABLE = "unreachable"


class FleetWatch(RequestSender):
    """Own what the hosts say, and since when.

    Attributes
    ----------
    hosts_by_name : dict of str to ListedHost
        What the platform's list names.  Changed in place: others read it.
    """

    channel = "fleet"

    def __init__(
        self,
        *,
        settings: Settings,
        confirmations: Confirmations,
        hosts_list: HostsListInterface = HTTP_HOSTS_LIST,
        engine: EngineInterface = HTTP_ENGINE,
    ) -> None:
        super().__init__()
        self._hosts_list = hosts_list
        self._engine = engine
        self._settings = settings
        self.confirmations = confirmations
        self.hosts_by_name: dict[str, ListedHost] = {}
        self._followed_by_name: dict[str, ListedHost] = {}
        self._list_due_at = 0.0
        self._list_tag = ""
        self.shares = PollingShares(host=settings.host)
        self._following = ReportFollowing(
            shares=self.shares,
            availability_zone=settings.availability_zone,
            interval=settings.report_interval,
            max_age=settings.report_max_age,
        )
        self._own_reports_by_host: dict[str, FreshReport] = {}
        self._unread: set[str] = set()
        self._heard: set[str] = set()

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        now = time.monotonic()
        self._ask_list(now=now)
        self._ask_reports(now=now)

    @handler("host_reported")
    def _on_host_reported(self, message: HostReported) -> None:
        self._take_own(message.report, asked_at=message.asked_at)

    def _ask_list(self, *, now: float) -> None:
        if now < self._list_due_at:
            return
        self._list_due_at = now + LIST_INTERVAL
        # The list of hundreds of hosts, read whole each second, would take many times
        # the bytes that control may, to say that nothing has changed.
        call = self._hosts_list.list(known_tag=self._list_tag)
        self.send_request(
            PendingRequest(kind="list"),
            address=self._settings.hosts_list_address,
            path=call.path,
            headers=call.headers,
            step="read_hosts_list",
            progress_timeout=self._settings.progress_timeout,
        )

    def _ask_reports(self, *, now: float) -> None:
        for name, listed in self._followed_by_name.items():
            known = self.confirmations.reports_by_host.get(name)
            reported_at = known.asked_at if known is not None else None
            zone = listed.availability_zone
            if self._following.is_due(
                name, zone=zone, reported_at=reported_at, now=now
            ):
                self._ask_report(name, listed)

    def n_unreported(self) -> int:
        """Count the zone's live engines of which nothing was heard yet.

        An engine that failed to answer counts as heard of: waiting for it longer
        would not tell more.
        """
        zone = self._settings.availability_zone
        return sum(
            listed.availability_zone == zone
            and listed.state == "live"
            and name not in self._heard
            and name not in self.confirmations.reports_by_host
            for name, listed in self._followed_by_name.items()
        )

    def _ask_report(self, name: str, listed: ListedHost) -> None:
        self.send_request(
            PendingRequest(kind="report", subject=name),
            address=listed.address,
            path=self._engine.report().path,
            step="read_report",
            progress_timeout=self._settings.progress_timeout,
        )

    def _take_list(self, answer: OutboundAnswer) -> None:
        if answer.status == NOT_MODIFIED and self._list_tag:
            return
        hosts = self._hosts_list.hosts(answer.body, peer=answer.address)
        if answer.status != 200 or hosts.is_error():
            log_warning("hosts_list_failed", status=answer.status)
            return
        self._list_tag = answer.headers.get("etag", "")
        self.hosts_by_name.clear()
        self.hosts_by_name.update((listed.host, listed) for listed in hosts.ok.hosts)
        self._followed_by_name = self._followed()
        self._following.forget(self.hosts_by_name)
        self._unread &= self.hosts_by_name.keys()
        self._heard &= self.hosts_by_name.keys()
        for host in self._own_reports_by_host.keys() - self.hosts_by_name.keys():
            del self._own_reports_by_host[host]

    def _followed(self) -> dict[str, ListedHost]:
        engines = {
            name: listed
            for name, listed in self.hosts_by_name.items()
            if listed.kind == "engine"
        }
        own = {
            name: listed
            for name, listed in engines.items()
            if listed.availability_zone == self._settings.availability_zone
        }
        # Beyond this size the other zones' reports would cost more than control may.
        return engines if len(engines) - len(own) <= MAX_FOREIGN else own

    def answered(self, pending: PendingRequest, answer: OutboundAnswer) -> None:
        """Take the list or a report."""
        if pending.kind == "list":
            self._take_list(answer)
            return
        self._heard.add(pending.subject)
        report = self._engine.host_report(
            answer.body, host=pending.subject, peer=answer.address
        )
        if answer.status != 200:
            return
        if report.is_ok():
            self._unread.discard(pending.subject)
            self._take_own(report.ok, asked_at=answer.sent_at)
        elif pending.subject not in self._unread:
            self._unread.add(pending.subject)
            log_warning(
                "report_not_counted",
                host=pending.subject,
                peer=answer.address,
                message=report.error.message,
            )

    def failed(self, pending: PendingRequest, failure: OutboundFailure) -> None:
        """Keep the last list; a host that refuses connections counts as gone."""
        if pending.kind == "list":
            log_warning("hosts_list_failed", message=failure.error.message)
            return
        self._heard.add(pending.subject)
        if not failure.bytes_sent:
            self.refused(pending.subject, at=time.monotonic())

    def refused(self, host: str, *, at: float) -> None:
        """Take note that a host refuses connections, and tell peers."""
        self.confirmations.unreachable(host)
        self._own_reports_by_host[host] = FreshReport(
            report=HostReport(host=host, boot="", state=UNREACHABLE), asked_at=at
        )

    def _take_own(self, report: HostReport, *, asked_at: float) -> None:
        self._take_unless_refused(report, asked_at=asked_at)
        known = self._own_reports_by_host.get(report.host)
        if known is None or known.asked_at < asked_at:
            self._own_reports_by_host[report.host] = FreshReport(
                report=report, asked_at=asked_at
            )

    # What entry hosts tell each other

    def aged_observations(self, *, now: float) -> list[tuple[Observation, float]]:
        """Return the reports that this entry host asked for itself."""
        return [
            (ReportRow(report=fresh.report), fresh.asked_at)
            for fresh in self._own_reports_by_host.values()
            if now - fresh.asked_at <= TOLD_AGE
        ]

    def observed(
        self, observation: Observation, *, peer: str, observed_at: float, now: float
    ) -> None:
        """Take a report that a peer asked for."""
        if not isinstance(observation, ReportRow):
            return
        report = observation.report
        if report.state != UNREACHABLE:
            self._take_unless_refused(report, asked_at=observed_at)
            return
        # A peer that alone cannot reach a host must not make it vanish for all: a
        # report from about the same time speaks against it.
        known = self.confirmations.reports_by_host.get(report.host)
        if (
            known is None
            or known.asked_at < observed_at - self._settings.report_interval
        ):
            self.confirmations.unreachable(report.host)

    def _take_unless_refused(self, report: HostReport, *, asked_at: float) -> None:
        # The own question was refused after this report was asked for.
        own = self._own_reports_by_host.get(report.host)
        refused = own is not None and own.report.state == UNREACHABLE
        if refused and asked_at <= own.asked_at:
            return
        self.confirmations.reported(report, asked_at=asked_at)
