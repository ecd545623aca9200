"""Send requests to other systems and match each complete answer to its request."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .events import OutboundRequest, outbound_send

if TYPE_CHECKING:
    from .events import OutboundAnswer, OutboundFailure
    from .server_access import ServerAccess

__all__ = ["RequestSender", "PendingRequest"]


_JSON = (("Content-Type", "application/json"),)


class PendingRequest:
    """Context of a request whose answer is pending.

    Attributes
    ----------
    kind : str
        Kind of request.
    subject : str
        Object of the request, such as a stream or a host.
    forwarder : str
        Entry host that forwards the request; empty if it is sent directly.
    """

    __slots__ = ("forwarder", "kind", "subject")

    def __init__(self, *, kind: str, subject: str = "") -> None:
        self.kind = kind
        self.subject = subject
        self.forwarder = ""


class RequestSender(BaseComponent):
    """Base class of components that send many requests and handle their answers.

    A subclass implements ``answered`` and ``failed``.
    """

    def __init__(self) -> None:
        super().__init__()
        self._pending_by_id: dict[str, PendingRequest] = {}

    def send_request(
        self,
        pending: PendingRequest,
        *,
        address: str,
        path: str,
        step: str,
        progress_timeout: float,
        time_limit: float = float("inf"),
        method: str = "GET",
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        access: ServerAccess | None = None,
    ) -> None:
        """Send one request, and keep its context until it is answered or fails.

        Parameters
        ----------
        access : ServerAccess or None
            Decides whether a request to the backend server ``pending.subject`` goes by
            way of another entry host; None for other systems.
        """
        request = OutboundRequest(
            id=uuid.uuid4().hex,
            address=address,
            method=method,
            path=path,
            body=body,
            headers=headers + (_JSON if body else ()),
            reply_channel=self.channel,
            step=step,
            progress_timeout=progress_timeout,
            time_limit=time_limit,
        )
        self._pending_by_id[request.id] = pending
        if access is not None:
            routed = access.route(
                request, server_id=pending.subject, now=time.monotonic()
            )
            pending.forwarder = routed.forwarder
            request = routed.sent
        self.fire(outbound_send(request), "http_client")

    def answered(self, pending: PendingRequest, answer: OutboundAnswer) -> None:
        """Handle the answer to a request."""
        raise NotImplementedError

    def failed(self, pending: PendingRequest, failure: OutboundFailure) -> None:
        """Handle the failure of a request that got no answer."""
        raise NotImplementedError

    @handler("outbound_answer")
    def _on_outbound_answer(self, answer: OutboundAnswer) -> None:
        self.answered(self._pending_by_id.pop(answer.id), answer)

    @handler("outbound_failed")
    def _on_outbound_failed(self, failure: OutboundFailure) -> None:
        self.failed(self._pending_by_id.pop(failure.id), failure)
