"""Test entry hosts while the keyed store is restored from an older copy."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

import pytest

from ryelever.coordination.renewals import MAX_RENEWAL_WAIT

from ..processes import wait_until
from ..relay_zone import RelayZone, running_relay_zone


@pytest.fixture
def zone(tmp_path: Path) -> Iterator[RelayZone]:
    with running_relay_zone(tmp_path) as running:
        running.start_platform(n_engines=9)
        yield running


def _serving_heads(zone: RelayZone) -> dict[int, str]:
    """Return the heads of serving groups that the platform lists, by epoch."""
    return {
        server["group"]["epoch"]: name
        for name, server in zone.servers().items()
        if server["listed"]
        and server["group"]
        and server["group"]["rank"] == 0
        and server["group"]["state"] == "open"
    }


def _remove_a_head(zone: RelayZone) -> str:
    """Remove the head of a large group; return its name once a later group serves."""
    before = _serving_heads(zone)
    servers = zone.servers()
    lost = next(head for head in before.values() if len(servers[head]["members"]) == 2)
    zone.control(**{lost.replace("-", "_"): {"listed": False, "orders": "lost"}})
    wait_until(
        lambda: max(_serving_heads(zone), default=0) > max(before),
        what="a group of a later epoch serves",
    )
    return lost


def _restore_store_from_copy(zone: RelayZone) -> None:
    """Restore the store from its copy and wait until the host has read the copy."""
    zone.control(drill="come-back")
    _wait_until_servers_are_read(zone)


def _wait_until_servers_are_read(zone: RelayZone) -> None:
    """Wait until the host has read the servers' records for over a second."""

    def n_reads() -> int:
        return zone.platform_state()["store"]["n_calls_by_topic"]["keyed.servers"]

    n_before = n_reads()
    wait_until(lambda: n_reads() > n_before + 4, what="the host reads the copy")


def _members_by_epoch(zone: RelayZone) -> dict[int, set[tuple[str, ...]]]:
    """Return the distinct member lists of all join orders, by epoch."""
    members: dict[int, set[tuple[str, ...]]] = defaultdict(set)
    for server in zone.servers().values():
        for order in server["orders"]:
            if order["op"] == "join":
                members[order["epoch"]].add(tuple(order["members"]))
    return members


def test_groups_are_formed_after_the_store_is_restored_from_a_copy(
    zone: RelayZone,
) -> None:
    """Guard against planners that append at an offset beyond the restored store's end.

    Also guard against epochs that are assigned twice.
    """
    host = zone.start_host("e1")
    wait_until(lambda: len(_serving_heads(zone)) > 3, what="groups serve")
    zone.control(drill="copy")
    lost = _remove_a_head(zone)
    _restore_store_from_copy(zone)
    zone.control(drill="write-again")
    zone.control(**{lost.replace("-", "_"): {"restart": True, "orders": "taken"}})
    _remove_a_head(zone)
    wait_until(
        lambda: host.chat(request_id="s1").status_code == 200,
        what="the new group takes requests",
    )
    assert all(len(lists) == 1 for lists in _members_by_epoch(zone).values())


def test_restored_copy_does_not_make_a_leaving_server_ready(zone: RelayZone) -> None:
    """Guard against requests to a leaving server that the older copy shows as ready."""
    host = zone.start_host("e1")
    zone.control(drill="copy")
    zone.control(plain_0={"state": "draining"})
    wait_until(
        lambda: any(
            event["draining"] for event in host.process.events("server_changed")
        ),
        what="the host knows that the server is leaving",
    )
    _restore_store_from_copy(zone)
    for number in range(20):
        host.call("/look/1", request_id=f"i{number}")
    assert not zone.servers()["plain-0"]["n_runs"]


def test_host_that_starts_with_an_older_copy_waits_for_the_servers(
    zone: RelayZone,
) -> None:
    """Guard against members of serving groups that a new planner takes for free.

    The host that plans is killed and starts again while the store is restored from a
    copy that was made before the groups were formed.
    """
    zone.control(drill="copy")
    host = zone.start_host("e1")
    wait_until(lambda: len(_serving_heads(zone)) > 3, what="groups serve")
    host.process.kill()
    zone.control(drill="come-back")
    host = zone.start_host("e1")
    _wait_until_servers_are_read(zone)
    renewed_at = time.time()
    zone.control(drill="write-again")
    began_at = host.process.wait_for_event("planner_began")["time"]
    returned_at = host.process.wait_for_event("store_era")["time"]
    assert began_at >= min(renewed_at, returned_at + MAX_RENEWAL_WAIT)
