"""Follow one partition of a keyed topic of the platform's store."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec
from expression import Ok, Result

if TYPE_CHECKING:
    from ..errors import RyeleverError
    from ..protocol.keyed_log import (
        KeyedLogInterface,
        KeyedRecord,
        LogCall,
        NewestPage,
        ReadPage,
    )
    from ..state.keyed_record import ServerUpdates

__all__ = ["TopicFollower", "TopicUpdates"]

#: Seconds for which a read waits for a record where they are rare.  Longer ones cost
#: less, and a connection that has gone silent shows only after them; until then other
#: hosts tell of what is new.
RARE_WAIT = 6.0

#: The same where records come several times a second anyway.
BUSY_WAIT = 0.2

#: Seconds beyond the wait for an answer to come; a slow store takes a quarter.
ANSWER_TIMEOUT = 1.0

#: Seconds for the first byte of a page of a listing, the first time and at most.  A
#: busy store answers late, and what it has read for a call that was given up is lost.
LISTING_TIMEOUT = 1.2
MAX_LISTING_TIMEOUT = 10.0

#: Seconds for which a host doesn't read what another has passed on.  When that one is
#: lost, the next reads after this time.
PASSED_ON = 1.0

#: Seconds to the next call after a failure, the first time and at most.
FIRST_PAUSE = 0.15
MAX_PAUSE = 0.8


#: Seconds for which a read that has just begun may still bring what is newer.
PATIENCE = 0.35


class _Phase(enum.Enum):
    LISTING = "listing"
    READING = "reading"


class TopicUpdates(msgspec.Struct, kw_only=True, frozen=True):
    """Hold what an answer brought.

    Attributes
    ----------
    complete : bool
        True where the records are all that there are: any other key is gone.
    start : int
        Offset of the first record; -1 for a listing.
    """

    records: list[KeyedRecord]
    complete: bool = False
    start: int = -1


class TopicFollower(msgspec.Struct, kw_only=True, eq=False):
    """Decide what to ask next, and what an answer means.

    It lists the newest record of each key, then reads on from there.  Where the
    store has dropped what would come next, or has come back from an older copy, it
    lists again.

    Attributes
    ----------
    era : int
        Era of the store that the offset belongs to.
    interval : float
        Least seconds between two reads, as each of them is paid for.
    wait : float
        Seconds for which a read waits for a record.
    rests : bool
        True while other hosts tell of what is new, so that only a poke is a reason
        to read on.
    listed_at, answered_at, failed_at, asked_at : float
        Monotonic times of the last complete listing, good answer, failure and call.
    defers_listing : bool
        True while another host is expected to give what a listing would bring.
    n_asked : int
        Calls so far; the answer to any but the last one is out of date.
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
    is_waiting: bool = False
    n_asked: int = 0
    _phase: _Phase = _Phase.LISTING
    _asked_phase: _Phase = _Phase.LISTING
    _asked_from: int = 0
    _asked_after: str = ""
    _due_at: float = 0.0
    _n_failures: int = 0
    _is_poked: bool = False
    _after: str = ""
    _listed: list[KeyedRecord] = msgspec.field(default_factory=list)

    @property
    def is_current(self) -> bool:
        """Tell whether all records were seen up to some moment."""
        return self.listed_at != float("-inf")

    @property
    def is_listing(self) -> bool:
        """Tell whether a listing has begun and has pages left."""
        return bool(self._after)

    def next_call(self, *, now: float) -> LogCall | None:
        """Return the call that is due, if there is one."""
        if self.is_waiting or now < self._due_at:
            return None
        if self.suspended and self._phase is _Phase.READING and not self._is_poked:
            return None
        if self.defers_listing and self._phase is _Phase.LISTING and not self._after:
            return None
        self._is_poked = False
        self.is_waiting = True
        self.n_asked += 1
        self.asked_at = now
        self._asked_from = self.offset
        self._asked_phase = self._phase
        self._asked_after = self._after
        if self._phase is _Phase.LISTING:
            return self.log.newest(
                self.topic, partition=self.partition, after=self._after
            )
        return self.log.read(
            self.topic,
            partition=self.partition,
            offset=self.offset,
            wait_ms=round(self.wait * 1000),
        )

    def poke(self, *, now: float) -> None:
        """Ask at once, since another host knows of something newer.

        A read that waits may hang on a connection that has gone silent, and would
        be given up only seconds later; so it is asked anew, unless it has only just
        begun.
        """
        if now - self.asked_at < PATIENCE:
            return
        self.is_waiting = False
        self._is_poked = True
        self._due_at = 0.0

    def read_on(self) -> None:
        """Read at once, unless a read is under way."""
        self._is_poked = True
        if not self.is_waiting:
            self._due_at = 0.0

    @property
    def answer_timeout(self) -> float:
        """Return the seconds after which the last call counts as unanswered."""
        if self._asked_phase is _Phase.LISTING:
            return min(MAX_LISTING_TIMEOUT, LISTING_TIMEOUT * 2**self._n_failures)
        return self.wait + ANSWER_TIMEOUT

    def list_again(self) -> None:
        """List the topic, as its place in the log says nothing any more."""
        self._phase = _Phase.LISTING
        self._after = ""
        self._due_at = 0.0

    def advance(
        self, *, start: int, end: int, era: int, yields: bool, now: float
    ) -> bool:
        """Take word that another host has read a part of the topic.

        Parameters
        ----------
        era : int
            Era of the store in which it was read.
        yields : bool
            Whether that host goes on reading for this one.

        Returns
        -------
        bool
            True where that part follows what was seen here, so that its records can
            be taken as if they had been read.
        """
        is_comparable = self._phase is _Phase.READING and era == self.era
        follows = is_comparable and start <= self.offset <= end
        if follows:
            self.offset = end
            if yields:
                self.leave_to_others(now=now)
        return follows

    def is_behind(self, updates: ServerUpdates) -> bool:
        """Tell whether another host has read what this one must be given."""
        if self._phase is not _Phase.READING or updates.era != self.era:
            return False
        return updates.start > self.offset or (
            updates.to_fetch and updates.end > self.offset
        )

    def leave_to_others(self, *, now: float) -> None:
        """Read nothing for a while, as what is missed comes from another host."""
        self._due_at = max(self._due_at, now + PASSED_ON)

    def take_over(self, *, end: int, era: int, now: float) -> None:
        """Go on from where another host has read, as all its records were given.

        Parameters
        ----------
        end : int
            Offset up to which that host has read.
        era : int
            Era of the store in which it has.
        """
        self._phase = _Phase.READING
        self._after = ""
        self.offset = end
        self.era = era
        self.listed_at = now

    def answered(
        self, status: int, body: bytes, *, era: int | None = None, now: float
    ) -> Result[TopicUpdates, RyeleverError]:
        """Take an answer.

        Parameters
        ----------
        era : int or None
            Era of the store that it bears; None where it bears none.
        """
        if era is not None and not self._belongs(era):
            self.is_waiting = False
            self.answered_at = now
            return Ok(TopicUpdates(records=[]))
        listing = self._asked_phase is _Phase.LISTING
        if listing and self._phase is _Phase.READING:
            # What another host gave meanwhile is as new as this answer.
            self.is_waiting = False
            return Ok(TopicUpdates(records=[]))
        if listing:
            outcome = self.log.newest_page(status, body).map(self._take_listing)
        else:
            outcome = self.log.read_page(status, body, offset=self._asked_from).map(
                self._take_read
            )
        if outcome.is_error():
            self.failed(now=now)
            return outcome
        self.is_waiting = False
        self._n_failures = 0
        self.answered_at = now
        if self.is_listing:
            # A host serves nobody before it knows all, and a large fleet's list has
            # dozens of pages.
            self._due_at = now
            return outcome
        # A read that brought nothing has waited long enough by itself.
        # Where another host has passed something on meanwhile, it goes on reading.
        self._due_at = max(self._due_at, now, self.asked_at + self.interval)
        if listing and self._phase is _Phase.READING:
            self.listed_at = now
        return outcome

    def _belongs(self, era: int) -> bool:
        """Tell whether an answer belongs to what was seen so far, or begins anew.

        One of an earlier era was under way while the store came back, and is dropped.
        """
        if self._asked_phase is _Phase.LISTING and not self._asked_after:
            self.era = era
        if era > self.era:
            self.list_again()
        return era == self.era

    def failed(self, *, now: float) -> None:
        """Take a failure; the next call waits a little longer each time."""
        self.is_waiting = False
        self.failed_at = now
        self._due_at = now + min(MAX_PAUSE, FIRST_PAUSE * 2**self._n_failures)
        self._n_failures += 1

    def _take_listing(self, page: NewestPage) -> TopicUpdates:
        if not self._after:
            self._listed = []
            self.offset = page.end
        self._listed += page.records
        if page.more and page.records:
            self._after = page.records[-1].key
            return TopicUpdates(records=[])
        self._after = ""
        self._phase = _Phase.READING
        return TopicUpdates(records=self._listed, complete=True)

    def _take_read(self, page: ReadPage) -> TopicUpdates:
        if page.expired:
            self._phase = _Phase.LISTING
            return TopicUpdates(records=[])
        start = self.offset
        # What another host has passed on meanwhile is not taken twice.
        records = [record for record in page.records if record.offset >= start]
        if records:
            self.offset = records[-1].offset + 1
        return TopicUpdates(records=records, start=start)
