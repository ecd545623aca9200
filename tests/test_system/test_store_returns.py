"""Test entry hosts before a store that comes back from an older copy."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

import pytest

from ..processes import wait_until
from ..relay_zone import RelayZone, running_relay_zone


@pytest.fixture
def zone(tmp_path: Path) -> Iterator[RelayZone]:
    with running_relay_zone(tmp_path) as running:
        running.start_platform(n_engines=9)
        yield running


def _serving(zone: RelayZone) -> dict[int, str]:
    """Return the heads of the groups that serve, by epoch."""
    servers = zone.servers()
    return {
        servers[head]["group"]["epoch"]: head
        for head in zone.open_heads()
        if servers[head]["listed"]
    }


def _lose_a_head(zone: RelayZone) -> str:
    """Lose the head of a large group; return it once a later group serves."""
    before = _serving(zone)
    servers = zone.servers()
    lost = next(head for head in before.values() if len(servers[head]["members"]) == 2)
    zone.control(**{lost.replace("-", "_"): {"listed": False, "orders": "lost"}})
    wait_until(
        lambda: max(_serving(zone), default=0) > max(before),
        what="a later group serves",
    )
    return lost


def _come_back(zone: RelayZone) -> None:
    """Let the store come back from its copy, and the host read that."""

    def n_reads() -> int:
        return zone.platform_state()["store"]["n_calls_by_topic"]["keyed.servers"]

    zone.control(drill="come-back")
    n_before = n_reads()
    wait_until(lambda: n_reads() > n_before + 4, what="the host reads the copy")


def _members_by_epoch(zone: RelayZone) -> dict[int, set[tuple[str, ...]]]:
    """Return the lists of members that were told to join, by epoch."""
    members: dict[int, set[tuple[str, ...]]] = defaultdict(set)
    for server in zone.servers().values():
        for order in server["orders"]:
            if order["op"] == "join":
                members[order["epoch"]].add(tuple(order["members"]))
    return members


def test_groups_are_formed_after_the_store_came_back_from_a_copy(
    zone: RelayZone,
) -> None:
    """Guard against planners that append at an end which the store no longer has.

    Also against epochs that are given out again.
    """
    host = zone.start_host("e1")
    wait_until(lambda: len(_serving(zone)) > 3, what="groups serve")
    zone.control(drill="copy")
    lost = _lose_a_head(zone)
    _come_back(zone)
    zone.control(drill="write-again")
    zone.control(**{lost.replace("-", "_"): {"restart": True, "orders": "taken"}})
    _lose_a_head(zone)
    wait_until(
        lambda: host.chat(request_id="s1").status_code == 200,
        what="the new group takes requests",
    )
    assert all(len(lists) == 1 for lists in _members_by_epoch(zone).values())


def test_a_copy_makes_no_leaving_server_ready_again(zone: RelayZone) -> None:
    """Guard against requests to a leaving server that an older entry shows as ready."""
    host = zone.start_host("e1")
    zone.control(drill="copy")
    zone.control(plain_0={"state": "draining"})
    wait_until(
        lambda: any(
            event["draining"] for event in host.process.events("server_changed")
        ),
        what="the host knows that the server is leaving",
    )
    _come_back(zone)
    for number in range(20):
        host.call("/look/1", request_id=f"i{number}")
    assert not zone.servers()["plain-0"]["n_runs"]
