"""Define the events that the components of a process exchange.

Each event carries one typed message.  Event names are lower case because circuits
uses the name of the class as the name of the event.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from circuits import Event
from msgspec.structs import replace

from .protocol.forwarding import (
    PROXY_AUTHORIZATION,
    forward_signature,
    forward_target,
)

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
    "request_fault",
    "server_updates",
    "serving_tick",
    "store_returned",
    "sweep",
    "heartbeat_tick",
]


class CallerRequest(msgspec.Struct, kw_only=True, frozen=True):
    """One complete and well-formed HTTP request of a caller."""

    request_id: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    peer: str


class OutboundRequest(msgspec.Struct, kw_only=True, frozen=True):
    """One HTTP request to an external system.

    Attributes
    ----------
    reply_channel : str
        Channel on which the events of the answer or the failure are fired.
    streamed : bool
        Fire ``outbound_head`` and ``outbound_data`` as bytes arrive, rather than
        one ``outbound_answer``.
    new_connection : bool
        Use a new connection.  An idle connection may have been closed by the other
        side without notice; whether a request sent over it was run is then unknown.
    progress_timeout : float
        Seconds without a received byte after which the connection is closed and the
        request fails.
    first_byte_timeout : float
        Seconds to wait for the first byte of the answer's body, which takes longer;
        0 stands for ``progress_timeout``.
    time_limit : float
        Seconds after which the request fails even if bytes are still received.
    latest_start : float
        Monotonic time after which the request is not sent if no byte has left yet.
    resend_stale : bool
        Send the request once more over a new connection when the idle connection
        that it was sent over turns out to be closed.
    verbatim : bool
        Send the headers unchanged.  They include ``Host``; a content length is added
        only if there is a body or the method requires one.
    forwarded : bool
        The address is that of an entry host that forwards the request to a backend
        server; errors that this host reports become failures of the request.
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
    new_connection: bool = False
    connect_timeout: float = 1.0
    progress_timeout: float = 5.0
    first_byte_timeout: float = 0.0
    time_limit: float = float("inf")
    latest_start: float = float("inf")
    resend_stale: bool = True
    verbatim: bool = False
    forwarded: bool = False
    max_body: int = 8 << 20

    def via(
        self, forwarder_address: str, *, server_id: str, key: str = ""
    ) -> OutboundRequest:
        """Return this request to a backend server as one to a host that forwards it.

        Parameters
        ----------
        key : str
            Key that authenticates the request; empty if hosts share none.
        """
        path = forward_target(server_id, self.path)
        headers = self.headers
        if not self.verbatim:
            headers = (("Host", self.address), *headers)
        if key:
            signature = forward_signature(key, path, self.body)
            headers = (*headers, (PROXY_AUTHORIZATION.decode(), signature))
        return replace(
            self,
            address=forwarder_address,
            path=path,
            headers=headers,
            new_connection=True,
            verbatim=True,
            forwarded=True,
        )


class AnswerHead(msgspec.Struct, kw_only=True, frozen=True):
    """The status and headers of a streamed answer.

    Attributes
    ----------
    headers : dict of str to str
        The last value of each header name.
    raw_headers : tuple of (bytes, bytes)
        All headers in the order received.
    new_connection : bool
        True if the answer is the first one on its connection.
    """

    id: str
    status: int
    headers: dict[str, str]
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()
    new_connection: bool = False


class AttemptData(msgspec.Struct, kw_only=True, frozen=True):
    """A chunk of a streamed answer's body."""

    id: str
    data: bytes


class OutboundAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """A complete answer of an external system.

    Attributes
    ----------
    sent_at : float
        Monotonic time taken just before the request was sent.
    """

    id: str
    status: int
    headers: dict[str, str]
    body: bytes
    address: str
    sent_at: float


class OutboundFailure(msgspec.Struct, kw_only=True, frozen=True):
    """The failure of a request to an external system.

    Attributes
    ----------
    bytes_sent : bool
        False only if no byte of the request was sent to the external system.
    forwarder_failed : bool
        True if the connection to the entry host that forwards the request failed,
        which says nothing about the backend server.
    """

    id: str
    address: str
    error: RyeleverError
    bytes_sent: bool
    forwarder_failed: bool = False


class CallerAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """A complete answer for a caller."""

    request_id: str
    status: int
    body: bytes
    content_type: str = "application/json"
    headers: dict[str, str] = msgspec.field(default_factory=dict)


class ClaimReadBack(msgspec.Struct, kw_only=True, frozen=True):
    """A claim of this entry host that was read back from the log.

    Attributes
    ----------
    is_first : bool
        Whether the claim is certainly the first one of its idempotency key.
    """

    claim_id: str
    claim: Claim
    is_first: bool


class HostReported(msgspec.Struct, kw_only=True, frozen=True):
    """A host's report and the monotonic time just before it was requested."""

    report: HostReport
    requested_at: float


class Datagram(msgspec.Struct, kw_only=True, frozen=True):
    """One datagram received from, or to be sent to, a peer's address."""

    address: str
    data: bytes


class RelayedRequest(msgspec.Struct, kw_only=True, frozen=True):
    """One complete HTTP request that a ``RelayCallers`` listener received.

    Requests of callers are relayed unchanged; readiness probes, metrics requests and
    requests of other entry hosts are answered by this host.

    Attributes
    ----------
    number : int
        The request's number at its listener.
    headers : list of (bytes, bytes)
        Headers in the order received, with names in lower case.
    sender : str
        IP address of the sender.
    """

    number: int
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    sender: str = ""


class server_updates(Event):
    """Announce ``ServerUpdates`` from the store, a server's report or another host."""


class server_reported(Event):
    """Announce a backend server's answer to a request for its report: id and bytes."""


class store_returned(Event):
    """Announce that the store was restored from an older copy."""


class relayed_request(Event):
    """Announce a ``RelayedRequest``."""


class relayed_caller_disconnected(Event):
    """Announce the number of a ``RelayedRequest`` whose sender has disconnected."""


class directory_changed(Event):
    """Announce that the configuration, backend servers or their groups have changed."""


class caller_request(Event):
    """Announce a ``CallerRequest``."""


class caller_disconnected(Event):
    """Announce the id of a request whose caller has closed its connection."""


class caller_stalled(Event):
    """Announce a request id and whether its caller reads too slowly at present."""


class caller_answer(Event):
    """Request that a ``CallerAnswer`` be sent to its caller."""


class caller_stream_start(Event):
    """Request the start of a streamed answer: request id and headers."""


class caller_stream_data(Event):
    """Request that bytes be added to a streamed answer: request id and bytes."""


class caller_stream_end(Event):
    """Request the end of the streamed answer with this request id."""


class outbound_send(Event):
    """Request that an ``OutboundRequest`` be sent."""


class outbound_cancel(Event):
    """Cancel the outbound request with this id and close its connection."""


class outbound_flow(Event):
    """Pause or resume reading an answer: request id, and true to pause."""


class outbound_head(Event):
    """Announce an ``AnswerHead``."""


class outbound_data(Event):
    """Announce an ``AttemptData``."""


class outbound_end(Event):
    """Announce the id of a streamed answer whose HTTP message has ended."""


class outbound_answer(Event):
    """Announce an ``OutboundAnswer``."""


class outbound_failed(Event):
    """Announce an ``OutboundFailure``."""


class control_tick(Event):
    """Have the control components check their deadlines."""


class serving_tick(Event):
    """Have the serving component check the deadlines of requests."""


class sweep(Event):
    """Have a transport check its connections for timeouts."""


class append_record(Event):
    """Request that the record of an ``AppendRecord`` be appended to the log."""


class claim_read_back(Event):
    """Announce a ``ClaimReadBack``."""


class host_reported(Event):
    """Announce a ``HostReported``."""


class heartbeat_tick(Event):
    """Have this host send its heartbeat to the other hosts."""


class peers_send(Event):
    """Request that a list of ``Datagram`` be sent to peers."""


class peers_poll(Event):
    """Request that datagrams which peers have sent be read."""


class peers_received(Event):
    """Announce a list of ``Datagram`` received from peers."""


class dump_requested(Event):
    """Request that the state be written to the log."""


class request_fault(Event):
    """Log and count an exception that ended a request.

    Parameters
    ----------
    error : Exception
        The exception.
    request_id : str
        Id of the request; empty if the exception concerns no single request.
    """


class end_requests(Event):
    """End every request in flight because the shutdown's deadline has passed."""


class drain(Event):
    """Announce that the graceful shutdown begins."""


class drained(Event):
    """Announce that no request is in flight and new requests are refused."""
