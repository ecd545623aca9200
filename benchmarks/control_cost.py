"""Measure what control costs an entry host that serves nobody.

Starts real entry hosts in one availability zone before idle engines and reads
processor time and memory of each from the kernel over a window.  Run:
``python -m benchmarks.control_cost``
"""

from __future__ import annotations

import json
import os
import tempfile
import time
from pathlib import Path

import defopt

from tests.processes import Fleet, free_udp_addresses, running_fleet, wait_until

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


def main(
    *,
    n_workers: tuple[int, ...] = (8, 36, 72),
    n_entries: int = 3,
    window: float = 10.0,
) -> None:
    """Print processor time and memory of an entry host for each size.

    Parameters
    ----------
    n_workers : tuple[int, ...]
        Backend servers in the zone, one run each.
    n_entries : int
        Entry hosts in the zone.
    window : float
        Seconds measured in each run.
    """
    print(f"{'workers':>8} {'entries':>8} {'% of a core':>12} {'resident MB':>12}")
    for n_hosts in n_workers:
        with (
            tempfile.TemporaryDirectory() as directory,
            running_fleet(Path(directory)) as fleet,
        ):
            _start(fleet, n_hosts=n_hosts, n_entries=n_entries)
            percent, resident = _measure(fleet, window=window)
        print(f"{n_hosts:8d} {n_entries:8d} {percent:12.2f} {resident:12.1f}")


def _start(fleet: Fleet, *, n_hosts: int, n_entries: int) -> None:
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
        fleet.start_entry(
            f"e{index}",
            zone="z",
            peers_address=addresses[index],
            peers=[address for address in addresses if address != addresses[index]],
        )
    wait_until(
        lambda: all(
            entry.n_whole_groups() == n_groups
            for entry in fleet.entries_by_name.values()
        ),
        what="all groups are whole",
        timeout=60,
    )


def _measure(fleet: Fleet, *, window: float) -> tuple[float, float]:
    pids = [entry.process.pid for entry in fleet.entries_by_name.values()]
    before = [_cpu_seconds(pid) for pid in pids]
    started = time.monotonic()
    time.sleep(window)
    elapsed = time.monotonic() - started
    used = [
        _cpu_seconds(pid) - earlier for pid, earlier in zip(pids, before, strict=True)
    ]
    percent = 100 * sum(used) / len(used) / elapsed
    resident = sum(_resident_mb(pid) for pid in pids) / len(pids)
    return percent, resident


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE / 1e6


if __name__ == "__main__":
    defopt.run(main)
