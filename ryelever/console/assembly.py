"""Join the console with the parts of one process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..protocol.log import CONFIGURATION_STREAM
from .pages import Console
from .status import Status

if TYPE_CHECKING:
    from ..application import Application

__all__ = ["console_of"]


def console_of(application: Application) -> Console:
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


def _versions_by_host(application: Application) -> dict[str, int]:
    return {application.settings.host: application.configuration.version}


def _log_age(application: Application) -> float | None:
    stream = application.streams.streams_by_name[CONFIGURATION_STREAM]
    age = time.monotonic() - stream.caught_up_at
    return age if age != float("inf") else None
