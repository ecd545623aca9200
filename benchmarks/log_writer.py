"""Measure appends, bytes and delay of claims that ``LogWriter`` appends.

Simulates the log writers of several entry hosts.  Each claim is followed by its outcome
half a second later, and a record is read back as soon as its append has taken the given
time.  Mode "batch" is the writer as entry hosts use it.  Mode "single" puts one record
in each append and has no budget of appends.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import defopt

from ryelever.coordination.log_writer import AppendBudget, LogWriter, Pending
from ryelever.protocol.log import (
    append_request,
    claims_stream,
    claims_streams,
    encode_record,
)
from ryelever.state.records import Claim, Outcome, Record

#: Seconds between a claim and its outcome.
RUN_TIME = 0.5

EPOCH = 1_800_000_000.0

HEADER = (
    f"{'hosts':>6}{'claims/s':>9}{'mode':>8}{'appends/s':>11}{'records/append':>15}"
    f"{'KB/s':>8}{'p50 ms':>8}{'p95 ms':>8}{'waiting':>9}"
)


@dataclass(slots=True, kw_only=True)
class _Run:
    """State and totals of one simulated run over all hosts; times in seconds."""

    n_hosts: int
    rate: float
    append_time: float
    writers: list[dict[str, LogWriter]]
    partitions: int
    n_appends: int = 0
    n_records: int = 0
    n_bytes: int = 0
    delays: list[float] = field(default_factory=list)
    added_at: dict[str, float] = field(default_factory=dict)
    in_flight: list[tuple[float, LogWriter, list[Pending]]] = field(
        default_factory=list
    )


def main(
    *,
    n_hosts: int = 8,
    rates: list[float] = [100.0, 300.0, 1000.0],  # noqa: B006
    appends_per_second: float = 20.0,
    append_time: float = 0.005,
    partitions: int = 4,
    seconds: float = 20.0,
) -> None:
    """Print appends, bytes and delays for each rate and mode.

    Parameters
    ----------
    n_hosts : int
        Entry hosts that the claims are spread over.
    rates : list[float]
        Claims a second over all hosts, one run for each rate.
    appends_per_second : float
        Maximum number of appends a second of each host.
    append_time : float
        Seconds from sending an append to reading its records back.
    partitions : int
        Streams that the claims are spread over.
    seconds : float
        Simulated time of each run in seconds.
    """
    print(HEADER)
    for rate in rates:
        for mode in ("batch", "single"):
            run = _new_run(
                n_hosts, rate, append_time, partitions, mode, appends_per_second
            )
            _drive(run, seconds)
            _report(run, mode, seconds)


def _new_run(
    n_hosts: int,
    rate: float,
    append_time: float,
    partitions: int,
    mode: str,
    appends_per_second: float,
) -> _Run:
    writers = []
    for _ in range(n_hosts):
        budget = AppendBudget(rate=appends_per_second) if mode == "batch" else None
        max_batch = 200 if mode == "batch" else 1
        writers.append(
            {
                name: LogWriter(budget=budget, max_batch=max_batch)
                for name in claims_streams(partitions)
            }
        )
    return _Run(
        n_hosts=n_hosts,
        rate=rate,
        append_time=append_time,
        writers=writers,
        partitions=partitions,
    )


def _drive(run: _Run, seconds: float) -> None:
    # Steps of 1 ms, because an entry host appends at once when a record is added or an
    # append is answered, in addition to its regular ticks.
    rng = random.Random(1)
    outcomes: list[tuple[float, int, Record]] = []
    n_claims = 0
    for step in range(int(seconds * 1000)):
        now = step / 1000
        _answer(run, now=now)
        while n_claims < run.rate * now:
            host = rng.randrange(run.n_hosts)
            claim = _claim(n_claims, host, now)
            _add(run, host, claim, f"c{n_claims:031x}", now=now)
            outcomes.append((now + RUN_TIME, host, _outcome(claim)))
            n_claims += 1
        while outcomes and outcomes[0][0] <= now:
            _, host, outcome = outcomes.pop(0)
            _add(run, host, outcome, f"o{len(run.added_at):031x}", now=now)
        for writers in run.writers:
            for writer in writers.values():
                if writer.pending_by_id and not writer.in_flight:
                    _append(run, writer, now=now)


def _claim(index: int, host: int, now: float) -> Claim:
    return Claim(
        key=f"account-{index % 10}/{int((EPOCH + now) * 1000)}-{index:032x}",
        fingerprint=f"{index:064x}",
        owner=f"entry-{host}/0123456789ab",
        request_id=f"{index:032x}",
    )


def _outcome(claim: Claim) -> Outcome:
    return Outcome(
        key=claim.key,
        owner=claim.owner,
        run_state="run",
        status=201,
        content_type="application/json",
        body='{"booked": "2027-01-15T08:00", "dog": "Rex"}',
        request_id=claim.request_id,
    )


def _add(
    run: _Run, host: int, record: Claim | Outcome, record_id: str, *, now: float
) -> None:
    stream = claims_stream(record.key, n_partitions=run.partitions)
    run.added_at[record_id] = now
    run.writers[host][stream].add(record, record_id=record_id, deadline=1e9)


def _append(run: _Run, writer: LogWriter, *, now: float) -> None:
    batch = writer.due(now=now)
    if not batch:
        return
    items = [encode_record(item.record, record_id=item.record_id) for item in batch]
    run.n_appends += 1
    run.n_records += len(batch)
    run.n_bytes += len(append_request(items))
    run.in_flight.append((now + run.append_time, writer, batch))


def _answer(run: _Run, *, now: float) -> None:
    while run.in_flight and run.in_flight[0][0] <= now:
        _, writer, batch = run.in_flight.pop(0)
        writer.answered()
        for pending in batch:
            writer.read_back(pending.record_id)
            run.delays.append(now - run.added_at[pending.record_id])


def _report(run: _Run, mode: str, seconds: float) -> None:
    delays = sorted(run.delays)
    n_waiting = sum(
        len(writer.pending_by_id)
        for writers in run.writers
        for writer in writers.values()
    )
    print(
        f"{run.n_hosts:>6}{run.rate:>9.0f}{mode:>8}{run.n_appends / seconds:>11.1f}"
        f"{run.n_records / run.n_appends:>15.1f}{run.n_bytes / seconds / 1024:>8.1f}"
        f"{delays[len(delays) // 2] * 1e3:>8.0f}"
        f"{delays[int(len(delays) * 0.95)] * 1e3:>8.0f}{n_waiting:>9}"
    )


if __name__ == "__main__":
    defopt.run(main)
