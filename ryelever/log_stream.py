"""Write log lines to a stream without ever blocking on its reader.

With blocking writes, a stalled reader or an unread pipe would stop the process at its
next log line: the host would stop answering callers, without any hint in its log.
Instead, lines are kept in a bounded buffer.  When the buffer is full, new lines are
dropped, and the number of dropped lines is logged as soon as there is room.
"""

from __future__ import annotations

import json
import logging
import os

__all__ = ["LineRates", "StreamWriter"]

#: Size in bytes of the buffer for unread lines: some seconds of a busy host's lines.
MAX_BUFFERED = 256 * 1024

#: Maximum lines a second of one kind.  Lines about failures count as a kind of their
#: own, so that they are kept when other lines are dropped.  A host that serves a
#: hundred requests a second writes about that many lines.
MAX_LINES_OF_KIND = 150

#: Maximum lines a second of all kinds together.
MAX_LINES = 400


class LineRates:
    """Limit the lines of each second, by kind and in total.

    Attributes
    ----------
    n_dropped : int
        Number of lines refused so far.
    """

    def __init__(self) -> None:
        self._second = -1
        self._n_by_kind: dict[str, int] = {}
        self._n = 0
        self.n_dropped = 0

    def allow(self, kind: str, *, now: float) -> bool:
        """Return whether one more line of a kind may be written, and count the line."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._n_by_kind.clear()
            self._n = 0
        n_of_kind = self._n_by_kind.get(kind, 0) + 1
        if n_of_kind > MAX_LINES_OF_KIND or self._n >= MAX_LINES:
            self.n_dropped += 1
            return False
        self._n_by_kind[kind] = n_of_kind
        self._n += 1
        return True


class StreamWriter(logging.Handler):
    """Write records to a non-blocking file descriptor.

    Parameters
    ----------
    fd : int
        File descriptor, which is set to non-blocking mode.

    Attributes
    ----------
    n_written, n_lost : int
        Number of lines accepted into the buffer, and dropped because it was full.
    """

    def __init__(self, *, fd: int) -> None:
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._buffer = bytearray()
        self._rates = LineRates()
        self._n_reported = 0
        self.n_written = 0
        self.n_lost = 0

    @property
    def n_dropped(self) -> int:
        """Return the number of lines dropped, by rate limits or for lack of room."""
        return self.n_lost + self._rates.n_dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        fields = getattr(record, "fields", {})
        status = fields.get("status", 200)
        failed = record.levelno > logging.INFO or status >= 400 or status == 0
        kind = f"{record.getMessage()} {failed}"
        if not self._rates.allow(kind, now=record.created):
            return
        self._report_dropped(record)
        self._put(self.format(record))

    def flush(self) -> None:
        """Write buffered lines until the buffer is empty or a write would block."""
        while self._buffer:
            try:
                n = os.write(self._fd, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the stream, so the lines can't be delivered.
                self._buffer.clear()
                return
            del self._buffer[:n]

    def _put(self, line: str) -> None:
        data = line.encode() + b"\n"
        if len(self._buffer) + len(data) > MAX_BUFFERED:
            self.n_lost += 1
        else:
            self._buffer += data
            self.n_written += 1
        self.flush()

    def _report_dropped(self, record: logging.LogRecord) -> None:
        n = self.n_dropped
        room = len(self._buffer) < MAX_BUFFERED // 2
        if n == self._n_reported or not room:
            return
        line = {
            "time": round(record.created, 3),
            "level": "warning",
            "event": "log_lines_left_out",
            "n": n - self._n_reported,
            "n_in_all": n,
        }
        self._n_reported = n
        self._put(json.dumps(line))
