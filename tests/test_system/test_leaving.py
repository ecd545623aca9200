"""Test that backend servers that leave get nothing new, with real processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from ..callers import Answer, Caller
from ..processes import Fleet, free_udp_addresses, wait_until

ENTRIES = ("e1", "e2", "e3")

#: Seconds by which the platform's list lags.
LIST_LAG = 5.0

N_STREAMS = 24


def report_leaving(fleet: Fleet, host: str) -> None:
    fleet.control(host, leaving=True)


def list_leaving(fleet: Fleet, host: str) -> None:
    fleet.listed_by_name[host]["state"] = "leaving"
    fleet.publish_list()


def refuse_connections(fleet: Fleet, host: str) -> None:
    fleet.processes_by_name[host].kill()


async def streams(fleet: Fleet, *, step: str) -> list[Answer]:
    caller, entries = Caller(fleet), list(fleet.entries_by_name.values())
    return await asyncio.gather(
        *(
            caller.stream(entries[index % len(entries)], f"{step} {index}", n_tokens=3)
            for index in range(N_STREAMS)
        )
    )


def n_asked(fleet: Fleet, hosts: list[str]) -> dict[str, int]:
    return {host: fleet.counts(host)["n_asked"] for host in hosts}


def start_two_groups(fleet: Fleet) -> list[str]:
    """Start a zone whose list lags; return the members of one of its groups."""
    addresses = free_udp_addresses(len(ENTRIES))
    fleet.start_world(entries=(), n_groups=2)
    fleet.control("list", lag=LIST_LAG)
    for name, address in zip(ENTRIES, addresses, strict=True):
        fleet.start_entry(name, zone="z", peers_address=address, peers=addresses)
    fleet.wait_whole(2)
    entry = next(iter(fleet.entries_by_name.values()))
    return entry.dump()["groups"][0]["members"]


def all_know(fleet: Fleet, host: str) -> bool:
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
def test_a_leaving_host_gets_nothing_new(
    fleet: Fleet, leave: Callable[[Fleet, str], None], rank: int
) -> None:
    """Send work while a host of one of two groups leaves.

    Symptom: requests end in errors on a host that was told to go.
    Sequence: a host says that it leaves, is listed as leaving, or is gone; the list
    lags; requests arrive at all entry hosts.
    Cause: an entry host that did not see it itself goes on sending to its group.
    """
    members = start_two_groups(fleet)
    rank_0, leaver = members[0], members[rank]
    before = asyncio.run(streams(fleet, step="before"))
    assert all(answer.is_complete for answer in before)
    assert n_asked(fleet, [rank_0])[rank_0] > 0

    leave(fleet, leaver)
    wait_until(lambda: all_know(fleet, leaver), what="all entry hosts know")
    asked = n_asked(fleet, [rank_0])
    after = asyncio.run(streams(fleet, step="after"))

    assert [answer.error for answer in after if not answer.is_complete] == []
    assert n_asked(fleet, [rank_0]) == asked
