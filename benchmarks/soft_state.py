"""Measure the exchange of soft state: convergence, bytes and processor time of a node.

The decision code and the codec run in one process over a simulated network with a
one-way delay of 2 ms.  Time is simulated; processor time is measured::

    .venv/bin/python -m benchmarks.soft_state
"""

from __future__ import annotations

import math
import random
import statistics
import time

import defopt

from ryelever.coordination.soft_state import schedule as soft_state_schedule
from ryelever.coordination.soft_state.messages import Message
from ryelever.protocol.soft_state import decode_message, encode_message
from ryelever.state.fleet import HostReport
from ryelever.state.observations import DemandRow, ReportRow, SuspicionRow
from tests.test_coordination.test_soft_state.soft_state_network import (
    Network,
    Node,
    configuration,
)

#: Seconds between two greetings by a host in the first half of the warm-up.
WARM_UP_GREETING_INTERVAL = 0.02

KEY = b"key-of-the-benchmark"


class Load:
    """Set the rows of every node: demand of accounts and reports of polled workers."""

    def __init__(
        self, network: Network, *, n_workers: int, n_accounts: int, seed: int
    ) -> None:
        self.network = network
        self.rng = random.Random(seed)
        self.n_accounts = n_accounts
        self.pollers_by_worker: dict[str, list[Node]] = {}
        by_zone: dict[str, list[Node]] = {}
        for node in network.nodes:
            by_zone.setdefault(node.zone, []).append(node)
        for zone, nodes in by_zone.items():
            for worker in range(n_workers // len(by_zone)):
                pollers = self.rng.sample(nodes, min(2, len(nodes)))
                self.pollers_by_worker[f"{zone}-worker-{worker:02}"] = pollers
        self.offsets = {
            (worker, poller.name): self.rng.random() * 0.5
            for worker, pollers in self.pollers_by_worker.items()
            for poller in pollers
        }

    def refresh(self) -> None:
        """Set each node's rows to the observations of the current time."""
        now = self.network.now
        for node in self.network.nodes:
            node.rows = [
                (self._demand(account), None) for account in range(self.n_accounts)
            ]
        for worker, pollers in self.pollers_by_worker.items():
            report = HostReport(
                host=worker,
                boot="b1",
                state="ready",
                group=f"{worker[:12]}-g1",
                fencing=1234,
                rank=1,
                model="large",
                version="7",
                running=self.rng.randrange(40),
            )
            for poller in pollers:
                offset = self.offsets[worker, poller.name]
                polled_at = (now - offset) // 0.5 * 0.5 + offset
                poller.rows.append((ReportRow(report=report), polled_at))

    def _demand(self, account: int) -> DemandRow:
        # The demand of all accounts changes at each refresh.
        rate = float(self.rng.randrange(100))
        return DemandRow(
            client_account=f"account-{account}", rate=rate, n_in_flight=3, n_waiting=0
        )


class Meter:
    """Encode every message with the product's codec; count messages and bytes."""

    def __init__(self) -> None:
        self.n_messages = 0
        self.n_bytes = 0
        self.largest = 0
        self.codec_seconds = 0.0

    def count_message(self, source: str, address: str, message: Message) -> None:
        """Encode and decode one sent message and add its size and time."""
        start = time.process_time()
        data = encode_message(message, key=KEY)
        decode_message(data, key=KEY, peer=source).ok  # noqa: B018
        self.codec_seconds += time.process_time() - start
        self.n_messages += 1
        self.n_bytes += len(data)
        self.largest = max(self.largest, len(data))


def measure(
    n_nodes: int,
    *,
    n_zones: int,
    n_workers: int,
    n_accounts: int,
    seconds: float,
    seed: int,
    loss: float,
    warm_up: float,
    spreads: bool,
) -> dict[str, float]:
    """Simulate a fleet of one size and return its figures by name."""
    zones = [f"zone-{index % n_zones:02}" for index in range(n_nodes)]
    rng = random.Random(seed)
    network = Network(zones=zones, seed=seed)
    network.route = lambda *_: () if rng.random() < loss else (0.002,)
    load = Load(network, n_workers=n_workers, n_accounts=n_accounts, seed=seed)
    # At the product's 4 greetings a second hundreds of hosts take minutes to discover
    # each other, which is no steady state and takes hours to simulate.
    usual, soft_state_schedule.GREETING_INTERVAL = (
        soft_state_schedule.GREETING_INTERVAL,
        WARM_UP_GREETING_INTERVAL,
    )
    _run(network, load, seconds=warm_up / 2)
    soft_state_schedule.GREETING_INTERVAL = usual
    _run(network, load, seconds=warm_up / 2)
    for node in network.nodes:
        node.deliveries.clear()
    meter = Meter()
    network.on_send = meter.count_message
    ages: list[float] = []
    start = time.process_time()
    load_seconds = _run(network, load, seconds=seconds, ages=ages)
    spent = time.process_time() - start - load_seconds
    network.on_send = None
    n_node_seconds = n_nodes * seconds
    n_sent = meter.n_messages / n_node_seconds
    bytes_each_way = meter.n_bytes / n_node_seconds
    n_spreads = 3 if spreads else 0
    row_times = [_time_row(network, load, index=index) for index in range(n_spreads)]
    versions = [_time_version(network, load, index=index) for index in range(n_spreads)]
    ages.sort()
    return {
        "nodes": n_nodes,
        "zone": -(-n_nodes // n_zones),
        "sent/s": n_sent,
        "B/s out": bytes_each_way,
        "B/s in+out": 2 * bytes_each_way,
        "B/datagram": meter.n_bytes / meter.n_messages,
        "largest": meter.largest,
        "cpu ms/s": 1000 * spent / n_node_seconds,
        "codec ms/s": 1000 * meter.codec_seconds / n_node_seconds,
        "age p50": ages[len(ages) // 2] if ages else 0,
        "age p99": ages[len(ages) * 99 // 100] if ages else 0,
        "age max": ages[-1] if ages else 0,
        "age > 1.5 s, %": 100 * sum(age > 1.5 for age in ages) / max(1, len(ages)),
        "row to all s": statistics.mean(row_times or [math.nan]),
        "row worst": max(row_times, default=math.nan),
        "version to all s": statistics.mean(versions or [math.nan]),
        "version worst": max(versions, default=math.nan),
    }


def _run(
    network: Network, load: Load, *, seconds: float, ages: list[float] | None = None
) -> float:
    spent = 0.0
    for _ in range(round(seconds / 0.25)):
        start = time.process_time()
        load.refresh()
        spent += time.process_time() - start
        network.run(0.25)
        start = time.process_time()
        if ages is not None:
            _record_ages(network, ages)
        for node in network.nodes:
            node.deliveries.clear()
        spent += time.process_time() - start
    return spent


def _record_ages(network: Network, ages: list[float]) -> None:
    # At some of the nodes: the age of the newest report of each worker of the zone that
    # the node has received from its peers.
    for node in network.nodes[:: max(1, len(network.nodes) // 35)]:
        newest = {}
        for table in node.exchange.tables.tables_by_origin.values():
            for stored in table.rows_by_slot.values():
                if isinstance(stored.row, ReportRow):
                    host = stored.row.report.host
                    newest[host] = max(newest.get(host, 0.0), stored.observed_at)
        ages += [network.now - at for at in newest.values()]


def _time_row(network: Network, load: Load, *, index: int) -> float:
    row = SuspicionRow(fingerprint=f"fingerprint-{index}", n_crashes=1)
    origin = network.nodes[index * 7 % len(network.nodes)]
    waiting = {node.name for node in network.nodes if node is not origin}
    elapsed = 0.0
    while waiting and elapsed < 60:
        load.refresh()
        origin.rows.append((row, None))
        network.run(0.05)
        elapsed += 0.05
        for node in network.nodes:
            if any(delivery.observation == row for delivery in node.deliveries):
                waiting.discard(node.name)
            node.deliveries.clear()
    return elapsed


def _time_version(network: Network, load: Load, *, index: int) -> float:
    version = index + 1
    network.nodes[0].configuration = configuration(version)
    elapsed = 0.0
    while elapsed < 60:
        load.refresh()
        network.run(0.05)
        elapsed += 0.05
        for node in network.nodes:
            node.deliveries.clear()
        if all(
            node.exchange.configuration.version == version for node in network.nodes
        ):
            break
    return elapsed


#: Numbers of nodes (entry hosts), zones, workers (backend servers) and client accounts
#: of each fleet.
SIZES = ((8, 3, 50, 10), (35, 1, 71, 10), (140, 4, 284, 10), (390, 11, 780, 10))


def main(
    *,
    seconds: float = 20.0,
    seed: int = 1,
    loss: float = 0.0,
    n_min: int = 1,
    n_max: int = 390,
    warm_up: float = 30.0,
    spreads: bool = True,
) -> None:
    """Measure all sizes and print a column of figures for each.

    Parameters
    ----------
    seconds : float
        Simulated seconds of steady state.
    seed : int
        Seed of all random choices.
    loss : float
        Share of the datagrams that are lost.
    n_min : int
        Smallest number of nodes to measure.
    n_max : int
        Largest number of nodes to measure.
    warm_up : float
        Simulated seconds before the measured ones.
    spreads : bool
        Measure also how long a row and a configuration version take to reach all nodes,
        which takes most of the run time at hundreds of entry hosts.
    """
    print(f"seed {seed}, loss {loss:g}")
    rows = [
        measure(
            n_nodes,
            n_zones=n_zones,
            n_workers=n_workers,
            n_accounts=n_accounts,
            seconds=seconds,
            seed=seed,
            loss=loss,
            warm_up=warm_up,
            spreads=spreads,
        )
        for n_nodes, n_zones, n_workers, n_accounts in SIZES
        if n_min <= n_nodes <= n_max
    ]
    for name in rows[0]:
        print(f"{name:18}", *(f"{row[name]:10.2f}" for row in rows))


if __name__ == "__main__":
    defopt.run(main)
