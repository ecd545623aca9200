"""Weigh group downtime against stranded accelerators, and follow demand."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.configuration import Model
    from ...state.placement import Group
    from .view import PlannerLimits, PlannerView

__all__ = ["Capacity", "n_allowed"]

_NEVER = float("-inf")

#: Shares that add up to a whole number of groups in decimals fall just short of it in
#: binary, and a group would be missing.
ROUNDING = 1e-9


class Capacity:
    """Decide which model gets a group beyond the declared ones, and which gives.

    The declared number of groups is a floor, and the accounts' shares are the
    ceiling.  Hosts that are left over work in further groups until they are needed,
    but for the spare hosts that the declared weights ask for.
    """

    def __init__(self, *, limits: PlannerLimits) -> None:
        self._limits = limits
        self._waiting_since_by_model: dict[str, float] = {}
        self._idle_since_by_model: dict[str, float] = {}
        self._moved_at = _NEVER

    def observe(self, view: PlannerView, *, now: float) -> None:
        """Remember since when callers wait, or do not wait, for each model."""
        waiting = {row.model for row in view.demand if row.n_waiting > 0}
        models = set(view.configuration.models)
        self._waiting_since_by_model = {
            name: self._waiting_since_by_model.get(name, now)
            for name in models & waiting
        }
        self._idle_since_by_model = {
            name: self._idle_since_by_model.get(name, now) for name in models - waiting
        }

    def n_spare_hosts(self, domain: str, model: Model, view: PlannerView) -> int:
        """Return how many hosts of a domain one more group must leave idle.

        A group of full size is the better spare: while another one is repaired it
        serves already, and its hosts can still be taken.  A smaller one only holds
        a host that a larger group would be repaired with at once; whether that host
        waits idle or works until it is needed is what the weights decide.
        """
        if self.prefers_use(view):
            return 0
        return int(
            any(
                len(group.members) > model.hosts_per_group
                and view.domain_of(group.members[0]) == domain
                for group in view.live_groups
            )
        )

    def prefers_use(self, view: PlannerView) -> bool:
        """Tell whether idle hosts weigh more than slower repairs."""
        weights = view.configuration.weights
        return weights.stranded_accelerators >= weights.group_downtime

    def growing(self, view: PlannerView, *, now: float) -> list[str]:
        """Return the models that may get one more group, most needed first.

        Where nobody waits, larger groups go first: smaller ones fill the gaps.
        """
        models = view.configuration.models
        names = [
            name
            for name, model in models.items()
            if len(view.groups_of(name))
            < _n_allowed(name, model, view, now_waiting=True)
        ]
        return sorted(
            names,
            key=lambda name: (
                not self.is_wanted(name, now=now),
                -models[name].priority,
                -models[name].hosts_per_group,
                len(view.groups_of(name)),
                name,
            ),
        )

    def is_wanted(self, model: str, *, now: float) -> bool:
        """Tell whether callers have waited for a model long enough to act."""
        since = self._waiting_since_by_model.get(model, now)
        return now - since >= self._limits.demand_hold

    def is_idle(self, model: str, *, now: float) -> bool:
        """Tell whether nobody has waited for a model for long enough to take."""
        since = self._idle_since_by_model.get(model, now)
        return now - since >= self._limits.idle_hold

    def may_move(self, *, now: float) -> bool:
        """Tell whether the last move of capacity is long enough ago.

        Two models with like demand would otherwise take a group from each other
        in turn, and load weights instead of serving.
        """
        return now - self._moved_at >= self._limits.move_interval

    def moved(self, *, now: float) -> None:
        """Take note that capacity moves from one model to another."""
        self._moved_at = now

    def donors(
        self,
        view: PlannerView,
        groups: list[Group],
        taker: str,
        *,
        n_available_by_domain: dict[str, int],
        now: float,
    ) -> list[Group]:
        """Return the groups that make room for a model, as few as will do.

        Groups beyond the declared number are given, of the least important model
        and newest first; those below it only when a model of higher priority lacks
        declared groups.  Nothing is given unless the taker then has all its hosts
        in one fabric domain.

        Parameters
        ----------
        groups : list of Group
            Groups that count at present.
        n_available_by_domain : dict of str to int
            Hosts outside of these groups, free or about to be.
        """
        n_needed = view.configuration.models[taker].hosts_per_group
        if max(n_available_by_domain.values(), default=0) >= n_needed:
            return []
        given_by_domain: dict[str, list[Group]] = {}
        for group in self._givable(view, groups, taker, now=now):
            domain = view.domain_of(group.members[0])
            given = given_by_domain.setdefault(domain, [])
            n_hosts = n_available_by_domain.get(domain, 0) + sum(
                len(other.members) for other in given
            )
            if n_hosts < n_needed:
                given.append(group)
        enough = [
            given
            for domain, given in given_by_domain.items()
            if n_available_by_domain.get(domain, 0)
            + sum(len(group.members) for group in given)
            >= n_needed
        ]
        return min(enough, key=len, default=[])

    def _givable(
        self, view: PlannerView, groups: list[Group], taker: str, *, now: float
    ) -> list[Group]:
        models = view.configuration.models
        givable: list[Group] = []
        for name in sorted(models, key=lambda name: (models[name].priority, name)):
            own = [group for group in groups if group.model == name]
            while name != taker and self._gives(name, len(own), taker, view, now=now):
                givable.append(own.pop())
        return givable

    def _gives(
        self, name: str, n_own: int, taker: str, view: PlannerView, *, now: float
    ) -> bool:
        models = view.configuration.models
        n_taken = len(view.groups_of(taker))
        taker_is_short = n_taken < models[taker].n_groups
        if n_own > models[name].n_groups:
            return taker_is_short or self.is_idle(name, now=now)
        if not taker_is_short or models[name].priority >= models[taker].priority:
            return False
        # The last group of one model is not given for one more of another.
        return n_own > 1 or (n_own == 1 and not n_taken)


def n_allowed(name: str, model: Model, view: PlannerView) -> int:
    """Return how many groups of a model its accounts' shares allow."""
    return _n_allowed(name, model, view, now_waiting=False)


def _n_allowed(name: str, model: Model, view: PlannerView, *, now_waiting: bool) -> int:
    """Return the groups allowed by all accounts, or by those who wait if any do.

    An account cannot grow its capacity on the share of another one.
    """
    waiting = {
        row.client_account
        for row in view.demand
        if now_waiting and row.model == name and row.n_waiting > 0
    }
    shares = [
        account.share
        for account_name, account in view.configuration.client_accounts.items()
        if (not account.models or name in account.models)
        and (not waiting or account_name in waiting)
    ]
    n_slots = len(view.hosts_by_name) // max(model.hosts_per_group, 1)
    allowed = math.floor(min(sum(shares), 1.0) * n_slots + ROUNDING)
    return max(allowed, model.n_groups)
