"""Test the failure of backend servers while streams are open.

The leader of a group is its member of rank 0, which receives the group's requests.
"""

from __future__ import annotations

import asyncio
import re
import signal

import httpx
import pytest

from ..callers import ANSWER_TIMEOUT, Answer, Caller
from ..processes import EntryHost, Fleet, free_udp_addresses, wait_until


def _start_peers(fleet: Fleet, names: tuple[str, ...]) -> list[EntryHost]:
    """Start entry hosts that know each other."""
    addresses = free_udp_addresses(len(names))
    hosts = [
        fleet.start_entry(name, zone="z", peers_address=address, peers=addresses)
        for name, address in zip(names, addresses, strict=True)
    ]
    wait_until(
        lambda: all(
            len(host.dump()["peers"]["live_members"]) == len(names) - 1
            for host in hosts
        ),
        what="peers known",
    )
    return hosts


def _hold_generation(fleet: Fleet, *, at: int) -> None:
    """Let the leaders of all groups stop each stream at a token; 0 for none."""
    for group in fleet.entries_by_name["e1"].dump()["groups"]:
        fleet.control(group["members"][0], held_at=at)


def _busy_group(fleet: Fleet) -> list[str]:
    """Return the members of the group whose leader runs the most requests."""
    groups = fleet.entries_by_name["e1"].dump()["groups"]
    n_running_by_leader = {
        group["members"][0]: fleet.counts(group["members"][0])["n_running"]
        for group in groups
    }
    leader = max(n_running_by_leader, key=n_running_by_leader.get)
    return next(group["members"] for group in groups if leader in group["members"])


def test_member_crash_with_a_hundred_open_streams(fleet: Fleet) -> None:
    """Kill one member of a group in mid-stream.

    Guards against answers that stop in the middle, start again or contain the tokens of
    another answer.  A hundred streams are open on two groups, one host of one group is
    killed, and the whole group aborts.  The streams of the aborted group must be
    resumed on the other group after the tokens that were delivered.
    """
    fleet.start_world(n_groups=2, progress_timeout=30.0)
    # On a busy machine the streams would end before the kill.
    _hold_generation(fleet, at=50)

    def kill_member() -> None:
        leader, _, member, *_ = _busy_group(fleet)
        n_running.append(fleet.counts(leader)["n_running"])
        fleet.processes_by_name[member].kill()
        _hold_generation(fleet, at=0)

    n_running: list[int] = []

    answers = asyncio.run(
        Caller(fleet).stream_all(
            fleet.entries_by_name.values(),
            n_streams=100,
            n_tokens=100,
            inject_fault=kill_member,
        )
    )
    assert [answer.error for answer in answers if not answer.is_complete] == []
    n_retries = sum(
        len(entry.process.events("attempt_failed"))
        for entry in fleet.entries_by_name.values()
    )
    assert n_running[0] > 0
    assert n_retries > 0, "no stream was open on the group whose member was killed"


@pytest.mark.parametrize("rank", [0, 2], ids=["leader", "member"])
def test_frozen_host_in_mid_stream(fleet: Fleet, rank: int) -> None:
    """Freeze the leader or another member of a group in mid-stream.

    Guards against streams that hang and against new requests to a group with a missing
    member.  A host freezes without closing its connections: the streams make no
    progress and the host sends no more reports, and no other sign shows the fault.
    """
    fleet.start_world(n_groups=2, progress_timeout=1.0)
    frozen: list[str] = []

    def freeze() -> None:
        frozen.append(_busy_group(fleet)[rank])
        fleet.processes_by_name[frozen[0]].send(signal.SIGSTOP)

    caller = Caller(fleet)
    answers = asyncio.run(
        caller.stream_all(
            fleet.entries_by_name.values(), n_streams=30, inject_fault=freeze
        )
    )
    assert [answer.error for answer in answers if not answer.is_complete] == []
    wait_until(
        lambda: all(
            frozen[0] not in group["members"] or not group["whole"]
            for entry in fleet.entries_by_name.values()
            for group in entry.dump()["groups"]
        ),
        what="the group with the frozen host is not complete",
    )
    entry = fleet.entries_by_name["e1"]
    late = asyncio.run(caller.stream(entry, "after the freeze", n_tokens=3))
    assert late.is_complete


def test_requests_to_a_frozen_leader_are_retried(fleet: Fleet) -> None:
    """Freeze the leader of a group before requests reach it.

    Guards against a caller that waits for its first token until the timeout, 10 s by
    default.  A leader freezes while its last report is still valid, requests are sent
    to it, then its group ceases to be complete.  Requests that wait for their first
    token must be retried then, not only at that timeout.
    """
    fleet.start_world(entries=("e1",), n_groups=2, first_token_timeout=60.0)
    fleet.processes_by_name["d0-0"].send(signal.SIGSTOP)
    entry = fleet.entries_by_name["e1"]
    caller = Caller(fleet)

    async def run() -> list[Answer]:
        streams = [
            caller.stream(entry, f"early {index}", n_tokens=5) for index in range(8)
        ]
        return list(await asyncio.gather(*streams))

    answers = asyncio.run(run())
    assert [answer.error for answer in answers if not answer.is_complete] == []
    metrics = httpx.get(f"{entry.url}/metrics", timeout=5).text
    (n_retries,) = re.findall(r"retries\{?[^ ]* (\d+)", metrics)
    assert int(n_retries) > 0, "no request was on the frozen leader"


def test_poison_request_ends_in_explicit_errors(fleet: Fleet) -> None:
    """Send a request that crashes every engine that runs it, and send it again.

    Guards against a caller that hangs, and against a bystander (a request that runs on
    the same engine) whose answer stops without an error.  The request crashes the
    leader of one group, is retried on the other group and crashes its leader too; the
    caller sends the request again.  Each retry of a poison request crashes another
    engine.
    """
    fleet.start_world(n_groups=2, request_timeout=10.0)
    caller = Caller(fleet)
    entries = list(fleet.entries_by_name.values())
    poison = "please crash-the-engine"

    async def run() -> None:
        bystanders = [
            asyncio.ensure_future(
                caller.stream(entries[index % 2], f"bystander {index}", n_tokens=60)
            )
            for index in range(10)
        ]
        for entry in entries:
            answer = await caller.stream(entry, poison)
            assert answer.is_partial_with_error
        answers = await asyncio.gather(*bystanders)
        assert all(
            answer.is_complete or answer.is_partial_with_error for answer in answers
        )

    asyncio.run(run())


@pytest.mark.parametrize("entries", [("e1",), ("e1", "e2"), ("e1", "e2", "e3")])
def test_poison_request_is_quarantined(fleet: Fleet, entries: tuple[str, ...]) -> None:
    """Send a poison request repeatedly while bystanders are served.

    Guards against one group after another crashing, with the loss of all answers.  With
    four groups or more, the poison request crashes the leader of one group after
    another, and the caller sends the request to another entry host each time.

    This happens if no entry host records which requests ran when an engine crashed, if
    the requests that ran there are retried together on one engine, or if the other
    entry host has not received the record.
    """
    n_groups = 3 + len(entries)
    fleet.start_world(entries=(), n_groups=n_groups)
    hosts = _start_peers(fleet, entries)
    fleet.wait_complete_groups(n_groups)
    caller = Caller(fleet)
    begun_indices: set[int] = set()

    async def run() -> None:
        all_begun = asyncio.Event()

        def record_begin(index: int) -> None:
            begun_indices.add(index)
            if len(begun_indices) == 10:
                all_begun.set()

        bystanders = [
            asyncio.ensure_future(
                caller.stream(
                    hosts[index % len(hosts)],
                    f"bystander {index}",
                    n_tokens=100,
                    on_token=lambda index=index: record_begin(index),
                )
            )
            for index in range(10)
        ]
        await asyncio.wait_for(all_begun.wait(), ANSWER_TIMEOUT)
        for index in range(4):
            entry = hosts[index % len(hosts)]
            answer = await caller.stream(entry, "please crash-the-engine")
            assert (
                answer.is_partial_with_error
                and answer.error["code"] == "request_quarantined"
            )
        answers = await asyncio.gather(*bystanders)
        assert [answer.error for answer in answers if not answer.is_complete] == []

    asyncio.run(run())
    leaders = [f"d{index}-0" for index in range(n_groups)]
    exit_codes = [fleet.processes_by_name[leader].exit_code for leader in leaders]
    assert exit_codes.count(86) <= 2
