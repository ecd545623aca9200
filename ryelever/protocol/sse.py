"""Split byte streams into server-sent events, and encode such events."""

from __future__ import annotations

__all__ = ["DONE", "RawEventSplitter", "SseTooLongError", "SseSplitter", "sse_event"]

#: The event that ends an OpenAI stream.
DONE = b"data: [DONE]\n\n"

#: Maximum size of an event, in bytes.
MAX_EVENT = 1 << 20


class SseTooLongError(ValueError):
    """Raised for an event that is longer than ``MAX_EVENT``."""


class SseSplitter:
    """Split a byte stream into events and return the data of each complete event."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data of the events that ``data`` completes.

        Raises
        ------
        SseTooLongError
            If an event does not end within the limit.
        """
        data = self._buffer + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        *events, self._buffer = data.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT:
            raise SseTooLongError(f"event is longer than {MAX_EVENT} bytes")
        # Comments, which servers send to keep a connection open, have no data.
        return [data for event in events if (data := _data_of(event))]


class RawEventSplitter:
    """Split a byte stream into complete, unchanged events with their ids.

    A relay must never forward a part of an event: after a failure, the stream may
    continue at another backend server after the last complete event.
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

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
        data = self._buffer + data
        events = []
        start = 0
        while (end := data.find(b"\n\n", start)) >= 0:
            event = data[start : end + 2]
            events.append((_id_of(event), event))
            start = end + 2
        self._buffer = data[start:]
        if len(self._buffer) > MAX_EVENT:
            raise SseTooLongError(f"event is longer than {MAX_EVENT} bytes")
        return events


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
