"""Start an entry host on the platform."""

from __future__ import annotations

import os
import signal
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from ..exit_codes import ExitCode
from ..logs import configure_stdout, log_error, log_event
from ..relay_application import RelayApplication
from ..settings_files import print_faults
from .messages import PlatformMessages
from .orders import PlatformOrders
from .records import PlatformRecords
from .settings import SETTINGS_VARIABLE, read_node_settings
from .store import StoreCalls

if TYPE_CHECKING:
    from ..relay_settings import RelaySettings

__all__ = ["run"]


def run(settings: Path | None, *, metrics_port: int) -> int:
    """Run an entry host until it is told to stop; return its exit code."""
    # Without this, word that the settings have changed would end a process that is
    # still starting.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = settings or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    checked = _checked(path)
    if checked is None:
        return ExitCode.FAULTY_INPUT
    checked = replace(checked, metrics_port=metrics_port)
    log_writer = configure_stdout()
    try:
        application = RelayApplication(
            settings=checked,
            log=StoreCalls(address=checked.store_address),
            documents=PlatformRecords(),
            groups=PlatformOrders(),
            messages=PlatformMessages(),
            log_writer=log_writer,
            reload=lambda: _reload(path, checked),
        )
    except OSError as error:
        log_error(
            "cannot_start",
            step="bind",
            peer=checked.callers_address,
            message=f"{error.strerror}; free the address or mend the settings",
        )
        return ExitCode.FAILED
    application.run()
    return ExitCode.OK


def _checked(path: Path) -> RelaySettings | None:
    read = read_node_settings(path)
    if read.is_error():
        print_faults(path, read.error)
        return None
    return read.ok


def _reload(path: Path, running: RelaySettings) -> None:
    """Look at the settings again.

    Addresses and bounds hold for a process's life: what has changed is logged, and
    takes effect at the next start.
    """
    read = read_node_settings(path)
    if read.is_error():
        log_event("reload_refused", faults=[str(fault) for fault in read.error])
        return
    changed = replace(read.ok, metrics_port=running.metrics_port) != running
    log_event("reloaded", changed=changed)
