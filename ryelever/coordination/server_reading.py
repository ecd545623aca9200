"""Decide from whom a host learns what backend servers write into the store.

Reading it takes half of a link of 20 Mbit/s in a fleet of 3,000 servers, and reads of
all hosts share the store's rate.  So a few hosts read; the others are told by them, are
given what they missed by hosts nearby, and read where that doesn't help.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .listing_schedule import UNANNOUNCED, may_list

if TYPE_CHECKING:
    from ..state.keyed_record import ServerUpdates
    from .host_heartbeats import HostHeartbeats
    from .topic import TopicFollower

__all__ = [
    "GAP_PATIENCE",
    "OTHERS_GAP_PATIENCE",
    "MAX_UPDATE_SILENCE",
    "SILENT_OUTAGE",
    "ServerReading",
]

#: Seconds for which a host that missed a part of what another one has read waits for
#: others to give it, before it reads the store itself: the first of a zone, and the
#: others, which are given it by these.
GAP_PATIENCE = 1.0
OTHERS_GAP_PATIENCE = 4.0

#: Seconds without news for which a host leaves the reading to the readers of its zone.
#: Where the one that reads is lost, another one of them begins within half of it.
MAX_UPDATE_SILENCE = 2.0

#: The same after which it takes the store for lost, as far as entries that lapse are
#: concerned: before it reads the store itself, it can't know.
SILENT_OUTAGE = 1.8


class _Missed(msgspec.Struct, kw_only=True, frozen=True):
    """Say since when this host misses news, and which host has told of them."""

    since: float
    provider: str


class ServerReading:
    """Own when a host lists and reads the backend servers' records itself.

    Parameters
    ----------
    servers, hosts : TopicFollower
        The topics of the backend servers and of the entry hosts.
    started_at : float
        Monotonic time of this host's start.

    Attributes
    ----------
    silent_at : float
        Monotonic time at which this host last left the reading to others, and had
        heard nothing for as long as an outage takes to show.
    """

    __slots__ = (
        "_host",
        "_hosts",
        "_hosts_known_at",
        "_missed",
        "_reached_since",
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
        self._reached_since: float | None = None
        self._missed: _Missed | None = None
        self.silent_at = float("-inf")

    # Listing

    def begin(self) -> None:
        """Wait for this host's turn to list."""
        self._hosts.defers_listing = self._servers.defers_listing = True

    def settle_listing(self, *, acknowledged_at: float | None, now: float) -> None:
        """Let this host list once it is its turn.

        Parameters
        ----------
        acknowledged_at : float or None
            Monotonic time at which the store had taken this host's own record.
        """
        if self._hosts_known_at is None:
            unannounced = now - self._started_at < UNANNOUNCED
            self._hosts.defers_listing = acknowledged_at is None and unannounced
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
        """Leave the reading to the readers of the zone, as long as they tell.

        After an outage each host would read all that was written meanwhile; so the
        readers begin, and the others get what has changed.

        Parameters
        ----------
        reads : bool
            Whether this host is a reader of its zone.
        is_reachable : bool
            Whether the store answers this host.
        last_update_at, read_at : float
            Monotonic times at which another host told of something, and at which
            anything was read, here or elsewhere.
        """
        if not is_reachable:
            self._reached_since = None
            reads = self._heartbeats.is_among_first(now=now)
        elif self._reached_since is None:
            self._reached_since = now
        quiet_for = now - max(last_update_at, self._reached_since or now)
        self._servers.suspended = (
            not reads and self._servers.is_current and quiet_for < MAX_UPDATE_SILENCE
        )
        if self._servers.suspended and now - read_at > SILENT_OUTAGE:
            self.silent_at = now

    # What is missed

    def note_missed(self, updates: ServerUpdates, *, now: float) -> None:
        """Take news of which this host misses something.

        The store has it too, with all that says nothing new: one host that misses a
        datagram would read a thousand times as much, and all that missed it would fill
        the store's link and their own.
        """
        since = now if self._missed is None else self._missed.since
        self._missed = _Missed(since=since, provider=updates.provider)
        if updates.reader < self._host:
            self._servers.leave_to_others(now=now)

    def caught_up(self) -> None:
        """Take note that some of what was missed has come."""
        self._missed = None

    def provider(self, *, now: float) -> str | None:
        """Return who is to be asked for what is missed; None where nobody is.

        Once nobody has given anything for long, this host reads the store.
        """
        if self._missed is None:
            return None
        is_first = self._heartbeats.is_among_first(now=now)
        patience = GAP_PATIENCE if is_first else OTHERS_GAP_PATIENCE
        if now - self._missed.since <= patience:
            return self._missed.provider
        self._servers.read_on()
        return None
