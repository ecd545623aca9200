"""Send status requests to backend servers, to learn which of them this host reaches."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .events import OutboundAnswer, OutboundFailure, OutboundRequest, outbound_send

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.host_heartbeats import HostAddress
    from .coordination.relaying import Forwarders, ServerPaths

__all__ = ["PathChecks"]

#: Seconds to wait for a connection and for the answer to a status request, which takes
#: milliseconds.
CHECK_TIMEOUT = 0.3


class PathChecks(BaseComponent):
    """Check servers by way of other hosts, and probe lost paths.

    Parameters
    ----------
    address_of : callable
        Return the address of a server, given its id; None if it isn't listed.
    status_path : callable
        Return the path of a server's status, given its id; empty if it has none.
    key : str
        Key that authenticates requests to other hosts; empty if hosts share none.
    """

    channel = "paths"

    def __init__(
        self,
        *,
        paths: ServerPaths,
        forwarders: Forwarders,
        address_of: Callable[[str], str | None],
        status_path: Callable[[str], str],
        key: str = "",
    ) -> None:
        super().__init__()
        self._paths = paths
        self._forwarders = forwarders
        self._address_of = address_of
        self._status_path = status_path
        self._key = key
        self._ids = itertools.count(1)
        self._server_by_id: dict[str, str] = {}
        self._forwarder_by_id: dict[str, str] = {}
        paths.ask_directly = self._ask_directly
        paths.ask_others = self._ask_others

    @handler("control_tick")
    def _on_tick(self) -> None:
        now = time.monotonic()
        self._paths.tick(now=now)
        for server_id in self._paths.due_probes(now=now):
            self._ask(server_id)

    def _ask_directly(self, server_id: str) -> bool:
        has_witnesses = bool(self._forwarders.witnesses(now=time.monotonic()))
        return has_witnesses and self._ask(server_id)

    def _ask_others(self, server_id: str) -> bool:
        n_asked = 0
        for witness in self._forwarders.witnesses(now=time.monotonic()):
            n_asked += self._ask(server_id, forwarder=witness)
        return n_asked > 0

    def _ask(self, server_id: str, *, forwarder: HostAddress | None = None) -> bool:
        """Send a status request; return False if its path is not known."""
        address = self._address_of(server_id)
        path = self._status_path(server_id)
        if address is None or not path:
            return False
        check_id = f"check-{next(self._ids)}"
        self._server_by_id[check_id] = server_id
        request = OutboundRequest(
            id=check_id,
            address=address,
            method="GET",
            path=path,
            reply_channel=self.channel,
            step="check_path",
            new_connection=True,
            connect_timeout=CHECK_TIMEOUT,
            progress_timeout=CHECK_TIMEOUT,
            time_limit=2 * CHECK_TIMEOUT,
        )
        if forwarder is not None:
            self._forwarder_by_id[check_id] = forwarder.host
            request = request.via(forwarder.address, server_id=server_id, key=self._key)
        self.fire(outbound_send(request), "http_client")
        return True

    @handler("outbound_answer")
    def _on_answer(self, answer: OutboundAnswer) -> None:
        now = time.monotonic()
        server_id = self._server_by_id.pop(answer.id)
        if self._forwarder_by_id.pop(answer.id, None) is None:
            self._paths.answered(server_id, now=now)
        else:
            self._paths.reached_by_other(server_id, now=now)

    @handler("outbound_failed")
    def _on_failed(self, failure: OutboundFailure) -> None:
        self._server_by_id.pop(failure.id)
        forwarder = self._forwarder_by_id.pop(failure.id, None)
        if forwarder is not None and failure.forwarder_failed:
            self._forwarders.failed(forwarder, now=time.monotonic())
