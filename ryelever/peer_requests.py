"""Serve configuration and backend server records to other entry hosts."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .coordination.transfer_rate import TransferRate
from .protocol.forwarding import parse_forward_target
from .protocol.host_messages import (
    BUSY_STATUS,
    CONFIGURATION_PATH,
    SERVERS_PATH,
    encode_servers,
    parse_changes_path,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import RelayedRequest
    from .protocol.forwarding import ForwardTarget
    from .state.keyed_record import ServerUpdates
    from .transport.relay_callers import RelayCallers

__all__ = ["PeerRequests"]

#: Seconds for which an encoded list of all server records is reused.  A host that
#: receives the list requests later changes separately.
ENCODED_FOR = 1.0


class PeerRequests(BaseComponent):
    """Answer HTTP requests from other entry hosts.

    Parameters
    ----------
    document : callable
        Return the configuration in force, encoded as in the store.
    servers : callable
        Return the records of all backend servers, or None before they are known.
    changes : callable
        Return the backend servers' changes since an offset, given the offset and its
        era; None if this host has no complete record of the changes, or none after the
        offset.
    link_rate : float
        Capacity of this host's network link in bytes a second.
    forward : callable
        Forward a request to a backend server.
    """

    channel = "offers"

    def __init__(
        self,
        *,
        callers: RelayCallers,
        document: Callable[[], bytes],
        servers: Callable[[], ServerUpdates | None],
        changes: Callable[[int, int], ServerUpdates | None],
        link_rate: float,
        forward: Callable[[RelayedRequest, ForwardTarget], None],
    ) -> None:
        super().__init__()
        self._forward = forward
        self._callers = callers
        self._document = document
        self._servers = servers
        self._changes = changes
        self._transfers = TransferRate(link_rate=link_rate)
        self._encoded = b""
        self._encoded_at = float("-inf")
        # Hosts that were notified of the same updates request the same changes, so
        # the last encoded answer is kept.
        self._changes_key: tuple[int, int, int] = (-1, -1, -1)
        self._encoded_changes = b""

    @handler("relayed_request")
    def _on_request(self, request: RelayedRequest) -> None:
        target = parse_forward_target(request.target)
        if target is not None:
            self._forward(request, target)
            return
        path = request.target.decode("latin-1")
        if path == SERVERS_PATH:
            status, body = self._serve_servers(now=time.monotonic())
        else:
            body = self._body(path)
            status = 200 if body else 404
        self._callers.answer(
            request.number,
            status=status,
            headers=[(b"Content-Type", b"application/octet-stream")],
            body=body,
        )

    def _serve_servers(self, *, now: float) -> tuple[int, bytes]:
        """Return status and body of the answer with all server records."""
        if not self._transfers.is_free(now=now):
            return BUSY_STATUS, b""
        if now - self._encoded_at > ENCODED_FOR:
            servers = self._servers()
            if servers is None:
                return 404, b""
            self._encoded = encode_servers(servers)
            self._encoded_at = now
        self._transfers.record_sent(len(self._encoded), now=now)
        return 200, self._encoded

    def _body(self, path: str) -> bytes:
        """Return the requested document or changes; empty if they aren't known."""
        if path == CONFIGURATION_PATH:
            return self._document()
        place = parse_changes_path(path)
        changes = self._changes(*place) if place is not None else None
        if changes is None:
            return b""
        key = (changes.era, changes.start, changes.end)
        if key != self._changes_key:
            self._changes_key = key
            self._encoded_changes = encode_servers(changes)
        return self._encoded_changes
