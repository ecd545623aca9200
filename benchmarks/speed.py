"""Measure the cost of the path through one entry host against direct requests.

Latency is given as the ratio to direct requests to the stand-in engine, alternating in
the same run.  Processor time is read from ``/proc``.  Run
``.venv/bin/python -m benchmarks.speed`` on a machine with four or more idle cores;
docs/SPEED.md lists the figures.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import defopt

from tests.processes import EntryHost, Fleet, running_fleet, wait_until

N_ENGINES = 4

#: Concurrent streams of a full entry host, and tokens a second of each stream.
N_STREAMS = 125
TOKENS_PER_SECOND = 29

#: Bytes of one token of the model "fat".
FAT_TOKEN = 20_000

QUESTION = [{"role": "user", "content": "Which dogs are home?"}]

#: Seconds without data after which a stream has failed.
SILENCE = 15.0

#: Tokens of a stream that the caller closes before its end.
ENDLESS = 30_000


@dataclass(slots=True, kw_only=True)
class Stream:
    """Times and size of one stream, as the caller received it."""

    started_at: float
    times: list[float] = field(default_factory=list)
    n_bytes: int = 0

    @property
    def first_token(self) -> float:
        """Return the seconds until the first token."""
        return self.times[0] - self.started_at

    def gaps(self) -> list[float]:
        """Return the seconds between consecutive reads with tokens."""
        return [
            later - earlier
            for earlier, later in zip(self.times, self.times[1:], strict=False)
        ]


@dataclass(slots=True, kw_only=True)
class Load:
    """Send requests to one entry host, or to its engines directly.

    Attributes
    ----------
    groups : list
        Groups of the model "notes" from the state dump, with the address of rank 0.
    engines_by_model : dict of str to list of str
        Names of the engines that serve each model.
    """

    fleet: Fleet
    entry: EntryHost
    groups: list[dict]
    engines_by_model: dict[str, list[str]]

    def request(self, *, direct: int | None, n_tokens: int, model: str) -> tuple:
        """Return address, path, key and body of one request.

        ``direct`` is the index of the group to address, or None for the entry host.
        """
        if direct is None:
            body = {"model": model, "messages": QUESTION, "max_tokens": n_tokens}
            key = self.fleet.keys_by_account["pawroute"]
            path = "/v1/chat/completions"
            return self.entry.address, path, key, body | {"stream": True}
        group = self.groups[direct % len(self.groups)]
        body = {
            "attempt": f"direct-{time.monotonic_ns()}",
            "group": group["group"],
            "fencing": group["fencing"],
            "model": model,
            "messages": QUESTION,
            "max_tokens": n_tokens,
            "priority": 0,
            "delivered": [],
        }
        return group["address"], "/v1/generate", "", body

    async def stream(
        self,
        *,
        direct: int | None = None,
        n_tokens: int = ENDLESS,
        seconds: float = float("inf"),
        model: str = "notes",
        reads: bool = True,
    ) -> Stream:
        """Request one stream and read it to its end, or for some seconds.

        Without ``reads`` the connection stays open and the answer is not read.
        """
        address, path, key, body = self.request(
            direct=direct, n_tokens=n_tokens, model=model
        )
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 16)
        data = json.dumps(body).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {key}"
            f"\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        stream = Stream(started_at=time.monotonic())
        writer.write(head.encode() + data)
        try:
            if reads:
                await self._read(stream, reader, seconds)
            else:
                await asyncio.sleep(seconds)
        finally:
            writer.transport.abort()
        return stream

    async def _read(
        self, stream: Stream, reader: asyncio.StreamReader, seconds: float
    ) -> None:
        ends_at = stream.started_at + seconds
        tail = b""
        while time.monotonic() < ends_at:
            data = await asyncio.wait_for(reader.read(1 << 16), SILENCE)
            now = time.monotonic()
            if not stream.n_bytes and b" 200 " not in data[:20]:
                raise ConnectionError(f"not answered: {data[:500]}")
            if not data:
                raise ConnectionError(f"stream broke off after {stream.n_bytes} bytes")
            stream.n_bytes += len(data)
            tail = (tail + data)[-200:]
            if b'"tokens"' in data or b'"content":"' in data.replace(b'""', b""):
                stream.times.append(now)
            # The head gives no length: a stream ends with its last event.
            if b"[DONE]" in tail or b'"finish_reason": "stop"' in tail:
                return


def processor_seconds(pid: int) -> float:
    """Return the user and system processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def percentile(values: list[float], part: float) -> float:
    """Return a percentile of the values, given as a fraction from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def set_engines(load: Load, model: str, **switches: object) -> None:
    """Set the switches of the engines that serve a model."""
    for name in load.engines_by_model[model]:
        load.fleet.control(name, **switches)


def start(fleet: Fleet) -> Load:
    """Start engines for two models, and one entry host, and wait for all groups."""
    fleet.start_platform()
    for rank in range(N_ENGINES + 1):
        fleet.start_engines(f"h{rank}", zone="z", domain=f"d{rank}")
    account = fleet.account("pawroute", concurrency=2000, rate=5000, share=1.0)
    notes = {"version": "v1", "hosts_per_group": 1, "n_groups": N_ENGINES}
    fat = {"version": "v1", "hosts_per_group": 1}
    fleet.publish(
        {"models": {"notes": notes}, "client_accounts": {"pawroute": account}}
    )
    entry = fleet.start_entry("e1", zone="z", max_request_timeout=600.0)
    wait_until(
        lambda: entry.n_complete_groups() >= N_ENGINES, what="groups are complete"
    )
    fleet.publish(
        {
            "models": {"notes": notes, "fat": fat},
            "client_accounts": {"pawroute": account},
        },
        base_version=entry.dump()["configuration"]["version"],
    )
    wait_until(
        lambda: entry.n_complete_groups() > N_ENGINES, what="fat group is complete"
    )
    state = entry.dump()
    groups = [group for group in state["groups"] if group["model"] == "notes"]
    for group in groups:
        group["address"] = state["hosts"][group["members"][0]]["address"]
    engines_by_model: dict[str, list[str]] = {}
    for group in state["groups"]:
        engines_by_model.setdefault(group["model"], []).extend(group["members"])
    return Load(
        fleet=fleet, entry=entry, groups=groups, engines_by_model=engines_by_model
    )


async def first_token(load: Load, *, n_requests: int) -> None:
    """Compare the times to the first token and for each further token."""
    set_engines(load, "notes", step_ms=2.0, tokens_per_event=1)
    for direct in (None, 0):
        await load.stream(direct=direct, n_tokens=5)
    streams: dict[bool, list[Stream]] = {True: [], False: []}
    for number in range(n_requests):
        for is_direct in (True, False):
            direct = number if is_direct else None
            streams[is_direct].append(await load.stream(direct=direct, n_tokens=21))
    firsts = {
        is_direct: [stream.first_token for stream in taken]
        for is_direct, taken in streams.items()
    }
    for name, part in (("p50", 0.5), ("p95", 0.95)):
        direct_time = percentile(firsts[True], part)
        relayed_time = percentile(firsts[False], part)
        report(f"first token {name}", relayed_time, direct_time, unit="ms")
    token_times = {
        is_direct: [
            (stream.times[-1] - stream.times[0]) / 20 for stream in streams[is_direct]
        ]
        for is_direct in streams
    }
    report(
        "time per token, mean",
        statistics.mean(token_times[False]),
        statistics.mean(token_times[True]),
        unit="ms",
    )


def report(name: str, relayed_time: float, direct_time: float, *, unit: str) -> None:
    """Print direct time, time through the entry host, their ratio and difference."""
    print(
        f"{name}: direct {direct_time * 1e3:.2f} {unit}, through entry host "
        f"{relayed_time * 1e3:.2f} {unit}, ratio {relayed_time / direct_time:.2f}, "
        f"added {(relayed_time - direct_time) * 1e3:.2f} {unit}",
        flush=True,
    )


async def run_streams(
    load: Load, *, n_streams: int, seconds: float, is_direct: bool = False
) -> list[Stream]:
    """Run concurrent streams, whose starts are spread over one second."""

    async def one(number: int) -> Stream:
        await asyncio.sleep(number / n_streams)
        direct = number if is_direct else None
        return await load.stream(direct=direct, seconds=seconds)

    return await asyncio.gather(*(one(number) for number in range(n_streams)))


async def full_host(load: Load, *, seconds: float, per_event: list[int]) -> None:
    """Measure the processor time of 125 streams with 29 tokens a second each."""
    for n_tokens in per_event:
        step_ms = n_tokens * 1000 / TOKENS_PER_SECOND
        set_engines(load, "notes", step_ms=step_ms, tokens_per_event=n_tokens)
        direct_streams = await run_streams(
            load, n_streams=N_STREAMS, seconds=seconds / 2, is_direct=True
        )
        task = asyncio.ensure_future(
            run_streams(load, n_streams=N_STREAMS, seconds=seconds + 4)
        )
        await asyncio.sleep(3)
        tokens = await asyncio.to_thread(n_generated_tokens, load), time.monotonic()
        cpu = processor_seconds(load.entry.process.pid), time.monotonic()
        await asyncio.sleep(seconds)
        cpu_rate = _rate(cpu, processor_seconds(load.entry.process.pid))
        token_rate = _rate(tokens, await asyncio.to_thread(n_generated_tokens, load))
        streams = await task
        gaps = [gap for stream in streams for gap in stream.gaps()]
        direct_gaps = [gap for stream in direct_streams for gap in stream.gaps()]
        print(
            f"{n_tokens} tokens an event: {token_rate:.0f} tokens/s, "
            f"{cpu_rate:.2f} of a core, {cpu_rate / token_rate * 1e6:.0f} us a token",
            flush=True,
        )
        report(
            "  gap between events p95",
            percentile(gaps, 0.95),
            percentile(direct_gaps, 0.95),
            unit="ms",
        )


def _rate(earlier: tuple[float, float], now: float) -> float:
    value, at = earlier
    return (now - value) / (time.monotonic() - at)


def n_generated_tokens(load: Load) -> int:
    """Return the number of tokens that the engines of "notes" have generated."""
    return sum(
        load.fleet.counts(name)["n_generated"]
        for name in load.engines_by_model["notes"]
    )


async def memory(load: Load, *, n_streams: int) -> None:
    """Measure the entry host's memory for each stream."""
    set_engines(load, "notes", step_ms=500.0, tokens_per_event=1)
    # A few streams allocate what only the first streams need.  Many streams would leave
    # free memory in the allocator, and the measured streams would seem to need none.
    await run_streams(load, n_streams=20, seconds=3)
    before = resident(load.entry.process.pid)
    task = asyncio.ensure_future(run_streams(load, n_streams=n_streams, seconds=6))
    await asyncio.sleep(4)
    during = resident(load.entry.process.pid)
    await task
    print(
        f"memory: {before >> 20} MB before, {during >> 20} MB with {n_streams} "
        f"streams, {max(0, during - before) / n_streams / 1024:.1f} KB a stream",
        flush=True,
    )


async def slow_reader(load: Load, *, seconds: float) -> None:
    """Measure 100 reading callers with and without one caller that does not read."""
    set_engines(load, "notes", step_ms=1000 / TOKENS_PER_SECOND, tokens_per_event=1)
    set_engines(load, "fat", step_ms=5.0, token_bytes=FAT_TOKEN)
    gaps: dict[bool, list[float]] = {False: [], True: []}
    memory_by_slow: dict[bool, int] = {}
    for is_slow in (False, True, False, True):
        tasks = [
            asyncio.ensure_future(run_streams(load, n_streams=100, seconds=seconds)),
        ]
        if is_slow:
            slow = load.stream(model="fat", seconds=seconds, reads=False)
            tasks.append(asyncio.ensure_future(slow))
        await asyncio.sleep(seconds - 1)
        memory_by_slow[is_slow] = resident(load.entry.process.pid)
        streams, *_ = await asyncio.gather(*tasks)
        gaps[is_slow] += [gap for stream in streams for gap in stream.gaps()]
    alone, with_slow = (percentile(gaps[is_slow], 0.95) for is_slow in (False, True))
    print(
        f"gap p95 of 100 fast readers: alone {alone * 1e3:.1f} ms, with a slow reader "
        f"{with_slow * 1e3:.1f} ms, ratio {with_slow / alone:.2f}",
        flush=True,
    )
    grown = memory_by_slow[True] - memory_by_slow[False]
    offered = seconds / 0.005 * FAT_TOKEN
    print(
        f"memory with a slow reader: {grown / 1024:+.0f} KB, while its engine could "
        f"send {offered / 1024 / 1024:.0f} MB",
        flush=True,
    )


async def run(load: Load, *, seconds: float, only: str) -> None:
    """Run the measurement named ``only``; if empty, run all except ``"one"``."""
    parts = {
        "first": lambda: first_token(load, n_requests=150),
        "full": lambda: full_host(load, seconds=seconds, per_event=[1, 2, 4, 8]),
        "one": lambda: full_host(load, seconds=seconds, per_event=[1]),
        "memory": lambda: memory(load, n_streams=500),
        "slow": lambda: slow_reader(load, seconds=seconds),
    }
    for name, part in parts.items():
        if name == only or (not only and name != "one"):
            await part()


def main(*, seconds: float = 10.0, only: str = "") -> int:
    """Run the measurements and print their figures.

    Parameters
    ----------
    seconds : float
        Length of each measurement under load, in seconds.
    only : str
        Name of the only measurement to run: "first", "full", "one", "memory" or
        "slow"; empty for all but "one", which "full" contains.
    """
    with (
        tempfile.TemporaryDirectory() as directory,
        running_fleet(Path(directory)) as fleet,
    ):
        asyncio.run(run(start(fleet), seconds=seconds, only=only))
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
