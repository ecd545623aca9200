"""Plan one availability zone: form replica groups, order hosts, repair, change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..state.records import GroupDissolved, GroupDraining, GroupFormed
from .lease import PlannerLease
from .planner_capacity import Capacity
from .planner_decisions import Decisions
from .planner_health import Fault, HostHealth
from .planner_hosts import HostChoice
from .planner_orders import Orders
from .planner_outgoing import Outgoing
from .planner_release import Release
from .planner_view import PlannerLimits, PlannerView

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.configuration import Model
    from ..state.placement import Group
    from .actions import Action
    from .planner_health import MemberFault

__all__ = ["Planner", "PlannerLimits", "PlannerView"]


class Planner:
    """Decide what one zone's hosts do, under a lease kept in the log.

    Every entry host of the zone has one, and each looks on at every tick; only the
    holder of the lease decides.

    Parameters
    ----------
    holder : str
        Name of this entry host together with its boot id.
    term : float
        Seconds of one lease.
    stream : str
        The zone's placement stream.
    limits : PlannerLimits, optional
        Times and bounds.
    """

    def __init__(
        self,
        *,
        holder: str,
        stream: str,
        new_id: Callable[[], str],
        term: float = 6.0,
        limits: PlannerLimits | None = None,
    ) -> None:
        self._new_id = new_id
        self._limits = limits or PlannerLimits()
        self.lease = PlannerLease(
            holder=holder, stream=stream, new_id=new_id, term=term
        )
        self._decisions = Decisions(
            stream=stream, new_id=new_id, timeout=self._limits.decision_timeout
        )
        self._orders = Orders(limits=self._limits)
        self._health = HostHealth(limits=self._limits)
        self._capacity = Capacity(limits=self._limits)
        self._outgoing = Outgoing(limits=self._limits, health=self._health)
        self._release = Release(
            limits=self._limits,
            health=self._health,
            orders=self._orders,
            decisions=self._decisions,
        )
        self._first_seen_at_by_group: dict[str, float] = {}
        self._was_whole: set[str] = set()

    def holds_lease(self, view: PlannerView, *, now: float) -> bool:
        """Tell whether decisions made now are under a valid own lease."""
        return self.lease.holds(view.placement, now=now)

    def give_back_lease(self, view: PlannerView, *, now: float) -> list[Action]:
        """Return the append that lets another entry host plan at once."""
        return self.lease.give_back(view.placement, now=now)

    def tick(self, view: PlannerView, *, now: float) -> list[Action]:
        """Return what is to be done now; nothing but lease work without a lease."""
        self._observe(view, now=now)
        fit = _sees_hosts(view, now=now)
        actions = self.lease.tick(view.placement, wanted=fit, now=now)
        if not fit or not self.holds_lease(view, now=now):
            return actions
        self._decisions.settle(view.placement, now=now)
        actions += self._release.tick(
            view,
            taken=self._decisions.taken,
            held_since=self.lease.held_since,
            now=now,
        )
        choice = self._choice(view, now=now)
        current = self._current(view, now=now)
        for group in _by_priority(view):
            if not self._decisions.is_replaced(group.name):
                actions += self._keep(group, current, choice, view, now=now)
        actions += self._form_declared(current, choice, view, now=now)
        actions += self._drain(current, choice, view, now=now)
        actions += self._form_more(current, choice, view, now=now)
        return actions

    # What is remembered between two looks

    def _observe(self, view: PlannerView, *, now: float) -> None:
        self._health.observe(view, now=now)
        self._capacity.observe(view, now=now)
        names = set(view.placement.groups_by_name)
        self._orders.forget_groups(names)
        self._outgoing.observe(view, now=now)
        self._first_seen_at_by_group = {
            name: self._first_seen_at_by_group.get(name, now) for name in names
        }
        self._was_whole &= names
        self._was_whole |= {
            group.name
            for group in view.live_groups
            if view.confirmations.is_whole(group, now=now)
        }

    def _choice(self, view: PlannerView, *, now: float) -> HostChoice:
        return HostChoice(
            view=view,
            health=self._health,
            orders=self._orders,
            taken=self._decisions.taken,
            held_since=self.lease.held_since,
            now=now,
        )

    def _current(self, view: PlannerView, *, now: float) -> list[Group]:
        """Return the groups that count towards the declared number."""
        return [
            group
            for group in view.live_groups
            if not group.draining and not self._outgoing.reason(group, view, now=now)
        ]

    def _n_missing(self, model: str, current: list[Group], view: PlannerView) -> int:
        n_current = sum(group.model == model for group in current)
        n_wanted = view.configuration.models[model].n_groups
        return n_wanted - n_current - self._decisions.n_forming(model)

    # Repair

    def _keep(
        self,
        group: Group,
        current: list[Group],
        choice: HostChoice,
        view: PlannerView,
        *,
        now: float,
    ) -> list[Action]:
        faults = self._health.faults(group, view, now=now)
        lost = [fault for fault in faults if self._is_lost(fault, now=now)]
        if lost:
            return self._repair(group, lost, current, choice, view, now=now)
        if group.draining:
            return self._finish_drained(group, current, choice, view, now=now)
        if group.name not in self._was_whole and self._is_late(group, now=now):
            reason = f"was not whole within {self._limits.load_timeout:g} s"
            return self._dissolve(group, view, reason, now=now)
        return self._orders.join(group, view, now=now)

    def _is_lost(self, fault: MemberFault, *, now: float) -> bool:
        if fault.fault is not Fault.SILENT:
            return True
        silent_for = self._health.silent_for(fault.host, now=now)
        return silent_for >= self._limits.member_timeout

    def _is_late(self, group: Group, *, now: float) -> bool:
        since = self._first_seen_at_by_group[group.name]
        return now - since >= self._limits.load_timeout

    def _repair(
        self,
        group: Group,
        lost: list[MemberFault],
        current: list[Group],
        choice: HostChoice,
        view: PlannerView,
        *,
        now: float,
    ) -> list[Action]:
        reason = "; ".join(fault.reason for fault in lost)
        replaced = self._replace(group, reason, current, choice, view, now=now)
        if replaced:
            return replaced
        if choice.must_wait_for_orders(group) and not self._is_certain(lost, now=now):
            return []
        elsewhere = choice.can_take(len(group.members))
        if elsewhere or self._is_certain(lost, now=now):
            return self._dissolve(group, view, reason, now=now)
        return []

    def _is_certain(self, lost: list[MemberFault], *, now: float) -> bool:
        # A paused member that returns makes its group whole again at once, while a
        # dissolved group must load anew: without a spare, waiting is cheaper.
        return any(
            fault.fault is not Fault.SILENT
            or self._health.silent_for(fault.host, now=now) >= self._limits.lost_timeout
            for fault in lost
        )

    def _replace(
        self,
        group: Group,
        reason: str,
        current: list[Group],
        choice: HostChoice,
        view: PlannerView,
        *,
        now: float,
    ) -> list[Action]:
        """Form a group in place of one from its survivors and spare hosts."""
        model = view.configuration.models.get(group.model)
        if model is None:
            return []
        if group not in current and self._n_missing(group.model, current, view) <= 0:
            return []
        members = choice.take_over(group, model.hosts_per_group)
        if not members:
            return []
        return self._form(
            group.model, model, members, view, reason, replaces=group.name, now=now
        )

    def _dissolve(
        self, group: Group, view: PlannerView, reason: str, *, now: float
    ) -> list[Action]:
        record = GroupDissolved(group=group.name, lease=_tenure(view), reason=reason)
        return self._decisions.once(record, key=f"dissolve {group.name}", now=now)

    # Planned change

    def _drain(
        self,
        current: list[Group],
        choice: HostChoice,
        view: PlannerView,
        *,
        now: float,
    ) -> list[Action]:
        """Drain groups that are to end, one of a model at a time."""
        actions: list[Action] = []
        models_draining = {group.model for group in view.live_groups if group.draining}
        for group in view.live_groups:
            reason = self._outgoing.reason(group, view, now=now)
            if group.draining or not reason or group.model in models_draining:
                continue
            if self._waits_for_successor(group, current, choice, view, now=now):
                continue
            models_draining.add(group.model)
            record = GroupDraining(group=group.name, lease=_tenure(view), reason=reason)
            actions += self._decisions.once(record, key=f"drain {group.name}", now=now)
        return actions

    def _waits_for_successor(
        self,
        group: Group,
        current: list[Group],
        choice: HostChoice,
        view: PlannerView,
        *,
        now: float,
    ) -> bool:
        """Tell whether a group should serve on until another one is whole."""
        model = view.configuration.models.get(group.model)
        if model is None or not view.confirmations.is_whole(group, now=now):
            return False
        own = [other for other in current if other.model == group.model]
        if self._decisions.n_forming(group.model):
            return True
        if any(not view.confirmations.is_whole(other, now=now) for other in own):
            return True
        short = len(own) < model.n_groups
        return short and choice.can_take(model.hosts_per_group)

    def _finish_drained(
        self,
        group: Group,
        current: list[Group],
        choice: HostChoice,
        view: PlannerView,
        *,
        now: float,
    ) -> list[Action]:
        ended = self._outgoing.drained(group, view, now=now)
        if not ended:
            return []
        reason = f"{group.draining_reason}; {ended}"
        return self._replace(
            group, reason, current, choice, view, now=now
        ) or self._dissolve(group, view, reason, now=now)

    # Forming

    def _form_declared(
        self,
        current: list[Group],
        choice: HostChoice,
        view: PlannerView,
        *,
        now: float,
    ) -> list[Action]:
        actions: list[Action] = []
        for name, model in _models_by_priority(view):
            for _ in range(self._n_missing(name, current, view)):
                members = choice.take(model.hosts_per_group)
                if not members:
                    self._make_room(name, current, view, now=now)
                    break
                actions += self._form(name, model, members, view, "declared", now=now)
        return actions

    def _form_more(
        self,
        current: list[Group],
        choice: HostChoice,
        view: PlannerView,
        *,
        now: float,
    ) -> list[Action]:
        """Form one group beyond the declared ones, of hosts that are left over."""
        name = self._capacity.next_to_grow(view, now=now)
        if name is None or self._is_settling(view, now=now):
            return []
        wanted = self._capacity.is_wanted(name, now=now)
        short = any(
            self._n_missing(other, current, view) > 0
            for other in view.configuration.models
        )
        if short and not wanted:
            return []
        model = view.configuration.models[name]
        n_spare = self._n_spare(model, view)
        members = choice.take(model.hosts_per_group, n_spare=n_spare)
        if members:
            reason = "callers wait" if wanted else "hosts were idle"
            return self._form(name, model, members, view, reason, now=now)
        if wanted:
            self._make_room(name, current, view, now=now)
        return []

    def _is_settling(self, view: PlannerView, *, now: float) -> bool:
        # Whatever is under repair or loading may need the hosts more, and changes
        # how long callers wait.
        return bool(self._decisions.forming_by_id) or any(
            not view.confirmations.is_whole(group, now=now)
            for group in view.live_groups
        )

    def _n_spare(self, model: Model, view: PlannerView) -> int:
        domains = [listed.fabric_domain for listed in view.hosts_by_name.values()]
        largest = max(map(domains.count, set(domains)), default=0)
        return self._capacity.n_spare_hosts(
            view, n_hosts=largest, n_members=model.hosts_per_group
        )

    def _make_room(
        self, model: str, current: list[Group], view: PlannerView, *, now: float
    ) -> None:
        if not self._capacity.may_move(now=now):
            return
        donor = self._capacity.donor(view, current, model, now=now)
        if donor is not None:
            self._capacity.moved(now=now)
            self._outgoing.give(donor, f"makes room for {model}")

    def _form(
        self,
        name: str,
        model: Model,
        members: tuple[str, ...],
        view: PlannerView,
        reason: str,
        *,
        now: float,
        replaces: str = "",
    ) -> list[Action]:
        record = GroupFormed(
            group=f"{name}-{self._new_id()}",
            model=name,
            version=model.version,
            adapters=model.adapter_versions,
            members=members,
            lease=_tenure(view),
            configuration_version=view.configuration_version,
            reason=reason,
            replaces=replaces,
        )
        return self._decisions.form(record, now=now)


def _by_priority(view: PlannerView) -> list[Group]:
    ranks = {name: rank for rank, (name, _) in enumerate(_models_by_priority(view))}
    return sorted(
        view.live_groups, key=lambda group: ranks.get(group.model, len(ranks))
    )


def _models_by_priority(view: PlannerView) -> list[tuple[str, Model]]:
    return sorted(
        view.configuration.models.items(),
        key=lambda item: (-item[1].priority, item[0]),
    )


def _sees_hosts(view: PlannerView, *, now: float) -> bool:
    """Tell whether this process sees any engine at all.

    One that sees none is cut off itself.  Were it to decide, it would dissolve
    every group of the zone; it lets the lease run out for a peer that sees them.
    """
    return any(
        view.confirmations.fresh(host, now=now) is not None
        for host in view.hosts_by_name
    )


def _tenure(view: PlannerView) -> int:
    return view.placement.lease.tenure
