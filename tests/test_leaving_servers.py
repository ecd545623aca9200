"""Test that backend servers get no new requests once their answers say they leave."""

from __future__ import annotations

import pytest

from .limited_fleet import LimitedFleet, fleet_of_three_zones

#: Seconds after a host's first answer from a leaving server within which the host may
#: still send requests there.
DRAIN_TIME = 2.0

#: Seconds at which the answers of a server begin to state that it is leaving.
LEAVING_FROM = 3.0


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> LimitedFleet:
    return fleet_of_three_zones(monkeypatch, rate=24.0)


def test_leaving_server_gets_no_requests_from_hosts_that_it_answered(
    fleet: LimitedFleet,
) -> None:
    """Believe an answer rather than a list that shows the server as ready."""
    leaving = fleet.servers["y-server-0"]
    fleet.run(LEAVING_FROM)
    leaving.leaving = True
    fleet.run(LEAVING_FROM + 3.0)
    fleet.renew("y-server-0")
    fleet.run(LEAVING_FROM + 6.0)
    fleet.lose("y-server-0")
    fleet.run(LEAVING_FROM + 7.0)
    fleet.renew("y-server-0")
    fleet.run(LEAVING_FROM + 12.0)
    assert leaving.leaving_known_at_by_host
    assert leaving.n_after_leaving(after=DRAIN_TIME) == 0


def test_all_hosts_hear_of_a_leaving_server(fleet: LimitedFleet) -> None:
    """Tell the other hosts, whose planner replaces the server, before it is gone."""
    leaving = fleet.servers["y-server-0"]
    fleet.rate_by_host |= dict.fromkeys(["z-host-0", "z-host-1"], 0.0)
    fleet.run(LEAVING_FROM)
    leaving.leaving = True
    fleet.run(LEAVING_FROM + DRAIN_TIME)
    assert "z-host-0" not in leaving.leaving_known_at_by_host
    assert all(
        host.directory.by_id["y-server-0"].draining for host in fleet.hosts.values()
    )
