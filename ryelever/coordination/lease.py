"""Manage the planner lease of an availability zone in its placement stream.

The order of records in the log decides between competing hosts, and terms end by each
host's monotonic clock.  No wall clock is read, and clocks of two hosts are never
compared.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..state.records import LeaseTaken
from .actions import Action, AppendRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.placement import PlacementFold

__all__ = ["PlannerLease"]

#: Terms without a renewal after which other hosts take the lease.  A value above 1 lets
#: the holder stop first even if the rates of the clocks differ by a tenth.
TERMS_BEFORE_TAKEOVER = 1.25

#: Terms without a change of the lease after which the log counts as unreachable.
TERMS_BEFORE_LOG_UNREACHABLE = 2.0

#: Terms without a change of the lease after which it is taken by a process whose
#: placement lacks records.  A process with all records takes the lease much sooner and
#: knows the groups.
TERMS_BEFORE_INCOMPLETE_TAKEOVER = 5.0

#: Renewals of the lease in a term.
RENEWALS_PER_TERM = 3

#: Appended lease records whose request time is remembered until one is read back.
MAX_REMEMBERED_APPENDS = 8

_NEVER = float("-inf")


class PlannerLease:
    """Decide when to take, renew and release the lease, and whether this host holds it.

    Parameters
    ----------
    holder : str
        Name of this entry host together with its boot id.
    stream : str
        The zone's placement stream.
    term : float
        Duration of a lease in seconds.

    Attributes
    ----------
    held_since : float
        Monotonic time at which this host first saw that it holds the lease in the
        current tenure.  All orders of earlier holders were sent before this time.
    """

    def __init__(
        self, *, holder: str, stream: str, new_id: Callable[[], str], term: float
    ) -> None:
        self._holder = holder
        self._stream = stream
        self._new_id = new_id
        self._term = term
        self._lease_offset = -1
        self._lease_seen_at = _NEVER
        self._append_requested_at = _NEVER
        self._ticked_at = _NEVER
        self._ticking_since = _NEVER
        self._complete_at = _NEVER
        self._requested_at_by_id: dict[str, float] = {}
        self._valid_until = _NEVER
        self._tenure = -1
        self._released = False
        self.held_since = _NEVER

    def holds(self, placement: PlacementFold, *, now: float) -> bool:
        """Return whether this host holds a valid lease at the given time."""
        return (
            not self._released
            and placement.lease is not None
            and placement.lease.holder == self._holder
            and now < self._valid_until
        )

    def tick(
        self, placement: PlacementFold, *, can_plan: bool, now: float
    ) -> list[Action]:
        """Return the append that takes or renews the lease, when it is due.

        Parameters
        ----------
        can_plan : bool
            Whether this process is able to plan.  A process that isn't lets its lease
            expire, and another one takes the lease.
        """
        # After a pause of this process the known lease is old only because this
        # process read nothing meanwhile.
        if now - self._ticked_at > self._term:
            self._ticking_since = now
        self._ticked_at = now
        if placement.complete:
            self._complete_at = now
        lease = placement.lease
        offset = lease.offset if lease is not None else -1
        if offset != self._lease_offset:
            self._lease_offset, self._lease_seen_at = offset, now
            self._update_validity(placement, now=now)
        if self._released or not can_plan or not self._is_due(placement, now=now):
            return []
        return [self._append_lease(offset, term=self._term, now=now)]

    def record_suspension(self, seconds: float) -> None:
        """Count time in which this machine and its monotonic clock were suspended.

        Other hosts count it towards the term of this host's lease.
        """
        self._valid_until -= seconds
        for record_id in self._requested_at_by_id:
            self._requested_at_by_id[record_id] -= seconds

    def is_log_unreachable(self, *, now: float) -> bool:
        """Return whether the log counts as unreachable because the lease expired.

        While the log answers, either the holder renews the lease within its term or
        another host takes the lease soon after, and this host would have read the
        record by now.
        """
        if self._lease_offset < 0:
            return False
        since = max(self._lease_seen_at, self._ticking_since)
        return now >= since + self._term * TERMS_BEFORE_LOG_UNREACHABLE

    def release(self, placement: PlacementFold, *, now: float) -> list[Action]:
        """Return the append that releases the lease; this host never holds it again."""
        held = self.holds(placement, now=now)
        self._released = True
        if not held:
            return []
        return [self._append_lease(placement.lease.offset, term=0.0, now=now)]

    def _is_due(self, placement: PlacementFold, *, now: float) -> bool:
        if now < self._append_requested_at + self._term / RENEWALS_PER_TERM:
            return False
        lease = placement.lease
        if not placement.complete and not self.holds(placement, now=now):
            # The current lease may be among the missing records.
            since = max(self._lease_seen_at, self._ticking_since, self._complete_at)
            return now >= since + self._term * TERMS_BEFORE_INCOMPLETE_TAKEOVER
        if lease is None:
            return True
        if lease.holder == self._holder:
            return now >= self._lease_seen_at + self._term / RENEWALS_PER_TERM
        return now >= self._lease_seen_at + lease.term * TERMS_BEFORE_TAKEOVER

    def _append_lease(self, previous: int, *, term: float, now: float) -> Action:
        self._append_requested_at = now
        record_id = self._new_id()
        self._requested_at_by_id[record_id] = now
        while len(self._requested_at_by_id) > MAX_REMEMBERED_APPENDS:
            del self._requested_at_by_id[next(iter(self._requested_at_by_id))]
        record = LeaseTaken(holder=self._holder, term=term, previous=previous)
        return AppendRecord(stream=self._stream, record=record, record_id=record_id)

    def _update_validity(self, placement: PlacementFold, *, now: float) -> None:
        # The holder counts its term from the time before it requested the append, and
        # every other host from the time at which it read the record, so the holder
        # always stops first.  The request time must be that of the record that took
        # effect, which may be an old one if the log is slow.
        lease = placement.lease
        if lease is None or lease.holder != self._holder:
            return
        requested_at = next(
            (
                requested_at
                for record_id, requested_at in self._requested_at_by_id.items()
                if placement.offset_of(record_id) == lease.offset
            ),
            None,
        )
        if requested_at is None:
            return
        self._valid_until = requested_at + lease.term
        if lease.tenure != self._tenure:
            self._tenure, self.held_since = lease.tenure, now
