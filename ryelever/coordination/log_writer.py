"""Append records to the log in batches and retry each until it is read back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .backoff import Backoff

if TYPE_CHECKING:
    from ..state.records import Record

__all__ = ["AppendBudget", "LogWriter", "Pending"]

#: Seconds after its last request during which a waiting writer keeps its position in
#: the queue.
QUEUE_TIMEOUT = 0.25


class AppendBudget:
    """Limit the appends a second of one process over all of its streams.

    The log accepts several hundred appends a second from all entry hosts together.  A
    limit in each host enforces that without coordination between hosts: when a host
    reaches its limit, records wait a little and each append carries a larger batch.
    Without a limit, a host that retries against a slow log would use up the appends
    that other hosts need.

    Writers that are refused are served in the order of their first requests.  If the
    first request after each refill were served, the writers that are checked first
    would use up all appends, and records of the others would wait forever.

    Parameters
    ----------
    rate : float
        Appends a second.
    burst : float
        Appends that are allowed immediately after an idle time.
    """

    def __init__(self, *, rate: float, burst: float = 4.0) -> None:
        self._rate = rate
        self._burst = max(1.0, burst)
        self._tokens = self._burst
        self._refilled_at = float("-inf")
        self._requested_at_by_writer: dict[LogWriter, float] = {}

    def acquire(self, writer: LogWriter, *, now: float) -> bool:
        """Return whether the writer may append now, and count the append if so.

        A writer is refused if no append is left or another writer is first in the
        queue.
        """
        n_refilled = max(0.0, now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + n_refilled)
        self._refilled_at = now
        self._requested_at_by_writer[writer] = now
        if self._tokens < 1.0 or self._next_writer(now=now) is not writer:
            return False
        self._tokens -= 1.0
        del self._requested_at_by_writer[writer]
        return True

    def _next_writer(self, *, now: float) -> LogWriter:
        # A writer that no longer requests appends, because its records were read back
        # or because it pauses, must not keep the others waiting.
        for writer, requested_at in list(self._requested_at_by_writer.items()):
            if now - requested_at <= QUEUE_TIMEOUT:
                return writer
            del self._requested_at_by_writer[writer]
        raise AssertionError("the requesting writer must be in the queue")


@dataclass(slots=True, kw_only=True)
class Pending:
    """A record that is neither read back nor past its deadline.

    Attributes
    ----------
    deadline : float
        Monotonic time after which the record is not appended again.
    cost : int
        Part of the batch limit that the record uses; 1 for a small record.
    sent_at : float
        Monotonic time of the newest append of the record, or minus infinity.
    """

    record_id: str
    record: Record
    deadline: float
    cost: int = 1
    sent_at: float = float("-inf")

    @property
    def sent(self) -> bool:
        """Return whether an append was sent, so that the record may be in the log."""
        return self.sent_at != float("-inf")


class LogWriter:
    """Decide which records to append to a stream, and when to append them again.

    The answer to an append proves nothing, and it can be lost after the append has
    taken effect.  A record is therefore appended again, with the same id, until it
    has been read back; the fold ignores the repetition.

    A record whose deadline has passed is not appended again, but an append that was
    already sent may still take effect late.  All readers then treat the record like
    any other, and this writer only counts it in ``n_late``.  Code that needs to know
    whether a record took effect must read the fold, never this writer.

    Parameters
    ----------
    budget : AppendBudget or None
        Budget that all writers of the process share; None for no limit.
    retry_after : float
        Seconds after which a record that was not read back is appended again.
    max_batch : int
        Maximum total cost of the records in an append.
    jitter : callable
        Return a number from 0 to 1; different values on different hosts spread
        their retries.
    """

    def __init__(
        self,
        *,
        budget: AppendBudget | None = None,
        retry_after: float = 1.0,
        max_batch: int = 200,
        jitter: Callable[[], float] = lambda: 0.5,
    ) -> None:
        self._budget = budget
        self._retry_after = retry_after
        self._max_batch = max_batch
        self._backoff = Backoff(jitter=jitter)
        self._expired: dict[str, None] = {}
        self.pending_by_id: dict[str, Pending] = {}
        self.in_flight = False
        self.n_appends = 0
        self.n_records = 0
        self.n_late = 0

    def add(
        self, record: Record, *, record_id: str, deadline: float, cost: int = 1
    ) -> None:
        """Add a record to be appended."""
        self.pending_by_id[record_id] = Pending(
            record_id=record_id, record=record, deadline=deadline, cost=cost
        )

    def read_back(self, record_id: str) -> bool:
        """Remove a record that was read back and return whether it was pending."""
        if record_id in self._expired:
            del self._expired[record_id]
            self.n_late += 1
        return self.pending_by_id.pop(record_id, None) is not None

    def answered(self) -> None:
        """Record that the append in flight was answered."""
        self.in_flight = False
        self._backoff.succeeded()

    def failed(self, *, now: float) -> None:
        """Record an append that failed or whose answer was lost, and pause."""
        self.in_flight = False
        self._backoff.failed(now=now)

    def due(self, *, now: float) -> list[Pending]:
        """Return the next batch, or an empty list if none is due.

        No batch is due while another append is in flight.
        """
        if self.in_flight or not self._backoff.is_due(now=now):
            return []
        batch = self._batch(now=now)
        if not batch or (
            self._budget is not None and not self._budget.acquire(self, now=now)
        ):
            return []
        for pending in batch:
            pending.sent_at = now
        self.in_flight = True
        self.n_appends += 1
        self.n_records += len(batch)
        return batch

    def expire_pending(self, *, now: float) -> list[Pending]:
        """Remove and return the records whose deadline has passed."""
        late = [
            pending
            for pending in self.pending_by_id.values()
            if pending.deadline <= now
        ]
        for pending in late:
            del self.pending_by_id[pending.record_id]
            if pending.sent:
                self._expired[pending.record_id] = None
        while len(self._expired) > 1000:
            del self._expired[next(iter(self._expired))]
        return late

    def _batch(self, *, now: float) -> list[Pending]:
        batch: list[Pending] = []
        remaining_cost = self._max_batch
        for pending in self.pending_by_id.values():
            if now - pending.sent_at < self._retry_after or pending.deadline <= now:
                continue
            # A record that exceeds the batch limit is appended alone.
            if pending.cost > remaining_cost and batch:
                break
            batch.append(pending)
            remaining_cost -= pending.cost
            if remaining_cost <= 0:
                break
        return batch
