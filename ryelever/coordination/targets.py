"""Name the backend servers that may take a request right now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .actions import Arrival, ChatWork, Target

if TYPE_CHECKING:
    from ..state.fleet import ListedHost
    from ..state.placement import Group, PlacementFold
    from .confirmation import Confirmations

__all__ = ["Targets"]


class Targets:
    """Choose among confirmed groups and listed services, own zone first.

    Parameters
    ----------
    hosts_by_name : dict of str to ListedHost
        What the platform's list names; kept current by its owner.
    """

    def __init__(
        self,
        *,
        availability_zone: str,
        placements_by_zone: dict[str, PlacementFold],
        hosts_by_name: dict[str, ListedHost],
        confirmations: Confirmations,
    ) -> None:
        self._availability_zone = availability_zone
        self._placements_by_zone = placements_by_zone
        self._hosts_by_name = hosts_by_name
        self._confirmations = confirmations

    def for_arrival(self, arrival: Arrival, now: float) -> list[Target]:
        """Return the targets that may serve an arrival now, own zone first."""
        if isinstance(arrival.work, ChatWork):
            return self._groups(arrival.work, now=now)
        return self._services(arrival.work.service)

    def _groups(self, work: ChatWork, *, now: float) -> list[Target]:
        zones = sorted(
            self._placements_by_zone, key=lambda zone: zone != self._availability_zone
        )
        for zone in zones:
            groups = self._placements_by_zone[zone].groups_by_name.values()
            targets = [
                self._group_target(group)
                for group in groups
                if self._serves(group, work, now=now)
            ]
            if targets:
                return targets
        return []

    def _serves(self, group: Group, work: ChatWork, *, now: float) -> bool:
        return (
            group.model == work.model
            and not group.draining
            and group.members[0] in self._hosts_by_name
            and self._confirmations.is_whole(group, now=now)
        )

    def _group_target(self, group: Group) -> Target:
        return Target(
            name=group.name,
            address=self._hosts_by_name[group.members[0]].address,
            fencing=group.fencing,
            hosts=group.members,
        )

    def _services(self, service: str) -> list[Target]:
        listed = [
            host
            for host in self._hosts_by_name.values()
            if host.service == service and host.state == "live"
        ]
        listed.sort(key=lambda host: host.availability_zone != self._availability_zone)
        return [
            Target(name=host.host, address=host.address, hosts=(host.host,))
            for host in listed
        ]
