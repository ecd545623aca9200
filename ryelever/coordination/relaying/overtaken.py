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

#: Minimum silence of a stream in proportion to the time that an overtaking one took
#: until its first event, or would have taken with as long a prompt.
SILENCE_RATIO = 2.0

#: Minimum seconds between two requests for their order at the server to be certain.
#: They may use separate connections.
ORDER_MARGIN = 0.1

#: Minimum seconds from the first event of an overtaking stream. The request that was
#: overtaken may have been admitted at the same moment, and its event may be on its way.
BEGUN_MARGIN = 0.3

#: Longest pause between the events of a stream that goes on.
MAX_PAUSE = 0.3

#: Ratio of prompt lengths from which a shorter prompt says nothing about a longer one,
#: for which the server may lack memory.
MAX_SIZE_RATIO = 2.0

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
    open_by_attempt : dict of str to _Stream
        Open streams by the ids of their attempts.
    begun : deque of _Stream
        Streams that have begun lately, whether they are still open or not.
    """

    open_by_attempt: dict[str, _Stream] = msgspec.field(default_factory=dict)
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
        server = self._servers_by_id.setdefault(server_id, _Server())
        server.open_by_attempt[attempt_id] = stream

    def progressed(self, attempt_id: str, *, n_events: int = 1, now: float) -> None:
        """Record events of a stream."""
        stream = self._streams_by_attempt.get(attempt_id)
        if stream is None:
            return
        if not stream.has_begun:
            stream.begun_at = stream.steady_since = now
            self._servers_by_id[stream.server_id].begun.append(stream)
        elif now - stream.last_event_at > MAX_PAUSE:
            stream.steady_since = now
        stream.last_event_at = now
        stream.n_events += n_events

    def ended(self, attempt_id: str) -> None:
        """Record the end of a stream."""
        stream = self._streams_by_attempt.pop(attempt_id, None)
        if stream is None:
            return
        server = self._servers_by_id[stream.server_id]
        del server.open_by_attempt[attempt_id]
        if not server.open_by_attempt:
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
        server = self._servers_by_id[stream.server_id]
        silence = now - max(stream.last_event_at, self._resumed_at)
        if silence <= MIN_SILENCE:
            return False
        if any(
            _has_passed(other, stream, silence=silence, now=now)
            for other in server.begun
        ):
            return True
        return stream.has_begun and any(
            _goes_on_beside(other, stream, now=now)
            for other in server.open_by_attempt.values()
        )


def _has_passed(other: _Stream, stream: _Stream, *, silence: float, now: float) -> bool:
    """Return whether a stream began that was sent after a silent one was last heard.

    It shows that the server had room for the silent stream as well, even if it had
    preempted that stream.
    """
    if (
        other.urgency < stream.urgency
        or other.sent_at < stream.last_event_at + ORDER_MARGIN
        or now < other.begun_at + BEGUN_MARGIN
    ):
        return False
    max_ratio = 1.0 if stream.has_begun else MAX_SIZE_RATIO
    if not stream.n_prompt or stream.n_tokens > max_ratio * other.n_prompt:
        return False
    expected = stream.expected * stream.n_tokens / stream.n_prompt
    longer = max(1.0, expected / other.expected)
    wait = max(expected, longer * other.first_event_time)
    return silence > SILENCE_RATIO * wait


def _goes_on_beside(other: _Stream, stream: _Stream, *, now: float) -> bool:
    """Return whether a newer stream has gone on all the time that one was silent.

    Servers preempt the stream that was admitted last, which the silent one was not.
    """
    return (
        other.urgency >= stream.urgency
        and other.sent_at >= stream.sent_at + ORDER_MARGIN
        and stream.steady_since <= other.steady_since + ORDER_MARGIN
        and other.steady_since <= stream.last_event_at
        and now <= other.last_event_at + MAX_PAUSE
    )
