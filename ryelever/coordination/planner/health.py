"""Judge the members of a replica group: healthy, lost, paused or slow."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.placement import Group
    from .view import PlannerLimits, PlannerView

__all__ = ["Fault", "HostHealth", "MemberFault", "cause_of"]

#: Refused connections in a row that show a host's engine to be gone.  One alone may
#: be a full backlog.
N_REFUSED = 2

#: Part of the largest counting age at which a report is late.
LATE_PART = 0.6

#: Late spells within ``STRAGGLER_WINDOW`` seconds that make a straggler.
N_LATE_SPELLS = 3
STRAGGLER_WINDOW = 60.0

#: Seconds for which a straggler is chosen last.
STRAGGLER_REST = 300.0


class Fault(enum.Enum):
    """Say what is wrong with a member."""

    #: The engine says that another member is gone.
    BROKEN = "broken"
    #: The engine says that it is not in its group any more.
    LEFT = "left"
    #: Nothing answers where the host was.
    GONE = "gone"
    #: No report; the host may be paused, cut off or dead.
    SILENT = "silent"


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberFault:
    """Name a member's fault in words for the operator."""

    host: str
    fault: Fault
    reason: str


@dataclass(slots=True, kw_only=True)
class _Spells:
    """Remember when a host's reports began to be late."""

    late: bool = False
    began_at: deque[float] = field(default_factory=lambda: deque(maxlen=N_LATE_SPELLS))
    rests_until: float = float("-inf")


class HostHealth:
    """Remember what one look at the reports cannot show.

    A member that restarts within the detection time is never missing; only its
    boot id tells.  A straggler is never lost; only repeated lateness tells.
    """

    def __init__(self, *, limits: PlannerLimits) -> None:
        self._limits = limits
        self._boot_by_member: dict[tuple[str, str], str] = {}
        self._silent_since_by_host: dict[str, float] = {}
        self._spells_by_host: dict[str, _Spells] = {}

    def observe(self, view: PlannerView, *, now: float) -> None:
        """Take in the newest reports."""
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
        """Return the faults of a group's members."""
        faults = [self._fault(host, group, view, now=now) for host in group.members]
        return [fault for fault in faults if fault is not None]

    def silent_for(self, host: str, *, now: float) -> float:
        """Return the seconds for which no report of a host has counted."""
        return now - self._silent_since_by_host.get(host, now)

    def is_straggler(self, host: str, *, now: float) -> bool:
        """Tell whether a host's reports have been late again and again."""
        spells = self._spells_by_host.get(host)
        return spells is not None and now < spells.rests_until

    def _observe_members(self, view: PlannerView, *, now: float) -> None:
        seen: dict[tuple[str, str], str] = {}
        for group in view.live_groups:
            for host in group.members:
                key = (group.name, host)
                if view.confirmations.confirms(host, group, now=now):
                    report = view.confirmations.fresh(host, now=now)
                    seen[key] = report.boot
                elif key in self._boot_by_member:
                    seen[key] = self._boot_by_member[key]
        self._boot_by_member = seen

    def _fault(
        self, host: str, group: Group, view: PlannerView, *, now: float
    ) -> MemberFault | None:
        report = view.confirmations.fresh(host, now=now)
        if report is None:
            return self._silence(host, view, now=now)
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
            return _left(host, f"{host} was restarted")
        return _left(host, f"{host} has left for {report.group or 'no group'}")

    def _silence(
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
        late_after = view.confirmations.max_age * LATE_PART
        late = {
            host
            for host in view.hosts_by_name
            if (known := view.confirmations.reports_by_host.get(host)) is not None
            and now - known.asked_at > late_after
        }
        # When most are late, it is this process that was paused or cut off.
        mostly_late = 2 * len(late) > len(view.hosts_by_name)
        for host in view.hosts_by_name:
            spells = self._spells_by_host.setdefault(host, _Spells())
            began = host in late and not spells.late
            spells.late = host in late
            if not began or mostly_late:
                continue
            spells.began_at.append(now)
            full = len(spells.began_at) == N_LATE_SPELLS
            if full and now - spells.began_at[0] <= STRAGGLER_WINDOW:
                spells.rests_until = now + STRAGGLER_REST


def _left(host: str, reason: str) -> MemberFault:
    return MemberFault(host=host, fault=Fault.LEFT, reason=reason)


def cause_of(faults: list[MemberFault]) -> str:
    """Return the faults in words, without those that only follow from others."""
    causes = [fault for fault in faults if fault.fault is not Fault.BROKEN]
    return "; ".join(fault.reason for fault in causes or faults)
