"""Log why backend servers of an availability zone are idle."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .managed_group import GroupPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from .manager import GroupManager
    from .zone_view import ServiceView

__all__ = ["IdleServers"]

#: Minimum time in seconds between two log lines about one service, which limits their
#: number when many groups change at once; groups are formed and ended within a few
#: seconds.
MIN_LOG_INTERVAL = 1.0

#: Reason logged for a free server without any weights.
EMPTY = "empty"


class IdleServers:
    """Log the number of idle servers by reason whenever the numbers change.

    Members of a group that is being formed or ended are counted under its phase.  Free
    servers are counted under the models whose groups they can join within seconds.

    Parameters
    ----------
    log : callable
        Called with the event name and the fields of each log line.
    """

    def __init__(
        self, *, zone: str, manager: GroupManager, log: Callable[..., None]
    ) -> None:
        self._zone = zone
        self._manager = manager
        self._log = log
        self._logged_by_service: dict[str, Counter[str]] = {}
        self._logged_at_by_service: dict[str, float] = {}

    def log_changes(self, view: ServiceView, *, now: float) -> None:
        """Log the idle servers of one service if their numbers have changed."""
        logged_at = self._logged_at_by_service.get(view.service, float("-inf"))
        if now - logged_at < MIN_LOG_INTERVAL:
            return
        counts = self._count_by_reason(view)
        if counts == self._logged_by_service.get(view.service):
            return
        self._logged_by_service[view.service] = counts
        self._logged_at_by_service[view.service] = now
        self._log(
            "servers_idle",
            zone=self._zone,
            service=view.service,
            n_by_reason=dict(sorted(counts.items())),
            n_serving=sum(len(group.members) for group in view.serving_groups),
        )

    def _count_by_reason(self, view: ServiceView) -> Counter[str]:
        counts: Counter[str] = Counter()
        for phase in (GroupPhase.FORMING, GroupPhase.ENDING):
            for record in self._manager.records(phase):
                if record.service == view.service:
                    counts[phase.value] += len(record.members)
        for server in view.free:
            counts["+".join(sorted(server.models | server.staged)) or EMPTY] += 1
        return counts
