"""Read callers' requests and backend servers' answers in the platform's format."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..coordination.relaying import (
    AnswerHead,
    Headers,
    NamedLimit,
    RelayArrival,
    RequestedPause,
)
from . import wire_names

if TYPE_CHECKING:
    from ..coordination.relaying import RelayAttempt

__all__ = ["PlatformMessages"]

#: Hop-by-hop headers, and headers that are handled separately on each connection
#: (length of the body, expectation of ``100 Continue``).  None of them is passed on.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)

#: Headers of answers whose end can be told from that of their connection.
FRAMING_HEADERS = frozenset({b"transfer-encoding", b"content-length"})

#: Status by which the platform promises that a request was not run.
WRONG_SERVER = 421

#: Status of a refusal with which a backend server may ask for a pause.
UNAVAILABLE = 503

#: Value of a header that states that something is the case.
TRUE = b"1"

#: Maximum of a number in a request's header; a float represents all smaller ones.
MAX_NUMBER = 1 << 53

#: Maximum length of the id of a part of a prompt, in characters.
MAX_PART_ID = 64

#: Maximum number of parts of one prompt that are read.
MAX_PARTS = 64

_HEX_DIGITS = frozenset(b"0123456789abcdef")

#: Milliseconds of a caller's deadline that are reserved for returning the answer.
RETURN_TIME_MS = 20


class PlatformMessages:
    """``RelayInterface`` of the platform, which decodes requests and answers once."""

    def decode_arrival(
        self, *, head: Headers, target: bytes, content: str, now: float
    ) -> RelayArrival:
        """Read the fields of a request's head that determine its handling.

        Headers that cannot be read count as absent: the caller is responsible for
        them, and the request is passed on unchanged.
        """
        found = dict(head)
        # The second number, the maximum number of generated tokens, predicts little
        # about how many tokens are generated.
        n_prompt = _parse_number(found.get(wire_names.TOKENS, b"").partition(b",")[0])
        deadline = _parse_number(found.get(wire_names.DEADLINE, b""))
        host = found.get(b"host", b"").decode("latin-1").lower()
        path = target.partition(b"?")[0].decode("latin-1")
        key = found.get(wire_names.KEY)
        return RelayArrival(
            request_id=found.get(wire_names.REQUEST_ID, b"").decode("latin-1"),
            host=host.partition(":")[0],
            path=path,
            content=content,
            key=None if key is None else key.decode("latin-1"),
            model=found.get(wire_names.MODEL, b"").decode("latin-1"),
            n_prompt=n_prompt,
            shared_parts=_parse_shared_parts(head),
            last_event_id=found.get(wire_names.LAST_EVENT_ID, b"").decode("latin-1"),
            deadline=now + deadline / 1000 if deadline else None,
            arrived_at=now,
        )

    def attempt_headers(
        self, head: Headers, attempt: RelayAttempt, *, now: float
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of one attempt at a backend server."""
        dropped = HOP_BY_HOP | wire_names.SET_BY_ENTRY_HOST | _connection_headers(head)
        if attempt.last_event_id:
            dropped = dropped | {wire_names.LAST_EVENT_ID}
        headers = [pair for pair in head if pair[0] not in dropped]
        if math.isfinite(attempt.deadline):
            remaining_ms = max(1, int((attempt.deadline - now) * 1000) - RETURN_TIME_MS)
            headers.append((wire_names.DEADLINE, str(remaining_ms).encode()))
        headers.append((wire_names.EXPECTED_SERVER, attempt.server_id.encode()))
        if attempt.account:
            headers.append((wire_names.ACCOUNT, attempt.account.encode()))
        if attempt.priority is not None:
            headers.append((wire_names.PRIORITY, str(attempt.priority).encode()))
        if attempt.last_event_id:
            headers.append((wire_names.LAST_EVENT_ID, attempt.last_event_id.encode()))
        return headers

    def decode_answer_head(self, status: int, headers: Headers) -> AnswerHead:
        """Read the head of a backend server's answer."""
        found = dict(headers)
        not_run = wire_names.NOT_RUN in found or status == WRONG_SERVER
        pause = found.get(wire_names.RETRY_AFTER) if status == UNAVAILABLE else None
        return AnswerHead(
            status=status,
            request_id=found.get(wire_names.REQUEST_ID, b"").decode("latin-1"),
            signed=wire_names.SIGNATURE in found,
            not_run=not_run,
            wrong_server=status == WRONG_SERVER,
            encoded=b"content-encoding" in found,
            rate_limit=_parse_rate_limit(found.get(wire_names.RATE_LIMIT)),
            pause=_parse_pause(pause),
            leaving=found.get(wire_names.LEAVING, b"").strip() == TRUE,
            ends_with_connection=FRAMING_HEADERS.isdisjoint(found),
            headers=self._response_headers(headers),
        )

    def answer_headers(
        self, request_id: str, *, retry_after: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer that the entry host composes itself."""
        headers = [(wire_names.REQUEST_ID, request_id.encode("latin-1"))]
        if retry_after is not None:
            headers.append((wire_names.RETRY_AFTER, f"{retry_after:.2f}".encode()))
        return headers

    def _response_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        dropped = HOP_BY_HOP | _connection_headers(headers)
        return [pair for pair in headers if pair[0] not in dropped]


def _connection_headers(head: Headers) -> frozenset[bytes]:
    """Return the names of the headers that ``Connection`` declares hop-by-hop."""
    for name, value in head:
        if name == b"connection":
            return frozenset(token.strip().lower() for token in value.split(b","))
    return frozenset()


def _parse_number(text: bytes) -> int:
    """Return a number that is not negative, or 0 for any other text."""
    try:
        number = int(text)
    except ValueError:
        return 0
    return number if 0 <= number <= MAX_NUMBER else 0


def _parse_shared_parts(head: Headers) -> tuple[str, ...]:
    """Return the ids of a prompt's parts, except for the last one.

    Entries whose id is not valid are left out.
    """
    entries = [
        entry
        for name, value in head
        if name == wire_names.PROMPT_PARTS
        for entry in value.lower().split(b",")
    ]
    ids = (entry.partition(b":")[0].strip() for entry in entries[:-1][:MAX_PARTS])
    # Each part once, in the order of the prompt.
    return tuple(dict.fromkeys(item.decode() for item in ids if _is_part_id(item)))


def _is_part_id(text: bytes) -> bool:
    return 0 < len(text) <= MAX_PART_ID and _HEX_DIGITS.issuperset(text)


def _parse_rate_limit(text: bytes | None) -> NamedLimit | None:
    if text is None:
        return None
    return NamedLimit(text=text.decode("latin-1"), rate=_parse_decimal(text))


def _parse_pause(text: bytes | None) -> RequestedPause | None:
    if text is None:
        return None
    return RequestedPause(text=text.decode("latin-1"), seconds=_parse_decimal(text))


def _parse_decimal(text: bytes) -> float | None:
    """Return a finite number that is not negative, or None for any other text."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
