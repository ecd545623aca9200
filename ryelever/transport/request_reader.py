"""Parse callers' requests strictly with h11, and within limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from urllib.parse import quote, unquote, unquote_to_bytes

import h11

from ..errors import Category, RunState, RyeleverError
from .chunk_joiner import ChunkJoiner
from .parsing_cost import ParsingCost
from .request_heads import (
    HeadFault,
    body_too_large_fault,
    find_head_fault,
    is_chunked,
    memory_of,
    split_head,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["Limits", "Refusal", "RequestReader", "CompleteRequest"]

_PATH_SAFE = "/*:@!$&'()+,;=~"

#: Header that marks a request which must run at most once.
KEY_HEADER = b"idempotency-key"

#: Tells a caller that sent ``Expect: 100-continue`` to send its body.
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

#: Status for a request that did not arrive completely in time.
REQUEST_TIMEOUT = 408

#: Status for a request whose place or memory others need.
UNAVAILABLE = 503

#: Seconds after which a caller that is refused with that status may come back.
RETRY_AFTER = 1.0

_CATEGORY_BY_STATUS = {
    UNAVAILABLE: Category.UNAVAILABLE,
    REQUEST_TIMEOUT: Category.TIMEOUT,
    413: Category.TOO_LARGE,
    431: Category.TOO_LARGE,
}


@dataclass(slots=True, kw_only=True, frozen=True)
class Limits:
    """Limits on the memory and time that one caller's connection may use.

    Attributes
    ----------
    max_head, max_body, max_unsent : int
        Maximum bytes of the request line and headers, of the body, and of the part of
        the answer that the caller has not read yet.
    request_timeout, idle_timeout, unread_timeout : float
        Maximum seconds for a complete request to arrive, between two requests, and
        for which a caller may read no byte of its answer.
    linger : float
        Seconds for which a connection stays open after its last answer, such as a
        refusal, so that the caller can read that answer.
    """

    max_head: int = 16 * 1024
    max_body: int = 4 << 20
    max_unsent: int = 256 * 1024
    request_timeout: float = 10.0
    idle_timeout: float = 75.0
    unread_timeout: float = 20.0
    linger: float = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class CompleteRequest:
    """A complete request whose length is unambiguous."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool
    http_version: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Refusal:
    """The answer to an unacceptable request."""

    status: int
    error: RyeleverError


@dataclass(slots=True, kw_only=True, eq=False)
class RequestReader:
    """Parse the requests of one connection, one at a time.

    While a request is being answered, the bytes of pipelined requests are kept, up to
    the size limits of one request.
    """

    limits: Limits
    peer: str
    started_at: float
    _http: h11.Connection = field(init=False)
    _head: h11.Request | None = None
    _body: bytearray = field(default_factory=bytearray)
    _pipelined: bytearray = field(default_factory=bytearray)
    _head_tail: bytes = b""
    _joiner: ChunkJoiner | None = None
    _cost: ParsingCost = field(default_factory=ParsingCost)
    _n_head_bytes: int = 0
    _answering: bool = False
    _refused: bool = False

    def __post_init__(self) -> None:
        self._http = self._new_http()

    def feed(
        self, data: bytes, *, now: float
    ) -> Iterator[CompleteRequest | Refusal | bytes]:
        """Parse received bytes.

        Yields
        ------
        CompleteRequest, Refusal or bytes
            A request, a refusal, or bytes to send to the caller at once.
        """
        if self._refused:
            return
        if self._answering:
            self._pipelined += data
            if len(self._pipelined) > self.limits.max_head + self.limits.max_body:
                yield self._refuse(
                    "too much was sent ahead of the answer", status=413, code="ahead"
                )
            return
        if self.is_idle:
            self.started_at = now
        try:
            while data and not (self._answering or self._refused):
                part, data = self._next_part(data)
                if part:
                    self._http.receive_data(part)
                    yield from self._process_events()
            if self._answering:
                self._pipelined += data
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            code = "head_too_large" if status == 431 else "bad_request"
            yield self._refuse(str(error), status=status, code=code)

    def next_request(
        self, *, now: float
    ) -> Iterator[CompleteRequest | Refusal | bytes]:
        """Parse the bytes that the caller sent before the last answer was complete."""
        # h11 may have been given the first bytes of the next request too.
        pipelined = self._http.trailing_data[0] + bytes(self._pipelined)
        self._http = self._new_http()
        self._head = None
        self._body = bytearray()
        self._pipelined = bytearray()
        self._head_tail = b""
        self._joiner = None
        self._cost = ParsingCost()
        self._n_head_bytes = 0
        self._answering = False
        self.started_at = now
        if pipelined:
            yield from self.feed(pipelined, now=now)

    def is_costly(self, data: bytes) -> bool:
        """Return whether received bytes belong to a request that is costly to parse."""
        if self._answering or self._refused:
            return False
        counts_lines = self._head is None or self._joiner is not None
        return self._cost.add(data, counts_lines=counts_lines)

    @property
    def has_pipelined(self) -> bool:
        """Return whether bytes of the next request have been received."""
        return bool(self._pipelined or self._http.trailing_data[0])

    @property
    def n_bytes(self) -> int:
        """Return the memory of the request that is arriving."""
        return self._n_head_bytes + len(self._body)

    @property
    def n_pipelined(self) -> int:
        """Return the bytes received behind the request that is being answered."""
        return len(self._pipelined)

    def _next_part(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the next bytes for h11, and the received bytes that are left."""
        if self._head is None:
            part, rest, self._head_tail = split_head(self._head_tail, data)
            self._n_head_bytes += len(part)
            return part, rest
        return (data if self._joiner is None else self._joiner.feed(data)), b""

    @property
    def is_idle(self) -> bool:
        """Return whether no byte of a request has arrived."""
        return self._head is None and not self._http.trailing_data[0]

    def refuse_if_overdue(self, *, now: float) -> Refusal | None:
        """Return the refusal of a request that takes too long to arrive, or None."""
        if self._answering or self._refused or self.is_idle:
            return None
        if now - self.started_at <= self.limits.request_timeout:
            return None
        return self._refuse(
            f"the request did not arrive within {self.limits.request_timeout:g} s",
            status=REQUEST_TIMEOUT,
            code="request_timeout",
        )

    def has_idled_too_long(self, *, now: float) -> bool:
        """Return whether the connection has been idle for too long."""
        if self._answering or self._refused or not self.is_idle:
            return False
        return now - self.started_at > self.limits.idle_timeout

    def refuse_for_others(self) -> Refusal:
        """Return the refusal of a request whose place or memory others need."""
        refusal = self._refuse(
            "this entry host has too many requests; ask again",
            status=UNAVAILABLE,
            code="overloaded",
        )
        refusal.error.retry_after = RETRY_AFTER
        return refusal

    def _new_http(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_head
        )

    def _process_events(self) -> Iterator[CompleteRequest | Refusal | bytes]:
        while not (self._answering or self._refused):
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    self._http.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                    yield CONTINUE
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self._head = event
                self._n_head_bytes = memory_of(event)
                refusal = self._refuse_bad_head(event)
                if refusal is not None:
                    yield refusal
                elif is_chunked(event) and not self._http.trailing_data[0]:
                    self._joiner = ChunkJoiner()
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self.limits.max_body:
                    yield self._refuse_for(body_too_large_fault(self.limits.max_body))
            elif isinstance(event, h11.EndOfMessage):
                path, query = _split(self._head.target.decode("ascii"))
                if _is_ambiguous(path):
                    yield self._refuse(
                        "write the path without empty, '.' and '..' parts and "
                        "without control characters",
                        status=400,
                        code="bad_path",
                    )
                    return
                yield self._complete_request(path=path, query=query)

    def _refuse_bad_head(self, head: h11.Request) -> Refusal | None:
        limits = self.limits
        fault = find_head_fault(
            head, max_head=limits.max_head, max_body=limits.max_body
        )
        return None if fault is None else self._refuse_for(fault)

    def _refuse_for(self, fault: HeadFault) -> Refusal:
        return self._refuse(fault.message, status=fault.status, code=fault.code)

    def _refuse(self, message: str, *, status: int, code: str) -> Refusal:
        self._refused = True
        run_state = self._run_state(status)
        self._body = bytearray()
        self._pipelined = bytearray()
        self._joiner = None
        self._n_head_bytes = 0
        self._http = self._new_http()
        error = RyeleverError(
            message,
            category=_CATEGORY_BY_STATUS.get(status, Category.BAD_REQUEST),
            step="read_request",
            peer=self.peer,
            code=code,
            run_state=run_state,
        )
        return Refusal(status=status, error=error)

    def _run_state(self, status: int) -> RunState:
        # A malformed or too long request was never run.  A request that did not arrive
        # completely may be a resend of one that was run, unless its head is known and
        # has no idempotency key.
        head = self._head
        keyed = head is None or KEY_HEADER in {name for name, _ in head.headers}
        in_doubt = status in (REQUEST_TIMEOUT, UNAVAILABLE) and keyed
        return RunState.OUTCOME_UNKNOWN if in_doubt else RunState.NOT_RUN

    def _complete_request(self, *, path: str, query: str) -> CompleteRequest:
        self._answering = True
        head = self._head
        headers: dict[str, str] = {}
        for raw_name, raw_value in head.headers:
            name = raw_name.decode("latin-1")
            value = raw_value.decode("latin-1")
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        connection = headers.get("connection", "").lower()
        connection_tokens = [token.strip() for token in connection.split(",")]
        http_version = head.http_version.decode("ascii")
        keep_alive = (
            "keep-alive" in connection_tokens if http_version == "1.0" else True
        )
        body = bytes(self._body)
        self._body = bytearray()
        return CompleteRequest(
            method=head.method.decode("ascii"),
            path=path,
            query=query,
            headers=headers,
            body=body,
            keep_alive=keep_alive and "close" not in connection_tokens,
            http_version=http_version,
        )


def _split(target: str) -> tuple[str, str]:
    """Return the normalized path and the query of a request target.

    A rule for a path must apply to all spellings of that path: ``/%62ook`` is
    ``/book``.
    """
    if target.startswith(("http://", "https://")):
        target = "/" + target.partition("://")[2].partition("/")[2]
    path, _, query = target.partition("?")
    return quote(unquote_to_bytes(path), safe=_PATH_SAFE), query


def _is_ambiguous(path: str) -> bool:
    decoded = unquote(path, errors="replace")
    if any(char < " " or char in "\x7f\\" for char in decoded):
        return True
    parts = decoded.split("/")[1:]
    return "" in parts[:-1] or "." in parts or ".." in parts
