"""Decide which hosts list all backend servers from the store when many start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["LISTERS", "TURN", "UNANNOUNCED", "may_list"]

#: Hosts of a zone that list at once.  The others are given the list by them: each
#: would read two megabytes of 3,000 servers, and reads of all hosts share the store's
#: rate.
LISTERS = 4

#: Seconds after which one host more lists, while nobody gives the list.
TURN = 0.25

#: Seconds for which a host waits to be entered among the others; the store may be away.
UNANNOUNCED = 1.0


def may_list(
    host: str,
    hosts_of_zone: Iterable[str],
    *,
    known_at: float | None,
    started_at: float,
    now: float,
) -> bool:
    """Tell whether a host is to list the servers itself.

    Parameters
    ----------
    hosts_of_zone : iterable of str
        The hosts of its zone that the store lists.
    known_at : float or None
        Monotonic time at which they were known, this host among them; None before.
    started_at : float
        Monotonic time of its start.
    """
    if known_at is None:
        return now - started_at >= UNANNOUNCED
    n_before = sum(other < host for other in hosts_of_zone)
    n_turns = max(0, n_before - LISTERS + 1)
    return now - known_at >= TURN * n_turns
