"""Check the archive that is delivered to operators; run by ``make smoke``.

The checks start ``dist/ryelever.pyz`` as an operator would, together with small
stand-ins, and require that the archive answers requests, runs as one process, contains
its templates and schemas, and stops gracefully.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import zipfile
from pathlib import Path

import httpx

from .processes import Fleet, running_fleet, wait_until

ARCHIVE = Path(__file__).parents[1] / "dist" / "ryelever.pyz"
MEMORY = Path("/dev/shm")

#: Target for the seconds until an entry host serves.  The check fails only beyond ten
#: times the target, so that a busy machine does not fail it.
START_TARGET = 3.0
START_LIMIT = 10 * START_TARGET


def main() -> int:
    """Run every check and return 0; the first failed check ends the program."""
    memory_directory = MEMORY if MEMORY.is_dir() else None
    with (
        tempfile.TemporaryDirectory(dir=memory_directory) as unpacked,
        tempfile.TemporaryDirectory() as directory,
        running_fleet(Path(directory)) as fleet,
    ):
        os.environ["SHIV_ROOT"] = unpacked
        _check_serving(fleet)
        _check_commands(Path(directory))
        _check_archived_files(Path(unpacked))
    print(f"{ARCHIVE.name}: {ARCHIVE.stat().st_size >> 20} MB; every check passed")
    return 0


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, str(ARCHIVE), *arguments],
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
        cwd="/",
    )


def _check_commands(directory: Path) -> None:
    version = _run("version")
    _require(version.returncode == 0 and version.stdout.strip(), version.stderr)
    document = directory / "document.json"
    document.write_text('{"models": {"notes": {"version": ""}}}')
    checked = _run("check", "--document", str(document))
    _require(checked.returncode == 2, f"check found no fault: {checked}")


def _check_archived_files(unpacked: Path) -> None:
    """Require that the archive contains every template and schema of the source.

    Also require that the running program was unpacked into ``unpacked``.
    """
    source = Path(__file__).parents[1] / "ryelever"
    with zipfile.ZipFile(ARCHIVE) as archive:
        names = {name.removeprefix("site-packages/") for name in archive.namelist()}
    for pattern in ("templates/*", "schema/*.capnp"):
        for path in source.glob(pattern):
            name = f"ryelever/{path.relative_to(source)}"
            _require(name in names, f"{name} is not in the archive")
    _require(
        any(unpacked.rglob("ryelever/application.py")), "nothing was unpacked to memory"
    )


def _check_serving(fleet: Fleet) -> None:
    fleet.start_platform()
    fleet.start_engines("h0", zone="z", domain="d")
    fleet.publish(
        {
            "models": {"notes": {"version": "v1", "hosts_per_group": 1}},
            "client_accounts": {"pawroute": fleet.account("pawroute")},
        }
    )
    entry = fleet.start_entry("e1", zone="z", program=(str(ARCHIVE),))
    started = entry.process.events("started")[0]["time"] - entry.process.started_at
    print(f"started in {started:.2f} s, including unpacking; target {START_TARGET:g} s")
    _require(started < START_LIMIT, "the entry host started too slowly")
    wait_until(lambda: entry.n_complete_groups() == 1, what="the group is complete")
    children = Path(f"/proc/{entry.process.pid}/task").glob("*/children")
    _require(
        not any(path.read_text() for path in children),
        "the entry host started a child process",
    )
    headers = {"Authorization": f"Bearer {fleet.keys_by_account['pawroute']}"}
    body = {"model": "notes", "messages": [{"role": "user", "content": "Rex?"}]}
    answer = httpx.post(
        f"{entry.url}/v1/chat/completions",
        headers=headers,
        json=body | {"max_tokens": 3},
        timeout=30,
    )
    _require(answer.status_code == 200, answer.text)
    _require(json.loads(answer.content)["usage"]["completion_tokens"] == 3, answer.text)
    _require(entry.process.stop() == 0, "the entry host did not stop gracefully")


def _require(passed: object, message: object) -> None:
    if not passed:
        raise SystemExit(f"smoke test failed: {message}")


if __name__ == "__main__":
    sys.exit(main())
