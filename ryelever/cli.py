"""Define the commands of the command line."""

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
from .settings import settings_table
from .settings_files import load_settings, print_faults, read_text

__all__ = ["main"]

#: Seconds to wait for an entry host's answer to a dump request.
DUMP_TIMEOUT = 10


def serve(*, settings: Path | None = None, metrics_port: int = 0) -> int:
    """Run an entry host until a signal stops it.

    With settings in JSON, the entry host serves the OpenAI interface.  With the
    platform's settings file, it relays requests unchanged.

    Parameters
    ----------
    settings
        Settings in JSON with comments, or the platform's settings file; by default
        the file named in the environment by the platform.
    metrics_port
        On the platform, an additional port on the host's address that serves the
        metrics; 0 serves metrics only on the port of the readiness probe.
    """
    # Only this command imports the whole program, so that the others start faster.
    from .wiring import run

    if not 0 <= metrics_port < 65536:
        print(
            f"--metrics-port: expected 0 to 65535, found {metrics_port}",
            file=sys.stderr,
        )
        return ExitCode.FAULTY_INPUT
    return run(settings, metrics_port=metrics_port)


def check(*, settings: Path | None = None, document: Path | None = None) -> int:
    """Check a settings file, a configuration document or both; print every fault.

    Parameters
    ----------
    settings
        Settings in JSON with comments.
    document
        Configuration document in the form that the console publishes.
    """
    if settings is None and document is None:
        print("nothing to check: give --settings or --document", file=sys.stderr)
        return ExitCode.FAULTY_INPUT
    is_valid = True
    if settings is not None:
        text = read_text(settings)
        is_valid &= text is not None and load_settings(settings, text) is not None
    if document is not None:
        is_valid &= _check_document(document)
    if not is_valid:
        return ExitCode.FAULTY_INPUT
    for path in (settings, document):
        if path is not None:
            _print_result(f"{path}: no fault")
    return ExitCode.OK


def dump(*, address: str, key_file: Path) -> int:
    """Print the state of the entry host at an address as JSON.

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
    """Print the log lines of several hosts that explain one request.

    Parameters
    ----------
    request_id
        Id that the caller set when it sent the request.
    files
        Log files, one for each host.
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
    _print_result(settings_table().rstrip("\n"))
    return ExitCode.OK


def version() -> int:
    """Print the version."""
    _print_result(__version__)
    return ExitCode.OK


def main(argv: list[str] | None = None) -> int:
    """Run the command given on the command line and return its exit code."""
    commands = [serve, check, dump, explain, settings_reference, version]
    try:
        return defopt.run(commands, argv=argv, cli_options="all") or ExitCode.OK
    except RyeleverError as error:
        print(f"{error.step}: {error.message}", file=sys.stderr)
        return ExitCode.FAILED


def _print_result(text: str) -> None:
    """Print the result of a command; ignore that the reader closes the pipe.

    A reader such as ``head`` closes the pipe after the lines that it needs.  Without
    this handling the command would end with a traceback, and the interpreter would
    report the same error again when it flushes the remaining output at exit.  The
    remaining output is therefore redirected to the null device.
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
