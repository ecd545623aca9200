"""Test that logging never blocks, and that dropped lines are reported."""

from __future__ import annotations

import json
import logging
import os
from collections.abc import Iterator

import pytest

from ryelever.log_stream import MAX_BUFFERED, MAX_LINES, MAX_LINES_OF_KIND, StreamWriter
from ryelever.logs import JsonFormatter


class Pipe:
    """A writer and the read end of its pipe."""

    def __init__(self) -> None:
        self.read_fd, self.write_fd = os.pipe()
        os.set_blocking(self.read_fd, False)
        self.writer = StreamWriter(fd=self.write_fd)
        self.writer.setFormatter(JsonFormatter())
        self._rest = b""

    def log(self, event: str, *, at: float, **fields: object) -> None:
        record = logging.LogRecord("l", logging.INFO, "", 0, event, None, None)
        record.created = at
        record.fields = fields
        self.writer.handle(record)

    def lines(self) -> list[dict[str, object]]:
        data = self._rest
        while True:
            try:
                more = os.read(self.read_fd, 1 << 16)
            except BlockingIOError:
                break
            if not more:
                break
            data += more
        complete, _, self._rest = data.rpartition(b"\n")
        return [json.loads(line) for line in complete.splitlines()]


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    opened = Pipe()
    yield opened
    os.close(opened.read_fd)
    os.close(opened.write_fd)


def test_line_has_the_fields_of_its_event(pipe: Pipe) -> None:
    pipe.log("answered", at=1.0, request="r1", status=200)
    assert pipe.lines() == [
        {"time": 1.0, "level": "info", "event": "answered", "request": "r1"}
        | {"status": 200}
    ]


def test_unread_pipe_does_not_block_the_process(pipe: Pipe) -> None:
    """Guard against a host that stops answering because its log isn't read.

    The reader of the log stalls, the pipe fills up, and a blocking write of the next
    line would wait for the reader, without any hint in the log.
    """
    n = 0
    while pipe.writer.n_lost == 0:
        pipe.log("answered", at=float(n // 100), padding="x" * 2000)
        n += 1
    assert n * 2000 > MAX_BUFFERED
    # The reader resumes and gets the buffered lines and the number of dropped lines.
    lines = pipe.lines()
    for _ in range(20):
        pipe.log("later", at=1000.0)
        lines += pipe.lines()
    left_out = [line for line in lines if line["event"] == "log_lines_left_out"]
    assert left_out[0]["n"] >= 1
    assert left_out[-1]["n_in_all"] == pipe.writer.n_dropped
    assert lines[-1]["event"] == "later"


def test_closed_reader_does_not_raise(pipe: Pipe) -> None:
    os.close(pipe.read_fd)
    pipe.log("answered", at=1.0)
    pipe.log("answered", at=1.0)
    pipe.read_fd = os.open(os.devnull, os.O_RDONLY)


def test_lines_are_limited_and_failures_kept(pipe: Pipe) -> None:
    for number in range(1000):
        pipe.log("answered", at=5.5, request=f"r{number}", status=200)
    for number in range(50):
        pipe.log("answered", at=5.6, request=f"f{number}", status=503)
    # A stream that was cut off midway is logged with status 0.
    for number in range(50):
        pipe.log("answered", at=5.7, request=f"c{number}", status=0)
    lines = pipe.lines()
    statuses = [line.get("status") for line in lines]
    assert statuses.count(200) == MAX_LINES_OF_KIND
    assert statuses.count(503) == 50
    assert statuses.count(0) == 50
    [report] = [line for line in lines if line["event"] == "log_lines_left_out"]
    assert report["n_in_all"] == 1000 - MAX_LINES_OF_KIND


def test_lines_of_all_kinds_are_limited(pipe: Pipe) -> None:
    for number in range(1000):
        pipe.log(f"kind-{number}", at=5.5)
    assert len(pipe.lines()) <= MAX_LINES + 1
