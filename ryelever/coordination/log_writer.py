"""Append records in batches and settle each only when it is read back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..state.records import Record

__all__ = ["LogWriter", "Pending"]


@dataclass(slots=True, kw_only=True)
class Pending:
    """Hold a record until it is read back or its deadline has passed.

    Attributes
    ----------
    deadline : float
        Monotonic time after which the record is not appended again.
    sent_at : float
        Monotonic time of the newest append, or minus infinity.
    """

    record_id: str
    record: Record
    deadline: float
    sent_at: float = float("-inf")


class LogWriter:
    """Decide what to append to one stream, and when to append it again.

    The answer to an append proves nothing: it can be lost after the append has
    taken effect.  A record is therefore appended again, with the same id, until
    it has been read back; the fold drops the second.

    Parameters
    ----------
    retry_after : float
        Seconds after which a record that was not read back is appended again.
    max_batch : int
        Records in one append.
    """

    def __init__(self, *, retry_after: float = 1.0, max_batch: int = 200) -> None:
        self._retry_after = retry_after
        self._max_batch = max_batch
        self.pending_by_id: dict[str, Pending] = {}
        self.in_flight = False

    def add(self, record: Record, *, record_id: str, deadline: float) -> None:
        """Take a record that is to be appended."""
        self.pending_by_id[record_id] = Pending(
            record_id=record_id, record=record, deadline=deadline
        )

    def read_back(self, record_id: str) -> bool:
        """Settle a record that was read back; tell whether it was pending."""
        return self.pending_by_id.pop(record_id, None) is not None

    def answered(self) -> None:
        """Take note that the append in flight was answered or has failed."""
        self.in_flight = False

    def failed(self) -> None:
        """Make every sent record due again at the next try."""
        self.in_flight = False

    def due(self, *, now: float) -> list[Pending]:
        """Return the next batch, or nothing while one is in flight."""
        if self.in_flight:
            return []
        self._drop_late(now=now)
        batch = [
            pending
            for pending in self.pending_by_id.values()
            if now - pending.sent_at >= self._retry_after
        ][: self._max_batch]
        for pending in batch:
            pending.sent_at = now
        self.in_flight = bool(batch)
        return batch

    def _drop_late(self, *, now: float) -> None:
        late = [
            record_id
            for record_id, pending in self.pending_by_id.items()
            if pending.deadline <= now
        ]
        for record_id in late:
            del self.pending_by_id[record_id]
