"""Order hosts to join and to leave, and know until when an order may be obeyed.

An engine that ignores fencing numbers obeys an old order that arrives late.  Each
order therefore carries a deadline, a reading of the engine's own clock taken from
the report that the order is based on.  It was read before the order was sent, so
at ``order_window`` after the sending the deadline has passed on the engine's clock
as well, wherever the order lingered, also when the engine itself was paused.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions import Action, SendOrder

if TYPE_CHECKING:
    from ...state.fleet import HostReport
    from ...state.placement import Group
    from .view import PlannerLimits, PlannerView

__all__ = ["Orders"]

#: Clocks may differ in rate by this much.
CLOCK_RATE_MARGIN = 1.1

_NEVER = float("-inf")


class Orders:
    """Send each order no more often than needed, and bound how long it counts."""

    def __init__(self, *, limits: PlannerLimits) -> None:
        self._limits = limits
        self._ordered_at_by_host: dict[str, float] = {}
        self._join_sent_at_by_host: dict[str, float] = {}
        self._started_at_by_group: dict[str, float] = {}
        self._loading: tuple[float, int] = (_NEVER, 0)

    def expired(
        self, host: str, view: PlannerView, *, held_since: float, now: float
    ) -> bool:
        """Tell whether no earlier order to join can take effect at a host any more.

        A host that checks fencing numbers refuses it.  At any other host the own
        orders and those of earlier lease holders must have passed their deadline:
        otherwise it could leave its new group, unseen, for an old one.
        """
        if view.checks_fencing(host):
            return True
        newest = max(held_since, self._join_sent_at_by_host.get(host, _NEVER))
        return now > newest + self._limits.order_window * CLOCK_RATE_MARGIN

    def join(
        self, group: Group, view: PlannerView, *, now: float, again: bool = False
    ) -> list[Action]:
        """Order the members of a group that are not in it yet to join.

        Parameters
        ----------
        again : bool
            Also order members whose engine reports this group broken.
        """
        members = tuple(
            view.hosts_by_name[host].address
            for host in group.members
            if host in view.hosts_by_name
        )
        if len(members) != len(group.members) or not self._may_load(
            group, view, now=now
        ):
            return []
        actions: list[Action] = []
        for rank, host in enumerate(group.members):
            report = view.confirmations.fresh(host, now=now)
            broken = report is not None and report.state == "broken"
            rejoins = again and broken and report.fencing == group.fencing
            if report is None or not (rejoins or report.fencing < group.fencing):
                continue
            if not self._due(host, now=now):
                continue
            self._join_sent_at_by_host[host] = now
            actions.append(
                SendOrder(
                    host=host,
                    address=view.hosts_by_name[host].address,
                    kind="join",
                    group=group.name,
                    fencing=group.fencing,
                    rank=rank,
                    members=members,
                    model=group.model,
                    version=group.version,
                    adapters=group.adapters,
                    expires_ms=self._deadline(report),
                )
            )
        return actions

    def leave(
        self,
        report: HostReport,
        view: PlannerView,
        *,
        fencing: int,
        now: float,
    ) -> list[Action]:
        """Order a host to leave the group that it reports."""
        listed = view.hosts_by_name.get(report.host)
        if listed is None or not self._due(report.host, now=now):
            return []
        return [
            SendOrder(
                host=report.host,
                address=listed.address,
                kind="leave",
                group=report.group,
                fencing=max(fencing, report.fencing),
                expires_ms=self._deadline(report),
            )
        ]

    def forget_groups(self, names: set[str]) -> None:
        """Forget all groups but these."""
        for name in set(self._started_at_by_group) - names:
            del self._started_at_by_group[name]

    def _deadline(self, report: HostReport) -> int:
        if not report.clock_ms:
            return 0
        return report.clock_ms + int(self._limits.order_window * 1000)

    def _due(self, host: str, *, now: float) -> bool:
        ordered_at = self._ordered_at_by_host.get(host, _NEVER)
        if now - ordered_at < self._limits.order_interval:
            return False
        self._ordered_at_by_host[host] = now
        return True

    def _may_load(self, group: Group, view: PlannerView, *, now: float) -> bool:
        # The weight store has a rate.  Were all groups to load at once, as after a
        # fabric domain is back, each would be late; in turn, most are early.
        if group.name in self._started_at_by_group:
            return True
        n_loading = self._n_loading(view, now=now)
        if n_loading and n_loading + len(group.members) > self._limits.max_loading:
            return False
        self._started_at_by_group[group.name] = now
        self._loading = (now, n_loading + len(group.members))
        return True

    def _n_loading(self, view: PlannerView, *, now: float) -> int:
        # Counted once a look: groups that wait their turn ask one by one.
        if self._loading[0] != now:
            n_loading = sum(
                not view.confirmations.confirms(host, group, now=now)
                for group in view.live_groups
                if group.name in self._started_at_by_group
                for host in group.members
            )
            self._loading = (now, n_loading)
        return self._loading[1]
