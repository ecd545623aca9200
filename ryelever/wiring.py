"""Wire an entry host to the outside that its settings file belongs to.

Settings in JSON with comments are those of the OpenAI interface, with a log, a hosts
list and engines of its own.  Lines of the form ``a.b=value`` are the platform's file:
the host then passes requests on, between the platform's store and its backend servers.
"""

from __future__ import annotations

import os
import re
import sys
from pathlib import Path

from .exit_codes import ExitCode
from .settings_files import checked_settings, read_text

__all__ = ["run"]

#: A line of the platform's settings file.
_PLATFORM_LINE = re.compile(r"^[A-Za-z_][\w.-]*=")


def run(settings: Path | None, *, metrics_port: int) -> int:
    """Run an entry host until it is told to stop; return its exit code.

    Parameters
    ----------
    settings : Path or None
        Settings of either kind; None for the file that the platform names in the
        environment.
    metrics_port : int
        Port of its own for the metrics of a host on the platform; 0 for none.
    """
    # Each side is imported where it is used: it takes a third of a second.
    from .platform.settings import SETTINGS_VARIABLE

    if settings is None and not os.environ.get(SETTINGS_VARIABLE):
        print(
            f"--settings is required, unless {SETTINGS_VARIABLE} names the "
            "platform's settings file",
            file=sys.stderr,
        )
        return ExitCode.FAULTY_INPUT
    if settings is not None and not _is_of_the_platform(settings):
        return _run_openai(settings)
    from .platform.entry import run as run_relay

    return run_relay(settings, metrics_port=metrics_port)


def _is_of_the_platform(settings: Path) -> bool:
    """Tell whether a file is the platform's by its first line that says anything."""
    try:
        text = settings.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError):
        # Whoever reads it next says what is wrong with it.
        return False
    lines = (line.strip() for line in text.splitlines())
    first = next((line for line in lines if line and not line.startswith("#")), "")
    return _PLATFORM_LINE.match(first) is not None


def _run_openai(settings: Path) -> int:
    from .application import Application
    from .logs import configure, log_error

    text = read_text(settings)
    checked = None if text is None else checked_settings(settings, text)
    if checked is None:
        return ExitCode.FAULTY_INPUT
    configure()
    try:
        application = Application(settings=checked)
    except OSError as error:
        log_error(
            "cannot_start",
            step="bind",
            peer=checked.callers_address,
            message=f"{error.strerror}; free the address or mend callers_address",
        )
        return ExitCode.FAILED
    application.run()
    return application.exit_code
