"""Decide which hosts list all backend servers from the store when many hosts start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["MAX_FIRST_LISTERS", "LISTING_INTERVAL", "UNLISTED_TIMEOUT", "may_list"]

#: Hosts of a zone that list the servers immediately and provide the list to the other
#: hosts.  A listing of 3,000 servers takes two megabytes, and the reads of all hosts
#: share the store's rate.
MAX_FIRST_LISTERS = 4

#: Seconds after which one more host lists the servers if it hasn't received the list.
LISTING_INTERVAL = 0.25

#: Seconds during which a host waits until the store lists it among the zone's hosts.
#: The wait is limited because the store may be unreachable.
UNLISTED_TIMEOUT = 1.0


def may_list(
    host: str,
    hosts_of_zone: Iterable[str],
    *,
    known_at: float | None,
    started_at: float,
    now: float,
) -> bool:
    """Return whether a host may list the servers itself.

    Parameters
    ----------
    hosts_of_zone : iterable of str
        Hosts of its zone that the store lists.
    known_at : float or None
        Monotonic time at which the hosts of the zone, including this host, were read
        from the store; None before that.
    started_at : float
        Monotonic time at which the host started.
    """
    if known_at is None:
        return now - started_at >= UNLISTED_TIMEOUT
    n_before = sum(other < host for other in hosts_of_zone)
    n_delays = max(0, n_before - MAX_FIRST_LISTERS + 1)
    return now - known_at >= LISTING_INTERVAL * n_delays
