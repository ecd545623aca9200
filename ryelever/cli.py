"""Define the command line."""

from __future__ import annotations

import json
import sys
import urllib.request
from pathlib import Path

import defopt

from . import __version__
from .settings import Settings, read_settings

__all__ = ["main"]

#: Exit codes; docs/OPERATING.md explains them.
EXIT_OK = 0
EXIT_FAULTY_INPUT = 2
EXIT_CUT_OFF = 3
EXIT_UNREACHABLE = 4


def serve(*, settings: Path) -> int:
    """Run an entry host until it is told to stop.

    Parameters
    ----------
    settings : Path
        Settings in JSON with comments.
    """
    from .application import Application
    from .logs import configure

    checked = _checked_settings(settings)
    if checked is None:
        return EXIT_FAULTY_INPUT
    configure()
    application = Application(settings=checked)
    application.run()
    return application.exit_code


def check(*, settings: Path) -> int:
    """Check a settings file and name every fault.

    Parameters
    ----------
    settings : Path
        Settings in JSON with comments.
    """
    if _checked_settings(settings) is None:
        return EXIT_FAULTY_INPUT
    print(f"{settings}: no fault")
    return EXIT_OK


def dump(*, address: str, key_file: Path) -> int:
    """Print what the process at an address believes, as JSON.

    Parameters
    ----------
    address : str
        The entry host's callers_address.
    key_file : Path
        File that holds the operator key.
    """
    request = urllib.request.Request(
        f"http://{address}/dump",
        headers={"Authorization": f"Bearer {key_file.read_text().strip()}"},
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            state = json.load(answer)
    except OSError as error:
        print(f"{address}: cannot dump: {error}", file=sys.stderr)
        return EXIT_UNREACHABLE
    print(json.dumps(state, indent=2))
    return EXIT_OK


def version() -> int:
    """Print the version."""
    print(__version__)
    return EXIT_OK


def main() -> int:
    """Run the command that the command line names."""
    commands = [serve, check, dump, version]
    return defopt.run(commands, cli_options="has_default") or EXIT_OK


def _checked_settings(path: Path) -> Settings | None:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: cannot read: {error}", file=sys.stderr)
        return None
    checked = read_settings(text)
    if checked.is_ok():
        return checked.ok
    for fault in checked.error:
        print(f"{path}: {fault}", file=sys.stderr)
    return None
