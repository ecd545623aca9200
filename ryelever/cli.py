"""Define the command line."""

from __future__ import annotations

import json
import os
import sys
import urllib.error
import urllib.request
from pathlib import Path

import defopt

from . import __version__
from .errors import RyeleverError
from .faults import Fault
from .protocol.configuration_document import check_document
from .settings import Settings, reference
from .settings_reader import read_settings

__all__ = ["main"]

#: Exit codes; docs/OPERATIONS.md explains them.
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_FAULTY_INPUT = 2
EXIT_CUT_OFF = 3
EXIT_UNREACHABLE = 4

#: Seconds for an entry host to answer a dump.
DUMP_TIMEOUT = 10


def serve(*, settings: Path) -> int:
    """Run an entry host until it is told to stop.

    Parameters
    ----------
    settings : Path
        Settings in JSON with comments.
    """
    # Only this command needs the whole program; the others start faster without.
    from .application import Application
    from .logs import configure, log_error

    text = _read(settings)
    checked = None if text is None else _checked_settings(settings, text)
    if checked is None:
        return EXIT_FAULTY_INPUT
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
        return EXIT_FAILED
    application.run()
    return application.exit_code


def relay(*, settings: Path | None = None, metrics_port: int = 0) -> int:
    """Run an entry host on the platform, which passes requests on unchanged.

    Parameters
    ----------
    settings
        The platform's settings file; by default the one that the environment names.
    metrics_port
        Port on the host's own address for the metrics; 0 serves them only beside
        readiness.
    """
    from .platform.entry import run

    if not 0 <= metrics_port < 65536:
        print(
            f"--metrics-port: expected 0 to 65535, found {metrics_port}",
            file=sys.stderr,
        )
        return EXIT_FAULTY_INPUT
    return run(settings, metrics_port=metrics_port)


def check(*, settings: Path | None = None, document: Path | None = None) -> int:
    """Check a settings file, a configuration document or both; name every fault.

    Parameters
    ----------
    settings
        Settings in JSON with comments.
    document
        Configuration document, as the console publishes it.
    """
    if settings is None and document is None:
        print("nothing to check: give --settings or --document", file=sys.stderr)
        return EXIT_FAULTY_INPUT
    good = True
    if settings is not None:
        text = _read(settings)
        good &= text is not None and _checked_settings(settings, text) is not None
    if document is not None:
        good &= _check_document(document)
    if not good:
        return EXIT_FAULTY_INPUT
    for path in (settings, document):
        if path is not None:
            _print_result(f"{path}: no fault")
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
    key = _read(key_file)
    if key is None:
        return EXIT_FAULTY_INPUT
    request = urllib.request.Request(
        f"http://{address}/dump", headers={"Authorization": f"Bearer {key.strip()}"}
    )
    try:
        with urllib.request.urlopen(request, timeout=DUMP_TIMEOUT) as answer:
            state = json.load(answer)
    except urllib.error.HTTPError as error:
        print(f"{address}: refused: {error}; is {key_file} right?", file=sys.stderr)
        return EXIT_FAILED
    except (OSError, ValueError) as error:
        print(f"{address}: cannot dump: {error}", file=sys.stderr)
        return EXIT_UNREACHABLE
    _print_result(json.dumps(state, indent=2))
    return EXIT_OK


def explain(*, request_id: str, files: list[Path]) -> int:
    """Print what happened to one request, from the log lines of several hosts.

    Parameters
    ----------
    request_id
        Id that the caller gave its sending.
    files
        Log files, one a host.
    """
    from .explain import explain as find

    found = find(request_id, files)
    for fault in found.faults:
        print(fault, file=sys.stderr)
    if not found.lines:
        print(f"no line names request {request_id}", file=sys.stderr)
        return EXIT_FAILED
    _print_result("\n".join(found.lines))
    return EXIT_OK


def settings_reference() -> int:
    """Print the table of all settings in Markdown."""
    _print_result(reference().rstrip("\n"))
    return EXIT_OK


def version() -> int:
    """Print the version."""
    _print_result(__version__)
    return EXIT_OK


def main(argv: list[str] | None = None) -> int:
    """Run the command that the command line names."""
    commands = [serve, relay, check, dump, explain, settings_reference, version]
    try:
        return defopt.run(commands, argv=argv, cli_options="all") or EXIT_OK
    except RyeleverError as error:
        print(f"{error.step}: {error.message}", file=sys.stderr)
        return EXIT_FAILED


def _print_result(text: str) -> None:
    """Print what a command was asked for, as far as its reader wants it.

    A reader such as ``head`` closes the pipe when it has enough.  The command would
    end with a traceback, and the interpreter report the same error once more when it
    writes the rest at its end; so the rest goes nowhere.
    """
    try:
        print(text, flush=True)
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def _read(path: Path) -> str | None:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: cannot read: {error}", file=sys.stderr)
        return None


def _checked_settings(path: Path, text: str) -> Settings | None:
    checked = read_settings(text)
    if checked.is_ok():
        return checked.ok
    _print_faults(path, checked.error)
    return None


def _check_document(path: Path) -> bool:
    try:
        checked = check_document(path.read_bytes())
    except OSError as error:
        print(f"{path}: cannot read: {error}", file=sys.stderr)
        return False
    if checked.is_error():
        _print_faults(path, checked.error)
    return checked.is_ok()


def _print_faults(path: Path, faults: list[Fault]) -> None:
    for fault in faults:
        print(f"{path}: {fault}", file=sys.stderr)
