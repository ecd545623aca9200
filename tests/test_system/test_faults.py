"""Let backend servers fail under open streams."""

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


def _busy_group(fleet: Fleet) -> list[str]:
    """Return the members of the group that generates most."""
    groups = fleet.entries_by_name["e1"].dump()["groups"]
    busy = {
        group["members"][0]: fleet.counts(group["members"][0])["n_running"]
        for group in groups
    }
    leader = max(busy, key=busy.get)
    return next(group["members"] for group in groups if leader in group["members"])


def test_members_death_under_a_hundred_streams(fleet: Fleet) -> None:
    """Kill one member of a group in mid-stream.

    Symptom: answers that stop in the middle, start again or carry another's
    tokens.  Sequence: a hundred streams are open on two groups, one host of one
    group dies, its whole group aborts.  Cause: the streams of that group have to
    be resumed on the other one after the tokens that were delivered.
    """
    fleet.start_world(n_groups=2)

    def kill_member() -> None:
        fleet.processes_by_name[_busy_group(fleet)[2]].kill()

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
    assert n_retries > 0, "no stream was on the group that died"


@pytest.mark.parametrize("rank", [0, 2], ids=["leader", "member"])
def test_frozen_host(fleet: Fleet, rank: int) -> None:
    """Freeze the leader or another member of a group in mid-stream.

    Symptom: streams that hang, and new requests sent to a group with a member
    missing.  Sequence: a host stops without closing anything; its connections stay
    open.  Cause: only silence tells, on the stream and in the host's reports.
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
        what="the group with the frozen host is not whole",
    )
    entry = fleet.entries_by_name["e1"]
    late = asyncio.run(caller.stream(entry, "after the freeze", n_tokens=3))
    assert late.is_complete


def test_first_token_of_a_frozen_leader(fleet: Fleet) -> None:
    """Freeze the leader of a group before requests reach it.

    Symptom: a caller waits for its first token until the timeout, 10 s by default.
    Sequence: a leader freezes while its last report still counts, requests are sent
    to it, then its group stops counting as whole.  Cause: what waited for a first
    token was looked at only by that timeout.
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
    """Send a request that crashes whatever runs it, and send it again.

    Symptom: a caller that hangs, or a bystander whose answer just stops.
    Sequence: the request kills the leader of a group, is tried on the other and
    kills it too; its caller comes back.  Cause: one request that every retry makes
    worse.
    """
    fleet.start_world(n_groups=2, recovery_timeout=2.0)
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
    """Send a poison request again and again while bystanders are served.

    Symptom: group after group dies, and every answer with them.  Sequence: as
    above, on four groups or more, and the caller asks another entry host each time.
    Cause: nobody remembers what ran when an engine died, or what ran there is sent
    to one place again, or the other entry host has not heard of it.
    """
    n_groups = 3 + len(entries)
    fleet.start_world(entries=(), n_groups=n_groups)
    hosts = _start_peers(fleet, entries)
    fleet.wait_whole(n_groups)
    caller = Caller(fleet)
    begun: set[int] = set()

    async def run() -> None:
        all_begun = asyncio.Event()

        def note(index: int) -> None:
            begun.add(index)
            if len(begun) == 10:
                all_begun.set()

        bystanders = [
            asyncio.ensure_future(
                caller.stream(
                    hosts[index % len(hosts)],
                    f"bystander {index}",
                    n_tokens=100,
                    on_token=lambda index=index: note(index),
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
    crashed = [fleet.processes_by_name[leader].exit_code for leader in leaders]
    assert crashed.count(86) <= 2
