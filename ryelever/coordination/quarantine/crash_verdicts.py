"""Find the requests, and the parts of prompts, that explain crashes best."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING

import msgspec

from .crash_facts import NEVER, Suspect

if TYPE_CHECKING:
    from collections.abc import Collection, Set

    from .crash_facts import CrashFacts

__all__ = [
    "MAX_CRASHES",
    "MAX_PART_CRASHES",
    "MAX_SHARED_CRASHES",
    "MAX_SHARED_PART_CRASHES",
    "Causes",
    "CrashVerdicts",
]

#: Crashes after which a request is quarantined if no other request that ran in them was
#: in as many.
MAX_CRASHES = 2

#: Crashes after which a request is quarantined even if other requests were in as many.
#: Requests that always run together would otherwise protect each other for ever.
MAX_SHARED_CRASHES = 5

#: The same as ``MAX_CRASHES`` for a part of prompts.  A verdict on a part also refuses
#: requests that never ran.
MAX_PART_CRASHES = 3

#: Share of a part's crashes from which on another suspect may be their cause as well:
#: the part itself may have been in some crashes by chance.
CONTESTED_SHARE = 0.6

#: Crashes after which parts that were in equally many are all suspected.  Parts of
#: requests that always run together would otherwise protect each other for ever.
MAX_SHARED_PART_CRASHES = 5

#: Minimum seconds between two computations of all verdicts.  In between, a changed
#: suspect is judged by itself: a crash can change the evidence hundreds of times.
JUDGING_INTERVAL = 0.1

#: Maximum number of requests' causes that are kept until the evidence changes.
MAX_CACHED = 1024


class Causes(msgspec.Struct, kw_only=True, frozen=True):
    """The suspects in one request that explain crashes best.

    Attributes
    ----------
    likely : tuple of Suspect
        Parts that were in more crashes than any other suspect, but not in so many more
        that they must be the cause; after MAX_SHARED_PART_CRASHES also parts that were
        in as many as others.
    """

    proved: tuple[Suspect, ...] = ()
    likely: tuple[Suspect, ...] = ()


NO_CAUSES = Causes()


class CrashVerdicts:
    """Derive from the facts which requests must not run.

    A request that crashes each server which begins to run it is in more crashes than
    any request that ran beside it, and a part that does so is in more than any other
    part.  A suspect is the cause of the crashes which no better suspect explains, if
    enough of them are uncontested: no other suspect in them was in as many.

    Parts that always come together can't be told apart by their crashes, so that a
    request is refused only if it has all of them: the other suspects which it contains
    itself contest nothing.  While a part is only the likeliest cause, requests without
    it go on, and clear the parts that contest its crashes when they complete.

    Parameters
    ----------
    facts : CrashFacts
        Which suspects were in which crashes.
    """

    __slots__ = (
        "_explained",
        "_explained_before",
        "_facts",
        "_found_by_names",
        "_judged_at",
        "_n_unexplained",
    )

    def __init__(self, *, facts: CrashFacts) -> None:
        self._facts = facts
        self._judged_at = NEVER
        self._explained: Set[str] = frozenset()
        # The crashes that better suspects explain, by the name of each suspect.
        self._explained_before: dict[str, Set[str]] = {}
        self._n_unexplained: dict[str, int] = {}
        self._found_by_names: dict[tuple[str, ...], Causes] = {}

    def n_unexplained(self, name: str) -> int:
        """Return the number of a suspect's crashes that no better suspect explains."""
        return self._n_unexplained.get(name, 0)

    def causes(self, names: tuple[str, ...], *, now: float) -> Causes:
        """Return the suspects for which a request is not to run.

        Parameters
        ----------
        names : tuple of str
            Names of all suspects that the request consists of: itself and its parts.
        """
        by_name = self._facts.suspects_by_name
        suspects = [by_name[name] for name in names if name in by_name]
        repeated = [item for item in suspects if item.n_crashes >= MAX_CRASHES]
        if not repeated:
            return NO_CAUSES
        self.judge(now=now)
        # Requests that differ in what isn't suspected have the same causes.
        names = tuple(suspect.name for suspect in suspects)
        if not self._facts.changed.isdisjoint(names):
            return self._causes(repeated, names)
        causes = self._found_by_names.get(names)
        if causes is None:
            if len(self._found_by_names) >= MAX_CACHED:
                self._found_by_names.clear()
            causes = self._found_by_names[names] = self._causes(repeated, names)
        return causes

    def _causes(self, repeated: Collection[Suspect], names: Collection[str]) -> Causes:
        proved, likely = [], []
        for suspect in repeated:
            explained = self._explained_before.get(suspect.name, self._explained)
            if self._is_cause(suspect, explained, names=names):
                proved.append(suspect)
            elif suspect.is_part and self._is_likely(suspect, explained, names):
                likely.append(suspect)
        return Causes(proved=tuple(proved), likely=tuple(likely))

    def judge(self, *, now: float) -> None:
        """Find the causes of all crashes if the evidence has changed.

        A cause explains the crashes in which it was; these don't count against suspects
        that were in fewer crashes.
        """
        facts = self._facts
        if not facts.changed or now - self._judged_at < JUDGING_INTERVAL:
            return
        facts.changed.clear()
        self._judged_at = now
        self._n_unexplained = {}
        self._explained_before = {}
        self._found_by_names = {}
        repeated = sorted(
            (
                suspect
                for suspect in facts.suspects_by_name.values()
                if suspect.n_crashes >= MAX_CRASHES
            ),
            key=lambda suspect: -suspect.n_crashes,
        )
        explained: frozenset[str] = frozenset()
        for _, equals in groupby(repeated, key=lambda suspect: suspect.n_crashes):
            before = explained
            for suspect in equals:
                self._explained_before[suspect.name] = before
                if self._is_cause(suspect, before, names=None):
                    explained = explained.union(suspect.crashed_at_by_key)
        self._explained = explained

    def _is_likely(
        self, suspect: Suspect, explained: Set[str], names: Collection[str]
    ) -> bool:
        """Return whether a part is suspected more than all that contest its crashes."""
        n_crashes = len(suspect.crashed_at_by_key.keys() - explained)
        is_shared = n_crashes >= MAX_SHARED_PART_CRASHES
        return self._is_cause(
            suspect, explained, names=names, n_contesting=n_crashes + is_shared
        )

    def _is_cause(
        self,
        suspect: Suspect,
        explained: Set[str],
        *,
        names: Collection[str] | None,
        n_contesting: float | None = None,
    ) -> bool:
        """Return whether a suspect is the cause of crashes not yet explained.

        Parameters
        ----------
        names : collection of str or None
            Names of the suspects that one request consists of; None for any request.
        n_contesting : float or None
            Crashes from which on another suspect contests those that it was in; None
            for as many as the suspect's, or a part's CONTESTED_SHARE of them.
        """
        unexplained = suspect.crashed_at_by_key.keys() - explained
        n_crashes = len(unexplained)
        self._n_unexplained[suspect.name] = n_crashes
        n_needed = MAX_PART_CRASHES if suspect.is_part else MAX_CRASHES
        if n_crashes < n_needed:
            return False
        if n_contesting is None:
            n_contesting = n_crashes * (CONTESTED_SHARE if suspect.is_part else 1.0)
        by_parts_only = not suspect.is_part and n_crashes >= MAX_SHARED_CRASHES
        n_uncontested = sum(
            not self._is_contested(
                key, suspect, n_contesting, explained, names, by_parts_only
            )
            for key in unexplained
        )
        return n_uncontested >= n_needed

    def _is_contested(
        self,
        key: str,
        suspect: Suspect,
        n_contesting: float,
        explained: Set[str],
        names: Collection[str] | None,
        by_parts_only: bool,
    ) -> bool:
        """Return whether another suspect in a crash was in enough crashes as well."""
        crashes = suspect.crashed_at_by_key.keys()
        for name in self._facts.names_by_crash[key]:
            other = self._facts.suspects_by_name[name]
            if other is suspect or other.n_crashes < n_contesting:
                continue
            if by_parts_only and not other.is_part:
                continue
            if names is None:
                # A request and its parts, or parts that come together.
                is_same = other.crashed_at_by_key.keys() == crashes
                if is_same and (other.is_part or suspect.is_part):
                    continue
            elif name in names:
                continue
            if len(other.crashed_at_by_key.keys() - explained) >= n_contesting:
                return True
        return False
