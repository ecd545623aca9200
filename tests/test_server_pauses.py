"""Test that backend servers get the pauses that they ask for."""

from __future__ import annotations

import pytest

from .limited_fleet import LimitedFleet, fleet_of_three_zones

#: Requests that may reach a server during a pause, and seconds from the start of the
#: pause after which requests count.
MAX_DURING_PAUSE = 2
GRACE = 0.5

#: Seconds at which servers begin to refuse requests.
REFUSED_FROM = 4.0


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> LimitedFleet:
    """Return a fleet whose servers take two seconds for each request."""
    fleet = fleet_of_three_zones(monkeypatch, rate=16.0)
    for server in fleet.servers.values():
        server.seconds = 2.0
    return fleet


def test_server_gets_no_requests_during_the_pause_that_it_asked_for(
    fleet: LimitedFleet,
) -> None:
    """Keep to a pause although earlier requests succeed at the server meanwhile."""
    refusing = fleet.servers["y-server-0"]
    fleet.run(REFUSED_FROM)
    refusing.pause = "3"
    fleet.run(REFUSED_FROM + 10.0)
    assert refusing.max_during_pause(after=GRACE) <= MAX_DURING_PAUSE
