"""Weigh group downtime against stranded accelerators, and follow demand."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..state.configuration import Model
    from ..state.placement import Group
    from .planner_view import PlannerLimits, PlannerView

__all__ = ["Capacity"]

SECONDS_A_DAY = 86_400.0

_NEVER = float("-inf")


class Capacity:
    """Decide which model gets a group beyond the declared ones, and which gives.

    The declared number of groups is a floor.  What is left is kept as spare hosts,
    which shorten repairs, or put to work, as the declared weights say.
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

    def n_spare_hosts(self, view: PlannerView, *, n_hosts: int, n_members: int) -> int:
        """Return how many hosts of a fabric domain to keep idle for repairs.

        Compares, over any stretch of time, the accelerators that stand in groups
        which wait for the platform to replace a host with those that stand idle as
        a spare.

        Parameters
        ----------
        n_hosts : int
            Hosts of the domain.
        n_members : int
            Hosts of one group.
        """
        weights = view.configuration.weights
        part_without_host = (
            n_hosts
            * self._limits.failures_a_day
            * self._limits.host_return_time
            / SECONDS_A_DAY
        )
        downtime = weights.group_downtime * part_without_host * n_members
        return int(downtime > weights.stranded_accelerators)

    def prefers_use(self, view: PlannerView) -> bool:
        """Tell whether idle hosts cost more than slower repairs."""
        weights = view.configuration.weights
        return weights.stranded_accelerators >= weights.group_downtime

    def next_to_grow(self, view: PlannerView, *, now: float) -> str | None:
        """Return the model that should get one more group, if any should."""
        names = [
            name
            for name, model in view.configuration.models.items()
            if self._below_share(name, model, view)
            and (self.prefers_use(view) or self.is_wanted(name, now=now))
        ]
        if not names:
            return None
        return min(names, key=lambda name: self._order(name, view, now=now))

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

    def donor(
        self, view: PlannerView, groups: list[Group], taker: str, *, now: float
    ) -> Group | None:
        """Return the group that makes room for a model, lowest priority first.

        Groups beyond the declared number are given, newest first; those below it
        only when a model of higher priority lacks declared groups.

        Parameters
        ----------
        groups : list of Group
            Groups that count at present.
        """
        models = view.configuration.models
        for name in sorted(models, key=lambda name: (models[name].priority, name)):
            own = [group for group in groups if group.model == name]
            if name != taker and self._gives(name, len(own), taker, view, now=now):
                return own[-1]
        return None

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

    def _order(
        self, name: str, view: PlannerView, *, now: float
    ) -> tuple[bool, int, int, str]:
        return (
            not self.is_wanted(name, now=now),
            -view.configuration.models[name].priority,
            len(view.groups_of(name)),
            name,
        )

    def _below_share(self, name: str, model: Model, view: PlannerView) -> bool:
        """Tell whether the accounts that use a model may hold one more group.

        Where callers wait, only the shares of those who wait count: an account
        cannot grow its capacity on another one's share.
        """
        waiting = {
            row.client_account
            for row in view.demand
            if row.model == name and row.n_waiting > 0
        }
        shares = [
            account.share
            for account_name, account in view.configuration.client_accounts.items()
            if (not account.models or name in account.models)
            and (not waiting or account_name in waiting)
        ]
        n_slots = len(view.hosts_by_name) // max(model.hosts_per_group, 1)
        allowed = math.floor(min(sum(shares), 1.0) * n_slots + 1e-9)
        return len(view.groups_of(name)) < max(allowed, model.n_groups)
