"""Measure what the path through one entry host costs, beside going straight.

Run ``.venv/bin/python -m benchmarks.speed`` on a machine with four or more idle
cores; docs/SPEED.md holds the figures.  Latency is given as a ratio against asking
the stand-in engine directly in the same run, the two taken in turn; processor time is
read from ``/proc``.
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
N_STREAMS = 125
TOKENS_PER_SECOND = 29
FAT_TOKEN = 20_000
QUESTION = [{"role": "user", "content": "Which dogs are home?"}]

#: Seconds of silence that end the measurement.
SILENCE = 15.0

#: Tokens of a stream that is cut off by its caller.
ENDLESS = 30_000


@dataclass(slots=True, kw_only=True)
class Stream:
    """Hold what a caller saw of one stream."""

    started_at: float
    times: list[float] = field(default_factory=list)
    n_bytes: int = 0

    @property
    def first_token(self) -> float:
        """Return the seconds until the first token."""
        return self.times[0] - self.started_at

    def gaps(self) -> list[float]:
        """Return the seconds between reads that held tokens."""
        return [
            later - earlier
            for earlier, later in zip(self.times, self.times[1:], strict=False)
        ]


@dataclass(slots=True, kw_only=True)
class Load:
    """Ask one entry host, or its engines directly.

    Attributes
    ----------
    groups : list
        Groups of the model, as the dump has them, with the address of rank 0.
    engines_by_model : dict of str to list of str
        Where the planner has put each model.
    """

    fleet: Fleet
    entry: EntryHost
    groups: list[dict]
    engines_by_model: dict[str, list[str]]

    def request(self, *, direct: int | None, n_tokens: int, model: str) -> tuple:
        """Return address, path, key and body of one request."""
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
        """Read one stream to its end, or for some seconds."""
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
            # The head announces no length: a stream is over with its last event.
            if b"[DONE]" in tail or b'"finish_reason": "stop"' in tail:
                return


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def percentile(values: list[float], part: float) -> float:
    """Return a percentile, 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def set_engines(load: Load, model: str, **switches: object) -> None:
    """Set the switches of the engines that serve a model."""
    for name in load.engines_by_model[model]:
        load.fleet.control(name, **switches)


def start(fleet: Fleet) -> Load:
    """Start engines for two models and one entry host."""
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
    wait_until(lambda: entry.n_complete_groups() >= N_ENGINES, what="groups are whole")
    fleet.publish(
        {
            "models": {"notes": notes, "fat": fat},
            "client_accounts": {"pawroute": account},
        },
        base_version=entry.dump()["configuration"]["version"],
    )
    wait_until(lambda: entry.n_complete_groups() > N_ENGINES, what="fat group is whole")
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
    """Compare the time to the first token and the time a token."""
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
        straight = percentile(firsts[True], part)
        through = percentile(firsts[False], part)
        report(f"first token {name}", through, straight, unit="ms")
    whole = {
        is_direct: [
            (stream.times[-1] - stream.times[0]) / 20 for stream in streams[is_direct]
        ]
        for is_direct in streams
    }
    report(
        "time per token, mean",
        statistics.mean(whole[False]),
        statistics.mean(whole[True]),
        unit="ms",
    )


def report(name: str, through: float, straight: float, *, unit: str) -> None:
    """Print one ratio."""
    print(
        f"{name}: straight {straight * 1e3:.2f} {unit}, through "
        f"{through * 1e3:.2f} {unit}, ratio {through / straight:.2f}, "
        f"added {(through - straight) * 1e3:.2f} {unit}",
        flush=True,
    )


async def many(
    load: Load, *, n_streams: int, seconds: float, is_direct: bool = False
) -> list[Stream]:
    """Run streams side by side, started over one second."""

    async def one(number: int) -> Stream:
        await asyncio.sleep(number / n_streams)
        direct = number if is_direct else None
        return await load.stream(direct=direct, seconds=seconds)

    return await asyncio.gather(*(one(number) for number in range(n_streams)))


async def full_host(load: Load, *, seconds: float, per_event: list[int]) -> None:
    """Hold 125 streams of 29 tokens a second and read the processor time."""
    for n_tokens in per_event:
        step_ms = n_tokens * 1000 / TOKENS_PER_SECOND
        set_engines(load, "notes", step_ms=step_ms, tokens_per_event=n_tokens)
        straight = await many(
            load, n_streams=N_STREAMS, seconds=seconds / 2, is_direct=True
        )
        task = asyncio.ensure_future(
            many(load, n_streams=N_STREAMS, seconds=seconds + 4)
        )
        await asyncio.sleep(3)
        tokens = await asyncio.to_thread(generated, load), time.monotonic()
        cpu = cpu_seconds(load.entry.process.pid), time.monotonic()
        await asyncio.sleep(seconds)
        cpu_rate = _rate(cpu, cpu_seconds(load.entry.process.pid))
        token_rate = _rate(tokens, await asyncio.to_thread(generated, load))
        streams = await task
        gaps = [gap for stream in streams for gap in stream.gaps()]
        gaps_straight = [gap for stream in straight for gap in stream.gaps()]
        print(
            f"{n_tokens} tokens an event: {token_rate:.0f} tokens/s, "
            f"{cpu_rate:.2f} of a core, {cpu_rate / token_rate * 1e6:.0f} us a token",
            flush=True,
        )
        report(
            "  gap between events p95",
            percentile(gaps, 0.95),
            percentile(gaps_straight, 0.95),
            unit="ms",
        )


def _rate(earlier: tuple[float, float], now: float) -> float:
    value, at = earlier
    return (now - value) / (time.monotonic() - at)


def generated(load: Load) -> int:
    """Return the tokens that the engines have generated."""
    return sum(
        load.fleet.counts(name)["n_generated"]
        for name in load.engines_by_model["notes"]
    )


async def memory(load: Load, *, n_streams: int) -> None:
    """Read the memory of a stream."""
    set_engines(load, "notes", step_ms=500.0, tokens_per_event=1)
    # A few streams load what the first of them needs; many would leave their memory
    # to the allocator, and the streams measured would seem to need none.
    await many(load, n_streams=20, seconds=3)
    before = resident(load.entry.process.pid)
    task = asyncio.ensure_future(many(load, n_streams=n_streams, seconds=6))
    await asyncio.sleep(4)
    during = resident(load.entry.process.pid)
    await task
    print(
        f"memory: {before >> 20} MB before, {during >> 20} MB with {n_streams} "
        f"streams, {max(0, during - before) / n_streams / 1024:.1f} KB a stream",
        flush=True,
    )


async def slow_reader(load: Load, *, seconds: float) -> None:
    """Put one caller that does not read beside 100 that do."""
    set_engines(load, "notes", step_ms=1000 / TOKENS_PER_SECOND, tokens_per_event=1)
    set_engines(load, "fat", step_ms=5.0, token_bytes=FAT_TOKEN)
    gaps: dict[bool, list[float]] = {False: [], True: []}
    memory_by_slow: dict[bool, int] = {}
    for is_slow in (False, True, False, True):
        tasks = [
            asyncio.ensure_future(many(load, n_streams=100, seconds=seconds)),
        ]
        if is_slow:
            slow = load.stream(model="fat", seconds=seconds, reads=False)
            tasks.append(asyncio.ensure_future(slow))
        await asyncio.sleep(seconds - 1)
        memory_by_slow[is_slow] = resident(load.entry.process.pid)
        streams, *_ = await asyncio.gather(*tasks)
        gaps[is_slow] += [gap for stream in streams for gap in stream.gaps()]
    alone, beside = (percentile(gaps[is_slow], 0.95) for is_slow in (False, True))
    print(
        f"gap p95 of 100 fast readers: alone {alone * 1e3:.1f} ms, beside a slow one "
        f"{beside * 1e3:.1f} ms, ratio {beside / alone:.2f}",
        flush=True,
    )
    grown = memory_by_slow[True] - memory_by_slow[False]
    offered = seconds / 0.005 * FAT_TOKEN
    print(
        f"memory beside a slow reader: {grown / 1024:+.0f} KB, while its engine could "
        f"send {offered / 1024 / 1024:.0f} MB",
        flush=True,
    )


async def run(load: Load, *, seconds: float, only: str) -> None:
    """Run every part, or one."""
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
    """Measure and print.

    Parameters
    ----------
    seconds : float
        Length of each measurement under load.
    only : str
        Run one part: first, full, one, memory or slow.
    """
    with (
        tempfile.TemporaryDirectory() as directory,
        running_fleet(Path(directory)) as fleet,
    ):
        asyncio.run(run(start(fleet), seconds=seconds, only=only))
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
