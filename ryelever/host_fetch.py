"""Fetch configuration and server records from other entry hosts over HTTP.

An entry host uses these requests where it can't or shouldn't read the store itself.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .events import (
    OutboundAnswer,
    OutboundFailure,
    OutboundRequest,
    outbound_send,
)
from .logs import log_event, log_warning
from .protocol.host_messages import (
    BUSY_STATUS,
    CONFIGURATION_PATH,
    SERVERS_PATH,
    changes_path,
    decode_servers,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .coordination.host_heartbeats import HostHeartbeat, HostHeartbeats
    from .state.keyed_record import ServerUpdates

__all__ = ["HostFetch"]

#: Seconds to wait for the first source of a newer configuration or of the backend
#: servers' records before the next source is tried: the store answers within some
#: milliseconds, another host within some tens of milliseconds.
FALLBACK_DELAY = 0.3

#: Minimum seconds between two requests for the configuration, and the connect and
#: progress timeouts of all requests to other entry hosts.
FETCH_RETRY = 0.5

#: Minimum seconds between two requests for changes, whose answers are short.
CHANGES_RETRY = 0.2


class HostFetch(BaseComponent):
    """Send requests to other entry hosts and pass their answers to callbacks.

    Parameters
    ----------
    on_configuration : callable
        Called with a configuration document, encoded as in the store, and the address
        of the host that provided it.
    on_servers : callable
        Called with the records of all backend servers and the address of the host
        that provided them.
    on_changes : callable
        Called with the backend servers' records that changed since an offset.
    """

    channel = "host_fetch"

    def __init__(
        self,
        *,
        heartbeats: HostHeartbeats,
        on_configuration: Callable[[bytes, str], None],
        on_servers: Callable[[ServerUpdates, str], None],
        on_changes: Callable[[ServerUpdates], None],
    ) -> None:
        super().__init__()
        self._heartbeats = heartbeats
        self._on_configuration = on_configuration
        self._on_servers = on_servers
        self._on_changes = on_changes
        self._started_at = time.monotonic()
        self._behind_since: float | None = None
        self._configuration_requested_at = float("-inf")
        self._servers_requested_at = float("-inf")
        self._changes_requested_at = float("-inf")
        self._is_fetching_servers = False
        self._is_fetching_changes = False
        self._n_changes_requests = 0
        # A random start spreads hosts that miss the same data over the providers.
        self._n_sent_requests = random.randrange(1 << 16)

    def caught_up(self) -> None:
        """Record that the newest known configuration is in force on this host."""
        self._behind_since = None

    def record_behind(self, *, now: float) -> bool:
        """Record that a newer configuration is in force on another host.

        Returns
        -------
        bool
            True once the first source has failed to provide the configuration within
            ``FALLBACK_DELAY``.
        """
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since > FALLBACK_DELAY

    def request_configuration(self, host: str, *, now: float) -> None:
        """Request the configuration from a host, unless it was requested recently."""
        address = self._heartbeats.addresses_by_host.get(host)
        requested_recently = now - self._configuration_requested_at < FETCH_RETRY
        if address is not None and not requested_recently:
            self._configuration_requested_at = now
            self._send_request(CONFIGURATION_PATH, address.address)

    def request_servers_from_provider(self, *, now: float) -> None:
        """Request all server records from a host that knows them, of this zone first.

        A host that is busy serving the records to others refuses at once, and the
        next call asks another host.
        """
        providers = self._provider_addresses(
            self._heartbeats.of_own_zone(now=now)
        ) or self._provider_addresses(self._heartbeats.live_heartbeats(now=now))
        if providers and not self._is_fetching_servers:
            self._is_fetching_servers = True
            self._send_request(SERVERS_PATH, self._pick_provider(providers))

    def request_servers_from_any_host(self, *, now: float) -> None:
        """Request all server records from any host that has a configuration.

        Without this, a host that restarts while the store is unavailable would serve
        no requests until the store returns, although its peers know all servers.
        """
        if now - max(self._started_at, self._servers_requested_at) < FALLBACK_DELAY:
            return
        providers = [
            address.address
            for heartbeat in self._heartbeats.live_heartbeats(now=now)
            if heartbeat.configuration_version >= 0
            and (address := self._heartbeats.addresses_by_host.get(heartbeat.host))
            is not None
        ]
        if providers:
            self._servers_requested_at = now
            self._send_request(SERVERS_PATH, self._pick_provider(providers))

    def request_changes(
        self, offset: int, *, era: int, provider: str, now: float
    ) -> None:
        """Request the backend servers' changes that this host missed.

        Parameters
        ----------
        offset, era : int
            Position in the topic from which changes are missing.
        provider : str
            Address of the host that announced the changes.  The first request goes to
            this host, every second one to another host of the zone.
        """
        pause = now - self._changes_requested_at
        if self._is_fetching_changes or pause < CHANGES_RETRY:
            return
        others = self._provider_addresses(self._heartbeats.of_own_zone(now=now))
        self._n_changes_requests += 1
        if others and (not provider or self._n_changes_requests % 2 == 0):
            provider = self._pick_provider(others)
        if provider:
            self._changes_requested_at = now
            self._is_fetching_changes = True
            self._send_request(changes_path(offset, era=era), provider)

    def _provider_addresses(self, heartbeats: Iterable[HostHeartbeat]) -> list[str]:
        """Return the addresses of the hosts that know all backend servers."""
        by_host = self._heartbeats.addresses_by_host
        return [
            by_host[heartbeat.host].address
            for heartbeat in heartbeats
            if heartbeat.knows_servers and heartbeat.host in by_host
        ]

    def _pick_provider(self, providers: list[str]) -> str:
        """Return the next provider in rotation, as the last one may not answer."""
        return providers[self._n_sent_requests % len(providers)]

    def _send_request(self, path: str, address: str) -> None:
        self._n_sent_requests += 1
        request = OutboundRequest(
            id=f"{path} {self._n_sent_requests}",
            address=address,
            method="GET",
            path=path,
            reply_channel=self.channel,
            step="fetch_from_host",
            connect_timeout=FETCH_RETRY,
            progress_timeout=FETCH_RETRY,
        )
        self.fire(outbound_send(request), "http_client")

    def _record_end(self, call_id: str) -> None:
        """Record that a request has ended, so that the next one may be sent."""
        if _is_changes_request(call_id):
            self._is_fetching_changes = False
        elif call_id.startswith(SERVERS_PATH):
            self._is_fetching_servers = False

    @handler("outbound_answer")
    def _on_answer(self, answer: OutboundAnswer) -> None:
        self._record_end(answer.id)
        if answer.status == BUSY_STATUS:
            return
        if answer.status == 404 and _is_changes_request(answer.id):
            # The provider doesn't have these changes either.  A later request asks
            # another host, or this one again if no other host is known.
            return
        if answer.status != 200:
            log_event(
                "not_fetched",
                what=answer.id,
                peer=answer.address,
                message=f"answered {answer.status}",
            )
            return
        if answer.id.startswith(CONFIGURATION_PATH):
            self._on_configuration(answer.body, answer.address)
            return
        read = decode_servers(answer.body, peer=answer.address)
        if read.is_error():
            error = read.error
            log_warning(
                "servers_unreadable",
                step=error.step,
                peer=error.peer,
                message=error.message,
            )
            return
        if _is_changes_request(answer.id):
            self._on_changes(read.ok)
        else:
            self._on_servers(read.ok, answer.address)

    @handler("outbound_failed")
    def _on_failed(self, failure: OutboundFailure) -> None:
        self._record_end(failure.id)
        log_event(
            "not_fetched",
            what=failure.id,
            peer=failure.address,
            message=failure.error.message,
        )


def _is_changes_request(call_id: str) -> bool:
    """Return whether a request is for changes rather than for all server records."""
    return call_id.startswith(f"{SERVERS_PATH}/")
