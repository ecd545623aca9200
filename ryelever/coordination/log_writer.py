"""Append records in batches and settle each only when it is read back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .backoff import Backoff

if TYPE_CHECKING:
    from ..state.records import Record

__all__ = ["AppendBudget", "LogWriter", "Pending"]

#: Seconds within which a writer that waits for its turn asks again.
ASKS_AGAIN_WITHIN = 0.25


class AppendBudget:
    """Bound the appends a second of one process, over all of its streams.

    The log takes several hundred appends a second from all entry hosts together.
    A bound in each host keeps to that without any agreement: when it is reached,
    records wait a little and the batches grow, and with them what one append
    carries.  Without it, a host that retries against a slow log would take the
    appends that the others need.

    Writers that find none left get the next ones in the order in which they asked.
    Were the first to ask after each refill served, the writers that are looked at
    first would take all, and the others' records would wait for ever.

    Parameters
    ----------
    rate : float
        Appends a second.
    burst : float
        Appends that may follow each other at once after a quiet time.
    """

    def __init__(self, *, rate: float, burst: float = 4.0) -> None:
        self._rate = rate
        self._burst = max(1.0, burst)
        self._tokens = self._burst
        self._filled_at = float("-inf")
        self._asked_at: dict[LogWriter, float] = {}

    def take(self, writer: LogWriter, *, now: float) -> bool:
        """Take one append, if there is one left and no other writer's turn."""
        gained = max(0.0, now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        self._asked_at[writer] = now
        if self._tokens < 1.0 or self._next_writer(now=now) is not writer:
            return False
        self._tokens -= 1.0
        del self._asked_at[writer]
        return True

    def _next_writer(self, *, now: float) -> LogWriter:
        # One that asks no more, since its records were read back or it pauses, must
        # not keep the others waiting.
        for writer, asked_at in list(self._asked_at.items()):
            if now - asked_at <= ASKS_AGAIN_WITHIN:
                return writer
            del self._asked_at[writer]
        raise AssertionError("the writer that asks is always among those waiting")


@dataclass(slots=True, kw_only=True)
class Pending:
    """Hold a record until it is read back or its deadline has passed.

    Attributes
    ----------
    deadline : float
        Monotonic time after which the record is not appended again.
    cost : int
        Share of a batch that the record takes; 1 for a small one.
    sent_at : float
        Monotonic time of the newest append, or minus infinity.
    """

    record_id: str
    record: Record
    deadline: float
    cost: int = 1
    sent_at: float = float("-inf")

    @property
    def sent(self) -> bool:
        """Tell whether an append has left, so that the record may be in the log."""
        return self.sent_at != float("-inf")


class LogWriter:
    """Decide what to append to one stream, and when to append it again.

    The answer to an append proves nothing: it can be lost after the append has
    taken effect.  A record is therefore appended again, with the same id, until
    it has been read back; the fold drops the second.

    A record whose deadline has passed is not appended again, yet an append that
    was sent may still take effect, late.  It then counts for every reader like any
    other, and this writer only counts it (``n_late``): who appended it looks at
    the fold, never at this writer, to learn what is so.

    Parameters
    ----------
    budget : AppendBudget or None
        Shared by the writers of one process.
    retry_after : float
        Seconds after which a record that was not read back is appended again.
    max_batch : int
        Cost of the records in one append.
    jitter : callable
        Return a number from 0 to 1 that spreads the pauses of many hosts.
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
        self._given_up: dict[str, None] = {}
        self.pending_by_id: dict[str, Pending] = {}
        self.in_flight = False
        self.n_appends = 0
        self.n_records = 0
        self.n_late = 0

    def add(
        self, record: Record, *, record_id: str, deadline: float, cost: int = 1
    ) -> None:
        """Take a record that is to be appended."""
        self.pending_by_id[record_id] = Pending(
            record_id=record_id, record=record, deadline=deadline, cost=cost
        )

    def read_back(self, record_id: str) -> bool:
        """Settle a record that was read back; tell whether it was pending."""
        if record_id in self._given_up:
            del self._given_up[record_id]
            self.n_late += 1
        return self.pending_by_id.pop(record_id, None) is not None

    def answered(self) -> None:
        """Take note that the append in flight was answered."""
        self.in_flight = False
        self._backoff.succeeded()

    def failed(self, *, now: float) -> None:
        """Pause after an append that failed or whose answer was lost."""
        self.in_flight = False
        self._backoff.failed(now=now)

    def due(self, *, now: float) -> list[Pending]:
        """Return the next batch, or nothing while one is in flight."""
        if self.in_flight or not self._backoff.is_due(now=now):
            return []
        batch = self._batch(now=now)
        if not batch or (
            self._budget is not None and not self._budget.take(self, now=now)
        ):
            return []
        for pending in batch:
            pending.sent_at = now
        self.in_flight = True
        self.n_appends += 1
        self.n_records += len(batch)
        return batch

    def give_up_late(self, *, now: float) -> list[Pending]:
        """Drop and return the records whose deadline has passed."""
        late = [
            pending
            for pending in self.pending_by_id.values()
            if pending.deadline <= now
        ]
        for pending in late:
            del self.pending_by_id[pending.record_id]
            if pending.sent:
                self._given_up[pending.record_id] = None
        while len(self._given_up) > 1000:
            del self._given_up[next(iter(self._given_up))]
        return late

    def _batch(self, *, now: float) -> list[Pending]:
        batch: list[Pending] = []
        room = self._max_batch
        for pending in self.pending_by_id.values():
            if now - pending.sent_at < self._retry_after or pending.deadline <= now:
                continue
            # One that is larger than a whole batch goes alone, but goes.
            if pending.cost > room and batch:
                break
            batch.append(pending)
            room -= pending.cost
            if room <= 0:
                break
        return batch
