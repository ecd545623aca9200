"""Decide from the joined evidence of all hosts which requests crash backend servers."""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import TYPE_CHECKING

from msgspec.structs import replace

from .crash_facts import MAX_AGE, MINUTE, NEVER, CrashFacts, part_name
from .crash_reports import NoCrashReports
from .crash_verdicts import (
    MAX_CRASHES,
    MAX_PART_CRASHES,
    MAX_SHARED_CRASHES,
    MAX_SHARED_PART_CRASHES,
    CrashVerdicts,
)
from .known_parts import KnownParts
from .quarantined import Quarantined

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...state.observations import InvolvementRow
    from .crash_facts import Suspect
    from .crash_reports import CrashReports
    from .crash_verdicts import Causes

__all__ = ["CrashEvidence"]

#: Maximum number of completed requests that are remembered.
MAX_COMPLETED = 4096

#: Maximum fraction by which a retry time is randomly extended.
SPREAD = 0.2

#: Seconds between the crash after which a part may be the cause and the verdict: other
#: requests with the part, if there are any, complete within this time.
PART_SETTLE = 2.0

#: Seconds between the turns of two hosts to run one request with a suspected part.
TURN_INTERVAL = 1.0

#: Half of the seconds that the first such request has to complete before the next one
#: is let through; each further one gets twice as long.
TEST_TIME = 1.0

#: Seconds without a crash after which one request with a quarantined part runs as a
#: trial at each host.  A verdict on a part refuses requests that might complete, and
#: nothing else would show that it is wrong.
TRIAL_AFTER = 120.0

#: Maximum fraction by which that time is randomly extended, so that most hosts learn
#: how the trial of another host ended before their own.
TRIAL_SPREAD = 0.5


class CrashEvidence:
    """Join the evidence of all hosts, and derive verdicts from it.

    Evidence is a set of facts: a request was running in a crash, or a crash does not
    count against it since the request has completed.  Hosts exchange the facts
    themselves, so that lost, repeated and reordered messages change nothing: the sets
    are joined, and a fact that was refuted stays refuted.  Verdicts are computed anew
    from all facts.  Counts in their place would fall when one host finds another cause
    of a crash, and other hosts would take that for a completion.

    A part of a prompt may crash servers, whatever else a request consists of.  Evidence
    is therefore also kept against the parts that other requests may share, unless a
    request with the part has completed lately.

    Another host may know of another cause: a verdict waits until all live hosts have
    reported, and the request doesn't run meanwhile.

    Parameters
    ----------
    judges_requests : bool
        False to give verdicts on parts only; requests still explain crashes.
    peers_reported_since : callable or None
        Return whether each live host has reported what it had observed by a monotonic
        time, given that time and the current one; None if there are no other hosts.
    turn : callable
        Return the number of hosts that run a request with a suspected part before this
        host, given the current time.
    released_parts : iterable of str
        Parts that an operator has excluded from the quarantine.
    seed : int or None
        Seed of the random extension of retry times.
    reports : CrashReports or None
        Receiver of evidence and verdicts; None discards them.

    Attributes
    ----------
    n_verdicts : int
        Number of verdicts so far; if it rises, requests in flight may be concerned.
    """

    __slots__ = (
        "_completed_at",
        "_facts",
        "_judges_requests",
        "_known_parts",
        "_peers_reported_since",
        "_random",
        "_reported",
        "_reports",
        "_turn",
        "_verdicts",
        "n_verdicts",
    )

    def __init__(
        self,
        *,
        judges_requests: bool = True,
        peers_reported_since: Callable[..., bool] | None = None,
        turn: Callable[..., int] = lambda *, now: 0,
        released_parts: Iterable[str] = (),
        seed: int | None = None,
        reports: CrashReports | None = None,
    ) -> None:
        self._judges_requests = judges_requests
        self._peers_reported_since = peers_reported_since
        self._turn = turn
        self._reports = reports if reports is not None else NoCrashReports()
        self._random = random.Random(seed)
        self._facts = CrashFacts()
        self._verdicts = CrashVerdicts(facts=self._facts)
        self._known_parts = KnownParts(released=released_parts)
        self._completed_at: OrderedDict[str, float] = OrderedDict()
        self._reported: set[str] = set()
        self.n_verdicts = 0

    @property
    def n_crashes(self) -> int:
        """Return how often a crash began to count against a request or a part."""
        return self._facts.n_added

    @property
    def is_empty(self) -> bool:
        """Return whether there is no evidence; a cheap check for each request."""
        return not self._facts.suspects_by_name

    @property
    def quarantined_parts(self) -> tuple[str, ...]:
        """Return the parts on which there are verdicts."""
        return tuple(part for part, *_ in self.quarantined())

    def quarantined(self) -> list[tuple[str, int, float]]:
        """Return the quarantined parts with the number and newest time of crashes."""
        suspects = (
            self._facts.suspects_by_name.get(name) for name in sorted(self._reported)
        )
        return [
            (suspect.id, suspect.n_crashes, suspect.newest_at)
            for suspect in suspects
            if suspect is not None and suspect.is_part
        ]

    def verdict(
        self, fingerprint: str, *, parts: tuple[str, ...] = (), now: float
    ) -> Quarantined | None:
        """Return the reason why a request must not run, or None without a verdict."""
        for suspect in self._causes(fingerprint, parts, now=now).proved:
            if not self._has_settled(suspect, now=now):
                continue
            if suspect.is_part and self._is_trial(suspect, fingerprint, now=now):
                continue
            return self._quarantined(suspect, now=now)
        return None

    def awaits_verdict(
        self, fingerprint: str, *, parts: tuple[str, ...] = (), now: float
    ) -> bool:
        """Return whether a request must not run until there is a verdict on it."""
        causes = self._causes(fingerprint, parts, now=now)
        for suspect in causes.likely:
            _end_test_by_crash(suspect)
        suspects = [
            suspect
            for suspect in causes.proved
            if not self._has_settled(suspect, now=now)
        ]
        suspects += causes.likely
        if not all(
            suspect.is_part and self._may_test(suspect, fingerprint, now=now)
            for suspect in suspects
        ):
            return True
        for suspect in suspects:
            _begin_test(suspect, fingerprint, now=now)
        return False

    def crashed(
        self,
        server_id: str,
        started_at: int | None,
        fingerprint: str,
        *,
        parts: tuple[str, ...] = (),
        now: float,
    ) -> None:
        """Record that a request was running when a backend server crashed.

        Parameters
        ----------
        started_at : int or None
            Start time of the server in Unix milliseconds; None if unknown.
        parts : tuple of str
            Parts of the request's prompt that other requests may share.
        """
        key = self._facts.record_crash(server_id, started_at, now=now)
        for part in parts:
            if not self._known_parts.includes(part, now=now):
                suspect = self._facts.suspect(part, is_part=True)
                if key not in suspect.crashed_at_by_key:
                    suspect.changed_at = now
                    suspect.has_completed = False
                    self._facts.add(suspect, key, at=now)
        suspect = self._facts.suspect(fingerprint)
        if key in suspect.crashed_at_by_key or key in suspect.refuted_at_by_key:
            return
        suspect.changed_at = now
        if now - self._completed_at.pop(fingerprint, NEVER) <= MAX_AGE:
            # Many callers may send the same short request, of which some run in
            # a crash by chance.
            suspect.refuted_at_by_key[key] = now
            return
        self._facts.add(suspect, key, at=now)
        self._reports.crash_noted(
            key, fingerprint, parts=parts, n_crashes=suspect.n_crashes
        )

    def completed(
        self, fingerprint: str, *, parts: tuple[str, ...] = (), now: float
    ) -> None:
        """Refute the known crashes of a request that has completed, and of its parts.

        Parameters
        ----------
        parts : tuple of str
            Parts of its prompt, if a backend server has answered it successfully.
        """
        self._completed_at[fingerprint] = now
        self._completed_at.move_to_end(fingerprint)
        if len(self._completed_at) > MAX_COMPLETED:
            self._completed_at.popitem(last=False)
        self.answered(parts, now=now)
        suspect = self._facts.suspects_by_name.get(fingerprint)
        if suspect is not None and suspect.n_crashes:
            self._refute(suspect, list(suspect.crashed_at_by_key), now=now)
            suspect.changed_at = now
            self._reports.cleared(fingerprint, peer="")

    def answered(self, parts: tuple[str, ...], *, now: float) -> None:
        """Clear the parts of a request that servers go on answering."""
        for part in parts:
            self._known_parts.record(part, now=now)
            suspect = self._facts.suspects_by_name.get(part_name(part))
            if suspect is not None and suspect.n_crashes:
                self._clear_part(suspect, peer="", now=now)

    def release_parts(self, parts: Iterable[str], *, now: float) -> None:
        """Exclude the parts that an operator has named from the quarantine."""
        released = tuple(parts)
        self._known_parts.release(released)
        for part in released:
            suspect = self._facts.suspect(part, is_part=True)
            self._clear_part(suspect, peer="", now=now)

    def join(self, row: InvolvementRow, *, peer: str, now: float) -> None:
        """Add the facts that another host has sent."""
        if row.is_part:
            self._join_part(row, peer=peer, now=now)
            return
        suspect = self._facts.suspects_by_name.get(row.fingerprint)
        known = set() if suspect is None else suspect.crashed_at_by_key.keys()
        refuted = set() if suspect is None else suspect.refuted_at_by_key.keys()
        new = set(row.crashes) - known - refuted - set(row.refuted)
        newly_refuted = set(row.refuted) - refuted
        if not new and not newly_refuted:
            if suspect is not None and not refuted.isdisjoint(row.crashes):
                # The sender doesn't know of the completion.
                suspect.changed_at = now
            return
        suspect = self._facts.suspect(row.fingerprint)
        self._reports.evidence_received(row, peer=peer)
        for key in sorted(new):
            self._facts.add(suspect, key, at=now - row.age * MINUTE)
        had_crashes = suspect.n_crashes > 0
        self._refute(suspect, newly_refuted, now=now)
        if had_crashes and not suspect.n_crashes:
            self._reports.cleared(row.fingerprint, peer=peer)

    def _join_part(self, row: InvolvementRow, *, peer: str, now: float) -> None:
        suspect = self._facts.suspects_by_name.get(part_name(row.fingerprint))
        if row.has_completed:
            self._known_parts.record(row.fingerprint, now=now)
            if suspect is not None and suspect.n_crashes:
                self._clear_part(suspect, peer=peer, now=now)
            return
        if not row.crashes:
            return
        if self._known_parts.includes(row.fingerprint, now=now):
            # The sender doesn't know of the completion.
            suspect = self._facts.suspect(row.fingerprint, is_part=True)
            suspect.has_completed = True
            suspect.changed_at = now
            return
        known = set() if suspect is None else suspect.crashed_at_by_key.keys()
        new = set(row.crashes) - known
        if not new:
            return
        suspect = self._facts.suspect(row.fingerprint, is_part=True)
        suspect.has_completed = False
        self._reports.evidence_received(row, peer=peer)
        for key in sorted(new):
            self._facts.add(suspect, key, at=now - row.age * MINUTE)

    def rows(
        self, *, since: float, now: float, limit: int | None = None
    ) -> list[InvolvementRow]:
        """Return the rows for other hosts, the most important ones first.

        These are the suspects that are quarantined or may soon be, for as long as their
        evidence counts, so that hosts that start or were cut off learn of them; and
        those whose evidence changed at this host since a time.

        Parameters
        ----------
        limit : int or None
            Maximum number of rows of requests, and of rows of parts; None for all.
        """
        self._expire(now=now)
        self._verdicts.judge(now=now)
        n_unexplained = self._verdicts.n_unexplained
        ranked = sorted(
            (
                (-n_unexplained(name), -suspect.changed_at, suspect)
                for name, suspect in self._facts.suspects_by_name.items()
                if suspect.changed_at >= since or n_unexplained(name) >= MAX_CRASHES
            ),
            key=lambda item: (*item[:2], item[2].name),
        )
        requests = [item for *_, item in ranked if not item.is_part]
        parts = [item for *_, item in ranked if item.is_part]
        return [item.row(now=now) for item in (*requests[:limit], *parts[:limit])]

    def changed_parts(self, *, since: float) -> list[InvolvementRow]:
        """Return the rows of the parts whose evidence changed here since a time."""
        changed = [
            suspect
            for suspect in self._facts.suspects_by_name.values()
            if suspect.is_part and suspect.changed_at >= since
        ]
        changed.sort(key=lambda suspect: (-suspect.n_crashes, suspect.id))
        # All changes are new, so that their age doesn't matter.
        return [suspect.row(now=suspect.newest_at) for suspect in changed]

    # Facts

    def _refute(self, suspect: Suspect, keys: Iterable[str], *, now: float) -> None:
        self._facts.refute(suspect, keys, now=now)
        self._reported.discard(suspect.name)

    def _clear_part(self, suspect: Suspect, *, peer: str, now: float) -> None:
        self._facts.clear(suspect)
        self._reported.discard(suspect.name)
        suspect.has_completed = True
        suspect.trial = ""
        suspect.n_tests = 0
        suspect.tested_until = NEVER
        suspect.changed_at = now
        self._reports.part_cleared(suspect.id, peer=peer)

    def _expire(self, *, now: float) -> None:
        self._reported.difference_update(self._facts.expire(now=now))

    # Verdicts

    def _causes(
        self, fingerprint: str, parts: tuple[str, ...], *, now: float
    ) -> Causes:
        """Return the suspects for which a request must not run."""
        self._expire(now=now)
        names = (fingerprint, *map(part_name, parts))
        causes = self._verdicts.causes(names, now=now)
        if self._judges_requests:
            return causes
        parts_only = tuple(suspect for suspect in causes.proved if suspect.is_part)
        return replace(causes, proved=parts_only)

    def _has_settled(self, suspect: Suspect, *, now: float) -> bool:
        """Return whether no report can show another cause of the crashes."""
        settled_at = suspect.newest_at
        if suspect.is_part:
            # Not the newest crash: while crashes go on, no verdict would settle.
            settled_at = _suspected_since(suspect)
            if now < settled_at + PART_SETTLE:
                return False
        elif self._verdicts.n_unexplained(suspect.name) >= MAX_SHARED_CRASHES:
            return True
        reported_since = self._peers_reported_since
        return reported_since is None or reported_since(settled_at, now=now)

    def _may_test(self, suspect: Suspect, fingerprint: str, *, now: float) -> bool:
        """Return whether a request may run, before a verdict, to show a part is sound.

        If all requests with the part waited, none could complete.
        """
        if suspect.trial == fingerprint:
            return True
        since = _suspected_since(suspect)
        if suspect.n_crashes >= MAX_SHARED_PART_CRASHES:
            since = _suspected_since(suspect, n_crashes=MAX_SHARED_PART_CRASHES)
        turn = since + self._turn(now=now) * TURN_INTERVAL
        return now >= max(turn, suspect.tested_until)

    def _is_trial(self, suspect: Suspect, fingerprint: str, *, now: float) -> bool:
        """Return whether a request runs though it has a quarantined part."""
        if suspect.tried_for != suspect.newest_at:
            suspect.tried_for = suspect.newest_at
            suspect.trial = ""
            suspect.trial_at = suspect.newest_at + self._trial_interval()
        if now >= suspect.trial_at:
            suspect.trial = fingerprint
            suspect.trial_at = now + self._trial_interval()
        return suspect.trial == fingerprint

    def _trial_interval(self) -> float:
        return TRIAL_AFTER * self._random.uniform(1.0, 1.0 + TRIAL_SPREAD)

    def _quarantined(self, suspect: Suspect, *, now: float) -> Quarantined:
        """Return the verdict on a suspect, which is reported once."""
        if suspect.name not in self._reported:
            self._reported.add(suspect.name)
            self.n_verdicts += 1
            condemned = self._reports.condemned
            if suspect.is_part:
                condemned = self._reports.part_condemned
            condemned(
                suspect.id,
                n_crashes=suspect.n_crashes,
                after=now - suspect.newest_at,
            )
        remaining = suspect.newest_at + MAX_AGE - now
        if suspect.is_part:
            remaining = suspect.trial_at - now
        return Quarantined(
            n_crashes=suspect.n_crashes,
            retry_after=remaining * self._random.uniform(1.0, 1.0 + SPREAD),
            part=suspect.id if suspect.is_part else "",
        )


def _end_test_by_crash(suspect: Suspect) -> None:
    """End the test of a part that shares its crashes with others if it has crashed.

    The retries of such a test would crash further servers, and break off the tests
    that would clear the others.
    """
    began_at = suspect.tested_until - TEST_TIME * 2**suspect.n_tests
    if (
        suspect.n_crashes >= MAX_SHARED_PART_CRASHES
        and suspect.n_tests
        and suspect.newest_at > began_at
    ):
        suspect.trial = ""


def _begin_test(suspect: Suspect, fingerprint: str, *, now: float) -> None:
    """Let a request run, before a verdict, as the only one with a part."""
    if suspect.trial != fingerprint:
        suspect.trial = fingerprint
        suspect.n_tests += 1
        # A test may end without a result, and each that crashes a server is one more
        # crash.
        suspect.tested_until = now + TEST_TIME * 2**suspect.n_tests


def _suspected_since(suspect: Suspect, *, n_crashes: int = MAX_PART_CRASHES) -> float:
    """Return the time of the crash after which a part may be the cause."""
    return sorted(suspect.crashed_at_by_key.values())[n_crashes - 1]
