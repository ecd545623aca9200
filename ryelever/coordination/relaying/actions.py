"""Define what the decisions about relayed requests ask the process to do."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

if TYPE_CHECKING:
    from .messages import Headers

__all__ = ["RelayAttempt", "RelayMeasures", "RelayOutbox", "RelayRefusal"]


class RelayAttempt(msgspec.Struct, kw_only=True, frozen=True):
    """Describe one sending of a request to a backend server.

    Attributes
    ----------
    id : str
        Unique among the attempts of a process.
    request_number : int
        The request's number in this process.
    deadline : float
        Monotonic time at which the backend server may stop.
    last_event_id : str
        Event after which a stream goes on; empty for a whole one.
    fresh : bool
        True where a connection that idled will not do.
    """

    id: str
    request_number: int
    server_id: str
    address: str
    deadline: float
    account: str
    priority: int | None
    last_event_id: str
    fresh: bool


class RelayRefusal(msgspec.Struct, kw_only=True, frozen=True):
    """Say why a request ends without a backend server's answer.

    Attributes
    ----------
    request_id : str
        Id that the caller gave its sending.
    status : int
        429 and 503 promise that the request was not run and never will be.
    retry_after : float or None
        Seconds after which coming back makes sense.
    """

    request_id: str
    status: int
    reason: str
    retry_after: float | None = None


class RelayOutbox(Protocol):
    """Carry out what is decided about relayed requests."""

    def send(self, attempt: RelayAttempt) -> None:
        """Send a request to a backend server."""

    def cancel(self, attempt_id: str) -> None:
        """Close the connection of an attempt whose answer nobody waits for."""

    def answer(
        self, request_number: int, *, status: int, headers: Headers, body: bytes
    ) -> None:
        """Give the caller a backend server's whole answer."""

    def refuse(self, request_number: int, refusal: RelayRefusal) -> None:
        """Give the caller an answer of the entry host's own."""

    def start(self, request_number: int, *, status: int, headers: Headers) -> None:
        """Begin a streamed answer."""

    def data(self, request_number: int, data: bytes) -> None:
        """Pass on whole events of a stream."""

    def finish(self, request_number: int) -> None:
        """End a streamed answer as complete."""

    def abort(self, request_number: int) -> None:
        """Break a streamed answer off, so that it doesn't look complete."""


class RelayMeasures(Protocol):
    """Take what becomes of relayed requests, for counters and histograms.

    All times are in seconds.
    """

    def sent(self, *, is_repeat: bool, limited: bool, waited: float) -> None:
        """Take a sending, and the time since its request arrived.

        Parameters
        ----------
        limited : bool
            True where the backend server has named a rate limit.
        """

    def first_event(self, seconds: float) -> None:
        """Take the time from a request's arrival to its first event."""

    def gap(self, seconds: float) -> None:
        """Take the time between two events of a stream."""

    def ended(self, *, route: str, account: str, status: int, seconds: float) -> None:
        """Take a request's end; status 0 is a stream that was cut off."""
