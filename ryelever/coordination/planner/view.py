"""Define what a planner looks at, and its limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.configuration import Configuration
    from ...state.fleet import ListedHost
    from ...state.placement import Group, PlacementFold
    from ..confirmation import Confirmations

__all__ = ["ModelDemand", "PlannerLimits", "PlannerView"]


@dataclass(slots=True, kw_only=True, frozen=True)
class ModelDemand:
    """Tell how many requests of one client account wait for one model."""

    model: str
    client_account: str
    n_waiting: int


@dataclass(slots=True, kw_only=True, frozen=True)
class PlannerLimits:
    """Bound what the planner does; times are in seconds.

    Attributes
    ----------
    member_timeout : float
        Time after its last report has ceased to count at which a silent member is
        replaced, if a spare is there.
    lost_timeout : float
        Silence after which a group is dissolved although no spare is there.  Until
        then a paused member may come back, and the group need not load again.
    load_timeout : float
        Time in which a new group must have been whole once.
    drain_timeout : float
        Time that requests in flight have in a group that is to end.
    order_window : float
        Time after the report it is based on in which an engine may begin to obey
        an order.
    order_interval : float
        Time between two orders to one host.
    decision_timeout : float
        Time after which a decision that was not read back is made again.
    demand_hold, idle_hold : float
        Time that callers must have waited for one model, and that nobody waited
        for another, before capacity moves.
    move_interval : float
        Shortest time between two moves of capacity.
    max_loading : int
        Hosts that load weights at once, unless one group alone has more.
    """

    member_timeout: float = 1.0
    lost_timeout: float = 10.0
    load_timeout: float = 300.0
    drain_timeout: float = 60.0
    order_window: float = 3.0
    order_interval: float = 0.5
    decision_timeout: float = 3.0
    demand_hold: float = 10.0
    idle_hold: float = 30.0
    move_interval: float = 60.0
    max_loading: int = 8

    @property
    def dead_after(self) -> float:
        """Return the silence that shows a host dead; no order outlasts it."""
        return max(self.lost_timeout, 2 * self.order_window)


@dataclass(slots=True, kw_only=True)
class PlannerView:
    """Hold everything that a planner looks at.

    Attributes
    ----------
    hosts_by_name : dict of str to ListedHost
        The engines of the zone that the platform's list names.
    demand : tuple of ModelDemand
        Requests that wait, as far as this entry host knows.
    """

    configuration: Configuration
    configuration_version: int
    placement: PlacementFold
    hosts_by_name: dict[str, ListedHost]
    confirmations: Confirmations
    demand: tuple[ModelDemand, ...] = ()

    @property
    def live_groups(self) -> list[Group]:
        """Return the groups that are not dissolved, oldest first."""
        groups = self.placement.groups_by_name.values()
        return [group for group in groups if not group.dissolved]

    def groups_of(self, model: str) -> list[Group]:
        """Return a model's groups that are not dissolved, oldest first."""
        return [group for group in self.live_groups if group.model == model]

    def domain_of(self, host: str) -> str | None:
        """Return a host's fabric domain, unless the list does not name it."""
        listed = self.hosts_by_name.get(host)
        return listed.fabric_domain if listed is not None else None

    def checks_fencing(self, host: str) -> bool:
        """Tell whether a host refuses old fencing numbers; unlisted ones may not."""
        listed = self.hosts_by_name.get(host)
        return listed is not None and listed.checks_fencing
