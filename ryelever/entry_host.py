"""Define the interface of an entry host that dump, metrics and console use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from .coordination.confirmation import Confirmations
    from .coordination.requests import RequestTable
    from .fleet_history import FleetHistory
    from .fleet_watch import FleetWatch
    from .metrics import Metrics
    from .peering import Peering
    from .planning import Planning
    from .request_path import RequestPath
    from .serving import Serving
    from .settings import Settings
    from .state.configuration_fold import ConfigurationFold
    from .state.placement import PlacementFold
    from .streams import Streams
    from .timers import Timers
    from .transport.callers import Callers
    from .transport.http_client import HttpClient
    from .transport.peers import Peers

__all__ = ["EntryHost"]


class EntryHost(Protocol):
    """Give access to the components that a dump, the metrics and the console read.

    Attributes
    ----------
    boot : str
        Id of this run of the process; a restarted host has another one.
    ready : bool
        Whether the entry host has enough information on the fleet to serve.
    """

    settings: Settings
    boot: str
    metrics: Metrics
    configuration: ConfigurationFold
    placements_by_zone: dict[str, PlacementFold]
    streams: Streams
    confirmations: Confirmations
    fleet: FleetWatch
    fleet_history: FleetHistory
    planning: Planning
    request_path: RequestPath
    table: RequestTable
    http_client: HttpClient
    callers: Callers
    serving: Serving
    peers: Peers
    peering: Peering
    timers: Timers

    @property
    def ready(self) -> bool:
        """Return whether the host has enough information on the fleet to serve."""
