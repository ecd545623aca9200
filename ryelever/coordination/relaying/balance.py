"""Choose the backend server of each relayed request."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from ...state.directory import GroupState
from .levelling import ServerLoad, UnreportedRequests, spread
from .rate_limits import Allowance, ServerRateLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.directory import BackendServer, Directory

__all__ = ["Balancer", "ServerRecord"]

#: Requests that wait at a backend server beside those that it works on.  They wait
#: for less than one of them takes, and no place idles while word of it is under way.
WAITING_AT_SERVER = 2

#: Requests in flight by which a backend server of another availability zone counts
#: as more loaded: the way there and back costs a few milliseconds and bytes that are
#: paid for.
OTHER_ZONE = 1.5

#: The same, in places of a server, for one of a zone none of whose hosts is heard: it
#: comes after all others that have a place.
UNREACHABLE_ZONE = 2.0

#: Backend servers that are looked at for one request, and those of other zones among
#: them at the least.  Each that is looked at takes processor time, and a drawn part of
#: the far ones tells as well where there is room.
MAX_CANDIDATES = 64
MIN_FAR_CANDIDATES = 16

#: Seconds for which a backend server that failed to answer is left alone, the
#: first time and at most; doubled at each failure without a success between.
FIRST_AVOIDANCE = 0.5
MAX_AVOIDANCE = 4.0

#: Seconds for which a backend server that disowned a request is left alone while its
#: entry stays the same.  During an outage of the store entries go stale, and each
#: request that is sent there nevertheless uses up one of its attempts and of the
#: repeats that all hosts share.
DISOWNED_FOR = 10.0

#: Seconds for which a group that stands still is left alone.  If a member is lost, it
#: is ended within that time; if it was only held up, an event ends the avoidance.
STALL_AVOIDANCE = 2.5


class ServerRecord(msgspec.Struct, kw_only=True):
    """Hold what this host has seen of one backend server.

    Attributes
    ----------
    n_failures : int
        Failures in a row.
    avoided_until : float
        Monotonic time until which it gets nothing.
    server : BackendServer or None
        The incarnation that the failures belong to.
    disowned, disowned_until
        The entry under which it said that it is another incarnation or no head, and
        the monotonic time until which that is believed.
    """

    in_flight: int = 0
    n_failures: int = 0
    avoided_until: float = 0.0
    server: BackendServer | None = None
    disowned: BackendServer | None = None
    disowned_until: float = 0.0


class Balancer:
    """Choose the least loaded backend server that can run a request.

    Load is what this host has in flight there, and what its peers told.

    Parameters
    ----------
    zone : str
        This host's availability zone.
    cold_rate : callable
        Return the requests a second that a cold server of a service bears, or None.
    is_evacuated : callable
        Tell whether the servers of an availability zone are to get nothing new.
    seed : int or None
        Seed of the draws.

    Attributes
    ----------
    unreachable_zones : set of str
        Zones none of whose hosts is heard, as when a zone is cut off.  Each of their
        servers would cost a request one of its attempts before it was avoided.
    limits : ServerRateLimits
        The rate limits that servers name.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        zone: str,
        cold_rate: Callable[[str], float | None] = lambda service: None,
        is_evacuated: Callable[[str], bool] = lambda zone: False,
        seed: int | None = None,
    ) -> None:
        self._directory = directory
        self._zone = zone
        self._is_evacuated = is_evacuated
        self.records_by_id: dict[str, ServerRecord] = {}
        self.peers_in_flight_by_id: Counter[str] = Counter()
        self.unreachable_zones: set[str] = set()
        self.limits = ServerRateLimits(directory=directory, cold_rate=cold_rate)
        self._unreported = UnreportedRequests()
        self._random = random.Random(seed)
        self._seen_changes = -1
        self._candidates_by_work: dict[tuple[str, str], list[BackendServer]] = {}

    def record(self, server_id: str) -> ServerRecord:
        """Return the record of a backend server, a new one if there is none."""
        record = self.records_by_id.get(server_id)
        if record is None:
            server = self._directory.by_id.get(server_id)
            record = self.records_by_id[server_id] = ServerRecord(server=server)
        return record

    def candidates(self, service: str, model: str) -> list[BackendServer]:
        """Return the backend servers that can run such work."""
        if self._seen_changes != self._directory.n_changes:
            self._seen_changes = self._directory.n_changes
            self._candidates_by_work.clear()
            self._forget_former()
        found = self._candidates_by_work.get((service, model))
        if found is None:
            found = [
                server
                for server in self._directory.of_service(service)
                if not server.draining and _runs(server, model)
            ]
            self._candidates_by_work[service, model] = found
        return found

    def choose(
        self, service: str, model: str, *, excluded: set[str], now: float
    ) -> BackendServer | None:
        """Return a backend server with a place, if there is one.

        The least loaded one, where no other host sends unheard.  Else it is drawn so
        that all hosts together level out the loads: had each sent to the one that it
        takes for the least loaded, that one would be full before any of them heard.
        """
        candidates = self.candidates(service, model)
        looked_at = self._looked_at(candidates)
        options = self._options(looked_at, excluded=excluded, now=now)
        if not options and looked_at is not candidates:
            options = self._options(candidates, excluded=excluded, now=now)
        if not options:
            return None
        # The request that is to be sent counts as well: while nothing is in flight all
        # hosts would take the same server for the least loaded.
        n_in_flight = 1 + sum(option.in_flight for option in options)
        near, far = self._unreported.expected((service, model), n_in_flight=n_in_flight)
        weights = spread(options, near=near, far=far, distance=OTHER_ZONE)
        if near == far == 0.0:
            return options[weights.index(max(weights))].server
        return self._random.choices(options, weights)[0].server

    def limited_allowance(
        self,
        service: str,
        model: str,
        *,
        excluded: set[str],
        seconds: float,
        now: float,
    ) -> Allowance | None:
        """Return what may be sent for such work soon, where rate limits bound it.

        None where a server that names no limit can run it, or none can.
        """
        total = None
        for server in self.candidates(service, model):
            if server.id in excluded or self._is_evacuated(server.availability_zone):
                continue
            allowance = self.limits.allowance(server.id, seconds=seconds, now=now)
            if allowance is None:
                return None
            total = allowance if total is None else total + allowance
        return total

    def hear(self, *, interval: float, n_near: int, n_hosts: int) -> None:
        """Take how often and from how many hosts words come.

        Parameters
        ----------
        interval : float
            Seconds between two words of a host of this zone.
        n_near, n_hosts : int
            Other hosts of this zone, and all hosts.
        """
        self._unreported.hear(interval=interval, n_near=n_near, n_hosts=n_hosts)

    def sent(self, server_id: str) -> None:
        """Count a request that is under way to a backend server."""
        self.record(server_id).in_flight += 1

    def ended(self, server_id: str) -> None:
        """Count a request out."""
        record = self.records_by_id.get(server_id)
        if record is not None and record.in_flight > 0:
            record.in_flight -= 1

    def took(self, service: str, model: str, seconds: float) -> None:
        """Take for how long a request was under way at its server."""
        self._unreported.took((service, model), seconds)

    def times_under_way(self) -> dict[str, float]:
        """Return for how many seconds requests are under way, by service and model."""
        return self._unreported.times_by_work()

    def succeeded(self, server_id: str) -> None:
        """Forget the failures of a backend server."""
        record = self.record(server_id)
        record.n_failures = 0
        record.avoided_until = 0.0

    def failed(self, server_id: str, *, now: float) -> None:
        """Leave a backend server alone for a while, longer each time."""
        record = self.record(server_id)
        if now < record.avoided_until:
            # What was sent before the failure showed fails with it.
            return
        record.n_failures += 1
        pause = FIRST_AVOIDANCE * 2 ** (record.n_failures - 1)
        record.avoided_until = now + min(MAX_AVOIDANCE, pause)

    def disowned(self, server_id: str, *, now: float) -> None:
        """Send nothing to a server that its entry describes wrongly."""
        record = self.record(server_id)
        record.disowned = self._directory.by_id.get(server_id)
        record.disowned_until = now + DISOWNED_FOR

    def mark_stalled(self, server_id: str, *, now: float) -> None:
        """Leave a group alone in which nothing moves."""
        record = self.record(server_id)
        record.avoided_until = max(record.avoided_until, now + STALL_AVOIDANCE)

    def clear_stall(self, server_id: str) -> None:
        """Take word that something moves in a group."""
        record = self.records_by_id.get(server_id)
        if record is not None and record.avoided_until:
            record.avoided_until = 0.0

    def _looked_at(self, candidates: list[BackendServer]) -> list[BackendServer]:
        """Return all candidates, or those of this zone and some of the others."""
        if len(candidates) <= MAX_CANDIDATES:
            return candidates
        parts: tuple[list[BackendServer], list[BackendServer]] = ([], [])
        for server in candidates:
            parts[server.availability_zone != self._zone].append(server)
        near, far = parts
        n_far = max(MIN_FAR_CANDIDATES, MAX_CANDIDATES - len(near))
        return near + self._random.sample(far, min(n_far, len(far)))

    def _options(
        self, servers: list[BackendServer], *, excluded: set[str], now: float
    ) -> list[ServerLoad]:
        """Return the loads of those that have a place."""
        return [
            option
            for server in servers
            if server.id not in excluded
            and (option := self._option(server, now=now)) is not None
        ]

    def _option(self, server: BackendServer, *, now: float) -> ServerLoad | None:
        """Return what is known of a server's load, unless it gets nothing now."""
        if self._is_evacuated(server.availability_zone):
            return None
        record = self.records_by_id.get(server.id)
        in_flight = self.peers_in_flight_by_id[server.id]
        if record is not None:
            disowned = server is record.disowned and now < record.disowned_until
            if disowned or now < record.avoided_until:
                return None
            in_flight += record.in_flight
        n_places = server.slots + WAITING_AT_SERVER
        if in_flight >= n_places or not self.limits.allows(server.id, now=now):
            return None
        zone = server.availability_zone
        is_unheard = zone in self.unreachable_zones
        return ServerLoad(
            server=server,
            is_near=zone == self._zone,
            in_flight=in_flight,
            load=in_flight + (UNREACHABLE_ZONE * n_places if is_unheard else 0.0),
        )

    def _forget_former(self) -> None:
        """Forget what was seen of servers that are gone, or were started anew."""
        for server_id, record in list(self.records_by_id.items()):
            server = self._directory.by_id.get(server_id)
            if server is None:
                if record.in_flight == 0:
                    del self.records_by_id[server_id]
            elif record.server is None:
                record.server = server
            elif not server.is_same_incarnation(record.server):
                record.server = server
                record.n_failures = 0
                record.avoided_until = 0.0


def _runs(server: BackendServer, model: str) -> bool:
    """Tell whether a backend server takes requests for a model, or plain ones."""
    if not model:
        return True
    group = server.group
    if group is None or group.rank != 0 or group.state is not GroupState.OPEN:
        return False
    return model in server.models
