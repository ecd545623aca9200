"""Divide the polling of backend servers among the entry hosts of a zone."""

from __future__ import annotations

import hashlib
from collections.abc import Collection

__all__ = ["N_POLLERS", "PollingAssignment", "ReportPolling", "rendezvous"]

#: Number of entry hosts that are responsible for polling a backend server.
N_POLLERS = 2

#: Maximum number of entry hosts in a zone at which only the first poller polls
#: regularly and the second one is on standby.  With more hosts, reports of the first
#: poller reach the others so late that most of them would poll themselves.
MAX_HOSTS_WITH_STANDBY = 4

#: Age of a report, as a fraction of its maximum age, at which the standby poller polls
#: too, and at which every other host does.
STANDBY_AGE_SHARE = 0.75
OTHERS_AGE_SHARE = 0.8

#: Seconds between two polls by a host that is no poller of a server without a known
#: report, for example after the server has refused connections.
UNKNOWN_SERVER_INTERVAL = 2.0


def rendezvous(key: str, names: Collection[str], *, n_chosen: int) -> list[str]:
    """Return the names with the highest hashes of key and name, the highest first.

    When a name is added or removed, only the keys of this name are reassigned.
    """
    ranked = sorted(names, key=lambda name: _weight(key, name), reverse=True)
    return ranked[:n_chosen]


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()


class PollingAssignment:
    """Decide which backend servers this entry host polls itself.

    Entry hosts may disagree for seconds on which of them are alive.  A server is then
    polled by more than ``N_POLLERS`` hosts or, while a dead entry host still counts as
    alive, regularly by none.  In that case the second poller and after it every other
    host poll when reports become old, and an old report never counts as fresh.

    Parameters
    ----------
    host : str
        Name of this entry host.
    """

    def __init__(self, *, host: str, n_pollers: int = N_POLLERS) -> None:
        self._host = host
        self._n_pollers = n_pollers
        self._members: frozenset[str] = frozenset()
        self._rank_by_server: dict[str, int] = {}

    def set_members(self, members: Collection[str]) -> None:
        """Set the names of the other live entry hosts of the zone."""
        members = frozenset(members) - {self._host}
        if members != self._members:
            self._members = members
            self._rank_by_server.clear()

    def polls(self, server: str) -> bool:
        """Return whether this entry host is one of a backend server's pollers."""
        return self.rank(server) < self._n_pollers

    def rank(self, server: str) -> int:
        """Return this entry host's rank among the pollers of a backend server.

        The first poller has rank 0; hosts that are no pollers have rank
        ``n_pollers``.  Every host has rank 0 with at most ``n_pollers`` entry hosts,
        and while it receives nothing from other hosts.  With more than
        ``MAX_HOSTS_WITH_STANDBY`` hosts every poller has rank 0.
        """
        if len(self._members) < self._n_pollers:
            return 0
        rank = self._rank_by_server.get(server)
        if rank is None:
            names = [*self._members, self._host]
            pollers = rendezvous(server, names, n_chosen=self._n_pollers)
            is_poller = self._host in pollers
            rank = pollers.index(self._host) if is_poller else self._n_pollers
            if is_poller and len(names) > MAX_HOSTS_WITH_STANDBY:
                rank = 0
            self._rank_by_server[server] = rank
        return rank

    def retain(self, servers: Collection[str]) -> None:
        """Drop the state of all servers except the given ones."""
        for server in self._rank_by_server.keys() - set(servers):
            del self._rank_by_server[server]


class ReportPolling:
    """Decide when this entry host polls a backend server for its report.

    The pollers of rank 0 poll a server every ``interval``.  The other hosts receive
    the reports from them and poll only when these reports are late, the standby poller
    before the rest: the pollers of rank 0 are then lost or unreachable from here.  A
    host polls early enough to get a report before the known one becomes invalid.

    Parameters
    ----------
    interval, max_age : float
        Seconds between two polls, and seconds during which a report is valid.
    """

    def __init__(
        self,
        *,
        assignment: PollingAssignment,
        availability_zone: str,
        interval: float,
        max_age: float,
    ) -> None:
        self._assignment = assignment
        self._zone = availability_zone
        self._interval = interval
        self._standby_age = STANDBY_AGE_SHARE * max_age
        self._others_age = OTHERS_AGE_SHARE * max_age
        self._polled_at_by_server: dict[str, float] = {}

    def is_due(
        self, server: str, *, zone: str, reported_at: float | None, now: float
    ) -> bool:
        """Return whether to poll a server now; if so, record the time of the poll.

        Parameters
        ----------
        zone : str
            Availability zone of the server.
        reported_at : float or None
            Monotonic time at which the newest known report was requested.
        """
        interval = self._interval if zone == self._zone else 2 * self._interval
        rank = self._assignment.rank(server)
        if rank > 0 and reported_at is not None:
            is_poller = self._assignment.polls(server)
            own_poll_age = self._standby_age if is_poller else self._others_age
            if now - reported_at < own_poll_age:
                return False
        elif not self._assignment.polls(server):
            interval = max(interval, UNKNOWN_SERVER_INTERVAL)
        if now - self._polled_at_by_server.get(server, float("-inf")) < interval:
            return False
        self._polled_at_by_server[server] = now
        return True

    def retain(self, servers: Collection[str]) -> None:
        """Drop the state of all servers except the given ones."""
        self._assignment.retain(servers)
        for server in self._polled_at_by_server.keys() - set(servers):
            del self._polled_at_by_server[server]
