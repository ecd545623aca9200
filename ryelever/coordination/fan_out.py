"""Distribute a datagram to many hosts through a few hosts that forward it."""

from __future__ import annotations

import msgspec

__all__ = ["MAX_RECEIVERS", "DirectReceiver", "fan_out"]

#: Maximum number of hosts to which the sender sends a datagram directly.  If there are
#: more hosts, the direct receivers forward the datagram to the others: a link of
#: 20 Mbit/s can't carry a copy for each of a hundred hosts while the groups of a large
#: fleet form.
MAX_RECEIVERS = 12


class DirectReceiver(msgspec.Struct, kw_only=True, frozen=True):
    """A direct receiver and the hosts to which it forwards the datagram.

    Attributes
    ----------
    hosts : tuple of str
        Hosts that receive the datagram from this one; empty if it forwards nothing.
    """

    host: str
    hosts: tuple[str, ...] = ()


def fan_out(
    hosts: list[str], *, live_hosts: set[str], rotation: int
) -> list[DirectReceiver]:
    """Return the direct receivers of a datagram, each with its forwarding targets.

    Parameters
    ----------
    hosts : list of str
        All hosts that are to receive the datagram.
    live_hosts : set of str
        Hosts whose heartbeats are received.  The others may be lost, together with
        the datagrams that they were to forward, and are chosen to forward only if no
        host is live.
    rotation : int
        Number that differs from datagram to datagram and selects other forwarding
        hosts each time.  A lost host that is not detected yet then costs the same
        receivers one datagram instead of all datagrams.
    """
    if len(hosts) <= MAX_RECEIVERS:
        return [DirectReceiver(host=host) for host in hosts]
    candidates = [host for host in hosts if host in live_hosts] or hosts
    first = rotation % len(candidates)
    receivers = (candidates[first:] + candidates[:first])[:MAX_RECEIVERS]
    chosen = set(receivers)
    others = [host for host in hosts if host not in chosen]
    return [
        DirectReceiver(host=host, hosts=tuple(others[place :: len(receivers)]))
        for place, host in enumerate(receivers)
    ]
