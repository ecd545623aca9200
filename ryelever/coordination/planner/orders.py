"""Order hosts to join and leave groups, and track when these orders expire.

An engine that ignores fencing tokens executes an old order that arrives late.  Each
order therefore carries a deadline on the engine's own clock: the clock reading in the
report that the order is based on, plus ``order_window``.  This clock was read before
the order was sent.  The deadline has therefore passed on the engine's clock at
``order_window`` after sending, wherever the order was delayed, and also if the engine
itself was paused.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions import Action, SendOrder

if TYPE_CHECKING:
    from ...state.fleet import HostReport
    from ...state.placement import Group
    from .view import PlannerLimits, PlannerView

__all__ = ["Orders"]

#: Maximum ratio between the rates of two clocks.
CLOCK_RATE_MARGIN = 1.1

_NEVER = float("-inf")


class Orders:
    """Create orders to hosts, with a minimum interval and a deadline."""

    def __init__(self, *, limits: PlannerLimits) -> None:
        self._limits = limits
        self._ordered_at_by_host: dict[str, float] = {}
        self._join_sent_at_by_host: dict[str, float] = {}
        self._started_at_by_group: dict[str, float] = {}
        self._n_hosts_loading_at: tuple[float, int] = (_NEVER, 0)

    def joins_expired(
        self, host: str, view: PlannerView, *, held_since: float, now: float
    ) -> bool:
        """Return whether no earlier order to join can still take effect at a host.

        A host that checks fencing tokens refuses earlier orders.  For any other
        host, the deadlines of this planner's orders and of those by earlier lease
        holders must have passed.  Otherwise the host could leave its new group for
        an old one, undetected.
        """
        if view.checks_fencing(host):
            return True
        last_sent_at = max(held_since, self._join_sent_at_by_host.get(host, _NEVER))
        return now > last_sent_at + self._limits.order_window * CLOCK_RATE_MARGIN

    def join(
        self,
        group: Group,
        view: PlannerView,
        *,
        now: float,
        include_broken: bool = False,
    ) -> list[Action]:
        """Return orders to join for the members that are not in their group yet.

        Parameters
        ----------
        include_broken : bool
            Also order members whose engine reports this group broken.
        """
        members = tuple(
            view.hosts_by_name[host].address
            for host in group.members
            if host in view.hosts_by_name
        )
        if len(members) != len(group.members) or not self._may_start_loading(
            group, view, now=now
        ):
            return []
        actions: list[Action] = []
        for rank, host in enumerate(group.members):
            report = view.confirmations.fresh(host, now=now)
            is_broken = report is not None and report.state == "broken"
            is_rejoin = include_broken and is_broken and report.fencing == group.fencing
            if report is None or not (is_rejoin or report.fencing < group.fencing):
                continue
            if not self._is_due(host, now=now):
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
        """Return the order to leave the group that a host reports, if it is due."""
        listed = view.hosts_by_name.get(report.host)
        if listed is None or not self._is_due(report.host, now=now):
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
        """Remove the state of all groups other than the named ones."""
        for name in set(self._started_at_by_group) - names:
            del self._started_at_by_group[name]

    def _deadline(self, report: HostReport) -> int:
        if not report.clock_ms:
            return 0
        return report.clock_ms + int(self._limits.order_window * 1000)

    def _is_due(self, host: str, *, now: float) -> bool:
        ordered_at = self._ordered_at_by_host.get(host, _NEVER)
        if now - ordered_at < self._limits.order_interval:
            return False
        self._ordered_at_by_host[host] = now
        return True

    def _may_start_loading(
        self, group: Group, view: PlannerView, *, now: float
    ) -> bool:
        # The weight store serves weights at a limited rate.  If all groups loaded at
        # once, for example after a fabric domain returns, every group would be late.
        # If they load in sequence, most groups are ready early.
        if group.name in self._started_at_by_group:
            return True
        n_hosts_loading = self._count_loading_hosts(view, now=now)
        if (
            n_hosts_loading
            and n_hosts_loading + len(group.members) > self._limits.max_loading
        ):
            return False
        self._started_at_by_group[group.name] = now
        self._n_hosts_loading_at = (now, n_hosts_loading + len(group.members))
        return True

    def _count_loading_hosts(self, view: PlannerView, *, now: float) -> int:
        # The hosts are counted once per planning pass, because this method is called
        # for each group that waits to load.
        if self._n_hosts_loading_at[0] != now:
            n_hosts_loading = sum(
                not view.confirmations.confirms(host, group, now=now)
                for group in view.live_groups
                if group.name in self._started_at_by_group
                for host in group.members
            )
            self._n_hosts_loading_at = (now, n_hosts_loading)
        return self._n_hosts_loading_at[1]
