"""Decode requests and encode answers of the OpenAI HTTP interface to callers."""

from __future__ import annotations

import hashlib
import math
from typing import Annotated, Any, Literal

import msgspec
from expression import Error, Ok, Result

from ..coordination.actions import ChatWork, Usage
from ..errors import Category, RunState, RyeleverError
from .json_codec import encode
from .sse import DONE, sse_event

__all__ = [
    "ChatStreamEncoder",
    "chat_completion",
    "error_body",
    "error_event",
    "fingerprint",
    "shared_parts",
    "http_status",
    "model_body",
    "models_list",
    "decode_chat_request",
]

DEFAULT_MAX_TOKENS = 512
MAX_TOKENS = 32_768

#: Maximum number of messages of one prompt that count as shared parts.
MAX_SHARED_MESSAGES = 64

_MaxTokens = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]
_NoItems = Annotated[list[Any], msgspec.Meta(max_length=0)]

#: Value of the ``Allow`` header by the code of the error for a wrong method.
_ALLOW_BY_CODE = {"use_post": "POST", "use_get": "GET, HEAD"}

_STATUS_BY_CATEGORY = {
    Category.BAD_REQUEST: 400,
    Category.UNAUTHORIZED: 401,
    Category.NOT_FOUND: 404,
    Category.CONFLICT: 409,
    Category.TOO_LARGE: 413,
    Category.LIMITED: 429,
    Category.UNAVAILABLE: 503,
    Category.TIMEOUT: 504,
    Category.BROKEN: 502,
    Category.INTERNAL: 500,
}


_Role = Literal["system", "developer", "user", "assistant", "tool"]
_Penalty = Annotated[float, msgspec.Meta(ge=-2, le=2)]


class _Message(msgspec.Struct, kw_only=True):
    role: _Role
    content: str | list[dict[str, Any]] | None = None
    name: str | None = None


class _StreamOptions(msgspec.Struct, kw_only=True):
    include_usage: bool = False
    include_obfuscation: bool = False


class _ResponseFormat(msgspec.Struct, kw_only=True):
    type: Literal["text"]


class _ChatRequest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of a chat request, with all fields that a caller may send.

    The engines use the messages, the model and the length.  Fields that only tune the
    sampling or only give information are accepted and ignored.  Fields that would
    change the meaning of the answer are accepted only with the value that has no
    effect.
    """

    model: str
    messages: Annotated[list[_Message], msgspec.Meta(min_length=1)]
    max_tokens: _MaxTokens | None = None
    max_completion_tokens: _MaxTokens | None = None
    stream: bool | None = False
    stream_options: _StreamOptions | None = None
    # Accepted and ignored.
    temperature: Annotated[float, msgspec.Meta(ge=0, le=2)] | None = None
    top_p: Annotated[float, msgspec.Meta(gt=0, le=1)] | None = None
    presence_penalty: _Penalty | None = None
    frequency_penalty: _Penalty | None = None
    seed: int | None = None
    user: str | None = None
    safety_identifier: str | None = None
    prompt_cache_key: str | None = None
    metadata: dict[str, Any] | None = None
    store: bool | None = None
    service_tier: str | None = None
    reasoning_effort: str | None = None
    verbosity: str | None = None
    parallel_tool_calls: bool | None = None
    # Accepted only with the value that has no effect.
    n: Literal[1] | None = 1
    logprobs: bool | None = False
    top_logprobs: Literal[0] | None = None
    response_format: _ResponseFormat | None = None
    tools: _NoItems | None = None
    functions: _NoItems | None = None
    stop: _NoItems | None = None
    tool_choice: Literal["none", "auto"] | None = None
    modalities: list[Literal["text"]] | None = None


_CHAT_DECODER = msgspec.json.Decoder(_ChatRequest)


def decode_chat_request(body: bytes) -> Result[ChatWork, RyeleverError]:
    """Decode the body of ``POST /v1/chat/completions``.

    The field ``model`` may include an adapter, as in ``model:adapter``.
    """
    try:
        request = _CHAT_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        return Error(_bad_request(f"the body is not a chat request: {error}"))
    if request.logprobs:
        return Error(_bad_request("logprobs is not supported; leave it out"))
    max_tokens = request.max_completion_tokens or request.max_tokens
    model, _, adapter = request.model.partition(":")
    options = request.stream_options
    return Ok(
        ChatWork(
            model=model,
            adapter=adapter,
            messages=[
                {"role": message.role, "content": message.content}
                for message in request.messages
            ],
            max_tokens=max_tokens or DEFAULT_MAX_TOKENS,
            streamed=bool(request.stream),
            include_usage=options is not None and options.include_usage,
        )
    )


def fingerprint(*parts: bytes) -> str:
    """Return a digest of a request's parts; a resend has the same digest."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()[:32]


def shared_parts(work: ChatWork) -> tuple[str, ...]:
    """Return digests of the parts of a prompt that other requests may share.

    These are the adapter and all messages but the last one, each once.
    """
    parts = [fingerprint(b"adapter", work.name.encode())] if work.adapter else []
    parts += [
        fingerprint(b"message", encode(message))
        for message in work.messages[:-1][:MAX_SHARED_MESSAGES]
    ]
    return tuple(dict.fromkeys(parts))


def http_status(error: RyeleverError) -> int:
    """Return the HTTP status for an error."""
    if error.code in _ALLOW_BY_CODE:
        return 405
    return _STATUS_BY_CATEGORY[error.category]


def error_body(error: RyeleverError) -> bytes:
    """Return the JSON body that reports an error to a caller."""
    return encode({"error": _error_fields(error)})


def error_event(error: RyeleverError) -> bytes:
    """Return the server-sent events that end a failed stream with an error."""
    return sse_event(error_body(error)) + DONE


def error_headers(error: RyeleverError) -> dict[str, str]:
    """Return the additional headers of an error's answer."""
    headers = {}
    if error.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after)))
    if error.code in _ALLOW_BY_CODE:
        headers["Allow"] = _ALLOW_BY_CODE[error.code]
    return headers


def models_list(names: list[str], *, created: int) -> bytes:
    """Return the body of the answer to ``GET /v1/models``."""
    data = [_model_fields(name, created=created) for name in names]
    return encode({"object": "list", "data": data})


def model_body(name: str, *, created: int) -> bytes:
    """Return the body of the answer to ``GET /v1/models/NAME``."""
    return encode(_model_fields(name, created=created))


def _model_fields(name: str, *, created: int) -> dict[str, Any]:
    return {"id": name, "object": "model", "created": created, "owned_by": "ryelever"}


def chat_completion(
    *,
    request_id: str,
    model: str,
    created: int,
    tokens: tuple[str, ...],
    finish_reason: str,
    usage: Usage,
) -> bytes:
    """Return the body of a complete answer that is not streamed."""
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": "".join(tokens)},
        "finish_reason": finish_reason,
    }
    return encode(
        {
            "id": f"chatcmpl-{request_id}",
            "object": "chat.completion",
            "created": created,
            "model": model,
            "choices": [choice],
            "usage": _usage_fields(usage),
        }
    )


class ChatStreamEncoder:
    """Encode the server-sent events of one streamed answer.

    All fields except the text are the same in each event of an answer and are encoded
    only once.
    """

    __slots__ = ("_created", "_head", "_include_usage", "_model", "_request_id")

    def __init__(
        self, *, request_id: str, model: str, created: int, include_usage: bool
    ) -> None:
        self._request_id = f"chatcmpl-{request_id}"
        self._model = model
        self._created = created
        self._include_usage = include_usage
        fields = encode(self._chunk([]))
        self._head = b"data: " + fields[:-3]

    def started(self) -> bytes:
        """Return the first event of the answer, which contains the role."""
        delta = {"role": "assistant", "content": ""}
        choice = {"index": 0, "delta": delta, "finish_reason": None}
        return sse_event(encode(self._chunk([choice])))

    def tokens(self, tokens: tuple[str, ...]) -> bytes:
        """Return an event that contains the text of the given tokens."""
        text = encode("".join(tokens))
        return (
            self._head
            + b'[{"index":0,"delta":{"content":'
            + text
            + b'},"finish_reason":null}]}\n\n'
        )

    def finished(self, *, finish_reason: str, usage: Usage) -> bytes:
        """Return the events that end the answer."""
        choice = {"index": 0, "delta": {}, "finish_reason": finish_reason}
        events = sse_event(encode(self._chunk([choice])))
        if self._include_usage:
            chunk = self._chunk([]) | {"usage": _usage_fields(usage)}
            events += sse_event(encode(chunk))
        return events + DONE

    def _chunk(self, choices: list[dict[str, Any]]) -> dict[str, Any]:
        return {
            "id": self._request_id,
            "object": "chat.completion.chunk",
            "created": self._created,
            "model": self._model,
            "choices": choices,
        }


def _usage_fields(usage: Usage) -> dict[str, Any]:
    return {
        "prompt_tokens": usage.n_prompt_tokens,
        "completion_tokens": usage.n_completion_tokens,
        "total_tokens": usage.n_prompt_tokens + usage.n_completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.n_cached_tokens},
    }


def _error_fields(error: RyeleverError) -> dict[str, Any]:
    return {
        "message": error.message,
        "type": error.category.value,
        "code": error.code,
        "run_state": error.run_state.value,
        "step": error.step,
        "peer": error.peer,
        "retry_after": error.retry_after,
    }


def _bad_request(message: str) -> RyeleverError:
    return RyeleverError(
        message,
        category=Category.BAD_REQUEST,
        step="read_request",
        code="invalid_request",
        run_state=RunState.NOT_RUN,
    )
