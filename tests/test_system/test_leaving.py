"""Test that leaving backend servers get no new requests, with real processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from ..callers import Answer, Caller
from ..processes import Fleet, free_udp_addresses, wait_until

ENTRIES = ("e1", "e2", "e3")

#: Seconds by which the platform's list of hosts lags behind changes.
LIST_LAG = 5.0

N_STREAMS = 24


def report_leaving(fleet: Fleet, host: str) -> None:
    fleet.control(host, leaving=True)


def list_leaving(fleet: Fleet, host: str) -> None:
    fleet.listed_by_name[host]["state"] = "leaving"
    fleet.publish_list()


def refuse_connections(fleet: Fleet, host: str) -> None:
    fleet.processes_by_name[host].kill()


async def stream_answers(fleet: Fleet, *, step: str) -> list[Answer]:
    caller, entries = Caller(fleet), list(fleet.entries_by_name.values())
    return await asyncio.gather(
        *(
            caller.stream(entries[index % len(entries)], f"{step} {index}", n_tokens=3)
            for index in range(N_STREAMS)
        )
    )


def n_requests_by_host(fleet: Fleet, hosts: list[str]) -> dict[str, int]:
    return {host: fleet.counts(host)["n_asked"] for host in hosts}


def start_two_groups(fleet: Fleet) -> list[str]:
    """Start a zone whose list of hosts lags; return the members of one of its groups.

    The zone has two groups and three entry hosts that are peers of each other.
    """
    addresses = free_udp_addresses(len(ENTRIES))
    fleet.start_world(entries=(), n_groups=2)
    fleet.control("list", lag=LIST_LAG)
    for name, address in zip(ENTRIES, addresses, strict=True):
        fleet.start_entry(name, zone="z", peers_address=address, peers=addresses)
    fleet.wait_complete_groups(2)
    entry = next(iter(fleet.entries_by_name.values()))
    return entry.dump()["groups"][0]["members"]


def is_known_to_leave(fleet: Fleet, host: str) -> bool:
    """Return whether all entry hosts see a host as leaving or have no report of it."""
    return all(
        entry.dump()["hosts"][host]["leaving"]
        or entry.dump()["hosts"][host]["reported"] is None
        for entry in fleet.entries_by_name.values()
    )


@pytest.mark.parametrize(
    ("leave", "rank"),
    [
        pytest.param(report_leaving, 0, id="reports_it"),
        pytest.param(list_leaving, 0, id="only_listed"),
        pytest.param(refuse_connections, 1, id="refuses_connections"),
    ],
)
def test_leaving_host_gets_no_new_requests(
    fleet: Fleet, leave: Callable[[Fleet, str], None], rank: int
) -> None:
    """Send requests while a host of one of two groups leaves.

    Guards against requests that end in errors on a host that was ordered to leave.  A
    host reports that it leaves, is listed as leaving, or refuses connections; the list
    lags, and requests arrive at all entry hosts.  An entry host that did not observe
    the leaving host itself must also stop sending requests to that host's group.
    """
    members = start_two_groups(fleet)
    rank_0, leaving_host = members[0], members[rank]
    before = asyncio.run(stream_answers(fleet, step="before"))
    assert all(answer.is_complete for answer in before)
    assert n_requests_by_host(fleet, [rank_0])[rank_0] > 0

    leave(fleet, leaving_host)
    wait_until(
        lambda: is_known_to_leave(fleet, leaving_host),
        what="all entry hosts know that the host leaves",
    )
    n_requests_before = n_requests_by_host(fleet, [rank_0])
    after = asyncio.run(stream_answers(fleet, step="after"))

    assert [answer.error for answer in after if not answer.is_complete] == []
    assert n_requests_by_host(fleet, [rank_0]) == n_requests_before
