"""Provide the simplest safe planner, as the baseline of ``day_of_faults``.

At each read of the log the baseline dissolves every group with a member that does not
report, releases the hosts of dissolved groups, and forms groups of any free hosts,
whatever their fabric domain.  The baseline does not drain groups, keep spare hosts or
use them, or release a dead host before the platform's list has removed the host.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ryelever.coordination.lease import PlannerLease
from ryelever.coordination.planner.decisions import Decisions
from ryelever.coordination.planner.orders import Orders
from ryelever.coordination.planner.view import PlannerLimits
from ryelever.state.records import GroupDissolved, GroupFormed, HostReleased

if TYPE_CHECKING:
    from collections.abc import Callable

    from ryelever.coordination.actions import Action
    from ryelever.coordination.planner.view import PlannerView
    from ryelever.state.placement import Group

__all__ = ["Baseline"]

#: Seconds that one long-polling read of the log takes.
READ_INTERVAL = 1.0


class Baseline:
    """Planner with the simplest decisions that are still safe."""

    def __init__(
        self, *, holder: str, stream: str, new_id: Callable[[], str], **_: object
    ) -> None:
        limits = PlannerLimits(max_loading=1000)
        self._new_id = new_id
        self.lease = PlannerLease(holder=holder, stream=stream, new_id=new_id, term=6.0)
        self._decisions = Decisions(stream=stream, new_id=new_id, timeout=3.0)
        self._orders = Orders(limits=limits)
        self._read_at = 0.0
        self._was_complete: set[str] = set()

    def tick(self, view: PlannerView, *, now: float) -> list[Action]:
        """Renew the lease, and decide whenever a read of the log has returned."""
        actions = self.lease.tick(view.placement, can_plan=True, now=now)
        for group in view.live_groups:
            if view.confirmations.is_complete(group, now=now):
                self._was_complete.add(group.name)
        if now < self._read_at + READ_INTERVAL:
            return actions
        self._read_at = now
        if not self.lease.holds(view.placement, now=now):
            return actions
        self._decisions.remove_confirmed(view.placement, now=now)
        for group in list(view.placement.groups_by_name.values()):
            if group.dissolved:
                actions += self._release(group, view, now=now)
            else:
                actions += self._check_group(group, view, now=now)
        return actions + self._form(view, now=now)

    def _check_group(
        self, group: Group, view: PlannerView, *, now: float
    ) -> list[Action]:
        silent = any(
            view.confirmations.fresh(host, now=now) is None for host in group.members
        )
        complete = view.confirmations.is_complete(group, now=now)
        if silent or (group.name in self._was_complete and not complete):
            record = GroupDissolved(
                group=group.name, lease=view.placement.lease.tenure, reason="lost"
            )
            return self._decisions.append_once(record, key=group.name, now=now)
        return self._orders.join(group, view, now=now)

    def _release(self, group: Group, view: PlannerView, *, now: float) -> list[Action]:
        actions: list[Action] = []
        for host in sorted(group.unreleased):
            report = view.confirmations.fresh(host, now=now)
            if report is not None and report.group == group.name:
                actions += self._orders.leave(
                    report, view, fencing=group.dissolved_at, now=now
                )
            elif report is not None or host not in view.hosts_by_name:
                record = HostReleased(
                    group=group.name,
                    host=host,
                    lease=view.placement.lease.tenure,
                    evidence="left",
                )
                actions += self._decisions.append_once(record, key=host, now=now)
        return actions

    def _form(self, view: PlannerView, *, now: float) -> list[Action]:
        actions: list[Action] = []
        taken = self._decisions.pending_hosts
        free = [
            host
            for host in sorted(view.hosts_by_name)
            if host not in view.placement.group_by_host
            and host not in taken
            and (report := view.confirmations.fresh(host, now=now)) is not None
            and report.state == "idle"
        ]
        for name, model in view.configuration.models.items():
            n_missing = model.n_groups - len(view.groups_of(name))
            for _ in range(n_missing - self._decisions.n_pending_groups(name)):
                members = tuple(free[: model.hosts_per_group])
                if len(members) < model.hosts_per_group:
                    break
                del free[: model.hosts_per_group]
                record = GroupFormed(
                    group=f"{name}-{self._new_id()}",
                    model=name,
                    version=model.version,
                    adapters=(),
                    members=members,
                    lease=view.placement.lease.tenure,
                    configuration_version=0,
                )
                actions += self._decisions.append_group(record, now=now)
        return actions
