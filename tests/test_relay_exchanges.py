"""Test what callers get for unusual requests, and when servers' answers are broken."""

from __future__ import annotations

import contextlib
import socket
import struct
import time
from collections.abc import Iterator
from unittest.mock import Mock

import h11
import pytest
from circuits import BaseComponent, handler
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from ryelever.coordination.host_heartbeats import ForwardingHosts, HostAddress
from ryelever.coordination.relaying import Forwarders, ServerPaths
from ryelever.metrics import Metrics
from ryelever.platform.messages import PlatformMessages
from ryelever.relay import Relay
from ryelever.relay_settings import ContentionMode
from ryelever.request_forwarding import ForwardingEndpoint, RequestForwarding
from ryelever.state.routes import ConnectionLimits, RouteKind
from ryelever.transport import http_client
from ryelever.transport.http_client import HttpClient
from ryelever.transport.poller import Poller
from ryelever.transport.relay_callers import RelayCallers

from .test_coordination.test_relaying.relay_fakes import Relaying, contended_table

#: Seconds within which a request ends that waits for nothing.
PROMPT = 2.0

RESET = struct.pack("ii", 1, 0)


class EntryHost(BaseComponent):
    """An entry host, stepped by the test, whose backend servers are all one socket.

    Parameters
    ----------
    is_forwarded : bool
        True if requests pass this host a second time, as their forwarding host.
    """

    channel = "host"

    def __init__(self, *, is_forwarded: bool) -> None:
        super().__init__()
        self._sockets = contextlib.ExitStack()
        self.backend = socket.create_server(("127.0.0.1", 0))
        self.backend.setblocking(False)
        address = f"127.0.0.1:{self.backend.getsockname()[1]}"
        fakes = self.fakes = Relaying()
        directory = fakes.directory
        for server in list(directory.by_id.values()):
            directory.put(replace(server, address=address), now=0.0)
        Poller().register(self)
        self.client = HttpClient().register(self)
        self.peer_limits = ConnectionLimits()
        self.callers, self.peer_callers = (
            RelayCallers(
                bind=("127.0.0.1", 0),
                channel=channel,
                reply_channel=reply_channel,
                limits=limits,
            ).register(self)
            for channel, reply_channel, limits in (
                ("callers", "relay", ConnectionLimits),
                ("peers", "offers", lambda: self.peer_limits),
            )
        )
        self.faults: list[object] = []
        forwarding_hosts = ForwardingHosts(own_zone=(), other_zones=())
        if is_forwarded:
            peer = HostAddress(
                host="e2",
                address=f"127.0.0.1:{self.peer_callers.port}",
                availability_zone="z",
            )
            forwarding_hosts = replace(forwarding_hosts, own_zone=(peer,))
        forwarding = RequestForwarding(
            host="e2",
            callers=self.peer_callers,
            address_of=lambda server_id: directory.by_id[server_id].address,
            paths=fakes.paths,
            is_authorized=lambda request: True,
            is_stopping=lambda: False,
        ).register(self)
        ForwardingEndpoint(callers=self.peer_callers, forwarding=forwarding).register(
            self
        )
        paths = ServerPaths(servers_by_id=directory.by_id, log=lambda *_, **__: None)
        paths.is_out_of_reach = lambda server_id: is_forwarded
        self.relay = Relay(
            messages=PlatformMessages(),
            callers=self.callers,
            route_table=lambda: fakes.route_table,
            balancer=fakes.balancer,
            budget=fakes.requests._budget,
            stall_watch=fakes.stall_watch,
            paths=paths,
            forwarders=Forwarders(hosts=lambda *, now: forwarding_hosts, seed=1),
            crashes=fakes.crashes,
            metrics=Metrics(),
            measures=fakes.measures,
            contention=ContentionMode.AUTO,
        ).register(self)
        # ``tick`` calls the poller only if the main loop is marked as running.
        self._running = True

    @handler("exception", channel="*")
    def _on_fault(self, *args: object, **fields: object) -> None:
        self.faults.append(args[1])

    @handler("request_fault", channel="*")
    def _on_request_fault(self, error: Exception, request_id: str) -> None:
        self.faults.append(error)

    def close(self) -> None:
        """Close all sockets."""
        self.stop()
        self._flush()
        for sock in list(self.client._connections_by_sock):
            sock.close()
        self.backend.close()

    def exchange(self, request: bytes, answer: bytes, *, is_reset: bool) -> Outcome:
        """Send a request, answer each attempt with the same bytes, and end it.

        Return what the caller got.
        """
        method = request.partition(b" ")[0]
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method=method, target="/", headers=[("Host", "a")]))
        http.send(h11.EndOfMessage())
        outcome = Outcome()
        with socket.create_connection(("127.0.0.1", self.callers.port)) as caller:
            caller.sendall(request)
            caller.setblocking(False)
            prompt_until = time.monotonic() + PROMPT
            while not outcome.is_over and time.monotonic() < prompt_until:
                self.tick(0.0)
                outcome.n_attempts += self._answer_attempt(answer, is_reset=is_reset)
                outcome.read(caller, http)
                if self.relay.requests.has_waiting:
                    outcome.waits = True
                    break
        return outcome

    def _answer_attempt(self, answer: bytes, *, is_reset: bool) -> bool:
        """Answer an attempt if there is one; return whether there was."""
        try:
            sock = self.backend.accept()[0]
        except BlockingIOError:
            return False
        with sock:
            sock.settimeout(0.0)
            request = b""
            while not request.endswith(END):
                self.tick(0.0)
                with contextlib.suppress(BlockingIOError):
                    request += sock.recv(65536)
            sock.sendall(answer)
            if is_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return True


class Outcome:
    """What one caller got."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.body = b""
        self.n_attempts = 0
        self.is_complete = False
        self.is_closed = False
        self.waits = False

    @property
    def is_over(self) -> bool:
        return self.is_complete or self.is_closed

    def read(self, sock: socket.socket, http: h11.Connection) -> None:
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            return
        self.is_closed = not data
        with contextlib.suppress(h11.RemoteProtocolError):
            http.receive_data(data)
            while True:
                event = http.next_event()
                if isinstance(event, h11.Response):
                    self.statuses.append(event.status_code)
                elif isinstance(event, h11.Data):
                    self.body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self.is_complete = True
                    assert not http.trailing_data[0]
                    return
                else:
                    return


END = b"body"


def _is_rejection(answer: bytes) -> bool:
    """Return whether an answer may promise that its request was not run."""
    return b"Not-Executed" in answer or b" 421 " in answer or b"refused" in answer


def _request(kind: RouteKind, method: str) -> bytes:
    return (
        f"{method} /{kind.value}/1 HTTP/1.1\r\nHost: calls.example\r\n"
        "Request-Id: r1\r\nCredential: key\r\nDeadline-Ms: 60000\r\n"
        f"Model: {'large' if kind is RouteKind.STREAM else ''}\r\n"
        "Token-Usage: 100,50\r\nContent-Length: 4\r\n\r\nbody"
    ).encode()


SOUND_ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
    b"Content-Length: 17\r\n\r\nid: 1\ndata: abc\n\n"
)


@pytest.fixture
def host() -> Iterator[EntryHost]:
    with contextlib.closing(EntryHost(is_forwarded=False)) as running:
        yield running


@pytest.mark.parametrize("kind", RouteKind)
@pytest.mark.parametrize(
    ("header", "value"),
    [(b"Deadline-Ms: 60000", b"9" * 400), (b"Token-Usage: 100", b"9" * 400)],
    ids=["deadline", "tokens"],
)
def test_request_with_a_number_out_of_range_is_answered(
    host: EntryHost, kind: RouteKind, header: bytes, value: bytes
) -> None:
    """Guard against callers that hang because a header's number is no float."""
    host.fakes.route_table = contended_table()
    name = header.partition(b" ")[0]
    request = _request(kind, "POST").replace(header, name + b" " + value)
    outcome = host.exchange(request, SOUND_ANSWER, is_reset=False)
    assert (host.faults, outcome.statuses, outcome.is_complete) == ([], [200], True)


@pytest.mark.parametrize("kind", RouteKind)
def test_request_without_any_deadline_is_answered(
    host: EntryHost, kind: RouteKind
) -> None:
    """Guard against callers that hang once a change takes a route's timeout away."""
    found = contended_table()
    routes_by_host = {
        name: [replace(route, timeout=0.0) for route in routes]
        for name, routes in found.routes_by_host.items()
    }
    host.fakes.route_table = replace(found, routes_by_host=routes_by_host)
    request = _request(kind, "POST").replace(b"Deadline-Ms: 60000\r\n", b"")
    outcome = host.exchange(request, SOUND_ANSWER, is_reset=False)
    assert (host.faults, outcome.statuses, outcome.is_complete) == ([], [200], True)


@pytest.mark.parametrize("method", ["decode_arrival", "attempt_headers"])
def test_fault_in_an_arriving_request_ends_it(
    host: EntryHost, monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    """Guard against callers that hang because a handler raised an exception."""
    fault = ValueError("a fault")
    monkeypatch.setattr(PlatformMessages, method, Mock(side_effect=fault))
    request = _request(RouteKind.IDEMPOTENT, "POST")
    outcome = host.exchange(request, SOUND_ANSWER, is_reset=False)
    assert (host.faults, outcome.statuses, outcome.is_complete) == (
        [fault],
        [500],
        True,
    )
    assert not host.relay.requests.requests_by_number
    assert not host.relay._received_by_number


@pytest.mark.parametrize(
    ("owner", "method", "statuses"),
    [
        (PlatformMessages, "decode_answer_head", [500]),
        (RelayCallers, "answer", []),
        (Relay, "answer", [500]),
    ],
)
def test_fault_in_an_answer_ends_its_request(
    host: EntryHost,
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    method: str,
    statuses: list[int],
) -> None:
    """Guard against callers that hang because news of an attempt raised an exception.

    A caller that can't be answered at all sees its connection closed.
    """
    fault = ValueError("a fault")
    monkeypatch.setattr(owner, method, Mock(side_effect=fault))
    request = _request(RouteKind.IDEMPOTENT, "POST")
    outcome = host.exchange(request, SOUND_ANSWER, is_reset=False)
    assert set(host.faults) == {fault}
    assert (outcome.statuses, outcome.is_over) == (statuses, True)
    assert not host.relay.requests.requests_by_number
    assert not host.relay._received_by_number


def test_fault_in_sending_an_attempt_ends_its_request(
    host: EntryHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against requests that wait for an attempt which the client didn't begin.

    The server is not to blame, and another one would be asked for nothing.
    """
    fault = RuntimeError("a fault")
    monkeypatch.setattr(http_client, "open_socket", Mock(side_effect=fault))
    request = _request(RouteKind.IDEMPOTENT, "POST")
    outcome = host.exchange(request, SOUND_ANSWER, is_reset=False)
    assert host.faults[0] is fault
    assert (outcome.statuses, outcome.is_complete) == ([500], True)
    assert not host.relay.requests.requests_by_number
    in_flight = [item.in_flight for item in host.fakes.balancer.records_by_id.values()]
    assert not any(in_flight)


#: Headers and body of answers that are sound, apart from the body's framing.
SOUND = (
    ((b"Content-Length: 6",), b"answer"),
    ((b"Content-Length: 17",), b"id: 1\ndata: abc\n\n"),
    ((b"Transfer-Encoding: chunked",), b"6\r\nanswer\r\n0\r\n\r\n"),
    ((b"Transfer-Encoding: chunked",), b"11\r\nid: 1\ndata: abc\n\n\r\n0\r\n\r\n"),
    ((), b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
    ((), b""),
)

ODD_HEADERS = (
    b"Request-Id: r2",
    b"Not-Executed: 1",
    b"Retry-After: 0.1",
    b"Retry-After: soon",
    b"Server-Limit: 1e999",
    b"Server-Leaving: 1",
    b"Content-Length: 6",
    b"Content-Length: 7",
    b"Content-Length: 6, 6",
    b"Content-Length: -1",
    b"Content-Length: " + b"9" * 5000,
    b"Transfer-Encoding: chunked",
    b"Transfer-Encoding: gzip, chunked",
    b"Content-Encoding: gzip",
    b"Connection: close, response-seal",
    b"Proxy-Status: e9; error=connection_refused",
    b"Trailer: Response-Seal",
    b"Upgrade: h2c",
    b"X: a\r\n folded",
    b"X: \xff\x01",
    b"X y: z",
)

ODD_BODIES = (
    b"",
    b"id: 1\ndata: a\n\nid: 2",
    b"11\r\nid: 1\ndata: abc\n\n\r\n0\r\nResponse-Seal: s\r\n\r\n",
    b"11\r\nid: 1\ndata: abc\n\n\r\nfx\r\n",
    b"6\r\nanswer\r\n0\r\nno trailer\r\n\r\n",
)

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"

#: The most frequent status first.
STATUSES = (200, 200, 200, 204, 304, 404, 421, 500, 503, 101, 99)


@st.composite
def answers(draw: st.DrawFn) -> bytes:
    """Generate the bytes of answers, most of which are broken in one or two ways."""
    first = draw(st.sampled_from((b"", b"", INTERIM, INTERIM, b"\r\n")))
    status = draw(st.sampled_from(STATUSES))
    version = draw(st.sampled_from((b"1.1", b"1.1", b"1.0")))
    framing, body = draw(st.sampled_from(SOUND))
    odd = draw(st.lists(st.sampled_from(ODD_HEADERS), max_size=2))
    body = draw(st.just(body) | st.sampled_from(ODD_BODIES))
    head = [b"HTTP/%s %03d OK" % (version, status)]
    head += [b"Request-Id: r1", b"Response-Seal: s", *framing, *odd]
    data = first + b"\r\n".join(head) + b"\r\n\r\n" + body
    n_missing = draw(st.just(0) | st.just(0) | st.integers(0, len(data)))
    return data[: len(data) - n_missing]


@pytest.mark.parametrize("kind", RouteKind)
def test_forwarding_host_with_lower_limits_loses_no_request(kind: RouteKind) -> None:
    """Guard against requests lost since a change came to the forwarding host first."""
    host = EntryHost(is_forwarded=True)
    host.peer_limits = ConnectionLimits(max_body=len(END) - 1)
    with contextlib.closing(host):
        request = _request(kind, "POST")
        outcome = host.exchange(request, SOUND_ANSWER, is_reset=False)
    assert (outcome.statuses, outcome.n_attempts) == ([200], 1)


@pytest.mark.parametrize("is_forwarded", [False, True], ids=["direct", "forwarded"])
@pytest.mark.parametrize("kind", RouteKind)
@settings(max_examples=60)
@given(
    answer=answers(),
    method=st.sampled_from(["POST", "POST", "GET", "HEAD"]),
    is_reset=st.sampled_from((False, False, False, True)),
)
def test_each_request_ends_with_its_answer_or_a_broken_one(
    kind: RouteKind, is_forwarded: bool, answer: bytes, method: str, is_reset: bool
) -> None:
    """Guard against callers that hang because a backend server's answer is odd."""
    host = EntryHost(is_forwarded=is_forwarded)
    with contextlib.closing(host):
        outcome = host.exchange(_request(kind, method), answer, is_reset=is_reset)
        assert host.faults == []
        assert outcome.is_over or outcome.waits
        assert len(outcome.statuses) <= 1
        may_repeat = kind is not RouteKind.AT_MOST_ONCE or _is_rejection(answer)
        assert outcome.n_attempts <= 1 + may_repeat
        if outcome.is_over:
            assert not host.relay.requests.requests_by_number
            assert not host.relay._received_by_number
            assert not host.relay._splitters_by_attempt
