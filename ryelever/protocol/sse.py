"""Split byte streams into server-sent events, and encode such events."""

from __future__ import annotations

__all__ = ["DONE", "RawEventSplitter", "SseTooLongError", "SseSplitter", "sse_event"]

#: The event that ends an OpenAI stream.
DONE = b"data: [DONE]\n\n"

END_OF_EVENT = b"\n\n"

#: Maximum size of an event, in bytes.
MAX_EVENT = 1 << 20


#: Maximum bytes of comments between two events.  Servers send a few to keep a
#: connection open; a faulty one may send them without end.
MAX_COMMENTS = 64 * 1024


class SseTooLongError(ValueError):
    """Raised for an event longer than ``MAX_EVENT``, or too many comments in a row."""


class _EventBuffer:
    """Collect bytes until they complete events.

    Each byte is searched once, in however small parts it arrives.
    """

    __slots__ = ("_buffer", "_n_comment_bytes")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._n_comment_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes, without their blank lines.

        Raises
        ------
        SseTooLongError
            If an event does not end within the limit, or no event is among the
            comments.
        """
        searched_from = max(0, len(self._buffer) - 1)
        self._buffer += data
        events = []
        if self._buffer.find(END_OF_EVENT, searched_from) >= 0:
            *events, rest = bytes(self._buffer).split(END_OF_EVENT)
            self._buffer = bytearray(rest)
            self._count_comments(events)
        if len(self._buffer) > MAX_EVENT:
            raise SseTooLongError(f"event is longer than {MAX_EVENT} bytes")
        return events

    def _count_comments(self, events: list[bytes]) -> None:
        for event in events:
            if b"data:" in event or b"id:" in event:
                self._n_comment_bytes = 0
            else:
                self._n_comment_bytes += len(event) + len(END_OF_EVENT)
        if self._n_comment_bytes > MAX_COMMENTS:
            raise SseTooLongError(f"more than {MAX_COMMENTS} bytes of comments")


class SseSplitter:
    """Split a byte stream into events and return the data of each complete event."""

    __slots__ = ("_buffer", "_ends_with_return")

    def __init__(self) -> None:
        self._buffer = _EventBuffer()
        self._ends_with_return = False

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data of the events that ``data`` completes.

        Raises
        ------
        SseTooLongError
            If an event does not end within the limit.
        """
        if self._ends_with_return:
            data = b"\r" + data
        self._ends_with_return = data[-1:] == b"\r"
        if self._ends_with_return:
            data = data[:-1]
        events = self._buffer.feed(data.replace(b"\r\n", b"\n"))
        # Comments, which servers send to keep a connection open, have no data.
        return [data for event in events if (data := _data_of(event))]


class RawEventSplitter:
    """Split a byte stream into complete, unchanged events with their ids.

    A relay must never forward a part of an event: after a failure, the stream may
    continue at another backend server after the last complete event.
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = _EventBuffer()

    @property
    def is_empty(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return not self._buffer

    def feed(self, data: bytes) -> list[tuple[str, bytes]]:
        """Return the id and the bytes of each event that ``data`` completes.

        The id of an event without an id is empty.

        Raises
        ------
        SseTooLongError
            If an event does not end within the limit.
        """
        events = self._buffer.feed(data)
        return [(_id_of(event), event + END_OF_EVENT) for event in events]


def _id_of(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line[:3] == b"id:":
            return line[3:].strip().decode("latin-1")
    return ""


def sse_event(data: bytes) -> bytes:
    """Return ``data`` encoded as one server-sent event."""
    return b"data: " + data + b"\n\n"


def _data_of(event: bytes) -> bytes:
    lines = [line[5:].strip() for line in event.split(b"\n") if line[:5] == b"data:"]
    return b"\n".join(lines)
