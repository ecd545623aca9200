"""Test that each check of the soak test reports the violation it is meant to find."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import replace

import pytest
from aiohttp import web

from .soak.callers import Call
from .soak.checks import Evidence, check
from .soak.faults import Disturbance, KeyChange, PartitionSpan
from .soak.proxy import LoopbackProxy, ProxyMode
from .standins.group_server import POISON_BODY, GroupServer

EVENTS = "".join(f"id: {number}\ndata: piece {number}\n\n" for number in range(1, 6))

STREAM = Call(
    id="e1.1",
    host="e1",
    kind="stream",
    model="large",
    sent_at=10.0,
    ended_at=11.0,
    status=200,
    seal="s",
    answered_id="e1.1",
    body=EVENTS,
    is_complete=True,
)
ONCE = replace(STREAM, kind="once", body="POST /once/1 e1.1")
REFUSED = replace(ONCE, status=503, seal="", body="")
CONTENDED = replace(STREAM, route="chat", account="a")
REFUSED_STREAM = replace(CONTENDED, status=503, seal="", body="")


def _server(**seen: object) -> dict[str, object]:
    server: dict[str, object] = {"n_runs": {}, "domain": "d0"}
    for name in (
        "arrivals",
        "states",
        "limits",
        "pauses",
        "leaving_answers",
        "starts",
        "crashes",
        "memberships",
        "suspensions",
    ):
        server[name] = []
    return server | seen


def _evidence(*calls: Call, **changes: object) -> Evidence:
    return Evidence(calls=list(calls), servers={"s": _server()}, **changes)


def _request_ran_twice() -> Evidence:
    evidence = _evidence(ONCE)
    evidence.servers["s"]["n_runs"] = {"e1.1": 2}
    return evidence


def _refused_request_ran(call: Call = REFUSED) -> Evidence:
    evidence = _evidence(call)
    evidence.servers["s"]["n_runs"] = {"e1.1": 1}
    return evidence


def _streams(
    *refused: str, seconds: Iterable[int] = range(10, 30), **changes: object
) -> Evidence:
    """Return a stream a second of each route with an account of its own.

    Parameters
    ----------
    *refused : str
        Values of routes or accounts whose streams are refused.
    """
    calls = []
    for at in seconds:
        for route, account in (("chat", "a"), ("chat", "b"), ("urgent", "a")):
            call = replace(CONTENDED, route=route, account=account)
            if {route, account} & set(refused):
                call = replace(REFUSED_STREAM, route=route, account=account)
            calls.append(replace(call, sent_at=at, ended_at=at + 0.5))
    return _evidence(*calls, **changes)


def _revoked_key_is_accepted() -> Evidence:
    return _evidence(ONCE, key_changes=[KeyChange(revoked_at=7.5, restored_at=20.0)])


def _stop_cuts_off_a_stream() -> Evidence:
    call = replace(STREAM, status=0, seal="", body="", is_complete=False)
    disturbance = Disturbance(target="e1", kind="terminate", start=10.5, end=14.0)
    return _evidence(call, disturbances=[disturbance])


def _leaving_server_gets_a_request() -> Evidence:
    evidence = _evidence()
    evidence.servers["s"] = _server(
        states=[(5.0, "draining"), (12.0, "ready")], arrivals=[(8.0, "e1.1")]
    )
    return evidence


def _limit_is_exceeded() -> Evidence:
    evidence = _evidence()
    arrivals = [(9.0 + index / 10, f"e1.{index}") for index in range(12)]
    evidence.servers["s"] = _server(limits=[(5.0, "1")], arrivals=arrivals)
    return evidence


def _requests_within_a_pause() -> Evidence:
    evidence = _evidence()
    arrivals = [(10.0 + 0.6 * index, f"e1.{index}") for index in range(1, 4)]
    evidence.servers["s"] = _server(pauses=[(10.0, "e1.0", 3.0)], arrivals=arrivals)
    return evidence


def _request_after_the_server_said_that_it_leaves() -> Evidence:
    evidence = _evidence()
    evidence.servers["s"] = _server(
        leaving_answers=[(5.0, "e1.1")], arrivals=[(7.5, "e1.2")], starts=[4.0, 9.0]
    )
    return evidence


def _poison_request_is_sent_on(
    *, kind: str = "poison", from_second: float = 10.0
) -> Evidence:
    first = (1.0, 1.5, 2.0, 2.5, 3.0) if kind == "deadly" else (1.0, 2.0, 3.0)
    times = (*first, *(from_second + index for index in range(4)))
    sent = [(at, f"e1.{index}") for index, at in enumerate(times)]
    calls = [replace(REFUSED, id=id_, kind=kind, sent_at=at) for at, id_ in sent]
    evidence = _evidence(*calls)
    evidence.servers["s"] = _server(arrivals=sent, crashes=sent)
    return evidence


def _other_request_is_quarantined() -> Evidence:
    evidence = _evidence(replace(REFUSED, retry_after=900.0))
    evidence.servers["s"] = _server(crashes=[(1.0, "e1.7")])
    return evidence


def _partitioned(
    *,
    n_failed: int,
    n_failed_at_others: int = 0,
    suspended_at: float = 20.0,
    **changes: object,
) -> Evidence:
    """Return 30 calls at a partitioned host, and as many at another one."""
    calls = []
    for host, count in (("e1", n_failed), ("e2", n_failed_at_others)):
        for index in range(30):
            call = replace(ONCE, host=host, sent_at=9.0 + index / 10)
            failed = {"status": 504, "seal": "", "is_complete": False}
            calls.append(replace(call, **failed) if index < count else call)
    span = PartitionSpan(host="e1", kind="silent", start=5.0, end=13.0)
    evidence = _evidence(*calls, partition_spans=[span], **changes)
    evidence.servers["s"] = _server(suspensions=[(suspended_at, suspended_at + 1.0)])
    return evidence


def _suspended(call: Call, **changes: object) -> Evidence:
    """Return a call to a server whose group's other member was suspended."""
    evidence = _evidence(call, **changes)
    evidence.servers = {
        "s": _server(
            arrivals=[(call.sent_at, call.id)],
            memberships=[(1.0, ("s", "t")), (15.0, ("s", "u"))],
        ),
        "t": _server(suspensions=[(10.2, 11.4)]),
        "u": _server(),
    }
    return evidence


CUT_STREAM = replace(STREAM, is_complete=False)
FAILED_STREAM = replace(STREAM, status=502, seal="", body="")


def _suspended_unreached() -> Evidence:
    """Return a failed call that reached none of the suspended servers."""
    evidence = _suspended(FAILED_STREAM)
    evidence.servers["s"]["arrivals"] = []
    return evidence


VIOLATIONS: dict[str, Callable[[], Evidence]] = {
    "events-missing": lambda: _evidence(replace(STREAM, body=EVENTS[24:])),
    "event-twice": lambda: _evidence(replace(STREAM, body=EVENTS + EVENTS[-24:])),
    "no-signature": lambda: _evidence(replace(ONCE, seal="")),
    "answer-of-another": lambda: _evidence(replace(ONCE, answered_id="e1.2")),
    "body-of-another": lambda: _evidence(replace(ONCE, body="POST /once/1 e2.7")),
    "ran-twice": _request_ran_twice,
    "refused-and-run": _refused_request_ran,
    "refused-stream-ran": lambda: _refused_request_ran(REFUSED_STREAM),
    "starving-route": lambda: _streams("urgent"),
    "starving-account": lambda: _streams("b"),
    "key-opens": _revoked_key_is_accepted,
    "stop-cuts-off": _stop_cuts_off_a_stream,
    "leaving-server": _leaving_server_gets_a_request,
    "limit": _limit_is_exceeded,
    "pause": _requests_within_a_pause,
    "stated-leaving": _request_after_the_server_said_that_it_leaves,
    "poison-sent-on": _poison_request_is_sent_on,
    "deadly-part-sent-on": lambda: _poison_request_is_sent_on(kind="deadly"),
    "other-quarantined": _other_request_is_quarantined,
    "partitioned": lambda: _partitioned(n_failed=15),
    "suspended-cut": lambda: _suspended(CUT_STREAM),
    "suspended-no-answer": lambda: _suspended(replace(CUT_STREAM, status=0)),
    "suspended-failed": lambda: _suspended(FAILED_STREAM),
    "suspended-unreached": _suspended_unreached,
    "suspended-once-cut": lambda: _suspended(replace(ONCE, is_complete=False)),
    "resumed-cut": lambda: _suspended(replace(CUT_STREAM, sent_at=14.0, ended_at=14.3)),
    "group": lambda: _evidence(group_faults=["g runs without b"]),
    "unserved": lambda: _evidence(unserved_kinds=["look"]),
}


@pytest.mark.parametrize("violation", VIOLATIONS.values(), ids=VIOLATIONS)
def test_violation_is_reported(violation: Callable[[], Evidence]) -> None:
    """Guard against a soak test that passes in spite of a violation."""
    assert len(check(violation()).violations) >= 1


@pytest.mark.parametrize(
    "call", [STREAM, ONCE, REFUSED, REFUSED_STREAM], ids=lambda call: call.kind
)
def test_valid_call_is_no_violation(call: Call) -> None:
    assert check(_evidence(call)).violations == []


def test_time_limits_apply_to_undisturbed_hosts_only() -> None:
    """Guard against violations that the users' pages excuse.

    A time limit does not apply at a host if the host or the store was disturbed within
    the 3 s before.
    """
    for target in ("e1", "store"):
        evidence = _revoked_key_is_accepted()
        evidence.disturbances = [
            Disturbance(target=target, kind="pause", start=6.0, end=7.2)
        ]
        assert check(evidence).violations == []
    evidence.disturbances = [Disturbance(target="e2", kind="pause", start=6.0, end=7.2)]
    assert check(evidence).violations != []


@pytest.mark.parametrize(
    "evidence",
    [_requests_within_a_pause(), _request_after_the_server_said_that_it_leaves()],
    ids=["pause", "stated-leaving"],
)
def test_other_hosts_and_disturbances_excuse_requests(evidence: Evidence) -> None:
    """Guard against violations by a host that was not asked, or that restarted."""
    server = evidence.servers["s"]
    arrivals = server["arrivals"]
    server["arrivals"] = [(at, id_.replace("e1", "e2")) for at, id_ in arrivals]
    assert check(evidence).violations == []
    server["arrivals"] = arrivals
    evidence.disturbances = [Disturbance(target="e1", kind="kill", start=6.0, end=10.5)]
    assert check(evidence).violations == []


@pytest.mark.parametrize("kind", ["poison", "deadly"])
def test_poison_request_may_be_sent_until_hosts_have_learned_of_it(kind: str) -> None:
    sent_early = _poison_request_is_sent_on(kind=kind, from_second=5.5)
    assert check(sent_early).violations == []
    evidence = _poison_request_is_sent_on(kind=kind)
    evidence.disturbances = [Disturbance(target="e1", kind="kill", start=8.0, end=8.5)]
    assert check(evidence).violations == []


def test_shares_are_compared_without_disturbed_requests() -> None:
    """Guard against violations by too few requests, or by requests under a fault."""
    fault = Disturbance(target="engine-1", kind="still", start=13.0, end=28.0)
    for evidence in (
        _streams(),
        _streams("chat", "urgent"),
        _streams("b", seconds=range(10, 29)),
        _streams("b", seconds=[10] * 20),
        _streams("b", disturbances=[fault]),
    ):
        assert check(evidence).violations == []
    fault.start = 29.6
    fault.end = 31.0
    assert check(_streams("b", disturbances=[fault])).violations != []


@pytest.mark.parametrize(
    "evidence",
    [
        pytest.param(_partitioned(n_failed=11), id="few-failed"),
        pytest.param(
            _partitioned(n_failed=15, n_failed_at_others=12), id="others-failed-too"
        ),
        pytest.param(
            _partitioned(
                n_failed=15,
                key_changes=[KeyChange(revoked_at=8.5, restored_at=10.0)],
            ),
            id="key-not-valid",
        ),
        pytest.param(_partitioned(n_failed=15, suspended_at=10.5), id="suspended"),
    ],
)
def test_partitioned_hosts_are_compared_with_others(evidence: Evidence) -> None:
    """Guard against violations that the users' pages allow."""
    assert check(evidence).violations == []


def test_partition_does_not_excuse_a_host_from_other_promises() -> None:
    """Guard against hosts that break promises while they are partitioned."""
    evidence = _revoked_key_is_accepted()
    evidence.partition_spans = _partitioned(n_failed=0).partition_spans
    assert check(evidence).violations != []


@pytest.mark.parametrize(
    "call",
    [
        pytest.param(replace(CUT_STREAM, ended_at=13.95), id="deadline"),
        pytest.param(REFUSED_STREAM, id="refused"),
        pytest.param(replace(FAILED_STREAM, kind="once"), id="may-have-run"),
    ],
)
def test_suspensions_allow_true_refusals_and_late_ends(call: Call) -> None:
    """Guard against violations by answers that hosts may give while servers pause."""
    assert check(_suspended(call)).violations == []


@pytest.mark.parametrize("target", ["e1", "s", "t"])
def test_faults_of_its_host_and_servers_excuse_a_lost_request(target: str) -> None:
    """Guard against violations by servers that did not go on, or by a harmed host."""
    fault = Disturbance(target=target, kind="kill", start=6.0, end=7.5)
    assert check(_suspended(CUT_STREAM, disturbances=[fault])).violations == []
    fault.end = 6.9
    assert check(_suspended(CUT_STREAM, disturbances=[fault])).violations != []


def test_crashes_and_partitions_excuse_a_lost_request() -> None:
    """Guard against violations by servers that crash or can't be reached."""
    span = PartitionSpan(host="e1", kind="silent", start=9.0, end=12.0)
    evidence = _suspended(CUT_STREAM, partition_spans=[span])
    assert check(evidence).violations == []
    evidence = _suspended(CUT_STREAM)
    evidence.servers["t"]["crashes"] = [(10.5, "e2.7")]
    assert check(evidence).violations == []


@pytest.mark.parametrize("target", ["store", "e2", "u", "configuration", "e1 settings"])
def test_other_faults_do_not_excuse_a_lost_request(target: str) -> None:
    """Guard against losses that pass because of a fault without a part in them."""
    fault = Disturbance(target=target, kind="silent", start=9.0, end=12.0)
    assert check(_suspended(CUT_STREAM, disturbances=[fault])).violations != []


def test_only_requests_during_suspensions_are_counted() -> None:
    """Guard against counts of requests that no suspended server could have lost."""
    promise = "nothing is lost while servers are suspended"
    after = replace(STREAM, sent_at=12.0, ended_at=13.0)
    revoked = [KeyChange(revoked_at=9.0)]
    assert check(_suspended(STREAM)).n_tested_by_promise[promise] == 1
    assert check(_suspended(after)).n_tested_by_promise[promise] == 0
    evidence = _suspended(STREAM, key_changes=revoked)
    assert check(evidence).n_tested_by_promise[promise] == 0


def test_held_requests_are_lost_when_their_sender_resets_the_connection() -> None:
    """Guard against requests that a healed partition delivers after their host left."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.settimeout(10.0)
        target = f"127.0.0.1:{listening.getsockname()[1]}"
        proxy = LoopbackProxy(targets=[target])
        proxy.set(ProxyMode.SILENT)
        host, _, port = proxy.address_by_target[target].rpartition(":")
        with socket.create_connection((host, int(port))) as sender:
            sender.sendall(b"held")
            receiver, _ = listening.accept()
            sender.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        receiver.settimeout(10.0)
        with contextlib.suppress(ConnectionResetError):
            assert receiver.recv(100) == b""
        receiver.close()
        proxy.close()


def test_suspended_server_goes_on_with_all_that_it_received() -> None:
    """Guard against a stand-in that answers while suspended, or loses requests."""
    asyncio.run(_suspend_and_resume())


def test_held_requests_are_lost_when_a_resumed_server_crashes() -> None:
    """Guard against a stand-in that answers requests after the crash that lost them."""
    asyncio.run(_crash_on_resuming())


def test_server_states_another_start_after_each_restart() -> None:
    """Guard against crashes of one id that hosts can't tell apart."""
    entries = []
    server = GroupServer(
        id="engine-0",
        service="engines",
        zone="z",
        domain="d0",
        is_engine=True,
        register=lambda server_id, entry: entries.append(entry),
    )
    server.write()
    for _ in range(2):
        server.set({"restart": True})
    assert [entry.get("born") for entry in entries] == [None, 1, 2]


@contextlib.asynccontextmanager
async def _running_engine() -> AsyncIterator[tuple[GroupServer, web.AppRunner]]:
    server = GroupServer(
        id="engine-0",
        service="engines",
        zone="z",
        domain="d0",
        is_engine=True,
        register=lambda server_id, entry: None,
        group={"name": "g", "epoch": 1, "rank": 0, "state": "open"},
    )
    runner = web.AppRunner(server.app(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    async with asyncio.timeout(10.0):
        yield server, runner
    await runner.cleanup()


async def _suspend_and_resume() -> None:
    async with _running_engine() as (server, runner):
        began, began_writer = await _send(runner, "POST", "/chat/1", "began")
        text = await began.readuntil(b"piece 1")
        server.set({"suspend": True})
        held, held_writer = await _send(runner, "POST", "/chat/1", "held")
        status, status_writer = await _send(runner, "GET", "/report", "")
        _, left = await _send(runner, "POST", "/chat/1", "left")
        left.close()
        for reader in (held, status):
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.1)
        assert set(server.n_runs_by_request) == {"began"}
        server.set({"suspend": False})
        text += await began.readuntil(b"0\r\n\r\n")
        assert [text.count(b"piece %d\n" % number) for number in range(1, 6)] == [1] * 5
        for reader in (held, status):
            assert await reader.read(12) == b"HTTP/1.1 200"
        while "left" not in server.n_runs_by_request:
            await asyncio.sleep(0.01)
        for writer in (began_writer, held_writer, status_writer):
            writer.close()


async def _crash_on_resuming() -> None:
    async with _running_engine() as (server, runner):
        server.set({"suspend": True})
        held = [
            await _send(runner, "POST", "/chat/1", request_id, body=POISON_BODY)
            for request_id in ("first", "second")
        ]
        while runner.server.requests_count < len(held):
            await asyncio.sleep(0.01)
        for reader, _ in held:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.1)
        server.set({"suspend": False})
        for reader, writer in held:
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read(1) == b""
            writer.close()
        assert len(server.crashes) == 1
        assert {request_id for _, request_id in server.arrivals} == {"first", "second"}


async def _send(
    runner: web.AppRunner,
    method: str,
    path: str,
    request_id: str,
    *,
    body: bytes = b"body",
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(*runner.addresses[0])
    head = f"{method} {path} HTTP/1.1\r\nHost: s\r\nRequest-Id: {request_id}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    return reader, writer
