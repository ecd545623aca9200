"""Give other entry hosts the configuration that they can't read from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from .events import RelayedRequest
    from .transport.relay_callers import RelayCallers

__all__ = ["ConfigurationOffers"]


class ConfigurationOffers(BaseComponent):
    """Answer the other entry hosts.

    Parameters
    ----------
    document : callable
        Return the configuration in force as it lies in the store.
    """

    channel = "offers"

    def __init__(self, *, callers: RelayCallers, document: Callable[[], bytes]) -> None:
        super().__init__()
        self._callers = callers
        self._document = document

    @handler("relayed_request")
    def _on_request(self, request: RelayedRequest) -> None:
        document = self._document()
        found = request.target == b"/configuration" and bool(document)
        self._callers.answer(
            request.number,
            status=200 if found else 404,
            headers=[(b"Content-Type", b"application/json")],
            body=document if found else b"",
        )
