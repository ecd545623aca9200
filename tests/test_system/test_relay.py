"""Test entry hosts that relay requests, as processes with a stand-in platform."""

from __future__ import annotations

import itertools
import signal
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import httpx
import pytest

from ..processes import wait_until
from ..relay_zone import (
    HEADERS,
    RelayHost,
    RelayZone,
    events_of_stream,
    running_relay_zone,
    unused_loopback_address,
)
from ..standins.group_server import DEADLY_PART
from ..standins.platform import configuration

#: Requests that are sent to one host at once, each over a new connection.
N_CROWD = 400

#: Seconds beyond which callers are told to return only if there is a verdict.
LONG_RETRY = 100.0


@pytest.fixture
def zone(tmp_path: Path) -> Iterator[RelayZone]:
    with running_relay_zone(tmp_path) as running:
        running.start_platform()
        yield running


def test_requests_of_each_kind_are_relayed_unchanged(zone: RelayZone) -> None:
    host = zone.start_host("e1")
    zone.head_of(2)
    stream = host.chat(request_id="s1")
    assert stream.status_code == 200
    assert stream.text == events_of_stream(5)
    posted = host.call("/once/a%20b/?q=%2F", request_id="u1", method="POST")
    assert posted.text == "POST /once/a%20b/?q=%2F a body"
    assert posted.headers["request-id"] == "u1"
    assert posted.headers["response-seal"].startswith("signature-of-the-tests")
    read = host.call("/look/1", request_id="i1", Tenant="forged", Target_Instance="x")
    assert read.status_code == 200
    assert zone.n_runs() == {"s1": 1, "u1": 1, "i1": 1}
    heads = [
        head
        for server in zone.servers().values()
        for head in server["heads"]
        if head["request-id"] == "i1"
    ]
    assert [head["tenant"] for head in heads] == ["pawroute"]
    assert "credential" not in heads[0]
    assert 0 < int(heads[0]["deadline-ms"]) <= 4000


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        pytest.param("/nowhere/1", {}, 404, id="no-route"),
        pytest.param("/look/1", {"Credential": "wrong"}, 401, id="wrong-key"),
    ],
)
def test_request_without_route_or_valid_key_is_refused(
    zone: RelayZone, path: str, headers: dict[str, str], status: int
) -> None:
    host = zone.start_host("e1")
    answer = host.call(path, request_id="r1", **headers)
    assert answer.status_code == status
    assert zone.n_runs() == {}


def test_sighup_does_not_end_the_process(zone: RelayZone) -> None:
    """Guard against entry hosts that SIGHUP terminates.

    The settings file changes and the platform sends SIGHUP.  Without a handler, the
    default action terminates the process: six processes ended with code 129, each with
    the requests in flight.
    """
    host = zone.start_host("e1")
    host.process.send(signal.SIGHUP)
    assert host.process.wait_for_event("reloaded")["changed"] is False
    assert host.call("/look/1", request_id="i1").status_code == 200


def test_stopping_host_serves_until_it_exits(zone: RelayZone) -> None:
    host = zone.start_host("e1")
    assert host.call("/look/1", request_id="i1").status_code == 200
    host.process.send(signal.SIGTERM)
    wait_until(lambda: not host.is_ready(), what="the host is not ready")
    last = host.call("/look/2", request_id="i2")
    assert (last.status_code, last.headers["connection"]) == (200, "close")
    assert host.process.wait() == 0


def test_host_refused_by_the_store_gets_configurations_from_peers(
    zone: RelayZone,
) -> None:
    """Check that a new configuration reaches a host that the store refuses.

    Guards against a key that was removed and is still accepted by one entry host.  The
    store refuses that host and serves the others, and the operator publishes a
    configuration.  The host keeps the old key if it uses only configurations that it
    has read from the store itself.
    """
    zone.start_host("e1")
    refused = zone.start_host("e2", store_endpoint="side-door")
    refused.process.wait_for_event("peer_heard")
    assert refused.call("/look/1", request_id="i1").status_code == 200
    zone.control(side_door={"refuse": True})
    refused.process.wait_for_event("store_lost")
    zone.control(configuration={"version": 3, "tenants": []})
    wait_until(
        lambda: refused.call("/look/1", request_id="i2").status_code == 401,
        what="the key is refused",
    )
    in_force = refused.process.events("configuration_in_force")[-1]
    assert in_force["version"] == 3


def test_host_restarted_while_the_store_is_unreachable_serves(zone: RelayZone) -> None:
    """Check that a host that is restarted while the store is unreachable serves.

    Guards against a restarted host that refuses its callers until the store is
    reachable again.  The store becomes unreachable, and a host is killed and started
    again; its peers still send it their addresses, and serve.  The host cannot serve if
    configuration and backend servers come from the store only.
    """
    first = zone.start_host("e1")
    place = {"ip": unused_loopback_address(), "peers_port": 7000}
    killed = zone.start_host("e2", **place)
    first.process.wait_for_event("peer_heard")
    zone.head_of(2)
    wait_until(
        lambda: first.chat(request_id="s0").status_code == 200,
        what="the first host can send to the group",
    )
    killed.process.kill()
    zone.control(store={"refuse": True})
    first.process.wait_for_event("store_lost")
    restarted = zone.start_host("e2", **place)
    assert restarted.call("/look/1", request_id="i1").status_code == 200
    assert restarted.chat(request_id="s1").text == events_of_stream(5)


def test_stopping_host_refuses_requests_that_it_cannot_finish(zone: RelayZone) -> None:
    """Check that late requests during a shutdown are refused, not accepted and cut off.

    Guards against cutting off a stream that began six seconds after the signal.  A
    caller keeps an idle connection open during the shutdown, and sends a request on it
    shortly before the process ends.  The stream is cut off if the host accepts requests
    until its process ends.
    """
    host = zone.start_host("e1", grace=6)
    head = zone.head_of(2)
    zone.control(**{head.replace("-", "_"): {"event_ms": 300.0, "n_events": 15}})
    with (
        httpx.Client(base_url=f"http://{host.callers_address}") as caller,
        ThreadPoolExecutor() as threads,
    ):
        headers = HEADERS | {"Request-Id": "i1"}
        assert caller.get("/look/1", headers=headers).status_code == 200
        # The process does not end before this running stream has ended.
        running = threads.submit(host.chat, request_id="s1", Deadline_Ms="9000")
        wait_until(lambda: "s1" in zone.n_runs(), what="the stream runs")
        host.process.send(signal.SIGTERM)
        host.process.wait_for_event("idle_connections_closed")
        headers = HEADERS | {"Request-Id": "s2", "Model": "large"}
        late = caller.post("/chat/1", headers=headers, content=b"x")
        assert late.status_code == 503
        assert float(late.headers["retry-after"]) < 1
        assert running.result().text.count("id: ") == 15
    assert host.process.wait() == 0
    assert "s2" not in zone.n_runs()


def test_stopping_host_takes_late_requests_only_if_their_limits_end_in_time(
    zone: RelayZone,
) -> None:
    """Guard against streams that a stopping host takes late and then cuts off.

    A stream arrives while the host has time left for most streams but not for this one.
    """
    routes = [route | {"timeout_ms": 20_000} for route in configuration(2)["routes"]]
    zone.control(configuration={"version": 3, "routes": routes})
    host = zone.start_host("e1", grace=8)
    head = zone.head_of(2)
    zone.control(**{head.replace("-", "_"): {"event_ms": 300.0, "n_events": 20}})
    with (
        httpx.Client(base_url=f"http://{host.callers_address}") as caller,
        ThreadPoolExecutor() as threads,
    ):
        running = threads.submit(host.chat, request_id="s1", Deadline_Ms="20000")
        wait_until(lambda: "s1" in zone.n_runs(), what="the stream runs")
        host.process.send(signal.SIGTERM)
        host.process.wait_for_event("idle_connections_closed")
        headers = HEADERS | {"Deadline-Ms": "20000", "Model": "large"}
        late = caller.post(
            "/chat/1", headers=headers | {"Request-Id": "s2"}, content=b"x"
        )
        assert late.status_code == 503
        short = host.call("/look/1", request_id="i1", Deadline_Ms="1000")
        assert short.status_code == 200
        assert running.result().text.count("id: ") == 20
    assert host.process.wait() == 0
    assert host.process.events("cut_off") == []
    assert "s2" not in zone.n_runs()


@pytest.mark.parametrize(
    "switches",
    [
        pytest.param({"still_after": 5}, id="stream-stalls"),
        pytest.param({"cut_after": 6}, id="cut-in-mid-event"),
    ],
)
def test_stream_resumes_at_another_group(
    zone: RelayZone, switches: dict[str, object]
) -> None:
    """Check that a caller gets every event once when its group is lost.

    Guards against an answer that ends in the middle, or that repeats events.  A group
    begins a stream, then a member is lost: the stream stalls, or the connection breaks
    in the middle of an event.  The second group must resume after the last complete
    event.
    """
    host = zone.start_host("e1")
    zone.head_of(1)
    zone.slow_engines(n_events=15, event_ms=20.0)
    # The host selects the same group each time while all groups are idle.
    assert host.chat(request_id="s0", model="small").status_code == 200
    first = zone.server_that_runs("s0")
    zone.control(**{first.replace("-", "_"): switches})
    answer = host.chat(request_id="s1", model="small")
    assert answer.text == events_of_stream(15)
    assert answer.headers["response-seal"].endswith(first)
    assert zone.server_that_runs("s1", other_than=first)


def test_metrics_are_served_on_a_separate_address(zone: RelayZone) -> None:
    ip = unused_loopback_address()
    host = zone.start_host("e1", ip=ip, metrics_port=9100)
    zone.head_of(2)
    wait_until(
        lambda: host.chat(request_id="s1").status_code == 200,
        what="the host knows the group",
    )
    text = httpx.get(f"http://{ip}:9100/metrics", timeout=5).text
    readiness_text = httpx.get(f"http://{host.ready_address}/metrics", timeout=5).text
    for name in (
        'ryelever_relay_request_seconds{outcome="200",quantile="0.5",route="chat"}',
        'ryelever_relay_sendings_total{kind="first"}',
        "ryelever_relay_first_event_seconds_count",
        'ryelever_group_phase_seconds_count{phase="forming"}',
        'ryelever_store_calls_total{kind="read_store"}',
        "ryelever_time_under_way_seconds{",
        'ryelever_groups_total{kind="serving"}',
        "ryelever_store_reachable 1.0",
        "ryelever_configuration_version 1.0",
        'ryelever_log_lines_total{kind="left_out"} 0.0',
    ):
        assert name in text, text
        assert name in readiness_text


def test_server_that_says_that_it_leaves_gets_nothing_more(zone: RelayZone) -> None:
    """Check that a host heeds what a server says in an answer.

    Guards against requests at a leaving server whose entry shows it as ready.
    """
    host = zone.start_host("e1")
    # The host selects the same server each time while all servers are idle.
    assert host.call("/look/1", request_id="r0").status_code == 200
    first = zone.server_that_runs("r0")
    zone.control(**{first.replace("-", "_"): {"leaving": True}})
    for index in range(1, 12):
        assert host.call("/look/1", request_id=f"r{index}").status_code == 200
    arrived = [request_id for _, request_id in zone.servers()[first]["arrivals"]]
    assert arrived == ["r0", "r1"]


def test_caller_is_refused_for_the_pause_that_all_servers_asked_for(
    zone: RelayZone,
) -> None:
    """Check that a host keeps to pauses, and tells callers how long they last.

    Guards against requests at servers that have asked the host for a pause, and against
    callers that wait for them or come back too early.
    """
    host = zone.start_host("e1")
    refusing = {"reject": True, "pause": "600"}
    zone.control(plain_0=refusing, plain_1=refusing)
    assert host.call("/look/1", request_id="r1").status_code == 503
    refusal = host.call("/look/1", request_id="r2")
    assert refusal.status_code == 503
    assert float(refusal.headers["retry-after"]) > 500
    servers = zone.servers()
    for name in ("plain-0", "plain-1"):
        arrived = [request_id for _, request_id in servers[name]["arrivals"]]
        assert arrived == ["r1"]


def test_part_that_crashes_servers_is_refused_until_it_is_released(
    zone: RelayZone,
) -> None:
    """Guard against a verdict on a part that isn't shared, or that can't be lifted."""
    first, second = zone.start_host("e1"), zone.start_host("e2")
    zone.head_of(2)
    sound = "f0:40,5a:20,01:10"
    assert first.chat(request_id="s1", Prefix_Hash=sound).status_code == 200
    numbers = itertools.count(1)

    def is_refused(host: RelayHost) -> bool:
        number = next(numbers)
        prompt = f"f0:40,{DEADLY_PART}:20,{number:04x}:10"
        answer = host.chat(request_id=f"d{number}", Prefix_Hash=prompt)
        return float(answer.headers.get("retry-after", 0)) > LONG_RETRY

    def is_released(host: RelayHost) -> bool:
        cleared = host.process.events("part_cleared")
        return DEADLY_PART in {line["part"] for line in cleared}

    for host in (first, second):
        wait_until(lambda host=host: is_refused(host), what="a verdict")
        wait_until(
            lambda host=host: (
                host.chat(request_id="s2", Prefix_Hash=sound).status_code == 200
            ),
            what="a sound request is served",
        )
    assert 3 <= sum(len(item["crashes"]) for item in zone.servers().values()) <= 8
    # Other parts are cleared at a host that has seen a crash before it learned that
    # they have completed.
    assert not any(is_released(host) for host in (first, second))
    settings = zone.directory / "e1.conf"
    text = settings.read_text()
    settings.write_text(f"{text}quarantine.released_parts={DEADLY_PART}\n")
    first.process.send(signal.SIGHUP)
    assert first.process.wait_for_event("reloaded")["changed"] is True
    for host in (first, second):
        wait_until(lambda host=host: is_released(host), what="the part is released")
    assert not is_refused(first)


def test_answers_that_end_with_their_connection_are_complete(zone: RelayZone) -> None:
    """Guard against answers without a length that are waited for, cut or refused."""
    host = zone.start_host("e1")
    zone.head_of(2)
    zone.end_answers_with_connections("closed")
    assert host.chat(request_id="s1").text == events_of_stream(5)
    posted = host.call("/once/1", request_id="u1", method="POST")
    assert (posted.status_code, posted.text) == (200, "POST /once/1 a body")
    assert host.call("/look/1", request_id="i1").status_code == 200
    assert zone.n_runs() == {"s1": 1, "u1": 1, "i1": 1}


@pytest.mark.parametrize("how", ["cut", "reset"])
def test_answer_that_ends_early_with_its_connection_never_looks_complete(
    zone: RelayZone, how: str
) -> None:
    """Guard against a stream cut inside an event, or a reset, taken for an end."""
    host = zone.start_host("e1")
    zone.head_of(2)
    zone.end_answers_with_connections(how)
    with pytest.raises(httpx.RemoteProtocolError):
        host.chat(request_id="s1")
    if how == "reset":
        assert host.call("/once/1", request_id="u1", method="POST").status_code == 502


def test_host_reads_many_new_connections_at_once(zone: RelayZone) -> None:
    """Guard against refused or unread requests where one host gets most connections."""
    host = zone.start_host("e1")
    numbers = range(N_CROWD)
    with ThreadPoolExecutor(32) as threads:
        answers = threads.map(
            lambda number: host.call("/look/1", request_id=f"r{number}"), numbers
        )
        statuses = [answer.status_code for answer in answers]
    assert statuses == [200] * N_CROWD
    assert zone.n_runs() == {f"r{number}": 1 for number in numbers}
