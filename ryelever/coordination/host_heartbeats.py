"""Keep what the other entry hosts said last, and decide who plans for a zone."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from .evacuations import OperatorPosition

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..state.observations import RateLimitRow, SuspicionRow

__all__ = ["HostAddress", "HostHeartbeat", "HostHeartbeats", "urgent_state"]

#: Least seconds of silence after which an entry host counts as gone.  The words of
#: those that others rely on come every 0.2 s, and four in a row are not lost by
#: chance.
HOST_SILENCE = 0.9

#: The same in intervals of a host's own words, where these are longer.  Words of it
#: are missed by nobody for two of them; its requests count on meanwhile.
SILENT_INTERVALS = 2.5

#: Seconds by which sums of times may be off.
ROUNDING = 1e-6

#: Hosts of a zone up to which each tells each other of its requests in every tick.
#: Of more of them each does so less often, so that a host hears no more than of as
#: many: 70 words a second, each of which takes a tenth of a millisecond to read.
FREQUENT_HOSTS = 15

#: Seconds without a word for another zone after which it counts as cut off.  They come
#: every 0.6 s, and 0.9 s later where the host that speaks for it is lost.
ZONE_SILENCE = 2.0

#: Hosts of a zone that read what is rarely written.  While one of two is silent and
#: not yet missed, the other goes on; more would only cost more calls.
READERS = 2

#: Seconds without a host of its own after which others plan for a zone: hosts that
#: are restarted are back sooner.
ORPHANED = 5.0


class HostAddress(msgspec.Struct, kw_only=True, frozen=True):
    """Say where an entry host is reached, as it has written into the store."""

    host: str
    address: str
    availability_zone: str


class HostHeartbeat(msgspec.Struct, kw_only=True, frozen=True):
    """Hold what one entry host says of itself.

    Attributes
    ----------
    boot : int
        Distinguishes the incarnations of a host.
    reads_store : bool
        True while its reads of the store are answered.
    configuration_size : int
        Bytes of the configuration in force there.
    in_flight_by_server : dict of str to int
        Its requests at each backend server.
    demand_by_model : dict of str to float
        Work that arrives there, in replica groups kept busy.
    still : tuple of str
        Heads whose groups stand still as it sees them.
    plans : tuple of str
        Availability zones that it plans for.
    reshapes : tuple of str
        Those in which it takes a group apart for another model, or wants to.
    moving : tuple of str
        Heads that others saw stand still, and whose streams go on there.
    suspicions : tuple of SuspicionRow
        Requests that were in crashes of backend servers there, or completed since.
    rate_limits : tuple of RateLimitRow
        What answers that it got said of backend servers' rate limits.
    wanted_servers : tuple of str
        Backend servers with a rate limit that it has requests for.
    address : str
        Where the host is reached; a word that is passed on comes from elsewhere.
    interval : float
        Seconds until its next word.
    for_zone : bool
        True where it speaks for its zone, so that sums and sets are the zone's.
    n_hosts : int
        Hosts that it speaks for.
    evacuated_zones : tuple of str
        Zones that are evacuated, as far as it knows.
    operator_position : OperatorPosition
        Up to where the operator's topic was read for that.
    store_era : int
        Highest era of the store that it has seen or heard of; 0 before any.
    passed_on : bool
        True where another host passes it on within its own zone; it goes no further.
    knows_servers : bool
        True once it knows all backend servers.
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
    still: tuple[str, ...] = ()
    plans: tuple[str, ...] = ()
    reshapes: tuple[str, ...] = ()
    moving: tuple[str, ...] = ()
    suspicions: tuple[SuspicionRow, ...] = ()
    rate_limits: tuple[RateLimitRow, ...] = ()
    wanted_servers: tuple[str, ...] = ()
    address: str = ""
    interval: float = 0.0
    for_zone: bool = False
    n_hosts: int = 1
    evacuated_zones: tuple[str, ...] = ()
    operator_position: OperatorPosition = OperatorPosition()
    store_era: int = 0
    passed_on: bool = False
    knows_servers: bool = False


def urgent_state(heartbeat: HostHeartbeat) -> tuple[object, ...]:
    """Return the part of a word that others act on at once when it changes.

    Each host notices by itself that a group stands still, but in a large zone a host
    has a stream there only now and then: it would send requests there for seconds.
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
    )


class _Received(msgspec.Struct, kw_only=True):
    """Hold the newest word of one host and when it came."""

    heartbeat: HostHeartbeat
    heard_at: float

    @property
    def patience(self) -> float:
        """Return the seconds of silence after which the host counts as gone."""
        return max(HOST_SILENCE, SILENT_INTERVALS * self.heartbeat.interval)

    @property
    def lapses_after(self) -> float:
        """Return a monotonic time until which the host doesn't count as gone."""
        return self.heard_at + self.patience - ROUNDING


class HostHeartbeats:
    """Hold the words of all other entry hosts.

    Parameters
    ----------
    host, zone : str
        This host and its availability zone.
    """

    def __init__(self, *, host: str, zone: str) -> None:
        self._host = host
        self._zone = zone
        self.addresses_by_host: dict[str, HostAddress] = {}
        self._heard_by_host: dict[str, _Received] = {}
        self._zone_received_at: dict[str, float] = {}
        self._zone_asked_at: dict[str, float] = {}
        self._representative_by_zone: dict[str, str] = {}
        self._n_hosts_by_zone: dict[str, int] = {}
        # Who is heard is asked a hundred times a second.  No word lapses before this
        # moment, so that until then no word has to be looked at for that.
        self._none_lapses_before = float("-inf")
        # The words of this zone; None once one has come or lapsed since they were
        # picked.
        self._near: list[HostHeartbeat] | None = None
        # Words come hundreds of times a second in a large fleet, and summing over all
        # hosts at each would cost more than all else; so the sum is kept.
        self._in_flight: Counter[str] = Counter()

    def take(self, heartbeat: HostHeartbeat, *, address: str, now: float) -> bool:
        """Take a word; tell whether it is newer than the one that is known.

        Parameters
        ----------
        address : str
            Where it came from, and where its host is asked.  A host that was started
            anew while the store is away learns of the others only this way.
        """
        if heartbeat.host == self._host:
            return False
        heard = self._heard_by_host.get(heartbeat.host)
        same = heard is not None and heard.heartbeat.boot == heartbeat.boot
        if same and heartbeat.sequence <= heard.heartbeat.sequence:
            return False
        self._forget(heartbeat.host)
        if heartbeat.for_zone:
            self._record_representative(heartbeat)
        heard = _Received(heartbeat=heartbeat, heard_at=now)
        self._heard_by_host[heartbeat.host] = heard
        self._near = None
        self._none_lapses_before = min(self._none_lapses_before, heard.lapses_after)
        self._in_flight.update(heartbeat.in_flight_by_server)
        self._zone_received_at[heartbeat.availability_zone] = now
        self.addresses_by_host[heartbeat.host] = HostAddress(
            host=heartbeat.host,
            address=heartbeat.address or address,
            availability_zone=heartbeat.availability_zone,
        )
        return True

    def _record_representative(self, heartbeat: HostHeartbeat) -> None:
        """Let a word for a zone take the place of the former speaker's."""
        zone = heartbeat.availability_zone
        former = self._representative_by_zone.get(zone)
        if former is not None and former != heartbeat.host:
            self._forget(former)
        self._representative_by_zone[zone] = heartbeat.host
        self._n_hosts_by_zone[zone] = heartbeat.n_hosts

    def zone_representative(self, zone: str) -> str | None:
        """Return the host that spoke last for another zone, if one ever did."""
        return self._representative_by_zone.get(zone)

    def hosts_of(self, zone: str) -> list[str]:
        """Return the known hosts of a zone by name, this one included if it is known.

        A host that is cut off or lost is known, as the store lists it.
        """
        return sorted(
            address.host
            for address in self.addresses_by_host.values()
            if address.availability_zone == zone
        )

    def near(self, *, now: float) -> list[HostHeartbeat]:
        """Return the newest words of the other hosts of this zone.

        The list is not to be changed by who asks.
        """
        self._forget_silent(now=now)
        if self._near is None:
            self._near = [
                heard.heartbeat
                for heard in self._heard_by_host.values()
                if heard.heartbeat.availability_zone == self._zone
            ]
        return self._near

    def ticks_between_heartbeats(self, *, now: float) -> int:
        """Return how many ticks lie between two words to the hosts of this zone."""
        return math.ceil((1 + len(self.near(now=now))) / FREQUENT_HOSTS)

    def represents_zone(self, *, planning: bool, now: float) -> bool:
        """Tell whether this host speaks for its zone to the others.

        The zone's planner does, as what it announces is what others wait for; else
        the first by name.

        Parameters
        ----------
        planning : bool
            Whether this host plans for the zone.
        """
        near = self.near(now=now)
        planners = [heartbeat for heartbeat in near if self._zone in heartbeat.plans]
        if planning or planners:
            return planning and all(
                self._host < heartbeat.host for heartbeat in planners
            )
        return all(self._host < heartbeat.host for heartbeat in near)

    def living(self, *, now: float) -> list[HostHeartbeat]:
        """Return the newest words of the hosts that are heard."""
        self._forget_silent(now=now)
        return [heard.heartbeat for heard in self._heard_by_host.values()]

    def _forget_silent(self, *, now: float) -> None:
        """Forget the hosts whose words have lapsed."""
        if now < self._none_lapses_before:
            return
        next_lapse = math.inf
        for host, heard in list(self._heard_by_host.items()):
            if now - heard.heard_at > heard.patience:
                self._forget(host)
            else:
                next_lapse = min(next_lapse, heard.lapses_after)
        self._none_lapses_before = next_lapse

    def _forget(self, host: str) -> None:
        heard = self._heard_by_host.pop(host, None)
        if heard is None:
            return
        self._near = None
        for server_id, count in heard.heartbeat.in_flight_by_server.items():
            self._in_flight[server_id] -= count
            if not self._in_flight[server_id]:
                del self._in_flight[server_id]

    def n_hosts(self, *, now: float) -> int:
        """Return how many entry hosts there may be, this one included.

        Those that are only cut off go on serving, so the ones that the store lists
        count though they are not heard.
        """
        n_near = 1 + len(self.near(now=now))
        n_told = n_near + sum(self._n_hosts_by_zone.values())
        return max(len(self.addresses_by_host), n_told)

    def in_flight(self, *, now: float) -> Counter[str]:
        """Return the other hosts' requests at each backend server.

        It changes with later words, and is not to be changed by who asks.
        """
        self._forget_silent(now=now)
        return self._in_flight

    def demand(self, *, now: float) -> Counter[str]:
        """Return the work that arrives at the other hosts, by model."""
        total: Counter[str] = Counter()
        for heartbeat in self.living(now=now):
            total.update(heartbeat.demand_by_model)
        return total

    def still(self, *, now: float) -> set[str]:
        """Return the heads whose groups stand still as other hosts see them."""
        return {head for heartbeat in self.living(now=now) for head in heartbeat.still}

    def moving(self, *, now: float) -> set[str]:
        """Return the heads whose streams go on at other hosts, of those in doubt."""
        return {head for heartbeat in self.living(now=now) for head in heartbeat.moving}

    def unreachable_zones(self, *, now: float) -> set[str]:
        """Return the other zones whose hosts were heard once and are no more."""
        return {
            zone
            for zone, heard_at in self._zone_received_at.items()
            if zone != self._zone and now - heard_at > ZONE_SILENCE
        }

    def reshaping(self, *, now: float) -> set[str]:
        """Return the zones in which other planners take groups apart."""
        return {
            zone for heartbeat in self.living(now=now) for zone in heartbeat.reshapes
        }

    def reads_for_zone(self, *, reads_store: bool, now: float) -> bool:
        """Tell whether this host is one of those that read the store for their zone.

        Each call to the store is paid for, and with each host waiting on each topic
        calls grow with the number of hosts.  The first by name of the zone's hosts
        that reach the store read for it; the next one takes over when a word of one
        of them is missing.  A host that doesn't reach the store goes on trying, or
        nobody would notice that it is back.
        """
        if not reads_store:
            return True
        return self._is_among_first(
            heartbeat for heartbeat in self.near(now=now) if heartbeat.reads_store
        )

    def is_among_first(self, *, now: float) -> bool:
        """Tell whether this host would read for its zone if none reached the store."""
        return self._is_among_first(self.near(now=now))

    def _is_among_first(self, heartbeats: Iterable[HostHeartbeat]) -> bool:
        """Tell whether fewer than two of some hosts that stay come before this one."""
        before = [
            heartbeat
            for heartbeat in heartbeats
            if not heartbeat.stopping and heartbeat.host < self._host
        ]
        return len(before) < READERS

    def plans_for(
        self, zone: str, *, planning: bool, reads_store: bool, now: float
    ) -> bool:
        """Tell whether this host is the one to plan for a zone.

        Who plans goes on unless it doesn't reach the store and another does that
        plans already: a change of planner costs a second in which nothing is mended,
        and while the store is away groups that lost a member are still to be ended.
        That another could plan isn't enough: it may lose the store before it begins,
        and nobody would plan.  Else it is the first by name of the zone's hosts that
        reach the store, and where the zone has had none for a while, the first of
        all.  Two may believe so at once; the store takes the decisions of one only.

        Parameters
        ----------
        planning : bool
            Whether this host plans for the zone already.
        """
        if not (reads_store or planning):
            return False
        heard = self.near(now=now)
        if zone != self._zone:
            first_asked_at = self._zone_asked_at.setdefault(zone, now)
            heard_at = self._zone_received_at.get(zone, first_asked_at)
            if now - heard_at < ORPHANED:
                return False
            heard = self.living(now=now)
        able = [
            heartbeat
            for heartbeat in heard
            if heartbeat.reads_store and not heartbeat.stopping
        ]
        rivals = [heartbeat for heartbeat in able if zone in heartbeat.plans]
        if not planning:
            return not rivals and all(self._host < heartbeat.host for heartbeat in able)
        comes_first = all(self._host < heartbeat.host for heartbeat in rivals)
        return not rivals or (reads_store and comes_first)
