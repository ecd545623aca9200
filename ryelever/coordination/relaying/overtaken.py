"""Detect single silent streams at servers that go on with other streams.

A server may never answer one request, or stop in the middle of one stream, while it
serves others. Servers admit requests by urgency and then in their order, so that one
that waits its turn is not overtaken by later requests of the same or a lower urgency,
unless it takes longer to read.
"""

from __future__ import annotations

from collections import deque

import msgspec

__all__ = ["MIN_SILENCE", "OvertakenWatch"]

#: Minimum seconds without an event after which a stream counts as overtaken.
MIN_SILENCE = 0.9

#: Minimum seconds between two requests for their order at the server to be certain.
#: They may use separate connections, and one may lose a packet.
ORDER_MARGIN = 0.25

#: Minimum seconds from the first event of an overtaking stream. The request that was
#: overtaken may have been admitted at the same moment, and its event may be on its way.
BEGUN_MARGIN = 0.3

#: The same in proportion to the time that the overtaking stream took until its first
#: event, and to the time that is expected of the other one.
BEGUN_RATIO = 0.25
READING_RATIO = 2.0

#: Longest pause between the events of a stream that goes on.
MAX_PAUSE = 0.3

#: Pause between two events from which a server may have preempted the stream and
#: admitted it again.
MIN_PREEMPTION = 0.15

#: Minimum seconds for which a newer stream goes on beside a silent one.
BESIDE = 0.6

#: Prompt tokens read per second where no rate is published.
DEFAULT_READING_RATE = 4000.0

#: Assumed number of tokens in one event.
TOKENS_PER_EVENT = 16

#: Number of first events that are kept for each server, the latest ones.
MAX_BEGUN = 16

#: Seconds between two checks beyond which this process itself was delayed, so that
#: events may be waiting unread.
MAX_CHECK_GAP = 0.25


class _Stream(msgspec.Struct, kw_only=True, eq=False):
    """One open attempt of a stream.

    Attributes
    ----------
    urgency : int
        Priority that the server was sent; 0 is admitted first.
    n_prompt : int
        Tokens of the prompt; 0 if unknown.
    expected : float
        Seconds to the first event that are expected at a server with a free slot.
    begun_at : float
        Monotonic time of the first event; infinite before.
    last_event_at : float
        Monotonic time of the last event; that of sending before the first one.
    admitted_at : float
        Monotonic time of the first event, or of the last one before which the stream
        may have been preempted.
    steady_since : float
        Monotonic time since which no pause has been longer than ``MAX_PAUSE``.
    """

    server_id: str
    sent_at: float
    urgency: int
    n_prompt: int
    expected: float
    last_event_at: float
    begun_at: float = float("inf")
    admitted_at: float = float("inf")
    steady_since: float = float("inf")
    n_events: int = 0

    @property
    def has_begun(self) -> bool:
        """Return whether the stream has had an event."""
        return self.n_events > 0

    @property
    def first_event_time(self) -> float:
        """Return the seconds from sending to the first event."""
        return self.begun_at - self.sent_at

    @property
    def n_tokens(self) -> int:
        """Return the tokens that the server reads if it begins again."""
        return self.n_prompt + self.n_events * TOKENS_PER_EVENT


class _Server(msgspec.Struct, kw_only=True):
    """The streams of one server.

    Attributes
    ----------
    n_open : int
        Number of open streams.
    begun : deque of _Stream
        Streams that have begun lately, whether they are still open or not.
    """

    n_open: int = 0
    begun: deque[_Stream] = msgspec.field(
        default_factory=lambda: deque(maxlen=MAX_BEGUN)
    )


class OvertakenWatch:
    """Detect silent streams whose servers go on with streams that were sent later."""

    __slots__ = ("_checked_at", "_resumed_at", "_servers_by_id", "_streams_by_attempt")

    def __init__(self) -> None:
        self._servers_by_id: dict[str, _Server] = {}
        self._streams_by_attempt: dict[str, _Stream] = {}
        self._checked_at = float("-inf")
        self._resumed_at = float("-inf")

    def sent(
        self,
        server_id: str,
        attempt_id: str,
        *,
        urgency: int,
        n_prompt: int,
        expected: float,
        now: float,
    ) -> None:
        """Record that a stream was requested from a server.

        Parameters
        ----------
        urgency : int
            Priority that the server was sent; 0 is admitted first.
        n_prompt : int
            Tokens of the prompt; not positive if unknown.
        expected : float
            Seconds to the first event that are expected at a server with a free slot;
            0 if unknown.
        """
        stream = _Stream(
            server_id=server_id,
            sent_at=now,
            urgency=urgency,
            n_prompt=max(0, n_prompt),
            expected=expected or max(0, n_prompt) / DEFAULT_READING_RATE,
            last_event_at=now,
        )
        self._streams_by_attempt[attempt_id] = stream
        self._servers_by_id.setdefault(server_id, _Server()).n_open += 1

    def progressed(self, attempt_id: str, *, n_events: int = 1, now: float) -> None:
        """Record events of a stream."""
        stream = self._streams_by_attempt.get(attempt_id)
        if stream is None:
            return
        pause = now - stream.last_event_at
        if not stream.has_begun:
            stream.begun_at = stream.admitted_at = stream.steady_since = now
            self._servers_by_id[stream.server_id].begun.append(stream)
        else:
            if pause > MIN_PREEMPTION:
                stream.admitted_at = now
            if pause > MAX_PAUSE:
                stream.steady_since = now
        stream.last_event_at = now
        stream.n_events += n_events

    def ended(self, attempt_id: str) -> None:
        """Record the end of a stream."""
        stream = self._streams_by_attempt.pop(attempt_id, None)
        if stream is None:
            return
        server = self._servers_by_id[stream.server_id]
        server.n_open -= 1
        if not server.n_open:
            del self._servers_by_id[stream.server_id]

    def overtaken(self, *, now: float) -> list[str]:
        """Return the attempts whose streams are overtaken, oldest first."""
        was_delayed = now - self._checked_at > MAX_CHECK_GAP
        self._checked_at = now
        if was_delayed:
            self._resumed_at = now
            return []
        return [
            attempt_id
            for attempt_id, stream in self._streams_by_attempt.items()
            if now - stream.last_event_at > MIN_SILENCE
            and self._is_overtaken(stream, now=now)
        ]

    def _is_overtaken(self, stream: _Stream, *, now: float) -> bool:
        if now - self._resumed_at <= MIN_SILENCE:
            return False
        return any(
            _has_passed(other, stream, now=now) or _went_on_beside(other, stream)
            for other in self._servers_by_id[stream.server_id].begun
        )


def _has_passed(other: _Stream, stream: _Stream, *, now: float) -> bool:
    """Return whether a stream has begun that was sent after the silence of one.

    Its prompt is no shorter than what the server reads of the silent stream, so that
    there was room for either, even if the server had preempted that stream.
    """
    if (
        other.urgency < stream.urgency
        or other.sent_at < stream.last_event_at + ORDER_MARGIN
        or not 0 < stream.n_prompt <= stream.n_tokens <= other.n_prompt
    ):
        return False
    expected = stream.expected * stream.n_tokens / stream.n_prompt
    margin = max(
        BEGUN_MARGIN,
        BEGUN_RATIO * other.first_event_time,
        READING_RATIO * expected,
    )
    return now > other.begun_at + margin


def _went_on_beside(other: _Stream, stream: _Stream) -> bool:
    """Return whether a newer stream has gone on since the last event of a silent one.

    Servers preempt the stream that they admitted last, which the silent one was not.
    """
    return (
        other.urgency >= stream.urgency
        and other.sent_at > stream.sent_at
        and stream.admitted_at <= other.begun_at
        and other.steady_since <= stream.last_event_at
        and other.last_event_at >= stream.last_event_at + BESIDE
    )
