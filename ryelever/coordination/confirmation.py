"""Judge which groups are whole, from what their hosts report themselves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..state.fleet import HostReport
    from ..state.placement import Group

__all__ = ["Confirmations", "FreshReport"]


@dataclass(slots=True, kw_only=True, frozen=True)
class FreshReport:
    """Hold a host's report and when it was asked for.

    Attributes
    ----------
    asked_at : float
        Monotonic time, on the judge's clock, from before the question was sent.
        Counting from the answer would call a report fresh that a paused host
        composed long ago.
    """

    report: HostReport
    asked_at: float


class Confirmations:
    """Keep the newest report of each host and judge groups by them.

    Parameters
    ----------
    max_age : float
        Seconds after the question for which a report counts.
    """

    def __init__(self, *, max_age: float) -> None:
        self.max_age = max_age
        self.reports_by_host: dict[str, FreshReport] = {}
        self.n_refused_by_host: dict[str, int] = {}

    def reported(self, report: HostReport, *, asked_at: float) -> None:
        """Take a report, unless one that was asked for later is known."""
        known = self.reports_by_host.get(report.host)
        if known is not None and known.asked_at > asked_at:
            return
        self.reports_by_host[report.host] = FreshReport(
            report=report, asked_at=asked_at
        )
        self.n_refused_by_host.pop(report.host, None)

    def unreachable(self, host: str) -> None:
        """Forget the report of a host that refused or broke a connection."""
        self.reports_by_host.pop(host, None)
        self.n_refused_by_host[host] = self.n_refused_by_host.get(host, 0) + 1

    def n_refused(self, host: str) -> int:
        """Return how often in a row the host refused a connection."""
        return self.n_refused_by_host.get(host, 0)

    def fresh(self, host: str, *, now: float) -> HostReport | None:
        """Return the host's report if it still counts."""
        known = self.reports_by_host.get(host)
        if known is None or now - known.asked_at > self.max_age:
            return None
        return known.report

    def confirms(self, host: str, group: Group, *, now: float) -> bool:
        """Tell whether the host itself says it serves in this very group."""
        report = self.fresh(host, now=now)
        return (
            report is not None
            and report.state == "ready"
            and report.group == group.name
            and report.fencing == group.fencing
        )

    def is_complete(self, group: Group, *, now: float) -> bool:
        """Tell whether the group may serve: every member confirms it."""
        return not group.dissolved and all(
            self.confirms(host, group, now=now) for host in group.members
        )
