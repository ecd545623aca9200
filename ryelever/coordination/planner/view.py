"""Define the input of a planner and its limits."""

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
    """Number of requests of one client account that wait for one model."""

    model: str
    client_account: str
    n_waiting: int


@dataclass(slots=True, kw_only=True, frozen=True)
class PlannerLimits:
    """Timeouts, intervals and bounds of the planner; times are in seconds.

    Attributes
    ----------
    member_timeout : float
        Time after which a silent member is replaced if a spare host is available,
        counted from when the member's last report expired.
    lost_timeout : float
        Time after which a group with a silent member is dissolved although no spare
        host is available, counted from when the member's last report expired.
        Until then a paused member may return, and the group need not load again.
    load_timeout : float
        Time within which a new group must have been complete once.
    drain_timeout : float
        Time that requests in flight have to finish in a group that is draining.
    order_window : float
        Time after the report that an order is based on, within which the engine may
        begin to execute this order.
    order_interval : float
        Minimum time between two orders to one host.
    decision_timeout : float
        Time after which a decision that was not read back from the log is repeated.
    demand_hold, idle_hold : float
        Time for which callers must have waited for one model, and for which no
        caller must have waited for another model, before capacity moves between
        these models.  ``idle_hold`` is also the time for which a model must have had
        too many groups before one of them is drained.
    move_interval : float
        Minimum time after a move of capacity until the next move for an extra group.
        A move for a missing declared group is not delayed.
    max_loading : int
        Maximum number of hosts that load weights at once.  A single group with more
        members than this may still load alone.
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
        """Return the seconds of silence after which a host is considered dead.

        No order to the host can still take effect after this time.
        """
        return max(self.lost_timeout, 2 * self.order_window)


@dataclass(slots=True, kw_only=True)
class PlannerView:
    """Input of one planning pass.

    Attributes
    ----------
    hosts_by_name : dict of str to ListedHost
        Engines of the zone that are in the platform's hosts list.
    demand : tuple of ModelDemand
        Waiting requests known to this entry host.
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
        """Return the fabric domain of a host, or None for an unlisted host."""
        listed = self.hosts_by_name.get(host)
        return listed.fabric_domain if listed is not None else None

    def checks_fencing(self, host: str) -> bool:
        """Return whether a host refuses orders with an old fencing token.

        An unlisted host is assumed not to check.
        """
        listed = self.hosts_by_name.get(host)
        return listed is not None and listed.checks_fencing
