"""Hold one availability zone's planner lease, kept in its placement stream.

The log orders the takers and the monotonic clock ends the terms; no wall clock is
read and no two clocks are compared.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..state.records import LeaseTaken
from .actions import Action, AppendRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.placement import PlacementFold

__all__ = ["PlannerLease"]

#: Terms that others wait before they take the lease of a silent holder.  Above 1,
#: so that clocks may differ in rate by a tenth and the holder still stops first.
TERMS_BEFORE_TAKING = 1.25

#: Terms without any news of the lease after which the log counts as away.
TERMS_BEFORE_GIVING_UP = 2.0

#: Terms without any news of the lease before a process takes it that lacks records.
#: Whoever lacks none takes it much sooner, and knows the groups.
TERMS_WITH_RECORDS_MISSING = 5.0

#: Renewals in one term.
RENEWALS_A_TERM = 3

#: Own questions whose time is remembered until one of them is read back.
N_REMEMBERED_QUESTIONS = 8

_NEVER = float("-inf")


class PlannerLease:
    """Decide when to take, renew and return the lease, and whether it is held.

    Parameters
    ----------
    holder : str
        Name of this entry host together with its boot id.
    stream : str
        The zone's placement stream.
    term : float
        Seconds of one lease.

    Attributes
    ----------
    held_since : float
        Monotonic time at which the present tenure was first seen to be held.
        Whatever an earlier holder ordered, it ordered before this.
    """

    def __init__(
        self, *, holder: str, stream: str, new_id: Callable[[], str], term: float
    ) -> None:
        self._holder = holder
        self._stream = stream
        self._new_id = new_id
        self._term = term
        self._seen_offset = -1
        self._seen_at = _NEVER
        self._asked_at = _NEVER
        self._looked_at = _NEVER
        self._looking_since = _NEVER
        self._complete_at = _NEVER
        self._asked_at_by_id: dict[str, float] = {}
        self._valid_until = _NEVER
        self._tenure = -1
        self._returned = False
        self.held_since = _NEVER

    def holds(self, placement: PlacementFold, *, now: float) -> bool:
        """Tell whether decisions made now are under a valid own lease."""
        return (
            not self._returned
            and placement.lease is not None
            and placement.lease.holder == self._holder
            and now < self._valid_until
        )

    def tick(
        self, placement: PlacementFold, *, wanted: bool, now: float
    ) -> list[Action]:
        """Return the append that takes or renews the lease, when it is due.

        Parameters
        ----------
        wanted : bool
            Whether this process is fit to plan; one that is not lets its lease
            run out, and another takes it.
        """
        # After a pause the newest known lease is old because nobody read here.
        if now - self._looked_at > self._term:
            self._looking_since = now
        self._looked_at = now
        if placement.complete:
            self._complete_at = now
        lease = placement.lease
        offset = lease.offset if lease is not None else -1
        if offset != self._seen_offset:
            self._seen_offset, self._seen_at = offset, now
            self._settle(placement, now=now)
        if self._returned or not wanted or not self._due(placement, now=now):
            return []
        return [self._ask(offset, term=self._term, now=now)]

    def log_is_away(self, *, now: float) -> bool:
        """Tell whether nothing can be agreed: the lease lapsed and none was taken.

        While the log answers, the holder renews within its term, or another takes
        the lease soon after, and either would have been read by now.
        """
        if self._seen_offset < 0:
            return False
        since = max(self._seen_at, self._looking_since)
        return now >= since + self._term * TERMS_BEFORE_GIVING_UP

    def give_back(self, placement: PlacementFold, *, now: float) -> list[Action]:
        """Return the append that gives the lease back; nothing is decided after."""
        held = self.holds(placement, now=now)
        self._returned = True
        if not held:
            return []
        return [self._ask(placement.lease.offset, term=0.0, now=now)]

    def _due(self, placement: PlacementFold, *, now: float) -> bool:
        if now < self._asked_at + self._term / RENEWALS_A_TERM:
            return False
        lease = placement.lease
        if not placement.complete and not self.holds(placement, now=now):
            # The current lease may be among the records that are missing.
            since = max(self._seen_at, self._looking_since, self._complete_at)
            return now >= since + self._term * TERMS_WITH_RECORDS_MISSING
        if lease is None:
            return True
        if lease.holder == self._holder:
            return now >= self._seen_at + self._term / RENEWALS_A_TERM
        return now >= self._seen_at + lease.term * TERMS_BEFORE_TAKING

    def _ask(self, previous: int, *, term: float, now: float) -> Action:
        self._asked_at = now
        record_id = self._new_id()
        self._asked_at_by_id[record_id] = now
        while len(self._asked_at_by_id) > N_REMEMBERED_QUESTIONS:
            del self._asked_at_by_id[next(iter(self._asked_at_by_id))]
        record = LeaseTaken(holder=self._holder, term=term, previous=previous)
        return AppendRecord(stream=self._stream, record=record, record_id=record_id)

    def _settle(self, placement: PlacementFold, *, now: float) -> None:
        # The holder counts its term from before it asked, every other host from
        # when it read the record: the holder always stops first.  Which of several
        # questions took effect matters, since a slow log may answer an old one.
        lease = placement.lease
        if lease is None or lease.holder != self._holder:
            return
        asked_at = next(
            (
                asked_at
                for record_id, asked_at in self._asked_at_by_id.items()
                if placement.offset_of(record_id) == lease.offset
            ),
            None,
        )
        if asked_at is None:
            return
        self._valid_until = asked_at + lease.term
        if lease.tenure != self._tenure:
            self._tenure, self.held_since = lease.tenure, now
