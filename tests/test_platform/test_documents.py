"""Test the reading of configurations and of backend servers' records."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryelever.platform.documents import read_configuration, read_server
from ryelever.state.directory import GroupState
from ryelever.state.routes import RouteKind, RouteTable

ROUTE = {
    "name": "r1",
    "host": "Calls.Example",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 8000,
    "target_latency_ms": 500,
    "target_gap_ms": 300,
    "service": "s1",
    "max_attempts": 2,
    "resumable": True,
}

SERVER = {
    "service": "s1",
    "address": "10.0.0.9:80",
    "zone": "z1",
    "slots": 13,
    "state": "ready",
    "sequence": 4,
}


def _route_table(**changes: Any) -> RouteTable:
    document = {"version": 7, "routes": [ROUTE], "services": [{"name": "s1"}]}
    return read_configuration(json.dumps(document | changes).encode(), peer="store").ok


def test_times_are_seconds_and_hosts_lower_case() -> None:
    route = _route_table().match(host="calls.example", path="/a/b")
    assert (route.timeout, route.latency_objective, route.pause_objective) == (
        8.0,
        0.5,
        0.3,
    )


def test_route_with_the_longest_prefix_matches() -> None:
    longer = ROUTE | {"name": "r2", "path_prefix": "/a/b/"}
    route_table = _route_table(routes=[ROUTE, longer])
    assert route_table.match(host="calls.example", path="/a/b/c").name == "r2"
    assert route_table.match(host="calls.example", path="/a/bc").name == "r1"
    assert route_table.match(host="calls.example", path="/b") is None
    assert route_table.match(host="other.example", path="/a/b") is None


@pytest.mark.parametrize(
    ("kind", "resumable", "expected", "repeatable"),
    [
        pytest.param("safe", False, RouteKind.IDEMPOTENT, True, id="safe"),
        pytest.param("unsafe", False, RouteKind.AT_MOST_ONCE, False, id="unsafe"),
        pytest.param("streaming", True, RouteKind.STREAM, True, id="resumable"),
        pytest.param("streaming", False, RouteKind.STREAM, False, id="one-stream"),
        pytest.param("new", True, RouteKind.AT_MOST_ONCE, False, id="unknown"),
    ],
)
def test_kind_of_a_route_determines_whether_requests_are_repeated(
    kind: str, resumable: bool, expected: RouteKind, repeatable: bool
) -> None:
    route_table = _route_table(routes=[ROUTE | {"kind": kind, "resumable": resumable}])
    route = route_table.match(host="calls.example", path="/a/")
    assert (route.kind, route.repeatable) == (expected, repeatable)


def test_traffic_split_selects_services_by_weight() -> None:
    split = [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]
    route = dict(ROUTE) | {"traffic_split": split}
    del route["service"]
    found = _route_table(routes=[route]).match(host="calls.example", path="/a/")
    chosen = [found.service_of(f"request-{number}") for number in range(2000)]
    assert 0.07 < chosen.count("s2") / len(chosen) < 0.13
    assert found.service_of("request-1") == found.service_of("request-1")


def test_api_keys_map_to_their_accounts() -> None:
    accounts = [{"name": "a", "api_keys": ["k1", "k2"], "priority": 3}]
    route_table = _route_table(tenants=accounts)
    assert route_table.requires_keys
    assert route_table.account_by_key["k2"].name == "a"
    assert route_table.account_by_key["k2"].priority == 3
    assert not _route_table().requires_keys


@pytest.mark.parametrize("data", [b"", b"{}", b"[1]", b'{"version": "x"}'])
def test_invalid_configuration_is_an_error(data: bytes) -> None:
    error = read_configuration(data, peer="store").error
    assert (error.step, error.peer) == ("read_configuration", "store")


def test_a_member_reports_its_group() -> None:
    group = {"name": "g7", "epoch": 12, "rank": 1, "state": "open"}
    entry = SERVER | {
        "models": [{"name": "m"}],
        "staged": ["m"],
        "domain": 3,
        "group": group,
    }
    server = read_server("i1", json.dumps(entry).encode(), peer="store").ok
    assert (server.group.epoch, server.group.state) == (12, GroupState.OPEN)
    assert (server.models, server.staged, server.domain) == ({"m"}, {"m"}, "3")


@pytest.mark.parametrize("group", [None, {"name": "", "epoch": 0, "rank": 0}])
def test_a_server_without_a_group(group: dict | None) -> None:
    entry = SERVER | {"state": "draining"}
    if group is None:
        entry["group"] = None
    server = read_server("i1", json.dumps(entry).encode(), peer="store").ok
    assert (server.group, server.draining) == (None, True)


@pytest.mark.parametrize(
    "changes",
    [
        {"address": 3},
        {"address": "10.0.0.9"},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:70000"},
        {"address": "some.name:80"},
        {"state": "resting"},
        {"state": None},
        {"slots": 0},
        {"slots": "13"},
        {"born": "1767000000000"},
        {"born": 1.5},
        {"born": None},
        {"models": [3]},
        {"staged": 1},
        {"group": []},
        {"group": {"name": "g", "epoch": 1, "rank": 0, "state": "odd"}},
    ],
)
def test_invalid_record_is_an_error(changes: dict) -> None:
    data = json.dumps(SERVER | changes).encode()
    assert read_server("i1", data, peer="store").error.step == "read_server"


@pytest.mark.parametrize("field", ["service", "address", "zone", "slots", "state"])
def test_record_without_a_required_field_is_an_error(field: str) -> None:
    data = json.dumps({name: SERVER[name] for name in SERVER if name != field}).encode()
    assert read_server("i1", data, peer="store").error.step == "read_server"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe\x00",
        b'{"service":"\xff"}',
        b"[" * 100_000,
        b'{"x":' * 100_000,
        b"null",
        b"NaN",
    ],
    ids=["empty", "bytes", "not-utf-8", "deep", "deep-unknown", "null", "nan"],
)
def test_malformed_bytes_are_an_error(data: bytes) -> None:
    assert read_server("i1", data, peer="store").error.step == "read_server"


@given(data=st.binary(max_size=200))
def test_any_bytes_are_a_record_or_an_error(data: bytes) -> None:
    read = read_server("i1", data, peer="store")
    assert read.is_ok() or read.error.peer == "store"


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*SERVER, "group", "born"]), inner, max_size=3
        )
    ),
    max_leaves=6,
)


@given(
    changes=st.dictionaries(
        st.sampled_from([*SERVER, "group", "models", "staged", "domain", "born"]),
        _JSON,
    )
)
def test_record_with_any_values_is_valid_or_an_error(
    changes: dict[str, Any],
) -> None:
    read = read_server("i1", json.dumps(SERVER | changes).encode(), peer="store")
    if read.is_ok():
        server = read.ok
        assert server.slots >= 1
        assert 0 < int(server.address.rpartition(":")[2]) < 65536
        assert server.started_at is None or isinstance(server.started_at, int)


def test_start_of_a_server_is_read_from_its_record() -> None:
    data = json.dumps(SERVER | {"born": 1767000000000}).encode()
    assert read_server("i1", data, peer="store").ok.started_at == 1767000000000
    without_start = read_server("i1", json.dumps(SERVER).encode(), peer="store").ok
    assert without_start.started_at is None


@pytest.mark.parametrize(
    ("milliseconds", "seconds"),
    [(0, 0.0), (2500, 2.5), (0.5, 0.0005), (-3, 0.0)],
)
def test_remaining_cold_time_is_read_in_seconds(
    milliseconds: float, seconds: float
) -> None:
    entry = SERVER | {"cold_remaining_ms": milliseconds}
    server = read_server("i1", json.dumps(entry).encode(), peer="store").ok
    assert server.cold_for == seconds


def test_rate_of_cold_servers_is_read_for_each_service() -> None:
    route_table = _route_table(
        services=[{"name": "a", "cold_per_s": 17.0}, {"name": "b"}]
    )
    rates = {
        name: item.cold_rate for name, item in route_table.services_by_name.items()
    }
    assert rates == {"a": 17.0, "b": None}
