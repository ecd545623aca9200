"""Test that joined chunks are the same body, and nothing else changes."""

from __future__ import annotations

import random

import h11
import pytest

from ryelever.transport.chunk_joiner import ChunkJoiner

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

ENDS = (b"0\r\n\r\n", b"0\r\nA: b\r\n\r\n", b"0\r\n\r\nGET / HTTP/1.1\r\n\r\n")

SIZES = (1, 1, 1, 2, 3, 16, 255, 256, 257, 1000)


def _parse(parts: list[bytes], joiner: ChunkJoiner | None) -> tuple[object, ...]:
    """Return outcome, trailers, body and the bytes behind it."""
    http = h11.Connection(h11.SERVER)
    http.receive_data(HEAD)
    http.next_event()
    body = bytearray()
    for index, part in enumerate(parts):
        data = part if joiner is None else joiner.feed(part)
        if not data:
            continue
        http.receive_data(data)
        while (event := http.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.EndOfMessage):
                rest = bytes(http.trailing_data[0]) + b"".join(parts[index + 1 :])
                return "end", list(event.headers), bytes(body), rest
            body += event.data
    return ("incomplete",)


def _outcome(parts: list[bytes], joiner: ChunkJoiner | None) -> tuple[object, ...]:
    try:
        return _parse(parts, joiner)
    except h11.RemoteProtocolError:
        return ("malformed",)


@pytest.mark.parametrize("seed", range(200))
def test_joined_chunks_are_parsed_alike(seed: int) -> None:
    """Guard against a body that is changed, or a malformed one that is accepted."""
    rng = random.Random(seed)
    wire = bytearray()
    for _ in range(rng.randrange(12)):
        size = rng.choice(SIZES)
        extension = rng.choice((b"", b"", b";name=value"))
        content = bytes(rng.choices(b"\r\n01;x", k=size))
        wire += b"%x%s\r\n%s\r\n" % (size, extension, content)
    wire += rng.choice(ENDS)
    if rng.random() < 0.3:
        wire[rng.randrange(len(wire))] = rng.choice(b"\r\n01;x")
    parts = []
    while wire:
        n_part = rng.choice((1, 2, 5, 50, 5000))
        parts.append(bytes(wire[:n_part]))
        del wire[:n_part]
    expected = _outcome(parts, None)
    found = _outcome(parts, ChunkJoiner())
    # A malformed chunk may still be kept back when no more bytes follow.
    assert found in (expected, ("incomplete",))
    assert found == expected or expected == ("malformed",)


def test_chunks_of_a_byte_become_one() -> None:
    """Guard against handing each of them to h11, which takes microseconds for each."""
    joiner = ChunkJoiner()
    assert joiner.feed(b"1\r\nx\r\n" * 1000) == b"3e8\r\n" + b"x" * 1000 + b"\r\n"
