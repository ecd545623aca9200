"""Poll the platform's list of hosts and the report of each host."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from circuits import handler

from .coordination.confirmation import LatestReport
from .coordination.polling import PollingAssignment, ReportPolling
from .logs import log_warning
from .protocol.external_systems import HTTP_ENGINE, HTTP_HOSTS_LIST
from .request_sender import PendingRequest, RequestSender
from .state.fleet import HostReport
from .state.observations import ReportRow

if TYPE_CHECKING:
    from .coordination.confirmation import Confirmations
    from .events import HostReported, OutboundAnswer, OutboundFailure
    from .protocol.external_systems import EngineInterface, HostsListInterface
    from .server_access import ServerAccess
    from .settings import Settings
    from .state.fleet import ListedHost
    from .state.observations import Observation

__all__ = ["FleetWatch"]

#: Seconds between two requests for the platform's list.
LIST_INTERVAL = 1.0

#: Status of a list that has not changed since the ETag sent (RFC 9110, 15.4.5).
NOT_MODIFIED = 304

#: Maximum number of engines in other zones whose reports are polled too.
MAX_REMOTE_ENGINES = 100

#: Maximum age, in seconds, of a report polled by this host that is sent to peers.
MAX_ANNOUNCED_AGE = 5.0

#: State reported to peers for a host to which this host cannot connect.
UNREACHABLE = "unreachable"


class FleetWatch(RequestSender):
    """Keep the list of hosts and their latest reports up to date.

    Attributes
    ----------
    hosts_by_name : dict of str to ListedHost
        Hosts in the platform's list.  The dict is changed in place because other
        components hold a reference to it.
    access : ServerAccess or None
        Decides which requests go by way of another entry host; None to send all of
        them directly.
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
        self.access: ServerAccess | None = None
        self._hosts_list = hosts_list
        self._engine = engine
        self._settings = settings
        self.confirmations = confirmations
        self.hosts_by_name: dict[str, ListedHost] = {}
        self._polled_by_name: dict[str, ListedHost] = {}
        self._list_due_at = 0.0
        self._list_tag = ""
        self.assignment = PollingAssignment(host=settings.host)
        self._report_polling = ReportPolling(
            assignment=self.assignment,
            availability_zone=settings.availability_zone,
            interval=settings.report_interval,
            max_age=settings.report_max_age,
        )
        self._local_reports_by_host: dict[str, LatestReport] = {}
        self._unreadable: set[str] = set()
        self._checked: set[str] = set()
        self._contacted: set[str] = set()

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        now = time.monotonic()
        self._request_list(now=now)
        self._request_reports(now=now)

    @handler("host_reported")
    def _on_host_reported(self, message: HostReported) -> None:
        self._record_local(message.report, requested_at=message.requested_at)

    def _request_list(self, *, now: float) -> None:
        if now < self._list_due_at:
            return
        self._list_due_at = now + LIST_INTERVAL
        # The ETag avoids transferring an unchanged list.  The complete list of
        # hundreds of hosts, read each second, would exceed the traffic limit of
        # control many times over.
        call = self._hosts_list.list(known_tag=self._list_tag)
        self.send_request(
            PendingRequest(kind="list"),
            address=self._settings.hosts_list_address,
            path=call.path,
            headers=call.headers,
            step="read_hosts_list",
            progress_timeout=self._settings.progress_timeout,
        )

    def _request_reports(self, *, now: float) -> None:
        for name, listed in self._polled_by_name.items():
            known = self.confirmations.reports_by_host.get(name)
            reported_at = known.requested_at if known is not None else None
            zone = listed.availability_zone
            if self._report_polling.is_due(
                name, zone=zone, reported_at=reported_at, now=now
            ):
                self._request_report(name, listed)

    def n_unreported(self) -> int:
        """Return the number of the zone's live engines whose state is still unknown.

        An engine that failed to answer does not count: waiting longer for its answer
        would bring no information.
        """
        zone = self._settings.availability_zone
        return sum(
            listed.availability_zone == zone
            and listed.state == "live"
            and name not in self._contacted
            and name not in self.confirmations.reports_by_host
            for name, listed in self._polled_by_name.items()
        )

    def _request_report(self, name: str, listed: ListedHost) -> None:
        self.send_request(
            PendingRequest(kind="report", subject=name),
            address=listed.address,
            path=self._engine.report().path,
            step="read_report",
            progress_timeout=self._settings.progress_timeout,
            access=self.access,
        )

    def _apply_list(self, answer: OutboundAnswer) -> None:
        if answer.status == NOT_MODIFIED and self._list_tag:
            return
        hosts = self._hosts_list.hosts(answer.body, peer=answer.address)
        if answer.status != 200 or hosts.is_error():
            log_warning("hosts_list_failed", status=answer.status)
            return
        self._list_tag = answer.headers.get("etag", "")
        self.hosts_by_name.clear()
        self.hosts_by_name.update((listed.host, listed) for listed in hosts.ok.hosts)
        self._polled_by_name = self._hosts_to_poll()
        self._report_polling.retain(self.hosts_by_name)
        self._unreadable &= self.hosts_by_name.keys()
        self._contacted &= self.hosts_by_name.keys()
        for host in self._local_reports_by_host.keys() - self.hosts_by_name.keys():
            del self._local_reports_by_host[host]

    def _hosts_to_poll(self) -> dict[str, ListedHost]:
        engines = {
            name: listed
            for name, listed in self.hosts_by_name.items()
            if listed.kind == "engine"
        }
        local = {
            name: listed
            for name, listed in engines.items()
            if listed.availability_zone == self._settings.availability_zone
        }
        # Beyond this number of engines, polling the other zones' reports would exceed
        # the traffic limit of control.
        return engines if len(engines) - len(local) <= MAX_REMOTE_ENGINES else local

    def answered(self, pending: PendingRequest, answer: OutboundAnswer) -> None:
        """Process the list or a report."""
        if pending.kind == "list":
            self._apply_list(answer)
            return
        self._contacted.add(pending.subject)
        self._checked.discard(pending.subject)
        if self.access is not None:
            self.access.paths.heard(pending.subject, now=time.monotonic())
        report = self._engine.host_report(
            answer.body, host=pending.subject, peer=answer.address
        )
        if answer.status != 200:
            return
        if report.is_ok():
            self._unreadable.discard(pending.subject)
            self._record_local(report.ok, requested_at=answer.sent_at)
        elif pending.subject not in self._unreadable:
            self._unreadable.add(pending.subject)
            log_warning(
                "report_not_counted",
                host=pending.subject,
                peer=answer.address,
                message=report.error.message,
            )

    def failed(self, pending: PendingRequest, failure: OutboundFailure) -> None:
        """Keep the last list, or record that a host cannot be connected to."""
        if pending.kind == "list":
            log_warning("hosts_list_failed", message=failure.error.message)
            return
        self._contacted.add(pending.subject)
        if not failure.bytes_sent and not self._is_explained(pending):
            self.refused(pending.subject, at=time.monotonic())

    def _is_explained(self, pending: PendingRequest) -> bool:
        """Return whether a host may be out of reach of this entry host only.

        After the first failure other entry hosts are asked; the host counts as
        unreachable after the next one, unless one of them reaches it.
        """
        host = pending.subject
        if self.access is None:
            return False
        paths = self.access.paths
        if pending.forwarder or paths.is_out_of_reach(host):
            return True
        if host in self._checked:
            return False
        paths.unreached(host, now=time.monotonic())
        if paths.is_checking(host):
            self._checked.add(host)
            return True
        return False

    def refused(self, host: str, *, at: float) -> None:
        """Record and report to peers that this entry host cannot connect to a host."""
        self.confirmations.record_unreachable(host)
        self._local_reports_by_host[host] = LatestReport(
            report=HostReport(host=host, boot="", state=UNREACHABLE), requested_at=at
        )

    def _record_local(self, report: HostReport, *, requested_at: float) -> None:
        self._confirm_unless_refused(report, requested_at=requested_at)
        known = self._local_reports_by_host.get(report.host)
        if known is None or known.requested_at < requested_at:
            self._local_reports_by_host[report.host] = LatestReport(
                report=report, requested_at=requested_at
            )

    # Exchange with the other entry hosts

    def aged_observations(self, *, now: float) -> list[tuple[Observation, float]]:
        """Return the recent reports that this entry host has polled itself."""
        return [
            (ReportRow(report=latest.report), latest.requested_at)
            for latest in self._local_reports_by_host.values()
            if now - latest.requested_at <= MAX_ANNOUNCED_AGE
        ]

    def observed(
        self, observation: Observation, *, peer: str, observed_at: float, now: float
    ) -> None:
        """Apply a report that a peer has polled."""
        if not isinstance(observation, ReportRow):
            return
        report = observation.report
        if report.state != UNREACHABLE:
            self._confirm_unless_refused(report, requested_at=observed_at)
            return
        # If only this one peer cannot reach a host, the host must stay available to
        # the other entry hosts.  A report from about the same time shows that the
        # host can be reached.
        known = self.confirmations.reports_by_host.get(report.host)
        if (
            known is None
            or known.requested_at < observed_at - self._settings.report_interval
        ):
            self.confirmations.record_unreachable(report.host)

    def _confirm_unless_refused(
        self, report: HostReport, *, requested_at: float
    ) -> None:
        # Ignore a report that was requested before the host refused a connection
        # from this entry host.
        local = self._local_reports_by_host.get(report.host)
        refused = local is not None and local.report.state == UNREACHABLE
        if refused and requested_at <= local.requested_at:
            return
        self.confirmations.reported(report, requested_at=requested_at)
