"""Measure what the control loops of an entry host cost when no requests arrive.

Starts real entry hosts and idle engines in one availability zone.  Over a window it
reads each entry host's processor time and memory from the kernel, and the bytes sent
and received from ``/metrics``.  Run: ``python -m benchmarks.control_cost``
"""

from __future__ import annotations

import json
import os
import pstats
import re
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import defopt
import httpx

from tests.processes import (
    SOURCE_PROGRAM,
    EntryHost,
    Fleet,
    free_udp_addresses,
    running_fleet,
    wait_until,
)

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")

#: Program that prints the resident pages of an interpreter with ryelever imported.
BARE = """
import ryelever.application
from pathlib import Path
print(Path("/proc/self/statm").read_text().split()[1])
"""

BYTES = re.compile(
    r'^ryelever_bytes_(received|sent)_total\{kind="(\w+)"\} (\S+)$', re.MULTILINE
)

#: Seconds between the forming of the last group and the start of the window.
SETTLE = 3.0

#: Number of functions of a profile that are printed.
N_LINES = 45


@dataclass(slots=True, kw_only=True)
class Cost:
    """Average cost of one entry host.

    Attributes
    ----------
    percent : float
        Processor time in percent of a core.
    resident : float
        Resident memory in megabytes.
    bytes_by_kind : Counter
        Bytes a second by direction and kind of message.
    """

    percent: float
    resident: float
    bytes_by_kind: Counter[tuple[str, str]]

    def bytes_a_second(self, direction: str) -> float:
        """Return the bytes a second of one direction, over all kinds."""
        return sum(
            n_bytes
            for (kind_direction, _), n_bytes in self.bytes_by_kind.items()
            if kind_direction == direction
        )


def main(
    *,
    n_workers: tuple[int, ...] = (8, 36, 72),
    n_entries: int = 3,
    window: float = 10.0,
    profile: bool = False,
) -> None:
    """Print processor time, memory and bytes of an entry host for each size.

    Parameters
    ----------
    n_workers : tuple[int, ...]
        Numbers of backend servers in the zone, one run for each number.
    n_entries : int
        Entry hosts in the zone.
    window : float
        Length of the measured window in seconds.
    profile : bool
        Run the first entry host under cProfile, print the profile, and leave this host
        out of the figures.
    """
    bare = _bare_mb()
    print(f"bare interpreter with the libraries: {bare:.1f} MB resident")
    print(
        f"{'workers':>8} {'entries':>8} {'load':>6} {'% of a core':>12} "
        f"{'MB above bare':>14} {'B/s in':>8} {'B/s out':>8}"
    )
    for n_hosts in n_workers:
        with (
            tempfile.TemporaryDirectory() as directory,
            running_fleet(Path(directory)) as fleet,
        ):
            stats = Path(directory) / "profile" if profile else None
            _start(fleet, n_hosts=n_hosts, n_entries=n_entries, stats=stats)
            cost = _measure(fleet, window=window, skipped="e0" if profile else "")
            print(
                f"{n_hosts:8d} {n_entries:8d} {os.getloadavg()[0]:6.1f} "
                f"{cost.percent:12.2f} {cost.resident - bare:14.1f} "
                f"{cost.bytes_a_second('received'):8.0f} "
                f"{cost.bytes_a_second('sent'):8.0f}",
                flush=True,
            )
            for (direction, kind), n_bytes in cost.bytes_by_kind.most_common(6):
                print(f"{'':17} {kind} {direction}: {n_bytes:.0f} B/s")
            if stats is not None:
                fleet.processes_by_name["e0"].stop()
                pstats.Stats(str(stats)).sort_stats("tottime").print_stats(N_LINES)


def _bare_mb() -> float:
    answer = subprocess.run(
        [sys.executable, "-c", BARE], check=True, capture_output=True, text=True
    )
    return int(answer.stdout) * PAGE / 1e6


def _start(fleet: Fleet, *, n_hosts: int, n_entries: int, stats: Path | None) -> None:
    fleet.start_platform()
    arguments = ("--n-hosts", str(n_hosts), "--zone", "z")
    ports = json.loads(fleet.start_standin("idle", "idle_engines", *arguments))
    for index, port in enumerate(ports):
        fleet.listed_by_name[f"z-{index}"] = {
            "host": f"z-{index}",
            "address": f"127.0.0.1:{port}",
            "availability_zone": "z",
            "fabric_domain": f"d{index // 8}",
            "accelerators": 8,
            "kind": "engine",
            "state": "live",
        }
    fleet.publish_list()
    n_groups = n_hosts // 4
    fleet.publish(
        {
            "models": {"notes": {"version": "v1", "n_groups": n_groups}},
            "client_accounts": {"pawroute": fleet.account("pawroute")},
        }
    )
    addresses = free_udp_addresses(n_entries)
    for index in range(n_entries):
        profiled = stats is not None and index == 0
        fleet.start_entry(
            f"e{index}",
            zone="z",
            program=(
                ("-m", "cProfile", "-o", str(stats), "-m", "ryelever")
                if profiled
                else SOURCE_PROGRAM
            ),
            peers_address=addresses[index],
            peers=[address for address in addresses if address != addresses[index]],
        )
    wait_until(
        lambda: all(
            entry.n_complete_groups() == n_groups
            for entry in fleet.entries_by_name.values()
        ),
        what="all groups are complete",
        timeout=60,
    )


def _measure(fleet: Fleet, *, window: float, skipped: str) -> Cost:
    # Starting hosts and forming groups is no part of what an entry host spends later.
    time.sleep(SETTLE)
    entries = [
        entry for name, entry in fleet.entries_by_name.items() if name != skipped
    ]
    pids = [entry.process.pid for entry in entries]
    bytes_before = [_bytes(entry) for entry in entries]
    before = [_processor_seconds(pid) for pid in pids]
    started = time.monotonic()
    time.sleep(window)
    elapsed = time.monotonic() - started
    used = sum(map(_processor_seconds, pids)) - sum(before)
    resident = sum(_resident_mb(pid) for pid in pids) / len(pids)
    moved = sum(map(_bytes, entries), Counter()) - sum(bytes_before, Counter())
    n_entry_seconds = len(entries) * elapsed
    return Cost(
        percent=100 * used / n_entry_seconds,
        resident=resident,
        bytes_by_kind=Counter(
            {kind: n_bytes / n_entry_seconds for kind, n_bytes in moved.items()}
        ),
    )


def _bytes(entry: EntryHost) -> Counter[tuple[str, str]]:
    text = httpx.get(f"{entry.url}/metrics", timeout=5).text
    return Counter(
        {(direction, kind): float(n) for direction, kind, n in BYTES.findall(text)}
    )


def _processor_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE / 1e6


if __name__ == "__main__":
    defopt.run(main)
