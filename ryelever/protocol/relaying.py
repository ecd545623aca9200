"""Define the interface of a platform whose requests are relayed unchanged."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..coordination.relaying import (
        AnswerHead,
        Headers,
        RelayArrival,
        RelayAttempt,
    )

__all__ = ["RelayInterface"]


class RelayInterface(Protocol):
    """Decode and encode the headers of relayed requests and answers."""

    def decode_arrival(
        self, *, head: Headers, target: bytes, content: str, now: float
    ) -> RelayArrival:
        """Decode the headers that determine how a request is handled.

        Parameters
        ----------
        content : str
            Hash of the request's method, target and body, by which repeated requests
            are recognized.
        """

    def attempt_headers(
        self, head: Headers, attempt: RelayAttempt, *, now: float
    ) -> Headers:
        """Return the request headers for one attempt at a backend server."""

    def decode_answer_head(self, status: int, headers: Headers) -> AnswerHead:
        """Decode the status and headers of a backend server's answer."""

    def answer_headers(self, request_id: str, *, retry_after: float | None) -> Headers:
        """Return the headers of an answer that the entry host itself generates."""
