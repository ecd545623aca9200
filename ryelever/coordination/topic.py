"""Follow a partition of a keyed topic in the platform's store."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec
from expression import Ok, Result

if TYPE_CHECKING:
    from ..errors import RyeleverError
    from ..protocol.keyed_log import (
        HttpRequest,
        KeyedLogInterface,
        KeyedRecord,
        NewestPage,
        RecordsPage,
    )
    from ..state.keyed_record import ServerUpdates

__all__ = ["TopicFollower", "TopicUpdates"]

#: Seconds during which a read waits for a record of a topic with rare records.  Longer
#: waits cost less, but a silent connection is detected only after the wait; until then
#: other hosts announce new records.
RARE_WAIT = 6.0

#: The same for a topic that gets records several times a second anyway.
BUSY_WAIT = 0.2

#: Seconds beyond the wait within which an answer must arrive; a slow store takes a
#: quarter of this time.
ANSWER_TIMEOUT = 1.0

#: Seconds until the first byte of a listing's page must arrive: initial and maximum
#: timeout.  A busy store answers late, and its work for a call that timed out is lost.
LISTING_TIMEOUT = 1.2
MAX_LISTING_TIMEOUT = 10.0

#: Seconds during which a host doesn't read after it received records that another host
#: has read.  If the other host is lost, this host reads again after this time.
FORWARDED_READ_DELAY = 1.0

#: Seconds between a failure and the next call: initial and maximum pause.
FIRST_PAUSE = 0.15
MAX_PAUSE = 0.8


#: Minimum age in seconds of a read that is replaced when another host announces newer
#: records; a younger read may still return them.
MIN_READ_AGE = 0.35


class _Phase(enum.Enum):
    LISTING = "listing"
    READING = "reading"


class TopicUpdates(msgspec.Struct, kw_only=True, frozen=True):
    """The records of an answer.

    Attributes
    ----------
    complete : bool
        True if the records are a complete listing: all other keys are gone.
    start : int
        Offset of the first record; -1 for a listing.
    """

    records: list[KeyedRecord]
    complete: bool = False
    start: int = -1


class TopicFollower(msgspec.Struct, kw_only=True, eq=False):
    """Decide on the next call to the store, and process the answers.

    A follower lists the newest record of each key and then reads the topic from the
    end of the listing.  It lists the topic again if the store has dropped the next
    records or was restored from an older copy.

    Attributes
    ----------
    era : int
        Era of the store to which the offset belongs.
    interval : float
        Minimum seconds between two reads, since each read is charged.
    wait : float
        Seconds during which a read waits for a record.
    suspended : bool
        True while other hosts send new records; the follower then reads only after a
        call of ``reread`` or ``read_now``.
    listed_at, answered_at, failed_at, asked_at : float
        Monotonic times of the last complete listing, valid answer, failure and call.
    defers_listing : bool
        True while another host is expected to provide the records of a listing.
    n_calls : int
        Number of calls so far; only the answer to the last call is current.
    """

    log: KeyedLogInterface
    topic: str
    partition: int = 0
    interval: float = 0.0
    wait: float = RARE_WAIT
    suspended: bool = False
    defers_listing: bool = False
    offset: int = 0
    era: int = 0
    listed_at: float = float("-inf")
    answered_at: float = float("-inf")
    failed_at: float = float("-inf")
    asked_at: float = float("-inf")
    is_in_flight: bool = False
    n_calls: int = 0
    _phase: _Phase = _Phase.LISTING
    _call_phase: _Phase = _Phase.LISTING
    _call_offset: int = 0
    _call_after: str = ""
    _due_at: float = 0.0
    _n_failures: int = 0
    _is_read_requested: bool = False
    _after_key: str = ""
    _listed: list[KeyedRecord] = msgspec.field(default_factory=list)

    @property
    def is_current(self) -> bool:
        """Return whether all records up to some offset are known."""
        return self.listed_at != float("-inf")

    @property
    def is_listing(self) -> bool:
        """Return whether a listing has started and has pages left."""
        return bool(self._after_key)

    def next_call(self, *, now: float) -> HttpRequest | None:
        """Return the call that is due, or None."""
        if self.is_in_flight or now < self._due_at:
            return None
        if (
            self.suspended
            and self._phase is _Phase.READING
            and not self._is_read_requested
        ):
            return None
        if (
            self.defers_listing
            and self._phase is _Phase.LISTING
            and not self._after_key
        ):
            return None
        self._is_read_requested = False
        self.is_in_flight = True
        self.n_calls += 1
        self.asked_at = now
        self._call_offset = self.offset
        self._call_phase = self._phase
        self._call_after = self._after_key
        if self._phase is _Phase.LISTING:
            return self.log.newest(
                self.topic, partition=self.partition, after=self._after_key
            )
        return self.log.read(
            self.topic,
            partition=self.partition,
            offset=self.offset,
            wait_ms=round(self.wait * 1000),
        )

    def reread(self, *, now: float) -> None:
        """Read again immediately, also while a read is in flight.

        Called when another host has announced a newer record, or when the connection
        of another topic has gone silent.

        The read in flight may hang on a silent connection and would time out only
        seconds later.  It is therefore replaced unless it has just started.
        """
        if now - self.asked_at < MIN_READ_AGE:
            return
        self.is_in_flight = False
        self._is_read_requested = True
        self._due_at = 0.0

    def read_now(self) -> None:
        """Read immediately unless a read is in flight."""
        self._is_read_requested = True
        if not self.is_in_flight:
            self._due_at = 0.0

    @property
    def answer_timeout(self) -> float:
        """Return the seconds after which the last call counts as unanswered."""
        if self._call_phase is _Phase.LISTING:
            return min(MAX_LISTING_TIMEOUT, LISTING_TIMEOUT * 2**self._n_failures)
        return self.wait + ANSWER_TIMEOUT

    def restart_listing(self) -> None:
        """List the topic again, since the offset is no longer valid."""
        self._phase = _Phase.LISTING
        self._after_key = ""
        self._due_at = 0.0

    def advance(
        self, *, start: int, end: int, era: int, reader_continues: bool, now: float
    ) -> bool:
        """Advance past a part of the topic that another host has read.

        Parameters
        ----------
        start, end : int
            Offset of the part's first record and offset after its last record.
        era : int
            Era of the store in which the part was read.
        reader_continues : bool
            Whether the other host continues to read for this one.

        Returns
        -------
        bool
            True if no record is missing between the follower's offset and the part,
            so that its records can be applied as if this host had read them.
        """
        is_comparable = self._phase is _Phase.READING and era == self.era
        follows = is_comparable and start <= self.offset <= end
        if follows:
            self.offset = end
            if reader_continues:
                self.defer_reading(now=now)
        return follows

    def is_behind(self, updates: ServerUpdates) -> bool:
        """Return whether this host must fetch records that another host has read."""
        if self._phase is not _Phase.READING or updates.era != self.era:
            return False
        return updates.start > self.offset or (
            updates.to_fetch and updates.end > self.offset
        )

    def defer_reading(self, *, now: float) -> None:
        """Defer the next read, since another host provides the records."""
        self._due_at = max(self._due_at, now + FORWARDED_READ_DELAY)

    def take_over(self, *, end: int, era: int, now: float) -> None:
        """Continue at another host's offset, after that host provided all records.

        Parameters
        ----------
        end : int
            Offset up to which the other host has read.
        era : int
            Era of the store to which the offset belongs.
        """
        self._phase = _Phase.READING
        self._after_key = ""
        self.offset = end
        self.era = era
        self.listed_at = now

    def answered(
        self, status: int, body: bytes, *, era: int | None = None, now: float
    ) -> Result[TopicUpdates, RyeleverError]:
        """Process an answer of the store and return its records.

        Parameters
        ----------
        era : int or None
            Era of the store in the answer; None if the answer contains none.
        """
        if era is not None and not self._is_current_era(era):
            self.is_in_flight = False
            self.answered_at = now
            return Ok(TopicUpdates(records=[]))
        listing = self._call_phase is _Phase.LISTING
        if listing and self._phase is _Phase.READING:
            # Another host has provided the records meanwhile; they are as new as this
            # answer.
            self.is_in_flight = False
            return Ok(TopicUpdates(records=[]))
        if listing:
            outcome = self.log.newest_page(status, body).map(self._apply_listing)
        else:
            outcome = self.log.read_page(status, body, offset=self._call_offset).map(
                self._apply_read
            )
        if outcome.is_error():
            self.failed(now=now)
            return outcome
        self.is_in_flight = False
        self._n_failures = 0
        self.answered_at = now
        if self.is_listing:
            # Request the next page immediately: a host doesn't serve before it knows
            # all servers, and the listing of a large fleet has dozens of pages.
            self._due_at = now
            return outcome
        # A read without records has already waited at the store.  If another host has
        # sent records meanwhile, that host continues to read and the next read of this
        # one stays deferred.
        self._due_at = max(self._due_at, now, self.asked_at + self.interval)
        if listing and self._phase is _Phase.READING:
            self.listed_at = now
        return outcome

    def _is_current_era(self, era: int) -> bool:
        """Return whether an answer belongs to the era of the offset.

        The first page of a listing sets the era.  An answer of a later era starts a
        new listing.  An answer of an earlier era was in flight while the store
        returned, and is dropped.
        """
        if self._call_phase is _Phase.LISTING and not self._call_after:
            self.era = era
        if era > self.era:
            self.restart_listing()
        return era == self.era

    def failed(self, *, now: float) -> None:
        """Record a failed call and pause, longer after each consecutive failure."""
        self.is_in_flight = False
        self.failed_at = now
        self._due_at = now + min(MAX_PAUSE, FIRST_PAUSE * 2**self._n_failures)
        self._n_failures += 1

    def _apply_listing(self, page: NewestPage) -> TopicUpdates:
        if not self._after_key:
            self._listed = []
            self.offset = page.end
        self._listed += page.records
        if page.more and page.records:
            self._after_key = page.records[-1].key
            return TopicUpdates(records=[])
        self._after_key = ""
        self._phase = _Phase.READING
        return TopicUpdates(records=self._listed, complete=True)

    def _apply_read(self, page: RecordsPage) -> TopicUpdates:
        if page.expired:
            self._phase = _Phase.LISTING
            return TopicUpdates(records=[])
        start = self.offset
        # Records that another host has sent meanwhile are not applied again.
        records = [record for record in page.records if record.offset >= start]
        if records:
            self.offset = records[-1].offset + 1
        return TopicUpdates(records=records, start=start)
