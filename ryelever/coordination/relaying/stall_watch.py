"""Detect stalled groups by the silence of all their streams.

A group that loses a member goes on accepting requests for seconds without making
progress. Its streams show the stall at once: while a group works, each stream gets an
event in every batch step, some tens of milliseconds apart.
"""

from __future__ import annotations

import msgspec

from ..stream_silence import STREAM_SILENCE

__all__ = ["StallWatch"]

#: Seconds without a first event after which a group counts as stalled if none of its
#: streams has started.
FIRST_EVENT_SILENCE = 1.2

#: Seconds for which a group is reported as stalled after its stall was detected, unless
#: the group makes progress. Its members are probed meanwhile, and a lost member is
#: known within a second.
STALL_REPORTED_FOR = 2.5

#: Seconds between two ticks beyond which this process itself was delayed, so that
#: events may be waiting unread. Ticks come every 0.1 s, some of them late.
MAX_TICK_GAP = 0.25


class _Activity(msgspec.Struct, kw_only=True):
    """The streams that one group serves for this host.

    Attributes
    ----------
    progressed_at : float
        Monotonic time of the last event, or of the start of the first stream.
    event_at : float
        Monotonic time of the last event.
    is_reported : bool
        True if the current stall has been reported.
    attempts : set of str
        Ids of the attempts whose streams are open.
    started : set of str
        Ids of those of them on which an event has arrived since the last stall.
    """

    progressed_at: float
    event_at: float = float("-inf")
    is_reported: bool = False
    attempts: set[str] = msgspec.field(default_factory=set)
    started: set[str] = msgspec.field(default_factory=set)


class StallWatch:
    """Detect groups whose streams have all stopped making progress."""

    def __init__(self) -> None:
        self._activity_by_id: dict[str, _Activity] = {}
        self._stalled_since_by_id: dict[str, float] = {}
        self._checked_at = float("-inf")

    def began(self, server_id: str, attempt_id: str, *, now: float) -> None:
        """Record that a stream was requested from a group."""
        activity = self._activity_by_id.get(server_id)
        if activity is None or not activity.attempts:
            activity = self._activity_by_id[server_id] = _Activity(progressed_at=now)
        elif activity.is_reported and attempt_id not in activity.attempts:
            # Attempts that are held stay open at a stalled group for long.
            activity.progressed_at = now
            activity.started.clear()
            activity.is_reported = False
        activity.attempts.add(attempt_id)

    def progressed(self, server_id: str, attempt_id: str, *, now: float) -> None:
        """Record an event of a group."""
        activity = self._activity_by_id.get(server_id)
        if activity is not None:
            activity.progressed_at = activity.event_at = now
            activity.started.add(attempt_id)
            activity.is_reported = False
            self._stalled_since_by_id.pop(server_id, None)

    def ended(self, server_id: str, attempt_id: str) -> None:
        """Record the end of a stream."""
        activity = self._activity_by_id.get(server_id)
        if activity is None:
            return
        activity.attempts.discard(attempt_id)
        # Streams that wait their turn say nothing about a group that has ended others.
        activity.started.discard(attempt_id)
        if not activity.attempts:
            del self._activity_by_id[server_id]

    def still(self, *, now: float) -> list[str]:
        """Return the heads whose groups stalled a short while ago.

        The streams of a stalled group are moved away at once if possible, after which
        nothing shows whether the group is still stalled.
        """
        for server_id, since in list(self._stalled_since_by_id.items()):
            if now - since > STALL_REPORTED_FOR:
                del self._stalled_since_by_id[server_id]
        return list(self._stalled_since_by_id)

    def stalled(self) -> set[str]:
        """Return the heads whose groups have sent nothing since their stall."""
        return {
            server_id
            for server_id, activity in self._activity_by_id.items()
            if activity.is_reported
        }

    def has_progressed(self, server_id: str, *, now: float) -> bool:
        """Return whether a group has recently sent an event to this host."""
        activity = self._activity_by_id.get(server_id)
        return activity is not None and now - activity.event_at <= STREAM_SILENCE

    def newly_stalled(self, *, now: float) -> list[str]:
        """Return the heads whose groups have stalled since the last call."""
        was_delayed = now - self._checked_at > MAX_TICK_GAP
        self._checked_at = now
        if was_delayed:
            for activity in self._activity_by_id.values():
                activity.progressed_at = now
            return []
        still = []
        for server_id, activity in self._activity_by_id.items():
            limit = STREAM_SILENCE if activity.started else FIRST_EVENT_SILENCE
            if not activity.is_reported and now - activity.progressed_at > limit:
                activity.is_reported = True
                self._stalled_since_by_id[server_id] = now
                still.append(server_id)
        return still
