"""Ask other entry hosts for what this one can't read from the store."""

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

#: Seconds for which only the one that is asked first is asked for a newer
#: configuration or for the backend servers: the store's answer takes some
#: milliseconds, another host's some tens.
ASKED_FIRST = 0.3

#: Seconds after which another entry host is asked again.
FETCH_RETRY = 0.5

#: The same for what changed, which is short.
CHANGES_RETRY = 0.2


class HostFetch(BaseComponent):
    """Own the requests to other entry hosts.

    Parameters
    ----------
    take_configuration : callable
        Take a configuration as it lies in the store, and who gave it.
    take_servers : callable
        Take the records of all backend servers, and who gave them.
    take_changes : callable
        Take what changed of them since an offset.
    """

    channel = "host_fetch"

    def __init__(
        self,
        *,
        heartbeats: HostHeartbeats,
        take_configuration: Callable[[bytes, str], None],
        take_servers: Callable[[ServerUpdates, str], None],
        take_changes: Callable[[ServerUpdates], None],
    ) -> None:
        super().__init__()
        self._heartbeats = heartbeats
        self._take_configuration = take_configuration
        self._take_servers = take_servers
        self._take_changes = take_changes
        self._started_at = time.monotonic()
        self._behind_since: float | None = None
        self._configuration_asked_at = float("-inf")
        self._servers_asked_at = float("-inf")
        self._changes_asked_at = float("-inf")
        self._waits_for_servers = False
        self._waits_for_changes = False
        self._n_changes_asked = 0
        # Hosts that miss the same thing ask different ones.
        self._n_asked = random.randrange(1 << 16)

    def caught_up(self) -> None:
        """Take note that the newest configuration known of is in force here."""
        self._behind_since = None

    def note_behind(self, *, now: float) -> bool:
        """Take note that a newer configuration is in force elsewhere.

        Returns
        -------
        bool
            True once whoever was asked first has had the time to give it.
        """
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since > ASKED_FIRST

    def ask_for_configuration(self, host: str, *, now: float) -> None:
        """Ask a host that has a newer configuration, unless one was asked just now."""
        address = self._heartbeats.addresses_by_host.get(host)
        asked_lately = now - self._configuration_asked_at < FETCH_RETRY
        if address is not None and not asked_lately:
            self._configuration_asked_at = now
            self._ask(CONFIGURATION_PATH, address.address)

    def ask_who_knows_servers(self, *, now: float) -> None:
        """Ask a host of the zone for the backend servers, or else another host.

        One that is giving them to others refuses at once, and the next one is asked.
        """
        providers = self._knowing(self._heartbeats.near(now=now)) or self._knowing(
            self._heartbeats.living(now=now)
        )
        if providers and not self._waits_for_servers:
            self._waits_for_servers = True
            self._ask(SERVERS_PATH, self._next_of(providers))

    def ask_for_servers(self, *, now: float) -> None:
        """Ask another entry host for the backend servers that it knows.

        A host that is started anew while the store is away would serve nobody until
        it returns, though the hosts around it know all that it needs.
        """
        if now - max(self._started_at, self._servers_asked_at) < ASKED_FIRST:
            return
        providers = [
            address.address
            for heartbeat in self._heartbeats.living(now=now)
            if heartbeat.configuration_version >= 0
            and (address := self._heartbeats.addresses_by_host.get(heartbeat.host))
            is not None
        ]
        if providers:
            self._servers_asked_at = now
            self._ask(SERVERS_PATH, self._next_of(providers))

    def ask_for_changes(
        self, offset: int, *, era: int, provider: str, now: float
    ) -> None:
        """Ask for what this host missed of the backend servers.

        Parameters
        ----------
        giver : str
            Address of the host that told of it, which is asked first; the next time
            another one of the zone is.
        """
        pause = now - self._changes_asked_at
        if self._waits_for_changes or pause < CHANGES_RETRY:
            return
        others = self._knowing(self._heartbeats.near(now=now))
        self._n_changes_asked += 1
        if others and (not provider or self._n_changes_asked % 2 == 0):
            provider = self._next_of(others)
        if provider:
            self._changes_asked_at = now
            self._waits_for_changes = True
            self._ask(changes_path(offset, era=era), provider)

    def _knowing(self, heartbeats: Iterable[HostHeartbeat]) -> list[str]:
        """Return where hosts are asked that know all backend servers."""
        by_host = self._heartbeats.addresses_by_host
        return [
            by_host[heartbeat.host].address
            for heartbeat in heartbeats
            if heartbeat.knows_servers and heartbeat.host in by_host
        ]

    def _next_of(self, providers: list[str]) -> str:
        """Return the next one in turn, in case that the one before doesn't answer."""
        return providers[self._n_asked % len(providers)]

    def _ask(self, path: str, address: str) -> None:
        self._n_asked += 1
        request = OutboundRequest(
            id=f"{path} {self._n_asked}",
            address=address,
            method="GET",
            path=path,
            reply_channel=self.channel,
            step="fetch_from_host",
            connect_timeout=FETCH_RETRY,
            progress_timeout=FETCH_RETRY,
        )
        self.fire(outbound_send(request), "http_client")

    def _note_end(self, call_id: str) -> None:
        """Take note that a call has ended."""
        if _asks_for_changes(call_id):
            self._waits_for_changes = False
        elif call_id.startswith(SERVERS_PATH):
            self._waits_for_servers = False

    @handler("outbound_answer")
    def _on_answer(self, answer: OutboundAnswer) -> None:
        self._note_end(answer.id)
        if answer.status == BUSY_STATUS:
            return
        if answer.status == 404 and _asks_for_changes(answer.id):
            # It misses the same, and the next one is asked.
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
            self._take_configuration(answer.body, answer.address)
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
        if _asks_for_changes(answer.id):
            self._take_changes(read.ok)
        else:
            self._take_servers(read.ok, answer.address)

    @handler("outbound_failed")
    def _on_failed(self, failure: OutboundFailure) -> None:
        self._note_end(failure.id)
        log_event(
            "not_fetched",
            what=failure.id,
            peer=failure.address,
            message=failure.error.message,
        )


def _asks_for_changes(call_id: str) -> bool:
    """Tell whether a call asks for what changed, and not for all servers."""
    return call_id.startswith(f"{SERVERS_PATH}/")
