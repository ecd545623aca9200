"""Forward requests of other entry hosts to backend servers that they can't reach."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .errors import Category
from .events import (
    AnswerHead,
    AttemptData,
    OutboundFailure,
    OutboundRequest,
    outbound_cancel,
    outbound_send,
)
from .logs import log_event
from .protocol.forwarding import (
    PROXY_AUTHORIZATION,
    PROXY_STATUS,
    ForwardingError,
    parse_forward_target,
    proxy_status,
)
from .transport.http_client import REFUSED

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.relaying import ServerPaths
    from .events import RelayedRequest
    from .protocol.forwarding import ForwardTarget
    from .transport.relay_callers import RelayCallers

__all__ = ["ForwardingEndpoint", "RequestForwarding"]

#: Seconds to wait for a connection to a backend server.  Connecting takes a few
#: milliseconds, and a server that has silently disappeared never answers.
CONNECT_TIMEOUT = 0.3

#: Seconds after its arrival from which a request is not sent any more.  Its deadline
#: is relative to the time at which the other host sent it.
LATEST_START = 0.4

#: Seconds without a byte after which a forwarded request is given up.  The host that
#: sent it closes its connection at the deadline.
SILENCE_TIMEOUT = 30.0

#: Maximum number of requests forwarded at a time, each of which takes two descriptors.
MAX_FORWARDED = 500

#: Headers that concern one connection only, or its framing.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"transfer-encoding",
        b"content-length",
        PROXY_AUTHORIZATION,
        PROXY_STATUS,
    }
)


class RequestForwarding(BaseComponent):
    """Send requests of other hosts to backend servers, and their answers back.

    The other host decides on its request: it chose the server, counts the attempt and
    its retries, and closes the connection to cancel it.  This host only carries bytes,
    and sends a request to its server directly, so that no request has two such hops.

    Parameters
    ----------
    host : str
        Name of this host.
    callers : RelayCallers
        Connections of the other hosts.
    address_of : callable
        Return the address of a backend server, given its id; None if it isn't listed.
    is_authorized : callable
        Return whether a request comes from an entry host.
    is_stopping : callable
        Return whether this process will end soon.
    """

    channel = "forwarding"

    def __init__(
        self,
        *,
        host: str,
        callers: RelayCallers,
        address_of: Callable[[str], str | None],
        paths: ServerPaths,
        is_authorized: Callable[[RelayedRequest], bool],
        is_stopping: Callable[[], bool],
    ) -> None:
        super().__init__()
        self._host = host
        self._callers = callers
        self._address_of = address_of
        self._paths = paths
        self._is_authorized = is_authorized
        self._is_stopping = is_stopping
        self._ids = itertools.count(1)
        self._number_by_id: dict[str, int] = {}
        self._id_by_number: dict[int, str] = {}
        self._server_by_id: dict[str, str] = {}
        self._started_ids: set[str] = set()
        self.n_forwarded = 0

    @property
    def n_in_progress(self) -> int:
        """Return the number of requests that are being forwarded."""
        return len(self._id_by_number)

    def forward(self, request: RelayedRequest, target: ForwardTarget) -> None:
        """Send a request of another host to its backend server."""
        now = time.monotonic()
        address = self._address_of(target.server_id)
        error = None
        if not self._is_authorized(request):
            error = ForwardingError.REQUEST_DENIED
        elif address is None:
            error = ForwardingError.DESTINATION_NOT_FOUND
        elif (
            self._is_stopping()
            or self.n_in_progress >= MAX_FORWARDED
            or self._paths.is_out_of_reach(target.server_id)
        ):
            error = ForwardingError.DESTINATION_UNAVAILABLE
        if error is not None:
            log_event(
                "not_forwarded",
                server=target.server_id,
                peer=request.sender,
                reason=error.value,
            )
            self._answer_error(request.number, error)
            return
        self.n_forwarded += 1
        forwarded_id = f"forwarded-{next(self._ids)}"
        self._number_by_id[forwarded_id] = request.number
        self._id_by_number[request.number] = forwarded_id
        self._server_by_id[forwarded_id] = target.server_id
        outbound = OutboundRequest(
            id=forwarded_id,
            address=address,
            method=request.method.decode("ascii"),
            path=target.path,
            headers=tuple(
                pair for pair in request.headers if pair[0] not in HOP_BY_HOP
            ),
            body=request.body,
            reply_channel=self.channel,
            step="forward",
            streamed=True,
            new_connection=True,
            connect_timeout=CONNECT_TIMEOUT,
            progress_timeout=SILENCE_TIMEOUT,
            latest_start=now + LATEST_START,
            resend_stale=False,
            verbatim=True,
        )
        self.fire(outbound_send(outbound), "http_client")

    @handler("relayed_caller_disconnected", channel="offers")
    def _on_sender_disconnected(self, number: int) -> None:
        forwarded_id = self._id_by_number.get(number)
        if forwarded_id is not None:
            self._end(forwarded_id)
            self.fire(outbound_cancel(forwarded_id), "http_client")

    @handler("outbound_head")
    def _on_head(self, head: AnswerHead) -> None:
        number = self._number_by_id.get(head.id)
        if number is None:
            return
        self._paths.answered(self._server_by_id[head.id], now=time.monotonic())
        self._started_ids.add(head.id)
        headers = [pair for pair in head.raw_headers if pair[0] not in HOP_BY_HOP]
        headers.append(proxy_status(self._host))
        self._callers.start(number, status=head.status, headers=headers)

    @handler("outbound_data")
    def _on_data(self, message: AttemptData) -> None:
        number = self._number_by_id.get(message.id)
        if number is not None:
            self._callers.data(number, message.data)

    @handler("outbound_end")
    def _on_end(self, forwarded_id: str) -> None:
        number = self._end(forwarded_id)
        if number is not None:
            self._callers.finish(number)

    @handler("outbound_failed")
    def _on_failed(self, failure: OutboundFailure) -> None:
        server_id = self._server_by_id.get(failure.id, "")
        started = failure.id in self._started_ids
        number = self._end(failure.id)
        if number is None:
            return
        # The failure starts no check of this host's own path: hosts would go on asking
        # each other for a server that has ended.
        error = _error_of(failure)
        log_event("not_forwarded", server=server_id, peer="", reason=error.value)
        if started:
            status = proxy_status(self._host, error)
            self._callers.finish(number, trailers=[status])
        else:
            self._answer_error(number, error)

    def _answer_error(self, number: int, error: ForwardingError) -> None:
        headers = [proxy_status(self._host, error)]
        status = 504 if error.is_timeout else 502
        self._callers.answer(number, status=status, headers=headers, body=b"")

    def _end(self, forwarded_id: str) -> int | None:
        """Forget a request, and return its number if it was in progress."""
        number = self._number_by_id.pop(forwarded_id, None)
        if number is not None:
            del self._id_by_number[number]
            del self._server_by_id[forwarded_id]
            self._started_ids.discard(forwarded_id)
        return number


class ForwardingEndpoint(BaseComponent):
    """Receive the requests of other entry hosts where they ask for nothing else."""

    channel = "offers"

    def __init__(self, *, callers: RelayCallers, forwarding: RequestForwarding) -> None:
        super().__init__()
        self._callers = callers
        self._forwarding = forwarding

    @handler("relayed_request")
    def _on_request(self, request: RelayedRequest) -> None:
        target = parse_forward_target(request.target)
        if target is None:
            self._callers.answer(request.number, status=404, headers=[], body=b"")
        else:
            self._forwarding.forward(request, target)


def _error_of(failure: OutboundFailure) -> ForwardingError:
    """Return the error to report for a failed request to a backend server."""
    timed_out = failure.error.category is Category.TIMEOUT
    if failure.bytes_sent:
        if timed_out:
            return ForwardingError.CONNECTION_READ_TIMEOUT
        return ForwardingError.CONNECTION_TERMINATED
    if timed_out:
        return ForwardingError.CONNECTION_TIMEOUT
    if failure.error.code == REFUSED:
        return ForwardingError.CONNECTION_REFUSED
    return ForwardingError.DESTINATION_UNAVAILABLE
