"""A stopping host takes a late request and cuts its answer off: rule LOST."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    CaseError,
    Client,
    EntryHost,
    Fleet,
    Model,
    Record,
    free_ips,
    open_heads,
    run_case,
    until,
)

#: Seconds from SIGTERM to the end of the first answer: the next request is sent at once
#: on the same connection, later than 3 s after SIGTERM.
FIRST_ENDS = 3.4

#: Events of both answers, 0.1 s apart; the second takes 5 s of its budget of 8 s.
N_FIRST_EVENTS = 40
N_NEXT_EVENTS = 50

#: Seconds from SIGTERM until which the rule excuses a request that is still at work in
#: the last sixth of ``grace_s``.
EXCUSED = 3.0

#: Time budget of the next request, also its route's timeout, and its id.
BUDGET_MS = 8000
NEXT_ID = "9c41d07be2a35f68"

#: The host that stops, and the other one.
N_HOSTS = 2


async def case(record: Record, directory: Path, trouble: bool) -> bool:
    """Return whether the rule held."""
    model = Model(name="m0", size=2, load_s=16.0, warm_s=1.6)
    fleet = Fleet(record, models=[model])
    fleet.event_time = 0.1
    await fleet.start(n_engines=5, n_plain=0)
    hosts = [
        EntryHost(f"front-{number}", ip=ip)
        for number, ip in enumerate(free_ips(N_HOSTS), start=1)
    ]
    try:
        for host in hosts:
            host.start(directory, store=fleet.store.server.address, zones=("z",))
        for host in hosts:
            await until(host.is_ready, what=f"{host.name} is ready")
        await until(lambda: len(open_heads(fleet)) == 2, what="two groups serve")
        await asyncio.sleep(2.0)
        return await play(record, fleet, hosts[0], trouble)
    finally:
        for host in hosts:
            for event in ("stopping", "idle_connections_closed", "stopped"):
                for line in host.events(event):
                    record.write(f"log of {host.name}: {line}")
            host.kill()


async def play(record: Record, fleet: Fleet, host: EntryHost, trouble: bool) -> bool:
    """Stop the host while a client asks twice on one connection."""
    client = Client(host.front, record)
    first = asyncio.create_task(
        client.call("/talk/1", model="m0", n_events=N_FIRST_EVENTS)
    )
    await asyncio.sleep(N_FIRST_EVENTS * 0.1 - FIRST_ENDS)
    stopped_at = record.now()
    if trouble:
        record.write(f"SIGTERM to {host.name}")
        host.send(signal.SIGTERM)
    reply = await first
    record.write(f"{record.now() - stopped_at:.2f} s after SIGTERM")
    if not reply.complete:
        record.write("the first answer isn't complete")
        return False
    if reply.headers.get("connection", "") == "close":
        record.write("the connection was to be closed: nothing is sent on it")
        return True
    if trouble and record.now() - stopped_at <= EXCUSED:
        raise CaseError("the next request would be sent too early to count")
    sent_at = record.now()
    reply = await client.call(
        "/talk/2",
        model="m0",
        n_events=N_NEXT_EVENTS,
        deadline_ms=BUDGET_MS,
        request_id=NEXT_ID,
    )
    took = record.now() - sent_at
    was_passed_on = any(NEXT_ID in worker.runs for worker in fleet.workers.values())
    record.write(f"the next request took {took:.2f} s, passed on: {was_passed_on}")
    # A request that crosses the host's close isn't passed on, and doesn't count.
    return reply.complete or not was_passed_on or took >= BUDGET_MS / 1000


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
