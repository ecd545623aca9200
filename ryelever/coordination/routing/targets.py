"""Name the backend servers that may take a request right now."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..actions import Arrival, ChatWork, ServiceWork, Target
from .affinity import node_seed
from .candidates import Candidate, CandidateSet

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...state.fleet import ListedHost
    from ...state.placement import Group, PlacementFold
    from ..confirmation import Confirmations
    from .departures import Departures

__all__ = ["ReportedLoad", "Targets"]

#: Seconds after which a candidate list is compared with the hosts list again.
REBUILD_INTERVAL = 1.0

#: Most candidate lists kept; one for each model, adapter and service in use.
MAX_SETS = 512


@dataclass(slots=True, kw_only=True, frozen=True)
class ReportedLoad:
    """Hold the load that a backend server reports of itself.

    Attributes
    ----------
    age : float
        Seconds since the report was asked for.
    """

    n_running: int
    n_waiting: int
    age: float


class Targets:
    """Keep candidate lists and judge a candidate only when it is looked at.

    To judge 800 groups for each request would cost milliseconds.  The lists
    change with the placement only; whether a group is whole changes all the time,
    and is asked for the few candidates that a decision looks at.

    Parameters
    ----------
    hosts_by_name : dict of str to ListedHost
        What the platform's list names; kept current by its owner.
    departures : Departures or None
        Knows the hosts that are leaving.
    """

    def __init__(
        self,
        *,
        availability_zone: str,
        placements_by_zone: dict[str, PlacementFold],
        hosts_by_name: dict[str, ListedHost],
        confirmations: Confirmations,
        departures: Departures | None = None,
    ) -> None:
        self._availability_zone = availability_zone
        self._placements_by_zone = placements_by_zone
        self._hosts_by_name = hosts_by_name
        self._confirmations = confirmations
        self._departures = departures
        self._sets_by_work: dict[tuple[str, str, str], CandidateSet] = {}

    def for_arrival(self, arrival: Arrival, now: float) -> list[Target]:
        """Return the targets that may serve an arrival now, own zone first."""
        found = self.candidates(arrival.work, now=now)
        for candidates in (found.own_zone, found.other_zones):
            usable = [self.target(candidate, now=now) for candidate in candidates]
            targets = [target for target in usable if target is not None]
            if targets:
                return targets
        return []

    def candidates(self, work: ChatWork | ServiceWork, *, now: float) -> CandidateSet:
        """Return everything that is placed or listed for a work."""
        if isinstance(work, ChatWork):
            key = (work.model, work.adapter, "")
        else:
            key = ("", "", work.service)
        known = self._sets_by_work.get(key)
        offsets = tuple(fold.next_offset for fold in self._placements_by_zone.values())
        if (
            known is not None
            and known.offsets == offsets
            and now - known.built_at < REBUILD_INTERVAL
        ):
            return known
        return self._rebuild(work, key, offsets, now=now)

    def target(self, candidate: Candidate, *, now: float) -> Target | None:
        """Return the target of a candidate that may be used now, or else None."""
        listed = self._hosts_by_name.get(candidate.hosts[0])
        if listed is None:
            return None
        group = candidate.group
        if group is not None and not self._may_serve(group, now=now):
            return None
        if any(self._is_leaving(host, now=now) for host in candidate.hosts):
            return None
        return Target(
            name=candidate.name,
            address=listed.address,
            fencing=group.fencing if group is not None else -1,
            hosts=candidate.hosts,
        )

    def is_lost(self, target: Target, arrival: Arrival, *, now: float) -> bool:
        """Tell whether a group stopped counting as whole and another one serves.

        A draining group ends what it runs, and a plain service has no members.
        """
        if target.fencing < 0:
            return False
        found = self.candidates(arrival.work, now=now)
        others: list[Candidate] = []
        for candidate in found.own_zone + found.other_zones:
            group = candidate.group
            if candidate.name != target.name:
                others.append(candidate)
            elif group is not None and self._still_whole(group, target, now=now):
                return False
        return any(self.target(other, now=now) is not None for other in others)

    def reported_load(self, candidate: Candidate, *, now: float) -> ReportedLoad | None:
        """Return what rank 0 reports, if its report still counts."""
        known = self._confirmations.reports_by_host.get(candidate.hosts[0])
        if known is None or now - known.asked_at > self._confirmations.max_age:
            return None
        return ReportedLoad(
            n_running=known.report.running,
            n_waiting=known.report.waiting,
            age=now - known.asked_at,
        )

    def _still_whole(self, group: Group, target: Target, *, now: float) -> bool:
        same = group.fencing == target.fencing
        return same and self._confirmations.is_complete(group, now=now)

    def _may_serve(self, group: Group, *, now: float) -> bool:
        # A draining group ends what it runs and is then dissolved.
        return not group.draining and self._confirmations.is_complete(group, now=now)

    def _is_leaving(self, host: str, *, now: float) -> bool:
        listed = self._hosts_by_name.get(host)
        if listed is not None and listed.state == "leaving":
            return True
        return self._departures is not None and self._departures.is_leaving(
            host, now=now
        )

    def _rebuild(
        self,
        work: ChatWork | ServiceWork,
        key: tuple[str, str, str],
        offsets: tuple[int, ...],
        *,
        now: float,
    ) -> CandidateSet:
        if isinstance(work, ChatWork):
            candidates = list(self._placed(work))
        else:
            candidates = list(self._listed(work.service))
        keys = tuple(candidate.key for candidate in candidates)
        known = self._sets_by_work.get(key)
        if known is not None and known.keys == keys:
            # A renewed lease moves the offset and changes no candidate.  The old
            # object stays, and with it the ranks that others keep for it.
            known.built_at = now
            known.offsets = offsets
            return known
        weighted = sorted(_weighted(candidates), key=lambda one: one.seed)
        own = self._availability_zone
        if len(self._sets_by_work) >= MAX_SETS:
            self._sets_by_work.clear()
        rebuilt = self._sets_by_work[key] = CandidateSet(
            own_zone=tuple(one for one in weighted if one.availability_zone == own),
            other_zones=tuple(one for one in weighted if one.availability_zone != own),
            names=tuple(one.name for one in weighted),
            keys=keys,
            built_at=now,
            offsets=offsets,
        )
        return rebuilt

    def _placed(self, work: ChatWork) -> Iterable[Candidate]:
        for zone, fold in self._placements_by_zone.items():
            for group in fold.groups_by_name.values():
                if group.model != work.model or group.dissolved:
                    continue
                if work.adapter and work.adapter not in group.adapter_names:
                    continue
                yield self._candidate(group.name, zone, group.members, group=group)

    def _listed(self, service: str) -> Iterable[Candidate]:
        for host in self._hosts_by_name.values():
            if host.service == service:
                yield self._candidate(host.host, host.availability_zone, (host.host,))

    def _candidate(
        self,
        name: str,
        zone: str,
        hosts: tuple[str, ...],
        *,
        group: Group | None = None,
    ) -> Candidate:
        listed = [self._hosts_by_name.get(host) for host in hosts]
        n_accelerators = sum(host.accelerators for host in listed if host is not None)
        return Candidate(
            name=name,
            availability_zone=zone,
            hosts=hosts,
            seed=node_seed(name),
            n_accelerators=max(1, n_accelerators),
            group=group,
        )


def _weighted(candidates: list[Candidate]) -> list[Candidate]:
    n_accelerators = sum(candidate.n_accelerators for candidate in candidates)
    average = n_accelerators / max(1, len(candidates))
    return [
        replace(candidate, weight=candidate.n_accelerators / average)
        for candidate in candidates
    ]
