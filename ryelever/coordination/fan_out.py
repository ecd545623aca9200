"""Divide the hosts that one host has something to tell among some of them."""

from __future__ import annotations

import msgspec

__all__ = ["MAX_RECEIVERS", "Relayer", "fan_out"]

#: Hosts that one host sends a datagram to itself.  With more of them, some send it on:
#: a link of 20 Mbit/s doesn't carry a copy for each of a hundred hosts while the groups
#: of a large fleet form.
MAX_RECEIVERS = 12


class Relayer(msgspec.Struct, kw_only=True, frozen=True):
    """Name a host that is sent something, and those to whom it sends it on.

    Attributes
    ----------
    hosts : tuple of str
        Empty where it keeps it to itself.
    """

    host: str
    hosts: tuple[str, ...] = ()


def fan_out(hosts: list[str], *, living: set[str], turn: int) -> list[Relayer]:
    """Return to whom something is sent.

    Parameters
    ----------
    hosts : list of str
        All that are to hear of it.
    living : set of str
        Those that are heard; one that isn't may be lost, and what it had to send on
        as well.
    turn : int
        Another number picks others to send it on, so that one whose loss has not
        shown yet costs the same hosts one datagram and not all.
    """
    if len(hosts) <= MAX_RECEIVERS:
        return [Relayer(host=host) for host in hosts]
    able = [host for host in hosts if host in living] or hosts
    first = turn % len(able)
    relayers = (able[first:] + able[:first])[:MAX_RECEIVERS]
    chosen = set(relayers)
    others = [host for host in hosts if host not in chosen]
    return [
        Relayer(host=host, hosts=tuple(others[place :: len(relayers)]))
        for place, host in enumerate(relayers)
    ]
