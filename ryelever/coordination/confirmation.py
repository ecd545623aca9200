"""Decide from the reports of hosts which groups are complete."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..state.fleet import HostReport
    from ..state.placement import Group

__all__ = ["Confirmations", "LatestReport"]


@dataclass(slots=True, kw_only=True, frozen=True)
class LatestReport:
    """A host's report and the time at which it was requested.

    Attributes
    ----------
    requested_at : float
        Monotonic time on this entry host's clock, taken before the request was sent.
        If age were counted from the answer, a report that a paused host composed
        long ago would count as fresh.
    """

    report: HostReport
    requested_at: float


class Confirmations:
    """Keep the newest report of each host and check groups against the reports.

    Parameters
    ----------
    max_age : float
        Seconds after its request during which a report is valid.
    """

    def __init__(self, *, max_age: float) -> None:
        self.max_age = max_age
        self.reports_by_host: dict[str, LatestReport] = {}
        self.n_refused_by_host: dict[str, int] = {}

    def reported(self, report: HostReport, *, requested_at: float) -> None:
        """Record a report unless a report that was requested later is known."""
        known = self.reports_by_host.get(report.host)
        if known is not None and known.requested_at > requested_at:
            return
        self.reports_by_host[report.host] = LatestReport(
            report=report, requested_at=requested_at
        )
        self.n_refused_by_host.pop(report.host, None)

    def record_unreachable(self, host: str) -> None:
        """Drop the report of a host that refused or broke a connection."""
        self.reports_by_host.pop(host, None)
        self.n_refused_by_host[host] = self.n_refused_by_host.get(host, 0) + 1

    def n_refused(self, host: str) -> int:
        """Return the number of consecutive connections that the host refused."""
        return self.n_refused_by_host.get(host, 0)

    def fresh(self, host: str, *, now: float) -> HostReport | None:
        """Return the host's report if the report is not older than ``max_age``."""
        known = self.reports_by_host.get(host)
        if known is None or now - known.requested_at > self.max_age:
            return None
        return known.report

    def confirms(self, host: str, group: Group, *, now: float) -> bool:
        """Return whether the host reports that it serves in this group.

        The report must bear the group's name and fencing token.
        """
        report = self.fresh(host, now=now)
        return (
            report is not None
            and report.state == "ready"
            and report.group == group.name
            and report.fencing == group.fencing
        )

    def is_complete(self, group: Group, *, now: float) -> bool:
        """Return whether the group may serve because every member confirms it."""
        return not group.dissolved and all(
            self.confirms(host, group, now=now) for host in group.members
        )
