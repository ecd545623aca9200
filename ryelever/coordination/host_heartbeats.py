"""Keep the newest heartbeats of other entry hosts and decide on roles in a zone."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from ..state.observations import waiting_rows
from .evacuations import OperatorPosition

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..state.leaving import LeavingServerRow
    from ..state.observations import (
        InvolvementRow,
        RateLimitRow,
        WaitingKind,
        WaitingRow,
    )

__all__ = [
    "ForwardingHosts",
    "HostAddress",
    "HostHeartbeat",
    "HostHeartbeats",
    "TAKEOVER_CHECK_TIME",
    "urgent_state",
]

#: Minimum seconds without a heartbeat after which an entry host counts as gone.  Hosts
#: on which others rely send heartbeats every 0.2 s, and four consecutive heartbeats
#: are not lost by chance.
HOST_TIMEOUT = 0.9

#: Timeout of a host or zone in multiples of its own heartbeat interval, if longer than
#: ``HOST_TIMEOUT``.  In a zone of more than ``MAX_HOSTS_AT_FULL_RATE`` hosts, a host on
#: which no other host relies sends less often.  Nothing depends on the heartbeats of
#: such a host within two intervals; its last reported requests in flight still count.
TIMEOUT_INTERVALS = 2.5

#: Maximum rounding error of sums of times, in seconds.
ROUNDING = 1e-6

#: Maximum number of hosts in a zone that send heartbeats to each other in every tick.
#: In a larger zone each host sends less often, so that a host receives no more
#: heartbeats than in a zone of this size: 70 a second, each of which takes a tenth of
#: a millisecond to read.
MAX_HOSTS_AT_FULL_RATE = 15

#: Seconds without a heartbeat from another zone after which the zone counts as
#: unreachable.  Zone heartbeats arrive every 0.6 s, and 0.9 s later if the zone's
#: representative is lost.
ZONE_TIMEOUT = 2.0

#: Maximum seconds from an observation at a host until its zone's representative has
#: sent it: the heartbeats of both take 0.2 s each.
REPORT_DELAY = 0.4

#: Hosts of a zone that read rarely written records from the store.  If one of two
#: readers is lost and not detected yet, the other one continues; more readers would
#: only cost more calls.
READERS_PER_ZONE = 2

#: Seconds without a host in a zone after which hosts of other zones plan for the zone.
#: Restarted hosts return sooner.
ORPHANED_ZONE_DELAY = 5.0

#: Seconds after a pause of this host within which the heartbeats of other hosts show
#: whether one of them plans meanwhile.  Planners send three heartbeats in this time.
TAKEOVER_CHECK_TIME = 0.7


class HostAddress(msgspec.Struct, kw_only=True, frozen=True):
    """The address that an entry host has written into the store."""

    host: str
    address: str
    availability_zone: str


class ForwardingHosts(msgspec.Struct, kw_only=True, frozen=True):
    """The hosts that forward requests for other hosts, in this zone and in others."""

    own_zone: tuple[HostAddress, ...]
    other_zones: tuple[HostAddress, ...]


class HostHeartbeat(msgspec.Struct, kw_only=True, frozen=True):
    """A heartbeat: the state that an entry host reports to other hosts.

    Attributes
    ----------
    boot : int
        Distinguishes the incarnations of a host.
    reads_store : bool
        True while the store answers the host's reads.
    configuration_size : int
        Size in bytes of the configuration in force at the host.
    in_flight_by_server : dict of str to int
        The host's requests in flight at each backend server.
    demand_by_model : dict of str to float
        Work that arrives at the host, in the number of replica groups it keeps busy.
    urgent_demand_by_model : dict of str to float
        Part of ``demand_by_model`` whose routes have the service's most urgent
        priority.
    arrival_rate : float
        Requests a second that arrive at the host; 0 if unknown.
    waiting : tuple of WaitingRow
        Requests of contended services that wait for a slot at the host.
    still : tuple of str
        Heads of groups that are stalled according to the host.
    plans : tuple of str
        Availability zones that the host plans for.
    reshapes : tuple of str
        Zones in which the host disbands a group for another model, or wants to.
    moving : tuple of str
        Heads that other hosts reported as stalled and whose streams progress at this
        host.
    suspicions : tuple of InvolvementRow
        Requests that were in flight when a backend server crashed, or that completed
        since.
    rate_limits : tuple of RateLimitRow
        Rate limits of backend servers, from the answers that the host received.
    wanted_servers : tuple of str
        Backend servers with a rate limit for which the host has requests.
    leaving_servers : tuple of LeavingServerRow
        Backend servers that recently told the host that they are leaving.
    address : str
        Address of the host; a forwarded heartbeat is sent from another address.
    interval : float
        Seconds until the host's next heartbeat.
    for_zone : bool
        True if the host represents its zone: counts and sets are those of the zone.
    n_hosts : int
        Number of hosts that the heartbeat covers.
    evacuated_zones : tuple of str
        Evacuated zones that the host knows.
    operator_position : OperatorPosition
        Position in the operator's topic up to which ``evacuated_zones`` is current.
    store_era : int
        Highest era of the store that the host has seen in answers or heartbeats; 0
        if it has seen none.
    passed_on : bool
        True if another host forwards the heartbeat within that host's zone; a
        forwarded heartbeat is not forwarded again.
    knows_servers : bool
        True once the host knows all backend servers.
    forwards : bool
        True if the host forwards requests of other hosts to backend servers.
    forwarders : tuple of str
        Hosts of a zone that do, in a heartbeat for the zone.
    """

    host: str
    availability_zone: str
    reads_store: bool
    stopping: bool
    configuration_version: int
    boot: int = 0
    sequence: int = 0
    configuration_size: int = 0
    in_flight_by_server: dict[str, int] = msgspec.field(default_factory=dict)
    demand_by_model: dict[str, float] = msgspec.field(default_factory=dict)
    urgent_demand_by_model: dict[str, float] = msgspec.field(default_factory=dict)
    arrival_rate: float = 0.0
    waiting: tuple[WaitingRow, ...] = ()
    still: tuple[str, ...] = ()
    plans: tuple[str, ...] = ()
    reshapes: tuple[str, ...] = ()
    moving: tuple[str, ...] = ()
    suspicions: tuple[InvolvementRow, ...] = ()
    rate_limits: tuple[RateLimitRow, ...] = ()
    wanted_servers: tuple[str, ...] = ()
    leaving_servers: tuple[LeavingServerRow, ...] = ()
    address: str = ""
    interval: float = 0.0
    for_zone: bool = False
    n_hosts: int = 1
    evacuated_zones: tuple[str, ...] = ()
    operator_position: OperatorPosition = OperatorPosition()
    store_era: int = 0
    passed_on: bool = False
    knows_servers: bool = False
    forwards: bool = False
    forwarders: tuple[str, ...] = ()


def urgent_state(heartbeat: HostHeartbeat) -> tuple[object, ...]:
    """Return the fields whose changes other hosts act on immediately.

    They include the stalled groups.  Each host detects stalls by itself, but in a
    large zone a host has a stream at a given group only now and then and would send
    requests to a stalled group for seconds.
    """
    return (
        heartbeat.interval,
        heartbeat.reads_store,
        heartbeat.knows_servers,
        heartbeat.store_era,
        heartbeat.operator_position,
        heartbeat.stopping,
        heartbeat.configuration_version,
        heartbeat.still,
        heartbeat.moving,
        heartbeat.plans,
        heartbeat.reshapes,
        heartbeat.suspicions,
        tuple((row.server_id, row.rate) for row in heartbeat.rate_limits),
        heartbeat.wanted_servers,
        heartbeat.leaving_servers,
        heartbeat.forwards,
        heartbeat.forwarders,
    )


class _Received(msgspec.Struct, kw_only=True):
    """The newest heartbeat of a host and its time of receipt."""

    heartbeat: HostHeartbeat
    received_at: float

    @property
    def silence_timeout(self) -> float:
        """Return the seconds without a heartbeat after which the host times out."""
        return max(HOST_TIMEOUT, TIMEOUT_INTERVALS * self.heartbeat.interval)

    @property
    def no_timeout_before(self) -> float:
        """Return a monotonic time before which the host doesn't time out."""
        return self.received_at + self.silence_timeout - ROUNDING


class HostHeartbeats:
    """Store the newest heartbeat of each of the other entry hosts.

    Parameters
    ----------
    host, zone : str
        Name of this host and its availability zone.
    """

    def __init__(self, *, host: str, zone: str) -> None:
        self._host = host
        self._zone = zone
        self.addresses_by_host: dict[str, HostAddress] = {}
        self._received_by_host: dict[str, _Received] = {}
        self._zone_received_at: dict[str, float] = {}
        self._zone_first_checked_at: dict[str, float] = {}
        self._representative_by_zone: dict[str, str] = {}
        self._n_hosts_by_zone: dict[str, int] = {}
        # No heartbeat times out before this monotonic time.  The check for silent
        # hosts runs a hundred times a second and doesn't scan the heartbeats earlier.
        self._no_timeout_before = float("-inf")
        # Cached heartbeats of this zone's other hosts; None if a heartbeat was
        # received or removed since they were selected.
        self._zone_heartbeats: list[HostHeartbeat] | None = None
        # The sum over all hosts is updated with each heartbeat.  In a large fleet
        # hundreds of heartbeats are received a second, and summing over all hosts for
        # each of them would cost more than everything else.
        self._in_flight: Counter[str] = Counter()
        # Likewise for waiting requests; the rows are None if the counts have changed
        # since they were made.
        self._waiting: Counter[WaitingKind] = Counter()
        self._waiting_rows: tuple[WaitingRow, ...] | None = None

    def record(self, heartbeat: HostHeartbeat, *, address: str, now: float) -> bool:
        """Record a heartbeat and return whether it is newer than the recorded one.

        Parameters
        ----------
        address : str
            Sender's address, which becomes the host's address for requests unless the
            heartbeat contains one.  A host that restarts while the store is
            unreachable learns the addresses of other hosts only from heartbeats.
        """
        if heartbeat.host == self._host:
            return False
        received = self._received_by_host.get(heartbeat.host)
        is_same_boot = (
            received is not None and received.heartbeat.boot == heartbeat.boot
        )
        if is_same_boot and heartbeat.sequence <= received.heartbeat.sequence:
            return False
        self._remove(heartbeat.host)
        if heartbeat.for_zone:
            self._record_representative(heartbeat)
        received = _Received(heartbeat=heartbeat, received_at=now)
        self._received_by_host[heartbeat.host] = received
        self._zone_heartbeats = None
        self._no_timeout_before = min(
            self._no_timeout_before, received.no_timeout_before
        )
        self._in_flight.update(heartbeat.in_flight_by_server)
        for row in heartbeat.waiting:
            self._waiting[row.kind] += row.count
            self._waiting_rows = None
        self._zone_received_at[heartbeat.availability_zone] = now
        self.addresses_by_host[heartbeat.host] = HostAddress(
            host=heartbeat.host,
            address=heartbeat.address or address,
            availability_zone=heartbeat.availability_zone,
        )
        return True

    def _record_representative(self, heartbeat: HostHeartbeat) -> None:
        """Replace the heartbeat of a zone's former representative."""
        zone = heartbeat.availability_zone
        former = self._representative_by_zone.get(zone)
        if former is not None and former != heartbeat.host:
            self._remove(former)
        self._representative_by_zone[zone] = heartbeat.host
        self._n_hosts_by_zone[zone] = heartbeat.n_hosts

    def zone_representative(self, zone: str) -> str | None:
        """Return the last known representative of another zone, or None."""
        return self._representative_by_zone.get(zone)

    def hosts_of(self, zone: str) -> list[str]:
        """Return the sorted names of the known hosts of a zone.

        This host is included if its address is known.  An unreachable or lost host
        is known as long as the store lists it.
        """
        return sorted(
            address.host
            for address in self.addresses_by_host.values()
            if address.availability_zone == zone
        )

    def of_own_zone(self, *, now: float) -> list[HostHeartbeat]:
        """Return the newest heartbeats of the other hosts of this zone.

        Hosts that have timed out are left out.  The caller must not change the list.
        """
        self._remove_silent(now=now)
        if self._zone_heartbeats is None:
            self._zone_heartbeats = [
                received.heartbeat
                for received in self._received_by_host.values()
                if received.heartbeat.availability_zone == self._zone
            ]
        return self._zone_heartbeats

    def ticks_between_heartbeats(
        self, *, now: float, max_hosts: int = MAX_HOSTS_AT_FULL_RATE
    ) -> int:
        """Return the number of ticks between two heartbeats to hosts of this zone.

        Parameters
        ----------
        max_hosts : int
            Number of hosts in a zone up to which each sends one in every tick.
        """
        return math.ceil((1 + len(self.of_own_zone(now=now))) / max_hosts)

    def represents_zone(self, *, planning: bool, now: float) -> bool:
        """Return whether this host represents its zone to the other zones.

        The zone's planner is the representative, since other zones wait for its
        announcements.  Without a planner it is the first host by name.

        Parameters
        ----------
        planning : bool
            Whether this host plans for the zone.
        """
        near = self.of_own_zone(now=now)
        planners = [heartbeat for heartbeat in near if self._zone in heartbeat.plans]
        if planning or planners:
            return planning and all(
                self._host < heartbeat.host for heartbeat in planners
            )
        return all(self._host < heartbeat.host for heartbeat in near)

    def live_heartbeats(self, *, now: float) -> list[HostHeartbeat]:
        """Return the newest heartbeats of all other hosts that have not timed out."""
        self._remove_silent(now=now)
        return [received.heartbeat for received in self._received_by_host.values()]

    def _remove_silent(self, *, now: float) -> None:
        """Remove the heartbeats of hosts that have timed out."""
        if now < self._no_timeout_before:
            return
        next_timeout = math.inf
        for host, received in list(self._received_by_host.items()):
            if now - received.received_at > received.silence_timeout:
                self._remove(host)
            else:
                next_timeout = min(next_timeout, received.no_timeout_before)
        self._no_timeout_before = next_timeout

    def _remove(self, host: str) -> None:
        received = self._received_by_host.pop(host, None)
        if received is None:
            return
        self._zone_heartbeats = None
        for server_id, count in received.heartbeat.in_flight_by_server.items():
            self._in_flight[server_id] -= count
            if not self._in_flight[server_id]:
                del self._in_flight[server_id]
        for row in received.heartbeat.waiting:
            self._waiting_rows = None
            self._waiting[row.kind] -= row.count
            if not self._waiting[row.kind]:
                del self._waiting[row.kind]

    def n_hosts(self, *, now: float) -> int:
        """Return an upper estimate of the number of entry hosts, including this one.

        Hosts that are only unreachable continue to serve.  Hosts that the store lists
        therefore count even if no heartbeats are received from them.
        """
        n_in_zone = 1 + len(self.of_own_zone(now=now))
        n_reported = n_in_zone + sum(self._n_hosts_by_zone.values())
        return max(len(self.addresses_by_host), n_reported)

    def in_flight(self, *, now: float) -> Counter[str]:
        """Return the other hosts' requests in flight at each backend server.

        Later heartbeats change the counter in place; the caller must not change it.
        """
        self._remove_silent(now=now)
        return self._in_flight

    def waiting(self, *, now: float) -> tuple[WaitingRow, ...]:
        """Return the requests that wait at the other hosts, one row for each kind."""
        self._remove_silent(now=now)
        if self._waiting_rows is None:
            self._waiting_rows = waiting_rows(self._waiting)
        return self._waiting_rows

    def oldest_received_at(self, *, now: float) -> float:
        """Return when the oldest heartbeat in use was received, or now without any."""
        self._remove_silent(now=now)
        # Each heartbeat is put at the end when it is recorded.  A search of all hosts
        # for each of hundreds of heartbeats a second would cost more than the rest.
        oldest = next(iter(self._received_by_host.values()), None)
        return now if oldest is None else oldest.received_at

    def have_reported_since(self, at: float, *, now: float) -> bool:
        """Return whether each live host has reported what it had observed by a time."""
        return self.oldest_received_at(now=now) >= min(now, at + REPORT_DELAY)

    def turn(self, *, now: float) -> int:
        """Return this host's place in an order of all hosts, from 0.

        Each host computes its place by itself; hosts of zones that can't reach each
        other may have the same one.
        """
        zones = sorted({self._zone, *self._n_hosts_by_zone})
        names = [heartbeat.host for heartbeat in self.of_own_zone(now=now)]
        place = sum(name < self._host for name in names)
        return place * len(zones) + zones.index(self._zone)

    def forwarding_hosts(self, *, now: float) -> ForwardingHosts:
        """Return the hosts whose addresses are known and that forward requests."""
        others = [
            name
            for heartbeat in self.live_heartbeats(now=now)
            if heartbeat.availability_zone != self._zone
            for name in heartbeat.forwarders
        ]
        return ForwardingHosts(
            own_zone=self._known_addresses(
                heartbeat.host
                for heartbeat in self.of_own_zone(now=now)
                if heartbeat.forwards
            ),
            other_zones=self._known_addresses(others),
        )

    def _known_addresses(self, hosts: Iterable[str]) -> tuple[HostAddress, ...]:
        by_host = self.addresses_by_host
        return tuple(by_host[host] for host in hosts if host in by_host)

    def is_host_address(self, ip: str) -> bool:
        """Return whether an IP address is that of a known entry host."""
        return any(
            address.address.rpartition(":")[0] == ip
            for address in self.addresses_by_host.values()
        )

    def demand(self, *, now: float) -> Counter[str]:
        """Return the work that arrives at the other hosts by model, in busy groups."""
        total: Counter[str] = Counter()
        for heartbeat in self.live_heartbeats(now=now):
            total.update(heartbeat.demand_by_model)
        return total

    def urgent_demand(self, *, now: float) -> Counter[str]:
        """Return the part of ``demand`` that is urgent, by model."""
        total: Counter[str] = Counter()
        for heartbeat in self.live_heartbeats(now=now):
            total.update(heartbeat.urgent_demand_by_model)
        return total

    def still(self, *, now: float) -> set[str]:
        """Return the heads of groups that other hosts report as stalled."""
        return {
            head
            for heartbeat in self.live_heartbeats(now=now)
            for head in heartbeat.still
        }

    def moving(self, *, now: float) -> set[str]:
        """Return the heads reported as stalled whose streams progress at other hosts.

        Any host may have reported the stall.
        """
        return {
            head
            for heartbeat in self.live_heartbeats(now=now)
            for head in heartbeat.moving
        }

    def unreachable_zones(self, *, now: float) -> set[str]:
        """Return the other zones from which heartbeats are no longer received."""
        return {
            zone
            for zone, received_at in self._zone_received_at.items()
            if zone != self._zone and now - received_at > ZONE_TIMEOUT
        }

    def reshaped_zones(self, *, now: float) -> set[str]:
        """Return the zones in which other planners disband groups, or want to."""
        return {
            zone
            for heartbeat in self.live_heartbeats(now=now)
            for zone in heartbeat.reshapes
        }

    def reads_for_zone(self, *, reads_store: bool, now: float) -> bool:
        """Return whether this host is one of the hosts that read for their zone.

        Each call to the store is charged, and if every host waited on every topic the
        number of calls would grow with the number of hosts.  The first hosts by name
        that reach the store read for their zone; when one of them times out, the
        next host takes over.  A host that doesn't reach the store continues to try,
        since otherwise no host would notice the return of the store.
        """
        if not reads_store:
            return True
        return self._is_among_first(
            heartbeat
            for heartbeat in self.of_own_zone(now=now)
            if heartbeat.reads_store
        )

    def is_among_first(self, *, now: float) -> bool:
        """Return whether this host is among the first of its zone by name.

        The first ``READERS_PER_ZONE`` hosts count, whether they reach the store or not;
        stopping hosts are left out.
        """
        return self._is_among_first(self.of_own_zone(now=now))

    def _is_among_first(self, heartbeats: Iterable[HostHeartbeat]) -> bool:
        """Return whether fewer than ``READERS_PER_ZONE`` hosts precede this one.

        Hosts are ordered by name, and stopping hosts are not counted.
        """
        before = [
            heartbeat
            for heartbeat in heartbeats
            if not heartbeat.stopping and heartbeat.host < self._host
        ]
        return len(before) < READERS_PER_ZONE

    def plans_for(
        self,
        zone: str,
        *,
        planning: bool,
        reads_store: bool,
        now: float,
        resumed_at: float = float("-inf"),
    ) -> bool:
        """Return whether this host is to plan for a zone.

        A host that plans already continues, unless another planner reaches the store
        and either this host doesn't reach the store or the other planner's name sorts
        first.
        A change of planner costs a second without repairs, and groups that lost a
        member must also be ended while the store is unreachable.  A host that could
        plan but doesn't yet is no reason to stop: it may lose the store before it
        starts, and the zone would have no planner.

        A host that doesn't plan yet starts if no planner reaches the store and this
        host is the first by name of the zone's hosts that reach the store.  If the zone
        has had no host for ``ORPHANED_ZONE_DELAY``, the first host of all zones plans
        for it.  Stopping hosts are not counted.  Two hosts may plan at the same time;
        the store accepts the decisions of only one.

        For ``TAKEOVER_CHECK_TIME`` after a pause this host doesn't start, and yields to
        any other planner: that one knows what it has ordered during the pause.

        Parameters
        ----------
        planning : bool
            Whether this host plans for the zone already.
        resumed_at : float
            Monotonic time of the end of this host's last pause.
        """
        if not (reads_store or planning):
            return False
        heartbeats = self.of_own_zone(now=now)
        if zone != self._zone:
            first_checked_at = self._zone_first_checked_at.setdefault(zone, now)
            silent_since = self._zone_received_at.get(zone, first_checked_at)
            if not planning:
                silent_since = max(silent_since, resumed_at)
            if now - silent_since < ORPHANED_ZONE_DELAY:
                return False
            heartbeats = self.live_heartbeats(now=now)
        candidates = [
            heartbeat
            for heartbeat in heartbeats
            if heartbeat.reads_store and not heartbeat.stopping
        ]
        other_planners = [
            heartbeat for heartbeat in candidates if zone in heartbeat.plans
        ]
        if now - resumed_at < TAKEOVER_CHECK_TIME:
            return planning and not other_planners
        if not planning:
            return not other_planners and all(
                self._host < heartbeat.host for heartbeat in candidates
            )
        comes_first = all(self._host < heartbeat.host for heartbeat in other_planners)
        return not other_planners or (reads_store and comes_first)
