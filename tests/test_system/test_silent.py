"""Let connections go silent, break and stall."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket

from ..callers import Answer, Caller, new_key
from ..processes import PATIENCE, Fleet, wait_until

LEADERS = ("d0-0", "d1-0")


def test_silent_connections_towards_engines(fleet: Fleet) -> None:
    """Drop what is open towards every leader while new connections work.

    Symptom: streams that hang until their deadline, and pooled connections that
    swallow one request after the other.  Sequence: a device between the two ends
    loses track of all its connections; nobody is told.  Cause: only the lack of
    progress tells, and every other old connection to that peer is as dead.
    """
    fleet.start_world(n_groups=2, cut=LEADERS, progress_timeout=1.0)

    def silence() -> None:
        for leader in LEADERS:
            fleet.control(f"{leader}-cut", silence=True)

    answers = asyncio.run(
        Caller(fleet).stream_all(
            fleet.entries_by_name.values(),
            n_streams=40,
            n_tokens=100,
            inject_fault=silence,
        )
    )
    assert [answer.error for answer in answers if not answer.is_complete] == []
    assert sum(fleet.counts(f"{name}-cut")["n_silenced"] for name in LEADERS) > 30


def test_silent_connections_towards_the_log(fleet: Fleet) -> None:
    """Drop what is open towards the log while new connections work.

    Symptom: bookings are refused for as long as the old connections are believed
    in.  Sequence: a booking's claim is appended over a connection that has gone
    silent.  Cause: as towards engines; the append has to go over a new one.
    """
    fleet.start_world(
        entries=("e1",), cut=("log",), progress_timeout=1.0, claim_timeout=PATIENCE
    )
    entry = fleet.entries_by_name["e1"]
    caller = Caller(fleet)
    assert caller.book(entry, new_key()).status_code == 201
    fleet.control("log-cut", silence=True)
    answer = caller.book(entry, new_key())
    assert answer.status_code == 201, answer.text
    assert fleet.n_runs() == [1, 1]


def test_answers_cut_off_after_some_bytes(fleet: Fleet) -> None:
    """Break connections in the middle of an answer, on the only group.

    Symptom: an answer that just ends.  Sequence: three connections break after
    some hundred bytes, with no other group to go on with.  Cause: the group itself
    is well; after it has confirmed itself, the stream resumes there.
    """
    fleet.start_world(
        entries=("e1",), cut=("d0-0",), report_max_age=1.0, report_interval=0.25
    )
    entry = fleet.entries_by_name["e1"]
    caller = Caller(fleet)
    prompts = [f"cut {index}" for index in range(6)]
    begun: set[str] = set()

    async def run() -> list[Answer]:
        # A caller that comes after the first break, while nothing confirms the
        # group, is rightly refused: all are under way before.
        all_begun = asyncio.Event()

        def note(prompt: str) -> None:
            begun.add(prompt)
            if len(begun) == len(prompts):
                all_begun.set()

        streams = [
            asyncio.ensure_future(
                caller.stream(
                    entry,
                    prompt,
                    n_tokens=200,
                    on_token=lambda prompt=prompt: note(prompt),
                )
            )
            for prompt in prompts
        ]
        await asyncio.wait_for(all_begun.wait(), PATIENCE)
        await asyncio.to_thread(fleet.control, "d0-0-cut", cut_after=1500, n_cuts=3)
        return await asyncio.gather(*streams)

    answers = asyncio.run(run())
    assert [answer.error for answer in answers if not answer.is_complete] == []
    assert entry.process.events("attempt_failed")


def _ask(fleet: Fleet, sock: socket.socket, *, n_tokens: int) -> None:
    body = json.dumps(
        {
            "model": "notes",
            "messages": [{"role": "user", "content": "much"}],
            "max_tokens": n_tokens,
            "stream": True,
        }
    )
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {fleet.keys_by_account['pawroute']}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    sock.sendall((head + body).encode())


def _connect(fleet: Fleet) -> socket.socket:
    host, _, port = fleet.entries_by_name["e1"].address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    return sock


def _n_busy(fleet: Fleet) -> int:
    counts = fleet.counts("d0-0")
    return counts["n_running"] + counts["n_waiting"]


def test_caller_that_stops_reading_is_cut_off(fleet: Fleet) -> None:
    """Leave a long answer unread for good.

    Symptom: memory of the entry host, and a place in the engine's batch, are held
    until the request's deadline.  Sequence: a caller asks for megabytes and reads
    nothing, but keeps its connection open.  Cause: a paused connection makes no
    progress, and nobody counts how long.
    """
    fleet.start_world(entries=("e1",), engine=("--step-ms", "1"), unread_timeout=1.0)
    fleet.control("d0-0", token_bytes=20_000)
    entry = fleet.entries_by_name["e1"]
    with contextlib.closing(_connect(fleet)) as sock:
        _ask(fleet, sock, n_tokens=30_000)
        wait_until(
            lambda: any(caller["stalled"] for caller in _callers(fleet)),
            what="the caller is noticed to stall",
        )
        wait_until(lambda: not entry.dump()["requests"], what="the request ends")
        wait_until(lambda: not _n_busy(fleet), what="the engine stops")
        wait_until(
            lambda: not any(caller["stalled"] for caller in _callers(fleet)),
            what="the connection is closed",
        )


def _callers(fleet: Fleet) -> list[dict]:
    return fleet.entries_by_name["e1"].dump()["connections"]["callers"]


def test_cancel_reaches_an_engine_behind_a_silent_connection(fleet: Fleet) -> None:
    """Leave while the connection to the engine is silent.

    Symptom: an engine that generates to the end for nobody.  Sequence: the path to
    the engine goes silent, the caller leaves, the entry host closes a connection
    whose other end never hears of it.  Cause: closing is no message; the engine has
    to be told over a new connection.
    """
    fleet.start_world(entries=("e1",), cut=("d0-0",))
    with contextlib.closing(_connect(fleet)) as sock:
        _ask(fleet, sock, n_tokens=30_000)
        wait_until(lambda: _n_running_directly(fleet), what="the engine generates")
        fleet.control("d0-0-cut", silence=True)
    wait_until(lambda: not _n_running_directly(fleet), what="the engine stops")


def _n_running_directly(fleet: Fleet) -> int:
    return fleet.counts("d0-0-direct")["n_running"]
