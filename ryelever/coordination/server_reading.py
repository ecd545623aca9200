"""Decide whether a host reads servers' records itself or receives them from others.

In a fleet of 3,000 backend servers, reading the records takes half of a link of
20 Mbit/s, and the reads of all hosts share the store's rate.  Therefore a few hosts
read the records and send updates to the others.  A host that missed updates fetches
them from a nearby host, and reads from the store only if that fails.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .listing_schedule import UNLISTED_TIMEOUT, may_list

if TYPE_CHECKING:
    from ..state.keyed_record import ServerUpdates
    from .host_heartbeats import HostHeartbeats
    from .topic import TopicFollower

__all__ = [
    "GAP_TIMEOUT",
    "OTHERS_GAP_TIMEOUT",
    "MAX_UPDATE_SILENCE",
    "OUTAGE_SILENCE",
    "ServerReading",
]

#: Seconds during which a host that missed updates tries to fetch them from other hosts
#: before it reads the store itself: for the first hosts of a zone, and for the others,
#: which fetch the updates from the first ones.
GAP_TIMEOUT = 1.0
OTHERS_GAP_TIMEOUT = 4.0

#: Seconds without updates after which a host no longer relies on the readers of its
#: zone.  If the active reader is lost, another reader starts within half of this time.
MAX_UPDATE_SILENCE = 2.0

#: Seconds without any read after which a suspended host assumes an outage of the store,
#: so that expired records are not removed.  It can't know of an outage before it reads
#: the store itself.
OUTAGE_SILENCE = 1.8


class _Missed(msgspec.Struct, kw_only=True, frozen=True):
    """Missed updates: since when, and the host that announced them."""

    since: float
    provider: str


class ServerReading:
    """Decide when this host lists and reads the backend servers' records itself.

    Parameters
    ----------
    servers, hosts : TopicFollower
        Followers of the topics of backend servers and of entry hosts.
    started_at : float
        Monotonic time at which this host started.

    Attributes
    ----------
    silent_at : float
        Last monotonic time at which this host was suspended and nothing had been read
        for longer than ``OUTAGE_SILENCE``, here or at another host.
    """

    __slots__ = (
        "_host",
        "_hosts",
        "_hosts_known_at",
        "_missed",
        "_reachable_since",
        "_servers",
        "_started_at",
        "_heartbeats",
        "_zone",
        "silent_at",
    )

    def __init__(
        self,
        *,
        host: str,
        zone: str,
        heartbeats: HostHeartbeats,
        servers: TopicFollower,
        hosts: TopicFollower,
        started_at: float,
    ) -> None:
        self._host = host
        self._zone = zone
        self._heartbeats = heartbeats
        self._servers = servers
        self._hosts = hosts
        self._started_at = started_at
        self._hosts_known_at: float | None = None
        self._reachable_since: float | None = None
        self._missed: _Missed | None = None
        self.silent_at = float("-inf")

    # Listing

    def defer_listings(self) -> None:
        """Defer listings until ``update_listings`` allows them."""
        self._hosts.defers_listing = self._servers.defers_listing = True

    def update_listings(self, *, acknowledged_at: float | None, now: float) -> None:
        """Allow the listings of this host when they are due.

        Parameters
        ----------
        acknowledged_at : float or None
            Monotonic time at which the store acknowledged this host's own record;
            None before that.
        """
        if self._hosts_known_at is None:
            may_be_unlisted = now - self._started_at < UNLISTED_TIMEOUT
            self._hosts.defers_listing = acknowledged_at is None and may_be_unlisted
            if acknowledged_at is not None and self._hosts.listed_at > acknowledged_at:
                self._hosts_known_at = now
        if self._servers.defers_listing:
            self._servers.defers_listing = not may_list(
                self._host,
                self._heartbeats.hosts_of(self._zone),
                known_at=self._hosts_known_at,
                started_at=self._started_at,
                now=now,
            )

    # Reading

    def suspend_or_read(
        self,
        *,
        reads: bool,
        is_reachable: bool,
        last_update_at: float,
        read_at: float,
        now: float,
    ) -> None:
        """Suspend reads of the servers' topic while other hosts send its updates.

        After an outage of the store only the first hosts of a zone read all records
        that were written meanwhile, and the others receive the changes from them.

        Parameters
        ----------
        reads : bool
            Whether this host is a reader of its zone.
        is_reachable : bool
            Whether the store answers this host.
        last_update_at, read_at : float
            Monotonic times of the last update from another host, and of the last read
            by this host or another one.
        """
        if not is_reachable:
            self._reachable_since = None
            reads = self._heartbeats.is_among_first(now=now)
        elif self._reachable_since is None:
            self._reachable_since = now
        silent_for = now - max(last_update_at, self._reachable_since or now)
        self._servers.suspended = (
            not reads and self._servers.is_current and silent_for < MAX_UPDATE_SILENCE
        )
        if self._servers.suspended and now - read_at > OUTAGE_SILENCE:
            self.silent_at = now

    # Missed updates

    def record_missed(self, updates: ServerUpdates, *, now: float) -> None:
        """Record updates that show that this host missed earlier ones.

        The missed updates are requested from the host that sent these updates.  The
        store could return them only together with all unchanged records: a host that
        missed a datagram would read a thousand times as much, and all hosts that missed
        it would fill the link of the store and their own links.
        """
        since = now if self._missed is None else self._missed.since
        self._missed = _Missed(since=since, provider=updates.provider)
        if updates.reader < self._host:
            self._servers.defer_reading(now=now)

    def caught_up(self) -> None:
        """Record that some of the missed updates were received."""
        self._missed = None

    def provider(self, *, now: float) -> str | None:
        """Return the host from which missed updates are to be fetched, or None.

        If no host has provided them within the timeout, this host reads the store.
        """
        if self._missed is None:
            return None
        is_first = self._heartbeats.is_among_first(now=now)
        timeout = GAP_TIMEOUT if is_first else OTHERS_GAP_TIMEOUT
        if now - self._missed.since <= timeout:
            return self._missed.provider
        self._servers.read_now()
        return None
