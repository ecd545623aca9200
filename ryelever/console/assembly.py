"""Connect the console to the other components of the process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..protocol.log import CONFIGURATION_STREAM
from .pages import Console
from .status import Status

if TYPE_CHECKING:
    from ..entry_host import EntryHost

__all__ = ["build_console"]

#: Seconds of silence after which a peer no longer counts among the known entry hosts.
MAX_PEER_SILENCE = 10.0


def build_console(application: EntryHost) -> Console:
    """Return the console of one entry host."""
    history = application.fleet_history
    return Console(
        operator_key=application.settings.operator_key,
        configuration=application.configuration,
        status=Status(
            placements_by_zone=application.placements_by_zone,
            confirmations=application.confirmations,
            measures=history.measures,
            repairs=history.repairs,
        ),
        versions_by_host=lambda: _versions_by_host(application),
        log_age=lambda: _log_age(application),
    )


def _versions_by_host(application: EntryHost) -> dict[str, int]:
    versions_by_host = {application.settings.host: application.configuration.version}
    exchange = application.peering.exchange
    now = time.monotonic()
    for address, peer in exchange.peers_by_address.items():
        version = exchange.configuration.versions_by_address.get(address)
        alive = (
            peer.current is not None and now - peer.last_received_at <= MAX_PEER_SILENCE
        )
        if alive and version is not None:
            versions_by_host[peer.name or address] = version
    return versions_by_host


def _log_age(application: EntryHost) -> float | None:
    stream = application.streams.streams_by_name[CONFIGURATION_STREAM]
    age = time.monotonic() - stream.caught_up_at
    return age if age != float("inf") else None
