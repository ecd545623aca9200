"""Test the closing of callers' connections, with raw sockets."""

from __future__ import annotations

import json
import signal
import socket
import time

import pytest
from circuits import BaseComponent, handler

from ryelever.events import CallerRequest, drained, sweep
from ryelever.transport.callers import Callers, Limits
from ryelever.transport.poller import Poller

from ..processes import EntryHost, Fleet
from .test_callers import chat, connected, read_answer

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: e\r\n"


def read_to_end(sock: socket.socket) -> bytes:
    """Return all bytes received until the peer closes the connection."""
    parts = []
    while data := sock.recv(65536):
        parts.append(data)
    return b"".join(parts)


@pytest.fixture
def draining(fleet: Fleet) -> EntryHost:
    """Return an entry host that drains with a ``drain_grace`` of only 0.01 s."""
    fleet.start_world(entries=("e1",), drain_grace=0.01)
    return fleet.entries_by_name["e1"]


def test_kept_connection_is_closed_by_a_drain(
    fleet: Fleet, draining: EntryHost
) -> None:
    """Answer ``Connection: close`` while a drain waits for a stream to end.

    Guards against resetting a balancer's request, for which it is then unknown whether
    the request was run: the balancer keeps a connection, the host ends between two of
    its requests, and nothing made the balancer stop using the connection.
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


def test_drained_host_closes_its_listening_socket(draining: EntryHost) -> None:
    """Guard against a fault in the last step of a drain, which was only logged."""
    draining.process.send(signal.SIGTERM)
    assert draining.process.wait() == 0
    assert draining.process.events("drain_closed")
    assert draining.process.events("fault") == []


def test_request_that_is_arriving_is_answered(
    fleet: Fleet, draining: EntryHost
) -> None:
    """Answer a request whose second half is sent after the drain has begun.

    Guards against resetting a request while it is being sent: half of the request has
    arrived, nothing else is in flight, and a host that waits only for complete requests
    ends.
    """
    request = chat(fleet)
    with connected(draining) as sock:
        sock.sendall(request[:-5])
        # An answer on a later connection shows that the first half was read.
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


def test_idle_connection_is_closed_and_delays_no_drain(draining: EntryHost) -> None:
    """Close an idle connection that a balancer keeps open while the host ends.

    Guards against a host that waits for idle connections as for requests and never
    ends, and against one that waits for neither and resets idle connections.
    """
    with connected(draining) as sock:
        sock.sendall(HEALTH + b"\r\n")
        read_answer(sock)
        draining.process.send(signal.SIGTERM)
        assert sock.recv(1) == b""
    assert draining.process.wait() == 0


class Listener(BaseComponent):
    """Record the requests of callers; the test dispatches all events."""

    channel = "serving"

    def __init__(self) -> None:
        super().__init__()
        Poller().register(self)
        self.limits = Limits()
        self.callers = Callers(bind=("127.0.0.1", 0), limits=self.limits).register(self)
        self.requests: list[CallerRequest] = []
        # ``tick`` calls the poller only if the main loop is marked as running.
        self._running = True

    @handler("caller_request")
    def _on_request(self, request: CallerRequest) -> None:
        self.requests.append(request)


@pytest.mark.parametrize("is_drained", [False, True], ids=["idle", "drained"])
def test_request_that_has_arrived_is_read_before_its_connection_is_closed(
    monkeypatch: pytest.MonkeyPatch, is_drained: bool
) -> None:
    """Guard against a reset for a request that arrives just before the closing."""
    listener = Listener()
    with socket.create_connection(("127.0.0.1", listener.callers.port)) as sock:
        while not listener.callers.describe():
            listener.tick(0.01)
        if is_drained:
            listener.fire(drained(), "callers")
            listener.tick(0.01)
        limits = listener.limits
        age = 1 + (limits.linger if is_drained else limits.idle_timeout)
        clock = time.monotonic
        monkeypatch.setattr(time, "monotonic", lambda: clock() + age)
        sock.sendall(HEALTH + b"\r\n")
        listener.fire(sweep(), "callers")
        for _ in range(10):
            listener.tick(0.01)
        assert [request.path for request in listener.requests] == ["/healthz"]
    listener.stop()


@pytest.mark.parametrize("is_drained", [False, True], ids=["idle", "drained"])
def test_request_that_waits_to_be_parsed_is_answered(
    monkeypatch: pytest.MonkeyPatch, is_drained: bool
) -> None:
    """Guard against a connection that counts as idle while its request has to wait."""
    listener = Listener()
    steps = listener.callers._resources.steps
    monkeypatch.setattr(steps, "_next_at", float("inf"))
    with socket.create_connection(("127.0.0.1", listener.callers.port)) as sock:
        sock.sendall(HEALTH + b"a:\r\n" * 300 + b"\r\n")
        while not steps.n_waiting:
            listener.tick(0.01)
        if is_drained:
            listener.fire(drained(), "callers")
            listener.tick(0.01)
        limits = listener.limits
        age = 1 + (limits.linger if is_drained else limits.idle_timeout)
        with monkeypatch.context() as patch:
            clock = time.monotonic
            patch.setattr(time, "monotonic", lambda: clock() + age)
            listener.fire(sweep(), "callers")
            listener.tick(0.01)
        steps._next_at = float("-inf")
        for _ in range(10):
            listener.tick(0.01)
        assert [request.path for request in listener.requests] == ["/healthz"]
    listener.stop()
