"""Test that a process that was stopped doesn't plan beside another one."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from ..processes import wait_until
from ..relay_zone import RelayZone, running_relay_zone


@pytest.fixture
def zone(tmp_path: Path) -> Iterator[RelayZone]:
    """Start hosts e1 and e2, of which e1 plans, and yield the zone once it serves."""
    with running_relay_zone(tmp_path) as running:
        running.start_platform(n_engines=4)
        running.start_host("e1").process.wait_for_event("planner_began")
        running.start_host("e2").process.wait_for_event("peer_heard")
        running.head_of(2)
        yield running


def test_stopped_planner_leaves_the_groups_to_the_one_that_took_over(
    zone: RelayZone,
) -> None:
    """Guard against a server that joins a group while the head of its former is open.

    The head restarts while its planner is stopped, and another host opens the group
    again under the same epoch.
    """
    e1, e2 = (zone.hosts_by_name[name].process for name in ("e1", "e2"))
    head = zone.head_of(2)
    group = zone.servers()[head]["group"]["name"]
    n_yields = len(e2.events("planner_ended"))
    e1.send(signal.SIGSTOP)
    zone.control(**{head.replace("-", "_"): {"restart": True}})
    wait_until(lambda: head not in zone.open_heads(), what="the head has restarted")
    wait_until(lambda: head in zone.open_heads(), what="the head is open again")
    assert zone.servers()[head]["group"]["name"] == group
    e1.send(signal.SIGCONT)
    e1.wait_for_event("planner_ended")
    assert len(e2.events("planner_ended")) == n_yields
    ended = [line["group"] for line in e1.events("group_phase") if line["reason"]]
    assert group not in ended
    assert zone.platform_state()["group_faults"] == []
