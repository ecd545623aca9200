"""Test the command line as its users call it."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from ryelever import __version__

from .processes import OPERATOR_KEY, EntryHost, Fleet
from .test_settings import GOOD


def ryelever(*arguments: str | Path) -> subprocess.CompletedProcess[str]:
    """Run the command line."""
    return subprocess.run(
        [sys.executable, "-m", "ryelever", *map(str, arguments)],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


@pytest.fixture
def settings(tmp_path: Path) -> Path:
    """Return the path of a file with valid settings."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(GOOD, indent=2))
    return path


@pytest.fixture
def document(tmp_path: Path) -> Path:
    """Return the path of a file with a valid configuration document."""
    path = tmp_path / "document.json"
    path.write_text(json.dumps({"models": {"notes": {"version": "v1"}}}))
    return path


def test_version() -> None:
    done = ryelever("version")
    assert (done.returncode, done.stdout.strip()) == (0, __version__)


def test_closed_output_pipe_is_not_an_error() -> None:
    """End without an error message when the reader of the output closes the pipe.

    In ``ryelever dump ... | head``, ``head`` closes the pipe after its lines while the
    command is still writing.  If the error of the closed pipe is left to the
    interpreter, the command ends with a traceback.
    """
    reading, writing = os.pipe()
    os.close(reading)
    done = subprocess.run(
        [sys.executable, "-m", "ryelever", "settings-reference"],
        stdout=writing,
        stderr=subprocess.PIPE,
        text=True,
        check=False,
        timeout=60,
    )
    os.close(writing)
    assert (done.returncode, done.stderr) == (0, "")


def test_check_good_files(settings: Path, document: Path) -> None:
    done = ryelever("check", "--settings", settings, "--document", document)
    assert done.returncode == 0, done.stderr
    assert done.stdout.count("no fault") == 2


def test_check_names_every_fault_of_both_files(settings: Path, document: Path) -> None:
    settings.write_text(json.dumps({"host": "a b", "log_address": "x"}, indent=2))
    document.write_text(
        json.dumps({"models": {"notes": {"version": "", "n_groups": -1}}})
    )
    done = ryelever("check", "--settings", settings, "--document", document)
    assert done.returncode == 2
    lines = done.stderr.splitlines()
    assert all(": expected " in line for line in lines)
    places = [line.split(": ")[1] for line in lines]
    assert {"host (line 2)", "log_address (line 3)", "callers_address"} <= set(places)
    assert sum(line.startswith(str(document)) for line in lines) == 2


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("check",), "--settings"),
        (("check", "--settings", "/nothing.json"), "cannot read"),
        (("check", "--document", "/nothing.json"), "cannot read"),
        (("serve", "--settings", "/nothing.json"), "cannot read"),
        (("serve",), "required"),
        (("serve", "--metrics-port", "70000"), "expected 0 to 65535"),
        (("sevre",), "invalid choice"),
        (("dump", "--address", "127.0.0.1:1", "--key-file", "/nothing"), "cannot read"),
    ],
)
def test_wrong_call_is_exit_code_2(arguments: tuple[str, ...], message: str) -> None:
    done = ryelever(*arguments)
    assert done.returncode == 2
    assert message in done.stderr
    assert "Traceback" not in done.stderr


@pytest.mark.parametrize(
    ("text", "message"),
    [
        pytest.param("node=e1\nzone=z\n", "listen.front", id="the-platforms"),
        pytest.param("# ours\n\nnode=e1\n", "listen.front", id="after-a-comment"),
        pytest.param('{"host": "e1"}', "callers_address", id="json"),
        pytest.param("// ours\n{}", "callers_address", id="json-after-a-comment"),
        pytest.param("", "JSON", id="empty"),
    ],
)
def test_kind_of_settings_file_is_recognized(
    tmp_path: Path, text: str, message: str
) -> None:
    """Check JSON settings and the platform's settings each by their own rules."""
    settings = tmp_path / "settings"
    settings.write_text(text)
    done = ryelever("serve", "--settings", settings)
    assert done.returncode == 2
    assert message in done.stderr
    assert "Traceback" not in done.stderr


def test_dump(fleet: Fleet, tmp_path: Path) -> None:
    """Print the state, and distinguish a wrong key from a host that is not running."""
    fleet.start_platform()
    entry: EntryHost = fleet.start_entry("e1", zone="z")
    key_file = tmp_path / "key"
    key_file.write_text(OPERATOR_KEY + "\n")
    done = ryelever("dump", "--address", entry.address, "--key-file", key_file)
    assert done.returncode == 0, done.stderr
    assert json.loads(done.stdout)["settings"]["host"] == "e1"
    key_file.write_text("wrong")
    done = ryelever("dump", "--address", entry.address, "--key-file", key_file)
    assert (done.returncode, "refused" in done.stderr) == (1, True)
    entry.process.kill()
    done = ryelever("dump", "--address", entry.address, "--key-file", key_file)
    assert (done.returncode, "cannot dump" in done.stderr) == (4, True)


def test_taken_address_ends_the_process_with_a_reason(settings: Path) -> None:
    """Exit with code 1 and log which address is in use, without a traceback."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        settings.write_text(json.dumps(GOOD | {"callers_address": address}))
        done = ryelever("serve", "--settings", settings)
    assert done.returncode == 1
    logged = json.loads(done.stderr.splitlines()[-1])
    assert (logged["event"], logged["peer"]) == ("cannot_start", address)
