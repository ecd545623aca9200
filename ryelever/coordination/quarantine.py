"""Find the requests that crash backend servers, and run them no more."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..errors import Category, RunState, RyeleverError
from ..state.observations import SuspicionRow

if TYPE_CHECKING:
    from ..state.observations import Observation

__all__ = ["Quarantine", "Quarantined", "is_crash", "quarantine_error"]

#: Crashes after which a fingerprint is quarantined.
MAX_CRASHES = 2

#: Seconds within which failures at one backend server belong to one crash.
CRASH_WINDOW = 3.0

#: Fingerprints kept; those with the oldest evidence go first.
MAX_SUSPECTS = 4096

#: Seconds for which peers are told that a suspect completed.
CLEARED_TOLD_FOR = 60.0

#: Share by which times to come back are spread.
SPREAD = 0.2

#: Steps of an attempt in which a broken connection means a death.
_ATTEMPT_STEPS = frozenset({"generate", "call_service"})


@dataclass(slots=True, kw_only=True, frozen=True)
class Quarantined:
    """Tell why a request is not run.

    Attributes
    ----------
    retry_after : float
        Seconds until the evidence is too old to count.
    """

    n_crashes: int
    retry_after: float


@dataclass(slots=True, kw_only=True)
class _PeerCount:
    """Hold a peer's count, and how much of it a completion here refuted."""

    n_crashes: int = 0
    n_refuted: int = 0
    observed_at: float = float("-inf")


@dataclass(slots=True, kw_only=True)
class _Suspect:
    """Hold the evidence against one fingerprint."""

    n_crashes: int = 0
    crashed_at: float = float("-inf")
    cleared_at: float = float("-inf")
    counts_by_peer: dict[str, _PeerCount] = field(default_factory=dict)

    @property
    def n_all(self) -> int:
        """Return the crashes over all entry hosts that still count."""
        return self.n_crashes + sum(
            max(0, count.n_crashes - count.n_refuted)
            for count in self.counts_by_peer.values()
        )

    @property
    def newest_at(self) -> float:
        """Return the time of the newest evidence."""
        observed = (count.observed_at for count in self.counts_by_peer.values())
        return max(self.crashed_at, *observed, float("-inf"))

    def clear(self) -> None:
        """Drop the evidence so far; peers that go on telling it add nothing."""
        self.n_crashes = 0
        for count in self.counts_by_peer.values():
            count.n_refuted = count.n_crashes


@dataclass(slots=True, kw_only=True)
class _Crash:
    """Hold one crash and whom it was counted against."""

    at: float
    counted: set[str] = field(default_factory=set)
    repeated: set[str] = field(default_factory=set)


class Quarantine:
    """Suspect what ran in crashes, and quarantine what ran in two.

    A request that crashes each backend server which runs it takes the fleet down
    one by one, since its caller and we send it again.  The operator sees groups
    die one after the other.  All that ran on a dead backend server is suspected.
    What completes is cleared, for a poisonous request never completes.

    A bystander could be near two crashes by chance.  Three things prevent this:
    suspects run apart from one another (``suspects``, used in routing); a repeated
    suspect is condemned only if it is the only repeated one of the crash, else it
    stays a suspect for another run apart; and what completed lately is let off
    once, which covers short prompts that many callers send alike.

    Parameters
    ----------
    max_age : float
        Seconds after which evidence no longer counts.
    seed : int or None
        Seed of the spread of the time to come back.
    """

    def __init__(self, *, max_age: float = 900.0, seed: int | None = None) -> None:
        self._max_age = max_age
        self._random = random.Random(seed)
        self._suspects_by_fingerprint: dict[str, _Suspect] = {}
        self._crashes_by_target: dict[str, _Crash] = {}
        self._completed_at: OrderedDict[str, float] = OrderedDict()

    def verdict(self, fingerprint: str, *, now: float) -> Quarantined | None:
        """Return why a request must not run, or None if it may."""
        suspect = self._live(fingerprint, now=now)
        if suspect is None or suspect.n_all < MAX_CRASHES:
            return None
        left = suspect.newest_at + self._max_age - now
        return Quarantined(
            n_crashes=suspect.n_all,
            retry_after=left * self._random.uniform(1.0, 1.0 + SPREAD),
        )

    def is_suspect(self, fingerprint: str, *, now: float) -> bool:
        """Tell whether a request was running in a crash and never completed."""
        return self._live(fingerprint, now=now) is not None

    def crashed(self, target: str, fingerprints: Iterable[str], *, now: float) -> None:
        """Take note of a crash and of all that was running in it.

        Each attempt that the same crash breaks off may tell of it again.
        """
        crash = self._crashes_by_target.get(target)
        if crash is None or now - crash.at > CRASH_WINDOW:
            self._forget_crashes(now=now)
            crash = self._crashes_by_target[target] = _Crash(at=now)
        fresh = set(fingerprints) - crash.counted - crash.repeated - {""}
        for fingerprint in fresh:
            if self._let_off(fingerprint, now=now):
                crash.counted.add(fingerprint)
            elif self._live(fingerprint, now=now) is not None:
                crash.repeated.add(fingerprint)
            else:
                crash.counted.add(fingerprint)
                self._add(fingerprint, now=now)
        if len(crash.repeated) == 1:
            (fingerprint,) = crash.repeated & fresh or {""}
            if fingerprint:
                self._add(fingerprint, now=now)

    def completed(self, fingerprint: str, *, now: float) -> None:
        """Clear a request that ran to its end."""
        self._completed_at[fingerprint] = now
        self._completed_at.move_to_end(fingerprint)
        if len(self._completed_at) > MAX_SUSPECTS:
            self._completed_at.popitem(last=False)
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is not None and suspect.n_all:
            suspect.clear()
            suspect.cleared_at = now

    def observations(self, *, now: float) -> list[Observation]:
        """Return what this entry host itself saw: crashes, and 0 for a completion."""
        return [
            SuspicionRow(fingerprint=fingerprint, n_crashes=suspect.n_crashes)
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if (suspect.n_crashes and now - suspect.crashed_at <= self._max_age)
            or now - suspect.cleared_at <= CLEARED_TOLD_FOR
        ]

    def observed(
        self, observation: Observation, *, peer: str, observed_at: float, now: float
    ) -> None:
        """Take a peer's count."""
        if not isinstance(observation, SuspicionRow):
            return
        if not observation.n_crashes:
            self._cleared_elsewhere(observation.fingerprint, observed_at=observed_at)
            return
        suspect = self._suspect(observation.fingerprint, now=now)
        count = suspect.counts_by_peer.setdefault(peer, _PeerCount())
        if observed_at < count.observed_at:
            return
        if observation.n_crashes < count.n_crashes:
            # The peer cleared it, and counts anew.
            count.n_refuted = 0
        if observation.n_crashes != count.n_crashes:
            count.observed_at = observed_at
        count.n_crashes = observation.n_crashes

    def describe(self, *, now: float) -> list[dict[str, object]]:
        """Return the suspects, for the dump."""
        return [
            {
                "fingerprint": fingerprint,
                "n_crashes": suspect.n_all,
                "quarantined": suspect.n_all >= MAX_CRASHES,
                "age": round(now - suspect.newest_at, 3),
            }
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if suspect.n_all
        ]

    def _cleared_elsewhere(self, fingerprint: str, *, observed_at: float) -> None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is not None and observed_at >= suspect.newest_at:
            suspect.clear()

    def _let_off(self, fingerprint: str, *, now: float) -> bool:
        completed_at = self._completed_at.pop(fingerprint, float("-inf"))
        return now - completed_at <= self._max_age

    def _add(self, fingerprint: str, *, now: float) -> None:
        suspect = self._suspect(fingerprint, now=now)
        suspect.n_crashes += 1
        suspect.crashed_at = now

    def _live(self, fingerprint: str, *, now: float) -> _Suspect | None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return None
        if now - suspect.newest_at > self._max_age:
            del self._suspects_by_fingerprint[fingerprint]
            return None
        return suspect if suspect.n_all else None

    def _suspect(self, fingerprint: str, *, now: float) -> _Suspect:
        suspects = self._suspects_by_fingerprint
        suspect = suspects.get(fingerprint)
        if suspect is None:
            if len(suspects) >= MAX_SUSPECTS:
                oldest = min(suspects, key=lambda key: suspects[key].newest_at)
                del suspects[oldest]
            suspect = suspects[fingerprint] = _Suspect()
        return suspect

    def _forget_crashes(self, *, now: float) -> None:
        for target, crash in list(self._crashes_by_target.items()):
            if now - crash.at > CRASH_WINDOW:
                del self._crashes_by_target[target]


def is_crash(error: RyeleverError, *, refused: bool) -> bool:
    """Tell whether an attempt failed because its backend server died.

    Silence is not counted: a network partition silences many backend servers at
    once and would make suspects of all that runs.
    """
    return (
        not refused
        and error.category is Category.BROKEN
        and error.code == Category.BROKEN.value
        and error.step in _ATTEMPT_STEPS
    )


def quarantine_error(
    quarantined: Quarantined, *, run_state: RunState = RunState.NOT_RUN
) -> RyeleverError:
    """Return what the caller of a quarantined request is told."""
    return RyeleverError(
        f"this request was running in {quarantined.n_crashes} crashes of backend "
        "servers and is not run again for now; change it, or come back later",
        category=Category.UNAVAILABLE,
        step="route",
        code="request_quarantined",
        run_state=run_state,
        retry_after=quarantined.retry_after,
    )
