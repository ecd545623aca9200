"""Test which headers of requests and answers are read, dropped and passed on."""

from __future__ import annotations

import pytest

from ryelever.coordination.relaying import Headers, NamedLimit, RequestedPause
from ryelever.coordination.relaying.actions import RelayAttempt
from ryelever.platform.messages import PlatformMessages

MESSAGES = PlatformMessages()

HEAD: Headers = [
    (b"host", b"Calls.Example:80"),
    (b"request-id", b"r1"),
    (b"deadline-ms", b"8000"),
    (b"credential", b"key"),
    (b"model", b"m"),
    (b"token-usage", b"1460,80"),
    (b"x-own", b"1"),
    (b"x-own", b"2"),
]


def _attempt(**changes: object) -> RelayAttempt:
    values = {
        "id": "a1",
        "request_number": 1,
        "server_id": "i1",
        "started_at": None,
        "address": "10.0.0.9:80",
        "deadline": 108.0,
        "account": "pawroute",
        "priority": 2,
        "last_event_id": "",
        "new_connection": False,
    }
    return RelayAttempt(**(values | changes))


def test_request_head_is_decoded() -> None:
    arrival = MESSAGES.decode_arrival(
        head=HEAD, target=b"/a/b?q=/c", content="c", now=100.0
    )
    assert (arrival.host, arrival.path, arrival.key) == ("calls.example", "/a/b", "key")
    assert (arrival.model, arrival.n_prompt) == ("m", 1460)
    assert arrival.deadline == 108.0


def test_headers_without_valid_numbers_count_as_absent() -> None:
    head = [(b"deadline-ms", b"soon"), (b"token-usage", b"many")]
    arrival = MESSAGES.decode_arrival(head=head, target=b"/", content="c", now=100.0)
    assert (arrival.deadline, arrival.n_prompt, arrival.key) == (None, 0, None)


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"], ("5c1e07a2", "91bd3f06")),
        ([b" 5C1E:800 , 91bd:410 ,5c1e:800, 07:1"], ("5c1e", "91bd")),
        ([b"5c1e:800", b"91bd:410", b"07:1"], ("5c1e", "91bd")),
        ([b"5c1e:800"], ()),
        ([b""], ()),
        ([], ()),
        ([b"a b:1,:2,xyz:3," + b"0" * 65 + b":4,5c1e,07:1"], ("5c1e",)),
        (
            [b",".join(b"%x:1" % n for n in range(500))],
            tuple(f"{n:x}" for n in range(64)),
        ),
    ],
    ids=[
        "several",
        "spaces, capitals, repeated",
        "several headers",
        "own part only",
        "empty",
        "none",
        "not valid",
        "too many",
    ],
)
def test_shared_parts_of_the_prompt_are_decoded(
    values: list[bytes], expected: tuple[str, ...]
) -> None:
    """Guard against parts that are missed, or that are counted though not shared."""
    head = [*HEAD, *((b"prefix-hash", value) for value in values)]
    arrival = MESSAGES.decode_arrival(head=head, target=b"/", content="c", now=1.0)
    assert arrival.shared_parts == expected


def test_callers_cannot_set_the_entry_hosts_headers() -> None:
    forged = [
        (b"tenant", b"other"),
        (b"target-instance", b"i9"),
        (b"request-priority", b"0"),
    ]
    sent = MESSAGES.attempt_headers([*HEAD, *forged], _attempt(), now=102.0)
    found = dict(sent)
    assert found[b"tenant"] == b"pawroute"
    assert found[b"target-instance"] == b"i1"
    assert found[b"request-priority"] == b"2"
    assert 5900 <= int(found[b"deadline-ms"]) <= 6000
    assert b"credential" not in found
    names = [name for name, _ in sent]
    assert names.count(b"tenant") == names.count(b"deadline-ms") == 1
    assert [text for name, text in sent if name == b"x-own"] == [b"1", b"2"]


def test_hop_by_hop_headers_are_not_passed_on() -> None:
    hop_by_hop = [
        (b"connection", b"close, X-Hop"),
        (b"x-hop", b"1"),
        (b"te", b"trailers"),
    ]
    names = {
        name
        for name, _ in MESSAGES.attempt_headers(
            [*HEAD, *hop_by_hop], _attempt(), now=1.0
        )
    }
    assert not names & {b"connection", b"x-hop", b"te"}


def test_stream_is_resumed_after_the_last_event_passed_on() -> None:
    head = [*HEAD, (b"last-event-id", b"3")]
    sent = MESSAGES.attempt_headers(head, _attempt(last_event_id="12"), now=1.0)
    assert [text for name, text in sent if name == b"last-event-id"] == [b"12"]


def test_requests_of_public_routes_have_no_account_header() -> None:
    sent = MESSAGES.attempt_headers(
        [*HEAD, (b"tenant", b"x")], _attempt(account=""), now=1.0
    )
    assert b"tenant" not in dict(sent)


def test_answer_head_is_decoded() -> None:
    passed = [(b"request-id", b"r1"), (b"response-seal", b"s"), (b"x", b"1")]
    hop_by_hop = [(b"connection", b"keep-alive"), (b"content-length", b"12")]
    head = MESSAGES.decode_answer_head(200, [*passed, *hop_by_hop])
    assert (head.signed, head.not_run) == (True, False)
    assert head.headers == passed
    assert MESSAGES.decode_answer_head(503, [(b"not-executed", b"1")]).not_run
    assert not MESSAGES.decode_answer_head(503, []).not_run
    wrong = MESSAGES.decode_answer_head(421, [])
    assert (wrong.not_run, wrong.wrong_server) == (True, True)
    assert MESSAGES.decode_answer_head(200, [(b"content-encoding", b"gzip")]).encoded


@pytest.mark.parametrize("framing", [b"content-length", b"transfer-encoding"])
def test_answer_that_ends_with_its_connection_is_told_apart(framing: bytes) -> None:
    assert not MESSAGES.decode_answer_head(200, [(framing, b"")]).ends_with_connection
    assert MESSAGES.decode_answer_head(200, [(b"x", b"1")]).ends_with_connection


def test_refusal_has_a_retry_after_header() -> None:
    assert MESSAGES.answer_headers("r1", retry_after=0.3) == [
        (b"request-id", b"r1"),
        (b"retry-after", b"0.30"),
    ]
    assert MESSAGES.answer_headers("r1", retry_after=None) == [(b"request-id", b"r1")]


@pytest.mark.parametrize(
    ("text", "rate"),
    [
        pytest.param(b"4", 4.0, id="whole"),
        pytest.param(b"1.25", 1.25, id="decimal"),
        pytest.param(b"0", 0.0, id="nothing"),
        pytest.param(b"", None, id="empty"),
        pytest.param(b"few", None, id="no-number"),
        pytest.param(b"nan", None, id="not-a-number"),
        pytest.param(b"inf", None, id="without-end"),
        pytest.param(b"-1", None, id="negative"),
        pytest.param(b"1, 2", None, id="two"),
    ],
)
def test_rate_limit_of_an_answer_is_parsed(text: bytes, rate: float | None) -> None:
    head = MESSAGES.decode_answer_head(200, [(b"server-limit", text)])
    assert head.rate_limit == NamedLimit(text=text.decode(), rate=rate)


def test_answer_without_a_rate_limit() -> None:
    assert MESSAGES.decode_answer_head(200, []).rate_limit is None


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        pytest.param(b"3", 3.0, id="whole"),
        pytest.param(b"0.25", 0.25, id="decimal"),
        pytest.param(b"0", 0.0, id="none"),
        pytest.param(b"", None, id="empty"),
        pytest.param(b"soon", None, id="no-number"),
        pytest.param(b"Thu, 01 Jan 2026 00:00:00 GMT", None, id="date"),
        pytest.param(b"inf", None, id="without-end"),
        pytest.param(b"-1", None, id="negative"),
    ],
)
def test_pause_of_a_refusal_is_parsed(text: bytes, seconds: float | None) -> None:
    head = MESSAGES.decode_answer_head(503, [(b"retry-after", text)])
    assert head.pause == RequestedPause(text=text.decode(), seconds=seconds)


def test_only_refusals_ask_for_pauses() -> None:
    assert MESSAGES.decode_answer_head(503, []).pause is None
    for status in (200, 429, 500):
        head = MESSAGES.decode_answer_head(status, [(b"retry-after", b"3")])
        assert head.pause is None


@pytest.mark.parametrize(
    ("headers", "leaving"),
    [
        pytest.param([(b"server-leaving", b"1")], True, id="leaving"),
        pytest.param([(b"server-leaving", b"0")], False, id="denied"),
        pytest.param([], False, id="absent"),
    ],
)
def test_answer_states_that_its_server_is_leaving(
    headers: list[tuple[bytes, bytes]], leaving: bool
) -> None:
    for status in (200, 503):
        assert MESSAGES.decode_answer_head(status, headers).leaving is leaving
