"""Test entry hosts that are partitioned from backend servers, as processes."""

from __future__ import annotations

import itertools
import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import httpx
import pytest

from ..partition import Partition, PartitionMode
from ..processes import wait_until
from ..relay_zone import (
    RelayHost,
    RelayZone,
    events_of_stream,
    running_relay_zone,
)

#: Seconds after the start of a partition from which its hosts must serve.
CONTACT_TIME = 3.0

#: Maximum number of partitions until one host has seen a group stalled.
MAX_PARTITIONS = 5

CUTS = [
    pytest.param(PartitionMode.SILENT, id="silent"),
    pytest.param(PartitionMode.RESET, id="reset"),
    pytest.param(PartitionMode.REFUSE_NEW, id="new-connections-refused"),
]


@pytest.fixture
def zone(tmp_path: Path) -> Iterator[RelayZone]:
    with running_relay_zone(tmp_path) as running:
        running.start_platform(n_engines=4, n_plain=3)
        yield running


@pytest.fixture
def partition(zone: RelayZone) -> Iterator[Partition]:
    """Start hosts e1 and e2 that know each other, and yield the partition of e1."""
    path = zone.directory / "e1.partition"
    partition = Partition(path=path, servers=zone.server_addresses())
    zone.start_host("e1", partition=partition)
    zone.start_host("e2").process.wait_for_event("peer_heard")
    zone.head_of(2)
    zone.head_of(1)
    yield partition
    partition.close()


class Callers:
    """Callers that send one request of each kind after the other to a host."""

    def __init__(self, *, host: RelayHost) -> None:
        self._host = host
        self._numbers = itertools.count(1)

    def call(self) -> bool:
        """Send the next request; return whether it was served."""
        number = next(self._numbers)
        request_id = f"r{number}"
        calls = (
            lambda: self._host.call("/look/1", request_id=request_id),
            lambda: self._host.call("/once/1", request_id=request_id, method="POST"),
            lambda: self._host.chat(request_id=request_id, model="small"),
            lambda: self._host.chat(request_id=request_id),
        )
        try:
            answer = calls[number % len(calls)]()
        except httpx.HTTPError:
            return False
        return answer.status_code == 200

    def share_served(self, *, n_calls: int) -> float:
        """Return the share of requests, sent by eight callers, that is served."""
        with ThreadPoolExecutor(8) as threads:
            served = list(threads.map(lambda _: self.call(), range(n_calls)))
        return sum(served) / n_calls

    def call_until(self, end: float) -> None:
        """Send requests until a monotonic time."""
        while time.monotonic() < end:
            self.share_served(n_calls=8)


@pytest.fixture
def callers(zone: RelayZone, partition: Partition) -> Callers:
    """Return callers of e1, which serves."""
    callers = Callers(host=zone.hosts_by_name["e1"])
    wait_until(lambda: callers.share_served(n_calls=4) == 1.0, what="e1 serves")
    return callers


@pytest.mark.parametrize("mode", CUTS)
def test_callers_of_a_partitioned_host_are_served_at_the_first_attempt(
    zone: RelayZone, partition: Partition, callers: Callers, mode: PartitionMode
) -> None:
    """Guard against a host that keeps requests which only other hosts can send."""
    partition.set(mode)
    callers.call_until(time.monotonic() + CONTACT_TIME)
    assert callers.share_served(n_calls=40) >= 2 / 3
    assert max(zone.n_runs().values()) == 1


@pytest.mark.parametrize("mode", CUTS)
def test_partitioned_planner_leaves_sound_groups_alone(
    zone: RelayZone, partition: Partition, callers: Callers, mode: PartitionMode
) -> None:
    """Guard against a planner that takes the loss of its own paths for lost members."""
    zone.slow_engines(n_events=20, event_ms=50.0)
    zone.hosts_by_name["e1"].process.wait_for_event("planner_began")
    n_ended = len(_ended_groups(zone))
    partition.set(mode)
    callers.call_until(time.monotonic() + CONTACT_TIME)
    partition.set(PartitionMode.NONE)
    wait_until(lambda: callers.share_served(n_calls=4) == 1.0, what="e1 serves")
    assert len(_ended_groups(zone)) == n_ended


def _ended_groups(zone: RelayZone) -> list[str]:
    """Return the groups that a planner began to end, other than warm-up groups."""
    return [
        line["group"]
        for host in zone.hosts_by_name.values()
        for line in host.process.events("group_phase")
        if line["phase"] == "ending"
    ]


def test_partitioned_host_reports_no_stalled_groups(
    zone: RelayZone, partition: Partition, callers: Callers
) -> None:
    """Guard against hosts that shun sound groups for what a partitioned host sees."""
    zone.slow_engines(n_events=20, event_ms=50.0)
    partitioned = zone.hosts_by_name["e1"].process
    for _ in range(MAX_PARTITIONS):
        partition.set(PartitionMode.SILENT)
        callers.call_until(time.monotonic() + CONTACT_TIME)
        if partitioned.events("group_still"):
            break
        # The host knew that its paths were lost before it saw a group stalled.
        partition.set(PartitionMode.NONE)
        callers.call_until(time.monotonic() + CONTACT_TIME)
    assert partitioned.events("group_still")
    assert not zone.hosts_by_name["e2"].process.events("stall_received")


def test_stopping_host_finishes_what_it_forwards(
    zone: RelayZone, partition: Partition, callers: Callers
) -> None:
    """Guard against streams of other hosts that a planned stop cuts off."""
    partition.set(PartitionMode.SILENT)
    callers.call_until(time.monotonic() + CONTACT_TIME)
    zone.slow_engines(n_events=40, event_ms=80.0)
    host = zone.hosts_by_name["e1"]
    other = zone.hosts_by_name["e2"].process
    with ThreadPoolExecutor(1) as threads:
        stream = threads.submit(host.chat, request_id="long", model="small")
        wait_until(lambda: zone.server_that_runs("long"), what="the stream runs")
        other.send(signal.SIGTERM)
        assert stream.result().text == events_of_stream(40)
    assert other.wait() == 0
    assert zone.n_runs()["long"] == 1


def test_forwarded_answers_that_end_with_their_connection_are_complete(
    zone: RelayZone, partition: Partition, callers: Callers
) -> None:
    """Guard against answers without a length that another host passes on."""
    zone.end_answers_with_connections("closed")
    partition.set(PartitionMode.SILENT)
    callers.call_until(time.monotonic() + CONTACT_TIME)
    host = zone.hosts_by_name["e1"]
    assert host.chat(request_id="s1").text == events_of_stream(5)
    posted = host.call("/once/1", request_id="u1", method="POST")
    assert (posted.status_code, posted.text) == (200, "POST /once/1 a body")


@pytest.mark.parametrize("how", ["cut", "reset"])
def test_forwarded_answer_that_ends_early_never_looks_complete(
    zone: RelayZone, partition: Partition, callers: Callers, how: str
) -> None:
    """Guard against a broken answer that another host ends in good order."""
    partition.set(PartitionMode.SILENT)
    callers.call_until(time.monotonic() + CONTACT_TIME)
    zone.end_answers_with_connections(how)
    host = zone.hosts_by_name["e1"]
    with pytest.raises(httpx.RemoteProtocolError):
        host.chat(request_id="s1")
    if how == "reset":
        assert host.call("/once/1", request_id="u1", method="POST").status_code == 502
