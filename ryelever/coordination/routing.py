"""Choose the backend server of each attempt."""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from .actions import ChatWork, Target
from .affinity import load_bound, prefix_key, ranked

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from .actions import Arrival
    from .quarantine import Quarantine
    from .routing_load import LoadView
    from .stragglers import Stragglers
    from .targets import Candidate, CandidateSet, Targets

__all__ = ["AffinityRouter", "LeastInFlightRouter", "Router"]

#: Places in the rendezvous order that are tried before balance goes first.
N_RANKED = 4

#: Candidates drawn at random until two usable ones are found.
MAX_DRAWS = 8

#: Candidates that the total load is estimated from.
MAX_SAMPLE = 64

#: Seconds for which an estimate of the total load is kept.
TOTAL_INTERVAL = 0.25

#: Prefixes whose rendezvous order is kept.
MAX_ORDERS = 8192

#: Seconds for which a full look that found nothing usable is believed.
NOTHING_INTERVAL = 0.05


class Router(Protocol):
    """Choose targets and learn from how attempts end."""

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Return the target of the next attempt, or None if there is none."""

    def started(self, target: Target, *, now: float) -> None:
        """Take note of an attempt that was sent."""

    def ended(self, target: Target, *, failed: bool, now: float) -> None:
        """Take note of an attempt that ended."""


class LeastInFlightRouter:
    """Send each attempt to the target with the fewest own attempts in flight.

    The baseline that ``AffinityRouter`` is measured against.

    Parameters
    ----------
    targets : callable
        Return the targets that may serve a work at a time: only groups that are
        confirmed whole, and live hosts of a service.
    """

    def __init__(
        self,
        *,
        targets: Callable[[Arrival, float], list[Target]],
    ) -> None:
        self._targets = targets
        self._n_in_flight_by_name: dict[str, int] = {}

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Prefer targets that were not tried, then the least loaded one."""
        targets = self._targets(arrival, now)
        untried = [target for target in targets if target.name not in tried]
        if not untried and isinstance(arrival.work, ChatWork) and tried:
            untried = [target for target in targets if target.name != tried[-1]]
        if not untried:
            return None
        return min(
            untried, key=lambda target: self._n_in_flight_by_name.get(target.name, 0)
        )

    def started(self, target: Target, *, now: float) -> None:
        """Count the attempt."""
        n_in_flight = self._n_in_flight_by_name.get(target.name, 0)
        self._n_in_flight_by_name[target.name] = n_in_flight + 1

    def ended(self, target: Target, *, failed: bool, now: float) -> None:
        """Count the attempt no more."""
        self._n_in_flight_by_name[target.name] -= 1
        if not self._n_in_flight_by_name[target.name]:
            del self._n_in_flight_by_name[target.name]


@dataclass(slots=True, kw_only=True, frozen=True)
class _Choice:
    """Hold a usable candidate; ``load`` is what an average one would hold."""

    candidate: Candidate
    target: Target
    load: float


@dataclass(slots=True, kw_only=True)
class _Total:
    """Hold the estimated load of one zone's usable candidates."""

    load: float
    weight: float
    estimated_at: float


class AffinityRouter:
    """Keep prompts with a common prefix together, within a bound on load.

    The order of looking: the first places of the prefix in rendezvous order whose
    load is within the bound; else the better of two usable ones drawn at random,
    which needs no exact load and starts no stampede towards the one that looked
    empty a moment ago; another zone when it is clearly less loaded.

    Parameters
    ----------
    slack : float
        Times the fair part of the load that affinity may put on one target.
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
        seed: int | None = None,
        slack: float = 1.25,
        free_load: float = 4.0,
        overflow_factor: float = 1.5,
        overflow_margin: float = 8.0,
    ) -> None:
        self._targets = targets
        self._loads = loads
        self._stragglers = stragglers
        self._quarantine = quarantine
        self._random = random.Random(seed)
        self._slack = slack
        self._free_load = free_load
        self._overflow_factor = overflow_factor
        self._overflow_margin = overflow_margin
        self._orders: OrderedDict[tuple[int, int, bool], list[Candidate]] = (
            OrderedDict()
        )
        self._sets_by_id: dict[int, CandidateSet] = {}
        self._totals_by_set: dict[tuple[int, bool], _Total] = {}
        self._nothing_until_by_set: dict[int, float] = {}
        self._suspects_by_target: dict[str, dict[str, float]] = {}

    def choose(
        self, arrival: Arrival, *, tried: tuple[str, ...], now: float
    ) -> Target | None:
        """Return the best target that was not tried, or at least not just now."""
        found = self._targets.candidates(arrival.work, now=now)
        self._remember(found)
        if now < self._nothing_until_by_set.get(id(found), float("-inf")):
            return None
        self._compare_siblings(found, now=now)
        if self._quarantine.is_suspect(arrival.fingerprint, now=now):
            return self._apart(arrival, found, tried=tried, now=now)
        key = prefix_key(arrival.work) if isinstance(arrival.work, ChatWork) else None
        choice = self._best(found, key, excluded=tried, now=now)
        if choice is None and tried:
            choice = self._best(found, key, excluded=tried[-1:], now=now)
        if choice is None:
            if not tried:
                self._nothing_until_by_set[id(found)] = now + NOTHING_INTERVAL
            return None
        return choice.target

    def started(self, target: Target, *, now: float) -> None:
        """Count the attempt."""
        self._loads.started(target.name, now=now)
        self._stragglers.started(target.name, now=now)

    def ended(self, target: Target, *, failed: bool, now: float) -> None:
        """Count the attempt no more."""
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
        own = self._in_zone(found, key, is_own=True, excluded=excluded, now=now)
        if own is not None and own.load <= self._overflow_margin:
            return own
        other = self._in_zone(found, key, is_own=False, excluded=excluded, now=now)
        if own is None or other is None:
            return own or other
        limit = self._overflow_factor * other.load + self._overflow_margin
        return other if own.load > limit else own

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
        return self._of_two(candidates, excluded=excluded, now=now)

    def _affine(
        self,
        found: CandidateSet,
        key: int,
        *,
        is_own: bool,
        excluded: Sequence[str],
        now: float,
    ) -> _Choice | None:
        total = self._total(found, is_own=is_own, now=now)
        for candidate in self._order(found, key, is_own=is_own):
            load = self._loads.estimate(candidate, now=now)
            share = candidate.weight / max(candidate.weight, total.weight)
            bound = load_bound(total.load + 1, share, slack=self._slack)
            if load + 1 > max(bound, self._free_load):
                continue
            if candidate.name in excluded or not self._preferred(candidate, now=now):
                continue
            target = self._targets.target(candidate, now=now)
            if target is not None:
                return _Choice(
                    candidate=candidate, target=target, load=load / candidate.weight
                )
        return None

    def _of_two(
        self, candidates: Sequence[Candidate], *, excluded: Sequence[str], now: float
    ) -> _Choice | None:
        drawn: list[_Choice] = []
        for _ in range(MAX_DRAWS):
            candidate = candidates[int(self._random.random() * len(candidates))]
            if candidate.name in excluded or not self._preferred(candidate, now=now):
                continue
            choice = self._usable(candidate, now=now)
            if choice is not None:
                drawn.append(choice)
                if len(drawn) == 2:
                    break
        if drawn:
            return min(drawn, key=_load_of)
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
                return min(usable, key=_load_of)
        return None

    def _usable(self, candidate: Candidate, *, now: float) -> _Choice | None:
        target = self._targets.target(candidate, now=now)
        if target is None:
            return None
        load = self._loads.estimate(candidate, now=now) / candidate.weight
        return _Choice(candidate=candidate, target=target, load=load)

    def _preferred(self, candidate: Candidate, *, now: float) -> bool:
        name = candidate.name
        return self._stragglers.may_take(name, now=now) and not self._n_suspects(
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
        """Place a suspect where the fewest others would die with it.

        Away from other suspects first: of two suspects in one crash nobody could
        tell which of them caused it.
        """
        for excluded in (tried, tried[-1:]):
            usable = [
                choice
                for candidate in self._sample(found.own_zone + found.other_zones)
                if candidate.name not in excluded
                and (choice := self._usable(candidate, now=now)) is not None
            ]
            if usable:
                best = min(
                    usable,
                    key=lambda choice: (
                        self._n_suspects(choice.candidate.name, now=now),
                        choice.load * choice.candidate.weight,
                        self._random.random(),
                    ),
                )
                here = self._suspects_by_target.setdefault(best.candidate.name, {})
                here[arrival.fingerprint] = arrival.deadline
                return best.target
        return None

    def _n_suspects(self, name: str, *, now: float) -> int:
        here = self._suspects_by_target.get(name)
        if here is None:
            return 0
        for fingerprint, deadline in list(here.items()):
            cleared = not self._quarantine.is_suspect(fingerprint, now=now)
            if cleared or now >= deadline:
                del here[fingerprint]
        if not here:
            del self._suspects_by_target[name]
        return len(here)

    # What is kept for each list of candidates

    def _remember(self, found: CandidateSet) -> None:
        """Hold on to a list, so that its id stays its own, and drop old ones."""
        if id(found) in self._sets_by_id:
            return
        if len(self._sets_by_id) >= MAX_SAMPLE:
            self._sets_by_id.clear()
            self._orders.clear()
            self._totals_by_set.clear()
            self._nothing_until_by_set.clear()
        self._sets_by_id[id(found)] = found

    def _order(self, found: CandidateSet, key: int, *, is_own: bool) -> list[Candidate]:
        known = self._orders.get((id(found), key, is_own))
        if known is not None:
            return known
        candidates = found.own_zone if is_own else found.other_zones
        if len(self._orders) >= MAX_ORDERS:
            self._orders.popitem(last=False)
        order = ranked(key, candidates, n=N_RANKED)
        self._orders[id(found), key, is_own] = order
        return order

    def _total(self, found: CandidateSet, *, is_own: bool, now: float) -> _Total:
        known = self._totals_by_set.get((id(found), is_own))
        if known is not None and now - known.estimated_at < TOTAL_INTERVAL:
            return known
        candidates = found.own_zone if is_own else found.other_zones
        usable = [
            candidate
            for candidate in self._sample(candidates)
            if self._targets.target(candidate, now=now) is not None
        ]
        load = sum(self._loads.estimate(candidate, now=now) for candidate in usable)
        total = _Total(
            load=load,
            weight=sum(candidate.weight for candidate in usable),
            estimated_at=now,
        )
        self._totals_by_set[id(found), is_own] = total
        return total

    def _sample(self, candidates: Sequence[Candidate]) -> Iterable[Candidate]:
        if len(candidates) <= MAX_SAMPLE:
            return candidates
        return self._random.sample(candidates, MAX_SAMPLE)

    def _compare_siblings(self, found: CandidateSet, *, now: float) -> None:
        self._stragglers.compare(str(id(found)), found.names, now=now)


def _load_of(choice: _Choice) -> float:
    return choice.load
