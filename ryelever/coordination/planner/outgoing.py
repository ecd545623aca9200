"""Name the groups that are to end in good order, and tell when they are empty."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .capacity import n_allowed

if TYPE_CHECKING:
    from ...state.placement import Group
    from .health import HostHealth
    from .view import PlannerLimits, PlannerView

__all__ = ["Outgoing"]

#: Seconds in which every entry host that reads the log has read that a group
#: drains, and the engine's reported load has caught up.
SETTLE_TIME = 2.0

_NEVER = float("-inf")


class Outgoing:
    """Judge which groups no longer match what is declared, or should be replaced."""

    def __init__(self, *, limits: PlannerLimits, health: HostHealth) -> None:
        self._limits = limits
        self._health = health
        self._given_by_group: dict[str, str] = {}
        self._draining_since_by_group: dict[str, float] = {}
        self._surplus_since_by_model: dict[str, float] = {}

    def observe(self, view: PlannerView, *, now: float) -> None:
        """Remember since when groups drain and models have more than declared."""
        live = {group.name: group for group in view.live_groups}
        self._given_by_group = {
            name: reason
            for name, reason in self._given_by_group.items()
            if name in live
        }
        self._draining_since_by_group = {
            name: self._draining_since_by_group.get(name, now)
            for name, group in live.items()
            if group.draining
        }
        self._surplus_since_by_model = {
            name: self._surplus_since_by_model.get(name, now)
            for name, model in view.configuration.models.items()
            if len(self._matching(name, view, now=now)) > n_allowed(name, model, view)
        }

    def give(self, group: Group, reason: str) -> None:
        """End a group so that another model gets its hosts."""
        self._given_by_group[group.name] = reason

    def reason(self, group: Group, view: PlannerView, *, now: float) -> str:
        """Return why a group is to end, or nothing."""
        return (
            self._given_by_group.get(group.name, "")
            or _reason_undeclared(group, view)
            or self._reason_member(group, view, now=now)
            or self._reason_surplus(group, view, now=now)
        )

    def drained(self, group: Group, view: PlannerView, *, now: float) -> str:
        """Return how a draining group has ended, or nothing while it has not."""
        since = self._draining_since_by_group.get(group.name, now)
        if now - since >= self._limits.drain_timeout:
            return "its time to finish requests is over"
        reports = [
            view.confirmations.reports_by_host.get(host) for host in group.members
        ]
        empty = all(
            known is not None
            and known.asked_at >= since + SETTLE_TIME
            and not known.report.running
            and not known.report.waiting
            for known in reports
        )
        return "its requests have finished" if empty else ""

    def _reason_member(self, group: Group, view: PlannerView, *, now: float) -> str:
        for host in group.members:
            listed = view.hosts_by_name.get(host)
            report = view.confirmations.fresh(host, now=now)
            if listed is not None and listed.state == "leaving":
                return f"{host} is listed as leaving"
            if report is not None and report.state == "leaving":
                return f"{host} reports that it is leaving"
        for host in group.members:
            if self._health.is_straggler(host, now=now) and _has_spare(
                group, view, self._health, now=now
            ):
                return f"{host} is a straggler"
        return ""

    def _reason_surplus(self, group: Group, view: PlannerView, *, now: float) -> str:
        model = view.configuration.models[group.model]
        since = self._surplus_since_by_model.get(group.model)
        if since is None or now - since < self._limits.idle_hold:
            return ""
        older = self._matching(group.model, view, now=now)
        kept = older[: n_allowed(group.model, model, view)]
        return "" if group in kept else "more groups than declared"

    def _matching(self, model: str, view: PlannerView, *, now: float) -> list[Group]:
        """Return a model's groups that are to stay, were there not too many.

        A group that is about to end does not count: its successor would otherwise
        be taken for one too many.
        """
        return [
            group
            for group in view.groups_of(model)
            if not group.draining
            and group.name not in self._given_by_group
            and not _reason_undeclared(group, view)
            and not self._reason_member(group, view, now=now)
        ]


def _reason_undeclared(group: Group, view: PlannerView) -> str:
    model = view.configuration.models.get(group.model)
    if model is None:
        return "its model is no longer declared"
    if model.version != group.version:
        return f"version {model.version} is declared"
    if model.adapter_versions != group.adapters:
        return "other adapters are declared"
    if model.hosts_per_group != len(group.members):
        return f"{model.hosts_per_group} hosts a group are declared"
    return ""


def _has_spare(
    group: Group, view: PlannerView, health: HostHealth, *, now: float
) -> bool:
    """Tell whether a straggler's domain has a host to take its place.

    A slow group serves better than none.
    """
    domain = view.domain_of(group.members[0])
    return any(
        listed.fabric_domain == domain
        and listed.state == "live"
        and host not in view.placement.group_by_host
        and not health.is_straggler(host, now=now)
        and (report := view.confirmations.fresh(host, now=now)) is not None
        and report.state == "idle"
        for host, listed in view.hosts_by_name.items()
    )
