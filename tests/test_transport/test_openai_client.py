"""Test the callers' interface with the official ``openai`` client library."""

from __future__ import annotations

import time

import openai
import pytest
from openai import OpenAI

from ..processes import EntryHost, Fleet

QUESTION = [{"role": "user", "content": "Which dogs are home?"}]
N_TOKENS = 12


@pytest.fixture
def client(served: Fleet, entry: EntryHost) -> OpenAI:
    """Return a client without retries, with the key of the account "pawroute"."""
    return new_client(entry, served.keys_by_account["pawroute"])


def new_client(entry: EntryHost, key: str) -> OpenAI:
    """Return a client without retries, with an API key."""
    return OpenAI(base_url=f"{entry.url}/v1", api_key=key, max_retries=0)


def complete(client: OpenAI, **parameters: object) -> object:
    """Send a chat request, by default to the model "notes" with ``QUESTION``."""
    arguments = {"model": "notes", "messages": QUESTION} | parameters
    return client.chat.completions.create(**arguments)


def positions(text: str) -> list[int]:
    """Return the positions that the stand-in engine encodes in its tokens."""
    return [int(token.rpartition("-")[2]) for token in text.split()]


def test_complete_answer(client: OpenAI) -> None:
    answer = complete(client, max_tokens=N_TOKENS)
    assert positions(answer.choices[0].message.content) == list(range(N_TOKENS))
    assert answer.choices[0].finish_reason == "stop"
    assert (answer.model, answer.object) == ("notes", "chat.completion")
    assert answer.usage.completion_tokens == N_TOKENS
    assert answer.usage.total_tokens == answer.usage.prompt_tokens + N_TOKENS
    assert abs(answer.created - time.time()) < 3600


@pytest.mark.parametrize("include_usage", [False, True])
def test_streamed_answer(client: OpenAI, include_usage: bool) -> None:
    """Stream the role first, tokens in order, and the usage only if requested."""
    options = {"stream_options": {"include_usage": True}} if include_usage else {}
    parameters = {"max_completion_tokens": N_TOKENS, "stream": True} | options
    chunks = list(complete(client, **parameters))
    choices = [chunk.choices[0] for chunk in chunks if chunk.choices]
    text = "".join(choice.delta.content or "" for choice in choices)
    assert positions(text) == list(range(N_TOKENS))
    assert choices[0].delta.role == "assistant"
    reasons = [choice.finish_reason for choice in choices if choice.finish_reason]
    assert reasons == ["stop"]
    assert len({chunk.id for chunk in chunks}) == 1
    usages = [chunk.usage for chunk in chunks if chunk.usage]
    assert [usage.completion_tokens for usage in usages] == [N_TOKENS] * include_usage


def test_stream_helper_of_the_client(client: OpenAI) -> None:
    """Stream an answer that the client's stream helper can accumulate."""
    with client.chat.completions.stream(
        model="notes", messages=QUESTION, max_tokens=N_TOKENS
    ) as stream:
        answer = stream.get_final_completion()
    assert positions(answer.choices[0].message.content) == list(range(N_TOKENS))


def test_models_are_those_of_the_account(
    served: Fleet, entry: EntryHost, client: OpenAI
) -> None:
    """List and retrieve only the models that an account may use."""
    names = [model.id for model in client.models.list()]
    assert names == ["hidden", "notes", "notes:queensland"]
    walker = new_client(entry, served.keys_by_account["walker"])
    assert [model.id for model in walker.models.list()] == names[1:]
    assert walker.models.retrieve("notes").id == "notes"
    for name in ("hidden", "none"):
        with pytest.raises(openai.NotFoundError):
            walker.models.retrieve(name)
    with pytest.raises(openai.NotFoundError):
        complete(walker, model="hidden")


def test_answer_names_the_adapter(client: OpenAI) -> None:
    answer = complete(client, model="notes:queensland", max_tokens=2)
    assert answer.model == "notes:queensland"


def test_idempotency_key_runs_a_chat_once(served: Fleet, client: OpenAI) -> None:
    """Answer a resend with the first answer.

    A resend that arrives before the outcome was read back from the log is refused
    because the first request is in progress, and the client retries automatically.
    """
    client = client.with_options(max_retries=20)
    key = f"{time.time_ns() // 1_000_000}-summary"
    n_before = served.counts("h0")["n_generated"]
    parameters = {"max_tokens": N_TOKENS, "extra_headers": {"Idempotency-Key": key}}
    answers = [complete(client, **parameters) for _ in range(2)]
    contents = [answer.choices[0].message.content for answer in answers]
    assert contents[0] == contents[1]
    assert served.counts("h0")["n_generated"] - n_before == N_TOKENS


#: Parameters, the client's exception and a text that the error message contains.
REFUSED = [
    ({"max_tokens": 0}, openai.BadRequestError, "max_tokens"),
    ({"max_tokens": "many"}, openai.BadRequestError, "max_tokens"),
    ({"n": 2}, openai.BadRequestError, "n"),
    ({"messages": []}, openai.BadRequestError, "messages"),
    ({"messages": [{"content": "x"}]}, openai.BadRequestError, "role"),
    ({"messages": [{"role": "cat", "content": "x"}]}, openai.BadRequestError, "role"),
    ({"temperature": 3}, openai.BadRequestError, "temperature"),
    ({"top_p": 0}, openai.BadRequestError, "top_p"),
    ({"tools": [{"type": "function"}]}, openai.BadRequestError, "tools"),
    ({"response_format": {"type": "json_object"}}, openai.BadRequestError, "response"),
    ({"logprobs": True}, openai.BadRequestError, "logprobs"),
    ({"stop": ["x"]}, openai.BadRequestError, "stop"),
    ({"extra_body": {"stream": "yes"}}, openai.BadRequestError, "stream"),
    ({"extra_body": {"temprature": 1}}, openai.BadRequestError, "temprature"),
    ({"model": "none"}, openai.NotFoundError, "none"),
    ({"model": ""}, openai.NotFoundError, "model"),
]


@pytest.mark.parametrize(("parameters", "exception", "named"), REFUSED)
def test_bad_parameters_are_named(
    client: OpenAI, parameters: dict, exception: type[Exception], named: str
) -> None:
    """Raise the client's exception, with a message that names the wrong parameter."""
    with pytest.raises(exception) as raised:
        complete(client, **parameters)
    assert named in raised.value.body["message"]
    assert raised.value.body["run_state"] == "not_run"


@pytest.mark.parametrize(
    "parameters",
    [
        {"temperature": 0.5, "top_p": 0.9, "seed": 7, "user": "ana"},
        {"presence_penalty": 0.1, "frequency_penalty": 0.1},
        {"metadata": {"a": "b"}, "store": False},
        {"n": 1, "logprobs": False, "tools": [], "response_format": {"type": "text"}},
        {"messages": [{"role": "user", "content": [{"type": "text", "text": "x"}]}]},
        {"messages": [{"role": "system", "content": "x", "name": "ana"}]},
    ],
)
def test_known_parameters_are_accepted(client: OpenAI, parameters: dict) -> None:
    answer = complete(client, **{"max_tokens": 2} | parameters)
    assert answer.usage.completion_tokens == 2


def test_wrong_key_is_an_authentication_error(entry: EntryHost) -> None:
    with pytest.raises(openai.AuthenticationError) as raised:
        new_client(entry, "pawroute.wrong").models.list()
    assert raised.value.code == "invalid_api_key"


def test_model_without_a_group_is_unavailable(client: OpenAI) -> None:
    """Answer 503 with ``Retry-After`` at once if no group serves the model."""
    with pytest.raises(openai.InternalServerError) as raised:
        complete(client, model="hidden", timeout=10)
    assert raised.value.status_code == 503
    assert raised.value.body["run_state"] == "not_run"
    assert int(raised.value.response.headers["Retry-After"]) >= 1
