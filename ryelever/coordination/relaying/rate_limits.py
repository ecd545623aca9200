"""Share the rate limits of backend servers among all entry hosts.

A server names a limit in its answers, and has one while it is cold.  It holds for the
sum over all hosts, and a host learns of it in an answer of its own, in another host's
word or in the server's entry.  Of the hosts that have requests for a limited server as
many send there as keep its limit even where all of them do so at once; each has an
equal part.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from ...state.observations import RateLimitRow
from .limit_shares import TokenBucket, WantedBy, share_of

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...state.directory import BackendServer, Directory
    from ..host_heartbeats import HostHeartbeat

__all__ = ["Allowance", "ServerRateLimits"]

#: Requests a second that a server gets at the least, from all hosts.  Only an answer
#: shows that a limit has ended, also one of zero.
LEAST_RATE = 0.1

#: Seconds for which a request that a limited server could have taken counts as demand
#: for it.
WANTED_FOR = 3.0

#: Seconds beyond a server's own word for which it counts as cold: its entry was read
#: some tenths of a second after it was written.
COLD_SLACK = 0.2

#: Seconds for which other hosts are told that a limit has ended: several words to each
#: zone.
ENDED_TOLD_FOR = 5.0

#: Seconds for which the limit of a server is kept after its entry is gone: entries
#: lapse while the store is away, and come back.
KEPT_WITHOUT_ENTRY = 60.0


class Allowance(msgspec.Struct, kw_only=True, frozen=True):
    """Hold what one host may send to servers that name rate limits.

    Attributes
    ----------
    n_soon : float
        Requests within the seconds that were asked for.
    rate : float
        Requests a second after them.
    """

    n_soon: float = 0.0
    rate: float = 0.0

    def __add__(self, other: Allowance) -> Allowance:
        return Allowance(n_soon=self.n_soon + other.n_soon, rate=self.rate + other.rate)


class _Limit(msgspec.Struct, kw_only=True):
    """Hold what is known of one server's limit, and this host's part of it.

    Attributes
    ----------
    rate : float or None
        Requests a second; None where it names no limit.
    said_at : float
        Monotonic time of the answer that said so.
    is_own : bool
        True where this host got that answer.
    server : BackendServer or None
        The incarnation that said so.
    bucket : TokenBucket or None
        This host's part; None until it is first divided.
    """

    rate: float | None
    said_at: float
    is_own: bool
    server: BackendServer | None
    wanted_at: float = float("-inf")
    bucket: TokenBucket | None = None

    def is_wanted(self, *, now: float) -> bool:
        """Tell whether this host had a request for the server lately."""
        return now - self.wanted_at < WANTED_FOR


class ServerRateLimits:
    """Know the rate limits of backend servers, and this host's part of them.

    Parameters
    ----------
    cold_rate : callable
        Return the requests a second that a cold server of a service bears, or None.
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
        """Tell whether no server has a limit; cheap, for each request."""
        return not self._limits_by_server and not self._directory.cold_until_by_id

    # What servers say

    def answered(
        self, server_id: str, rate: float | None, *, sent_at: float, now: float
    ) -> bool:
        """Take what an answer says; tell whether it is news.

        Parameters
        ----------
        rate : float or None
            Requests a second; None where the answer names no limit.
        sent_at : float
            Monotonic time at which the request was sent.  An answer to an older
            request may have been overtaken by one that names a limit.
        """
        known = self._known(server_id)
        if rate is None:
            named = None if known is None else known.rate
            if named is None or sent_at < known.said_at:
                return False
        is_news = known is None or known.rate != rate
        self._set(server_id, rate, said_at=now, is_own=True)
        return is_news

    def heard(self, rows: Iterable[RateLimitRow], *, now: float) -> None:
        """Take what another host's word says of limits."""
        for row in rows:
            server = self._directory.by_id.get(row.server_id)
            if server is not None and not row.is_of(server):
                continue
            said_at = now - row.age
            known = self._known(row.server_id)
            if known is None or said_at > known.said_at:
                self._set(row.server_id, row.rate, said_at=said_at, is_own=False)

    def rate(self, server_id: str, *, now: float) -> float | None:
        """Return the requests a second that a server takes; None for any number."""
        known = self._known(server_id)
        named = math.inf if known is None or known.rate is None else known.rate
        cold = self._rate_while_cold(server_id, now=now)
        lower = min(named, math.inf if cold is None else cold)
        return None if lower == math.inf else lower

    def _rate_while_cold(self, server_id: str, *, now: float) -> float | None:
        """Return what a server bears because it is cold; None where it isn't."""
        cold_until = self._directory.cold_until_by_id.get(server_id)
        if cold_until is None or now > cold_until + COLD_SLACK:
            return None
        return self._cold_rate(self._directory.by_id[server_id].service)

    # What other hosts are told

    def told(self, *, now: float) -> tuple[RateLimitRow, ...]:
        """Return what this host's answers say of limits, the newest first.

        What it has from others isn't told again: it would seem newer each time.
        """
        own = [
            (limit.said_at, server_id, limit)
            for server_id, limit in self._limits_by_server.items()
            if limit.is_own
            and (limit.rate is not None or now - limit.said_at < ENDED_TOLD_FOR)
        ]
        own.sort(key=lambda item: item[:2], reverse=True)
        return tuple(
            RateLimitRow(
                server_id=server_id,
                rate=limit.rate,
                age=now - said_at,
                started_at=limit.server.started_at if limit.server else None,
            )
            for said_at, server_id, limit in own
        )

    def wanted(self, *, now: float) -> tuple[str, ...]:
        """Return the servers with a named limit that this host has requests for."""
        wanted = [
            server_id
            for server_id, limit in self._limits_by_server.items()
            if limit.rate is not None and limit.is_wanted(now=now)
        ]
        return tuple(sorted(wanted))

    # This host's part

    def share_out(
        self, *, host: str, zone: str, heartbeats: list[HostHeartbeat], now: float
    ) -> None:
        """Set this host's part of each limit.

        Parameters
        ----------
        host, zone : str
            This host and its availability zone.
        words : list of HostHeartbeat
            The newest words of the hosts that are heard.
        """
        self._drop_outdated(now=now)
        for server_id in self._directory.cold_until_by_id:
            self._limit(server_id)
        for server_id, limit in self._limits_by_server.items():
            rate = self.rate(server_id, now=now)
            if rate is None:
                limit.bucket = None
                continue
            # Coldness is over before all have heard who wants the server.
            is_cold = self._rate_while_cold(server_id, now=now) is not None
            wanted_by = WantedBy(host=host, zone=zone, all_share=is_cold)
            wanted_by.add_own(is_wanted=limit.is_wanted(now=now))
            for heartbeat in heartbeats:
                wanted_by.add(
                    heartbeat, is_wanted=server_id in heartbeat.wanted_servers
                )
            share = share_of(
                server_id,
                max(rate, LEAST_RATE),
                home_zone=limit.server.availability_zone if limit.server else "",
                wanted_by=wanted_by,
            )
            if limit.bucket is None:
                limit.bucket = TokenBucket()
            limit.bucket.set_rate(share, now=now)

    def allows(self, server_id: str, *, now: float) -> bool:
        """Tell whether this host may send a server a request it has for it."""
        if self.is_empty:
            return True
        if self.rate(server_id, now=now) is None:
            return True
        limit = self._limit(server_id)
        limit.wanted_at = now
        return limit.bucket is not None and limit.bucket.has_token(now=now)

    def allowance(
        self, server_id: str, *, seconds: float, now: float
    ) -> Allowance | None:
        """Return what this host may send a server soon; None where nothing is known."""
        limit = self._known(server_id)
        if limit is None or limit.bucket is None:
            return None
        if self.rate(server_id, now=now) is None:
            return None
        bucket = limit.bucket
        n_soon = bucket.tokens_within(seconds, now=now)
        return Allowance(n_soon=n_soon, rate=bucket.rate)

    def sent(self, server_id: str, *, now: float) -> None:
        """Count a request that is sent to a server."""
        limit = self._limits_by_server.get(server_id)
        if limit is not None and limit.bucket is not None:
            limit.bucket.take(now=now)

    def _known(self, server_id: str) -> _Limit | None:
        """Return what is known of a server, but not of its former incarnations."""
        limit = self._limits_by_server.get(server_id)
        if limit is None:
            return None
        server = self._directory.by_id.get(server_id)
        if None in (server, limit.server) or server.is_same_incarnation(limit.server):
            return limit
        del self._limits_by_server[server_id]
        return None

    def _limit(self, server_id: str) -> _Limit:
        """Return what is known of a server, which may name no limit."""
        limit = self._known(server_id)
        if limit is None:
            limit = self._limits_by_server[server_id] = _Limit(
                rate=None,
                said_at=float("-inf"),
                is_own=False,
                server=self._directory.by_id.get(server_id),
            )
        return limit

    def _set(
        self, server_id: str, rate: float | None, *, said_at: float, is_own: bool
    ) -> None:
        limit = self._limit(server_id)
        limit.rate = rate
        limit.said_at = said_at
        limit.is_own = is_own
        limit.server = self._directory.by_id.get(server_id, limit.server)

    def _drop_outdated(self, *, now: float) -> None:
        for server_id in list(self._limits_by_server):
            limit = self._known(server_id)
            if limit is None:
                continue
            if limit.rate is None:
                kept_for = ENDED_TOLD_FOR
                if server_id in self._directory.cold_until_by_id:
                    continue
            elif server_id in self._directory.by_id:
                continue
            else:
                kept_for = KEPT_WITHOUT_ENTRY
            if now - limit.said_at > kept_for:
                del self._limits_by_server[server_id]
