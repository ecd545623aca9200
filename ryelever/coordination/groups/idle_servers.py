"""Tell what the servers of an availability zone that serve nobody are held up by."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .managed_group import GroupPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from .manager import GroupManager
    from .zone_view import ServiceView

__all__ = ["IdleServers"]

#: Least seconds between two lines about one service, which bounds them in a storm of
#: changes; groups are formed and ended within a few seconds.
LINE_INTERVAL = 1.0

#: What a free server without any weights counts as.
EMPTY = "empty"


class IdleServers:
    """Log how many servers wait for what, when that changes.

    Members of a group that is being formed or ended count under that phase, free
    servers under the models whose groups they can join within seconds.

    Parameters
    ----------
    log : callable
        Take one line: its name and its fields.
    """

    def __init__(
        self, *, zone: str, manager: GroupManager, log: Callable[..., None]
    ) -> None:
        self._zone = zone
        self._manager = manager
        self._log = log
        self._told_by_service: dict[str, Counter[str]] = {}
        self._told_at_by_service: dict[str, float] = {}

    def look(self, view: ServiceView, *, now: float) -> None:
        """Log how things stand for one service, unless it is as it was."""
        told_at = self._told_at_by_service.get(view.service, float("-inf"))
        if now - told_at < LINE_INTERVAL:
            return
        counts = self._counts(view)
        if counts == self._told_by_service.get(view.service):
            return
        self._told_by_service[view.service] = counts
        self._told_at_by_service[view.service] = now
        self._log(
            "servers_idle",
            zone=self._zone,
            service=view.service,
            n_by_reason=dict(sorted(counts.items())),
            n_serving=sum(len(group.members) for group in view.standing),
        )

    def _counts(self, view: ServiceView) -> Counter[str]:
        counts: Counter[str] = Counter()
        for phase in (GroupPhase.FORMING, GroupPhase.ENDING):
            for record in self._manager.records(phase):
                if record.service == view.service:
                    counts[phase.value] += len(record.members)
        for server in view.free:
            counts["+".join(sorted(server.models | server.staged)) or EMPTY] += 1
        return counts
