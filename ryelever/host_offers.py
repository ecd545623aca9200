"""Give other entry hosts what they can't read from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .protocol.host_words import CONFIGURATION_PATH, SERVERS_PATH, encode_servers

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import RelayedRequest
    from .state.keyed_record import ServerNews
    from .transport.relay_callers import RelayCallers

__all__ = ["HostOffers"]


class HostOffers(BaseComponent):
    """Answer the other entry hosts.

    Parameters
    ----------
    document : callable
        Return the configuration in force as it lies in the store.
    servers : callable
        Return the records of all backend servers, or None before they are known.
    """

    channel = "offers"

    def __init__(
        self,
        *,
        callers: RelayCallers,
        document: Callable[[], bytes],
        servers: Callable[[], ServerNews | None],
    ) -> None:
        super().__init__()
        self._callers = callers
        self._document = document
        self._servers = servers

    @handler("relayed_request")
    def _on_request(self, request: RelayedRequest) -> None:
        body = b""
        if request.target == CONFIGURATION_PATH.encode():
            body = self._document()
        elif request.target == SERVERS_PATH.encode():
            servers = self._servers()
            body = encode_servers(servers) if servers is not None else b""
        self._callers.answer(
            request.number,
            status=200 if body else 404,
            headers=[(b"Content-Type", b"application/octet-stream")],
            body=body,
        )
