"""Write log lines to a stream without ever waiting for its reader.

A reader that stalls, or a pipe that nobody reads, would stop the process at the next
line; callers would see it as a host that answers nothing, and nothing in its log
would say why.  So lines wait in a bounded buffer, the newest are dropped when it is
full, and how many is told as soon as there is room.
"""

from __future__ import annotations

import json
import logging
import os

__all__ = ["LineRates", "StreamWriter"]

#: Bytes that wait for a reader: some seconds of a busy host's lines.
MAX_WAITING = 256 * 1024

#: Lines a second of one kind that are written; those that tell of failures count by
#: themselves, so that they are there when the others are left out.  A host that
#: serves a hundred requests a second writes about as many.
MAX_LINES_OF_KIND = 150

#: Lines a second in all.
MAX_LINES = 400


class LineRates:
    """Bound the lines of each second, by kind and in all.

    Attributes
    ----------
    n_left_out : int
        Lines that were not written so far.
    """

    def __init__(self) -> None:
        self._second = -1
        self._n_by_kind: dict[str, int] = {}
        self._n = 0
        self.n_left_out = 0

    def allow(self, kind: str, *, now: float) -> bool:
        """Tell whether one more line of a kind may be written."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._n_by_kind.clear()
            self._n = 0
        n_of_kind = self._n_by_kind.get(kind, 0) + 1
        if n_of_kind > MAX_LINES_OF_KIND or self._n >= MAX_LINES:
            self.n_left_out += 1
            return False
        self._n_by_kind[kind] = n_of_kind
        self._n += 1
        return True


class StreamWriter(logging.Handler):
    """Write records to a file descriptor that never blocks.

    Parameters
    ----------
    fd : int
        File descriptor; it is set not to block.

    Attributes
    ----------
    n_written, n_lost : int
        Lines that were written, and that found no room.
    """

    def __init__(self, *, fd: int) -> None:
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._waiting = bytearray()
        self._rates = LineRates()
        self._n_told = 0
        self.n_written = 0
        self.n_lost = 0

    @property
    def n_left_out(self) -> int:
        """Return how many lines were not written, for whatever reason."""
        return self.n_lost + self._rates.n_left_out

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as left out."""
        fields = getattr(record, "fields", {})
        status = fields.get("status", 200)
        failed = record.levelno > logging.INFO or status >= 400 or status == 0
        kind = f"{record.getMessage()} {failed}"
        if not self._rates.allow(kind, now=record.created):
            return
        self._tell_left_out(record)
        self._put(self.format(record))

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._waiting:
            try:
                n = os.write(self._fd, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; nobody is left to tell.
                self._waiting.clear()
                return
            del self._waiting[:n]

    def _put(self, line: str) -> None:
        data = line.encode() + b"\n"
        if len(self._waiting) + len(data) > MAX_WAITING:
            self.n_lost += 1
        else:
            self._waiting += data
            self.n_written += 1
        self.flush()

    def _tell_left_out(self, record: logging.LogRecord) -> None:
        n = self.n_left_out
        room = len(self._waiting) < MAX_WAITING // 2
        if n == self._n_told or not room:
            return
        line = {
            "time": round(record.created, 3),
            "level": "warning",
            "event": "log_lines_left_out",
            "n": n - self._n_told,
            "n_in_all": n,
        }
        self._n_told = n
        self._put(json.dumps(line))
