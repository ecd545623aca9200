"""Measure how long a published configuration takes to be in force on 8 entry hosts.

The entry hosts are real processes in three availability zones on one machine, with
stand-ins for the log and the list of hosts.  One of the entry hosts cannot reach the
log and receives configurations from the other hosts only::

    .venv/bin/python -m benchmarks.configuration_spread
"""

from __future__ import annotations

import statistics
import tempfile
import threading
import time
from pathlib import Path

import defopt
import httpx

from tests.processes import Fleet, free_udp_addresses, running_fleet

ZONES = ("brisbane", "ipswich", "toowoomba")
N_ENTRIES = 8

#: Entry host that cannot reach the log, and the address that this host has for the log,
#: on which no process listens.
CUT_OFF = "e7"
UNUSED_ADDRESS = "127.0.0.1:9"


def _start(fleet: Fleet) -> None:
    fleet.start_platform()
    addresses = free_udp_addresses(N_ENTRIES)
    for index, address in enumerate(addresses):
        name = f"e{index}"
        log = UNUSED_ADDRESS if name == CUT_OFF else fleet.addresses_by_name["log"]
        fleet.start_entry(
            name,
            zone=ZONES[index % len(ZONES)],
            availability_zones=list(ZONES),
            peers_address=address,
            peers=addresses,
            log_address=log,
        )


def _document(number: int, *, n_accounts: int) -> dict[str, object]:
    accounts = {
        f"account-{index}": {"key_hash": f"salt${number:04}{index:060}"}
        for index in range(n_accounts)
    }
    return {"models": {}, "client_accounts": accounts}


def _wait_for_version(
    url: str, version: int, started: float, durations: list[float]
) -> None:
    pause = threading.Event()
    while time.monotonic() - started < 60:
        text = httpx.get(f"{url}/metrics", timeout=5).text
        name = "ryelever_configuration_version "
        lines = [line for line in text.splitlines() if line.startswith(name)]
        if any(float(line.split()[1]) >= version for line in lines):
            durations.append(time.monotonic() - started)
            return
        pause.wait(0.05)
    durations.append(float("inf"))


def _publish_and_time(
    fleet: Fleet, number: int, *, n_accounts: int
) -> dict[str, float]:
    document = _document(number, n_accounts=n_accounts)
    started = time.monotonic()
    fleet.publish(document, base_version=number - 1)
    durations_by_name: dict[str, list[float]] = {
        name: [] for name in fleet.entries_by_name
    }
    threads = [
        threading.Thread(
            target=_wait_for_version,
            args=(entry.url, number, started, durations_by_name[name]),
        )
        for name, entry in fleet.entries_by_name.items()
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return {name: durations[0] for name, durations in durations_by_name.items()}


def main(*, n_rounds: int = 10, n_accounts: int = 100) -> None:
    """Publish several configurations and print the times until all hosts use them.

    Parameters
    ----------
    n_rounds : int
        Number of publications.
    n_accounts : int
        Client accounts in each configuration, which make up most of its size.
    """
    with running_fleet(Path(tempfile.mkdtemp())) as fleet:
        _start(fleet)
        with_log, cut_off = [], []
        for number in range(n_rounds):
            times = _publish_and_time(fleet, number, n_accounts=n_accounts)
            cut_off.append(times.pop(CUT_OFF))
            with_log.append(max(times.values()))
        for name, times in (("log, slowest of 7", with_log), ("cut off", cut_off)):
            print(
                f"{name:18} median {statistics.median(times):.2f} s, "
                f"longest {max(times):.2f} s, {n_rounds} publications"
            )


if __name__ == "__main__":
    defopt.run(main)
