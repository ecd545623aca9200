"""Test the whole path with real processes."""

from __future__ import annotations

import time

import httpx
import pytest

from ..processes import Fleet, wait_until


@pytest.fixture
def small_fleet(fleet: Fleet) -> Fleet:
    """Start one group, one plain service and two entry hosts in one zone."""
    fleet.start_platform()
    fleet.start_engines(*(f"h{rank}" for rank in range(4)), zone="z", domain="d")
    fleet.start_service("service", zone="z", service="bookings")
    fleet.publish(
        {
            "models": {"notes": {"version": "v1"}},
            "client_accounts": {"pawroute": fleet.account("pawroute")},
            "services": {"bookings": {"non_repeatable": ["/bookings"]}},
        }
    )
    for name in ("e1", "e2"):
        fleet.start_entry(name, zone="z")
    wait_until(
        lambda: all(
            entry.n_whole_groups() == 1 for entry in fleet.entries_by_name.values()
        ),
        what="the group is whole",
    )
    return fleet


def test_booking_that_is_sent_twice_runs_once(small_fleet: Fleet) -> None:
    """Resend a booking at another entry host.

    Symptom: a customer is charged twice.  Sequence: the booking runs, its answer is
    lost on the way, the caller sends it again and the balancer picks another entry
    host.  Cause: that host did not know of the first run.
    """
    headers = {
        "Authorization": f"Bearer {small_fleet.keys_by_account['pawroute']}",
        "Idempotency-Key": f"{time.time_ns() // 1_000_000}-rex",
    }
    answers = [
        httpx.post(
            f"{entry.url}/services/bookings/bookings",
            headers=headers,
            json={"dog": "Rex"},
        )
        for entry in small_fleet.entries_by_name.values()
    ]
    assert [answer.status_code for answer in answers] == [201, 201]
    assert answers[0].content == answers[1].content
    address = small_fleet.addresses_by_name["service"]
    assert list(httpx.get(f"http://{address}/bookings").json().values()) == [1]


def test_entry_host_stops_gracefully(small_fleet: Fleet) -> None:
    """End with exit code 0 when nothing is in flight."""
    codes = [entry.process.stop() for entry in small_fleet.entries_by_name.values()]
    assert codes == [0, 0]
