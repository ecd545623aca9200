"""Decide which groups are to be drained and ended, and when draining has finished."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .capacity import n_allowed

if TYPE_CHECKING:
    from ...state.placement import Group
    from .health import HostHealth
    from .view import PlannerLimits, PlannerView

__all__ = ["GroupRetirement"]

#: Seconds within which every entry host that reads the log has read that a group is
#: draining, and the load reported by the group's engine reflects this.
SETTLE_TIME = 2.0

_NEVER = float("-inf")


class GroupRetirement:
    """Select groups that no longer match the declaration or should be replaced."""

    def __init__(self, *, limits: PlannerLimits, health: HostHealth) -> None:
        self._limits = limits
        self._health = health
        self._reason_by_donor: dict[str, str] = {}
        self._draining_since_by_group: dict[str, float] = {}
        self._surplus_since_by_model: dict[str, float] = {}

    def observe(self, view: PlannerView, *, now: float) -> None:
        """Record since when groups have been draining and models have had a surplus."""
        live = {group.name: group for group in view.live_groups}
        self._reason_by_donor = {
            name: reason
            for name, reason in self._reason_by_donor.items()
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

    def retire(self, group: Group, reason: str) -> None:
        """Mark a group to be ended, so that another model gets its hosts."""
        self._reason_by_donor[group.name] = reason

    def reason(self, group: Group, view: PlannerView, *, now: float) -> str:
        """Return the reason for ending a group, or an empty string to keep it."""
        return (
            self._reason_by_donor.get(group.name, "")
            or _reason_undeclared(group, view)
            or self._reason_member(group, view, now=now)
            or self._reason_surplus(group, view, now=now)
        )

    def drain_outcome(self, group: Group, view: PlannerView, *, now: float) -> str:
        """Return why draining has finished, or an empty string while it has not."""
        since = self._draining_since_by_group.get(group.name, now)
        if now - since >= self._limits.drain_timeout:
            return "its time to finish requests is over"
        reports = [
            view.confirmations.reports_by_host.get(host) for host in group.members
        ]
        is_empty = all(
            known is not None
            and known.requested_at >= since + SETTLE_TIME
            and not known.report.running
            and not known.report.waiting
            for known in reports
        )
        return "its requests have finished" if is_empty else ""

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
        matching = self._matching(group.model, view, now=now)
        groups_to_keep = matching[: n_allowed(group.model, model, view)]
        return "" if group in groups_to_keep else "more groups than declared"

    def _matching(self, model: str, view: PlannerView, *, now: float) -> list[Group]:
        """Return a model's groups that have no reason to end other than a surplus.

        A group that is about to end for another reason does not count.  Otherwise
        its successor would count as a surplus group.
        """
        return [
            group
            for group in view.groups_of(model)
            if not group.draining
            and group.name not in self._reason_by_donor
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
    """Return whether the group's fabric domain has an idle host to replace a straggler.

    Without such a host the straggler stays, since a slow group is better than none.
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
