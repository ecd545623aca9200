"""Measure how evenly hosts fill replica groups while their loads are out of date.

Runs the balancer's own code at many entry hosts of three availability zones, with
simulated groups that batch their requests.  The hosts report their requests in flight
as often as real hosts of that number do.  Prints for several fleets how many requests
already run at the group that a request is sent to, and the share of requests that find
no free slot there::

    .venv/bin/python -m benchmarks.stale_balance
"""

from __future__ import annotations

import argparse
import random
from collections import Counter
from dataclasses import dataclass, field

from ryelever.coordination.host_heartbeats import MAX_HOSTS_AT_FULL_RATE
from ryelever.coordination.relaying.balance import Balancer
from ryelever.state.directory import BackendServer, Directory, GroupReport, GroupState

ZONES = ("z0", "z1", "z2")
STEP = 0.01
TICK = 0.2
#: Ticks between two zone heartbeats, and the transit time of any heartbeat.
TICKS_PER_ZONE_HEARTBEAT = 3
HEARTBEAT_TRANSIT_TIME = 0.05
#: Seconds of one batch step, further seconds for each request in the batch, and steps
#: for each event.
STEP_TIME, STEP_TIME_PER_REQUEST, STRIDE = 0.0036, 0.00029, 5
SECONDS = 12.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSize:
    """Size of a fleet, requests a second, and mean number of events of a stream."""

    n_hosts: int
    n_groups: int
    slots: int
    rate: float
    n_events: float


FLEETS = {
    "6 hosts, 12 groups": FleetSize(
        n_hosts=6, n_groups=12, slots=13, rate=74.0, n_events=25.0
    ),
    "83 hosts, 16 groups": FleetSize(
        n_hosts=83, n_groups=16, slots=17, rate=174.0, n_events=23.0
    ),
    "85 hosts, 8 groups": FleetSize(
        n_hosts=85, n_groups=8, slots=24, rate=100.0, n_events=30.0
    ),
    "195 hosts, 50 groups": FleetSize(
        n_hosts=195, n_groups=50, slots=11, rate=340.0, n_events=18.0
    ),
}


@dataclass(slots=True, kw_only=True, eq=False)
class Running:
    """Request that runs at a group; ``left`` is the number of events to come."""

    host: int
    left: float
    since: float


@dataclass(slots=True, kw_only=True)
class Group:
    """Requests of one group in the order of their arrival; the first form the batch."""

    running: list[Running] = field(default_factory=list)

    def advance(self, slots: int) -> list[Running]:
        """Simulate one step and return the requests that ended."""
        batch = self.running[:slots]
        event_time = STRIDE * (STEP_TIME + STEP_TIME_PER_REQUEST * len(batch))
        for item in batch:
            item.left -= STEP / event_time
        ended = [item for item in batch if item.left <= 0]
        self.running = [item for item in self.running if item.left > 0]
        return ended


class Hosts:
    """Balancers of all hosts, and the loads that the hosts report to each other."""

    def __init__(self, size: FleetSize, *, seed: int) -> None:
        self._rng = random.Random(seed)
        self.size = size
        directory = Directory()
        for index in range(size.n_groups):
            directory.put(_head(f"h{index}", ZONES[index % 3], size.slots), now=0.0)
        self.balancers = [
            Balancer(directory=directory, zone=self.zone(host), seed=seed * 1000 + host)
            for host in range(size.n_hosts)
        ]
        self.reported = [Counter() for _ in self.balancers]
        self.in_flight_by_zone = {zone: Counter() for zone in ZONES}
        self.per_zone = size.n_hosts // 3
        self.ticks = -(-self.per_zone // MAX_HOSTS_AT_FULL_RATE)
        self.phases = [self._rng.randrange(60) for _ in self.balancers]

    @staticmethod
    def zone(host: int) -> str:
        """Return the availability zone of a host, given its index."""
        return ZONES[host % 3]

    def tick(self, step: int) -> None:
        """Report and receive loads at the hosts that are due at this step."""
        every = round(TICK / STEP)
        for host, balancer in enumerate(self.balancers):
            if (step + self.phases[host]) % every:
                continue
            if (step + self.phases[host]) // every % self.ticks == 0:
                self.reported[host] = _in_flight(balancer)
            if (
                host < 3
                and (step + self.phases[host]) // every % TICKS_PER_ZONE_HEARTBEAT == 0
            ):
                self.in_flight_by_zone[self.zone(host)] = sum(
                    (
                        self.reported[item]
                        for item in range(host, len(self.reported), 3)
                    ),
                    Counter(),
                )
            self._receive_loads(host, balancer)

    def _receive_loads(self, host: int, balancer: Balancer) -> None:
        zone = self.zone(host)
        received: Counter[str] = Counter()
        for item in range(host % 3, len(self.reported), 3):
            if item != host:
                received.update(self.reported[item])
        for other in ZONES:
            if other != zone:
                received.update(self.in_flight_by_zone[other])
        balancer.peers_in_flight_by_id = received
        balancer.set_heartbeat_interval(
            interval=self.ticks * TICK,
            n_zone_peers=self.per_zone - 1,
            n_hosts=self.size.n_hosts,
        )


def _in_flight(balancer: Balancer) -> Counter[str]:
    return Counter(
        {key: record.in_flight for key, record in balancer.records_by_id.items()}
    )


def _head(server_id: str, zone: str, slots: int) -> BackendServer:
    return BackendServer(
        id=server_id,
        service="engines",
        address=f"{server_id}:80",
        availability_zone=zone,
        slots=slots,
        draining=False,
        models=frozenset({"m"}),
        group=GroupReport(name=server_id, epoch=1, rank=0, state=GroupState.OPEN),
    )


def play(size: FleetSize, *, seed: int) -> tuple[list[int], int, int]:
    """Simulate one fleet.

    Returns
    -------
    found : list of int
        For each request after the first 2 s, the requests already at its group.
    n_refused : int
        Requests for which the balancer chose no server.
    n_far : int
        Requests after the first 2 s that were sent to another availability zone.
    """
    rng = random.Random(seed)
    hosts = Hosts(size, seed=seed)
    groups = {f"h{index}": Group() for index in range(size.n_groups)}
    found: list[int] = []
    n_refused = n_far = 0
    for step in range(round(SECONDS / STEP)):
        now = step * STEP
        hosts.tick(step)
        for server_id, group in groups.items():
            for item in group.advance(size.slots):
                balancer = hosts.balancers[item.host]
                balancer.ended(server_id)
                balancer.record_duration("engines", "m", now - item.since)
        n_new = rng.random() < size.rate * STEP % 1
        for _ in range(int(size.rate * STEP) + n_new):
            host = rng.randrange(size.n_hosts)
            chosen = hosts.balancers[host].choose(
                "engines", "m", excluded=set(), now=now
            )
            if chosen is None:
                n_refused += 1
                continue
            hosts.balancers[host].sent(chosen.id)
            running = groups[chosen.id].running
            if now > 2.0:
                found.append(len(running))
                n_far += chosen.availability_zone != hosts.zone(host)
            left = rng.gammavariate(2.0, size.n_events / 2.0)
            running.append(Running(host=host, left=1.0 + left, since=now))
    return found, n_refused, n_far


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(parser.parse_args().seeds)
    print("| fleet | running there | p90 | p99 | no free slot | other zone |")
    print("|---|---|---|---|---|---|")
    for name, size in FLEETS.items():
        found: list[int] = []
        n_far = 0
        for seed in seeds:
            rows, _, far = play(size, seed=seed)
            found += rows
            n_far += far
        found.sort()
        full = sum(item >= size.slots for item in found) / len(found)
        print(
            f"| {name} | {sum(found) / len(found):.1f} "
            f"| {found[int(0.9 * len(found))]} | {found[int(0.99 * len(found))]} "
            f"| {full:.3f} | {n_far / len(found):.2f} |"
        )


if __name__ == "__main__":
    main()
