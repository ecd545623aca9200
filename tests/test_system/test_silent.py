"""Test entry hosts while connections are silent, broken or stalled."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket

from ..callers import Answer, Caller, new_key
from ..processes import WAIT_TIMEOUT, Fleet, wait_until

#: Members of rank 0, which receive their groups' requests.
LEADERS = ("d0-0", "d1-0")


def test_silent_connections_to_engines(fleet: Fleet) -> None:
    """Silence the open connections to every leader while new connections work.

    Guards against streams that hang until their deadline, and against a pooled
    connection on which one request after another gets no answer.  A device between the
    two ends loses the state of all its connections and notifies neither end.  Only the
    lack of progress shows the fault, which affects every other old connection to the
    same peer as well.
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


def test_silent_connections_to_the_log(fleet: Fleet) -> None:
    """Silence the open connections to the log while new connections work.

    Guards against bookings that are refused for as long as the entry host uses the old
    connections.  A booking's claim is appended over a connection that has become
    silent.  Only the lack of progress shows that the connection is dead; the append has
    to be sent over a new one.
    """
    fleet.start_world(
        entries=("e1",), cut=("log",), progress_timeout=1.0, claim_timeout=WAIT_TIMEOUT
    )
    entry = fleet.entries_by_name["e1"]
    caller = Caller(fleet)
    assert caller.book(entry, new_key()).status_code == 201
    fleet.control("log-cut", silence=True)
    answer = caller.book(entry, new_key())
    assert answer.status_code == 201, answer.text
    assert fleet.n_runs() == [1, 1]


def test_streams_resume_after_connections_break_in_mid_answer(fleet: Fleet) -> None:
    """Break connections to the only group in the middle of an answer.

    Guards against an answer that ends without an error or a terminal event.  Three
    connections break after some hundred bytes, and no other group can resume the
    streams.  A broken connection says nothing about the group, which is healthy: the
    streams must resume there once the group has reported again.
    """
    fleet.start_world(
        entries=("e1",), cut=("d0-0",), report_max_age=1.0, report_interval=0.25
    )
    entry = fleet.entries_by_name["e1"]
    caller = Caller(fleet)
    prompts = [f"cut {index}" for index in range(6)]
    begun_prompts: set[str] = set()

    async def run() -> list[Answer]:
        # All streams begin before the first break: a request that arrives after it,
        # before the group has reported again, is rightly refused.
        all_begun = asyncio.Event()

        def record_begin(prompt: str) -> None:
            begun_prompts.add(prompt)
            if len(begun_prompts) == len(prompts):
                all_begun.set()

        streams = [
            asyncio.ensure_future(
                caller.stream(
                    entry,
                    prompt,
                    n_tokens=200,
                    on_token=lambda prompt=prompt: record_begin(prompt),
                )
            )
            for prompt in prompts
        ]
        await asyncio.wait_for(all_begun.wait(), WAIT_TIMEOUT)
        await asyncio.to_thread(fleet.control, "d0-0-cut", cut_after=1500, n_cuts=3)
        return await asyncio.gather(*streams)

    answers = asyncio.run(run())
    assert [answer.error for answer in answers if not answer.is_complete] == []
    assert entry.process.events("attempt_failed")


def _send_request(fleet: Fleet, sock: socket.socket, *, n_tokens: int) -> None:
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


def _n_unfinished(fleet: Fleet) -> int:
    counts = fleet.counts("d0-0")
    return counts["n_running"] + counts["n_waiting"]


def test_caller_that_stops_reading_is_disconnected(fleet: Fleet) -> None:
    """Keep a connection open without ever reading its long answer.

    Guards against memory of the entry host and a slot in the engine's batch that stay
    occupied until the request's deadline.  A caller requests megabytes and reads
    nothing, but keeps its connection open.  A connection whose writing is paused makes
    no progress, so the length of the pause needs a limit.
    """
    fleet.start_world(entries=("e1",), engine=("--step-ms", "1"), unread_timeout=1.0)
    fleet.control("d0-0", token_bytes=20_000)
    entry = fleet.entries_by_name["e1"]
    with contextlib.closing(_connect(fleet)) as sock:
        _send_request(fleet, sock, n_tokens=30_000)
        wait_until(
            lambda: any(caller["stalled"] for caller in _callers(fleet)),
            what="the caller is marked as stalled",
        )
        wait_until(lambda: not entry.dump()["requests"], what="the request ends")
        wait_until(lambda: not _n_unfinished(fleet), what="the engine stops")
        wait_until(
            lambda: not any(caller["stalled"] for caller in _callers(fleet)),
            what="the connection is closed",
        )


def _callers(fleet: Fleet) -> list[dict]:
    return fleet.entries_by_name["e1"].dump()["connections"]["callers"]


def test_cancel_reaches_an_engine_behind_a_silent_connection(fleet: Fleet) -> None:
    """Disconnect a caller while the connection to the engine is silent.

    Guards against an engine that generates an answer to its end although no caller
    waits for it.  The path to the engine becomes silent, the caller disconnects, and
    the entry host closes its connection to the engine, which never receives the close.
    Closing a silent connection cancels nothing; the cancellation has to be sent over a
    new connection.
    """
    fleet.start_world(entries=("e1",), cut=("d0-0",))
    with contextlib.closing(_connect(fleet)) as sock:
        _send_request(fleet, sock, n_tokens=30_000)
        wait_until(lambda: _n_running_at_engine(fleet), what="the engine generates")
        fleet.control("d0-0-cut", silence=True)
    wait_until(lambda: not _n_running_at_engine(fleet), what="the engine stops")


def _n_running_at_engine(fleet: Fleet) -> int:
    # Read from the engine itself, because the forwarder before it is silent.
    return fleet.counts("d0-0-direct")["n_running"]
