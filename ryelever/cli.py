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
from .exit_codes import ExitCode
from .protocol.configuration_document import check_document
from .settings import reference
from .settings_files import checked_settings, print_faults, read_text

__all__ = ["main"]

#: Seconds for an entry host to answer a dump.
DUMP_TIMEOUT = 10


def serve(*, settings: Path | None = None, metrics_port: int = 0) -> int:
    """Run an entry host until it is told to stop.

    With settings in JSON it has the OpenAI interface.  With the platform's settings
    file it passes requests on unchanged.

    Parameters
    ----------
    settings
        Settings in JSON with comments, or the platform's settings file; by default
        the file that the platform names in the environment.
    metrics_port
        On the platform, a port on the host's own address for the metrics; 0 serves
        them only beside readiness.
    """
    # Only this command needs the whole program; the others start faster without.
    from .wiring import run

    if not 0 <= metrics_port < 65536:
        print(
            f"--metrics-port: expected 0 to 65535, found {metrics_port}",
            file=sys.stderr,
        )
        return ExitCode.FAULTY_INPUT
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
        return ExitCode.FAULTY_INPUT
    good = True
    if settings is not None:
        text = read_text(settings)
        good &= text is not None and checked_settings(settings, text) is not None
    if document is not None:
        good &= _check_document(document)
    if not good:
        return ExitCode.FAULTY_INPUT
    for path in (settings, document):
        if path is not None:
            _print_result(f"{path}: no fault")
    return ExitCode.OK


def dump(*, address: str, key_file: Path) -> int:
    """Print what the process at an address believes, as JSON.

    Parameters
    ----------
    address : str
        The entry host's callers_address.
    key_file : Path
        File that holds the operator key.
    """
    key = read_text(key_file)
    if key is None:
        return ExitCode.FAULTY_INPUT
    request = urllib.request.Request(
        f"http://{address}/dump", headers={"Authorization": f"Bearer {key.strip()}"}
    )
    try:
        with urllib.request.urlopen(request, timeout=DUMP_TIMEOUT) as answer:
            state = json.load(answer)
    except urllib.error.HTTPError as error:
        print(f"{address}: refused: {error}; is {key_file} right?", file=sys.stderr)
        return ExitCode.FAILED
    except (OSError, ValueError) as error:
        print(f"{address}: cannot dump: {error}", file=sys.stderr)
        return ExitCode.UNREACHABLE
    _print_result(json.dumps(state, indent=2))
    return ExitCode.OK


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
        return ExitCode.FAILED
    _print_result("\n".join(found.lines))
    return ExitCode.OK


def settings_reference() -> int:
    """Print the table of all settings in Markdown."""
    _print_result(reference().rstrip("\n"))
    return ExitCode.OK


def version() -> int:
    """Print the version."""
    _print_result(__version__)
    return ExitCode.OK


def main(argv: list[str] | None = None) -> int:
    """Run the command that the command line names."""
    commands = [serve, check, dump, explain, settings_reference, version]
    try:
        return defopt.run(commands, argv=argv, cli_options="all") or ExitCode.OK
    except RyeleverError as error:
        print(f"{error.step}: {error.message}", file=sys.stderr)
        return ExitCode.FAILED


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


def _check_document(path: Path) -> bool:
    try:
        checked = check_document(path.read_bytes())
    except OSError as error:
        print(f"{path}: cannot read: {error}", file=sys.stderr)
        return False
    if checked.is_error():
        print_faults(path, checked.error)
    return checked.is_ok()
