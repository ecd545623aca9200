"""Build an entry host's view of a fleet in memory, for benchmarks and tests."""

from __future__ import annotations

from typing import Any

from ryelever.coordination.actions import Arrival, ChatWork, ServiceWork, Target
from ryelever.coordination.confirmation import Confirmations
from ryelever.coordination.quarantine import Quarantine
from ryelever.coordination.routing.departures import Departures
from ryelever.coordination.routing.feedback import RoutingFeedback
from ryelever.coordination.routing.load import LoadView
from ryelever.coordination.routing.retry import RetryBudget
from ryelever.coordination.routing.routing import AffinityRouter
from ryelever.coordination.routing.stragglers import Stragglers
from ryelever.coordination.routing.targets import Targets
from ryelever.state.fleet import HostReport, ListedHost
from ryelever.state.placement import PlacementFold
from ryelever.state.records import Entry, GroupFormed, LeaseTaken

MODEL = "model-a"


class FakeFleet:
    """State of one entry host that follows a fleet of groups and services.

    Parameters
    ----------
    zones : dict of str to int
        Number of groups in each availability zone; the first zone is the entry host's.
    members : int
        Hosts of each group.
    services : tuple of tuple of str
        Host and availability zone of each plain service.
    settle : float
        Minimum seconds between a second crash and the verdict of the quarantine.
    """

    def __init__(
        self,
        *,
        zones: dict[str, int],
        members: int = 1,
        adapters: tuple[str, ...] = (),
        accelerators: int = 8,
        services: tuple[tuple[str, str], ...] = (),
        settle: float = 0.0,
    ) -> None:
        self.placements_by_zone = {zone: PlacementFold() for zone in zones}
        self.hosts_by_name: dict[str, ListedHost] = {}
        self.confirmations = Confirmations(max_age=2.0)
        self.groups: list[str] = []
        for zone, n_groups in zones.items():
            lease = LeaseTaken(previous=-1, holder="planner", term=6.0)
            self._append(zone, lease)
            for number in range(n_groups):
                self._form(zone, number, members, adapters, accelerators)
        for host, zone in services:
            self.hosts_by_name[host] = ListedHost(
                host=host,
                address=f"10.1.0.{len(self.hosts_by_name)}:80",
                availability_zone=zone,
                kind="service",
                service="bookings",
            )
        self.departures = Departures(
            confirmations=self.confirmations, hosts_by_name=self.hosts_by_name
        )
        self.targets = Targets(
            availability_zone=next(iter(zones)),
            placements_by_zone=self.placements_by_zone,
            hosts_by_name=self.hosts_by_name,
            confirmations=self.confirmations,
            departures=self.departures,
        )
        self.loads = LoadView(targets=self.targets)
        self.stragglers = Stragglers()
        self.quarantine = Quarantine(seed=1, settle=settle)
        self.retry_budget = RetryBudget()
        self.feedback = RoutingFeedback(
            quarantine=self.quarantine,
            departures=self.departures,
            stragglers=self.stragglers,
            retry_budget=self.retry_budget,
        )

    def router(self, *, seed: int = 1, **options: Any) -> AffinityRouter:
        """Return a router over this fleet."""
        return AffinityRouter(
            targets=self.targets,
            loads=self.loads,
            stragglers=self.stragglers,
            quarantine=self.quarantine,
            seed=seed,
            **options,
        )

    def _append(self, zone: str, record: object) -> None:
        fold = self.placements_by_zone[zone]
        offset = fold.next_offset
        entry = Entry(offset=offset, time=0.0, id=f"{zone}-{offset}", record=record)
        reason = fold.apply(entry)
        if reason is not None:
            raise ValueError(reason)

    def _form(
        self,
        zone: str,
        number: int,
        n_members: int,
        adapters: tuple[str, ...],
        accelerators: int,
    ) -> None:
        name = f"{zone}-{number}"
        members = tuple(f"{name}-{rank}" for rank in range(n_members))
        for member in members:
            n_hosts = len(self.hosts_by_name)
            self.hosts_by_name[member] = ListedHost(
                host=member,
                address=f"10.0.{n_hosts // 250}.{n_hosts % 250}:80",
                availability_zone=zone,
                accelerators=accelerators,
            )
        record = GroupFormed(
            lease=self.placements_by_zone[zone].lease.tenure,
            group=name,
            model=MODEL,
            version="1",
            adapters=adapters,
            members=members,
            configuration_version=0,
            reason="fleet of a benchmark",
        )
        self._append(zone, record)
        self.groups.append(name)

    def report(
        self,
        host: str,
        *,
        requested_at: float,
        state: str = "ready",
        running: int = 0,
        waiting: int = 0,
    ) -> None:
        """Record a host's report about itself, as polled at a time."""
        name, _, rank = host.rpartition("-")
        zone = name.rpartition("-")[0]
        group = self.placements_by_zone[zone].groups_by_name[name]
        report = HostReport(
            host=host,
            boot="boot",
            state=state,
            group=name,
            fencing=group.fencing,
            rank=int(rank),
            running=running,
            waiting=waiting,
        )
        self.confirmations.reported(report, requested_at=requested_at)

    def report_all(self, *, requested_at: float) -> None:
        """Record a report of every engine, as polled at a time."""
        for host, listed in self.hosts_by_name.items():
            if listed.kind == "engine":
                self.report(host, requested_at=requested_at)

    def relist(self, host: str, *, state: str) -> None:
        """Change the state of a host in the platform's hosts list."""
        old = self.hosts_by_name[host]
        self.hosts_by_name[host] = ListedHost(
            host=host,
            address=old.address,
            availability_zone=old.availability_zone,
            accelerators=old.accelerators,
            kind=old.kind,
            service=old.service,
            state=state,
        )

    def target(self, name: str) -> Target:
        """Return the target of a group, whether the group is complete or not."""
        zone = name.rpartition("-")[0]
        group = self.placements_by_zone[zone].groups_by_name[name]
        address = self.hosts_by_name[group.members[0]].address
        return Target(
            name=name, address=address, fencing=group.fencing, hosts=group.members
        )


def chat(
    text: str = "hello", *, adapter: str = "", fingerprint: str = "", now: float = 0.0
) -> Arrival:
    """Return a chat request of one message."""
    return Arrival(
        request_id="request",
        client_account="account",
        work=ChatWork(
            model=MODEL,
            messages=[{"role": "user", "content": text}],
            max_tokens=16,
            streamed=True,
            adapter=adapter,
        ),
        arrived_at=now,
        deadline=now + 60.0,
        fingerprint=fingerprint or text,
    )


def service_call(now: float = 0.0) -> Arrival:
    """Return a call to a plain service."""
    return Arrival(
        request_id="request",
        client_account="account",
        work=ServiceWork(
            service="bookings", method="GET", path="/", content_type="", body=b""
        ),
        arrived_at=now,
        deadline=now + 60.0,
        fingerprint="call",
    )
