"""Define the data on which decisions about relayed requests are based."""

from __future__ import annotations

import msgspec

__all__ = ["AnswerHead", "Headers", "NamedLimit", "RelayArrival", "RequestedPause"]

#: Headers in their order, names in lower case.
Headers = list[tuple[bytes, bytes]]


class RelayArrival(msgspec.Struct, kw_only=True, frozen=True):
    """The properties of an arriving request that relay decisions depend on.

    Attributes
    ----------
    request_id : str
        Id that the caller gave this transmission of the request.
    content : str
        Hash of the forwarded content; the caller's retries of a request have the same
        hash.
    key : str or None
        Key of the client account; None if none was sent.
    model : str
        Requested model; empty for plain services.
    n_prompt : int
        Number of tokens in the prompt.
    shared_parts : tuple of str
        Ids of the parts of the prompt that other requests may share, in their order.
    last_event_id : str
        Event after which the caller resumes a stream.
    deadline : float or None
        Monotonic time at which the caller stops waiting.
    """

    request_id: str
    host: str
    path: str
    content: str
    key: str | None
    model: str
    n_prompt: int
    last_event_id: str
    deadline: float | None
    arrived_at: float
    shared_parts: tuple[str, ...] = ()


class NamedLimit(msgspec.Struct, kw_only=True, frozen=True):
    """A rate limit that a backend server names in an answer.

    Attributes
    ----------
    text : str
        The limit as the server wrote it.
    rate : float or None
        Requests a second that the server takes from all entry hosts together; None if
        the text is not a valid number.
    """

    text: str
    rate: float | None


class RequestedPause(msgspec.Struct, kw_only=True, frozen=True):
    """A pause that a backend server asks for when it refuses a request.

    Attributes
    ----------
    text : str
        The pause as the server wrote it.
    seconds : float or None
        Seconds for which this host should send the server nothing; None if the text
        is not a valid number.
    """

    text: str
    seconds: float | None


class AnswerHead(msgspec.Struct, kw_only=True, frozen=True):
    """The head of a backend server's answer.

    Attributes
    ----------
    signed : bool
        True if the answer carries the backend server's signature.
    not_run : bool
        True if the server promises not to have run the request.
    wrong_server : bool
        True if the answering server isn't the server or incarnation that the request
        names (HTTP 421).
    encoded : bool
        True if an intermediary has changed the encoding of the body.
    headers : list of (bytes, bytes)
        Headers that the caller gets.
    rate_limit : NamedLimit or None
        None if the answer names no rate limit.
    pause : RequestedPause or None
        None if the answer asks for no pause.
    leaving : bool
        True if the server states that it is leaving.
    ends_with_connection : bool
        True if only the end of the connection marks the end of the body, so that a
        crash of the server may look like it.
    """

    status: int
    request_id: str
    signed: bool
    not_run: bool
    wrong_server: bool
    encoded: bool
    headers: Headers
    rate_limit: NamedLimit | None = None
    pause: RequestedPause | None = None
    leaving: bool = False
    ends_with_connection: bool = False
