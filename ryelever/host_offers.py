"""Give other entry hosts what they can't read from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .protocol.host_words import (
    CONFIGURATION_PATH,
    SERVERS_PATH,
    encode_servers,
    read_changes_path,
)

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
    changes : callable
        Return what changed of them from an offset of an era on, or None where that
        isn't known.
    """

    channel = "offers"

    def __init__(
        self,
        *,
        callers: RelayCallers,
        document: Callable[[], bytes],
        servers: Callable[[], ServerNews | None],
        changes: Callable[[int, int], ServerNews | None],
    ) -> None:
        super().__init__()
        self._callers = callers
        self._document = document
        self._servers = servers
        self._changes = changes

    @handler("relayed_request")
    def _on_request(self, request: RelayedRequest) -> None:
        body = self._body(request.target.decode("latin-1"))
        self._callers.answer(
            request.number,
            status=200 if body else 404,
            headers=[(b"Content-Type", b"application/octet-stream")],
            body=body,
        )

    def _body(self, path: str) -> bytes:
        """Return what is asked for; empty where it isn't known."""
        if path == CONFIGURATION_PATH:
            return self._document()
        place = read_changes_path(path)
        if place is not None:
            news = self._changes(*place)
        else:
            news = self._servers() if path == SERVERS_PATH else None
        return encode_servers(news) if news is not None else b""
