"""Name the events by which the parts of a process meet.

Each event carries one typed message.  Event names are lower case, as circuits has
them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from circuits import Event

if TYPE_CHECKING:
    from .errors import RyeleverError
    from .state.fleet import HostReport
    from .state.records import Claim

__all__ = [
    "AnswerHead",
    "AttemptData",
    "CallerRequest",
    "Datagram",
    "OutboundAnswer",
    "OutboundFailure",
    "OutboundRequest",
    "RelayedRequest",
    "caller_disconnected",
    "caller_request",
    "caller_stalled",
    "control_tick",
    "directory_changed",
    "drain",
    "outbound_answer",
    "outbound_cancel",
    "outbound_data",
    "outbound_end",
    "outbound_failed",
    "outbound_flow",
    "outbound_head",
    "outbound_send",
    "peers_poll",
    "peers_received",
    "peers_send",
    "relayed_caller_disconnected",
    "relayed_request",
    "server_updates",
    "serving_tick",
    "store_returned",
    "sweep",
    "heartbeat_tick",
]


class CallerRequest(msgspec.Struct, kw_only=True, frozen=True):
    """Hold one whole and well-formed HTTP request of a caller."""

    request_id: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    peer: str


class OutboundRequest(msgspec.Struct, kw_only=True, frozen=True):
    """Hold one HTTP request towards an outside system.

    Attributes
    ----------
    reply_channel : str
        Channel on which the outcome is fired.
    streamed : bool
        Fire ``outbound_head`` and ``outbound_data`` as bytes arrive, rather than
        one ``outbound_answer``.
    fresh : bool
        Use a new connection: one that idled may be gone without a word, and then
        nobody knows whether the request was run.
    progress_timeout : float
        Seconds without a byte after which the connection is given up.
    first_byte_timeout : float
        The same until the first byte of the answer's body, which takes longer;
        0 stands for ``progress_timeout``.
    send_before : float
        Monotonic time after which no first byte leaves any more.
    resend_stale : bool
        Send once more over a new connection when one that idled turns out closed.
    verbatim : bool
        Send the headers as they are; they name the host, and the body's length is
        added only where there is a body or the method asks for one.
    """

    id: str
    address: str
    method: str
    path: str
    reply_channel: str
    step: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    streamed: bool = False
    fresh: bool = False
    connect_timeout: float = 1.0
    progress_timeout: float = 5.0
    first_byte_timeout: float = 0.0
    send_before: float = float("inf")
    resend_stale: bool = True
    verbatim: bool = False
    max_body: int = 8 << 20


class AnswerHead(msgspec.Struct, kw_only=True, frozen=True):
    """Hold the status and headers of a streamed answer.

    Attributes
    ----------
    headers : dict of str to str
        The last value of each name.
    raw_headers : tuple of (bytes, bytes)
        All of them in their order.
    """

    id: str
    status: int
    headers: dict[str, str]
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()


class AttemptData(msgspec.Struct, kw_only=True, frozen=True):
    """Hold bytes of a streamed answer's body."""

    id: str
    data: bytes


class OutboundAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """Hold a whole answer.

    Attributes
    ----------
    sent_at : float
        Monotonic time from before the request was sent.
    """

    id: str
    status: int
    headers: dict[str, str]
    body: bytes
    address: str
    sent_at: float


class OutboundFailure(msgspec.Struct, kw_only=True, frozen=True):
    """Hold a failure.

    Attributes
    ----------
    bytes_sent : bool
        False only when no byte of the request has left.
    """

    id: str
    address: str
    error: RyeleverError
    bytes_sent: bool


class CallerAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """Hold a whole answer for a caller."""

    request_id: str
    status: int
    body: bytes
    content_type: str = "application/json"
    headers: dict[str, str] = msgspec.field(default_factory=dict)


class ClaimReadBack(msgspec.Struct, kw_only=True, frozen=True):
    """Hold an own claim that was read back from the log."""

    claim_id: str
    claim: Claim
    is_first: bool


class HostReported(msgspec.Struct, kw_only=True, frozen=True):
    """Hold a host's report and the monotonic time from before it was asked for."""

    report: HostReport
    asked_at: float


class Datagram(msgspec.Struct, kw_only=True, frozen=True):
    """Hold one datagram from or to a peer's address."""

    address: str
    data: bytes


class RelayedRequest(msgspec.Struct, kw_only=True, frozen=True):
    """Hold one whole HTTP request that is to be passed on unchanged.

    Attributes
    ----------
    number : int
        The request's number at its listener.
    headers : list of (bytes, bytes)
        In their order, names in lower case.
    """

    number: int
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


class server_updates(Event):
    """Announce a ``ServerUpdates`` that was read, or passed on by another host."""


class server_reported(Event):
    """Hand over what a backend server said when it was asked: its id and the bytes."""


class store_returned(Event):
    """Announce that the store has come back from an older copy."""


class relayed_request(Event):
    """Announce a ``RelayedRequest``."""


class relayed_caller_disconnected(Event):
    """Announce, by its number, a relayed request whose caller is gone."""


class directory_changed(Event):
    """Announce that backend servers or their groups have changed."""


class caller_request(Event):
    """Announce a ``CallerRequest``."""


class caller_disconnected(Event):
    """Announce by request id that the caller has closed its connection."""


class caller_stalled(Event):
    """Announce by request id, and a flag, that a caller does not keep up."""


class caller_answer(Event):
    """Answer a caller with a ``CallerAnswer``."""


class caller_stream_start(Event):
    """Start a streamed answer by request id, with headers."""


class caller_stream_data(Event):
    """Pass bytes on to a caller by request id."""


class caller_stream_end(Event):
    """End a streamed answer by request id."""


class outbound_send(Event):
    """Ask for an ``OutboundRequest`` to be sent."""


class outbound_cancel(Event):
    """Give a request up by id; its connection is closed."""


class outbound_flow(Event):
    """Stop or go on reading an answer by id, with a flag."""


class outbound_head(Event):
    """Announce an ``AnswerHead``."""


class outbound_data(Event):
    """Announce an ``AttemptData``."""


class outbound_end(Event):
    """Announce by id that a streamed answer is complete as HTTP."""


class outbound_answer(Event):
    """Announce an ``OutboundAnswer``."""


class outbound_failed(Event):
    """Announce an ``OutboundFailure``."""


class control_tick(Event):
    """Let control look at its deadlines."""


class serving_tick(Event):
    """Let serving look at its deadlines."""


class sweep(Event):
    """Let a transport look at its connections."""


class append_record(Event):
    """Ask for the record of an ``AppendRecord`` to be appended."""


class claim_read_back(Event):
    """Announce a ``ClaimReadBack``."""


class host_reported(Event):
    """Announce a ``HostReported``."""


class heartbeat_tick(Event):
    """Let this host tell the others what it sees."""


class peers_send(Event):
    """Ask for a list of ``Datagram`` to be sent to peers."""


class peers_poll(Event):
    """Ask for the datagrams that have come from peers."""


class peers_received(Event):
    """Announce a list of ``Datagram`` received from peers."""


class dump_wanted(Event):
    """Ask for the state to be written to the log."""


class end_requests(Event):
    """End every request in flight: the graceful shutdown's deadline has come."""


class drain(Event):
    """Begin the graceful shutdown."""


class drained(Event):
    """Announce that nothing is in flight any more, and that nothing new is taken."""
