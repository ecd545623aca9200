"""Test that entry hosts drain and stop under load, with real processes."""

from __future__ import annotations

import asyncio
import itertools
import signal
import threading

from ..callers import Answer, Caller, new_key
from ..processes import EntryHost, Fleet, wait_until

#: Seconds; the default of the settings.  The grace must outlast two readiness probes
#: of the balancer, which take longer than the probe interval on a busy machine.
DRAIN_GRACE = 3.0

#: Hosts that are stopped until a request has arrived in the grace of one of them.
MAX_STOPPED_HOSTS = 5


class Balancer:
    """Select among the entry hosts that were ready at the last readiness probe."""

    def __init__(self, fleet: Fleet, caller: Caller) -> None:
        self._fleet = fleet
        self._caller = caller
        self.ready: list[EntryHost] = []
        self._request_numbers = itertools.count()

    async def check_readiness(self) -> None:
        """Probe the readiness of all entry hosts every 0.05 s until cancelled."""
        while True:
            entries = list(self._fleet.entries_by_name.values())
            states = await asyncio.gather(*map(self._caller.is_ready, entries))
            self.ready = [
                entry for entry, ready in zip(entries, states, strict=True) if ready
            ]
            await asyncio.sleep(0.05)

    async def next(self) -> EntryHost:
        """Return the entry host for a new request, by round robin over ready hosts."""
        while not self.ready:
            await asyncio.sleep(0.01)
        return self.ready[next(self._request_numbers) % len(self.ready)]


async def _call_until(
    stop: asyncio.Event, caller: Caller, balancer: Balancer, name: str
) -> list[Answer]:
    answers = []
    while not stop.is_set():
        prompt = f"{name} {len(answers)}"
        entry = await balancer.next()
        answers.append(await caller.stream(entry, prompt, n_tokens=20))
    return answers


async def _under_load(fleet: Fleet, work: object, *, n_callers: int) -> list[Answer]:
    """Run blocking work in a thread while callers send requests one after another."""
    stop = asyncio.Event()
    caller = Caller(fleet)
    balancer = Balancer(fleet, caller)
    checks = asyncio.ensure_future(balancer.check_readiness())
    calls = [
        asyncio.ensure_future(_call_until(stop, caller, balancer, f"caller {index}"))
        for index in range(n_callers)
    ]
    await asyncio.to_thread(work)
    stop.set()
    answers = await asyncio.gather(*calls)
    checks.cancel()
    return list(itertools.chain.from_iterable(answers))


def test_rolling_replacement_of_all_entry_hosts_under_load(fleet: Fleet) -> None:
    """Replace every entry host, one after another, while callers send requests.

    Guards against refused or broken answers during an upgrade.  A host gets SIGTERM
    while streams are open and the balancer still sends requests to it.  Answers break
    if the host closes before the balancer has stopped selecting it, or before its
    streams have ended.
    """
    fleet.start_world(entries=("e1", "e2", "e3"), drain_grace=DRAIN_GRACE)

    def replace_hosts() -> None:
        old_names = list(fleet.entries_by_name)
        for name in old_names:
            new = fleet.start_entry(f"{name}-new", zone="z", drain_grace=DRAIN_GRACE)
            wait_until(lambda new=new: new.n_complete_groups() == 1, what="new host")
            assert fleet.entries_by_name[name].process.stop() == 0
            del fleet.entries_by_name[name]

    answers = asyncio.run(_under_load(fleet, replace_hosts, n_callers=12))
    assert len(answers) > 100
    assert [answer.error for answer in answers if not answer.is_complete] == []


async def _drain(entry: EntryHost, caller: Caller, late: list[Answer]) -> None:
    """Stop a host; send one request in its grace, and one after it."""
    entry.process.send(signal.SIGTERM)
    await asyncio.to_thread(entry.process.wait_for_event, "drain_started")
    assert not await caller.is_ready(entry)
    late.append(await caller.stream(entry, "in the grace", n_tokens=3))
    await asyncio.to_thread(entry.process.wait_for_event, "drain_closed")
    late.append(await caller.stream(entry, "after the grace"))


def _refused_in_grace(entry: EntryHost) -> list[str]:
    """Return the lines about refused requests from before the end of the grace."""
    lines = entry.process.lines()
    [closed] = [index for index, line in enumerate(lines) if '"drain_closed"' in line]
    return [line for line in lines[:closed] if '"request_failed"' in line]


def _stop_under_load(entry: EntryHost, caller: Caller) -> Answer:
    """Stop a host with open streams; return the answer to a request in its grace."""
    late: list[Answer] = []
    answers = asyncio.run(
        caller.stream_all(
            [entry],
            n_streams=30,
            n_tokens=150,
            inject_fault=lambda: _drain(entry, caller, late),
        )
    )
    in_grace, after_grace = late
    assert [answer.error for answer in answers if not answer.is_complete] == []
    assert _refused_in_grace(entry) == []
    assert after_grace.error["code"] == "draining"
    assert after_grace.error["run_state"] == "not_run"
    wait_until(lambda: entry.process.exit_code is not None, what="the host ends")
    assert entry.process.exit_code == 0
    return in_grace


def test_drain_under_load(fleet: Fleet) -> None:
    """Stop a host with open streams.

    Guards against streams that are cut off and requests that are refused at the moment
    of the signal, which happens if the steps of the shutdown run in the wrong order.
    SIGTERM arrives while streams are open; one request arrives during the grace and
    another one after the grace.  On a busy machine the first one may arrive after the
    grace as well; then the next host is stopped.
    """
    fleet.start_world(entries=("e1",), drain_grace=1.0)
    caller = Caller(fleet)
    in_grace = _stop_under_load(fleet.entries_by_name["e1"], caller)
    for number in range(2, MAX_STOPPED_HOSTS + 1):
        if not in_grace.error:
            break
        assert in_grace.error["code"] == "draining"
        entry = fleet.start_entry(f"e{number}", zone="z", drain_grace=1.0)
        wait_until(lambda entry=entry: entry.n_complete_groups() == 1, what="new host")
        in_grace = _stop_under_load(entry, caller)
    assert in_grace.is_complete


def test_second_signal_ends_streams_with_an_error_event(fleet: Fleet) -> None:
    """Send a second SIGTERM during a long shutdown.

    Guards against streams that end without an error event and an exit code that
    indicates success, which happens if the process exits without sending its callers an
    error.  Streams continue for long after a first SIGTERM when the second one arrives.
    """
    fleet.start_world(entries=("e1",))
    entry = fleet.entries_by_name["e1"]

    async def drain() -> None:
        entry.process.send(signal.SIGTERM)
        await asyncio.to_thread(entry.process.wait_for_event, "drain_started")
        entry.process.send(signal.SIGTERM)

    answers = asyncio.run(
        Caller(fleet).stream_all(
            [entry], n_streams=10, n_tokens=5000, inject_fault=drain
        )
    )
    assert all(answer.is_partial_with_error for answer in answers)
    assert {answer.error["code"] for answer in answers} == {"shutting_down"}
    wait_until(lambda: entry.process.exit_code is not None, what="the host ends")
    assert entry.process.exit_code == 3


def test_outcome_is_appended_before_the_host_ends(fleet: Fleet) -> None:
    """Stop a host while the log is down and the outcome of a booking is not appended.

    Guards against a booking that ran and was answered, but whose key gets "in progress"
    in every later request.  The booking runs, the log is down, SIGTERM arrives, and the
    log is available again.  The outcome is lost if the host exits as soon as its
    callers have their answers.
    """
    fleet.start_world()
    caller, key = Caller(fleet), new_key()
    entry = fleet.entries_by_name["e1"]
    fleet.control("service", hold_answers=True)
    booking = threading.Thread(target=caller.book, args=(entry, key))
    booking.start()
    wait_until(lambda: fleet.n_runs() == [1], what="the booking runs")
    fleet.control("log", outage=True)
    fleet.control("service", hold_answers=False)
    booking.join()
    entry.process.send(signal.SIGTERM)
    closed = entry.process.wait_for_event("drain_closed")
    assert closed["appends"] == 1
    fleet.control("log", outage=False)
    wait_until(lambda: entry.process.exit_code is not None, what="the host ends")
    assert entry.process.exit_code == 0
    other = fleet.entries_by_name["e2"]
    caller.book_until_accepted(other, key)
    assert fleet.n_runs() == [1]
