"""Demonstrate both kinds of entry host on one machine, end to end: ``make demo``.

The first part starts stand-ins of the backend servers and three entry hosts in two
availability zones.  It streams a chat answer, sends the same booking to two entry
hosts, and kills one member of the serving group in the middle of a stream.  The second
part starts an entry host that relays requests, in front of stand-ins of the platform,
and stalls the group that runs a stream.  The demonstration checks the result of each
step.
"""

from __future__ import annotations

import contextlib
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import httpx
from openai import OpenAI

from tests.processes import EntryHost, Fleet, running_fleet, wait_until
from tests.relay_zone import RelayZone, events_of_stream, running_relay_zone

ZONES = ("brisbane", "ipswich")
N_TOKENS = 80
QUESTION = [{"role": "user", "content": "Which dogs are home?"}]


def main() -> int:
    """Run the demonstration and return 0 only if all checks passed."""
    started = time.monotonic()
    checks: dict[str, bool] = {}
    with (
        tempfile.TemporaryDirectory() as directory,
        running_fleet(Path(directory)) as fleet,
    ):
        entries = _start(fleet)
        checks["a chat answer was streamed completely"] = _check_chat(fleet, entries[0])
        checks["a booking that was sent twice ran once"] = _check_booking(
            fleet, entries
        )
        checks["a stream survived the loss of a group member"] = _check_member_loss(
            fleet, entries[0]
        )
        codes = [entry.process.stop() for entry in entries]
        checks["the entry hosts shut down gracefully"] = codes == [0, 0, 0]
    with (
        tempfile.TemporaryDirectory() as directory,
        running_relay_zone(Path(directory)) as zone,
    ):
        checks["a relayed stream survived a stalled group"] = _check_relay(zone)
    for what, passed in checks.items():
        print(f"{'ok  ' if passed else 'FAIL'} {what}")
    print(f"{time.monotonic() - started:.1f} s; all started processes were stopped")
    return 0 if all(checks.values()) else 1


def _check_relay(zone: RelayZone) -> bool:
    """Relay a stream whose first group stalls, and return whether it is complete."""
    zone.start_platform()
    host = zone.start_host("relay-1")
    zone.head_of(1)
    zone.slow_engines(n_events=15)
    with ThreadPoolExecutor() as threads:
        future = threads.submit(host.chat, request_id="s1", model="small")
        first = wait_until(
            lambda: zone.server_that_runs("s1"), what="a server runs the stream"
        )
        zone.control(**{first.replace("-", "_"): {"still": True}})
        answer = future.result()
    second = zone.server_that_runs("s1", other_than=first)
    print(f"relayed a stream from {first}, which stalled, and then from {second}")
    return answer.text == events_of_stream(15)


def _start(fleet: Fleet) -> list[EntryHost]:
    fleet.start_platform(list_lag=0.5)
    for zone, domain in (("brisbane", "b1"), ("brisbane", "b2"), ("ipswich", "i1")):
        hosts = [f"{zone}-{domain}-{rank}" for rank in range(4)]
        fleet.start_engines(*hosts, zone=zone, domain=domain)
        print(f"started engines {', '.join(hosts)}")
    fleet.start_service("bookings-1", zone="brisbane", service="bookings")
    fleet.publish(
        {
            "models": {"notes": {"version": "v1", "n_groups": 2}},
            "client_accounts": {"pawroute": fleet.account("pawroute")},
            "services": {"bookings": {"non_repeatable": ["/bookings"]}},
        }
    )
    entries = [
        fleet.start_entry(name, zone=zone, availability_zones=list(ZONES))
        for name, zone in (
            ("entry-1", "brisbane"),
            ("entry-2", "brisbane"),
            ("entry-3", "ipswich"),
        )
    ]
    wait_until(
        lambda: all(entry.n_complete_groups() == 3 for entry in entries),
        what="three replica groups are complete",
    )
    for group in entries[0].dump()["groups"]:
        print(f"group {group['group'][:14]} serves on {', '.join(group['members'])}")
    return entries


def _client(fleet: Fleet, entry: EntryHost) -> OpenAI:
    return OpenAI(
        base_url=f"{entry.url}/v1",
        api_key=fleet.keys_by_account["pawroute"],
        max_retries=0,
    )


def _stream(fleet: Fleet, entry: EntryHost, on_token: object = None) -> list[str]:
    answer = _client(fleet, entry).chat.completions.create(
        model="notes", messages=QUESTION, max_tokens=N_TOKENS, stream=True
    )
    tokens: list[str] = []
    for chunk in answer:
        if chunk.choices and chunk.choices[0].delta.content:
            tokens += chunk.choices[0].delta.content.split()
            if on_token is not None:
                on_token(len(tokens))
    return tokens


def _is_complete(tokens: list[str]) -> bool:
    positions = [int(token.rpartition("-")[2]) for token in tokens]
    return positions == list(range(N_TOKENS))


def _check_chat(fleet: Fleet, entry: EntryHost) -> bool:
    tokens = _stream(fleet, entry)
    print(f"streamed {len(tokens)} tokens through {entry.address}")
    return _is_complete(tokens)


def _check_booking(fleet: Fleet, entries: list[EntryHost]) -> bool:
    headers = {
        "Authorization": f"Bearer {fleet.keys_by_account['pawroute']}",
        "Idempotency-Key": f"{time.time_ns() // 1_000_000}-rex",
    }
    answers = [
        httpx.post(
            f"{entry.url}/services/bookings/bookings",
            headers=headers,
            json={"dog": "Rex"},
            timeout=10,
        )
        for entry in (entries[0], entries[2])
    ]
    for answer in answers:
        replayed = answer.headers.get("Ryelever-Replayed", "false")
        print(f"booking answered {answer.status_code}, replayed: {replayed}")
    address = fleet.addresses_by_name["bookings-1"]
    runs = httpx.get(f"http://{address}/bookings").json()
    print(f"the service ran: {runs}")
    is_same_answer = answers[0].content == answers[1].content
    return (
        is_same_answer and list(runs.values()) == [1] and answers[0].status_code == 201
    )


def _check_member_loss(fleet: Fleet, entry: EntryHost) -> bool:
    killed: list[str] = []
    lock = threading.Lock()

    def kill_member(n_tokens: int) -> None:
        with lock:
            if killed or n_tokens < N_TOKENS // 4:
                return
            member = _member_to_kill(fleet, entry)
            killed.append(member)
            fleet.processes_by_name[member].kill()
            print(f"killed {member} after {n_tokens} tokens")

    tokens = _stream(fleet, entry, kill_member)
    print(f"the stream continued to {len(tokens)} tokens")
    return bool(killed) and _is_complete(tokens)


def _member_to_kill(fleet: Fleet, entry: EntryHost) -> str:
    state = entry.dump()
    target = state["requests"][0]["target"]
    group = next(group for group in state["groups"] if group["group"] == target)
    return group["members"][2]


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(main())
