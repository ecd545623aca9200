"""Regularly update the measures of the fleet and the history of its repairs."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .coordination.measures import Measures, MeasuresView
from .coordination.repairs import RepairHistory

if TYPE_CHECKING:
    from .coordination.confirmation import Confirmations
    from .metrics import Metrics
    from .state.configuration_fold import ConfigurationFold
    from .state.fleet import ListedHost
    from .state.placement import PlacementFold

__all__ = ["FleetHistory"]

#: Seconds between two updates from the state of the fleet.
UPDATE_INTERVAL = 1.0


class FleetHistory(BaseComponent):
    """Keep the measures of the fleet and the history of its repairs.

    The measures are groups down and stranded accelerators.  Measures and history are
    kept only in memory and start empty with the process; state that must outlast the
    process is in the log.
    """

    channel = "fleet_history"

    def __init__(
        self,
        *,
        configuration: ConfigurationFold,
        placements_by_zone: dict[str, PlacementFold],
        hosts_by_name: dict[str, ListedHost],
        confirmations: Confirmations,
    ) -> None:
        super().__init__()
        self.measures = Measures()
        self.repairs = RepairHistory()
        self._configuration = configuration
        self._placements_by_zone = placements_by_zone
        self._hosts_by_name = hosts_by_name
        self._confirmations = confirmations

    def register_gauges(self, metrics: Metrics) -> None:
        """Register gauges for groups down and for stranded accelerators."""
        measures = self.measures
        metrics.gauge("groups_down", lambda: float(measures.n_groups_down))
        metrics.gauge("group_downtime_seconds", lambda: measures.downtime_seconds)
        metrics.gauge("stranded_accelerators", lambda: float(measures.n_stranded))
        metrics.gauge("stranded_accelerator_seconds", lambda: measures.stranded_seconds)

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        now = time.monotonic()
        view = MeasuresView(
            configuration=self._configuration.configuration,
            placements_by_zone=self._placements_by_zone,
            hosts_by_name=self._hosts_by_name,
            confirmations=self._confirmations,
        )
        self.measures.tick(view, now=now)
        self.repairs.tick(self._placements_by_zone, self._confirmations, now=now)
