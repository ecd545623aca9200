"""Join the small chunks of a request's body before h11 parses it.

h11 takes several microseconds for each chunk, however small: a body of the largest size
in chunks of a byte would take longer to parse than it may take to arrive.
"""

from __future__ import annotations

import re
from functools import lru_cache

__all__ = ["ChunkJoiner"]

#: Maximum bytes of a chunk that is joined with others.
MAX_JOINED = 256

#: Maximum bytes of a chunk's header.  A longer one is left to h11.
MAX_HEADER = 64

_HEADER = re.compile(rb"([0-9A-Fa-f]{1,8})(?:;[^\r\n]{0,40})?\r\n")


class ChunkJoiner:
    """Rewrite a chunked body so that runs of small chunks become one chunk.

    Whatever is no well-formed chunk, such as the last chunk and the trailers, passes
    unchanged, and all that follows it too.
    """

    __slots__ = ("_is_passing", "_n_left", "_rest")

    def __init__(self) -> None:
        # Bytes of the present chunk that are still to arrive, with its line end.
        self._n_left = 0
        self._rest = b""
        self._is_passing = False

    def feed(self, data: bytes) -> bytes:
        """Return the received bytes, joined; up to a small chunk may be kept back."""
        if self._is_passing:
            return data
        data = self._rest + data
        self._rest = b""
        output: list[bytes] = []
        joined = bytearray()
        position = 0
        while position < len(data):
            start = position
            position = self._join(data, start, joined)
            if position > start:
                continue
            _flush(joined, output)
            position = self._pass(data, start, output)
            if position == start:
                self._rest = data[start:]
                break
        _flush(joined, output)
        return b"".join(output)

    def _join(self, data: bytes, start: int, joined: bytearray) -> int:
        """Add the small chunks of one size at a position; return where they end."""
        header = None if self._n_left else _HEADER.match(data, start)
        if header is None:
            return start
        size = int(header[1], 16)
        if not 0 < size <= MAX_JOINED:
            return start
        run = _run_of(header[0], size).match(data, start)
        if run is None:
            return start
        n_header = len(header[0])
        period = n_header + size + 2
        if run.end() - start == period:
            joined += data[start + n_header : start + n_header + size]
            return run.end()
        content = bytearray((run.end() - start) // period * size)
        chunks = run[0]
        for offset in range(size):
            content[offset::size] = chunks[n_header + offset :: period]
        joined += content
        return run.end()

    def _pass(self, data: bytes, start: int, output: list[bytes]) -> int:
        """Pass on what isn't joined; return where it ends, or ``start`` to wait."""
        n_available = len(data) - start
        if not self._n_left:
            header = _HEADER.match(data, start)
            if header is None:
                if n_available < MAX_HEADER and b"\n" not in data[start:]:
                    return start
                return self._pass_all(data, start, output)
            size = int(header[1], 16)
            n_chunk = len(header[0]) + size + 2
            if not size or (size <= MAX_JOINED and n_available >= n_chunk):
                return self._pass_all(data, start, output)
            if size <= MAX_JOINED:
                return start
            self._n_left = n_chunk
        end = min(len(data), start + self._n_left)
        output.append(data[start:end])
        self._n_left -= end - start
        return end

    def _pass_all(self, data: bytes, start: int, output: list[bytes]) -> int:
        self._is_passing = True
        output.append(data[start:])
        return len(data)


def _flush(joined: bytearray, output: list[bytes]) -> None:
    if joined:
        output.append(b"%x\r\n%s\r\n" % (len(joined), joined))
        joined.clear()


@lru_cache(maxsize=MAX_JOINED)
def _run_of(header: bytes, size: int) -> re.Pattern[bytes]:
    """Return the pattern of chunks that all have one header."""
    return re.compile(rb"(?:%s[\s\S]{%d}\r\n)+" % (re.escape(header), size))
