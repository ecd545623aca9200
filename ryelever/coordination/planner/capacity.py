"""Balance group downtime against stranded accelerators, and follow demand."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.configuration import Model
    from ...state.placement import Group
    from .view import PlannerLimits, PlannerView

__all__ = ["CapacityPlan", "n_allowed"]

_NEVER = float("-inf")

#: Shares whose decimal sum is a whole number of groups may sum to slightly less in
#: binary floating point.  Without this tolerance one group would be missing.
ROUNDING_TOLERANCE = 1e-9


class CapacityPlan:
    """Decide which models get extra groups, and which groups make room for others.

    A model's declared number of groups is its minimum, and the accounts' shares set
    its maximum.  Remaining hosts serve in extra groups until they are needed
    elsewhere, except for the spare hosts that the declared weights require.
    """

    def __init__(self, *, limits: PlannerLimits) -> None:
        self._limits = limits
        self._waiting_since_by_model: dict[str, float] = {}
        self._idle_since_by_model: dict[str, float] = {}
        self._moved_at = _NEVER

    def observe(self, view: PlannerView, *, now: float) -> None:
        """Record since when callers have been waiting, or not, for each model."""
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
        """Return how many hosts of a domain an extra group must leave idle.

        An extra group that is at least as large as the other groups of the domain is
        a better reserve than an idle host: it already serves while another group is
        repaired, and its hosts can still be used elsewhere.  A smaller extra group
        only occupies a host with which a larger group could be repaired at once.  The
        declared weights determine whether this host stays idle or serves until it is
        needed.
        """
        if self.prefers_utilization(view):
            return 0
        return int(
            any(
                len(group.members) > model.hosts_per_group
                and view.domain_of(group.members[0]) == domain
                for group in view.live_groups
            )
        )

    def prefers_utilization(self, view: PlannerView) -> bool:
        """Return whether idle hosts weigh at least as much as slower repairs."""
        weights = view.configuration.weights
        return weights.stranded_accelerators >= weights.group_downtime

    def growth_candidates(self, view: PlannerView, *, now: float) -> list[str]:
        """Return the models that may get one more group, most needed first.

        Models with lasting demand go first, then those of higher priority.  Among
        equals, models with larger groups go first, and smaller groups fill the
        remaining hosts.
        """
        models = view.configuration.models
        names = [
            name
            for name, model in models.items()
            if len(view.groups_of(name))
            < _n_allowed(name, model, view, waiting_accounts_only=True)
        ]
        return sorted(
            names,
            key=lambda name: (
                not self.has_lasting_demand(name, now=now),
                -models[name].priority,
                -models[name].hosts_per_group,
                len(view.groups_of(name)),
                name,
            ),
        )

    def has_lasting_demand(self, model: str, *, now: float) -> bool:
        """Return whether callers have waited for a model for ``demand_hold``."""
        since = self._waiting_since_by_model.get(model, now)
        return now - since >= self._limits.demand_hold

    def is_idle(self, model: str, *, now: float) -> bool:
        """Return whether no caller has waited for a model for ``idle_hold``."""
        since = self._idle_since_by_model.get(model, now)
        return now - since >= self._limits.idle_hold

    def may_move(self, *, now: float) -> bool:
        """Return whether ``move_interval`` has passed since the last capacity move.

        Otherwise two models with similar demand would take a group from each other
        alternately, and load weights instead of serving.
        """
        return now - self._moved_at >= self._limits.move_interval

    def moved(self, *, now: float) -> None:
        """Record that capacity moves from one model to another."""
        self._moved_at = now

    def donors(
        self,
        view: PlannerView,
        groups: list[Group],
        recipient: str,
        *,
        n_available_by_domain: dict[str, int],
        now: float,
    ) -> list[Group]:
        """Return the fewest groups whose hosts make room for a group of a model.

        Groups beyond the declared number are donated if the recipient lacks declared
        groups, or if no caller has waited for their own model for ``idle_hold``.
        Groups within the declared number are donated only to a model of higher
        priority that lacks declared groups.  Groups of the lowest-priority model and
        the newest groups are donated first.  No group is donated unless the recipient
        then has all its hosts in one fabric domain.

        Parameters
        ----------
        groups : list of Group
            Groups that count towards the declared numbers.
        recipient : str
            Model that needs the hosts.
        n_available_by_domain : dict of str to int
            Number of hosts outside these groups that are free or will be soon.
        """
        n_needed = view.configuration.models[recipient].hosts_per_group
        if max(n_available_by_domain.values(), default=0) >= n_needed:
            return []
        candidates_by_domain: dict[str, list[Group]] = {}
        for group in self._donatable_groups(view, groups, recipient, now=now):
            domain = view.domain_of(group.members[0])
            candidates = candidates_by_domain.setdefault(domain, [])
            n_hosts = n_available_by_domain.get(domain, 0) + sum(
                len(other.members) for other in candidates
            )
            if n_hosts < n_needed:
                candidates.append(group)
        sufficient = [
            candidates
            for domain, candidates in candidates_by_domain.items()
            if n_available_by_domain.get(domain, 0)
            + sum(len(group.members) for group in candidates)
            >= n_needed
        ]
        return min(sufficient, key=len, default=[])

    def _donatable_groups(
        self, view: PlannerView, groups: list[Group], recipient: str, *, now: float
    ) -> list[Group]:
        models = view.configuration.models
        donatable: list[Group] = []
        for name in sorted(models, key=lambda name: (models[name].priority, name)):
            model_groups = [group for group in groups if group.model == name]
            while name != recipient and self._may_donate(
                name, len(model_groups), recipient, view, now=now
            ):
                donatable.append(model_groups.pop())
        return donatable

    def _may_donate(
        self,
        name: str,
        n_current: int,
        recipient: str,
        view: PlannerView,
        *,
        now: float,
    ) -> bool:
        models = view.configuration.models
        n_recipient_groups = len(view.groups_of(recipient))
        recipient_is_short = n_recipient_groups < models[recipient].n_groups
        if n_current > models[name].n_groups:
            return recipient_is_short or self.is_idle(name, now=now)
        if (
            not recipient_is_short
            or models[name].priority >= models[recipient].priority
        ):
            return False
        # The last group of a model is not donated for a further group of another.
        return n_current > 1 or (n_current == 1 and not n_recipient_groups)


def n_allowed(name: str, model: Model, view: PlannerView) -> int:
    """Return the maximum number of groups of a model by its accounts' shares."""
    return _n_allowed(name, model, view, waiting_accounts_only=False)


def _n_allowed(
    name: str, model: Model, view: PlannerView, *, waiting_accounts_only: bool
) -> int:
    """Return the number of groups allowed by the accounts' shares.

    The result is never below the declared number of groups.  If accounts have waiting
    requests and ``waiting_accounts_only`` is set, only these accounts' shares count,
    so that no account grows its capacity on the share of another account.
    """
    waiting = {
        row.client_account
        for row in view.demand
        if waiting_accounts_only and row.model == name and row.n_waiting > 0
    }
    shares = [
        account.share
        for account_name, account in view.configuration.client_accounts.items()
        if (not account.models or name in account.models)
        and (not waiting or account_name in waiting)
    ]
    n_possible_groups = len(view.hosts_by_name) // max(model.hosts_per_group, 1)
    allowed = math.floor(min(sum(shares), 1.0) * n_possible_groups + ROUNDING_TOLERANCE)
    return max(allowed, model.n_groups)
