"""Plan one availability zone: form replica groups, order hosts, repair."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..state.records import GroupDissolved, GroupFormed, HostReleased, LeaseTaken
from .actions import Action, AppendRecord, SendOrder

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.configuration import Configuration, Model
    from ..state.fleet import HostReport, ListedHost
    from ..state.placement import Group, PlacementFold
    from .confirmation import Confirmations

__all__ = ["Planner", "PlannerView"]


@dataclass(slots=True, kw_only=True)
class PlannerView:
    """Hold everything that a planner looks at.

    Attributes
    ----------
    hosts_by_name : dict of str to ListedHost
        The engines of the zone that the platform's list names.
    """

    configuration: Configuration
    configuration_version: int
    placement: PlacementFold
    hosts_by_name: dict[str, ListedHost]
    confirmations: Confirmations


class Planner:
    """Decide what one zone's hosts do, under a lease kept in the log.

    Parameters
    ----------
    holder : str
        Name of this entry host together with its boot id.
    term : float
        Seconds of one lease.
    stream : str
        The zone's placement stream.
    member_timeout : float
        Seconds without a fresh confirmation after which a group is dissolved.
    """

    def __init__(
        self,
        *,
        holder: str,
        stream: str,
        new_id: Callable[[], str],
        term: float = 6.0,
        member_timeout: float = 2.0,
        order_interval: float = 0.5,
        decision_timeout: float = 3.0,
    ) -> None:
        self._holder = holder
        self._stream = stream
        self._new_id = new_id
        self._term = term
        self._member_timeout = member_timeout
        self._order_interval = order_interval
        self._decision_timeout = decision_timeout
        self._lease_seen: tuple[int, float] = (-1, float("-inf"))
        self._asked_at = float("-inf")
        self._renewal: tuple[str, float] | None = None
        self._valid_until = float("-inf")
        self._whole_at_by_group: dict[str, float] = {}
        self._ordered_at_by_host: dict[str, float] = {}
        self._decided_at_by_key: dict[str, float] = {}
        self._forming_by_id: dict[str, _Forming] = {}

    # The lease

    def holds_lease(self, view: PlannerView, *, now: float) -> bool:
        """Tell whether decisions made now are under a valid own lease."""
        lease = view.placement.lease
        return (
            lease is not None
            and lease.holder == self._holder
            and now < self._valid_until
        )

    def _lease_actions(self, view: PlannerView, *, now: float) -> list[Action]:
        lease = view.placement.lease
        offset = lease.offset if lease is not None else -1
        if offset != self._lease_seen[0]:
            self._lease_seen = (offset, now)
            self._settle_renewal(view)
        wait = self._wait_before_taking(view)
        if now < self._lease_seen[1] + wait or now < self._asked_at + self._term / 3:
            return []
        self._asked_at = now
        record_id = self._new_id()
        self._renewal = (record_id, now)
        record = LeaseTaken(holder=self._holder, term=self._term, previous=offset)
        return [AppendRecord(stream=self._stream, record=record, record_id=record_id)]

    def _wait_before_taking(self, view: PlannerView) -> float:
        lease = view.placement.lease
        if lease is None:
            return 0.0
        if lease.holder == self._holder:
            return self._term / 3
        return lease.term * 1.25

    def _settle_renewal(self, view: PlannerView) -> None:
        # The holder counts its term from before it asked, every other host from
        # when it read the record: the holder always stops first.
        lease = view.placement.lease
        if lease is None or lease.holder != self._holder or self._renewal is None:
            return
        record_id, asked_at = self._renewal
        if view.placement.offset_of(record_id) == lease.offset:
            self._valid_until = asked_at + lease.term

    # Decisions

    def tick(self, view: PlannerView, *, now: float) -> list[Action]:
        """Return what is to be done now; nothing but lease work without a lease."""
        actions = self._lease_actions(view, now=now)
        if not self.holds_lease(view, now=now):
            return actions
        for group in list(view.placement.groups_by_name.values()):
            if group.dissolved:
                actions += self._release(group, view, now=now)
            else:
                actions += self._keep(group, view, now=now)
        actions += self._form(view, now=now)
        return actions

    def _keep(self, group: Group, view: PlannerView, *, now: float) -> list[Action]:
        if view.confirmations.is_whole(group, now=now):
            self._whole_at_by_group[group.name] = now
            return []
        since = self._whole_at_by_group.setdefault(group.name, now)
        lost = [
            host
            for host in group.members
            if _is_lost(view.confirmations.fresh(host, now=now), group)
        ]
        model = view.configuration.models.get(group.model)
        if model is None or model.version != group.version:
            return self._dissolve(group, view, "no longer declared", now=now)
        if lost and now - since > self._member_timeout:
            return self._dissolve(group, view, f"lost {', '.join(lost)}", now=now)
        return self._order_joins(group, view, now=now)

    def _dissolve(
        self, group: Group, view: PlannerView, reason: str, *, now: float
    ) -> list[Action]:
        return self._decide(
            GroupDissolved(group=group.name, lease=self._lease(view), reason=reason),
            key=f"dissolve {group.name}",
            now=now,
        )

    def _order_joins(
        self, group: Group, view: PlannerView, *, now: float
    ) -> list[Action]:
        members = tuple(
            view.hosts_by_name[host].address
            for host in group.members
            if host in view.hosts_by_name
        )
        if len(members) != len(group.members):
            return []
        return [
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
            )
            for rank, host in enumerate(group.members)
            if self._needs_join(host, group, view, now=now)
        ]

    def _needs_join(
        self, host: str, group: Group, view: PlannerView, *, now: float
    ) -> bool:
        report = view.confirmations.fresh(host, now=now)
        if report is None or report.fencing >= group.fencing:
            return False
        return self._order_due(host, now=now)

    def _order_due(self, host: str, *, now: float) -> bool:
        if (
            now - self._ordered_at_by_host.get(host, float("-inf"))
            < self._order_interval
        ):
            return False
        self._ordered_at_by_host[host] = now
        return True

    def _release(self, group: Group, view: PlannerView, *, now: float) -> list[Action]:
        actions: list[Action] = []
        for host in sorted(group.unreleased):
            listed = view.hosts_by_name.get(host)
            report = view.confirmations.fresh(host, now=now)
            if listed is None and report is None:
                actions += self._free(group, host, view, evidence="gone", now=now)
            elif report is not None and report.group != group.name:
                actions += self._free(group, host, view, evidence="left", now=now)
            elif listed is not None and report is not None:
                actions += self._order_leave(group, listed, now=now)
        return actions

    def _free(
        self, group: Group, host: str, view: PlannerView, *, evidence: str, now: float
    ) -> list[Action]:
        record = HostReleased(
            group=group.name, host=host, lease=self._lease(view), evidence=evidence
        )
        return self._decide(record, key=f"release {group.name} {host}", now=now)

    def _order_leave(
        self, group: Group, listed: ListedHost, *, now: float
    ) -> list[Action]:
        if not self._order_due(listed.host, now=now):
            return []
        return [
            SendOrder(
                host=listed.host,
                address=listed.address,
                kind="leave",
                group=group.name,
                fencing=group.fencing,
            )
        ]

    def _form(self, view: PlannerView, *, now: float) -> list[Action]:
        self._settle_forming(view, now=now)
        models = sorted(
            view.configuration.models.items(),
            key=lambda item: (-item[1].priority, item[0]),
        )
        taken = {
            host for forming in self._forming_by_id.values() for host in forming.members
        }
        actions: list[Action] = []
        for name, model in models:
            n_missing = model.n_groups - _n_groups(view, name, model)
            n_missing -= sum(
                forming.model == name for forming in self._forming_by_id.values()
            )
            for _ in range(n_missing):
                members = _free_hosts(view, model.hosts_per_group, taken, now=now)
                if members is None:
                    break
                taken.update(members)
                actions.append(self._form_one(name, model, members, view, now=now))
        return actions

    def _settle_forming(self, view: PlannerView, *, now: float) -> None:
        # A group that was appended but not read back yet counts as formed, or the
        # next tick would form a second one in its place.
        for record_id, forming in list(self._forming_by_id.items()):
            settled = view.placement.offset_of(record_id) is not None
            if settled or now - forming.since > self._decision_timeout:
                del self._forming_by_id[record_id]

    def _form_one(
        self,
        name: str,
        model: Model,
        members: tuple[str, ...],
        view: PlannerView,
        *,
        now: float,
    ) -> Action:
        record = GroupFormed(
            group=f"{name}-{self._new_id()}",
            model=name,
            version=model.version,
            adapters=tuple(sorted(model.adapters)),
            members=members,
            lease=self._lease(view),
            configuration_version=view.configuration_version,
            reason="declared",
        )
        record_id = self._new_id()
        self._forming_by_id[record_id] = _Forming(
            model=name, members=members, since=now
        )
        return AppendRecord(stream=self._stream, record=record, record_id=record_id)

    def _lease(self, view: PlannerView) -> int:
        return view.placement.lease.tenure if view.placement.lease is not None else -1

    def _decide(
        self, record: GroupDissolved | HostReleased, *, key: str, now: float
    ) -> list[Action]:
        """Append a decision once, and again only if it has not taken effect."""
        decided_at = self._decided_at_by_key.get(key, float("-inf"))
        if now - decided_at < self._decision_timeout:
            return []
        self._decided_at_by_key = {
            known: at
            for known, at in self._decided_at_by_key.items()
            if now - at < self._decision_timeout
        }
        self._decided_at_by_key[key] = now
        return [
            AppendRecord(stream=self._stream, record=record, record_id=self._new_id())
        ]


@dataclass(slots=True, kw_only=True, frozen=True)
class _Forming:
    """Hold a group that was decided and not read back yet."""

    model: str
    members: tuple[str, ...]
    since: float


def _is_lost(report: HostReport | None, group: Group) -> bool:
    """Tell whether a member is gone, or its engine has lost its group."""
    if report is None:
        return True
    return report.group == group.name and report.state == "broken"


def _n_groups(view: PlannerView, name: str, model: Model) -> int:
    return sum(
        group.model == name and group.version == model.version and not group.dissolved
        for group in view.placement.groups_by_name.values()
    )


def _free_hosts(
    view: PlannerView, n_hosts: int, taken: set[str], *, now: float
) -> tuple[str, ...] | None:
    """Return free hosts of one fabric domain, the fullest fit first."""
    free_by_domain: dict[str, list[str]] = {}
    for name, listed in sorted(view.hosts_by_name.items()):
        report = view.confirmations.fresh(name, now=now)
        if (
            listed.state == "live"
            and name not in view.placement.group_by_host
            and name not in taken
            and report is not None
            and report.state == "idle"
        ):
            free_by_domain.setdefault(listed.fabric_domain, []).append(name)
    fits = [hosts for hosts in free_by_domain.values() if len(hosts) >= n_hosts]
    if not fits:
        return None
    return tuple(min(fits, key=len)[:n_hosts])
