"""Share the questions to backend servers out among the entry hosts of a zone."""

from __future__ import annotations

import hashlib
from collections.abc import Collection

__all__ = ["N_ASKERS", "PollingShares", "ReportFollowing", "rendezvous"]

#: Entry hosts that answer for asking one backend server; the first of them asks.
N_ASKERS = 2

#: Parts of a report's longest age after which the second of them asks too, and
#: after which every other host does.
STANDBY_SHARE = 0.75
LATE_SHARE = 0.8

#: Seconds between two questions of a host that is no asker to a server of which
#: nothing is known, as after it has refused connections.
UNKNOWN_INTERVAL = 2.0


def rendezvous(key: str, names: Collection[str], *, n_chosen: int) -> list[str]:
    """Return the names with the highest hash together with a key.

    When a name comes or goes, only the keys move that it gains or loses.
    """
    ranked = sorted(names, key=lambda name: _weight(key, name), reverse=True)
    return ranked[:n_chosen]


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()


class PollingShares:
    """Decide which backend servers this entry host asks itself.

    Two entry hosts may disagree for seconds on who lives.  A server is then asked by
    more or, while a dead entry host still counts as living, by none in its turn: the
    second asker, and after it every other host, asks when reports get old, and
    reports that got old are never taken for fresh.

    Parameters
    ----------
    host : str
        Name of this entry host.
    """

    def __init__(self, *, host: str, n_askers: int = N_ASKERS) -> None:
        self._host = host
        self._n_askers = n_askers
        self._members: frozenset[str] = frozenset()
        self._rank_by_server: dict[str, int] = {}

    def set_members(self, members: Collection[str]) -> None:
        """Take the names of the other entry hosts of the zone that live."""
        members = frozenset(members) - {self._host}
        if members != self._members:
            self._members = members
            self._rank_by_server.clear()

    def asks(self, server: str) -> bool:
        """Tell whether this entry host is one of a backend server's askers."""
        return self.rank(server) < self._n_askers

    def rank(self, server: str) -> int:
        """Return this entry host's place among the askers of a backend server.

        The first is 0; ``n_askers`` stands for all that are none.  With ``n_askers``
        entry hosts or fewer, and while the exchange is silent, each is the first.
        """
        if len(self._members) < self._n_askers:
            return 0
        rank = self._rank_by_server.get(server)
        if rank is None:
            names = [*self._members, self._host]
            chosen = rendezvous(server, names, n_chosen=self._n_askers)
            here = self._host in chosen
            rank = chosen.index(self._host) if here else self._n_askers
            self._rank_by_server[server] = rank
        return rank

    def forget(self, servers: Collection[str]) -> None:
        """Drop what is kept of servers other than these."""
        for server in self._rank_by_server.keys() - set(servers):
            del self._rank_by_server[server]


class ReportFollowing:
    """Decide when this entry host asks a backend server for its report.

    The first asker of a server asks at ``interval``.  The others learn from it, and
    ask only when what they learn is late, the second asker before the rest: then the
    first is gone, or cut off from here, and the own question still comes before the
    known report stops counting.

    Parameters
    ----------
    interval, max_age : float
        Seconds between two questions, and seconds for which a report counts.
    """

    def __init__(
        self,
        *,
        shares: PollingShares,
        availability_zone: str,
        interval: float,
        max_age: float,
    ) -> None:
        self._shares = shares
        self._zone = availability_zone
        self._interval = interval
        self._standby_age = STANDBY_SHARE * max_age
        self._late_age = LATE_SHARE * max_age
        self._asked_at_by_host: dict[str, float] = {}

    def is_due(
        self, server: str, *, zone: str, reported_at: float | None, now: float
    ) -> bool:
        """Tell whether to ask now; the question then counts as asked.

        Parameters
        ----------
        zone : str
            Availability zone of the server.
        reported_at : float or None
            When the newest report known here was asked for.
        """
        interval = self._interval if zone == self._zone else 2 * self._interval
        rank = self._shares.rank(server)
        if rank > 0 and reported_at is not None:
            asks = self._shares.asks(server)
            late_age = self._standby_age if asks else self._late_age
            if now - reported_at < late_age:
                return False
        elif not self._shares.asks(server):
            interval = max(interval, UNKNOWN_INTERVAL)
        if now - self._asked_at_by_host.get(server, float("-inf")) < interval:
            return False
        self._asked_at_by_host[server] = now
        return True

    def forget(self, servers: Collection[str]) -> None:
        """Drop what is kept of servers other than these."""
        self._shares.forget(servers)
        for server in self._asked_at_by_host.keys() - set(servers):
            del self._asked_at_by_host[server]
