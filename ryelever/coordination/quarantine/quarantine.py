"""Find the requests that crash backend servers, and run them no more."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import msgspec

from ...errors import Category, RunState, RyeleverError
from ...state.observations import SuspicionRow
from .evidence import Crash, PeerCount, Suspect
from .reports import NoReports

if TYPE_CHECKING:
    from ...state.observations import Observation
    from .reports import QuarantineReports

__all__ = ["Quarantine", "Quarantined", "is_crash", "quarantine_error"]

#: Crashes after which a fingerprint is quarantined.
MAX_CRASHES = 2

#: Seconds within which failures at one backend server belong to one crash.
CRASH_WINDOW = 3.0

#: The same for what a peer tells of a crash that was seen here: one that was paused
#: notices later, and a verdict waits four seconds for it.
PEER_CRASH_WINDOW = 7.0

#: Fingerprints kept; those with the oldest evidence go first.
MAX_SUSPECTS = 4096

#: Seconds for which peers are told that a suspect completed.
CLEARED_TOLD_FOR = 60.0

#: Share by which times to come back are spread.
SPREAD = 0.2

#: Steps of an attempt in which a broken connection means a death.
_ATTEMPT_STEPS = frozenset({"generate", "call_service"})


class Quarantined(msgspec.Struct, kw_only=True, frozen=True):
    """Tell why a request is not run.

    Attributes
    ----------
    retry_after : float
        Seconds until the evidence is too old to count.
    """

    n_crashes: int
    retry_after: float


class Quarantine:
    """Suspect what ran in crashes, and quarantine what ran in two.

    A request that crashes each backend server which runs it takes the fleet down
    one by one, since its caller and we send it again.  The operator sees groups
    die one after the other.  All that ran on a dead backend server is suspected.
    What completes is cleared, for a poisonous request never completes.

    A bystander could be near two crashes by chance.  Three things prevent this:
    suspects run apart from one another (``is_suspect``, used in routing); a repeated
    suspect is condemned only if it is the only repeated one of the crash, else it
    stays a suspect for another run apart; and what completed lately is let off
    once, which covers short prompts that many callers send alike.

    What got past the place where its first crash broke it off does not count beside
    one that did not.  Once a request is condemned, the crashes that it was in are
    explained, and what else ran in them is no suspect any more.

    Parameters
    ----------
    max_age : float
        Seconds after which evidence no longer counts.
    settle : float
        Least seconds after a second crash until its verdict.  Meanwhile peers learn of
        the suspect before its caller can ask them, and tell of others in the same
        crash.
    peers_reported_since : callable or None
        Tell whether each living peer has told all that it had seen at some monotonic
        time; None where there are no peers.
    seed : int or None
        Seed of the spread of the time to come back.
    reports : QuarantineReports or None
        Takes evidence and verdicts; None drops them.
    """

    def __init__(
        self,
        *,
        max_age: float = 900.0,
        settle: float = 0.0,
        peers_reported_since: Callable[[float], bool] | None = None,
        seed: int | None = None,
        reports: QuarantineReports | None = None,
    ) -> None:
        self._max_age = max_age
        self._settle = settle
        self._peers_reported_since = peers_reported_since
        self._reports = reports if reports is not None else NoReports()
        self._random = random.Random(seed)
        self._suspects_by_fingerprint: dict[str, Suspect] = {}
        self._crashes_by_target: dict[str, Crash] = {}
        # Fingerprints whose verdict was asked for and can't be given yet.
        self._awaited: set[str] = set()
        self._completed_at: OrderedDict[str, float] = OrderedDict()

    def verdict(self, fingerprint: str, *, now: float) -> Quarantined | None:
        """Return why a request must not run, or None if it may."""
        suspect = self._live(fingerprint, now=now)
        if suspect is None or suspect.n_all < MAX_CRASHES:
            return None
        if not self._has_settled(suspect, now=now):
            self._awaited.add(fingerprint)
            return None
        self._awaited.discard(fingerprint)
        left = suspect.newest_at + self._max_age - now
        if not suspect.is_reported:
            suspect.is_reported = True
            self._reports.condemned(
                fingerprint, n_crashes=suspect.n_all, after=now - suspect.newest_at
            )
        return Quarantined(
            n_crashes=suspect.n_all,
            retry_after=left * self._random.uniform(1.0, 1.0 + SPREAD),
        )

    def _has_settled(self, suspect: Suspect, *, now: float) -> bool:
        """Tell whether the evidence is all that the living hosts of the zone have.

        A host that is slow to tell may have seen another suspect in the same crash.
        """
        if now - suspect.newest_at < self._settle:
            return False
        heard_since = self._peers_reported_since
        return heard_since is None or heard_since(suspect.newest_at)

    def unsettled_since(self, *, now: float) -> float | None:
        """Return the time of the newest evidence that a verdict waits for, or None."""
        suspects = [self._live(item, now=now) for item in self._awaited]
        waiting = {
            suspect.fingerprint: suspect.newest_at
            for suspect in suspects
            if suspect is not None and suspect.n_all >= MAX_CRASHES
        }
        self._awaited &= waiting.keys()
        return max(waiting.values(), default=None)

    def is_held(self, fingerprint: str, *, now: float) -> bool:
        """Tell whether a request waits for its verdict, and must not run."""
        suspect = self._live(fingerprint, now=now)
        return suspect is not None and suspect.n_all >= MAX_CRASHES

    @property
    def has_suspects(self) -> bool:
        """Tell whether there is anybody to keep apart; cheap, for each choice."""
        return bool(self._suspects_by_fingerprint)

    def is_suspect(self, fingerprint: str, *, now: float) -> bool:
        """Tell whether a request may be the cause of a crash that it was in."""
        suspect = self._live(fingerprint, now=now)
        return suspect is not None and not suspect.proved

    def crashed(self, target: str, fingerprints: Iterable[str], *, now: float) -> None:
        """Take note of a crash and of all that was running in it.

        Each attempt that the same crash breaks off may tell of it again.
        """
        crash = self._crash(target, now=now)
        fresh = set(fingerprints) - crash.counted - crash.repeated - {""}
        for fingerprint in fresh:
            if self._let_off(fingerprint, now=now):
                crash.counted.add(fingerprint)
            elif (suspect := self._earlier(fingerprint, crash, now=now)) is not None:
                suspect.repeated_in = crash
                crash.repeated.add(fingerprint)
                if suspect.proved:
                    crash.proved.add(fingerprint)
                suspect.proved = False
            else:
                crash.counted.add(fingerprint)
                self._add(fingerprint, crash, now=now)
        if crash.only_repeated in fresh:
            self._condemn(crash.only_repeated, crash, now=now)
        else:
            self._withdraw(crash)
        if fresh:
            self._reports.crash_noted(crash)

    def proved(self, fingerprint: str, *, now: float) -> None:
        """Let others run beside a suspect that got past the place of its crash.

        Were suspects kept apart until they complete, a dead group's long streams
        would wait for one another for minutes.
        """
        suspect = self._live(fingerprint, now=now)
        if suspect is not None:
            suspect.proved = True

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
            suspect.row()
            for suspect in self._suspects_by_fingerprint.values()
            if (suspect.n_crashes and now - suspect.crashed_at <= self._max_age)
            or now - suspect.cleared_at <= CLEARED_TOLD_FOR
        ]

    def changes(self, *, since: float) -> list[SuspicionRow]:
        """Return what this entry host saw of late, the newest first."""
        suspects = [
            suspect
            for suspect in self._suspects_by_fingerprint.values()
            if suspect.changed_at >= since
        ]
        suspects.sort(key=lambda suspect: -suspect.changed_at)
        return [suspect.row() for suspect in suspects]

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
        count = suspect.counts_by_peer.setdefault(peer, PeerCount())
        if observed_at < count.observed_at:
            return
        if observation.n_crashes < count.n_crashes:
            # The peer cleared it, and counts anew.
            count.n_refuted = 0
        changed = observation.n_crashes != count.n_crashes
        if changed:
            count.observed_at = observed_at
        if observation != count.row:
            count.row = observation
            self._reports.suspicion_received(observation, peer=peer)
        count.n_crashes = observation.n_crashes
        known = count.crash.key if count.crash is not None else ""
        if observation.crash and (changed or observation.crash != known):
            self._join(observation, count, now=now)

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

    def _join(self, observation: SuspicionRow, count: PeerCount, *, now: float) -> None:
        """Put a peer's view of a crash beside the own one.

        Two entry hosts that each see one suspect in a crash would else condemn both.
        """
        crash = count.crash
        if crash is None or crash.key != observation.crash:
            crash = count.crash = self._crash(
                observation.crash, window=PEER_CRASH_WINDOW, now=now
            )
        if observation.repeated:
            crash.repeated.add(observation.fingerprint)
            if observation.proved:
                # Else a bystander that a peer saw run on would stand beside the
                # poison as a second possible cause, and neither be condemned.
                crash.proved.add(observation.fingerprint)
            self._withdraw(crash)

    def _withdraw(self, crash: Crash) -> None:
        """Take back that a request explains its crashes, if others may as well."""
        culprit = crash.culprit
        if not culprit or crash.only_repeated == culprit:
            return
        if (
            culprit not in crash.repeated
            or culprit not in self._suspects_by_fingerprint
        ):
            return
        for explained in self._suspects_by_fingerprint[culprit].crashes:
            explained.culprit = ""

    def _cleared_elsewhere(self, fingerprint: str, *, observed_at: float) -> None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is not None and observed_at >= suspect.newest_at:
            suspect.clear()

    def _let_off(self, fingerprint: str, *, now: float) -> bool:
        completed_at = self._completed_at.pop(fingerprint, float("-inf"))
        return now - completed_at <= self._max_age

    def _condemn(self, fingerprint: str, crash: Crash, *, now: float) -> None:
        """Count a second crash; what else ran in either is no suspect any more."""
        suspect = self._add(fingerprint, crash, now=now)
        if suspect.n_all >= MAX_CRASHES:
            for explained in suspect.crashes:
                explained.culprit = fingerprint

    def _add(self, fingerprint: str, crash: Crash, *, now: float) -> Suspect:
        suspect = self._suspect(fingerprint, now=now)
        suspect.crashes.append(crash)
        suspect.crashed_at = now
        return suspect

    def _earlier(self, fingerprint: str, crash: Crash, *, now: float) -> Suspect | None:
        """Return a request that was a suspect before a crash."""
        suspect = self._live(fingerprint, now=now)
        return suspect if suspect is not None and suspect.n_besides(crash) else None

    def _live(self, fingerprint: str, *, now: float) -> Suspect | None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return None
        if now - suspect.newest_at > self._max_age:
            del self._suspects_by_fingerprint[fingerprint]
            return None
        return suspect if suspect.n_all else None

    def _suspect(self, fingerprint: str, *, now: float) -> Suspect:
        suspects = self._suspects_by_fingerprint
        suspect = suspects.get(fingerprint)
        if suspect is None:
            if len(suspects) >= MAX_SUSPECTS:
                oldest = min(suspects, key=lambda key: suspects[key].newest_at)
                del suspects[oldest]
            suspect = suspects[fingerprint] = Suspect(fingerprint=fingerprint)
        return suspect

    def _crash(self, key: str, *, window: float = CRASH_WINDOW, now: float) -> Crash:
        crash = self._crashes_by_target.get(key)
        if crash is None or now - crash.at > window:
            self._forget_crashes(now=now)
            crash = self._crashes_by_target[key] = Crash(at=now, key=key)
        return crash

    def _forget_crashes(self, *, now: float) -> None:
        for target, crash in list(self._crashes_by_target.items()):
            if now - crash.at > PEER_CRASH_WINDOW:
                del self._crashes_by_target[target]


def is_crash(error: RyeleverError, *, refused: bool) -> bool:
    """Tell whether an attempt failed because its backend server died.

    Silence is not counted: a network partition silences many backend servers at
    once and would make suspects of all that runs.
    """
    if refused or error.code != error.category.value:
        return False
    if error.category is Category.UNAVAILABLE:
        # A kept connection broke under the request, which had left, and the new one
        # that was opened in its place was refused: nobody listens any more.  Only a
        # service that lives and answers 502 or 503 is told in the same words.
        return error.step == "generate"
    return error.category is Category.BROKEN and error.step in _ATTEMPT_STEPS


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
