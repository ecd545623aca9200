"""Test that calls to external systems match docs/INTERFACES.md."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from ryelever.coordination.actions import Arrival, ServiceWork
from ryelever.protocol.backend import GenerateRequest, Order
from ryelever.protocol.external_systems import (
    HTTP_ENGINE,
    HTTP_HOSTS_LIST,
    HTTP_LOG,
    HTTP_PLAIN_SERVICE,
    ExternalRequest,
)
from ryelever.protocol.log import encode_record
from ryelever.state.records import Claim

INTERFACES = Path(__file__).parents[2] / "docs" / "INTERFACES.md"

ORDER = Order(id="o", kind="join", group="g", fencing=7)
GENERATE = GenerateRequest(
    attempt="a", group="g", fencing=7, model="m", messages=[], max_tokens=1
)
WORK = ServiceWork(
    service="bookings", method="POST", path="/b", content_type="x/y", body=b"1"
)
ARRIVAL = Arrival(
    request_id="r",
    client_account="c",
    work=WORK,
    arrived_at=0.0,
    deadline=1.0,
    idempotency_key="k",
)
RECORD = encode_record(
    Claim(key="k", fingerprint="f", owner="o", request_id="r"), record_id="i"
)

CALLS = [
    (HTTP_LOG.append("s", [RECORD]), "POST /v1/streams/s/records", {"records"}),
    (
        HTTP_LOG.read("s", offset=5, wait_ms=10, limit=2),
        "GET /v1/streams/s/records?from=5&wait_ms=10&limit=2",
        set(),
    ),
    (HTTP_HOSTS_LIST.list(known_tag=""), "GET /v1/hosts", set()),
    (HTTP_HOSTS_LIST.list(known_tag="t"), "GET /v1/hosts", set()),
    (HTTP_ENGINE.report(), "GET /v1/report", set()),
    (
        HTTP_ENGINE.order(ORDER),
        "POST /v1/orders",
        {"id", "kind", "group", "fencing", "rank", "members", "model", "version"},
    ),
    (
        HTTP_ENGINE.generate(GENERATE),
        "POST /v1/generate",
        {"attempt", "group", "fencing", "model", "messages", "max_tokens", "delivered"},
    ),
    (HTTP_ENGINE.cancel("a"), "POST /v1/cancel", {"attempt"}),
]


@pytest.mark.parametrize(("call", "line", "fields"), CALLS)
def test_call_matches_the_published_interface(
    call: ExternalRequest, line: str, fields: set[str]
) -> None:
    """Use only methods, paths and fields that docs/INTERFACES.md describes."""
    assert f"{call.method} {call.path}" == line
    sent = json.loads(call.body) if call.body else {}
    assert fields <= sent.keys()
    page = INTERFACES.read_text()
    path = call.path.partition("?")[0].replace("/s/", "/STREAM/")
    assert f"`{call.method} {path}" in page
    assert [name for name in sent if f"`{name}`" not in page] == []


def test_service_call_is_forwarded_unchanged() -> None:
    call = HTTP_PLAIN_SERVICE.call(WORK, arrival=ARRIVAL)
    assert (call.method, call.path, call.body) == ("POST", "/b", b"1")
    assert dict(call.headers) == {
        "X-Request-Id": "r",
        "Content-Type": "x/y",
        "Idempotency-Key": "k",
    }


def test_hosts_list_is_requested_conditionally_with_a_known_tag() -> None:
    assert HTTP_HOSTS_LIST.list(known_tag="").headers == ()
    assert HTTP_HOSTS_LIST.list(known_tag='"7"').headers == (("If-None-Match", '"7"'),)
