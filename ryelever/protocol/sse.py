"""Split a byte stream into server-sent events, and write them."""

from __future__ import annotations

__all__ = ["DONE", "SseTooLongError", "SseSplitter", "sse_event"]

#: The event that ends an OpenAI stream.
DONE = b"data: [DONE]\n\n"

#: Longest event accepted, in bytes.
MAX_EVENT = 1 << 20


class SseTooLongError(ValueError):
    """Report an event beyond the limit."""


class SseSplitter:
    """Collect bytes and return the data of each complete event."""

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
        # Comments, which keep a connection awake, are events without data.
        return [data for event in events if (data := _data_of(event))]


def sse_event(data: bytes) -> bytes:
    """Return one event with ``data``."""
    return b"data: " + data + b"\n\n"


def _data_of(event: bytes) -> bytes:
    lines = [line[5:].strip() for line in event.split(b"\n") if line[:5] == b"data:"]
    return b"\n".join(lines)
