"""Test the splitting and encoding of server-sent events."""

from __future__ import annotations

import pytest

from ryelever.protocol.sse import (
    MAX_COMMENTS,
    MAX_EVENT,
    RawEventSplitter,
    SseSplitter,
    SseTooLongError,
    sse_event,
)

STREAMS = [
    (b"data: a\n\ndata: b\n\n", [b"a", b"b"]),
    (b"data:a\n\n", [b"a"]),
    (b"data: a\ndata: b\n\n", [b"a\nb"]),
    (b"event: x\nid: 3\ndata: a\n\n", [b"a"]),
    (b": ping\n\ndata: a\n\n: ping\n\n", [b"a"]),
    (b"retry: 5\n\n", []),
    (b"\n\n\n\ndata: a\n\n", [b"a"]),
    (b"data: a\r\n\r\ndata: b\r\n\r\n", [b"a", b"b"]),
    (b"data: a\n\ndata: b", [b"a"]),
    ("data: ação\n\n".encode(), ["ação".encode()]),
]


@pytest.mark.parametrize(("stream", "events"), STREAMS)
def test_events_do_not_depend_on_how_the_stream_is_split(
    stream: bytes, events: list[bytes]
) -> None:
    """Return each event exactly once, wherever the received chunks end.

    Guards against a stream that counts as broken and restarts at another group: an
    engine sends a comment to keep the connection open, or ends its lines with CR LF.
    The comment was treated as an event without data, and CR LF was not recognized as
    the end of an event.
    """
    for size in range(1, len(stream) + 1):
        splitter = SseSplitter()
        found = []
        for start in range(0, len(stream), size):
            found += splitter.feed(stream[start : start + size])
        assert found == events, size


@pytest.mark.parametrize(("stream", "events"), STREAMS)
def test_raw_events_pass_unchanged_however_the_stream_is_split(
    stream: bytes, events: list[bytes]
) -> None:
    """Guard against events that are lost or joined where a received chunk ends."""
    complete, found, rest = stream.rpartition(b"\n\n")
    for size in range(1, len(stream) + 1):
        splitter = RawEventSplitter()
        passed = b"".join(
            event
            for start in range(0, len(stream), size)
            for _, event in splitter.feed(stream[start : start + size])
        )
        assert passed == complete + found
        assert splitter.is_empty is (not rest)


def test_event_beyond_the_limit_is_an_error() -> None:
    splitter = SseSplitter()
    splitter.feed(b"data: ")
    with pytest.raises(SseTooLongError):
        splitter.feed(b"a" * (MAX_EVENT + 1))


@pytest.mark.parametrize("splitter_type", [SseSplitter, RawEventSplitter])
def test_comments_without_end_are_an_error(splitter_type: type) -> None:
    """Guard against streams of comments that are read until their deadline."""
    splitter = splitter_type()
    most = b": ping\n\n" * (MAX_COMMENTS // 8)
    splitter.feed(most)
    assert splitter.feed(b"id: 1\ndata: a\n\n")
    splitter.feed(most)
    with pytest.raises(SseTooLongError):
        splitter.feed(b": ping\n\n")


def test_written_event_is_read_back() -> None:
    assert SseSplitter().feed(sse_event(b'{"a":1}')) == [b'{"a":1}']
