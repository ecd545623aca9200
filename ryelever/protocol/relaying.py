"""Describe an interface whose requests are passed on unchanged."""

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
    """Read and write the heads of relayed requests and answers."""

    def arrival(
        self, *, head: Headers, target: bytes, content: str, now: float
    ) -> RelayArrival:
        """Read what decides about a request.

        Parameters
        ----------
        content : str
            Hash of what is sent on.
        """

    def forwarded(self, head: Headers, attempt: RelayAttempt, *, now: float) -> Headers:
        """Return the headers of one attempt at a backend server."""

    def answer_head(self, status: int, headers: Headers) -> AnswerHead:
        """Read the head of a backend server's answer."""

    def refusal(self, request_id: str, *, retry_after: float | None) -> Headers:
        """Return the headers of an answer that the entry host gives itself."""
