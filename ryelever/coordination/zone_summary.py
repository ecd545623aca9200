"""Merge the heartbeats of an availability zone's entry hosts into a zone heartbeat.

If each host sent heartbeats to each host of the other zones, their number would grow
with the square of the number of hosts: with 390 hosts they would take a twelfth of a
core on each host.  Therefore one host represents its zone.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from msgspec.structs import replace

from ..state.observations import join_involvements, sum_waiting

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..state.leaving import LeavingServerRow
    from ..state.observations import RateLimitRow
    from .host_heartbeats import HostHeartbeat

__all__ = ["zone_summary"]

#: Maximum number of hosts that a zone names as forwarding requests.  They share the
#: requests of hosts of other zones, and each name takes some 20 bytes.
MAX_FORWARDERS = 8


def zone_summary(own: HostHeartbeat, others: Iterable[HostHeartbeat]) -> HostHeartbeat:
    """Return the merged heartbeat that a host sends for its zone.

    Parameters
    ----------
    own : HostHeartbeat
        The host's own heartbeat.
    others : iterable of HostHeartbeat
        Newest heartbeats of the zone's other hosts.
    """
    heartbeats = [own, *others]
    in_flight: Counter[str] = Counter()
    demand: Counter[str] = Counter()
    urgent_demand: Counter[str] = Counter()
    for heartbeat in heartbeats:
        in_flight.update(heartbeat.in_flight_by_server)
        demand.update(heartbeat.demand_by_model)
        urgent_demand.update(heartbeat.urgent_demand_by_model)
    return replace(
        own,
        n_hosts=len(heartbeats),
        in_flight_by_server=dict(in_flight),
        demand_by_model=dict(demand),
        urgent_demand_by_model=dict(urgent_demand),
        arrival_rate=sum(heartbeat.arrival_rate for heartbeat in heartbeats),
        waiting=sum_waiting(
            row for heartbeat in heartbeats for row in heartbeat.waiting
        ),
        still=_union(heartbeat.still for heartbeat in heartbeats),
        moving=_union(heartbeat.moving for heartbeat in heartbeats),
        plans=_union(heartbeat.plans for heartbeat in heartbeats),
        reshapes=_union(heartbeat.reshapes for heartbeat in heartbeats),
        suspicions=join_involvements(
            row for heartbeat in heartbeats for row in heartbeat.suspicions
        ),
        rate_limits=_newest(
            row for heartbeat in heartbeats for row in heartbeat.rate_limits
        ),
        wanted_servers=_union(heartbeat.wanted_servers for heartbeat in heartbeats),
        forwarders=tuple(
            sorted(heartbeat.host for heartbeat in heartbeats if heartbeat.forwards)
        )[:MAX_FORWARDERS],
        leaving_servers=_distinct(
            row for heartbeat in heartbeats for row in heartbeat.leaving_servers
        ),
    )


def _union(parts: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    return tuple(sorted({item for part in parts for item in part}))


def _distinct(rows: Iterable[LeavingServerRow]) -> tuple[LeavingServerRow, ...]:
    return tuple(sorted(set(rows), key=lambda row: row.server_id))


def _newest(rows: Iterable[RateLimitRow]) -> tuple[RateLimitRow, ...]:
    newest: dict[str, RateLimitRow] = {}
    for row in rows:
        known = newest.get(row.server_id)
        if known is None or row.age < known.age:
            newest[row.server_id] = row
    return tuple(sorted(newest.values(), key=lambda row: (row.age, row.server_id)))
