"""Send requests to entry hosts as callers do, and check answers token by token."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import socket
import ssl
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import httpx

from .processes import EntryHost, Fleet, wait_until

__all__ = ["Answer", "Caller", "error_of", "expected_tokens", "new_key"]

#: Seconds for which a test waits for one answer.
ANSWER_TIMEOUT = 30.0

#: Shared by all clients, since creating an SSL context takes longer than a request.
_SSL = ssl.create_default_context()


def expected_tokens(prompt: str, n_tokens: int, *, model: str = "notes") -> list[str]:
    """Return the tokens that the stand-in engine generates for a prompt."""
    text = json.dumps(_messages(prompt))
    seed = hashlib.sha256(f"{model}{text}".encode()).hexdigest()[:6]
    return [f"{seed}-{position}" for position in range(n_tokens)]


def _messages(prompt: str) -> list[dict[str, str]]:
    return [{"role": "user", "content": prompt}]


@dataclass(slots=True, kw_only=True)
class Answer:
    """Answer that a caller received.

    Attributes
    ----------
    error : dict
        Error in the answer or in a stream that was cut off; empty for none.
    ended : bool
        Whether the final event of the stream has arrived.
    """

    prompt: str
    n_tokens: int
    status: int = 0
    tokens: list[str] = field(default_factory=list)
    error: dict[str, Any] = field(default_factory=dict)
    ended: bool = False

    @property
    def is_complete(self) -> bool:
        """Return whether this is the complete answer to its prompt."""
        expected = expected_tokens(self.prompt, self.n_tokens)
        return self.ended and not self.error and self.tokens == expected

    @property
    def is_partial_with_error(self) -> bool:
        """Return whether this is the start of the right answer, with an error."""
        expected = expected_tokens(self.prompt, self.n_tokens)
        return bool(self.error) and self.tokens == expected[: len(self.tokens)]


class Caller:
    """Send requests as one client account."""

    def __init__(self, fleet: Fleet) -> None:
        self.headers = {"Authorization": f"Bearer {fleet.keys_by_account['pawroute']}"}

    async def stream(
        self,
        entry: EntryHost,
        prompt: str,
        *,
        n_tokens: int = 50,
        on_token: Callable[[], None] | None = None,
    ) -> Answer:
        """Request a streamed answer and read it to its end."""
        answer = Answer(prompt=prompt, n_tokens=n_tokens)
        body = {
            "model": "notes",
            "messages": _messages(prompt),
            "max_tokens": n_tokens,
            "stream": True,
        }
        url = f"{entry.url}/v1/chat/completions"
        async with (
            httpx.AsyncClient(
                timeout=ANSWER_TIMEOUT, headers=self.headers, verify=_SSL
            ) as client,
            client.stream("POST", url, json=body) as response,
        ):
            answer.status = response.status_code
            if response.status_code != 200:
                answer.error = json.loads(await response.aread())["error"]
                return answer
            async for line in response.aiter_lines():
                if line:
                    _apply_event(answer, line.removeprefix("data: "))
                    if on_token is not None:
                        on_token()
        return answer

    async def stream_all(
        self,
        entries: Iterable[EntryHost],
        *,
        n_streams: int,
        n_tokens: int = 50,
        inject_fault: Callable[[], Awaitable[None] | None],
    ) -> list[Answer]:
        """Read distinct streams; call ``inject_fault`` once half of them have begun."""
        entries = list(entries)
        started: set[int] = set()
        half_started = asyncio.Event()

        def record_start(index: int) -> None:
            started.add(index)
            if len(started) >= n_streams // 2:
                half_started.set()

        streams = [
            asyncio.ensure_future(
                self.stream(
                    entries[index % len(entries)],
                    f"prompt {index}",
                    n_tokens=n_tokens,
                    on_token=lambda index=index: record_start(index),
                )
            )
            for index in range(n_streams)
        ]
        await asyncio.wait_for(half_started.wait(), ANSWER_TIMEOUT)
        injection = inject_fault()
        if injection is not None:
            await injection
        return list(await asyncio.gather(*streams))

    async def is_ready(self, entry: EntryHost) -> bool:
        """Return whether a host reports that it is ready for a balancer's requests."""
        async with httpx.AsyncClient(timeout=ANSWER_TIMEOUT, verify=_SSL) as client:
            try:
                answer = await client.get(f"{entry.url}/readyz")
            except httpx.TransportError:
                return False
        return answer.status_code == 200

    def book(
        self, entry: EntryHost, key: str, *, timeout: float = ANSWER_TIMEOUT
    ) -> httpx.Response:
        """Send a booking request, which must run at most once."""
        return httpx.post(
            f"{entry.url}/services/bookings/bookings",
            headers=self.headers | {"Idempotency-Key": key},
            json={"dog": "Rex"},
            timeout=timeout,
        )

    def book_until_accepted(self, entry: EntryHost, key: str) -> httpx.Response:
        """Repeat a booking request until it succeeds, and return the answer."""

        def accepted() -> httpx.Response | None:
            answer = self.book(entry, key)
            return answer if answer.status_code == 201 else None

        return wait_until(accepted, what=f"{entry.address} answers the booking")

    @contextlib.contextmanager
    def open_booking(self, entry: EntryHost, key: str) -> Iterator[None]:
        """Send a booking request whose answer is not read.

        The connection is closed at the end of the ``with`` block.
        """
        body = b'{"dog":"Rex"}'
        headers = self.headers | {
            "Host": entry.address,
            "Idempotency-Key": key,
            "Content-Length": str(len(body)),
        }
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["POST /services/bookings/bookings HTTP/1.1", *lines])
        host, _, port = entry.address.rpartition(":")
        with socket.create_connection(
            (host, int(port)), timeout=ANSWER_TIMEOUT
        ) as sock:
            sock.sendall(head.encode() + b"\r\n\r\n" + body)
            yield


def error_of(answer: httpx.Response) -> dict[str, Any]:
    """Return the error object in an answer."""
    return answer.json()["error"]


def new_key() -> str:
    """Return an idempotency key that was issued now."""
    return f"{time.time_ns() // 1_000_000}-{time.monotonic_ns()}"


def _apply_event(answer: Answer, data: str) -> None:
    if data == "[DONE]":
        answer.ended = True
        return
    event = json.loads(data)
    if "error" in event:
        answer.error = event["error"]
        return
    for choice in event["choices"]:
        content = choice["delta"].get("content") or ""
        answer.tokens += [token.rstrip(".") for token in content.split()]
