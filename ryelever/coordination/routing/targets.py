"""List the candidates for a request, and check which of them may serve it now."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..actions import Arrival, ChatWork, ServiceWork, Target
from .affinity import rendezvous_seed
from .candidates import Candidate, CandidateSet

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...state.fleet import ListedHost
    from ...state.placement import Group, PlacementFold
    from ..confirmation import Confirmations
    from .departures import Departures

__all__ = ["ReportedLoad", "Targets"]

#: Seconds after which a candidate list is compared with the platform's hosts list
#: again.
REBUILD_INTERVAL = 1.0

#: Maximum number of candidate lists kept: one for each model, adapter and service.
MAX_SETS = 512


@dataclass(slots=True, kw_only=True, frozen=True)
class ReportedLoad:
    """Load that a backend server reports of itself.

    Attributes
    ----------
    age : float
        Seconds since the report was requested.
    """

    n_running: int
    n_waiting: int
    age: float


class Targets:
    """Keep candidate lists, and check a candidate only when a decision needs it.

    Checking 800 groups for each request would take milliseconds.  The lists change only
    with the placement and the hosts list.  Whether a group is complete changes all
    the time, and is checked only for the few candidates that a decision considers.

    Parameters
    ----------
    availability_zone : str
        Zone of this entry host.
    hosts_by_name : dict of str to ListedHost
        Hosts in the hosts list; kept current by the owner of the dict.
    departures : Departures or None
        Hosts that refused requests or were announced as leaving.
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
        """Return the usable targets of this host's zone, or if none, of other zones."""
        found = self.candidates(arrival.work, now=now)
        for candidates in (found.local_zone, found.other_zones):
            usable = [self.target(candidate, now=now) for candidate in candidates]
            targets = [target for target in usable if target is not None]
            if targets:
                return targets
        return []

    def candidates(self, work: ChatWork | ServiceWork, *, now: float) -> CandidateSet:
        """Return all groups placed, or hosts listed, for a model or service."""
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
        """Return the target of a candidate if it may serve now, or else None."""
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
        """Return whether a target's group is incomplete while another can serve.

        A draining group that is complete finishes its running requests and is not lost.
        A plain service has no members and is never lost.
        """
        if target.fencing < 0:
            return False
        found = self.candidates(arrival.work, now=now)
        others: list[Candidate] = []
        for candidate in found.local_zone + found.other_zones:
            group = candidate.group
            if candidate.name != target.name:
                others.append(candidate)
            elif group is not None and self._is_same_and_complete(
                group, target, now=now
            ):
                return False
        return any(self.target(other, now=now) is not None for other in others)

    def reported_load(self, candidate: Candidate, *, now: float) -> ReportedLoad | None:
        """Return the load reported by rank 0, or None without a recent report."""
        known = self._confirmations.reports_by_host.get(candidate.hosts[0])
        if known is None or now - known.requested_at > self._confirmations.max_age:
            return None
        return ReportedLoad(
            n_running=known.report.running,
            n_waiting=known.report.waiting,
            age=now - known.requested_at,
        )

    def _is_same_and_complete(
        self, group: Group, target: Target, *, now: float
    ) -> bool:
        same = group.fencing == target.fencing
        return same and self._confirmations.is_complete(group, now=now)

    def _may_serve(self, group: Group, *, now: float) -> bool:
        # A draining group finishes its running requests and is then dissolved.
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
            candidates = list(self._placed_candidates(work))
        else:
            candidates = list(self._listed_candidates(work.service))
        keys = tuple(candidate.key for candidate in candidates)
        known = self._sets_by_work.get(key)
        if known is not None and known.keys == keys:
            # A renewed lease advances the offset but changes no candidate.  The object
            # is kept, because ``ZoneTotals`` caches ranks by the id of the object.
            known.built_at = now
            known.offsets = offsets
            return known
        ordered = sorted(_with_weights(candidates), key=lambda one: one.seed)
        local_zone = self._availability_zone
        if len(self._sets_by_work) >= MAX_SETS:
            self._sets_by_work.clear()
        rebuilt = self._sets_by_work[key] = CandidateSet(
            local_zone=tuple(
                one for one in ordered if one.availability_zone == local_zone
            ),
            other_zones=tuple(
                one for one in ordered if one.availability_zone != local_zone
            ),
            names=tuple(one.name for one in ordered),
            keys=keys,
            built_at=now,
            offsets=offsets,
        )
        return rebuilt

    def _placed_candidates(self, work: ChatWork) -> Iterable[Candidate]:
        for zone, fold in self._placements_by_zone.items():
            for group in fold.groups_by_name.values():
                if group.model != work.model or group.dissolved:
                    continue
                if work.adapter and work.adapter not in group.adapter_names:
                    continue
                yield self._candidate(group.name, zone, group.members, group=group)

    def _listed_candidates(self, service: str) -> Iterable[Candidate]:
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
            seed=rendezvous_seed(name),
            n_accelerators=max(1, n_accelerators),
            group=group,
        )


def _with_weights(candidates: list[Candidate]) -> list[Candidate]:
    n_accelerators = sum(candidate.n_accelerators for candidate in candidates)
    average = n_accelerators / max(1, len(candidates))
    return [
        replace(candidate, weight=candidate.n_accelerators / average)
        for candidate in candidates
    ]
