"""Test OpenAI entry hosts that are partitioned from backend servers, as processes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterator

import pytest

from ..callers import Caller, new_key
from ..partition import Partition, PartitionMode
from ..processes import EntryHost, Fleet, wait_until
from ..relay_zone import unused_loopback_address

#: Seconds after the start of a partition from which its hosts must serve.
CONTACT_TIME = 3.0

CUTS = [
    pytest.param(PartitionMode.SILENT, id="silent"),
    pytest.param(PartitionMode.RESET, id="reset"),
]


@pytest.fixture
def start_pair(fleet: Fleet) -> Iterator[Callable[..., Partition]]:
    """Yield a function that starts two entry hosts, and returns the first's partition.

    The hosts are called e1 and e2.
    """
    partitions = []

    def start(**settings: object) -> Partition:
        fleet.start_world(entries=(), n_groups=2)
        servers = [row["address"] for row in fleet.listed_by_name.values()]
        path = fleet.directory / "e1.partition"
        partition = Partition(path=path, servers=servers)
        partitions.append(partition)
        # Forwarded requests arrive at the TCP ports with the same numbers, which are
        # only free for certain at an address that no other process uses.
        ip = unused_loopback_address()
        addresses = [f"{ip}:7001", f"{ip}:7002"]
        programs = ({"program": partition.program}, {})
        for name, address, program in zip(
            ("e1", "e2"), addresses, programs, strict=True
        ):
            fleet.start_entry(
                name,
                zone="z",
                peers_address=address,
                peers=addresses,
                **program,
                **settings,
            )
        fleet.wait_complete_groups(2)
        return partition

    yield start
    for partition in partitions:
        partition.close()


async def _share_served(fleet: Fleet, entry: EntryHost, *, n_each: int) -> float:
    """Return the share of streams and bookings that a host serves at the first try."""
    caller = Caller(fleet)
    streams = [
        caller.stream(entry, f"prompt {time.monotonic()} {index}", n_tokens=5)
        for index in range(n_each)
    ]
    bookings = [asyncio.to_thread(caller.book, entry, new_key()) for _ in range(n_each)]
    answers = await asyncio.gather(*streams)
    booked = await asyncio.gather(*bookings)
    n_served = sum(answer.is_complete for answer in answers)
    n_served += sum(answer.status_code == 201 for answer in booked)
    return n_served / (2 * n_each)


@pytest.mark.parametrize("mode", CUTS)
def test_callers_of_a_partitioned_entry_host_are_served(
    fleet: Fleet, start_pair: Callable[..., Partition], mode: PartitionMode
) -> None:
    """Guard against an entry host that keeps requests which only its peers can send."""
    partition = start_pair(forward_requests=True, request_timeout=4.0)
    entry = fleet.entries_by_name["e1"]

    def share(n_each: int) -> float:
        return asyncio.run(_share_served(fleet, entry, n_each=n_each))

    wait_until(lambda: share(2) == 1.0, what="e1 serves")
    partition.set(mode)
    end = time.monotonic() + CONTACT_TIME
    while time.monotonic() < end:
        share(2)
    assert share(15) >= 2 / 3
    assert max(fleet.n_runs()) == 1
    partition.set(PartitionMode.NONE)
    wait_until(lambda: share(2) == 1.0, what="e1 serves again")


def test_sound_hosts_keep_groups_that_a_partitioned_host_cannot_reach(
    fleet: Fleet, start_pair: Callable[..., Partition]
) -> None:
    """Guard against peers that take the word of a host without paths to servers."""
    partition = start_pair(forward_requests=True)
    partition.set(PartitionMode.RESET)
    other = fleet.entries_by_name["e2"]
    end = time.monotonic() + CONTACT_TIME
    while time.monotonic() < end:
        assert other.n_complete_groups() == 2
