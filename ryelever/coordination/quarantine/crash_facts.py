"""Store which requests, and which parts of prompts, were in which crashes."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from ...state.observations import InvolvementRow

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "MAX_AGE",
    "MAX_SUSPECTS",
    "MINUTE",
    "NEVER",
    "CrashFacts",
    "Suspect",
    "part_name",
]

#: Seconds for which evidence counts.
MAX_AGE = 900.0

#: Seconds after which a broken connection to a server whose start time is unknown is
#: another crash: servers may start again under their id.  A host that was paused
#: notices a crash this much later.
CRASH_WINDOW = 7.0

#: Maximum number of requests, and of parts, with evidence.
MAX_SUSPECTS = 4096

#: Share of the suspects that are ranked at a time to be dropped.  A search reads all.
DROPPED_SHARE = 0.25

#: Maximum number of crashes in the row of a request, the newest ones.
MAX_LISTED_CRASHES = 6

#: Maximum number of crashes in the row of a part: many servers may crash at once under
#: requests with it, and each crash that no host knows to be the part's counts against
#: the requests beside it.
MAX_LISTED_PART_CRASHES = 24

#: Seconds between two removals of old evidence.
EXPIRY_INTERVAL = 1.0

#: Seconds for which evidence is passed on as if it were new.  Other hosts may still
#: have to observe the same crash.
FRESH_FOR = 30.0

#: Seconds for which a part without evidence is kept, so that other hosts learn that
#: requests with it have completed.
CLEARED_FOR = 5.0

#: Seconds in the unit of ``InvolvementRow.age``.
MINUTE = 60.0

NEVER = float("-inf")


def part_name(part: str) -> str:
    """Return the name of the suspect that is a part of prompts."""
    # No fingerprint contains a space.
    return f"part {part}"


class Suspect(msgspec.Struct, kw_only=True, eq=False):
    """The crashes in which one request, or requests with one part, were running.

    Attributes
    ----------
    id : str
        The request's fingerprint, or the id of the part.
    crashed_at_by_key : dict of str to float
        Monotonic times of the crashes that count.
    refuted_at_by_key : dict of str to float
        Monotonic times at which crashes ceased to count; they never count again.
    has_completed : bool
        True if a request with the part has completed, so that no crash counts.
    changed_at : float
        Monotonic time of the last change that this host observed by itself.
    trial : str
        Fingerprint of the request that runs although the part may be the cause; empty
        if there is none.
    n_tests : int
        Number of requests that were let through before a verdict.
    tested_until : float
        Monotonic time from which another one may be let through.
    tried_for : float
        Time of the newest crash when the next trial was scheduled.
    trial_at : float
        Monotonic time from which the next request with the part runs as a trial.
    """

    id: str
    is_part: bool = False
    crashed_at_by_key: dict[str, float] = msgspec.field(default_factory=dict)
    refuted_at_by_key: dict[str, float] = msgspec.field(default_factory=dict)
    has_completed: bool = False
    changed_at: float = NEVER
    trial: str = ""
    n_tests: int = 0
    tested_until: float = NEVER
    tried_for: float = NEVER
    trial_at: float = NEVER

    @property
    def name(self) -> str:
        """Return the suspect's name, which differs for requests and parts."""
        return part_name(self.id) if self.is_part else self.id

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
        limit = MAX_LISTED_PART_CRASHES if self.is_part else MAX_LISTED_CRASHES
        newest = sorted(crashes, key=crashes.__getitem__)[-limit:]
        age = now - self.newest_at if crashes else 0.0
        return InvolvementRow(
            fingerprint=self.id,
            crashes=tuple(sorted(newest)),
            refuted=tuple(sorted(self.refuted_at_by_key))[-MAX_LISTED_CRASHES:],
            # Rounded up, so that evidence which hosts pass on to each other expires
            # everywhere.
            age=math.ceil(age / MINUTE) if age > FRESH_FOR else 0,
            is_part=self.is_part,
            has_completed=self.has_completed,
        )


class CrashFacts:
    """The crashes of all suspects, and the suspects of all crashes.

    Attributes
    ----------
    suspects_by_name : dict of str to Suspect
        Requests by fingerprint, and parts by ``part_name``.
    names_by_crash : dict of str to set of str
        Names of the suspects against which each crash counts.
    changed : set of str
        Names of the suspects whose crashes have changed since the set was cleared.
    n_added : int
        Number of crashes that were added to suspects so far.
    """

    __slots__ = (
        "changed",
        "n_added",
        "names_by_crash",
        "suspects_by_name",
        "_crashed_at_by_key",
        "_drop_orders",
        "_expired_at",
        "_n_parts",
    )

    def __init__(self) -> None:
        self.suspects_by_name: dict[str, Suspect] = {}
        self.names_by_crash: dict[str, set[str]] = {}
        self.changed: set[str] = set()
        self.n_added = 0
        self._crashed_at_by_key: dict[str, float] = {}
        self._expired_at = NEVER
        self._n_parts = 0
        # The least suspected requests and parts when there were too many, by kind.
        self._drop_orders: dict[bool, deque[tuple[Suspect, tuple[int, float]]]] = {
            False: deque(),
            True: deque(),
        }

    def record_crash(
        self, server_id: str, started_at: int | None, *, now: float
    ) -> str:
        """Record a crash, and return its identifier, the same on all hosts."""
        key = self._crash_key(server_id, started_at, now=now)
        self._crashed_at_by_key.setdefault(key, now)
        return key

    def _crash_key(self, server_id: str, started_at: int | None, *, now: float) -> str:
        if started_at is not None:
            return f"{server_id}/{started_at}"
        key, n_earlier = server_id, 0
        while now - self._crashed_at_by_key.get(key, now) > CRASH_WINDOW:
            n_earlier += 1
            key = f"{server_id}#{n_earlier}"
        return key

    def suspect(self, suspect_id: str, *, is_part: bool = False) -> Suspect:
        """Return a suspect, which is added if there is none."""
        name = part_name(suspect_id) if is_part else suspect_id
        suspect = self.suspects_by_name.get(name)
        if suspect is None:
            n_suspects = self._n_parts
            if not is_part:
                n_suspects = len(self.suspects_by_name) - self._n_parts
            if n_suspects >= MAX_SUSPECTS:
                self._drop_least_suspected(are_parts=is_part)
            suspect = Suspect(id=suspect_id, is_part=is_part)
            self.suspects_by_name[name] = suspect
            self._n_parts += is_part
        return suspect

    def _drop_least_suspected(self, *, are_parts: bool) -> None:
        """Drop the suspect with the fewest and, of these, the oldest crashes."""
        order = self._drop_orders[are_parts]
        while True:
            if not order:
                order.extend(self._least_suspected(are_parts=are_parts))
            suspect, rank = order.popleft()
            is_known = self.suspects_by_name.get(suspect.name) is suspect
            if is_known and _rank(suspect) == rank:
                self.clear(suspect)
                self._remove(suspect)
                return

    def _least_suspected(
        self, *, are_parts: bool
    ) -> list[tuple[Suspect, tuple[int, float]]]:
        """Return the suspects to drop next, with their ranks."""
        ranked = [
            (suspect, _rank(suspect))
            for suspect in self.suspects_by_name.values()
            if suspect.is_part is are_parts
        ]
        ranked.sort(key=lambda item: item[1])
        return ranked[: math.ceil(len(ranked) * DROPPED_SHARE)]

    def _remove(self, suspect: Suspect) -> None:
        del self.suspects_by_name[suspect.name]
        self._n_parts -= suspect.is_part

    def add(self, suspect: Suspect, key: str, *, at: float) -> None:
        """Add a crash that counts against a suspect."""
        suspect.crashed_at_by_key[key] = at
        self._crashed_at_by_key.setdefault(key, at)
        self.names_by_crash.setdefault(key, set()).add(suspect.name)
        self.changed.add(suspect.name)
        self.n_added += 1

    def refute(self, suspect: Suspect, keys: Iterable[str], *, now: float) -> None:
        """Let crashes cease to count against a request for ever."""
        for key in keys:
            self._crashed_at_by_key.setdefault(key, now)
            suspect.refuted_at_by_key[key] = now
            self._discard(suspect, key)

    def clear(self, suspect: Suspect) -> None:
        """Drop all crashes of a suspect."""
        for key in list(suspect.crashed_at_by_key):
            self._discard(suspect, key)

    def _discard(self, suspect: Suspect, key: str) -> None:
        if suspect.crashed_at_by_key.pop(key, None) is not None:
            self.names_by_crash[key].discard(suspect.name)
            self.changed.add(suspect.name)

    def expire(self, *, now: float) -> list[str]:
        """Drop what is too old to count; return the names of dropped suspects."""
        if now - self._expired_at < EXPIRY_INTERVAL:
            return []
        self._expired_at = now
        oldest = now - MAX_AGE
        for key, at in list(self._crashed_at_by_key.items()):
            if at < oldest:
                del self._crashed_at_by_key[key]
                for name in self.names_by_crash.pop(key, ()):
                    self.suspects_by_name[name].crashed_at_by_key.pop(key, None)
                    self.changed.add(name)
        dropped = []
        for name, suspect in list(self.suspects_by_name.items()):
            refuted = suspect.refuted_at_by_key
            for key in [key for key, at in refuted.items() if at < oldest]:
                del refuted[key]
            is_announced = (
                suspect.has_completed and now - suspect.changed_at <= CLEARED_FOR
            )
            if not refuted and not suspect.n_crashes and not is_announced:
                self._remove(suspect)
                dropped.append(name)
        return dropped


def _rank(suspect: Suspect) -> tuple[int, float]:
    """Return by what suspects are dropped, the lowest first."""
    return (suspect.n_crashes, suspect.newest_at)
