"""Decide from the joined evidence of all hosts which requests crash backend servers."""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from itertools import groupby
from typing import TYPE_CHECKING

import msgspec

from ...state.observations import InvolvementRow
from .crash_reports import NoCrashReports
from .quarantine import Quarantined

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .crash_reports import CrashReports

__all__ = ["CrashEvidence"]

#: Crashes after which a request is quarantined if no other request that ran in them was
#: in as many.
MAX_CRASHES = 2

#: Crashes after which a request is quarantined even if others were in as many.
#: Requests that always run together would otherwise protect each other for ever.
MAX_SHARED_CRASHES = 5

#: Seconds for which evidence counts.
MAX_AGE = 900.0

#: Seconds after which a broken connection to a server whose start time is unknown is
#: another crash: servers may start again under their id.  A host that was paused
#: notices a crash this much later.
CRASH_WINDOW = 7.0

#: Maximum number of requests with evidence; those with the fewest crashes are dropped
#: first, and of these the ones with the oldest evidence.
MAX_SUSPECTS = 4096

#: Maximum number of completed requests that are remembered.
MAX_COMPLETED = 4096

#: Maximum number of crashes in a row, the newest ones.
MAX_LISTED_CRASHES = 6

#: Minimum seconds between two computations of all verdicts.  In between, a changed
#: suspect is judged by itself: a crash can change the evidence hundreds of times.
JUDGING_INTERVAL = 0.1

#: Seconds between two removals of old evidence.
EXPIRY_INTERVAL = 1.0

#: Maximum fraction by which a retry time is randomly extended.
SPREAD = 0.2

#: Seconds for which evidence is passed on as if it were new.  Other hosts may still
#: have to observe the same crash.
FRESH_FOR = 30.0

#: Seconds in the unit of ``InvolvementRow.age``.
MINUTE = 60.0

NEVER = float("-inf")


class _Suspect(msgspec.Struct, kw_only=True, eq=False):
    """The crashes in which one request was running.

    Attributes
    ----------
    crashed_at_by_key : dict of str to float
        Monotonic times of the crashes that count.
    refuted_at_by_key : dict of str to float
        Monotonic times at which crashes ceased to count; they never count again.
    changed_at : float
        Monotonic time of the last change that this host observed by itself.
    """

    fingerprint: str
    crashed_at_by_key: dict[str, float] = msgspec.field(default_factory=dict)
    refuted_at_by_key: dict[str, float] = msgspec.field(default_factory=dict)
    changed_at: float = NEVER

    @property
    def n_crashes(self) -> int:
        """Return the number of crashes that count."""
        return len(self.crashed_at_by_key)

    @property
    def newest_at(self) -> float:
        """Return the time of the newest crash that counts."""
        return max(self.crashed_at_by_key.values(), default=NEVER)

    def row(self, *, now: float) -> InvolvementRow:
        """Return the row that is sent to other hosts."""
        crashes = self.crashed_at_by_key
        newest = sorted(crashes, key=crashes.__getitem__)[-MAX_LISTED_CRASHES:]
        age = now - self.newest_at if crashes else 0.0
        return InvolvementRow(
            fingerprint=self.fingerprint,
            crashes=tuple(sorted(newest)),
            refuted=tuple(sorted(self.refuted_at_by_key))[-MAX_LISTED_CRASHES:],
            # Rounded up, so that evidence which hosts pass on to each other expires
            # everywhere.
            age=math.ceil(age / MINUTE) if age > FRESH_FOR else 0,
        )


class CrashEvidence:
    """Join the evidence of all hosts, and derive verdicts from it.

    Evidence is a set of facts: a request was running in a crash, or a crash does not
    count against it since the request has completed.  Hosts exchange the facts
    themselves, so that lost, repeated and reordered messages change nothing: the sets
    are joined, and a fact that was refuted stays refuted.  Verdicts are computed anew
    from all facts.  Counts in their place would fall when one host finds another cause
    of a crash, and other hosts would take that for a completion.

    A request that crashes each server which begins to run it is in more crashes than
    any request that ran beside it.  It is quarantined once it was in ``MAX_CRASHES``
    crashes which no quarantined request explains, and in which no other request ran
    that was in as many.  Another host may know of such a request: the verdict waits
    until all live hosts have reported, and the request doesn't run meanwhile.

    Parameters
    ----------
    peers_reported_since : callable or None
        Return whether each live host has reported what it had observed by a monotonic
        time, given that time and the current one; None if there are no other hosts.
    seed : int or None
        Seed of the random extension of retry times.
    reports : CrashReports or None
        Receiver of evidence and verdicts; None discards them.
    """

    __slots__ = (
        "_completed_at",
        "_crashed_at_by_key",
        "_expired_at",
        "_explained",
        "_fingerprints_by_crash",
        "_is_current",
        "_judged_at",
        "_n_unexplained",
        "_peers_reported_since",
        "_quarantined",
        "_random",
        "_reported",
        "_reports",
        "_suspects",
    )

    def __init__(
        self,
        *,
        peers_reported_since: Callable[..., bool] | None = None,
        seed: int | None = None,
        reports: CrashReports | None = None,
    ) -> None:
        self._peers_reported_since = peers_reported_since
        self._reports = reports if reports is not None else NoCrashReports()
        self._random = random.Random(seed)
        self._suspects: dict[str, _Suspect] = {}
        self._fingerprints_by_crash: dict[str, set[str]] = {}
        self._crashed_at_by_key: dict[str, float] = {}
        self._completed_at: OrderedDict[str, float] = OrderedDict()
        self._expired_at = NEVER
        # Verdicts, computed when they are needed after a change of the evidence.
        self._is_current = True
        self._judged_at = NEVER
        self._explained: set[str] = set()
        self._quarantined: set[str] = set()
        self._n_unexplained: dict[str, int] = {}
        self._reported: set[str] = set()

    @property
    def is_empty(self) -> bool:
        """Return whether there is no evidence; a cheap check for each request."""
        return not self._suspects

    def verdict(self, fingerprint: str, *, now: float) -> Quarantined | None:
        """Return the reason why a request must not run, or None without a verdict."""
        suspect = self._quarantined_suspect(fingerprint, now=now)
        if suspect is None or not self._has_settled(suspect, now=now):
            return None
        if fingerprint not in self._reported:
            self._reported.add(fingerprint)
            self._reports.condemned(
                fingerprint,
                n_crashes=suspect.n_crashes,
                after=now - suspect.newest_at,
            )
        remaining = suspect.newest_at + MAX_AGE - now
        return Quarantined(
            n_crashes=suspect.n_crashes,
            retry_after=remaining * self._random.uniform(1.0, 1.0 + SPREAD),
        )

    def awaits_verdict(self, fingerprint: str, *, now: float) -> bool:
        """Return whether a request must not run until all hosts have reported."""
        suspect = self._quarantined_suspect(fingerprint, now=now)
        return suspect is not None and not self._has_settled(suspect, now=now)

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
        key = self._crash_key(server_id, started_at, now=now)
        self._crashed_at_by_key.setdefault(key, now)
        suspect = self._suspect(fingerprint)
        if key in suspect.crashed_at_by_key or key in suspect.refuted_at_by_key:
            return
        suspect.changed_at = now
        if now - self._completed_at.pop(fingerprint, NEVER) <= MAX_AGE:
            # Many callers may send the same short request, of which some run in
            # a crash by chance.
            suspect.refuted_at_by_key[key] = now
            return
        self._add(suspect, key, at=now)
        self._reports.crash_noted(
            key, fingerprint, parts=parts, n_crashes=suspect.n_crashes
        )

    def completed(self, fingerprint: str, *, now: float) -> None:
        """Refute the known crashes of a request that has completed."""
        self._completed_at[fingerprint] = now
        self._completed_at.move_to_end(fingerprint)
        if len(self._completed_at) > MAX_COMPLETED:
            self._completed_at.popitem(last=False)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.n_crashes:
            self._refute(suspect, list(suspect.crashed_at_by_key), now=now)
            suspect.changed_at = now
            self._reports.cleared(fingerprint, peer="")

    def join(self, row: InvolvementRow, *, peer: str, now: float) -> None:
        """Add the facts that another host has sent."""
        suspect = self._suspects.get(row.fingerprint)
        known = set() if suspect is None else suspect.crashed_at_by_key.keys()
        refuted = set() if suspect is None else suspect.refuted_at_by_key.keys()
        new = set(row.crashes) - known - refuted - set(row.refuted)
        newly_refuted = set(row.refuted) - refuted
        if not new and not newly_refuted:
            if suspect is not None and not refuted.isdisjoint(row.crashes):
                # The sender doesn't know of the completion.
                suspect.changed_at = now
            return
        suspect = self._suspect(row.fingerprint)
        self._reports.evidence_received(row, peer=peer)
        for key in sorted(new):
            self._add(suspect, key, at=now - row.age * MINUTE)
        had_crashes = suspect.n_crashes > 0
        self._refute(suspect, newly_refuted, now=now)
        if had_crashes and not suspect.n_crashes:
            self._reports.cleared(row.fingerprint, peer=peer)

    def rows(
        self, *, since: float, now: float, limit: int | None = None
    ) -> list[InvolvementRow]:
        """Return the rows for other hosts, the most important ones first.

        These are the requests that are quarantined or may soon be, for as long as their
        evidence counts, so that hosts that start or were cut off learn of them; and
        those whose evidence changed at this host since a time.
        """
        self._expire(now=now)
        self._judge(now=now)
        ranked = sorted(
            (
                (-self._n_unexplained.get(fingerprint, 0), -suspect.changed_at, suspect)
                for fingerprint, suspect in self._suspects.items()
                if suspect.changed_at >= since
                or self._n_unexplained.get(fingerprint, 0) >= MAX_CRASHES
            ),
            key=lambda item: (*item[:2], item[2].fingerprint),
        )
        return [suspect.row(now=now) for _, _, suspect in ranked[:limit]]

    # Facts

    def _crash_key(self, server_id: str, started_at: int | None, *, now: float) -> str:
        """Return the identifier of a crash, the same on all hosts."""
        if started_at is not None:
            return f"{server_id}/{started_at}"
        key, n_earlier = server_id, 0
        while now - self._crashed_at_by_key.get(key, now) > CRASH_WINDOW:
            n_earlier += 1
            key = f"{server_id}#{n_earlier}"
        return key

    def _suspect(self, fingerprint: str) -> _Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                self._drop_least_suspected()
            suspect = self._suspects[fingerprint] = _Suspect(fingerprint=fingerprint)
        return suspect

    def _drop_least_suspected(self) -> None:
        suspect = min(
            self._suspects.values(), key=lambda item: (item.n_crashes, item.newest_at)
        )
        for key in suspect.crashed_at_by_key:
            self._fingerprints_by_crash[key].discard(suspect.fingerprint)
        del self._suspects[suspect.fingerprint]
        self._is_current = False

    def _add(self, suspect: _Suspect, key: str, *, at: float) -> None:
        suspect.crashed_at_by_key[key] = at
        self._crashed_at_by_key.setdefault(key, at)
        self._fingerprints_by_crash.setdefault(key, set()).add(suspect.fingerprint)
        self._is_current = False

    def _refute(self, suspect: _Suspect, keys: Iterable[str], *, now: float) -> None:
        for key in keys:
            self._crashed_at_by_key.setdefault(key, now)
            suspect.refuted_at_by_key[key] = now
            if suspect.crashed_at_by_key.pop(key, None) is not None:
                self._fingerprints_by_crash[key].discard(suspect.fingerprint)
                self._is_current = False
        self._reported.discard(suspect.fingerprint)

    def _expire(self, *, now: float) -> None:
        """Drop the evidence that is too old to count."""
        if now - self._expired_at < EXPIRY_INTERVAL:
            return
        self._expired_at = now
        oldest = now - MAX_AGE
        for key, at in list(self._crashed_at_by_key.items()):
            if at < oldest:
                del self._crashed_at_by_key[key]
                for fingerprint in self._fingerprints_by_crash.pop(key, ()):
                    self._suspects[fingerprint].crashed_at_by_key.pop(key, None)
                self._is_current = False
        for fingerprint, suspect in list(self._suspects.items()):
            refuted = suspect.refuted_at_by_key
            for key in [key for key, at in refuted.items() if at < oldest]:
                del refuted[key]
            if not refuted and not suspect.n_crashes:
                del self._suspects[fingerprint]
                self._reported.discard(fingerprint)

    # Verdicts

    def _quarantined_suspect(self, fingerprint: str, *, now: float) -> _Suspect | None:
        """Return a suspect that must not run, or None."""
        self._expire(now=now)
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.n_crashes < MAX_CRASHES:
            return None
        self._judge(now=now)
        if fingerprint in self._quarantined:
            return suspect
        is_cause = not self._is_current and self._is_cause(suspect, self._explained)
        return suspect if is_cause else None

    def _has_settled(self, suspect: _Suspect, *, now: float) -> bool:
        """Return whether no report can show another cause of the crashes."""
        reported_since = self._peers_reported_since
        return (
            reported_since is None
            or self._n_unexplained[suspect.fingerprint] >= MAX_SHARED_CRASHES
            or reported_since(suspect.newest_at, now=now)
        )

    def _judge(self, *, now: float) -> None:
        """Find the quarantined requests if the evidence has changed.

        A quarantined request explains the crashes in which it ran; these don't count
        against requests that were in fewer crashes.
        """
        if self._is_current or now - self._judged_at < JUDGING_INTERVAL:
            return
        self._is_current = True
        self._judged_at = now
        self._quarantined = set()
        self._n_unexplained = {}
        repeated = sorted(
            (item for item in self._suspects.values() if item.n_crashes >= MAX_CRASHES),
            key=lambda item: -item.n_crashes,
        )
        explained: set[str] = set()
        for _, equals in groupby(repeated, key=lambda item: item.n_crashes):
            newly = [item for item in equals if self._is_cause(item, explained)]
            for suspect in newly:
                self._quarantined.add(suspect.fingerprint)
                explained.update(suspect.crashed_at_by_key)
        self._explained = explained

    def _is_cause(self, suspect: _Suspect, explained: set[str]) -> bool:
        """Return whether a request is quarantined for crashes not yet explained."""
        unexplained = suspect.crashed_at_by_key.keys() - explained
        n_crashes = len(unexplained)
        self._n_unexplained[suspect.fingerprint] = n_crashes
        if n_crashes < MAX_CRASHES:
            return False
        if n_crashes >= MAX_SHARED_CRASHES:
            return True
        n_uncontested = sum(
            not self._is_contested(key, suspect, n_crashes, explained)
            for key in unexplained
        )
        return n_uncontested >= MAX_CRASHES

    def _is_contested(
        self, key: str, suspect: _Suspect, n_crashes: int, explained: set[str]
    ) -> bool:
        """Return whether a request that was in as many crashes ran in a crash too."""
        for fingerprint in self._fingerprints_by_crash[key]:
            other = self._suspects[fingerprint]
            if other is suspect or other.n_crashes < n_crashes:
                continue
            if len(other.crashed_at_by_key.keys() - explained) >= n_crashes:
                return True
        return False
