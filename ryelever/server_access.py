"""Send requests to backend servers directly, or by way of other entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from .coordination.relaying import Forwarders, ServerPaths
    from .events import OutboundRequest

__all__ = ["RoutedRequest", "ServerAccess"]

#: Maximum number of other hosts by way of which one request is sent.
MAX_DETOURS = 2


class RoutedRequest(msgspec.Struct, kw_only=True, frozen=True):
    """A request as it is sent, and how it gets to its backend server.

    Attributes
    ----------
    direct : OutboundRequest
        The request to the server itself.
    sent : OutboundRequest
        The same request, or the one to the host that forwards it.
    forwarder : str
        Name of that host; empty if the request is sent directly.
    n_detours : int
        Number of hosts that were asked to forward the request.
    """

    server_id: str
    direct: OutboundRequest
    sent: OutboundRequest
    forwarder: str = ""
    n_detours: int = 0


class ServerAccess:
    """Decide whether a request goes by way of another entry host.

    Parameters
    ----------
    key : str
        Key that hosts share.
    """

    __slots__ = ("_forwarders", "_key", "paths")

    def __init__(self, *, paths: ServerPaths, forwarders: Forwarders, key: str) -> None:
        self.paths = paths
        self._forwarders = forwarders
        self._key = key

    def route(
        self, request: OutboundRequest, *, server_id: str, now: float
    ) -> RoutedRequest:
        """Return a new request as it is to be sent."""
        routed = RoutedRequest(server_id=server_id, direct=request, sent=request)
        if not self.paths.is_out_of_reach(server_id):
            return routed
        return self._forwarded(routed, now=now) or routed

    def failed(
        self, routed: RoutedRequest, *, sent: bool, forwarder_failed: bool, now: float
    ) -> RoutedRequest | None:
        """Record a failure, and return the request as it is to be sent again, or None.

        Parameters
        ----------
        sent : bool
            False only if no byte of the request can have reached the server.
        """
        if routed.forwarder and (forwarder_failed or not sent):
            self._forwarders.failed(routed.forwarder, now=now)
        if sent:
            return None
        if not routed.forwarder:
            self.paths.unreached(routed.server_id, now=now)
        server_id = routed.server_id
        is_suspected = self.paths.is_out_of_reach(
            server_id
        ) or self.paths.hears_nothing(server_id, now=now)
        if not is_suspected or routed.n_detours >= MAX_DETOURS:
            return None
        return self._forwarded(routed, now=now)

    def _forwarded(self, routed: RoutedRequest, *, now: float) -> RoutedRequest | None:
        """Return a request by way of another host; None if there is none."""
        forwarder = self._forwarders.choose(now=now)
        if forwarder is None:
            return None
        server_id = routed.server_id
        return msgspec.structs.replace(
            routed,
            sent=routed.direct.via(
                forwarder.address, server_id=server_id, key=self._key
            ),
            forwarder=forwarder.host,
            n_detours=routed.n_detours + 1,
        )
