"""Test how callers' connections are closed, with raw sockets."""

from __future__ import annotations

import json
import signal
import socket

import pytest

from ..processes import EntryHost, Fleet
from .test_callers import chat, connected, read_answer

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: e\r\n"


def read_to_end(sock: socket.socket) -> bytes:
    """Return what arrives until the other end closes."""
    parts = []
    while data := sock.recv(65536):
        parts.append(data)
    return b"".join(parts)


@pytest.fixture
def draining(fleet: Fleet) -> EntryHost:
    """Return an entry host that will drain without any grace."""
    fleet.start_world(entries=("e1",), drain_grace=0.01)
    return fleet.entries_by_name["e1"]


def test_kept_connection_hears_that_the_host_drains(
    fleet: Fleet, draining: EntryHost
) -> None:
    """Use a kept connection while a drain waits for a stream to end.

    Symptom: a balancer's request is reset, and nobody knows whether it was run.
    Sequence: the balancer keeps its connection and the host ends between two of its
    requests.  Cause: nothing told the balancer to turn away from the connection.
    """
    with connected(draining) as stream, connected(draining) as kept:
        kept.sendall(HEALTH + b"\r\n")
        assert read_answer(kept)[0].getheader("Connection") is None
        stream.sendall(chat(fleet, stream=True, max_tokens=150))
        assert stream.recv(1)
        draining.process.send(signal.SIGTERM)
        draining.process.wait_for_event("drain_closed")
        kept.sendall(chat(fleet))
        answer, body = read_answer(kept)
        assert (answer.status, answer.getheader("Connection")) == (503, "close")
        error = json.loads(body)["error"]
        assert (error["code"], error["run_state"]) == ("draining", "not_run")
        assert kept.recv(1) == b""
        assert read_to_end(stream).endswith(b"0\r\n\r\n")


def test_request_that_is_arriving_is_answered(
    fleet: Fleet, draining: EntryHost
) -> None:
    """Send the second half of a request after the drain has begun.

    Symptom: a caller's request is reset while it is being sent.  Sequence: half of
    it has arrived, nothing else is in flight, and the host ends.  Cause: only
    requests that had arrived whole were waited for.
    """
    request = chat(fleet)
    with connected(draining) as sock:
        sock.sendall(request[:-5])
        # An answer on a later connection shows that the half was read.
        with connected(draining) as later:
            later.sendall(HEALTH + b"\r\n")
            read_answer(later)
        draining.process.send(signal.SIGTERM)
        draining.process.wait_for_event("drain_closed")
        sock.sendall(request[-5:])
        answer, body = read_answer(sock)
    assert answer.status == 503
    assert json.loads(body)["error"]["code"] == "draining"
    assert draining.process.wait() == 0


def test_idle_connection_is_closed_and_holds_nothing_up(draining: EntryHost) -> None:
    """Keep a connection open through the end of a host.

    Symptom: a host that never ends, or an idle connection that is reset.  Sequence:
    a balancer keeps a connection that it does not use.  Cause: the host waits for
    connections as for requests, or for neither.
    """
    with connected(draining) as sock:
        sock.sendall(HEALTH + b"\r\n")
        read_answer(sock)
        draining.process.send(signal.SIGTERM)
        assert sock.recv(1) == b""
    assert draining.process.wait() == 0
