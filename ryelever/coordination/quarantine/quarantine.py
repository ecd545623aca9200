"""Find the requests that crash backend servers, and refuse to run them again."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from ...errors import Category, RunState, RyeleverError
from ...state.observations import SuspicionRow
from .evidence import Crash, PeerCount, Suspect
from .part_quarantine import PartQuarantine
from .quarantined import Quarantined
from .reports import NoReports

if TYPE_CHECKING:
    from ...state.observations import Observation
    from .reports import QuarantineReports

__all__ = ["Quarantine", "is_crash", "quarantine_error"]

#: Crashes after which a fingerprint is quarantined.
MAX_CRASHES = 2

#: Seconds within which failures at one backend server belong to one crash.
CRASH_WINDOW = 3.0

#: The same for a peer's report of a crash that this host has observed: a peer that was
#: paused notices the crash later, and a verdict waits four seconds for the report.
PEER_CRASH_WINDOW = 7.0

#: Maximum number of suspects; the one with the oldest evidence is dropped first.
MAX_SUSPECTS = 4096

#: Seconds for which the completion of a suspect is announced to peers.
CLEARED_ANNOUNCED_FOR = 60.0

#: Maximum fraction by which a retry time is randomly extended.
SPREAD = 0.2

#: Steps of an attempt in which a broken connection means that the backend server died.
_ATTEMPT_STEPS = frozenset({"generate", "call_service"})


class Quarantine:
    """Suspect requests that ran in a crash, and quarantine those with two crashes.

    A request that crashes each backend server which runs it takes the fleet down
    one by one, since its caller and the entry host send it again.  The operator sees
    groups die one after the other.  All requests that ran on a dead backend server are
    suspects.  A request that completes is cleared, since a poison request never
    completes.

    A bystander may run in two crashes by chance.  Three rules keep it from being
    condemned, that is, held to be the cause and quarantined: suspects run apart from
    one another (``is_suspect``, used in routing); a repeated suspect is condemned only
    if it is the only repeated suspect of the crash, else it stays a suspect for another
    run apart; and a request that completed recently is excused from one crash, which
    covers identical short prompts of many callers.

    Repeated suspects that ran past the position at which their first crash interrupted
    them are not considered if another repeated suspect did not run that far.  Once a
    request is condemned, it explains the crashes in which it ran, and the other
    requests in them are no suspects any more.

    Parameters
    ----------
    max_age : float
        Seconds after which evidence no longer counts.
    settle : float
        Minimum seconds between a second crash and its verdict.  In this time peers
        receive the suspicion, before the caller can send the request to them, and
        report other suspects in the same crash.
    peers_reported_since : callable or None
        Return whether each live peer has reported everything that it had observed by a
        given monotonic time; None if there are no peers.
    seed : int or None
        Seed of the random extension of retry times.
    reports : QuarantineReports or None
        Receiver of evidence and verdicts; None discards them.
    parts : PartQuarantine or None
        Judges the parts that prompts share; None for one without peers.
    """

    def __init__(
        self,
        *,
        max_age: float = 900.0,
        settle: float = 0.0,
        peers_reported_since: Callable[[float], bool] | None = None,
        seed: int | None = None,
        reports: QuarantineReports | None = None,
        parts: PartQuarantine | None = None,
    ) -> None:
        self._max_age = max_age
        self._settle = settle
        self._peers_reported_since = peers_reported_since
        self._reports = reports if reports is not None else NoReports()
        self._random = random.Random(seed)
        self._parts = parts if parts is not None else PartQuarantine(seed=seed)
        self._suspects_by_fingerprint: dict[str, Suspect] = {}
        self._crashes_by_target: dict[str, Crash] = {}
        # Fingerprints whose verdict was requested but has not settled yet.
        self._awaiting_verdict: set[str] = set()
        self._completed_at: OrderedDict[str, float] = OrderedDict()

    def verdict(
        self, fingerprint: str, *, parts: tuple[str, ...] = (), now: float
    ) -> Quarantined | None:
        """Return the reason why a request must not run, or None without a verdict.

        Parameters
        ----------
        parts : tuple of str
            Parts of its prompt that other requests may share.
        """
        return self._own_verdict(fingerprint, now=now) or self._parts.verdict(
            fingerprint, parts, now=now
        )

    def _own_verdict(self, fingerprint: str, *, now: float) -> Quarantined | None:
        """Return the verdict on the whole request."""
        suspect = self._active_suspect(fingerprint, now=now)
        if suspect is None or suspect.n_total_crashes < MAX_CRASHES:
            return None
        if not self._has_settled(suspect, now=now):
            self._awaiting_verdict.add(fingerprint)
            return None
        self._awaiting_verdict.discard(fingerprint)
        remaining = suspect.newest_at + self._max_age - now
        if not suspect.is_reported:
            suspect.is_reported = True
            self._reports.condemned(
                fingerprint,
                n_crashes=suspect.n_total_crashes,
                after=now - suspect.newest_at,
            )
        return Quarantined(
            n_crashes=suspect.n_total_crashes,
            retry_after=remaining * self._random.uniform(1.0, 1.0 + SPREAD),
        )

    def _has_settled(self, suspect: Suspect, *, now: float) -> bool:
        """Return whether all live hosts of the zone have reported their evidence.

        A host that reports late may have observed another suspect in the same crash.
        """
        if now - suspect.newest_at < self._settle:
            return False
        reported_since = self._peers_reported_since
        return reported_since is None or reported_since(suspect.newest_at)

    def unsettled_since(self, *, now: float) -> float | None:
        """Return the time of the newest evidence that a verdict waits for, or None."""
        suspects = [
            self._active_suspect(item, now=now) for item in self._awaiting_verdict
        ]
        waiting = {
            suspect.fingerprint: suspect.newest_at
            for suspect in suspects
            if suspect is not None and suspect.n_total_crashes >= MAX_CRASHES
        }
        self._awaiting_verdict &= waiting.keys()
        return max(waiting.values(), default=None)

    def must_not_run(
        self, fingerprint: str, *, parts: tuple[str, ...] = (), now: float
    ) -> bool:
        """Return whether a request must not run, condemned or awaiting its verdict."""
        suspect = self._active_suspect(fingerprint, now=now)
        if suspect is not None and suspect.n_total_crashes >= MAX_CRASHES:
            return True
        return self._parts.must_not_run(fingerprint, parts, now=now)

    @property
    def has_suspects(self) -> bool:
        """Return whether there are suspects; a cheap check for each routing choice."""
        return bool(self._suspects_by_fingerprint)

    def is_suspect(self, fingerprint: str, *, now: float) -> bool:
        """Return whether a request may be the cause of a crash in which it ran."""
        suspect = self._active_suspect(fingerprint, now=now)
        return suspect is not None and not suspect.proved

    def crashed(
        self,
        target: str,
        fingerprints: Iterable[str],
        *,
        parts_by_fingerprint: Mapping[str, tuple[str, ...]] | None = None,
        now: float,
    ) -> None:
        """Record a crash and the requests that were running in it.

        Each attempt that a crash interrupts may record the same crash again.

        Parameters
        ----------
        parts_by_fingerprint : mapping of str to tuple of str or None
            Parts of the requests' prompts that other requests may share.
        """
        if parts_by_fingerprint:
            self._parts.crashed(target, parts_by_fingerprint, now=now)
        crash = self._crash(target, now=now)
        newly_seen = set(fingerprints) - crash.counted - crash.repeated - {""}
        for fingerprint in newly_seen:
            if self._excuse_once(fingerprint, now=now):
                crash.counted.add(fingerprint)
            elif (
                suspect := self._earlier_suspect(fingerprint, crash, now=now)
            ) is not None:
                suspect.repeat_crash = crash
                crash.repeated.add(fingerprint)
                if suspect.proved:
                    crash.proved.add(fingerprint)
                suspect.proved = False
            else:
                crash.counted.add(fingerprint)
                self._add(fingerprint, crash, now=now)
        if crash.sole_repeated_suspect in newly_seen:
            self._condemn(crash.sole_repeated_suspect, crash, now=now)
        else:
            self._retract_explanation(crash)
        if newly_seen:
            self._reports.crash_noted(crash)

    def proved(self, fingerprint: str, *, now: float) -> None:
        """Record that a suspect has run past the position of its crash.

        Other requests may run beside the suspect from then on.  If suspects were kept
        apart until they complete, a dead group's long streams would wait for one
        another for minutes.
        """
        suspect = self._active_suspect(fingerprint, now=now)
        if suspect is not None:
            suspect.proved = True

    def completed(
        self, fingerprint: str, *, parts: tuple[str, ...] = (), now: float
    ) -> None:
        """Clear a request that has completed, and the parts of its prompt."""
        if parts:
            self._parts.completed(fingerprint, parts, now=now)
        self._completed_at[fingerprint] = now
        self._completed_at.move_to_end(fingerprint)
        if len(self._completed_at) > MAX_SUSPECTS:
            self._completed_at.popitem(last=False)
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is not None and suspect.n_total_crashes:
            suspect.clear()
            suspect.cleared_at = now
            self._reports.suspect_cleared(fingerprint, peer="")

    def observations(self, *, now: float) -> list[Observation]:
        """Return this host's own crash counts; a count of 0 reports a completion."""
        own = [
            suspect.row()
            for suspect in self._suspects_by_fingerprint.values()
            if (suspect.n_crashes and now - suspect.crashed_at <= self._max_age)
            or now - suspect.cleared_at <= CLEARED_ANNOUNCED_FOR
        ]
        return own + self._parts.observations(now=now)

    def changes(self, *, since: float) -> list[SuspicionRow]:
        """Return the rows of suspects whose evidence changed here since a time.

        The newest change comes first.
        """
        suspects = [
            suspect
            for suspect in self._suspects_by_fingerprint.values()
            if suspect.changed_at >= since
        ]
        suspects.sort(key=lambda suspect: -suspect.changed_at)
        rows = [suspect.row() for suspect in suspects]
        return rows + self._parts.changes(since=since)

    def observed(
        self, observation: Observation, *, peer: str, observed_at: float, now: float
    ) -> None:
        """Process a peer's crash count."""
        if not isinstance(observation, SuspicionRow):
            return
        if self._parts.observed(observation, peer=peer, now=now):
            return
        if not observation.n_crashes:
            self._clear_by_peer(
                observation.fingerprint, peer=peer, observed_at=observed_at
            )
            return
        suspect = self._suspect(observation.fingerprint, now=now)
        count = suspect.counts_by_peer.setdefault(peer, PeerCount())
        if observed_at < count.observed_at:
            return
        if observation.n_crashes < count.n_crashes:
            # The peer has cleared the suspect, and counts from 0 again.
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
            self._merge_peer_crash(observation, count, now=now)

    def describe(self, *, now: float) -> list[dict[str, object]]:
        """Return the suspects for the diagnostic dump."""
        return [
            {
                "fingerprint": fingerprint,
                "n_crashes": suspect.n_total_crashes,
                "quarantined": suspect.n_total_crashes >= MAX_CRASHES,
                "age": round(now - suspect.newest_at, 3),
            }
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if suspect.n_total_crashes
        ] + self._parts.describe(now=now)

    def _merge_peer_crash(
        self, observation: SuspicionRow, count: PeerCount, *, now: float
    ) -> None:
        """Merge a peer's view of a crash into that of this host.

        Without the merge, two entry hosts that each see one suspect in a crash would
        condemn both suspects.
        """
        crash = count.crash
        if crash is None or crash.key != observation.crash:
            crash = count.crash = self._crash(
                observation.crash, window=PEER_CRASH_WINDOW, now=now
            )
        if observation.repeated:
            crash.repeated.add(observation.fingerprint)
            if observation.proved:
                # Otherwise a bystander that ran on at a peer would count as a second
                # possible cause beside the poison request, and neither be condemned.
                crash.proved.add(observation.fingerprint)
            self._retract_explanation(crash)

    def _retract_explanation(self, crash: Crash) -> None:
        """Stop explaining crashes by a request if another suspect may be the cause."""
        condemned = crash.explained_by
        if not condemned or crash.sole_repeated_suspect == condemned:
            return
        if (
            condemned not in crash.repeated
            or condemned not in self._suspects_by_fingerprint
        ):
            return
        for explained in self._suspects_by_fingerprint[condemned].crashes:
            self._explain(explained, by="")

    def _clear_by_peer(
        self, fingerprint: str, *, peer: str, observed_at: float
    ) -> None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is not None and observed_at >= suspect.newest_at:
            if suspect.n_total_crashes:
                self._reports.suspect_cleared(fingerprint, peer=peer)
            suspect.clear()

    def _excuse_once(self, fingerprint: str, *, now: float) -> bool:
        completed_at = self._completed_at.pop(fingerprint, float("-inf"))
        return now - completed_at <= self._max_age

    def _condemn(self, fingerprint: str, crash: Crash, *, now: float) -> None:
        """Count a second crash; other requests in both crashes cease to be suspects."""
        suspect = self._add(fingerprint, crash, now=now)
        if suspect.n_total_crashes >= MAX_CRASHES:
            for explained in suspect.crashes:
                self._explain(explained, by=fingerprint)

    def _explain(self, crash: Crash, *, by: str) -> None:
        if crash.explained_by != by:
            crash.explained_by = by
            self._reports.crash_explained(crash)

    def _add(self, fingerprint: str, crash: Crash, *, now: float) -> Suspect:
        suspect = self._suspect(fingerprint, now=now)
        suspect.crashes.append(crash)
        suspect.crashed_at = now
        return suspect

    def _earlier_suspect(
        self, fingerprint: str, crash: Crash, *, now: float
    ) -> Suspect | None:
        """Return the suspect if the request was one before a crash, or None."""
        suspect = self._active_suspect(fingerprint, now=now)
        return (
            suspect
            if suspect is not None and suspect.n_crashes_without(crash)
            else None
        )

    def _active_suspect(self, fingerprint: str, *, now: float) -> Suspect | None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return None
        if now - suspect.newest_at > self._max_age:
            del self._suspects_by_fingerprint[fingerprint]
            return None
        return suspect if suspect.n_total_crashes else None

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
            self._drop_old_crashes(now=now)
            crash = self._crashes_by_target[key] = Crash(at=now, key=key)
        return crash

    def _drop_old_crashes(self, *, now: float) -> None:
        for target, crash in list(self._crashes_by_target.items()):
            if now - crash.at > PEER_CRASH_WINDOW:
                del self._crashes_by_target[target]


def is_crash(error: RyeleverError, *, refused: bool) -> bool:
    """Return whether an attempt failed because its backend server died.

    Silence is not counted: a network partition silences many backend servers at
    once and would make every running request a suspect.
    """
    if refused or error.code != error.category.value:
        return False
    if error.category is Category.UNAVAILABLE:
        # A pooled connection broke after the request had been sent, and no connection
        # could be opened in its place: the server counts as dead.  An ECONNREFUSED that
        # arrives while connecting has the code "connection_refused" and is excluded
        # above.  For the step "call_service", a live service that answers 502, 503 or
        # 504 leads to the same error, so only "generate" counts.
        return error.step == "generate"
    return error.category is Category.BROKEN and error.step in _ATTEMPT_STEPS


def quarantine_error(
    quarantined: Quarantined, *, run_state: RunState = RunState.NOT_RUN
) -> RyeleverError:
    """Return the error that the caller of a quarantined request receives."""
    subject = "this request was"
    if quarantined.part:
        subject = f"requests with a part of this prompt ({quarantined.part}) were"
    return RyeleverError(
        f"{subject} running in {quarantined.n_crashes} crashes of backend "
        "servers and is not run again for now; change it, or come back later",
        category=Category.UNAVAILABLE,
        step="route",
        code="request_quarantined",
        run_state=run_state,
        retry_after=quarantined.retry_after,
    )
