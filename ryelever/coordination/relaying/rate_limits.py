"""Share the rate limits of backend servers among all entry hosts.

A server can name a limit in its answers, and a cold server has a limit until it is
warm. A limit applies to the sum of requests from all hosts. A host learns of it from an
answer, from another host's heartbeat or from the server's directory entry. Of the hosts
with requests for a limited server, only so many get a share that the limit is kept even
if all of them send at once; the shares are equal.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from ...state.observations import RateLimitRow
from .limit_shares import RequestingHosts, TokenBucket, share_of

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...state.directory import BackendServer, Directory
    from ..host_heartbeats import HostHeartbeat

__all__ = ["Allowance", "ServerRateLimits"]

#: Minimum requests a second that a server gets from all hosts together, so that answers
#: keep arriving: only an answer shows that a limit has ended, even a limit of zero.
MIN_RATE = 0.1

#: Seconds for which a request that a limited server could have run counts as demand for
#: that server.
DEMAND_WINDOW = 3.0

#: Seconds to add to the cold time that a server announces: its entry is read some
#: tenths of a second after it was written.
COLD_GRACE = 0.2

#: Seconds for which the end of a limit is announced to other hosts: several heartbeats
#: to each zone.
ENDED_ANNOUNCED_FOR = 5.0

#: Seconds after the last answer that named a limit, for which the limit is kept even if
#: the server has no entry: entries lapse during an outage of the store, and return
#: afterwards.
RETENTION_WITHOUT_ENTRY = 60.0


class Allowance(msgspec.Struct, kw_only=True, frozen=True):
    """The requests that one host may send to servers with rate limits.

    Attributes
    ----------
    n_available : float
        Requests within the requested time span.
    rate : float
        Requests a second after that.
    """

    n_available: float = 0.0
    rate: float = 0.0

    def __add__(self, other: Allowance) -> Allowance:
        return Allowance(
            n_available=self.n_available + other.n_available,
            rate=self.rate + other.rate,
        )


class _Limit(msgspec.Struct, kw_only=True):
    """The known rate limit of one server, and this host's share of it.

    Attributes
    ----------
    rate : float or None
        Requests a second; None if the server names no limit.
    reported_at : float
        Monotonic time of the answer that named the rate.
    is_local : bool
        True if this host received that answer.
    server : BackendServer or None
        The incarnation that sent the answer.
    requested_at : float
        Monotonic time at which this host last had a request for the server.
    bucket : TokenBucket or None
        This host's share; None until the limit is first divided.
    """

    rate: float | None
    reported_at: float
    is_local: bool
    server: BackendServer | None
    requested_at: float = float("-inf")
    bucket: TokenBucket | None = None

    def has_demand(self, *, now: float) -> bool:
        """Return whether this host recently had a request for the server."""
        return now - self.requested_at < DEMAND_WINDOW


class ServerRateLimits:
    """Track the rate limits of backend servers and this host's share of each.

    Parameters
    ----------
    cold_rate : callable
        Return the requests a second that a cold server of a service can take, or None
        for no limit.
    """

    __slots__ = ("_cold_rate", "_directory", "_limits_by_server")

    def __init__(
        self, *, directory: Directory, cold_rate: Callable[[str], float | None]
    ) -> None:
        self._directory = directory
        self._cold_rate = cold_rate
        self._limits_by_server: dict[str, _Limit] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no server has a limit; a cheap check for each request."""
        return not self._limits_by_server and not self._directory.cold_until_by_id

    # Limits of servers

    def record_answer(
        self, server_id: str, rate: float | None, *, sent_at: float, now: float
    ) -> bool:
        """Record the limit in an answer; return whether it differs from the known one.

        Parameters
        ----------
        rate : float or None
            Requests a second; None if the answer names no limit.
        sent_at : float
            Monotonic time at which the request was sent. An answer without a limit is
            ignored if its request was sent before the answer that named the limit
            arrived.
        """
        known = self._find_limit(server_id)
        if rate is None:
            named_rate = None if known is None else known.rate
            if named_rate is None or sent_at < known.reported_at:
                return False
        has_changed = known is None or known.rate != rate
        self._set(server_id, rate, reported_at=now, is_local=True)
        return has_changed

    def record_peer_limits(self, rows: Iterable[RateLimitRow], *, now: float) -> None:
        """Record the limits in another host's heartbeat."""
        for row in rows:
            server = self._directory.by_id.get(row.server_id)
            if server is not None and not row.may_describe(server):
                continue
            reported_at = now - row.age
            known = self._find_limit(row.server_id)
            if known is None or reported_at > known.reported_at:
                self._set(
                    row.server_id, row.rate, reported_at=reported_at, is_local=False
                )

    def rate(self, server_id: str, *, now: float) -> float | None:
        """Return the requests a second that a server takes; None for no limit."""
        known = self._find_limit(server_id)
        named_rate = math.inf if known is None or known.rate is None else known.rate
        rate_while_cold = self._rate_while_cold(server_id, now=now)
        lower = min(
            named_rate, math.inf if rate_while_cold is None else rate_while_cold
        )
        return None if lower == math.inf else lower

    def _rate_while_cold(self, server_id: str, *, now: float) -> float | None:
        """Return the requests a second that a cold server takes.

        The result is None if the server is warm, or if its service has no limit for
        cold servers.
        """
        cold_until = self._directory.cold_until_by_id.get(server_id)
        if cold_until is None or now > cold_until + COLD_GRACE:
            return None
        return self._cold_rate(self._directory.by_id[server_id].service)

    # Announcements to other hosts

    def announced_limits(self, *, now: float) -> tuple[RateLimitRow, ...]:
        """Return the limits that this host learned from answers, the newest first.

        Limits received from other hosts are not announced again: their ages would be
        reset with each announcement.
        """
        local_limits = [
            (limit.reported_at, server_id, limit)
            for server_id, limit in self._limits_by_server.items()
            if limit.is_local
            and (
                limit.rate is not None or now - limit.reported_at < ENDED_ANNOUNCED_FOR
            )
        ]
        local_limits.sort(key=lambda item: item[:2], reverse=True)
        return tuple(
            RateLimitRow(
                server_id=server_id,
                rate=limit.rate,
                age=now - reported_at,
                started_at=limit.server.started_at if limit.server else None,
            )
            for reported_at, server_id, limit in local_limits
        )

    def requested_servers(self, *, now: float) -> tuple[str, ...]:
        """Return the ids of limited servers for which this host has requests.

        Servers that are limited only because they are cold are left out.
        """
        wanted = [
            server_id
            for server_id, limit in self._limits_by_server.items()
            if limit.rate is not None and limit.has_demand(now=now)
        ]
        return tuple(sorted(wanted))

    # This host's share

    def update_shares(
        self,
        *,
        host: str,
        zone: str,
        heartbeats: list[HostHeartbeat],
        arrival_rate: float = 0.0,
        now: float,
    ) -> None:
        """Set this host's share of each limit.

        Parameters
        ----------
        host, zone : str
            This host and its availability zone.
        heartbeats : list of HostHeartbeat
            The newest heartbeats of the hosts that are alive.
        arrival_rate : float
            Requests a second that arrive at this host; 0 if unknown.
        """
        self._drop_expired(now=now)
        for server_id in self._directory.cold_until_by_id:
            self._ensure_limit(server_id)
        for server_id, limit in self._limits_by_server.items():
            rate = self.rate(server_id, now=now)
            if rate is None:
                limit.bucket = None
                continue
            # A server is warm before all hosts have learned who has requests for it, so
            # hosts without requests count as well.
            is_cold = self._rate_while_cold(server_id, now=now) is not None
            requesting_hosts = RequestingHosts(
                host=host, zone=zone, include_idle=is_cold
            )
            requesting_hosts.add_local(
                has_demand=limit.has_demand(now=now), arrival_rate=arrival_rate
            )
            for heartbeat in heartbeats:
                requesting_hosts.add(
                    heartbeat, has_demand=server_id in heartbeat.wanted_servers
                )
            share = share_of(
                server_id,
                max(rate, MIN_RATE),
                home_zone=limit.server.availability_zone if limit.server else "",
                requesting_hosts=requesting_hosts,
            )
            if limit.bucket is None:
                limit.bucket = TokenBucket()
            limit.bucket.set_rate(share, now=now)

    def allows(self, server_id: str, *, now: float) -> bool:
        """Return whether this host may send a request to a server now.

        The request counts as this host's demand for the server.
        """
        if self.is_empty:
            return True
        if self.rate(server_id, now=now) is None:
            return True
        limit = self._ensure_limit(server_id)
        limit.requested_at = now
        return limit.bucket is not None and limit.bucket.has_token(now=now)

    def allowance(
        self, server_id: str, *, seconds: float, now: float
    ) -> Allowance | None:
        """Return the requests that this host may send; None if no limit is known."""
        limit = self._find_limit(server_id)
        if limit is None or limit.bucket is None:
            return None
        if self.rate(server_id, now=now) is None:
            return None
        bucket = limit.bucket
        n_available = bucket.tokens_within(seconds, now=now)
        return Allowance(n_available=n_available, rate=bucket.rate)

    def sent(self, server_id: str, *, now: float) -> None:
        """Count a request sent to a server."""
        limit = self._limits_by_server.get(server_id)
        if limit is not None and limit.bucket is not None:
            limit.bucket.take(now=now)

    def _find_limit(self, server_id: str) -> _Limit | None:
        """Return the limit of a server's current incarnation, or None."""
        limit = self._limits_by_server.get(server_id)
        if limit is None:
            return None
        server = self._directory.by_id.get(server_id)
        if None in (server, limit.server) or server.is_same_incarnation(limit.server):
            return limit
        del self._limits_by_server[server_id]
        return None

    def _ensure_limit(self, server_id: str) -> _Limit:
        """Return the limit of a server, creating one without a rate if necessary."""
        limit = self._find_limit(server_id)
        if limit is None:
            limit = self._limits_by_server[server_id] = _Limit(
                rate=None,
                reported_at=float("-inf"),
                is_local=False,
                server=self._directory.by_id.get(server_id),
            )
        return limit

    def _set(
        self, server_id: str, rate: float | None, *, reported_at: float, is_local: bool
    ) -> None:
        limit = self._ensure_limit(server_id)
        limit.rate = rate
        limit.reported_at = reported_at
        limit.is_local = is_local
        limit.server = self._directory.by_id.get(server_id, limit.server)

    def _drop_expired(self, *, now: float) -> None:
        for server_id in list(self._limits_by_server):
            limit = self._find_limit(server_id)
            if limit is None:
                continue
            if limit.rate is None:
                retention = ENDED_ANNOUNCED_FOR
                if server_id in self._directory.cold_until_by_id:
                    continue
            elif server_id in self._directory.by_id:
                continue
            else:
                retention = RETENTION_WITHOUT_ENTRY
            if now - limit.reported_at > retention:
                del self._limits_by_server[server_id]
