"""Choose the backend server of each attempt."""

from __future__ import annotations

import random
from dataclasses import dataclass
from operator import attrgetter, itemgetter
from typing import TYPE_CHECKING, Protocol

from ..actions import ChatWork, Target
from .affinity import load_bound, prefix_key
from .suspects import SuspectsInFlight
from .zones import ZoneTotals

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..actions import Arrival
    from ..quarantine import Quarantine
    from .load import LoadView
    from .stragglers import Stragglers
    from .targets import Candidate, CandidateSet, Targets

__all__ = ["AffinityRouter", "Router"]

#: Number of candidates drawn at random; the least loaded usable one is chosen.
N_CHOICES = 8

#: Share of targets with queued requests above which ``crowded_slack`` applies.
QUEUEING_SHARE = 0.1

#: Seconds for which a full search that found no usable target is not repeated.
NO_TARGET_INTERVAL = 0.05


class Router(Protocol):
    """Choose the target of each attempt, and track attempts in flight."""

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Return the target of the next attempt, or None if there is none."""

    def must_wait(self, arrival: Arrival, *, now: float) -> bool:
        """Return whether a request waits for suspects of a crash or for a verdict."""

    def is_lost(self, target: Target, arrival: Arrival, *, now: float) -> bool:
        """Return whether a target can no longer answer while another target can."""

    def started(self, target: Target, *, fingerprint: str = "", now: float) -> None:
        """Record an attempt that was sent."""

    def ended(
        self, target: Target, *, failed: bool, fingerprint: str = "", now: float
    ) -> None:
        """Record an attempt that ended."""


@dataclass(slots=True, kw_only=True, frozen=True)
class _Choice:
    """Usable candidate, its target and its load divided by its weight."""

    candidate: Candidate
    target: Target
    load: float


class AffinityRouter:
    """Send prompts with a common prefix to the same target, within a load bound.

    The router chooses the first candidate in the prefix's rendezvous order whose load
    is within the bound; if there is none, the least loaded of a few usable candidates
    drawn at random.  Other zones are tried first if their load is clearly lower.

    Parameters
    ----------
    part : callable
        Return this entry host's rank among all entry hosts, and their number.  Suspects
        of a crash run in this host's part of the targets while any target in it is
        usable, so that suspects of two entry hosts are not in the same crash.
    slack, crowded_slack : float
        Ratio of the load that affinity may put on one target to the target's fair part.
        ``crowded_slack`` applies while requests are queued at more than a tenth of the
        targets: a cached prefix then saves less time than waiting in the queue costs.
    free_load : float
        Requests that every target may hold whatever its fair part is.  Engines batch
        requests, so a second request in an idle fleet need not go to a target without
        its prefix.
    overflow_factor, overflow_margin : float
        Another zone is chosen when ``local > factor * other + margin``, where ``local``
        and ``other`` are the mean requests in flight per target.
    """

    def __init__(
        self,
        *,
        targets: Targets,
        loads: LoadView,
        stragglers: Stragglers,
        quarantine: Quarantine,
        part: Callable[[], tuple[int, int]] = lambda: (0, 1),
        seed: int | None = None,
        slack: float = 1.2,
        crowded_slack: float = 1.0,
        free_load: float = 4.0,
        overflow_factor: float = 1.1,
        overflow_margin: float = 4.0,
    ) -> None:
        self._targets = targets
        self._loads = loads
        self._stragglers = stragglers
        self._quarantine = quarantine
        self._part = part
        self._random = random.Random(seed)
        self._slack = slack
        self._crowded_slack = crowded_slack
        self._free_load = free_load
        self._overflow_factor = overflow_factor
        self._overflow_margin = overflow_margin
        self._zones = ZoneTotals(targets=targets, loads=loads, generator=self._random)
        self._suspects_in_flight = SuspectsInFlight(quarantine=quarantine)

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Return the best target that was not tried, or else not tried last."""
        found = self._targets.candidates(arrival.work, now=now)
        self._zones.retain(found)
        if now < self._zones.unusable_until(found):
            return None
        self._stragglers.compare(str(id(found)), found.names, now=now)
        if self._must_not_run(arrival, now=now):
            return None
        if self._quarantine.is_suspect(arrival.fingerprint, now=now):
            return self._choose_for_suspect(arrival, found, tried=tried, now=now)
        key = prefix_key(arrival.work) if isinstance(arrival.work, ChatWork) else None
        choice = self._choose(found, key, excluded=tried, now=now)
        if choice is None and tried:
            choice = self._choose(found, key, excluded=tried[-1:], now=now)
        if choice is None:
            if not tried:
                self._zones.mark_unusable(found, until=now + NO_TARGET_INTERVAL)
            return None
        return choice.target

    def must_wait(self, arrival: Arrival, *, now: float) -> bool:
        """Return whether a request waits for suspects of a crash or for a verdict.

        A request that was in too many crashes must not run, also before the
        quarantine's verdict.  A suspect waits for a target that runs no other suspect,
        if any target is usable.
        """
        if self._must_not_run(arrival, now=now):
            return True
        if not self._quarantine.is_suspect(arrival.fingerprint, now=now):
            return False
        found = self._targets.candidates(arrival.work, now=now)
        return any(
            self._targets.target(candidate, now=now) is not None
            for candidate in self._zones.sample(found.local_zone + found.other_zones)
        )

    def _must_not_run(self, arrival: Arrival, *, now: float) -> bool:
        return self._quarantine.must_not_run(
            arrival.fingerprint, parts=arrival.shared_parts, now=now
        )

    def is_lost(self, target: Target, arrival: Arrival, *, now: float) -> bool:
        """Return whether a target's group is incomplete while another can serve."""
        return self._targets.is_lost(target, arrival, now=now)

    def started(self, target: Target, *, fingerprint: str = "", now: float) -> None:
        """Record an attempt that was sent, for loads, stragglers and suspects."""
        self._suspects_in_flight.started(target.name, fingerprint)
        self._loads.started(target.name, now=now)
        self._stragglers.started(target.name, now=now)

    def ended(
        self, target: Target, *, failed: bool, fingerprint: str = "", now: float
    ) -> None:
        """Record an attempt that ended, for loads and suspects."""
        self._suspects_in_flight.ended(target.name, fingerprint)
        self._loads.ended(target.name, now=now)

    # Choosing

    def _choose(
        self,
        found: CandidateSet,
        key: int | None,
        *,
        excluded: Sequence[str],
        now: float,
    ) -> _Choice | None:
        local_first = not self._overflows(found, now=now)
        for is_local in (local_first, not local_first):
            choice = self._choose_in_zone(
                found, key, is_local=is_local, excluded=excluded, now=now
            )
            if choice is not None:
                return choice
        return None

    def _overflows(self, found: CandidateSet, *, now: float) -> bool:
        """Return whether other zones are tried first, by load or as the only ones.

        Loads are known with a delay.  If all requests went to the other zone at once,
        that zone would be the crowded one a moment later, and the load would swing back
        and forth.  Only the share of requests that makes both loads equal goes there.
        """
        if not found.local_zone or not found.other_zones:
            return not found.local_zone
        local = self._zones.total(found, is_local=True, now=now).mean
        other = self._zones.total(found, is_local=False, now=now).mean
        if local <= self._overflow_factor * other + self._overflow_margin:
            return False
        return self._random.random() < (local - other) / (2 * local)

    def _choose_in_zone(
        self,
        found: CandidateSet,
        key: int | None,
        *,
        is_local: bool,
        excluded: Sequence[str],
        now: float,
    ) -> _Choice | None:
        candidates = found.local_zone if is_local else found.other_zones
        if not candidates:
            return None
        if key is not None:
            choice = self._choose_by_prefix(
                found, key, is_local=is_local, excluded=excluded, now=now
            )
            if choice is not None:
                return choice
        return self._choose_from_sample(candidates, excluded=excluded, now=now)

    def _choose_by_prefix(
        self,
        found: CandidateSet,
        key: int,
        *,
        is_local: bool,
        excluded: Sequence[str],
        now: float,
    ) -> _Choice | None:
        total = self._zones.total(found, is_local=is_local, now=now)
        crowded = total.queueing_share > QUEUEING_SHARE
        slack = self._crowded_slack if crowded else self._slack
        for candidate in self._zones.order(found, key, is_local=is_local):
            load = self._loads.damped_load(candidate, now=now)
            share = candidate.weight / max(candidate.weight, total.weight)
            bound = load_bound(total.damped_load + 1, share, slack=slack)
            if load + 1 > max(bound, self._free_load):
                continue
            if self._loads.is_queueing(candidate, now=now):
                continue
            if candidate.name in excluded or not self._is_preferred(candidate, now=now):
                continue
            target = self._targets.target(candidate, now=now)
            if target is not None:
                return _Choice(
                    candidate=candidate, target=target, load=load / candidate.weight
                )
        return None

    def _choose_from_sample(
        self, candidates: Sequence[Candidate], *, excluded: Sequence[str], now: float
    ) -> _Choice | None:
        drawn: list[tuple[float, int]] = []
        for _ in range(N_CHOICES):
            index = int(self._random.random() * len(candidates))
            candidate = candidates[index]
            if candidate.name in excluded or not self._is_preferred(candidate, now=now):
                continue
            load = self._loads.damped_load(candidate, now=now) / candidate.weight
            drawn.append((load, index))
        # Ties stay in the order of the draw: sorted by index, they would make all entry
        # hosts send their requests at times of low load to the same candidate.
        drawn.sort(key=itemgetter(0))
        # Checking whether a group is complete costs most, so the check starts with the
        # least loaded candidate.
        for _, index in drawn:
            choice = self._usable_choice(candidates[index], now=now)
            if choice is not None:
                return choice
        return self._choose_from_all(candidates, excluded=excluded, now=now)

    def _choose_from_all(
        self, candidates: Sequence[Candidate], *, excluded: Sequence[str], now: float
    ) -> _Choice | None:
        """Return the least loaded usable candidate; stragglers only if no other."""
        untried = [one for one in candidates if one.name not in excluded]
        preferred = [one for one in untried if self._is_preferred(one, now=now)]
        for some in (preferred, untried):
            choices = [self._usable_choice(candidate, now=now) for candidate in some]
            usable = [choice for choice in choices if choice is not None]
            if usable:
                return min(usable, key=attrgetter("load"))
        return None

    def _usable_choice(self, candidate: Candidate, *, now: float) -> _Choice | None:
        target = self._targets.target(candidate, now=now)
        if target is None:
            return None
        load = self._loads.damped_load(candidate, now=now) / candidate.weight
        return _Choice(candidate=candidate, target=target, load=load)

    def _is_preferred(self, candidate: Candidate, *, now: float) -> bool:
        name = candidate.name
        return self._stragglers.may_receive(
            name, now=now
        ) and not self._suspects_in_flight.at(name, now=now)

    # Suspects

    def _choose_for_suspect(
        self,
        arrival: Arrival,
        found: CandidateSet,
        *,
        tried: tuple[str, ...],
        now: float,
    ) -> Target | None:
        """Return the least loaded target that runs no other suspect, or None.

        If the caller sent the same suspect twice, the second request goes to the target
        of the first, so that both are in the same crash.  Without a free target the
        suspect waits.
        """
        running_at = self._suspects_in_flight.targets_of(arrival.fingerprint)
        all_usable = self._usable_for_suspects(found, now=now)
        for excluded in (tried, tried[-1:]):
            free = [
                choice
                for choice in all_usable
                if choice.candidate.name not in excluded
                and not self._suspects_in_flight.at(choice.candidate.name, now=now)
                - {arrival.fingerprint}
            ]
            if free:
                best = min(
                    free,
                    key=lambda choice: (
                        choice.candidate.name not in running_at,
                        choice.load * choice.candidate.weight,
                        self._random.random(),
                    ),
                )
                return best.target
        return None

    def _usable_for_suspects(self, found: CandidateSet, *, now: float) -> list[_Choice]:
        """Return usable candidates of this entry host's part, or else of all."""
        rank, n_hosts = self._part()
        candidates = sorted(
            found.local_zone + found.other_zones, key=attrgetter("seed")
        )
        for part in (candidates[rank::n_hosts], candidates):
            choices = [
                self._usable_choice(candidate, now=now)
                for candidate in self._zones.sample(part)
            ]
            usable = [choice for choice in choices if choice is not None]
            if usable:
                return usable
        return []
