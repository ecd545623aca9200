"""Choose the backend server of each relayed request."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING, Protocol

import msgspec

from ...state.directory import GroupState
from .levelling import ServerLoad, UnreportedRequests, spread_weights
from .rate_limits import Allowance, ServerRateLimits
from .server_pauses import ServerPauses

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from ...state.directory import BackendServer, Directory
    from ...state.leaving import LeavingServerRow
    from ...state.observations import WaitingRow

__all__ = ["Balancer", "RoomLimit", "ServerRecord"]

#: Requests that may be queued at a backend server in addition to those it runs. They
#: wait for less time than one request takes, and no slot stays idle while the report
#: that it is free is in transit.
QUEUED_PER_SERVER = 2

#: Penalty for a backend server of another availability zone, as a number of requests in
#: flight. The round trip costs a few milliseconds, and the transferred bytes are
#: charged for.
REMOTE_ZONE_PENALTY = 1.5

#: Penalty for a server that only other hosts reach, as a number of requests in flight:
#: each request takes time at this host and at the one that forwards it.
FORWARDING_PENALTY = 1.5

#: Penalty for a server in a zone from whose hosts no heartbeats are received, as a
#: multiple of the server's capacity. Such a server is chosen only after all others that
#: have a free slot.
UNREACHABLE_ZONE_PENALTY = 2.0

#: Maximum number of backend servers that are all examined for a request. If there are
#: more, all servers of this zone are examined, and a random sample of the others: as
#: many as are missing from this number, but at least ``MIN_REMOTE_CANDIDATES``.
#: Examining a server takes processor time, and a sample is enough to find free slots.
#: If no examined server has a free slot, all servers are examined.
SAMPLING_THRESHOLD = 64
MIN_REMOTE_CANDIDATES = 16

#: Seconds for which a backend server that failed to answer is avoided: after the first
#: failure, and at most. The time doubles with each failure until a success.
FIRST_AVOIDANCE = 0.5
MAX_AVOIDANCE = 4.0

#: Seconds for which a backend server that answered that its directory entry is wrong is
#: avoided while the entry stays the same. Entries become stale during an outage of the
#: store, and each request sent to such a server uses up one of its attempts and part of
#: the retry budget that all hosts share.
STALE_ENTRY_AVOIDANCE = 10.0

#: Seconds for which a stalled group is avoided. If a member has been lost, the group is
#: ended within that time; if the group was only delayed, its next event ends the
#: avoidance.
STALL_AVOIDANCE = 2.5


class ServerRecord(msgspec.Struct, kw_only=True):
    """Observations of one backend server by this host.

    Attributes
    ----------
    in_flight : int
        Requests that this host has in flight at the server.
    n_failures : int
        Consecutive failures.
    failed_at : float
        Monotonic time of the last failure.
    avoided_until : float
        Monotonic time until which the server gets no requests because it failed.
    stalled_until : float
        Monotonic time until which it gets none because its group stalled.
    server : BackendServer or None
        The incarnation to which the failures belong.
    stale_entry : BackendServer or None
        The directory entry under which a server answered that it isn't the server or
        incarnation that the request names.
    stale_until : float
        Monotonic time until which that entry counts as stale.
    """

    in_flight: int = 0
    n_failures: int = 0
    failed_at: float = float("-inf")
    avoided_until: float = 0.0
    stalled_until: float = 0.0
    server: BackendServer | None = None
    stale_entry: BackendServer | None = None
    stale_until: float = 0.0


class RoomLimit(Protocol):
    """Limit the requests in flight at servers, for one request."""

    def with_room(self, loads: list[ServerLoad], *, scale: float) -> list[ServerLoad]:
        """Return the servers to which the request may be sent now.

        Parameters
        ----------
        loads : list of ServerLoad
            The servers that may get requests, whether they have free slots or not.
        scale : float
            Number of all servers in proportion to those examined.
        """


class Balancer:
    """Choose the least loaded backend server that can run a request.

    The load of a server is the number of requests that this host has in flight there,
    plus the number that other entry hosts report.

    Parameters
    ----------
    zone : str
        This host's availability zone.
    cold_rate : callable
        Return the requests a second that a cold server of a service can take, or None
        for no limit.
    is_evacuated : callable
        Return whether the servers of an availability zone get no new requests.
    needs_forwarding : callable
        Return whether requests to a server must go by way of another host.
    seed : int or None
        Seed of the random choices.

    Attributes
    ----------
    directory : Directory
        The listed backend servers.
    unreachable_zones : set of str
        Zones from whose hosts no heartbeats are received, for example after a network
        partition. Each of their servers would cost a request one of its attempts before
        the server was avoided.
    limits : ServerRateLimits
        The rate limits that apply to servers.
    pauses : ServerPauses
        The pauses that servers have asked this host for.
    peers_waiting : tuple of WaitingRow
        Requests that wait for slots at other entry hosts, as these reported.
    peers_view_at : float or None
        Monotonic time at which the oldest of these reports was received.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        zone: str,
        cold_rate: Callable[[str], float | None] = lambda service: None,
        is_evacuated: Callable[[str], bool] = lambda zone: False,
        needs_forwarding: Callable[[BackendServer], bool] = lambda server: False,
        seed: int | None = None,
    ) -> None:
        self._needs_forwarding = needs_forwarding
        self.directory = directory
        self._zone = zone
        self._is_evacuated = is_evacuated
        self.records_by_id: dict[str, ServerRecord] = {}
        self.peers_in_flight_by_id: Counter[str] = Counter()
        self.unreachable_zones: set[str] = set()
        self.limits = ServerRateLimits(directory=directory, cold_rate=cold_rate)
        self.pauses = ServerPauses(directory=directory)
        self.peers_waiting: tuple[WaitingRow, ...] = ()
        self.peers_view_at: float | None = None
        self._unreported = UnreportedRequests()
        self._random = random.Random(seed)
        # Contended services draw from a generator of their own, so that the draws for
        # all other services don't depend on them.
        self._room_random = random.Random(seed)
        self._seen_changes = -1
        self._candidates_by_work: dict[tuple[str, str], list[BackendServer]] = {}

    def record(self, server_id: str) -> ServerRecord:
        """Return the record of a backend server, creating it if necessary."""
        record = self.records_by_id.get(server_id)
        if record is None:
            server = self.directory.by_id.get(server_id)
            record = self.records_by_id[server_id] = ServerRecord(server=server)
        return record

    def candidates(self, service: str, model: str) -> list[BackendServer]:
        """Return the backend servers that can run requests for a service and model."""
        if self._seen_changes != self.directory.n_changes:
            self._seen_changes = self.directory.n_changes
            self._candidates_by_work.clear()
            self._drop_former_incarnations()
        found = self._candidates_by_work.get((service, model))
        if found is None:
            found = [
                server
                for server in self.directory.of_service(service)
                if not server.draining and _serves_model(server, model)
            ]
            self._candidates_by_work[service, model] = found
        return found

    def choose(
        self,
        service: str,
        model: str,
        *,
        excluded: set[str],
        now: float,
        room: RoomLimit | None = None,
    ) -> BackendServer | None:
        """Return a backend server with a free slot, or None.

        If the reported loads are up to date, this is the least loaded server. If other
        hosts may have sent requests that are not reported yet, the server is drawn at
        random with weights that level the loads across all hosts. Without this draw,
        all hosts would send to the same least loaded server, and it would be full
        before any of them learned of the others' requests.

        Parameters
        ----------
        room : RoomLimit or None
            Says which servers have room; None for those that have fewer requests in
            flight than ``slots`` and ``QUEUED_PER_SERVER`` together.
        """
        candidates = self.candidates(service, model)
        if room is not None:
            return self._choose_with_room(
                candidates, (service, model), excluded=excluded, room=room, now=now
            )
        sampled = self._sampled(candidates, self._random)
        options = self._available_loads(sampled, excluded=excluded, now=now)
        if not options and sampled is not candidates:
            options = self._available_loads(candidates, excluded=excluded, now=now)
        if not options:
            return None
        # Count the request being sent as well: otherwise, with nothing in flight, all
        # hosts would choose the same server as the least loaded one.
        n_in_flight = 1 + sum(option.in_flight for option in options)
        return self._drawn(
            options, (service, model), n_in_flight=n_in_flight, random=self._random
        )

    def _choose_with_room(
        self,
        candidates: list[BackendServer],
        work: tuple[str, str],
        *,
        excluded: set[str],
        room: RoomLimit,
        now: float,
    ) -> BackendServer | None:
        """Return a server that has room for a request, or None.

        Servers that are excluded for this request count as well when the free slots of
        all servers are compared with the requests that compete for them.
        """
        sampled = self._sampled(candidates, self._room_random)
        loads = [
            load
            for server in sampled
            if (load := self._load(server, capacity=None, now=now)) is not None
        ]
        scale = len(candidates) / max(1, len(sampled))
        options = [
            option
            for option in room.with_room(loads, scale=scale)
            if option.server.id not in excluded
        ]
        if not options:
            return None
        n_in_flight = 1 + sum(load.in_flight for load in loads)
        return self._drawn(
            options, work, n_in_flight=n_in_flight, random=self._room_random
        )

    def _drawn(
        self,
        options: list[ServerLoad],
        work: tuple[str, str],
        *,
        n_in_flight: int,
        random: random.Random,
    ) -> BackendServer:
        """Return the least loaded server, or one drawn if the loads are not current."""
        local, remote = self._unreported.expected(work, n_in_flight=n_in_flight)
        weights = spread_weights(
            options, local=local, remote=remote, remote_penalty=REMOTE_ZONE_PENALTY
        )
        if local == remote == 0.0:
            return options[weights.index(max(weights))].server
        return random.choices(options, weights)[0].server

    def limited_allowance(
        self,
        service: str,
        model: str,
        *,
        excluded: set[str],
        seconds: float,
        now: float,
    ) -> Allowance | None:
        """Return the requests that rate limits allow for a service and model, or None.

        The result is None if a server without a limit can run such requests, or if no
        server can. Servers that are paused for all of the time span are left out.

        Parameters
        ----------
        seconds : float
            Time span that counts for ``Allowance.n_available``.
        """
        total = None
        for server in self._usable(service, model):
            if server.id in excluded:
                continue
            if self.pauses.is_paused(server.id, now=now + seconds):
                continue
            allowance = self.limits.allowance(server.id, seconds=seconds, now=now)
            if allowance is None:
                return None
            total = allowance if total is None else total + allowance
        return total

    def paused_until(
        self, service: str, model: str, *, excluded: set[str], now: float
    ) -> float | None:
        """Return the monotonic time at which the first pause of a server ends.

        The result is None if no server is paused, or if one that is neither paused nor
        excluded can run requests for the service and model.
        """
        if self.pauses.is_empty:
            return None
        first_end = None
        for server in self._usable(service, model):
            end = self.pauses.ends_at(server.id)
            if end > now:
                first_end = end if first_end is None else min(first_end, end)
            elif server.id not in excluded:
                return None
        return first_end

    def set_heartbeat_interval(
        self, *, interval: float, n_zone_peers: int, n_hosts: int
    ) -> None:
        """Set how often, and from how many hosts, heartbeats are received.

        Parameters
        ----------
        interval : float
            Seconds between two heartbeats of a host of this zone.
        n_zone_peers, n_hosts : int
            Number of other hosts in this zone, and number of all hosts.
        """
        self._unreported.set_interval(
            interval=interval, n_zone_peers=n_zone_peers, n_hosts=n_hosts
        )

    def sent(self, server_id: str) -> None:
        """Count a request as in flight to a backend server."""
        self.record(server_id).in_flight += 1

    def ended(self, server_id: str) -> None:
        """Stop counting a request as in flight to a backend server."""
        record = self.records_by_id.get(server_id)
        if record is not None and record.in_flight > 0:
            record.in_flight -= 1

    def record_duration(self, service: str, model: str, seconds: float) -> None:
        """Record for how many seconds a request was in flight."""
        self._unreported.record_duration((service, model), seconds)

    @property
    def heartbeat_interval(self) -> float:
        """Return the seconds between two heartbeats of a host of this zone."""
        return self._unreported.interval

    @property
    def peers_share(self) -> float:
        """Return the part of all entry hosts that are other hosts."""
        return self._unreported.peers_share

    def mean_duration(self, service: str, model: str) -> float:
        """Return the mean seconds that requests are in flight, or the default."""
        return self._unreported.mean_duration((service, model))

    def n_usable_slots(self, service: str, model: str) -> int:
        """Return the slots of all candidates in zones that are not evacuated."""
        return sum(server.slots for server in self._usable(service, model))

    def has_usable(self, service: str, model: str, *, excluded: set[str]) -> bool:
        """Return whether a server that is not excluded can run such requests."""
        return any(server.id not in excluded for server in self._usable(service, model))

    def mean_durations(self) -> dict[str, float]:
        """Return the mean seconds that requests are in flight, by service and model."""
        return self._unreported.mean_durations()

    def succeeded(self, server_id: str, *, sent_at: float) -> None:
        """Reset the failures of a backend server that has answered a request.

        A request that was sent before the last failure says nothing about it: a server
        that refuses new requests goes on with those that it runs.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the request was sent.
        """
        record = self.record(server_id)
        record.stalled_until = 0.0
        if sent_at > record.failed_at:
            record.n_failures = 0
            record.avoided_until = 0.0

    def failed(self, server_id: str, *, now: float) -> None:
        """Avoid a backend server for a while, longer after each failure in a row."""
        record = self.record(server_id)
        if now < record.avoided_until:
            # Requests sent before the first failure was noticed fail with it and count
            # once.
            return
        record.n_failures += 1
        record.failed_at = now
        pause = FIRST_AVOIDANCE * 2 ** (record.n_failures - 1)
        record.avoided_until = now + min(MAX_AVOIDANCE, pause)

    def clear_failures(self, server_id: str) -> None:
        """Stop avoiding a server whose failures were those of the path to it."""
        record = self.records_by_id.get(server_id)
        if record is not None:
            record.n_failures = 0
            record.avoided_until = record.stalled_until = 0.0

    def mark_entry_stale(self, server_id: str, *, now: float) -> None:
        """Avoid a server whose directory entry is stale."""
        record = self.record(server_id)
        record.stale_entry = self.directory.by_id.get(server_id)
        record.stale_until = now + STALE_ENTRY_AVOIDANCE

    def mark_leaving(self, row: LeavingServerRow, *, now: float) -> bool:
        """Record that a server states that it leaves; return whether that is new."""
        return self.directory.mark_leaving(row, is_local=True, now=now)

    def record_peer_leaving(
        self, rows: Iterable[LeavingServerRow], *, now: float
    ) -> list[str]:
        """Record servers that told another host that they leave; return new ones."""
        return [
            row.server_id
            for row in rows
            if self.directory.mark_leaving(row, is_local=False, now=now)
        ]

    def announced_leaving(self, *, now: float) -> tuple[LeavingServerRow, ...]:
        """Return the servers that recently told this host that they are leaving."""
        return self.directory.leaving.announced(now=now)

    def mark_stalled(self, server_id: str, *, now: float) -> bool:
        """Avoid a group that has stalled; return whether it was not avoided before."""
        record = self.record(server_id)
        is_new = record.stalled_until <= now
        record.stalled_until = now + STALL_AVOIDANCE
        return is_new

    def clear_stall(self, server_id: str) -> None:
        """Stop avoiding a group for its stall, since it makes progress."""
        record = self.records_by_id.get(server_id)
        if record is not None:
            record.stalled_until = 0.0

    def _usable(self, service: str, model: str) -> Iterator[BackendServer]:
        """Yield the candidates in zones that are not evacuated."""
        for server in self.candidates(service, model):
            if not self._is_evacuated(server.availability_zone):
                yield server

    def _sampled(
        self, candidates: list[BackendServer], random: random.Random
    ) -> list[BackendServer]:
        """Return all candidates, or this zone's and a random sample of the others."""
        if len(candidates) <= SAMPLING_THRESHOLD:
            return candidates
        parts: tuple[list[BackendServer], list[BackendServer]] = ([], [])
        for server in candidates:
            parts[server.availability_zone != self._zone].append(server)
        local, remote = parts
        n_remote = max(MIN_REMOTE_CANDIDATES, SAMPLING_THRESHOLD - len(local))
        return local + random.sample(remote, min(n_remote, len(remote)))

    def _available_loads(
        self, servers: list[BackendServer], *, excluded: set[str], now: float
    ) -> list[ServerLoad]:
        """Return the loads of those servers that have a free slot."""
        return [
            option
            for server in servers
            if server.id not in excluded
            and (
                option := self._load(
                    server, capacity=server.slots + QUEUED_PER_SERVER, now=now
                )
            )
            is not None
        ]

    def _load(
        self, server: BackendServer, *, capacity: int | None, now: float
    ) -> ServerLoad | None:
        """Return the load of a server, or None if it must not get a request now.

        Parameters
        ----------
        capacity : int or None
            Requests in flight from which the server gets no more; None for no limit.
        """
        if self._is_evacuated(server.availability_zone):
            return None
        if self.pauses.is_paused(server.id, now=now):
            return None
        record = self.records_by_id.get(server.id)
        n_peers = in_flight = self.peers_in_flight_by_id[server.id]
        if record is not None:
            has_stale_entry = server is record.stale_entry and now < record.stale_until
            if has_stale_entry or now < max(record.avoided_until, record.stalled_until):
                return None
            in_flight += record.in_flight
        if capacity is not None and in_flight >= capacity:
            return None
        if not self.limits.allows(server.id, now=now):
            return None
        zone = server.availability_zone
        penalty = 0.0
        if zone in self.unreachable_zones:
            penalty = UNREACHABLE_ZONE_PENALTY * (server.slots + QUEUED_PER_SERVER)
        if self._needs_forwarding(server):
            penalty += FORWARDING_PENALTY
        return ServerLoad(
            server=server,
            is_local_zone=zone == self._zone,
            in_flight=in_flight,
            load=in_flight + penalty,
            n_peers=n_peers,
        )

    def _drop_former_incarnations(self) -> None:
        """Drop the observations of servers that are gone or have restarted."""
        for server_id, record in list(self.records_by_id.items()):
            server = self.directory.by_id.get(server_id)
            if server is None:
                if record.in_flight == 0:
                    del self.records_by_id[server_id]
            elif record.server is None:
                record.server = server
            elif not server.is_same_incarnation(record.server):
                record.server = server
                record.n_failures = 0
                record.avoided_until = record.stalled_until = 0.0


def _serves_model(server: BackendServer, model: str) -> bool:
    """Return whether a backend server runs a model; "" stands for plain requests."""
    if not model:
        return True
    group = server.group
    if group is None or group.rank != 0 or group.state is not GroupState.OPEN:
        return False
    return model in server.models
