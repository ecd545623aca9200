"""Test hosts to which the platform hands most new connections for some seconds."""

from __future__ import annotations

import pytest

from .contended_fleet import ContendedFleet
from .limited_fleet import LimitedFleet, fleet_of_three_zones
from .parts_fleet import PartsCase, PartsFleet

#: Share of all new requests that one host gets, and the span in which it does.
SHARE = 0.85
CROWDED_FROM, CROWDED_UNTIL = 8.0, 20.0

#: Seconds after which the platform hands the connections to another host.
MOVED_AT = 14.0

#: Seconds from the start of the crowd, or from its move, after which requests count.
GRACE = 3.0

#: Requests are to be served at the first attempt at least this often, compared with
#: the seconds before.
MIN_SHARE = 3 / 4


def _schedule_crowds(fleet: LimitedFleet) -> None:
    """Let one host and then another one get most requests, and the others the rest."""
    first, *_, last = sorted(fleet.hosts)
    usual = dict(fleet.rate_by_host)
    rate = sum(usual.values())
    rest = dict.fromkeys(fleet.hosts, (1 - SHARE) * rate / len(fleet.hosts))
    fleet.at(CROWDED_FROM, lambda: fleet.rate_by_host.update(rest))
    fleet.at(CROWDED_UNTIL, lambda: fleet.rate_by_host.update(usual))
    for host, start, end in (
        (fleet.hosts[first], CROWDED_FROM, MOVED_AT),
        (fleet.hosts[last], MOVED_AT, CROWDED_UNTIL),
    ):
        for index in range(int(SHARE * rate * (end - start))):
            at = start + index / (SHARE * rate)
            fleet.at(at, lambda host=host: fleet._send_new(host))


SPANS = ((CROWDED_FROM + GRACE, MOVED_AT), (MOVED_AT + GRACE, CROWDED_UNTIL))


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [0.4, 0.8])
def test_requests_at_a_crowded_host_are_served_as_before(
    monkeypatch: pytest.MonkeyPatch, load: float, seed: int
) -> None:
    """Guard against a host that has too small a part of the servers for its callers."""
    fleet = PartsFleet(monkeypatch, case=PartsCase(load=load), seed=seed)
    _schedule_crowds(fleet)
    fleet.run(CROWDED_UNTIL + 4.0)
    before = fleet.share_served(2.0, CROWDED_FROM)
    for start, end in SPANS:
        assert fleet.share_served(start, end) >= MIN_SHARE * before


@pytest.mark.parametrize("seed", [1, 2])
def test_contended_requests_at_a_crowded_host_are_served_as_before(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guard against shares of contended slots that belong to hosts without callers."""
    fleet = ContendedFleet(monkeypatch, load=0.8, seed=seed)
    _schedule_crowds(fleet)
    fleet.run(CROWDED_UNTIL + 4.0)

    def share_on_time(start: float, end: float) -> float:
        callers = [item for item in fleet.callers if start <= item.arrived_at < end]
        return sum(item.had_slot_within(1.0) for item in callers) / len(callers)

    before = share_on_time(2.0, CROWDED_FROM)
    for start, end in SPANS:
        assert share_on_time(start, end) >= MIN_SHARE * before


def test_rate_limits_follow_the_callers_to_a_crowded_host(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against shares of servers' rate limits at hosts without callers."""
    fleet = fleet_of_three_zones(monkeypatch, rate=12.0)
    _schedule_crowds(fleet)
    fleet.run(2.0)
    for server in fleet.servers.values():
        server.limit = "4"
    fleet.run(CROWDED_UNTIL + 1.0)

    def share_served(start: float, end: float) -> float:
        arrivals = (server.n_between(start, end) for server in fleet.servers.values())
        n_served = sum(arrivals)
        n_refused = sum(start <= at < end for at, *_ in fleet.refusals)
        return n_served / (n_served + n_refused)

    before = share_served(5.0, CROWDED_FROM)
    for start, end in SPANS:
        assert share_served(start, end) >= MIN_SHARE * before
