"""Test the requests and answers of the OpenAI interface."""

from __future__ import annotations

import json

import pytest

from ryelever.coordination.actions import Usage
from ryelever.errors import Category, RunState, RyeleverError
from ryelever.protocol.openai import (
    ChatStreamEncoder,
    decode_chat_request,
    error_body,
    error_event,
    error_headers,
    http_status,
    shared_parts,
)
from ryelever.protocol.sse import SseSplitter

QUESTION = {"model": "notes", "messages": [{"role": "user", "content": "x"}]}

ERRORS = [
    (Category.UNAVAILABLE, "", 1.2, 503, {"Retry-After": "2"}),
    (Category.LIMITED, "", 0.1, 429, {"Retry-After": "1"}),
    (Category.BAD_REQUEST, "use_get", None, 405, {"Allow": "GET, HEAD"}),
    (Category.BROKEN, "", None, 502, {}),
]


@pytest.mark.parametrize(("category", "code", "retry_after", "status", "head"), ERRORS)
def test_error_answer_has_status_headers_and_fields(
    category: Category, code: str, retry_after: float | None, status: int, head: dict
) -> None:
    """Check status, headers and body; ``Retry-After`` is never rounded down."""
    error = RyeleverError(
        "m",
        category=category,
        step="s",
        peer="p",
        code=code,
        run_state=RunState.OUTCOME_UNKNOWN,
        retry_after=retry_after,
    )
    assert (http_status(error), error_headers(error)) == (status, head)
    fields = json.loads(error_body(error))["error"]
    assert (fields["run_state"], fields["step"], fields["peer"]) == (
        "outcome_unknown",
        "s",
        "p",
    )
    events = SseSplitter().feed(error_event(error))
    assert json.loads(events[0])["error"] == fields
    assert events[1] == b"[DONE]"


@pytest.mark.parametrize("category", Category)
def test_every_category_has_a_status(category: Category) -> None:
    error = RyeleverError("m", category=category, step="s")
    assert 400 <= http_status(error) < 600


@pytest.mark.parametrize(
    "text", ['"quoted"\n', "line\u2028end", "\x00", "ção 🐕", "</script>", ""]
)
def test_stream_carries_any_text(text: str) -> None:
    encoder = ChatStreamEncoder(
        request_id="r", model='m"', created=1, include_usage=True
    )
    data = encoder.started() + encoder.tokens((text, "."))
    data += encoder.finished(finish_reason="stop", usage=Usage(n_prompt_tokens=1))
    *events, done = SseSplitter().feed(data)
    chunks = [json.loads(event) for event in events]
    assert done == b"[DONE]"
    assert chunks[1]["choices"][0]["delta"]["content"] == text + "."
    assert {chunk["model"] for chunk in chunks} == {'m"'}


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, ("notes", "", 512, False)),
        ({"model": "notes:qld"}, ("notes", "qld", 512, False)),
        ({"max_tokens": 3, "stream": True}, ("notes", "", 3, True)),
        ({"max_tokens": 3, "max_completion_tokens": 4}, ("notes", "", 4, False)),
        ({"max_tokens": None, "stream": None}, ("notes", "", 512, False)),
    ],
)
def test_chat_request_is_read(fields: dict, expected: tuple) -> None:
    work = decode_chat_request(json.dumps(QUESTION | fields).encode()).ok
    assert (work.model, work.adapter, work.max_tokens, work.streamed) == expected


def test_messages_that_other_requests_may_share_are_parts_of_a_prompt() -> None:
    """Guard against a part that differs between requests that share the message."""

    def parts(*messages: str, model: str = "m") -> tuple[str, ...]:
        body = {
            "model": model,
            "messages": [{"role": "user", "content": text} for text in messages],
        }
        work = decode_chat_request(json.dumps(body).encode()).ok
        return shared_parts(work)

    assert parts("own") == ()
    assert parts("a", "b", "own") == (*parts("a", "x"), *parts("b", "y"))
    assert parts("a", "a", "own") == parts("a", "x")
    [adapter] = parts("own", model="m:law")
    assert parts("a", "own", model="m:law") == (adapter, *parts("a", "x"))
    assert adapter != parts("own", model="m:tax")[0]
