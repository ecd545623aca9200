"""Measure what an entry host on the platform costs while no requests arrive.

Starts one real entry host with a stand-in for the store, in which the servers' records
are renewed, and sends the host the datagrams of all other hosts of a fleet: heartbeats
of its own zone, zone heartbeats of the other zones, and server updates.  Prints
processor time and memory by the size of the fleet and by role: a host that ``rests``
leaves reading and planning to others, and a host that ``leads`` is the first of its
zone, reads the store, represents the zone and plans.

With ``--before`` an earlier checkout is measured alternately in the same run, because
the speed of a machine drifts.  A checkout with another encoding of heartbeats receives
no heartbeats at all, and its figures can't be compared::

    .venv/bin/python -m benchmarks.host_cost --before ../earlier
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import pstats
import signal
import socket
import subprocess
import sys
import tempfile
import zlib
from dataclasses import dataclass
from pathlib import Path

from aiohttp import web

from ryelever.coordination.host_heartbeats import (
    MAX_HOSTS_AT_FULL_RATE,
    READERS_PER_ZONE,
    HostHeartbeat,
)
from ryelever.host_exchange import HEARTBEAT_INTERVAL, TICKS_PER_ZONE_HEARTBEAT
from ryelever.protocol.host_messages import encode_heartbeat, encode_updates
from ryelever.state.keyed_record import KeyedRecord, ServerUpdates
from tests.standins.platform import configuration
from tests.standins.platform_store import PlatformStore


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSize:
    """Numbers of entry hosts, availability zones and backend servers of a fleet."""

    n_hosts: int
    n_zones: int
    n_servers: int

    @property
    def n_hosts_per_zone(self) -> int:
        """Return the number of entry hosts in one zone."""
        return -(-self.n_hosts // self.n_zones)


#: Fleets as the users run them, and last the fleet that the system is designed for.
SIZES = (
    FleetSize(n_hosts=6, n_zones=3, n_servers=66),
    FleetSize(n_hosts=30, n_zones=3, n_servers=150),
    FleetSize(n_hosts=85, n_zones=3, n_servers=162),
    FleetSize(n_hosts=195, n_zones=5, n_servers=925),
    FleetSize(n_hosts=392, n_zones=11, n_servers=780),
)

#: Name of the measured host by role: a resting host sorts after all simulated hosts, a
#: leading host before them.
NAMES_BY_ROLE = {"rests": "zz", "leads": "aa"}

#: Seconds between two record renewals of one backend server.
RENEWAL_INTERVAL = 1.2

#: Seconds between two server updates, and changed servers in each update.
UPDATE_INTERVAL = 0.3
N_CHANGED = 1

#: Seconds before the measured window, in which the host reads the state of the fleet.
SETTLE = 4.0

#: Group heads whose load a host's heartbeat reports.
N_LOADED = 6

#: Settings file of a host, in the form that the platform writes.
SETTINGS = """\
node={name}
ip=127.0.0.1
zone={zone}
{zones}
listen.front=127.0.0.1:0
listen.ready=127.0.0.1:0
port_range=0,0
platform.address={store}
platform.parts=12
heartbeat_ms=1200
"""

#: Number of functions of a profile that are printed.
N_LINES = 45


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Processor time in percent of a core, and resident memory in megabytes."""

    percent: float
    resident: float


class SimulatedFleet:
    """Simulate the store and all hosts of a fleet but the measured one.

    Parameters
    ----------
    leads : bool
        Whether the measured host reads the store, represents its zone and plans.
    """

    def __init__(self, *, size: FleetSize, leads: bool) -> None:
        self._size = size
        self._leads = leads
        self._store = PlatformStore()
        self._store.put("keyed.op", "config", json.dumps(configuration(1)).encode())
        self._server_records = [
            self._server_record(index) for index in range(size.n_servers)
        ]
        for key, value in self._server_records:
            self._store.put("keyed.servers", key, value)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sequence = 0
        self._updates_end = size.n_servers
        self.host_address: tuple[str, int] | None = None

    def _server_record(
        self, index: int, *, draining: bool = False
    ) -> tuple[str, bytes]:
        entry = {
            "service": "engines",
            "address": f"127.0.0.1:{1 + index % 9}",
            # Servers of other zones only: the measured host must send no orders to
            # servers that don't exist.
            "zone": f"z{1 + index % (self._size.n_zones - 1)}",
            "version": 1,
            "slots": 13,
            "state": "draining" if draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": 3,
            "domain": f"d{index // 16}",
            "staged": ["large", "small"],
            "models": [],
        }
        return f"i-{index:010x}", json.dumps(entry).encode()

    async def start(self) -> str:
        """Start the store and return its address."""
        runner = web.AppRunner(self._store.app(), access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0]
        return f"{host}:{port}"

    async def simulate(self) -> None:
        """Send the other hosts' datagrams and renew the servers' records."""
        await asyncio.gather(
            self._send_heartbeats(), self._send_updates(), self._renew_records()
        )

    async def _send_heartbeats(self) -> None:
        size = self._size
        n_ticks = -(-size.n_hosts_per_zone // MAX_HOSTS_AT_FULL_RATE)
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL)
            self._sequence += 1
            for index in range(1, size.n_hosts_per_zone):
                if index <= READERS_PER_ZONE or (self._sequence + index) % n_ticks == 0:
                    self._send(self._heartbeat(f"h{index:03d}", "z0", n_ticks=n_ticks))
            if self._sequence % TICKS_PER_ZONE_HEARTBEAT == 0:
                for zone in range(1, size.n_zones):
                    self._send(
                        self._heartbeat(
                            f"f{zone}", f"z{zone}", n_ticks=TICKS_PER_ZONE_HEARTBEAT
                        )
                    )

    def _heartbeat(self, host: str, zone: str, *, n_ticks: int) -> bytes:
        first = zone != "z0" or (host == "h001" and not self._leads)
        loads = N_LOADED if zone == "z0" else self._size.n_servers // 16
        # Different hosts report different servers; each run uses the same ones.
        first_loaded = zlib.crc32(host.encode())
        heartbeat = HostHeartbeat(
            host=host,
            availability_zone=zone,
            reads_store=zone != "z0" or not self._leads,
            stopping=False,
            configuration_version=1,
            boot=1,
            sequence=self._sequence,
            in_flight_by_server={
                f"i-{(first_loaded + index * 16) % self._size.n_servers:010x}": 3
                for index in range(loads)
            },
            demand_by_model={"large": 0.5, "small": 0.7},
            plans=(zone,) if first else (),
            address="127.0.0.1:9",
            interval=n_ticks * HEARTBEAT_INTERVAL,
            for_zone=zone != "z0",
            n_hosts=self._size.n_hosts_per_zone if zone != "z0" else 1,
        )
        return encode_heartbeat(heartbeat)

    async def _send_updates(self) -> None:
        """Send updates of one changing server, as the reader of the zone does."""
        while not self._leads:
            await asyncio.sleep(UPDATE_INTERVAL)
            start = self._updates_end
            self._updates_end = start + round(
                self._size.n_servers * UPDATE_INTERVAL / RENEWAL_INTERVAL
            )
            index = self._updates_end % self._size.n_servers
            key, value = self._server_record(index, draining=self._updates_end % 2 == 0)
            record = KeyedRecord(key=key, value=value, offset=start)
            updates = ServerUpdates(
                reader="h001", start=start, end=self._updates_end, records=[record]
            )
            for data in encode_updates(updates):
                self._send(data)

    async def _renew_records(self) -> None:
        while True:
            for key, value in self._server_records:
                self._store.put("keyed.servers", key, value)
                await asyncio.sleep(RENEWAL_INTERVAL / len(self._server_records))

    def _send(self, data: bytes) -> None:
        if self.host_address is not None:
            self._sock.sendto(data, self.host_address)


async def measure(
    tree: Path, *, size: FleetSize, role: str, window: float, profile: bool
) -> Cost:
    """Run one entry host of a checkout in a simulated fleet and return its cost."""
    fleet = SimulatedFleet(size=size, leads=role == "leads")
    store = await fleet.start()
    simulation = asyncio.create_task(fleet.simulate())
    with tempfile.TemporaryDirectory() as directory:
        settings = Path(directory) / "node.conf"
        zones = "\n".join(f"zones.z{index}=r" for index in range(size.n_zones))
        settings.write_text(
            SETTINGS.format(
                name=NAMES_BY_ROLE[role], zone="z0", zones=zones, store=store
            )
        )
        stats = Path(directory) / "profile"
        profiled = ["-m", "cProfile", "-o", str(stats)] if profile else []
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *profiled,
            "-m",
            "ryelever.relay_host",
            cwd=tree,
            env={"PATH": os.environ["PATH"], "RYELEVER_NODE_FILE": str(settings)},
            stdout=subprocess.PIPE,
        )
        try:
            fleet.host_address = await _peers_address(process)
            drain = asyncio.create_task(process.stdout.read())
            await asyncio.sleep(SETTLE)
            before = processor_seconds(process.pid)
            await asyncio.sleep(window)
            spent = processor_seconds(process.pid) - before
            resident = _resident_mb(process.pid)
        finally:
            process.send_signal(signal.SIGTERM if profile else signal.SIGKILL)
            await process.wait()
        simulation.cancel()
        await drain
        if profile:
            pstats.Stats(str(stats)).sort_stats("tottime").print_stats(N_LINES)
    return Cost(percent=100 * spent / window, resident=resident)


async def _peers_address(process: asyncio.subprocess.Process) -> tuple[str, int]:
    while True:
        line = json.loads(await process.stdout.readline())
        if line["event"] == "started":
            host, _, port = line["peers_address"].rpartition(":")
            return host, int(port)


def processor_seconds(pid: int) -> float:
    nanoseconds = Path(f"/proc/{pid}/schedstat").read_text().split()[0]
    return int(nanoseconds) / 1e9


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def run(arguments: argparse.Namespace) -> None:
    """Measure each fleet size and role in each checkout, and print a table."""
    trees = [Path.cwd(), *([arguments.before] if arguments.before else [])]
    print("| hosts | servers | role | checkout | % of a core | MB resident |")
    print("|---|---|---|---|---|---|")
    for size in SIZES:
        if arguments.hosts and size.n_hosts not in arguments.hosts:
            continue
        for role in NAMES_BY_ROLE:
            if arguments.role and role != arguments.role:
                continue
            for tree in trees:
                cost = await measure(
                    tree,
                    size=size,
                    role=role,
                    window=arguments.window,
                    profile=arguments.profile,
                )
                name = "this" if tree == Path.cwd() else "before"
                print(
                    f"| {size.n_hosts} | {size.n_servers} | {role} | {name} "
                    f"| {cost.percent:.2f} | {cost.resident:.1f} |",
                    flush=True,
                )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path, help="an earlier checkout")
    parser.add_argument("--hosts", type=int, nargs="*", help="fleet sizes to measure")
    parser.add_argument("--role", choices=list(NAMES_BY_ROLE))
    parser.add_argument("--window", type=float, default=10.0, help="seconds")
    parser.add_argument("--profile", action="store_true")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
