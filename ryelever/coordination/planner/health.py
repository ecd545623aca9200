"""Detect lost, paused and slow members of replica groups."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.placement import Group
    from .view import PlannerLimits, PlannerView

__all__ = ["Fault", "HostHealth", "MemberFault", "describe_causes"]

#: Consecutive refused connections after which a host's engine counts as gone.  A
#: single refusal may come from a full backlog.
N_REFUSED = 2

#: Fraction of the maximum report age above which a report is late.
LATE_FRACTION = 0.6

#: A host whose reports have become late this many times within ``STRAGGLER_WINDOW``
#: seconds is a straggler.
N_LATE_PERIODS = 3
STRAGGLER_WINDOW = 60.0

#: Seconds for which a straggler is allocated last.
STRAGGLER_AVOIDANCE = 300.0


class Fault(enum.Enum):
    """Kind of fault of a group member."""

    #: The engine reports that another member is gone.
    BROKEN = "broken"
    #: The engine reports that it is no longer in its group.
    LEFT = "left"
    #: The host refuses connections or is no longer in the hosts list.
    GONE = "gone"
    #: No fresh report; the host may be paused, cut off or dead.
    SILENT = "silent"


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberFault:
    """Fault of a member, with a description for the operator."""

    host: str
    fault: Fault
    reason: str


@dataclass(slots=True, kw_only=True)
class _LatePeriods:
    """Start times of the latest periods in which a host's reports were late.

    Attributes
    ----------
    late : bool
        Whether the host's latest report is late.
    avoided_until : float
        Monotonic time until which the host counts as a straggler.
    """

    late: bool = False
    began_at: deque[float] = field(default_factory=lambda: deque(maxlen=N_LATE_PERIODS))
    avoided_until: float = float("-inf")


class HostHealth:
    """Track the health of hosts over several planning passes.

    A single set of reports does not show every fault.  A member that restarts within
    the detection time is never missing and is recognized only by its new boot id.  A
    straggler is never lost and is recognized only by repeatedly late reports.
    """

    def __init__(self, *, limits: PlannerLimits) -> None:
        self._limits = limits
        self._boot_by_member: dict[tuple[str, str], str] = {}
        self._silent_since_by_host: dict[str, float] = {}
        self._late_periods_by_host: dict[str, _LatePeriods] = {}

    def observe(self, view: PlannerView, *, now: float) -> None:
        """Record the newest reports."""
        known = set(view.hosts_by_name) | set(view.placement.group_by_host)
        self._silent_since_by_host = {
            host: self._silent_since_by_host.get(host, now)
            for host in known
            if view.confirmations.fresh(host, now=now) is None
        }
        self._observe_members(view, now=now)
        self._observe_lateness(view, now=now)

    def faults(
        self, group: Group, view: PlannerView, *, now: float
    ) -> list[MemberFault]:
        """Return the faults of a group's members, at most one per member."""
        faults = [self._fault(host, group, view, now=now) for host in group.members]
        return [fault for fault in faults if fault is not None]

    def silent_for(self, host: str, *, now: float) -> float:
        """Return the seconds for which a host has had no fresh report."""
        return now - self._silent_since_by_host.get(host, now)

    def is_straggler(self, host: str, *, now: float) -> bool:
        """Return whether a host's reports have repeatedly been late."""
        periods = self._late_periods_by_host.get(host)
        return periods is not None and now < periods.avoided_until

    def _observe_members(self, view: PlannerView, *, now: float) -> None:
        boots: dict[tuple[str, str], str] = {}
        for group in view.live_groups:
            for host in group.members:
                key = (group.name, host)
                if view.confirmations.confirms(host, group, now=now):
                    report = view.confirmations.fresh(host, now=now)
                    boots[key] = report.boot
                elif key in self._boot_by_member:
                    boots[key] = self._boot_by_member[key]
        self._boot_by_member = boots

    def _fault(
        self, host: str, group: Group, view: PlannerView, *, now: float
    ) -> MemberFault | None:
        report = view.confirmations.fresh(host, now=now)
        if report is None:
            return self._fault_of_silent_host(host, view, now=now)
        if report.group == group.name and report.state == "broken":
            return MemberFault(
                host=host,
                fault=Fault.BROKEN,
                reason=f"{host} reports that the group is broken",
            )
        boot = self._boot_by_member.get((group.name, host))
        if boot is None or report.group == group.name and report.boot == boot:
            return None
        if report.boot != boot:
            return _left_fault(host, f"{host} was restarted")
        return _left_fault(host, f"{host} has left for {report.group or 'no group'}")

    def _fault_of_silent_host(
        self, host: str, view: PlannerView, *, now: float
    ) -> MemberFault | None:
        if host not in view.hosts_by_name:
            return MemberFault(
                host=host, fault=Fault.GONE, reason=f"{host} is no longer listed"
            )
        n_refused = view.confirmations.n_refused(host)
        return MemberFault(
            host=host,
            fault=Fault.GONE if n_refused >= N_REFUSED else Fault.SILENT,
            reason=f"{host} {'refuses connections' if n_refused else 'is silent'}",
        )

    def _observe_lateness(self, view: PlannerView, *, now: float) -> None:
        late_after = view.confirmations.max_age * LATE_FRACTION
        late = {
            host
            for host in view.hosts_by_name
            if (known := view.confirmations.reports_by_host.get(host)) is not None
            and now - known.requested_at > late_after
        }
        # If the reports of most hosts are late, this process was paused or cut off,
        # and the lateness is not counted against the hosts.
        most_are_late = 2 * len(late) > len(view.hosts_by_name)
        for host in view.hosts_by_name:
            periods = self._late_periods_by_host.setdefault(host, _LatePeriods())
            became_late = host in late and not periods.late
            periods.late = host in late
            if not became_late or most_are_late:
                continue
            periods.began_at.append(now)
            has_max_periods = len(periods.began_at) == N_LATE_PERIODS
            if has_max_periods and now - periods.began_at[0] <= STRAGGLER_WINDOW:
                periods.avoided_until = now + STRAGGLER_AVOIDANCE


def _left_fault(host: str, reason: str) -> MemberFault:
    return MemberFault(host=host, fault=Fault.LEFT, reason=reason)


def describe_causes(faults: list[MemberFault]) -> str:
    """Describe the faults, leaving out those that only follow from other faults.

    A broken group follows from the loss of a member, so BROKEN faults are described
    only when there are no others.
    """
    causes = [fault for fault in faults if fault.fault is not Fault.BROKEN]
    return "; ".join(fault.reason for fault in causes or faults)
