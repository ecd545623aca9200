"""Fixtures that share one small running system among the tests of a module."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from ..processes import EntryHost, Fleet, running_fleet, wait_until


@pytest.fixture(scope="module")
def served(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Start one engine, one plain service and one entry host."""
    with running_fleet(tmp_path_factory.mktemp("served")) as fleet:
        fleet.start_platform()
        fleet.start_engines("h0", zone="z", domain="d")
        fleet.start_service("service", zone="z", service="bookings")
        notes = {
            "version": "v1",
            "hosts_per_group": 1,
            "adapters": {"queensland": "v3"},
        }
        hidden = {"version": "v1", "hosts_per_group": 4}
        fleet.publish(
            {
                "models": {"notes": notes, "hidden": hidden},
                "client_accounts": {
                    "pawroute": fleet.account("pawroute"),
                    "walker": fleet.account("walker", models=["notes"]),
                },
                "services": {"bookings": {"non_repeatable": ["/bookings"]}},
            }
        )
        entry = fleet.start_entry(
            "e1",
            zone="z",
            callers_request_timeout=1.0,
            max_body=1 << 20,
        )
        wait_until(lambda: entry.n_complete_groups() == 1, what="the group is complete")
        yield fleet


@pytest.fixture(scope="module")
def entry(served: Fleet) -> EntryHost:
    """Return the only entry host."""
    return served.entries_by_name["e1"]
