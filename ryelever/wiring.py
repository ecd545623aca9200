"""Build and run the kind of entry host that a settings file describes.

Settings in JSON with comments describe a host with the OpenAI interface, which has its
own log, hosts list and engines.  The platform's settings file describes a host that
relays requests, using the platform's store and backend servers.
"""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from msgspec.structs import replace

from .exit_codes import ExitCode
from .logs import configure, configure_stdout, log_error, log_event
from .settings_files import load_settings, print_faults, read_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from .application import Application
    from .relay_application import RelayApplication
    from .relay_settings import RelaySettings

__all__ = ["run"]


def run(settings: Path | None, *, metrics_port: int) -> int:
    """Run an entry host until it is signalled to stop; return its exit code.

    Parameters
    ----------
    settings : Path or None
        Settings file of either kind; None for the file that the platform names in the
        environment.
    metrics_port : int
        Separate port for the metrics of a host on the platform; 0 for none.
    """
    from .platform.settings import SETTINGS_VARIABLE, is_node_file

    if settings is None and not os.environ.get(SETTINGS_VARIABLE):
        print(
            f"--settings is required, unless {SETTINGS_VARIABLE} names the "
            "platform's settings file",
            file=sys.stderr,
        )
        return ExitCode.FAULTY_INPUT
    if settings is not None and not is_node_file(settings):
        return _run_openai(settings)
    path = settings or Path(os.environ[SETTINGS_VARIABLE])
    return _run_relay(path, metrics_port=metrics_port)


# Each kind of host is imported only where it is used, as importing it takes a third of
# a second.


def _run_openai(path: Path) -> int:
    from .application import Application

    text = read_text(path)
    settings = None if text is None else load_settings(path, text)
    if settings is None:
        return ExitCode.FAULTY_INPUT
    configure()
    return _run(
        lambda: Application(settings=settings),
        address=settings.callers_address,
        remedy="correct callers_address",
    )


def _run_relay(path: Path, *, metrics_port: int) -> int:
    from .platform.messages import PlatformMessages
    from .platform.orders import PlatformOrders
    from .platform.records import PlatformRecords
    from .platform.settings import read_node_settings
    from .platform.store import StoreCalls
    from .relay_application import RelayApplication

    # Without this, the signal that the settings have changed would end a process that
    # is still starting.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    read = read_node_settings(path)
    if read.is_error():
        print_faults(path, read.error)
        return ExitCode.FAULTY_INPUT
    settings = replace(read.ok, metrics_port=metrics_port)
    log_writer = configure_stdout()
    return _run(
        lambda: RelayApplication(
            settings=settings,
            log=StoreCalls(address=settings.store_address),
            documents=PlatformRecords(),
            groups=PlatformOrders(),
            messages=PlatformMessages(),
            log_writer=log_writer,
            reload=lambda: _reload(path, settings),
        ),
        address=settings.callers_address,
        remedy="correct the settings",
    )


def _run(
    build: Callable[[], Application | RelayApplication], *, address: str, remedy: str
) -> int:
    """Run the application; log the address if it can't be bound."""
    try:
        application = build()
    except OSError as error:
        log_error(
            "cannot_start",
            step="bind",
            peer=address,
            message=f"{error.strerror}; free the address or {remedy}",
        )
        return ExitCode.FAILED
    application.run()
    return application.exit_code


def _reload(path: Path, running: RelaySettings) -> RelaySettings | None:
    """Return the platform's settings, read again, or None if they have faults.

    The settings of a process are fixed for its lifetime, except for the parts of
    prompts that are released from the quarantine; other changes take effect at the next
    start.
    """
    from .platform.settings import read_node_settings

    read = read_node_settings(path)
    if read.is_error():
        log_event("reload_refused", faults=[str(fault) for fault in read.error])
        return None
    settings = replace(read.ok, metrics_port=running.metrics_port)
    log_event("reloaded", changed=settings != running)
    return settings
