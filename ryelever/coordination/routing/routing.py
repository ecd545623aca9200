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

#: Candidates drawn at random, of which the least loaded usable one is taken.
N_CHOICES = 8

#: Part of the targets with waiting requests from which on balance goes first.
CROWDED_SHARE = 0.1

#: Seconds for which a full look that found nothing usable is believed.
NOTHING_INTERVAL = 0.05


class Router(Protocol):
    """Choose targets and learn from how attempts end."""

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Return the target of the next attempt, or None if there is none."""

    def must_wait_for_suspects(self, arrival: Arrival, *, now: float) -> bool:
        """Tell whether only other suspects of a crash keep a request from running."""

    def is_lost(self, target: Target, arrival: Arrival, *, now: float) -> bool:
        """Tell whether a target can answer no more and another one can."""

    def started(self, target: Target, *, fingerprint: str = "", now: float) -> None:
        """Take note of an attempt that was sent."""

    def ended(
        self, target: Target, *, failed: bool, fingerprint: str = "", now: float
    ) -> None:
        """Take note of an attempt that ended."""


@dataclass(slots=True, kw_only=True, frozen=True)
class _Choice:
    """Hold a usable candidate; ``load`` is what an average one would hold."""

    candidate: Candidate
    target: Target
    load: float


class AffinityRouter:
    """Keep prompts with a common prefix together, within a bound on load.

    The order of looking: the first places of the prefix in rendezvous order whose
    load is within the bound; else the least loaded of a few usable ones drawn at
    random.  Another zone is looked at first when it is clearly less loaded.

    Parameters
    ----------
    part : callable
        Return this entry host's place among all of them, and their number.  Its
        suspects run in its part of the targets while any of it is usable, so that
        those of two entry hosts do not meet in one crash.
    slack, crowded_slack : float
        Times the fair part of the load that affinity may put on one target; the
        second while requests wait at more than a tenth of the targets, when a
        cached prefix saves less than the place in the queue costs.
    free_load : float
        Requests that every target may hold whatever its fair part is: engines
        batch, so a second request in an idle fleet need not leave its prefix.
    overflow_factor, overflow_margin : float
        Another zone is chosen when ``own > factor * other + margin``, in requests
        in flight at a target.
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
        self._suspects = SuspectsInFlight(quarantine=quarantine)

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Return the best target that was not tried, or at least not just now."""
        found = self._targets.candidates(arrival.work, now=now)
        self._zones.remember(found)
        if now < self._zones.nothing_until(found):
            return None
        self._stragglers.compare(str(id(found)), found.names, now=now)
        if self._quarantine.is_held(arrival.fingerprint, now=now):
            return None
        if self._quarantine.is_suspect(arrival.fingerprint, now=now):
            return self._apart(arrival, found, tried=tried, now=now)
        key = prefix_key(arrival.work) if isinstance(arrival.work, ChatWork) else None
        choice = self._best(found, key, excluded=tried, now=now)
        if choice is None and tried:
            choice = self._best(found, key, excluded=tried[-1:], now=now)
        if choice is None:
            if not tried:
                self._zones.found_nothing(found, until=now + NOTHING_INTERVAL)
            return None
        return choice.target

    def must_wait_for_suspects(self, arrival: Arrival, *, now: float) -> bool:
        """Tell whether something could serve a suspect, were there no others."""
        if self._quarantine.is_held(arrival.fingerprint, now=now):
            return True
        if not self._quarantine.is_suspect(arrival.fingerprint, now=now):
            return False
        found = self._targets.candidates(arrival.work, now=now)
        return any(
            self._targets.target(candidate, now=now) is not None
            for candidate in self._zones.sample(found.own_zone + found.other_zones)
        )

    def is_lost(self, target: Target, arrival: Arrival, *, now: float) -> bool:
        """Tell whether its group is no longer whole and another one is."""
        return self._targets.is_lost(target, arrival, now=now)

    def started(self, target: Target, *, fingerprint: str = "", now: float) -> None:
        """Count the attempt."""
        self._suspects.started(target.name, fingerprint)
        self._loads.started(target.name, now=now)
        self._stragglers.started(target.name, now=now)

    def ended(
        self, target: Target, *, failed: bool, fingerprint: str = "", now: float
    ) -> None:
        """Count the attempt no more."""
        self._suspects.ended(target.name, fingerprint)
        self._loads.ended(target.name, now=now)

    # Choosing

    def _best(
        self,
        found: CandidateSet,
        key: int | None,
        *,
        excluded: Sequence[str],
        now: float,
    ) -> _Choice | None:
        own_first = not self._overflows(found, now=now)
        for is_own in (own_first, not own_first):
            choice = self._in_zone(
                found, key, is_own=is_own, excluded=excluded, now=now
            )
            if choice is not None:
                return choice
        return None

    def _overflows(self, found: CandidateSet, *, now: float) -> bool:
        """Tell whether this request leaves its zone.

        Loads are known late.  Were all requests to leave at once, the other zone
        would be the crowded one a moment later, and so to and fro; so only the part
        leaves that would make the two equal.
        """
        if not found.own_zone or not found.other_zones:
            return not found.own_zone
        own = self._zones.total(found, is_own=True, now=now).mean
        other = self._zones.total(found, is_own=False, now=now).mean
        if own <= self._overflow_factor * other + self._overflow_margin:
            return False
        return self._random.random() < (own - other) / (2 * own)

    def _in_zone(
        self,
        found: CandidateSet,
        key: int | None,
        *,
        is_own: bool,
        excluded: Sequence[str],
        now: float,
    ) -> _Choice | None:
        candidates = found.own_zone if is_own else found.other_zones
        if not candidates:
            return None
        if key is not None:
            choice = self._affine(found, key, is_own=is_own, excluded=excluded, now=now)
            if choice is not None:
                return choice
        return self._of_few(candidates, excluded=excluded, now=now)

    def _affine(
        self,
        found: CandidateSet,
        key: int,
        *,
        is_own: bool,
        excluded: Sequence[str],
        now: float,
    ) -> _Choice | None:
        total = self._zones.total(found, is_own=is_own, now=now)
        crowded = total.queueing_share > CROWDED_SHARE
        slack = self._crowded_slack if crowded else self._slack
        for candidate in self._zones.order(found, key, is_own=is_own):
            load = self._loads.damped(candidate, now=now)
            share = candidate.weight / max(candidate.weight, total.weight)
            bound = load_bound(total.damped + 1, share, slack=slack)
            if load + 1 > max(bound, self._free_load):
                continue
            if self._loads.is_queueing(candidate, now=now):
                continue
            if candidate.name in excluded or not self._preferred(candidate, now=now):
                continue
            target = self._targets.target(candidate, now=now)
            if target is not None:
                return _Choice(
                    candidate=candidate, target=target, load=load / candidate.weight
                )
        return None

    def _of_few(
        self, candidates: Sequence[Candidate], *, excluded: Sequence[str], now: float
    ) -> _Choice | None:
        drawn: list[tuple[float, int]] = []
        for _ in range(N_CHOICES):
            index = int(self._random.random() * len(candidates))
            candidate = candidates[index]
            if candidate.name in excluded or not self._preferred(candidate, now=now):
                continue
            load = self._loads.damped(candidate, now=now) / candidate.weight
            drawn.append((load, index))
        # Ties stay in the order of the draw: sorted by place, they would send what
        # all entry hosts get in a quiet moment to the same one.
        drawn.sort(key=itemgetter(0))
        # To judge wholeness costs most, so it is asked from the least loaded on.
        for _, index in drawn:
            choice = self._usable(candidates[index], now=now)
            if choice is not None:
                return choice
        return self._of_all(candidates, excluded=excluded, now=now)

    def _of_all(
        self, candidates: Sequence[Candidate], *, excluded: Sequence[str], now: float
    ) -> _Choice | None:
        """Return the least loaded of all, and a straggler rather than nothing."""
        untried = [one for one in candidates if one.name not in excluded]
        preferred = [one for one in untried if self._preferred(one, now=now)]
        for some in (preferred, untried):
            choices = [self._usable(candidate, now=now) for candidate in some]
            usable = [choice for choice in choices if choice is not None]
            if usable:
                return min(usable, key=attrgetter("load"))
        return None

    def _usable(self, candidate: Candidate, *, now: float) -> _Choice | None:
        target = self._targets.target(candidate, now=now)
        if target is None:
            return None
        load = self._loads.damped(candidate, now=now) / candidate.weight
        return _Choice(candidate=candidate, target=target, load=load)

    def _preferred(self, candidate: Candidate, *, now: float) -> bool:
        name = candidate.name
        return self._stragglers.may_take(name, now=now) and not self._suspects.at(
            name, now=now
        )

    # Suspects

    def _apart(
        self,
        arrival: Arrival,
        found: CandidateSet,
        *,
        tried: tuple[str, ...],
        now: float,
    ) -> Target | None:
        """Place a suspect at the emptiest target that runs no other suspect.

        A second sending of a suspect goes where the first one runs, so that one
        crash takes both.  Without a free target it waits for its turn.
        """
        running_at = self._suspects.targets_of(arrival.fingerprint)
        all_usable = self._usable_for_suspects(found, now=now)
        for excluded in (tried, tried[-1:]):
            free = [
                choice
                for choice in all_usable
                if choice.candidate.name not in excluded
                and not self._suspects.at(choice.candidate.name, now=now)
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
        """Return the usable ones of the own part, or of all if there is none."""
        rank, n_hosts = self._part()
        candidates = sorted(found.own_zone + found.other_zones, key=attrgetter("seed"))
        for part in (candidates[rank::n_hosts], candidates):
            choices = [
                self._usable(candidate, now=now)
                for candidate in self._zones.sample(part)
            ]
            usable = [choice for choice in choices if choice is not None]
            if usable:
                return usable
        return []
